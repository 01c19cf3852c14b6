//! Remote procedure calls between the processes of a site, over `tarpc`: status
//! and counters, readiness, fault injection, a snapshot of the store's keys for
//! processes that start while the store is down, and the changes that a distributor read
//! from the store.
//!
//! The server listens on TCP, at the address and port that the process uses for
//! UDP packets.

mod client;
pub mod faults;
mod server;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

pub use client::{Connection, fetch_status};
pub use faults::Faults;
pub use server::Server;

use crate::metrics::CounterValue;
use crate::store::Snapshot;
use crate::store::distribution::{DatedReply, SharedLog, Subscriber};

/// Calls that every balancer, agent and fabric answers.
#[tarpc::service]
pub trait Admin {
    /// Returns the status and counters.
    async fn status() -> Status;
    /// Returns whether the process accepts new flows.
    async fn ready() -> bool;
    /// Returns the process's snapshot of the store's keys.
    async fn snapshot() -> Arc<Snapshot>;
    /// Replaces the injected faults.
    async fn set_faults(faults: Faults);
    /// Waits for changes of the store's keys under `prefix` after revision `after`.
    async fn poll_changes(subscriber: Subscriber, prefix: Arc<str>, after: i64) -> DatedReply;
}

/// Status of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process in the settings.
    pub name: Arc<str>,
    /// Whether the process accepts new flows.
    pub ready: bool,
    /// Store revision of its snapshot; 0 before the first.
    pub rev: i64,
    /// [`Snapshot::fingerprint`] of the operators' configuration that it
    /// applies; equal in every process once a change is applied everywhere.
    #[serde(rename = "orders")]
    pub config_fingerprint: u64,
    /// Number of open flows; 0 for balancers, which keep no per-flow state.
    pub flows: u32,
    /// Number of flows that wait for a response of the target; 0 for balancers.
    pub waiting: u32,
    /// Counter totals since the start of the process.
    #[serde(rename = "counts")]
    pub counters: Vec<CounterValue>,
}

/// State that a process shares with its admin server. Clones share one state.
#[derive(Clone, Debug)]
pub struct ProcessState {
    name: Arc<str>,
    config_prefix: Arc<str>,
    shared: Arc<SharedState>,
}

#[derive(Debug, Default)]
struct SharedState {
    ready: AtomicBool,
    flows: AtomicU32,
    waiting: AtomicU32,
    snapshot: Mutex<Arc<Snapshot>>,
    changes: SharedLog,
    faults: Mutex<Faults>,
}

impl ProcessState {
    /// Creates the state of the process `name`, not ready yet. The operators'
    /// configuration is stored under `config_prefix`.
    #[must_use]
    pub fn new(name: Arc<str>, config_prefix: Arc<str>) -> Self {
        Self { name, config_prefix, shared: Arc::default() }
    }

    /// Sets whether the process accepts new flows.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process accepts new flows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Relaxed)
    }

    /// Sets the numbers of open flows and of those that wait for the target.
    pub fn set_flows(&self, flows: u32, waiting: u32) {
        self.shared.flows.store(flows, Ordering::Relaxed);
        self.shared.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Replaces the snapshot of the store's keys.
    pub fn set_snapshot(&self, snapshot: Arc<Snapshot>) {
        *lock(&self.shared.snapshot) = snapshot;
    }

    /// Returns the snapshot of the store's keys.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        lock(&self.shared.snapshot).clone()
    }

    /// The changes that this process reads for its subscribers.
    #[must_use]
    pub fn change_log(&self) -> &SharedLog {
        &self.shared.changes
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.shared.faults).clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the status with the current counter totals.
    #[must_use]
    pub fn status(&self) -> Status {
        let snapshot = self.snapshot();
        Status {
            name: self.name.clone(),
            ready: self.is_ready(),
            rev: snapshot.rev,
            config_fingerprint: snapshot.fingerprint(&self.config_prefix),
            flows: self.shared.flows.load(Ordering::Relaxed),
            waiting: self.shared.waiting.load(Ordering::Relaxed),
            counters: crate::metrics::counter_values(),
        }
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
