//! What a balancer goes by.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::millis;

/// Bytes of a typical question to an agent, with its heads: a flow and some
/// neighbours that are asked for at the same moment.
const QUESTION: f64 = 120.0;

/// Part of a VM's link that questions may take.
const LINK_PART: f64 = 0.1;

/// Questions a second on a whole core: what they cost leaves most of it to callers.
const CORE_ASKS: f64 = 8_000.0;

/// What a balancer goes by. Times are in milliseconds in settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Steering {
    /// How long agents have at least to say what became of an open or of a
    /// flow: another pair can be tried before the caller sends a copy.
    #[serde(with = "millis")]
    pub answer: Duration,
    /// How long they have at most, however slowly they have been answering and
    /// however often an open was offered.
    #[serde(with = "millis")]
    pub slowest: Duration,
    /// Pause before an open is offered to the same agents again: their targets
    /// are starting, or the store is listing them anew.
    #[serde(with = "millis")]
    pub round: Duration,
    /// Longest such pause; they double from `round` on. The same as `round`
    /// switches the growth off.
    #[serde(with = "millis")]
    pub longest_round: Duration,
    /// Agents that an open is offered to in one round while they are busy: with
    /// more, an overload would be answered by a flood of offers.
    pub busy_offers: usize,
    /// Agents that an open is offered to in one round at most, so that its cost
    /// does not grow with the service.
    pub most_offers: usize,
    /// An open older than this gives way to newer ones at a busy target: it is
    /// late whatever is done for it, the newer ones need not be.
    #[serde(with = "millis")]
    pub aged: Duration,
    /// How long an open is offered: its caller gives it up after 1.4 s.
    #[serde(with = "millis")]
    pub patience: Duration,
    /// Further offers of opens that the budget gains with each new open, and
    /// those it gains a second for each agent known. Without a bound an answer
    /// that is late by its queue is answered by more offers, which lengthen the
    /// queue.
    pub retry_share: f64,
    /// See `retry_share`: a second, for each agent known.
    pub retry_rate: f64,
    /// Further offers that may come at once.
    pub retry_burst: f64,
    /// How many agents are asked for a flow's owner at first, then, and so on;
    /// after these all others at once. Empty: all at once. The first is the
    /// flow's home, which took it or knows who did, the next are those whose
    /// home it was before agents came or went.
    pub waves: Vec<usize>,
    /// Questions to agents a second that a balancer sends at most, on a VM that
    /// has a quarter of a core and a link that is not narrow.
    pub asks: f64,
    /// Questions that may go out at once.
    pub ask_burst: f64,
    /// Packets of one flow that are kept while its owner is asked for: what a
    /// caller has in flight at most.
    pub kept_packets: usize,
    /// Bytes of all packets that are kept.
    pub kept_bytes: usize,
    /// Whether a flow's home is told of an owner that it cannot know.
    pub hints: bool,
    /// Targets that are tried at first for a flow that no agent knows; where the
    /// flow's own target may not be among those left, they are the only ones.
    /// Each trial is a packet at a target that may not hold the flow, and the
    /// platform counts a flow as misrouted once three have reached others, and
    /// none its own, for 2 s or more, however long the pause between them.
    pub trials: usize,
    /// How long an agent of the service that does not answer holds up trials:
    /// it may be the flow's own, and one that is killed or stopped as planned
    /// is back within 1 s.
    #[serde(with = "millis")]
    pub restart: Duration,
    /// How long after the store's return an agent may still be missing from it:
    /// the platform says about 2 s.
    #[serde(with = "millis")]
    pub relisted: Duration,
    /// Most packets kept until a configuration is known.
    pub parked: usize,
    /// How often it is looked whether a configuration has come.
    #[serde(with = "millis")]
    pub unpark: Duration,
    /// When agents are suspected.
    #[serde(alias = "doubt")]
    pub suspicion: Suspicion,
}

impl Default for Steering {
    fn default() -> Self {
        Self {
            answer: Duration::from_millis(40),
            slowest: Duration::from_millis(400),
            round: Duration::from_millis(100),
            longest_round: Duration::from_millis(100),
            busy_offers: 4,
            most_offers: 8,
            aged: Duration::from_millis(150),
            patience: Duration::from_millis(1_300),
            retry_share: 0.2,
            retry_rate: 10.0,
            retry_burst: 64.0,
            waves: vec![1, 3],
            asks: 2_000.0,
            ask_burst: 64.0,
            kept_packets: 16,
            kept_bytes: 800_000,
            hints: true,
            trials: 2,
            restart: Duration::from_millis(1_200),
            relisted: Duration::from_millis(2_500),
            parked: 512,
            unpark: Duration::from_millis(20),
            suspicion: Suspicion::default(),
        }
    }
}

impl Steering {
    /// The figures for a VM with a link of `mbps` megabits a second and `cpu`
    /// of a core: what is asked must not take what callers need.
    #[must_use]
    pub fn fit(mut self, mbps: f64, cpu: f64) -> Self {
        let link = mbps * 125_000.0 * LINK_PART / QUESTION;
        self.asks = self.asks.min(link).min(CORE_ASKS * cpu);
        // Positive and far below the type's limit.
        let pings = (self.asks * PING_PART).max(1.0) as u32;
        self.suspicion.pings = self.suspicion.pings.min(pings);
        self
    }

    pub(super) fn check(&self) -> anyhow::Result<()> {
        let times = [
            ("answer", self.answer),
            ("slowest", self.slowest),
            ("round", self.round),
            ("longest_round", self.longest_round),
            ("unpark", self.unpark),
            ("suspicion.ping", self.suspicion.ping),
        ];
        for (field, time) in times {
            if time.is_zero() {
                bail!("field `policy.steer.{field}`: must be at least 1");
            }
        }
        let rates = [("retry_burst", self.retry_burst), ("ask_burst", self.ask_burst)];
        for (field, rate) in rates.into_iter().chain([("asks", self.asks)]) {
            if !(1.0..1e9).contains(&rate) {
                bail!("field `policy.steer.{field}`: must be at least 1");
            }
        }
        for (field, rate) in [("retry_share", self.retry_share), ("retry_rate", self.retry_rate)] {
            if !(0.0..1e9).contains(&rate) {
                bail!("field `policy.steer.{field}`: must not be negative");
            }
        }
        let counts = [("busy_offers", self.busy_offers), ("most_offers", self.most_offers)];
        for (field, count) in counts.into_iter().chain([("kept_packets", self.kept_packets)]) {
            if count == 0 {
                bail!("field `policy.steer.{field}`: must be at least 1");
            }
        }
        if self.suspicion.pings == 0 {
            bail!("field `policy.steer.suspicion.pings`: must be at least 1");
        }
        if self.waves.contains(&0) {
            bail!("field `policy.steer.waves`: each must be at least 1");
        }
        Ok(())
    }
}

/// Part of the questions' rate that questions to suspected agents may take.
const PING_PART: f64 = 0.25;

/// When a balancer suspects an agent to be dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Suspicion {
    /// Pause between two questions to an agent that is not listed or did not
    /// answer.
    #[serde(with = "millis")]
    pub ping: Duration,
    /// Questions a second to all such agents at most. Where more are due (a data
    /// centre is dark, the store let all leases lapse), they take turns: without a
    /// bound, 23,000 agents would be asked 77,000 times a second by each balancer.
    pub pings: u32,
    /// How long an agent that the store does not list is kept without an answer:
    /// one that lives is listed again about 2 s after the store is back, and one
    /// whose process was killed stays listed, as its lease lasts longer.
    #[serde(with = "millis")]
    pub keep: Duration,
    /// How long an agent is silent before the flows at its target are given up:
    /// a process that is killed or stopped as planned is back within 1 s, and
    /// after 4 s the platform takes a VM that does not answer as out of touch.
    #[serde(with = "millis")]
    #[serde(alias = "gone")]
    pub dead_after: Duration,
    /// How long an agent's word that it can take nothing counts. It is asked
    /// again by being offered a flow, so this bounds offers that come to nothing.
    #[serde(with = "millis")]
    pub unable: Duration,
    /// An agent that was heard within this is not taken as silent for one
    /// question without an answer: the time that an answer takes.
    #[serde(with = "millis")]
    pub heard: Duration,
}

impl Default for Suspicion {
    fn default() -> Self {
        Self {
            ping: Duration::from_millis(300),
            pings: 500,
            keep: Duration::from_secs(3),
            dead_after: Duration::from_secs(4),
            unable: Duration::from_millis(500),
            heard: Duration::from_millis(40),
        }
    }
}
