//! Faults that the fabric stand-in can be told to show.

use serde::{Deserialize, Serialize};

/// What the fabric does to packets on their way, in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Packets lost, per thousand.
    pub lose: u32,
    /// Packets sent twice, per thousand.
    pub double: u32,
    /// Packets delayed past later ones, per thousand.
    pub delay: u32,
    /// Flows open when this is set go silent for good; new ones work.
    pub mute: bool,
}
