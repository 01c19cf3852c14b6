//! Statistics over the seeds of one variant on one pattern.

use serde::Serialize;

use crate::model::Stats;

/// Median and range of a figure over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Distribution {
    /// The median.
    pub median: f64,
    /// Smallest value.
    #[serde(rename = "least")]
    pub min: f64,
    /// Largest value.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Distribution {
    /// Distribution of `values`; all zero if there are none.
    #[must_use]
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let at = |n: usize| sorted.get(n).copied().unwrap_or_default();
        let middle = sorted.len() / 2;
        let even = sorted.len().is_multiple_of(2) && !sorted.is_empty();
        let median = if even { (at(middle - 1) + at(middle)) / 2.0 } else { at(middle) };
        Self { median, min: at(0), max: at(sorted.len().saturating_sub(1)) }
    }
}

/// Results of one variant on one pattern: a row of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Name of the variant.
    pub variant: String,
    /// Share of requests answered within their latency goal.
    pub served: Distribution,
    /// Difference of `served` to the baseline, paired by seed.
    pub gain: Distribution,
    /// Share answered after their latency goal.
    pub late: Distribution,
    /// Share refused before execution.
    pub refused: Distribution,
    /// Share cut off or timed out.
    pub lost: Distribution,
    /// Median latency of answered requests.
    #[serde(rename = "p50")]
    pub p50_ms: Distribution,
    /// 99th percentile of the latency of answered requests.
    #[serde(rename = "p99")]
    pub p99_ms: Distribution,
    /// Mean number of messages between processes per flow.
    #[serde(rename = "messages")]
    pub messages_per_flow: Distribution,
    /// Broken flows, misrouted flows and duplicate executions, summed over seeds.
    #[serde(rename = "wrong")]
    pub violations: u32,
}

impl Summary {
    /// Summarises `runs`, which must be in the same order of seeds as `baseline`.
    #[must_use]
    pub fn new(
        pattern: &'static str,
        variant: String,
        runs: &[&Stats],
        baseline: &[&Stats],
    ) -> Self {
        let of = |f: &dyn Fn(&Stats) -> f64| Distribution::of(runs.iter().map(|s| f(s)));
        let share = |n: u32, s: &Stats| f64::from(n) / f64::from(s.requests().max(1));
        let pairs = runs.iter().zip(baseline);
        Self {
            pattern,
            variant,
            served: of(&Stats::served_ratio),
            gain: Distribution::of(pairs.map(|(a, b)| a.served_ratio() - b.served_ratio())),
            late: of(&|s| share(s.late, s)),
            refused: of(&|s| share(s.refused, s)),
            lost: of(&|s| share(s.lost, s)),
            p50_ms: of(&|s| s.latency_quantile_ms(0.5) as f64),
            p99_ms: of(&|s| s.latency_quantile_ms(0.99) as f64),
            messages_per_flow: of(&Stats::messages_per_flow),
            violations: runs.iter().map(|s| s.broken + s.misrouted + s.duplicated).sum(),
        }
    }
}
