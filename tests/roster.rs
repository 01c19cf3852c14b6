//! What a balancer believes of announcements that disappear: one is a death,
//! most of a service together is a lapse of the store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubepost::balancer::TargetRegistry;
use jujubepost::record::Target;
use jujubepost::settings::Service;

const HOLD: Duration = Duration::from_secs(6);
const KEEP: Duration = Duration::from_secs(60);

fn target(service: Service, i: u16) -> Target {
    Target {
        name: format!("{service}-{i}").into(),
        zone: "gjw-a".into(),
        service,
        agent: SocketAddr::from(([127, 0, 0, 1], 9000 + i)),
        stopping: false,
    }
}

fn meters(n: u16) -> Vec<Target> {
    (0..n).map(|i| target(Service::Meter, i)).collect()
}

fn serving(r: &TargetRegistry, now: Instant) -> usize {
    r.serving(Service::Meter, now).count()
}

#[test]
fn one_lapse_leaves() {
    let t0 = Instant::now();
    let mut r = TargetRegistry::new(HOLD, KEEP);
    r.update(meters(7), t0);
    r.update(meters(6), t0);
    assert_eq!(serving(&r, t0), 6);
    assert_eq!(r.owners(Service::Meter).count(), 7, "its flows are not cut");
}

#[test]
fn mass_lapse_held() {
    let t0 = Instant::now();
    let mut r = TargetRegistry::new(HOLD, KEEP);
    r.update(meters(7), t0);
    r.update(Vec::new(), t0);
    assert_eq!(serving(&r, t0 + HOLD / 2), 7);
    assert_eq!(serving(&r, t0 + HOLD), 0);
    assert!(r.hold_expired(t0, t0 + HOLD));
    assert!(!r.hold_expired(t0 + HOLD + HOLD, t0 + HOLD * 3));
}

#[test]
fn outage_lengthens_hold() {
    let t0 = Instant::now();
    let mut r = TargetRegistry::new(HOLD, KEEP);
    r.update(meters(7), t0);
    r.update(Vec::new(), t0);
    r.restart_hold(t0 + HOLD);
    assert_eq!(serving(&r, t0 + HOLD + HOLD / 2), 7);
}

#[test]
fn leaving_never_held() {
    let t0 = Instant::now();
    let mut r = TargetRegistry::new(HOLD, KEEP);
    let leaving: Vec<Target> =
        meters(3).into_iter().map(|t| Target { stopping: true, ..t }).collect();
    r.update(leaving, t0);
    assert_eq!(serving(&r, t0), 0);
    r.update(Vec::new(), t0);
    assert_eq!(serving(&r, t0), 0);
}

#[test]
fn reused_address_no_owner() {
    let t0 = Instant::now();
    let mut r = TargetRegistry::new(HOLD, KEEP);
    r.update(meters(2), t0);
    // meter-1 is gone and fieldlog-1 announces its address.
    let now = vec![target(Service::Meter, 0), target(Service::Fieldlog, 1)];
    r.update(now, t0);
    assert_eq!(r.owners(Service::Meter).count(), 1);
    assert_eq!(r.owners(Service::Fieldlog).count(), 1);
}

#[test]
fn long_dead_stay_out() {
    let t0 = Instant::now();
    let mut r = TargetRegistry::new(HOLD, KEEP);
    r.update(meters(7), t0);
    // Four die, one after the other, each alone within its hold.
    for left in (3..7).rev() {
        r.update(meters(left), t0 + HOLD * u32::from(7 - left));
    }
    let later = t0 + HOLD * 6;
    assert_eq!(serving(&r, later), 3);
    // A moment's failure of the store is no reason to use them again.
    r.restart_hold(later);
    assert_eq!(serving(&r, later), 3);
}
