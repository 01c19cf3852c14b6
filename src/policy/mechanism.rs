//! Mechanisms that can be switched off one by one, to see what each is worth.

use std::time::Duration;

use super::Policy;

/// A rate or burst without a bound, in events or events a second.
const UNBOUNDED: f64 = 1e8;

/// One mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, derive_more::Display)]
pub enum Mechanism {
    /// Agents are asked for a flow's owner a few at a time.
    #[display("waves")]
    Waves,
    /// A flow's home knows its owner.
    #[display("hints")]
    Hints,
    /// Questions to agents are bounded.
    #[display("ask-budget")]
    AskBudget,
    /// Further offers of opens are bounded.
    #[display("retry-budget")]
    RetryBudget,
    /// Timeouts follow measured round trips and double.
    #[display("backoff")]
    Backoff,
    /// Opens are declined while a target's queue is long.
    #[display("short-queue")]
    ShortQueue,
    /// Opens that have waited long give way to newer ones.
    #[display("aging")]
    Aging,
    /// Opens are offered again for a while instead of refused at once.
    #[display("patience")]
    Patience,
    /// Packets are kept until a configuration is known.
    #[display("parking")]
    Parking,
    /// Packets are kept while their flows' owners are asked for.
    #[display("keeping")]
    Keeping,
    /// Targets of agents that may have forgotten a flow are tried.
    #[display("trials")]
    Trials,
    /// No trials while an agent restarts.
    #[display("restart-wait")]
    RestartWait,
    /// A target that gave an open back is left alone for a while.
    #[display("full-pause")]
    FullPause,
    /// An open counts as waiting work for a short time only.
    #[display("short-open-wait")]
    ShortOpenWait,
    /// A new agent takes no flow before all balancers can know it.
    #[display("newcomer-wait")]
    NewcomerWait,
}

impl Mechanism {
    /// Switches it off in `policy`.
    pub fn disable(self, policy: &mut Policy) {
        let (balancer, agent) = (&mut policy.balancer, &mut policy.agent);
        match self {
            Self::Waves => balancer.wave_sizes.clear(),
            Self::Hints => (balancer.hints_enabled, agent.hints_enabled) = (false, false),
            Self::AskBudget => (balancer.query_rate, balancer.query_burst) = (UNBOUNDED, UNBOUNDED),
            Self::RetryBudget => {
                (balancer.retry_burst, balancer.retry_rate) = (UNBOUNDED, UNBOUNDED)
            }
            Self::Backoff => balancer.max_timeout = balancer.min_timeout,
            Self::ShortQueue => (agent.queue_ratio, agent.aged_queue_ratio) = (1e5, 1e5),
            Self::Aging => agent.aged_queue_ratio = agent.queue_ratio,
            Self::Patience => balancer.open_timeout = Duration::ZERO,
            Self::Parking => balancer.max_parked = 0,
            Self::Keeping => (balancer.buffer_packets, balancer.buffer_bytes) = (1, 0),
            Self::Trials => balancer.max_trials = 0,
            Self::RestartWait => balancer.restart_wait = Duration::ZERO,
            Self::FullPause => agent.full_pause = Duration::ZERO,
            Self::ShortOpenWait => agent.handshake_timeout = agent.open_ttl,
            Self::NewcomerWait => agent.announce_delay = Duration::ZERO,
        }
    }
}
