//! Process starts and stops, readiness probes, target reports, store reads, and
//! the changes that a pattern schedules.

use std::time::{Duration, Instant};

use rand::Rng;

use super::outbox::Outbox;
use super::pattern::{Change, FailureMode};
use super::simulation::{
    EVACUATED_ZONE, Event, FIRST_READ_DELAY, PROBE_INTERVAL, REPORT_INTERVAL, REPORT_RETRY,
    STORE_DELAY, Simulation, agent_addr,
};
use crate::tracker::{Predecessor, Report};

/// How long a balancer keeps forwarding after a planned stop begins.
const BALANCER_STOP_TIME: Duration = Duration::from_millis(1_500);

/// How long an agent runs on after a planned stop begins, while its target
/// completes requests.
const AGENT_STOP_TIME: Duration = Duration::from_millis(200);

/// How long an agent keeps answering after its target has exited for good.
const RETIRE_LINGER: Duration = Duration::from_millis(600);

/// Delay between the exit of a process at a planned stop and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// After a power loss each process starts after a random delay up to this.
const POWER_ON_JITTER: Duration = Duration::from_millis(300);

impl Simulation {
    pub(super) fn handle_site_event(&mut self, event: Event) {
        match event {
            Event::TargetReport(n, incarnation) => self.deliver_report(n, incarnation),
            Event::ReadinessProbe => self.probe_readiness(),
            Event::ReadStore(n, incarnation) => self.read_store_or_retry(n, incarnation),
            Event::StopBalancer(n, incarnation) => self.stop_balancer(n, incarnation),
            Event::StopAgent(n) => self.stop_agent(n),
            Event::ExitAgent(n, incarnation) => self.exit_agent(n, incarnation),
            Event::RetireTarget(n) => self.retire_target(n),
            Event::RemoveAgent(n) => self.agents[n].host.stop(),
            Event::StartBalancer(n) => self.start_balancer(n),
            Event::StartAgent(n) => self.start_agent(n),
            Event::StartTarget(n) => self.start_target(n),
            Event::BeginChange(change) => self.begin_change(change),
            Event::EndChange(change) => self.end_change(change),
            _ => {}
        }
    }

    /// Delivers a target's report to its agent, which then writes it to the store, and schedules
    /// the next one, sooner if the agent did not acknowledge it.
    fn deliver_report(&mut self, n: usize, incarnation: u64) {
        let a = &mut self.agents[n];
        if !a.target.up || a.target.incarnation != incarnation {
            return;
        }
        a.target.reports += 1;
        let (service, seq) = (a.service, a.target.reports);
        let mut delay = REPORT_RETRY;
        if a.host.up {
            let warmup = self.agents[n].target.warm_at.saturating_duration_since(self.now);
            let report = Report { warmup, ..self.target_report(service, incarnation, seq) };
            let a = &mut self.agents[n];
            if a.registered_incarnation == incarnation {
                a.tracker.record_written(&report.incarnation);
            }
            a.tracker.handle_report(report, self.now);
            if !a.tracker.awaits_record() {
                delay = REPORT_INTERVAL;
            }
            if self.store_up
                && std::mem::replace(&mut a.registered_incarnation, incarnation) != incarnation
            {
                self.schedule_store_reads();
            }
            self.wake_agent(n, self.now);
        }
        self.events.push(self.now + delay, Event::TargetReport(n, incarnation));
    }

    fn probe_readiness(&mut self) {
        for b in &mut self.balancers {
            if b.host.up && b.steering.is_ready() {
                b.missed_probes = 0;
                b.in_rotation = true;
            } else {
                b.missed_probes = b.missed_probes.saturating_add(1);
                b.in_rotation &= b.missed_probes < 2;
            }
        }
        self.events.push(self.now + PROBE_INTERVAL, Event::ReadinessProbe);
    }

    /// A balancer reads the store, or tries again later while that is down.
    fn read_store_or_retry(&mut self, n: usize, incarnation: u64) {
        if self.balancers[n].host.incarnation != incarnation {
            return;
        }
        if self.store_up {
            self.read_store(n);
        } else {
            self.events.push(self.now + STORE_DELAY, Event::ReadStore(n, incarnation));
        }
    }

    fn start_balancer(&mut self, n: usize) {
        let zone = self.balancers[n].zone;
        self.balancers[n].steering = self.new_steering(n, zone);
        let host = &mut self.balancers[n].host;
        host.start(self.now);
        let incarnation = host.incarnation;
        self.events.push(self.now + FIRST_READ_DELAY, Event::ReadStore(n, incarnation));
    }

    fn start_agent(&mut self, n: usize) {
        if self.agents[n].removed {
            return;
        }
        let service = self.agents[n].service;
        // The registration names the target process that the previous agent process
        // served.
        let registered =
            self.target_report(service, self.agents[n].registered_incarnation, 1).incarnation;
        let mut tracker = self.new_tracker(service);
        tracker.set_predecessor(Some(Predecessor { incarnation: registered, writes_ahead: true }));
        let a = &mut self.agents[n];
        a.tracker = tracker;
        a.probing = false;
        a.host.start(self.now);
        self.wake_agent(n, self.now);
    }

    fn start_target(&mut self, n: usize) {
        if self.agents[n].removed {
            return;
        }
        let target = &mut self.agents[n].target;
        target.start(self.now);
        let incarnation = target.incarnation;
        self.events.push(self.now + REPORT_RETRY, Event::TargetReport(n, incarnation));
    }

    /// Number of processes that a share of `all` processes comes to; at least one.
    fn processes_in_share(share: f64, all: usize) -> usize {
        ((share * all as f64).round() as usize).clamp(1, all)
    }

    fn begin_change(&mut self, change: Change) {
        let ends = self.now + change.duration();
        match change {
            Change::PowerLoss(_) => self.lose_power(ends),
            Change::KillBalancers(share, _) => {
                for n in 0..Self::processes_in_share(share, self.balancers.len()) {
                    self.balancers[n].host.stop();
                    self.events.push(ends, Event::StartBalancer(n));
                }
            }
            Change::KillAgents(share, _) => {
                for n in 0..Self::processes_in_share(share, self.agents.len()) {
                    self.agents[n].host.stop();
                    self.events.push(ends, Event::StartAgent(n));
                }
            }
            Change::RestartBalancers(gap) => {
                for n in 0..self.balancers.len() {
                    // Sites have far fewer than `u32::MAX` processes.
                    let at = self.now + gap * n as u32;
                    let incarnation = self.balancers[n].host.incarnation;
                    self.events.push(at, Event::StopBalancer(n, incarnation));
                }
            }
            Change::JoinBalancers => {
                for zone in 0..self.site.zones {
                    let n = self.add_balancer(zone);
                    self.events.push(self.now + FIRST_READ_DELAY, Event::ReadStore(n, 1));
                }
            }
            Change::RestartAgents(gap) => {
                for n in 0..self.agents.len() {
                    self.events.push(self.now + gap * n as u32, Event::StopAgent(n));
                }
            }
            Change::RetireTargets(share, gap) => {
                for n in 0..Self::processes_in_share(share, self.agents.len()) {
                    self.events.push(self.now + gap * n as u32, Event::RetireTarget(n));
                }
            }
            Change::CrashTargets(share, _) => {
                for n in 0..Self::processes_in_share(share, self.agents.len()) {
                    self.agents[n].target.stop();
                    self.events.push(ends, Event::StartTarget(n));
                }
            }
            Change::SlowTargets(share, factor, _) => self.set_slowdown(share, factor),
            Change::FailTargets(share, mode, _) => self.set_failure(share, Some(mode)),
            Change::EvacuateZone(_) => {
                self.evacuated_at = Some(self.now);
                self.schedule_store_reads();
            }
            Change::StopZoneTargets(_) => {
                for n in self.agents_in_evacuated_zone() {
                    self.agents[n].target.stop();
                    self.events.push(ends, Event::StartTarget(n));
                }
            }
            Change::StoreOutage(_) => self.set_store_up(false, self.now),
            Change::LoadBurst(factor, _) => self.load_factor = factor,
            Change::PacketLoss(rate, _) => self.loss_rate = rate,
        }
        if change.duration() > Duration::ZERO {
            self.events.push(ends, Event::EndChange(change));
        }
    }

    fn end_change(&mut self, change: Change) {
        match change {
            Change::SlowTargets(share, _, _) => self.set_slowdown(share, 1.0),
            Change::FailTargets(share, _, _) => self.set_failure(share, None),
            Change::EvacuateZone(_) => {
                self.evacuated_at = None;
                for n in self.agents_in_evacuated_zone() {
                    self.agents[n].target.chill(self.now);
                }
                self.schedule_store_reads();
            }
            Change::StoreOutage(_) => self.set_store_up(true, self.now),
            Change::LoadBurst(..) => self.load_factor = 1.0,
            Change::PacketLoss(..) => self.loss_rate = 0.0,
            _ => {}
        }
    }

    /// Agents of the data centre that [`Change::EvacuateZone`] evacuates.
    fn agents_in_evacuated_zone(&self) -> Vec<usize> {
        (0..self.agents.len()).filter(|n| self.agents[*n].zone == EVACUATED_ZONE).collect()
    }

    fn set_slowdown(&mut self, share: f64, factor: f64) {
        for n in 0..Self::processes_in_share(share, self.agents.len()) {
            self.agents[n].target.slowdown = factor;
        }
    }

    fn set_failure(&mut self, share: f64, failure: Option<FailureMode>) {
        for n in 0..Self::processes_in_share(share, self.agents.len()) {
            self.agents[n].target.failure = failure;
        }
    }

    fn set_store_up(&mut self, up: bool, now: Instant) {
        self.store_up = up;
        for b in &mut self.balancers {
            b.steering.set_store_reachable(up, now);
        }
    }

    /// All processes exit and restart shortly after `restored_at`.
    fn lose_power(&mut self, restored_at: Instant) {
        for n in 0..self.balancers.len() {
            self.balancers[n].host.stop();
            let at = restored_at + POWER_ON_JITTER.mul_f64(self.rng.random());
            self.events.push(at, Event::StartBalancer(n));
        }
        for n in 0..self.agents.len() {
            self.agents[n].host.stop();
            self.agents[n].target.stop();
            let at = restored_at + POWER_ON_JITTER.mul_f64(self.rng.random());
            self.events.push(at, Event::StartTarget(n));
            let at = restored_at + POWER_ON_JITTER.mul_f64(self.rng.random());
            self.events.push(at, Event::StartAgent(n));
        }
    }

    /// Planned stop of a balancer: the first event makes it not ready, the second,
    /// [`BALANCER_STOP_TIME`] later, ends the process.
    fn stop_balancer(&mut self, n: usize, incarnation: u64) {
        let b = &mut self.balancers[n];
        if b.host.incarnation != incarnation {
            return;
        }
        if b.steering.is_ready() {
            b.steering.begin_shutdown();
            self.events.push(self.now + BALANCER_STOP_TIME, Event::StopBalancer(n, incarnation));
        } else {
            b.host.stop();
            self.events.push(self.now + RESTART_DELAY, Event::StartBalancer(n));
        }
    }

    /// Begins a planned stop of an agent.
    fn stop_agent(&mut self, n: usize) {
        let a = &mut self.agents[n];
        if !a.host.up {
            return;
        }
        a.tracker.stop_accepting();
        let incarnation = a.host.incarnation;
        self.events.push(self.now + AGENT_STOP_TIME, Event::ExitAgent(n, incarnation));
    }

    fn exit_agent(&mut self, n: usize, incarnation: u64) {
        let a = &mut self.agents[n];
        if a.host.incarnation != incarnation {
            return;
        }
        let mut out = Outbox::default();
        a.tracker.send_owner_hints(agent_addr(n), &mut out);
        self.flush_agent(n, out, self.now);
        self.agents[n].host.stop();
        self.events.push(self.now + RESTART_DELAY, Event::StartAgent(n));
    }

    /// A target exits for good: its agent deletes its registration and stays until
    /// balancers have read the change.
    fn retire_target(&mut self, n: usize) {
        let mut out = Outbox::default();
        let a = &mut self.agents[n];
        a.removed = true;
        a.target.stop();
        a.tracker.mark_target_ended(&mut out);
        self.flush_agent(n, out, self.now);
        self.events.push(self.now + RETIRE_LINGER, Event::RemoveAgent(n));
        self.schedule_store_reads();
    }

    /// Schedules a read of the store by every balancer, after an agent's registration has
    /// changed.
    fn schedule_store_reads(&mut self) {
        for b in 0..self.balancers.len() {
            let incarnation = self.balancers[b].host.incarnation;
            self.events.push(self.now + STORE_DELAY, Event::ReadStore(b, incarnation));
        }
    }
}
