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
    pub phase: FlowPhase,
    /// The first sequence number of the caller.
    pub caller_seq: u32,
    /// The caller's last acknowledgement.
    pub caller_ack: u32,
    /// The balancer that wants to know what becomes of it.
    pub reply_to: Option<SocketAddrV4>,
    /// The other agent that its open was offered to.
    pub other_agent: Option<SocketAddrV4>,
    /// The target answered on it, so it held the flow.
    pub target_answered: bool,
    /// End of the caller's data that has come so far.
    pub caller_end: Option<u32>,
    /// Since when the target has work to do for it.
    pub waiting_since: Option<Instant>,
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
            phase: stage,
            caller_seq: seq,
            caller_ack: 0,
            reply_to: None,
            other_agent: None,
            target_answered: false,
            caller_end: None,
            waiting_since: None,
            caller_done: false,
            target_done: false,
        }
    }

    /// Whether `seg` is a copy of the packet that asked for this flow.
    #[must_use]
    pub fn is_opened_by(&self, seg: &Segment) -> bool {
        self.caller_seq == seg.seq
            && matches!(
                self.phase,
                FlowPhase::Opening { .. } | FlowPhase::Answered(_) | FlowPhase::Open
            )
    }

    /// Whether a caller's later packet belongs to this flow. Two targets may
    /// have answered copies of one open; the caller goes on with the one whose
    /// sequence number it acknowledges.
    #[must_use]
    pub const fn accepts(&self, seg: &Segment) -> bool {
        self.matches_ack(if seg.flags.ack { Some(seg.ack) } else { None })
    }

    /// Whether the caller goes on with this target after a packet that
    /// acknowledged `ack`, if anything.
    #[must_use]
    pub const fn matches_ack(&self, ack: Option<u32>) -> bool {
        match (self.phase, ack) {
            (FlowPhase::Opening { .. } | FlowPhase::NotOwner, _) => false,
            (FlowPhase::Answered(seq), Some(ack)) => ack.wrapping_sub(seq) <= MAX_FIRST_ACK,
            (FlowPhase::Answered(_), None)
            | (FlowPhase::Open | FlowPhase::Trial | FlowPhase::Closed, _) => true,
        }
    }

    /// Notes data of the caller; says whether it is new, not a copy of what
    /// has come before.
    pub fn record_data(&mut self, seg: &Segment) -> bool {
        let end = seg.seq.wrapping_add(u32::from(seg.len));
        let new = seg.len > 0 && self.caller_end.is_none_or(|e| is_after(end, e));
        if new {
            self.caller_end = Some(end);
        }
        new
    }

    /// Whether both ends have finished.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.caller_done && self.target_done
    }
}

/// Whether `a` comes after `b` in sequence numbers that wrap around.
const fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// How far the acknowledgement of a caller's first packet may lie past the
/// target's first sequence number: 16 packets of 1,200 bytes in flight and
/// one for the open itself.
const MAX_FIRST_ACK: u32 = 16 * 1_200 + 1;
