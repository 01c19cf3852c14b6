//! Timeouts, budgets and limits of a balancer.

use std::time::Duration;

use anyhow::bail;
use serde::{Deserialize, Serialize};

use super::millis;

/// Size of a typical query datagram, headers included, in bytes.
const QUERY_BYTES: f64 = 120.0;

/// Share of a VM's link bandwidth that queries may use.
const QUERY_LINK_SHARE: f64 = 0.1;

/// Queries a second that a VM with one whole CPU core may send. Most of the core is left
/// to callers' packets.
const CORE_QUERY_RATE: f64 = 8_000.0;

/// Policy of a balancer. Durations are in milliseconds in the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancerPolicy {
    /// Lower bound of the adaptive response timeout for agents. Below a caller's
    /// retransmission timeout, another agent is tried before the caller retransmits.
    #[serde(rename = "answer", with = "millis")]
    pub min_timeout: Duration,
    /// Upper bound of the response timeout, backoff included.
    #[serde(rename = "slowest", with = "millis")]
    pub max_timeout: Duration,
    /// Delay before the next round of offers of an open that no agent accepted: their
    /// targets may be starting, or the store may be listing them again.
    #[serde(rename = "round", with = "millis")]
    pub retry_delay: Duration,
    /// Upper bound of that delay, which doubles with each round. Equal to
    /// `retry_delay`, it keeps the delay constant.
    #[serde(rename = "longest_round", with = "millis")]
    pub max_retry_delay: Duration,
    /// Number of agents offered an open in one round while they answer that they are busy.
    /// A larger value multiplies the messages during an overload.
    #[serde(rename = "busy_offers")]
    pub max_busy_offers: usize,
    /// Maximum number of agents offered an open in one round, so that the cost of an open
    /// does not grow with the service.
    #[serde(rename = "most_offers")]
    pub max_offers: usize,
    /// Age from which an open yields to newer ones at a busy target: it is late whatever is
    /// done for it, and the newer ones need not be.
    #[serde(rename = "aged", with = "millis")]
    pub aged_after: Duration,
    /// How long an open is offered before it is refused. Beyond the caller's own
    /// connect timeout of 1.4 s, a larger value has no effect.
    #[serde(rename = "patience", with = "millis")]
    pub open_timeout: Duration,
    /// Retry tokens added by each open received. Each retry of an open takes one token,
    /// so that retries stay a bounded fraction of the load. Without a bound, answers that
    /// are late because of a queue cause more offers, which lengthen the queue.
    #[serde(rename = "retry_share")]
    pub retry_ratio: f64,
    /// Retry tokens added a second for each known agent, see [`Self::max_retry_rate`].
    pub retry_rate: f64,
    /// Capacity of the bucket of retry tokens.
    pub retry_burst: f64,
    /// Number of agents queried for a flow's owner in the first, second and later
    /// waves; all that are left follow in one last wave. Empty: all at once. The first
    /// wave should reach the flow's home agent, which balancers query first, and the
    /// next its earlier home agents.
    #[serde(rename = "waves")]
    pub wave_sizes: Vec<usize>,
    /// Query datagrams sent a second at most, before [`Self::scaled_to_vm`].
    #[serde(rename = "asks")]
    pub query_rate: f64,
    /// Query datagrams sent at once at most.
    #[serde(rename = "ask_burst")]
    pub query_burst: f64,
    /// Packets buffered for one flow while its owner is searched for. A caller has at most
    /// 16 in flight.
    #[serde(rename = "kept_packets")]
    pub buffer_packets: usize,
    /// Bytes buffered for all flows together.
    #[serde(rename = "kept_bytes")]
    pub buffer_bytes: usize,
    /// Whether a flow's home agent is notified which other agent owns the flow.
    #[serde(rename = "hints")]
    pub hints_enabled: bool,
    /// Number of targets at which a packet of a flow without a known owner is tried
    /// first. If the owner may not be among the remaining agents, no others are tried,
    /// since each trial may reach a wrong target. The platform counts a flow as misrouted
    /// once three of its packets have reached other targets and none its own for 2 s,
    /// however long the pause between them.
    #[serde(rename = "trials")]
    pub max_trials: usize,
    /// How long a silent agent delays trials, because it may own the flow and be
    /// restarting. One that is killed or stopped as planned is back within 1 s.
    #[serde(rename = "restart", with = "millis")]
    pub restart_wait: Duration,
    /// How long after the store is reachable again live agents may still be missing
    /// from it. The platform gives them about 2 s.
    #[serde(rename = "relisted", with = "millis")]
    pub relist_grace: Duration,
    /// Packets queued until the first configuration arrives.
    #[serde(rename = "parked")]
    pub max_queued_packets: usize,
    /// Interval at which the queue is checked for a new configuration.
    #[serde(rename = "unpark", with = "millis")]
    pub queue_check_interval: Duration,
    /// Whether flows of large services are offered only to the agents that rank highest for
    /// them, so that a search need not query the others. False until every balancer and agent
    /// of the site runs a version that knows it.
    pub bounded_owners: bool,
    /// Whether offers say what their callers need, so that agents queue and order them.
    /// Acts only where the configuration states priorities or target latencies.
    pub queued_opens: bool,
    /// Failure detection of agents.
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
            max_queued_packets: 512,
            queue_check_interval: Duration::from_millis(20),
            bounded_owners: true,
            queued_opens: true,
            suspicion: SuspicionPolicy::default(),
        }
    }
}

impl BalancerPolicy {
    /// Lowers the query and ping rates to what a VM with a link of `mbps` Mbit/s and
    /// `cpu` cores can send beside its callers' traffic.
    #[must_use]
    pub fn scaled_to_vm(mut self, mbps: f64, cpu: f64) -> Self {
        let link = mbps * 125_000.0 * QUERY_LINK_SHARE / QUERY_BYTES;
        self.query_rate = self.query_rate.min(link).min(CORE_QUERY_RATE * cpu);
        // The rate is positive and far below `u32::MAX`.
        let pings = (self.query_rate * PING_SHARE).max(1.0) as u32;
        self.suspicion.ping_rate = self.suspicion.ping_rate.min(pings);
        self
    }

    /// Retry tokens added a second where `agents` are known: no more than a share of what the VM
    /// can send, as their number does not grow with what a balancer carries.
    #[must_use]
    pub fn max_retry_rate(&self, agents: usize) -> f64 {
        // Exact: there are far fewer agents than 2^53.
        (self.retry_rate * agents as f64).min(self.query_rate * RETRY_SHARE)
    }

    pub(super) fn check(&self) -> anyhow::Result<()> {
        let times = [
            ("answer", self.min_timeout),
            ("slowest", self.max_timeout),
            ("round", self.retry_delay),
            ("longest_round", self.max_retry_delay),
            ("unpark", self.queue_check_interval),
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

/// Share of the query rate that pings may use.
const PING_SHARE: f64 = 0.25;

/// Share of the query rate at which opens may be retried, besides [`BalancerPolicy::retry_ratio`].
const RETRY_SHARE: f64 = 0.25;

/// When a balancer suspects an agent and when it considers it dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SuspicionPolicy {
    /// Interval between two pings to one suspected agent, which is unlisted or did not
    /// answer.
    #[serde(rename = "ping", with = "millis")]
    pub ping_interval: Duration,
    /// Pings a second to all suspected agents together. If more are due, the agents
    /// pinged least recently come first. Unbounded, 23,000 agents whose leases expired
    /// would be pinged 77,000 times a second by each balancer.
    #[serde(rename = "pings")]
    pub ping_rate: u32,
    /// How long an unlisted agent that does not answer is kept. It should exceed the
    /// time in which live agents are listed again after an outage of the store, about 2 s.
    /// An agent whose process was killed stays listed, as its lease lasts longer.
    #[serde(rename = "keep", with = "millis")]
    pub unlisted_timeout: Duration,
    /// Silence after which an agent's flows are treated as lost. It should exceed the
    /// time of a planned restart, 1 s. The platform takes a VM as out of touch after 4 s.
    #[serde(alias = "gone", with = "millis")]
    pub dead_after: Duration,
    /// How long an agent's report that it cannot accept flows is valid; afterwards it is
    /// offered flows again, which is how it is asked. It bounds offers in vain.
    #[serde(rename = "unable", with = "millis")]
    pub unable_ttl: Duration,
    /// An agent that sent a message within this time does not count as silent when an
    /// answer is missing. About the time that an answer takes.
    #[serde(rename = "heard", with = "millis")]
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
