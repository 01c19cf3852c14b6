//! The values jujubepost keeps in the key-value service, as JSON.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::{ProfileSettings, Service};

/// A profile as written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The profile itself.
    #[serde(flatten)]
    pub spec: ProfileSettings,
    /// Random identifier of the write, so that a writer whose answer was
    /// lost can tell whether its own write took effect.
    #[serde(rename = "writer")]
    pub write_id: u64,
}

/// A target's announcement, written by its agent under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// The service it runs.
    pub service: Service,
    /// UDP address of its agent.
    pub agent: SocketAddr,
    /// Its agent is on a planned stop: no new flows, and no hold when the
    /// announcement goes.
    #[serde(default, rename = "leaving")]
    pub stopping: bool,
}

/// A drain order, written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Milliseconds since the Unix epoch when the order was given.
    pub since_ms: u64,
}

/// A balancer's announcement, under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// The balancer's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// Its UDP address.
    pub addr: SocketAddr,
}
