//! Search for the owners of unknown flows: its cost and its limits.

mod common;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::policy::BalancerPolicy;
use jujubepost::protocol::{Answer, FlowStatus, ForwardMode, MAX_QUERY_FLOWS};
use jujubepost::steering::FlowSteering;

const MS: Duration = Duration::from_millis(1);

fn receive_packet(s: &mut FlowSteering, port: u16, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.handle_packet(&caller_data(port, 1_001, 77, 10), b"packet", now, &mut out);
    out
}

fn tick(s: &mut FlowSteering, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.tick(now, &mut out);
    out
}

fn receive_answer(
    s: &mut FlowSteering,
    from: SocketAddrV4,
    port: u16,
    status: FlowStatus,
    hint: Option<SocketAddrV4>,
    now: Instant,
) -> Recorder {
    let mut out = Recorder::default();
    s.handle_answers(from, &[Answer { flow: flow(port), status, hint }], 0, now, &mut out);
    s.tick(now, &mut out);
    out
}

/// Finding the owner of a flow takes one or two queries and their answers, whether the
/// service has 10 agents or 200.
#[test]
fn lookup_cost_independent_of_service_size() {
    let now = Instant::now();
    for agents in [10, 200] {
        let mut before = steering(agents, now);
        let mut after = steering(agents, now);
        let mut messages = Vec::new();
        for port in 1..=500 {
            let mut out = Recorder::default();
            before.handle_packet(&syn(port), b"syn", now, &mut out);
            let Some((_, SentMessage::Open { offer, .. }, _)) = out.messages.first().cloned()
            else {
                panic!("{out:?}");
            };
            // The first agent passes every second open on to the second.
            let passed = port % 2 == 0;
            let owner = if passed { offer.second.unwrap() } else { offer.first };
            let hint = passed.then_some(owner);
            receive_packet(&mut after, port, now);
            let mut queried = tick(&mut after, now).queried();
            let mut count = 0;
            while let Some(agent) = queried.pop() {
                count += 2;
                let status = if agent == owner { FlowStatus::Held } else { FlowStatus::Unknown };
                let out = receive_answer(&mut after, agent, port, status, hint, now);
                queried.extend(out.queried());
                if status == FlowStatus::Held {
                    assert_eq!(out.forwarded(ForwardMode::Owner), [owner]);
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
    let mut s = steering_with_policy(4, policy, now);
    for _ in 0..5 {
        receive_packet(&mut s, 1, now);
    }
    let out = tick(&mut s, now);
    assert_eq!(out.queried().len(), 1);
    assert!(out.messages.iter().all(|(_, _, data)| data.is_empty()));
    let out = receive_answer(&mut s, out.queried()[0], 1, FlowStatus::Held, None, now);
    assert_eq!(out.forwarded(ForwardMode::Owner).len(), 3);
}

/// The buffers of all flows together are bounded, and are freed once owners are found.
#[test]
fn buffered_bytes_bounded() {
    let now = Instant::now();
    let policy = BalancerPolicy { buffer_bytes: 30, ..BalancerPolicy::default() };
    let mut s = steering_with_policy(1, policy, now);
    let found = |s: &mut FlowSteering, port: u16| {
        for _ in 0..9 {
            receive_packet(s, port, now);
        }
        tick(s, now);
        receive_answer(s, agent(1), port, FlowStatus::Held, None, now)
            .forwarded(ForwardMode::Owner)
            .len()
    };
    // Each packet is six bytes long.
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
    let mut s = steering_with_policy(20, policy, now);
    for port in 1..=2_000 {
        receive_packet(&mut s, port, now);
    }
    let out = tick(&mut s, now);
    assert_eq!(out.queried().len(), 10);
    let sizes = out.messages.iter().map(|(_, m, _)| match m {
        SentMessage::Query { flows } => flows.len(),
        _ => 0,
    });
    assert!(sizes.clone().all(|n| n <= MAX_QUERY_FLOWS) && sizes.sum::<usize>() > 300);
    assert!(s.next_deadline(now).unwrap() <= now + 10 * MS);
    assert!(tick(&mut s, now + MS).queried().is_empty());
    assert_eq!(tick(&mut s, now + 100 * MS).queried().len(), 10);
}

/// Guards against suspecting an agent whose query the rate limit held back.
#[test]
fn rate_limited_query_is_no_timeout() {
    let now = Instant::now();
    let policy = BalancerPolicy { query_rate: 1.0, query_burst: 1.0, ..BalancerPolicy::default() };
    let mut s = steering_with_policy(4, policy, now);
    for port in 1..=40 {
        receive_packet(&mut s, port, now);
    }
    let queried: HashMap<_, _> = tick(&mut s, now).queried().into_iter().map(|a| (a, ())).collect();
    tick(&mut s, now + 60 * MS);
    for n in 1..=4 {
        let silent = !s.roster.is_responsive(agent(n));
        assert_eq!(silent, queried.contains_key(&agent(n)), "agent {n}");
    }
}

/// If a packet overtakes the notification of its open, only the agent that the open was
/// offered to is queried first.
#[test]
fn packet_overtakes_open_notification() {
    let now = Instant::now();
    let mut s = steering(30, now);
    let mut out = Recorder::default();
    s.handle_packet(&syn(1), b"syn", now, &mut out);
    let first = out.offered()[0];
    receive_packet(&mut s, 1, now);
    assert_eq!(tick(&mut s, now).queried(), [first]);
}

/// The home agent of a flow that another agent accepted can name the owner afterwards.
#[test]
fn home_agent_told_of_owner() {
    let now = Instant::now();
    let mut s = steering(4, now);
    let mut out = Recorder::default();
    s.handle_packet(&syn(1), b"syn", now, &mut out);
    let home = out.offered()[0];
    let SentMessage::Open { offer, .. } = out.messages[0].1.clone() else { panic!("{out:?}") };
    // The home agent does not answer; the next two are offered the open.
    let out = tick(&mut s, now + 41 * MS);
    let owner = out.offered()[0];
    s.roster.handle_pong(home, SERVICE, 0, now + 42 * MS);
    let mut out = Recorder::default();
    let held =
        jujubepost::protocol::FlowUpdate { flow: flow(1), status: FlowStatus::Held, load: 0 };
    s.handle_flow_update(owner, held, now + 43 * MS, &mut out);
    let hint = SentMessage::Hint { flow: flow(1), agent: owner };
    assert_eq!(out.messages, [(home, hint, vec![])], "offered {offer:?}");
}

/// Agent `n` answers that its target may hold flow 1.
fn answer_unverified(s: &mut FlowSteering, n: u8, now: Instant) -> Recorder {
    receive_answer(s, agent(n), 1, FlowStatus::Unverified, None, now)
}

/// Guards against searches stalling during a release: a silent agent that is no longer
/// listed has stopped, whereas one still listed may be restarting.
#[test]
fn departed_agent_does_not_delay_trials() {
    let now = Instant::now();
    for departed in [true, false] {
        let mut s = steering(6, now);
        s.roster.record_timeout(agent(6), now + 50 * MS);
        if departed {
            let listed: Vec<_> = (1..=5).map(listed_agent).collect();
            s.roster.update(&listed, now + 60 * MS);
        }
        let at = now + 100 * MS;
        receive_packet(&mut s, 1, at);
        tick(&mut s, at);
        let early: usize = (1..=5)
            .map(|n| answer_unverified(&mut s, n, at).forwarded(ForwardMode::Try).len())
            .sum();
        assert_eq!(early, 0, "agent 6 may still answer");
        let tried = tick(&mut s, at + 41 * MS).forwarded(ForwardMode::Try);
        assert_eq!(tried.len(), if departed { 2 } else { 0 }, "departed {departed}");
        if departed {
            let reject = |s: &mut FlowSteering, a| {
                receive_answer(s, a, 1, FlowStatus::NotOwner, None, at + 50 * MS)
            };
            assert!(reject(&mut s, tried[0]).forwarded(ForwardMode::Try).is_empty());
            let rest = reject(&mut s, tried[1]).forwarded(ForwardMode::Try);
            assert_eq!(rest.len(), 3, "the owner is among them");
        }
    }
}

/// If the owner named by a hint has not seen the flow, only its target is tried, without
/// waiting for silent agents.
#[test]
fn named_owner_tried_at_once() {
    let now = Instant::now();
    for named_itself in [true, false] {
        let mut s = steering(6, now);
        s.roster.record_timeout(agent(6), now + 50 * MS);
        let at = now + 100 * MS;
        receive_packet(&mut s, 1, at);
        let owner = tick(&mut s, at).queried()[0];
        let hint = named_itself.then_some(owner);
        let mut tried = receive_answer(&mut s, owner, 1, FlowStatus::Unverified, hint, at)
            .forwarded(ForwardMode::Try);
        if !named_itself {
            assert!(tried.is_empty());
            let next = (1..=5).map(agent).find(|a| *a != owner).unwrap();
            let out = receive_answer(&mut s, next, 1, FlowStatus::Unknown, Some(owner), at);
            tried = out.forwarded(ForwardMode::Try);
        }
        assert_eq!(tried, [owner]);
        let mut more = Vec::new();
        for a in (1..=5).map(agent).filter(|a| *a != owner) {
            more.extend(
                receive_answer(&mut s, a, 1, FlowStatus::Unverified, None, at)
                    .forwarded(ForwardMode::Try),
            );
        }
        more.extend(tick(&mut s, at + 41 * MS).forwarded(ForwardMode::Try));
        assert!(more.is_empty(), "{more:?}");
        let out = receive_answer(&mut s, owner, 1, FlowStatus::Held, None, at + 42 * MS);
        assert!(out.forwarded(ForwardMode::Try).is_empty());
    }
}

/// While the store is unreachable, an unlisted agent does not count as departed.
#[test]
fn unreachable_store_proves_no_departure() {
    let now = Instant::now();
    let mut s = steering(6, now);
    s.roster.record_timeout(agent(6), now + 50 * MS);
    let listed: Vec<_> = (1..=5).map(listed_agent).collect();
    s.roster.update(&listed, now + 60 * MS);
    s.set_store_reachable(false, now + 70 * MS);
    let at = now + 100 * MS;
    receive_packet(&mut s, 1, at);
    tick(&mut s, at);
    (1..=5).for_each(|n| {
        assert!(answer_unverified(&mut s, n, at).forwarded(ForwardMode::Try).is_empty())
    });
    assert!(tick(&mut s, at + 41 * MS).forwarded(ForwardMode::Try).is_empty());
}

/// Guards against lost flows not being reset during a release: a silent agent that
/// reported its target's end delays nothing until its target starts again.
#[test]
fn ended_target_does_not_delay_reset() {
    let now = Instant::now();
    let answer_from = |n, status, s: &mut FlowSteering, port, at| {
        receive_answer(s, agent(n), port, status, None, at)
    };
    for (status, restarted, resets) in [
        (FlowStatus::TargetEnded, false, 1),
        (FlowStatus::Unknown, false, 0),
        (FlowStatus::TargetEnded, true, 0),
    ] {
        let mut s = steering(6, now);
        receive_packet(&mut s, 1, now);
        tick(&mut s, now);
        answer_from(6, status, &mut s, 1, now);
        if restarted {
            let next =
                |a| jujubepost::steering::ListedAgent { incarnation: Some("i-2".into()), ..a };
            let listed: Vec<_> = (1..=6).map(listed_agent).map(next).collect();
            s.roster.update(&listed, now);
        }
        s.roster.record_timeout(agent(6), now + 50 * MS);
        let at = now + 100 * MS;
        receive_packet(&mut s, 2, at);
        tick(&mut s, at);
        let on_answers =
            (1..=5).flat_map(|n| answer_from(n, FlowStatus::Unknown, &mut s, 2, at).resets).count();
        let on_timeout = tick(&mut s, at + 41 * MS).resets.len();
        assert_eq!(on_answers + on_timeout, resets, "{status:?}, restarted {restarted}");
    }
}
