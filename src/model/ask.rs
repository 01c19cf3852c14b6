//! What callers do during a run: they open flows, ask, and try again.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use rand::Rng;

use super::caller::{COPIES, Caller, OPEN_LIMIT, RETRIES, RETRY_PAUSE, Stage};
use super::site::Behavior;
use super::stats::End;
use super::world::{Event, Step, World, vip};
use crate::flow::Flow;
use crate::platform::packet;

impl World {
    pub(super) fn caller(&mut self, class: usize, zone: u8, since: Instant) -> Caller {
        let n = self.next_port;
        self.next_port += 1;
        let ip = Ipv4Addr::new(100, 64, zone, (n >> 15 & 0xff) as u8);
        // Below the highest port.
        let port = 1_024 + (n & 0x7fff) as u16;
        let flow = Flow { caller: SocketAddrV4::new(ip, port), vip: vip(class) };
        Caller::new(class, zone, flow, since)
    }

    pub(super) fn fresh(&mut self, class: usize) {
        let Behavior::Fresh { rate } = self.site.classes[class].behavior else { return };
        if self.now >= self.start + self.site.length {
            return;
        }
        let zone = self.rng.random_range(0..self.site.zones);
        let caller = self.caller(class, zone, self.now);
        self.open(caller);
        let gap: f64 = -self.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        let at = self.now + Duration::from_secs_f64(gap / (rate * self.burst));
        self.events.put(at, Event::Fresh(class));
    }

    fn open(&mut self, mut caller: Caller) {
        self.stats.flows += 1;
        caller.turn += 1;
        caller.stage = Stage::Opening(0);
        let (addr, turn, zone) = (caller.flow.caller, caller.turn, caller.zone);
        let syn = caller.open(0);
        let limit = caller.since + self.site.classes[caller.class].limit;
        self.callers.insert(addr, caller);
        self.send(zone, &syn, 0);
        for (n, pause) in (1..).zip(COPIES) {
            self.events.put(self.now + pause, Event::Caller(addr, turn, Step::Copy(n)));
        }
        let at = (self.now + OPEN_LIMIT).min(limit.max(self.now));
        self.events.put(at, Event::Caller(addr, turn, Step::GiveUp));
    }

    pub(super) fn step(&mut self, addr: SocketAddrV4, turn: u32, step: Step) {
        let Some(c) = self.callers.get_mut(&addr).filter(|c| c.turn == turn) else { return };
        match step {
            Step::Copy(n) if matches!(c.stage, Stage::Opening(_)) => {
                c.stage = Stage::Opening(n);
                let (zone, syn) = (c.zone, c.open(n));
                self.send(zone, &syn, 0);
            }
            Step::GiveUp if matches!(c.stage, Stage::Opening(_)) => self.failed(addr, true),
            Step::Resend => self.ask_again(addr),
            Step::Limit => self.finish(addr, End::Lost),
            Step::Ask => self.ask_next(addr),
            Step::Again => {
                if let Some(c) = self.callers.remove(&addr) {
                    self.open(c);
                }
            }
            Step::Copy(_) | Step::GiveUp => {}
        }
    }

    fn ask_again(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        if c.stage != Stage::Asking || c.sending.done() {
            return;
        }
        let waited = c.sending.pause();
        let pause =
            if c.sending.heard_since(self.now - waited) { waited } else { c.sending.again() };
        let turn = c.turn;
        self.events.put(self.now + pause, Event::Caller(addr, turn, Step::Resend));
        self.push_request(addr);
    }

    /// Sends what the window of a request has room for.
    fn push_request(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let zone = c.zone;
        let mut out = Vec::new();
        c.packets(&mut out);
        for (seg, len) in out {
            self.send(zone, &seg, len);
        }
    }

    fn ask_next(&mut self, addr: SocketAddrV4) {
        let over = self.now >= self.start + self.site.length;
        let Some(c) = self.callers.get_mut(&addr) else { return };
        if over {
            let (zone, fin) = (c.zone, c.finish());
            self.send(zone, &fin, 0);
            self.callers.remove(&addr);
            return;
        }
        c.since = self.now;
        c.tries = 0;
        self.ask(addr);
    }

    fn ask(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        c.ask(class.request, class.answer);
        let (turn, limit) = (c.turn, (c.since + class.limit).max(self.now));
        let resend = self.now + c.sending.pause();
        self.events.put(resend, Event::Caller(addr, turn, Step::Resend));
        self.events.put(limit, Event::Caller(addr, turn, Step::Limit));
        self.push_request(addr);
    }

    pub(super) fn at_caller(&mut self, bytes: &[u8]) {
        let Ok(seg) = packet::decode(bytes) else { return };
        let Some(c) = self.callers.get_mut(&seg.dst) else { return };
        if c.flow.vip != seg.src {
            return;
        }
        let (addr, zone) = (seg.dst, c.zone);
        if seg.flags.rst {
            if !c.takes_reset(seg.seq) {
                return;
            }
            let opening = matches!(c.stage, Stage::Opening(_));
            let (stage, flow) = (c.stage, c.flow);
            if !opening && self.agents.iter().any(|a| a.holds(flow)) {
                self.stats.broken += 1;
            }
            match stage {
                Stage::Resting => {
                    // Opens a new flow for its next request.
                    self.renew(addr);
                }
                _ => self.failed(addr, opening),
            }
            return;
        }
        if seg.flags.syn {
            if matches!(c.stage, Stage::Opening(_)) {
                c.opened(seg.seq);
                let ack = c.acknowledgement();
                self.send(zone, &ack, 0);
                self.ask(addr);
            }
            return;
        }
        let room = c.sending.acknowledge(seg.ack, self.now);
        let asking = c.stage == Stage::Asking;
        if room && asking {
            self.push_request(addr);
        }
        if seg.len == 0 || !asking {
            return;
        }
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let tell = c.data(seg.seq, seg.len.into());
        let (missing, ack) = (c.missing, c.acknowledgement());
        if tell {
            self.send(zone, &ack, 0);
        }
        if missing == 0 {
            self.answered(addr);
        }
    }

    fn answered(&mut self, addr: SocketAddrV4) {
        let Some(c) = self.callers.get(&addr) else { return };
        if c.shed {
            // As good as a flow that never opened: nothing ran.
            self.failed(addr, true);
            return;
        }
        let aim = self.site.classes[c.class].aim;
        let end = if self.now.duration_since(c.since) <= aim { End::Served } else { End::Late };
        self.finish(addr, end);
    }

    /// A try failed; `opening` if its flow never opened, so that nothing ran.
    fn failed(&mut self, addr: SocketAddrV4, opening: bool) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        let may = opening || class.idempotent;
        let in_time = self.now + RETRY_PAUSE < c.since + class.limit;
        if !may || c.tries >= RETRIES || !in_time {
            let end = if opening { End::Refused } else { End::Lost };
            self.finish(addr, end);
            return;
        }
        c.tries += 1;
        self.renew_after(addr, RETRY_PAUSE);
    }

    /// Ends the present request; users of feeds go on.
    fn finish(&mut self, addr: SocketAddrV4, end: End) {
        let Some(c) = self.callers.get_mut(&addr) else { return };
        let class = &self.site.classes[c.class];
        let from = c.since.duration_since(self.start);
        self.stats.end(c.class, from, self.now.duration_since(c.since), end);
        c.turn += 1;
        c.stage = Stage::Resting;
        let answered = matches!(end, End::Served | End::Late);
        let (turn, zone, fin) = (c.turn, c.zone, c.finish());
        match class.behavior {
            Behavior::Feed { pause, .. } => {
                let at = pause.mul_f64(self.rng.random_range(0.5..1.5));
                if answered {
                    self.events.put(self.now + at, Event::Caller(addr, turn, Step::Ask));
                } else {
                    self.renew_after(addr, at);
                }
            }
            Behavior::Fresh { .. } => {
                self.send(zone, &fin, 0);
                self.callers.remove(&addr);
            }
        }
    }

    fn renew(&mut self, addr: SocketAddrV4) {
        let pause = match self.callers.get(&addr).map(|c| self.site.classes[c.class].behavior) {
            Some(Behavior::Feed { pause, .. }) => pause.mul_f64(self.rng.random_range(0.5..1.5)),
            _ => RETRY_PAUSE,
        };
        self.renew_after(addr, pause);
    }

    /// Gives the caller a new flow, which it opens after a pause. A request that
    /// has ended begins anew then.
    fn renew_after(&mut self, addr: SocketAddrV4, pause: Duration) {
        let Some(old) = self.callers.remove(&addr) else { return };
        let at = self.now + pause;
        let since = if old.stage == Stage::Resting { at } else { old.since };
        if since >= self.start + self.site.length && old.stage == Stage::Resting {
            return;
        }
        let mut next = self.caller(old.class, old.zone, since);
        next.turn = old.turn + 1;
        next.tries = if old.stage == Stage::Resting { 0 } else { old.tries };
        let (addr, turn) = (next.flow.caller, next.turn);
        self.callers.insert(addr, next);
        self.events.put(at, Event::Caller(addr, turn, Step::Again));
    }
}
