//! What an agent goes by.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::millis;

/// What an agent goes by. Times are in milliseconds in settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentPolicy {
    /// How long an open is remembered without an answer of the target: callers
    /// give it up after 1.4 s.
    #[serde(with = "millis")]
    #[serde(rename = "open_kept")]
    pub open_ttl: Duration,
    /// How long an open counts as waiting work before the caller's first packet
    /// after it: a handshake takes some 5 ms. After an outage many of the opens
    /// that are carried have been given up by their callers; counted for longer,
    /// they would make idle targets look busy.
    #[serde(with = "millis")]
    #[serde(rename = "open_wait")]
    pub handshake_timeout: Duration,
    /// How long a flow counts as waiting for its target's answer at most: a full
    /// queue of a target that is five times as slow takes 1.4 s. An answer that
    /// the agent did not see (it was restarted) must not count for ever.
    #[serde(with = "millis")]
    #[serde(rename = "longest_work")]
    pub request_timeout: Duration,
    /// Requests that may wait for a slot before opens are declined, in slots: a
    /// queue as long as the slots makes a request take twice its work.
    #[serde(rename = "queue")]
    pub queue_ratio: f64,
    /// The same for opens that have waited long themselves.
    #[serde(rename = "aged_queue")]
    pub aged_queue_ratio: f64,
    /// How long a target that gave an open back is offered none: it is full, or
    /// its process is over, which trying its port shows meanwhile.
    #[serde(with = "millis")]
    #[serde(rename = "full")]
    pub full_pause: Duration,
    /// How long a flow that ended is remembered, so that late packets still
    /// reach its target: twice the ends' longest pause between copies (1.6 s).
    #[serde(with = "millis")]
    #[serde(rename = "closed")]
    pub closed_ttl: Duration,
    /// How long a target that no longer reports keeps its flows after it said
    /// that it ends: it may still send its last packets.
    #[serde(with = "millis")]
    #[serde(rename = "ending")]
    pub shutdown_grace: Duration,
    /// How long an agent that the store did not list before takes no flow after
    /// its target's first report, on which it lists itself. Balancers look at
    /// the store again 0.3 s after a change, so some see the agent that much
    /// later than the first; asked for a flow that it took meanwhile, they would
    /// find that no agent they know holds it, and reset it. The rest is for the
    /// write and the watch.
    #[serde(with = "millis")]
    #[serde(rename = "seen")]
    pub announce_delay: Duration,
    /// Silence after an open was handed to the target before its port is tried:
    /// a handshake takes 0.3 ms, and a balancer offers the flow elsewhere after
    /// 40.
    #[serde(with = "millis")]
    #[serde(rename = "silent_open")]
    pub open_probe_delay: Duration,
    /// Silence after a request was handed to the target before its port is
    /// tried: longer than a request takes, and a busy target answers others
    /// meanwhile.
    #[serde(with = "millis")]
    #[serde(rename = "silent_work")]
    pub request_probe_delay: Duration,
    /// Whether the agent remembers to whom it passed opens on, and says so when
    /// asked for their owner.
    #[serde(rename = "hints")]
    pub hints_enabled: bool,
}

impl Default for AgentPolicy {
    fn default() -> Self {
        Self {
            open_ttl: Duration::from_millis(1_500),
            handshake_timeout: Duration::from_millis(80),
            request_timeout: Duration::from_millis(2_000),
            queue_ratio: 1.0,
            aged_queue_ratio: 0.0,
            full_pause: Duration::from_millis(250),
            closed_ttl: Duration::from_millis(3_200),
            shutdown_grace: Duration::from_millis(500),
            announce_delay: Duration::from_millis(500),
            open_probe_delay: Duration::from_millis(60),
            request_probe_delay: Duration::from_millis(400),
            hints_enabled: true,
        }
    }
}

impl AgentPolicy {
    pub(super) fn check(&self) -> anyhow::Result<()> {
        for (field, part) in [("queue", self.queue_ratio), ("aged_queue", self.aged_queue_ratio)] {
            if !(0.0..1e6).contains(&part) {
                bail!("field `policy.hold.{field}`: must not be negative");
            }
        }
        if self.open_probe_delay.is_zero() || self.request_probe_delay.is_zero() {
            bail!("field `policy.hold.silent_open`, `silent_work`: must be at least 1");
        }
        Ok(())
    }
}
