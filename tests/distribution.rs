//! Changes of the store that one balancer reads for the others of its region: what subscribers
//! get, when they watch the store themselves, and who distributes.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubepost::admin::{self, ProcessState};
use jujubepost::edge::Settings;
use jujubepost::platform::config;
use jujubepost::platform::kv::Client;
use jujubepost::relay::distributor::{Distributor, Term};
use jujubepost::store::distribution::{
    DistributedStore, MAX_SUBSCRIBERS, PollReply, SharedLog, Subscriber, WatchTiming,
    max_reply_bytes,
};
use jujubepost::store::{Change, Kv, Snapshot, WatchBatch, WatchStore, revision};
use jujubepost::trial::{Plan, Trial};
use jujubepost::up::Signal;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;

const MS: Duration = Duration::from_millis(1);

/// Time in which a configuration must be in force, as `bounds.config_ms` has it by default.
const CONFIG_BOUND: Duration = Duration::from_secs(3);

/// Time without a read of the store after which a subscriber reads it itself, which leaves 0.5 s of
/// [`CONFIG_BOUND`] for that.
const MAX_UNREAD: Duration = Duration::from_millis(2_500);

/// Values in one reply at most, in bytes.
const MAX_REPLY: usize = 1_000;

/// A store that answers each watch with `batch`, or never, or fails; notes the revisions asked for,
/// and which calls wait.
#[derive(Clone, Default)]
struct FakeStore {
    failing: Rc<Cell<bool>>,
    watched: Rc<RefCell<Vec<i64>>>,
    waited: Rc<RefCell<Vec<bool>>>,
    batch: Rc<RefCell<Option<WatchBatch>>>,
}

impl FakeStore {
    fn answering(rev: i64) -> Self {
        let batch = Rc::new(RefCell::new(Some(batch(rev, &[]))));
        Self { batch, ..Self::default() }
    }
}

impl WatchStore for FakeStore {
    async fn list(&self, _: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        anyhow::bail!("not listed in these tests")
    }

    async fn watch(&self, _: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        self.watched.borrow_mut().push(after);
        self.waited.borrow_mut().push(wait);
        anyhow::ensure!(!self.failing.get(), "the store is down");
        let batch = self.batch.borrow().clone();
        match batch {
            Some(batch) => Ok(batch),
            None => std::future::pending().await,
        }
    }
}

fn put(key: &str, rev: i64, len: usize) -> Change {
    Change::Put(Kv { key: key.into(), value: vec![7; len], rev, lease: 0, created: 0 })
}

fn batch(rev: i64, changes: &[Change]) -> WatchBatch {
    WatchBatch { rev, compacted: false, changes: changes.to_vec() }
}

fn distributed(store: &FakeStore, log: &SharedLog) -> DistributedStore<FakeStore> {
    distributed_with_delay(store, log, Duration::ZERO)
}

fn distributed_with_delay(
    store: &FakeStore,
    log: &SharedLog,
    batch_delay: Duration,
) -> DistributedStore<FakeStore> {
    let timing = WatchTiming {
        batch_delay,
        direct_time: 500 * MS,
        // As on the platform, where a distributor's watch waits for half of the bound.
        max_age: CONFIG_BOUND / 2 + 800 * MS,
    };
    DistributedStore::new(store.clone(), store.clone(), Ipv4Addr::LOCALHOST, timing, log.clone())
}

/// A distributor at `addr` whose log holds `batch` after revision 10.
async fn distributor(addr: SocketAddr, batch: &WatchBatch) -> (admin::Server, SharedLog) {
    let state = ProcessState::new("distributor".into(), config::OPERATOR_PREFIX.into());
    state.change_log().set_max_reply(MAX_REPLY);
    state.change_log().record(10, batch);
    let log = state.change_log().clone();
    (admin::Server::start(addr, state).await.unwrap(), log)
}

/// A subscriber gets what changed under its prefix, and the store is not called.
#[ntex::test]
async fn changes_come_from_distributor() {
    let addr: SocketAddr = "127.0.0.1:30460".parse().unwrap();
    let deleted = Change::Delete { key: "b/2".into(), rev: 12 };
    let changes = [put("a/1", 11, 5), deleted.clone(), put("b/1", 13, 6)];
    let (server, log) = distributor(addr, &batch(13, &changes)).await;
    let store = FakeStore::default();
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    assert_eq!(s.watch("", 10, true).await.unwrap().changes, changes);
    assert_eq!(s.watch("b/", 10, true).await.unwrap().changes, [deleted, put("b/1", 13, 6)]);
    let next = s.watch("", 13, true);
    let later = async {
        tokio::time::sleep(100 * MS).await;
        log.record(13, &batch(20, &[put("a/1", 20, 5)]));
    };
    let started = Instant::now();
    let (next, ()) = futures_util::join!(next, later);
    let next = next.unwrap();
    assert_eq!((next.rev, next.changes), (20, vec![put("a/1", 20, 5)]));
    assert!(started.elapsed() < 600 * MS, "the change is pushed, not polled for");
    assert!(s.is_subscribed());
    assert_eq!(*store.watched.borrow(), [0; 0]);
    server.stop().await;
}

/// Guards against serving by an old list: whenever the distributor cannot tell that it is
/// current, or does not have the changes, the store is watched in the same call.
#[ntex::test]
async fn store_watched_without_current_distributor() {
    let addr: SocketAddr = "127.0.0.1:30461".parse().unwrap();
    let large = put("a/1", 11, MAX_REPLY + 1);
    let (server, log) = distributor(addr, &batch(12, &[large])).await;
    // Changes that are too large, too old, or newer than the distributor's own.
    for after in [10, 9, 13] {
        let store = FakeStore::answering(14);
        let s = distributed(&store, &SharedLog::default());
        s.set_distributors(vec![addr]);
        assert_eq!(s.watch("", after, true).await.unwrap().rev, 14);
        assert_eq!(*store.watched.borrow(), [after]);
        assert!(!s.is_subscribed(), "the store itself answered");
    }
    log.close();
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 14);
    server.stop().await;
}

/// A distributor that is frozen or behind a partition delays changes by less than half of the
/// time in which they must be in force, and then does not delay the next ones.
#[ntex::test]
async fn silent_distributor_is_left() {
    // Accepts connections and never answers.
    let silent = TcpListener::bind("127.0.0.1:30462").unwrap();
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![silent.local_addr().unwrap()]);
    let started = Instant::now();
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 14);
    // What its own watch of the store may take comes on top.
    assert!(started.elapsed() <= CONFIG_BOUND / 2 + 100 * MS, "{:?}", started.elapsed());
    let started = Instant::now();
    s.watch("", 14, true).await.unwrap();
    assert!(started.elapsed() < 100 * MS, "{:?}", started.elapsed());
    assert_eq!(*store.watched.borrow(), [12, 14]);
}

/// Guards against changes in force too late because timeouts add up: each call that meets a
/// distributor that has stopped responding reads the store, whatever others are listed.
#[ntex::test]
async fn silent_distributors_do_not_add_up() {
    let silent: Vec<_> = [30_466, 30_467, 30_468]
        .map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).unwrap())
        .into();
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(silent.iter().map(|l| l.local_addr().unwrap()).collect());
    for calls in 1..=4 {
        let started = Instant::now();
        assert_eq!(s.watch("", 12, true).await.unwrap().rev, 14);
        assert!(started.elapsed() <= CONFIG_BOUND / 2 + 100 * MS, "{:?}", started.elapsed());
        assert_eq!(store.watched.borrow().len(), calls);
    }
}

/// Guards against changes in force too late because a distributor that has lost the store, which
/// takes it most of the time allowed to find out, is followed by one that has stopped responding.
#[ntex::test]
async fn store_read_once_distributor_lost_it() {
    let addr: SocketAddr = "127.0.0.1:30469".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[])).await;
    log.close();
    let silent = TcpListener::bind("127.0.0.1:30470").unwrap();
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr, silent.local_addr().unwrap()]);
    let started = Instant::now();
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 14);
    assert!(started.elapsed() < 100 * MS, "{:?}", started.elapsed());
    server.stop().await;
}

/// Guards against changes in force too late because a distributor's word counts for as long as it
/// is given: the store is read in time where the distributor's own read of it is too old.
#[ntex::test]
async fn outdated_distributor_is_left() {
    let addr: SocketAddr = "127.0.0.1:30471".parse().unwrap();
    // Never reads the store again, and does not find out.
    let (server, _log) = distributor(addr, &batch(12, &[])).await;
    let read = Instant::now();
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    let took = store_read_after(&s, &store, read).await;
    assert!(took < MAX_UNREAD, "{took:?}");
    server.stop().await;
}

/// Guards against changes in force too late because two timeouts add up: the distributor's, after
/// which it knows that it has lost the store, and then its subscriber's, as it falls silent itself.
#[ntex::test]
async fn distributor_silent_after_lost_store() {
    let addr: SocketAddr = "127.0.0.1:30472".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[])).await;
    let read = Instant::now();
    let proxy = StallingProxy::start("127.0.0.1:30473", addr).await;
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![proxy.addr]);
    tokio::time::sleep(950 * MS).await;
    let faults = async {
        tokio::time::sleep_until((read + 1_970 * MS).into()).await;
        proxy.stall();
        log.close();
    };
    let (took, ()) = futures_util::join!(store_read_after(&s, &store, read), faults);
    assert!(took < MAX_UNREAD, "{took:?}");
    server.stop().await;
}

/// Guards against calls to the store by subscribers of a distributor that has just read it: a poll
/// that finds no changes was held for longer than what the subscriber knew was valid.
#[ntex::test]
async fn new_read_is_told_at_once() {
    let addr: SocketAddr = "127.0.0.1:30476".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[])).await;
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    assert_eq!(s.watch("", 10, true).await.unwrap().rev, 12);
    tokio::time::sleep(900 * MS).await;
    log.record(12, &batch(12, &[]));
    let started = Instant::now();
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 12, "from the distributor");
    assert!(started.elapsed() < 200 * MS, "{:?}", started.elapsed());
    assert_eq!(*store.watched.borrow(), [0; 0]);
    // What is as new as the distributor's read is held.
    let started = Instant::now();
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 12);
    assert!(started.elapsed() > 900 * MS, "{:?}", started.elapsed());
    server.stop().await;
}

/// Watches until the store itself is called; returns how long after `read` that was.
async fn store_read_after(
    s: &DistributedStore<FakeStore>,
    store: &FakeStore,
    read: Instant,
) -> Duration {
    let calls = async {
        while store.watched.borrow().is_empty() {
            s.watch("", 12, true).await.unwrap();
        }
    };
    tokio::time::timeout(3 * CONFIG_BOUND, calls).await.expect("the store is never read");
    read.elapsed()
}

/// Forwards connections to an address until it stalls: they then stay open, and silent.
struct StallingProxy {
    addr: SocketAddr,
    stalled: watch::Sender<bool>,
}

impl StallingProxy {
    async fn start(from: &str, to: SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind(from).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (stalled, stall) = watch::channel(false);
        tokio::task::spawn_local(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let mut far = tokio::net::TcpStream::connect(to).await.unwrap();
                let mut stall = stall.clone();
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
                        _ = stall.wait_for(|stalled| *stalled) => {}
                    }
                    std::future::pending::<()>().await;
                });
            }
        });
        Self { addr, stalled }
    }

    fn stall(&self) {
        self.stalled.send_replace(true);
    }
}

/// Subscribers are sent to the store at once when the distributor's call to the store fails or is
/// dropped, as after its process was suspended.
#[ntex::test]
async fn lost_store_closes_log() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    let store = FakeStore::answering(11);
    let s = distributed(&store, &log);
    s.set_distributing(true);
    s.watch("", 10, true).await.unwrap();
    let current = PollReply::Changes { rev: 11, changes: Vec::new() };
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 11).await, current);
    s.watch("", 11, true).await.unwrap();
    assert_eq!(*store.waited.borrow(), [false, true], "the first one opens the log at once");
    store.batch.replace(None);
    let poll = log.poll(Ipv4Addr::LOCALHOST, "", 11);
    let dropped = tokio::time::timeout(100 * MS, s.watch("", 11, true));
    let started = Instant::now();
    let (reply, dropped) = futures_util::join!(poll, dropped);
    assert!(dropped.is_err(), "the store does not answer");
    assert_eq!(reply, PollReply::NotCurrent);
    assert!(started.elapsed() < 500 * MS);
    // One that is no distributor any more does not open its log again.
    store.batch.replace(Some(batch(12, &[])));
    s.set_distributing(false);
    s.watch("", 11, true).await.unwrap();
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 11).await, PollReply::NotCurrent);
}

/// Guards against a whole fleet that reads the store, and lists it, because one call of the
/// distributor was cut: what subscribers know counts until it is too old.
#[ntex::test]
async fn failed_call_keeps_subscribers() {
    let addr: SocketAddr = "127.0.0.1:30477".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[])).await;
    let root_store = FakeStore::answering(12);
    let root = distributed(&root_store, &log);
    root.set_distributing(true);
    root.watch("", 10, true).await.unwrap();
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    root_store.failing.set(true);
    assert!(root.watch("", 12, true).await.is_err());
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 12);
    // The distributor lists the store anew, which has forgotten its history.
    root_store.failing.set(false);
    let snapshot = |rev| Snapshot { rev, complete_rev: rev, ..Snapshot::default() };
    root.note_listing(&snapshot(12), &snapshot(40));
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 40);
    assert_eq!(*store.watched.borrow(), [0; 0]);
    // Once it is too old, they are sent to the store at once.
    root_store.failing.set(true);
    tokio::time::sleep(CONFIG_BOUND).await;
    assert!(root.watch("", 40, true).await.is_err());
    let started = Instant::now();
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 40).await, PollReply::NotCurrent);
    assert!(started.elapsed() < 100 * MS, "{:?}", started.elapsed());
    server.stop().await;
}

/// Guards against all subscribers of a process reading the store because that process dropped a
/// call to check the store anew.
#[ntex::test]
async fn dropped_call_is_made_again() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    let store = FakeStore::answering(12);
    let s = distributed(&store, &log);
    s.set_distributing(true);
    s.watch("", 10, true).await.unwrap();
    let batch = store.batch.replace(None);
    let poll = log.poll(Ipv4Addr::LOCALHOST, "", 12);
    let check = async {
        let dropped = tokio::time::timeout(100 * MS, s.watch("", 12, true)).await;
        assert!(dropped.is_err());
        tokio::time::sleep(50 * MS).await;
        store.batch.replace(batch);
        s.watch("", 12, false).await.unwrap();
    };
    let (reply, ()) = futures_util::join!(poll, check);
    assert_eq!(reply, PollReply::Changes { rev: 12, changes: Vec::new() });
}

/// Guards against a call to the store for each process that is tried as a distributor in vain:
/// after the first one, the store is watched until it changes.
#[ntex::test]
async fn lost_distributors_cost_one_check() {
    let mut lost = Vec::new();
    for port in [30_478, 30_479, 30_480] {
        let addr = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port);
        let (server, log) = distributor(addr, &batch(12, &[])).await;
        log.close();
        lost.push((addr, server));
    }
    let store = FakeStore::answering(12);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(lost.iter().map(|(addr, _)| *addr).collect());
    for _ in 0..3 {
        s.watch("", 12, true).await.unwrap();
    }
    assert_eq!(*store.waited.borrow(), [true, true, true]);
    for (_, server) in lost {
        server.stop().await;
    }
}

/// Guards against subscribers relying on a distributor that was suspended right after a change,
/// while its next call to the store was delayed to gather more of them.
#[ntex::test]
async fn dropped_delay_closes_log() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    let store = FakeStore::answering(11);
    store.batch.replace(Some(batch(11, &[put("a/1", 11, 1)])));
    let s = distributed_with_delay(&store, &log, 300 * MS);
    s.set_distributing(true);
    s.watch("", 10, true).await.unwrap();
    assert!(log.is_open());
    let dropped = tokio::time::timeout(100 * MS, s.watch("", 11, true)).await;
    assert!(dropped.is_err(), "the call is delayed");
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 11).await, PollReply::NotCurrent);
}

/// A gap in what a distributor read is never handed on as if nothing had happened in it.
#[ntex::test]
async fn gap_is_read_from_store() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    let poll = |after| log.poll(Ipv4Addr::LOCALHOST, "", after);
    log.record(10, &batch(12, &[put("a/1", 12, 1)]));
    // Listed anew meanwhile, at revision 30.
    log.record(30, &batch(31, &[put("a/1", 31, 1)]));
    assert_eq!(poll(12).await, PollReply::ReadStore);
    let newest = PollReply::Changes { rev: 31, changes: vec![put("a/1", 31, 1)] };
    assert_eq!(poll(30).await, newest);
    // More changes than are kept.
    let many: Vec<_> = (0..2_000).map(|n| put("a/1", 40 + n, 0)).collect();
    log.record(31, &batch(2_040, &many));
    assert_eq!(poll(31).await, PollReply::ReadStore);
    assert!(
        matches!(poll(2_030).await, PollReply::Changes { rev: 2_040, changes } if changes.len() == 9)
    );
}

/// Guards against a distributor that runs out of memory after hundreds of changes: the log is
/// bounded by the size of its values, not only by their number.
#[ntex::test]
async fn kept_values_are_bounded() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    for rev in 11..=500 {
        // Every second value is too large for any reply.
        let len = if rev % 2 == 0 { MAX_REPLY - 1 } else { 100 * MAX_REPLY };
        log.record(rev - 1, &batch(rev, &[put("a/1", rev, len)]));
    }
    assert!(log.value_bytes() <= 10 * MAX_REPLY, "{} bytes", log.value_bytes());
    let poll = |after| log.poll(Ipv4Addr::LOCALHOST, "", after);
    let newest = PollReply::Changes { rev: 500, changes: vec![put("a/1", 500, MAX_REPLY - 1)] };
    assert_eq!(poll(499).await, newest);
    for after in [498, 495, 10] {
        assert_eq!(poll(after).await, PollReply::ReadStore);
    }
}

/// The load on one distributor is bounded; those it refuses watch the store, and one of them
/// becomes the next distributor.
#[ntex::test]
async fn full_distributor_refuses() {
    let addr: SocketAddr = "127.0.0.1:30463".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[put("a/1", 12, 1)])).await;
    for n in 1..=MAX_SUBSCRIBERS {
        let subscriber = Ipv4Addr::new(10, 0, 0, u8::try_from(n).unwrap());
        assert!(matches!(log.poll(subscriber, "", 10).await, PollReply::Changes { .. }));
    }
    assert_eq!(log.subscriber_count(Instant::now()), MAX_SUBSCRIBERS);
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    assert!(!s.all_full());
    assert_eq!(s.watch("", 10, true).await.unwrap().rev, 14);
    assert!(s.all_full());
    server.stop().await;
}

/// Where a process that polls `root` ends up, by referrals alone; counts the levels. As
/// `full_subtree_is_left` shows, one that is full and refers to nobody is skipped.
async fn attach(logs: &HashMap<Ipv4Addr, SharedLog>, root: Ipv4Addr, ip: Ipv4Addr) -> usize {
    let redistributes = logs.contains_key(&ip);
    let subscriber = Subscriber { ip, redistributes, known_age: None };
    let (mut parent, mut level) = (root, 1);
    let mut full = Vec::new();
    for _ in 1..=8 {
        match logs[&parent].poll(subscriber, "", 10).await {
            PollReply::Changes { .. } => return level,
            PollReply::Referred(ips) => {
                parent =
                    *ips.iter().find(|ip| !full.contains(*ip)).expect("a subscriber with room");
                level += 1;
            }
            PollReply::Full if parent != root => {
                full.push(parent);
                (parent, level) = (root, 1);
            }
            other => panic!("{other:?} of {parent} at level {level}"),
        }
    }
    panic!("no room for {ip}");
}

/// Guards against a watch of the store by a process that is referred to one with no room and no
/// subscribers that serve others: the others that it was referred to are tried.
#[ntex::test]
async fn full_subtree_is_left() {
    let ip = |n: u8| Ipv4Addr::new(127, 0, 0, n);
    let addr = |n: u8| SocketAddr::new(ip(n).into(), 30_481);
    let weak = |n: u8| Subscriber::from(Ipv4Addr::new(10, 0, 0, n));
    let strong = |n: u8| Subscriber { redistributes: true, ..Subscriber::from(ip(n)) };
    let changes = batch(12, &[put("a/1", 12, 1)]);
    let (root, root_log) = distributor(addr(2), &changes).await;
    let (full, full_log) = distributor(addr(3), &changes).await;
    let (open, open_log) = distributor(addr(4), &changes).await;
    for n in 0..32 {
        full_log.poll(weak(n), "", 10).await;
    }
    for n in 0..30 {
        root_log.poll(weak(n), "", 10).await;
    }
    for n in [3, 4] {
        root_log.poll(strong(n), "", 10).await;
    }
    let store = FakeStore::default();
    // The order of a referral is random.
    for _ in 0..8 {
        let s = distributed(&store, &SharedLog::default());
        s.set_distributors(vec![addr(2)]);
        assert_eq!(s.watch("", 10, true).await.unwrap().rev, 12);
    }
    assert_eq!(*store.watched.borrow(), [0; 0]);
    assert_eq!(open_log.subscriber_count(Instant::now()), 1);
    for server in [root, full, open] {
        server.stop().await;
    }
}

/// Guards against processes that watch the store because distributors are full: one distributor is
/// enough for a fleet of any size, of whose processes every sixth has a wide link.
#[ntex::test]
async fn referrals_serve_a_fleet() {
    for processes in [30_u32, 300, 2_800] {
        let ip = |n: u32| Ipv4Addr::from(0x0a00_0000 + n);
        let log = || {
            let log = SharedLog::default();
            log.set_max_reply(MAX_REPLY);
            log.record(10, &batch(12, &[put("a/1", 12, 1)]));
            log
        };
        let logs: HashMap<_, _> = (0..processes).step_by(6).map(|n| (ip(n), log())).collect();
        let mut depth = 0;
        for n in 1..processes {
            depth = depth.max(attach(&logs, ip(0), ip(n)).await);
        }
        let largest = logs.values().map(|l| l.subscriber_count(Instant::now())).max();
        assert!(largest <= Some(MAX_SUBSCRIBERS), "{processes}: {largest:?}");
        assert!(depth <= 6, "{processes} processes: {depth} levels");
    }
}

/// Guards against subscribers that find no room although wide links are there: a process that can
/// serve others takes the place of one that cannot, which is referred to it.
#[ntex::test]
async fn wide_links_come_first() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    log.record(10, &batch(12, &[put("a/1", 12, 1)]));
    let ip = |n: u8| Ipv4Addr::new(10, 0, 0, n);
    let is_served = |reply| matches!(reply, PollReply::Changes { .. });
    let narrow: Vec<u8> = (1..=32).collect();
    for n in &narrow {
        assert!(is_served(log.poll(ip(*n), "", 10).await));
    }
    assert_eq!(log.poll(ip(40), "", 10).await, PollReply::Full);
    let wide = Subscriber { ip: ip(50), redistributes: true, known_age: None };
    assert!(is_served(log.poll(wide, "", 10).await));
    assert_eq!(log.subscriber_count(Instant::now()), MAX_SUBSCRIBERS);
    let referred = PollReply::Referred(vec![ip(50)]);
    assert_eq!(log.poll(ip(40), "", 10).await, referred);
    assert_eq!(log.poll(ip(1), "", 10).await, referred, "it was displaced");
    assert!(is_served(log.poll(ip(2), "", 10).await));
}

/// Guards against a listing by every subscriber once the store has forgotten its history: the
/// distributor lists anew and hands on what differs.
#[ntex::test]
async fn new_listing_is_handed_on() {
    let kv = |key: &str, rev| match put(key, rev, 1) {
        Change::Put(kv) => (kv.key.clone(), kv),
        Change::Delete { .. } => unreachable!(),
    };
    let snapshot = |rev, keys| Snapshot { rev, complete_rev: rev, keys };
    let old = snapshot(12, [kv("a/1", 11), kv("a/2", 12), kv("a/3", 9)].into());
    let new = snapshot(40, [kv("a/1", 11), kv("a/2", 30), kv("a/4", 31)].into());
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    log.record(10, &batch(12, &[put("a/1", 11, 1), put("a/2", 12, 1)]));
    log.record_listing(&old, &new);
    let mut subscriber = old.clone();
    match log.poll(Ipv4Addr::LOCALHOST, "", 12).await {
        PollReply::Changes { rev, changes } => subscriber.apply(rev, changes),
        other => panic!("{other:?}"),
    }
    assert_eq!((subscriber.rev, subscriber.keys), (new.rev, new.keys.clone()));
    // A log that ends before the listing, or in another era, tells nothing.
    log.record_listing(&old, &new);
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 12).await, PollReply::NotCurrent);
    let restored = snapshot(revision::compose(1, 5).unwrap(), new.keys.clone());
    log.record(12, &batch(40, &[]));
    log.record_listing(&new, &restored);
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 40).await, PollReply::NotCurrent);
}

/// Guards against changes that a subscriber misses for good: what differs after a new listing is
/// sorted by key, and a subscriber that has read the store itself meanwhile asks for a part of it;
/// and a later page may hold a key that is newer than the listing, before which others changed.
#[ntex::test]
async fn new_listing_is_handed_on_in_part() {
    let snapshot = |rev, changes: &[Change]| {
        let mut snapshot = Snapshot::default();
        snapshot.apply(rev, changes.to_vec());
        snapshot
    };
    let missed = put("a/1", 35, 1);
    let mut changes = vec![missed.clone()];
    changes.extend((2..8).map(|n| put(&format!("a/{n}"), 20 + n, 1)));
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    log.record(10, &batch(12, &[]));
    log.record_listing(&snapshot(12, &[]), &snapshot(40, &changes));
    let part = PollReply::Changes { rev: 40, changes: vec![missed] };
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 30).await, part);
    let newer = [put("a/8", 43, 1), put("a/9", 45, 1)];
    let mut listed = snapshot(40, &changes);
    listed.apply(50, vec![newer[1].clone()]);
    listed.rev = 42;
    log.record_listing(&snapshot(40, &changes), &listed);
    log.record(42, &batch(45, &newer));
    let rest = PollReply::Changes { rev: 45, changes: newer.to_vec() };
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 40).await, rest);
}

/// Guards against a whole tree that watches the store when its root is lost: a process that
/// redistributes reads the store itself, and those below it notice nothing.
#[ntex::test]
async fn lost_root_is_replaced_by_store() {
    let root = TcpListener::bind("127.0.0.1:30474").unwrap();
    let addr = root.local_addr().unwrap();
    drop(root);
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    let store = FakeStore::answering(14);
    let s = distributed(&store, &log);
    s.set_redistributing(true);
    s.set_distributors(vec![addr]);
    log.record(10, &batch(12, &[]));
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 14, "nobody listens at the root");
    let current = PollReply::Changes { rev: 14, changes: Vec::new() };
    assert_eq!(log.poll(Ipv4Addr::LOCALHOST, "", 12).await, current);
}

/// Guards against two processes that poll each other, referred by a distributor that had not yet
/// noticed that they had left: each would take the other's old replies for news.
#[ntex::test]
async fn cycle_is_left() {
    let addr: SocketAddr = "127.0.0.1:30475".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[])).await;
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    log.set_ancestors(vec![Ipv4Addr::new(10, 0, 0, 1)]);
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 12);
    log.set_ancestors(vec![Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::LOCALHOST]);
    assert_eq!(s.watch("", 12, true).await.unwrap().rev, 14, "the store is read");
    server.stop().await;
}

/// After [`DistributedStore::watch_directly`] the store is watched for some time.
#[ntex::test]
async fn direct_watch_is_limited() {
    let addr: SocketAddr = "127.0.0.1:30464".parse().unwrap();
    let (server, _) = distributor(addr, &batch(12, &[put("a/1", 12, 1)])).await;
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    let now = Instant::now();
    assert!(s.watch_directly(now));
    assert!(!s.watch_directly(now), "it does already");
    assert_eq!(s.watch("", 10, true).await.unwrap().rev, 14);
    tokio::time::sleep(600 * MS).await;
    assert_eq!(s.watch("", 10, true).await.unwrap().rev, 12);
    server.stop().await;
}

/// Guards against a watch that waits for a revision that the restored store gives out again: the
/// first call after a distributor's replies returns at once.
#[ntex::test]
async fn first_call_after_distributor_returns_at_once() {
    let addr: SocketAddr = "127.0.0.1:30465".parse().unwrap();
    let (server, log) = distributor(addr, &batch(12, &[put("a/1", 12, 1)])).await;
    let store = FakeStore::answering(14);
    let s = distributed(&store, &SharedLog::default());
    s.set_distributors(vec![addr]);
    assert_eq!(s.watch("", 10, true).await.unwrap().rev, 12);
    log.close();
    s.watch("", 12, true).await.unwrap();
    s.watch("", 14, true).await.unwrap();
    assert_eq!(*store.waited.borrow(), [false, true]);
    server.stop().await;
}

/// Guards against changes of one era applied to a snapshot of another: whoever is ahead or behind
/// after a restore of the store reads the store itself.
#[ntex::test]
async fn other_era_is_read_from_store() {
    let log = SharedLog::default();
    log.set_max_reply(MAX_REPLY);
    let rev = |era, n| revision::compose(era, n).unwrap();
    let poll = |after| log.poll(Ipv4Addr::LOCALHOST, "", after);
    log.record(rev(1, 10), &batch(rev(1, 12), &[put("a/1", rev(1, 12), 1)]));
    assert_eq!(poll(rev(2, 5)).await, PollReply::NotCurrent, "the distributor is behind");
    log.record(rev(2, 5), &batch(rev(2, 20), &[put("a/1", rev(2, 20), 1)]));
    for after in [rev(1, 12), rev(1, 30)] {
        assert_eq!(poll(after).await, PollReply::ReadStore, "the subscriber is behind");
    }
    assert!(matches!(poll(rev(2, 5)).await, PollReply::Changes { .. }));
}

/// Large replies to all subscribers must leave room for callers' packets on the link.
#[test]
fn replies_fit_the_link() {
    let link_ms = |mbps: f64| {
        let bits = (max_reply_bytes(mbps) * MAX_SUBSCRIBERS * 8) as f64;
        bits / (mbps * 1e3)
    };
    for mbps in [2.0, 10.0, 200.0, 1_000.0] {
        assert!(link_ms(mbps) <= 100.0, "{mbps} Mbit/s: {} ms", link_ms(mbps));
    }
}

/// A distributor that has lost the store unnoticed must know it well before changes must be in
/// force at its subscribers, and where these leave enough time, have read it again before they do.
#[test]
fn wait_follows_from_bounds() {
    for (bounds, wait_ms, valid_ms) in [
        ("\"config_ms\": 3000", 1_500, 1_500),
        ("\"config_ms\": 5000, \"evacuate_ms\": 4000", 1_500, 2_000),
        ("\"config_ms\": 5000, \"evacuate_ms\": 9000", 1_500, 2_500),
        ("\"config_ms\": 60000", 1_500, 3_000),
    ] {
        let text = format!("{{ \"packets\": \"127.0.0.1:1\", \"bounds\": {{ {bounds} }} }}");
        let settings = Settings::parse(&text).unwrap();
        assert_eq!(settings.distributor_wait(), wait_ms * MS, "{bounds}");
        assert_eq!(settings.read_validity(), valid_ms * MS, "{bounds}");
    }
    let zero = "{ \"packets\": \"127.0.0.1:1\", \"bounds\": { \"config_ms\": 0 } }";
    assert!(Settings::parse(zero).unwrap_err().to_string().contains("bounds.config_ms"));
}

fn balancer_at(n: u8, mbps: f64) -> Distributor {
    Distributor::new("gjw", Ipv4Addr::new(10, 1, 0, n), mbps)
}

fn list(snapshot: &mut Snapshot, distributor: &Distributor) {
    let kv = Kv { key: distributor.key().into(), value: Vec::new(), rev: 5, lease: 1, created: 0 };
    snapshot.keys.insert(kv.key.clone(), kv);
}

#[test]
fn one_balancer_distributes() {
    let mut rng = StdRng::seed_from_u64(1);
    let (weak, strong) = (balancer_at(1, 10.0), balancer_at(2, 200.0));
    let mut snapshot = Snapshot::default();
    for _ in 0..100 {
        let of = |d: &Distributor, rng: &mut _| d.should_start(&snapshot, false, rng).unwrap();
        assert!(of(&strong, &mut rng) <= of(&weak, &mut rng), "wide links go first");
    }
    list(&mut snapshot, &weak);
    assert_eq!(strong.should_start(&snapshot, false, &mut rng), None, "there is one");
    assert_eq!(strong.others(&snapshot), [Ipv4Addr::new(10, 1, 0, 1)]);
    assert!(strong.should_start(&snapshot, true, &mut rng).is_some(), "it is full");
    // Both started at once: the one that others prefer stays.
    list(&mut snapshot, &strong);
    let term = Term { age: Duration::from_secs(60), subscribers: 0 };
    assert!(weak.should_stop(&snapshot, term) && !strong.should_stop(&snapshot, term));
    assert!(!weak.should_stop(&snapshot, Term { subscribers: 1, ..term }), "it is used");
    assert!(!weak.should_stop(&snapshot, Term { age: Duration::ZERO, ..term }), "it is new");
    assert_eq!(weak.others(&snapshot), [Ipv4Addr::new(10, 1, 0, 2)]);
    let elsewhere = Distributor::new("norte", Ipv4Addr::new(10, 9, 0, 1), 10.0);
    assert!(elsewhere.should_start(&snapshot, false, &mut rng).is_some(), "each region has one");
}

/// A balancer that starts again takes over from its earlier process at once, as subscribers go by
/// the key that this one left.
#[test]
fn restarted_distributor_goes_on() {
    let mut rng = StdRng::seed_from_u64(1);
    let (weak, strong) = (balancer_at(1, 10.0), balancer_at(2, 200.0));
    let mut snapshot = Snapshot::default();
    list(&mut snapshot, &weak);
    assert_eq!(weak.should_start(&snapshot, false, &mut rng), Some(Duration::ZERO));
    list(&mut snapshot, &strong);
    assert_eq!(weak.should_start(&snapshot, false, &mut rng), None, "another one is preferred");
}

/// Watches in 6 s that a distributor makes, each of which waits for half of [`CONFIG_BOUND`], and
/// one that was waiting before.
const MAX_IDLE_WATCHES: u64 = 5;

/// Number of the store stand-in's watch calls so far.
async fn watch_calls(trial: &Trial) -> u64 {
    let url = format!("http://{}/stats", trial.store_addr());
    let client = ntex::client::Client::new().await;
    let body = client.get(url).send().await.unwrap().body().await.unwrap();
    let stats: serde_json::Value = serde_json::from_slice(&body).unwrap();
    stats["watches"].as_u64().unwrap()
}

/// Version that each of the balancers `labels` has in force.
async fn versions(trial: &Trial, balancers: &[(u8, u8)]) -> Vec<Option<u64>> {
    let client = ntex::client::Client::new().await;
    let mut all = Vec::new();
    for (zone, n) in balancers {
        let url = format!("http://{}/beliefs", trial.metrics_addr(true, *zone, *n));
        let version = async {
            let body = client.get(url).send().await.ok()?.body().await.ok()?;
            serde_json::from_slice::<serde_json::Value>(&body).ok()?["version"].as_u64()
        };
        all.push(version.await);
    }
    all
}

/// Waits until all `balancers` have `version` in force; returns how long that took.
async fn wait_in_force(trial: &Trial, version: u64, balancers: &[(u8, u8)]) -> Duration {
    let started = Instant::now();
    loop {
        let all = versions(trial, balancers).await;
        if all.iter().all(|v| *v == Some(version)) {
            return started.elapsed();
        }
        assert!(started.elapsed() < 2 * CONFIG_BOUND, "version {version}: {all:?}");
        tokio::time::sleep(20 * MS).await;
    }
}

/// Time since a balancer last heard that its view of the store is current, in ms.
async fn store_age_ms(trial: &Trial, zone: u8, n: u8) -> f64 {
    let url = format!("http://{}/metrics", trial.metrics_addr(true, zone, n));
    let client = ntex::client::Client::new().await;
    let body = client.get(url).send().await.unwrap().body().await.unwrap();
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|l| l.contains("\"store_age_ms\"")).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Whether the log of a balancer says that it distributes.
fn distributes(dir: &Path, zone: u8, n: u8) -> bool {
    let log = std::fs::read_to_string(dir.join(format!("entry-{zone}-{n}.log"))).unwrap();
    let last = log.lines().rfind(|l| l.contains("E725"));
    last.is_some_and(|l| l.contains("\"distributor\":true"))
}

fn find_distributor(dir: &Path, balancers: &[(u8, u8)]) -> Option<(u8, u8)> {
    balancers.iter().copied().find(|(zone, n)| distributes(dir, *zone, *n))
}

/// Changes come into force in time while the distributor is suspended, and after it is killed;
/// with it, eight balancers watch the store as often as one.
#[ntex::test]
async fn changes_apply_despite_lost_distributor() {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    let dir = std::env::temp_dir().join(format!("jujubepost-distributor-{}", std::process::id()));
    let plan = Plan { base_port: 28_540, balancers: 4, targets: 1, ..Plan::default() };
    let trial = Trial::start(&exe, &dir, plan).await.unwrap();
    let all: Vec<(u8, u8)> = (0..2).flat_map(|z| (0..4).map(move |n| (z, n))).collect();
    tokio::time::sleep(Duration::from_secs(9)).await;
    let before = watch_calls(&trial).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let idle = watch_calls(&trial).await - before;
    assert!(idle <= MAX_IDLE_WATCHES, "{idle} watches in 6 s");
    for (zone, n) in &all {
        let age = store_age_ms(&trial, *zone, *n).await;
        assert!(age < 4_000.0, "operators take more as a fault: {age}");
    }
    for (version, signal) in [(2, Signal::SIGSTOP), (3, Signal::SIGKILL)] {
        let (zone, n) = find_distributor(&dir, &all).expect("a distributor");
        let label = format!("entry-{zone}-{n}");
        trial.send_signal(&label, signal);
        let left: Vec<_> = all.iter().copied().filter(|b| *b != (zone, n)).collect();
        trial.write_config(version).await.unwrap();
        let took = wait_in_force(&trial, version, &left).await;
        assert!(took < CONFIG_BOUND, "{signal:?} of {label}: {took:?}");
        if signal == Signal::SIGSTOP {
            trial.send_signal(&label, Signal::SIGCONT);
        }
        wait_in_force(&trial, version, &left).await;
    }
    trial.shut_down().await;
    let _ = std::fs::remove_dir_all(&dir);
}

/// Guards against a large configuration, of which most balancers watch only the parts, leaving
/// everyone to watch the store.
#[ntex::test]
async fn large_config_has_distributor() {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    let dir = std::env::temp_dir().join(format!("jujubepost-dist-large-{}", std::process::id()));
    let plan =
        Plan { base_port: 28_570, balancers: 4, targets: 1, idle_routes: 300, ..Plan::default() };
    let mut trial = Trial::start(&exe, &dir, Plan { relay_kib: 16, ..plan }).await.unwrap();
    let all: Vec<(u8, u8)> = (0..2).flat_map(|z| (0..4).map(move |n| (z, n))).collect();
    tokio::time::sleep(Duration::from_secs(9)).await;
    // One that watched the parts takes over.
    let (zone, n) = find_distributor(&dir, &all).expect("a distributor");
    trial.stop(&format!("entry-{zone}-{n}")).await;
    tokio::time::sleep(Duration::from_secs(9)).await;
    let before = watch_calls(&trial).await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let idle = watch_calls(&trial).await - before;
    assert!(idle <= MAX_IDLE_WATCHES, "{idle} watches in 6 s");
    let store = Client::new(trial.store_addr().into(), 1_000 * MS, 1_000 * MS).await.unwrap();
    let (_, listed) = store.list("jujubepost/distributors/").await.unwrap();
    let running = all.iter().filter(|(zone, n)| distributes(&dir, *zone, *n)).count();
    assert_eq!((listed.len(), running), (1, 1), "each one has a key, and there is one");
    trial.shut_down().await;
    let _ = std::fs::remove_dir_all(&dir);
}
