//! Mechanisms that an experiment can disable one at a time to measure their effect.

use std::time::Duration;

use super::Policy;

/// A rate (a second) or burst too large ever to limit anything.
const UNBOUNDED: f64 = 1e8;

/// A mechanism for load or failures that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, derive_more::Display)]
pub enum Mechanism {
    /// Agents are queried for a flow's owner in waves instead of all at once.
    #[display("waves")]
    Waves,
    /// A flow's home agent is notified which agent owns the flow.
    #[display("hints")]
    Hints,
    /// Queries to agents are rate-limited.
    #[display("ask-budget")]
    #[value(name = "ask-budget")]
    QueryBudget,
    /// Retries of opens are rate-limited.
    #[display("retry-budget")]
    RetryBudget,
    /// Response timeouts adapt to measured round trips and back off exponentially.
    #[display("backoff")]
    Backoff,
    /// Opens are refused while a target's request queue is long.
    #[display("short-queue")]
    ShortQueue,
    /// Aged opens yield to newer ones at a busy target.
    #[display("aging")]
    Aging,
    /// Opens are retried for a while instead of refused at once.
    #[display("patience")]
    #[value(name = "patience")]
    OpenRetries,
    /// Packets are queued until the first configuration arrives.
    #[display("parking")]
    #[value(name = "parking")]
    ConfigQueue,
    /// Packets are buffered while their flows' owners are searched for.
    #[display("keeping")]
    #[value(name = "keeping")]
    PacketBuffer,
    /// Packets of a flow without a known owner are tried at targets.
    #[display("trials")]
    Trials,
    /// Trials wait for agents that may be restarting.
    #[display("restart-wait")]
    RestartWait,
    /// A target that returned an open is offered none for a while.
    #[display("full-pause")]
    FullPause,
    /// An open without a completed handshake stops counting as load early.
    #[display("short-open-wait")]
    #[value(name = "short-open-wait")]
    HandshakeTimeout,
    /// A new agent accepts no flow until every balancer can have read its registration.
    #[display("newcomer-wait")]
    #[value(name = "newcomer-wait")]
    RegistrationDelay,
    /// New flows are moved to data centres with more room.
    #[display("zone-balance")]
    ZoneBalance,
}

impl Mechanism {
    /// Disables the mechanism in `policy`.
    pub fn disable(self, policy: &mut Policy) {
        let (balancer, agent) = (&mut policy.balancer, &mut policy.agent);
        match self {
            Self::Waves => balancer.wave_sizes.clear(),
            Self::Hints => (balancer.hints_enabled, agent.hints_enabled) = (false, false),
            Self::QueryBudget => {
                (balancer.query_rate, balancer.query_burst) = (UNBOUNDED, UNBOUNDED)
            }
            Self::RetryBudget => {
                (balancer.retry_burst, balancer.retry_rate) = (UNBOUNDED, UNBOUNDED)
            }
            Self::Backoff => balancer.max_timeout = balancer.min_timeout,
            Self::ShortQueue => (agent.queue_ratio, agent.aged_queue_ratio) = (1e5, 1e5),
            Self::Aging => agent.aged_queue_ratio = agent.queue_ratio,
            Self::OpenRetries => balancer.open_timeout = Duration::ZERO,
            Self::ConfigQueue => balancer.max_queued_packets = 0,
            Self::PacketBuffer => (balancer.buffer_packets, balancer.buffer_bytes) = (1, 0),
            Self::Trials => balancer.max_trials = 0,
            Self::RestartWait => balancer.restart_wait = Duration::ZERO,
            Self::FullPause => agent.full_pause = Duration::ZERO,
            Self::HandshakeTimeout => agent.handshake_timeout = agent.open_ttl,
            Self::RegistrationDelay => agent.registration_delay = Duration::ZERO,
            Self::ZoneBalance => balancer.zone_balance.enabled = false,
        }
    }
}
