//! The named patterns: a site and a schedule of faults and other changes.

use std::time::Duration;

use super::site::{FlowHash, Site};
use super::target::WARM_UP;

/// How a target fails while its reports say that it is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// Resets each flow when its request has arrived.
    Reset,
    /// Returns all SYNs.
    Bounce,
    /// Accepts requests and never answers them.
    Silence,
    /// Answers this share of the requests with a short error at once.
    Errors(f64),
}

/// A change of the site during a run. A share is between 0 and 1 and always means
/// at least one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// All VMs lose power for the given time.
    PowerLoss(Duration),
    /// This share of the balancers is killed and starts again after the given
    /// time.
    KillBalancers(f64, Duration),
    /// This share of the agents is killed and starts again after the given time.
    KillAgents(f64, Duration),
    /// Rolling restart of all balancers, one per interval.
    RestartBalancers(Duration),
    /// One balancer is added to each data centre.
    JoinBalancers,
    /// Rolling restart of all agents, one per interval; their targets keep
    /// running.
    RestartAgents(Duration),
    /// This share of the targets exits for good with its VMs, one per interval.
    RetireTargets(f64, Duration),
    /// This share of the targets crashes and starts again after the given time.
    CrashTargets(f64, Duration),
    /// This share of the targets is slower by a factor for the given time.
    SlowTargets(f64, f64, Duration),
    /// This share of the targets fails for the given time, while they report that they
    /// are ready.
    FailTargets(f64, FailureMode, Duration),
    /// The first data centre is evacuated for the given time; its targets are cold at the
    /// end without a restart.
    EvacuateZone(Duration),
    /// The targets of the first data centre exit and start again together after the given
    /// time.
    StopZoneTargets(Duration),
    /// The store does not answer for the given time.
    StoreOutage(Duration),
    /// The arrival rate of open-loop requests is multiplied by a factor for the
    /// given time.
    LoadBurst(f64, Duration),
    /// Links drop datagrams with this probability for the given time.
    PacketLoss(f64, Duration),
}

impl Change {
    /// How long the change lasts; zero for those that have no end or are over
    /// after their last step.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        match self {
            Self::PowerLoss(d)
            | Self::KillBalancers(_, d)
            | Self::KillAgents(_, d)
            | Self::CrashTargets(_, d)
            | Self::SlowTargets(_, _, d)
            | Self::FailTargets(_, _, d)
            | Self::EvacuateZone(d)
            | Self::StopZoneTargets(d)
            | Self::StoreOutage(d)
            | Self::LoadBurst(_, d)
            | Self::PacketLoss(_, d) => *d,
            Self::RestartBalancers(_)
            | Self::JoinBalancers
            | Self::RestartAgents(_)
            | Self::RetireTargets(..) => Duration::ZERO,
        }
    }
}

/// A named scenario: a site, its load, and the changes during a run.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Unique name, as on the command line and in reports.
    pub name: &'static str,
    /// What happens, for reports.
    pub description: &'static str,
    /// The site and its load.
    pub site: Site,
    /// Changes and when they begin, measured from the start of the run.
    pub changes: Vec<(Duration, Change)>,
}

impl Pattern {
    /// When the last change ends, measured from the start of the run. For rolling
    /// restarts and the like, when it begins; where cold targets bear a limited rate, when
    /// those that start at its end are warm.
    #[must_use]
    pub fn last_change_end(&self) -> Duration {
        let ends = self.changes.iter().map(|(at, change)| *at + change.duration());
        let limited = self.site.services.iter().any(|s| s.cold_rate > 0.0);
        ends.max().unwrap_or_default() + if limited { WARM_UP } else { Duration::ZERO }
    }

    /// The predefined pattern of this name, if there is one.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        all().into_iter().find(|p| p.name == name)
    }
}

const fn s(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// All predefined patterns.
#[must_use]
pub fn all() -> Vec<Pattern> {
    let mut patterns = fault_patterns();
    patterns.extend(hard_load_patterns());
    patterns
}

/// Load that competes for too little room, uneven demand and uneven targets, on sites
/// whose routes state what callers need.
fn hard_load_patterns() -> Vec<Pattern> {
    let calm = |name, description, site| Pattern { name, description, site, changes: Vec::new() };
    let overload = |name, description, share| {
        let site = Site::grocer();
        let burst = Change::LoadBurst(share / site.load(), s(4));
        Pattern { changes: vec![(s(3), burst)], ..calm(name, description, site) }
    };
    let fail = |name, description, share, mode| {
        let changes = vec![(s(3), Change::FailTargets(share, mode, s(5)))];
        Pattern { changes, ..calm(name, description, Site::grocer()) }
    };
    vec![
        overload(
            "overload_mixed_120",
            "Listings and more urgent checkouts ask for 1.2 times the room for 4 s.",
            1.2,
        ),
        overload(
            "overload_mixed_150",
            "Listings and more urgent checkouts ask for 1.5 times the room for 4 s.",
            1.5,
        ),
        overload(
            "overload_mixed_200",
            "Listings and more urgent checkouts ask for twice the room for 4 s.",
            2.0,
        ),
        calm(
            "wave",
            "Demand of each of three data centres swings by a half, one after the other; the sum \
             is 0.7 of the room.",
            Site::grocer().with_load(0.7).with_waves(0.55, s(8)),
        ),
        calm(
            "three_speeds",
            "Targets of three speeds get 0.7 of their room.",
            Site::grocer().with_load(0.7),
        ),
        Pattern {
            changes: vec![(s(4), Change::PowerLoss(s(2)))],
            ..calm(
                "return_mixed",
                "All VMs lose power for 2 s; listings and more urgent checkouts return \
                 together.",
                Site::grocer(),
            )
        },
        fail(
            "fail_reset",
            "Two targets reset each flow when its request arrives, for 5 s.",
            0.1,
            FailureMode::Reset,
        ),
        fail("fail_bounce", "Two targets return all SYNs for 5 s.", 0.1, FailureMode::Bounce),
        fail(
            "fail_silence",
            "Two targets accept requests and answer none for 5 s.",
            0.1,
            FailureMode::Silence,
        ),
        fail(
            "fail_errors",
            "Two targets answer half of their requests with an error for 5 s.",
            0.1,
            FailureMode::Errors(0.5),
        ),
        fail(
            "fail_everywhere",
            "All targets answer three of ten requests with an error for 5 s.",
            1.0,
            FailureMode::Errors(0.3),
        ),
    ]
}

/// Faults of all parts of a site, and bursts of load.
fn fault_patterns() -> Vec<Pattern> {
    let at = |at, change| vec![(at, change)];
    vec![
        Pattern {
            name: "calm",
            description: "No faults: the baseline.",
            site: Site::small(),
            changes: Vec::new(),
        },
        Pattern {
            name: "calm_grown",
            description: "No faults on a site of 62 VMs.",
            site: Site::grown(),
            changes: Vec::new(),
        },
        Pattern {
            name: "power",
            description: "All VMs lose power for 0.9 s: all callers reconnect at once and no \
                          process remembers a flow.",
            site: Site::small(),
            changes: at(s(4), Change::PowerLoss(ms(900))),
        },
        Pattern {
            name: "power_grown",
            description: "Power loss on a site of 62 VMs whose balancers have links of 30 Mbit/s \
                          and 0.12 of a core.",
            site: Site::grown(),
            changes: at(s(4), Change::PowerLoss(ms(900))),
        },
        Pattern {
            name: "power_narrow",
            description: "Power loss on a site of 15 VMs whose balancers have links of 4 Mbit/s, \
                          twice what the load needs.",
            site: Site::small().with_link_mbps(4.0),
            changes: at(s(4), Change::PowerLoss(ms(900))),
        },
        Pattern {
            name: "join_grown",
            description: "A balancer joins each data centre: routers move nearly all flows to \
                          balancers that have never seen them.",
            site: Site::grown(),
            changes: at(s(4), Change::JoinBalancers),
        },
        Pattern {
            name: "roll_grown",
            description: "Rolling restart of all balancers, one every 0.5 s: each stop and each \
                          start moves nearly all flows of a data centre.",
            site: Site::grown(),
            changes: at(s(3), Change::RestartBalancers(ms(500))),
        },
        Pattern {
            name: "roll_steady",
            description: "Rolling restart of all balancers with routers that use rendezvous \
                          hashing, so that only the flows of one balancer move.",
            site: Site { flow_hash: FlowHash::Rendezvous, ..Site::grown() },
            changes: at(s(3), Change::RestartBalancers(ms(500))),
        },
        Pattern {
            name: "kill",
            description: "Half of the balancers are killed and start again after 1 s.",
            site: Site::grown(),
            changes: at(s(4), Change::KillBalancers(0.5, s(1))),
        },
        Pattern {
            name: "agents",
            description: "Half of the agents are killed and start again after 0.5 s, without \
                          knowing which flows their targets hold.",
            site: Site::grown(),
            changes: at(s(4), Change::KillAgents(0.5, ms(500))),
        },
        Pattern {
            name: "crash",
            description: "A third of the targets crashes for 3 s and loses its flows.",
            site: Site::small(),
            changes: at(s(4), Change::CrashTargets(0.3, s(3))),
        },
        Pattern {
            name: "slow",
            description: "A seventh of the targets is five times slower for 5 s.",
            site: Site::small(),
            changes: at(s(3), Change::SlowTargets(0.15, 5.0, s(5))),
        },
        Pattern {
            name: "burst",
            description: "Three times the arrival rate for 3 s: targets are full.",
            site: Site::small(),
            changes: at(s(4), Change::LoadBurst(3.0, s(3))),
        },
        Pattern {
            name: "burst_grown",
            description: "Three times the arrival rate for 3 s on a site of 62 VMs.",
            site: Site::grown(),
            changes: at(s(4), Change::LoadBurst(3.0, s(3))),
        },
        Pattern {
            name: "store",
            description: "The store is down for 4 s while half of the balancers are killed and \
                          start again without a configuration.",
            site: Site::small(),
            changes: vec![
                (s(3), Change::StoreOutage(s(4))),
                (s(4), Change::KillBalancers(0.5, ms(500))),
            ],
        },
        Pattern {
            name: "churn_dense",
            description: "Targets of 2 slots, two thirds busy. Faults overlap: balancers are \
                          killed three times, a seventh of the targets turns slow, the arrival \
                          rate rises by two thirds for 2.4 s, and balancers are restarted in \
                          turn.",
            site: Site::dense(),
            changes: vec![
                (ms(1_700), Change::KillBalancers(0.08, s(2))),
                (ms(2_600), Change::SlowTargets(0.14, 5.8, ms(6_700))),
                (ms(3_100), Change::LoadBurst(1.64, ms(2_400))),
                (ms(4_700), Change::KillBalancers(0.08, s(2))),
                (ms(7_700), Change::KillBalancers(0.08, s(2))),
                (s(9), Change::RestartBalancers(ms(200))),
            ],
        },
        Pattern {
            name: "leave_dense",
            description: "Targets leave for good, one per second, while all balancers and agents \
                          are killed and start again after 0.5 s: no process remembers a flow \
                          and some agent is always leaving.",
            site: Site::dense(),
            changes: vec![
                (s(3), Change::RetireTargets(0.1, s(1))),
                (s(4), Change::KillBalancers(1.0, ms(500))),
                (s(4), Change::KillAgents(1.0, ms(500))),
            ],
        },
        Pattern {
            name: "power_release_large",
            description: "All VMs lose power for 1.4 s during a release: 196 VMs start again \
                          while a target leaves each second.",
            site: Site { load_duration: s(14), ..Site::large() },
            changes: vec![
                (s(2), Change::RetireTargets(0.1, s(1))),
                (s(4), Change::PowerLoss(ms(1_400))),
            ],
        },
        Pattern {
            name: "roll_agents_dense",
            description: "Rolling restart of agents, one every 0.15 s, and of balancers, one \
                          every 0.5 s: some agent is always restarting.",
            site: Site::dense(),
            changes: vec![
                (s(3), Change::RestartAgents(ms(150))),
                (s(3), Change::RestartBalancers(ms(500))),
            ],
        },
        Pattern {
            name: "evacuation",
            description: "One of four data centres is evacuated for 9 s while half of the \
                          balancers are killed and all others' flows move: the other targets \
                          take its load.",
            site: Site::dense().scale_load(0.8),
            changes: vec![
                (s(2), Change::EvacuateZone(s(9))),
                (s(5), Change::KillBalancers(0.5, ms(500))),
            ],
        },
        Pattern {
            name: "cold_return",
            description: "The targets of one of four data centres return together, first after \
                          they were down, then after an evacuation; cold ones crash beyond a \
                          limit of requests.",
            site: Site {
                load_duration: s(18),
                ..Site::dense().scale_load(0.8).with_cold_rate(12.0)
            },
            changes: vec![
                (s(2), Change::StopZoneTargets(s(3))),
                (s(9), Change::EvacuateZone(s(3))),
            ],
        },
        Pattern {
            name: "cold_power",
            description: "All VMs lose power for 0.9 s and all targets return cold; beyond a \
                          limit of requests they crash.",
            site: Site::dense().scale_load(0.8).with_cold_rate(12.0),
            changes: at(s(4), Change::PowerLoss(ms(900))),
        },
        Pattern {
            name: "lossy",
            description: "Five percent of all datagrams are lost for 5 s.",
            site: Site::grown(),
            changes: at(s(3), Change::PacketLoss(0.05, s(5))),
        },
    ]
}
