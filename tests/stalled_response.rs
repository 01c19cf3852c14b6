//! A store that sends the head of a response and no body.

mod common;

use std::time::{Duration, Instant};

use jujubepost::store::Client;

const TIMEOUT: Duration = Duration::from_millis(500);

/// Head of a response whose body never follows.
const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 99\r\n\r\n";

/// Guards against processes that hang on an unfinished response: the timeout of a call
/// includes reading the body.
#[ntex::test]
async fn unfinished_response_times_out() {
    let client = Client::new(common::serve_one_response(HEAD), TIMEOUT).await;
    let started = Instant::now();
    let listed = tokio::time::timeout(4 * TIMEOUT, client.list("/")).await;
    assert!(listed.expect("the call hangs").is_err());
    assert!(started.elapsed() < 2 * TIMEOUT, "{:?}", started.elapsed());
}
