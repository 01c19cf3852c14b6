//! Results of one profile in a load run, and how they are printed.

use std::collections::BTreeMap;

use serde::Serialize;

/// Results of one profile.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProfileReport {
    /// Profile name.
    pub profile: String,
    /// Flows opened (feeds and requests).
    pub flows: u32,
    /// Requests answered with status 200.
    pub ok: u32,
    /// Requests that jujubepost refused as not executed.
    pub refused: u32,
    /// Requests that a target refused to shed load.
    pub shed: u32,
    /// Requests that failed in any other way.
    pub failed: u32,
    /// Feeds opened.
    pub feeds: u32,
    /// Feeds that ended or failed before the end of the run.
    pub broken: u32,
    /// Median latency of the requests answered with status 200, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency, in milliseconds.
    pub p99_ms: f64,
    /// Requests on the most loaded target, divided by the mean.
    pub imbalance: f64,
    /// Feeds on the most loaded target, divided by the mean.
    pub feed_imbalance: f64,
    /// Request ids that were executed more than once.
    #[serde(rename = "doubled")]
    pub duplicated: u32,
    /// Requests refused as not executed that a target did execute.
    #[serde(rename = "lied")]
    pub false_refusals: u32,
    /// Responses from a target of another service.
    #[serde(rename = "foreign")]
    pub misrouted: u32,
    /// Responses that were truncated or belong to another request, and feeds with a gap.
    #[serde(rename = "wrong")]
    pub corrupted: u32,
    /// Requests answered by each target, by name.
    pub served: BTreeMap<String, u32>,
    /// When each target's last answered request was sent, in milliseconds since the
    /// start of the run.
    pub last_ms: BTreeMap<String, u64>,
}

/// Prints the reports as a table and as one line of JSON.
pub fn print(site: &str, reports: &[ProfileReport]) {
    println!("site {site}");
    println!(
        "profile       flows     ok refused  shed failed feeds broken p50_ms p99_ms   imb feed_imb \
         doubled lied foreign wrong"
    );
    for r in reports {
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
            r.duplicated,
            r.false_refusals,
            r.misrouted,
            r.corrupted
        );
    }
    if let Ok(json) = serde_json::to_string(reports) {
        println!("json {json}");
    }
}
