//! Which services each route has had, recorded in the store: a flow that opened before the route's
//! service was replaced lives on at the earlier one, and balancers that start later could not know.
//!
//! Each pair of a route and a service is recorded once, when it first comes into force, so that
//! nothing needs to be written in time when it ends. The record is split into shards by the
//! routes' addresses; the writes are conditional, as any balancer may make them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::relay::{SYSTEM_PREFIX, parts};
use crate::steering::{Routes, WeightedService};
use crate::store::{Kv, Snapshot};
use crate::{events, metrics};

/// Number of shards. A new route changes one of them, which is sent to every balancer; more shards
/// mean more writes when a deployment first starts.
const SHARD_COUNT: usize = 16;

/// Services by the address that callers connect to, of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Shard {
    routes: BTreeMap<SocketAddrV4, Vec<Arc<str>>>,
}

/// A shard to write, provided that its key is still at revision `rev`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardWrite {
    /// Key of the shard.
    pub key: String,
    /// Expected revision; 0 if the key must not exist.
    pub rev: i64,
    /// The shard, encoded.
    pub value: Vec<u8>,
}

/// The record as the store has it, and what this process has seen of the configuration.
#[derive(Debug)]
pub struct RouteHistory {
    /// By number, with the revision of the key.
    shards: Vec<(i64, Shard)>,
    /// Since when the configuration in force has lacked a recorded pair.
    absent: BTreeMap<(SocketAddrV4, Arc<str>), Instant>,
    /// How long a pair is kept after that: longer than flows may live.
    retention: Duration,
}

impl RouteHistory {
    /// An empty record, whose pairs are kept for `retention` after they have ended.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        let shards = vec![(0, Shard::default()); SHARD_COUNT];
        Self { shards, absent: BTreeMap::new(), retention }
    }

    /// The services that the route of `vip` has had, as far as they are recorded.
    #[must_use]
    pub fn services(&self, vip: SocketAddrV4) -> &[Arc<str>] {
        let (_, shard) = &self.shards[shard_number(vip)];
        shard.routes.get(&vip).map_or(&[], Vec::as_slice)
    }

    /// Takes over the shards that changed; returns whether any did. One that cannot be decoded
    /// counts as empty, and is replaced by the next write.
    pub fn apply(&mut self, snapshot: &Snapshot) -> bool {
        let mut changed = false;
        for (n, (rev, shard)) in self.shards.iter_mut().enumerate() {
            let kv = snapshot.keys.get(shard_key(n).as_str());
            let latest = kv.map_or(0, |kv| kv.rev);
            if *rev != latest {
                *rev = latest;
                *shard = kv.map(decode).unwrap_or_default();
                changed = true;
            }
        }
        changed
    }

    /// The writes that record every pair of `routes`. Each also removes the pairs of its shard
    /// that ended long ago.
    #[must_use]
    pub fn pending(&mut self, routes: &Routes, now: Instant) -> Vec<ShardWrite> {
        self.observe(routes, now);
        let mut changed: BTreeMap<usize, Shard> = BTreeMap::new();
        for (vip, route) in &routes.by_address {
            let n = shard_number(*vip);
            for WeightedService { service, .. } in &route.services {
                if self.services(*vip).contains(service) {
                    continue;
                }
                let shard = changed.entry(n).or_insert_with(|| self.without_ended(n, now));
                let services = shard.routes.entry(*vip).or_default();
                if !services.contains(service) {
                    services.push(service.clone());
                }
            }
        }
        let encode = |(n, shard): (usize, Shard)| {
            let value = postcard::to_stdvec(&shard).inspect_err(log_not_encoded).ok()?;
            Some(ShardWrite { key: shard_key(n), rev: self.shards[n].0, value })
        };
        changed.into_iter().filter_map(encode).collect()
    }

    /// Notes since when recorded pairs are not part of `routes`.
    fn observe(&mut self, routes: &Routes, now: Instant) {
        let in_force = |vip: &SocketAddrV4, service: &Arc<str>| {
            let route = routes.by_address.get(vip);
            route.is_some_and(|r| r.services.iter().any(|s| s.service == *service))
        };
        let mut absent = BTreeMap::new();
        for (vip, services) in self.shards.iter().flat_map(|(_, shard)| &shard.routes) {
            for service in services.iter().filter(|s| !in_force(vip, s)) {
                let pair = (*vip, service.clone());
                let since = self.absent.get(&pair).copied().unwrap_or(now);
                absent.insert(pair, since);
            }
        }
        self.absent = absent;
    }

    /// Shard `n` without the pairs that ended more than the retention ago.
    fn without_ended(&self, n: usize, now: Instant) -> Shard {
        let mut shard = self.shards[n].1.clone();
        for (vip, services) in &mut shard.routes {
            services.retain(|s| {
                let since = self.absent.get(&(*vip, s.clone()));
                since.is_none_or(|at| now.saturating_duration_since(*at) < self.retention)
            });
        }
        shard.routes.retain(|_, services| !services.is_empty());
        shard
    }
}

fn shard_key(n: usize) -> String {
    format!("{SYSTEM_PREFIX}route-services/{n}")
}

fn shard_number(vip: SocketAddrV4) -> usize {
    parts::part_number(vip) % SHARD_COUNT
}

fn decode(kv: &Kv) -> Shard {
    postcard::from_bytes(&kv.value)
        .inspect_err(|e| {
            metrics::count_drop("route_services_unreadable");
            log::error!(
                event = events::EDGE_CONFIG, key:% = kv.key, error:% = e;
                "record of the routes' services cannot be decoded; writing it anew"
            );
        })
        .unwrap_or_default()
}

fn log_not_encoded(e: &postcard::Error) {
    log::error!(
        event = events::EDGE_CONFIG, error:% = e;
        "record of the routes' services cannot be encoded; not written"
    );
}
