//! Simulated target: accepts flows, executes requests in a fixed number of slots
//! with a bounded queue, and bounces packets of flows that it does not hold.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::pattern::FailureMode;
use super::sender::{MSS, Sender};
use super::site::Service;
use crate::flow::{Flags, Flow, Segment};

/// Size of the response by which a full target sheds a request, in bytes.
pub const SHED_RESPONSE_BYTES: u32 = 100;

/// How long a target is cold after its start.
pub const WARM_UP: Duration = Duration::from_secs(2);

/// Factor on execution times while a target is cold.
const COLD_FACTOR: f64 = 1.6;

/// Requests that a cold target may get, as a multiple of the rate that it bears.
pub const COLD_OVERAGE: f64 = 1.5;

/// Requests a second that a cold target may get on top of that.
pub const COLD_SLACK: f64 = 5.0;

const SECOND: Duration = Duration::from_secs(1);

/// Maximum distance from the initial sequence number of the acknowledgement that
/// completes the handshake.
const FIRST_ACK_WINDOW: u32 = 16 * MSS;

/// A flow at its target.
#[derive(Debug)]
pub struct TargetFlow {
    /// The target's initial sequence number.
    pub isn: u32,
    /// Whether the handshake is complete.
    pub established: bool,
    /// Next byte expected from the caller.
    pub next: u32,
    /// Bytes of the current request not yet received.
    remaining: u32,
    /// Sender of the last response.
    pub sender: Option<Sender>,
    /// Sequence number of the next response's first byte.
    response_seq: u32,
    /// Number of responses started, so that timers of earlier ones are ignored.
    pub responses: u32,
    /// Packets received since the last acknowledgement was sent.
    unacked_packets: u8,
}

/// Result of a packet at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketResult {
    /// The target is down or does not hold the flow: the packet is returned.
    Bounced,
    /// Accepted; nothing to do but to send the replies.
    Accepted,
    /// A request was received completely.
    RequestComplete,
    /// Bytes of the response were acknowledged, so more can be sent.
    WindowOpened,
}

/// A simulated target.
#[derive(Debug)]
pub struct Target {
    /// Whether the process runs.
    pub up: bool,
    /// Number of starts, so that events of an earlier run can be recognised.
    pub incarnation: u64,
    /// Reports sent since the last start.
    pub reports: u64,
    /// Factor on execution times; 1 is normal speed.
    pub slowdown: f64,
    /// How it fails, while it reports that it is ready.
    pub failure: Option<FailureMode>,
    /// Factor on execution times by which it differs from its service's other targets.
    speed: f64,
    /// When the target is no longer cold.
    pub warm_at: Instant,
    slots: u32,
    queue_limit: usize,
    /// Slots in use.
    busy_slots: u32,
    /// Flows whose requests wait for a slot.
    queue: VecDeque<Flow>,
    /// Flows that the target holds.
    pub flows: HashMap<Flow, TargetFlow>,
    /// Initial sequence number of the flow accepted last.
    isn: u32,
    /// Requests a second that it bears while it is cold, beyond which it crashes; 0 for no
    /// limit.
    cold_rate: f64,
    /// New flows of the last second.
    opens: LastSecond,
    /// Requests of the last second.
    requests: LastSecond,
}

/// When the events of the last second happened.
#[derive(Debug, Default)]
struct LastSecond(VecDeque<Instant>);

impl LastSecond {
    /// Records an event; returns the number in the last second.
    fn record(&mut self, now: Instant) -> usize {
        while self.0.front().is_some_and(|at| now.duration_since(*at) >= SECOND) {
            self.0.pop_front();
        }
        self.0.push_back(now);
        self.0.len()
    }
}

impl Target {
    /// Creates a running target of `service`, with this factor on its execution times.
    /// Initial sequence numbers count up from `isn`.
    #[must_use]
    pub fn new(service: &Service, speed: f64, isn: u32, now: Instant) -> Self {
        Self {
            up: true,
            incarnation: 1,
            reports: 0,
            slowdown: 1.0,
            failure: None,
            speed,
            warm_at: now,
            slots: service.slots,
            queue_limit: service.queue_limit,
            busy_slots: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            isn,
            cold_rate: service.cold_rate,
            opens: LastSecond::default(),
            requests: LastSecond::default(),
        }
    }

    /// Ends the process and drops its flows.
    pub fn stop(&mut self) {
        self.up = false;
        self.busy_slots = 0;
        self.queue.clear();
        self.flows.clear();
        self.opens.0.clear();
        self.requests.0.clear();
    }

    /// Makes the running process cold.
    pub fn chill(&mut self, now: Instant) {
        self.warm_at = now + WARM_UP;
    }

    /// Records a new flow. Returns whether a cold target may not get it.
    pub fn exceeds_open_limit(&mut self, now: Instant) -> bool {
        let opens = self.opens.record(now);
        self.exceeds_cold_limit(opens, now)
    }

    /// Records a request. Returns whether a cold target crashes under it.
    pub fn exceeds_request_limit(&mut self, now: Instant) -> bool {
        let requests = self.requests.record(now);
        self.exceeds_cold_limit(requests, now)
    }

    fn exceeds_cold_limit(&self, in_second: usize, now: Instant) -> bool {
        let limit = self.cold_rate * COLD_OVERAGE + COLD_SLACK;
        // Far fewer than 2^53 requests.
        now < self.warm_at && self.cold_rate > 0.0 && in_second as f64 > limit
    }

    /// Restarts the process, cold.
    pub fn start(&mut self, now: Instant) {
        self.up = true;
        self.warm_at = now + WARM_UP;
        self.incarnation += 1;
        self.reports = 0;
    }

    /// Receives a packet of a flow whose requests have `request_len` bytes, and
    /// appends immediate replies to `out`.
    pub fn receive(
        &mut self,
        seg: &Segment,
        request_len: u32,
        now: Instant,
        out: &mut Vec<Segment>,
    ) -> PacketResult {
        let flow = seg.flow_from_caller();
        if !self.up {
            return PacketResult::Bounced;
        }
        if seg.opens_flow() {
            if self.failure == Some(FailureMode::Bounce) && !self.flows.contains_key(&flow) {
                return PacketResult::Bounced;
            }
            self.accept_flow(flow, seg, request_len, out);
            return PacketResult::Accepted;
        }
        let Some(s) = self.flows.get_mut(&flow).filter(|s| s.accepts(seg)) else {
            return PacketResult::Bounced;
        };
        s.established = true;
        if seg.flags.fin {
            out.push(segment(
                flow,
                Flags { fin: true, ack: true, ..Flags::default() },
                s.response_seq,
                s.next,
            ));
            self.flows.remove(&flow);
            return PacketResult::Accepted;
        }
        let mut result = PacketResult::Accepted;
        if s.sender.as_mut().is_some_and(|sender| sender.acknowledge(seg.ack, now)) {
            result = PacketResult::WindowOpened;
        }
        if seg.len > 0 {
            result = s.receive_data(flow, seg, request_len, result, out);
        }
        result
    }

    fn accept_flow(&mut self, flow: Flow, seg: &Segment, request_len: u32, out: &mut Vec<Segment>) {
        self.isn = self.isn.wrapping_add(100_003);
        let isn = self.isn;
        let s = self.flows.entry(flow).or_insert_with(|| TargetFlow {
            isn,
            established: false,
            next: seg.seq.wrapping_add(1),
            remaining: request_len,
            sender: None,
            response_seq: isn.wrapping_add(1),
            responses: 0,
            unacked_packets: 0,
        });
        let flags = Flags { syn: true, ack: true, ..Flags::default() };
        out.push(segment(flow, flags, s.isn, s.next));
    }

    /// Gives the request of `flow` a slot, queues it, or sheds it if the queue is
    /// full.
    pub fn admit(&mut self, flow: Flow) -> Admission {
        if self.busy_slots < self.slots {
            self.busy_slots += 1;
            return Admission::Started;
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Shed;
        }
        self.queue.push_back(flow);
        Admission::Queued
    }

    /// Frees a slot; returns the flow whose queued request takes it.
    pub fn release_slot(&mut self) -> Option<Flow> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy_slots = self.busy_slots.saturating_sub(1);
        }
        next
    }

    /// Execution time at `now` of a request with the given mean, where `factor`
    /// is its random variation.
    #[must_use]
    pub fn service_time(&self, mean: Duration, factor: f64, now: Instant) -> Duration {
        let cold = if now < self.warm_at { COLD_FACTOR } else { 1.0 };
        mean.mul_f64(factor * self.slowdown * cold * self.speed)
    }

    /// Drops a flow; returns the RST that tells its caller.
    pub fn reset(&mut self, flow: Flow) -> Option<Segment> {
        let s = self.flows.remove(&flow)?;
        let flags = Flags { rst: true, ack: true, ..Flags::default() };
        Some(segment(flow, flags, s.response_seq, s.next))
    }

    /// Starts a response of `len` bytes on `flow`, and expects a next request of
    /// `request_len` bytes. `None` if the target does not hold the flow.
    pub fn start_response(
        &mut self,
        flow: Flow,
        len: u32,
        request_len: u32,
    ) -> Option<&mut TargetFlow> {
        let s = self.flows.get_mut(&flow)?;
        s.sender = Some(Sender::new(s.response_seq, len));
        s.response_seq = s.response_seq.wrapping_add(len);
        s.remaining = request_len;
        s.responses += 1;
        Some(s)
    }
}

/// Admission of a request at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a slot.
    Started,
    /// It is queued for a slot.
    Queued,
    /// It is refused before execution.
    Shed,
}

impl TargetFlow {
    /// Whether a packet belongs to this flow. While the flow is not established,
    /// its acknowledgement shows whether the caller chose this target's SYN-ACK.
    const fn accepts(&self, seg: &Segment) -> bool {
        self.established || seg.ack.wrapping_sub(self.isn).wrapping_sub(1) < FIRST_ACK_WINDOW
    }

    fn receive_data(
        &mut self,
        flow: Flow,
        seg: &Segment,
        request_len: u32,
        previous: PacketResult,
        out: &mut Vec<Segment>,
    ) -> PacketResult {
        let len = u32::from(seg.len);
        let mut result = previous;
        let in_order = seg.seq == self.next && len <= self.remaining;
        if in_order {
            self.next = self.next.wrapping_add(len);
            self.remaining -= len;
            self.unacked_packets += 1;
            if self.remaining == 0 {
                result = PacketResult::RequestComplete;
            }
        }
        if !in_order || self.unacked_packets >= 2 || self.remaining == 0 || request_len <= MSS {
            self.unacked_packets = 0;
            let seq = self.sender.map_or(self.response_seq, |s| s.end());
            out.push(segment(flow, Flags { ack: true, ..Flags::default() }, seq, self.next));
        }
        result
    }

    /// Appends the packets of the response that the send window allows to `out`,
    /// with the length of their data.
    pub fn ready_packets(&mut self, flow: Flow, out: &mut Vec<(Segment, u32)>) {
        let next = self.next;
        let Some(sender) = &mut self.sender else { return };
        while let Some((seq, len)) = sender.next_packet() {
            out.push((segment(flow, Flags { ack: true, ..Flags::default() }, seq, next), len));
        }
    }
}

/// A packet from the target without data.
fn segment(flow: Flow, flags: Flags, seq: u32, ack: u32) -> Segment {
    Segment { src: flow.vip, dst: flow.caller, flags, seq, ack, len: 0 }
}

/// Timer of a target, for an execution or a retransmission. It is void if the target
/// has restarted and, for a retransmission, if another response has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timer {
    /// Flow of the response.
    pub flow: Flow,
    /// [`Target::incarnation`] when it was set.
    pub incarnation: u64,
    /// [`TargetFlow::responses`] when it was set.
    pub response: u32,
    /// When it was set.
    pub set_at: Instant,
}
