//! A single missing registration removes a target at once; when most of a
//! service's registrations lapse together, the targets are held.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubepost::balancer::TargetRegistry;
use jujubepost::record::Target;
use jujubepost::settings::Service;

const HOLD: Duration = Duration::from_secs(6);
const OWNER_RETENTION: Duration = Duration::from_secs(60);

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

fn serving_count(registry: &TargetRegistry, now: Instant) -> usize {
    registry.serving(Service::Meter, now).count()
}

#[test]
fn single_missing_target_gets_no_new_flows() {
    let t0 = Instant::now();
    let mut registry = TargetRegistry::new(HOLD, OWNER_RETENTION);
    registry.update(meters(7), t0);
    registry.update(meters(6), t0);
    assert_eq!(serving_count(&registry, t0), 6);
    assert_eq!(registry.owners(Service::Meter).count(), 7, "established flows keep their owner");
}

#[test]
fn targets_lapsed_together_are_held() {
    let t0 = Instant::now();
    let mut registry = TargetRegistry::new(HOLD, OWNER_RETENTION);
    registry.update(meters(7), t0);
    registry.update(Vec::new(), t0);
    assert_eq!(serving_count(&registry, t0 + HOLD / 2), 7);
    assert_eq!(serving_count(&registry, t0 + HOLD), 0);
    assert!(registry.hold_expired(t0, t0 + HOLD));
    assert!(!registry.hold_expired(t0 + HOLD + HOLD, t0 + HOLD * 3));
}

#[test]
fn store_failure_restarts_hold() {
    let t0 = Instant::now();
    let mut registry = TargetRegistry::new(HOLD, OWNER_RETENTION);
    registry.update(meters(7), t0);
    registry.update(Vec::new(), t0);
    registry.restart_hold(t0 + HOLD);
    assert_eq!(serving_count(&registry, t0 + HOLD + HOLD / 2), 7);
}

#[test]
fn stopping_targets_are_not_held() {
    let t0 = Instant::now();
    let mut registry = TargetRegistry::new(HOLD, OWNER_RETENTION);
    let stopping: Vec<Target> =
        meters(3).into_iter().map(|t| Target { stopping: true, ..t }).collect();
    registry.update(stopping, t0);
    assert_eq!(serving_count(&registry, t0), 0);
    registry.update(Vec::new(), t0);
    assert_eq!(serving_count(&registry, t0), 0);
}

#[test]
fn reused_address_is_not_an_owner() {
    let t0 = Instant::now();
    let mut registry = TargetRegistry::new(HOLD, OWNER_RETENTION);
    registry.update(meters(2), t0);
    // meter-1 is gone, and fieldlog-1 registers with the same address.
    let registered = vec![target(Service::Meter, 0), target(Service::Fieldlog, 1)];
    registry.update(registered, t0);
    assert_eq!(registry.owners(Service::Meter).count(), 1);
    assert_eq!(registry.owners(Service::Fieldlog).count(), 1);
}

#[test]
fn store_failure_does_not_revive_failed_targets() {
    let t0 = Instant::now();
    let mut registry = TargetRegistry::new(HOLD, OWNER_RETENTION);
    registry.update(meters(7), t0);
    // Four targets fail one at a time, a hold time apart.
    for left in (3..7).rev() {
        registry.update(meters(left), t0 + HOLD * u32::from(7 - left));
    }
    let later = t0 + HOLD * 6;
    assert_eq!(serving_count(&registry, later), 3);
    registry.restart_hold(later);
    assert_eq!(serving_count(&registry, later), 3);
}
