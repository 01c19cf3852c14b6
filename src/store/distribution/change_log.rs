//! The changes that a distributor read from the store recently, for its subscribers.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::store::{Change, Kv, Snapshot, WatchBatch, revision};

/// How long a subscriber waits for a change. A larger value delays the detection of a
/// distributor that has stopped responding.
pub const POLL_WAIT: Duration = Duration::from_secs(1);

/// How much newer a read must be than what a subscriber knows to be told at once, without changes.
/// A smaller value means more replies.
const MIN_NEWS: Duration = Duration::from_millis(500);

/// How long subscribers wait while the distributor checks the store anew: for a call and more. A
/// larger value delays changes if the store does not answer.
const READ_WAIT: Duration = Duration::from_millis(300);

/// Subscribers of one distributor at most, to bound its CPU time and bandwidth.
pub const MAX_SUBSCRIBERS: usize = 32;

/// Subscribers named in one referral at most.
const MAX_REFERRALS: usize = 8;

/// Time after its last poll in which a subscriber counts.
const SUBSCRIBER_TTL: Duration = Duration::from_secs(5);

/// Changes kept for subscribers that are behind.
const MAX_CHANGES: usize = 1_024;

/// Values kept for them, in replies of the largest size. Whoever needs more reads the store.
const MAX_KEPT_REPLIES: usize = 4;

/// Share of a second for which the replies to all subscribers may occupy the distributor's link,
/// which carries callers' packets too.
const LINK_SHARE: f64 = 0.1;

/// Values of one reply at most, in bytes, on a link of `link_mbps`. Subscribers read larger ones
/// from the store.
#[must_use]
pub fn max_reply_bytes(link_mbps: f64) -> usize {
    let link_bytes = link_mbps * 1e6 / 8.0;
    // Positive and far below the range of `usize`.
    (link_bytes * LINK_SHARE / MAX_SUBSCRIBERS as f64) as usize
}

/// A distributor's reply to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollReply {
    /// The changes after the subscriber's revision, oldest first.
    Changes {
        /// The store's revision that the distributor has read.
        rev: i64,
        /// The changes; none if there was none in time.
        changes: Vec<Change>,
    },
    /// The changes are too large or no longer kept: read them from the store.
    ReadStore,
    /// It has as many subscribers as it can serve.
    Full,
    /// It does not watch the store for others, or the store does not answer it.
    NotCurrent,
    /// It has as many subscribers as it can serve, and these of them serve others.
    Referred(Vec<Ipv4Addr>),
}

/// A process that polls a change log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscriber {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Whether it hands on what it reads to subscribers of its own.
    pub redistributes: bool,
    /// Time since the store was read for what it knows; `None` if that is not known.
    pub known_age: Option<Duration>,
}

impl From<Ipv4Addr> for Subscriber {
    /// A subscriber that serves no others.
    fn from(ip: Ipv4Addr) -> Self {
        Self { ip, redistributes: false, known_age: None }
    }
}

/// A reply, and how old what it tells is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatedReply {
    /// The reply.
    pub reply: PollReply,
    /// How long before the reply the distributor had read the store.
    pub age: Duration,
    /// How long the distributor held the poll.
    pub held: Duration,
    /// The processes through which the replying one gets its changes, its parent last; empty if it
    /// reads the store.
    pub ancestors: Vec<Ipv4Addr>,
}

/// A change, without its value if no reply can hold it.
#[derive(Debug)]
struct Entry {
    change: Change,
    /// Whether the value was left out.
    too_large: bool,
}

/// A subscriber's last poll.
#[derive(Clone, Copy, Debug)]
struct LastPoll {
    at: Instant,
    /// As [`Subscriber::redistributes`].
    redistributes: bool,
}

impl LastPoll {
    /// Whether the subscriber still counts.
    fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.at) < SUBSCRIBER_TTL
    }
}

/// The changes read since a revision.
#[derive(Debug, Default)]
struct ChangeLog {
    /// Whether what was read last still counts, until it is too old.
    current: bool,
    /// Until when subscribers of a log that is closed for a new read wait for that.
    read_due: Option<Instant>,
    /// Revision after which every change is kept.
    start: i64,
    /// Revision up to which the store was read.
    rev: i64,
    /// When it was read.
    read_at: Option<Instant>,
    /// As [`DatedReply::ancestors`].
    ancestors: Vec<Ipv4Addr>,
    /// Prefix of the keys whose changes are kept.
    prefix: String,
    /// Sorted by revision.
    entries: VecDeque<Entry>,
    /// Size of the values in `entries`, in bytes.
    value_bytes: usize,
    subscribers: BTreeMap<Ipv4Addr, LastPoll>,
    /// Values of one reply at most, in bytes.
    max_reply: usize,
}

impl ChangeLog {
    fn record(&mut self, prefix: &str, after: i64, batch: &WatchBatch, read_at: Instant) {
        if self.rev != after || self.prefix != prefix {
            self.start = after;
            self.prefix = prefix.to_string();
            self.entries.clear();
            self.value_bytes = 0;
        }
        self.rev = batch.rev.max(after);
        self.read_at = Some(read_at);
        self.current = true;
        self.read_due = None;
        for change in &batch.changes {
            let too_large = value_len(change) > self.max_reply;
            let change = if too_large { without_value(change) } else { change.clone() };
            self.value_bytes += value_len(&change);
            self.entries.push_back(Entry { change, too_large });
        }
        let max_bytes = self.max_reply.saturating_mul(MAX_KEPT_REPLIES);
        while self.entries.len() > MAX_CHANGES || self.value_bytes > max_bytes {
            let Some(dropped) = self.entries.pop_front() else { break };
            self.value_bytes -= value_len(&dropped.change);
            self.start = dropped.change.rev();
        }
    }

    /// Time since the store was read.
    fn age(&self, now: Instant) -> Duration {
        self.read_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Whether a poll must be answered at once.
    fn has_reply(&self, prefix: &str, after: i64) -> bool {
        !self.current
            || !prefix.starts_with(&self.prefix)
            || after < self.start
            || self.entries_after(prefix, after).next().is_some()
    }

    fn reply(&self, prefix: &str, after: i64) -> PollReply {
        if !self.current || self.rev < after || !prefix.starts_with(&self.prefix) {
            return PollReply::NotCurrent;
        }
        let entries = || self.entries_after(prefix, after);
        let size: usize = entries().map(|e| value_len(&e.change)).sum();
        if after < self.start || size > self.max_reply || entries().any(|e| e.too_large) {
            return PollReply::ReadStore;
        }
        let changes = entries().map(|e| e.change.clone()).collect();
        PollReply::Changes { rev: self.rev, changes }
    }

    fn entries_after<'a>(&'a self, prefix: &'a str, after: i64) -> impl Iterator<Item = &'a Entry> {
        let first = self.entries.partition_point(|e| e.change.rev() <= after);
        self.entries.range(first..).filter(move |e| e.change.key().starts_with(prefix))
    }

    /// Counts `subscriber`, unless there are too many others. Returns the reply to it then. One
    /// that serves others takes the place of one that does not, which it can serve then.
    fn admit(&mut self, subscriber: Subscriber, now: Instant) -> Result<(), PollReply> {
        self.subscribers.retain(|_, poll| poll.is_recent(now));
        let known = self.subscribers.contains_key(&subscriber.ip);
        if !known && self.subscribers.len() >= MAX_SUBSCRIBERS {
            let serves_none = self.subscribers.iter().find(|(_, poll)| !poll.redistributes);
            match serves_none.map(|(ip, _)| *ip) {
                Some(displaced) if subscriber.redistributes => {
                    self.subscribers.remove(&displaced);
                }
                _ => return Err(self.refer()),
            }
        }
        let poll = LastPoll { at: now, redistributes: subscriber.redistributes };
        self.subscribers.insert(subscriber.ip, poll);
        Ok(())
    }

    /// Sends a process to subscribers that serve others, a different choice each time, so that
    /// these fill evenly.
    fn refer(&self) -> PollReply {
        let serving = self.subscribers.iter().filter(|(_, poll)| poll.redistributes);
        let mut ips: Vec<_> = serving.map(|(ip, _)| *ip).collect();
        ips.shuffle(&mut rand::rng());
        ips.truncate(MAX_REFERRALS);
        if ips.is_empty() { PollReply::Full } else { PollReply::Referred(ips) }
    }
}

fn value_len(change: &Change) -> usize {
    match change {
        Change::Put(kv) => kv.value.len(),
        Change::Delete { .. } => 0,
    }
}

fn without_value(change: &Change) -> Change {
    match change {
        Change::Put(kv) => Change::Put(Kv { key: kv.key.clone(), value: Vec::new(), ..*kv }),
        Change::Delete { .. } => change.clone(),
    }
}

/// A change log that the distributor writes and its RPC server reads. Clones share one log.
#[derive(Clone, Debug)]
pub struct SharedLog(Arc<watch::Sender<ChangeLog>>);

impl Default for SharedLog {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(ChangeLog::default())))
    }
}

impl SharedLog {
    /// Sets how many bytes of values one reply may hold.
    pub fn set_max_reply(&self, bytes: usize) {
        self.0.send_modify(|log| log.max_reply = bytes);
    }

    /// Whether [`SharedLog::record`] was called and the log not closed since.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.0.borrow().current
    }

    /// Waits until [`SharedLog::record`] was called and the log not closed since.
    pub async fn opened(&self) {
        // Fails only if the sender, which `self` holds, is dropped.
        drop(self.0.subscribe().wait_for(|log| log.current).await);
    }

    /// Adds the result of a watch on all keys after revision `after`.
    pub fn record(&self, after: i64, batch: &WatchBatch) {
        self.record_read("", after, batch, Instant::now());
    }

    /// Adds the changes under `prefix` after revision `after` that were read from the store at
    /// `read_at`, by this process or by the one that it polls.
    pub fn record_read(&self, prefix: &str, after: i64, batch: &WatchBatch, read_at: Instant) {
        self.0.send_modify(|log| log.record(prefix, after, batch, read_at));
    }

    /// Adds the changes that turn `old` into `new`, which was listed anew, so that subscribers
    /// need not list it as well. Closes the log if it does not end with `old`, or if the store was
    /// restored since and gives out revisions again.
    pub fn record_listing(&self, old: &Snapshot, new: &Snapshot) {
        let ends_with_old = {
            let log = self.0.borrow();
            log.current && log.rev == old.rev && log.prefix.is_empty()
        };
        if ends_with_old && revision::era(old.rev) == revision::era(new.rev) {
            let mut changes = old.changes_to(new);
            // What a later page holds of the time after `new.rev` comes with the next watch.
            changes.retain(|change| change.rev() <= new.rev);
            changes.sort_by_key(Change::rev);
            self.record(old.rev, &WatchBatch { rev: new.rev, compacted: false, changes });
        } else {
            self.close();
        }
    }

    /// Replies [`PollReply::NotCurrent`] until the next [`SharedLog::record`].
    pub fn close(&self) {
        self.close_until_read(Duration::ZERO);
    }

    /// As [`SharedLog::close`], but subscribers wait up to [`READ_WAIT`] for the next read: what is
    /// known may be old, and the store is read again at once.
    pub fn await_read(&self) {
        self.close_until_read(READ_WAIT);
    }

    fn close_until_read(&self, wait: Duration) {
        self.0.send_if_modified(|log| {
            log.read_due = Some(Instant::now() + wait);
            std::mem::take(&mut log.current)
        });
    }

    /// Waits until a log that is closed for a new read is open again, or the read is overdue.
    async fn read_again(&self) {
        let read_due = self.0.borrow().read_due;
        if let Some(due) = read_due {
            // Both outcomes are visible in the log.
            let _ = tokio::time::timeout_at(due.into(), self.opened()).await;
        }
    }

    /// Sets through which processes the changes come.
    pub fn set_ancestors(&self, ancestors: Vec<Ipv4Addr>) {
        self.0.send_if_modified(|log| {
            log.ancestors = ancestors;
            false
        });
    }

    /// The processes through which the changes come, as [`DatedReply::ancestors`].
    #[must_use]
    pub fn ancestors(&self) -> Vec<Ipv4Addr> {
        self.0.borrow().ancestors.clone()
    }

    /// Number of subscribers that polled recently.
    #[must_use]
    pub fn subscriber_count(&self, now: Instant) -> usize {
        let log = self.0.borrow();
        log.subscribers.values().filter(|poll| poll.is_recent(now)).count()
    }

    /// Size of the values that are kept, in bytes.
    #[must_use]
    pub fn value_bytes(&self) -> usize {
        self.0.borrow().value_bytes
    }

    /// Time since the store was read.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.0.borrow().age(Instant::now())
    }

    /// Waits up to [`POLL_WAIT`] for changes under `prefix` after revision `after`.
    pub async fn poll(
        &self,
        subscriber: impl Into<Subscriber>,
        prefix: &str,
        after: i64,
    ) -> PollReply {
        self.read_again().await;
        let subscriber = subscriber.into();
        let mut admitted = Ok(());
        self.0.send_if_modified(|log| {
            if log.current {
                admitted = log.admit(subscriber, Instant::now());
            }
            false
        });
        if let Err(refusal) = admitted {
            return refusal;
        }
        let mut log = self.0.subscribe();
        let known_age = subscriber.known_age.unwrap_or_else(|| self.age());
        let known_read = Instant::now().checked_sub(known_age);
        let is_news = |read: Option<Instant>| read >= known_read.map(|at| at + MIN_NEWS);
        // Also of a read that changed nothing, before what the subscriber knows is too old.
        let news = log.wait_for(|log| log.has_reply(prefix, after) || is_news(log.read_at));
        // Both a timeout and a closed log are visible in the log itself.
        drop(tokio::time::timeout(POLL_WAIT, news).await);
        self.read_again().await;
        self.0.borrow().reply(prefix, after)
    }
}
