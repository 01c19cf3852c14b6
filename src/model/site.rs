//! The size of a modelled site: VMs, targets, callers and what they ask.

use std::time::Duration;

/// How routers spread flows over the balancers in rotation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FlowHash {
    /// By the remainder of a hash: a balancer that joins or leaves moves nearly
    /// all flows of its data centre.
    #[default]
    Modulo,
    /// By rendezvous hashing: only flows of that balancer move.
    Rendezvous,
}

/// One service and its targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Its targets, spread over the data centres in turn.
    pub targets: u16,
    /// Requests that a target works on at once.
    pub slots: u32,
    /// Requests that wait for a slot at most; more are refused as not run.
    pub queue_limit: usize,
}

/// How callers of one class come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Workload {
    /// Users who hold a flow open and ask again after a pause.
    ClosedLoop {
        /// Number of users in all.
        users: u32,
        /// Mean pause between an answer and the next request.
        think_time: Duration,
    },
    /// A flow for each request, that many a second in all.
    OpenLoop {
        /// Requests a second.
        rate: f64,
    },
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Which of the site's services it asks.
    pub service: usize,
    /// How its callers come.
    pub workload: Workload,
    /// Mean work of a target; between half and one and a half of it.
    pub service_time: Duration,
    /// Bytes of a request.
    pub request_bytes: u32,
    /// Bytes of an answer.
    pub response_bytes: u32,
    /// An answer after this is late.
    pub latency_goal: Duration,
    /// When the caller gives the request up.
    pub timeout: Duration,
    /// Whether a request may run twice.
    pub idempotent: bool,
}

/// A modelled site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Data centres.
    pub zones: u8,
    /// Balancers in each.
    pub balancers: u8,
    /// The services.
    pub services: Vec<Service>,
    /// What callers ask.
    pub classes: Vec<RequestClass>,
    /// How routers spread flows.
    pub flow_hash: FlowHash,
    /// Link of a balancer, in Mbit/s.
    pub link_mbps: f64,
    /// A balancer's share of a core.
    pub balancer_cpu: f64,
    /// An agent's share of a core.
    pub agent_cpu: f64,
    /// How long the load lasts.
    pub load_duration: Duration,
}

const MS: Duration = Duration::from_millis(1);

impl Site {
    /// Fifteen VMs with 400 requests a second: 4 balancers in 4 data centres, 7
    /// targets for feeds and filings, 4 for downloads. Figures of a site whose
    /// operators gave them: feeds of 55 ms work, filings of 72 ms, downloads of
    /// 80 KB, targets of 7 slots that are half to two thirds busy.
    #[must_use]
    pub fn small() -> Self {
        Self {
            zones: 4,
            balancers: 1,
            services: vec![
                Service { name: "desk", targets: 7, slots: 7, queue_limit: 28 },
                Service { name: "maps", targets: 4, slots: 7, queue_limit: 28 },
            ],
            classes: Self::base_classes(290, 83.0, 25.0).into(),
            flow_hash: FlowHash::Modulo,
            link_mbps: 1_000.0,
            balancer_cpu: 0.25,
            agent_cpu: 0.15,
            load_duration: Duration::from_secs(12),
        }
    }

    /// The same workload grown to 62 VMs: 16 balancers with narrow links, 37
    /// targets of 4 slots for feeds and filings and 9 for downloads.
    #[must_use]
    pub fn grown() -> Self {
        Self {
            balancers: 4,
            services: vec![
                Service { name: "desk", targets: 37, slots: 4, queue_limit: 16 },
                Service { name: "maps", targets: 9, slots: 4, queue_limit: 16 },
            ],
            classes: Self::base_classes(1_300, 375.0, 112.0).into(),
            link_mbps: 30.0,
            balancer_cpu: 0.12,
            ..Self::small()
        }
    }

    /// Ninety-one VMs with 1,800 requests a second: 26 balancers less two, 52
    /// targets of 2 slots for feeds and quotes and 13 for uploads. Figures of a
    /// site whose operators gave them: feeds of 40 ms work, quotes of 52 ms that
    /// may not run twice, uploads of 40 KB; entry links of 10 Mbit/s and 0.12 of
    /// a core, time limits of 1.5 to 4 s. Targets are two thirds busy.
    #[must_use]
    pub fn dense() -> Self {
        let [feed, filing, download] = Self::base_classes(3_500, 375.0, 113.0);
        let feed = RequestClass {
            workload: Workload::ClosedLoop { users: 3_500, think_time: 2_600 * MS },
            service_time: 40 * MS,
            response_bytes: 2_000,
            latency_goal: 300 * MS,
            timeout: 1_500 * MS,
            ..feed
        };
        let quote = RequestClass {
            service_time: 52 * MS,
            latency_goal: 400 * MS,
            timeout: 2_000 * MS,
            ..filing
        };
        let upload = RequestClass {
            request_bytes: 40_000,
            response_bytes: 300,
            latency_goal: 800 * MS,
            timeout: 4_000 * MS,
            idempotent: false,
            ..download
        };
        Self {
            balancers: 6,
            services: vec![
                Service { name: "rates", targets: 52, slots: 2, queue_limit: 8 },
                Service { name: "checks", targets: 13, slots: 2, queue_limit: 8 },
            ],
            classes: vec![feed, quote, upload],
            link_mbps: 10.0,
            balancer_cpu: 0.12,
            ..Self::small()
        }
    }

    /// A hundred and ninety-six VMs in 5 data centres with 1,470 requests a second:
    /// 60 balancers with links of 20 Mbit/s, 109 targets of 2 slots for feeds and
    /// payments and 27 for uploads. Figures of a site whose operators gave them: the
    /// work of [`Site::dense`], aims of 0.5 to 1.2 s and time limits of 4 to 10 s.
    #[must_use]
    pub fn large() -> Self {
        let dense = Self::dense();
        let mut classes = dense.classes.clone();
        let asked = [
            (Workload::ClosedLoop { users: 2_900, think_time: 2_600 * MS }, 500, 4_000),
            (Workload::OpenLoop { rate: 306.0 }, 500, 5_000),
            (Workload::OpenLoop { rate: 92.0 }, 1_200, 10_000),
        ];
        for (class, (behavior, aim, limit)) in classes.iter_mut().zip(asked) {
            (class.workload, class.latency_goal, class.timeout) = (behavior, aim * MS, limit * MS);
        }
        Self {
            zones: 5,
            balancers: 12,
            services: vec![
                Service { name: "rates", targets: 109, slots: 2, queue_limit: 8 },
                Service { name: "checks", targets: 27, slots: 2, queue_limit: 8 },
            ],
            classes,
            link_mbps: 20.0,
            ..dense
        }
    }

    fn base_classes(users: u32, filings: f64, downloads: f64) -> [RequestClass; 3] {
        let feed = RequestClass {
            service: 0,
            workload: Workload::ClosedLoop { users, think_time: 900 * MS },
            service_time: 55 * MS,
            request_bytes: 120,
            response_bytes: 4_000,
            latency_goal: 250 * MS,
            timeout: 4_000 * MS,
            idempotent: true,
        };
        let filing = RequestClass {
            workload: Workload::OpenLoop { rate: filings },
            service_time: 72 * MS,
            request_bytes: 900,
            response_bytes: 600,
            latency_goal: 300 * MS,
            timeout: 5_000 * MS,
            idempotent: false,
            ..feed.clone()
        };
        let download = RequestClass {
            service: 1,
            workload: Workload::OpenLoop { rate: downloads },
            service_time: 5 * MS,
            response_bytes: 80_000,
            latency_goal: 500 * MS,
            timeout: 8_000 * MS,
            ..feed.clone()
        };
        [feed, filing, download]
    }

    /// The site with balancers whose links carry `mbps` megabits a second.
    #[must_use]
    pub const fn with_link_mbps(mut self, mbps: f64) -> Self {
        self.link_mbps = mbps;
        self
    }

    /// The site with `x` times as many callers.
    #[must_use]
    pub fn scale_load(mut self, x: f64) -> Self {
        for class in &mut self.classes {
            class.workload = match class.workload {
                // Positive and far below the type's limit.
                Workload::ClosedLoop { users, think_time: pause } => Workload::ClosedLoop {
                    users: (f64::from(users) * x).round() as u32,
                    think_time: pause,
                },
                Workload::OpenLoop { rate } => Workload::OpenLoop { rate: rate * x },
            };
        }
        self
    }
}
