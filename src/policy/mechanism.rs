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
    pub fn switch_off(self, policy: &mut Policy) {
        let (steer, hold) = (&mut policy.steer, &mut policy.hold);
        match self {
            Self::Waves => steer.waves.clear(),
            Self::Hints => (steer.hints, hold.hints) = (false, false),
            Self::AskBudget => (steer.asks, steer.ask_burst) = (UNBOUNDED, UNBOUNDED),
            Self::RetryBudget => (steer.retry_burst, steer.retry_rate) = (UNBOUNDED, UNBOUNDED),
            Self::Backoff => steer.slowest = steer.answer,
            Self::ShortQueue => (hold.queue, hold.aged_queue) = (1e5, 1e5),
            Self::Aging => hold.aged_queue = hold.queue,
            Self::Patience => steer.patience = Duration::ZERO,
            Self::Parking => steer.parked = 0,
            Self::Keeping => (steer.kept_packets, steer.kept_bytes) = (1, 0),
            Self::Trials => steer.trials = 0,
            Self::RestartWait => steer.restart = Duration::ZERO,
            Self::FullPause => hold.full = Duration::ZERO,
            Self::ShortOpenWait => hold.open_wait = hold.open_kept,
            Self::NewcomerWait => hold.seen = Duration::ZERO,
        }
    }
}
