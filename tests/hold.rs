//! An agent's decisions: which flows its target holds, which new ones it
//! takes, and what it tells callers when the target's process is over.

mod common;

use std::time::{Duration, Instant};

use common::wires::*;
use jujubepost::agent::placement::UNAVAILABLE_LOAD;
use jujubepost::metrics::Refusal;
use jujubepost::protocol::{FlowStatus, ForwardMode, Message, Query, Question};
use jujubepost::tracker::{FlowTracker, Incarnation, Report, TargetState};

const MS: Duration = Duration::from_millis(1);

fn carry(h: &mut FlowTracker, mode: ForwardMode, port: u16, ack: u32, now: Instant) -> Wires {
    let mut w = Wires::default();
    let m = Message::Forward { service: SERVICE, mode };
    h.handle_message(balancer(), &m, Some(&data(port, 1_001, ack, 100)), b"data", now, &mut w);
    w
}

/// Asks for flow `port`, whose caller acknowledged `ack`.
fn asked(h: &mut FlowTracker, port: u16, ack: u32, now: Instant) -> Wires {
    let mut w = Wires::default();
    let question = Question { flow: flow(port), ack: Some(ack) };
    let m = Message::Query(Query { service: SERVICE, questions: vec![question] });
    h.handle_message(balancer(), &m, None, &[], now, &mut w);
    w
}

fn offer(h: &mut FlowTracker, port: u16, aged: bool, now: Instant) -> Wires {
    let mut w = Wires::default();
    let m = Message::Open(open(agent(1), aged));
    h.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut w);
    w
}

/// A report of target `i-1` that was born at `ms`.
fn born_at(ms: u64, seq: u64, state: TargetState) -> Report {
    Report {
        incarnation: Incarnation { id: "i-1".into(), started_ms: Some(ms) },
        ..report("i-1", seq, state)
    }
}

#[test]
fn open_carried() {
    let now = Instant::now();
    let mut h = holder(now);
    let w = opened(&mut h, 1, 5_000, now);
    assert_eq!(w.target, [b"syn".to_vec(), b"ack".to_vec()]);
    assert_eq!(w.callers, [b"syn-ack".to_vec()]);
    assert_eq!(w.statuses(), [FlowStatus::Held]);
    assert_eq!(asked(&mut h, 1, 5_001, now).statuses(), [FlowStatus::Held]);
}

#[test]
fn foreign_service_refused() {
    let now = Instant::now();
    let mut h = holder(now);
    let mut w = Wires::default();
    let m =
        Message::Open(jujubepost::protocol::Open { service: "fieldlog", ..open(agent(1), false) });
    h.handle_message(balancer(), &m, Some(&syn(1)), b"syn", now, &mut w);
    assert_eq!(w.statuses(), [FlowStatus::Refused(Refusal::ForeignOwner)]);
    let m = Message::Forward { service: "fieldlog", mode: ForwardMode::Try };
    h.handle_message(balancer(), &m, Some(&data(1, 1, 1, 1)), b"data", now, &mut w);
    let m = Message::Query(Query { service: "fieldlog", questions: Vec::new() });
    h.handle_message(balancer(), &m, None, &[], now, &mut w);
    assert!(w.answers().is_empty(), "nor does the agent answer for it");
    assert!(w.target.is_empty(), "nothing of another service reaches the target");
}

#[test]
fn silent_before_report() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert_eq!(offer(&mut h, 1, false, now).statuses(), [FlowStatus::Refused(Refusal::NoTarget)]);
    // Flows that were open before the agent started pass at once.
    assert_eq!(carry(&mut h, ForwardMode::Owner, 2, 9, now).target.len(), 1);
}

#[test]
fn draining_refuses() {
    let now = Instant::now();
    let mut h = holder(now);
    opened(&mut h, 1, 5_000, now);
    assert!(h.handle_report(report("i-1", 2, TargetState::Draining), now));
    assert_eq!(offer(&mut h, 2, false, now).statuses(), [FlowStatus::Refused(Refusal::Draining)]);
    assert_eq!(carry(&mut h, ForwardMode::Owner, 1, 5_001, now).target.len(), 1, "open flows stay");
    // A report that was overtaken does not bring it back.
    assert!(!h.handle_report(report("i-1", 1, TargetState::Ready), now));
    assert_eq!(offer(&mut h, 3, false, now).statuses(), [FlowStatus::Refused(Refusal::Draining)]);
}

#[test]
fn late_report_ignored() {
    let now = Instant::now();
    let mut h = holder(now);
    assert!(h.handle_report(report("i-2", 1, TargetState::Ready), now));
    assert!(!h.handle_report(report("i-1", 99, TargetState::Draining), now), "of an earlier start");
    assert!(offer(&mut h, 1, false, now).statuses().is_empty());
    assert!(!h.handle_shutdown_notice(&"i-1".into(), now));
}

/// A target may start again under the identity that it had. Its reports count
/// anew, and late ones of the start before it are told by when it was born.
#[test]
fn reborn_heard() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(h.handle_report(born_at(1_000, 50, TargetState::Draining), now));
    assert!(
        h.handle_report(born_at(2_000, 1, TargetState::Ready), now + MS),
        "a lower number, a later start"
    );
    assert!(offer(&mut h, 1, false, now + MS).statuses().is_empty(), "it takes flows");
    assert!(!h.handle_report(born_at(1_000, 51, TargetState::Draining), now + 2 * MS));
    assert!(
        !h.handle_report(born_at(500, 9, TargetState::Draining), now + 2 * MS),
        "never heard of before"
    );
    assert!(
        !h.handle_report(report("i-1", 9, TargetState::Draining), now + 2 * MS),
        "names no start"
    );
    assert!(offer(&mut h, 2, false, now + 3 * MS).statuses().is_empty());
    assert_eq!(h.target().unwrap().incarnation().started_ms, Some(2_000));
}

/// The time of day of a VM may step back between two starts: one that was born
/// earlier is heard once the other no longer reports, or its port was closed.
#[test]
fn clock_stepped_back() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(h.handle_report(born_at(9_000, 4, TargetState::Ready), now));
    assert!(!h.handle_report(born_at(7_000, 1, TargetState::Ready), now + 1_000 * MS));
    assert!(h.handle_report(born_at(7_000, 3, TargetState::Ready), now + 2_500 * MS));
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(h.handle_report(born_at(9_000, 4, TargetState::Ready), now));
    h.mark_target_ended(&mut Wires::default());
    assert!(h.handle_report(born_at(7_000, 1, TargetState::Ready), now + MS));
}

/// A late goodbye of an earlier start under the same identity ends nothing by
/// itself: the target's port is tried.
#[test]
fn late_goodbye() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    h.handle_report(born_at(2_000, 1, TargetState::Ready), now);
    opened(&mut h, 1, 5_000, now);
    let mut w = Wires::default();
    assert!(
        !h.handle_shutdown_notice(&Incarnation { id: "i-1".into(), started_ms: Some(1_000) }, now)
    );
    assert!(!h.should_probe(now + 5_000 * MS));
    assert!(!h.handle_shutdown_notice(&"i-1".into(), now));
    h.tick(now + 600 * MS, &mut w);
    assert!(w.resets.is_empty() && h.should_probe(now + 600 * MS));
    h.defer_probe(now + 600 * MS);
    assert_eq!(carry(&mut h, ForwardMode::Owner, 1, 5_001, now + 700 * MS).target.len(), 1);
    assert!(h.handle_shutdown_notice(
        &Incarnation { id: "i-1".into(), started_ms: Some(2_000) },
        now + 800 * MS
    ));
    h.tick(now + 1_400 * MS, &mut w);
    assert_eq!(w.resets.len(), 1, "its own goodbye ends it");
}

/// A new start may have opened flows before its first report: they are not
/// reset; those of the start before it are, once the target gives one back.
#[test]
fn new_start_keeps_its_flows() {
    let now = Instant::now();
    let mut h = holder(now);
    opened(&mut h, 1, 5_000, now);
    // The target crashes and starts again; its new start opens flow 2.
    opened(&mut h, 2, 7_000, now + 600 * MS);
    let later = now + 700 * MS;
    assert!(h.handle_report(report("i-2", 1, TargetState::Ready), later));
    let w = carry(&mut h, ForwardMode::Owner, 2, 7_001, later);
    assert_eq!((w.target.len(), w.resets.len()), (1, 0));
    let mut w = carry(&mut h, ForwardMode::Owner, 1, 5_001, later);
    assert_eq!((w.target.len(), w.resets.len()), (1, 0));
    let back = bounced(data(1, 1_001, 5_001, 100));
    h.handle_target_packet(&back, &mut b"data".to_vec(), later, &mut w, |_| {});
    assert_eq!(w.resets, [(flow(1), 5_001)]);
}

#[test]
fn crash_resets_flows() {
    let now = Instant::now();
    let mut h = holder(now);
    opened(&mut h, 1, 5_000, now);
    offer(&mut h, 2, false, now);
    assert!(!h.should_probe(now + 50 * MS));
    assert!(h.should_probe(now + 70 * MS), "an open without an answer");
    let mut w = Wires::default();
    h.mark_target_ended(&mut w);
    assert_eq!(w.resets, [(flow(1), 5_001)]);
    let w = offer(&mut h, 3, false, now + 80 * MS);
    assert_eq!(w.statuses(), [FlowStatus::Refused(Refusal::Draining)]);
    assert!(
        !h.handle_report(report("i-1", 9, TargetState::Ready), now),
        "a late report of the start that ended"
    );
    assert!(h.handle_report(report("i-2", 1, TargetState::Ready), now + 500 * MS));
    assert!(offer(&mut h, 4, false, now + 500 * MS).statuses().is_empty());
}

/// Which flows an agent can deny for certain: all, if it saw its target start
/// or if the process before it is known to have served another start.
#[test]
fn certain_or_not() {
    let now = Instant::now();
    let cases = [
        (1, None, FlowStatus::Unknown),
        (3, None, FlowStatus::Unverified),
        (3, Some("i-1"), FlowStatus::Unverified),
        (3, Some("i-0"), FlowStatus::Unknown),
        (30, Some("i-0"), FlowStatus::Unverified),
    ];
    for (seq, served, status) in cases {
        let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        h.set_predecessor(served.map(Into::into), now);
        h.handle_report(report("i-1", seq, TargetState::Ready), now);
        let w = asked(&mut h, 1, 5_001, now);
        assert_eq!(w.statuses(), [status], "seq {seq}, served {served:?}");
        assert!(w.target.is_empty(), "asked only");
    }
}

/// The agent before was killed soon after the start `i-1`, which it could not
/// write down as the store was away: the next report comes about a second after
/// the last answered one, not within the tenth of a second in which a target
/// that nobody answers tries again.
#[test]
fn unwritten_start() {
    let now = Instant::now();
    for (heard, status) in [(100 * MS, FlowStatus::Unknown), (350 * MS, FlowStatus::Unverified)] {
        let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        h.set_predecessor(Some("i-0".into()), now);
        h.handle_report(report("i-1", 2, TargetState::Ready), now + heard);
        let w = asked(&mut h, 1, 5_001, now + heard);
        assert_eq!(w.statuses(), [status], "heard after {heard:?}");
    }
}

/// The same with an ordinary report that happens to fall into the agent's first
/// moments, as one in six does: a packet of the target on a flow that this
/// process did not see open shows that the earlier one took flows, whether it
/// comes before the report or after.
#[test]
fn inherited_flows() {
    let now = Instant::now();
    for before in [true, false] {
        let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        h.set_predecessor(Some("i-0".into()), now);
        let send = |h: &mut FlowTracker| {
            let mut w = Wires::default();
            h.handle_target_packet(&answer(7, 5_001, 9), &mut b"old".to_vec(), now, &mut w, |_| {});
        };
        if before {
            send(&mut h);
        }
        h.handle_report(report("i-1", 3, TargetState::Ready), now + 100 * MS);
        if !before {
            assert_eq!(asked(&mut h, 1, 5_001, now + 100 * MS).statuses(), [FlowStatus::Unknown]);
            send(&mut h);
        }
        assert_eq!(
            asked(&mut h, 1, 5_001, now + 100 * MS).statuses(),
            [FlowStatus::Unverified],
            "{before}"
        );
    }
}

/// A new agent, of which balancers learn one after the other: a flow that it
/// took at once would be taken as lost by a balancer that does not know it yet.
#[test]
fn newcomer_waits() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    h.mark_new();
    h.handle_report(report("i-1", 1, TargetState::Ready), now);
    for at in [now, now + 490 * MS] {
        assert_eq!(
            offer(&mut h, 1, false, at).statuses(),
            [FlowStatus::Refused(Refusal::NoTarget)]
        );
    }
    // Its target's later reports do not begin the wait again.
    h.handle_report(report("i-1", 2, TargetState::Ready), now + 450 * MS);
    assert_eq!(offer(&mut h, 2, false, now + 510 * MS).target, [b"syn".to_vec()]);
    // One that is listed from before takes flows at once.
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    h.set_predecessor(Some("i-0".into()), now);
    h.handle_report(report("i-1", 1, TargetState::Ready), now);
    assert_eq!(offer(&mut h, 1, false, now).target, [b"syn".to_vec()]);
}

#[test]
fn trial_once() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    h.handle_report(report("i-1", 30, TargetState::Ready), now);
    let mut w = carry(&mut h, ForwardMode::Try, 1, 5_001, now);
    assert_eq!(w.target.len(), 1);
    let back = bounced(data(1, 1_001, 5_001, 100));
    h.handle_target_packet(&back, &mut b"data".to_vec(), now, &mut w, |_| {});
    assert_eq!((w.statuses(), w.resets.len()), (vec![FlowStatus::NotOwner], 0), "another's flow");
    let w = asked(&mut h, 1, 5_001, now);
    assert_eq!((w.statuses(), w.target.len()), (vec![FlowStatus::NotOwner], 0), "tried once");
    // One that the target answers is its own.
    carry(&mut h, ForwardMode::Try, 2, 5_001, now);
    let mut w = Wires::default();
    h.handle_target_packet(&answer(2, 5_001, 100), &mut b"answer".to_vec(), now, &mut w, |_| {});
    assert_eq!((w.statuses(), w.callers.len()), (vec![FlowStatus::Held], 1));
}

#[test]
fn other_targets_flow() {
    let now = Instant::now();
    let mut h = holder(now);
    let mut w = offer(&mut h, 1, false, now);
    h.handle_target_packet(&syn_ack(1, 5_000), &mut b"syn-ack".to_vec(), now, &mut w, |_| {});
    // The caller goes on with another target's sequence number.
    let w = asked(&mut h, 1, 900_001, now);
    assert_eq!((w.statuses(), w.target.len()), (vec![FlowStatus::Unknown], 0));
}

#[test]
fn full_target_left_alone() {
    let now = Instant::now();
    let mut h = holder(now);
    let mut w = offer(&mut h, 1, false, now);
    h.handle_target_packet(&bounced(syn(1)), &mut b"syn".to_vec(), now, &mut w, |_| {});
    assert_eq!(w.statuses(), [FlowStatus::Refused(Refusal::Full)]);
    assert_eq!(offer(&mut h, 2, false, now).statuses(), [FlowStatus::Refused(Refusal::Full)]);
    assert!(offer(&mut h, 3, false, now + 300 * MS).statuses().is_empty());
}

/// Load of an overload: a target is handed at most twice its slots, and what
/// has waited long only a free slot, so that those who can still be in time
/// are.
#[test]
fn queue_kept_short() {
    let now = Instant::now();
    let mut h = holder(now);
    for port in 1..=5 {
        assert!(offer(&mut h, port, true, now).statuses().is_empty(), "slot {port} is free");
    }
    assert_eq!(offer(&mut h, 6, true, now).statuses(), [FlowStatus::Refused(Refusal::Busy)]);
    for port in 7..=11 {
        assert!(offer(&mut h, port, false, now).statuses().is_empty(), "queue has room");
    }
    assert_eq!(offer(&mut h, 12, false, now).statuses(), [FlowStatus::Refused(Refusal::Busy)]);
}

/// What counts as waiting work: not an open that its caller gave up, not a
/// copy of a request, nothing for ever.
#[test]
fn waiting_is_work() {
    let mut now = Instant::now();
    let mut h = holder(now);
    let mut w = offer(&mut h, 1, false, now);
    h.handle_target_packet(&syn_ack(1, 5_000), &mut b"syn-ack".to_vec(), now, &mut w, |_| {});
    assert_eq!(h.waiting_count(), 1);
    now += 100 * MS;
    h.tick(now, &mut w);
    assert_eq!(h.waiting_count(), 0, "given up by its caller");

    opened(&mut h, 2, 6_000, now);
    carry(&mut h, ForwardMode::Owner, 2, 6_001, now);
    assert_eq!(h.waiting_count(), 1);
    h.handle_target_packet(&answer(2, 6_001, 10), &mut b"answer".to_vec(), now, &mut w, |_| {});
    assert_eq!(h.waiting_count(), 0);
    carry(&mut h, ForwardMode::Owner, 2, 6_001, now);
    assert_eq!(h.waiting_count(), 0, "a copy of the request");

    opened(&mut h, 3, 7_000, now);
    carry(&mut h, ForwardMode::Owner, 3, 7_001, now);
    assert_eq!(h.waiting_count(), 1);
    h.tick(now + 2_100 * MS, &mut w);
    assert_eq!(h.waiting_count(), 0, "the answer was not seen");
}

#[test]
fn stops_when_done() {
    let now = Instant::now();
    let mut h = holder(now);
    opened(&mut h, 1, 5_000, now);
    carry(&mut h, ForwardMode::Owner, 1, 5_001, now);
    h.stop_accepting();
    assert!(!h.is_drained(), "its target works");
    assert_eq!(offer(&mut h, 2, false, now).statuses(), [FlowStatus::Refused(Refusal::Draining)]);
    let mut w = Wires::default();
    h.handle_target_packet(&answer(1, 5_001, 10), &mut b"answer".to_vec(), now, &mut w, |_| {});
    assert!(h.is_drained());
    h.handle_message(balancer(), &Message::Ping { listed: true }, None, &[], now, &mut w);
    assert!(w.peers.contains(&(balancer(), Sent::Pong { load: UNAVAILABLE_LOAD }, vec![])));
}

#[test]
fn ended_target_tells_callers() {
    let now = Instant::now();
    let mut h = holder(now);
    opened(&mut h, 1, 5_000, now);
    assert!(h.handle_shutdown_notice(&"i-1".into(), now));
    let mut w = Wires::default();
    h.tick(now + 100 * MS, &mut w);
    assert!(w.resets.is_empty(), "it may still send its last packets");
    h.tick(now + 600 * MS, &mut w);
    assert_eq!(w.resets, [(flow(1), 5_001)]);
}

/// An agent beside a target whose process is over holds no flow, and says so
/// for certain: otherwise callers of lost flows wait to their time limit.
#[test]
fn no_target_denies() {
    let now = Instant::now();
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert_eq!(asked(&mut h, 1, 5_001, now).statuses(), [FlowStatus::Unverified]);
    assert!(h.should_probe(now), "its port is to be tried");
    h.mark_target_ended(&mut Wires::default());
    assert!(!h.should_probe(now));
    assert_eq!(asked(&mut h, 1, 5_001, now).statuses(), [FlowStatus::TargetEnded]);
    // A target whose flows were not all known, and which has ended.
    assert!(h.handle_report(report("i-1", 30, TargetState::Ready), now));
    assert_eq!(asked(&mut h, 2, 5_001, now).statuses(), [FlowStatus::Unverified]);
    h.mark_target_ended(&mut Wires::default());
    assert_eq!(asked(&mut h, 2, 5_001, now).statuses(), [FlowStatus::TargetEnded]);
}

/// A balancer that no longer sees the agent in the store asks once more before its
/// VM goes, and learns that the target has ended.
#[test]
fn end_told_when_asked() {
    let now = Instant::now();
    let mut h = holder(now);
    let ping = |h: &mut FlowTracker| {
        let mut w = Wires::default();
        h.handle_message(balancer(), &Message::Ping { listed: false }, None, &[], now, &mut w);
        w.peers.into_iter().map(|(_, m, _)| m).collect::<Vec<_>>()
    };
    assert!(!ping(&mut h).contains(&Sent::Ended));
    h.mark_target_ended(&mut Wires::default());
    assert_eq!(ping(&mut h), [Sent::Pong { load: UNAVAILABLE_LOAD }, Sent::Ended]);
}

/// Balancers that were told of a target's end take its agent's silence as the end
/// of its flows until the store names the next start: that start takes none before
/// they can have read it. One of whose end nobody was told takes flows at once.
#[test]
fn reborn_waits() {
    let now = Instant::now();
    for told in [true, false] {
        let mut h = holder(now);
        h.mark_target_ended(&mut Wires::default());
        if told {
            assert_eq!(asked(&mut h, 1, 5_001, now).statuses(), [FlowStatus::TargetEnded]);
        }
        assert!(h.handle_report(report("i-2", 1, TargetState::Ready), now + 100 * MS));
        let early = offer(&mut h, 2, false, now + 500 * MS);
        let wait = [FlowStatus::Refused(Refusal::NoTarget)];
        assert_eq!(early.statuses(), if told { &wait[..] } else { &[] }, "told {told}");
        assert!(offer(&mut h, 3, false, now + 600 * MS).statuses().is_empty(), "told {told}");
    }
}

/// A flow that ended is remembered for twice the longest pause between copies,
/// whatever else about it was to be looked at before: otherwise its caller's
/// last copies were answered with a reset.
#[test]
fn ended_flow_remembered() {
    let now = Instant::now();
    let mut h = holder(now);
    opened(&mut h, 1, 5_000, now);
    carry(&mut h, ForwardMode::Owner, 1, 5_001, now);
    let mut w = Wires::default();
    let end = now + 1_900 * MS;
    let fin = |seg: jujubepost::flow::Segment| jujubepost::flow::Segment {
        flags: jujubepost::flow::Flags { fin: true, ..seg.flags },
        ..seg
    };
    h.handle_target_packet(
        &fin(answer(1, 5_001, 10)),
        &mut b"answer".to_vec(),
        end,
        &mut w,
        |_| {},
    );
    let m = Message::Forward { service: SERVICE, mode: ForwardMode::Owner };
    let last = fin(data(1, 1_101, 5_012, 0));
    h.handle_message(balancer(), &m, Some(&last), b"fin", end, &mut w);
    for ms in [150, 1_000, 3_000] {
        h.tick(end + ms * MS, &mut w);
        assert_eq!(asked(&mut h, 1, 5_012, end).statuses(), [FlowStatus::Held], "{ms} ms");
    }
    h.tick(end + 3_300 * MS, &mut w);
    assert_eq!(asked(&mut h, 1, 5_012, end).statuses(), [FlowStatus::Unknown]);
}
