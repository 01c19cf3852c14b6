//! Patterns of load and trouble, as named data.

use std::time::Duration;

use super::site::{FlowHash, Site};

/// A change of the site during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Every VM loses power, for as long.
    PowerLoss(Duration),
    /// A part of the balancers is killed; they are back after as long.
    KillBalancers(f64, Duration),
    /// A part of the agents is killed; they are back after as long.
    KillAgents(f64, Duration),
    /// Balancers are stopped as planned and started again, one after the other
    /// with this pause.
    RestartBalancers(Duration),
    /// A balancer joins each data centre.
    JoinBalancers,
    /// Agents are stopped as planned and started again, one after the other with
    /// this pause; their targets stay.
    RestartAgents(Duration),
    /// A part of the targets ends for good with its VM, one after the other with
    /// this pause.
    RetireTargets(f64, Duration),
    /// A part of the targets crashes; they start again after as long.
    CrashTargets(f64, Duration),
    /// A part of the targets works this many times slower, for as long.
    SlowTargets(f64, f64, Duration),
    /// The store does not answer for as long.
    StoreOutage(Duration),
    /// This many times the callers' usual fresh requests, for as long.
    LoadBurst(f64, Duration),
    /// A part of all datagrams is lost, for as long.
    PacketLoss(f64, Duration),
}

impl Change {
    /// How long its cause lasts.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        match self {
            Self::PowerLoss(d)
            | Self::KillBalancers(_, d)
            | Self::KillAgents(_, d)
            | Self::CrashTargets(_, d)
            | Self::SlowTargets(_, _, d)
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

/// A named pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Its name.
    pub name: &'static str,
    /// What it stands for, and the grounds for its figures.
    pub description: &'static str,
    /// The site.
    pub site: Site,
    /// What changes, and when.
    pub changes: Vec<(Duration, Change)>,
}

impl Pattern {
    /// When the last cause has ended.
    #[must_use]
    pub fn last_change_end(&self) -> Duration {
        let ends = self.changes.iter().map(|(at, change)| *at + change.duration());
        ends.max().unwrap_or_default()
    }

    /// The pattern of this name.
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

/// Every pattern.
#[must_use]
pub fn all() -> Vec<Pattern> {
    let at = |at, change| vec![(at, change)];
    vec![
        Pattern {
            name: "calm",
            description: "Nothing happens: what a quiet hour costs.",
            site: Site::small(),
            changes: Vec::new(),
        },
        Pattern {
            name: "calm_grown",
            description: "The same on 62 VMs.",
            site: Site::grown(),
            changes: Vec::new(),
        },
        Pattern {
            name: "power",
            description: "All VMs lose power for 0.9 s, the middle of what operators ask to bear: \
                    every caller comes again at once and no process remembers a flow.",
            site: Site::small(),
            changes: at(s(4), Change::PowerLoss(ms(900))),
        },
        Pattern {
            name: "power_grown",
            description: "The same on 62 VMs with links of 30 Mbit/s and 0.12 of a core.",
            site: Site::grown(),
            changes: at(s(4), Change::PowerLoss(ms(900))),
        },
        Pattern {
            name: "power_narrow",
            description: "The same on 15 VMs whose entry links carry 4 Mbit/s, twice what their \
                    callers need.",
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
            description: "All balancers are stopped and started in turn, 0.5 s apart, as in a \
                    release: each stop and each start moves a data centre's flows.",
            site: Site::grown(),
            changes: at(s(3), Change::RestartBalancers(ms(500))),
        },
        Pattern {
            name: "roll_steady",
            description: "The same with routers that move only the flows of one balancer.",
            site: Site { flow_hash: FlowHash::Rendezvous, ..Site::grown() },
            changes: at(s(3), Change::RestartBalancers(ms(500))),
        },
        Pattern {
            name: "kill",
            description: "Half of the balancers are killed and back within 1 s.",
            site: Site::grown(),
            changes: at(s(4), Change::KillBalancers(0.5, s(1))),
        },
        Pattern {
            name: "agents",
            description: "Half of the agents are killed and back within 0.5 s: they no longer know \
                    which flows their targets hold.",
            site: Site::grown(),
            changes: at(s(4), Change::KillAgents(0.5, ms(500))),
        },
        Pattern {
            name: "crash",
            description: "A third of the targets crashes for 3 s: their flows are gone.",
            site: Site::small(),
            changes: at(s(4), Change::CrashTargets(0.3, s(3))),
        },
        Pattern {
            name: "slow",
            description: "A tenth of the targets works five times slower for 5 s, as operators say \
                    of VMs that turn slow.",
            site: Site::small(),
            changes: at(s(3), Change::SlowTargets(0.15, 5.0, s(5))),
        },
        Pattern {
            name: "burst",
            description: "Three times the fresh requests for 3 s: targets are full.",
            site: Site::small(),
            changes: at(s(4), Change::LoadBurst(3.0, s(3))),
        },
        Pattern {
            name: "burst_grown",
            description: "The same on 62 VMs.",
            site: Site::grown(),
            changes: at(s(4), Change::LoadBurst(3.0, s(3))),
        },
        Pattern {
            name: "store",
            description: "The store is away for 4 s while half of the balancers are killed: they \
                    come back without a configuration.",
            site: Site::small(),
            changes: vec![
                (s(3), Change::StoreOutage(s(4))),
                (s(4), Change::KillBalancers(0.5, ms(500))),
            ],
        },
        Pattern {
            name: "churn_dense",
            description: "Targets of 2 slots, two thirds busy: balancers are killed three times, \
                    a seventh of the targets turns slow, two thirds more callers come for \
                    2.4 s, and then balancers are stopped in turn, one trouble into the \
                    next, as on a busy day of a site that grew.",
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
            description: "Targets leave one after the other, one a second as in a release, while \
                    every balancer and agent is killed and back within 0.5 s: nobody \
                    remembers a flow, and some agent is always on its way out.",
            site: Site::dense(),
            changes: vec![
                (s(3), Change::RetireTargets(0.1, s(1))),
                (s(4), Change::KillBalancers(1.0, ms(500))),
                (s(4), Change::KillAgents(1.0, ms(500))),
            ],
        },
        Pattern {
            name: "power_release_large",
            description: "All VMs lose power for 1.4 s in the middle of a release: 196 VMs start \
                    anew while a target leaves each second, as it did before.",
            site: Site { load_duration: s(14), ..Site::large() },
            changes: vec![
                (s(2), Change::RetireTargets(0.1, s(1))),
                (s(4), Change::PowerLoss(ms(1_400))),
            ],
        },
        Pattern {
            name: "roll_agents_dense",
            description: "Agents are stopped and started in turn, six a second, and balancers too, \
                    two a second, as in a release of this program: some agent is always \
                    restarting.",
            site: Site::dense(),
            changes: vec![
                (s(3), Change::RestartAgents(ms(150))),
                (s(3), Change::RestartBalancers(ms(500))),
            ],
        },
        Pattern {
            name: "lossy",
            description: "Five of a hundred datagrams are lost for 5 s.",
            site: Site::grown(),
            changes: at(s(3), Change::PacketLoss(0.05, s(5))),
        },
    ]
}
