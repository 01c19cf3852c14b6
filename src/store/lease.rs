//! Holding a key under a lease: the heartbeat of agents and balancers.
//!
//! The key lives as long as the lease. The holder renews the lease at a third
//! of its time to live; when a renewal says the lease has lapsed (the holder
//! was paused, or the service lost it), the holder takes a new lease and
//! writes the key again. A new value is written under the same lease.

use std::time::Duration;

use tokio::sync::watch;

use super::Client;
use crate::events;
use crate::metrics::{self, Retry};

/// Holds `key` under a lease of `lease_ms`, with the latest of `value`,
/// forever.
pub async fn hold(store: &Client, key: &str, mut value: watch::Receiver<Vec<u8>>, lease_ms: u64) {
    let ttl = (lease_ms / 1_000).max(1) as i64;
    let beat = Duration::from_millis((lease_ms / 3).max(100));
    loop {
        let latest = value.borrow_and_update().clone();
        match take(store, key, &latest, ttl).await {
            Ok(lease) => renew(store, key, lease, &mut value, beat).await,
            Err(e) => {
                failed(&e);
                ntex::time::sleep(beat).await;
            }
        }
    }
}

async fn take(store: &Client, key: &str, value: &[u8], ttl: i64) -> anyhow::Result<i64> {
    let lease = store.grant(ttl).await?;
    store.put(key, value, lease).await?;
    Ok(lease)
}

/// Renews `lease` until it has lapsed.
async fn renew(
    store: &Client,
    key: &str,
    lease: i64,
    value: &mut watch::Receiver<Vec<u8>>,
    beat: Duration,
) {
    loop {
        tokio::select! {
            () = ntex::time::sleep(beat) => match store.keepalive(lease).await {
                Ok(left) if left > 0 => {}
                Ok(_) => {
                    log::warn!("{} lease {lease} of {key} lapsed", events::AGENT_LAPSED);
                    metrics::retried(Retry::LeaseLapsed);
                    return;
                }
                Err(e) => failed(&e),
            },
            Ok(()) = value.changed() => {
                let latest = value.borrow_and_update().clone();
                if let Err(e) = store.put(key, &latest, lease).await {
                    failed(&e);
                    value.mark_changed();
                    ntex::time::sleep(beat).await;
                }
            }
        }
    }
}

fn failed(e: &anyhow::Error) {
    log::warn!("{} {e:#}", events::AGENT_STORE);
    metrics::retried(Retry::StoreError);
}
