//! What a balancer knows: profiles by port and, for each, the lookup table
//! over the targets in service and the set of all its agents.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::ViewBuilder;
use crate::maglev::MaglevTable;
use crate::settings::ProfileSettings;
use crate::store::KeyLayout;
use crate::store::mirror::KeyMap;

/// One profile as the balancer uses it.
#[derive(Clone, Debug)]
pub struct Route {
    /// The profile as the operator declared it.
    pub profile: ProfileSettings,
    /// The targets of its service, shared by every profile of that service.
    pub pool: Arc<Pool>,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Targets in service, for new flows.
    pub table: MaglevTable<SocketAddrV4>,
    /// Every known agent of the service, draining ones included: the owners
    /// that established flows may name.
    pub owners: HashSet<SocketAddrV4>,
}

/// Every profile the balancer can route, by caller-facing port.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Routes by port.
    pub routes: HashMap<u16, Route>,
}

impl View {
    /// Builds the view from a copy of the store's keys, trusting every
    /// announcement as it stands.
    #[must_use]
    pub fn build(keys: &KeyLayout, copy: &KeyMap) -> Self {
        let mut builder = ViewBuilder::new(keys.clone(), super::TargetRegistry::default());
        builder.build(copy, Instant::now())
    }
}
