//! Retries of opens by what a balancer's VM can send, not by the size of the fleet.

use jujubepost::policy::BalancerPolicy;

/// Guards against a retry budget that bounds nothing in a large fleet: it grew by ten a second for
/// each known agent, at every balancer.
#[test]
fn retries_do_not_grow_with_the_fleet() {
    let small = BalancerPolicy::default().scaled_to_vm(20.0, 0.12);
    let at_fleet = small.max_retry_rate(682);
    assert!(at_fleet <= small.query_rate / 2.0, "{at_fleet} beside {} queries", small.query_rate);
    assert!((small.max_retry_rate(23_000) - at_fleet).abs() < 1e-9);
    // A few agents set the limit themselves.
    let large = BalancerPolicy::default().scaled_to_vm(1_000.0, 1.0);
    assert!((large.max_retry_rate(12) - 120.0).abs() < 1e-9);
}
