//! The whole path as separate processes: store, fabric, balancers, agents
//! and targets serve both services end to end.

mod common;

use jujubepost::bench::{self, Load};

#[ntex::test]
async fn serves_both_services() {
    let site = common::start_site("path", 21000, 3, 3, 2).await;
    let args = Load { feeds: 4, requests: 40, secs: 2, ..Load::default() };
    let rows = bench::measure(&site.settings, &args).await;
    assert_eq!(rows.len(), 2);
    for r in &rows {
        assert_eq!(r.ok, 40, "{r:?}");
        assert_eq!(r.failed + r.refused, 0, "{r:?}");
        assert_eq!(r.broken, 0, "{r:?}");
        assert_eq!(r.foreign, 0, "{r:?}");
        assert_eq!(r.doubled, 0, "{r:?}");
    }
}
