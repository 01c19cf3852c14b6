//! End to end, each role as a process of its own: every request and feed of both
//! services is served.

mod common;

use jujubepost::bench::{self, Load};

#[ntex::test]
async fn serves_both_services() {
    let site = common::start_site("path", 21000, 3, 3, 2).await;
    let args = Load { feeds: 4, requests: 40, secs: 2, ..Load::default() };
    let reports = bench::measure(&site.settings, &args).await;
    assert_eq!(reports.len(), 2);
    for r in &reports {
        assert_eq!(r.ok, 40, "{r:?}");
        assert_eq!(r.failed + r.refused, 0, "{r:?}");
        assert_eq!(r.broken, 0, "{r:?}");
        assert_eq!(r.misrouted, 0, "{r:?}");
        assert_eq!(r.duplicated, 0, "{r:?}");
    }
}
