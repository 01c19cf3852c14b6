//! Faults that a process can be told to show, for tests and trials.

use serde::{Deserialize, Serialize};

/// What the fabric does to packets on their way, in both directions, and what
/// a balancer does to its view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Fabric: packets lost, per thousand.
    pub lose: u32,
    /// Fabric: packets sent twice, per thousand.
    pub double: u32,
    /// Fabric: packets delayed past later ones, per thousand.
    pub delay: u32,
    /// Fabric: flows open when this is set go silent for good; new ones work.
    pub mute: bool,
    /// Balancer: changes of the store do not reach the view while set.
    pub blind: bool,
}
