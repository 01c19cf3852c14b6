//! A store outage longer than the leases: balancers keep routing by their last view, no
//! request fails, and all targets are registered again afterwards.

mod common;

use std::time::Duration;

use jujubepost::bench::{self, Load};
use jujubepost::ctl;
use jujubepost::store::{self, Faults, KeyLayout};

#[ntex::test]
async fn requests_served_during_outage() {
    let site = common::start_site("outage", 22500, 2, 3, 2).await;
    let s = site.settings.clone();
    ctl::set_store_faults(&s, &Faults { outage: true, ..Faults::default() }).await.unwrap();
    // Longer than the lease of 1 s in the test site.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let during = Load { feeds: 2, requests: 40, secs: 2, ..Load::default() };
    let rows = bench::measure(&s, &during).await;
    for r in &rows {
        assert_eq!(r.ok, 40, "during outage: {r:?}");
        assert_eq!(r.broken, 0, "during outage: {r:?}");
    }
    ctl::set_store_faults(&s, &Faults::default()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let (_, kvs) =
        store.list(&KeyLayout::new(s.store.prefix.clone()).targets_prefix()).await.unwrap();
    assert_eq!(kvs.len(), 5, "{kvs:?}");
    let after = Load { feeds: 0, requests: 40, secs: 1, ..Load::default() };
    let rows = bench::measure(&s, &after).await;
    for r in &rows {
        assert_eq!(r.ok, 40, "after outage: {r:?}");
    }
}
