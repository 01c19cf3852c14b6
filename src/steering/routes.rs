//! The route table: which service handles the flows to an address.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::flow::Flow;
use crate::request::RequestNeeds;

/// One version of the route configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    /// Increases with each change.
    pub version: u64,
    /// Routes by the address that callers connect to.
    pub by_address: HashMap<SocketAddrV4, Route>,
    /// A flow without packets for this long may be removed from flow tables.
    pub idle_timeout: Duration,
    /// Requests that a cold target bears in 1,000 s, by service. Services without a limit
    /// are absent.
    pub cold_rates: BTreeMap<Arc<str>, u32>,
}

/// A route from one address to weighted services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and reports.
    pub name: Arc<str>,
    /// Services that new flows are distributed over.
    pub services: Vec<WeightedService>,
    /// Time limit of one request.
    #[serde(rename = "limit")]
    pub request_timeout: Duration,
    /// What callers need of its requests, if the configuration states it. Not part of the
    /// encoded route: see [`crate::relay::parts`].
    #[serde(skip)]
    pub needs: Option<RequestNeeds>,
}

/// A service of a route with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the route's flows, relative to the other weights; 0 means none.
    pub weight: u32,
    /// Maximum of open flows at one target of the service.
    pub max_flows: u32,
}

impl Routes {
    /// The service for `flow`, chosen by the flow's hash: the same at every balancer
    /// with this version.
    #[must_use]
    pub fn service_for(&self, flow: Flow) -> Option<&WeightedService> {
        self.route_for(flow).map(|(_, weighted)| weighted)
    }

    /// The services of which a target may hold `flow`, if it is open, the likeliest first: all of its
    /// route, as the weights may have been others when it opened. Empty without a route.
    #[must_use]
    pub fn owner_services(&self, flow: Flow) -> Vec<Arc<str>> {
        let Some(route) = self.by_address.get(&flow.vip) else { return Vec::new() };
        let chosen = self.service_for(flow).map(|s| s.service.clone());
        let mut services: Vec<Arc<str>> = chosen.into_iter().collect();
        for s in &route.services {
            if !services.contains(&s.service) {
                services.push(s.service.clone());
            }
        }
        services
    }

    /// Whether there is a route for `flow`, also if it takes no new flows.
    #[must_use]
    pub fn has_route(&self, flow: Flow) -> bool {
        self.by_address.contains_key(&flow.vip)
    }

    /// The route of `flow` and the service chosen for it; none without a route or
    /// without a positive weight.
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
            let found = point < weight;
            point = point.saturating_sub(weight);
            found
        });
        weighted.map(|s| (route, s))
    }
}
