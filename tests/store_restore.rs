//! The store is restored from a backup: what it acknowledged since is lost, and revisions and
//! lease identifiers are given out again.

mod common;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::trials::{CONFIG_BOUND, set_faults, wait_in_force};
use jujubepost::platform::{config, kv};
use jujubepost::script::Action;
use jujubepost::store::{Faults, LeaseStore, WatchStore, revision};
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
