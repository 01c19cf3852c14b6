//! Holding a key under a lease: the heartbeat of agents and balancers.
//!
//! The key lives as long as the lease. The holder renews the lease at a third
//! of its time to live; when a renewal says the lease has lapsed (the holder
//! was paused, or the service lost it), the holder takes a new lease and
//! writes the key again. A new value is written under the same lease.

use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::LeaseStore;
use crate::events;
use crate::metrics::{self, Retry};

/// Longest pause after a failed call: an entry that lapsed while the service
/// was away is to be back about two seconds after its return.
const PAUSE: Duration = Duration::from_millis(500);

/// Holds `key` under a lease of `lease_ms`, with the latest of `value`,
/// forever. Looks whether it is still there when `check` says so.
pub async fn maintain<L: LeaseStore>(
    store: &L,
    key: &str,
    mut value: watch::Receiver<Vec<u8>>,
    lease_ms: u64,
    check: &Notify,
) {
    let ttl = Duration::from_millis(lease_ms.max(1_000));
    let beat = Duration::from_millis((lease_ms / 3).max(100));
    loop {
        let latest = value.borrow_and_update().clone();
        match take(store, key, &latest, ttl).await {
            Ok(lease) => renew(store, key, lease, &mut value, beat, check).await,
            Err(e) => {
                failed(&e);
                tokio::time::sleep(PAUSE.min(beat)).await;
            }
        }
    }
}

async fn take<L: LeaseStore>(
    store: &L,
    key: &str,
    value: &[u8],
    ttl: Duration,
) -> anyhow::Result<i64> {
    let lease = store.grant(ttl).await?;
    store.put(key, value, lease).await?;
    Ok(lease)
}

/// Renews `lease` until it has lapsed.
async fn renew<L: LeaseStore>(
    store: &L,
    key: &str,
    lease: i64,
    value: &mut watch::Receiver<Vec<u8>>,
    beat: Duration,
    check: &Notify,
) {
    // An instant, so that checks and new values do not postpone the renewal.
    let mut due = Instant::now() + beat;
    loop {
        tokio::select! {
            () = check.notified() => match store.exists(key).await {
                Ok(true) => {}
                Ok(false) => {
                    log::warn!(event = events::AGENT_LAPSED, key = key, lease = lease; "entry gone");
                    metrics::retried(Retry::LeaseLapsed);
                    return;
                }
                Err(e) => failed(&e),
            },
            () = tokio::time::sleep_until(due) => match store.keepalive(lease).await {
                Ok(true) => due = Instant::now() + beat,
                Ok(false) => {
                    log::warn!(event = events::AGENT_LAPSED, key = key, lease = lease; "lease lapsed");
                    metrics::retried(Retry::LeaseLapsed);
                    return;
                }
                Err(e) => {
                    failed(&e);
                    due = Instant::now() + PAUSE.min(beat);
                }
            },
            Ok(()) = value.changed() => {
                let latest = value.borrow_and_update().clone();
                if let Err(e) = store.put(key, &latest, lease).await {
                    // The lease may have lapsed; a new one is taken.
                    failed(&e);
                    return;
                }
            }
        }
    }
}

fn failed(e: &anyhow::Error) {
    log::warn!(event = events::AGENT_STORE, error:% = format!("{e:#}"); "store call failed");
    metrics::retried(Retry::StoreError);
}
