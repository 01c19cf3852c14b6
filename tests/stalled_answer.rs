//! A store that begins an answer and never ends it.

mod common;

use std::time::{Duration, Instant};

use jujubepost::store::Client;

const TIMEOUT: Duration = Duration::from_millis(500);

/// The head of an answer whose body does not come.
const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 99\r\n\r\n";

/// Guards against a role that hangs for good on an answer cut short: the timeout of a call
/// holds for all of its answer.
#[ntex::test]
async fn given_up_in_time() {
    let client = Client::new(common::falls_silent(HEAD), TIMEOUT).await;
    let since = Instant::now();
    let listed = tokio::time::timeout(4 * TIMEOUT, client.list("/")).await;
    assert!(listed.expect("the call hangs").is_err());
    assert!(since.elapsed() < 2 * TIMEOUT, "{:?}", since.elapsed());
}
