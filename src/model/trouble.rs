//! What changes during a run: processes that end and start, routers that ask,
//! targets that report, the store and the pattern's changes.

use std::time::{Duration, Instant};

use rand::Rng;

use super::pattern::Change;
use super::wires::Wires;
use super::world::{BOOT, Event, LISTED, PROBE, REPORT, REPORT_AGAIN, World, agent_addr};
use crate::tracker::Report;

/// How long a balancer that stops as planned forwards on, as the product does.
const LINGER: Duration = Duration::from_millis(1_500);

/// From an agent's order to stop to its end: its target finishes what it works
/// on.
const FINISH: Duration = Duration::from_millis(200);

/// How long an agent whose target has left answers on, as the product does.
const STAY: Duration = Duration::from_millis(600);

/// From the end of a planned stop to the next start.
const RESTART: Duration = Duration::from_millis(300);

/// Processes that get power back start within this of each other.
const SCATTER: Duration = Duration::from_millis(300);

impl World {
    pub(super) fn trouble(&mut self, event: Event) {
        match event {
            Event::Report(n, boot) => self.reported(n, boot),
            Event::Probe => self.probe(),
            Event::Read(n, boot) => self.read(n, boot),
            Event::Stopped(n, boot) => self.stopped(n, boot),
            Event::AgentStops(n) => self.agent_stops(n),
            Event::AgentEnds(n, boot) => self.agent_ends(n, boot),
            Event::Leaves(n) => self.leaves(n),
            Event::Left(n) => self.agents[n].host.stop(),
            Event::StartBalancer(n) => self.start_balancer(n),
            Event::StartAgent(n) => self.start_agent(n),
            Event::StartTarget(n) => self.start_target(n),
            Event::Change(change) => self.change(change),
            Event::Ended(change) => self.ended(change),
            _ => {}
        }
    }

    /// A target reports itself to its agent, if that runs.
    fn reported(&mut self, n: usize, boot: u64) {
        let a = &mut self.agents[n];
        if !a.target.up || a.target.boot != boot {
            return;
        }
        a.target.reports += 1;
        let (service, seq) = (a.service, a.target.reports);
        let pause = if a.host.up { REPORT } else { REPORT_AGAIN };
        if a.host.up {
            let cold = self.agents[n].target.cold_until.saturating_duration_since(self.now);
            let report = Report { warmup: cold, ..self.report(service, boot, seq) };
            self.agents[n].tracker.handle_report(report, self.now);
            if std::mem::replace(&mut self.agents[n].listed, boot) != boot {
                self.read_soon();
            }
            self.wake_agent(n, self.now);
        }
        self.events.put(self.now + pause, Event::Report(n, boot));
    }

    fn probe(&mut self) {
        for b in &mut self.balancers {
            if b.host.up && b.steering.is_ready() {
                b.missed = 0;
                b.rotation = true;
            } else {
                b.missed = b.missed.saturating_add(1);
                b.rotation &= b.missed < 2;
            }
        }
        self.events.put(self.now + PROBE, Event::Probe);
    }

    /// A balancer that has started reads the store, or tries again.
    fn read(&mut self, n: usize, boot: u64) {
        if self.balancers[n].host.boot != boot {
            return;
        }
        if self.store {
            self.read_store(n);
        } else {
            self.events.put(self.now + LISTED, Event::Read(n, boot));
        }
    }

    fn start_balancer(&mut self, n: usize) {
        let zone = self.balancers[n].zone;
        self.balancers[n].steering = self.new_steering(n, zone);
        let host = &mut self.balancers[n].host;
        host.start(self.now);
        let boot = host.boot;
        self.events.put(self.now + BOOT, Event::Read(n, boot));
    }

    fn start_agent(&mut self, n: usize) {
        if self.agents[n].left {
            return;
        }
        let service = self.agents[n].service;
        // The store tells for which start of the target the last process took
        // flows.
        let before = self.report(service, self.agents[n].listed, 1).incarnation;
        let mut tracker = self.new_tracker(service);
        tracker.set_predecessor(Some(before), self.now);
        let a = &mut self.agents[n];
        a.tracker = tracker;
        a.probing = false;
        a.host.start(self.now);
        self.wake_agent(n, self.now);
    }

    fn start_target(&mut self, n: usize) {
        if self.agents[n].left {
            return;
        }
        let target = &mut self.agents[n].target;
        target.start(self.now);
        let boot = target.boot;
        self.events.put(self.now + REPORT_AGAIN, Event::Report(n, boot));
    }

    /// The first `part` of `all`, at least one.
    fn some(part: f64, all: usize) -> usize {
        // Between 1 and the number of processes.
        ((part * all as f64).round() as usize).clamp(1, all)
    }

    fn change(&mut self, change: Change) {
        let ends = self.now + change.lasts();
        match change {
            Change::PowerOff(_) => self.power_off(ends),
            Change::KillBalancers(part, _) => {
                for n in 0..Self::some(part, self.balancers.len()) {
                    self.balancers[n].host.stop();
                    self.events.put(ends, Event::StartBalancer(n));
                }
            }
            Change::KillAgents(part, _) => {
                for n in 0..Self::some(part, self.agents.len()) {
                    self.agents[n].host.stop();
                    self.events.put(ends, Event::StartAgent(n));
                }
            }
            Change::RollBalancers(gap) => {
                for n in 0..self.balancers.len() {
                    // A handful of balancers.
                    let at = self.now + gap * n as u32;
                    let boot = self.balancers[n].host.boot;
                    self.events.put(at, Event::Stopped(n, boot));
                }
            }
            Change::JoinBalancers => {
                for zone in 0..self.site.zones {
                    let n = self.add_balancer(zone);
                    self.events.put(self.now + BOOT, Event::Read(n, 1));
                }
            }
            Change::RollAgents(gap) => {
                for n in 0..self.agents.len() {
                    // Some dozens of agents.
                    self.events.put(self.now + gap * n as u32, Event::AgentStops(n));
                }
            }
            Change::Leave(part, gap) => {
                for n in 0..Self::some(part, self.agents.len()) {
                    // Some dozens of agents.
                    self.events.put(self.now + gap * n as u32, Event::Leaves(n));
                }
            }
            Change::Crash(part, _) => {
                for n in 0..Self::some(part, self.agents.len()) {
                    self.agents[n].target.crash();
                    self.events.put(ends, Event::StartTarget(n));
                }
            }
            Change::Slow(part, x, _) => self.slow(part, x),
            Change::StoreDown(_) => self.see(false, self.now),
            Change::Burst(x, _) => self.burst = x,
            Change::Loss(part, _) => self.loss = part,
        }
        if change.lasts() > Duration::ZERO {
            self.events.put(ends, Event::Ended(change));
        }
    }

    fn ended(&mut self, change: Change) {
        match change {
            Change::Slow(part, _, _) => self.slow(part, 1.0),
            Change::StoreDown(_) => self.see(true, self.now),
            Change::Burst(..) => self.burst = 1.0,
            Change::Loss(..) => self.loss = 0.0,
            _ => {}
        }
    }

    fn slow(&mut self, part: f64, x: f64) {
        for n in 0..Self::some(part, self.agents.len()) {
            self.agents[n].target.slow = x;
        }
    }

    fn see(&mut self, answers: bool, now: Instant) {
        self.store = answers;
        for b in &mut self.balancers {
            b.steering.set_store_reachable(answers, now);
        }
    }

    fn power_off(&mut self, back: Instant) {
        for n in 0..self.balancers.len() {
            self.balancers[n].host.stop();
            let at = back + SCATTER.mul_f64(self.rng.random());
            self.events.put(at, Event::StartBalancer(n));
        }
        for n in 0..self.agents.len() {
            self.agents[n].host.stop();
            self.agents[n].target.crash();
            let at = back + SCATTER.mul_f64(self.rng.random());
            self.events.put(at, Event::StartTarget(n));
            let at = back + SCATTER.mul_f64(self.rng.random());
            self.events.put(at, Event::StartAgent(n));
        }
    }

    /// A planned stop: the balancer says that it is not ready and lingers; the
    /// second time its process ends.
    fn stopped(&mut self, n: usize, boot: u64) {
        let b = &mut self.balancers[n];
        if b.host.boot != boot {
            return;
        }
        if b.steering.is_ready() {
            b.steering.begin_shutdown();
            self.events.put(self.now + LINGER, Event::Stopped(n, boot));
        } else {
            b.host.stop();
            self.events.put(self.now + RESTART, Event::StartBalancer(n));
        }
    }

    /// A planned stop of an agent.
    fn agent_stops(&mut self, n: usize) {
        let a = &mut self.agents[n];
        if !a.host.up {
            return;
        }
        a.tracker.stop_accepting();
        let boot = a.host.boot;
        self.events.put(self.now + FINISH, Event::AgentEnds(n, boot));
    }

    fn agent_ends(&mut self, n: usize, boot: u64) {
        let a = &mut self.agents[n];
        if a.host.boot != boot {
            return;
        }
        let mut out = Wires::default();
        a.tracker.send_owner_hints(agent_addr(n), &mut out);
        self.agent_sends(n, out, self.now);
        self.agents[n].host.stop();
        self.events.put(self.now + RESTART, Event::StartAgent(n));
    }

    /// A target says goodbye and ends, its agent takes its entry out of the store,
    /// stays until balancers know, and the VM goes.
    fn leaves(&mut self, n: usize) {
        let mut out = Wires::default();
        let a = &mut self.agents[n];
        a.left = true;
        a.target.crash();
        a.tracker.mark_target_ended(&mut out);
        self.agent_sends(n, out, self.now);
        self.events.put(self.now + STAY, Event::Left(n));
        self.read_soon();
    }

    /// An agent's entry in the store changed.
    fn read_soon(&mut self) {
        for b in 0..self.balancers.len() {
            let boot = self.balancers[b].host.boot;
            self.events.put(self.now + LISTED, Event::Read(b, boot));
        }
    }
}
