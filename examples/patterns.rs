//! Plays every pattern of the model, or those named, and prints what became of
//! the callers' requests.
//!
//! `cargo run --release --example patterns -- power join_grown`

use std::time::Instant;

use jujubepost::model::{pattern, simulate};
use jujubepost::policy::Policy;

fn main() {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let names: Vec<String> = std::env::args().skip(1).collect();
    for p in pattern::all() {
        if !names.is_empty() && !names.iter().any(|n| n == p.name) {
            continue;
        }
        let began = Instant::now();
        let t = simulate(&p, &Policy::default(), seed);
        println!(
            "{:14} owed {:6} served {:.3} late {:5} refused {:4} lost {:4} p50 {:4} p99 {:5} \
             msgs/flow {:6.1} broken {} misrouted {} doubled {}, {:.2} s",
            p.name,
            t.requests(),
            t.served_ratio(),
            t.late,
            t.refused,
            t.lost,
            t.latency_quantile_ms(0.5),
            t.latency_quantile_ms(0.99),
            t.messages_per_flow(),
            t.broken,
            t.misrouted,
            t.duplicates,
            began.elapsed().as_secs_f64(),
        );
        let worth: Vec<String> = t.classes.iter().map(|c| format!("{:.3}", c.utility())).collect();
        println!("{:14} worth by class {}", "", worth.join(" "));
    }
}
