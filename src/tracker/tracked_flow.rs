//! State of one flow at an agent.

use std::net::SocketAddrV4;
use std::time::Instant;

use crate::flow::Segment;
use crate::load::Mark;
use crate::outlier::Watch;
use crate::protocol::WarmUp;
use crate::request::{OpenRequest, RequestNeeds};
use crate::wire::Offer;

/// Phase of a flow at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowPhase {
    /// The open was delivered to the target, which has not answered.
    Opening {
        /// Agents that the open was offered to.
        offer: Offer,
        /// Most open flows that one target of the service holds.
        max_flows: u32,
        /// Whether the open had waited long, as [`crate::protocol::Open::aged`].
        aged: bool,
        /// What cold targets of the service bear.
        warm_up: Option<WarmUp>,
        /// What its caller needs.
        request: Option<OpenRequest>,
    },
    /// The target accepted the open with this initial sequence number.
    Answered(u32),
    /// Established, possibly before the agent started.
    Open,
    /// A packet of an unknown flow was delivered to the target, which has not
    /// answered.
    Trial,
    /// The target returned a packet of the flow, so it does not hold it.
    NotOwner,
    /// Both ends have finished, or one reset the flow.
    Closed,
}

/// A flow tracked by an agent.
#[derive(Clone, Copy, Debug)]
pub struct TrackedFlow {
    /// Phase of the flow.
    pub phase: FlowPhase,
    /// Initial sequence number of the caller.
    pub caller_seq: u32,
    /// Last acknowledgement number of the caller.
    pub caller_ack: u32,
    /// Balancer that is sent updates on the flow.
    pub reply_to: Option<SocketAddrV4>,
    /// The other agent that the open was offered to.
    pub other_agent: Option<SocketAddrV4>,
    /// Whether the target has sent on the flow, which shows that it held it.
    pub target_answered: bool,
    /// Sequence number after the last data byte received from the caller.
    pub caller_end: Option<u32>,
    /// Since when the caller waits for an answer of the target.
    pub waiting_since: Option<Instant>,
    /// From when the work of that request is measured.
    pub work_mark: Mark,
    /// What its caller needs, if the open said so.
    pub needs: Option<RequestNeeds>,
    /// Whether its first request has begun. That one counts as given with the open.
    pub has_request: bool,
    /// Whether the caller has finished sending.
    pub caller_done: bool,
    /// Whether the target has finished sending.
    pub target_done: bool,
    /// What the target owes, if the caller's needs are known.
    pub watch: Option<Watch>,
}

impl TrackedFlow {
    /// A flow in `phase` whose caller has the initial sequence number `caller_seq`.
    #[must_use]
    pub const fn new(phase: FlowPhase, caller_seq: u32) -> Self {
        Self {
            phase,
            caller_seq,
            caller_ack: 0,
            reply_to: None,
            other_agent: None,
            target_answered: false,
            caller_end: None,
            waiting_since: None,
            work_mark: Mark::START,
            needs: None,
            has_request: false,
            caller_done: false,
            target_done: false,
            watch: None,
        }
    }

    /// Whether `seg` is a copy of the packet that opened this flow.
    #[must_use]
    pub fn is_opened_by(&self, seg: &Segment) -> bool {
        self.caller_seq == seg.seq
            && matches!(
                self.phase,
                FlowPhase::Opening { .. } | FlowPhase::Answered(_) | FlowPhase::Open
            )
    }

    /// Whether a caller's packet after the open belongs to this target's flow. If two
    /// targets answered copies of one open, the caller continues with the one whose
    /// sequence number it acknowledges.
    #[must_use]
    pub const fn accepts(&self, seg: &Segment) -> bool {
        self.matches_ack(if seg.flags.ack { Some(seg.ack) } else { None })
    }

    /// Whether a caller that acknowledges `ack`, if anything, continues with this
    /// target.
    #[must_use]
    pub const fn matches_ack(&self, ack: Option<u32>) -> bool {
        match (self.phase, ack) {
            (FlowPhase::Opening { .. } | FlowPhase::NotOwner, _) => false,
            (FlowPhase::Answered(seq), Some(ack)) => ack.wrapping_sub(seq) <= MAX_FIRST_ACK,
            (FlowPhase::Answered(_), None)
            | (FlowPhase::Open | FlowPhase::Trial | FlowPhase::Closed, _) => true,
        }
    }

    /// Records data of the caller. Returns whether it is new rather than a
    /// retransmission.
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

/// Whether sequence number `a` comes after `b`, with wrap-around.
const fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// Most bytes that a caller's first acknowledgement may lie past the target's
/// initial sequence number: 16 packets of 1,200 bytes in flight and one for the
/// open itself.
const MAX_FIRST_ACK: u32 = 16 * 1_200 + 1;
