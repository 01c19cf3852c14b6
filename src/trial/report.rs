//! What callers and targets saw in a trial.

use std::collections::HashMap;

use super::plan::SERVICES;

/// What callers and targets saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests answered.
    pub served: u32,
    /// Requests that got no answer in time, or whose flow was reset.
    pub failed: u32,
    /// Feeds whose flow broke.
    pub broken: u32,
    /// Requests that ran twice.
    pub duplicates: u32,
    /// Requests that reached a target of another service.
    pub foreign: u32,
    /// Flows opened at each target.
    pub flows_by_target: HashMap<String, u32>,
    /// Times to the answer, in milliseconds.
    pub latencies_ms: Vec<u64>,
}

impl Report {
    /// Flows of the busiest target of a service over the mean.
    #[must_use]
    pub fn flow_imbalance(&self, service: &str) -> f64 {
        let of = |(name, n): (&String, &u32)| name.starts_with(service).then_some(f64::from(*n));
        let flows: Vec<f64> = self.flows_by_target.iter().filter_map(of).collect();
        let mean = flows.iter().sum::<f64>() / flows.len().max(1) as f64;
        flows.iter().copied().fold(0.0, f64::max) / mean.max(1.0)
    }

    fn latency_quantile_ms(&self, q: f64) -> u64 {
        let mut times = self.latencies_ms.clone();
        times.sort_unstable();
        let at = (times.len() as f64 * q) as usize;
        times.get(at.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "served {} failed {} broken feeds {} doubled {} foreign {}",
            self.served, self.failed, self.broken, self.duplicates, self.foreign
        )?;
        writeln!(
            f,
            "time to answer: p50 {} ms, p99 {} ms",
            self.latency_quantile_ms(0.5),
            self.latency_quantile_ms(0.99)
        )?;
        for (service, _) in SERVICES {
            writeln!(f, "{service}: busiest target over mean {:.2}", self.flow_imbalance(service))?;
        }
        Ok(())
    }
}
