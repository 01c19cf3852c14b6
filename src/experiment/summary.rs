//! The runs of one variant on one pattern, summed up over seeds.

use serde::Serialize;

use crate::model::Stats;

/// Median, least and most over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Distribution {
    /// The median.
    pub median: f64,
    /// The least.
    #[serde(rename = "least")]
    pub min: f64,
    /// The most.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Distribution {
    /// The spread of `values`, of which there is at least one.
    #[must_use]
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut all: Vec<f64> = values.into_iter().collect();
        all.sort_by(f64::total_cmp);
        let at = |n: usize| all.get(n).copied().unwrap_or_default();
        let middle = all.len() / 2;
        let even = all.len().is_multiple_of(2) && !all.is_empty();
        let median = if even { (at(middle - 1) + at(middle)) / 2.0 } else { at(middle) };
        Self { median, min: at(0), max: at(all.len().saturating_sub(1)) }
    }
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The pattern.
    pub pattern: &'static str,
    /// The variant.
    pub variant: String,
    /// Part of the requests served in time.
    pub served: Distribution,
    /// Difference of that to the baseline, paired by seed.
    pub gain: Distribution,
    /// Part answered late.
    pub late: Distribution,
    /// Part refused as not run.
    pub refused: Distribution,
    /// Part lost.
    pub lost: Distribution,
    /// Median answer time, in milliseconds.
    #[serde(rename = "p50")]
    pub p50_ms: Distribution,
    /// 99th percentile of the answer times, in milliseconds.
    #[serde(rename = "p99")]
    pub p99_ms: Distribution,
    /// Messages a flow.
    #[serde(rename = "messages")]
    pub messages_per_flow: Distribution,
    /// Flows broken or misrouted, and requests run twice, over all seeds.
    #[serde(rename = "wrong")]
    pub violations: u32,
}

impl Summary {
    /// Sums up `runs`, whose seeds are those of `baseline`, in the same order.
    #[must_use]
    pub fn new(
        pattern: &'static str,
        variant: String,
        runs: &[&Stats],
        baseline: &[&Stats],
    ) -> Self {
        let of = |f: &dyn Fn(&Stats) -> f64| Distribution::of(runs.iter().map(|t| f(t)));
        let part = |n: u32, t: &Stats| f64::from(n) / f64::from(t.requests().max(1));
        let pairs = runs.iter().zip(baseline);
        Self {
            pattern,
            variant,
            served: of(&Stats::served_ratio),
            gain: Distribution::of(pairs.map(|(a, b)| a.served_ratio() - b.served_ratio())),
            late: of(&|t| part(t.late, t)),
            refused: of(&|t| part(t.refused, t)),
            lost: of(&|t| part(t.lost, t)),
            p50_ms: of(&|t| t.latency_quantile_ms(0.5) as f64),
            p99_ms: of(&|t| t.latency_quantile_ms(0.99) as f64),
            messages_per_flow: of(&Stats::messages_per_flow),
            violations: runs.iter().map(|t| t.broken + t.misrouted + t.duplicates).sum(),
        }
    }
}
