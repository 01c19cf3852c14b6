//! Packets of open flows whose route this process does not know.
//!
//! Another balancer may have opened the flow by a newer configuration. So the flow is reset only once
//! the store was read after the packet arrived, and has no such route either. While the store
//! does not answer, the packet is dropped.

use std::time::Instant;

use super::{FlowState, FlowSteering};
use crate::flow::{Flow, Segment};
use crate::token_bucket::TokenBucket;

/// Reads of the store at once for packets without a route: one for those of a burst, one for those
/// that arrive while it runs, and one more.
const CHECK_BURST: f64 = 3.0;

/// Reads of the store a second beyond that, so that packets of no flow cost little.
const CHECK_RATE: f64 = 0.2;

/// When the store was last read for its configuration, and whether it is to be read again.
#[derive(Debug)]
pub(super) struct RouteCheck {
    /// When the last read that was answered was asked for.
    asked_at: Option<Instant>,
    /// Whether a packet waits for a read.
    wanted: bool,
    budget: TokenBucket,
}

impl Default for RouteCheck {
    fn default() -> Self {
        Self { asked_at: None, wanted: false, budget: TokenBucket::new(CHECK_BURST) }
    }
}

impl FlowSteering {
    /// Whether the configuration to come decides what happens to a packet that arrived at `at`.
    pub(super) fn awaits_routes(&self, seg: &Segment, at: Instant) -> bool {
        let Some(routes) = &self.routes else { return true };
        let flow = seg.flow_from_caller();
        if seg.opens_flow() {
            return !self.routes_complete && routes.route_for(flow).is_none();
        }
        let is_checked = self.route_check.asked_at.is_some_and(|asked| asked >= at);
        let is_decided = self.routes_complete && is_checked || self.has_live_owner(flow, at);
        !routes.has_route(flow) && !is_decided
    }

    /// Whether the flow's owner is known and answers.
    pub(super) fn has_live_owner(&self, flow: Flow, now: Instant) -> bool {
        let Some(FlowState::Owned { agent, .. }) = self.flows.peek(flow) else { return false };
        !self.roster.is_dead(*agent, now)
    }

    /// Records that the configuration in force is that of a read of the store which was asked
    /// for at `at`.
    pub fn set_routes_checked(&mut self, at: Instant) {
        self.route_check.asked_at = self.route_check.asked_at.max(Some(at));
    }

    /// Whether the store is to be read now, for packets whose route is not known. Counts against
    /// a limit on such reads.
    pub fn take_route_check(&mut self, now: Instant) -> bool {
        let check = &mut self.route_check;
        if !check.wanted {
            return false;
        }
        check.budget.refill(CHECK_RATE, now);
        let due = check.budget.try_take();
        check.wanted &= !due;
        due
    }

    /// Requests a read of the store for a packet that waits for one.
    pub(super) fn request_route_check(&mut self) {
        self.route_check.wanted |= self.routes.is_some() && self.routes_complete;
    }
}
