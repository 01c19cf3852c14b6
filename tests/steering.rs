//! Flow steering of a balancer: which agents a packet goes to, which flows are refused or
//! reset, and how long opens are retried.

mod common;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::agent::placement::UNAVAILABLE_LOAD;
use jujubepost::metrics::Refusal;
use jujubepost::protocol::{FlowStatus, FlowUpdate, ForwardMode};
use jujubepost::steering::FlowSteering;

const MS: Duration = Duration::from_millis(1);

fn receive_update(
    s: &mut FlowSteering,
    from: SocketAddrV4,
    port: u16,
    status: FlowStatus,
    now: Instant,
) -> Recorder {
    let mut out = Recorder::default();
    let load = if matches!(status, FlowStatus::Refused(_)) { UNAVAILABLE_LOAD } else { 0 };
    s.handle_flow_update(from, FlowUpdate { flow: flow(port), status, load }, now, &mut out);
    s.tick(now, &mut out);
    out
}

/// Handles a packet and then due timers, as the event loop does.
fn receive_packet(s: &mut FlowSteering, seg: jujubepost::flow::Segment, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.handle_packet(&seg, b"packet", now, &mut out);
    s.tick(now, &mut out);
    out
}

fn tick(s: &mut FlowSteering, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.tick(now, &mut out);
    out
}

#[test]
fn known_owner_gets_packets() {
    let now = Instant::now();
    let mut s = steering(3, now);
    let first = receive_packet(&mut s, syn(1), now).offered()[0];
    receive_update(&mut s, first, 1, FlowStatus::Held, now);
    let out = receive_packet(&mut s, caller_data(1, 1_001, 1, 10), now);
    assert_eq!(out.forwarded(ForwardMode::Owner), [first]);
    // A retransmitted SYN goes to the same agent.
    assert_eq!(receive_packet(&mut s, syn(1), now + 200 * MS).offered(), [first]);
}

#[test]
fn silent_agent_replaced_and_pinged() {
    let now = Instant::now();
    let mut s = steering(4, now);
    let first = receive_packet(&mut s, syn(1), now).offered()[0];
    let later = now + 41 * MS;
    let out = tick(&mut s, later);
    assert_eq!(out.offered().len(), 1);
    assert_ne!(out.offered()[0], first);
    assert!(!s.roster.is_responsive(first), "offered last until it answers");
    let message_count = tick(&mut s, later + MS).messages.len() + out.messages.len();
    assert!(message_count > 1, "it is pinged as well");
    s.roster.handle_pong(first, SERVICE, 0, later);
    assert!(s.roster.is_responsive(first));
}

/// Guards against suspecting an agent that declined an earlier offer of the same open.
#[test]
fn only_agents_of_last_offer_suspected() {
    let now = Instant::now();
    let mut s = steering(3, now);
    let out = receive_packet(&mut s, syn(1), now);
    let SentMessage::Open { offer, .. } = out.messages[0].1.clone() else { panic!("{out:?}") };
    let (first, second) = (offer.first, offer.second.unwrap());
    let busy = FlowStatus::Refused(Refusal::Busy);
    let out = receive_update(&mut s, second, 1, busy, now + MS);
    let [third] = out.offered()[..] else { panic!("{out:?}") };
    tick(&mut s, now + 60 * MS);
    let responsive = [first, second, third].map(|a| s.roster.is_responsive(a));
    assert_eq!(responsive, [true, true, false]);
}

#[test]
fn unknown_flow_queried_in_waves() {
    let now = Instant::now();
    let mut s = steering(3, now);
    // The home agent first, then the others.
    let home = receive_packet(&mut s, caller_data(1, 1_001, 77, 10), now).queried();
    assert_eq!(home.len(), 1);
    let others = receive_update(&mut s, home[0], 1, FlowStatus::Unknown, now).queried();
    let mut all = [home.clone(), others.clone()].concat();
    all.sort();
    assert_eq!(all, [agent(1), agent(2), agent(3)]);
    // The owner gets the buffered packet and those that follow.
    let out = receive_update(&mut s, others[0], 1, FlowStatus::Held, now);
    assert_eq!(out.forwarded(ForwardMode::Owner), [others[0]]);
    assert_eq!(
        receive_packet(&mut s, caller_data(1, 1_011, 77, 10), now).forwarded(ForwardMode::Owner),
        [others[0]]
    );
    // The owner restarted and denies the flow: queried again.
    receive_update(&mut s, others[0], 1, FlowStatus::Unknown, now);
    assert_eq!(receive_packet(&mut s, caller_data(1, 1_011, 77, 10), now).queried(), home);
}

/// Guards against resetting a live flow: every agent must deny it, and the store must be
/// reachable.
#[test]
fn reset_only_if_every_agent_denies() {
    let now = Instant::now();
    for (reachable, statuses, is_reset) in [
        (true, [FlowStatus::Unknown, FlowStatus::Unknown, FlowStatus::Unknown], true),
        (true, [FlowStatus::Unknown, FlowStatus::Unverified, FlowStatus::Unknown], false),
        (false, [FlowStatus::Unknown, FlowStatus::Unknown, FlowStatus::Unknown], false),
    ] {
        let mut s = steering(3, now);
        s.set_store_reachable(reachable, now);
        receive_packet(&mut s, caller_data(1, 1_001, 77, 10), now);
        let mut resets = Vec::new();
        for (n, status) in statuses.into_iter().enumerate() {
            resets.extend(receive_update(&mut s, agent(n as u8 + 1), 1, status, now).resets);
        }
        let expected = if is_reset { vec![(flow(1), 77)] } else { vec![] };
        assert_eq!(resets, expected, "{reachable} {statuses:?}");
    }
    let mut s = steering(3, now);
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), now);
    receive_update(&mut s, agent(1), 1, FlowStatus::Unknown, now);
    receive_update(&mut s, agent(2), 1, FlowStatus::Unknown, now);
    assert!(tick(&mut s, now + 60 * MS).resets.is_empty(), "one agent is silent");
}

/// Guards against misrouting: no more than two trials while none is answered, however
/// much time passes.
#[test]
fn trials_limited_until_answered() {
    let now = Instant::now();
    let mut s = steering(4, now);
    let mut tried = Vec::new();
    for round in 0..5 {
        let at = now + round * 200 * MS;
        receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
        for n in 1..=4 {
            tried.extend(
                receive_update(&mut s, agent(n), 1, FlowStatus::Unverified, at)
                    .forwarded(ForwardMode::Try),
            );
        }
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 2);
    let at = now + 2_600 * MS;
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
    let mut more = Vec::new();
    for n in 1..=4 {
        more.extend(
            receive_update(&mut s, agent(n), 1, FlowStatus::Unverified, at)
                .forwarded(ForwardMode::Try),
        );
    }
    assert_eq!(more.len(), 0, "also after a pause");
}

/// Agent `n` answers that its target may hold flow 1; returns the agents then tried.
fn answer_unverified(s: &mut FlowSteering, n: u8, at: Instant) -> Vec<SocketAddrV4> {
    receive_update(s, agent(n), 1, FlowStatus::Unverified, at).forwarded(ForwardMode::Try)
}

/// No trial is spent on other targets while the silent agent may own the flow and be
/// restarting.
#[test]
fn trials_wait_for_restarting_agent() {
    let now = Instant::now();
    let mut s = steering(4, now);
    let at = now + 100 * MS;
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
    for n in 1..=3 {
        assert!(answer_unverified(&mut s, n, at).is_empty());
    }
    assert!(tick(&mut s, at + 41 * MS).forwarded(ForwardMode::Try).is_empty(), "agent 4 is silent");
    // The caller retransmits; agent 4 is back.
    let at = at + 600 * MS;
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
    let tried: Vec<_> = (1..=4).flat_map(|n| answer_unverified(&mut s, n, at)).collect();
    assert_eq!(tried.len(), 2);
    // An agent that stays silent delays trials only for `restart_wait`.
    let mut s = steering(4, now);
    let mut tried = Vec::new();
    for round in 0..4 {
        let at = now + 100 * MS + round * 500 * MS;
        receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
        (1..=3).for_each(|n| assert!(answer_unverified(&mut s, n, at).is_empty()));
        tried.push(tick(&mut s, at + 41 * MS).forwarded(ForwardMode::Try).len());
    }
    assert_eq!(tried, [0, 0, 0, 2]);
}

/// After the two likeliest targets reject a packet, all others are tried at once, and a
/// flow that none holds is reset.
#[test]
fn remaining_targets_tried_after_rejections() {
    let now = Instant::now();
    let mut s = steering(5, now);
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), now);
    let first: Vec<_> = (1..=5).flat_map(|n| answer_unverified(&mut s, n, now)).collect();
    assert_eq!(first.len(), 2);
    let out = receive_update(&mut s, first[0], 1, FlowStatus::NotOwner, now);
    assert!(out.forwarded(ForwardMode::Try).is_empty(), "one of the two has not answered");
    let out = receive_update(&mut s, first[1], 1, FlowStatus::NotOwner, now);
    let rest = out.forwarded(ForwardMode::Try);
    assert_eq!(rest.len(), 3);
    assert!(rest.iter().all(|a| !first.contains(a)));
    let resets: Vec<_> = rest
        .iter()
        .map(|a| receive_update(&mut s, *a, 1, FlowStatus::NotOwner, now).resets.len())
        .collect();
    assert_eq!(resets, [0, 0, 1]);
}

/// Trials of another balancer count towards the limit, which holds until the roster is
/// complete.
#[test]
fn trials_of_other_balancers_count() {
    let now = Instant::now();
    let mut s = steering(5, now);
    s.set_store_reachable(false, now);
    s.set_store_reachable(true, now);
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), now);
    receive_update(&mut s, agent(1), 1, FlowStatus::NotOwner, now);
    receive_update(&mut s, agent(2), 1, FlowStatus::NotOwner, now);
    let tried: Vec<_> = (3..=5).flat_map(|n| answer_unverified(&mut s, n, now)).collect();
    assert!(tried.is_empty(), "the store has only just become reachable: {tried:?}");
    let at = now + 3_000 * MS;
    receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
    receive_update(&mut s, agent(1), 1, FlowStatus::NotOwner, at);
    receive_update(&mut s, agent(2), 1, FlowStatus::NotOwner, at);
    let tried: Vec<_> = (3..=5).flat_map(|n| answer_unverified(&mut s, n, at)).collect();
    assert_eq!(tried.len(), 3, "the roster is complete, so the owner is among these");
}

#[test]
fn unservable_open_refused() {
    let now = Instant::now();
    let mut s = steering(0, now);
    assert_eq!(receive_packet(&mut s, syn(1), now).resets.len(), 1, "no agent of the service");
    let mut other = syn(2);
    other.dst = SocketAddrV4::new([198, 18, 0, 9].into(), 1);
    assert_eq!(receive_packet(&mut s, other, now).resets.len(), 1, "no route");
    let mut s = steering(2, now);
    receive_packet(&mut s, syn(3), now);
    let full = FlowStatus::Refused(Refusal::Full);
    assert_eq!(
        receive_update(&mut s, agent(1), 3, full, now).resets.len(),
        1,
        "all targets are full"
    );
}

/// Guards against refusing opens while agents are being listed again or their targets
/// have not reported yet.
#[test]
fn open_retried_while_agents_start() {
    let now = Instant::now();
    let mut s = steering(0, now);
    s.set_store_reachable(false, now);
    s.set_store_reachable(true, now);
    assert!(receive_packet(&mut s, syn(1), now).resets.is_empty());
    s.roster.update(&[listed_agent(1)], now + 50 * MS);
    assert_eq!(tick(&mut s, now + 101 * MS).offered(), [agent(1)]);
    let none = FlowStatus::Refused(Refusal::NoTarget);
    assert!(receive_update(&mut s, agent(1), 1, none, now + 102 * MS).resets.is_empty());
    assert_eq!(tick(&mut s, now + 203 * MS).offered(), [agent(1)]);
    let late = receive_update(&mut s, agent(1), 1, none, now + 1_400 * MS);
    assert_eq!(late.resets.len(), 1, "the caller stops retrying");
}

/// Guards against a flood of offers to an overloaded service: few each round, one round
/// each 100 ms.
#[test]
fn offers_to_busy_service_limited() {
    let now = Instant::now();
    let mut s = steering(10, now);
    let mut out = receive_packet(&mut s, syn(1), now);
    let mut offers = 0;
    while let Some(to) = out.offered().first().copied() {
        offers += 1;
        out = receive_update(&mut s, to, 1, FlowStatus::Refused(Refusal::Busy), now);
    }
    assert!(offers <= 2, "{offers} offers in one round");
    assert!(out.resets.is_empty());
    let out = tick(&mut s, now + 101 * MS);
    assert_eq!(out.offered().len(), 1);
    let aged = tick(&mut s, now + 300 * MS);
    assert!(
        aged.messages.iter().all(|(_, m, _)| !matches!(m, SentMessage::Open { aged: false, .. }))
    );
}

#[test]
fn packets_queued_until_config() {
    let now = Instant::now();
    let mut s = FlowSteering::new(balancer(), ZONE.into(), Duration::from_secs(60));
    assert!(receive_packet(&mut s, syn(1), now).messages.is_empty());
    assert!(s.next_deadline(now).unwrap() <= now + 20 * MS);
    assert!(tick(&mut s, now + 20 * MS).messages.is_empty());
    assert!(s.next_deadline(now + 20 * MS).unwrap() > now + 20 * MS, "no busy loop");
    s.apply_routes(routes(1));
    s.roster.update(&[listed_agent(1)], now);
    assert_eq!(tick(&mut s, now + 60 * MS).offered(), [agent(1)]);
}

/// Guards against refusing callers of a new route by an earlier configuration, which a
/// starting balancer reads before the newest one.
#[test]
fn unknown_route_waits_for_newest_config() {
    let now = Instant::now();
    let mut s = steering(1, now);
    s.set_routes_complete(false);
    let mut other = syn(2);
    other.dst.set_port(8_443);
    let out = receive_packet(&mut s, other, now);
    assert!(out.resets.is_empty() && out.messages.is_empty(), "{out:?}");
    assert_eq!(receive_packet(&mut s, syn(1), now).offered(), [agent(1)], "a known route");
    assert!(tick(&mut s, now + 20 * MS).resets.is_empty());
    let mut newest = routes(2);
    let route = newest.by_address.values().next().unwrap().clone();
    newest.by_address.insert(other.dst, route);
    s.apply_routes(newest);
    s.set_routes_complete(true);
    assert_eq!(tick(&mut s, now + 60 * MS).offered(), [agent(1)]);
    // Without a route in the newest one it is refused.
    other.dst.set_port(9_443);
    assert_eq!(receive_packet(&mut s, other, now + 60 * MS).resets.len(), 1);
}

#[test]
fn older_config_ignored() {
    let mut s = steering(1, Instant::now());
    assert!(s.apply_routes(routes(9)));
    assert!(!s.apply_routes(routes(7)));
    assert_eq!(s.config_version(), Some(9));
}

/// An agent that the store no longer lists is kept while it answers pings, which tell it
/// that it is unlisted.
#[test]
fn unlisted_agent_kept_while_answering() {
    let now = Instant::now();
    let mut s = steering(2, now);
    s.roster.update(&[listed_agent(1)], now);
    let out = tick(&mut s, now);
    assert_eq!(out.messages, [(agent(2), SentMessage::Ping { listed: false }, vec![])]);
    for i in 1..40 {
        let at = now + i * 300 * MS;
        tick(&mut s, at);
        s.roster.handle_pong(agent(2), SERVICE, 0, at);
    }
    assert_eq!(s.roster.len(), 2);
    tick(&mut s, now + 40 * 300 * MS + 3_100 * MS);
    assert_eq!(s.roster.len(), 1, "silent for more than 3 s");
}

#[test]
fn agent_of_other_service_removed() {
    let now = Instant::now();
    let mut s = steering(2, now);
    s.roster.handle_pong(agent(2), "fieldlog", 0, now);
    assert_eq!(s.roster.agents_of(SERVICE).collect::<Vec<_>>(), [agent(1)]);
}

/// A balancer that reaches no agent is unready until one answers.
#[test]
fn unready_while_all_agents_silent() {
    let now = Instant::now();
    let mut s = steering(2, now);
    assert!(s.is_ready());
    receive_packet(&mut s, syn(1), now);
    tick(&mut s, now + 41 * MS);
    assert!(!s.is_ready());
    s.roster.handle_pong(agent(2), SERVICE, 0, now + 300 * MS);
    assert!(s.is_ready());
    s.begin_shutdown();
    assert!(!s.is_ready());
}

/// After all agents and balancers restarted, the first trials go to the agents that the
/// open was offered to.
#[test]
fn trials_start_at_offered_agents() {
    let now = Instant::now();
    let mut found = 0;
    for port in 1..=200 {
        let mut before = steering(7, now);
        let offered = receive_packet(&mut before, syn(port), now).offered()[0];
        let mut after = steering(7, now);
        let queried = receive_packet(&mut after, caller_data(port, 1_001, 77, 10), now).queried();
        assert_eq!(queried, [offered], "the home agent is the one offered first");
        let mut tried = Vec::new();
        for n in 1..=7 {
            tried.extend(
                receive_update(&mut after, agent(n), port, FlowStatus::Unverified, now)
                    .forwarded(ForwardMode::Try),
            );
        }
        assert_eq!(tried.len(), 2);
        found += u32::from(tried.contains(&offered));
    }
    assert_eq!(found, 200);
}

/// Guards against losing opens that the first agent passes on to a silent second one.
#[test]
fn silent_agent_not_second_choice() {
    let now = Instant::now();
    let mut s = steering(2, now);
    s.roster.record_timeout(agent(2), now + 50 * MS);
    for port in 1..=50 {
        let out = receive_packet(&mut s, syn(port), now + 60 * MS);
        let SentMessage::Open { offer, .. } = &out.messages[0].1 else { panic!("{out:?}") };
        assert_eq!((offer.first, offer.second), (agent(1), None));
    }
}

/// Guards against a removed VM delaying resets: an agent silent for 4 s counts as not
/// holding the flow if most others deny it.
#[test]
fn dead_agent_does_not_delay_reset() {
    let now = Instant::now();
    for (silent_ms, denying, is_reset) in [(4_100, 2, true), (2_000, 2, false), (4_100, 0, false)] {
        let mut s = steering(3, now);
        s.roster.record_timeout(agent(3), now + 50 * MS);
        let at = now + 50 * MS + silent_ms * MS;
        receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
        for n in 1..=denying {
            assert!(receive_update(&mut s, agent(n), 1, FlowStatus::Unknown, at).resets.is_empty());
        }
        let resets = tick(&mut s, at + 41 * MS).resets;
        assert_eq!(resets.len(), usize::from(is_reset), "{silent_ms} ms, {denying} denying");
    }
    // Also if the flow table names it as the owner.
    let mut s = steering(3, now);
    receive_packet(&mut s, syn(1), now);
    receive_update(&mut s, agent(3), 1, FlowStatus::Held, now);
    s.roster.record_timeout(agent(3), now + 50 * MS);
    let at = now + 4_100 * MS;
    let out = receive_packet(&mut s, caller_data(1, 1_001, 77, 10), at);
    assert_eq!((out.queried().len(), out.forwarded(ForwardMode::Owner).len()), (1, 0));
}
