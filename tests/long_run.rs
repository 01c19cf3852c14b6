//! Processes that run for long: what they use must not grow with what they have done.

mod common;

use std::path::PathBuf;
use std::time::Duration;

use jujubepost::trial::{Plan, Trial};

/// Changes before the first measurement, while caches and tables fill.
const WARM_UP: u64 = 66;

/// Changes between the two measurements.
const CHANGES: u64 = 66;

/// Growth allowed for each change, in KiB: a day of 15,000 changes within 32 MB.
const MAX_GROWTH_KIB: u64 = 2;

/// Slightly longer than balancers wait to gather changes, so that each is applied by itself.
const CHANGE_INTERVAL: Duration = Duration::from_millis(310);

/// Private memory of the balancers, in KiB.
fn balancers_kib() -> Vec<u64> {
    let own_pid = std::process::id().to_string();
    let processes = std::fs::read_dir("/proc").unwrap().filter_map(Result::ok);
    processes.filter_map(|process| private_kib(&process.path(), &own_pid)).collect()
}

/// Private memory of a balancer that `parent` started, in KiB; `None` for other processes.
fn private_kib(process: &std::path::Path, parent: &str) -> Option<u64> {
    let status = std::fs::read_to_string(process.join("status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name))?;
        line.split_whitespace().nth(1)
    };
    let command = std::fs::read_to_string(process.join("cmdline")).ok()?;
    let is_balancer = field("PPid:") == Some(parent) && command.contains("\0entry\0");
    is_balancer.then(|| field("RssAnon:")?.parse().ok())?
}

/// Guards against balancers that run out of memory after some thousand changes of the
/// configuration.
#[ntex::test]
async fn memory_flat_over_changes() {
    let dir: PathBuf = std::env::temp_dir().join(format!("jujubepost-long-{}", std::process::id()));
    let plan = Plan {
        base_port: 27_100,
        targets: 2,
        feeds: 40,
        rate: 2,
        secs: 50,
        idle_routes: 400,
        ..Plan::default()
    };
    let mut trial = Trial::start(&common::exe(), &dir, plan).await.unwrap();
    let mut used = Vec::new();
    let changes = async |trial: &mut Trial| {
        for version in 2..2 + WARM_UP + CHANGES {
            if version == 2 + WARM_UP {
                used.push(balancers_kib());
            }
            trial.write_config(version).await?;
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
        used.push(balancers_kib());
        Ok(())
    };
    trial.run_load(changes).await.unwrap();
    trial.shut_down().await;
    let _ = std::fs::remove_dir_all(&dir);
    assert_eq!(used[0].len(), 4, "balancers measured");
    for (before, after) in used[0].iter().zip(&used[1]) {
        let growth = after.saturating_sub(*before);
        assert!(growth <= CHANGES * MAX_GROWTH_KIB, "{growth} KiB: {before} to {after}");
    }
}
