//! The balancer's view of profiles and targets: routes by port, each with the
//! lookup table for new flows and the agents that may own established ones.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::ViewBuilder;
use crate::maglev::MaglevTable;
use crate::settings::ProfileSettings;
use crate::store::KeyLayout;
use crate::store::mirror::KeyMap;

/// Where the packets of one profile go.
#[derive(Clone, Debug)]
pub struct Route {
    /// The profile as written by the operator.
    pub profile: ProfileSettings,
    /// The targets of its service; shared by all profiles of the service.
    pub pool: Arc<Pool>,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Agent addresses of the targets that may get new flows.
    pub table: MaglevTable<SocketAddrV4>,
    /// Addresses of all agents that established flows may name as owner,
    /// including those of draining targets.
    pub owners: HashSet<SocketAddrV4>,
}

/// Routes of all profiles that the balancer serves.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Routes by caller-facing port.
    pub routes: HashMap<u16, Route>,
}

impl View {
    /// Builds a view without history: uses exactly the targets registered in
    /// `key_map`.
    #[must_use]
    pub fn build(keys: &KeyLayout, key_map: &KeyMap) -> Self {
        let mut builder = ViewBuilder::new(keys.clone(), super::TargetRegistry::default());
        builder.build(key_map, Instant::now())
    }
}
