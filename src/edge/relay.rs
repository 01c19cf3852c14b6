//! Carries out what [`Relay`] decides: holds the relay's key and writes the
//! configuration in parts.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::events;
use crate::platform::kv::Client;
use crate::relay::{INDEX, Relay};
use crate::steer::Steer;
use crate::store::{LeaseStore, Snapshot, lease};

/// Time to live of a relay's key. When the relay dies, its data centre follows
/// in full again after this; a change is to be in force within 5 s.
const LEASE_MS: u64 = 2_000;

/// Longest pause, drawn at random, before a balancer campaigns to be the relay, so that
/// few of a data centre write their keys before the others see one.
const CAMPAIGN: Duration = Duration::from_millis(500);

/// Pause before parts that could not be written are written again.
const RETRY: Duration = Duration::from_millis(500);

/// Does the relay's work, forever; `copies` brings the store's keys, none while
/// the store is lost.
pub async fn run(
    store: Client,
    relay: Relay,
    steer: Rc<RefCell<Steer>>,
    mut copies: watch::Receiver<Option<Arc<Snapshot>>>,
) {
    // Held for as long as this runs; dropping it ends the task.
    let mut holder = JoinSet::new();
    loop {
        let copy = copies.borrow_and_update().clone();
        let wanted = |copy: &Option<Arc<Snapshot>>| copy.as_ref().is_some_and(|c| relay.wanted(c));
        if wanted(&copy) && holder.is_empty() {
            tokio::time::sleep(CAMPAIGN.mul_f64(rand::random())).await;
            if wanted(&copies.borrow()) {
                log::info!(event = events::EDGE_RELAY, key = relay.key(), relay = true; "relay");
                holder.spawn_local(hold_key(store.clone(), relay.key().to_string()));
            }
            continue;
        }
        if !wanted(&copy) && !holder.is_empty() {
            holder.shutdown().await;
            log::info!(event = events::EDGE_RELAY, key = relay.key(), relay = false; "not relay");
            // While the store is lost the key lapses by itself.
            if copy.is_some() {
                withdraw(&store, &relay).await;
            }
        }
        let written = match &copy {
            Some(copy) => publish_parts(&store, &relay, &steer, copy).await,
            None => Ok(()),
        };
        let failed = written.is_err();
        if let Err(e) = written {
            log::warn!(event = events::EDGE_RELAY, error:% = format!("{e:#}"); "parts not written");
        }
        tokio::select! {
            changed = copies.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(RETRY), if failed => {}
        }
    }
}

async fn hold_key(store: Client, key: String) {
    // The key says all; its value is never changed.
    let (_value, values) = watch::channel(Vec::new());
    lease::maintain(&store, &key, values, LEASE_MS, &Notify::new()).await;
}

async fn withdraw(store: &Client, relay: &Relay) {
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
    let (due, version) = match steer.borrow().routes() {
        Some(routes) => (relay.due(copy, routes)?, routes.version),
        None => return Ok(()),
    };
    let Some(writes) = due else { return Ok(()) };
    let first = store.compare_and_swap((INDEX, writes.index), &writes.put, &writes.remove).await?;
    log::info!(
        event = events::EDGE_RELAY, version = version, parts = writes.put.len(),
        removed = writes.remove.len(), first = first;
        "configuration published in parts"
    );
    Ok(())
}
