//! A store that begins an answer and never ends it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use jujubepost::store::Client;

const TIMEOUT: Duration = Duration::from_millis(500);

/// A store that sends the head of an answer and no body.
fn stalling_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).unwrap() > 0);
        let head =
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 99\r\n\r\n";
        stream.write_all(head).unwrap();
        while stream.read(&mut buf).is_ok_and(|n| n > 0) {}
    });
    addr
}

/// Guards against a role that hangs for good on an answer cut short: the timeout of a call
/// holds for all of its answer.
#[ntex::test]
async fn given_up_in_time() {
    let client = Client::new(stalling_store(), TIMEOUT).await;
    let since = Instant::now();
    let listed = tokio::time::timeout(4 * TIMEOUT, client.list("/")).await;
    assert!(listed.expect("the call hangs").is_err());
    assert!(since.elapsed() < 2 * TIMEOUT, "{:?}", since.elapsed());
}
