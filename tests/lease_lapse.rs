//! An agent suspended for longer than its lease: its registration expires, balancers stop
//! choosing its target, and it registers again once resumed. No request fails meanwhile.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::store::{self, KeyLayout};
use jujubepost::up::Signal;

#[ntex::test]
async fn suspended_agent_registers_again() {
    // Ports from 22,200 on; 2 balancers, 3 meter targets, no fieldlog targets.
    let site = common::start_site("lapse", 22200, 2, 3, 0).await;
    let s = site.settings.clone();
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    site.send_signal("agent-meter-1", Signal::SIGSTOP);
    // Longer than the lease of 1 s in the test site.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(store.get(&keys.target("meter-1")).await.unwrap().is_none());
    let load_while_suspended = Load { feeds: 0, requests: 30, secs: 1, ..Load::default() };
    let rows = bench::measure(&s, &load_while_suspended).await;
    let meter = rows.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.ok, 30, "{meter:?}");
    assert_eq!(meter.served.get("meter-1"), None, "{meter:?}");
    site.send_signal("agent-meter-1", Signal::SIGCONT);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(store.get(&keys.target("meter-1")).await.unwrap().is_some());
    let load_after_resume = Load { feeds: 0, requests: 60, secs: 1, ..Load::default() };
    let rows = bench::measure(&s, &load_after_resume).await;
    let meter = rows.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.ok, 60, "{meter:?}");
    assert!(meter.served.get("meter-1").is_some_and(|&n| n > 0), "{meter:?}");
}
