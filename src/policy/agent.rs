//! Timeouts and limits of an agent.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::{OutlierPolicy, QueuePolicy, millis};

/// Policy of an agent. Durations are in milliseconds in the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentPolicy {
    /// How long an open without an answer of the target is tracked. Beyond the
    /// caller's connect timeout of 1.4 s, a larger value has no effect.
    #[serde(rename = "open_kept", with = "millis")]
    pub open_ttl: Duration,
    /// How long an open counts as load while the caller has not completed the
    /// handshake, which takes some 5 ms. With a larger value, opens whose callers have
    /// given up, as after an outage, make an idle target look busy.
    #[serde(rename = "open_wait", with = "millis")]
    pub handshake_timeout: Duration,
    /// How long a request without an answer counts as load. It bounds the error when
    /// the agent restarted and missed the answer. A full queue of a target that is five
    /// times as slow as usual takes 1.4 s.
    #[serde(rename = "longest_work", with = "millis")]
    pub request_timeout: Duration,
    /// Requests that may queue for a slot before opens are refused, as a multiple of
    /// the slots. At 1, a request takes at most about twice its own time.
    #[serde(rename = "queue")]
    pub queue_ratio: f64,
    /// The same limit for opens that balancers mark as aged.
    #[serde(rename = "aged_queue")]
    pub aged_queue_ratio: f64,
    /// How long a target that returned an open is offered none: it is full, or its process
    /// has ended, which the probe of its port shows meanwhile.
    #[serde(rename = "full", with = "millis")]
    pub full_pause: Duration,
    /// How long a closed flow is tracked, as in TCP's `TIME_WAIT`, so that late
    /// retransmissions still reach its target. Twice the longest pause between
    /// retransmissions, which is 1.6 s.
    #[serde(rename = "closed", with = "millis")]
    pub closed_ttl: Duration,
    /// How long a target that announced its shutdown and no longer reports keeps its
    /// flows, to send its last packets.
    #[serde(rename = "ending", with = "millis")]
    pub shutdown_grace: Duration,
    /// How long a newly listed agent accepts no flow after its target's first report.
    /// It should exceed the time in which every balancer reads the registration: one
    /// that does not know the agent would reset the agent's flows as lost. Balancers read
    /// up to 0.3 s after a change; the rest is for the write and the watch.
    #[serde(rename = "seen", with = "millis")]
    pub registration_delay: Duration,
    /// Silence of the target after an open before its port is probed. A handshake takes
    /// 0.3 ms, and balancers offer the flow elsewhere after 40 ms.
    #[serde(rename = "silent_open", with = "millis")]
    pub open_probe_delay: Duration,
    /// Silence of the target after a request before its port is probed. It should
    /// exceed the duration of a request; a busy target answers others meanwhile.
    #[serde(rename = "silent_work", with = "millis")]
    pub request_probe_delay: Duration,
    /// Whether the agent stores which agent it passed an open on to, and names it
    /// when it is queried for the flow's owner.
    #[serde(rename = "hints")]
    pub hints_enabled: bool,
    /// The queue of opens that find no free slot.
    pub queued: QueuePolicy,
    /// When the target is set aside because it fails requests.
    pub outlier: OutlierPolicy,
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
            registration_delay: Duration::from_millis(500),
            open_probe_delay: Duration::from_millis(60),
            request_probe_delay: Duration::from_millis(400),
            hints_enabled: true,
            queued: QueuePolicy::default(),
            outlier: OutlierPolicy::default(),
        }
    }
}

impl AgentPolicy {
    pub(super) fn check(&self) -> anyhow::Result<()> {
        for (field, ratio) in [("queue", self.queue_ratio), ("aged_queue", self.aged_queue_ratio)] {
            if !(0.0..1e6).contains(&ratio) {
                bail!("field `policy.hold.{field}`: must not be negative");
            }
        }
        if self.open_probe_delay.is_zero() || self.request_probe_delay.is_zero() {
            bail!("field `policy.hold.silent_open`, `silent_work`: must be at least 1");
        }
        self.queued.check()?;
        self.outlier.check()
    }
}
