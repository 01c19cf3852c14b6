//! Short requests: one HTTP/1.1 request on a TCP connection of its own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Stats;
use crate::settings::Service;

/// Size of the body of an upload.
const UPLOAD_BYTES: usize = 40_000;

/// How long a caller waits for a response; longer than an injected fault lasts, so that
/// a request delayed by the fault counts as answered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the method, path and body of the request that callers of `service` send.
fn request_parts(service: Service, id: &str) -> (&'static str, String, Vec<u8>) {
    match service {
        Service::Meter => ("POST", format!("/pay?id={id}"), Vec::new()),
        Service::Fieldlog => ("POST", format!("/upload?id={id}"), vec![b'x'; UPLOAD_BYTES]),
        Service::Calculadora => ("GET", format!("/quote?w=3&id={id}"), Vec::new()),
        Service::Validador => ("POST", format!("/check?id={id}"), Vec::new()),
    }
}

/// Sends one request and returns the whole response, head included.
async fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> anyhow::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut response = Vec::new();
    tokio::time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut response)).await??;
    Ok(response)
}

/// Returns the value of a header; its name is matched without regard to case.
pub(super) fn header<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    response.lines().take_while(|l| !l.is_empty()).find_map(|l| {
        let (k, v) = l.split_once(':')?;
        k.eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

/// Sends one request and adds its result to `stats`.
pub(super) async fn send(addr: SocketAddr, service: Service, id: &str, stats: &RefCell<Stats>) {
    let (method, path, body) = request_parts(service, id);
    let start = Instant::now();
    let result = exchange(addr, method, &path, &body).await;
    let mut stats = stats.borrow_mut();
    stats.report.flows += 1;
    let Ok(bytes) = result else {
        stats.report.failed += 1;
        return;
    };
    let response = String::from_utf8_lossy(&bytes);
    if header(&response, "X-Service").is_some_and(|s| s != service.to_string()) {
        stats.report.misrouted += 1;
    }
    if response.starts_with("HTTP/1.1 200") {
        stats.report.ok += 1;
        let latency_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        if let Some(latencies) = &mut stats.latencies {
            latencies.saturating_record(latency_us);
        }
        if !is_complete(service, id, &response) {
            stats.report.corrupted += 1;
        }
        if let Some(target) = header(&response, "X-Target") {
            *stats.requests_by_target.entry(target.to_string()).or_default() += 1;
            let sent_ms = start.duration_since(stats.started.unwrap_or(start)).as_millis() as u64;
            let last_ms = stats.report.last_ms.entry(target.to_string()).or_default();
            *last_ms = sent_ms.max(*last_ms);
        }
    } else if response.starts_with("HTTP/1.1 503") {
        if header(&response, "X-Jujubepost-Run") == Some("no") {
            stats.report.refused += 1;
            stats.refused_ids.push(id.to_string());
        } else {
            stats.report.shed += 1;
        }
    } else {
        stats.report.failed += 1;
    }
}

/// Whether a response with status 200 is complete and belongs to the request `id`.
fn is_complete(service: Service, id: &str, response: &str) -> bool {
    let Some((_, body)) = response.split_once("\r\n\r\n") else { return false };
    let length = header(response, "Content-Length").and_then(|v| v.parse().ok());
    let is_stored =
        service != Service::Fieldlog || body.contains(&format!("stored {UPLOAD_BYTES} "));
    length == Some(body.len()) && body.contains(id) && is_stored
}

/// Returns how often each request id was executed, summed over the targets that
/// can be reached.
pub(super) async fn execution_counts(
    targets: impl Iterator<Item = SocketAddr>,
) -> HashMap<String, u32> {
    let mut totals: HashMap<String, u32> = HashMap::new();
    for addr in targets {
        let Ok(bytes) = exchange(addr, "GET", "/runs", &[]).await else { continue };
        let response = String::from_utf8_lossy(&bytes);
        let Some((_, body)) = response.split_once("\r\n\r\n") else { continue };
        if let Ok(counts) = serde_json::from_str::<HashMap<String, u32>>(body) {
            for (id, n) in counts {
                *totals.entry(id).or_default() += n;
            }
        }
    }
    totals
}
