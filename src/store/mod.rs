//! The platform's key-value service: a stand-in server and the client that
//! every role uses.
//!
//! The protocol is a subset of etcd v3's HTTP/JSON gateway (see [`types`]):
//! get, put, compare-and-swap on a key's revision, leases with a time to live,
//! and watches from a revision. The stand-in can be told to fail (see
//! [`Faults`]).

pub mod client;
pub mod lease;
pub mod mirror;
pub mod server;
mod traits;
pub mod types;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use client::{Client, WatchBatch};
pub use mirror::Snapshot;
pub use server::{Faults, serve};
pub use traits::{LeaseStore, WatchStore};

/// A key and its value as the rest of the crate sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kv {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub rev: i64,
    /// Lease the key is attached to, or 0.
    pub lease: i64,
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Kv),
    /// The key was removed (by a delete or a lapsed lease).
    Delete {
        /// The key.
        key: Arc<str>,
        /// Revision of the removal.
        rev: i64,
    },
}

/// The layout of jujubepost's keys under the prefix.
///
/// `config/` holds what operators order (profiles, drains) and `live/` what
/// processes announce under leases. Agents follow `config/` only, so the
/// announcements of a large fleet do not reach them.
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

    /// Everything jujubepost keeps.
    #[must_use]
    pub fn root_prefix(&self) -> String {
        format!("{}/", self.prefix)
    }

    /// What operators order.
    #[must_use]
    pub fn config_prefix(&self) -> String {
        format!("{}/config/", self.prefix)
    }

    /// Every target's announcement.
    #[must_use]
    pub fn targets_prefix(&self) -> String {
        format!("{}/live/targets/", self.prefix)
    }

    /// A profile, written by operators.
    #[must_use]
    pub fn profile(&self, name: &str) -> String {
        format!("{}/config/profiles/{name}", self.prefix)
    }

    /// A target's announcement, written by its agent under a lease.
    #[must_use]
    pub fn target(&self, name: &str) -> String {
        format!("{}{name}", self.targets_prefix())
    }

    /// A drain order for a target, written by operators.
    #[must_use]
    pub fn drain_order(&self, name: &str) -> String {
        format!("{}/config/drain/{name}", self.prefix)
    }

    /// A balancer's announcement, under a lease.
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

/// The key one past every key that starts with `prefix`, as etcd's
/// `range_end` for a prefix.
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
