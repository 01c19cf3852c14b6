//! Callers' timers and received packets: opening flows, sending requests, retries.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use rand::Rng;

use super::caller::{
    Answer, Caller, CallerState, MAX_RETRIES, OPEN_TIMEOUT, RETRY_DELAY, SYN_RETRANSMITS,
};
use super::simulation::{CallerAction, Event, Simulation, vip};
use super::site::Workload;
use super::stats::Outcome;
use crate::flow::Flow;
use crate::platform::packet;

impl Simulation {
    /// A caller with an unused address, whose request began at `request_start`.
    pub(super) fn new_caller(&mut self, class: usize, zone: u8, request_start: Instant) -> Caller {
        let n = self.callers_created;
        self.callers_created += 1;
        let ip = Ipv4Addr::new(100, 64, zone, (n >> 15 & 0xff) as u8);
        // At most 33,791.
        let port = 1_024 + (n & 0x7fff) as u16;
        let flow = Flow { caller: SocketAddrV4::new(ip, port), vip: vip(class) };
        Caller::new(class, zone, flow, request_start)
    }

    /// Starts a request of an open-loop class and schedules the next one.
    pub(super) fn next_arrival(&mut self, class: usize) {
        let workload = self.site.classes[class].workload;
        let Some(rate) = workload.peak_rate() else { return };
        if self.now >= self.start + self.site.load_duration {
            return;
        }
        let zone = self.rng.random_range(0..self.site.zones);
        // Arrivals at the peak rate are thinned out to the rate of the moment.
        let height = workload.wave_height(zone, self.now.duration_since(self.start));
        if height.is_none_or(|share| self.rng.random_bool(share)) {
            let caller = self.new_caller(class, zone, self.now);
            self.open_flow(caller);
        }
        let gap: f64 = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        let at = self.now + Duration::from_secs_f64(gap / (rate * self.load_factor));
        self.events.push(at, Event::Arrival(class));
    }

    fn open_flow(&mut self, mut caller: Caller) {
        self.stats.flows += 1;
        caller.generation += 1;
        caller.state = CallerState::Opening(0);
        let (addr, generation, zone) = (caller.flow.caller, caller.generation, caller.zone);
        let syn = caller.syn(0);
        let deadline = caller.request_start + self.site.classes[caller.class].timeout;
        self.callers.insert(addr, caller);
        self.send_to_balancer(zone, &syn, 0);
        for (n, delay) in (1..).zip(SYN_RETRANSMITS) {
            self.events.push(
                self.now + delay,
                Event::CallerTimer(addr, generation, CallerAction::RepeatSyn(n)),
            );
        }
        let at = (self.now + OPEN_TIMEOUT).min(deadline.max(self.now));
        self.events.push(at, Event::CallerTimer(addr, generation, CallerAction::OpenTimeout));
    }

    pub(super) fn run_caller_step(
        &mut self,
        addr: SocketAddrV4,
        generation: u32,
        step: CallerAction,
    ) {
        let Some(c) = self.callers.get_mut(&addr).filter(|c| c.generation == generation) else {
            return;
        };
        match step {
            CallerAction::RepeatSyn(n) if matches!(c.state, CallerState::Opening(_)) => {
                c.state = CallerState::Opening(n);
                let (zone, syn) = (c.zone, c.syn(n));
                self.send_to_balancer(zone, &syn, 0);
            }
            CallerAction::OpenTimeout if matches!(c.state, CallerState::Opening(_)) => {
                self.retry_or_give_up(addr, true)
            }
            CallerAction::Retransmit => self.retransmit_request(addr),
            CallerAction::RequestTimeout => self.finish_request(addr, Outcome::Lost),
            CallerAction::NextRequest => self.next_request(addr),
            CallerAction::OpenFlow => {
                if let Some(c) = self.callers.remove(&addr) {
                    self.open_flow(c);
                }
            }
            CallerAction::RepeatSyn(_) | CallerAction::OpenTimeout => {}
        }
    }

    fn retransmit_request(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        if c.state != CallerState::Waiting || c.sender.all_acked() {
            return;
        }
        let rto = c.sender.rto();
        let delay = if c.sender.acked_since(self.now - rto) { rto } else { c.sender.retransmit() };
        let generation = c.generation;
        self.events
            .push(self.now + delay, Event::CallerTimer(addr, generation, CallerAction::Retransmit));
        self.send_request_packets(addr);
    }

    /// Sends the packets of a request that the send window allows.
    fn send_request_packets(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let zone = c.zone;
        let mut out = Vec::new();
        c.ready_packets(&mut out);
        for (seg, len) in out {
            self.send_to_balancer(zone, &seg, len);
        }
    }

    fn next_request(&mut self, addr: SocketAddrV4) {
        let load_ended = self.now >= self.start + self.site.load_duration;
        let Some(c) = self.callers.get_mut(&addr) else { return };
        if load_ended {
            let (zone, fin) = (c.zone, c.fin());
            self.send_to_balancer(zone, &fin, 0);
            self.callers.remove(&addr);
            return;
        }
        c.request_start = self.now;
        c.retries = 0;
        self.start_request(addr);
    }

    fn start_request(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        c.start_request(class.request_bytes, class.response_bytes);
        let (generation, deadline) =
            (c.generation, (c.request_start + class.timeout).max(self.now));
        let retransmit_at = self.now + c.sender.rto();
        self.events
            .push(retransmit_at, Event::CallerTimer(addr, generation, CallerAction::Retransmit));
        self.events
            .push(deadline, Event::CallerTimer(addr, generation, CallerAction::RequestTimeout));
        self.send_request_packets(addr);
    }

    pub(super) fn deliver_to_caller(&mut self, bytes: &[u8]) {
        let Ok(seg) = packet::decode(bytes) else { return };
        let Some(c) = self.callers.get_mut(&seg.dst) else { return };
        if c.flow.vip != seg.src {
            return;
        }
        let (addr, zone) = (seg.dst, c.zone);
        if seg.flags.rst {
            if !c.accepts_reset(seg.seq) {
                return;
            }
            let opening = matches!(c.state, CallerState::Opening(_));
            let (state, flow) = (c.state, c.flow);
            if !opening && self.agents.iter().any(|a| a.has_open_flow(flow)) {
                self.stats.broken += 1;
            }
            match state {
                CallerState::Idle => {
                    // The next request needs a new flow.
                    self.reopen(addr);
                }
                _ => self.retry_or_give_up(addr, opening),
            }
            return;
        }
        if seg.flags.syn {
            if matches!(c.state, CallerState::Opening(_)) {
                c.receive_syn_ack(seg.seq);
                let ack = c.ack();
                self.send_to_balancer(zone, &ack, 0);
                self.start_request(addr);
            }
            return;
        }
        let window_opened = c.sender.acknowledge(seg.ack, self.now);
        let waiting = c.state == CallerState::Waiting;
        if window_opened && waiting {
            self.send_request_packets(addr);
        }
        if seg.len == 0 || !waiting {
            return;
        }
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let ack_now = c.receive(seg.seq, seg.len.into());
        let (remaining, ack) = (c.remaining, c.ack());
        if ack_now {
            self.send_to_balancer(zone, &ack, 0);
        }
        if remaining == 0 {
            self.finish_response(addr);
        }
    }

    fn finish_response(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get(&addr) else { return };
        if c.answer != Answer::Result {
            // A shed request was not executed, so it can be retried like an unopened flow.
            self.retry_or_give_up(addr, c.answer == Answer::Shed);
            return;
        }
        let goal = self.site.classes[c.class].latency_goal;
        let outcome = if self.now.duration_since(c.request_start) <= goal {
            Outcome::Served
        } else {
            Outcome::Late
        };
        self.finish_request(addr, outcome);
    }

    /// Handles a failed attempt; `opening` if its flow was never established, so
    /// that the request was not executed and any class may retry.
    fn retry_or_give_up(&mut self, addr: SocketAddrV4, opening: bool) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        let is_safe = opening || class.idempotent;
        let in_time = self.now + RETRY_DELAY < c.request_start + class.timeout;
        if !is_safe || c.retries >= MAX_RETRIES || !in_time {
            let outcome = if opening { Outcome::Refused } else { Outcome::Lost };
            self.finish_request(addr, outcome);
            return;
        }
        c.retries += 1;
        self.reopen_after(addr, RETRY_DELAY);
    }

    /// Records the outcome of the current request. Closed-loop users continue
    /// after their think time.
    fn finish_request(&mut self, addr: SocketAddrV4, outcome: Outcome) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        let began = c.request_start.duration_since(self.start);
        self.stats.record_request(
            c.class,
            began,
            self.now.duration_since(c.request_start),
            outcome,
        );
        c.generation += 1;
        c.state = CallerState::Idle;
        let answered = matches!(outcome, Outcome::Served | Outcome::Late);
        let (generation, zone, fin) = (c.generation, c.zone, c.fin());
        match class.workload {
            Workload::ClosedLoop { think_time, .. } => {
                let delay = think_time.mul_f64(self.rng.random_range(0.5..1.5));
                if answered {
                    self.events.push(
                        self.now + delay,
                        Event::CallerTimer(addr, generation, CallerAction::NextRequest),
                    );
                } else {
                    self.reopen_after(addr, delay);
                }
            }
            Workload::OpenLoop { .. } | Workload::Wave { .. } => {
                // A flow that was never open has nothing to close.
                if outcome != Outcome::Refused {
                    self.send_to_balancer(zone, &fin, 0);
                }
                self.callers.remove(&addr);
            }
        }
    }

    /// Opens a new flow for the next request of an idle caller.
    fn reopen(&mut self, addr: SocketAddrV4) {
        let delay = match self.callers.get(&addr).map(|c| self.site.classes[c.class].workload) {
            Some(Workload::ClosedLoop { think_time, .. }) => {
                think_time.mul_f64(self.rng.random_range(0.5..1.5))
            }
            _ => RETRY_DELAY,
        };
        self.reopen_after(addr, delay);
    }

    /// Replaces the caller's flow by a new one, opened after `delay`: for the
    /// current request or, if that has ended, for the next one.
    fn reopen_after(&mut self, addr: SocketAddrV4, delay: Duration) {
        let Some(old) = self.callers.remove(&addr) else { return };
        let at = self.now + delay;
        let request_start = if old.state == CallerState::Idle { at } else { old.request_start };
        if request_start >= self.start + self.site.load_duration && old.state == CallerState::Idle {
            return;
        }
        let mut next = self.new_caller(old.class, old.zone, request_start);
        next.generation = old.generation + 1;
        next.retries = if old.state == CallerState::Idle { 0 } else { old.retries };
        let (addr, generation) = (next.flow.caller, next.generation);
        self.callers.insert(addr, next);
        self.events.push(at, Event::CallerTimer(addr, generation, CallerAction::OpenFlow));
    }
}
