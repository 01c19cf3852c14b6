//! What callers do during a run: they open flows, ask, and try again.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use rand::Rng;

use super::caller::{Caller, CallerState, MAX_RETRIES, OPEN_TIMEOUT, RETRY_DELAY, SYN_REPEATS};
use super::simulation::{Event, Simulation, Step, vip};
use super::site::Workload;
use super::stats::Outcome;
use crate::flow::Flow;
use crate::platform::packet;

impl Simulation {
    pub(super) fn new_caller(&mut self, class: usize, zone: u8, since: Instant) -> Caller {
        let n = self.callers_created;
        self.callers_created += 1;
        let ip = Ipv4Addr::new(100, 64, zone, (n >> 15 & 0xff) as u8);
        // Below the highest port.
        let port = 1_024 + (n & 0x7fff) as u16;
        let flow = Flow { caller: SocketAddrV4::new(ip, port), vip: vip(class) };
        Caller::new(class, zone, flow, since)
    }

    pub(super) fn next_arrival(&mut self, class: usize) {
        let Workload::OpenLoop { rate } = self.site.classes[class].workload else { return };
        if self.now >= self.start + self.site.load_duration {
            return;
        }
        let zone = self.rng.random_range(0..self.site.zones);
        let caller = self.new_caller(class, zone, self.now);
        self.open_flow(caller);
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
        let limit = caller.request_start + self.site.classes[caller.class].timeout;
        self.callers.insert(addr, caller);
        self.send_to_balancer(zone, &syn, 0);
        for (n, pause) in (1..).zip(SYN_REPEATS) {
            self.events
                .push(self.now + pause, Event::CallerStep(addr, generation, Step::RepeatSyn(n)));
        }
        let at = (self.now + OPEN_TIMEOUT).min(limit.max(self.now));
        self.events.push(at, Event::CallerStep(addr, generation, Step::OpenTimeout));
    }

    pub(super) fn run_caller_step(&mut self, addr: SocketAddrV4, generation: u32, step: Step) {
        let Some(c) = self.callers.get_mut(&addr).filter(|c| c.generation == generation) else {
            return;
        };
        match step {
            Step::RepeatSyn(n) if matches!(c.state, CallerState::Opening(_)) => {
                c.state = CallerState::Opening(n);
                let (zone, syn) = (c.zone, c.syn(n));
                self.send_to_balancer(zone, &syn, 0);
            }
            Step::OpenTimeout if matches!(c.state, CallerState::Opening(_)) => {
                self.retry_or_give_up(addr, true)
            }
            Step::Retransmit => self.retransmit_request(addr),
            Step::RequestTimeout => self.finish_request(addr, Outcome::Lost),
            Step::NextRequest => self.next_request(addr),
            Step::OpenFlow => {
                if let Some(c) = self.callers.remove(&addr) {
                    self.open_flow(c);
                }
            }
            Step::RepeatSyn(_) | Step::OpenTimeout => {}
        }
    }

    fn retransmit_request(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        if c.state != CallerState::Waiting || c.sender.all_acked() {
            return;
        }
        let waited = c.sender.rto();
        let pause =
            if c.sender.acked_since(self.now - waited) { waited } else { c.sender.retransmit() };
        let generation = c.generation;
        self.events.push(self.now + pause, Event::CallerStep(addr, generation, Step::Retransmit));
        self.send_request_packets(addr);
    }

    /// Sends what the window of a request has room for.
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
        let over = self.now >= self.start + self.site.load_duration;
        let Some(c) = self.callers.get_mut(&addr) else { return };
        if over {
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
        let (generation, limit) = (c.generation, (c.request_start + class.timeout).max(self.now));
        let resend = self.now + c.sender.rto();
        self.events.push(resend, Event::CallerStep(addr, generation, Step::Retransmit));
        self.events.push(limit, Event::CallerStep(addr, generation, Step::RequestTimeout));
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
            let (stage, flow) = (c.state, c.flow);
            if !opening && self.agents.iter().any(|a| a.has_open_flow(flow)) {
                self.stats.broken += 1;
            }
            match stage {
                CallerState::Idle => {
                    // Opens a new flow for its next request.
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
        let room = c.sender.acknowledge(seg.ack, self.now);
        let asking = c.state == CallerState::Waiting;
        if room && asking {
            self.send_request_packets(addr);
        }
        if seg.len == 0 || !asking {
            return;
        }
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let tell = c.receive(seg.seq, seg.len.into());
        let (missing, ack) = (c.remaining, c.ack());
        if tell {
            self.send_to_balancer(zone, &ack, 0);
        }
        if missing == 0 {
            self.finish_response(addr);
        }
    }

    fn finish_response(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get(&addr) else { return };
        if c.shed {
            // As good as a flow that never opened: nothing ran.
            self.retry_or_give_up(addr, true);
            return;
        }
        let aim = self.site.classes[c.class].latency_goal;
        let end = if self.now.duration_since(c.request_start) <= aim {
            Outcome::Served
        } else {
            Outcome::Late
        };
        self.finish_request(addr, end);
    }

    /// A try failed; `opening` if its flow never opened, so that nothing ran.
    fn retry_or_give_up(&mut self, addr: SocketAddrV4, opening: bool) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        let may = opening || class.idempotent;
        let in_time = self.now + RETRY_DELAY < c.request_start + class.timeout;
        if !may || c.retries >= MAX_RETRIES || !in_time {
            let end = if opening { Outcome::Refused } else { Outcome::Lost };
            self.finish_request(addr, end);
            return;
        }
        c.retries += 1;
        self.reopen_after(addr, RETRY_DELAY);
    }

    /// Ends the present request; users of feeds go on.
    fn finish_request(&mut self, addr: SocketAddrV4, end: Outcome) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        let from = c.request_start.duration_since(self.start);
        self.stats.record_request(c.class, from, self.now.duration_since(c.request_start), end);
        c.generation += 1;
        c.state = CallerState::Idle;
        let answered = matches!(end, Outcome::Served | Outcome::Late);
        let (generation, zone, fin) = (c.generation, c.zone, c.fin());
        match class.workload {
            Workload::ClosedLoop { think_time: pause, .. } => {
                let at = pause.mul_f64(self.rng.random_range(0.5..1.5));
                if answered {
                    self.events.push(
                        self.now + at,
                        Event::CallerStep(addr, generation, Step::NextRequest),
                    );
                } else {
                    self.reopen_after(addr, at);
                }
            }
            Workload::OpenLoop { .. } => {
                self.send_to_balancer(zone, &fin, 0);
                self.callers.remove(&addr);
            }
        }
    }

    fn reopen(&mut self, addr: SocketAddrV4) {
        let pause = match self.callers.get(&addr).map(|c| self.site.classes[c.class].workload) {
            Some(Workload::ClosedLoop { think_time: pause, .. }) => {
                pause.mul_f64(self.rng.random_range(0.5..1.5))
            }
            _ => RETRY_DELAY,
        };
        self.reopen_after(addr, pause);
    }

    /// Gives the caller a new flow, which it opens after a pause. A request that
    /// has ended begins anew then.
    fn reopen_after(&mut self, addr: SocketAddrV4, pause: Duration) {
        let Some(old) = self.callers.remove(&addr) else { return };
        let at = self.now + pause;
        let since = if old.state == CallerState::Idle { at } else { old.request_start };
        if since >= self.start + self.site.load_duration && old.state == CallerState::Idle {
            return;
        }
        let mut next = self.new_caller(old.class, old.zone, since);
        next.generation = old.generation + 1;
        next.retries = if old.state == CallerState::Idle { 0 } else { old.retries };
        let (addr, generation) = (next.flow.caller, next.generation);
        self.callers.insert(addr, next);
        self.events.push(at, Event::CallerStep(addr, generation, Step::OpenFlow));
    }
}
