//! Packets lost, doubled and delayed past each other, in both directions,
//! between the fabric and the agents: each caller still gets the whole answer
//! to its own request, once.

mod common;

use std::time::Duration;

use jujubepost::admin::{Connection, Faults};
use jujubepost::bench::{self, Load};

async fn disturbed(name: &str, base: u16, faults: Faults) {
    let site = common::start(name, base, 3, 3, 2).await;
    let s = site.settings.clone();
    let fabric = Connection::connect(s.fabric.addr, Duration::from_secs(1)).await.unwrap();
    fabric.set_faults(faults).await.unwrap();
    let args = Load { feeds: 10, requests: 100, secs: 4, ..Load::default() };
    let rows = bench::measure(&s, &args).await;
    for r in &rows {
        assert_eq!((r.ok, r.refused, r.failed), (100, 0, 0), "{r:?}");
        assert_eq!((r.broken, r.doubled, r.foreign, r.wrong), (0, 0, 0, 0), "{r:?}");
    }
}

#[ntex::test]
async fn lost() {
    disturbed("lossy", 26500, Faults { lost_permille: 50, ..Faults::default() }).await;
}

#[ntex::test]
async fn doubled() {
    disturbed("doubled", 27000, Faults { duplicated_permille: 300, ..Faults::default() }).await;
}

#[ntex::test]
async fn out_of_order() {
    disturbed("reorder", 27500, Faults { delayed_permille: 300, ..Faults::default() }).await;
}

#[ntex::test]
async fn all_at_once() {
    let faults = Faults {
        lost_permille: 30,
        duplicated_permille: 100,
        delayed_permille: 200,
        ..Faults::default()
    };
    disturbed("mixed", 28000, faults).await;
}
