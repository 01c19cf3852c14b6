//! "Not run" is decided before any byte reaches the target, and the caller
//! is told at once when to come back.

use std::time::Duration;

use jujubepost::agent::{Admission, admit};
use jujubepost::metrics::Refusal;
use jujubepost::refusal::{RETRY_AFTER_S, response};

const GRACE: Duration = Duration::from_secs(2);

#[test]
fn accepts_in_service() {
    assert_eq!(admit(None, GRACE, false, 0, 10), Admission::Accept);
}

#[test]
fn drain_within_grace() {
    assert_eq!(admit(Some(Duration::from_secs(1)), GRACE, false, 0, 10), Admission::Accept);
    assert_eq!(admit(Some(GRACE), GRACE, false, 0, 10), Admission::Refuse(Refusal::Draining));
}

#[test]
fn full_and_stopping() {
    assert_eq!(admit(None, GRACE, false, 10, 10), Admission::Refuse(Refusal::Full));
    assert_eq!(admit(None, GRACE, true, 0, 10), Admission::Refuse(Refusal::Draining));
}

#[test]
fn refusal_says_come_back() {
    let text = String::from_utf8(response(Refusal::Full)).unwrap();
    assert!(text.starts_with("HTTP/1.1 503 "));
    assert!(text.contains(&format!("Retry-After: {RETRY_AFTER_S}\r\n")));
    assert!(text.contains("X-Jujubepost-Run: no\r\n"));
    assert!(text.ends_with("\r\n\r\n"));
}
