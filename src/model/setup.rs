//! Initial state of a run: the VMs, targets and callers of a site, and what a
//! process reads from the store when it starts.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::event_queue::EventQueue;
use super::host::Host;
use super::simulation::{
    AGENT_MBPS, Agent, Balancer, CallerAction, EVACUATED_ZONE, Event, PROBE_INTERVAL,
    REPORT_INTERVAL, Simulation, agent_addr, balancer_addr, vip, zone_name,
};
use super::site::{RequestClass, Site, Workload};
use super::stats::{Stats, TargetStats};
use super::target::{COLD_OVERAGE, COLD_SLACK, Target};
use crate::policy::Policy;
use crate::request::RequestNeeds;
use crate::steering::{EvacuationList, FlowSteering, ListedAgent, Route, Routes, WeightedService};
use crate::tracker::{ColdAllowance, FlowTracker, Incarnation, Report, TargetState};

impl Simulation {
    pub(super) fn new(site: &Site, policy: &Policy, seed: u64) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            site: site.clone(),
            policy: policy.clone(),
            now,
            start: now,
            events: EventQueue::default(),
            rng: StdRng::seed_from_u64(seed),
            balancers: Vec::new(),
            agents: Vec::new(),
            callers: BTreeMap::new(),
            callers_created: 0,
            misrouted: HashMap::new(),
            executions: HashMap::new(),
            loss_rate: 0.0,
            load_factor: 1.0,
            store_up: true,
            evacuated_at: None,
            stats: Stats::default(),
        };
        sim.populate();
        sim
    }

    fn populate(&mut self) {
        let site = self.site.clone();
        for (service, s) in site.services.iter().enumerate() {
            for i in 0..s.targets {
                // Less than the number of data centres.
                let zone = (i % u16::from(site.zones)) as u8;
                let mut agent = Agent {
                    host: Host::new(site.agent_cpu, AGENT_MBPS, self.now),
                    tracker: self.new_tracker(service),
                    service,
                    zone,
                    target: Target::new(s, s.speed(i, site.zones), self.rng.random(), self.now),
                    registered_incarnation: 1,
                    probing: false,
                    removed: false,
                };
                agent.target.reports = 1;
                let report = self.target_report(service, 1, 1);
                agent.tracker.record_written(&report.incarnation);
                agent.tracker.handle_report(report, self.now);
                self.agents.push(agent);
                self.stats.targets.push(TargetStats {
                    service,
                    slots: s.slots,
                    ..TargetStats::default()
                });
                let n = self.agents.len() - 1;
                let first = REPORT_INTERVAL.mul_f64(self.rng.random());
                self.events.push(self.now + first, Event::TargetReport(n, 1));
            }
        }
        for zone in 0..site.zones {
            for _ in 0..site.balancers {
                self.add_balancer(zone);
            }
        }
        for n in 0..self.balancers.len() {
            self.read_store(n);
            self.balancers[n].in_rotation = true;
        }
        for (class, c) in site.classes.iter().enumerate() {
            self.start_workload(class, c);
        }
        self.events.push(self.now + PROBE_INTERVAL, Event::ReadinessProbe);
    }

    fn start_workload(&mut self, class: usize, c: &RequestClass) {
        match c.workload {
            Workload::ClosedLoop { users, think_time } => {
                for user in 0..users {
                    let zone = (user % u32::from(self.site.zones)) as u8;
                    let at = self.now + think_time.mul_f64(self.rng.random());
                    let caller = self.new_caller(class, zone, at);
                    let addr = caller.flow.caller;
                    self.callers.insert(addr, caller);
                    self.events.push(at, Event::CallerTimer(addr, 0, CallerAction::OpenFlow));
                }
            }
            Workload::OpenLoop { .. } | Workload::Wave { .. } => {
                self.events.push(self.now, Event::Arrival(class));
            }
        }
    }

    pub(super) fn add_balancer(&mut self, zone: u8) -> usize {
        let n = self.balancers.len();
        let host = Host::new(self.site.balancer_cpu, self.site.link_mbps, self.now);
        let steering = self.new_steering(n, zone);
        self.balancers.push(Balancer {
            host,
            steering,
            zone,
            in_rotation: false,
            missed_probes: 0,
        });
        n
    }

    pub(super) fn new_steering(&self, n: usize, zone: u8) -> FlowSteering {
        let policy =
            self.policy.balancer.clone().scaled_to_vm(self.site.link_mbps, self.site.balancer_cpu);
        FlowSteering::new(balancer_addr(n), zone_name(zone), Duration::from_secs(60))
            .with_policy(policy)
    }

    pub(super) fn new_tracker(&self, service: usize) -> FlowTracker {
        let name = self.site.services[service].name.into();
        FlowTracker::new(name, Duration::from_secs(60))
            .with_policy(self.policy.agent.clone())
            .with_cold_allowance(ColdAllowance { overage: COLD_OVERAGE, slack: COLD_SLACK })
            .with_write_ahead()
    }

    pub(super) fn target_report(&self, service: usize, incarnation: u64, seq: u64) -> Report {
        let s = &self.site.services[service];
        Report {
            incarnation: Incarnation { id: "target".into(), started_ms: Some(incarnation * 1_000) },
            service: s.name.into(),
            slots: s.slots,
            state: TargetState::Ready,
            warmup: Duration::ZERO,
            seq,
        }
    }

    fn routes(&self) -> Routes {
        let routes = self.site.classes.iter().enumerate().map(|(n, class)| {
            let service = self.site.services[class.service].name.into();
            let weighted = WeightedService { service, weight: 1, max_flows: 2_000 };
            let route = Route {
                name: "r".into(),
                services: vec![weighted],
                request_timeout: class.timeout,
                needs: self.site.states_needs.then(|| request_needs(class)),
            };
            (vip(n), route)
        });
        let limited = self.site.services.iter().filter(|s| s.cold_rate > 0.0);
        // Rates are far below `u32::MAX` / 1,000.
        let cold_rates = limited.map(|s| (s.name.into(), (s.cold_rate * 1_000.0) as u32));
        Routes {
            version: 1,
            by_address: routes.collect(),
            idle_timeout: Duration::from_secs(15),
            cold_rates: cold_rates.collect(),
        }
    }

    /// The list of evacuated data centres; the time serves as the store's revision.
    fn evacuations(&self) -> EvacuationList {
        // A run takes far less than `i64::MAX` microseconds.
        let rev = |at: Instant| at.duration_since(self.start).as_micros() as i64;
        let zones = self.evacuated_at.map(|at| (zone_name(EVACUATED_ZONE), rev(at)));
        EvacuationList { as_of: rev(self.now), zones: zones.into_iter().collect() }
    }

    /// A balancer reads routes and agents from the store.
    pub(super) fn read_store(&mut self, n: usize) {
        let listed: Vec<ListedAgent> = self
            .agents
            .iter()
            .enumerate()
            .filter(|(_, a)| !a.removed)
            .map(|(i, a)| ListedAgent {
                addr: agent_addr(i),
                zone: zone_name(a.zone),
                service: self.site.services[a.service].name.into(),
                incarnation: Some(
                    self.target_report(a.service, a.registered_incarnation, 1).incarnation,
                ),
                queues: true,
                bounded: true,
                since: None,
                registered: 1 + i as i64,
            })
            .collect();
        let routes = self.routes();
        let evacuations = self.evacuations();
        let steering = &mut self.balancers[n].steering;
        steering.apply_evacuations(evacuations, self.now);
        steering.apply_routes(routes);
        steering.roster.update(&listed, self.now);
        steering.set_store_reachable(true, self.now);
        self.wake_balancer(n, self.now);
    }
}

/// What callers need of the requests of a class.
fn request_needs(class: &RequestClass) -> RequestNeeds {
    // Classes have time limits of a few seconds.
    let ms = |d: Duration| d.as_millis() as u32;
    RequestNeeds {
        priority: class.priority,
        latency_ms: ms(class.latency_goal),
        timeout_ms: ms(class.timeout),
        repeatable: class.idempotent,
    }
}
