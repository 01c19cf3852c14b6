//! A target that has just started, or that may have become cold otherwise, gets no more new
//! flows a second than it bears, from all balancers together.

mod common;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::metrics::Refusal;
use jujubepost::platform::config;
use jujubepost::policy::AgentPolicy;
use jujubepost::protocol::{FlowStatus, ForwardMode, Message, Open, WarmUp, decode, encode};
use jujubepost::relay::parts;
use jujubepost::steering::EvacuationList;
use jujubepost::tracker::{ColdAllowance, FlowTracker, Report, TargetState};
use jujubepost::wire::{Offer, OfferStage};

const MS: Duration = Duration::from_millis(1);

/// Requests a second that a cold target bears.
const RATE: u32 = 12;

/// What the operators allow on top: 12 x 1.5 + 5.
const LIMIT: usize = 23;

fn warm_up() -> WarmUp {
    WarmUp { milli_rate: RATE * 1_000, first_returned: None, second_returned: None }
}

fn cold_report(seq: u64, left: Duration) -> Report {
    Report { warmup: left, ..report("i-1", seq, TargetState::Ready) }
}

/// A tracker that declines no open because of the requests that wait for a slot.
fn tracker() -> FlowTracker {
    FlowTracker::new(SERVICE.into(), Duration::from_secs(60))
        .with_policy(AgentPolicy { queue_ratio: 1_000.0, ..AgentPolicy::default() })
        .with_cold_allowance(ColdAllowance { overage: 1.5, slack: 5.0 })
}

/// A tracker whose target has just started and is cold for 2 s.
fn cold_tracker(now: Instant) -> FlowTracker {
    let mut t = tracker();
    t.handle_report(cold_report(1, 2_000 * MS), now);
    t
}

/// Offers flow `port` to the agent alone; returns whether its target got the SYN.
fn offer(t: &mut FlowTracker, port: u16, warm_up: WarmUp, now: Instant) -> bool {
    let open = Open { warm_up: Some(warm_up), ..open(agent(1), false) };
    let mut out = Recorder::default();
    t.handle_message(balancer(), &Message::offer(open), Some(&syn(port)), b"syn", now, &mut out);
    let declined = out.statuses() == [FlowStatus::Refused(Refusal::Cold)];
    assert_eq!(declined, out.to_target.is_empty(), "{out:?}");
    !declined
}

/// Offers a flow each `step` for `span`; returns when the target got one.
fn offer_for(
    t: &mut FlowTracker,
    step: Duration,
    span: Duration,
    from: Instant,
    port: &mut u16,
) -> Vec<Instant> {
    let times = (0..).map(|n| from + step * n).take_while(|at| *at < from + span);
    times
        .filter(|at| {
            *port += 1;
            offer(t, *port, warm_up(), *at)
        })
        .collect()
}

/// Most of `times` in any span of one second.
fn most_in_second(times: &[Instant]) -> usize {
    let in_second = |from: &Instant| {
        times.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()
    };
    times.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a token bucket, which lets a full bucket through beside the rate.
#[test]
fn limit_holds_in_any_second() {
    let now = Instant::now();
    let mut port = 0;
    for step in [1, 7, 40] {
        let mut t = cold_tracker(now);
        let got = offer_for(&mut t, step * MS, 1_990 * MS, now, &mut port);
        assert!(most_in_second(&got) <= LIMIT, "each {step} ms: {}", most_in_second(&got));
        assert!(got.len() >= LIMIT, "each {step} ms: {}", got.len());
    }
    // Warm again: no limit.
    let mut t = cold_tracker(now);
    let got = offer_for(&mut t, 5 * MS, 1_000 * MS, now + 2_000 * MS, &mut port);
    assert_eq!(got.len(), 200);
}

/// Guards against flows that were counted when they were read but left later, so that they
/// reach the target in the same second as those of the next.
#[test]
fn delayed_flows_count_when_sent() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    for port in 0..LIMIT {
        assert!(offer(&mut t, port as u16, warm_up(), now));
    }
    t.finish_batch(now + 300 * MS);
    assert!(!offer(&mut t, 100, warm_up(), now + 1_350 * MS));
    assert!(offer(&mut t, 101, warm_up(), now + 1_450 * MS));
}

/// Guards against a limit at each balancer: the sum counts.
#[test]
fn limit_holds_for_all_balancers() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    let mut accepted = 0;
    for n in 1..=10 {
        let from = SocketAddrV4::new(std::net::Ipv4Addr::new(10, 9, 0, n), 7_720);
        for port in 0..10 {
            let open = Open { warm_up: Some(warm_up()), reply_to: from, ..open(agent(1), false) };
            let mut out = Recorder::default();
            let syn = syn(u16::from(n) * 10 + port);
            t.handle_message(from, &Message::offer(open), Some(&syn), b"syn", now, &mut out);
            accepted += out.to_target.len();
        }
    }
    assert_eq!(accepted, LIMIT);
}

/// Guards against a limit of opens alone: requests of open flows make a cold target crash as
/// well.
#[test]
fn requests_of_open_flows_count() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    let mut out = Recorder::default();
    for port in 0..10 {
        assert!(offer(&mut t, port, warm_up(), now));
        let mut packet = b"packet".to_vec();
        t.handle_target_packet(&syn_ack(port, 7), &mut packet, now, &mut out, |_| {});
    }
    let mut request = |t: &mut FlowTracker, port, seq, at| {
        let message = Message::Forward { service: SERVICE, mode: ForwardMode::Owner };
        let data = caller_data(port, seq, 8, 100);
        t.handle_message(balancer(), &message, Some(&data), b"data", at, &mut out);
        let mut packet = b"packet".to_vec();
        t.handle_target_packet(&target_data(port, 8, 50), &mut packet, at, &mut out, |_| {});
    };
    // The first request of each flow counts with its open, the second one beside it.
    for port in 0..10 {
        request(&mut t, port, 1_001, now + 10 * MS);
    }
    for port in 0..8 {
        request(&mut t, port, 1_101, now + 100 * MS);
    }
    let more = (100..200).filter(|n| offer(&mut t, *n, warm_up(), now + 200 * MS)).count();
    assert_eq!(more, LIMIT - 18);
}

#[test]
fn declined_open_is_passed_on() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    for port in 0..LIMIT {
        assert!(offer(&mut t, port as u16, warm_up(), now));
    }
    let offer = Offer { first: agent(1), second: Some(agent(2)), stage: OfferStage::Propose };
    let open = Open { offer, warm_up: Some(warm_up()), ..open(agent(1), false) };
    let mut out = Recorder::default();
    t.handle_message(balancer(), &Message::offer(open), Some(&syn(99)), b"syn", now, &mut out);
    let passed: Vec<_> = out.messages.iter().map(|(to, m, _)| (*to, m.clone())).collect();
    let [(to, SentMessage::Open { warm_up: Some(sent), .. })] = &passed[..] else {
        panic!("{passed:?}")
    };
    assert_eq!((*to, *sent), (agent(2), warm_up()), "with the limit");
}

/// Offers flow `port` again; returns whether the target got the copy.
fn repeat(t: &mut FlowTracker, port: u16, now: Instant) -> bool {
    let open = Open { warm_up: Some(warm_up()), ..open(agent(1), false) };
    let mut out = Recorder::default();
    t.handle_message(balancer(), &Message::offer(open), Some(&syn(port)), b"syn", now, &mut out);
    !out.to_target.is_empty()
}

/// A copy of a SYN that the target has answered opens no further flow.
#[test]
fn answered_syn_is_repeated() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    for port in 0..LIMIT {
        assert!(offer(&mut t, port as u16, warm_up(), now));
        t.handle_target_packet(
            &syn_ack(port as u16, 7),
            &mut b"syn-ack".to_vec(),
            now,
            &mut Recorder::default(),
            |_| {},
        );
    }
    assert!(repeat(&mut t, 0, now + 200 * MS));
    assert!(!offer(&mut t, 77, warm_up(), now + 200 * MS));
}

/// Guards against a lost SYN whose copy the target takes in a later second, which has its
/// limit of other flows.
#[test]
fn unanswered_syn_counts_again() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    let mut taken = Vec::new();
    for port in 0..5 {
        assert!(offer(&mut t, port, warm_up(), now));
    }
    // The target lost all five and takes their copies.
    for port in 0..5 {
        let at = now + 600 * MS;
        taken.extend(repeat(&mut t, port, at).then_some(at));
    }
    let mut port = 100;
    taken.extend(offer_for(&mut t, 10 * MS, 800 * MS, now + 700 * MS, &mut port));
    assert!(most_in_second(&taken) <= LIMIT, "{}", most_in_second(&taken));
    assert!(taken.len() >= LIMIT, "{}", taken.len());
    assert!(!repeat(&mut t, 4, now + 1_499 * MS), "the window is full");
}

/// Guards against a cold target that opens a flow once more, beyond its limit, as a copy of the SYN
/// arrives after the caller has finished: the target has closed the flow by then.
#[test]
fn late_copy_of_syn_is_dropped() {
    let now = Instant::now();
    let mut t = cold_tracker(now);
    assert!(offer(&mut t, 1, warm_up(), now));
    let mut out = Recorder::default();
    let (seg, mut packet) = (syn_ack(1, 5_000), b"syn-ack".to_vec());
    t.handle_target_packet(&seg, &mut packet, now + MS, &mut out, |_| {});
    assert!(repeat(&mut t, 1, now + 200 * MS), "the caller may have missed the answer");
    let m = Message::Forward { service: SERVICE, mode: ForwardMode::Owner };
    let mut fin = caller_data(1, 1_001, 5_001, 0);
    fin.flags.fin = true;
    t.handle_message(balancer(), &m, Some(&fin), b"fin", now + 250 * MS, &mut out);
    assert!(!repeat(&mut t, 1, now + 600 * MS));
}

/// Guards against an agent that restarts within a second and gives a cold target twice the
/// limit.
#[test]
fn restarted_agent_assumes_full_limit() {
    let now = Instant::now();
    let mut t = tracker();
    t.handle_report(cold_report(2, 1_500 * MS), now);
    let mut port = 0;
    let got = offer_for(&mut t, 10 * MS, 1_000 * MS, now, &mut port);
    assert!(got.is_empty(), "{}", got.len());
    assert!(offer(&mut t, 2_000, warm_up(), now + 1_200 * MS));
    // A restart that the running agent sees: nothing was given to the new process.
    let mut t = tracker();
    t.handle_report(report("i-0", 9, TargetState::Ready), now);
    t.handle_report(cold_report(1, 2_000 * MS), now + 2_000 * MS);
    assert!(offer(&mut t, 1, warm_up(), now + 2_001 * MS));
}

/// Guards against a report that arrives late and makes a cold target look warm, or a warm
/// one cold.
#[test]
fn reordered_report_ignored() {
    let now = Instant::now();
    let mut t = tracker();
    t.handle_report(cold_report(5, Duration::ZERO), now);
    t.handle_report(cold_report(4, 2_000 * MS), now);
    let mut port = 0;
    assert_eq!(offer_for(&mut t, 10 * MS, 400 * MS, now + MS, &mut port).len(), 40);
    let mut t = tracker();
    t.handle_report(cold_report(1, 2_000 * MS), now);
    t.handle_report(cold_report(3, 1_900 * MS), now);
    t.handle_report(cold_report(2, Duration::ZERO), now);
    assert_eq!(offer_for(&mut t, 10 * MS, 400 * MS, now + MS, &mut port).len(), LIMIT);
}

/// Guards against opens that fill a target in the time from the return of its data centre
/// to its next report: it may have become cold without a restart.
#[test]
fn returned_target_counts_as_cold_until_it_reports() {
    let now = Instant::now();
    let mut t = tracker();
    t.handle_report(report("i-1", 1, TargetState::Ready), now);
    let returned = WarmUp { first_returned: Some(100), ..warm_up() };
    let accepted = (0..100).filter(|n| offer(&mut t, *n, returned, now + 300 * MS)).count();
    assert_eq!(accepted, LIMIT);
    // Also offers of balancers that do not know of the return.
    assert!(!offer(&mut t, 200, warm_up(), now + 310 * MS));
    // Another agent's data centre does not count.
    let mut other = tracker();
    other.handle_report(report("i-1", 1, TargetState::Ready), now);
    let elsewhere = WarmUp { second_returned: Some(100), ..warm_up() };
    assert_eq!((0..100).filter(|n| offer(&mut other, *n, elsewhere, now + 300 * MS)).count(), 100);
    // Its next report says that it is warm.
    t.handle_report(report("i-1", 2, TargetState::Ready), now + 400 * MS);
    assert_eq!((300..400).filter(|n| offer(&mut t, *n, returned, now + 400 * MS)).count(), 100);
}

#[test]
fn balancer_tells_rate_and_return() {
    let now = Instant::now();
    let mut s = steering(2, now);
    let mut limited = routes(2);
    limited.cold_rates.insert(SERVICE.into(), RATE * 1_000);
    let sent = |s: &mut jujubepost::steering::FlowSteering, port, now| {
        let mut out = Recorder::default();
        s.handle_packet(&syn(port), b"syn", now, &mut out);
        let SentMessage::Open { warm_up, .. } = out.messages[0].1.clone() else { panic!() };
        warm_up
    };
    assert_eq!(sent(&mut s, 1, now), None, "a service without a limit");
    s.apply_routes(limited);
    assert_eq!(sent(&mut s, 2, now), Some(warm_up()));
    let evacuated = EvacuationList { as_of: 5, zones: [(ZONE.into(), 4)].into() };
    s.apply_evacuations(evacuated, now);
    s.apply_evacuations(EvacuationList { as_of: 9, ..EvacuationList::default() }, now + 50 * MS);
    let told = sent(&mut s, 3, now + 80 * MS).unwrap();
    assert_eq!((told.first_returned, told.second_returned), (Some(30), Some(30)));
    assert_eq!(sent(&mut s, 4, now + 5_000 * MS), Some(warm_up()), "long ago");
}

#[test]
fn limit_survives_encoding() {
    let open = Open { warm_up: Some(warm_up()), ..open(agent(1), false) };
    let mut buf = Vec::new();
    encode(&Message::offer(open), b"packet", &mut buf).unwrap();
    let (message, packet) = decode(&buf).unwrap();
    let sent = Open { warm_up: None, ..open };
    assert_eq!((message, packet), (Message::PacedOpen(sent, warm_up()), &b"packet"[..]));
    // Without a limit the message is that of earlier releases.
    encode(&Message::offer(sent), b"packet", &mut buf).unwrap();
    assert_eq!(buf[0], 0);
}

/// Guards against a limit that balancers which follow a configuration's parts do not know.
#[test]
fn rates_from_configuration_and_parts() {
    let json = serde_json::json!({
        "version": 3,
        "routes": [],
        "services": [
            { "name": "meter", "warmup_s": 2.0, "warmup_per_s": 12.0 },
            { "name": "slow", "warmup_per_s": 0.5 },
            { "name": "none", "warmup_per_s": 0.0 },
            { "name": "absent" },
        ],
    });
    let routes = config::decode(json.to_string().as_bytes()).unwrap();
    let expected = [("meter".into(), 12_000), ("slow".into(), 500)];
    assert_eq!(routes.cold_rates, expected.into());
    let (index, values) = parts::split(&routes).unwrap();
    let parts: Vec<_> = values.iter().map(|v| parts::decode(v).unwrap()).collect();
    assert_eq!(parts::join(&index, &parts), routes);
}
