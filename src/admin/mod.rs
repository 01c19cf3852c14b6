//! What the processes of a site ask each other, over `tarpc`: status and
//! counters for the operator, readiness for the fabric, and a copy of the
//! store's keys for a process that starts while the store is down.
//!
//! Each balancer, agent and fabric serves it over TCP at the same address and
//! port at which it takes packets over UDP.

mod client;
pub mod faults;
mod server;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

pub use client::{Peer, ask};
pub use faults::Faults;
pub use server::Server;

use crate::metrics::CounterValue;
use crate::store::Snapshot;

/// The calls between processes of one site.
#[tarpc::service]
pub trait Admin {
    /// What the process is doing, with its counters.
    async fn status() -> Status;
    /// Whether the process takes new work.
    async fn ready() -> bool;
    /// The process's copy of the store's keys.
    async fn copy() -> Arc<Snapshot>;
    /// Sets the process's injected faults.
    async fn disturb(faults: Faults);
}

/// What a process says of itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The process's name in the settings.
    pub name: Arc<str>,
    /// Whether it takes new work.
    pub ready: bool,
    /// The store's revision that its view reflects; 0 before the first.
    pub rev: i64,
    /// Stamp of the operators' orders that it applies, as
    /// [`Snapshot::fingerprint`]; the same in every process once a change is in
    /// force everywhere.
    pub orders: u64,
    /// Open flows it holds (agents; 0 for balancers, which hold none).
    pub flows: u32,
    /// Flows that wait for their target's answer (agents).
    pub waiting: u32,
    /// Counter totals since its start.
    pub counts: Vec<CounterValue>,
}

/// The facts that a role publishes and [`Admin`] answers from.
#[derive(Clone, Debug)]
pub struct Board {
    name: Arc<str>,
    config: Arc<str>,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ready: AtomicBool,
    flows: AtomicU32,
    waiting: AtomicU32,
    copy: Mutex<Arc<Snapshot>>,
    faults: Mutex<Faults>,
}

impl Board {
    /// A board for the process `name`, not ready yet, of a site whose orders
    /// lie under the prefix `config`.
    #[must_use]
    pub fn new(name: Arc<str>, config: Arc<str>) -> Self {
        Self { name, config, inner: Arc::default() }
    }

    /// Says whether the process takes new work.
    pub fn set_ready(&self, ready: bool) {
        self.inner.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process takes new work.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.inner.ready.load(Ordering::Relaxed)
    }

    /// Publishes the open flows and those waiting for their target.
    pub fn set_flows(&self, flows: u32, waiting: u32) {
        self.inner.flows.store(flows, Ordering::Relaxed);
        self.inner.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Publishes a newer copy of the store's keys.
    pub fn set_copy(&self, copy: Arc<Snapshot>) {
        *lock(&self.inner.copy) = copy;
    }

    /// The latest copy of the store's keys.
    #[must_use]
    pub fn copy(&self) -> Arc<Snapshot> {
        lock(&self.inner.copy).clone()
    }

    /// The injected faults now in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.inner.faults).clone()
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.inner.faults) = faults;
    }

    /// The process's status, with its counters read now.
    #[must_use]
    pub fn status(&self) -> Status {
        let copy = self.copy();
        Status {
            name: self.name.clone(),
            ready: self.ready(),
            rev: copy.rev,
            orders: copy.fingerprint(&self.config),
            flows: self.inner.flows.load(Ordering::Relaxed),
            waiting: self.inner.waiting.load(Ordering::Relaxed),
            counts: crate::metrics::counter_values(),
        }
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
