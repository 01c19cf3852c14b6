//! A target taken out of service: its established feeds keep running, and
//! once the grace has passed it gets no new work; new flows go to the others.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::store::{self, KeyLayout};

#[ntex::test]
async fn drain_keeps_feeds() {
    let site = common::start_site("drain", 21900, 2, 3, 0).await;
    let settings = site.settings.clone();
    let store = store::Client::new(settings.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(settings.store.prefix.clone());
    let feeds = Load { feeds: 9, requests: 1, secs: 5, ..Load::default() };
    let s2 = settings.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&s2, &feeds).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    store.put(&keys.drain_order("meter-1"), b"{\"since_ms\":0}", 0).await.unwrap();
    let rows = run.await.unwrap();
    let meter = rows.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.broken, 0, "{meter:?}");
    assert_eq!(meter.feeds, 9, "{meter:?}");
    // The grace (1 s in the test site) has passed: no new work for meter-1.
    let after = Load { feeds: 0, requests: 60, secs: 1, ..Load::default() };
    let rows = bench::measure(&settings, &after).await;
    let meter = rows.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.ok, 60, "{meter:?}");
    assert_eq!(meter.served.get("meter-1"), None, "{meter:?}");
}
