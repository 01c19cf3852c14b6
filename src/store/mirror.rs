//! A local copy of every key under a prefix, kept current by a watch.
//!
//! The copy survives outages of the service: while calls fail it keeps what
//! it last saw, retries with a pause, and lists again when the watch has
//! fallen behind the kept history. It never goes back to an older revision. A
//! process that starts while the service is down takes the newest copy that
//! its peers hold.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3::Xxh3;

use super::{Change, Kv, WatchStore};
use crate::admin::Peer;
use crate::metrics::{self, Retry};

/// Pause after a failed call by a process that has a copy to go by.
const PAUSE: Duration = Duration::from_millis(400);

/// Pause after a failed call by a process that has none and so can serve
/// nothing: each call that fails costs the service little.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// How long a peer may take to hand over its copy.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Keys under one prefix, as last seen.
pub type KeyMap = BTreeMap<Arc<str>, Kv>;

/// A copy with the store's revision that it reflects; 0 for none yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's revision.
    pub rev: i64,
    /// The keys at that revision.
    pub keys: KeyMap,
}

impl Snapshot {
    /// Reads every key under `prefix` from the store.
    ///
    /// # Errors
    ///
    /// As [`WatchStore::list`].
    pub async fn list<K: WatchStore>(store: &K, prefix: &str) -> anyhow::Result<Self> {
        let (rev, kvs) = store.list(prefix).await?;
        let keys = kvs.into_iter().map(|kv| (kv.key.clone(), kv)).collect();
        Ok(Self { rev, keys })
    }

    /// Applies changes seen by a watch up to revision `rev`.
    pub fn apply(&mut self, rev: i64, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(kv) if self.accepts(&kv.key, kv.rev) => {
                    self.rev = self.rev.max(kv.rev);
                    self.keys.insert(kv.key.clone(), kv);
                }
                Change::Delete { key, rev } if self.accepts(&key, rev) => {
                    self.keys.remove(&key);
                }
                Change::Put(_) | Change::Delete { .. } => {}
            }
        }
        self.rev = self.rev.max(rev);
    }

    /// Whether what is known of `key` is not newer than `rev`. A listing that
    /// came in several pages may hold a key newer than the revision from which
    /// it is watched; what the watch then repeats must not bring back an older
    /// value.
    fn accepts(&self, key: &str, rev: i64) -> bool {
        self.keys.get(key).is_none_or(|kv| kv.rev <= rev)
    }

    /// Takes `other` if it is newer; says whether it did.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let newer = other.rev > self.rev;
        if newer {
            *self = other;
        }
        newer
    }

    /// A stamp of the keys under `prefix`, the same wherever the same keys are
    /// at the same revisions.
    #[must_use]
    pub fn fingerprint(&self, prefix: &str) -> u64 {
        let mut hash = Xxh3::new();
        for (key, kv) in self.keys.iter().filter(|(k, _)| k.starts_with(prefix)) {
            hash.update(key.as_bytes());
            hash.update(&kv.rev.to_le_bytes());
        }
        hash.digest()
    }

    /// Only the keys under `prefix`.
    #[must_use]
    pub fn with_prefix(&self, prefix: &str) -> Self {
        let keys = self.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        Self { rev: self.rev, keys: keys.map(|(k, v)| (k.clone(), v.clone())).collect() }
    }
}

/// Where a mirror gets its copy from.
#[derive(Clone)]
pub struct Source<K> {
    /// The key-value service.
    pub store: K,
    /// The prefix to copy.
    pub prefix: String,
    /// Processes that hold a copy of at least this prefix.
    pub peers: Vec<SocketAddr>,
    /// When they are asked.
    pub peer_fallback: PeerFallback,
    /// Pause after a change before the next is asked for: changes that come
    /// together (many agents start at once) cost one call instead of many.
    pub batch_delay: Duration,
    /// Has the service read again at once: after a pause of the process, an answer on its
    /// way may be old.
    pub refresh: Arc<Notify>,
}

/// When a mirror whose service fails asks its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFallback {
    /// While it has no copy. Where a missing announcement counts as a dead
    /// process, a peer's newer copy may carry a lapse of leases that this
    /// process was spared, and a process that starts next would believe it.
    WhenEmpty,
    /// At each failure, where processes are judged by their own answers.
    Always,
}

/// What a mirror tells its owner.
#[derive(Debug)]
pub enum MirrorEvent<'a> {
    /// The copy changed.
    Updated(&'a Snapshot),
    /// A call to the service failed; it is made again after a pause.
    StoreFailed(&'a anyhow::Error),
    /// The service answers, for the first time, after a failure or after
    /// [`Source::refresh`].
    Recovered,
}

/// Keeps a copy current and calls `tell` with what happens, forever.
///
/// `scope` may name a narrower prefix that is enough to watch, as long as it
/// says so of the present copy. Once it no longer does, everything is listed
/// again: changes outside that prefix were not seen.
pub async fn follow<K, S, F>(source: &Source<K>, scope: S, mut tell: F)
where
    K: WatchStore,
    S: Fn(&Snapshot) -> Option<&'static str>,
    F: FnMut(MirrorEvent<'_>),
{
    let mut copy = Snapshot::default();
    let mut narrow = None;
    let mut list = true;
    let mut lost = true;
    loop {
        let before = std::mem::replace(&mut narrow, scope(&copy));
        list |= before.is_some() && narrow.is_none();
        let step = tokio::select! {
            biased;
            () = source.refresh.notified() => {
                lost = true;
                continue;
            }
            step = read(source, list, narrow, &mut copy, !lost) => step,
        };
        if step.is_ok() && lost {
            lost = false;
            tell(MirrorEvent::Recovered);
        }
        match step {
            Ok(Step::Same) => list = false,
            Ok(Step::Changed) => {
                list = false;
                tell(MirrorEvent::Updated(&copy));
                if !source.batch_delay.is_zero() {
                    tokio::time::sleep(source.batch_delay).await;
                }
            }
            Ok(Step::Compacted) => {
                metrics::retried(Retry::WatchCompacted);
                list = true;
            }
            Err(e) => {
                tell(MirrorEvent::StoreFailed(&e));
                metrics::retried(Retry::StoreError);
                lost = true;
                let ask = source.peer_fallback == PeerFallback::Always || copy.rev == 0;
                if ask && from_peers(source, &mut copy).await {
                    tell(MirrorEvent::Updated(&copy));
                }
                tokio::time::sleep(if copy.rev == 0 { EMPTY_PAUSE } else { PAUSE }).await;
            }
        }
    }
}

/// What one call to the store did to the copy.
enum Step {
    Same,
    Changed,
    Compacted,
}

async fn read<K: WatchStore>(
    source: &Source<K>,
    list: bool,
    narrow: Option<&str>,
    copy: &mut Snapshot,
    wait: bool,
) -> anyhow::Result<Step> {
    if list { relist(source, copy).await } else { watch(source, narrow, copy, wait).await }
}

async fn relist<K: WatchStore>(source: &Source<K>, copy: &mut Snapshot) -> anyhow::Result<Step> {
    let listed = Snapshot::list(&source.store, &source.prefix).await?;
    if listed.rev < copy.rev {
        let (rev, prefix) = (listed.rev, &source.prefix);
        anyhow::bail!("list {prefix}: revision {rev} is older than {}", copy.rev);
    }
    // The same revision may show other keys than a copy that was kept current
    // by a narrower watch.
    let changed = copy.rev == 0 || listed != *copy;
    *copy = listed;
    Ok(if changed { Step::Changed } else { Step::Same })
}

async fn watch<K: WatchStore>(
    source: &Source<K>,
    narrow: Option<&str>,
    copy: &mut Snapshot,
    wait: bool,
) -> anyhow::Result<Step> {
    let prefix = narrow.unwrap_or(&source.prefix);
    let batch = source.store.watch(prefix, copy.rev, wait).await?;
    if batch.compacted {
        return Ok(Step::Compacted);
    }
    let changed = !batch.changes.is_empty();
    copy.apply(batch.rev, batch.changes);
    Ok(if changed { Step::Changed } else { Step::Same })
}

/// Takes the newest copy that a peer holds; says whether there was one. The
/// peers are asked at the same time: the store may be back before silent ones
/// have been waited for in turn.
async fn from_peers<K>(source: &Source<K>, copy: &mut Snapshot) -> bool {
    let asked = source.peers.iter().map(|addr| peer_copy(*addr));
    let copies = futures_util::future::join_all(asked).await;
    let mut found = false;
    for theirs in copies.into_iter().flatten() {
        found |= copy.replace_if_newer(theirs.with_prefix(&source.prefix));
    }
    found
}

async fn peer_copy(addr: SocketAddr) -> Option<Arc<Snapshot>> {
    match Peer::connect(addr, PEER_TIMEOUT).await {
        Ok(peer) => peer.copy().await,
        Err(e) => Err(e),
    }
    .inspect_err(
        |e| log::debug!(event = crate::events::PEER_SILENT, error:% = format!("{e:#}"); "no copy"),
    )
    .ok()
}
