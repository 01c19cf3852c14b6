//! The runs of one variant on one pattern, summed up over seeds.

use serde::Serialize;

use crate::model::Stats;

/// Median, least and most over seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// The spread of `values`, of which there is at least one.
    #[must_use]
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut all: Vec<f64> = values.into_iter().collect();
        all.sort_by(f64::total_cmp);
        let at = |n: usize| all.get(n).copied().unwrap_or_default();
        let middle = all.len() / 2;
        let even = all.len().is_multiple_of(2) && !all.is_empty();
        let median = if even { (at(middle - 1) + at(middle)) / 2.0 } else { at(middle) };
        Self { median, least: at(0), most: at(all.len().saturating_sub(1)) }
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
    pub served: Spread,
    /// Difference of that to the baseline, paired by seed.
    pub gain: Spread,
    /// Part answered late.
    pub late: Spread,
    /// Part refused as not run.
    pub refused: Spread,
    /// Part lost.
    pub lost: Spread,
    /// Median answer time, in milliseconds.
    pub p50: Spread,
    /// 99th percentile of the answer times, in milliseconds.
    pub p99: Spread,
    /// Messages a flow.
    pub messages: Spread,
    /// Flows broken or misrouted, and requests run twice, over all seeds.
    pub wrong: u32,
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
        let of = |f: &dyn Fn(&Stats) -> f64| Spread::of(runs.iter().map(|t| f(t)));
        let part = |n: u32, t: &Stats| f64::from(n) / f64::from(t.owed().max(1));
        let pairs = runs.iter().zip(baseline);
        Self {
            pattern,
            variant,
            served: of(&Stats::part),
            gain: Spread::of(pairs.map(|(a, b)| a.part() - b.part())),
            late: of(&|t| part(t.late, t)),
            refused: of(&|t| part(t.refused, t)),
            lost: of(&|t| part(t.lost, t)),
            p50: of(&|t| t.quantile_ms(0.5) as f64),
            p99: of(&|t| t.quantile_ms(0.99) as f64),
            messages: of(&Stats::per_flow),
            wrong: runs.iter().map(|t| t.broken + t.misrouted + t.doubled).sum(),
        }
    }
}
