//! Flow tracking and admission at an agent, and the resets it sends when the target's
//! process has ended.

mod common;

use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::agent::placement::UNAVAILABLE_LOAD;
use jujubepost::metrics::Refusal;
use jujubepost::protocol::{FlowStatus, ForwardMode, Message, QueriedFlow, Query};
use jujubepost::tracker::{FlowTracker, Incarnation, Predecessor, Report, TargetState};

const MS: Duration = Duration::from_millis(1);

fn forward(
    tracker: &mut FlowTracker,
    mode: ForwardMode,
    port: u16,
    ack: u32,
    now: Instant,
) -> Recorder {
    let mut out = Recorder::default();
    let m = Message::Forward { service: SERVICE, mode };
    tracker.handle_message(
        balancer(),
        &m,
        Some(&caller_data(port, 1_001, ack, 100)),
        b"data",
        now,
        &mut out,
    );
    out
}

/// Queries flow `port`, whose caller acknowledged `ack`.
fn query(tracker: &mut FlowTracker, port: u16, ack: u32, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    let question = QueriedFlow { flow: flow(port), ack: Some(ack) };
    let m = Message::Query(Query { service: SERVICE, flows: vec![question] });
    tracker.handle_message(balancer(), &m, None, &[], now, &mut out);
    out
}

fn offer(tracker: &mut FlowTracker, port: u16, aged: bool, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    let m = Message::Open(open(agent(1), aged));
    tracker.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut out);
    out
}

/// A report of target `i-1`, started at `ms`.
fn report_started_at(ms: u64, seq: u64, state: TargetState) -> Report {
    Report {
        incarnation: Incarnation { id: "i-1".into(), started_ms: Some(ms) },
        ..report("i-1", seq, state)
    }
}

#[test]
fn open_is_forwarded_and_tracked() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    let out = open_flow(&mut tracker, 1, 5_000, now);
    assert_eq!(out.to_target, [b"syn".to_vec(), b"ack".to_vec()]);
    assert_eq!(out.to_callers, [b"syn-ack".to_vec()]);
    assert_eq!(out.statuses(), [FlowStatus::Held]);
    assert_eq!(query(&mut tracker, 1, 5_001, now).statuses(), [FlowStatus::Held]);
}

#[test]
fn other_service_is_refused() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    let mut out = Recorder::default();
    let m =
        Message::Open(jujubepost::protocol::Open { service: "fieldlog", ..open(agent(1), false) });
    tracker.handle_message(balancer(), &m, Some(&syn(1)), b"syn", now, &mut out);
    assert_eq!(out.statuses(), [FlowStatus::Refused(Refusal::WrongService)]);
    let m = Message::Forward { service: "fieldlog", mode: ForwardMode::Try };
    tracker.handle_message(balancer(), &m, Some(&caller_data(1, 1, 1, 1)), b"data", now, &mut out);
    let m = Message::Query(Query { service: "fieldlog", flows: Vec::new() });
    tracker.handle_message(balancer(), &m, None, &[], now, &mut out);
    assert!(out.answers().is_empty(), "a query for another service gets no response");
    assert!(out.to_target.is_empty(), "packets of another service do not reach the target");
}

#[test]
fn no_opens_before_first_report() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert_eq!(
        offer(&mut tracker, 1, false, now).statuses(),
        [FlowStatus::Refused(Refusal::NoTarget)]
    );
    // Packets of flows opened before the agent started are delivered.
    assert_eq!(forward(&mut tracker, ForwardMode::Owner, 2, 9, now).to_target.len(), 1);
}

#[test]
fn draining_target_refuses_opens() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_flow(&mut tracker, 1, 5_000, now);
    assert!(tracker.handle_report(report("i-1", 2, TargetState::Draining), now));
    assert_eq!(
        offer(&mut tracker, 2, false, now).statuses(),
        [FlowStatus::Refused(Refusal::Draining)]
    );
    assert_eq!(
        forward(&mut tracker, ForwardMode::Owner, 1, 5_001, now).to_target.len(),
        1,
        "open flows continue"
    );
    // A reordered report does not end the draining.
    assert!(!tracker.handle_report(report("i-1", 1, TargetState::Ready), now));
    assert_eq!(
        offer(&mut tracker, 3, false, now).statuses(),
        [FlowStatus::Refused(Refusal::Draining)]
    );
}

#[test]
fn report_of_earlier_incarnation_ignored() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    assert!(tracker.handle_report(report("i-2", 1, TargetState::Ready), now));
    assert!(
        !tracker.handle_report(report("i-1", 99, TargetState::Draining), now),
        "report of an earlier incarnation"
    );
    assert!(offer(&mut tracker, 1, false, now).statuses().is_empty());
    assert!(!tracker.handle_shutdown_notice(&"i-1".into(), now));
}

/// A restart under the same identity counts its reports anew; delayed reports of the
/// earlier incarnation are recognised by its start time.
#[test]
fn restart_under_same_identity() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(tracker.handle_report(report_started_at(1_000, 50, TargetState::Draining), now));
    assert!(
        tracker.handle_report(report_started_at(2_000, 1, TargetState::Ready), now + MS),
        "lower sequence number, later start"
    );
    assert!(
        offer(&mut tracker, 1, false, now + MS).statuses().is_empty(),
        "new incarnation accepts flows"
    );
    assert!(
        !tracker.handle_report(report_started_at(1_000, 51, TargetState::Draining), now + 2 * MS)
    );
    assert!(
        !tracker.handle_report(report_started_at(500, 9, TargetState::Draining), now + 2 * MS),
        "earlier start, not seen before"
    );
    assert!(
        !tracker.handle_report(report("i-1", 9, TargetState::Draining), now + 2 * MS),
        "no start time"
    );
    assert!(offer(&mut tracker, 2, false, now + 3 * MS).statuses().is_empty());
    assert_eq!(tracker.target().unwrap().incarnation().started_ms, Some(2_000));
}

/// After a VM's clock was set back, a restart has an earlier start time. It is accepted
/// once the other incarnation no longer reports, or its port was closed.
#[test]
fn restart_after_clock_set_back() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(tracker.handle_report(report_started_at(9_000, 4, TargetState::Ready), now));
    assert!(
        !tracker.handle_report(report_started_at(7_000, 1, TargetState::Ready), now + 1_000 * MS)
    );
    assert!(
        tracker.handle_report(report_started_at(7_000, 3, TargetState::Ready), now + 2_500 * MS)
    );
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(tracker.handle_report(report_started_at(9_000, 4, TargetState::Ready), now));
    tracker.mark_target_ended(&mut Recorder::default());
    assert!(tracker.handle_report(report_started_at(7_000, 1, TargetState::Ready), now + MS));
}

/// A shutdown notice of an earlier incarnation does not end the current one; if it has no
/// start time, the target's port is probed.
#[test]
fn shutdown_notice_without_start_time() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    tracker.handle_report(report_started_at(2_000, 1, TargetState::Ready), now);
    open_flow(&mut tracker, 1, 5_000, now);
    let mut out = Recorder::default();
    assert!(
        !tracker.handle_shutdown_notice(
            &Incarnation { id: "i-1".into(), started_ms: Some(1_000) },
            now
        )
    );
    assert!(!tracker.should_probe(now + 5_000 * MS));
    assert!(!tracker.handle_shutdown_notice(&"i-1".into(), now));
    tracker.tick(now + 600 * MS, &mut out);
    assert!(out.resets.is_empty() && tracker.should_probe(now + 600 * MS));
    tracker.defer_probe(now + 600 * MS);
    assert_eq!(
        forward(&mut tracker, ForwardMode::Owner, 1, 5_001, now + 700 * MS).to_target.len(),
        1
    );
    assert!(tracker.handle_shutdown_notice(
        &Incarnation { id: "i-1".into(), started_ms: Some(2_000) },
        now + 800 * MS
    ));
    tracker.tick(now + 1_400 * MS, &mut out);
    assert_eq!(out.resets.len(), 1, "its own shutdown notice ends it");
}

/// Flows that a new incarnation opened before its first report are not reset; those of
/// the previous one are, once the target returns a packet.
#[test]
fn new_incarnation_keeps_its_flows() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_flow(&mut tracker, 1, 5_000, now);
    // The target restarts, and its new incarnation opens flow 2.
    open_flow(&mut tracker, 2, 7_000, now + 600 * MS);
    let later = now + 700 * MS;
    assert!(tracker.handle_report(report("i-2", 1, TargetState::Ready), later));
    let out = forward(&mut tracker, ForwardMode::Owner, 2, 7_001, later);
    assert_eq!((out.to_target.len(), out.resets.len()), (1, 0));
    let mut out = forward(&mut tracker, ForwardMode::Owner, 1, 5_001, later);
    assert_eq!((out.to_target.len(), out.resets.len()), (1, 0));
    let returned = bounced(caller_data(1, 1_001, 5_001, 100));
    tracker.handle_target_packet(&returned, &mut b"data".to_vec(), later, &mut out, |_| {});
    assert_eq!(out.resets, [(flow(1), 5_001)]);
}

#[test]
fn crash_resets_flows() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_flow(&mut tracker, 1, 5_000, now);
    offer(&mut tracker, 2, false, now);
    assert!(!tracker.should_probe(now + 50 * MS));
    assert!(tracker.should_probe(now + 70 * MS), "unanswered open");
    let mut out = Recorder::default();
    tracker.mark_target_ended(&mut out);
    assert_eq!(out.resets, [(flow(1), 5_001)]);
    let out = offer(&mut tracker, 3, false, now + 80 * MS);
    assert_eq!(out.statuses(), [FlowStatus::Refused(Refusal::Draining)]);
    assert!(
        !tracker.handle_report(report("i-1", 9, TargetState::Ready), now),
        "delayed report of the incarnation that ended"
    );
    assert!(tracker.handle_report(report("i-2", 1, TargetState::Ready), now + 500 * MS));
    assert!(offer(&mut tracker, 4, false, now + 500 * MS).statuses().is_empty());
}

/// What the store tells of a process that served target `id` last.
fn predecessor(id: &str) -> Option<Predecessor> {
    Some(Predecessor { incarnation: id.into(), writes_ahead: true })
}

/// Unknown flows are denied if the agent saw its target start, or if its previous process
/// is known to have served another incarnation.
#[test]
fn unknown_flows_denied_only_if_start_was_seen() {
    let now = Instant::now();
    let cases = [
        (1, None, FlowStatus::Unknown),
        (3, None, FlowStatus::Unverified),
        (3, Some("i-1"), FlowStatus::Unverified),
        (3, Some("i-0"), FlowStatus::Unknown),
        (30, Some("i-0"), FlowStatus::Unverified),
    ];
    for (seq, served, status) in cases {
        let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        tracker.set_predecessor(served.and_then(predecessor));
        tracker.handle_report(report("i-1", seq, TargetState::Ready), now);
        let out = query(&mut tracker, 1, 5_001, now);
        assert_eq!(out.statuses(), [status], "seq {seq}, served {served:?}");
        assert!(out.to_target.is_empty(), "a query sends nothing to the target");
    }
}

/// Guards against agents that never know their targets' flows after a loss of power, when the store
/// answers many starting processes late: what the previous process served counts also if it is
/// read after the target's report.
#[test]
fn predecessor_read_late() {
    let now = Instant::now();
    for (seq, inherited, status) in [
        (3, false, FlowStatus::Unknown),
        (5, false, FlowStatus::Unverified),
        (3, true, FlowStatus::Unverified),
    ] {
        let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        tracker.handle_report(report("i-1", seq, TargetState::Ready), now);
        let out = query(&mut tracker, 1, 5_001, now);
        assert_eq!(out.statuses(), [FlowStatus::Unverified], "nothing is known yet");
        if inherited {
            let mut out = Recorder::default();
            let (seg, mut packet) = (target_data(7, 5_001, 9), b"old".to_vec());
            tracker.handle_target_packet(&seg, &mut packet, now, &mut out, |_| {});
        }
        tracker.set_predecessor(predecessor("i-0"));
        let out = query(&mut tracker, 1, 5_001, now);
        assert_eq!(out.statuses(), [status], "report {seq}, inherited {inherited}");
    }
}

/// A target's packet on a flow that this process did not see open shows that the previous
/// process accepted flows, whether it arrives before an early report or after.
#[test]
fn target_packet_shows_inherited_flows() {
    let now = Instant::now();
    for before in [true, false] {
        let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        tracker.set_predecessor(predecessor("i-0"));
        let send = |tracker: &mut FlowTracker| {
            let mut out = Recorder::default();
            tracker.handle_target_packet(
                &target_data(7, 5_001, 9),
                &mut b"old".to_vec(),
                now,
                &mut out,
                |_| {},
            );
        };
        if before {
            send(&mut tracker);
        }
        tracker.handle_report(report("i-1", 3, TargetState::Ready), now + 100 * MS);
        if !before {
            assert_eq!(
                query(&mut tracker, 1, 5_001, now + 100 * MS).statuses(),
                [FlowStatus::Unknown]
            );
            send(&mut tracker);
        }
        assert_eq!(
            query(&mut tracker, 1, 5_001, now + 100 * MS).statuses(),
            [FlowStatus::Unverified],
            "{before}"
        );
    }
}

/// A new agent refuses opens until every balancer can know it: a balancer that does not
/// would take its flows as lost.
#[test]
fn newly_listed_agent_waits() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    tracker.mark_new();
    tracker.handle_report(report("i-1", 1, TargetState::Ready), now);
    for at in [now, now + 490 * MS] {
        assert_eq!(
            offer(&mut tracker, 1, false, at).statuses(),
            [FlowStatus::Refused(Refusal::NoTarget)]
        );
    }
    // Later reports do not restart the wait.
    tracker.handle_report(report("i-1", 2, TargetState::Ready), now + 450 * MS);
    assert_eq!(offer(&mut tracker, 2, false, now + 510 * MS).to_target, [b"syn".to_vec()]);
    // An agent that was listed before accepts flows at once.
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    tracker.set_predecessor(predecessor("i-0"));
    tracker.handle_report(report("i-1", 1, TargetState::Ready), now);
    assert_eq!(offer(&mut tracker, 1, false, now).to_target, [b"syn".to_vec()]);
}

#[test]
fn unknown_flow_tried_once() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    tracker.handle_report(report("i-1", 30, TargetState::Ready), now);
    let mut out = forward(&mut tracker, ForwardMode::Try, 1, 5_001, now);
    assert_eq!(out.to_target.len(), 1);
    let returned = bounced(caller_data(1, 1_001, 5_001, 100));
    tracker.handle_target_packet(&returned, &mut b"data".to_vec(), now, &mut out, |_| {});
    assert_eq!(
        (out.statuses(), out.resets.len()),
        (vec![FlowStatus::NotOwner], 0),
        "no reset for another target's flow"
    );
    let out = query(&mut tracker, 1, 5_001, now);
    assert_eq!(
        (out.statuses(), out.to_target.len()),
        (vec![FlowStatus::NotOwner], 0),
        "tried once"
    );
    // A flow that the target answers is its own.
    forward(&mut tracker, ForwardMode::Try, 2, 5_001, now);
    let mut out = Recorder::default();
    tracker.handle_target_packet(
        &target_data(2, 5_001, 100),
        &mut b"answer".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    assert_eq!((out.statuses(), out.to_callers.len()), (vec![FlowStatus::Held], 1));
}

#[test]
fn flow_of_other_target_denied() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    let mut out = offer(&mut tracker, 1, false, now);
    tracker.handle_target_packet(
        &syn_ack(1, 5_000),
        &mut b"syn-ack".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    // The caller acknowledges another target's sequence number.
    let out = query(&mut tracker, 1, 900_001, now);
    assert_eq!((out.statuses(), out.to_target.len()), (vec![FlowStatus::Unknown], 0));
}

#[test]
fn full_target_gets_no_opens() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    let mut out = offer(&mut tracker, 1, false, now);
    tracker.handle_target_packet(&bounced(syn(1)), &mut b"syn".to_vec(), now, &mut out, |_| {});
    assert_eq!(out.statuses(), [FlowStatus::Refused(Refusal::Full)]);
    assert_eq!(offer(&mut tracker, 2, false, now).statuses(), [FlowStatus::Refused(Refusal::Full)]);
    assert!(offer(&mut tracker, 3, false, now + 300 * MS).statuses().is_empty());
}

/// Under overload a target gets at most twice its slots, and aged opens only free slots,
/// so that newer requests are answered in time.
#[test]
fn queue_is_bounded() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    for port in 1..=5 {
        assert!(offer(&mut tracker, port, true, now).statuses().is_empty(), "slot {port} is free");
    }
    assert_eq!(offer(&mut tracker, 6, true, now).statuses(), [FlowStatus::Refused(Refusal::Busy)]);
    for port in 7..=11 {
        assert!(offer(&mut tracker, port, false, now).statuses().is_empty(), "queue has room");
    }
    assert_eq!(
        offer(&mut tracker, 12, false, now).statuses(),
        [FlowStatus::Refused(Refusal::Busy)]
    );
}

/// Abandoned opens, retransmitted requests and requests past the time limit do not count
/// as waiting.
#[test]
fn waiting_count_excludes_abandoned_work() {
    let mut now = Instant::now();
    let mut tracker = ready_tracker(now);
    let mut out = offer(&mut tracker, 1, false, now);
    tracker.handle_target_packet(
        &syn_ack(1, 5_000),
        &mut b"syn-ack".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    assert_eq!(tracker.waiting_count(), 1);
    now += 100 * MS;
    tracker.tick(now, &mut out);
    assert_eq!(tracker.waiting_count(), 0, "abandoned by its caller");

    open_flow(&mut tracker, 2, 6_000, now);
    forward(&mut tracker, ForwardMode::Owner, 2, 6_001, now);
    assert_eq!(tracker.waiting_count(), 1);
    tracker.handle_target_packet(
        &target_data(2, 6_001, 10),
        &mut b"answer".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    assert_eq!(tracker.waiting_count(), 0);
    forward(&mut tracker, ForwardMode::Owner, 2, 6_001, now);
    assert_eq!(tracker.waiting_count(), 0, "a retransmitted request");

    open_flow(&mut tracker, 3, 7_000, now);
    forward(&mut tracker, ForwardMode::Owner, 3, 7_001, now);
    assert_eq!(tracker.waiting_count(), 1);
    tracker.tick(now + 2_100 * MS, &mut out);
    assert_eq!(tracker.waiting_count(), 0, "the answer was not seen");
}

#[test]
fn drained_once_target_has_answered() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_flow(&mut tracker, 1, 5_000, now);
    forward(&mut tracker, ForwardMode::Owner, 1, 5_001, now);
    tracker.stop_accepting();
    assert!(!tracker.is_drained(), "target has work");
    assert_eq!(
        offer(&mut tracker, 2, false, now).statuses(),
        [FlowStatus::Refused(Refusal::Draining)]
    );
    let mut out = Recorder::default();
    tracker.handle_target_packet(
        &target_data(1, 5_001, 10),
        &mut b"answer".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    assert!(tracker.is_drained());
    tracker.handle_message(balancer(), &Message::Ping { listed: true }, None, &[], now, &mut out);
    assert!(out.messages.contains(&(
        balancer(),
        SentMessage::Pong { load: UNAVAILABLE_LOAD },
        vec![]
    )));
}

#[test]
fn shutdown_resets_flows_after_delay() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_flow(&mut tracker, 1, 5_000, now);
    assert!(tracker.handle_shutdown_notice(&"i-1".into(), now));
    let mut out = Recorder::default();
    tracker.tick(now + 100 * MS, &mut out);
    assert!(out.resets.is_empty(), "it may still send its last packets");
    tracker.tick(now + 600 * MS, &mut out);
    assert_eq!(out.resets, [(flow(1), 5_001)]);
}

/// An agent whose target's process has ended denies every flow; otherwise callers of lost
/// flows wait until they time out.
#[test]
fn ended_target_denies_flows() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert_eq!(query(&mut tracker, 1, 5_001, now).statuses(), [FlowStatus::Unverified]);
    assert!(tracker.should_probe(now), "port probe due");
    tracker.mark_target_ended(&mut Recorder::default());
    assert!(!tracker.should_probe(now));
    assert_eq!(query(&mut tracker, 1, 5_001, now).statuses(), [FlowStatus::TargetEnded]);
    // An ended target whose flows were not all known.
    assert!(tracker.handle_report(report("i-1", 30, TargetState::Ready), now));
    assert_eq!(query(&mut tracker, 2, 5_001, now).statuses(), [FlowStatus::Unverified]);
    tracker.mark_target_ended(&mut Recorder::default());
    assert_eq!(query(&mut tracker, 2, 5_001, now).statuses(), [FlowStatus::TargetEnded]);
}

/// A balancer that pings an agent no longer listed learns that the target has ended.
#[test]
fn ping_reports_ended_target() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    let ping = |tracker: &mut FlowTracker| {
        let mut out = Recorder::default();
        tracker.handle_message(
            balancer(),
            &Message::Ping { listed: false },
            None,
            &[],
            now,
            &mut out,
        );
        out.messages.into_iter().map(|(_, m, _)| m).collect::<Vec<_>>()
    };
    assert!(!ping(&mut tracker).contains(&SentMessage::TargetEnded));
    tracker.mark_target_ended(&mut Recorder::default());
    assert_eq!(
        ping(&mut tracker),
        [SentMessage::Pong { load: UNAVAILABLE_LOAD }, SentMessage::TargetEnded]
    );
}

/// If balancers were told that a target ended, its next incarnation accepts flows only
/// after they can have read it from the store; otherwise they would take them as lost.
#[test]
fn restart_after_announced_end_waits() {
    let now = Instant::now();
    for announced in [true, false] {
        let mut tracker = ready_tracker(now);
        tracker.mark_target_ended(&mut Recorder::default());
        if announced {
            assert_eq!(query(&mut tracker, 1, 5_001, now).statuses(), [FlowStatus::TargetEnded]);
        }
        assert!(tracker.handle_report(report("i-2", 1, TargetState::Ready), now + 100 * MS));
        let early = offer(&mut tracker, 2, false, now + 500 * MS);
        let refused = [FlowStatus::Refused(Refusal::NoTarget)];
        assert_eq!(
            early.statuses(),
            if announced { &refused[..] } else { &[] },
            "announced {announced}"
        );
        assert!(
            offer(&mut tracker, 3, false, now + 600 * MS).statuses().is_empty(),
            "announced {announced}"
        );
    }
}

/// A closed flow is remembered for twice the longest retransmission interval; otherwise
/// its caller's last retransmissions would be answered with a reset.
#[test]
fn closed_flow_is_remembered() {
    let now = Instant::now();
    let mut tracker = ready_tracker(now);
    open_flow(&mut tracker, 1, 5_000, now);
    forward(&mut tracker, ForwardMode::Owner, 1, 5_001, now);
    let mut out = Recorder::default();
    let end = now + 1_900 * MS;
    let with_fin = |seg: jujubepost::flow::Segment| jujubepost::flow::Segment {
        flags: jujubepost::flow::Flags { fin: true, ..seg.flags },
        ..seg
    };
    tracker.handle_target_packet(
        &with_fin(target_data(1, 5_001, 10)),
        &mut b"answer".to_vec(),
        end,
        &mut out,
        |_| {},
    );
    let m = Message::Forward { service: SERVICE, mode: ForwardMode::Owner };
    let final_ack = with_fin(caller_data(1, 1_101, 5_012, 0));
    tracker.handle_message(balancer(), &m, Some(&final_ack), b"fin", end, &mut out);
    for ms in [150, 1_000, 3_000] {
        tracker.tick(end + ms * MS, &mut out);
        assert_eq!(query(&mut tracker, 1, 5_012, end).statuses(), [FlowStatus::Held], "{ms} ms");
    }
    tracker.tick(end + 3_300 * MS, &mut out);
    assert_eq!(query(&mut tracker, 1, 5_012, end).statuses(), [FlowStatus::Unknown]);
}
