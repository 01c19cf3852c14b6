//! The key-value service that processes share: client, leases, mirrors,
//! and an in-memory server for tests and trials.
//!
//! The protocol is a subset of etcd v3's HTTP/JSON gateway (see [`types`]):
//! reads, writes, compare-and-swap on a key's revision, leases and watches from
//! a revision. The server can inject failures (see [`Faults`]).

pub mod client;
pub mod distribution;
pub mod lease;
pub mod mirror;
pub mod revision;
pub mod server;
mod traits;
pub mod types;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use client::{Client, WatchBatch};
pub use mirror::Snapshot;
pub use server::{Faults, serve};
pub use traits::{LeaseStore, PutOutcome, WatchStore};

/// A key with its value, decoded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kv {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change; see [`revision`].
    pub rev: i64,
    /// Lease the key is attached to, or 0.
    pub lease: i64,
    /// Revision at which the key was created; 0 if unknown.
    pub created: i64,
}

/// One change returned by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key was written.
    Put(Kv),
    /// The key was removed (by a delete or an expired lease).
    Delete {
        /// The key.
        key: Arc<str>,
        /// Revision of the removal.
        rev: i64,
    },
}

impl Change {
    /// The key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(kv) => &kv.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Revision of the change.
    #[must_use]
    pub const fn rev(&self) -> i64 {
        match self {
            Self::Put(kv) => kv.rev,
            Self::Delete { rev, .. } => *rev,
        }
    }
}

/// Names of the keys in the store.
///
/// Operators write under `config/`; processes register under `live/`, with
/// leases. Agents watch only `config/`, so the registrations of a large fleet do
/// not reach them.
#[derive(Clone, Debug)]
pub struct KeyLayout {
    prefix: Arc<str>,
}

impl KeyLayout {
    /// Keys under `prefix`, such as `/jujubepost`.
    #[must_use]
    pub fn new(prefix: Arc<str>) -> Self {
        Self { prefix }
    }

    /// Prefix of all keys.
    #[must_use]
    pub fn root_prefix(&self) -> String {
        format!("{}/", self.prefix)
    }

    /// Prefix of the keys that operators write.
    #[must_use]
    pub fn config_prefix(&self) -> String {
        format!("{}/config/", self.prefix)
    }

    /// Prefix of the targets' registrations.
    #[must_use]
    pub fn targets_prefix(&self) -> String {
        format!("{}/live/targets/", self.prefix)
    }

    /// Key of a profile, written by operators.
    #[must_use]
    pub fn profile(&self, name: &str) -> String {
        format!("{}/config/profiles/{name}", self.prefix)
    }

    /// Key of a target's registration, written by its agent under a lease.
    #[must_use]
    pub fn target(&self, name: &str) -> String {
        format!("{}{name}", self.targets_prefix())
    }

    /// Key of a target's drain order, written by operators.
    #[must_use]
    pub fn drain_order(&self, name: &str) -> String {
        format!("{}/config/drain/{name}", self.prefix)
    }

    /// Key of the order to evacuate a data centre, written by operators.
    #[must_use]
    pub fn evacuation_order(&self, zone: &str) -> String {
        format!("{}/config/evacuate/{zone}", self.prefix)
    }

    /// Key of a balancer's registration, written under a lease.
    #[must_use]
    pub fn balancer(&self, name: &str) -> String {
        format!("{}/live/balancers/{name}", self.prefix)
    }

    /// Splits a key into its kind (`profiles`, `targets`, ...) and name.
    #[must_use]
    pub fn split<'a>(&self, key: &'a str) -> Option<(&'a str, &'a str)> {
        let rest = key.strip_prefix(&*self.prefix)?.strip_prefix('/')?;
        let (_, rest) = rest.split_once('/')?;
        rest.split_once('/')
    }
}

/// The first key after all keys that start with `prefix`: etcd's `range_end`.
#[must_use]
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
