//! A modelled target: opens flows, runs each request in one of its slots, and
//! gives back packets of flows that it does not hold.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::stream::{DATA, Sending};
use crate::flow::{Flags, Flow, Segment};

/// Bytes of the answer by which a full target refuses a request as not run.
pub const SHED: u32 = 100;

/// How long a target that has started is slow, and how many times: as operators
/// say of theirs.
const COLD: Duration = Duration::from_secs(2);
const COLD_TIMES: f64 = 1.6;

/// How far past its first sequence number the first acknowledgement may lie.
const FIRST_ACK: u32 = 16 * DATA;

/// One flow at its target.
#[derive(Debug)]
pub struct Serving {
    /// First sequence number of the target.
    pub isn: u32,
    /// The end of the handshake came.
    pub open: bool,
    /// Next byte expected of the caller.
    pub next: u32,
    /// Bytes of the present request that are still to come.
    missing: u32,
    /// The answer that is being sent.
    pub sending: Option<Sending>,
    /// Position of the next answer's first byte.
    seq: u32,
    /// Counts the answers, so that timers of earlier ones are told.
    pub answers: u32,
    unacked: u8,
}

/// What a packet did at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is not held here, or cannot be accepted.
    Back,
    /// Nothing more than the packets that it put out.
    Noted,
    /// A whole request has come.
    Request,
    /// Bytes of the present answer were acknowledged.
    Room,
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// Whether its process runs.
    pub up: bool,
    /// Counts its starts.
    pub boot: u64,
    /// Counts its reports since its start.
    pub reports: u64,
    /// How many times slower than usual it works.
    pub slow: f64,
    /// Until when it is slow after its start.
    pub cold_until: Instant,
    slots: u32,
    room: usize,
    busy: u32,
    queue: VecDeque<Flow>,
    /// The flows that it holds.
    pub flows: HashMap<Flow, Serving>,
    isn: u32,
}

impl Target {
    /// A running target with `slots` and a queue of `room` requests, whose first
    /// sequence numbers begin at `isn`.
    #[must_use]
    pub fn new(slots: u32, room: usize, isn: u32, now: Instant) -> Self {
        Self {
            up: true,
            boot: 1,
            reports: 0,
            slow: 1.0,
            cold_until: now,
            slots,
            room,
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
        self.cold_until = now + COLD;
        self.boot += 1;
        self.reports = 0;
    }

    /// Takes a packet; what it answers at once goes to `out`.
    pub fn packet(
        &mut self,
        seg: &Segment,
        request: u32,
        now: Instant,
        out: &mut Vec<Segment>,
    ) -> Effect {
        let flow = seg.flow_from_caller();
        if !self.up {
            return Effect::Back;
        }
        if seg.opens_flow() {
            self.open(flow, seg, request, out);
            return Effect::Noted;
        }
        let Some(s) = self.flows.get_mut(&flow).filter(|s| s.holds(seg)) else {
            return Effect::Back;
        };
        s.open = true;
        if seg.flags.fin {
            out.push(segment(
                flow,
                Flags { fin: true, ack: true, ..Flags::default() },
                s.seq,
                s.next,
            ));
            self.flows.remove(&flow);
            return Effect::Noted;
        }
        let mut effect = Effect::Noted;
        if s.sending.as_mut().is_some_and(|sending| sending.acknowledge(seg.ack, now)) {
            effect = Effect::Room;
        }
        if seg.len > 0 {
            effect = s.data(flow, seg, request, effect, out);
        }
        effect
    }

    fn open(&mut self, flow: Flow, seg: &Segment, request: u32, out: &mut Vec<Segment>) {
        self.isn = self.isn.wrapping_add(100_003);
        let isn = self.isn;
        let s = self.flows.entry(flow).or_insert_with(|| Serving {
            isn,
            open: false,
            next: seg.seq.wrapping_add(1),
            missing: request,
            sending: None,
            seq: isn.wrapping_add(1),
            answers: 0,
            unacked: 0,
        });
        let flags = Flags { syn: true, ack: true, ..Flags::default() };
        out.push(segment(flow, flags, s.isn, s.next));
    }

    /// A request of `flow` wants a slot; says whether it has one, or that it is
    /// refused as not run.
    pub fn admit(&mut self, flow: Flow) -> Admitted {
        if self.busy < self.slots {
            self.busy += 1;
            return Admitted::Runs;
        }
        if self.queue.len() >= self.room {
            return Admitted::Shed;
        }
        self.queue.push_back(flow);
        Admitted::Waits
    }

    /// A slot is free again; returns the flow whose request takes it.
    pub fn release(&mut self) -> Option<Flow> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }

    /// How long work of `mean` takes at `now`, `x` being drawn from 0.5 to 1.5.
    #[must_use]
    pub fn work(&self, mean: Duration, x: f64, now: Instant) -> Duration {
        let cold = if now < self.cold_until { COLD_TIMES } else { 1.0 };
        mean.mul_f64(x * self.slow * cold)
    }

    /// The answer of `len` bytes to the present request of `flow` is ready.
    pub fn answer(&mut self, flow: Flow, len: u32, request: u32) -> Option<&mut Serving> {
        let s = self.flows.get_mut(&flow)?;
        s.sending = Some(Sending::new(s.seq, len));
        s.seq = s.seq.wrapping_add(len);
        s.missing = request;
        s.answers += 1;
        Some(s)
    }
}

/// What becomes of a request at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It runs.
    Runs,
    /// It waits for a slot.
    Waits,
    /// It is refused as not run.
    Shed,
}

impl Serving {
    /// Whether a packet belongs to this flow: its caller goes on with the target
    /// whose first sequence number it acknowledges.
    const fn holds(&self, seg: &Segment) -> bool {
        self.open || seg.ack.wrapping_sub(self.isn).wrapping_sub(1) < FIRST_ACK
    }

    fn data(
        &mut self,
        flow: Flow,
        seg: &Segment,
        request: u32,
        effect: Effect,
        out: &mut Vec<Segment>,
    ) -> Effect {
        let len = u32::from(seg.len);
        let mut result = effect;
        let fits = seg.seq == self.next && len <= self.missing;
        if fits {
            self.next = self.next.wrapping_add(len);
            self.missing -= len;
            self.unacked += 1;
            if self.missing == 0 {
                result = Effect::Request;
            }
        }
        let copy = !fits;
        if copy || self.unacked >= 2 || self.missing == 0 || request <= DATA {
            self.unacked = 0;
            let seq = self.sending.map_or(self.seq, |s| s.end());
            out.push(segment(flow, Flags { ack: true, ..Flags::default() }, seq, self.next));
        }
        result
    }

    /// The packets of the answer that the window has room for.
    pub fn packets(&mut self, flow: Flow, out: &mut Vec<(Segment, u32)>) {
        let next = self.next;
        let Some(sending) = &mut self.sending else { return };
        while let Some((seq, len)) = sending.packet() {
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
    pub boot: u64,
    /// The flow's answer.
    pub answer: u32,
    /// When the event was put in.
    pub since: Instant,
}
