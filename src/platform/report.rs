//! What a target says of itself to the agent beside it, over HTTP.

use std::net::SocketAddrV4;
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;

use crate::hold::{Report, State};

/// Path of a target's heartbeat, before its id.
pub const HEARTBEAT: &str = "/v1/Instances.Heartbeat/";

/// Path by which a target says that it is gone, before its id.
pub const GONE: &str = "/v1/Instances.Deregister/";

/// Answer to a heartbeat: no other address for later ones.
pub const ANSWER: &str = "{}";

/// What a target called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A heartbeat.
    Heartbeat(Report),
    /// The target of this id ends now.
    Gone(String),
}

#[derive(Debug, Deserialize)]
struct Body {
    service: String,
    capacity: u32,
    state: Word,
    /// Milliseconds for which the target is still slow after its start.
    #[serde(default)]
    warmup_left_ms: u64,
    /// Counts the target's calls, so that a late one can be told.
    seq: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Word {
    Ready,
    Draining,
}

/// The body of a heartbeat, as the stand-in of a target sends it.
#[must_use]
pub fn body(service: &str, addr: SocketAddrV4, state: State, seq: u64) -> serde_json::Value {
    serde_json::json!({
        "service": service, "address": addr, "zone": "", "version": "v1", "capacity": 5,
        "state": state.to_string(), "warmup_left_ms": 0, "seq": seq,
    })
}

/// Reads a call of a target; `None` when the path is not one.
///
/// # Errors
///
/// Fails when the body is not of the platform's form; the error names the
/// field.
pub fn decode(path: &str, body: &[u8]) -> anyhow::Result<Option<Call>> {
    if let Some(id) = path.strip_prefix(GONE) {
        return Ok(Some(Call::Gone(id.to_string())));
    }
    let Some(id) = path.strip_prefix(HEARTBEAT) else { return Ok(None) };
    let mut de = serde_json::Deserializer::from_slice(body);
    let b: Body = serde_path_to_error::deserialize(&mut de)
        .with_context(|| format!("heartbeat of target {id}"))?;
    Ok(Some(Call::Heartbeat(Report {
        id: id.to_string(),
        service: b.service,
        slots: b.capacity,
        state: match b.state {
            Word::Ready => State::Ready,
            Word::Draining => State::Draining,
        },
        cold: Duration::from_millis(b.warmup_left_ms),
        seq: b.seq,
    })))
}
