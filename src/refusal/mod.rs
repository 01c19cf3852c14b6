//! The HTTP response to a refused caller: the request was not executed and may
//! be retried after a delay.

use crate::metrics::Refusal;

/// Value of the `Retry-After` header, in seconds.
pub const RETRY_AFTER_S: u32 = 1;

/// Returns an HTTP 503 response that states the reason and the retry delay.
#[must_use]
pub fn response(reason: Refusal) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_S}\r\n\
         X-Jujubepost-Refused: {reason}\r\nX-Jujubepost-Run: no\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    .into_bytes()
}
