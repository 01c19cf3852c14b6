//! The routes in force: which service an address belongs to.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::flow::Flow;

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    /// Its version; a newer one has a higher number.
    pub version: u64,
    /// Routes by the address that callers call.
    pub by_address: HashMap<SocketAddrV4, Route>,
    /// A flow without packets for this long may be forgotten.
    pub idle_timeout: Duration,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The services that serve it, by weight.
    pub services: Vec<WeightedService>,
    /// Time limit of one request.
    #[serde(rename = "limit")]
    pub request_timeout: Duration,
}

/// One service's part in a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's services.
    pub weight: u32,
    /// Open flows that one target of the service holds at most.
    pub max_flows: u32,
}

impl Routes {
    /// The service for `flow`: the same at every balancer with this version.
    #[must_use]
    pub fn service_for(&self, flow: Flow) -> Option<&WeightedService> {
        self.route_for(flow).map(|(_, weighted)| weighted)
    }

    /// The route of `flow`, and the service for it.
    #[must_use]
    pub fn route_for(&self, flow: Flow) -> Option<(&Route, &WeightedService)> {
        let route = self.by_address.get(&flow.vip)?;
        let services = &route.services;
        let total: u64 = services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = flow.hash64() % total;
        let weighted = services.iter().find(|s| {
            let weight = u64::from(s.weight);
            let here = point < weight;
            point = point.saturating_sub(weight);
            here
        });
        weighted.map(|s| (route, s))
    }
}
