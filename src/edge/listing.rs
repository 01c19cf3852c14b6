//! Reads what the store's keys say, touching only what changed: each value is
//! parsed once per revision. A change of one agent's entry must not cost the
//! parsing of the whole configuration and of every other entry.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Instant;

use super::AGENTS;
use crate::steer::{Announced, Steer};
use crate::store::{Kv, Snapshot};
use crate::{events, platform};

/// What was read so far, by revision.
#[derive(Debug, Default)]
pub struct Reader {
    config: i64,
    agents: BTreeMap<Arc<str>, (i64, Option<Announced>)>,
}

impl Reader {
    /// Has `steer` know what the store's keys say now.
    pub fn learn(&mut self, steer: &mut Steer, copy: &Snapshot) {
        if let Some(kv) = copy.keys.get(platform::config::KEY)
            && kv.rev != self.config
        {
            self.config = kv.rev;
            obey(steer, kv);
        }
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

fn announced(kv: &Kv) -> Option<Announced> {
    serde_json::from_slice(&kv.value)
        .inspect_err(|e| {
            log::error!(
                event = events::EDGE_ROSTER, key:% = kv.key, error:% = e;
                "agent's entry refused"
            );
        })
        .ok()
}

/// Puts the configuration in force, unless a newer one is.
fn obey(steer: &mut Steer, kv: &Kv) {
    match platform::config::decode(&kv.value) {
        Ok(routes) => {
            let (version, n) = (routes.version, routes.routes.len());
            if steer.obey(routes) {
                log::info!(
                    event = events::EDGE_CONFIG, version = version, routes = n, rev = kv.rev;
                    "configuration in force"
                );
            }
        }
        Err(e) => log::error!(
            event = events::EDGE_CONFIG, rev = kv.rev, error:% = format!("{e:#}");
            "configuration refused, the last one stays in force"
        ),
    }
}
