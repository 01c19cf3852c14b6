//! What an agent knows of one flow of its target.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::flow::Segment;
use crate::wire::Offer;

/// How far a flow has come at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowPhase {
    /// The caller's open was handed to the target.
    Opening {
        /// The agents it was offered to.
        offer: Offer,
        /// Open flows that a target of the service holds at most.
        max_flows: u32,
        /// It had waited long.
        aged: bool,
    },
    /// The target answered the open, with this first sequence number.
    Answered(u32),
    /// It is open, or was when the agent started.
    Open,
    /// Tried at the target, which has not answered yet.
    Trial,
    /// Tried at the target, which does not hold it.
    NotOwner,
    /// Both ends have finished, or one broke it off.
    Closed,
}

/// One flow.
#[derive(Clone, Copy, Debug)]
pub struct TrackedFlow {
    /// How far it has come.
    pub stage: FlowPhase,
    /// The first sequence number of the caller.
    pub caller_seq: u32,
    /// The caller's last acknowledgement.
    pub caller_ack: u32,
    /// The balancer that wants to know what becomes of it.
    pub reply: Option<SocketAddrV4>,
    /// The other agent that its open was offered to.
    pub other: Option<SocketAddrV4>,
    /// The target answered on it, so it held the flow.
    pub ours: bool,
    /// End of the caller's data that has come so far.
    pub caller_end: Option<u32>,
    /// Since when the target has work to do for it.
    pub waiting: Option<Instant>,
    /// The caller has finished sending.
    pub caller_done: bool,
    /// The target has finished sending.
    pub target_done: bool,
}

impl TrackedFlow {
    /// A flow at `stage` whose caller sent `seq`.
    #[must_use]
    pub const fn new(stage: FlowPhase, seq: u32) -> Self {
        Self {
            stage,
            caller_seq: seq,
            caller_ack: 0,
            reply: None,
            other: None,
            ours: false,
            caller_end: None,
            waiting: None,
            caller_done: false,
            target_done: false,
        }
    }

    /// Whether `seg` is a copy of the packet that asked for this flow.
    #[must_use]
    pub fn opened_by(&self, seg: &Segment) -> bool {
        self.caller_seq == seg.seq
            && matches!(
                self.stage,
                FlowPhase::Opening { .. } | FlowPhase::Answered(_) | FlowPhase::Open
            )
    }

    /// Whether a caller's later packet belongs to this flow. Two targets may
    /// have answered copies of one open; the caller goes on with the one whose
    /// sequence number it acknowledges.
    #[must_use]
    pub const fn accepts(&self, seg: &Segment) -> bool {
        self.goes_on(if seg.flags.ack { Some(seg.ack) } else { None })
    }

    /// Whether the caller goes on with this target after a packet that
    /// acknowledged `ack`, if anything.
    #[must_use]
    pub const fn goes_on(&self, ack: Option<u32>) -> bool {
        match (self.stage, ack) {
            (FlowPhase::Opening { .. } | FlowPhase::NotOwner, _) => false,
            (FlowPhase::Answered(seq), Some(ack)) => ack.wrapping_sub(seq) <= FIRST_ACK,
            (FlowPhase::Answered(_), None)
            | (FlowPhase::Open | FlowPhase::Trial | FlowPhase::Closed, _) => true,
        }
    }

    /// Notes data of the caller; says whether it is new, not a copy of what
    /// has come before.
    pub fn takes_data(&mut self, seg: &Segment) -> bool {
        let end = seg.seq.wrapping_add(u32::from(seg.len));
        let new = seg.len > 0 && self.caller_end.is_none_or(|e| ahead(end, e));
        if new {
            self.caller_end = Some(end);
        }
        new
    }

    /// Whether both ends have finished.
    #[must_use]
    pub const fn over(&self) -> bool {
        self.caller_done && self.target_done
    }
}

/// Whether `a` comes after `b` in sequence numbers that wrap around.
const fn ahead(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// How far the acknowledgement of a caller's first packet may lie past the
/// target's first sequence number: 16 packets of 1,200 bytes in flight and
/// one for the open itself.
const FIRST_ACK: u32 = 16 * 1_200 + 1;
