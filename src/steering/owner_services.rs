//! Which services may hold a flow: those of its route, now and in the configurations before.

use std::sync::Arc;
use std::time::Instant;

use super::{FlowState, FlowSteering};
use crate::flow::Flow;
use crate::route_history::ShardWrite;
use crate::store::Snapshot;

impl FlowSteering {
    /// The services of which a target may hold `flow`, the likeliest first; none without a route.
    pub(super) fn owner_services(&self, flow: Flow) -> Vec<Arc<str>> {
        let Some(routes) = &self.routes else { return Vec::new() };
        let mut services = routes.owner_services(flow);
        if !services.is_empty() {
            for service in self.route_history.services(flow.vip) {
                if !services.contains(service) {
                    services.push(service.clone());
                }
            }
        }
        services
    }

    /// Whether the search for the flow's owner is about every service that may hold it, as is known
    /// now.
    pub(super) fn covers_services(&self, flow: Flow) -> bool {
        let Some(FlowState::Searching(search)) = self.flows.peek(flow) else { return true };
        self.owner_services(flow).iter().all(|s| search.services.contains(s))
    }

    /// Takes over the record of the routes' services from a snapshot of the store.
    pub fn apply_route_history(&mut self, snapshot: &Snapshot) {
        if self.route_history.apply(snapshot) {
            self.recorded_version = None;
        }
    }

    /// What must be written so that the record covers the configuration in force.
    #[must_use]
    pub fn pending_history(&mut self, now: Instant) -> Vec<ShardWrite> {
        let Some(routes) = &self.routes else { return Vec::new() };
        if self.recorded_version == Some(routes.version) {
            return Vec::new();
        }
        let pending = self.route_history.pending(routes, now);
        self.recorded_version = Some(routes.version).filter(|_| pending.is_empty());
        pending
    }
}
