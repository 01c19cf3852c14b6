//! Short requests: one HTTP/1.1 exchange on a connection of its own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Stats;
use crate::settings::Service;

/// Bytes of one upload.
const UPLOAD: usize = 40_000;

/// How long a caller waits for an answer: longer than the fault matrix keeps
/// its load up (3 s), so that a fault ends before its callers give up.
const PATIENCE: Duration = Duration::from_secs(10);

fn path(service: Service, id: &str) -> (&'static str, String, Vec<u8>) {
    match service {
        Service::Meter => ("POST", format!("/pay?id={id}"), Vec::new()),
        Service::Fieldlog => ("POST", format!("/upload?id={id}"), vec![b'x'; UPLOAD]),
        Service::Calculadora => ("GET", format!("/quote?w=3&id={id}"), Vec::new()),
        Service::Validador => ("POST", format!("/check?id={id}"), Vec::new()),
    }
}

/// Sends one HTTP/1.1 request and reads the whole answer.
async fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> anyhow::Result<Vec<u8>> {
    let mut s = TcpStream::connect(addr).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    s.write_all(head.as_bytes()).await?;
    s.write_all(body).await?;
    let mut out = Vec::new();
    tokio::time::timeout(PATIENCE, s.read_to_end(&mut out)).await??;
    Ok(out)
}

/// A header of an answer.
pub(super) fn header<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    answer.lines().take_while(|l| !l.is_empty()).find_map(|l| {
        let (k, v) = l.split_once(':')?;
        k.eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

/// Sends one short request and counts what became of it.
pub(super) async fn request(addr: SocketAddr, service: Service, id: &str, stats: &RefCell<Stats>) {
    let (method, path, body) = path(service, id);
    let start = Instant::now();
    let res = exchange(addr, method, &path, &body).await;
    let mut t = stats.borrow_mut();
    t.row.flows += 1;
    let Ok(bytes) = res else {
        t.row.failed += 1;
        return;
    };
    let text = String::from_utf8_lossy(&bytes);
    if header(&text, "X-Service").is_some_and(|s| s != service.to_string()) {
        t.row.misrouted += 1;
    }
    if text.starts_with("HTTP/1.1 200") {
        t.row.ok += 1;
        let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        if let Some(times) = &mut t.times {
            times.saturating_record(micros);
        }
        if !whole(service, id, &text) {
            t.row.corrupted += 1;
        }
        if let Some(name) = header(&text, "X-Target") {
            *t.requests.entry(name.to_string()).or_default() += 1;
            let sent = start.duration_since(t.began.unwrap_or(start)).as_millis() as u64;
            let last = t.row.last_ms.entry(name.to_string()).or_default();
            *last = sent.max(*last);
        }
    } else if text.starts_with("HTTP/1.1 503") {
        if header(&text, "X-Jujubepost-Run") == Some("no") {
            t.row.refused += 1;
            t.refused.push(id.to_string());
        } else {
            t.row.shed += 1;
        }
    } else {
        t.row.failed += 1;
    }
}

/// Whether a 200 answer is whole and belongs to the request `id`.
fn whole(service: Service, id: &str, text: &str) -> bool {
    let Some((_, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = header(text, "Content-Length").and_then(|v| v.parse().ok());
    let stored = service != Service::Fieldlog || body.contains(&format!("stored {UPLOAD} "));
    length == Some(body.len()) && body.contains(id) && stored
}

/// How often each request id ran, over the targets that answer.
pub(super) async fn runs(targets: impl Iterator<Item = SocketAddr>) -> HashMap<String, u32> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for addr in targets {
        let Ok(bytes) = exchange(addr, "GET", "/runs", &[]).await else { continue };
        let text = String::from_utf8_lossy(&bytes);
        let Some((_, body)) = text.split_once("\r\n\r\n") else { continue };
        if let Ok(m) = serde_json::from_str::<HashMap<String, u32>>(body) {
            for (id, n) in m {
                *runs.entry(id).or_default() += n;
            }
        }
    }
    runs
}
