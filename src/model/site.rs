//! Description of a simulated site: VMs, links, services and callers' workloads.

use std::f64::consts::TAU;
use std::time::Duration;

/// How routers choose the balancer of a flow among those in rotation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FlowHash {
    /// Hash modulo the number of balancers: a balancer that joins or leaves moves
    /// nearly all flows of its data centre.
    #[default]
    Modulo,
    /// Rendezvous hashing: only the flows of that balancer move.
    Rendezvous,
}

/// A service and its targets.
#[derive(Clone, Debug)]
pub struct Service {
    /// Service name.
    pub name: &'static str,
    /// Number of targets, spread evenly over the data centres.
    pub targets: u16,
    /// Requests that a target executes concurrently.
    pub slots: u32,
    /// Requests that may wait for a slot of a target; further ones are shed.
    pub queue_limit: usize,
    /// Requests a second that a cold target bears; 0 for no limit.
    pub cold_rate: f64,
    /// Factors on execution times, by which targets differ; empty if they do not.
    pub speeds: &'static [f64],
}

impl Service {
    /// Creates a service of equal targets without a limit while they are cold.
    #[must_use]
    pub const fn new(name: &'static str, targets: u16, slots: u32, queue_limit: usize) -> Self {
        Self { name, targets, slots, queue_limit, cold_rate: 0.0, speeds: &[] }
    }

    /// Factor on the execution times of target `n`, of a site of `zones` data centres.
    /// Each data centre has targets of all speeds.
    #[must_use]
    pub fn speed(&self, n: u16, zones: u8) -> f64 {
        // Targets go to data centres in turn, so each round begins with another speed.
        let n = usize::from(n) + usize::from(n / u16::from(zones));
        if self.speeds.is_empty() { 1.0 } else { self.speeds[n % self.speeds.len()] }
    }

    /// Execution time that all its targets do in a second, on a target of factor 1.
    #[must_use]
    pub fn room(&self, zones: u8) -> f64 {
        (0..self.targets).map(|n| f64::from(self.slots) / self.speed(n, zones)).sum()
    }
}

/// Workload model of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Workload {
    /// Closed loop: a fixed number of users, each with one request at a time on a
    /// flow that stays open.
    ClosedLoop {
        /// Number of users.
        users: u32,
        /// Mean time between a response and the next request.
        think_time: Duration,
    },
    /// Open loop: Poisson arrivals, each request on a new flow.
    OpenLoop {
        /// Mean arrivals per second.
        rate: f64,
    },
    /// Open loop with a rate that follows a sine, each data centre by its own phase.
    Wave {
        /// Mean arrivals per second, over a period and all data centres.
        rate: f64,
        /// How far the rate rises and falls, as a share of the mean.
        swing: f64,
        /// Length of the sine.
        period: Duration,
        /// How much later each data centre's sine begins than that of the one before.
        lag: Duration,
    },
}

impl Workload {
    /// Mean arrivals per second.
    fn rate(&self) -> f64 {
        match self {
            Self::ClosedLoop { users, think_time } => f64::from(*users) / think_time.as_secs_f64(),
            Self::OpenLoop { rate } | Self::Wave { rate, .. } => *rate,
        }
    }

    /// Arrivals per second at the height of an open-loop workload; `None` for others.
    #[must_use]
    pub fn peak_rate(&self) -> Option<f64> {
        match self {
            Self::ClosedLoop { .. } => None,
            Self::OpenLoop { rate } => Some(*rate),
            Self::Wave { rate, swing, .. } => Some(rate * (1.0 + swing)),
        }
    }

    /// Arrival rate in a data centre `at` a time since the start of the run, as a share of
    /// its peak; `None` if the rate does not change.
    #[must_use]
    pub fn wave_height(&self, zone: u8, at: Duration) -> Option<f64> {
        let Self::Wave { swing, period, lag, .. } = self else { return None };
        let periods =
            (at.as_secs_f64() - lag.as_secs_f64() * f64::from(zone)) / period.as_secs_f64();
        Some(((1.0 + swing * (periods * TAU).sin()) / (1.0 + swing)).clamp(0.0, 1.0))
    }
}

/// A class of similar requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Index of the service in [`Site::services`].
    pub service: usize,
    /// When its requests are sent.
    pub workload: Workload,
    /// Mean execution time at a target; uniformly distributed between half of it
    /// and one and a half times it.
    pub service_time: Duration,
    /// Size of a request.
    pub request_bytes: u32,
    /// Size of a response.
    pub response_bytes: u32,
    /// A response after this time counts as late.
    pub latency_goal: Duration,
    /// When the caller gives up.
    pub timeout: Duration,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// A simulated site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Number of data centres.
    pub zones: u8,
    /// Balancers per data centre.
    pub balancers: u8,
    /// Services; [`RequestClass::service`] is an index into them.
    pub services: Vec<Service>,
    /// Request classes of the callers.
    pub classes: Vec<RequestClass>,
    /// Whether routes state what callers need of the classes' requests.
    pub states_needs: bool,
    /// How routers choose a balancer.
    pub flow_hash: FlowHash,
    /// Link bandwidth of a balancer's VM, in Mbit/s.
    pub link_mbps: f64,
    /// Share of a CPU core that a balancer has.
    pub balancer_cpu: f64,
    /// Share of a CPU core that an agent has.
    pub agent_cpu: f64,
    /// How long callers start new requests.
    pub load_duration: Duration,
}

const MS: Duration = Duration::from_millis(1);

impl Site {
    /// Fifteen VMs and about 400 requests per second: one balancer in each of 4 data
    /// centres, 7 targets for feeds and filings, 4 targets for downloads.
    #[must_use]
    pub fn small() -> Self {
        Self {
            zones: 4,
            balancers: 1,
            services: vec![Service::new("desk", 7, 7, 28), Service::new("maps", 4, 7, 28)],
            classes: Self::base_classes(290, 83.0, 25.0).into(),
            states_needs: false,
            flow_hash: FlowHash::Modulo,
            link_mbps: 1_000.0,
            balancer_cpu: 0.25,
            agent_cpu: 0.15,
            load_duration: Duration::from_secs(12),
        }
    }

    /// The workload of [`Site::small`] scaled up to 62 VMs: 16 balancers with slower
    /// links, 37 targets for feeds and filings, 9 targets for downloads.
    #[must_use]
    pub fn grown() -> Self {
        Self {
            balancers: 4,
            services: vec![Service::new("desk", 37, 4, 16), Service::new("maps", 9, 4, 16)],
            classes: Self::base_classes(1_300, 375.0, 112.0).into(),
            link_mbps: 30.0,
            balancer_cpu: 0.12,
            ..Self::small()
        }
    }

    /// Eighty-nine VMs and about 1,800 requests per second: 24 balancers with links
    /// of 10 Mbit/s, 52 targets of 2 slots for feeds and quotes, 13 targets for
    /// uploads, and short timeouts.
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
            services: vec![Service::new("rates", 52, 2, 8), Service::new("checks", 13, 2, 8)],
            classes: vec![feed, quote, upload],
            link_mbps: 10.0,
            balancer_cpu: 0.12,
            ..Self::small()
        }
    }

    /// 196 VMs in 5 data centres and about 1,470 requests per second: 60 balancers
    /// with links of 20 Mbit/s, 109 targets for feeds and quotes, 27 targets for
    /// uploads. Requests are those of [`Site::dense`] with longer timeouts.
    #[must_use]
    pub fn large() -> Self {
        let dense = Self::dense();
        let mut classes = dense.classes.clone();
        let workloads = [
            (Workload::ClosedLoop { users: 2_900, think_time: 2_600 * MS }, 500, 4_000),
            (Workload::OpenLoop { rate: 306.0 }, 500, 5_000),
            (Workload::OpenLoop { rate: 92.0 }, 1_200, 10_000),
        ];
        for (class, (workload, goal_ms, timeout_ms)) in classes.iter_mut().zip(workloads) {
            (class.workload, class.latency_goal, class.timeout) =
                (workload, goal_ms * MS, timeout_ms * MS);
        }
        Self {
            zones: 5,
            balancers: 12,
            services: vec![Service::new("rates", 109, 2, 8), Service::new("checks", 27, 2, 8)],
            classes,
            link_mbps: 20.0,
            ..dense
        }
    }

    /// Twenty-five VMs in 3 data centres and about 530 requests per second, half of the
    /// room: 15 targets of 2 slots and three speeds for listings and checkouts, which are
    /// more urgent and must not be executed twice, and 4 targets for route sheets. Routes
    /// state what callers need.
    #[must_use]
    pub fn grocer() -> Self {
        let [feed, filing, download] = Self::base_classes(0, 110.0, 33.0);
        let listing = RequestClass {
            workload: Workload::OpenLoop { rate: 385.0 },
            service_time: 34 * MS,
            response_bytes: 2_000,
            latency_goal: 300 * MS,
            timeout: 2_500 * MS,
            priority: 2,
            ..feed
        };
        let checkout = RequestClass {
            service_time: 44 * MS,
            latency_goal: 400 * MS,
            timeout: 3_000 * MS,
            priority: 1,
            ..filing
        };
        let sheet = RequestClass {
            service_time: 4 * MS,
            response_bytes: 40_000,
            latency_goal: 800 * MS,
            timeout: 6_000 * MS,
            priority: 2,
            ..download
        };
        let speeds = &[0.7, 0.7, 1.7];
        Self {
            zones: 3,
            balancers: 2,
            services: vec![
                Service { speeds, ..Service::new("storefront", 15, 2, 8) },
                Service::new("riders", 4, 2, 8),
            ],
            classes: vec![listing, checkout, sheet],
            states_needs: true,
            link_mbps: 10.0,
            balancer_cpu: 0.12,
            ..Self::small()
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
            priority: 1,
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

    /// Sets the link bandwidth of balancers.
    #[must_use]
    pub const fn with_link_mbps(mut self, mbps: f64) -> Self {
        self.link_mbps = mbps;
        self
    }

    /// Sets the requests a second that a cold target bears.
    #[must_use]
    pub fn with_cold_rate(mut self, rate: f64) -> Self {
        for service in &mut self.services {
            service.cold_rate = rate;
        }
        self
    }

    /// Multiplies the users and arrival rates of all classes by `factor`.
    #[must_use]
    pub fn scale_load(mut self, factor: f64) -> Self {
        for class in &mut self.classes {
            class.workload = match class.workload {
                // The product is positive and far below `u32::MAX`.
                Workload::ClosedLoop { users, think_time } => Workload::ClosedLoop {
                    users: (f64::from(users) * factor).round() as u32,
                    think_time,
                },
                Workload::OpenLoop { rate } => Workload::OpenLoop { rate: rate * factor },
                Workload::Wave { rate, swing, period, lag } => {
                    Workload::Wave { rate: rate * factor, swing, period, lag }
                }
            };
        }
        self
    }

    /// Work that arrives for the fullest service, as a share of its room.
    #[must_use]
    pub fn load(&self) -> f64 {
        let share = |(n, service): (usize, &Service)| {
            let classes = self.classes.iter().filter(|c| c.service == n);
            let work: f64 = classes.map(|c| c.workload.rate() * c.service_time.as_secs_f64()).sum();
            work / service.room(self.zones)
        };
        self.services.iter().enumerate().map(share).fold(0.0, f64::max)
    }

    /// Scales the load so that the fullest service gets this share of its room.
    #[must_use]
    pub fn with_load(self, share: f64) -> Self {
        let factor = share / self.load();
        self.scale_load(factor)
    }

    /// Makes all classes open-loop with rates that swing, each data centre's at its own time.
    #[must_use]
    pub fn with_waves(mut self, swing: f64, period: Duration) -> Self {
        let lag = period / u32::from(self.zones);
        for class in &mut self.classes {
            class.workload = Workload::Wave { rate: class.workload.rate(), swing, period, lag };
        }
        self
    }
}
