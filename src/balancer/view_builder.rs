//! Builds the view anew after each change, touching only what changed: a key
//! is parsed once per revision, and a service whose targets stayed the same
//! keeps its table.

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

/// One key of the store, parsed.
#[derive(Clone, Debug)]
enum Record {
    Profile(ProfileSettings),
    Target(record::Target),
    Drain(Arc<str>),
    Other,
}

/// What the view is built from, kept between changes of the store.
#[derive(Debug)]
pub struct ViewBuilder {
    keys: KeyLayout,
    parsed: BTreeMap<Arc<str>, (i64, Record)>,
    pools: HashMap<Service, Arc<Pool>>,
    /// The judgement of the announcements.
    pub registry: TargetRegistry,
}

impl ViewBuilder {
    /// A builder for the store's `keys`, whose announcements `roster` judges.
    #[must_use]
    pub fn new(keys: KeyLayout, roster: TargetRegistry) -> Self {
        Self { keys, parsed: BTreeMap::new(), pools: HashMap::new(), registry: roster }
    }

    /// The view of the store's keys as they are now.
    pub fn build(&mut self, copy: &KeyMap, now: Instant) -> View {
        self.parse(copy);
        let targets = self.records().filter_map(|r| match r {
            Record::Target(t) => Some(t.clone()),
            _ => None,
        });
        let targets = targets.collect();
        self.registry.update(targets, now);
        self.pool(now);
        let routes = self.records().filter_map(|r| match r {
            Record::Profile(spec) => {
                let pool = self.pools.get(&spec.service)?.clone();
                Some((spec.listen.port(), Route { profile: spec.clone(), pool }))
            }
            _ => None,
        });
        View { routes: routes.collect() }
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.parsed.values().map(|(_, record)| record)
    }

    fn parse(&mut self, copy: &KeyMap) {
        self.parsed.retain(|key, _| copy.contains_key(key));
        for (key, kv) in copy {
            if self.parsed.get(key).is_none_or(|(rev, _)| *rev != kv.rev) {
                self.parsed.insert(key.clone(), (kv.rev, record(&self.keys, kv)));
            }
        }
    }

    /// Brings the pool of every service that a profile names up to date.
    fn pool(&mut self, now: Instant) {
        let mut services = HashSet::new();
        let mut drains = HashSet::new();
        for r in self.records() {
            match r {
                Record::Profile(spec) => drop(services.insert(spec.service)),
                Record::Drain(name) => drop(drains.insert(name.clone())),
                Record::Target(_) | Record::Other => {}
            }
        }
        let mut pools = HashMap::new();
        for service in services {
            let serving: Vec<(Arc<str>, SocketAddrV4)> = self
                .registry
                .serving(service, now)
                .filter(|t| !drains.contains(&t.name))
                .filter_map(|t| Some((t.name.clone(), v4(t.agent)?)))
                .collect();
            let owners = self.registry.owners(service).filter_map(|t| v4(t.agent)).collect();
            let before = self.pools.get(&service);
            let pool = match before {
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

fn record(keys: &KeyLayout, kv: &Kv) -> Record {
    match keys.split(&kv.key) {
        Some(("profiles", _)) => serde_json::from_slice::<record::Profile>(&kv.value)
            .map_or(Record::Other, |p| Record::Profile(p.spec)),
        Some(("targets", _)) => {
            serde_json::from_slice(&kv.value).map_or(Record::Other, Record::Target)
        }
        Some(("drain", name)) => Record::Drain(name.into()),
        _ => Record::Other,
    }
}

/// Agents have IPv4 addresses only, as an owner has room for no other; the
/// settings refuse any other.
const fn v4(addr: SocketAddr) -> Option<SocketAddrV4> {
    match addr {
        SocketAddr::V4(a) => Some(a),
        SocketAddr::V6(_) => None,
    }
}
