//! Soak test: rounds of load with one or two random faults each. Checks that every
//! request is served once, no feed breaks, the configuration comes into force, and no
//! invariant is violated. `JUJUBEPOST_SEED` sets the seed, which is printed, and
//! `JUJUBEPOST_SOAK_S` the length in seconds.

mod common;

use std::time::{Duration, Instant};

use jujubepost::admin::Faults;
use jujubepost::bench::{self, Load};
use jujubepost::ctl::fleet;
use jujubepost::script::Action;
use jujubepost::target;
use rand::{Rng, SeedableRng, rngs::StdRng};

const DEFAULT_SEED: u64 = 20_261_202;
const DEFAULT_LENGTH_S: u64 = 24;
const REQUESTS: u32 = 40;

/// Longest time after a round until the configuration is in force.
const MAX_APPLY_DELAY: Duration = Duration::from_secs(5);

struct Fault {
    /// Actions that start the fault.
    start: Vec<Action>,
    /// Actions that end it.
    end: Vec<Action>,
}

fn fault(start: &[String], end: &[String]) -> Fault {
    let parse_all = |texts: &[String]| texts.iter().map(|t| t.parse().unwrap()).collect();
    Fault { start: parse_all(start), end: parse_all(end) }
}

fn random_fault(rng: &mut StdRng, round: u32) -> Fault {
    let lb = format!("lb-{}", rng.random_range(0..3));
    let target = format!("meter-{}", rng.random_range(1..5));
    let noise = Faults {
        lost_permille: 20,
        duplicated_permille: 50,
        delayed_permille: 100,
        ..Faults::default()
    };
    let slow = target::Faults { delay_ms: 20, ..target::Faults::default() };
    let one = |start: &str, end: &str| fault(&[start.to_string()], &[end.to_string()]);
    match rng.random_range(0..14) {
        0 => one(&format!("kill {lb}"), &format!("start {lb}")),
        1 => one(&format!("stop {lb}"), &format!("start {lb}")),
        2 => one(&format!("freeze {lb}"), &format!("thaw {lb}")),
        3 => one(&format!("drain {target}"), &format!("resume {target}")),
        4 => one("store outage", "store ok"),
        5 => one("store slow 600", "store ok"),
        6 => one("store lapse", "store ok"),
        7 => one(&format!("freeze agent-{target}"), &format!("thaw agent-{target}")),
        8 => one(&format!("stop agent-{target}"), &format!("start agent-{target}")),
        9 => fault(
            &["store lose 1".into(), format!("limit fieldlog {}", 1_000 + round)],
            &["store ok".into()],
        ),
        10 => Fault {
            start: vec![Action::Fabric(noise)],
            end: vec![Action::Fabric(Faults::default())],
        },
        11 => Fault {
            start: vec![Action::Target(target.clone(), slow)],
            end: vec![Action::Target(target, target::Faults::default())],
        },
        12 => Fault {
            start: vec![Action::Balancer(
                lb.clone(),
                Faults { freeze_view: true, ..Faults::default() },
            )],
            end: vec![Action::Balancer(lb, Faults::default())],
        },
        _ => one(&format!("limit meter {}", 1_000 + round), "store ok"),
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}

#[ntex::test]
async fn seeded_faults() {
    let seed = env_number("JUJUBEPOST_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(env_number("JUJUBEPOST_SOAK_S", DEFAULT_LENGTH_S));
    println!("soak seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut site = common::start_site("soak", 25_000, 3, 4, 2).await;
    let s = site.settings.clone();
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < length {
        round += 1;
        let load = Load { feeds: 4, requests: REQUESTS, secs: 3, ..Load::default() };
        let load_settings = s.clone();
        let load_run =
            tokio::task::spawn_local(async move { bench::measure(&load_settings, &load).await });
        let count = rng.random_range(1..=2);
        let mut faults: Vec<Fault> = Vec::new();
        let mut actions = Vec::new();
        for _ in 0..count {
            tokio::time::sleep(Duration::from_millis(rng.random_range(100..900))).await;
            let f = random_fault(&mut rng, round);
            for action in &f.start {
                // A configuration change fails while the store is down.
                let applied = site.apply(action).await.is_ok();
                actions.push(format!("{action:?} applied {applied}"));
            }
            faults.push(f);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..700))).await;
        for f in faults.iter().rev() {
            for action in &f.end {
                let applied = site.apply(action).await;
                assert!(applied.is_ok(), "seed {seed} round {round} {action:?}: {applied:?}");
            }
        }
        let rows = load_run.await.unwrap();
        let context = format!("seed {seed} round {round}: {}", actions.join(", "));
        for r in &rows {
            assert_eq!((r.ok, r.broken), (REQUESTS, 0), "{context}: {r:?}");
            assert_eq!(
                (r.duplicated, r.false_refusals, r.misrouted, r.corrupted),
                (0, 0, 0, 0),
                "{context}: {r:?}"
            );
        }
        let in_force = fleet::wait_in_force(&s, MAX_APPLY_DELAY).await;
        assert!(in_force.is_ok(), "{context}: {in_force:?}");
        assert_eq!(common::violation_count(&site).await, 0, "{context}");
        println!("{context}: passed");
    }
    println!("soak seed {seed}: {round} rounds passed in {:?}", start.elapsed());
}
