//! HTTP calls by which a target reports to the agent beside it: heartbeats with
//! its state, and deregistration when it ends.

use std::net::SocketAddrV4;
use std::time::Duration;

use anyhow::{Context, bail};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::tracker::{Incarnation, Report, TargetState};

/// Path of a heartbeat; the target's id follows.
pub const HEARTBEAT_PATH: &str = "/v1/Instances.Heartbeat/";

/// Path of a deregistration; the target's id follows.
pub const DEREGISTER_PATH: &str = "/v1/Instances.Deregister/";

/// Response body: an empty object, so that the target sends later calls to the
/// same address.
pub const RESPONSE: &str = "{}";

/// A decoded call of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceCall {
    /// The target is running, in the given state.
    Heartbeat(Report),
    /// The given start of the target is ending.
    Deregister(Incarnation),
}

#[derive(Debug, Deserialize)]
struct HeartbeatJson {
    service: String,
    /// Address at which the target receives packets.
    address: SocketAddrV4,
    #[serde(rename = "zone")]
    _zone: String,
    #[serde(rename = "version")]
    _version: String,
    capacity: u32,
    state: StateJson,
    /// Time for which the target is still warming up.
    warmup_left_ms: u64,
    /// Number of the call since the start, to detect reordered calls.
    seq: u64,
    /// Time of the target's start, in Unix milliseconds, if known.
    #[serde(default)]
    born: Option<u64>,
}

/// Body of a deregistration; it may be empty.
#[derive(Debug, Default, Deserialize)]
struct DeregisterJson {
    #[serde(default)]
    born: Option<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateJson {
    Ready,
    Draining,
}

/// Encodes the body of a heartbeat, for simulated targets.
#[must_use]
pub fn heartbeat_json(
    service: &str,
    addr: SocketAddrV4,
    state: TargetState,
    seq: u64,
) -> serde_json::Value {
    serde_json::json!({
        "service": service, "address": addr, "zone": "", "version": "v1", "capacity": 5,
        "state": state.to_string(), "warmup_left_ms": 0, "seq": seq,
    })
}

/// Decodes a call of the target at `target`; returns `None` for other paths.
///
/// # Errors
///
/// Fails when the body does not match the format, naming the field, or gives
/// another address.
pub fn decode(
    path: &str,
    body: &[u8],
    target: SocketAddrV4,
) -> anyhow::Result<Option<InstanceCall>> {
    if let Some(id) = path.strip_prefix(DEREGISTER_PATH) {
        let deregistration =
            if body.is_empty() { DeregisterJson::default() } else { decode_body("end", id, body)? };
        return Ok(Some(InstanceCall::Deregister(Incarnation {
            id: id.into(),
            started_ms: deregistration.born,
        })));
    }
    let Some(id) = path.strip_prefix(HEARTBEAT_PATH) else { return Ok(None) };
    let heartbeat: HeartbeatJson = decode_body("heartbeat", id, body)?;
    if heartbeat.address != target {
        bail!("heartbeat of target {id}: address: {} is not {target}", heartbeat.address);
    }
    Ok(Some(InstanceCall::Heartbeat(Report {
        incarnation: Incarnation { id: id.into(), started_ms: heartbeat.born },
        service: heartbeat.service,
        slots: heartbeat.capacity,
        state: match heartbeat.state {
            StateJson::Ready => TargetState::Ready,
            StateJson::Draining => TargetState::Draining,
        },
        warmup: Duration::from_millis(heartbeat.warmup_left_ms),
        seq: heartbeat.seq,
    })))
}

fn decode_body<B: DeserializeOwned>(call: &str, id: &str, body: &[u8]) -> anyhow::Result<B> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer)
        .with_context(|| format!("{call} of target {id}"))
}
