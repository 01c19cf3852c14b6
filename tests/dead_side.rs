//! An agent or a target dies while its lease is still valid: new flows go to the other
//! candidate at once, and no request runs twice.

mod common;

use jujubepost::bench::{self, Load};
use jujubepost::up::{Site, SiteSpec};

/// Starts a site whose leases outlast the test.
async fn start(name: &str, base: u16) -> Site {
    let plan = SiteSpec::new(base).balancers(2).meters(3).fieldlogs(2).lease_ms(60_000);
    let path = plan.write(name).unwrap();
    Site::start(&common::exe(), &path).await.unwrap()
}

async fn assert_all_served(site: &Site) {
    let args = Load { feeds: 4, requests: 60, secs: 3, ..Load::default() };
    for r in bench::measure(&site.settings, &args).await {
        assert_eq!((r.ok, r.broken, r.duplicated, r.corrupted), (60, 0, 0, 0), "{r:?}");
    }
}

#[ntex::test]
async fn new_flows_avoid_a_dead_agent() {
    let mut site = start("agentdead", 28500).await;
    site.kill("agent-meter-1");
    assert_all_served(&site).await;
}

#[ntex::test]
async fn new_flows_avoid_a_dead_target() {
    let mut site = start("targetdead", 29000).await;
    site.kill("meter-1");
    site.kill("fieldlog-1");
    assert_all_served(&site).await;
}
