//! Rounds under load in which the store is restored from a backup while something else fails:
//! processes are suspended, killed or start, and one restore follows another. A change made
//! afterwards is in force in time, all agents are registered again and no flow breaks.
//! `JUJUBEPOST_SEED` sets the seed, which is printed, and `JUJUBEPOST_SOAK_S` the length in
//! seconds.

mod common;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::trials::{set_faults, wait_in_force};
use jujubepost::platform::kv;
use jujubepost::store::{Faults, WatchStore};
use jujubepost::trial::{FlowHash, Plan, Trial};
use jujubepost::up::Signal;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);

const DEFAULT_SEED: u64 = 20_261_203;
const DEFAULT_LENGTH_S: u64 = 15;

/// Time after which registrations that were lost must be back.
const REGISTER_BOUND: Duration = Duration::from_secs(2);

/// Longest time that a round takes, so that no load ends within one.
const MAX_ROUND: Duration = Duration::from_secs(12);

const BALANCERS: u8 = 3;
const AGENTS: usize = 6;

/// What fails in a round beside the store.
#[derive(Clone, Debug)]
enum Fault {
    None,
    /// These processes are suspended from before the outage until after the restore.
    Suspended(Vec<String>),
    /// These processes are killed before the outage and start in it.
    Restarted(Vec<String>),
    /// These processes are killed before the outage and start after the restore.
    StartedAfter(Vec<String>),
    /// The store is restored a second time, from a backup made right after the first.
    RestoredTwice,
}

impl Fault {
    /// Whether balancers fail: until the routers notice it, opens that they send there fail.
    fn stops_balancers(&self) -> bool {
        match self {
            Self::Suspended(labels) | Self::Restarted(labels) | Self::StartedAfter(labels) => {
                labels.iter().any(|l| l.starts_with("entry"))
            }
            Self::None | Self::RestoredTwice => false,
        }
    }
}

fn random_fault(rng: &mut StdRng, labels: &[String]) -> Fault {
    let of_role = |role: &str| labels.iter().filter(|l| l.starts_with(role)).collect::<Vec<_>>();
    let (entries, agents) = (of_role("entry"), of_role("sidecar"));
    let some = |from: &[&String], n: usize, rng: &mut StdRng| {
        from.choose_multiple(rng, n).map(|l| (*l).clone()).collect::<Vec<_>>()
    };
    let n = rng.random_range(1..=2);
    match rng.random_range(0..7) {
        0 => Fault::None,
        1 => Fault::Suspended(some(&entries, n, rng)),
        2 => Fault::Suspended(some(&agents, n, rng)),
        3 => Fault::Restarted(some(&entries, n, rng)),
        4 => Fault::Restarted(some(&agents, n, rng)),
        5 => Fault::StartedAfter(some(&entries, 1, rng)),
        _ => Fault::RestoredTwice,
    }
}

async fn pause(rng: &mut StdRng, max_ms: u64) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..max_ms))).await;
}

/// One round; `version` is in force before it. Returns the version in force afterwards.
async fn run_round(trial: &mut Trial, rng: &mut StdRng, mut version: u64, context: &str) -> u64 {
    let fault = random_fault(rng, &trial.labels());
    let context = format!("{context}, {fault:?}");
    let failed_before = trial.report.borrow().failed;
    set_faults(trial, Faults { backup: true, ..Faults::default() }).await;
    for _ in 0..rng.random_range(1..=3) {
        version += 1;
        trial.write_config(version).await.unwrap();
        pause(rng, 300).await;
    }
    wait_in_force(trial, BALANCERS, version, &format!("{context}, before")).await;
    match &fault {
        Fault::Suspended(labels) => {
            labels.iter().for_each(|l| trial.send_signal(l, Signal::SIGSTOP))
        }
        Fault::Restarted(labels) | Fault::StartedAfter(labels) => {
            labels.iter().for_each(|l| trial.kill(l))
        }
        Fault::None | Fault::RestoredTwice => {}
    }
    pause(rng, 300).await;
    set_faults(trial, Faults { outage: true, ..Faults::default() }).await;
    pause(rng, 1_000).await;
    if let Fault::Restarted(labels) = &fault {
        labels.iter().try_for_each(|l| trial.launch(l)).unwrap();
    }
    pause(rng, 300).await;
    set_faults(trial, Faults { restore: true, ..Faults::default() }).await;
    if let Fault::RestoredTwice = fault {
        set_faults(trial, Faults { backup: true, ..Faults::default() }).await;
        pause(rng, 600).await;
        set_faults(trial, Faults { outage: true, ..Faults::default() }).await;
        pause(rng, 600).await;
        set_faults(trial, Faults { restore: true, ..Faults::default() }).await;
    }
    pause(rng, 300).await;
    // Operators write what the store has lost.
    trial.write_config(version).await.unwrap();
    match &fault {
        Fault::Suspended(labels) => {
            labels.iter().for_each(|l| trial.send_signal(l, Signal::SIGCONT))
        }
        Fault::StartedAfter(labels) => labels.iter().try_for_each(|l| trial.launch(l)).unwrap(),
        Fault::None | Fault::Restarted(_) | Fault::RestoredTwice => {}
    }
    tokio::time::sleep(REGISTER_BOUND).await;
    version += 1;
    trial.write_config(version).await.unwrap();
    wait_in_force(trial, BALANCERS, version, &context).await;
    let client = kv::Client::new(trial.store_addr().into(), 1_000 * MS, 1_000 * MS).await.unwrap();
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    assert_eq!(agents.len(), AGENTS, "{context}: agents");
    let failed = trial.report.borrow().failed - failed_before;
    assert!(failed == 0 || fault.stops_balancers(), "{context}: {failed} requests failed");
    println!("{context}: passed, {failed} requests failed");
    version
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}

async fn run_rounds(name: &str, plan: Plan) {
    let seed = env_number("JUJUBEPOST_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(env_number("JUJUBEPOST_SOAK_S", DEFAULT_LENGTH_S));
    println!("{name}: seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let dir: PathBuf =
        std::env::temp_dir().join(format!("jujubepost-{name}-{}", std::process::id()));
    let plan = Plan {
        balancers: BALANCERS,
        targets: 3,
        secs: (length + MAX_ROUND).as_secs(),
        hash: FlowHash::Rendezvous,
        ..plan
    };
    let mut trial = Trial::start(&common::exe(), &dir, plan).await.unwrap();
    let report = trial
        .run_load(async |trial: &mut Trial| {
            let start = Instant::now();
            let (mut version, mut round) = (1, 0);
            while start.elapsed() < length {
                round += 1;
                let context = format!("{name}: seed {seed} round {round}");
                version = run_round(trial, &mut rng, version, &context).await;
            }
            Ok(())
        })
        .await
        .unwrap();
    println!("{name}: seed {seed}: {report}");
    assert_eq!((report.duplicated, report.misrouted), (0, 0), "seed {seed}: {report}");
    assert_eq!(report.broken, 0, "seed {seed}: {report}");
    assert_eq!(trial.shut_down().await, Vec::<String>::new(), "processes that did not stop");
    let _ = std::fs::remove_dir_all(&dir);
}

#[ntex::test]
async fn seeded_restores() {
    run_rounds("restores", Plan { base_port: 31_600, ..Plan::default() }).await;
}

/// The same with a configuration that is published in parts.
#[ntex::test]
async fn seeded_restores_in_parts() {
    let plan = Plan { base_port: 31_700, idle_routes: 200, relay_kib: 1, ..Plan::default() };
    run_rounds("restores-parts", plan).await;
}
