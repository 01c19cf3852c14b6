//! Simulates the load and fault patterns of the model, all or those named, and prints
//! the results of the callers' requests. `SEED` sets the seed of the random numbers.
//!
//! Run: `cargo run --release --example patterns -- power join_grown`.

use std::time::Instant;

use jujubepost::model::{pattern, simulate};
use jujubepost::policy::Policy;

fn main() {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let names: Vec<String> = std::env::args().skip(1).collect();
    for pattern in pattern::all() {
        if !names.is_empty() && !names.iter().any(|n| n == pattern.name) {
            continue;
        }
        let start = Instant::now();
        let stats = simulate(&pattern, &Policy::default(), seed);
        println!(
            "{:14} owed {:6} served {:.3} late {:5} refused {:4} lost {:4} p50 {:4} p99 {:5} \
             msgs/flow {:6.1} broken {} misrouted {} doubled {}, {:.2} s",
            pattern.name,
            stats.requests(),
            stats.served_ratio(),
            stats.late,
            stats.refused,
            stats.lost,
            stats.latency_quantile_ms(0.5),
            stats.latency_quantile_ms(0.99),
            stats.messages_per_flow(),
            stats.broken,
            stats.misrouted,
            stats.duplicated,
            start.elapsed().as_secs_f64(),
        );
        let worth: Vec<String> =
            stats.classes.iter().map(|c| format!("{:.3}", c.utility())).collect();
        println!("{:14} worth by class {}", "", worth.join(" "));
    }
}
