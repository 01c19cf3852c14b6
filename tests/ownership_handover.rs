//! Handover of flow ownership to other agents on a planned stop of an agent.

mod common;

use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::protocol::{FlowStatus, Message, Open, QueriedFlow, Query};
use jujubepost::tracker::{FlowTracker, TargetState};
use jujubepost::wire::{Offer, OfferStage};

fn send(tracker: &mut FlowTracker, message: &Message<'_>, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    tracker.handle_message(balancer(), message, None, &[], now, &mut out);
    out
}

/// Opens flow `port`, offered to agents 1 and 2, at `tracker`.
fn open_offered_to_two(tracker: &mut FlowTracker, port: u16, now: Instant) {
    let mut out = Recorder::default();
    let offer = Offer { first: agent(1), second: Some(agent(2)), stage: OfferStage::Last };
    let m = Message::Open(Open { offer, ..open(agent(1), false) });
    tracker.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut out);
    tracker.handle_target_packet(
        &syn_ack(port, 5_000),
        &mut b"syn-ack".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    let m = Message::Forward { service: SERVICE, mode: jujubepost::protocol::ForwardMode::Owner };
    tracker.handle_message(
        balancer(),
        &m,
        Some(&caller_data(port, 1_001, 5_001, 0)),
        b"ack",
        now,
        &mut out,
    );
}

fn hints_sent(tracker: &FlowTracker) -> Vec<(std::net::SocketAddrV4, SentMessage)> {
    let mut out = Recorder::default();
    tracker.send_owner_hints(agent(1), &mut out);
    out.messages.into_iter().map(|(to, m, _)| (to, m)).collect()
}

/// On a stop, the other agent of an offer is told the flow's owner, and an owner known
/// from a hint is told that it owns the flow.
#[test]
fn hints_sent_on_stop() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_offered_to_two(&mut tracker, 1, now);
    let hint = |port, n| Message::Hint { flow: flow(port), agent: agent(n) };
    send(&mut tracker, &hint(2, 3), now);
    let sent = |port, n| SentMessage::Hint { flow: flow(port), agent: agent(n) };
    assert_eq!(hints_sent(&tracker), [(agent(2), sent(1, 1)), (agent(3), sent(2, 3))]);
}

/// A restarted agent, which has no flow state, learns which flows it owns when the agent
/// that received its hints returns them.
#[test]
fn owner_restored_after_restart() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_offered_to_two(&mut tracker, 1, now);
    let mut other = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    for (_, m) in hints_sent(&tracker) {
        send(&mut other, &m.to_message(), now);
    }
    let mut out = Recorder::default();
    other.send_owner_hints(agent(2), &mut out);
    let mut restarted = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    restarted.handle_report(report("i-1", 7, TargetState::Ready), now);
    for (to, m, _) in &out.messages {
        assert_eq!(*to, agent(1));
        send(&mut restarted, &m.to_message(), now);
    }
    let question = QueriedFlow { flow: flow(1), ack: Some(5_001) };
    let query = Message::Query(Query { service: SERVICE, flows: vec![question] });
    let answers = send(&mut restarted, &query, now).answers();
    assert_eq!((answers[0].status, answers[0].hint), (FlowStatus::Unverified, Some(agent(1))));
    // No hint is sent to the agent itself, or for flows of an ended target.
    assert!(hints_sent(&restarted).is_empty());
    tracker.mark_target_ended(&mut Recorder::default());
    assert!(hints_sent(&tracker).is_empty());
}
