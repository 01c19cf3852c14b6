//! Applies snapshots of the store to a balancer's state. Each value is decoded once
//! per revision, so that a change of one agent does not cost decoding the whole
//! configuration and all other agents.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Instant;

use super::AGENT_PREFIX;
use crate::relay::{self, Index, Part};
use crate::steering::{EvacuationList, FlowSteering, ListedAgent, Routes};
use crate::store::revision::RevisionText;
use crate::store::{Kv, Snapshot};
use crate::{events, metrics, platform};

/// Decodes snapshots incrementally; caches the decoded values by revision.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    config_rev: i64,
    /// Whether the operators' configuration at `config_rev` cannot be decoded.
    unreadable: bool,
    index_rev: i64,
    parts: BTreeMap<Arc<str>, (i64, Part)>,
    agents: BTreeMap<Arc<str>, (i64, Option<ListedAgent>)>,
}

impl SnapshotReader {
    /// Applies the changes since the last snapshot to `steering`: evacuations first, so
    /// that no flow is offered to a new agent of an evacuated data centre.
    pub fn apply_snapshot(&mut self, steering: &mut FlowSteering, snapshot: &Snapshot) {
        steering.set_routes_complete(snapshot.complete_rev > 0);
        let index = relay::read_index(snapshot);
        apply_evacuations(steering, snapshot, index.as_ref().map(|(index, _)| index));
        if let Some(kv) = snapshot.keys.get(platform::config::CONFIG_KEY)
            && kv.rev != self.config_rev
        {
            self.config_rev = kv.rev;
            self.unreadable = !apply_config(steering, kv);
        }
        if let Some((index, rev)) = &index {
            self.apply_parts(steering, snapshot, index, *rev);
        }
        steering.apply_route_history(snapshot);
        if self.decode_agents(snapshot) {
            let agents: Vec<ListedAgent> =
                self.agents.values().filter_map(|(_, a)| a.clone()).collect();
            if steering.roster.update(&agents, Instant::now()) {
                log::info!(
                    event = events::EDGE_ROSTER, listed = agents.len(),
                    believed = steering.roster.len(), rev:% = RevisionText(snapshot.rev);
                    "list of registered agents changed"
                );
            }
        }
    }

    /// Whether the configuration in force is at least as new as the operators' in the last snapshot.
    #[must_use]
    pub const fn follows_config(&self) -> bool {
        !self.unreadable
    }

    /// Applies the configuration that a relay published in parts, if it is newer
    /// than the one in force.
    fn apply_parts(
        &mut self,
        steering: &mut FlowSteering,
        snapshot: &Snapshot,
        index: &Index,
        rev: i64,
    ) {
        if rev == self.index_rev {
            return;
        }
        if steering.config_version() >= Some(index.version) {
            self.index_rev = rev;
            return;
        }
        // A listing may hold an index newer than its parts; the watch that follows
        // delivers the rest.
        let Some(kvs) = relay::consistent_parts(snapshot, index) else { return };
        let mut parts = BTreeMap::new();
        let mut decoded = 0;
        for kv in kvs {
            let cached = self.parts.remove(&kv.key).filter(|(rev, _)| *rev == kv.rev);
            let part = match cached {
                Some((_, part)) => part,
                None => match relay::parts::decode(&kv.value) {
                    Ok(part) => {
                        decoded += 1;
                        part
                    }
                    Err(e) => {
                        log_unreadable_config(kv, &e);
                        return;
                    }
                },
            };
            parts.insert(kv.key.clone(), (kv.rev, part));
        }
        self.index_rev = rev;
        let routes = relay::parts::join(index, parts.values().map(|(_, part)| part));
        self.parts = parts;
        apply_routes(steering, routes, rev, decoded);
    }

    /// Decodes the registrations that changed. Returns whether any was added,
    /// changed or removed.
    fn decode_agents(&mut self, snapshot: &Snapshot) -> bool {
        let before = self.agents.len();
        // A listing in pages may hold some registrations of a time of which it lacks others. They
        // count once the watch has told of those.
        let is_complete = |kv: &Kv| kv.created <= snapshot.rev;
        self.agents.retain(|key, _| snapshot.keys.get(key).is_some_and(is_complete));
        let mut changed = self.agents.len() != before;
        let from = (Bound::Included(AGENT_PREFIX), Bound::Unbounded);
        for (key, kv) in snapshot.keys.range::<str, _>(from) {
            if !key.starts_with(AGENT_PREFIX) {
                break;
            }
            if !is_complete(kv) {
                continue;
            }
            if self.agents.get(key).is_none_or(|(rev, _)| *rev != kv.rev) {
                self.agents.insert(key.clone(), (kv.rev, decode_agent(kv)));
                changed = true;
            }
        }
        changed
    }
}

/// Applies the evacuations that operators ordered, from their keys or, if those are not
/// watched, from the index that a relay published: the newer list is in force.
fn apply_evacuations(steering: &mut FlowSteering, snapshot: &Snapshot, index: Option<&Index>) {
    let now = Instant::now();
    let prefix = platform::config::EVACUATION_PREFIX;
    let from = (Bound::Included(prefix), Bound::Unbounded);
    let ordered = snapshot
        .keys
        .range::<str, _>(from)
        .map_while(|(key, kv)| key.strip_prefix(prefix).map(|zone| (Arc::from(zone), kv.rev)));
    let list = EvacuationList { as_of: snapshot.complete_rev, zones: ordered.collect() };
    steering.apply_evacuations(list, now);
    if let Some(list) = index.and_then(|index| index.evacuations.clone()) {
        steering.apply_evacuations(list, now);
    }
}

/// Decodes an agent's registration. One that is invalid, or names another VM than
/// its key, is ignored.
fn decode_agent(kv: &Kv) -> Option<ListedAgent> {
    let (reason, error) = match serde_json::from_slice::<ListedAgent>(&kv.value) {
        Ok(a) if kv.key.strip_prefix(AGENT_PREFIX) == Some(&a.addr.ip().to_string()) => {
            return Some(ListedAgent { registered: kv.created, ..a });
        }
        Ok(a) => ("entry_of_other_vm", format!("names {}", a.addr)),
        Err(e) => ("entry_unreadable", e.to_string()),
    };
    metrics::count_drop(reason);
    log::error!(
        event = events::EDGE_ROSTER, key:% = kv.key, reason = reason, error:% = error;
        "agent's registration is invalid; ignored"
    );
    None
}

/// Applies the operators' configuration, unless a newer one is in force. Returns whether it can be
/// decoded.
fn apply_config(steering: &mut FlowSteering, kv: &Kv) -> bool {
    let decoded = platform::config::decode(&kv.value);
    let is_readable = decoded.is_ok();
    match decoded {
        Ok(routes) => apply_routes(steering, routes, kv.rev, 0),
        Err(e) => log_unreadable_config(kv, &e),
    }
    is_readable
}

/// Applies `routes`; `decoded_parts` is only logged.
fn apply_routes(steering: &mut FlowSteering, routes: Routes, rev: i64, decoded_parts: usize) {
    let (version, n) = (routes.version, routes.by_address.len());
    let in_force = steering.config_version();
    if in_force > Some(version) {
        log::warn!(
            event = events::EDGE_CONFIG, version = version, in_force:? = in_force,
            rev:% = RevisionText(rev);
            "configuration is older than the one in force; ignored"
        );
    }
    if steering.apply_routes(routes) {
        log::info!(
            event = events::EDGE_CONFIG, version = version, routes = n, rev:% = RevisionText(rev),
            parts = decoded_parts;
            "configuration in force"
        );
    }
}

fn log_unreadable_config(kv: &Kv, e: &dyn std::fmt::Display) {
    metrics::count_drop("configuration_unreadable");
    log::error!(
        event = events::EDGE_CONFIG, key:% = kv.key, rev:% = RevisionText(kv.rev), error:% = format!("{e:#}");
        "configuration cannot be decoded; the last one stays in force"
    );
}
