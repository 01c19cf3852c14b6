//! A target is drained: its open feeds go on, and after the grace period it gets no new
//! flows.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::store::{self, KeyLayout};

#[ntex::test]
async fn drained_target_keeps_feeds_and_gets_no_new_flows() {
    let site = common::start_site("drain", 21900, 2, 3, 0).await;
    let settings = site.settings.clone();
    let store = store::Client::new(settings.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(settings.store.prefix.clone());
    let feeds = Load { feeds: 9, requests: 1, secs: 5, ..Load::default() };
    let load_settings = settings.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&load_settings, &feeds).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    store.put(&keys.drain_order("meter-1"), b"{\"since_ms\":0}", 0).await.unwrap();
    let reports = run.await.unwrap();
    let meter = reports.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.broken, 0, "{meter:?}");
    assert_eq!(meter.feeds, 9, "{meter:?}");
    // The grace period of the test site (1 s) is over.
    let after = Load { feeds: 0, requests: 60, secs: 1, ..Load::default() };
    let reports = bench::measure(&settings, &after).await;
    let meter = reports.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.ok, 60, "{meter:?}");
    assert_eq!(meter.served.get("meter-1"), None, "{meter:?}");
}
