//! Loss, duplication and reordering of packets between fabric and agents, in both
//! directions: no request fails or runs twice, and no response is corrupted.

mod common;

use std::time::Duration;

use jujubepost::admin::{Connection, Faults};
use jujubepost::bench::{self, Load};

async fn serves_despite(name: &str, base: u16, faults: Faults) {
    let site = common::start_site(name, base, 3, 3, 2).await;
    let s = site.settings.clone();
    let fabric = Connection::connect(s.fabric.addr, Duration::from_secs(1)).await.unwrap();
    fabric.set_faults(faults).await.unwrap();
    let args = Load { feeds: 10, requests: 100, secs: 4, ..Load::default() };
    let reports = bench::measure(&s, &args).await;
    for r in &reports {
        assert_eq!((r.ok, r.refused, r.failed), (100, 0, 0), "{r:?}");
        assert_eq!((r.broken, r.duplicated, r.misrouted, r.corrupted), (0, 0, 0, 0), "{r:?}");
    }
}

#[ntex::test]
async fn survives_packet_loss() {
    serves_despite("lossy", 26500, Faults { lost_permille: 50, ..Faults::default() }).await;
}

#[ntex::test]
async fn survives_duplication() {
    serves_despite("doubled", 27000, Faults { duplicated_permille: 300, ..Faults::default() })
        .await;
}

#[ntex::test]
async fn survives_reordering() {
    serves_despite("reorder", 27500, Faults { delayed_permille: 300, ..Faults::default() }).await;
}

#[ntex::test]
async fn survives_loss_duplication_and_reordering() {
    let faults = Faults {
        lost_permille: 30,
        duplicated_permille: 100,
        delayed_permille: 200,
        ..Faults::default()
    };
    serves_despite("mixed", 28000, faults).await;
}
