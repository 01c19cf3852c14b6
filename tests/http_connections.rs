//! The HTTP server over many connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use jujubepost::http::{HttpResponse, Server};
use ntex::http::StatusCode;

/// Connections before the first measurement, while buffers fill.
const WARM_UP: usize = 500;

/// Connections between the two measurements.
const CONNECTIONS: usize = 4_000;

/// Growth allowed for each connection, in bytes: two a second over a day within 32 MB.
const MAX_GROWTH: usize = 190;

/// Private memory of this process, in bytes.
fn private_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("RssAnon:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1_024
}

fn request(addr: SocketAddr) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert!(response.starts_with(b"HTTP/1.1 200"));
}

async fn requests(addr: SocketAddr, count: usize) {
    let done = tokio::task::spawn_blocking(move || (0..count).for_each(|_| request(addr)));
    done.await.unwrap();
}

/// Guards against a process that runs out of memory after hours of probes: a connection that has
/// closed keeps nothing.
#[ntex::test]
async fn closed_connections_keep_no_memory() {
    let addr: SocketAddr = "127.0.0.1:30475".parse().unwrap();
    let server = Server::start(addr, |_| HttpResponse::empty(StatusCode::OK)).await.unwrap();
    requests(addr, WARM_UP).await;
    let before = private_bytes();
    requests(addr, CONNECTIONS).await;
    let growth = private_bytes().saturating_sub(before);
    server.stop().await;
    assert!(growth <= CONNECTIONS * MAX_GROWTH, "{} bytes a connection", growth / CONNECTIONS);
}
