//! Packets of open flows whose route a balancer does not know: another balancer may follow a newer
//! configuration.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::flow::Segment;
use jujubepost::protocol::{Answer, FlowStatus};
use jujubepost::steering::{FlowSteering, Routes};
use jujubepost::store::mirror::{self, MirrorEvent, PeerFallback, Source};
use jujubepost::store::{Kv, WatchBatch, WatchStore};
use tokio::sync::Notify;

const MS: Duration = Duration::from_millis(1);

/// Port of a route that version 1 of the configuration lacks.
const NEW_PORT: u16 = 8_443;

fn receive_packet(s: &mut FlowSteering, seg: Segment, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.handle_packet(&seg, b"x", now, &mut out);
    out
}

fn tick(s: &mut FlowSteering, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.tick(now, &mut out);
    out
}

/// A packet of flow `port` on the new route.
fn packet_of_new_route(port: u16) -> Segment {
    let mut seg = caller_data(port, 1_001, 5_001, 100);
    seg.dst.set_port(NEW_PORT);
    seg
}

/// The next version of the configuration, with the new route.
fn with_new_route() -> Routes {
    let mut newest = routes(2);
    let mut vip = vip();
    let route = newest.by_address[&vip].clone();
    vip.set_port(NEW_PORT);
    newest.by_address.insert(vip, route);
    newest
}

/// Guards against the reset of open flows on a new route by a balancer that does not know it yet, as
/// the process that reads the store for it was cut off.
#[test]
fn unknown_route_is_looked_up() {
    let now = Instant::now();
    let mut s = steering(1, now);
    s.set_routes_checked(now - MS);
    let out = receive_packet(&mut s, packet_of_new_route(1), now);
    assert!(out.resets.is_empty(), "{out:?}");
    assert!(s.take_route_check(now));
    assert!(tick(&mut s, now + 20 * MS).resets.is_empty());
    s.apply_routes(with_new_route());
    s.set_routes_checked(now + MS);
    let out = tick(&mut s, now + 40 * MS);
    assert!(out.resets.is_empty(), "{out:?}");
    assert_eq!(out.queried(), [agent(1)], "its owner is searched for");
}

/// Guards against callers that wait for a flow whose route was really removed.
#[test]
fn removed_route_is_reported() {
    let now = Instant::now();
    let mut s = steering(1, now);
    s.apply_routes(with_new_route());
    s.apply_routes(routes(3));
    receive_packet(&mut s, packet_of_new_route(1), now);
    assert!(s.take_route_check(now));
    s.set_routes_checked(now);
    assert_eq!(tick(&mut s, now + 20 * MS).resets.len(), 1);
}

/// Guards against packets that wait although their flow's owner is known: a removed route leaves
/// flows where they are.
#[test]
fn known_owner_needs_no_route() {
    let now = Instant::now();
    let mut s = steering(1, now);
    s.apply_routes(with_new_route());
    receive_packet(&mut s, packet_of_new_route(1), now);
    tick(&mut s, now);
    let mut out = Recorder::default();
    let flow = packet_of_new_route(1).flow_from_caller();
    let held = Answer { flow, status: FlowStatus::Held, hint: None };
    s.handle_answers(agent(1), &[held], 0, now, &mut out);
    s.apply_routes(routes(3));
    let out = receive_packet(&mut s, packet_of_new_route(1), now);
    assert_eq!(out.messages.len(), 1, "{out:?}");
    assert!(!s.take_route_check(now));
}

/// Guards against the reset of open flows while the store is away: the configuration may have changed
/// just before.
#[test]
fn unreachable_store_proves_nothing() {
    let now = Instant::now();
    let mut s = steering(1, now);
    s.set_routes_checked(now);
    let mut resets = 0;
    for n in 1..=200 {
        let at = now + n * 20 * MS;
        if n % 10 == 0 {
            resets += receive_packet(&mut s, packet_of_new_route(1), at).resets.len();
        }
        s.take_route_check(at);
        resets += tick(&mut s, at).resets.len();
    }
    assert_eq!(resets, 0);
}

/// Guards against a load on the store that grows with packets of flows that never existed.
#[test]
fn route_checks_are_bounded() {
    let now = Instant::now();
    let mut s = steering(1, now);
    let mut checks = 0;
    for n in 0..10_000 {
        let at = now + n * MS;
        receive_packet(&mut s, packet_of_new_route(n as u16), at);
        if s.take_route_check(at) {
            checks += 1;
            s.set_routes_checked(at);
        }
        tick(&mut s, at);
    }
    assert!((2..=5).contains(&checks), "{checks} reads in 10 s");
}

/// Guards against the reset of open flows on a route that takes no new ones for now.
#[test]
fn route_without_weight_keeps_flows() {
    let now = Instant::now();
    let mut s = steering(1, now);
    let mut closed = routes(2);
    for route in closed.by_address.values_mut() {
        route.services[0].weight = 0;
    }
    s.apply_routes(closed);
    let out = receive_packet(&mut s, caller_data(1, 1_001, 5_001, 100), now);
    assert!(out.resets.is_empty(), "{out:?}");
    assert_eq!(tick(&mut s, now).queried(), [agent(1)]);
    assert_eq!(receive_packet(&mut s, syn(2), now).resets.len(), 1, "a new flow is refused");
}

/// A store without changes, whose waiting calls are never answered.
#[derive(Clone, Default)]
struct IdleStore {
    checks: Rc<Cell<u32>>,
}

impl WatchStore for IdleStore {
    async fn list(&self, _: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        Ok((7, Vec::new()))
    }

    async fn watch(&self, _: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        if wait {
            return std::future::pending().await;
        }
        self.checks.set(self.checks.get() + 1);
        tokio::time::sleep(5 * MS).await;
        Ok(WatchBatch { rev: after, compacted: false, changes: Vec::new() })
    }
}

/// Guards against a read that was asked for before a packet arrived and is taken for one of a later
/// time.
#[ntex::test]
async fn check_is_dated_by_its_request() {
    let store = IdleStore::default();
    let refresh = Arc::new(Notify::new());
    let source = Source {
        store: store.clone(),
        prefix: String::new(),
        start_order: Vec::new(),
        peers: Vec::new(),
        peer_fallback: PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: refresh.clone(),
    };
    let checks = RefCell::new(Vec::new());
    let follow = mirror::follow(
        &source,
        |_| None,
        |event| {
            if let MirrorEvent::Checked { asked_at } = event {
                checks.borrow_mut().push((asked_at, Instant::now()));
            }
        },
    );
    let requested = Cell::new(None);
    let request = async {
        tokio::time::sleep(50 * MS).await;
        requested.set(Some(Instant::now()));
        refresh.notify_one();
        tokio::time::sleep(50 * MS).await;
    };
    tokio::select! {
        () = follow => unreachable!(),
        () = request => {}
    }
    let checks = checks.borrow();
    assert_eq!((checks.len(), store.checks.get()), (2, 1), "the first listing, and the request");
    let (asked_at, answered_at) = checks[1];
    assert!(asked_at >= requested.get().unwrap() && answered_at >= asked_at + 5 * MS);
}

/// Guards against a balancer that starts and takes a copy of the store which is some seconds old for
/// its newest configuration.
#[test]
fn old_copy_at_start_proves_nothing() {
    let now = Instant::now();
    let mut s = FlowSteering::new(balancer(), ZONE.into(), Duration::from_secs(60));
    s.apply_routes(routes(1));
    s.set_routes_complete(true);
    let out = receive_packet(&mut s, packet_of_new_route(1), now);
    assert!(out.resets.is_empty(), "{out:?}");
    assert!(tick(&mut s, now + 20 * MS).resets.is_empty());
}
