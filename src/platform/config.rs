//! The operators' configuration: routes, services and limits, stored as one JSON
//! value with a version.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;

use crate::request::RequestNeeds;
use crate::steering::{Route, Routes};

/// Prefix of the keys that operators write.
pub const OPERATOR_PREFIX: &str = "op/";

/// Key of the configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Prefix of the keys that order the evacuation of a data centre, whose name follows.
pub const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Idle timeout of a flow if the configuration sets none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Types of routes whose requests may be executed more than once.
const REPEATABLE_TYPES: [&str; 1] = ["safe"];

/// Priority of a route that states none, where others do: the least urgent.
const DEFAULT_PRIORITY: u8 = u8::MAX;

/// Timeout of a request if its route sets none.
const DEFAULT_REQUEST_TIMEOUT_MS: u64 = 3_000;

#[derive(Debug, Deserialize)]
struct ConfigJson {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteJson>,
    #[serde(default)]
    services: Vec<ServiceJson>,
    #[serde(default)]
    limits: LimitsJson,
}

#[derive(Debug, Deserialize)]
struct RouteJson {
    name: Arc<str>,
    /// The address that callers connect to.
    host: Ipv4Addr,
    /// The port, between slashes: `/8080/`.
    prefix: String,
    /// Absent if `backends` lists several services.
    #[serde(default)]
    service: Option<Arc<str>>,
    /// Timeout of a request.
    #[serde(default)]
    timeout_ms: Option<u64>,
    /// Response time beyond which a response is late.
    #[serde(default)]
    target_latency_ms: Option<u32>,
    /// 0 is the most urgent.
    #[serde(default)]
    priority: Option<u8>,
    /// What kind of requests it carries; see [`REPEATABLE_TYPES`].
    #[serde(default, rename = "type")]
    kind: Option<Arc<str>>,
    #[serde(default)]
    backends: Vec<BackendJson>,
}

/// One of several services that share a route by weight.
#[derive(Debug, Deserialize)]
struct BackendJson {
    service: Arc<str>,
    #[serde(default)]
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct ServiceJson {
    name: Arc<str>,
    #[serde(default)]
    max_conns: Option<u32>,
    /// Requests a second that a target bears while it warms up; 0 or absent for no limit.
    #[serde(default)]
    warmup_per_s: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
struct LimitsJson {
    #[serde(default)]
    idle_timeout_ms: Option<u64>,
}

/// Encodes a configuration with one route to each service, for tests and trials.
#[must_use]
pub fn encode(version: u64, routes: &[(&str, SocketAddrV4)]) -> serde_json::Value {
    let route = |(service, addr): &(&str, SocketAddrV4)| {
        serde_json::json!({
            "name": service, "host": addr.ip(), "prefix": format!("/{}/", addr.port()),
            "type": "safe", "timeout_ms": 3_000, "service": service,
        })
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    serde_json::json!({ "version": version, "routes": routes, "services": [], "limits": {} })
}

/// Decodes a configuration.
///
/// # Errors
///
/// Fails when the JSON does not match the format, naming the field, or when a
/// route's port is not a number, naming the route.
pub fn decode(value: &[u8]) -> anyhow::Result<Routes> {
    let mut deserializer = serde_json::Deserializer::from_slice(value);
    let config: ConfigJson = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| anyhow::anyhow!("configuration: field `{}`: {}", e.path(), e.inner()))?;
    let max_flows: HashMap<&str, u32> =
        config.services.iter().filter_map(|s| Some((&*s.name, s.max_conns?))).collect();
    let mut routes = HashMap::with_capacity(config.routes.len());
    for r in &config.routes {
        let port = r.prefix.trim_matches('/').parse::<u16>();
        let port = port.with_context(|| format!("configuration: port of route {}", r.name))?;
        let services = route_shares(r, &max_flows);
        let limit = Duration::from_millis(r.timeout_ms.unwrap_or(DEFAULT_REQUEST_TIMEOUT_MS));
        let needs = request_needs(r, limit);
        let route = Route { name: r.name.clone(), services, request_timeout: limit, needs };
        routes.insert(SocketAddrV4::new(r.host, port), route);
    }
    let idle = config.limits.idle_timeout_ms.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS);
    Ok(Routes {
        version: config.version,
        by_address: routes,
        idle_timeout: Duration::from_millis(idle),
        cold_rates: config.services.iter().filter_map(cold_rate).collect(),
    })
}

/// What callers need of a route's requests; `None` unless it states a priority and a target
/// latency.
fn request_needs(r: &RouteJson, limit: Duration) -> Option<RequestNeeds> {
    let latency_ms = r.target_latency_ms.filter(|ms| *ms > 0)?;
    Some(RequestNeeds {
        priority: r.priority.unwrap_or(DEFAULT_PRIORITY),
        latency_ms,
        timeout_ms: u32::try_from(limit.as_millis()).unwrap_or(u32::MAX),
        repeatable: r.kind.as_deref().is_some_and(|kind| REPEATABLE_TYPES.contains(&kind)),
    })
}

/// The service's name with the requests that a cold target bears in 1,000 s.
fn cold_rate(s: &ServiceJson) -> Option<(Arc<str>, u32)> {
    let rate = s.warmup_per_s.filter(|rate| *rate > 0.0)?;
    // Rounded down, at least to 1; the cast saturates.
    Some((s.name.clone(), ((rate * 1_000.0) as u32).max(1)))
}

fn route_shares(
    r: &RouteJson,
    max_flows: &HashMap<&str, u32>,
) -> Vec<crate::steering::WeightedService> {
    let weighted = |service: &Arc<str>, weight| crate::steering::WeightedService {
        service: service.clone(),
        weight,
        max_flows: max_flows.get(&**service).copied().unwrap_or(u32::MAX),
    };
    match &r.service {
        Some(service) => vec![weighted(service, 1)],
        None => r.backends.iter().map(|b| weighted(&b.service, b.weight)).collect(),
    }
}
