//! Carries out the decisions of [`Relay`]: holds the relay's key and publishes the
//! configuration in parts.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::held_key::HeldKey;
use crate::events;
use crate::platform::kv::Client;
use crate::relay::{INDEX_KEY, Relay};
use crate::steering::FlowSteering;
use crate::store::Snapshot;

/// Lease of a relay's key. A larger value delays the failover to another relay,
/// and thus configuration changes, after a relay has died: only then does its data centre
/// watch everything again.
const RELAY_LEASE_MS: u64 = 2_000;

/// Upper bound of the random delay before a balancer becomes the relay. A smaller
/// value lets more balancers of a data centre become relays at once.
const MAX_CAMPAIGN_DELAY: Duration = Duration::from_millis(500);

/// Delay before publishing is tried again without a change of the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Becomes or ceases to be the relay as [`Relay`] decides, until `snapshots`
/// closes. The latest snapshot is `None` while the store is unreachable.
pub async fn run(
    store: Client,
    relay: Relay,
    steering: Rc<RefCell<FlowSteering>>,
    mut snapshots: watch::Receiver<Option<Arc<Snapshot>>>,
) {
    let mut key = HeldKey::new(store.clone(), relay.key(), RELAY_LEASE_MS);
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        let should_relay = |snapshot: &Option<Arc<Snapshot>>| {
            snapshot.as_ref().is_some_and(|c| relay.should_relay(c))
        };
        if should_relay(&snapshot) && !key.is_held() {
            tokio::time::sleep(MAX_CAMPAIGN_DELAY.mul_f64(rand::random())).await;
            if should_relay(&snapshots.borrow()) {
                log::info!(
                    event = events::EDGE_RELAY, key = relay.key(), relay = true;
                    "balancer became the relay of its data centre"
                );
                key.acquire();
            }
            continue;
        }
        if !should_relay(&snapshot) && key.is_held() {
            log::info!(
                event = events::EDGE_RELAY, key = relay.key(), relay = false;
                "balancer is no longer the relay of its data centre"
            );
            key.release(snapshot.is_some()).await;
        }
        let published = match &snapshot {
            Some(snapshot) => publish_parts(&store, &relay, &steering, snapshot).await,
            None => Ok(()),
        };
        // The end of a lost order changes the index without a change of the store.
        let retry = published.is_err() || steering.borrow().roster.evacuations.holds_lost_orders();
        if let Err(e) = published {
            log::warn!(
                event = events::EDGE_RELAY, error:% = format!("{e:#}");
                "publishing the configuration in parts failed; retrying"
            );
        }
        tokio::select! {
            changed = snapshots.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(RETRY_DELAY), if retry => {}
        }
    }
}

/// Publishes the parts of the configuration in force that changed. If another relay
/// was first, nothing is written and the next snapshot has its parts.
async fn publish_parts(
    store: &Client,
    relay: &Relay,
    steering: &RefCell<FlowSteering>,
    snapshot: &Snapshot,
) -> anyhow::Result<()> {
    let (pending, version) = {
        let steering = steering.borrow();
        let Some(routes) = steering.routes() else { return Ok(()) };
        let evacuations = steering.roster.evacuations.list();
        (relay.pending_transaction(snapshot, routes, evacuations)?, routes.version)
    };
    let Some(transaction) = pending else { return Ok(()) };
    let committed = store
        .compare_and_swap(
            (INDEX_KEY, transaction.index_rev),
            &transaction.puts,
            &transaction.deletes,
        )
        .await?;
    log::info!(
        event = events::EDGE_RELAY, version = version, parts = transaction.puts.len(),
        removed = transaction.deletes.len(), first = committed;
        "update of the configuration parts sent to the store"
    );
    Ok(())
}
