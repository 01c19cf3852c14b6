//! Packets lost, doubled and delayed past each other, in both directions,
//! between the fabric and the agents: each caller still gets the whole answer
//! to its own request, once.

mod common;

use std::time::Duration;

use jujubepost::admin::{Faults, Peer};
use jujubepost::bench::{self, Load};

async fn disturbed(name: &str, base: u16, faults: Faults) {
    let site = common::start_site(name, base, 3, 3, 2).await;
    let s = site.settings.clone();
    let fabric = Peer::connect(s.fabric.addr, Duration::from_secs(1)).await.unwrap();
    fabric.disturb(faults).await.unwrap();
    let args = Load { feeds: 10, requests: 100, secs: 4, ..Load::default() };
    let rows = bench::measure(&s, &args).await;
    for r in &rows {
        assert_eq!((r.ok, r.refused, r.failed), (100, 0, 0), "{r:?}");
        assert_eq!((r.broken, r.doubled, r.foreign, r.wrong), (0, 0, 0, 0), "{r:?}");
    }
}

#[ntex::test]
async fn lost() {
    disturbed("lossy", 26500, Faults { lose: 50, ..Faults::default() }).await;
}

#[ntex::test]
async fn doubled() {
    disturbed("doubled", 27000, Faults { double: 300, ..Faults::default() }).await;
}

#[ntex::test]
async fn out_of_order() {
    disturbed("reorder", 27500, Faults { delay: 300, ..Faults::default() }).await;
}

#[ntex::test]
async fn all_at_once() {
    let faults = Faults { lose: 30, double: 100, delay: 200, ..Faults::default() };
    disturbed("mixed", 28000, faults).await;
}
