//! Of two concurrent changes of a profile from the same revision, exactly one
//! must succeed. A write whose response is lost must still be reported as written.

mod common;

use std::time::Duration;

use jujubepost::ctl::{self, WriteOutcome};
use jujubepost::store::{self, Faults, KeyLayout};

#[ntex::test]
async fn one_of_two_concurrent_changes_succeeds() {
    let site = common::start_site("race", 21600, 0, 0, 0).await;
    let s = &site.settings;
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    let mut a = s.profiles[0].clone();
    a.max_flows = 10;
    let mut b = s.profiles[0].clone();
    b.max_flows = 20;
    let (first, second) = futures_util::join!(
        ctl::write_profile(&store, &keys, &a, rev),
        ctl::write_profile(&store, &keys, &b, rev)
    );
    let mut outcomes = [first.unwrap(), second.unwrap()];
    outcomes.sort_by_key(|o| *o == WriteOutcome::Conflict);
    assert_eq!(outcomes, [WriteOutcome::Written, WriteOutcome::Conflict]);
}

#[ntex::test]
async fn write_with_lost_response_is_confirmed() {
    let site = common::start_site("lost", 21700, 0, 0, 0).await;
    let s = &site.settings;
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    ctl::set_store_faults(s, &Faults { lost_responses: 1, ..Faults::default() }).await.unwrap();
    let mut spec = s.profiles[0].clone();
    spec.max_flows = 33;
    assert_eq!(ctl::write_profile(&store, &keys, &spec, rev).await.unwrap(), WriteOutcome::Written);
    let now = store.get(&keys.profile("meter")).await.unwrap().unwrap();
    assert!(now.rev > rev);
    // A second write from the old revision must conflict.
    assert_eq!(
        ctl::write_profile(&store, &keys, &spec, rev).await.unwrap(),
        WriteOutcome::Conflict
    );
}
