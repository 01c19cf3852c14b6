//! Watches that several processes share: one of them, the distributor, watches the store, and the
//! others, its subscribers, get the changes from it. The load on the store so does not grow
//! with the number of processes.
//!
//! A subscriber watches the store itself whenever no distributor answers it. What it
//! knows may be older than the store for as long as a failed distributor takes to be
//! detected; [`DistributedStore::is_subscribed`] tells when that is so.

mod change_log;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
pub use change_log::{
    DatedReply, MAX_SUBSCRIBERS, POLL_WAIT, PollReply, SharedLog, max_reply_bytes,
};

use super::{Kv, WatchBatch, WatchStore};
use crate::admin::Connection;
use crate::events;
use crate::metrics::{self, Retry};

/// Time limit on a poll, which includes connecting to the distributor.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a distributor that did not answer, or is not current, is not polled again. A
/// larger value costs calls to the store; a smaller one delays changes repeatedly.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// How long one that is full is not polled again.
const FULL_DELAY: Duration = Duration::from_secs(30);

/// How a [`DistributedStore`] watches.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Pause after a change before the store is watched again, so that one call returns a burst
    /// of changes.
    pub batch_delay: Duration,
    /// How long to watch the store directly after [`DistributedStore::watch_directly`].
    pub direct_time: Duration,
    /// Time after a distributor's read of the store in which its subscribers rely on it. Must
    /// cover the time between two reads.
    pub max_age: Duration,
}

/// A store whose watches are answered by a distributor where there is one. Clones share their
/// state.
#[derive(Clone)]
pub struct DistributedStore<S> {
    /// For watches of a process that is no distributor, and for all other calls.
    store: S,
    /// For watches of a distributor.
    distributor_store: S,
    own_ip: Ipv4Addr,
    timing: WatchTiming,
    log: SharedLog,
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Distributors, the preferred one first.
    distributors: RefCell<Vec<SocketAddr>>,
    connection: RefCell<Option<(SocketAddr, Connection)>>,
    /// Distributors that are not polled, and until when.
    skipped: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whether every distributor is full.
    all_full: Cell<bool>,
    /// Whether this process is a distributor.
    distributes: Cell<bool>,
    /// Whether the last known changes may come from a distributor.
    subscribed: Cell<bool>,
    /// Until when the store is watched directly.
    direct_until: Cell<Option<Instant>>,
    /// Until when what is known counts as current; `None` before the first read.
    fresh_until: Cell<Option<Instant>>,
    /// When the store last returned a change.
    changed_at: Cell<Option<Instant>>,
}

impl<S> DistributedStore<S> {
    /// A store without distributors yet. As a distributor, this process watches
    /// through `distributor_store` and writes `log`; `own_ip` names it to others.
    pub fn new(
        store: S,
        distributor_store: S,
        own_ip: Ipv4Addr,
        timing: WatchTiming,
        log: SharedLog,
    ) -> Self {
        Self { store, distributor_store, own_ip, timing, log, state: Rc::default() }
    }

    /// Sets the distributors to poll, the preferred one first.
    pub fn set_distributors(&self, addrs: Vec<SocketAddr>) {
        let skipped = self.state.skipped.borrow();
        let all_tried = !addrs.is_empty() && addrs.iter().all(|a| skipped.contains_key(a));
        self.state.all_full.set(self.state.all_full.get() && all_tried);
        self.state.distributors.replace(addrs);
    }

    /// Sets whether this process is a distributor. One that ceases to be so sends its
    /// subscribers elsewhere at once.
    pub fn set_distributing(&self, distributes: bool) {
        metrics::set_state("distributes", distributes.into());
        if self.state.distributes.replace(distributes) && !distributes {
            self.log.close();
        }
    }

    /// Whether this process is a distributor.
    #[must_use]
    pub fn is_distributing(&self) -> bool {
        self.state.distributes.get()
    }

    /// Whether the last known changes may come from a distributor, and so be older
    /// than the store for longer than a call takes.
    #[must_use]
    pub fn is_subscribed(&self) -> bool {
        self.state.subscribed.get()
    }

    /// Whether every distributor has refused this process as it serves enough others.
    #[must_use]
    pub fn all_full(&self) -> bool {
        self.state.all_full.get()
    }

    /// Watches the store directly for some time, from the next call on. Returns false if it
    /// does already.
    pub fn watch_directly(&self, now: Instant) -> bool {
        let running = self.state.direct_until.get().is_some_and(|at| now < at);
        if !running {
            self.state.direct_until.set(Some(now + self.timing.direct_time));
        }
        !running
    }

    /// The distributor to poll, unless the store is to be watched directly.
    fn choose_distributor(&self, now: Instant) -> Option<SocketAddr> {
        let state = &self.state;
        if state.distributes.get() || state.direct_until.get().is_some_and(|at| now < at) {
            return None;
        }
        state.skipped.borrow_mut().retain(|_, until| now < *until);
        let skipped = state.skipped.borrow();
        state.distributors.borrow().iter().find(|addr| !skipped.contains_key(addr)).copied()
    }

    /// Time limit on a poll that begins now: what is known must not become too old meanwhile.
    fn poll_timeout(&self, now: Instant) -> Duration {
        let fresh_until = self.state.fresh_until.get();
        fresh_until.map_or(POLL_TIMEOUT, |at| POLL_TIMEOUT.min(at.saturating_duration_since(now)))
    }

    fn skip(&self, addr: SocketAddr, delay: Duration) {
        self.state.connection.replace(None);
        self.state.skipped.borrow_mut().insert(addr, Instant::now() + delay);
    }

    /// Polls distributors for changes; `None` if the store must be watched directly.
    ///
    /// After the first distributor that does not answer, or has lost the store, no other is
    /// polled: their timeouts would add up to more than changes may take.
    async fn poll_distributors(&self, prefix: &str, after: i64) -> Option<WatchBatch> {
        let mut any_full = false;
        while let Some(addr) = self.choose_distributor(Instant::now()) {
            self.state.subscribed.set(true);
            let started = Instant::now();
            let timeout = self.poll_timeout(started);
            if timeout.is_zero() {
                break;
            }
            let reply = self.poll(addr, prefix, after, timeout).await;
            let current = matches!(&reply, Ok(r) if matches!(r.reply, PollReply::Changes { .. }));
            metrics::record_store_call("poll", current, started.elapsed());
            let reply = reply.map(|dated| self.check_age(dated, started));
            match reply {
                Ok(PollReply::Changes { rev, changes }) => {
                    self.state.all_full.set(false);
                    return Some(WatchBatch { rev, compacted: false, changes });
                }
                Ok(PollReply::ReadStore) => return None,
                Ok(PollReply::Full) => {
                    any_full = true;
                    self.skip(addr, FULL_DELAY);
                }
                Ok(PollReply::NotCurrent) => {
                    self.skip(addr, RETRY_DELAY);
                    break;
                }
                Err(e) => {
                    log::info!(
                        event = events::DISTRIBUTOR_LOST, error:% = format!("{e:#}");
                        "distributor does not answer; watching the store"
                    );
                    metrics::count_retry(Retry::DistributorLost);
                    self.skip(addr, RETRY_DELAY);
                    break;
                }
            }
        }
        if any_full {
            self.state.all_full.set(true);
        }
        None
    }

    /// Returns the reply to a poll that began at `started`, or [`PollReply::NotCurrent`] if it is
    /// too old.
    fn check_age(&self, dated: DatedReply, started: Instant) -> PollReply {
        if !matches!(dated.reply, PollReply::Changes { .. }) {
            return dated.reply;
        }
        let Some(remaining) = self.timing.max_age.checked_sub(dated.age) else {
            return PollReply::NotCurrent;
        };
        // The distributor replied no earlier than that. Time in transit counts as age.
        let replied_at = started + dated.held.min(started.elapsed());
        self.state.fresh_until.set(Some(replied_at + remaining));
        dated.reply
    }

    async fn poll(
        &self,
        addr: SocketAddr,
        prefix: &str,
        after: i64,
        timeout: Duration,
    ) -> anyhow::Result<DatedReply> {
        let poll = async {
            let known = self.state.connection.borrow().clone().filter(|(to, _)| *to == addr);
            let connection = match known {
                Some((_, connection)) => connection,
                None => {
                    let connection = Connection::connect(addr, POLL_TIMEOUT).await?;
                    self.state.connection.replace(Some((addr, connection.clone())));
                    connection
                }
            };
            connection.poll_changes(self.own_ip, prefix, after).await
        };
        tokio::time::timeout(timeout, poll)
            .await
            .with_context(|| format!("polling {addr}: no reply in {timeout:?}"))?
    }
}

impl<S: WatchStore> DistributedStore<S> {
    /// Watches the store itself. As a distributor, adds what it reads to the log.
    async fn watch_store(
        &self,
        prefix: &str,
        after: i64,
        wait: bool,
    ) -> anyhow::Result<WatchBatch> {
        // Closes the log also when the call is dropped, as the process may have been suspended.
        let close = CloseOnDrop(&self.log);
        let batch_end = self.state.changed_at.get().map(|at| at + self.timing.batch_delay);
        if let Some(at) = batch_end.filter(|_| wait) {
            tokio::time::sleep_until(at.into()).await;
        }
        // The first call after a distributor's replies does not wait: the store may have been
        // restored unnoticed, and then waits for a revision that it does not have yet.
        let wait = wait && !self.state.subscribed.get();
        let distributes = self.state.distributes.get() && prefix.is_empty();
        let store = if distributes { &self.distributor_store } else { &self.store };
        // Subscribers wait for a log to open.
        let wait = wait && (!distributes || self.log.is_open());
        let batch = store.watch(prefix, after, wait).await?;
        if batch.compacted {
            return Ok(batch);
        }
        if distributes {
            self.log.record(after, &batch);
        }
        close.keep_open();
        self.state.subscribed.set(false);
        self.state.fresh_until.set(Some(Instant::now() + self.timing.max_age));
        if !batch.changes.is_empty() {
            self.state.changed_at.set(Some(Instant::now()));
        }
        Ok(batch)
    }
}

impl<S: WatchStore> WatchStore for DistributedStore<S> {
    async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        self.store.list(prefix).await
    }

    /// A call that does not wait always goes to the store.
    async fn watch(&self, prefix: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        if wait && let Some(batch) = self.poll_distributors(prefix, after).await {
            return Ok(batch);
        }
        self.watch_store(prefix, after, wait).await
    }
}

/// Closes a log when dropped.
struct CloseOnDrop<'a>(&'a SharedLog);

impl CloseOnDrop<'_> {
    fn keep_open(self) {
        std::mem::forget(self);
    }
}

impl Drop for CloseOnDrop<'_> {
    fn drop(&mut self) {
        self.0.close();
    }
}
