//! Flows whose searches end while the list of agents comes from a distributor: such a list may
//! lack the agent that holds the flow.

mod common;

use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::protocol::{FlowStatus, FlowUpdate, ForwardMode};
use jujubepost::steering::{FlowSteering, RosterSource};

const MS: Duration = Duration::from_millis(1);

fn receive_packet(s: &mut FlowSteering, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.handle_packet(&caller_data(1, 1_001, 77, 10), b"packet", now, &mut out);
    s.tick(now, &mut out);
    out
}

fn answer(s: &mut FlowSteering, n: u8, status: FlowStatus, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    let update = FlowUpdate { flow: flow(1), status, load: 0 };
    s.handle_flow_update(agent(n), update, now, &mut out);
    s.tick(now, &mut out);
    out
}

fn set_source(s: &mut FlowSteering, source: RosterSource, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.set_roster_source(source, now, &mut out);
    s.tick(now, &mut out);
    out
}

/// Steering with 3 agents by a distributor's list, all of which answered `status`.
fn searched(status: FlowStatus, now: Instant) -> (FlowSteering, Recorder) {
    let mut s = steering(3, now);
    set_source(&mut s, RosterSource::Distributor, now);
    receive_packet(&mut s, now);
    let mut all = Recorder::default();
    for n in 1..=3 {
        let out = answer(&mut s, n, status, now);
        all.resets.extend(out.resets);
        all.messages.extend(out.messages);
    }
    (s, all)
}

/// Guards against resetting a flow that lives at a target of which this balancer's distributor,
/// which has lost the store unnoticed, does not know yet.
#[test]
fn lost_flow_waits_for_store() {
    let now = Instant::now();
    let (mut s, out) = searched(FlowStatus::Unknown, now);
    assert_eq!(out.resets, [], "the list may be old");
    assert!(s.needs_store());
    assert!(s.next_deadline(now).is_some_and(|at| at <= now + 20 * MS), "checked soon");
    let out = set_source(&mut s, RosterSource::Store, now + 10 * MS);
    assert_eq!(out.resets, [(flow(1), 77)], "the store lists no other agent");
    assert!(!s.needs_store());
}

#[test]
fn new_agent_is_asked_first() {
    let now = Instant::now();
    let (mut s, _) = searched(FlowStatus::Unknown, now);
    let listed: Vec<_> = (1..=4).map(listed_agent).collect();
    s.roster.update(&listed, now + 10 * MS);
    let out = set_source(&mut s, RosterSource::Store, now + 10 * MS);
    assert_eq!(out.resets, [], "agent 4 was not asked");
    // The waves may reach the new agent after others that deny again.
    let mut queried = out.queried();
    for n in 1..=3 {
        queried.extend(answer(&mut s, n, FlowStatus::Unknown, now + 20 * MS).queried());
    }
    assert!(queried.contains(&agent(4)), "{queried:?}");
    let out = answer(&mut s, 4, FlowStatus::Held, now + 30 * MS);
    assert_eq!(out.forwarded(ForwardMode::Owner), [agent(4)]);
    assert_eq!(out.resets, []);
}

/// Guards against packets at wrong targets: none is tried before the list is known to be complete.
#[test]
fn trials_wait_for_store() {
    let now = Instant::now();
    let (mut s, out) = searched(FlowStatus::Unverified, now);
    assert_eq!(out.forwarded(ForwardMode::Try), []);
    let out = set_source(&mut s, RosterSource::Store, now + 10 * MS);
    assert_eq!(out.forwarded(ForwardMode::Try).len(), 2, "two targets at first");
}

/// A packet that arrives meanwhile starts a round of its own, which decides.
#[test]
fn newer_round_decides() {
    let now = Instant::now();
    let (mut s, _) = searched(FlowStatus::Unknown, now);
    receive_packet(&mut s, now + 5 * MS);
    assert_eq!(set_source(&mut s, RosterSource::Store, now + 10 * MS).resets, []);
    let resets: Vec<_> = (1..=3)
        .flat_map(|n| answer(&mut s, n, FlowStatus::Unknown, now + 15 * MS).resets)
        .collect();
    assert_eq!(resets, [(flow(1), 77)]);
}

/// While the store is known to be unreachable nothing waits for it: as with a list from the
/// store, no flow is reset.
#[test]
fn unreachable_store_is_not_awaited() {
    let now = Instant::now();
    let mut s = steering(3, now);
    s.set_store_reachable(false, now);
    set_source(&mut s, RosterSource::Distributor, now);
    receive_packet(&mut s, now);
    let resets: Vec<_> =
        (1..=3).flat_map(|n| answer(&mut s, n, FlowStatus::Unknown, now).resets).collect();
    assert_eq!(resets, []);
    assert!(!s.needs_store());
}
