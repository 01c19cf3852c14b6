//! What targets do during a run: they open flows, run requests and answer.

use std::time::Duration;

use rand::Rng;

use super::target::{Admitted, Effect, SHED, Timer};
use super::world::{Event, LOCAL, Misrouted, World, class_of};
use crate::flow::{Flow, Segment};
use crate::platform::packet;

/// How long a target takes to agree to an open.
const HANDSHAKE: Duration = Duration::from_micros(300);

/// Packets of one flow at targets that do not hold it, from which on it counts
/// as misrouted, if it has not been at its own for [`MISROUTED_FOR`].
const MISROUTED: u32 = 3;

/// How long none of its packets came to its own target: what the platform's site
/// files say. Targets that are tried at the same moment as the flow's own, of
/// which some are a millisecond earlier, are no misroute.
const MISROUTED_FOR: Duration = Duration::from_millis(2_000);

impl World {
    pub(super) fn at_target(&mut self, n: usize, bytes: &[u8]) {
        let Ok(seg) = packet::decode(bytes) else { return };
        let flow = seg.flow_from_caller();
        let request = self.site.classes[class_of(flow)].request;
        let mut out = Vec::new();
        let effect = self.agents[n].target.packet(&seg, request, self.now, &mut out);
        if effect == Effect::Back {
            self.stray(&seg);
            let mut back = bytes.to_vec();
            packet::set_bounced(&mut back);
            self.events.put(self.now + LOCAL, Event::FromTarget(n, back));
            return;
        }
        self.misrouted.remove(&flow);
        let after = if seg.opens_flow() { HANDSHAKE } else { LOCAL };
        for seg in out {
            let bytes = packet::encode(&seg, &[]);
            self.events.put(self.now + after, Event::FromTarget(n, bytes));
        }
        match effect {
            Effect::Request => self.request(n, flow),
            Effect::Room => self.push_answer(n, flow),
            Effect::Back | Effect::Noted => {}
        }
    }

    fn stray(&mut self, seg: &Segment) {
        if seg.opens_flow() {
            return;
        }
        let flow = seg.flow_from_caller();
        if self.agents.iter().any(|a| a.holds(flow)) {
            let now = self.now;
            let misrouted = self.misrouted.entry(flow).or_insert(Misrouted {
                first: now,
                count: 0,
                told: false,
            });
            misrouted.count += 1;
            let long = now.duration_since(misrouted.first) >= MISROUTED_FOR;
            if misrouted.count >= MISROUTED && long {
                self.stats.misrouted += u32::from(!misrouted.told);
                misrouted.told = true;
            }
        }
    }

    fn request(&mut self, n: usize, flow: Flow) {
        match self.agents[n].target.admit(flow) {
            Admitted::Runs => self.run_request(n, flow),
            Admitted::Waits => {}
            Admitted::Shed => {
                if let Some(c) = self.callers.get_mut(&flow.caller) {
                    c.missing = SHED;
                    c.shed = true;
                }
                self.put_answer(n, flow, SHED);
            }
        }
    }

    fn run_request(&mut self, n: usize, flow: Flow) {
        let class = &self.site.classes[class_of(flow)];
        if !class.idempotent {
            let runs = self.runs.entry(flow.caller).or_default();
            *runs += 1;
            self.stats.doubled += u32::from(*runs == 2);
        }
        let x = self.rng.random_range(0.5..1.5);
        let a = &self.agents[n];
        let took = a.target.work(class.work, x, self.now);
        let answer = a.target.flows.get(&flow).map_or(0, |s| s.answers);
        let timer = Timer { flow, boot: a.target.boot, answer, since: self.now };
        self.events.put(self.now + took, Event::Done(n, timer));
    }

    pub(super) fn done(&mut self, n: usize, timer: Timer) {
        let target = &mut self.agents[n].target;
        if !target.up || target.boot != timer.boot {
            return;
        }
        let next = target.release();
        self.put_answer(n, timer.flow, self.site.classes[class_of(timer.flow)].answer);
        if let Some(flow) = next {
            self.run_request(n, flow);
        }
    }

    fn put_answer(&mut self, n: usize, flow: Flow, len: u32) {
        let request = self.site.classes[class_of(flow)].request;
        if self.agents[n].target.answer(flow, len, request).is_some() {
            self.push_answer(n, flow);
        }
    }

    /// Sends what the window of an answer has room for.
    fn push_answer(&mut self, n: usize, flow: Flow) {
        let a = &mut self.agents[n];
        let boot = a.target.boot;
        let Some(s) = a.target.flows.get_mut(&flow) else { return };
        let mut out = Vec::new();
        s.packets(flow, &mut out);
        let Some(sending) = s.sending.filter(|s| !s.done()) else { return };
        let timer = Timer { flow, boot, answer: s.answers, since: self.now };
        self.events.put(self.now + sending.pause(), Event::Resend(n, timer));
        self.put_packets(n, out);
    }

    fn put_packets(&mut self, n: usize, out: Vec<(Segment, u32)>) {
        for (seg, len) in out {
            let bytes = packet::encode(&seg, &vec![0; len as usize]);
            self.events.put(self.now + LOCAL, Event::FromTarget(n, bytes));
        }
    }

    pub(super) fn resend(&mut self, n: usize, timer: Timer) {
        let target = &mut self.agents[n].target;
        if !target.up || target.boot != timer.boot {
            return;
        }
        let Some(s) = target.flows.get_mut(&timer.flow).filter(|s| s.answers == timer.answer)
        else {
            return;
        };
        let Some(sending) = &mut s.sending else { return };
        if sending.done() || sending.heard_since(timer.since) {
            return;
        }
        let pause = sending.again();
        let mut out = Vec::new();
        s.packets(timer.flow, &mut out);
        let again = Timer { since: self.now, ..timer };
        self.events.put(self.now + pause, Event::Resend(n, again));
        self.put_packets(n, out);
    }
}
