//! Helpers for tests that run the platform's form on this machine.

use std::time::{Duration, Instant};

use jujubepost::store::Faults;
use jujubepost::trial::Trial;

const MS: Duration = Duration::from_millis(1);

/// Time in which a configuration must be in force, as `bounds.config_ms` has it by default.
pub const CONFIG_BOUND: Duration = Duration::from_secs(3);

/// Replaces the faults of the store.
pub async fn set_faults(trial: &Trial, faults: Faults) {
    let client = ntex::client::Client::new().await;
    let url = format!("http://{}/fault", trial.store_addr());
    assert!(client.post(url).send_json(&faults).await.unwrap().status().is_success());
}

/// The version that balancer `n` of a data centre has in force; `None` if it does not answer.
async fn config_version(trial: &Trial, zone: u8, n: u8) -> Option<u64> {
    let http = ntex::client::Client::new().await;
    let url = format!("http://{}/beliefs", trial.metrics_addr(true, zone, n));
    let body = http.get(url).send().await.ok()?.body().await.ok()?;
    serde_json::from_slice::<serde_json::Value>(&body).ok()?["version"].as_u64()
}

/// Waits until all `balancers` of each data centre have `version` in force; fails after
/// [`CONFIG_BOUND`].
pub async fn wait_in_force(trial: &Trial, balancers: u8, version: u64, context: &str) {
    let start = Instant::now();
    loop {
        let mut versions = Vec::new();
        for (zone, n) in (0..2).flat_map(|z| (0..balancers).map(move |n| (z, n))) {
            versions.push(config_version(trial, zone, n).await);
        }
        if versions.iter().all(|v| *v == Some(version)) {
            return;
        }
        assert!(start.elapsed() < CONFIG_BOUND, "{context}: {versions:?} instead of {version}");
        tokio::time::sleep(50 * MS).await;
    }
}
