//! An incident: too little served on a busy day of a site that had grown.
//!
//! Seen: 0.45 of what quotes are worth was earned where 0.48 is the least that
//! the operators take. Service fell when the first balancer was killed, went on
//! falling after it was back, and stayed near 0.6 to the end of the day, long
//! after each trouble. Callers' tries ended at their time limits; targets were
//! half idle.
//!
//! How it came about: a balancer that did not know a flow sent each of the
//! flow's packets whole to all 52 agents of the service, and offered an open
//! without an answer to two more agents each 40 ms. On entry VMs with 10 Mbit/s
//! that filled the links, so answers came late, so more was asked.
//!
//! Cause: work that grows with trouble and had no budget. What proved it: the
//! same day with links of 200 Mbit/s and the same processors served 0.969 and
//! was over it 2 s after the last kill; with four times the processor and the
//! same links it served 0.666 as before.
//!
//! These tests hold on the code with budgets and fail on the one before.

use std::time::Duration;

use jujubepost::model::{Change, Pattern, Site, Stats, play};
use jujubepost::policy::Policy;

const MS: Duration = Duration::from_millis(1);

/// What operators aim at: this part of what requests are worth is earned.
const AIM: f64 = 0.9;

/// Part of the entry VMs' links that messages about flows may take, as the
/// policy says.
const LINK_PART: f64 = 0.1;

fn run(p: &Pattern, seed: u64) -> Stats {
    let t = play(p, &Policy::default(), seed);
    assert_eq!((t.broken, t.misrouted, t.doubled), (0, 0, 0), "{} seed {seed}", p.name);
    t
}

/// The busy day: each class of requests earns what operators aim at.
#[test]
fn classes_earn() {
    let p = Pattern::named("churn_dense").unwrap();
    for seed in 1..=3 {
        let t = run(&p, seed);
        for (n, class) in t.classes.iter().enumerate() {
            assert!(class.worth() >= AIM, "seed {seed} class {n}: {}", class.worth());
        }
    }
}

/// Balancers that are killed, stopped in turn or join, one cause at a time:
/// 2 s after the last of it service is back where it was, whether links or
/// processors are scarce.
#[test]
fn churn_ends() {
    let last_stop = 24 * 200 * MS;
    let changes = [
        (Change::KillBalancers(0.08, 2_000 * MS), 2_000 * MS),
        (Change::KillBalancers(0.3, 2_000 * MS), 2_000 * MS),
        (Change::RollBalancers(200 * MS), last_stop + 1_800 * MS),
        (Change::JoinBalancers, Duration::ZERO),
    ];
    for (cpu, mbps) in [(0.12, 10.0), (0.5, 10.0)] {
        for (change, lasts) in changes {
            let site = Site { balancer_cpu: cpu, length: 16_000 * MS, ..Site::dense() };
            let p = Pattern {
                name: "churn_ends",
                about: "one cause",
                site: site.link(mbps),
                changes: vec![(3_000 * MS, change)],
            };
            let t = run(&p, 1);
            let back = t.between(5_000 * MS + lasts, p.site.length);
            assert!(back >= 0.99, "{cpu} of a core, {mbps} Mbit/s, {change:?}: {back}");
        }
    }
}

/// Messages about flows leave entry VMs' links to callers.
#[test]
fn links_spared() {
    let p = Pattern::named("churn_dense").unwrap();
    let t = run(&p, 1);
    let balancers = f64::from(p.site.balancers) * f64::from(p.site.zones);
    let carried = p.site.link_mbps * 125_000.0 * balancers * p.site.length.as_secs_f64();
    let part = t.message_bytes as f64 / carried;
    assert!(part <= LINK_PART, "{part} of the links");
}
