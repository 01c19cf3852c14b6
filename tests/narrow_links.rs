//! Guards against congestion collapse on entry VMs with narrow links: without budgets, the
//! messages caused by balancer churn fill the links, delay answers and cause more messages.

use std::time::Duration;

use jujubepost::model::{Change, Pattern, Site, Stats, simulate};
use jujubepost::policy::Policy;

const MS: Duration = Duration::from_millis(1);

/// Share of the total value of requests that must be served.
const MIN_VALUE_SHARE: f64 = 0.9;

/// Share of the entry VMs' links that messages between balancers and agents may use.
const MAX_LINK_SHARE: f64 = 0.1;

fn run(p: &Pattern, seed: u64) -> Stats {
    let stats = simulate(p, &Policy::default(), seed);
    assert_eq!(
        (stats.broken, stats.misrouted, stats.duplicated),
        (0, 0, 0),
        "{} seed {seed}",
        p.name
    );
    stats
}

/// Each class of requests reaches the goal under balancer churn at high load.
#[test]
fn each_class_meets_goal() {
    let p = Pattern::by_name("churn_dense").unwrap();
    for seed in 1..=3 {
        let stats = run(&p, seed);
        for (n, class) in stats.classes.iter().enumerate() {
            assert!(
                class.utility() >= MIN_VALUE_SHARE,
                "seed {seed} class {n}: {}",
                class.utility()
            );
        }
    }
}

/// Service recovers within 2 s after balancers are killed, restarted in turn or added,
/// with a scarce link and with a scarce processor as well.
#[test]
fn service_recovers_after_churn() {
    let last_stop = 24 * 200 * MS;
    let changes = [
        (Change::KillBalancers(0.08, 2_000 * MS), 2_000 * MS),
        (Change::KillBalancers(0.3, 2_000 * MS), 2_000 * MS),
        (Change::RestartBalancers(200 * MS), last_stop + 1_800 * MS),
        (Change::JoinBalancers, Duration::ZERO),
    ];
    for (cpu, mbps) in [(0.12, 10.0), (0.5, 10.0)] {
        for (change, duration) in changes {
            let site = Site { balancer_cpu: cpu, load_duration: 16_000 * MS, ..Site::dense() };
            let p = Pattern {
                name: "churn_ends",
                description: "one cause",
                site: site.with_link_mbps(mbps),
                changes: vec![(3_000 * MS, change)],
            };
            let stats = run(&p, 1);
            let served_share =
                stats.served_ratio_between(5_000 * MS + duration, p.site.load_duration);
            assert!(
                served_share >= 0.99,
                "{cpu} of a core, {mbps} Mbit/s, {change:?}: {served_share}"
            );
        }
    }
}

/// Messages between balancers and agents leave the links to callers' traffic.
#[test]
fn messages_use_small_share_of_links() {
    let p = Pattern::by_name("churn_dense").unwrap();
    let stats = run(&p, 1);
    let balancers = f64::from(p.site.balancers) * f64::from(p.site.zones);
    let link_bytes = p.site.link_mbps * 125_000.0 * balancers * p.site.load_duration.as_secs_f64();
    let share = stats.message_bytes as f64 / link_bytes;
    assert!(share <= MAX_LINK_SHARE, "{share} of the links");
}
