//! The operators' configuration, as it lies in the platform's store in full
//! at each version.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;

use crate::steer::{Route, Routes};

/// Prefix of what the operators write.
pub const OPERATOR_PREFIX: &str = "op/";

/// Key of the newest configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Limit on a flow's idle time where the configuration names none.
const IDLE_DEFAULT_MS: u64 = 15_000;

/// Time limit of a request where its route names none.
const LIMIT_DEFAULT_MS: u64 = 3_000;

#[derive(Debug, Deserialize)]
struct Body {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: Limits,
}

#[derive(Debug, Deserialize)]
struct RouteBody {
    name: Arc<str>,
    /// An IPv4 address, although called a host.
    host: Ipv4Addr,
    /// A port between slashes, although called a prefix.
    prefix: String,
    /// Absent where the route is split over several services.
    #[serde(default)]
    service: Option<Arc<str>>,
    /// Time limit of one request, in milliseconds.
    #[serde(default)]
    timeout_ms: Option<u64>,
    #[serde(default)]
    backends: Vec<Split>,
}

/// One of several services of a route.
#[derive(Debug, Deserialize)]
struct Split {
    service: Arc<str>,
    #[serde(default)]
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct ServiceBody {
    name: Arc<str>,
    #[serde(default)]
    max_conns: Option<u32>,
}

#[derive(Debug, Default, Deserialize)]
struct Limits {
    #[serde(default)]
    idle_timeout_ms: Option<u64>,
}

/// A configuration as operators write it, with a route for each service: for
/// the stand-ins.
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

/// Reads a configuration.
///
/// # Errors
///
/// Fails when it is no JSON of the platform's form; the error names the
/// field, or the route whose port is no number.
pub fn decode(value: &[u8]) -> anyhow::Result<Routes> {
    let mut de = serde_json::Deserializer::from_slice(value);
    let body: Body = serde_path_to_error::deserialize(&mut de)
        .map_err(|e| anyhow::anyhow!("configuration: field `{}`: {}", e.path(), e.inner()))?;
    let limits: HashMap<&str, u32> =
        body.services.iter().filter_map(|s| Some((&*s.name, s.max_conns?))).collect();
    let mut routes = HashMap::with_capacity(body.routes.len());
    for r in &body.routes {
        let port = r.prefix.trim_matches('/').parse::<u16>();
        let port = port.with_context(|| format!("configuration: port of route {}", r.name))?;
        let services = services(r, &limits);
        let limit = Duration::from_millis(r.timeout_ms.unwrap_or(LIMIT_DEFAULT_MS));
        let route = Route { name: r.name.clone(), services, limit };
        routes.insert(SocketAddrV4::new(r.host, port), route);
    }
    let idle = body.limits.idle_timeout_ms.unwrap_or(IDLE_DEFAULT_MS);
    Ok(Routes { version: body.version, routes, idle: Duration::from_millis(idle) })
}

fn services(r: &RouteBody, limits: &HashMap<&str, u32>) -> Vec<crate::steer::Share> {
    let share = |service: &Arc<str>, weight| crate::steer::Share {
        service: service.clone(),
        weight,
        max_flows: limits.get(&**service).copied().unwrap_or(u32::MAX),
    };
    match &r.service {
        Some(service) => vec![share(service, 1)],
        None => r.backends.iter().map(|b| share(&b.service, b.weight)).collect(),
    }
}
