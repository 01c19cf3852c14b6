//! Targets' timers and received packets: executing requests and sending responses.

use std::time::Duration;

use rand::Rng;

use super::caller::Answer;
use super::pattern::FailureMode;
use super::simulation::{
    Agent, EVACUATED_ZONE, EVACUATION_BOUND, Event, LOCAL_DELAY, Misrouted, Simulation, class_of,
};
use super::target::{Admission, PacketResult, SHED_RESPONSE_BYTES, Timer};
use crate::flow::{Flow, Segment};
use crate::platform::packet;

/// Delay from a SYN to its SYN-ACK at a target.
const HANDSHAKE_TIME: Duration = Duration::from_micros(300);

/// Time from the crash of an overloaded target until it starts again.
const CRASH_TIME: Duration = Duration::from_secs(1);

/// Packets of a flow that must reach other targets before it counts as misrouted.
const MISROUTED_PACKETS: u32 = 3;

/// How long none of a flow's packets must reach its own target before it counts as
/// misrouted. Longer than a search that tries several targets at once.
const MISROUTED_TIME: Duration = Duration::from_millis(2_000);

impl Simulation {
    pub(super) fn deliver_to_target(&mut self, n: usize, bytes: &[u8]) {
        let Ok(seg) = packet::decode(bytes) else { return };
        let flow = seg.flow_from_caller();
        let request_len = self.site.classes[class_of(flow)].request_bytes;
        let mut out = Vec::new();
        if seg.opens_flow() {
            self.check_evacuation(n);
            self.check_open_limit(n, flow);
            self.check_second_open(n, flow);
        }
        let result = self.agents[n].target.receive(&seg, request_len, self.now, &mut out);
        if result == PacketResult::Bounced {
            self.count_misrouted(&seg);
            let mut bounced = bytes.to_vec();
            packet::set_bounced(&mut bounced);
            self.events.push(self.now + LOCAL_DELAY, Event::FromTarget(n, bounced));
            return;
        }
        self.misrouted.remove(&flow);
        let delay = if seg.opens_flow() { HANDSHAKE_TIME } else { LOCAL_DELAY };
        for seg in out {
            let bytes = packet::encode(&seg, &[]);
            self.events.push(self.now + delay, Event::FromTarget(n, bytes));
        }
        match result {
            PacketResult::RequestComplete => self.admit_request(n, flow),
            PacketResult::WindowOpened => self.send_response_packets(n, flow),
            PacketResult::Bounced | PacketResult::Accepted => {}
        }
    }

    /// Counts a new flow at a target of an evacuated data centre.
    fn check_evacuation(&mut self, n: usize) {
        let over_bound =
            self.evacuated_at.is_some_and(|at| self.now.duration_since(at) > EVACUATION_BOUND);
        if over_bound && self.agents[n].zone == EVACUATED_ZONE {
            self.stats.in_evacuated += 1;
        }
    }

    /// Counts a new flow beyond what a cold target may get.
    fn check_open_limit(&mut self, n: usize, flow: Flow) {
        let target = &mut self.agents[n].target;
        let is_new = target.up && !target.flows.contains_key(&flow);
        self.stats.over_cold_limit += u32::from(is_new && target.exceeds_open_limit(self.now));
    }

    /// Counts a new flow that another target holds.
    fn check_second_open(&mut self, n: usize, flow: Flow) {
        let holds = |a: &Agent| a.target.flows.contains_key(&flow);
        let is_new = self.agents[n].target.up && !holds(&self.agents[n]);
        self.stats.opened_twice += u32::from(is_new && self.agents.iter().any(holds));
    }

    /// Whether the target crashes under another request because it is cold.
    fn crashes_cold(&mut self, n: usize) -> bool {
        let target = &mut self.agents[n].target;
        let crashes = target.exceeds_request_limit(self.now);
        if crashes {
            self.stats.cold_crashes += 1;
            target.stop();
            self.events.push(self.now + CRASH_TIME, Event::StartTarget(n));
        }
        crashes
    }

    /// Records a packet that reached a target which does not hold its flow, and counts
    /// the flow as misrouted once the thresholds are passed.
    fn count_misrouted(&mut self, seg: &Segment) {
        if seg.opens_flow() {
            return;
        }
        let flow = seg.flow_from_caller();
        if self.agents.iter().any(|a| a.has_open_flow(flow)) {
            let now = self.now;
            let misrouted = self.misrouted.entry(flow).or_insert(Misrouted {
                since: now,
                count: 0,
                in_stats: false,
            });
            misrouted.count += 1;
            let long_enough = now.duration_since(misrouted.since) >= MISROUTED_TIME;
            if misrouted.count >= MISROUTED_PACKETS && long_enough {
                self.stats.misrouted += u32::from(!misrouted.in_stats);
                misrouted.in_stats = true;
            }
        }
    }

    fn admit_request(&mut self, n: usize, flow: Flow) {
        if self.crashes_cold(n) || self.fails_request(n, flow) {
            return;
        }
        match self.agents[n].target.admit(flow) {
            Admission::Started => self.execute_request(n, flow),
            Admission::Queued => {}
            Admission::Shed => self.answer_short(n, flow, Answer::Shed),
        }
    }

    /// Whether the target fails a request that it received, and does so.
    fn fails_request(&mut self, n: usize, flow: Flow) -> bool {
        match self.agents[n].target.failure {
            None | Some(FailureMode::Bounce) => false,
            Some(FailureMode::Silence) => true,
            Some(FailureMode::Reset) => {
                if let Some(rst) = self.agents[n].target.reset(flow) {
                    self.send_target_packets(n, vec![(rst, 0)]);
                }
                true
            }
            Some(FailureMode::Errors(share)) => {
                let fails = self.rng.random_bool(share);
                if fails {
                    self.answer_short(n, flow, Answer::Error);
                }
                fails
            }
        }
    }

    /// Answers a request without executing it.
    fn answer_short(&mut self, n: usize, flow: Flow, answer: Answer) {
        if let Some(c) = self.callers.get_mut(&flow.caller) {
            c.remaining = SHED_RESPONSE_BYTES;
            c.answer = answer;
        }
        self.start_response(n, flow, SHED_RESPONSE_BYTES);
    }

    fn execute_request(&mut self, n: usize, flow: Flow) {
        let class = &self.site.classes[class_of(flow)];
        if !class.idempotent {
            let count = self.executions.entry(flow.caller).or_default();
            *count += 1;
            self.stats.duplicated += u32::from(*count == 2);
        }
        let factor = self.rng.random_range(0.5..1.5);
        let a = &self.agents[n];
        let took = a.target.service_time(class.service_time, factor, self.now);
        let response = a.target.flows.get(&flow).map_or(0, |s| s.responses);
        let timer = Timer { flow, incarnation: a.target.incarnation, response, set_at: self.now };
        self.events.push(self.now + took, Event::RequestDone(n, timer));
    }

    pub(super) fn finish_execution(&mut self, n: usize, timer: Timer) {
        let target = &mut self.agents[n].target;
        if !target.up || target.incarnation != timer.incarnation {
            return;
        }
        let next = target.release_slot();
        self.stats.targets[n].busy += self.now.duration_since(timer.set_at);
        self.start_response(n, timer.flow, self.site.classes[class_of(timer.flow)].response_bytes);
        if let Some(flow) = next {
            self.execute_request(n, flow);
        }
    }

    fn start_response(&mut self, n: usize, flow: Flow, len: u32) {
        let request_len = self.site.classes[class_of(flow)].request_bytes;
        if self.agents[n].target.start_response(flow, len, request_len).is_some() {
            self.send_response_packets(n, flow);
        }
    }

    /// Sends the packets of a response that the send window allows.
    fn send_response_packets(&mut self, n: usize, flow: Flow) {
        let a = &mut self.agents[n];
        let incarnation = a.target.incarnation;
        let Some(s) = a.target.flows.get_mut(&flow) else { return };
        let mut out = Vec::new();
        s.ready_packets(flow, &mut out);
        let Some(sender) = s.sender.filter(|s| !s.all_acked()) else { return };
        let timer = Timer { flow, incarnation, response: s.responses, set_at: self.now };
        self.events.push(self.now + sender.rto(), Event::Retransmit(n, timer));
        self.send_target_packets(n, out);
    }

    fn send_target_packets(&mut self, n: usize, out: Vec<(Segment, u32)>) {
        for (seg, len) in out {
            let bytes = packet::encode(&seg, &vec![0; len as usize]);
            self.events.push(self.now + LOCAL_DELAY, Event::FromTarget(n, bytes));
        }
    }

    pub(super) fn retransmit_response(&mut self, n: usize, timer: Timer) {
        let target = &mut self.agents[n].target;
        if !target.up || target.incarnation != timer.incarnation {
            return;
        }
        let Some(s) = target.flows.get_mut(&timer.flow).filter(|s| s.responses == timer.response)
        else {
            return;
        };
        let Some(sender) = &mut s.sender else { return };
        if sender.all_acked() || sender.acked_since(timer.set_at) {
            return;
        }
        let rto = sender.retransmit();
        let mut out = Vec::new();
        s.ready_packets(timer.flow, &mut out);
        let timer = Timer { set_at: self.now, ..timer };
        self.events.push(self.now + rto, Event::Retransmit(n, timer));
        self.send_target_packets(n, out);
    }
}
