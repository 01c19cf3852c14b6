//! A balancer killed while flows cross it: packets of every flow are sprayed
//! over all balancers, so the death is seen by every flow; the fabric resends
//! through the others, and no flow breaks or runs twice.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};

#[ntex::test]
async fn death_breaks_nothing() {
    let mut site = common::start_site("death", 21300, 3, 3, 2).await;
    let args = Load { feeds: 6, requests: 60, secs: 3, ..Load::default() };
    let settings = site.settings.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&settings, &args).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    site.kill("lb-1");
    let rows = run.await.unwrap();
    for r in &rows {
        assert_eq!(r.broken, 0, "{r:?}");
        assert_eq!(r.failed, 0, "{r:?}");
        assert_eq!(r.ok, 60, "{r:?}");
        assert_eq!(r.doubled, 0, "{r:?}");
    }
}
