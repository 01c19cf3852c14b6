//! Tunable timeouts, budgets and limits of balancers ([`BalancerPolicy`]) and agents
//! ([`AgentPolicy`]).
//!
//! Every field has a default, so settings name only what differs. `jujubepost
//! experiment` measures the effect of changing a field or disabling a [`Mechanism`].

mod agent;
mod balancer;
mod mechanism;
mod millis;

use serde::{Deserialize, Serialize};

pub use agent::AgentPolicy;
pub use balancer::{BalancerPolicy, SuspicionPolicy};
pub use mechanism::Mechanism;

/// Settings of both roles.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Settings of balancers.
    #[serde(rename = "steer")]
    pub balancer: BalancerPolicy,
    /// Settings of agents.
    #[serde(rename = "hold")]
    pub agent: AgentPolicy,
}

impl Policy {
    /// Checks that each field is in its range.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> anyhow::Result<()> {
        self.balancer.check()?;
        self.agent.check()
    }
}
