//! A seeded random run: rounds of load, each with one or two faults picked at
//! random. Every request must be answered whole and once, every feed must
//! live, no service may be crossed, the configuration must be in force after
//! each round, and no process may break an invariant of its own.
//!
//! The seed is printed; `JUJUBEPOST_SEED` replays one, `JUJUBEPOST_SOAK_S`
//! sets the length in seconds.

mod common;

use std::time::{Duration, Instant};

use jujubepost::admin::Faults;
use jujubepost::bench::{self, Load};
use jujubepost::ctl::fleet;
use jujubepost::script::Action;
use jujubepost::target;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 20_261_202;
const LENGTH_S: u64 = 24;
const REQUESTS: u32 = 40;

/// How soon the orders must be in force after a round.
const IN_FORCE: Duration = Duration::from_secs(5);

/// A fault and what ends it.
struct Fault {
    on: Vec<Action>,
    off: Vec<Action>,
}

fn fault(on: &[String], off: &[String]) -> Fault {
    let acts = |texts: &[String]| texts.iter().map(|t| t.parse().unwrap()).collect();
    Fault { on: acts(on), off: acts(off) }
}

fn pick(rng: &mut StdRng, round: u32) -> Fault {
    let lb = format!("lb-{}", rng.random_range(0..3));
    let target = format!("meter-{}", rng.random_range(1..5));
    let noise = Faults { lose: 20, double: 50, delay: 100, ..Faults::default() };
    let slow = target::Faults { slow_ms: 20, ..target::Faults::default() };
    let one = |on: &str, off: &str| fault(&[on.to_string()], &[off.to_string()]);
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
        10 => {
            Fault { on: vec![Action::Fabric(noise)], off: vec![Action::Fabric(Faults::default())] }
        }
        11 => Fault {
            on: vec![Action::Target(target.clone(), slow)],
            off: vec![Action::Target(target, target::Faults::default())],
        },
        12 => Fault {
            on: vec![Action::Balancer(lb.clone(), Faults { blind: true, ..Faults::default() })],
            off: vec![Action::Balancer(lb, Faults::default())],
        },
        _ => one(&format!("limit meter {}", 1_000 + round), "store ok"),
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}

#[ntex::test]
async fn seeded_faults() {
    let seed = setting("JUJUBEPOST_SEED", SEED);
    let length = Duration::from_secs(setting("JUJUBEPOST_SOAK_S", LENGTH_S));
    println!("soak seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut site = common::start_site("soak", 25_000, 3, 4, 2).await;
    let s = site.settings.clone();
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < length {
        round += 1;
        let load = Load { feeds: 4, requests: REQUESTS, secs: 3, ..Load::default() };
        let s2 = s.clone();
        let run = tokio::task::spawn_local(async move { bench::measure(&s2, &load).await });
        let count = rng.random_range(1..=2);
        let mut faults: Vec<Fault> = Vec::new();
        let mut story = Vec::new();
        for _ in 0..count {
            tokio::time::sleep(Duration::from_millis(rng.random_range(100..900))).await;
            let f = pick(&mut rng, round);
            for action in &f.on {
                // An operator's change may meet a store that is down: it is
                // refused, and that is said.
                let taken = site.take(action).await.is_ok();
                story.push(format!("{action:?} taken {taken}"));
            }
            faults.push(f);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..700))).await;
        for f in faults.iter().rev() {
            for action in &f.off {
                let taken = site.take(action).await;
                assert!(taken.is_ok(), "seed {seed} round {round} {action:?}: {taken:?}");
            }
        }
        let rows = run.await.unwrap();
        let at = format!("seed {seed} round {round}: {}", story.join(", "));
        for r in &rows {
            assert_eq!((r.ok, r.broken), (REQUESTS, 0), "{at}: {r:?}");
            assert_eq!((r.doubled, r.lied, r.foreign, r.wrong), (0, 0, 0, 0), "{at}: {r:?}");
        }
        let in_force = fleet::in_force(&s, IN_FORCE).await;
        assert!(in_force.is_ok(), "{at}: {in_force:?}");
        assert_eq!(common::violation_count(&site).await, 0, "{at}");
        println!("{at}: passed");
    }
    println!("soak seed {seed}: {round} rounds passed in {:?}", start.elapsed());
}
