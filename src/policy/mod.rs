//! Every figure and mechanism that decides under load and trouble, in one
//! place: what a balancer ([`BalancerPolicy`]) and an agent ([`AgentPolicy`]) go by.
//!
//! All have defaults, so that settings name only what differs; each can be
//! varied alone, which is how `jujubepost experiment` measures its worth.

mod agent;
mod balancer;
mod mechanism;
mod millis;

pub use agent::AgentPolicy;
pub use balancer::{BalancerPolicy, SuspicionPolicy};
pub use mechanism::Mechanism;
use serde::{Deserialize, Serialize};

/// What both go by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// A balancer's decisions.
    #[serde(rename = "steer")]
    pub balancer: BalancerPolicy,
    /// An agent's decisions.
    #[serde(rename = "hold")]
    pub agent: AgentPolicy,
}

impl Policy {
    /// Checks that the figures fit together.
    ///
    /// # Errors
    ///
    /// Names the first field that does not.
    pub fn check(&self) -> anyhow::Result<()> {
        self.balancer.check()?;
        self.agent.check()
    }
}
