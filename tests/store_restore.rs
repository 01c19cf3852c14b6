//! The store is restored from a backup: what it acknowledged since is lost, and revisions and
//! lease identifiers are given out again.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use common::trials::{CONFIG_BOUND, set_faults, wait_in_force};
use jujubepost::admin::{self, ProcessState};
use jujubepost::edge::Record;
use jujubepost::platform::{config, kv};
use jujubepost::script::Action;
use jujubepost::steering::ListedAgent;
use jujubepost::store::mirror::{self, MirrorEvent, PeerFallback, Source};
use jujubepost::store::{Faults, Kv, LeaseStore, Snapshot, WatchBatch, WatchStore, revision};
use jujubepost::tracker::Predecessor;
use jujubepost::trial::{Plan, Trial};
use jujubepost::up::Signal;

const MS: Duration = Duration::from_millis(1);

/// Time after which registrations that were lost must be back.
const REGISTER_BOUND: Duration = Duration::from_secs(2);

/// Balancers in each of the two data centres.
const BALANCERS: u8 = 2;

fn test_dir(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jujubepost-restore-{name}-{}", std::process::id()))
}

async fn start(name: &str, plan: Plan) -> Trial {
    let plan = Plan { balancers: BALANCERS, targets: 1, ..plan };
    Trial::start(&common::exe(), &test_dir(name), plan).await.unwrap()
}

async fn stop(name: &str, trial: Trial) {
    assert_eq!(trial.shut_down().await, Vec::<String>::new());
    let _ = std::fs::remove_dir_all(test_dir(name));
}

async fn back_up(trial: &Trial) {
    set_faults(trial, Faults { backup: true, ..Faults::default() }).await;
}

/// Restores the backup while the store is away for `outage`.
async fn restore(trial: &Trial, outage: Duration) {
    set_faults(trial, Faults { outage: true, ..Faults::default() }).await;
    tokio::time::sleep(outage).await;
    set_faults(trial, Faults { restore: true, ..Faults::default() }).await;
}

async fn client(trial: &Trial) -> kv::Client {
    kv::Client::new(trial.store_addr().into(), 1_000 * MS, 1_000 * MS).await.unwrap()
}

async fn registered(client: &kv::Client) -> usize {
    client.list("jujubepost/agents/").await.unwrap().1.len()
}

/// Guards against listings of the restored store that are rejected because their revision is
/// lower than the last one known.
#[ntex::test]
async fn change_applies_after_restore() {
    let trial = start("older", Plan { base_port: 31_000, ..Plan::default() }).await;
    back_up(&trial).await;
    for version in 2..=9 {
        trial.write_config(version).await.unwrap();
    }
    wait_in_force(&trial, BALANCERS, 9, "before the restore").await;
    restore(&trial, 1_000 * MS).await;
    // Fewer changes than were lost, so that the revision stays below the earlier one.
    trial.write_config(9).await.unwrap();
    tokio::time::sleep(2_000 * MS).await;
    trial.write_config(10).await.unwrap();
    wait_in_force(&trial, BALANCERS, 10, "after the restore").await;
    stop("older", trial).await;
}

/// Guards against a value being taken for the one that had the same revision before the restore.
#[ntex::test]
async fn reissued_revision_applies() {
    let trial = start("reissued", Plan { base_port: 31_100, ..Plan::default() }).await;
    let client = client(&trial).await;
    back_up(&trial).await;
    for version in 2..=4 {
        trial.write_config(version).await.unwrap();
    }
    wait_in_force(&trial, BALANCERS, 4, "before the restore").await;
    let lost = client.get(config::CONFIG_KEY).await.unwrap().unwrap();
    // Changes are made while the store cannot be read, so that its revision is the same when
    // balancers read it again.
    for entry in trial.labels().iter().filter(|l| l.starts_with("entry")) {
        trial.send_signal(entry, Signal::SIGSTOP);
    }
    restore(&trial, 200 * MS).await;
    for version in 4..=6 {
        trial.write_config(version).await.unwrap();
    }
    let client = self::client(&trial).await;
    let written = client.get(config::CONFIG_KEY).await.unwrap().unwrap();
    let counters = [written.rev, lost.rev].map(revision::counter);
    assert_eq!(counters[0], counters[1], "the revision is given out again");
    for entry in trial.labels().iter().filter(|l| l.starts_with("entry")) {
        trial.send_signal(entry, Signal::SIGCONT);
    }
    wait_in_force(&trial, BALANCERS, 6, "after the restore").await;
    stop("reissued", trial).await;
}

/// Guards against agents that renew a lease which the restored store does not have, or has
/// granted to another process, and so stay unlisted.
#[ntex::test]
async fn lost_registrations_restored() {
    let mut trial = start("leases", Plan { base_port: 31_200, ..Plan::default() }).await;
    let client = client(&trial).await;
    trial.stop("sidecar-0-0").await;
    assert_eq!(registered(&client).await, 2, "the target runs on");
    client.delete("jujubepost/agents/127.2.1.1").await.unwrap();
    back_up(&trial).await;
    trial.launch("sidecar-0-0").unwrap();
    let started = Instant::now();
    while registered(&client).await < 2 {
        assert!(started.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(50 * MS).await;
    }
    tokio::time::sleep(500 * MS).await;
    restore(&trial, 1_000 * MS).await;
    tokio::time::sleep(REGISTER_BOUND).await;
    assert_eq!(registered(&client).await, 2);
    stop("leases", trial).await;
}

/// Guards against an agent that denies living flows: it takes the copy's record, which names an
/// earlier start of its target, as proof that no process before it served the current one.
#[test]
fn record_before_restore_is_no_proof() {
    let agent = ListedAgent {
        addr: "10.0.0.1:7720".parse().unwrap(),
        zone: "gjw-a".into(),
        service: "meter".into(),
        incarnation: Some("i-1".into()),
        queues: false,
        bounded: true,
        since: None,
        registered: 0,
    };
    let value =
        serde_json::to_vec(&Record { agent: agent.clone(), era: 3, writes_ahead: true }).unwrap();
    let written = |era| {
        let rev = revision::compose(era, 12).unwrap();
        Kv {
            key: "jujubepost/agents/10.0.0.1".into(),
            value: value.clone(),
            rev,
            lease: 1,
            created: 0,
        }
    };
    let served = |era| {
        let kv = written(era);
        serde_json::from_slice::<Record>(&kv.value).unwrap().predecessor(kv.rev)
    };
    let incarnation = agent.incarnation.clone().unwrap();
    assert_eq!(served(3), Some(Predecessor { incarnation, writes_ahead: true }));
    assert_eq!(served(4), None, "restored since");
    // Balancers read the same value, those of earlier releases too.
    assert_eq!(serde_json::from_slice::<ListedAgent>(&value).unwrap(), agent);
}

/// A revision of the store, and the keys at it.
type Listing = (i64, Vec<Kv>);

/// A store that answers one listing, after which this process is cut off from it.
#[derive(Clone)]
struct CutOffStore {
    listing: Rc<RefCell<Option<Listing>>>,
}

impl WatchStore for CutOffStore {
    async fn list(&self, _: &str) -> anyhow::Result<Listing> {
        self.listing.take().context("cut off")
    }

    async fn watch(&self, _: &str, _: i64, _: bool) -> anyhow::Result<WatchBatch> {
        anyhow::bail!("cut off")
    }
}

/// A key with a version as its value, at `counter` of `era`.
fn versioned_key(version: u8, era: u32, counter: i64) -> Kv {
    let rev = revision::compose(era, counter).unwrap();
    Kv { key: "op/config".into(), value: vec![version], rev, lease: 0, created: 0 }
}

/// Guards against a process that is cut off from the store while it is restored for others: it
/// follows its peers to the store's later era, though that counts fewer changes, and not back.
#[ntex::test]
async fn cut_off_process_follows_peers() {
    let addr: SocketAddr = "127.0.0.1:30474".parse().unwrap();
    let peer = ProcessState::new("peer".into(), "op/".into());
    let hold = |kv: Kv| {
        let keys = [(kv.key.clone(), kv.clone())].into();
        peer.set_snapshot(Arc::new(Snapshot { rev: kv.rev, complete_rev: kv.rev, keys }));
    };
    hold(versioned_key(2, 1, 30));
    let server = admin::Server::start(addr, peer.clone()).await.unwrap();
    let listed = versioned_key(3, 2, 12);
    let source = Source {
        store: CutOffStore { listing: Rc::new(RefCell::new(Some((listed.rev, vec![listed])))) },
        prefix: String::new(),
        start_order: Vec::new(),
        peers: vec![addr],
        peer_fallback: PeerFallback::Always,
        batch_delay: Duration::ZERO,
        refresh: Arc::default(),
    };
    let seen = RefCell::new(Vec::new());
    let follow = mirror::follow(
        &source,
        |_| None,
        |event| {
            if let MirrorEvent::Updated(snapshot) = event {
                seen.borrow_mut().push(snapshot.keys["op/config"].value[0]);
            }
        },
    );
    let restore = async {
        tokio::time::sleep(1_000 * MS).await;
        assert_eq!(*seen.borrow(), [3], "the peer is of an earlier era");
        hold(versioned_key(4, 3, 5));
        tokio::time::sleep(1_500 * MS).await;
        assert_eq!(*seen.borrow(), [3, 4]);
    };
    tokio::select! {
        () = follow => {}
        () = restore => {}
    }
    server.stop().await;
}

/// Guards against the own interface's processes rejecting the restored store: a limit that is
/// changed after the restore is in force in time.
#[ntex::test]
async fn own_interface_follows_restore() {
    let site = common::start_site("restored", 31_500, 2, 1, 0).await;
    let s = site.settings.clone();
    for step in ["store backup", "limit meter 77", "limit meter 78", "limit meter 79"] {
        step.parse::<Action>().unwrap().apply(&s).await.unwrap();
    }
    jujubepost::ctl::fleet::wait_in_force(&s, CONFIG_BOUND).await.unwrap();
    for step in ["store restore", "limit meter 80"] {
        step.parse::<Action>().unwrap().apply(&s).await.unwrap();
    }
    jujubepost::ctl::fleet::wait_in_force(&s, CONFIG_BOUND).await.unwrap();
    assert_eq!(common::violation_count(&site).await, 0);
    site.shut_down().await;
}
