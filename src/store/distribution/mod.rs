//! Watches that several processes share: one of them, the distributor, watches the store, and the
//! others, its subscribers, get the changes from it. The load on the store so does not grow
//! with the number of processes.
//!
//! A distributor that serves enough subscribers refers others to those of them that redistribute
//! what they read, so that a tree forms. A subscriber watches the store itself whenever the process
//! that it polls, its parent, does not answer; those below it do not notice.
//!
//! What a subscriber knows may be older than the store for as long as a failed distributor takes to
//! be detected; [`DistributedStore::is_subscribed`] tells when that is so.

mod change_log;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
pub use change_log::{
    DatedReply, MAX_SUBSCRIBERS, POLL_WAIT, PollReply, SharedLog, Subscriber, max_reply_bytes,
};

use super::{Kv, Snapshot, WatchBatch, WatchStore};
use crate::admin::Connection;
use crate::events;
use crate::metrics::{self, Retry, WatchReason};

/// Time limit on a poll, which includes connecting to the distributor.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a distributor that did not answer, or is not current, is not polled again. A
/// larger value costs calls to the store; a smaller one delays changes repeatedly.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// How long one that is full is not polled again.
const FULL_DELAY: Duration = Duration::from_secs(30);

/// [`WatchTiming::batch_delay`] while there is no distributor with room, and so many processes may
/// watch the store.
const CAMPAIGN_DELAY: Duration = Duration::from_secs(1);

/// Processes asked in one call to find one with room: more than the levels of any tree.
const MAX_HOPS: usize = 8;

/// How much earlier than its subscribers a process leaves a parent that does not answer, so that
/// it has read the store before they would have to.
const HANDOVER_MARGIN: Duration = Duration::from_millis(200);

/// How a [`DistributedStore`] watches.
#[derive(Clone, Copy, Debug)]
pub struct WatchTiming {
    /// Pause after a change before the store is watched again, so that one call returns a burst
    /// of changes.
    pub batch_delay: Duration,
    /// How long to watch the store directly after [`DistributedStore::watch_directly`].
    pub direct_time: Duration,
    /// Time after a distributor's read of the store in which its subscribers rely on it. Must
    /// cover the time between two reads, and should cover one that fails.
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
    /// The process that is polled, if it is not a distributor: one that a distributor referred
    /// this one to.
    parent: Cell<Option<SocketAddr>>,
    connection: RefCell<Option<(SocketAddr, Connection)>>,
    /// Distributors that are not polled, and until when.
    skipped: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whether every distributor is full.
    all_full: Cell<bool>,
    /// Whether this process is a distributor.
    distributes: Cell<bool>,
    /// Whether this process hands on what it reads although it is no distributor.
    redistributes: Cell<bool>,
    /// Whether the next watch of the store is delayed by more than
    /// [`WatchTiming::batch_delay`].
    delayed: Cell<bool>,
    /// Whether the last known changes may come from a distributor.
    subscribed: Cell<bool>,
    /// Whether the last known changes do come from a distributor.
    handed_on: Cell<bool>,
    /// Until when the store is watched directly.
    direct_until: Cell<Option<Instant>>,
    /// When the store was read for what is known; `None` before the first read.
    read_at: Cell<Option<Instant>>,
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

    /// Sets whether this process, while it is no distributor, hands on what it reads to others
    /// that a distributor refers to it.
    pub fn set_redistributing(&self, redistributes: bool) {
        self.state.redistributes.set(redistributes);
    }

    /// Whether this process is a distributor.
    #[must_use]
    pub fn is_distributing(&self) -> bool {
        self.state.distributes.get()
    }

    /// Whether the last known changes may come from a distributor, or the next watch is delayed, so
    /// that what is known may be older than the store for longer than a call takes.
    #[must_use]
    pub fn is_subscribed(&self) -> bool {
        self.state.subscribed.get() || self.state.delayed.get()
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

    /// The process to poll, or why the store is to be watched directly.
    fn choose_distributor(&self, now: Instant) -> Result<SocketAddr, WatchReason> {
        let state = &self.state;
        if state.distributes.get() {
            return Err(WatchReason::Distributor);
        }
        if state.direct_until.get().is_some_and(|at| now < at) {
            return Err(WatchReason::Direct);
        }
        state.skipped.borrow_mut().retain(|_, until| now < *until);
        let skipped = state.skipped.borrow();
        let parent = state.parent.get();
        let distributors = state.distributors.borrow();
        let mut all = parent.iter().chain(distributors.iter());
        match all.find(|addr| !skipped.contains_key(addr)) {
            Some(addr) => Ok(*addr),
            None if distributors.is_empty() => Err(WatchReason::NoDistributor),
            None => Err(WatchReason::Skipped),
        }
    }

    /// Polls one of the processes that `from` referred this one to, or else none of them for some
    /// time.
    fn follow_referral(&self, from: SocketAddr, ips: &[Ipv4Addr]) {
        let skipped = self.state.skipped.borrow();
        let addrs = ips.iter().map(|ip| SocketAddr::new((*ip).into(), from.port()));
        let is_open =
            |addr: &SocketAddr| !skipped.contains_key(addr) && addr.ip() != IpAddr::V4(self.own_ip);
        let next = addrs.into_iter().find(is_open);
        drop(skipped);
        self.state.parent.set(next);
        if next.is_none() {
            self.skip(from, RETRY_DELAY);
        }
    }

    /// Time limit on a poll that begins now: what is known must not become too old meanwhile.
    fn poll_timeout(&self, now: Instant) -> Duration {
        let margin = if self.serves_others() { HANDOVER_MARGIN } else { Duration::ZERO };
        let max_age = self.timing.max_age.saturating_sub(margin);
        self.known_age(now)
            .map_or(POLL_TIMEOUT, |age| POLL_TIMEOUT.min(max_age.saturating_sub(age)))
    }

    /// Time since the store was read for what is known.
    fn known_age(&self, now: Instant) -> Option<Duration> {
        self.state.read_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Sends subscribers to the store if what is known is too old for them, after a failed call.
    /// Before, they rely on it.
    fn close_outdated_log(&self) {
        if self.known_age(Instant::now()).is_none_or(|age| age >= self.timing.max_age) {
            self.log.close();
        }
    }

    fn serves_others(&self) -> bool {
        self.state.distributes.get() || self.state.redistributes.get()
    }

    fn skip(&self, addr: SocketAddr, delay: Duration) {
        self.state.connection.replace(None);
        if self.state.parent.get() == Some(addr) {
            self.state.parent.set(None);
        }
        self.state.skipped.borrow_mut().insert(addr, Instant::now() + delay);
    }

    /// Polls distributors for changes; `None` if the store must be watched directly.
    ///
    /// After the first distributor that does not answer, or has lost the store, no other is
    /// polled: their timeouts would add up to more than changes may take.
    async fn poll_distributors(&self, prefix: &str, after: i64) -> Result<WatchBatch, WatchReason> {
        let mut reason = WatchReason::Skipped;
        for _ in 0..MAX_HOPS {
            let addr = match self.choose_distributor(Instant::now()) {
                Ok(addr) => addr,
                Err(other) if reason == WatchReason::Skipped => return Err(other),
                Err(_) => break,
            };
            self.state.subscribed.set(true);
            let started = Instant::now();
            let timeout = self.poll_timeout(started);
            if timeout.is_zero() {
                reason = WatchReason::Lost;
                break;
            }
            let reply = self.poll(addr, prefix, after, timeout).await;
            let current = matches!(&reply, Ok(r) if matches!(r.reply, PollReply::Changes { .. }));
            metrics::record_store_call("poll", current, started.elapsed());
            let ancestors = reply.as_ref().map_or_else(|_| Vec::new(), |r| r.ancestors.clone());
            match reply.map(|dated| self.check_reply(dated, started)) {
                Ok((PollReply::Changes { rev, changes }, read_at)) => {
                    self.state.all_full.set(false);
                    self.state.handed_on.set(true);
                    self.record_parent(addr, ancestors);
                    let batch = WatchBatch { rev, compacted: false, changes };
                    if self.state.redistributes.get() {
                        self.log.record_read(prefix, after, &batch, read_at);
                    }
                    return Ok(batch);
                }
                Ok((PollReply::ReadStore, _)) => return Err(WatchReason::Behind),
                Ok((PollReply::Referred(ips), _)) => {
                    reason = WatchReason::Full;
                    self.follow_referral(addr, &ips);
                }
                Ok((PollReply::Full, _)) => {
                    reason = WatchReason::Full;
                    self.skip(addr, FULL_DELAY);
                }
                Ok((PollReply::NotCurrent, _)) => {
                    self.skip(addr, RETRY_DELAY);
                    reason = WatchReason::Lost;
                    break;
                }
                Err(e) => {
                    log::info!(
                        event = events::DISTRIBUTOR_LOST, error:% = format!("{e:#}");
                        "distributor does not answer; watching the store"
                    );
                    metrics::count_retry(Retry::DistributorLost);
                    self.skip(addr, RETRY_DELAY);
                    reason = WatchReason::Lost;
                    break;
                }
            }
        }
        if reason == WatchReason::Full {
            self.state.all_full.set(true);
        }
        Err(reason)
    }

    /// Records through which processes the changes come that the one at `addr` hands on.
    fn record_parent(&self, addr: SocketAddr, mut ancestors: Vec<Ipv4Addr>) {
        if let IpAddr::V4(parent) = addr.ip() {
            ancestors.push(parent);
        }
        self.log.set_ancestors(ancestors);
    }

    /// Returns the reply to a poll that began at `started`, or [`PollReply::NotCurrent`] if it is
    /// too old or comes from this process itself, and when the store was read for it.
    fn check_reply(&self, dated: DatedReply, started: Instant) -> (PollReply, Instant) {
        // The distributor replied no earlier than that. Time in transit counts as age.
        let replied_at = started + dated.held.min(started.elapsed());
        if !matches!(dated.reply, PollReply::Changes { .. }) {
            return (dated.reply, replied_at);
        }
        if dated.ancestors.contains(&self.own_ip) {
            return (PollReply::NotCurrent, replied_at);
        }
        let read_at = replied_at.checked_sub(dated.age);
        match read_at.filter(|_| dated.age <= self.timing.max_age) {
            Some(read_at) => {
                self.state.read_at.set(Some(read_at));
                (dated.reply, read_at)
            }
            None => (PollReply::NotCurrent, replied_at),
        }
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
            let redistributes = self.state.redistributes.get();
            let known_age = self.known_age(Instant::now());
            let subscriber = Subscriber { ip: self.own_ip, redistributes, known_age };
            connection.poll_changes(subscriber, prefix, after).await
        };
        tokio::time::timeout(timeout, poll)
            .await
            .with_context(|| format!("polling {addr}: no reply in {timeout:?}"))?
    }
}

impl<S: WatchStore> DistributedStore<S> {
    /// Watches the store itself, for `reason`.
    async fn watch_store(
        &self,
        prefix: &str,
        after: i64,
        wait: bool,
        reason: WatchReason,
    ) -> anyhow::Result<WatchBatch> {
        if wait {
            self.delay_watch(reason).await;
        }
        // The first call after a distributor's replies does not wait: the store may have been
        // restored unnoticed, and then waits for a revision that it does not have yet.
        let wait = wait && !self.state.handed_on.get();
        let distributes = self.state.distributes.get() && prefix.is_empty();
        let store = if distributes { &self.distributor_store } else { &self.store };
        // Subscribers wait for a log to open.
        let wait = wait && (!distributes || self.log.is_open());
        metrics::count_watch(reason);
        let batch = store.watch(prefix, after, wait).await?;
        if batch.compacted {
            return Ok(batch);
        }
        let read_at = Instant::now();
        if distributes || self.state.redistributes.get() {
            self.log.record_read(prefix, after, &batch, read_at);
        }
        self.log.set_ancestors(Vec::new());
        self.state.subscribed.set(false);
        self.state.handed_on.set(false);
        self.state.read_at.set(Some(read_at));
        if !batch.changes.is_empty() {
            self.state.changed_at.set(Some(read_at));
        }
        Ok(batch)
    }

    /// Waits until the changes of a burst can be read in one call: for longer while many other
    /// processes read them, too.
    async fn delay_watch(&self, reason: WatchReason) {
        let delay = match reason {
            WatchReason::NoDistributor | WatchReason::Full | WatchReason::Skipped => {
                self.timing.batch_delay.max(CAMPAIGN_DELAY)
            }
            _ => self.timing.batch_delay,
        };
        let Some(changed_at) = self.state.changed_at.get() else { return };
        self.state.delayed.set(delay > self.timing.batch_delay);
        // Also when the call is dropped.
        let _not_delayed = Reset(&self.state.delayed);
        tokio::time::sleep_until((changed_at + delay).into()).await;
    }
}

impl<S: WatchStore> WatchStore for DistributedStore<S> {
    async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        let dropped = ReadAgain(&self.log);
        let listed = self.store.list(prefix).await;
        dropped.defuse();
        listed.inspect_err(|_| self.close_outdated_log())
    }

    async fn list_stale(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        self.store.list_stale(prefix).await
    }

    /// A call that does not wait always goes to the store.
    async fn watch(&self, prefix: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        let dropped = ReadAgain(&self.log);
        let polled = match wait {
            true => self.poll_distributors(prefix, after).await,
            false => Err(WatchReason::Check),
        };
        let outcome = match polled {
            Ok(batch) => Ok(batch),
            Err(reason) => self.watch_store(prefix, after, wait, reason).await,
        };
        // What a compacted history lacks is listed next.
        dropped.defuse();
        outcome.inspect_err(|_| self.close_outdated_log())
    }

    fn note_listing(&self, old: &Snapshot, new: &Snapshot) {
        self.log.record_listing(old, new);
    }
}

/// Clears a flag when dropped.
struct Reset<'a>(&'a Cell<bool>);

impl Drop for Reset<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Closes a log for a new read when dropped with the call to the store, as the process may have been
/// suspended.
struct ReadAgain<'a>(&'a SharedLog);

impl ReadAgain<'_> {
    fn defuse(self) {
        std::mem::forget(self);
    }
}

impl Drop for ReadAgain<'_> {
    fn drop(&mut self) {
        self.0.await_read();
    }
}
