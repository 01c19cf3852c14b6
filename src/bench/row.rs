//! What one profile saw, and how it is printed.

use serde::Serialize;

/// What one profile saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Profile name.
    pub profile: String,
    /// Flows opened (feeds and requests).
    pub flows: u32,
    /// Requests answered 200.
    pub ok: u32,
    /// Requests refused by jujubepost as not run.
    pub refused: u32,
    /// Requests refused by a target that sheds load.
    pub shed: u32,
    /// Requests that failed otherwise.
    pub failed: u32,
    /// Feeds opened.
    pub feeds: u32,
    /// Feeds that ended or failed before the run was over.
    pub broken: u32,
    /// Median time of an answered request, in milliseconds.
    pub p50_ms: f64,
    /// Time that 99 of 100 answered requests keep, in milliseconds.
    pub p99_ms: f64,
    /// Requests most loaded target / mean.
    pub imbalance: f64,
    /// Feeds on the most loaded target / mean.
    pub feed_imbalance: f64,
    /// Request ids that ran more than once.
    pub doubled: u32,
    /// Requests refused as not run that a target ran all the same.
    pub lied: u32,
    /// Answers from a target of another service.
    pub foreign: u32,
    /// Answers that were cut, or not the request's own; feeds with a gap.
    pub wrong: u32,
    /// Requests answered by each target, by name.
    pub served: std::collections::BTreeMap<String, u32>,
    /// When each target's last answered request was sent, in milliseconds
    /// from the start of the run.
    pub last_ms: std::collections::BTreeMap<String, u64>,
}

/// Prints rows as a table and as one JSON line.
pub fn print(site: &str, rows: &[Row]) {
    println!("site {site}");
    println!(
        "profile       flows     ok refused  shed failed feeds broken p50_ms p99_ms   imb feed_imb \
         doubled lied foreign wrong"
    );
    for r in rows {
        println!(
            "{:<12} {:>6} {:>6} {:>7} {:>5} {:>6} {:>5} {:>6} {:>6.1} {:>6.1} {:>5.2} {:>8.2} \
             {:>7} {:>4} {:>7} {:>5}",
            r.profile,
            r.flows,
            r.ok,
            r.refused,
            r.shed,
            r.failed,
            r.feeds,
            r.broken,
            r.p50_ms,
            r.p99_ms,
            r.imbalance,
            r.feed_imbalance,
            r.doubled,
            r.lied,
            r.foreign,
            r.wrong
        );
    }
    if let Ok(json) = serde_json::to_string(rows) {
        println!("json {json}");
    }
}
