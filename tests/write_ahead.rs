//! What proves to a restarted agent that no process before it accepted flows of its target.

mod common;

use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::metrics::Refusal;
use jujubepost::protocol::{FlowStatus, Message, QueriedFlow, Query};
use jujubepost::tracker::{FlowTracker, MAX_EARLY_REPORT_SEQ, Predecessor, TargetState};

const MS: Duration = Duration::from_millis(1);

/// Interval at which a target repeats a report that is not acknowledged.
const REPORT_RETRY: Duration = Duration::from_millis(100);

fn new_process() -> FlowTracker {
    FlowTracker::new(SERVICE.into(), Duration::from_secs(60)).with_write_ahead()
}

/// What the store tells of a process that served target `i-0` last.
fn predecessor(writes_ahead: bool) -> Option<Predecessor> {
    Some(Predecessor { incarnation: "i-0".into(), writes_ahead })
}

fn status_of(tracker: &mut FlowTracker, port: u16, now: Instant) -> FlowStatus {
    let mut out = Recorder::default();
    let queried = QueriedFlow { flow: flow(port), ack: Some(5_001) };
    let m = Message::Query(Query { service: SERVICE, flows: vec![queried] });
    tracker.handle_message(balancer(), &m, None, &[], now, &mut out);
    out.statuses()[0]
}

fn offer(tracker: &mut FlowTracker, port: u16, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    let m = Message::Open(open(agent(1), false));
    tracker.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut out);
    out
}

/// Guards against the reset of living flows by an agent that is restarted soon after its target,
/// while the store is away: the store then names an earlier start, although the agent's previous
/// process has accepted flows.
#[test]
fn unrecorded_start_is_not_denied() {
    for accepted_after in 0..3 {
        let mut now = Instant::now();
        let mut first = new_process();
        first.set_predecessor(predecessor(true));
        let mut seq = 0;
        let accepted = |t: &mut FlowTracker, now| !offer(t, 1, now).to_target.is_empty();
        while seq <= accepted_after || !accepted(&mut first, now) {
            seq += 1;
            first.handle_report(report("i-1", seq, TargetState::Ready), now);
            now += REPORT_RETRY;
        }
        assert!(seq <= MAX_EARLY_REPORT_SEQ + 1, "flows wait for {seq} reports");
        let mut second = new_process();
        second.handle_report(report("i-1", seq + 1, TargetState::Ready), now);
        // The store is back.
        second.set_predecessor(predecessor(true));
        assert_eq!(status_of(&mut second, 1, now), FlowStatus::Unverified, "report {seq}");
    }
}

/// Guards against callers that wait for lost flows after a loss of power: an agent that starts
/// together with its target misses the first reports, and may be late itself.
#[test]
fn lost_flows_denied_at_once() {
    let now = Instant::now();
    for (seq, writes_ahead, status) in [
        (1, false, FlowStatus::Unknown),
        (2, true, FlowStatus::Unknown),
        (MAX_EARLY_REPORT_SEQ, true, FlowStatus::Unknown),
        (MAX_EARLY_REPORT_SEQ + 1, true, FlowStatus::Unverified),
        // A process of an earlier version may have accepted flows that it did not record.
        (2, false, FlowStatus::Unverified),
    ] {
        for read_first in [true, false] {
            let mut tracker = new_process();
            if read_first {
                tracker.set_predecessor(predecessor(writes_ahead));
            }
            tracker.handle_report(report("i-1", seq, TargetState::Ready), now + 900 * MS);
            if !read_first {
                tracker.set_predecessor(predecessor(writes_ahead));
            }
            assert_eq!(
                status_of(&mut tracker, 1, now + 900 * MS),
                status,
                "report {seq}, writes ahead: {writes_ahead}, read first: {read_first}"
            );
        }
    }
}

/// Guards against the reset of living flows by an agent that hears a delayed report of an earlier
/// start first: hearing one start does not show that it heard the next from its beginning.
#[test]
fn report_of_earlier_start_proves_nothing() {
    let now = Instant::now();
    for (first_seq, status) in [(30, FlowStatus::Unverified), (1, FlowStatus::Unknown)] {
        let mut tracker = new_process();
        tracker.handle_report(report("i-0", first_seq, TargetState::Ready), now);
        tracker.handle_report(report("i-1", 9, TargetState::Ready), now + 10 * MS);
        assert_eq!(status_of(&mut tracker, 1, now + 10 * MS), status, "report {first_seq}");
    }
}

/// Guards against flows that the next process of the agent could not know of, and against targets
/// that stay without flows.
#[test]
fn flows_wait_for_record() {
    let now = Instant::now();
    let mut tracker = new_process();
    tracker.handle_report(report("i-1", 1, TargetState::Ready), now);
    assert!(tracker.awaits_record());
    let out = offer(&mut tracker, 1, now);
    assert_eq!(out.statuses(), [FlowStatus::Refused(Refusal::NoTarget)]);
    assert!(out.to_target.is_empty());
    tracker.record_written(&"i-0".into());
    assert!(tracker.awaits_record(), "the store names an earlier start");
    tracker.record_written(&"i-1".into());
    assert!(!tracker.awaits_record());
    assert_eq!(offer(&mut tracker, 1, now).to_target, [b"syn".to_vec()]);
}

/// Guards against the shutdown of a target that is never acknowledged, as the store is away.
#[test]
fn draining_is_acknowledged() {
    let now = Instant::now();
    let mut tracker = new_process();
    tracker.handle_report(report("i-1", 1, TargetState::Draining), now);
    assert!(!tracker.awaits_record());
}

/// Guards against agents without a registration that wait for one.
#[test]
fn without_registration_nothing_waits() {
    let now = Instant::now();
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    tracker.handle_report(report("i-1", 1, TargetState::Ready), now);
    assert!(!tracker.awaits_record());
    assert_eq!(offer(&mut tracker, 1, now).to_target, [b"syn".to_vec()]);
}
