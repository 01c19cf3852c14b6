//! Long feeds: held for the run, checked for gaps and silence.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Stats;
use super::request::header;
use crate::settings::Service;

/// A feed without a line for this long is broken: targets send five a second.
const STALE: Duration = Duration::from_secs(3);

/// Holds a feed for `run` and counts it, as broken if it ends before.
pub(super) async fn feed(
    addr: SocketAddr,
    service: Service,
    run: Duration,
    stats: &RefCell<Stats>,
) {
    {
        let mut t = stats.borrow_mut();
        t.row.flows += 1;
        t.row.feeds += 1;
    }
    let ok = hold_feed(addr, service, run, stats).await;
    if !ok {
        stats.borrow_mut().row.broken += 1;
    }
}

async fn hold_feed(
    addr: SocketAddr,
    service: Service,
    run: Duration,
    stats: &RefCell<Stats>,
) -> bool {
    let Ok(mut s) = TcpStream::connect(addr).await else { return false };
    let head = format!("GET /feed HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    if s.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let deadline = tokio::time::Instant::now() + run;
    let mut lines = Lines::default();
    let mut seen = Vec::new();
    let mut counted = false;
    let mut buf = vec![0u8; 4096];
    loop {
        let n = match tokio::time::timeout_at(deadline, s.read(&mut buf)).await {
            Err(_) => return counted && lines.fresh(),
            Ok(Ok(0) | Err(_)) => return false,
            Ok(Ok(n)) => n,
        };
        seen.extend_from_slice(&buf[..n]);
        if !counted {
            let text = String::from_utf8_lossy(&seen).to_string();
            let Some((head, _)) = text.split_once("\r\n\r\n") else { continue };
            if !text.starts_with("HTTP/1.1 200") {
                return false;
            }
            count_feed(&text, service, &mut stats.borrow_mut());
            seen.drain(..head.len() + 4);
            counted = true;
        }
        if !lines.take(&mut seen) {
            stats.borrow_mut().row.corrupted += 1;
            return true;
        }
    }
}

fn count_feed(text: &str, service: Service, t: &mut Stats) {
    if header(text, "X-Service").is_some_and(|v| v != service.to_string()) {
        t.row.misrouted += 1;
    }
    if let Some(name) = header(text, "X-Target") {
        *t.feeds.entry(name.to_string()).or_default() += 1;
    }
}

/// The numbered lines of a feed, checked for gaps.
#[derive(Default)]
struct Lines {
    next: u64,
    last: Option<Instant>,
}

impl Lines {
    /// Takes the whole lines out of `seen`; false when one is out of order.
    fn take(&mut self, seen: &mut Vec<u8>) -> bool {
        while let Some(end) = seen.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = seen.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            // Chunk sizes and chunk ends come between the feed's lines.
            let Some((_, n)) = line.trim().split_once(' ') else { continue };
            if n.parse() != Ok(self.next) {
                return false;
            }
            self.next += 1;
            self.last = Some(Instant::now());
        }
        true
    }

    /// Whether a line came lately: a feed that went silent is broken.
    fn fresh(&self) -> bool {
        self.last.is_some_and(|at| at.elapsed() < STALE)
    }
}
