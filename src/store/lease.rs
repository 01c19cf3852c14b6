//! Holding a key under a lease: the heartbeat of agents and balancers.
//!
//! The key lives as long as the lease. The holder renews the lease at a third
//! of its time to live; when a renewal says the lease has lapsed (the holder
//! was paused, or the service lost it), the holder takes a new lease and
//! writes the key again.

use std::time::Duration;

use super::Client;
use crate::events;
use crate::metrics::{self, Retry};

/// Holds `key` = `value` under a lease of `lease_ms`, forever.
pub async fn hold(store: &Client, key: &str, value: &[u8], lease_ms: u64) {
    let ttl = (lease_ms / 1_000).max(1) as i64;
    let beat = Duration::from_millis((lease_ms / 3).max(100));
    loop {
        let lease = match take(store, key, value, ttl).await {
            Ok(id) => id,
            Err(e) => {
                log::warn!("{} {e:#}", events::AGENT_STORE);
                metrics::retried(Retry::StoreError);
                ntex::time::sleep(beat).await;
                continue;
            }
        };
        loop {
            ntex::time::sleep(beat).await;
            match store.keepalive(lease).await {
                Ok(left) if left > 0 => {}
                Ok(_) => {
                    log::warn!("{} lease {lease} of {key} lapsed", events::AGENT_LAPSED);
                    metrics::retried(Retry::LeaseLapsed);
                    break;
                }
                Err(e) => {
                    log::warn!("{} {e:#}", events::AGENT_STORE);
                    metrics::retried(Retry::StoreError);
                }
            }
        }
    }
}

async fn take(store: &Client, key: &str, value: &[u8], ttl: i64) -> anyhow::Result<i64> {
    let lease = store.grant(ttl).await?;
    store.put(key, value, lease).await?;
    Ok(lease)
}
