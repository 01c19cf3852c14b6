//! What a balancer knows: profiles by port and, for each, the lookup table
//! over the targets in service and the set of all its agents.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use crate::record;
use crate::settings::Service;
use crate::store::Keys;
use crate::store::mirror::Copy;
use crate::table::Table;

/// One profile as the balancer uses it.
#[derive(Clone, Debug)]
pub struct Route {
    /// The profile's name.
    pub name: Arc<str>,
    /// The service of its targets.
    pub service: Service,
    /// Targets in service, for new flows.
    pub table: Table<SocketAddr>,
    /// Every announced agent of the service, draining ones included: the
    /// owners that established flows may name.
    pub owners: HashSet<SocketAddrV4>,
}

/// Every profile the balancer can route, by caller-facing port.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Routes by port.
    pub routes: HashMap<u16, Route>,
}

impl View {
    /// Builds the view from a copy of the store's keys.
    #[must_use]
    pub fn build(keys: &Keys, copy: &Copy) -> Self {
        let mut profiles = Vec::new();
        let mut targets = Vec::new();
        let mut drains = HashSet::new();
        for kv in copy.values() {
            match keys.split(&kv.key) {
                Some(("profiles", _)) => {
                    if let Ok(p) = serde_json::from_slice::<record::Profile>(&kv.value) {
                        profiles.push(p.spec);
                    }
                }
                Some(("targets", _)) => {
                    if let Ok(t) = serde_json::from_slice::<record::Target>(&kv.value) {
                        targets.push(t);
                    }
                }
                Some(("drain", name)) => {
                    drains.insert(name.to_string());
                }
                _ => {}
            }
        }
        let mut routes = HashMap::new();
        for p in profiles {
            let of_service = targets.iter().filter(|t| t.service == p.service);
            let owners = of_service
                .clone()
                .filter_map(|t| match t.agent {
                    SocketAddr::V4(a) => Some(a),
                    SocketAddr::V6(_) => None,
                })
                .collect();
            let serving = of_service
                .filter(|t| !drains.contains(&*t.name))
                .map(|t| (t.name.clone(), t.agent))
                .collect();
            let route = Route {
                name: p.name.clone(),
                service: p.service,
                table: Table::new(serving),
                owners,
            };
            routes.insert(p.listen.port(), route);
        }
        Self { routes }
    }
}
