//! A balancer is killed while it forwards packets of every flow: they are resent
//! through the others, and no flow breaks or runs twice.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};

#[ntex::test]
async fn flows_survive_a_killed_balancer() {
    let mut site = common::start_site("death", 21300, 3, 3, 2).await;
    let args = Load { feeds: 6, requests: 60, secs: 3, ..Load::default() };
    let settings = site.settings.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&settings, &args).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    site.kill("lb-1");
    let reports = run.await.unwrap();
    for r in &reports {
        assert_eq!(r.broken, 0, "{r:?}");
        assert_eq!(r.failed, 0, "{r:?}");
        assert_eq!(r.ok, 60, "{r:?}");
        assert_eq!(r.duplicated, 0, "{r:?}");
    }
}
