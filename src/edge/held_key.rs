//! A key in the store that this process holds under a lease while it has a role for others.

use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::events;
use crate::platform::kv::Client;
use crate::store::{LeaseStore, lease};

/// Holds a key while a task of its own renews the lease; dropping it aborts the task.
pub(super) struct HeldKey {
    store: Client,
    key: String,
    lease_ms: u64,
    task: JoinSet<()>,
}

impl HeldKey {
    /// A key that is not held yet. With a longer lease the key of a dead process stays
    /// for longer.
    pub(super) fn new(store: Client, key: &str, lease_ms: u64) -> Self {
        Self { store, key: key.to_string(), lease_ms, task: JoinSet::new() }
    }

    pub(super) fn is_held(&self) -> bool {
        !self.task.is_empty()
    }

    /// Starts to hold the key.
    pub(super) fn acquire(&mut self) {
        let (store, key, lease_ms) = (self.store.clone(), self.key.clone(), self.lease_ms);
        self.task.spawn_local(async move {
            // Only the presence of the key matters; its value is empty.
            let (_value, values) = watch::channel(Vec::new());
            lease::maintain(&store, &key, values, lease_ms, &Notify::new(), 0, |_| {}).await;
        });
    }

    /// Stops renewing the lease and deletes the key, unless the store is known not to answer.
    pub(super) async fn release(&mut self, reachable: bool) {
        self.task.shutdown().await;
        if !reachable {
            return;
        }
        if let Err(e) = self.store.delete(&self.key).await {
            log::warn!(
                event = events::EDGE_STORE, key = self.key, error:% = format!("{e:#}");
                "key was not deleted; it expires with its lease"
            );
        }
    }
}
