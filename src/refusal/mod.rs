//! The answer that a refused caller gets at once: its request did not run,
//! and when to come back.

use crate::metrics::Refusal;

/// Seconds a refused caller is told to wait before it comes back.
pub const RETRY_AFTER_S: u32 = 1;

/// HTTP 503 with the reason and a time to come back.
#[must_use]
pub fn response(reason: Refusal) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_S}\r\n\
         X-Jujubepost-Refused: {reason}\r\nX-Jujubepost-Run: no\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    .into_bytes()
}
