//! Counters, histograms and gauges, through `opentelemetry`.
//!
//! A manual reader makes the counters available on demand, without a collector
//! ([`counter_values`]). [`prometheus_text`] exports every instrument in the
//! Prometheus text format.

pub mod process;

use std::sync::{Arc, OnceLock, Weak};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{AggregatedMetrics, MetricData, ResourceMetrics};
use opentelemetry_sdk::metrics::reader::MetricReader;
use opentelemetry_sdk::metrics::{
    InstrumentKind, ManualReader, Pipeline, SdkMeterProvider, Temporality,
};
use serde::{Deserialize, Serialize};

/// Why a flow or request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Refusal {
    /// The target is draining and its drain grace has passed.
    #[display("draining")]
    Draining,
    /// The target has reached the profile's limit of open flows.
    #[display("full")]
    Full,
    /// The target could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The target has as much queued work as it can finish in time.
    #[display("busy")]
    Busy,
    /// No configuration is known yet.
    #[display("no_config")]
    NoConfig,
    /// No agent of the service holds the flow any more.
    #[display("lost")]
    Lost,
    /// The target's process has ended.
    #[display("target_ended")]
    TargetEnded,
    /// No profile uses the packet's port.
    #[display("no_profile")]
    NoProfile,
    /// The profile has no target in service.
    #[display("no_target")]
    NoTarget,
    /// The owner named by the packet is not an agent of the profile's service.
    #[display("foreign_owner")]
    #[serde(rename = "ForeignOwner")]
    WrongService,
    /// The packet belongs to a flow that this agent does not hold.
    #[display("unknown_flow")]
    UnknownFlow,
    /// No agent accepted the flow in time.
    #[display("open_timeout")]
    OpenTimeout,
    /// The flow's peer acknowledged nothing for too long.
    #[display("silent")]
    #[serde(rename = "Silent")]
    AckTimeout,
    /// All targets of the service are in evacuated data centres.
    #[display("evacuated")]
    Evacuated,
    /// The target is cold and was given as many requests as it bears.
    #[display("cold")]
    Cold,
    /// The request cannot be served before its caller gives up.
    #[display("overload")]
    Overload,
    /// The target fails requests and is set aside.
    #[display("set_aside")]
    SetAside,
}

/// Why a step was retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Retry {
    /// A packet was not acknowledged in time and was retransmitted.
    #[display("packet_timeout")]
    PacketTimeout,
    /// An answer was not acknowledged in time and was retransmitted.
    #[display("answer_timeout")]
    AnswerTimeout,
    /// An accept was not acknowledged in time and was retransmitted.
    #[display("accept_timeout")]
    AcceptTimeout,
    /// An open was not accepted in time and was sent again.
    #[display("open_timeout")]
    OpenTimeout,
    /// An agent passed a new flow on to the other candidate target.
    #[display("passed_on")]
    PassedOn,
    /// An agent returned an open, which was offered to the next one.
    #[display("bounced")]
    Bounced,
    /// The agents of a service were queried for a flow's owner.
    #[display("owner_asked")]
    OwnerQueried,
    /// An open was not offered again because the retry budget was spent.
    #[display("budget_spent")]
    BudgetSpent,
    /// A call to the key-value service failed and was repeated.
    #[display("store_error")]
    StoreError,
    /// A lease expired and a new one was requested.
    #[display("lease_lapsed")]
    LeaseExpired,
    /// A watch fell behind the store's compacted history, and the keys were
    /// listed again.
    #[display("watch_compacted")]
    WatchCompacted,
    /// A distributor did not answer, and the store was watched instead.
    #[display("distributor_lost")]
    DistributorLost,
    /// An open found no free slot and was queued.
    #[display("queued")]
    Queued,
    /// A queued open was handed over to an agent whose target had a free slot.
    #[display("handed_over")]
    HandedOver,
    /// A report of a target was left unacknowledged until the store names its start.
    #[display("unrecorded_start")]
    UnrecordedStart,
}

/// Why a process watches the store itself instead of polling another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WatchReason {
    /// It does so for the others.
    #[display("distributor")]
    Distributor,
    /// No process does so for the others yet.
    #[display("no_distributor")]
    NoDistributor,
    /// Every process that could be polled has enough subscribers.
    #[display("full")]
    Full,
    /// The polled process did not answer, or has lost the store.
    #[display("lost")]
    Lost,
    /// All processes that could be polled failed, or were full, a short time ago.
    #[display("skipped")]
    Skipped,
    /// The polled process no longer keeps the changes.
    #[display("behind")]
    Behind,
    /// A decision needs what the store holds now.
    #[display("direct")]
    Direct,
    /// The first call after a start or a failure, which does not wait.
    #[display("check")]
    Check,
}

/// A manual reader that the meter provider and [`counter_values`] share.
#[derive(Clone, Debug)]
struct SharedReader(Arc<ManualReader>);

impl MetricReader for SharedReader {
    fn register_pipeline(&self, pipeline: Weak<Pipeline>) {
        self.0.register_pipeline(pipeline);
    }

    fn collect(&self, rm: &mut ResourceMetrics) -> OTelSdkResult {
        self.0.collect(rm)
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.0.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.0.shutdown_with_timeout(timeout)
    }

    fn temporality(&self, kind: InstrumentKind) -> Temporality {
        self.0.temporality(kind)
    }
}

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 13] =
    [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Upper bounds of the buckets for the number of messages of one search.
const SEARCH_MESSAGE_BUCKETS: [f64; 10] =
    [1.0, 2.0, 4.0, 6.0, 8.0, 16.0, 32.0, 64.0, 256.0, 2048.0];

struct Instruments {
    reader: SharedReader,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    violations: Counter<u64>,
    drops: Counter<u64>,
    outliers: Counter<u64>,
    watches: Counter<u64>,
    answer_times: Histogram<f64>,
    queue_waits: Histogram<f64>,
    store_call_times: Histogram<f64>,
    search_messages: Histogram<u64>,
    state: Gauge<u64>,
    registry: prometheus::Registry,
}

static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();

fn instruments() -> &'static Instruments {
    INSTRUMENTS.get_or_init(|| {
        let reader = SharedReader(Arc::new(ManualReader::builder().build()));
        let registry = prometheus::Registry::new();
        let mut builder = SdkMeterProvider::builder().with_reader(reader.clone());
        match opentelemetry_prometheus::exporter().with_registry(registry.clone()).build() {
            Ok(exporter) => builder = builder.with_reader(exporter),
            Err(e) => log::error!(
                "{} creating the Prometheus exporter failed: {e}",
                crate::events::METRICS_FAILED
            ),
        }
        let provider = builder.build();
        opentelemetry::global::set_meter_provider(provider.clone());
        let meter = opentelemetry::global::meter("jujubepost");
        let refusals = meter.u64_counter("jujubepost.refusals").build();
        let retries = meter.u64_counter("jujubepost.retries").build();
        let violations = meter.u64_counter("jujubepost.violations").build();
        let drops = meter.u64_counter("jujubepost.drops").build();
        let outliers = meter.u64_counter("jujubepost.outliers").build();
        let watches = meter.u64_counter("jujubepost.store.watches").build();
        let latency_histogram = |name| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        let answer_times = latency_histogram("jujubepost.answer.time");
        let queue_waits = latency_histogram("jujubepost.queue.wait");
        let store_call_times = latency_histogram("jujubepost.store.time");
        let search_messages = meter
            .u64_histogram("jujubepost.search.messages")
            .with_boundaries(SEARCH_MESSAGE_BUCKETS.to_vec())
            .build();
        let state = meter.u64_gauge("jujubepost.state").build();
        Instruments {
            reader,
            _provider: provider,
            refusals,
            retries,
            violations,
            drops,
            outliers,
            watches,
            answer_times,
            queue_waits,
            store_call_times,
            search_messages,
            state,
            registry,
        }
    })
}

/// Counts one refusal.
pub fn count_refusal(reason: Refusal) {
    instruments().refusals.add(1, &[KeyValue::new("reason", reason.to_string())]);
}

/// Counts one retry.
pub fn count_retry(reason: Retry) {
    instruments().retries.add(1, &[KeyValue::new("reason", reason.to_string())]);
}

/// Counts one watch of the key-value service.
pub fn count_watch(reason: WatchReason) {
    instruments().watches.add(1, &[KeyValue::new("reason", reason.to_string())]);
}

/// Counts one datagram or stored item that was dropped for `reason`.
pub fn count_drop(reason: impl std::fmt::Display) {
    instruments().drops.add(1, &[KeyValue::new("reason", reason.to_string())]);
}

/// Counts one failure of a target, or one step of setting it aside and putting it back.
pub fn count_outlier(reason: impl std::fmt::Display) {
    instruments().outliers.add(1, &[KeyValue::new("reason", reason.to_string())]);
}

/// Histogram of the time from a caller's data to the target's first answer. Its
/// attributes are built once, so that recording allocates nothing for them.
#[derive(Clone, Debug)]
pub struct AnswerTimes {
    histogram: Histogram<f64>,
    service: [KeyValue; 1],
}

impl AnswerTimes {
    /// Creates a handle for the targets of `service`.
    #[must_use]
    pub fn new(service: &str) -> Self {
        let service = [KeyValue::new("service", service.to_string())];
        Self { histogram: instruments().answer_times.clone(), service }
    }

    /// Records the time of one answer.
    pub fn record(&self, elapsed: Duration) {
        self.histogram.record(elapsed.as_secs_f64(), &self.service);
    }
}

/// Records how long an open waited until it was delivered to the target.
pub fn record_queue_wait(wait: Duration) {
    instruments().queue_waits.record(wait.as_secs_f64(), &[]);
}

/// Records how many messages a search for a flow's owner sent and received.
pub fn record_search(messages: u32) {
    instruments().search_messages.record(messages.into(), &[]);
}

/// Records the time and the outcome of a call to the key-value service.
pub fn record_store_call(call: &str, ok: bool, elapsed: Duration) {
    if ok {
        process::record_store_response();
    }
    let attributes = [KeyValue::new("call", call.to_string()), KeyValue::new("ok", ok)];
    instruments().store_call_times.record(elapsed.as_secs_f64(), &attributes);
}

/// Sets the gauge `jujubepost.state` for one fact about the process.
pub fn set_state(fact: &'static str, value: u64) {
    instruments().state.record(value, &[KeyValue::new("fact", fact)]);
}

/// Exports every counter, histogram and gauge in the Prometheus text format.
#[must_use]
pub fn prometheus_text() -> String {
    let families = instruments().registry.gather();
    prometheus::TextEncoder::new().encode_to_string(&families).unwrap_or_else(|e| {
        log::error!("{} encoding the metrics failed: {e}", crate::events::METRICS_FAILED);
        String::new()
    })
}

/// Logs and counts a violation if the invariant `name` does not hold. Debug builds
/// then abort the process.
pub fn check_invariant(holds: bool, name: &'static str, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    log::error!("{} invariant {name} violated: {}", crate::events::INVARIANT_VIOLATED, detail());
    instruments().violations.add(1, &[KeyValue::new("reason", name)]);
    if cfg!(debug_assertions) {
        std::process::abort();
    }
}

/// The total of one counter for one reason.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("{name}{{reason={reason}}} {value}")]
pub struct CounterValue {
    /// Name of the counter.
    pub name: String,
    /// Value of the `reason` attribute, empty without one.
    pub reason: String,
    /// Total since the start of the process.
    pub value: u64,
}

/// Returns the totals of every counter, sorted by name and reason.
#[must_use]
pub fn counter_values() -> Vec<CounterValue> {
    let m = instruments();
    let mut rm = ResourceMetrics::default();
    if m.reader.collect(&mut rm).is_err() {
        return Vec::new();
    }
    let mut out = Vec::new();
    for scope in rm.scope_metrics() {
        for metric in scope.metrics() {
            let AggregatedMetrics::U64(MetricData::Sum(sum)) = metric.data() else {
                continue;
            };
            for dp in sum.data_points() {
                let reason = dp
                    .attributes()
                    .find(|kv| kv.key.as_str() == "reason")
                    .map(|kv| kv.value.to_string())
                    .unwrap_or_default();
                out.push(CounterValue {
                    name: metric.name().to_string(),
                    reason,
                    value: dp.value(),
                });
            }
        }
    }
    out.sort_by(|a, b| (&a.name, &a.reason).cmp(&(&b.name, &b.reason)));
    out
}
