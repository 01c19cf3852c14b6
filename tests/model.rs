//! Simulated faults and overload: requests served during a fault, and recovery
//! soon after it has ended.

use std::time::Duration;

use jujubepost::model::{Change, Pattern, Site, Stats, pattern, simulate};
use jujubepost::policy::Policy;
use rayon::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn run(pattern: &Pattern, seed: u64) -> Stats {
    let stats = simulate(pattern, &Policy::default(), seed);
    let violations = [
        stats.broken,
        stats.misrouted,
        stats.duplicated,
        stats.in_evacuated,
        stats.over_cold_limit,
    ];
    assert_eq!(violations, [0; 5], "{} seed {seed}", pattern.name);
    stats
}

fn named(name: &str) -> Pattern {
    Pattern::by_name(name).unwrap()
}

/// Share of requests served in time that began at least `delay` after the end of
/// the last change.
fn served_after(p: &Pattern, stats: &Stats, delay: Duration) -> f64 {
    stats.served_ratio_between(p.last_change_end() + delay, p.site.load_duration)
}

#[test]
fn same_seed_gives_same_result() {
    for name in ["power", "kill", "lossy"] {
        let p = named(name);
        let [a, b] = [run(&p, 7), run(&p, 7)].map(|t| format!("{t:?}"));
        assert!(a == b, "{name}");
        assert!(a != format!("{:?}", run(&p, 8)), "{name}: the seed counts");
    }
}

/// Guards against balancers that overload themselves without any fault, with
/// timers and owner searches that cause each other.
#[test]
fn normal_load_is_served() {
    let t = run(&named("calm_grown"), 1);
    assert!(t.served_ratio() >= 0.99, "{}", t.served_ratio());
    assert!(t.messages_per_flow() < 5.0, "{} messages a flow", t.messages_per_flow());
}

/// Guards against requests longer than the send window that stall until a
/// retransmission timeout.
#[test]
fn requests_longer_than_window_do_not_stall() {
    let calm = Pattern { site: Site::dense(), changes: Vec::new(), ..named("calm") };
    let t = run(&calm, 1);
    for (n, class) in t.classes.iter().enumerate() {
        assert!(class.utility() >= 0.99, "class {n}: {}", class.utility());
    }
}

/// Balancers that join or stop move nearly all flows to balancers which must first
/// find the owners.
#[test]
fn moved_flows_are_served_when_balancers_change() {
    for name in ["join_grown", "roll_grown", "roll_steady"] {
        let t = run(&named(name), 1);
        assert!(t.served_ratio() >= 0.99, "{name}: {}", t.served_ratio());
        assert!(t.messages_per_flow() < 8.0, "{name}: {} messages a flow", t.messages_per_flow());
    }
}

/// Guards against queries without a budget that keep links congested after a power
/// loss, at link bandwidths of 4 to 200 Mbit/s.
#[test]
fn recovers_within_2s_of_power_loss() {
    for mbps in [4.0, 30.0, 200.0] {
        for (site, bound) in [(Site::small(), 0.95), (Site::grown(), 0.95)] {
            let p = Pattern { site: site.with_link_mbps(mbps), ..named("power") };
            let served = served_after(&p, &run(&p, 3), 2_000 * MS);
            assert!(served >= bound, "{mbps} Mbit/s, {} balancers: {served}", p.site.balancers);
        }
    }
}

/// Two seconds after the last change of each pattern the service level is back to
/// that without changes, at normal load and with 20 % more.
#[test]
fn recovers_from_every_pattern() {
    pattern::all().into_par_iter().filter(|p| !p.changes.is_empty()).for_each(|p| {
        for load in [1.0, 1.2] {
            let p = Pattern { site: p.site.clone().scale_load(load), ..p.clone() };
            let normal = run(&Pattern { changes: Vec::new(), ..p.clone() }, 5).served_ratio();
            let served = served_after(&p, &run(&p, 5), 2_000 * MS);
            assert!(served >= normal - 0.05, "{} at {load}: {served}, normal {normal}", p.name);
        }
    });
}

/// Guards against flows that are found again only when the last of several leaving
/// targets has left, instead of within 2 s of a restart of all processes.
#[test]
fn leaving_targets_do_not_delay_recovery() {
    let p = named("leave_dense");
    for seed in 1..=2 {
        let t = run(&p, seed);
        // Targets are still leaving in this interval.
        let served = t.served_ratio_between(6_500 * MS, 9_000 * MS);
        assert!(served >= 0.95, "seed {seed}: {served}");
    }
}

/// A rolling restart of all agents and balancers, as in a release of this program.
#[test]
fn requests_are_served_during_rolling_restart() {
    let p = named("roll_agents_dense");
    for seed in 1..=2 {
        let t = run(&p, seed);
        assert!(t.served_ratio() >= 0.98, "seed {seed}: {}", t.served_ratio());
    }
}

/// Guards against queues that persist after a burst above the targets' capacity.
#[test]
fn recovers_within_2s_of_overload() {
    let burst = Change::LoadBurst(6.0, 3_000 * MS);
    for site in [Site::small(), Site::grown()] {
        let p = Pattern { site, changes: vec![(3_000 * MS, burst)], ..named("burst") };
        let t = run(&p, 2);
        let served = served_after(&p, &t, 2_000 * MS);
        assert!(served >= 0.95, "{} balancers: {served}", p.site.balancers);
    }
}

/// Guards against callers that time out because nobody reports flows as lost while
/// targets are leaving: all VMs of a large site lose power during a release.
#[test]
fn lost_flows_are_reported_during_release() {
    let p = named("power_release_large");
    for seed in 1..=2 {
        let t = run(&p, seed);
        let served = t.served_ratio_between(7_500 * MS, 8_000 * MS);
        assert!(served >= 0.95, "seed {seed}: {served}");
        let affected = t.requests_between(4_000 * MS, 7_500 * MS);
        assert!(t.lost * 10 <= affected, "seed {seed}: {} of {affected} lost", t.lost);
    }
}

/// New flows leave an evacuated data centre in time, also those that balancers started
/// meanwhile offer, and its load is served elsewhere.
#[test]
fn evacuated_zone_gets_no_new_flows() {
    let p = named("evacuation");
    for seed in 1..=2 {
        let t = run(&p, seed);
        let served = t.served_ratio_between(2_000 * MS, 11_000 * MS);
        assert!(served >= 0.95, "seed {seed}: {served}");
    }
}

/// Cold targets get no more than they bear, after a zone's return and after a power loss,
/// and none crashes.
#[test]
fn cold_targets_are_not_overloaded() {
    for seed in 1..=2 {
        let p = named("cold_return");
        let t = run(&p, seed);
        assert!(t.served_ratio() >= 0.98, "seed {seed}: {}", t.served_ratio());
        let p = named("cold_power");
        let t = run(&p, seed);
        // Power is back at 4.9 s.
        let served = t.served_ratio_between(7_400 * MS, p.site.load_duration);
        assert!(served >= 0.95, "seed {seed}: {served} after the power loss");
    }
}
