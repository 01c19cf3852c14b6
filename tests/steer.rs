//! Flow steering of a balancer: which agents a packet goes to, which flows are refused or
//! reset, and how long opens are retried.

mod common;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use common::wires::*;
use jujubepost::agent::placement::UNAVAILABLE_LOAD;
use jujubepost::metrics::Refusal;
use jujubepost::protocol::{FlowStatus, FlowUpdate, ForwardMode};
use jujubepost::steering::FlowSteering;

const MS: Duration = Duration::from_millis(1);

fn note(
    s: &mut FlowSteering,
    from: SocketAddrV4,
    port: u16,
    status: FlowStatus,
    now: Instant,
) -> Wires {
    let mut w = Wires::default();
    let load = if matches!(status, FlowStatus::Refused(_)) { UNAVAILABLE_LOAD } else { 0 };
    s.handle_flow_update(from, FlowUpdate { flow: flow(port), status, load }, now, &mut w);
    s.tick(now, &mut w);
    w
}

/// Handles a packet and then due timers, as the event loop does.
fn packet(s: &mut FlowSteering, seg: jujubepost::flow::Segment, now: Instant) -> Wires {
    let mut w = Wires::default();
    s.handle_packet(&seg, b"packet", now, &mut w);
    s.tick(now, &mut w);
    w
}

fn tick(s: &mut FlowSteering, now: Instant) -> Wires {
    let mut w = Wires::default();
    s.tick(now, &mut w);
    w
}

#[test]
fn known_owner_gets_packets() {
    let now = Instant::now();
    let mut s = steer(3, now);
    let first = packet(&mut s, syn(1), now).opens()[0];
    note(&mut s, first, 1, FlowStatus::Held, now);
    let w = packet(&mut s, data(1, 1_001, 1, 10), now);
    assert_eq!(w.carried(ForwardMode::Owner), [first]);
    // A retransmitted SYN goes to the same agent.
    assert_eq!(packet(&mut s, syn(1), now + 200 * MS).opens(), [first]);
}

#[test]
fn silent_agent_replaced_and_pinged() {
    let now = Instant::now();
    let mut s = steer(4, now);
    let first = packet(&mut s, syn(1), now).opens()[0];
    let later = now + 41 * MS;
    let w = tick(&mut s, later);
    assert_eq!(w.opens().len(), 1);
    assert_ne!(w.opens()[0], first);
    assert!(!s.roster.is_responsive(first), "offered last until it answers");
    let pinged = tick(&mut s, later + MS).peers.len() + w.peers.len();
    assert!(pinged > 1, "and asked");
    s.roster.handle_pong(first, SERVICE, 0, later);
    assert!(s.roster.is_responsive(first));
}

#[test]
fn unknown_flow_queried_in_waves() {
    let now = Instant::now();
    let mut s = steer(3, now);
    // The home agent first, then the others.
    let home = packet(&mut s, data(1, 1_001, 77, 10), now).asked();
    assert_eq!(home.len(), 1);
    let others = note(&mut s, home[0], 1, FlowStatus::Unknown, now).asked();
    let mut all = [home.clone(), others.clone()].concat();
    all.sort();
    assert_eq!(all, [agent(1), agent(2), agent(3)]);
    // The owner gets the buffered packet and those that follow.
    let w = note(&mut s, others[0], 1, FlowStatus::Held, now);
    assert_eq!(w.carried(ForwardMode::Owner), [others[0]]);
    assert_eq!(
        packet(&mut s, data(1, 1_011, 77, 10), now).carried(ForwardMode::Owner),
        [others[0]]
    );
    // The owner restarted and denies the flow: queried again.
    note(&mut s, others[0], 1, FlowStatus::Unknown, now);
    assert_eq!(packet(&mut s, data(1, 1_011, 77, 10), now).asked(), home);
}

/// Guards against resetting a live flow: every agent must deny it, and the store must be
/// reachable.
#[test]
fn reset_only_if_every_agent_denies() {
    let now = Instant::now();
    for (sees, statuses, lost) in [
        (true, [FlowStatus::Unknown, FlowStatus::Unknown, FlowStatus::Unknown], true),
        (true, [FlowStatus::Unknown, FlowStatus::Unverified, FlowStatus::Unknown], false),
        (false, [FlowStatus::Unknown, FlowStatus::Unknown, FlowStatus::Unknown], false),
    ] {
        let mut s = steer(3, now);
        s.set_store_reachable(sees, now);
        packet(&mut s, data(1, 1_001, 77, 10), now);
        let mut resets = Vec::new();
        for (n, status) in statuses.into_iter().enumerate() {
            resets.extend(note(&mut s, agent(n as u8 + 1), 1, status, now).resets);
        }
        let want = if lost { vec![(flow(1), 77)] } else { vec![] };
        assert_eq!(resets, want, "{sees} {statuses:?}");
    }
    let mut s = steer(3, now);
    packet(&mut s, data(1, 1_001, 77, 10), now);
    note(&mut s, agent(1), 1, FlowStatus::Unknown, now);
    note(&mut s, agent(2), 1, FlowStatus::Unknown, now);
    assert!(tick(&mut s, now + 60 * MS).resets.is_empty(), "one agent is silent");
}

/// Guards against misrouting: no more than two trials while none is answered, however
/// much time passes.
#[test]
fn trials_limited_until_answered() {
    let now = Instant::now();
    let mut s = steer(4, now);
    let mut tried = Vec::new();
    for round in 0..5 {
        let at = now + round * 200 * MS;
        packet(&mut s, data(1, 1_001, 77, 10), at);
        for n in 1..=4 {
            tried.extend(
                note(&mut s, agent(n), 1, FlowStatus::Unverified, at).carried(ForwardMode::Try),
            );
        }
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 2);
    let at = now + 2_600 * MS;
    packet(&mut s, data(1, 1_001, 77, 10), at);
    let mut more = Vec::new();
    for n in 1..=4 {
        more.extend(
            note(&mut s, agent(n), 1, FlowStatus::Unverified, at).carried(ForwardMode::Try),
        );
    }
    assert_eq!(more.len(), 0, "after a pause");
}

/// Agent `n` answers that it may have forgotten flow 1; returns the trials that follow.
fn unverified(s: &mut FlowSteering, n: u8, at: Instant) -> Vec<SocketAddrV4> {
    note(s, agent(n), 1, FlowStatus::Unverified, at).carried(ForwardMode::Try)
}

/// No trial is spent on other targets while the silent agent may own the flow and be
/// restarting.
#[test]
fn trials_wait_for_restarting_agent() {
    let now = Instant::now();
    let mut s = steer(4, now);
    let at = now + 100 * MS;
    packet(&mut s, data(1, 1_001, 77, 10), at);
    for n in 1..=3 {
        assert!(unverified(&mut s, n, at).is_empty());
    }
    assert!(tick(&mut s, at + 41 * MS).carried(ForwardMode::Try).is_empty(), "agent 4 is silent");
    // The caller retransmits; agent 4 is back.
    let at = at + 600 * MS;
    packet(&mut s, data(1, 1_001, 77, 10), at);
    let tried: Vec<_> = (1..=4).flat_map(|n| unverified(&mut s, n, at)).collect();
    assert_eq!(tried.len(), 2);
    // An agent that stays silent delays trials only for `restart_wait`.
    let mut s = steer(4, now);
    let mut tried = Vec::new();
    for round in 0..4 {
        let at = now + 100 * MS + round * 500 * MS;
        packet(&mut s, data(1, 1_001, 77, 10), at);
        (1..=3).for_each(|n| assert!(unverified(&mut s, n, at).is_empty()));
        tried.push(tick(&mut s, at + 41 * MS).carried(ForwardMode::Try).len());
    }
    assert_eq!(tried, [0, 0, 0, 2]);
}

/// After the two likeliest targets reject a packet, all others are tried at once, and a
/// flow that none holds is reset.
#[test]
fn remaining_targets_tried_after_rejections() {
    let now = Instant::now();
    let mut s = steer(5, now);
    packet(&mut s, data(1, 1_001, 77, 10), now);
    let first: Vec<_> = (1..=5).flat_map(|n| unverified(&mut s, n, now)).collect();
    assert_eq!(first.len(), 2);
    let w = note(&mut s, first[0], 1, FlowStatus::NotOwner, now);
    assert!(w.carried(ForwardMode::Try).is_empty(), "one of the two has not answered");
    let w = note(&mut s, first[1], 1, FlowStatus::NotOwner, now);
    let rest = w.carried(ForwardMode::Try);
    assert_eq!(rest.len(), 3);
    assert!(rest.iter().all(|a| !first.contains(a)));
    let resets: Vec<_> =
        rest.iter().map(|a| note(&mut s, *a, 1, FlowStatus::NotOwner, now).resets.len()).collect();
    assert_eq!(resets, [0, 0, 1]);
}

/// Trials of another balancer count towards the limit, which holds until the roster is
/// complete.
#[test]
fn trials_of_other_balancers_count() {
    let now = Instant::now();
    let mut s = steer(5, now);
    s.set_store_reachable(false, now);
    s.set_store_reachable(true, now);
    packet(&mut s, data(1, 1_001, 77, 10), now);
    note(&mut s, agent(1), 1, FlowStatus::NotOwner, now);
    note(&mut s, agent(2), 1, FlowStatus::NotOwner, now);
    let tried: Vec<_> = (3..=5).flat_map(|n| unverified(&mut s, n, now)).collect();
    assert!(tried.is_empty(), "the store has just come back: {tried:?}");
    let at = now + 3_000 * MS;
    packet(&mut s, data(1, 1_001, 77, 10), at);
    note(&mut s, agent(1), 1, FlowStatus::NotOwner, at);
    note(&mut s, agent(2), 1, FlowStatus::NotOwner, at);
    let tried: Vec<_> = (3..=5).flat_map(|n| unverified(&mut s, n, at)).collect();
    assert_eq!(tried.len(), 3, "the list is current: the flow's own is among these");
}

#[test]
fn unservable_open_refused() {
    let now = Instant::now();
    let mut s = steer(0, now);
    assert_eq!(packet(&mut s, syn(1), now).resets.len(), 1, "no agent of the service");
    let mut other = syn(2);
    other.dst = SocketAddrV4::new([198, 18, 0, 9].into(), 1);
    assert_eq!(packet(&mut s, other, now).resets.len(), 1, "no route");
    let mut s = steer(2, now);
    packet(&mut s, syn(3), now);
    let full = FlowStatus::Refused(Refusal::Full);
    assert_eq!(note(&mut s, agent(1), 3, full, now).resets.len(), 1, "all are full");
}

/// Guards against refusing opens while agents are being listed again or their targets
/// have not reported yet.
#[test]
fn open_retried_while_agents_start() {
    let now = Instant::now();
    let mut s = steer(0, now);
    s.set_store_reachable(false, now);
    s.set_store_reachable(true, now);
    assert!(packet(&mut s, syn(1), now).resets.is_empty());
    s.roster.update(&[announced(1)], now + 50 * MS);
    assert_eq!(tick(&mut s, now + 101 * MS).opens(), [agent(1)]);
    let none = FlowStatus::Refused(Refusal::NoTarget);
    assert!(note(&mut s, agent(1), 1, none, now + 102 * MS).resets.is_empty());
    assert_eq!(tick(&mut s, now + 203 * MS).opens(), [agent(1)]);
    let late = note(&mut s, agent(1), 1, none, now + 1_400 * MS);
    assert_eq!(late.resets.len(), 1, "its caller gives it up now");
}

/// Guards against a flood of offers to an overloaded service: few each round, one round
/// each 100 ms.
#[test]
fn offers_to_busy_service_limited() {
    let now = Instant::now();
    let mut s = steer(10, now);
    let mut w = packet(&mut s, syn(1), now);
    let mut offers = 0;
    while let Some(to) = w.opens().first().copied() {
        offers += 1;
        w = note(&mut s, to, 1, FlowStatus::Refused(Refusal::Busy), now);
    }
    assert!(offers <= 2, "{offers} offers in one round");
    assert!(w.resets.is_empty());
    let w = tick(&mut s, now + 101 * MS);
    assert_eq!(w.opens().len(), 1);
    let aged = tick(&mut s, now + 300 * MS);
    assert!(aged.peers.iter().all(|(_, m, _)| !matches!(m, Sent::Open { aged: false, .. })));
}

#[test]
fn packets_queued_until_config() {
    let now = Instant::now();
    let mut s = FlowSteering::new(balancer(), ZONE.into(), Duration::from_secs(60));
    assert!(packet(&mut s, syn(1), now).peers.is_empty());
    assert!(s.next_deadline(now).unwrap() <= now + 20 * MS);
    assert!(tick(&mut s, now + 20 * MS).peers.is_empty());
    assert!(s.next_deadline(now + 20 * MS).unwrap() > now + 20 * MS, "no busy loop");
    s.apply_routes(routes(1));
    s.roster.update(&[announced(1)], now);
    assert_eq!(tick(&mut s, now + 60 * MS).opens(), [agent(1)]);
}

#[test]
fn older_config_ignored() {
    let mut s = steer(1, Instant::now());
    assert!(s.apply_routes(routes(9)));
    assert!(!s.apply_routes(routes(7)));
    assert_eq!(s.config_version(), Some(9));
}

/// An agent that the store no longer lists is kept while it answers pings, which tell it
/// that it is unlisted.
#[test]
fn unlisted_agent_kept_while_answering() {
    let now = Instant::now();
    let mut s = steer(2, now);
    s.roster.update(&[announced(1)], now);
    let w = tick(&mut s, now);
    assert_eq!(w.peers, [(agent(2), Sent::Ping { listed: false }, vec![])]);
    for i in 1..40 {
        let at = now + i * 300 * MS;
        tick(&mut s, at);
        s.roster.handle_pong(agent(2), SERVICE, 0, at);
    }
    assert_eq!(s.roster.len(), 2);
    tick(&mut s, now + 40 * 300 * MS + 3_100 * MS);
    assert_eq!(s.roster.len(), 1, "silent for long");
}

#[test]
fn agent_of_other_service_removed() {
    let now = Instant::now();
    let mut s = steer(2, now);
    s.roster.handle_pong(agent(2), "fieldlog", 0, now);
    assert_eq!(s.roster.agents_of(SERVICE).collect::<Vec<_>>(), [agent(1)]);
}

/// A balancer that reaches no agent is unready until one answers.
#[test]
fn unready_while_all_agents_silent() {
    let now = Instant::now();
    let mut s = steer(2, now);
    assert!(s.is_ready());
    packet(&mut s, syn(1), now);
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
        let mut before = steer(7, now);
        let offered = packet(&mut before, syn(port), now).opens()[0];
        let mut after = steer(7, now);
        let asked = packet(&mut after, data(port, 1_001, 77, 10), now).asked();
        assert_eq!(asked, [offered], "its home is where it was offered first");
        let mut tried = Vec::new();
        for n in 1..=7 {
            tried.extend(
                note(&mut after, agent(n), port, FlowStatus::Unverified, now)
                    .carried(ForwardMode::Try),
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
    let mut s = steer(2, now);
    s.roster.record_timeout(agent(2), now + 50 * MS);
    for port in 1..=50 {
        let w = packet(&mut s, syn(port), now + 60 * MS);
        let Sent::Open { offer, .. } = &w.peers[0].1 else { panic!("{w:?}") };
        assert_eq!((offer.first, offer.second), (agent(1), None));
    }
}

/// Guards against a removed VM delaying resets: an agent silent for 4 s counts as not
/// holding the flow if most others deny it.
#[test]
fn dead_agent_does_not_delay_reset() {
    let now = Instant::now();
    for (silent, others, lost) in [(4_100, 2, true), (2_000, 2, false), (4_100, 0, false)] {
        let mut s = steer(3, now);
        s.roster.record_timeout(agent(3), now + 50 * MS);
        let at = now + 50 * MS + silent * MS;
        packet(&mut s, data(1, 1_001, 77, 10), at);
        for n in 1..=others {
            assert!(note(&mut s, agent(n), 1, FlowStatus::Unknown, at).resets.is_empty());
        }
        let resets = tick(&mut s, at + 41 * MS).resets;
        assert_eq!(resets.len(), usize::from(lost), "{silent} ms, {others} others");
    }
    // Also if the flow table names it as the owner.
    let mut s = steer(3, now);
    packet(&mut s, syn(1), now);
    note(&mut s, agent(3), 1, FlowStatus::Held, now);
    s.roster.record_timeout(agent(3), now + 50 * MS);
    let at = now + 4_100 * MS;
    let w = packet(&mut s, data(1, 1_001, 77, 10), at);
    assert_eq!((w.asked().len(), w.carried(ForwardMode::Owner).len()), (1, 0));
}
