//! What the agent records about its target's outcomes, and what follows for new flows, as
//! [`crate::outlier::Health`] decides.

use std::time::Instant;

use super::{FlowPhase, FlowTracker, LoadEstimate, TrackedFlow};
use crate::agent::placement::LOAD_PER_SLOT;
use crate::flow::{Flow, Segment};
use crate::protocol::Open;

/// What a target that is set aside adds to its load when it may be given any flow: more than
/// any queue, so that it is chosen only over others that are set aside.
const SET_ASIDE_LOAD: u32 = 32 * LOAD_PER_SLOT;

impl FlowTracker {
    /// Whether the target is set aside.
    #[must_use]
    pub fn is_set_aside(&self, now: Instant) -> bool {
        self.health.is_set_aside(now)
    }

    /// Whether the open must not be given to a target that is set aside or returning.
    pub(super) fn declines_outlier(&self, open: &Open<'_>, now: Instant) -> bool {
        self.is_judged() && !self.health.admits(open.request.as_ref(), now)
    }

    /// Load to compare with the other candidate of an offer. A trial has none, so that it is
    /// accepted; otherwise a target that is set aside is the last choice.
    pub(super) fn offer_load(&self, open: &Open<'_>, now: Instant) -> u32 {
        if !self.is_set_aside(now) {
            return self.load(now);
        }
        let may_try = open.request.is_some_and(|r| !r.any_target);
        if may_try && self.health.admits(open.request.as_ref(), now) {
            return 0;
        }
        SET_ASIDE_LOAD.saturating_add(self.waiting.saturating_mul(LOAD_PER_SLOT))
    }

    /// Whether failures say something of the target: one that drains or has ended does not
    /// fail flows by surprise.
    fn is_judged(&self) -> bool {
        self.ends_at.is_none() && self.target.as_ref().is_some_and(|t| t.accepts_flows())
    }

    /// Records new data of a caller.
    pub(super) fn observe_request(&mut self, flow: Flow, now: Instant) {
        if let Some(watch) = self.flows.peek_mut(flow).and_then(|t| t.watch.as_mut()) {
            self.health.record_request(flow, watch, now);
        }
    }

    /// Records what a target's packet shows: an accept, an answer or a failure.
    pub(super) fn observe_answer(&mut self, flow: Flow, seg: &Segment, now: Instant) {
        let is_judged = self.is_judged();
        let Some(tracked) = self.flows.peek_mut(flow) else { return };
        let may_fail = is_judged && !tracked.caller_done && tracked.phase != FlowPhase::Closed;
        let Some(watch) = &mut tracked.watch else { return };
        if seg.flags.syn {
            watch.record_accept(now);
        }
        if seg.len > 0 && self.health.record_answer(watch, now) {
            // Requests that waited in vain say nothing of the load of open flows.
            self.flow_load = LoadEstimate::default();
        }
        // A target may end an idle flow, but not one with a request.
        if may_fail && (seg.flags.rst || seg.flags.fin && watch.awaits_answer()) {
            self.health.record_end(watch, now);
            tracked.watch = None;
        }
    }

    /// Records that the target returned a packet of a flow that is no longer tracked. A target
    /// whose slots are taken, or that holds all flows it may, is full and does not fail.
    pub(super) fn observe_return(&mut self, tracked: &TrackedFlow, now: Instant) {
        let Some(mut watch) = tracked.watch.filter(|_| self.is_judged()) else { return };
        let slots = self.target.as_ref().map_or(0, |t| t.slots());
        let is_full = match tracked.phase {
            FlowPhase::Opening { max_flows, .. } => {
                self.waiting >= slots
                    || self.flows.len() >= usize::try_from(max_flows).unwrap_or(usize::MAX)
            }
            _ => tracked.caller_done || tracked.phase == FlowPhase::Closed,
        };
        if !is_full {
            self.health.record_return(&mut watch, now);
        }
    }

    /// Ends the watch of a flow that the caller closed.
    pub(super) fn release_watch(&mut self, flow: Flow) {
        let watch = self.flows.peek_mut(flow).and_then(|tracked| tracked.watch.take());
        if let Some(mut watch) = watch {
            self.health.release(&mut watch);
        }
    }

    /// Records requests that the target has not answered for too long.
    pub(super) fn observe_silence(&mut self, now: Instant) {
        let is_judged = self.is_judged();
        for flow in self.health.take_due(now) {
            let Some(tracked) = self.flows.peek_mut(flow) else { continue };
            if !is_judged || tracked.caller_done || tracked.phase == FlowPhase::Closed {
                continue;
            }
            if let Some(watch) = &mut tracked.watch {
                self.health.check_silence(flow, watch, now);
            }
        }
    }
}
