//! A local copy of every key under a prefix, kept current by a watch.
//!
//! The copy survives outages of the service: while calls fail it keeps what
//! it last saw, retries with a pause, and lists again when the watch has
//! fallen behind the kept history.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Change, Client, Kv};
use crate::metrics::{self, Retry};

/// Pause after a failed call, in milliseconds.
const PAUSE_MS: u64 = 300;

/// Keys under one prefix, as last seen.
pub type Copy = BTreeMap<Arc<str>, Kv>;

/// Keeps `copy` current and calls `seen` after each change, forever.
///
/// `fail` is called with each error before the pause, for logging.
pub async fn follow<F, E>(store: &Client, prefix: &str, mut seen: F, mut fail: E)
where
    F: FnMut(&Copy),
    E: FnMut(&anyhow::Error),
{
    let mut copy = Copy::new();
    let mut next = 0;
    loop {
        if next == 0 {
            match store.list(prefix).await {
                Ok((rev, kvs)) => {
                    copy = kvs.into_iter().map(|kv| (kv.key.clone(), kv)).collect();
                    next = rev + 1;
                    seen(&copy);
                }
                Err(e) => {
                    fail(&e);
                    metrics::retried(Retry::StoreError);
                    ntex::time::sleep(Duration::from_millis(PAUSE_MS)).await;
                }
            }
            continue;
        }
        match store.watch(prefix, next).await {
            Ok(batch) if batch.compacted => {
                metrics::retried(Retry::WatchCompacted);
                next = 0;
            }
            Ok(batch) => {
                let changed = !batch.changes.is_empty();
                for change in batch.changes {
                    match change {
                        Change::Put(kv) => {
                            next = next.max(kv.rev + 1);
                            copy.insert(kv.key.clone(), kv);
                        }
                        Change::Delete(key) => {
                            copy.remove(&key);
                        }
                    }
                }
                next = next.max(batch.rev + 1);
                if changed {
                    seen(&copy);
                }
            }
            Err(e) => {
                fail(&e);
                metrics::retried(Retry::StoreError);
                ntex::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }
}
