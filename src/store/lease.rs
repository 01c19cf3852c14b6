//! Keeps a key in the store under a lease: the registration of an agent or a
//! balancer, which disappears when its process dies.
//!
//! The lease is renewed at a third of its time to live. When it has expired, the key is
//! missing, another process has written it or the store was restored from an older copy, a new
//! lease is granted and the key written again. Every write is conditional: one without an answer may be
//! executed after another process has taken over the key.

use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::{LeaseStore, PutOutcome};
use crate::events;
use crate::metrics::{self, Retry};

/// Longest pause before a failed call is retried. It bounds how long after an
/// outage an expired key stays missing, which may be about 2 s.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Writes tried in a row while the key turns out to be at another revision than the last one known.
const MAX_CONFLICTS: u32 = 3;

/// Keeps `key` set to the latest `value` under a lease of `lease_ms` (at least
/// 1 s); never returns. On a notification of `check` it verifies that the key
/// is still its own. `rev` is the key's revision as far as it is known; 0 if it did not exist. Calls
/// `on_written` with each value that the store acknowledged.
pub async fn maintain<L: LeaseStore>(
    store: &L,
    key: &str,
    mut value: watch::Receiver<Vec<u8>>,
    lease_ms: u64,
    check: &Notify,
    mut rev: i64,
    on_written: impl Fn(&[u8]),
) {
    let ttl = Duration::from_millis(lease_ms.max(1_000));
    let renew_interval = Duration::from_millis((lease_ms / 3).max(100));
    loop {
        let latest = value.borrow_and_update().clone();
        match acquire(store, key, &latest, ttl, &mut rev).await {
            Ok(held) => {
                on_written(&latest);
                // What was just written need not be checked: drops an earlier notification.
                let _ = check.notified().now_or_never();
                let renewal = Renewal { interval: renew_interval, check, on_written: &on_written };
                renew_until_lost(store, key, held, &mut value, &mut rev, &renewal).await;
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
    rev: &mut i64,
) -> anyhow::Result<HeldLease> {
    let id = store.grant(ttl).await?;
    let era = store.era();
    replace(store, key, value, id, rev).await?;
    Ok(HeldLease { id, era })
}

/// Writes `key` over whatever it has: only the process that runs has a claim to it. `rev` is
/// the key's revision as far as it is known, before and after.
async fn replace<L: LeaseStore>(
    store: &L,
    key: &str,
    value: &[u8],
    lease: i64,
    rev: &mut i64,
) -> anyhow::Result<()> {
    for _ in 0..MAX_CONFLICTS {
        match store.put_at(key, value, lease, *rev).await? {
            PutOutcome::Written(written) => {
                *rev = written;
                return Ok(());
            }
            PutOutcome::Conflict(current) => *rev = current,
        }
    }
    anyhow::bail!("put {key}: changed by another process {MAX_CONFLICTS} times")
}

/// How a lease is renewed.
struct Renewal<'a, F> {
    interval: Duration,
    check: &'a Notify,
    on_written: &'a F,
}

/// Renews `held` and writes new values; returns when the lease has expired, the
/// key is missing or another process's, a write failed, or the store was restored.
async fn renew_until_lost<L: LeaseStore, F: Fn(&[u8])>(
    store: &L,
    key: &str,
    held: HeldLease,
    value: &mut watch::Receiver<Vec<u8>>,
    rev: &mut i64,
    renewal: &Renewal<'_, F>,
) {
    let renew_interval = renewal.interval;
    // A fixed instant, so that checks and new values do not postpone the renewal.
    let mut renew_at = Instant::now() + renew_interval;
    let lease = held.id;
    while store.era() == held.era {
        tokio::select! {
            () = renewal.check.notified() => match store.holds(key, lease).await {
                Ok(true) => {}
                Ok(false) => {
                    log::warn!(
                        event = events::AGENT_LEASE_EXPIRED, key = key, lease = lease;
                        "key is missing or not this process's own; acquiring a new lease for it"
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
                if let Err(e) = replace(store, key, &latest, lease, rev).await {
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

fn record_failure(e: &anyhow::Error) {
    log::warn!(
        event = events::AGENT_STORE_UNREACHABLE, error:% = format!("{e:#}");
        "store call for a lease failed; retrying"
    );
    metrics::count_retry(Retry::StoreError);
}
