//! Reads what the store's keys say, touching only what changed: each value is
//! parsed once per revision. A change of one agent's entry must not cost the
//! parsing of the whole configuration and of every other entry.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Instant;

use super::AGENTS;
use crate::relay::{self, Part};
use crate::steer::{Announced, Routes, Steer};
use crate::store::{Kv, Snapshot};
use crate::{events, metrics, platform};

/// What was read so far, by revision.
#[derive(Debug, Default)]
pub struct Reader {
    config: i64,
    index: i64,
    parts: BTreeMap<Arc<str>, (i64, Part)>,
    agents: BTreeMap<Arc<str>, (i64, Option<Announced>)>,
}

impl Reader {
    /// Applies what the store's keys say now to `steer`.
    pub fn apply_snapshot(&mut self, steer: &mut Steer, copy: &Snapshot) {
        if let Some(kv) = copy.keys.get(platform::config::CONFIG_KEY)
            && kv.rev != self.config
        {
            self.config = kv.rev;
            apply_config(steer, kv);
        }
        self.read_parts(steer, copy);
        if self.read_agents(copy) {
            let agents: Vec<Announced> =
                self.agents.values().filter_map(|(_, a)| a.clone()).collect();
            if steer.roster.update(&agents, Instant::now()) {
                log::info!(
                    event = events::EDGE_ROSTER, listed = agents.len(),
                    believed = steer.roster.len(), rev = copy.rev;
                    "agents listed"
                );
            }
        }
    }

    /// Applies a configuration that a relay published in parts, if it is newer.
    fn read_parts(&mut self, steer: &mut Steer, copy: &Snapshot) {
        let Some((index, rev)) = relay::index(copy).filter(|(_, rev)| *rev != self.index) else {
            return;
        };
        if steer.version() >= Some(index.version) {
            self.index = rev;
            return;
        }
        // The parts of a listing may be older than its index; the watch after
        // it brings the rest.
        let Some(kvs) = relay::whole(copy, &index) else { return };
        let mut parts = BTreeMap::new();
        let mut read = 0;
        for kv in kvs {
            let known = self.parts.remove(&kv.key).filter(|(rev, _)| *rev == kv.rev);
            let part = match known {
                Some((_, part)) => part,
                None => match relay::parts::decode(&kv.value) {
                    Ok(part) => {
                        read += 1;
                        part
                    }
                    Err(e) => {
                        log_rejected(kv, &e);
                        return;
                    }
                },
            };
            parts.insert(kv.key.clone(), (kv.rev, part));
        }
        self.index = rev;
        let routes = relay::parts::join(&index, parts.values().map(|(_, part)| part));
        self.parts = parts;
        apply(steer, routes, rev, read);
    }

    /// Reads the agents' entries that changed; says whether any did.
    fn read_agents(&mut self, copy: &Snapshot) -> bool {
        let before = self.agents.len();
        self.agents.retain(|key, _| copy.keys.contains_key(key));
        let mut changed = self.agents.len() != before;
        let from = (Bound::Included(AGENTS), Bound::Unbounded);
        for (key, kv) in copy.keys.range::<str, _>(from) {
            if !key.starts_with(AGENTS) {
                break;
            }
            if self.agents.get(key).is_none_or(|(rev, _)| *rev != kv.rev) {
                self.agents.insert(key.clone(), (kv.rev, announced(kv)));
                changed = true;
            }
        }
        changed
    }
}

/// Reads an agent's entry. One that cannot be read, or that names another VM
/// than its key, names no agent; the others hold.
fn announced(kv: &Kv) -> Option<Announced> {
    let (reason, error) = match serde_json::from_slice::<Announced>(&kv.value) {
        Ok(a) if kv.key.strip_prefix(AGENTS) == Some(&a.addr.ip().to_string()) => return Some(a),
        Ok(a) => ("entry_of_other_vm", format!("names {}", a.addr)),
        Err(e) => ("entry_unreadable", e.to_string()),
    };
    metrics::dropped(reason);
    log::error!(
        event = events::EDGE_ROSTER, key:% = kv.key, reason = reason, error:% = error;
        "agent's entry refused"
    );
    None
}

/// Applies what the operators wrote, unless something newer is in force.
fn apply_config(steer: &mut Steer, kv: &Kv) {
    match platform::config::decode(&kv.value) {
        Ok(routes) => apply(steer, routes, kv.rev, 0),
        Err(e) => log_rejected(kv, &e),
    }
}

/// Applies `routes`, of which `parts` parts were read anew.
fn apply(steer: &mut Steer, routes: Routes, rev: i64, parts: usize) {
    let (version, n) = (routes.version, routes.routes.len());
    if steer.apply_routes(routes) {
        log::info!(
            event = events::EDGE_CONFIG, version = version, routes = n, rev = rev, parts = parts;
            "configuration in force"
        );
    }
}

fn log_rejected(kv: &Kv, e: &dyn std::fmt::Display) {
    metrics::dropped("configuration_unreadable");
    log::error!(
        event = events::EDGE_CONFIG, key:% = kv.key, rev = kv.rev, error:% = format!("{e:#}");
        "configuration refused, the last one stays in force"
    );
}
