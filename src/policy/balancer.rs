//! What a balancer goes by.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::millis;

/// Bytes of a typical question to an agent, with its heads: a flow and some
/// neighbours that are asked for at the same moment.
const QUERY_BYTES: f64 = 120.0;

/// Part of a VM's link that questions may take.
const QUERY_LINK_SHARE: f64 = 0.1;

/// Questions a second on a whole core: what they cost leaves most of it to callers.
const CORE_QUERY_RATE: f64 = 8_000.0;

/// What a balancer goes by. Times are in milliseconds in settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancerPolicy {
    /// How long agents have at least to say what became of an open or of a
    /// flow: another pair can be tried before the caller sends a copy.
    #[serde(with = "millis")]
    #[serde(rename = "answer")]
    pub min_timeout: Duration,
    /// How long they have at most, however slowly they have been answering and
    /// however often an open was offered.
    #[serde(with = "millis")]
    #[serde(rename = "slowest")]
    pub max_timeout: Duration,
    /// Pause before an open is offered to the same agents again: their targets
    /// are starting, or the store is listing them anew.
    #[serde(with = "millis")]
    #[serde(rename = "round")]
    pub retry_delay: Duration,
    /// Longest such pause; they double from `retry_delay` on. The same as `retry_delay`
    /// switches the growth off.
    #[serde(with = "millis")]
    #[serde(rename = "longest_round")]
    pub max_retry_delay: Duration,
    /// Agents that an open is offered to in one round while they are busy: with
    /// more, an overload would be answered by a flood of offers.
    #[serde(rename = "busy_offers")]
    pub max_busy_offers: usize,
    /// Agents that an open is offered to in one round at most, so that its cost
    /// does not grow with the service.
    #[serde(rename = "most_offers")]
    pub max_offers: usize,
    /// An open older than this gives way to newer ones at a busy target: it is
    /// late whatever is done for it, the newer ones need not be.
    #[serde(with = "millis")]
    #[serde(rename = "aged")]
    pub aged_after: Duration,
    /// How long an open is offered: its caller gives it up after 1.4 s.
    #[serde(with = "millis")]
    #[serde(rename = "patience")]
    pub open_timeout: Duration,
    /// Further offers of opens that the budget gains with each new open, and
    /// those it gains a second for each agent known. Without a bound an answer
    /// that is late by its queue is answered by more offers, which lengthen the
    /// queue.
    #[serde(rename = "retry_share")]
    pub retry_ratio: f64,
    /// See `retry_ratio`: a second, for each agent known.
    pub retry_rate: f64,
    /// Further offers that may come at once.
    pub retry_burst: f64,
    /// How many agents are asked for a flow's owner at first, then, and so on;
    /// after these all others at once. Empty: all at once. The first is the
    /// flow's home, which took it or knows who did, the next are those whose
    /// home it was before agents came or went.
    #[serde(rename = "waves")]
    pub wave_sizes: Vec<usize>,
    /// Questions to agents a second that a balancer sends at most, on a VM that
    /// has a quarter of a core and a link that is not narrow.
    #[serde(rename = "asks")]
    pub query_rate: f64,
    /// Questions that may go out at once.
    #[serde(rename = "ask_burst")]
    pub query_burst: f64,
    /// Packets of one flow that are kept while its owner is asked for: what a
    /// caller has in flight at most.
    #[serde(rename = "kept_packets")]
    pub buffer_packets: usize,
    /// Bytes of all packets that are kept.
    #[serde(rename = "kept_bytes")]
    pub buffer_bytes: usize,
    /// Whether a flow's home is told of an owner that it cannot know.
    #[serde(rename = "hints")]
    pub hints_enabled: bool,
    /// Targets that are tried at first for a flow that no agent knows; where the
    /// flow's own target may not be among those left, they are the only ones.
    /// Each trial is a packet at a target that may not hold the flow, and the
    /// platform counts a flow as misrouted once three have reached others, and
    /// none its own, for 2 s or more, however long the pause between them.
    #[serde(rename = "trials")]
    pub max_trials: usize,
    /// How long an agent of the service that does not answer holds up trials:
    /// it may be the flow's own, and one that is killed or stopped as planned
    /// is back within 1 s.
    #[serde(with = "millis")]
    #[serde(rename = "restart")]
    pub restart_wait: Duration,
    /// How long after the store's return an agent may still be missing from it:
    /// the platform says about 2 s.
    #[serde(with = "millis")]
    #[serde(rename = "relisted")]
    pub relist_grace: Duration,
    /// Most packets kept until a configuration is known.
    #[serde(rename = "parked")]
    pub max_parked: usize,
    /// How often it is looked whether a configuration has come.
    #[serde(with = "millis")]
    #[serde(rename = "unpark")]
    pub unpark_interval: Duration,
    /// When agents are suspected.
    #[serde(alias = "doubt")]
    pub suspicion: SuspicionPolicy,
}

impl Default for BalancerPolicy {
    fn default() -> Self {
        Self {
            min_timeout: Duration::from_millis(40),
            max_timeout: Duration::from_millis(400),
            retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_millis(100),
            max_busy_offers: 4,
            max_offers: 8,
            aged_after: Duration::from_millis(150),
            open_timeout: Duration::from_millis(1_300),
            retry_ratio: 0.2,
            retry_rate: 10.0,
            retry_burst: 64.0,
            wave_sizes: vec![1, 3],
            query_rate: 2_000.0,
            query_burst: 64.0,
            buffer_packets: 16,
            buffer_bytes: 800_000,
            hints_enabled: true,
            max_trials: 2,
            restart_wait: Duration::from_millis(1_200),
            relist_grace: Duration::from_millis(2_500),
            max_parked: 512,
            unpark_interval: Duration::from_millis(20),
            suspicion: SuspicionPolicy::default(),
        }
    }
}

impl BalancerPolicy {
    /// The figures for a VM with a link of `mbps` megabits a second and `cpu`
    /// of a core: what is asked must not take what callers need.
    #[must_use]
    pub fn scaled_to_vm(mut self, mbps: f64, cpu: f64) -> Self {
        let link = mbps * 125_000.0 * QUERY_LINK_SHARE / QUERY_BYTES;
        self.query_rate = self.query_rate.min(link).min(CORE_QUERY_RATE * cpu);
        // Positive and far below the type's limit.
        let pings = (self.query_rate * PING_SHARE).max(1.0) as u32;
        self.suspicion.ping_rate = self.suspicion.ping_rate.min(pings);
        self
    }

    pub(super) fn check(&self) -> anyhow::Result<()> {
        let times = [
            ("answer", self.min_timeout),
            ("slowest", self.max_timeout),
            ("round", self.retry_delay),
            ("longest_round", self.max_retry_delay),
            ("unpark", self.unpark_interval),
            ("suspicion.ping", self.suspicion.ping_interval),
        ];
        for (field, time) in times {
            if time.is_zero() {
                bail!("field `policy.steer.{field}`: must be at least 1");
            }
        }
        let rates = [("retry_burst", self.retry_burst), ("ask_burst", self.query_burst)];
        for (field, rate) in rates.into_iter().chain([("asks", self.query_rate)]) {
            if !(1.0..1e9).contains(&rate) {
                bail!("field `policy.steer.{field}`: must be at least 1");
            }
        }
        for (field, rate) in [("retry_share", self.retry_ratio), ("retry_rate", self.retry_rate)] {
            if !(0.0..1e9).contains(&rate) {
                bail!("field `policy.steer.{field}`: must not be negative");
            }
        }
        let counts = [("busy_offers", self.max_busy_offers), ("most_offers", self.max_offers)];
        for (field, count) in counts.into_iter().chain([("kept_packets", self.buffer_packets)]) {
            if count == 0 {
                bail!("field `policy.steer.{field}`: must be at least 1");
            }
        }
        if self.suspicion.ping_rate == 0 {
            bail!("field `policy.steer.suspicion.pings`: must be at least 1");
        }
        if self.wave_sizes.contains(&0) {
            bail!("field `policy.steer.waves`: each must be at least 1");
        }
        Ok(())
    }
}

/// Part of the questions' rate that questions to suspected agents may take.
const PING_SHARE: f64 = 0.25;

/// When a balancer suspects an agent to be dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SuspicionPolicy {
    /// Pause between two questions to an agent that is not listed or did not
    /// answer.
    #[serde(with = "millis")]
    #[serde(rename = "ping")]
    pub ping_interval: Duration,
    /// Questions a second to all such agents at most. Where more are due (a data
    /// centre is dark, the store let all leases lapse), they take turns: without a
    /// bound, 23,000 agents would be asked 77,000 times a second by each balancer.
    #[serde(rename = "pings")]
    pub ping_rate: u32,
    /// How long an agent that the store does not list is kept without an answer:
    /// one that lives is listed again about 2 s after the store is back, and one
    /// whose process was killed stays listed, as its lease lasts longer.
    #[serde(with = "millis")]
    #[serde(rename = "keep")]
    pub unlisted_timeout: Duration,
    /// How long an agent is silent before the flows at its target are given up:
    /// a process that is killed or stopped as planned is back within 1 s, and
    /// after 4 s the platform takes a VM that does not answer as out of touch.
    #[serde(with = "millis")]
    #[serde(alias = "gone")]
    pub dead_after: Duration,
    /// How long an agent's word that it can take nothing counts. It is asked
    /// again by being offered a flow, so this bounds offers that come to nothing.
    #[serde(with = "millis")]
    #[serde(rename = "unable")]
    pub unable_ttl: Duration,
    /// An agent that was heard within this is not taken as silent for one
    /// question without an answer: the time that an answer takes.
    #[serde(with = "millis")]
    #[serde(rename = "heard")]
    pub silence_grace: Duration,
}

impl Default for SuspicionPolicy {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_millis(300),
            ping_rate: 500,
            unlisted_timeout: Duration::from_secs(3),
            dead_after: Duration::from_secs(4),
            unable_ttl: Duration::from_millis(500),
            silence_grace: Duration::from_millis(40),
        }
    }
}
