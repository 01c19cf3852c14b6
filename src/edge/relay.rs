//! Carries out what [`Relay`] decides: holds the relay's key and transaction the
//! configuration in parts.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::events;
use crate::platform::kv::Client;
use crate::relay::{INDEX_KEY, Relay};
use crate::steer::Steer;
use crate::store::{Lessor, Snapshot, lease};

/// Time to live of a relay's key. When the relay dies, its data centre follows
/// in full again after this; a change is to be in force within 5 s.
const RELAY_LEASE_MS: u64 = 2_000;

/// Longest pause, drawn at random, before a balancer campaigns to be the relay, so that
/// few of a data centre write their keys before the others see one.
const MAX_CAMPAIGN_DELAY: Duration = Duration::from_millis(500);

/// Pause before parts that could not be written are written again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Does the relay's work, forever; `snapshots` brings the store's keys, none while
/// the store is lost.
pub async fn run(
    store: Client,
    relay: Relay,
    steer: Rc<RefCell<Steer>>,
    mut snapshots: watch::Receiver<Option<Arc<Snapshot>>>,
) {
    // Held for as long as this runs; dropping it ends the task.
    let mut key_task = JoinSet::new();
    loop {
        let copy = snapshots.borrow_and_update().clone();
        let should_relay =
            |copy: &Option<Arc<Snapshot>>| copy.as_ref().is_some_and(|c| relay.should_relay(c));
        if should_relay(&copy) && key_task.is_empty() {
            tokio::time::sleep(MAX_CAMPAIGN_DELAY.mul_f64(rand::random())).await;
            if should_relay(&snapshots.borrow()) {
                log::info!(event = events::EDGE_RELAY, key = relay.key(), relay = true; "relay");
                key_task.spawn_local(hold_key(store.clone(), relay.key().to_string()));
            }
            continue;
        }
        if !should_relay(&copy) && !key_task.is_empty() {
            key_task.shutdown().await;
            log::info!(event = events::EDGE_RELAY, key = relay.key(), relay = false; "not relay");
            // While the store is lost the key lapses by itself.
            if copy.is_some() {
                remove_key(&store, &relay).await;
            }
        }
        let published = match &copy {
            Some(copy) => publish_parts(&store, &relay, &steer, copy).await,
            None => Ok(()),
        };
        let failed = published.is_err();
        if let Err(e) = published {
            log::warn!(event = events::EDGE_RELAY, error:% = format!("{e:#}"); "parts not written");
        }
        tokio::select! {
            changed = snapshots.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(RETRY_DELAY), if failed => {}
        }
    }
}

async fn hold_key(store: Client, key: String) {
    // The key says all; its value is never changed.
    let (_value, values) = watch::channel(Vec::new());
    lease::hold(&store, &key, values, RELAY_LEASE_MS, &Notify::new()).await;
}

async fn remove_key(store: &Client, relay: &Relay) {
    if let Err(e) = store.delete(relay.key()).await {
        // It lapses with its lease.
        log::warn!(event = events::EDGE_RELAY, error:% = format!("{e:#}"); "key not removed");
    }
}

/// Publishes what the store does not have yet of the configuration in force. Where
/// another relay was first, the next copy shows it.
async fn publish_parts(
    store: &Client,
    relay: &Relay,
    steer: &RefCell<Steer>,
    copy: &Snapshot,
) -> anyhow::Result<()> {
    let (pending, version) = match steer.borrow().routes() {
        Some(routes) => (relay.pending_transaction(copy, routes)?, routes.version),
        None => return Ok(()),
    };
    let Some(transaction) = pending else { return Ok(()) };
    let committed = store
        .swap((INDEX_KEY, transaction.index_rev), &transaction.puts, &transaction.deletes)
        .await?;
    log::info!(
        event = events::EDGE_RELAY, version = version, parts = transaction.puts.len(),
        removed = transaction.deletes.len(), first = committed;
        "configuration published in parts"
    );
    Ok(())
}
