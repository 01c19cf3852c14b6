//! The configuration of one agent, read from a snapshot of the store: the
//! profiles by port, and whether the agent's target is draining.

use std::collections::HashMap;

use crate::record;
use crate::settings::ProfileSettings;
use crate::store::{KeyLayout, Snapshot};

/// Configuration in force for one agent.
#[derive(Clone, Debug, Default)]
pub struct AgentConfig {
    /// Profiles of all services, by caller-facing port.
    pub profiles: HashMap<u16, ProfileSettings>,
    /// Whether an operator ordered the agent's target to drain.
    pub draining: bool,
}

impl AgentConfig {
    /// Reads the configuration for the target `name`. Profiles that cannot be
    /// parsed are skipped.
    #[must_use]
    pub fn read(keys: &KeyLayout, snapshot: &Snapshot, name: &str) -> Self {
        let mut profiles = HashMap::new();
        for kv in snapshot.keys.values() {
            let Some(("profiles", _)) = keys.split(&kv.key) else { continue };
            if let Ok(p) = serde_json::from_slice::<record::Profile>(&kv.value) {
                profiles.insert(p.spec.listen.port(), p.spec);
            }
        }
        let draining = snapshot.keys.contains_key(keys.drain_order(name).as_str());
        Self { profiles, draining }
    }
}
