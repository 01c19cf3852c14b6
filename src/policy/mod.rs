//! Every figure and mechanism that decides under load and trouble, in one
//! place: what a balancer ([`Steering`]) and an agent ([`Holding`]) go by.
//!
//! All have defaults, so that settings name only what differs; each can be
//! varied alone, which is how `jujubepost experiment` measures its worth.

mod holding;
mod mechanism;
mod millis;
mod steering;

pub use holding::Holding;
pub use mechanism::Mechanism;
use serde::{Deserialize, Serialize};
pub use steering::{Steering, Suspicion};

/// What both go by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// A balancer's decisions.
    pub steer: Steering,
    /// An agent's decisions.
    pub hold: Holding,
}

impl Policy {
    /// Checks that the figures fit together.
    ///
    /// # Errors
    ///
    /// Names the first field that does not.
    pub fn check(&self) -> anyhow::Result<()> {
        self.steer.check()?;
        self.hold.check()
    }
}
