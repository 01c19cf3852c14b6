//! A modelled target: opens flows, runs each request in one of its slots, and
//! gives back packets of flows that it does not hold.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::sender::{MSS, Sender};
use crate::flow::{Flags, Flow, Segment};

/// Bytes of the answer by which a full target refuses a request as not run.
pub const SHED_RESPONSE_BYTES: u32 = 100;

/// How long a target that has started is slow, and how many times: as operators
/// say of theirs.
const WARM_UP: Duration = Duration::from_secs(2);
const COLD_FACTOR: f64 = 1.6;

/// How far past its first sequence number the first acknowledgement may lie.
const FIRST_ACK_WINDOW: u32 = 16 * MSS;

/// One flow at its target.
#[derive(Debug)]
pub struct TargetFlow {
    /// First sequence number of the target.
    pub isn: u32,
    /// The end of the handshake came.
    pub established: bool,
    /// Next byte expected of the caller.
    pub next: u32,
    /// Bytes of the present request that are still to come.
    remaining: u32,
    /// The answer that is being sent.
    pub sender: Option<Sender>,
    /// Position of the next answer's first byte.
    response_seq: u32,
    /// Counts the answers, so that timers of earlier ones are told.
    pub responses: u32,
    unacked_packets: u8,
}

/// What a packet did at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketResult {
    /// It is not held here, or cannot be accepted.
    Bounced,
    /// Nothing more than the packets that it put out.
    Accepted,
    /// A whole request has come.
    RequestComplete,
    /// Bytes of the present answer were acknowledged.
    WindowOpened,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// Whether its process runs.
    pub up: bool,
    /// Counts its starts.
    pub epoch: u64,
    /// Counts its reports since its start.
    pub reports: u64,
    /// How many times slower than usual it works.
    pub slowdown: f64,
    /// Until when it is slow after its start.
    pub warm_at: Instant,
    slots: u32,
    queue_limit: usize,
    busy: u32,
    queue: VecDeque<Flow>,
    /// The flows that it holds.
    pub flows: HashMap<Flow, TargetFlow>,
    isn: u32,
}

impl Target {
    /// A running target with `slots` and a queue of `room` requests, whose first
    /// sequence numbers begin at `isn`.
    #[must_use]
    pub fn new(slots: u32, room: usize, isn: u32, now: Instant) -> Self {
        Self {
            up: true,
            epoch: 1,
            reports: 0,
            slowdown: 1.0,
            warm_at: now,
            slots,
            queue_limit: room,
            busy: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            isn,
        }
    }

    /// Its process ends; its flows are gone.
    pub fn crash(&mut self) {
        self.up = false;
        self.busy = 0;
        self.queue.clear();
        self.flows.clear();
    }

    /// Its process starts again.
    pub fn start(&mut self, now: Instant) {
        self.up = true;
        self.warm_at = now + WARM_UP;
        self.epoch += 1;
        self.reports = 0;
    }

    /// Takes a packet; what it answers at once goes to `out`.
    pub fn receive(
        &mut self,
        seg: &Segment,
        request: u32,
        now: Instant,
        out: &mut Vec<Segment>,
    ) -> PacketResult {
        let flow = seg.flow_from_caller();
        if !self.up {
            return PacketResult::Bounced;
        }
        if seg.opens_flow() {
            self.open(flow, seg, request, out);
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
        let mut effect = PacketResult::Accepted;
        if s.sender.as_mut().is_some_and(|sending| sending.acknowledge(seg.ack, now)) {
            effect = PacketResult::WindowOpened;
        }
        if seg.len > 0 {
            effect = s.data(flow, seg, request, effect, out);
        }
        effect
    }

    fn open(&mut self, flow: Flow, seg: &Segment, request: u32, out: &mut Vec<Segment>) {
        self.isn = self.isn.wrapping_add(100_003);
        let isn = self.isn;
        let s = self.flows.entry(flow).or_insert_with(|| TargetFlow {
            isn,
            established: false,
            next: seg.seq.wrapping_add(1),
            remaining: request,
            sender: None,
            response_seq: isn.wrapping_add(1),
            responses: 0,
            unacked_packets: 0,
        });
        let flags = Flags { syn: true, ack: true, ..Flags::default() };
        out.push(segment(flow, flags, s.isn, s.next));
    }

    /// A request of `flow` wants a slot; says whether it has one, or that it is
    /// refused as not run.
    pub fn admit(&mut self, flow: Flow) -> Admission {
        if self.busy < self.slots {
            self.busy += 1;
            return Admission::Started;
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Shed;
        }
        self.queue.push_back(flow);
        Admission::Queued
    }

    /// A slot is free again; returns the flow whose request takes it.
    pub fn release_slot(&mut self) -> Option<Flow> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }

    /// How long work of `mean` takes at `now`, `x` being drawn from 0.5 to 1.5.
    #[must_use]
    pub fn service_time(&self, mean: Duration, x: f64, now: Instant) -> Duration {
        let cold = if now < self.warm_at { COLD_FACTOR } else { 1.0 };
        mean.mul_f64(x * self.slowdown * cold)
    }

    /// The answer of `len` bytes to the present request of `flow` is ready.
    pub fn start_response(
        &mut self,
        flow: Flow,
        len: u32,
        request: u32,
    ) -> Option<&mut TargetFlow> {
        let s = self.flows.get_mut(&flow)?;
        s.sender = Some(Sender::new(s.response_seq, len));
        s.response_seq = s.response_seq.wrapping_add(len);
        s.remaining = request;
        s.responses += 1;
        Some(s)
    }
}

/// What becomes of a request at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs.
    Started,
    /// It waits for a slot.
    Queued,
    /// It is refused as not run.
    Shed,
}

impl TargetFlow {
    /// Whether a packet belongs to this flow: its caller goes on with the target
    /// whose first sequence number it acknowledges.
    const fn accepts(&self, seg: &Segment) -> bool {
        self.established || seg.ack.wrapping_sub(self.isn).wrapping_sub(1) < FIRST_ACK_WINDOW
    }

    fn data(
        &mut self,
        flow: Flow,
        seg: &Segment,
        request: u32,
        effect: PacketResult,
        out: &mut Vec<Segment>,
    ) -> PacketResult {
        let len = u32::from(seg.len);
        let mut result = effect;
        let fits = seg.seq == self.next && len <= self.remaining;
        if fits {
            self.next = self.next.wrapping_add(len);
            self.remaining -= len;
            self.unacked_packets += 1;
            if self.remaining == 0 {
                result = PacketResult::RequestComplete;
            }
        }
        let copy = !fits;
        if copy || self.unacked_packets >= 2 || self.remaining == 0 || request <= MSS {
            self.unacked_packets = 0;
            let seq = self.sender.map_or(self.response_seq, |s| s.end());
            out.push(segment(flow, Flags { ack: true, ..Flags::default() }, seq, self.next));
        }
        result
    }

    /// The packets of the answer that the window has room for.
    pub fn ready_packets(&mut self, flow: Flow, out: &mut Vec<(Segment, u32)>) {
        let next = self.next;
        let Some(sending) = &mut self.sender else { return };
        while let Some((seq, len)) = sending.next_packet() {
            out.push((segment(flow, Flags { ack: true, ..Flags::default() }, seq, next), len));
        }
    }
}

/// A packet of the target without data.
fn segment(flow: Flow, flags: Flags, seq: u32, ack: u32) -> Segment {
    Segment { src: flow.vip, dst: flow.caller, flags, seq, ack, len: 0 }
}

/// When an event of one start of a target counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timer {
    /// The flow.
    pub flow: Flow,
    /// The target's start.
    pub epoch: u64,
    /// The flow's answer.
    pub response: u32,
    /// When the event was put in.
    pub set_at: Instant,
}
