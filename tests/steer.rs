//! A balancer's decisions: to which agents a packet goes, what is refused at
//! once, and how long it keeps what cannot be placed yet.

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
    s.handle_note(from, FlowUpdate { flow: flow(port), status, load }, now, &mut w);
    s.tick(now, &mut w);
    w
}

/// Takes a packet, and does what a wake-up does after it.
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
fn owner_remembered() {
    let now = Instant::now();
    let mut s = steer(3, now);
    let first = packet(&mut s, syn(1), now).opens()[0];
    note(&mut s, first, 1, FlowStatus::Held, now);
    let w = packet(&mut s, data(1, 1_001, 1, 10), now);
    assert_eq!(w.carried(ForwardMode::Owner), [first]);
    // A copy of the open goes where the first went.
    assert_eq!(packet(&mut s, syn(1), now + 200 * MS).opens(), [first]);
}

#[test]
fn silent_agents_left() {
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
fn unknown_flow_asked() {
    let now = Instant::now();
    let mut s = steer(3, now);
    // Its home first, then the others.
    let home = packet(&mut s, data(1, 1_001, 77, 10), now).asked();
    assert_eq!(home.len(), 1);
    let others = note(&mut s, home[0], 1, FlowStatus::Unknown, now).asked();
    let mut all = [home.clone(), others.clone()].concat();
    all.sort();
    assert_eq!(all, [agent(1), agent(2), agent(3)]);
    // The owner gets the packet that was kept, and those that follow.
    let w = note(&mut s, others[0], 1, FlowStatus::Held, now);
    assert_eq!(w.carried(ForwardMode::Owner), [others[0]]);
    assert_eq!(
        packet(&mut s, data(1, 1_011, 77, 10), now).carried(ForwardMode::Owner),
        [others[0]]
    );
    // The agent was restarted and its target does not hold it: asked again.
    note(&mut s, others[0], 1, FlowStatus::Unknown, now);
    assert_eq!(packet(&mut s, data(1, 1_011, 77, 10), now).asked(), home);
}

/// A flow is reset as lost only when every agent denies it for certain, and
/// the store says who they are.
#[test]
fn lost_flow_reset() {
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

/// Packets at targets that do not hold a flow are counted: two trials, each at
/// another target, and no more as long as these have not answered. A pause
/// between them does not help: of two trials and a third one 2.8 s later, with
/// none at the flow's own target, the flow counted as misrouted.
#[test]
fn few_trials() {
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

/// What an agent says that has not heard of flow 1.
fn unverified(s: &mut FlowSteering, n: u8, at: Instant) -> Vec<SocketAddrV4> {
    note(s, agent(n), 1, FlowStatus::Unverified, at).carried(ForwardMode::Try)
}

/// Agents that restart: the flow's own may be the one that is silent, so no
/// trial is spent on the others before it has answered or is out of reach.
#[test]
fn restart_waited_for() {
    let now = Instant::now();
    let mut s = steer(4, now);
    let at = now + 100 * MS;
    packet(&mut s, data(1, 1_001, 77, 10), at);
    for n in 1..=3 {
        assert!(unverified(&mut s, n, at).is_empty());
    }
    assert!(tick(&mut s, at + 41 * MS).carried(ForwardMode::Try).is_empty(), "agent 4 is silent");
    // The caller's next copy; agent 4 is back.
    let at = at + 600 * MS;
    packet(&mut s, data(1, 1_001, 77, 10), at);
    let tried: Vec<_> = (1..=4).flat_map(|n| unverified(&mut s, n, at)).collect();
    assert_eq!(tried.len(), 2);
    // One that stays away does not hold up the others for ever.
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

/// Once the two likeliest targets gave a packet back, all others are tried at
/// once if the flow's own is among them, and a flow that none holds is reset:
/// its caller need not wait for its time limit.
#[test]
fn rest_tried_at_once() {
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

/// Trials of another balancer count, and where an agent is out of reach or the
/// list of agents may not be current, there are no more than two in all.
#[test]
fn foreign_counts() {
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
fn unservable_refused() {
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

/// Right after the store's return agents are still being listed anew, and
/// targets that have just started have not reported: opens are kept for that.
#[test]
fn kept_while_starting() {
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

/// Load of an overload: a busy service is asked again each 100 ms, by few
/// offers, and the caller gets its answer long before its time limit.
#[test]
fn busy_paced() {
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
fn parked_until_config() {
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
fn config_never_back() {
    let mut s = steer(1, Instant::now());
    assert!(s.apply_routes(routes(9)));
    assert!(!s.apply_routes(routes(7)));
    assert_eq!(s.config_version(), Some(9));
}

/// An agent that the store no longer lists (its lease lapsed, or its key was
/// taken away) stays as long as it answers, and is told to list itself.
#[test]
fn unlisted_but_alive() {
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
fn reused_address_dropped() {
    let now = Instant::now();
    let mut s = steer(2, now);
    s.roster.handle_pong(agent(2), "fieldlog", 0, now);
    assert_eq!(s.roster.agents_of(SERVICE).collect::<Vec<_>>(), [agent(1)]);
}

/// A balancer cut off from all agents says so, so that another gets its
/// callers, and no longer once one answers.
#[test]
fn cut_off_not_ready() {
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

/// All agents and balancers were restarted and forgot every flow: the targets
/// tried first are those that the open was offered to, so that two trials
/// find nearly all flows.
#[test]
fn trials_follow_offers() {
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

/// An agent that does not answer is no second candidate: the first would pass
/// opens on to it, where they are lost (a service of three of which two had
/// left answered each open 40 to 1,400 ms late).
#[test]
fn dead_second_left_out() {
    let now = Instant::now();
    let mut s = steer(2, now);
    s.roster.record_timeout(agent(2), now + 50 * MS);
    for port in 1..=50 {
        let w = packet(&mut s, syn(port), now + 60 * MS);
        let Sent::Open { offer, .. } = &w.peers[0].1 else { panic!("{w:?}") };
        assert_eq!((offer.first, offer.second), (agent(1), None));
    }
}

/// An agent that has not answered for 4 s no longer keeps a flow from being
/// known as lost, if most others deny it: its VM was taken away while the store
/// could not be told.
#[test]
fn long_silent_does_not_hold_up() {
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
    // Also where the balancer remembers it as the flow's agent.
    let mut s = steer(3, now);
    packet(&mut s, syn(1), now);
    note(&mut s, agent(3), 1, FlowStatus::Held, now);
    s.roster.record_timeout(agent(3), now + 50 * MS);
    let at = now + 4_100 * MS;
    let w = packet(&mut s, data(1, 1_001, 77, 10), at);
    assert_eq!((w.asked().len(), w.carried(ForwardMode::Owner).len()), (1, 0));
}
