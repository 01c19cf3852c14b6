//! A mirror: a local snapshot of every key under a prefix, kept current by a watch.
//!
//! While the store fails, the snapshot keeps its last contents and calls are
//! retried; a watch whose start revision was compacted, or lost when the store was
//! restored, is replaced by a new listing. The revision never decreases. A process
//! that starts during an outage fetches the newest snapshot of its peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use xxhash_rust::xxh3::Xxh3;

use super::revision::RevisionText;
use super::{Change, Kv, WatchStore};
use crate::admin::Connection;
use crate::metrics::{self, Retry};

/// Pause before a failed call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause before a failed call is retried while there is no snapshot yet: shorter,
/// as the process cannot serve anything until then.
const EMPTY_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time limit on fetching the snapshot of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Keys with their values and revisions.
pub type KeyMap = BTreeMap<Arc<str>, Kv>;

/// The keys under a prefix at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's revision; 0 before the first listing.
    pub rev: i64,
    /// Revision up to which every key under the mirror's prefix is current; below `rev`
    /// while only a narrower prefix is watched.
    pub complete_rev: i64,
    /// The keys at that revision.
    pub keys: KeyMap,
}

impl Snapshot {
    /// Reads every key under `prefix` from the store.
    ///
    /// # Errors
    ///
    /// As [`WatchStore::list`].
    pub async fn list<S: WatchStore>(store: &S, prefix: &str) -> anyhow::Result<Self> {
        let (rev, kvs) = store.list(prefix).await?;
        let keys = kvs.into_iter().map(|kv| (kv.key.clone(), kv)).collect();
        Ok(Self { rev, complete_rev: rev, keys })
    }

    /// Applies the changes that a watch returned up to revision `rev`.
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

    /// Whether a change of `key` at `rev` is at least as new as its entry. A
    /// listing may contain entries newer than the snapshot's revision; a watch from
    /// the snapshot's revision then returns older changes, which must not be applied.
    fn accepts(&self, key: &str, rev: i64) -> bool {
        self.keys.get(key).is_none_or(|kv| kv.rev <= rev)
    }

    /// Replaces the snapshot by `other` if that is newer; returns whether it was.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let newer = other.rev > self.rev;
        if newer {
            *self = other;
        }
        newer
    }

    /// The changes that turn this snapshot into `other`, in no particular order.
    #[must_use]
    pub fn changes_to(&self, other: &Self) -> Vec<Change> {
        let rev_of = |keys: &KeyMap, key: &str| keys.get(key).map(|kv| kv.rev);
        let puts = other.keys.values().filter(|kv| rev_of(&self.keys, &kv.key) != Some(kv.rev));
        let gone = self.keys.keys().filter(|key| !other.keys.contains_key(*key));
        let deletes = gone.map(|key| Change::Delete { key: key.clone(), rev: other.rev });
        puts.cloned().map(Change::Put).chain(deletes).collect()
    }

    /// Hash of the keys under `prefix` and their revisions, for comparing the
    /// snapshots of two processes.
    #[must_use]
    pub fn fingerprint(&self, prefix: &str) -> u64 {
        let mut hash = Xxh3::new();
        for (key, kv) in self.keys.iter().filter(|(k, _)| k.starts_with(prefix)) {
            hash.update(key.as_bytes());
            hash.update(&kv.rev.to_le_bytes());
        }
        hash.digest()
    }

    /// A snapshot of just the keys under `prefix`.
    #[must_use]
    pub fn filter_prefix(&self, prefix: &str) -> Self {
        let keys = self.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        Self {
            rev: self.rev,
            complete_rev: self.complete_rev,
            keys: keys.map(|(k, v)| (k.clone(), v.clone())).collect(),
        }
    }
}

/// Where a mirror reads, and how.
#[derive(Clone)]
pub struct Source<S> {
    /// The key-value store.
    pub store: S,
    /// Prefix of the mirrored keys.
    pub prefix: String,
    /// Prefixes of all keys that the caller uses, in the order in which a mirror that has
    /// no snapshot reads and reports them. What it reads may be some seconds old until the watch
    /// that follows. Empty: all keys are read at once.
    pub start_order: Vec<String>,
    /// Processes whose own snapshots include this prefix.
    pub peers: Vec<SocketAddr>,
    /// When snapshots are fetched from the peers.
    pub peer_fallback: PeerFallback,
    /// Pause after a change before the next watch call. A longer pause delays
    /// changes but returns more of them per call, so that the start of many
    /// agents causes few calls.
    pub batch_delay: Duration,
    /// Restarts the call in progress when notified, because the call's response
    /// may be outdated after the process was suspended.
    pub refresh: Arc<Notify>,
}

/// When a mirror fetches the snapshots of its peers after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFallback {
    /// Only while it has no snapshot. For callers that treat a process without
    /// registration as dead: a peer's newer snapshot may lack registrations whose
    /// leases expired in the outage.
    WhenEmpty,
    /// After every failure. For callers that detect dead processes by probing them.
    Always,
}

/// What a mirror reports to its caller.
#[derive(Debug)]
pub enum MirrorEvent<'a> {
    /// The snapshot changed.
    Updated(&'a Snapshot),
    /// A call to the store failed and is retried after a pause.
    StoreFailed(&'a anyhow::Error),
    /// The store responded for the first time since the start, a failure or
    /// [`Source::refresh`].
    Recovered,
    /// The snapshot holds every change that the store had acknowledged when it was asked.
    Checked {
        /// When it was asked.
        asked_at: Instant,
    },
}

/// Keeps a snapshot current and calls `on_event` for each [`MirrorEvent`]; never
/// returns.
///
/// `choose_prefix` may return a narrower prefix that is enough to watch for the
/// given snapshot. When it returns `None` again, everything is listed anew, as changes
/// outside the narrower prefix were missed.
pub async fn follow<S, P, F>(source: &Source<S>, choose_prefix: P, mut on_event: F)
where
    S: WatchStore,
    P: Fn(&Snapshot) -> Option<&'static str>,
    F: FnMut(MirrorEvent<'_>),
{
    let mut snapshot = Snapshot::default();
    let mut narrow_prefix;
    let mut needs_list = true;
    let mut recovering = true;
    // Prefixes of `start_order` that are read.
    let mut start_reads = 0;
    loop {
        narrow_prefix = choose_prefix(&snapshot);
        needs_list |= narrow_prefix.is_none() && snapshot.complete_rev < snapshot.rev;
        let (asked_at, is_listing) = (Instant::now(), needs_list);
        // While recovering, calls do not wait for changes, so that the first response
        // shows at once that the store works.
        let outcome = tokio::select! {
            biased;
            () = source.refresh.notified() => {
                recovering = true;
                continue;
            }
            outcome = async {
                match source.start_order.get(start_reads) {
                    Some(_) => read_start(source, start_reads, &mut snapshot).await,
                    None => {
                        list_or_watch(source, needs_list, narrow_prefix, &mut snapshot, !recovering)
                            .await
                    }
                }
            } => outcome,
        };
        // Listings at the start may be old and so do not show that the store works.
        let is_current = matches!(outcome, Ok(ReadOutcome::Changed | ReadOutcome::Unchanged));
        // A call that waits may be answered by another process.
        let is_check = is_current && narrow_prefix.is_none() && (recovering || is_listing);
        if is_current && recovering {
            recovering = false;
            on_event(MirrorEvent::Recovered);
        }
        match outcome {
            Ok(ReadOutcome::Unchanged) => {
                needs_list = false;
                if is_check {
                    on_event(MirrorEvent::Checked { asked_at });
                }
            }
            Ok(ReadOutcome::Started) => {
                start_reads += 1;
                needs_list &= start_reads < source.start_order.len();
                on_event(MirrorEvent::Updated(&snapshot));
            }
            Ok(ReadOutcome::Changed) => {
                needs_list = false;
                on_event(MirrorEvent::Updated(&snapshot));
                if is_check {
                    on_event(MirrorEvent::Checked { asked_at });
                }
                if !source.batch_delay.is_zero() {
                    tokio::time::sleep(source.batch_delay).await;
                }
            }
            Ok(ReadOutcome::Compacted) => {
                metrics::count_retry(Retry::WatchCompacted);
                needs_list = true;
            }
            Err(e) => {
                start_reads = source.start_order.len();
                on_event(MirrorEvent::StoreFailed(&e));
                metrics::count_retry(Retry::StoreError);
                recovering = true;
                let use_peers = source.peer_fallback == PeerFallback::Always || snapshot.rev == 0;
                if use_peers && update_from_peers(source, &mut snapshot).await {
                    on_event(MirrorEvent::Updated(&snapshot));
                }
                tokio::time::sleep(if snapshot.rev == 0 { EMPTY_RETRY_PAUSE } else { RETRY_PAUSE })
                    .await;
            }
        }
    }
}

/// Effect of one call to the store on the snapshot.
enum ReadOutcome {
    Unchanged,
    Changed,
    Compacted,
    /// The keys under one prefix of [`Source::start_order`] are read.
    Started,
}

/// Reads the keys under the `n`-th prefix of [`Source::start_order`]. As in a listing that is read
/// in pages, some may be newer than the snapshot's revision.
async fn read_start<S: WatchStore>(
    source: &Source<S>,
    n: usize,
    snapshot: &mut Snapshot,
) -> anyhow::Result<ReadOutcome> {
    let (rev, kvs) = source.store.list_stale(&source.start_order[n]).await?;
    snapshot.rev = if n == 0 { rev } else { snapshot.rev.min(rev) };
    snapshot.keys.extend(kvs.into_iter().map(|kv| (kv.key.clone(), kv)));
    if n + 1 == source.start_order.len() {
        snapshot.complete_rev = snapshot.rev;
    }
    Ok(ReadOutcome::Started)
}

/// Lists all keys if `needs_list`, else watches for changes.
async fn list_or_watch<S: WatchStore>(
    source: &Source<S>,
    needs_list: bool,
    narrow_prefix: Option<&str>,
    snapshot: &mut Snapshot,
    wait: bool,
) -> anyhow::Result<ReadOutcome> {
    if needs_list {
        relist(source, snapshot).await
    } else {
        watch(source, narrow_prefix, snapshot, wait).await
    }
}

async fn relist<S: WatchStore>(
    source: &Source<S>,
    snapshot: &mut Snapshot,
) -> anyhow::Result<ReadOutcome> {
    let listed = Snapshot::list(&source.store, &source.prefix).await?;
    if listed.rev < snapshot.rev {
        anyhow::bail!(
            "list {}: revision {} is older than the snapshot's {}",
            source.prefix,
            RevisionText(listed.rev),
            RevisionText(snapshot.rev)
        );
    }
    // A snapshot updated only by a narrower watch may lack keys even at the same revision.
    let changed = snapshot.rev == 0 || listed != *snapshot;
    source.store.note_listing(snapshot, &listed);
    *snapshot = listed;
    Ok(if changed { ReadOutcome::Changed } else { ReadOutcome::Unchanged })
}

async fn watch<S: WatchStore>(
    source: &Source<S>,
    narrow_prefix: Option<&str>,
    snapshot: &mut Snapshot,
    wait: bool,
) -> anyhow::Result<ReadOutcome> {
    let prefix = narrow_prefix.unwrap_or(&source.prefix);
    let batch = source.store.watch(prefix, snapshot.rev, wait).await?;
    if batch.compacted {
        return Ok(ReadOutcome::Compacted);
    }
    let changed = !batch.changes.is_empty();
    snapshot.apply(batch.rev, batch.changes);
    if narrow_prefix.is_none() {
        snapshot.complete_rev = snapshot.rev;
    }
    Ok(if changed { ReadOutcome::Changed } else { ReadOutcome::Unchanged })
}

/// Replaces the snapshot by the newest one of the peers; returns whether any was
/// newer. All peers are queried at once, so that unresponsive ones add no delay.
async fn update_from_peers<S>(source: &Source<S>, snapshot: &mut Snapshot) -> bool {
    let fetches = source.peers.iter().map(|addr| fetch_peer_snapshot(*addr));
    let snapshots = futures_util::future::join_all(fetches).await;
    let mut updated = false;
    for peer_snapshot in snapshots.into_iter().flatten() {
        updated |= snapshot.replace_if_newer(peer_snapshot.filter_prefix(&source.prefix));
    }
    updated
}

async fn fetch_peer_snapshot(addr: SocketAddr) -> Option<Arc<Snapshot>> {
    match Connection::connect(addr, PEER_TIMEOUT).await {
        Ok(peer) => peer.fetch_snapshot().await,
        Err(e) => Err(e),
    }
    .inspect_err(|e| {
        log::debug!(
            event = crate::events::PEER_SNAPSHOT_FAILED, error:% = format!("{e:#}");
            "fetching a snapshot from a peer failed"
        );
    })
    .ok()
}
