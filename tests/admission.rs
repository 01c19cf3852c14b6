//! Admission control refuses a flow before any data reaches the target, and the
//! response tells the caller that it may retry.

use std::time::Duration;

use jujubepost::agent::{Admission, admit};
use jujubepost::metrics::Refusal;
use jujubepost::refusal::{RETRY_AFTER_S, response};

const GRACE: Duration = Duration::from_secs(2);

#[test]
fn accepts_when_in_service() {
    assert_eq!(admit(None, GRACE, false, 0, 10), Admission::Accept);
}

#[test]
fn draining_refuses_only_after_grace() {
    assert_eq!(admit(Some(Duration::from_secs(1)), GRACE, false, 0, 10), Admission::Accept);
    assert_eq!(admit(Some(GRACE), GRACE, false, 0, 10), Admission::Refuse(Refusal::Draining));
}

#[test]
fn refuses_when_full_or_stopping() {
    assert_eq!(admit(None, GRACE, false, 10, 10), Admission::Refuse(Refusal::Full));
    assert_eq!(admit(None, GRACE, true, 0, 10), Admission::Refuse(Refusal::Draining));
}

#[test]
fn refusal_response_allows_retry() {
    let text = String::from_utf8(response(Refusal::Full)).unwrap();
    assert!(text.starts_with("HTTP/1.1 503 "));
    assert!(text.contains(&format!("Retry-After: {RETRY_AFTER_S}\r\n")));
    assert!(text.contains("X-Jujubepost-Run: no\r\n"));
    assert!(text.ends_with("\r\n\r\n"));
}
