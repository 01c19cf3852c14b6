//! Results of a trial, as observed by callers and targets.

use std::collections::HashMap;

use super::plan::SERVICES;

/// Results of a trial.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests answered.
    pub served: u32,
    /// Requests that timed out or whose flow was reset, and flows that could not
    /// be opened.
    pub failed: u32,
    /// Requests of feeds that failed on an open flow.
    pub broken: u32,
    /// Requests that a target executed more than once.
    pub duplicated: u32,
    /// Requests that reached a target of another service.
    pub misrouted: u32,
    /// Flows opened, by target.
    pub flows_by_target: HashMap<String, u32>,
    /// Latencies of answered requests.
    pub latencies_ms: Vec<u64>,
}

impl Report {
    /// Flows of the busiest target of a service, relative to the mean.
    #[must_use]
    pub fn flow_imbalance(&self, service: &str) -> f64 {
        let in_service =
            |(name, n): (&String, &u32)| name.starts_with(service).then_some(f64::from(*n));
        let flows: Vec<f64> = self.flows_by_target.iter().filter_map(in_service).collect();
        let mean = flows.iter().sum::<f64>() / flows.len().max(1) as f64;
        flows.iter().copied().fold(0.0, f64::max) / mean.max(1.0)
    }

    fn latency_quantile_ms(&self, q: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * q) as usize;
        sorted.get(rank.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "served {} failed {} broken feeds {} doubled {} foreign {}",
            self.served, self.failed, self.broken, self.duplicated, self.misrouted
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
