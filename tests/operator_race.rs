//! Two operators change the same profile from the same revision: exactly
//! one wins, the other gets a conflict. A write whose answer is lost after
//! it took effect is read back and reported as written.

mod common;

use std::time::Duration;

use jujubepost::ctl::{self, Outcome};
use jujubepost::store::{self, Faults, KeyLayout};

#[ntex::test]
async fn one_of_two_wins() {
    let site = common::start_site("race", 21600, 0, 0, 0).await;
    let s = &site.settings;
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    let mut a = s.profiles[0].clone();
    a.max_flows = 10;
    let mut b = s.profiles[0].clone();
    b.max_flows = 20;
    let (ra, rb) =
        futures_util::join!(ctl::put(&store, &keys, &a, rev), ctl::put(&store, &keys, &b, rev));
    let mut got = [ra.unwrap(), rb.unwrap()];
    got.sort_by_key(|o| *o == Outcome::Conflict);
    assert_eq!(got, [Outcome::Written, Outcome::Conflict]);
}

#[ntex::test]
async fn lost_answer_confirmed() {
    let site = common::start_site("lost", 21700, 0, 0, 0).await;
    let s = &site.settings;
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    ctl::fault(s, &Faults { lost_responses: 1, ..Faults::default() }).await.unwrap();
    let mut spec = s.profiles[0].clone();
    spec.max_flows = 33;
    assert_eq!(ctl::put(&store, &keys, &spec, rev).await.unwrap(), Outcome::Written);
    let now = store.get(&keys.profile("meter")).await.unwrap().unwrap();
    assert!(now.rev > rev);
    // A second try from the old revision must now conflict, not write twice.
    assert_eq!(ctl::put(&store, &keys, &spec, rev).await.unwrap(), Outcome::Conflict);
}
