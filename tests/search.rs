//! Search for the owners of unknown flows: its cost and its limits.

mod common;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use common::wires::*;
use jujubepost::policy::BalancerPolicy;
use jujubepost::protocol::{Answer, FlowStatus, ForwardMode, MAX_QUERY_FLOWS};
use jujubepost::steering::FlowSteering;

const MS: Duration = Duration::from_millis(1);

fn packet(s: &mut FlowSteering, port: u16, now: Instant) -> Wires {
    let mut w = Wires::default();
    s.handle_packet(&data(port, 1_001, 77, 10), b"packet", now, &mut w);
    w
}

fn tick(s: &mut FlowSteering, now: Instant) -> Wires {
    let mut w = Wires::default();
    s.tick(now, &mut w);
    w
}

fn answer(
    s: &mut FlowSteering,
    from: SocketAddrV4,
    port: u16,
    status: FlowStatus,
    hint: Option<SocketAddrV4>,
    now: Instant,
) -> Wires {
    let mut w = Wires::default();
    s.handle_answers(from, &[Answer { flow: flow(port), status, hint }], 0, now, &mut w);
    s.tick(now, &mut w);
    w
}

/// Finding the owner of a flow takes one or two queries and their answers, whether the
/// service has 10 agents or 200.
#[test]
fn lookup_cost_independent_of_service_size() {
    let now = Instant::now();
    for agents in [10, 200] {
        let mut before = steer(agents, now);
        let mut after = steer(agents, now);
        let mut messages = Vec::new();
        for port in 1..=500 {
            let mut w = Wires::default();
            before.handle_packet(&syn(port), b"syn", now, &mut w);
            let Some((_, Sent::Open { offer, .. }, _)) = w.peers.first().cloned() else {
                panic!("{w:?}");
            };
            // The first agent passes every second open on to the second.
            let passed = port % 2 == 0;
            let owner = if passed { offer.second.unwrap() } else { offer.first };
            let hint = passed.then_some(owner);
            packet(&mut after, port, now);
            let mut asked = tick(&mut after, now).asked();
            let mut count = 0;
            while let Some(agent) = asked.pop() {
                count += 2;
                let status = if agent == owner { FlowStatus::Held } else { FlowStatus::Unknown };
                let w = answer(&mut after, agent, port, status, hint, now);
                asked.extend(w.asked());
                if status == FlowStatus::Held {
                    assert_eq!(w.carried(ForwardMode::Owner), [owner]);
                    break;
                }
            }
            messages.push(count);
        }
        messages.sort_unstable();
        let mean = messages.iter().sum::<u32>() as f64 / 500.0;
        assert!(mean <= 4.0 && messages[494] <= 8, "{agents} agents: {mean}, {}", messages[494]);
    }
}

/// Queries carry no packets, an agent is queried once, and a flow's buffer is bounded.
#[test]
fn buffered_packets_bounded() {
    let now = Instant::now();
    let policy = BalancerPolicy { buffer_packets: 3, ..BalancerPolicy::default() };
    let mut s = steer_with(4, policy, now);
    for _ in 0..5 {
        packet(&mut s, 1, now);
    }
    let w = tick(&mut s, now);
    assert_eq!(w.asked().len(), 1);
    assert!(w.peers.iter().all(|(_, _, data)| data.is_empty()));
    let w = answer(&mut s, w.asked()[0], 1, FlowStatus::Held, None, now);
    assert_eq!(w.carried(ForwardMode::Owner).len(), 3);
}

/// The buffers of all flows together are bounded, and are freed once owners are found.
#[test]
fn buffered_bytes_bounded() {
    let now = Instant::now();
    let policy = BalancerPolicy { buffer_bytes: 30, ..BalancerPolicy::default() };
    let mut s = steer_with(1, policy, now);
    let found = |s: &mut FlowSteering, port: u16| {
        for _ in 0..9 {
            packet(s, port, now);
        }
        tick(s, now);
        answer(s, agent(1), port, FlowStatus::Held, None, now).carried(ForwardMode::Owner).len()
    };
    // Each packet has six bytes.
    assert_eq!(found(&mut s, 1), 5);
    assert_eq!(found(&mut s, 2), 5);
}

/// Guards against queries filling a link when many flows become unknown at once: they are
/// batched by agent and rate-limited.
#[test]
fn query_rate_bounded() {
    let now = Instant::now();
    let policy =
        BalancerPolicy { query_rate: 100.0, query_burst: 10.0, ..BalancerPolicy::default() };
    let mut s = steer_with(20, policy, now);
    for port in 1..=2_000 {
        packet(&mut s, port, now);
    }
    let w = tick(&mut s, now);
    assert_eq!(w.asked().len(), 10);
    let sizes = w.peers.iter().map(|(_, m, _)| match m {
        Sent::Ask { flows } => flows.len(),
        _ => 0,
    });
    assert!(sizes.clone().all(|n| n <= MAX_QUERY_FLOWS) && sizes.sum::<usize>() > 300);
    assert!(s.next_deadline(now).unwrap() <= now + 10 * MS);
    assert!(tick(&mut s, now + MS).asked().is_empty());
    assert_eq!(tick(&mut s, now + 100 * MS).asked().len(), 10);
}

/// Guards against suspecting an agent whose query the rate limit held back.
#[test]
fn rate_limited_query_is_no_timeout() {
    let now = Instant::now();
    let policy = BalancerPolicy { query_rate: 1.0, query_burst: 1.0, ..BalancerPolicy::default() };
    let mut s = steer_with(4, policy, now);
    for port in 1..=40 {
        packet(&mut s, port, now);
    }
    let asked: HashMap<_, _> = tick(&mut s, now).asked().into_iter().map(|a| (a, ())).collect();
    tick(&mut s, now + 60 * MS);
    for n in 1..=4 {
        let silent = !s.roster.is_responsive(agent(n));
        assert_eq!(silent, asked.contains_key(&agent(n)), "agent {n}");
    }
}

/// If a packet overtakes the notification of its open, only the agent that the open was
/// offered to is queried first.
#[test]
fn packet_overtakes_open_notification() {
    let now = Instant::now();
    let mut s = steer(30, now);
    let mut w = Wires::default();
    s.handle_packet(&syn(1), b"syn", now, &mut w);
    let first = w.opens()[0];
    packet(&mut s, 1, now);
    assert_eq!(tick(&mut s, now).asked(), [first]);
}

/// The home agent of a flow that another agent took can name the owner afterwards.
#[test]
fn home_agent_told_of_owner() {
    let now = Instant::now();
    let mut s = steer(4, now);
    let mut w = Wires::default();
    s.handle_packet(&syn(1), b"syn", now, &mut w);
    let home = w.opens()[0];
    let Sent::Open { offer, .. } = w.peers[0].1.clone() else { panic!("{w:?}") };
    // The home agent does not answer; the next two are offered the open.
    let w = tick(&mut s, now + 41 * MS);
    let taker = w.opens()[0];
    s.roster.handle_pong(home, SERVICE, 0, now + 42 * MS);
    let mut w = Wires::default();
    let held =
        jujubepost::protocol::FlowUpdate { flow: flow(1), status: FlowStatus::Held, load: 0 };
    s.handle_flow_update(taker, held, now + 43 * MS, &mut w);
    let hint = Sent::Hint { flow: flow(1), agent: taker };
    assert_eq!(w.peers, [(home, hint, vec![])], "offered {offer:?}");
}

/// Agent `n` answers that it may have forgotten flow 1.
fn unverified(s: &mut FlowSteering, n: u8, now: Instant) -> Wires {
    answer(s, agent(n), 1, FlowStatus::Unverified, None, now)
}

/// Guards against searches stalling during a release: a silent agent that removed its
/// listing left with its target, while one still listed may be restarting.
#[test]
fn departed_agent_does_not_delay_trials() {
    let now = Instant::now();
    for left in [true, false] {
        let mut s = steer(6, now);
        s.roster.record_timeout(agent(6), now + 50 * MS);
        if left {
            let listed: Vec<_> = (1..=5).map(announced).collect();
            s.roster.update(&listed, now + 60 * MS);
        }
        let at = now + 100 * MS;
        packet(&mut s, 1, at);
        tick(&mut s, at);
        let early: usize =
            (1..=5).map(|n| unverified(&mut s, n, at).carried(ForwardMode::Try).len()).sum();
        assert_eq!(early, 0, "agent 6 may answer yet");
        let tried = tick(&mut s, at + 41 * MS).carried(ForwardMode::Try);
        assert_eq!(tried.len(), if left { 2 } else { 0 }, "left {left}");
        if left {
            let foreign =
                |s: &mut FlowSteering, a| answer(s, a, 1, FlowStatus::NotOwner, None, at + 50 * MS);
            assert!(foreign(&mut s, tried[0]).carried(ForwardMode::Try).is_empty());
            let rest = foreign(&mut s, tried[1]).carried(ForwardMode::Try);
            assert_eq!(rest.len(), 3, "the flow's own is among them");
        }
    }
}

/// If the named owner may have forgotten the flow, only its target is tried, without
/// waiting for silent agents.
#[test]
fn named_owner_tried_at_once() {
    let now = Instant::now();
    for named_itself in [true, false] {
        let mut s = steer(6, now);
        s.roster.record_timeout(agent(6), now + 50 * MS);
        let at = now + 100 * MS;
        packet(&mut s, 1, at);
        let owner = tick(&mut s, at).asked()[0];
        let hint = named_itself.then_some(owner);
        let mut tried =
            answer(&mut s, owner, 1, FlowStatus::Unverified, hint, at).carried(ForwardMode::Try);
        if !named_itself {
            assert!(tried.is_empty());
            let next = (1..=5).map(agent).find(|a| *a != owner).unwrap();
            let w = answer(&mut s, next, 1, FlowStatus::Unknown, Some(owner), at);
            tried = w.carried(ForwardMode::Try);
        }
        assert_eq!(tried, [owner]);
        let mut more = Vec::new();
        for a in (1..=5).map(agent).filter(|a| *a != owner) {
            more.extend(
                answer(&mut s, a, 1, FlowStatus::Unverified, None, at).carried(ForwardMode::Try),
            );
        }
        more.extend(tick(&mut s, at + 41 * MS).carried(ForwardMode::Try));
        assert!(more.is_empty(), "{more:?}");
        let w = answer(&mut s, owner, 1, FlowStatus::Held, None, at + 42 * MS);
        assert!(w.carried(ForwardMode::Try).is_empty());
    }
}

/// While the store is unreachable, an unlisted agent does not count as departed.
#[test]
fn unreachable_store_proves_no_departure() {
    let now = Instant::now();
    let mut s = steer(6, now);
    s.roster.record_timeout(agent(6), now + 50 * MS);
    let listed: Vec<_> = (1..=5).map(announced).collect();
    s.roster.update(&listed, now + 60 * MS);
    s.set_store_reachable(false, now + 70 * MS);
    let at = now + 100 * MS;
    packet(&mut s, 1, at);
    tick(&mut s, at);
    (1..=5).for_each(|n| assert!(unverified(&mut s, n, at).carried(ForwardMode::Try).is_empty()));
    assert!(tick(&mut s, at + 41 * MS).carried(ForwardMode::Try).is_empty());
}

/// Guards against lost flows not being reset during a release: a silent agent that
/// reported its target's end delays nothing until its target starts again.
#[test]
fn ended_target_does_not_delay_reset() {
    let now = Instant::now();
    let other =
        |n, status, s: &mut FlowSteering, port, at| answer(s, agent(n), port, status, None, at);
    for (said, reborn, resets) in [
        (FlowStatus::TargetEnded, false, 1),
        (FlowStatus::Unknown, false, 0),
        (FlowStatus::TargetEnded, true, 0),
    ] {
        let mut s = steer(6, now);
        packet(&mut s, 1, now);
        tick(&mut s, now);
        other(6, said, &mut s, 1, now);
        if reborn {
            let next =
                |a| jujubepost::steering::ListedAgent { incarnation: Some("i-2".into()), ..a };
            let listed: Vec<_> = (1..=6).map(announced).map(next).collect();
            s.roster.update(&listed, now);
        }
        s.roster.record_timeout(agent(6), now + 50 * MS);
        let at = now + 100 * MS;
        packet(&mut s, 2, at);
        tick(&mut s, at);
        let told =
            (1..=5).flat_map(|n| other(n, FlowStatus::Unknown, &mut s, 2, at).resets).count();
        let later = tick(&mut s, at + 41 * MS).resets.len();
        assert_eq!(told + later, resets, "{said:?}, reborn {reborn}");
    }
}
