//! Writes the record of the routes' services, see [`crate::route_history`].

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::events;
use crate::platform::kv::Client;
use crate::route_history::ShardWrite;
use crate::steering::FlowSteering;
use crate::store::Snapshot;

/// How long a balancer that does not distribute the store's changes leaves a write to the one that
/// does. Those that wait are spread over as much again.
const TURN_DELAY: Duration = Duration::from_millis(1_000);

/// Delay before a write that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Records what is missing until `snapshots` closes. `is_first` tells whether this balancer writes
/// at once. The latest snapshot is `None` while the store is unreachable.
pub async fn run(
    store: Client,
    steering: Rc<RefCell<FlowSteering>>,
    mut snapshots: watch::Receiver<Option<Arc<Snapshot>>>,
    is_first: impl Fn() -> bool,
) {
    loop {
        let is_reachable = snapshots.borrow_and_update().is_some();
        let pending = || steering.borrow_mut().pending_history(Instant::now());
        if is_reachable && !pending().is_empty() {
            if !is_first() {
                tokio::time::sleep(TURN_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
            }
            for write in pending() {
                record(&store, write).await;
            }
            // Until what was written is read, or as a pause after a failure.
            let changed = tokio::time::timeout(RETRY_DELAY, snapshots.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
        } else if snapshots.changed().await.is_err() {
            return;
        }
    }
}

async fn record(store: &Client, write: ShardWrite) {
    let ShardWrite { key, rev, value } = write;
    match store.compare_and_swap((&key, rev), &[(key.clone(), value)], &[]).await {
        Ok(committed) => log::info!(
            event = events::EDGE_CONFIG, key = key, first = committed;
            "services of new routes sent to the store"
        ),
        Err(e) => log::warn!(
            event = events::EDGE_STORE, error:% = format!("{e:#}");
            "recording the services of routes failed; retrying"
        ),
    }
}
