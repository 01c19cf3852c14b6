//! What a target says of itself to the agent beside it, over HTTP.

use std::net::SocketAddrV4;
use std::time::Duration;

use anyhow::{Context, bail};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::hold::{Report, Start, State};

/// Path of a target's heartbeat, before its id.
pub const HEARTBEAT_PATH: &str = "/v1/Instances.Heartbeat/";

/// Path by which a target says that it is gone, before its id.
pub const DEREGISTER_PATH: &str = "/v1/Instances.Deregister/";

/// Answer to a heartbeat: no other address for later ones.
pub const RESPONSE: &str = "{}";

/// What a target called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceCall {
    /// A heartbeat.
    Heartbeat(Report),
    /// This start of the target ends now.
    Deregister(Start),
}

#[derive(Debug, Deserialize)]
struct Body {
    service: String,
    /// Where the target takes packets.
    address: SocketAddrV4,
    #[serde(rename = "zone")]
    _zone: String,
    #[serde(rename = "version")]
    _version: String,
    capacity: u32,
    state: Word,
    /// Milliseconds for which the target is still slow after its start.
    warmup_left_ms: u64,
    /// Counts the calls of one start, so that a late one can be told.
    seq: u64,
    /// Unix milliseconds of the target's start; not every platform has it.
    #[serde(default)]
    born: Option<u64>,
}

/// What a target says as it ends, if it says anything.
#[derive(Debug, Default, Deserialize)]
struct GoneBody {
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Word {
    Ready,
    Draining,
}

/// The body of a heartbeat, as the stand-in of a target sends it.
#[must_use]
pub fn heartbeat_json(
    service: &str,
    addr: SocketAddrV4,
    state: State,
    seq: u64,
) -> serde_json::Value {
    serde_json::json!({
        "service": service, "address": addr, "zone": "", "version": "v1", "capacity": 5,
        "state": state.to_string(), "warmup_left_ms": 0, "seq": seq,
    })
}

/// Reads a call of the target at `target`; `None` when the path is not one.
///
/// # Errors
///
/// Fails when the body is not of the platform's form, or of a target at another
/// address; the error names the field.
pub fn decode(
    path: &str,
    body: &[u8],
    target: SocketAddrV4,
) -> anyhow::Result<Option<InstanceCall>> {
    if let Some(id) = path.strip_prefix(DEREGISTER_PATH) {
        let b = if body.is_empty() { GoneBody::default() } else { read("end", id, body)? };
        return Ok(Some(InstanceCall::Deregister(Start { id: id.into(), born: b.born })));
    }
    let Some(id) = path.strip_prefix(HEARTBEAT_PATH) else { return Ok(None) };
    let b: Body = read("heartbeat", id, body)?;
    if b.address != target {
        bail!("heartbeat of target {id}: address: {} is not {target}", b.address);
    }
    Ok(Some(InstanceCall::Heartbeat(Report {
        start: Start { id: id.into(), born: b.born },
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

fn read<B: DeserializeOwned>(step: &str, id: &str, body: &[u8]) -> anyhow::Result<B> {
    let mut de = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut de).with_context(|| format!("{step} of target {id}"))
}
