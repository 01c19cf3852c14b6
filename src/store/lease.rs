//! Keeps a key in the store under a lease: the registration of an agent or a
//! balancer, which disappears when its process dies.
//!
//! The lease is renewed at a third of its time to live. When it has expired, the key is
//! missing or the store was restored from an older copy, a new lease is granted and the key
//! written again.

use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::LeaseStore;
use crate::events;
use crate::metrics::{self, Retry};

/// Longest pause before a failed call is retried. It bounds how long after an
/// outage an expired key stays missing, which may be about 2 s.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Keeps `key` set to the latest `value` under a lease of `lease_ms` (at least
/// 1 s); never returns. On a notification of `check` it verifies that the key
/// still exists. Calls `on_written` with each value that the store acknowledged.
pub async fn maintain<L: LeaseStore>(
    store: &L,
    key: &str,
    mut value: watch::Receiver<Vec<u8>>,
    lease_ms: u64,
    check: &Notify,
    on_written: impl Fn(&[u8]),
) {
    let ttl = Duration::from_millis(lease_ms.max(1_000));
    let renew_interval = Duration::from_millis((lease_ms / 3).max(100));
    loop {
        let latest = value.borrow_and_update().clone();
        match acquire(store, key, &latest, ttl).await {
            Ok(held) => {
                on_written(&latest);
                // What was just written need not be checked: drops an earlier notification.
                let _ = check.notified().now_or_never();
                let renewal = Renewal { interval: renew_interval, check, on_written: &on_written };
                renew_until_lost(store, key, held, &mut value, &renewal).await;
            }
            Err(e) => {
                record_failure(&e);
                tokio::time::sleep(MAX_RETRY_PAUSE.min(renew_interval)).await;
            }
        }
    }
}

/// A lease, and the store's era in which it was granted. After a restore the lease may be
/// missing or belong to another process, and the key may have an older value.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: i64,
    era: u32,
}

async fn acquire<L: LeaseStore>(
    store: &L,
    key: &str,
    value: &[u8],
    ttl: Duration,
) -> anyhow::Result<HeldLease> {
    let id = store.grant(ttl).await?;
    let era = store.era();
    store.put(key, value, id).await?;
    Ok(HeldLease { id, era })
}

/// How a lease is renewed.
struct Renewal<'a, F> {
    interval: Duration,
    check: &'a Notify,
    on_written: &'a F,
}

/// Renews `held` and writes new values; returns when the lease has expired, the
/// key is missing, a write failed, or the store was restored.
async fn renew_until_lost<L: LeaseStore, F: Fn(&[u8])>(
    store: &L,
    key: &str,
    held: HeldLease,
    value: &mut watch::Receiver<Vec<u8>>,
    renewal: &Renewal<'_, F>,
) {
    let renew_interval = renewal.interval;
    // A fixed instant, so that checks and new values do not postpone the renewal.
    let mut renew_at = Instant::now() + renew_interval;
    let lease = held.id;
    while store.era() == held.era {
        tokio::select! {
            () = renewal.check.notified() => match is_listed(store, key).await {
                Ok(true) => {}
                Ok(false) => {
                    log::warn!(
                        event = events::AGENT_LEASE_EXPIRED, key = key, lease = lease;
                        "key is missing; acquiring a new lease for it"
                    );
                    metrics::count_retry(Retry::LeaseExpired);
                    return;
                }
                Err(e) => record_failure(&e),
            },
            () = tokio::time::sleep_until(renew_at) => match store.keepalive(lease).await {
                Ok(true) => renew_at = Instant::now() + renew_interval,
                Ok(false) => {
                    log::warn!(
                        event = events::AGENT_LEASE_EXPIRED, key = key, lease = lease;
                        "lease expired; acquiring a new one"
                    );
                    metrics::count_retry(Retry::LeaseExpired);
                    return;
                }
                Err(e) => {
                    record_failure(&e);
                    renew_at = Instant::now() + MAX_RETRY_PAUSE.min(renew_interval);
                }
            },
            Ok(()) = value.changed() => {
                let latest = value.borrow_and_update().clone();
                if let Err(e) = store.put(key, &latest, lease).await {
                    // The lease may have expired; the caller acquires a new one.
                    record_failure(&e);
                    return;
                }
                (renewal.on_written)(&latest);
            }
        }
    }
    log::warn!(
        event = events::AGENT_LEASE_EXPIRED, key = key, lease = lease;
        "store was restored from an older copy; acquiring a new lease"
    );
    metrics::count_retry(Retry::LeaseExpired);
}

/// Whether the key exists. One that was written in the last seconds may be missing in an old read.
async fn is_listed<L: LeaseStore>(store: &L, key: &str) -> anyhow::Result<bool> {
    Ok(store.exists(key).await? || store.exists_now(key).await?)
}

fn record_failure(e: &anyhow::Error) {
    log::warn!(
        event = events::AGENT_STORE_UNREACHABLE, error:% = format!("{e:#}");
        "store call for a lease failed; retrying"
    );
    metrics::count_retry(Retry::StoreError);
}
