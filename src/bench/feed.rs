//! Long feeds: held open for the whole run and checked for gaps and silence.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Stats;
use super::request::header;
use crate::settings::Service;

/// A feed without a line for this long counts as broken; many times the interval at
/// which targets send lines.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Holds a feed open for `duration` and adds its result to `stats`: broken if it ends
/// before.
pub(super) async fn run(
    addr: SocketAddr,
    service: Service,
    duration: Duration,
    stats: &RefCell<Stats>,
) {
    {
        let mut stats = stats.borrow_mut();
        stats.report.flows += 1;
        stats.report.feeds += 1;
    }
    let survived = hold_open(addr, service, duration, stats).await;
    if !survived {
        stats.borrow_mut().report.broken += 1;
    }
}

/// Returns whether the feed lived until the end. A feed with a gap is counted as
/// corrupted instead of broken.
async fn hold_open(
    addr: SocketAddr,
    service: Service,
    duration: Duration,
    stats: &RefCell<Stats>,
) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return false };
    let request = format!("GET /feed HTTP/1.1\r\nHost: {addr}\r\n\r\n");
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let deadline = tokio::time::Instant::now() + duration;
    let mut lines = LineChecker::default();
    let mut unparsed = Vec::new();
    let mut has_head = false;
    let mut buf = vec![0u8; 4096];
    loop {
        let n = match tokio::time::timeout_at(deadline, stream.read(&mut buf)).await {
            Err(_) => return has_head && lines.is_fresh(),
            Ok(Ok(0) | Err(_)) => return false,
            Ok(Ok(n)) => n,
        };
        unparsed.extend_from_slice(&buf[..n]);
        if !has_head {
            let response = String::from_utf8_lossy(&unparsed).to_string();
            let Some((head, _)) = response.split_once("\r\n\r\n") else { continue };
            if !response.starts_with("HTTP/1.1 200") {
                return false;
            }
            count_feed(&response, service, &mut stats.borrow_mut());
            unparsed.drain(..head.len() + 4);
            has_head = true;
        }
        if !lines.consume(&mut unparsed) {
            stats.borrow_mut().report.corrupted += 1;
            return true;
        }
    }
}

fn count_feed(response: &str, service: Service, stats: &mut Stats) {
    if header(response, "X-Service").is_some_and(|v| v != service.to_string()) {
        stats.report.misrouted += 1;
    }
    if let Some(target) = header(response, "X-Target") {
        *stats.feeds_by_target.entry(target.to_string()).or_default() += 1;
    }
}

/// Checks that the numbered lines of a feed arrive without gaps.
#[derive(Default)]
struct LineChecker {
    next: u64,
    last_line_at: Option<Instant>,
}

impl LineChecker {
    /// Removes the complete lines from `unparsed`; false if one is out of sequence.
    fn consume(&mut self, unparsed: &mut Vec<u8>) -> bool {
        while let Some(end) = unparsed.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = unparsed.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            // Lines without a space are the framing of the chunked encoding.
            let Some((_, n)) = line.trim().split_once(' ') else { continue };
            if n.parse() != Ok(self.next) {
                return false;
            }
            self.next += 1;
            self.last_line_at = Some(Instant::now());
        }
        true
    }

    /// Whether a line arrived within the silence timeout.
    fn is_fresh(&self) -> bool {
        self.last_line_at.is_some_and(|at| at.elapsed() < SILENCE_TIMEOUT)
    }
}
