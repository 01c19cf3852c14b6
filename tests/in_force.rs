//! An accepted configuration is in force on every balancer and agent within
//! seconds, and never reverts: not in a store outage, not in a process that
//! starts while the store is down.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::ctl::{self, Outcome, fleet};
use jujubepost::settings::Settings;
use jujubepost::store::{self, Faults, KeyLayout, Snapshot};

const BOUND: Duration = Duration::from_secs(3);

/// Lowers the meter profile's flow limit.
async fn limit(s: &Settings, flows: u32) {
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    let mut spec = s.profiles[0].clone();
    spec.max_flows = flows;
    assert_eq!(ctl::put(&store, &keys, &spec, rev).await.unwrap(), Outcome::Written);
}

/// Waits until feeds that have ended are closed at the agents as well, which is
/// to take no longer than a change: until then they count against the limit, and a
/// feed that begins 10 ms later is refused as one too many.
async fn closed(s: &Settings) {
    let all_closed = async {
        loop {
            let all = fleet::statuses(s).await;
            if all.iter().all(|(_, st)| st.as_ref().is_ok_and(|st| st.flows == 0)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(BOUND, all_closed).await.unwrap();
}

/// Requests answered and refused while `feeds` open feeds, opened before
/// them, hold the one target.
async fn answered(s: &Settings, feeds: u32) -> (u32, u32) {
    closed(s).await;
    let held = Load { feeds, requests: 0, secs: 4, ..Load::default() };
    let s2 = s.clone();
    let holder = tokio::task::spawn_local(async move { bench::measure(&s2, &held).await });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let args = Load { feeds: 0, requests: 10, secs: 2, ..Load::default() };
    let rows = bench::measure(s, &args).await;
    let meter = rows.iter().find(|r| r.profile == "meter").unwrap();
    let held = holder.await.unwrap();
    assert!(held.iter().all(|r| r.broken == 0), "{held:?}");
    (meter.ok, meter.refused)
}

/// The orders that each balancer and agent applies.
async fn orders(s: &Settings) -> Vec<u64> {
    let all = fleet::statuses(s).await;
    let applying = all.into_iter().filter(|(p, _)| p.role != "fabric");
    applying.map(|(_, st)| st.unwrap().orders).collect()
}

#[ntex::test]
async fn limit_reaches_agents() {
    let site = common::start_site("limit", 25500, 2, 1, 0).await;
    let s = site.settings.clone();
    assert_eq!(answered(&s, 2).await, (10, 0));
    limit(&s, 2).await;
    fleet::in_force(&s, BOUND).await.unwrap();
    assert_eq!(answered(&s, 2).await, (0, 10));
}

#[ntex::test]
async fn joins_in_outage() {
    let mut site = common::start_site("joins", 26000, 2, 1, 0).await;
    let s = site.settings.clone();
    limit(&s, 2).await;
    fleet::in_force(&s, BOUND).await.unwrap();
    let before = orders(&s).await;
    ctl::fault(&s, &Faults { outage: true, ..Faults::default() }).await.unwrap();
    // Every process is replaced in turn; nothing is read from the store.
    for label in ["lb-0", "lb-1", "agent-meter-1"] {
        site.kill(label);
        site.launch(label).unwrap();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    assert_eq!(orders(&s).await, before);
    assert_eq!(answered(&s, 2).await, (0, 10));
    assert_eq!(answered(&s, 1).await, (10, 0));
}

#[test]
fn older_copy_ignored() {
    let mut copy = Snapshot { rev: 9, ..Snapshot::default() };
    assert!(!copy.replace_if_newer(Snapshot { rev: 8, ..Snapshot::default() }));
    assert!(copy.replace_if_newer(Snapshot { rev: 10, ..Snapshot::default() }));
    assert_eq!(copy.rev, 10);
}
