//! What operators have ordered, as one agent sees it: the profiles of its
//! service by port, and whether its own target drains.

use std::collections::HashMap;

use crate::record;
use crate::settings::ProfileSettings;
use crate::store::{KeyLayout, Snapshot};

/// The orders in force for one agent.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// Profiles by caller-facing port.
    pub profiles: HashMap<u16, ProfileSettings>,
    /// Whether the agent's target is ordered out of service.
    pub drain: bool,
}

impl Orders {
    /// The orders for the target `name` in a copy of the store's keys.
    #[must_use]
    pub fn read(keys: &KeyLayout, copy: &Snapshot, name: &str) -> Self {
        let mut profiles = HashMap::new();
        for kv in copy.keys.values() {
            let Some(("profiles", _)) = keys.split(&kv.key) else { continue };
            if let Ok(p) = serde_json::from_slice::<record::Profile>(&kv.value) {
                profiles.insert(p.spec.listen.port(), p.spec);
            }
        }
        let drain = copy.keys.contains_key(keys.drain_order(name).as_str());
        Self { profiles, drain }
    }
}
