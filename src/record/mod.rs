//! Records in the key-value service, encoded as JSON.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::{ProfileSettings, Service};

/// A profile, written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The profile's settings.
    #[serde(flatten)]
    pub spec: ProfileSettings,
    /// Random identifier of the write. After a lost response, the writer reads
    /// it back to learn whether the write took effect.
    #[serde(rename = "writer")]
    pub write_id: u64,
}

/// A target's registration, written by its agent under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the target.
    pub name: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// The service it runs.
    pub service: Service,
    /// UDP address of the agent.
    pub agent: SocketAddr,
    /// Whether the agent is in a planned stop: the target gets no new flows, and
    /// its flows are not held when the registration is removed.
    #[serde(default, rename = "leaving")]
    pub stopping: bool,
}

/// An order to drain a target, written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Time of the order, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// An order to evacuate a data centre, written by an operator: its targets get no new
/// flows and keep the open ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Time of the order, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// A balancer's registration, written under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// Name of the balancer.
    pub name: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// UDP address of the balancer.
    pub addr: SocketAddr,
}
