//! Tunable timeouts, budgets and limits of balancers ([`BalancerPolicy`]) and agents
//! ([`AgentPolicy`]).
//!
//! Every field has a default; the settings file lists only fields that differ from it.
//! `jujubepost experiment` measures the effect of changing a field or of disabling a
//! [`Mechanism`], such as retry limits or exponential backoff.

mod agent;
mod balancer;
mod mechanism;
mod millis;
mod zone_balance;

use serde::{Deserialize, Serialize};

pub use agent::AgentPolicy;
pub use balancer::{BalancerPolicy, SuspicionPolicy};
pub use mechanism::Mechanism;
pub use zone_balance::ZoneBalancePolicy;

/// Policy of balancers and agents: `policy` in the settings file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How balancers choose targets for flows, retry and forward, and detect failed
    /// agents.
    #[serde(rename = "steer")]
    pub balancer: BalancerPolicy,
    /// How agents track flows, refuse new ones and probe their targets.
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
