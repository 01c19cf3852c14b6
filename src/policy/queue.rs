//! Limits of the queue of opens at an agent.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::millis;

/// Policy of the queue of opens. Durations are in milliseconds in the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueuePolicy {
    /// Whether opens that find no free slot are queued. Only those whose balancers say what
    /// their callers need are.
    pub enabled: bool,
    /// Most opens queued.
    pub max_len: u32,
    /// How long an open is queued at most, since its SYN reached a balancer. Callers give up
    /// after 1.4 s.
    #[serde(with = "millis")]
    pub max_wait: Duration,
    /// Grants in a row to more urgent opens while a less urgent one waits; then one goes to
    /// the less urgent. The share of the least urgent is 1 in one more than this.
    pub fair_share: u32,
    /// Interval at which queued opens are checked for those that will not be delivered.
    #[serde(with = "millis")]
    pub check_interval: Duration,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            max_len: 64,
            max_wait: Duration::from_millis(1_300),
            fair_share: 7,
            check_interval: Duration::from_millis(20),
        }
    }
}

impl QueuePolicy {
    pub(super) fn check(&self) -> anyhow::Result<()> {
        if self.max_len == 0 || self.fair_share == 0 {
            bail!("field `policy.hold.queued.max_len`, `fair_share`: must be at least 1");
        }
        if self.max_wait.is_zero() || self.check_interval.is_zero() {
            bail!("field `policy.hold.queued.max_wait`, `check_interval`: must be at least 1");
        }
        Ok(())
    }
}
