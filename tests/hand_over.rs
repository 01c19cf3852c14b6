//! A planned stop of an agent: what it knows of its flows outlives it at others.

mod common;

use std::time::{Duration, Instant};

use common::wires::*;
use jujubepost::protocol::{FlowStatus, Message, Open, Query, Question};
use jujubepost::tracker::{FlowTracker, TargetState};
use jujubepost::wire::{Offer, OfferStage};

fn tell(h: &mut FlowTracker, message: &Message<'_>, now: Instant) -> Wires {
    let mut w = Wires::default();
    h.handle_message(balancer(), message, None, &[], now, &mut w);
    w
}

/// Has `h` open flow `port`, offered to agents 1 and 2.
fn opened_of_two(h: &mut FlowTracker, port: u16, now: Instant) {
    let mut w = Wires::default();
    let offer = Offer { first: agent(1), second: Some(agent(2)), stage: OfferStage::Last };
    let m = Message::Open(Open { offer, ..open(agent(1), false) });
    h.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut w);
    h.handle_target_packet(&syn_ack(port, 5_000), &mut b"syn-ack".to_vec(), now, &mut w, |_| {});
    let m = Message::Forward { service: SERVICE, mode: jujubepost::protocol::ForwardMode::Owner };
    h.handle_message(balancer(), &m, Some(&data(port, 1_001, 5_001, 0)), b"ack", now, &mut w);
}

fn handed(h: &FlowTracker) -> Vec<(std::net::SocketAddrV4, Sent)> {
    let mut w = Wires::default();
    h.send_owner_hints(agent(1), &mut w);
    w.peers.into_iter().map(|(to, m, _)| (to, m)).collect()
}

/// The other agent of a flow's offer is told who holds it, and the owner of a flow
/// whose owner only this agent knew is told that it holds it.
#[test]
fn owners_told() {
    let now = Instant::now();
    let mut h = holder(now);
    opened_of_two(&mut h, 1, now);
    let hint = |port, n| Message::Hint { flow: flow(port), agent: agent(n) };
    tell(&mut h, &hint(2, 3), now);
    let sent = |port, n| Sent::Hint { flow: flow(port), agent: agent(n) };
    assert_eq!(handed(&h), [(agent(2), sent(1, 1)), (agent(3), sent(2, 3))]);
}

/// Two processes of an agent, one after the other: the second does not know the
/// flow, and names itself once the agent that was told has handed it back.
#[test]
fn comes_back() {
    let now = Instant::now();
    let mut h = holder(now);
    opened_of_two(&mut h, 1, now);
    let mut other = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    for (_, m) in handed(&h) {
        tell(&mut other, &m.message(), now);
    }
    let mut w = Wires::default();
    other.send_owner_hints(agent(2), &mut w);
    let mut next = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    next.handle_report(report("i-1", 7, TargetState::Ready), now);
    for (to, m, _) in &w.peers {
        assert_eq!(*to, agent(1));
        tell(&mut next, &m.message(), now);
    }
    let question = Question { flow: flow(1), ack: Some(5_001) };
    let ask = Message::Query(Query { service: SERVICE, questions: vec![question] });
    let answers = tell(&mut next, &ask, now).answers();
    assert_eq!((answers[0].status, answers[0].hint), (FlowStatus::Unverified, Some(agent(1))));
    // It is not told to itself again, and an ended target's flows to nobody.
    assert!(handed(&next).is_empty());
    h.mark_target_ended(&mut Wires::default());
    assert!(handed(&h).is_empty());
}
