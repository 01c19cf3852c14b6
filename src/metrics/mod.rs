//! Counters through `opentelemetry`: one counter for refusals and one for
//! retries, each with a `reason` attribute, plus plain event counters.
//!
//! The SDK's manual reader lets a role print its counters on demand (at stop,
//! or when asked), so an operator can read them without a collector. The
//! platform's roles also serve them as text ([`text`]), with histograms and
//! gauges, in the format that Prometheus reads.

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
    /// The target is draining and its grace has passed.
    #[display("draining")]
    Draining,
    /// The target has as many flows as its profile allows.
    #[display("full")]
    Full,
    /// The target could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The target has as much waiting work as it can do in time.
    #[display("busy")]
    Busy,
    /// No configuration is known yet.
    #[display("no_config")]
    NoConfig,
    /// No target of the service holds the flow any more.
    #[display("lost")]
    Lost,
    /// The target's process is over.
    #[display("target_ended")]
    TargetEnded,
    /// No profile listens on the packet's port.
    #[display("no_profile")]
    NoProfile,
    /// The profile has no target in service.
    #[display("no_target")]
    NoTarget,
    /// The packet's owner is not an agent of the profile's service.
    #[display("foreign_owner")]
    ForeignOwner,
    /// A packet for a flow this agent does not hold.
    #[display("unknown_flow")]
    UnknownFlow,
    /// No agent accepted the flow in time.
    #[display("open_timeout")]
    OpenTimeout,
    /// A flow's peer acknowledged nothing for too long.
    #[display("silent")]
    Silent,
}

/// Why something was tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Retry {
    /// A packet was not acknowledged in time and was sent again.
    #[display("packet_timeout")]
    PacketTimeout,
    /// An answer was not acknowledged in time and was sent again.
    #[display("answer_timeout")]
    AnswerTimeout,
    /// An accept was not confirmed in time and was sent again.
    #[display("accept_timeout")]
    AcceptTimeout,
    /// An open was not accepted in time and was sent again.
    #[display("open_timeout")]
    OpenTimeout,
    /// A new flow was passed to the other candidate target.
    #[display("passed_on")]
    PassedOn,
    /// A target gave an open back, which went to the next.
    #[display("bounced")]
    Bounced,
    /// The agents of a service were asked for a flow's owner.
    #[display("owner_asked")]
    OwnerAsked,
    /// An open was not offered again, as too many others were.
    #[display("budget_spent")]
    BudgetSpent,
    /// A call to the key-value service failed and was made again.
    #[display("store_error")]
    StoreError,
    /// A lease lapsed and was taken again.
    #[display("lease_lapsed")]
    LeaseLapsed,
    /// A watch fell behind the kept history and listed again.
    #[display("watch_compacted")]
    WatchCompacted,
}

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

/// Upper bounds of the histograms' buckets, in seconds: from a handshake
/// (0.3 ms) over a request (50 ms) and the callers' aims (0.2 to 0.5 s) to
/// their time limits (8 s).
const LATENCY_BUCKETS_S: [f64; 13] =
    [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Upper bounds of the histogram of a search's questions and answers: 4 are
/// what a flow's home takes to be asked and to name its owner.
const SEARCH_MESSAGE_BUCKETS: [f64; 10] =
    [1.0, 2.0, 4.0, 6.0, 8.0, 16.0, 32.0, 64.0, 256.0, 2048.0];

struct Instruments {
    reader: SharedReader,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    violations: Counter<u64>,
    drops: Counter<u64>,
    answers: Histogram<f64>,
    calls: Histogram<f64>,
    searches: Histogram<u64>,
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
            Err(e) => log::error!("{} metrics as text: {e}", crate::events::METRICS_FAILED),
        }
        let provider = builder.build();
        opentelemetry::global::set_meter_provider(provider.clone());
        let meter = opentelemetry::global::meter("jujubepost");
        let refusals = meter.u64_counter("jujubepost.refusals").build();
        let retries = meter.u64_counter("jujubepost.retries").build();
        let violations = meter.u64_counter("jujubepost.violations").build();
        let drops = meter.u64_counter("jujubepost.drops").build();
        let times = |name| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        let answers = times("jujubepost.answer.time");
        let calls = times("jujubepost.store.time");
        let searches = meter
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
            answers,
            calls,
            searches,
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

/// Counts one datagram that was dropped for `reason`.
pub fn count_drop(reason: impl std::fmt::Display) {
    instruments().drops.add(1, &[KeyValue::new("reason", reason.to_string())]);
}

/// How long the targets of one service take from a caller's data to their
/// first answer. Made once: a request pays for no attribute of its own.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    histogram: Histogram<f64>,
    service: [KeyValue; 1],
}

impl ResponseTimes {
    /// The answer times of `service`.
    #[must_use]
    pub fn new(service: &str) -> Self {
        let service = [KeyValue::new("service", service.to_string())];
        Self { histogram: instruments().answers.clone(), service }
    }

    /// Notes one answer.
    pub fn record(&self, took: Duration) {
        self.histogram.record(took.as_secs_f64(), &self.service);
    }
}

/// Notes how many questions and answers a search for a flow's owner took.
pub fn record_search(messages: u32) {
    instruments().searches.record(messages.into(), &[]);
}

/// Notes how long a call to the key-value service took, and how it ended.
pub fn record_store_call(call: &str, ok: bool, took: Duration) {
    if ok {
        process::record_store_answer();
    }
    let attributes = [KeyValue::new("call", call.to_string()), KeyValue::new("ok", ok)];
    instruments().calls.record(took.as_secs_f64(), &attributes);
}

/// Sets the gauge of one fact that the process believes.
pub fn set_state(fact: &'static str, value: u64) {
    instruments().state.record(value, &[KeyValue::new("fact", fact)]);
}

/// Every counter, histogram and gauge, as text in the format that Prometheus
/// reads.
#[must_use]
pub fn prometheus_text() -> String {
    let families = instruments().registry.gather();
    prometheus::TextEncoder::new().encode_to_string(&families).unwrap_or_else(|e| {
        log::error!("{} metrics as text: {e}", crate::events::METRICS_FAILED);
        String::new()
    })
}

/// Checks an invariant of the program: when it does not hold, logs it, counts
/// it under `jujubepost.violations`, and in debug builds ends the process.
pub fn check_invariant(holds: bool, name: &'static str, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    log::error!("{} invariant {name} broken: {}", crate::events::INVARIANT_VIOLATED, detail());
    instruments().violations.add(1, &[KeyValue::new("reason", name)]);
    if cfg!(debug_assertions) {
        std::process::abort();
    }
}

/// One counter value with its reason.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("{name}{{reason={reason}}} {value}")]
pub struct CounterValue {
    /// Counter name.
    pub name: String,
    /// The `reason` attribute.
    pub reason: String,
    /// Total since start.
    pub value: u64,
}

/// Every counter's totals since start, sorted by name and reason.
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
