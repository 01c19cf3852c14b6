//! A balancer is stopped while it forwards packets of every flow: it withdraws its
//! announcement, lost packets are resent through the others, and no flow breaks.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::store::{self, KeyLayout};

#[ntex::test]
async fn flows_survive_a_stopped_balancer() {
    let mut site = common::start_site("lbstop", 22800, 3, 3, 2).await;
    let s = site.settings.clone();
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let args = Load { feeds: 6, requests: 60, secs: 3, ..Load::default() };
    let load_settings = s.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&load_settings, &args).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    site.stop("lb-2").await;
    assert!(store.get(&keys.balancer("lb-2")).await.unwrap().is_none());
    let reports = run.await.unwrap();
    for r in &reports {
        assert_eq!(r.broken, 0, "{r:?}");
        assert_eq!(r.ok, 60, "{r:?}");
        assert_eq!(r.duplicated, 0, "{r:?}");
    }
}
