//! Builds the view after each change of the store. Only changed keys are parsed
//! again, and the lookup table of a service is kept while its targets stay the
//! same.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use super::{Pool, Route, TargetRegistry, View};
use crate::maglev::MaglevTable;
use crate::record;
use crate::settings::{ProfileSettings, Service};
use crate::store::mirror::KeyMap;
use crate::store::{KeyLayout, Kv};

/// The parsed value of one key.
#[derive(Clone, Debug)]
enum Record {
    Profile(ProfileSettings),
    Target(record::Target),
    /// A drain order for the target of this name.
    Drain(Arc<str>),
    /// An order to evacuate the data centre of this name.
    Evacuation(Arc<str>),
    /// A key that the view does not use, or whose value cannot be parsed.
    Other,
}

/// Builds views incrementally; keeps parsed keys and pools between builds.
#[derive(Debug)]
pub struct ViewBuilder {
    keys: KeyLayout,
    /// Parsed keys with the revision they were parsed at.
    parsed: BTreeMap<Arc<str>, (i64, Record)>,
    pools: HashMap<Service, Arc<Pool>>,
    /// Registered targets, and missing ones that are still in use.
    pub registry: TargetRegistry,
}

impl ViewBuilder {
    /// A builder without parsed keys, for the layout `keys`.
    #[must_use]
    pub fn new(keys: KeyLayout, registry: TargetRegistry) -> Self {
        Self { keys, parsed: BTreeMap::new(), pools: HashMap::new(), registry }
    }

    /// Builds the view of the keys in `key_map`.
    pub fn build(&mut self, key_map: &KeyMap, now: Instant) -> View {
        self.parse_changed(key_map);
        let targets = self.records().filter_map(|r| match r {
            Record::Target(t) => Some(t.clone()),
            _ => None,
        });
        let targets = targets.collect();
        self.registry.update(targets, now);
        self.update_pools(now);
        let routes = self.records().filter_map(|r| match r {
            Record::Profile(profile) => {
                let pool = self.pools.get(&profile.service)?.clone();
                Some((profile.listen.port(), Route { profile: profile.clone(), pool }))
            }
            _ => None,
        });
        View { routes: routes.collect() }
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.parsed.values().map(|(_, record)| record)
    }

    fn parse_changed(&mut self, key_map: &KeyMap) {
        self.parsed.retain(|key, _| key_map.contains_key(key));
        for (key, kv) in key_map {
            if self.parsed.get(key).is_none_or(|(rev, _)| *rev != kv.rev) {
                self.parsed.insert(key.clone(), (kv.rev, parse_record(&self.keys, kv)));
            }
        }
    }

    /// Rebuilds the pools of the services in use; unchanged pools and tables are
    /// shared with the previous view.
    fn update_pools(&mut self, now: Instant) {
        let mut services = HashSet::new();
        let mut draining = HashSet::new();
        let mut evacuated = HashSet::new();
        for r in self.records() {
            match r {
                Record::Profile(profile) => drop(services.insert(profile.service)),
                Record::Drain(name) => drop(draining.insert(name.clone())),
                Record::Evacuation(zone) => drop(evacuated.insert(zone.clone())),
                Record::Target(_) | Record::Other => {}
            }
        }
        let mut pools = HashMap::new();
        for service in services {
            let serving: Vec<(Arc<str>, SocketAddrV4)> = self
                .registry
                .serving(service, now)
                .filter(|t| !draining.contains(&t.name) && !evacuated.contains(&t.zone))
                .filter_map(|t| Some((t.name.clone(), ipv4_addr(t.agent)?)))
                .collect();
            let owners = self.registry.owners(service).filter_map(|t| ipv4_addr(t.agent)).collect();
            let previous = self.pools.get(&service);
            let pool = match previous {
                Some(p) if p.table.entries() == serving && p.owners == owners => p.clone(),
                Some(p) if p.table.entries() == serving => {
                    Arc::new(Pool { table: p.table.clone(), owners })
                }
                _ => Arc::new(Pool { table: MaglevTable::new(serving), owners }),
            };
            pools.insert(service, pool);
        }
        self.pools = pools;
    }
}

fn parse_record(keys: &KeyLayout, kv: &Kv) -> Record {
    match keys.split(&kv.key) {
        Some(("profiles", _)) => serde_json::from_slice::<record::Profile>(&kv.value)
            .map_or(Record::Other, |p| Record::Profile(p.spec)),
        Some(("targets", _)) => {
            serde_json::from_slice(&kv.value).map_or(Record::Other, Record::Target)
        }
        Some(("drain", name)) => Record::Drain(name.into()),
        Some(("evacuate", zone)) => Record::Evacuation(zone.into()),
        _ => Record::Other,
    }
}

/// The IPv4 address, as an [`Owner`](crate::wire::Owner) cannot hold an IPv6 one.
const fn ipv4_addr(addr: SocketAddr) -> Option<SocketAddrV4> {
    match addr {
        SocketAddr::V4(a) => Some(a),
        SocketAddr::V6(_) => None,
    }
}
