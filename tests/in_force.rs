//! A configuration must be in force on every balancer and agent within seconds,
//! and must not revert in a store outage, not even in processes that start in it.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::ctl::{self, WriteOutcome, fleet};
use jujubepost::settings::Settings;
use jujubepost::store::{self, Faults, KeyLayout, Snapshot};

/// Longest time until a change is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets the flow limit of the meter profile.
async fn set_flow_limit(s: &Settings, flows: u32) {
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    let mut spec = s.profiles[0].clone();
    spec.max_flows = flows;
    assert_eq!(ctl::write_profile(&store, &keys, &spec, rev).await.unwrap(), WriteOutcome::Written);
}

/// Waits until the agents have closed the flows of earlier feeds, which would
/// count against the flow limit.
async fn wait_flows_closed(s: &Settings) {
    let all_closed = async {
        loop {
            let all = fleet::fetch_statuses(s).await;
            if all.iter().all(|(_, st)| st.as_ref().is_ok_and(|st| st.flows == 0)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(IN_FORCE_TIMEOUT, all_closed).await.unwrap();
}

/// Returns how many of 10 requests are answered and refused while `feeds` feeds
/// are open on the only target.
async fn count_answered(s: &Settings, feeds: u32) -> (u32, u32) {
    wait_flows_closed(s).await;
    let feed_load = Load { feeds, requests: 0, secs: 4, ..Load::default() };
    let settings = s.clone();
    let feed_task =
        tokio::task::spawn_local(async move { bench::measure(&settings, &feed_load).await });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let request_load = Load { feeds: 0, requests: 10, secs: 2, ..Load::default() };
    let rows = bench::measure(s, &request_load).await;
    let meter = rows.iter().find(|r| r.profile == "meter").unwrap();
    let feed_rows = feed_task.await.unwrap();
    assert!(feed_rows.iter().all(|r| r.broken == 0), "{feed_rows:?}");
    (meter.ok, meter.refused)
}

/// Returns the fingerprint of the configuration that each balancer and agent applies.
async fn config_fingerprints(s: &Settings) -> Vec<u64> {
    let all = fleet::fetch_statuses(s).await;
    let applying = all.into_iter().filter(|(p, _)| p.role != "fabric");
    applying.map(|(_, st)| st.unwrap().config_fingerprint).collect()
}

#[ntex::test]
async fn changed_limit_is_in_force_on_agents() {
    let site = common::start_site("limit", 25500, 2, 1, 0).await;
    let s = site.settings.clone();
    assert_eq!(count_answered(&s, 2).await, (10, 0));
    set_flow_limit(&s, 2).await;
    fleet::wait_in_force(&s, IN_FORCE_TIMEOUT).await.unwrap();
    assert_eq!(count_answered(&s, 2).await, (0, 10));
}

#[ntex::test]
async fn processes_started_in_outage_use_latest_config() {
    let mut site = common::start_site("joins", 26000, 2, 1, 0).await;
    let s = site.settings.clone();
    set_flow_limit(&s, 2).await;
    fleet::wait_in_force(&s, IN_FORCE_TIMEOUT).await.unwrap();
    let before = config_fingerprints(&s).await;
    ctl::set_store_faults(&s, &Faults { outage: true, ..Faults::default() }).await.unwrap();
    // Replace every process in turn while the store is down.
    for label in ["lb-0", "lb-1", "agent-meter-1"] {
        site.kill(label);
        site.launch(label).unwrap();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    assert_eq!(config_fingerprints(&s).await, before);
    assert_eq!(count_answered(&s, 2).await, (0, 10));
    assert_eq!(count_answered(&s, 1).await, (10, 0));
}

#[test]
fn older_snapshot_is_ignored() {
    let mut snapshot = Snapshot { rev: 9, ..Snapshot::default() };
    assert!(!snapshot.replace_if_newer(Snapshot { rev: 8, ..Snapshot::default() }));
    assert!(snapshot.replace_if_newer(Snapshot { rev: 10, ..Snapshot::default() }));
    assert_eq!(snapshot.rev, 10);
}
