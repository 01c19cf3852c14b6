//! Publishing a large configuration in parts: a change rewrites few of them, parts
//! of different versions are not applied, and a dead relay is replaced.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubepost::admin::{self, ProcessState};
use jujubepost::edge::SnapshotReader;
use jujubepost::platform::config;
use jujubepost::relay::parts::{decode, join, split};
use jujubepost::relay::{self, INDEX_KEY, PART_COUNT, Relay, SYSTEM_PREFIX, part_key};
use jujubepost::steering::{EvacuationList, FlowSteering, Route, Routes, WeightedService};
use jujubepost::store::mirror::{MirrorEvent, PeerFallback, Source, follow};
use jujubepost::store::{Change, Kv, Snapshot, WatchBatch, WatchStore};
use jujubepost::trial::{Plan, Trial};

const MS: Duration = Duration::from_millis(1);

fn addr(n: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), n)
}

fn routes(version: u64, n: u16) -> Routes {
    let route = |n: u16| Route {
        name: format!("r-{n}").into(),
        services: vec![WeightedService { service: "meter".into(), weight: 1, max_flows: 2_000 }],
        request_timeout: Duration::from_secs(3),
        needs: None,
    };
    let routes: HashMap<_, _> = (1..=n).map(|n| (addr(n), route(n))).collect();
    Routes {
        version,
        by_address: routes,
        idle_timeout: Duration::from_secs(12),
        cold_rates: [("meter".into(), 12_000)].into(),
    }
}

fn steering() -> FlowSteering {
    FlowSteering::new(addr(7_720), "gjw-a".into(), Duration::from_secs(60))
}

/// The balancer at 10.1.0.`n`, for configurations of 100 bytes or more.
fn relay_at(n: u8) -> Relay {
    Relay::new(config::CONFIG_KEY, "gjw-a", Ipv4Addr::new(10, 1, 0, n), 100)
}

fn put(snapshot: &mut Snapshot, key: &str, value: Vec<u8>) {
    let rev = snapshot.rev + 1;
    snapshot
        .apply(rev, vec![Change::Put(Kv { key: key.into(), value, rev, lease: 0, created: 0 })]);
}

/// Applies the transaction that `relay` has pending; returns the number of keys
/// written.
fn publish(snapshot: &mut Snapshot, relay: &Relay, routes: &Routes) -> usize {
    let transaction = relay
        .pending_transaction(snapshot, routes, &EvacuationList::default())
        .unwrap()
        .unwrap_or_default();
    let n = transaction.puts.len();
    transaction.puts.into_iter().for_each(|(key, value)| put(snapshot, &key, value));
    n
}

/// The prefix that `relay`'s balancer watches while `version` is in force and no data
/// centre is evacuated.
fn narrow(relay: &Relay, snapshot: &Snapshot, version: u64) -> Option<&'static str> {
    relay.narrow_prefix(snapshot, Some(version), &EvacuationList::default())
}

/// A store with a large configuration and no parts.
fn large_config() -> Snapshot {
    let mut snapshot = Snapshot::default();
    put(&mut snapshot, config::CONFIG_KEY, vec![b' '; 1_000]);
    snapshot
}

#[test]
fn split_parts_join_again() {
    let all = routes(7, 2_200);
    let (index, values) = split(&all).unwrap();
    assert_eq!(values.len(), PART_COUNT);
    let parts: Vec<_> = values.iter().map(|v| decode(v).unwrap()).collect();
    assert_eq!(join(&index, &parts), all);
    let longest = values.iter().map(Vec::len).max().unwrap();
    assert!(longest < 12 * 1_024, "{longest}");
    assert!(decode(b"\xff\xff\xff").is_err());
}

#[test]
fn route_change_rewrites_one_part() {
    let mut snapshot = large_config();
    let mut all = routes(7, 2_200);
    assert_eq!(publish(&mut snapshot, &relay_at(1), &all), PART_COUNT + 1);
    assert_eq!(publish(&mut snapshot, &relay_at(1), &all), 0, "written once");
    all.version = 9;
    all.by_address.get_mut(&addr(5)).unwrap().request_timeout = Duration::from_secs(1);
    assert_eq!(publish(&mut snapshot, &relay_at(1), &all), 2, "the part and the index");
    let mut s = steering();
    SnapshotReader::default().apply_snapshot(&mut s, &snapshot);
    assert_eq!(s.routes(), Some(&all));
}

/// Guards against applying parts of two versions, which a listing read in pages may mix.
#[test]
fn mixed_versions_not_applied() {
    let (mut snapshot, relay) = (large_config(), relay_at(1));
    publish(&mut snapshot, &relay, &routes(7, 50));
    let old = snapshot.clone();
    publish(&mut snapshot, &relay, &routes(8, 60));
    let (mut s, mut reader) = (steering(), SnapshotReader::default());
    reader.apply_snapshot(&mut s, &old);
    assert_eq!(s.config_version(), Some(7));
    let mut mixed = snapshot.clone();
    let index = relay::read_index(&snapshot).unwrap().0;
    let changed =
        (0..PART_COUNT).map(part_key).find(|k| snapshot.keys[k.as_str()] != old.keys[k.as_str()]);
    let key = changed.unwrap();
    mixed.keys.insert(key.as_str().into(), old.keys[key.as_str()].clone());
    assert!(relay::consistent_parts(&mixed, &index).is_none());
    reader.apply_snapshot(&mut s, &mixed);
    assert_eq!((s.config_version(), s.routes().unwrap().by_address.len()), (Some(7), 50));
    reader.apply_snapshot(&mut s, &snapshot);
    assert_eq!((s.config_version(), s.routes().unwrap().by_address.len()), (Some(8), 60));
    // An older version is never applied again.
    reader.apply_snapshot(&mut s, &old);
    assert_eq!(s.config_version(), Some(8));
}

#[test]
fn first_listed_balancer_relays() {
    let mut snapshot = Snapshot::default();
    put(&mut snapshot, config::CONFIG_KEY, vec![b' '; 99]);
    assert!(!relay_at(1).should_relay(&snapshot), "too small");
    let mut snapshot = large_config();
    let (first, second) = (relay_at(1), relay_at(2));
    assert!(first.should_relay(&snapshot) && second.should_relay(&snapshot), "none is listed");
    assert_eq!(narrow(&second, &snapshot, 7), None);
    put(&mut snapshot, second.key(), Vec::new());
    assert!(!first.should_relay(&snapshot) && second.should_relay(&snapshot), "one is");
    assert_eq!(narrow(&first, &snapshot, 7), None, "it has written nothing yet");
    publish(&mut snapshot, &second, &routes(7, 50));
    assert_eq!(narrow(&first, &snapshot, 7), Some(SYSTEM_PREFIX));
    assert_eq!(narrow(&first, &snapshot, 8), None, "the parts are older than what is in force");
    assert_eq!(narrow(&second, &snapshot, 7), None, "a relay follows everything");
    // Both became relays at once: the one with the lower address stays.
    put(&mut snapshot, first.key(), Vec::new());
    assert!(first.should_relay(&snapshot) && !second.should_relay(&snapshot));
    assert_eq!(narrow(&second, &snapshot, 7), None, "until its key is gone");
    let other = Relay::new(config::CONFIG_KEY, "gjw-b", Ipv4Addr::new(10, 2, 0, 1), 100);
    assert!(other.should_relay(&snapshot), "each data centre has its own");
}

#[test]
fn small_config_deletes_parts() {
    let (mut snapshot, relay) = (large_config(), relay_at(1));
    publish(&mut snapshot, &relay, &routes(7, 50));
    put(&mut snapshot, config::CONFIG_KEY, vec![b' '; 10]);
    let transaction = relay
        .pending_transaction(&snapshot, &routes(8, 1), &EvacuationList::default())
        .unwrap()
        .unwrap();
    assert_eq!((transaction.puts.len(), transaction.deletes.len()), (0, PART_COUNT + 1));
    assert!(transaction.deletes.iter().any(|key| key == INDEX_KEY));
    assert_eq!(narrow(&relay, &snapshot, 7), None);
}

/// A store whose relay dies before it publishes a changed configuration.
#[derive(Clone)]
struct DeadRelayStore {
    watched: Rc<RefCell<Vec<String>>>,
    relay: Rc<str>,
}

fn kv(key: &str, rev: i64, value: &[u8]) -> Kv {
    Kv { key: key.into(), value: value.to_vec(), rev, lease: 0, created: 0 }
}

impl WatchStore for DeadRelayStore {
    async fn list(&self, _: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        Ok(if self.watched.borrow().is_empty() {
            (99, vec![kv(config::CONFIG_KEY, 5, b"old"), kv(&self.relay, 6, b"")])
        } else {
            (101, vec![kv(config::CONFIG_KEY, 100, b"new")])
        })
    }

    async fn watch(&self, prefix: &str, after: i64, _: bool) -> anyhow::Result<WatchBatch> {
        self.watched.borrow_mut().push(prefix.to_string());
        if after == 99 {
            let deletion = Change::Delete { key: (&*self.relay).into(), rev: 101 };
            return Ok(WatchBatch { rev: 101, compacted: false, changes: vec![deletion] });
        }
        std::future::pending().await
    }
}

#[ntex::test]
async fn change_outside_narrow_watch_is_listed() {
    let store = DeadRelayStore { watched: Rc::default(), relay: relay_at(1).key().into() };
    let watched = store.watched.clone();
    let source = Source {
        store: store.clone(),
        prefix: String::new(),
        peers: Vec::new(),
        start_order: Vec::new(),
        peer_fallback: PeerFallback::Always,
        batch_delay: Duration::ZERO,
        refresh: std::sync::Arc::default(),
    };
    let narrow_prefix =
        |snapshot: &Snapshot| snapshot.keys.contains_key(&*store.relay).then_some(SYSTEM_PREFIX);
    let values = RefCell::new(Vec::new());
    let run = follow(&source, narrow_prefix, |event| {
        if let MirrorEvent::Updated(snapshot) = event {
            values.borrow_mut().push(snapshot.keys[config::CONFIG_KEY].value.clone());
        }
    });
    let _ = tokio::time::timeout(300 * MS, run).await;
    assert_eq!(*values.borrow(), [b"old".to_vec(), b"old".to_vec(), b"new".to_vec()]);
    assert_eq!(*watched.borrow(), [SYSTEM_PREFIX, ""]);
}

/// Returns the version in force and whether the balancer watches only parts.
async fn inspect(trial: &Trial, zone: u8, n: u8) -> Option<(u64, bool)> {
    let at = trial.metrics_addr(true, zone, n);
    let client = ntex::client::Client::new().await;
    let text = |path: &str| {
        let url = format!("http://{at}/{path}");
        let client = client.clone();
        async move {
            let body = client.get(url).send().await.ok()?.body().await.ok()?;
            Some(String::from_utf8_lossy(&body).into_owned())
        }
    };
    let beliefs: serde_json::Value = serde_json::from_str(&text("beliefs").await?).ok()?;
    let parts = text("metrics").await?.lines().any(|l| {
        l.starts_with("jujubepost_state") && l.contains("\"follows_parts\"") && l.ends_with(" 1")
    });
    Some((beliefs["version"].as_u64()?, parts))
}

/// Waits until every balancer has `version`; returns how many follow parts.
async fn wait_in_force(trial: &Trial, version: u64, balancers: &[(u8, u8)]) -> usize {
    let start = Instant::now();
    loop {
        let mut all = Vec::new();
        for (zone, n) in balancers {
            all.push(inspect(trial, *zone, *n).await);
        }
        if all.iter().all(|b| b.is_some_and(|(v, _)| v == version)) {
            return all.iter().flatten().filter(|(_, parts)| *parts).count();
        }
        assert!(start.elapsed() < Duration::from_secs(5), "version {version}: {all:?}");
        tokio::time::sleep(50 * MS).await;
    }
}

/// Waits until `n` balancers follow parts.
async fn wait_following(trial: &Trial, version: u64, balancers: &[(u8, u8)], n: usize) {
    let start = Instant::now();
    while wait_in_force(trial, version, balancers).await != n {
        assert!(start.elapsed() < Duration::from_secs(10), "{n} should follow parts");
        tokio::time::sleep(100 * MS).await;
    }
}

/// Changes come into force in time, also after a relay is killed.
#[ntex::test]
async fn changes_apply_despite_dead_relay() {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    let dir = std::env::temp_dir().join(format!("jujubepost-relay-{}", std::process::id()));
    let plan =
        Plan { base_port: 28_500, balancers: 3, targets: 1, idle_routes: 300, ..Plan::default() };
    let mut trial = Trial::start(&exe, &dir, Plan { relay_kib: 16, ..plan }).await.unwrap();
    let all: Vec<(u8, u8)> = (0..2).flat_map(|z| (0..3).map(move |n| (z, n))).collect();
    wait_following(&trial, 1, &all, 4).await;
    for version in 2..5 {
        trial.write_config(version).await.unwrap();
        assert_eq!(wait_in_force(&trial, version, &all).await, 4);
    }
    let mut relay = None;
    for (z, n) in &all {
        if inspect(&trial, *z, *n).await.is_some_and(|(_, parts)| !parts) {
            relay = Some((*z, *n));
        }
    }
    let (z, n) = relay.expect("a relay");
    let label = format!("entry-{z}-{n}");
    trial.kill(&label);
    trial.write_config(5).await.unwrap();
    let left: Vec<(u8, u8)> = all.iter().copied().filter(|b| *b != (z, n)).collect();
    wait_in_force(&trial, 5, &left).await;
    trial.launch(&label).unwrap();
    wait_following(&trial, 5, &all, 4).await;
    assert_eq!(
        trial.shut_down().await,
        Vec::<String>::new(),
        "processes that did not stop in time"
    );
    let _ = std::fs::remove_dir_all(&dir);
}

/// A store that answers listings of one prefix each and notes them.
#[derive(Clone, Default)]
struct ListedStore {
    listed: Rc<RefCell<Vec<String>>>,
    fails_second: bool,
}

impl WatchStore for ListedStore {
    async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        self.listed.borrow_mut().push(prefix.to_string());
        if self.fails_second && self.listed.borrow().len() == 2 {
            anyhow::bail!("no answer");
        }
        let all = [kv(INDEX_KEY, 4, b""), kv(config::CONFIG_KEY, 5, b"")];
        let listed = all.into_iter().filter(|kv| kv.key.starts_with(prefix));
        Ok((9 + self.listed.borrow().len() as i64, listed.collect()))
    }

    async fn watch(&self, _: &str, _: i64, _: bool) -> anyhow::Result<WatchBatch> {
        std::future::pending().await
    }
}

/// A balancer that starts gets the parts before the whole configuration, which takes longer
/// than callers wait on a narrow link, and its snapshot is complete only after both.
#[ntex::test]
async fn parts_read_first_at_start() {
    for fails_second in [false, true] {
        let store = ListedStore { fails_second, ..ListedStore::default() };
        let listed = store.listed.clone();
        let source = Source {
            store,
            prefix: String::new(),
            start_order: vec![SYSTEM_PREFIX.into(), config::OPERATOR_PREFIX.into()],
            peers: Vec::new(),
            peer_fallback: PeerFallback::Always,
            batch_delay: Duration::ZERO,
            refresh: std::sync::Arc::default(),
        };
        let snapshots = RefCell::new(Vec::new());
        let run = follow(
            &source,
            |_| None,
            |event| {
                if let MirrorEvent::Updated(s) = event {
                    snapshots.borrow_mut().push((s.rev, s.complete_rev, s.keys.len()));
                }
            },
        );
        let _ = tokio::time::timeout(700 * MS, run).await;
        let prefixes = [SYSTEM_PREFIX, config::OPERATOR_PREFIX, ""];
        let reads = if fails_second { 3 } else { 2 };
        assert_eq!(*listed.borrow(), prefixes[..reads], "fails second: {fails_second}");
        let complete = if fails_second { (12, 12, 2) } else { (10, 10, 2) };
        assert_eq!(*snapshots.borrow(), [(10, 0, 1), complete], "fails second: {fails_second}");
    }
}

/// Guards against publishing that stops for good because the index cannot be decoded.
#[test]
fn unreadable_index_is_replaced() {
    let (mut snapshot, relay) = (large_config(), relay_at(1));
    put(&mut snapshot, INDEX_KEY, b"not json".to_vec());
    let index_rev = snapshot.keys[INDEX_KEY].rev;
    let list = EvacuationList::default();
    let transaction = relay.pending_transaction(&snapshot, &routes(7, 50), &list).unwrap();
    let transaction = transaction.unwrap();
    assert_eq!((transaction.index_rev, transaction.puts.len()), (index_rev, PART_COUNT + 1));
}

/// Guards against a relay that deletes the parts because it has not read the operators'
/// configuration yet.
#[test]
fn parts_kept_until_config_is_read() {
    let (mut snapshot, relay) = (large_config(), relay_at(1));
    publish(&mut snapshot, &relay, &routes(7, 50));
    snapshot.keys.remove(config::CONFIG_KEY);
    let list = EvacuationList::default();
    assert_eq!(relay.pending_transaction(&snapshot, &routes(7, 50), &list).unwrap(), None);
}

/// A store whose first watch fails.
#[derive(Clone, Default)]
struct FailingOnceStore {
    calls: Rc<RefCell<Vec<&'static str>>>,
}

impl WatchStore for FailingOnceStore {
    async fn list(&self, _: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        self.calls.borrow_mut().push("list");
        let rev = if self.calls.borrow().len() == 1 { 5 } else { 30 };
        Ok((rev, vec![kv(config::CONFIG_KEY, rev, b"")]))
    }

    async fn watch(&self, _: &str, _: i64, _: bool) -> anyhow::Result<WatchBatch> {
        self.calls.borrow_mut().push("watch");
        if self.calls.borrow().len() == 2 {
            anyhow::bail!("no answer");
        }
        std::future::pending().await
    }
}

/// Guards against taking a peer's snapshot for complete that follows only the parts: changes of
/// the operators' keys, such as evacuations, would stay unseen.
#[ntex::test]
async fn incomplete_peer_snapshot_is_listed_again() {
    let peer: std::net::SocketAddr = "127.0.0.1:30450".parse().unwrap();
    let state = ProcessState::new("peer".into(), config::OPERATOR_PREFIX.into());
    let server = admin::Server::start(peer, state.clone()).await.unwrap();
    for (complete_rev, expected) in [(20, "watch"), (10, "list")] {
        let mut snapshot = Snapshot { rev: 20, complete_rev, ..Snapshot::default() };
        snapshot.keys.insert(INDEX_KEY.into(), kv(INDEX_KEY, 20, b""));
        state.set_snapshot(std::sync::Arc::new(snapshot));
        let store = FailingOnceStore::default();
        let calls = store.calls.clone();
        let source = Source {
            store,
            prefix: String::new(),
            start_order: Vec::new(),
            peers: vec![peer],
            peer_fallback: PeerFallback::Always,
            batch_delay: Duration::ZERO,
            refresh: std::sync::Arc::default(),
        };
        let _ = tokio::time::timeout(1_000 * MS, follow(&source, |_| None, |_| {})).await;
        assert_eq!(calls.borrow()[..3], ["list", "watch", expected], "up to {complete_rev}");
    }
    server.stop().await;
}

/// Guards against parts that match no index and are never written again: a transaction that was
/// sent before a restore of the store, and took effect after it, replaced some of them.
#[test]
fn mixed_parts_are_published_again() {
    let relay = relay_at(1);
    let mut snapshot = large_config();
    publish(&mut snapshot, &relay, &routes(1, 40));
    let mut late = snapshot.clone();
    publish(&mut late, &relay, &routes(2, 60));
    publish(&mut snapshot, &relay, &routes(3, 80));
    let part = part_key(0);
    let one = &late.keys[part.as_str()];
    assert_ne!(one.value, snapshot.keys[part.as_str()].value);
    put(&mut snapshot, &part, one.value.clone());
    let (index, _) = relay::read_index(&snapshot).unwrap();
    assert!(relay::consistent_parts(&snapshot, &index).is_none(), "one part is of version 2");
    assert_eq!(publish(&mut snapshot, &relay, &routes(3, 80)), PART_COUNT + 1);
    let (index, _) = relay::read_index(&snapshot).unwrap();
    assert!(relay::consistent_parts(&snapshot, &index).is_some());
    assert_eq!(publish(&mut snapshot, &relay, &routes(3, 80)), 0);
}
