//! A balancer suspended while the store compacts the changes that it missed lists the
//! keys again and applies the current flow limit.

mod common;

use std::time::Duration;

use jujubepost::admin;
use jujubepost::ctl::fleet;
use jujubepost::script::Action;

#[ntex::test]
async fn relists_after_compaction() {
    // Ports from 23,500 on; 2 balancers, 1 meter target, no fieldlog targets.
    let mut site = common::start_site("compact", 23_500, 2, 1, 0).await;
    let s = site.settings.clone();
    let steps =
        ["freeze lb-0", "limit meter 77", "limit meter 78", "store forget", "limit meter 79"];
    for step in steps {
        site.apply(&step.parse().unwrap()).await.unwrap();
    }
    // Compact again: a watch that was pending when the balancer was suspended may still
    // return the first two changes, and the next watch must find the third compacted.
    "store forget".parse::<Action>().unwrap().apply(&s).await.unwrap();
    site.apply(&"thaw lb-0".parse().unwrap()).await.unwrap();
    // Wait until all balancers and agents apply the configuration in the store.
    fleet::wait_in_force(&s, Duration::from_secs(5)).await.unwrap();
    let addr = s.balancer("lb-0").unwrap().addr;
    let status = admin::fetch_status(addr, Duration::from_secs(1)).await.unwrap();
    let relisted = status.counters.iter().any(|c| c.reason == "watch_compacted" && c.value > 0);
    assert!(relisted, "{status:?}");
    site.shut_down().await;
}
