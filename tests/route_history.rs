//! The record of the services that each route has had.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::protocol::{Answer, FlowStatus};
use jujubepost::route_history::{RouteHistory, ShardWrite};
use jujubepost::steering::{FlowSteering, ListedAgent, Routes};
use jujubepost::store::{Kv, Snapshot};

const MS: Duration = Duration::from_millis(1);

const RETENTION: Duration = Duration::from_secs(60);

const OTHER_SERVICE: &str = "fieldlog";

/// A configuration whose route leads to `service`.
fn routes_to(version: u64, service: &str) -> Routes {
    let mut r = routes(version);
    for route in r.by_address.values_mut() {
        route.services[0].service = service.into();
    }
    r
}

/// A store that makes conditional writes.
#[derive(Default)]
struct Store {
    snapshot: Snapshot,
}

impl Store {
    /// Makes the writes whose condition holds; returns how many.
    fn write(&mut self, writes: Vec<ShardWrite>) -> usize {
        let mut count = 0;
        for ShardWrite { key, rev, value } in writes {
            if self.snapshot.keys.get(key.as_str()).map_or(0, |kv| kv.rev) == rev {
                self.snapshot.rev += 1;
                let (key, rev): (Arc<str>, _) = (key.into(), self.snapshot.rev);
                let kv = Kv { key: key.clone(), value, rev, lease: 0, created: rev };
                self.snapshot.keys.insert(key, kv);
                count += 1;
            }
        }
        count
    }
}

/// A balancer that starts with the configuration `routes` and what `store` has.
fn starting_balancer(routes: Routes, store: &Store, now: Instant) -> FlowSteering {
    let mut s = FlowSteering::new(balancer(), Arc::from(ZONE), RETENTION);
    s.set_store_reachable(true, now - Duration::from_secs(60));
    s.apply_routes(routes);
    s.apply_route_history(&store.snapshot);
    let other = ListedAgent { service: OTHER_SERVICE.into(), ..listed_agent(2) };
    s.roster.update(&[listed_agent(1), other], now);
    s
}

/// Sends a packet of flow 1 and answers each query as if `owner`, if any, held the flow.
fn search(s: &mut FlowSteering, owner: Option<SocketAddrV4>, now: Instant) -> Recorder {
    let mut all = Recorder::default();
    s.handle_packet(&caller_data(1, 1_001, 5_001, 100), b"data", now, &mut all);
    let mut answered = 0;
    for n in 1..10 {
        s.tick(now + n * MS, &mut all);
        let queried = all.queried();
        for agent in &queried[answered..] {
            let held = Some(*agent) == owner;
            let status = if held { FlowStatus::Held } else { FlowStatus::Unknown };
            let answer = Answer { flow: flow(1), status, hint: None };
            s.handle_answers(*agent, &[answer], 0, now + n * MS, &mut all);
        }
        answered = queried.len();
    }
    all
}

/// Guards against the reset of open flows once the service of their route was replaced and their
/// packets reach a balancer that started later.
#[test]
fn flows_survive_replaced_service() {
    let now = Instant::now();
    let mut store = Store::default();
    let mut before = starting_balancer(routes_to(1, SERVICE), &store, now);
    assert_eq!(store.write(before.pending_history(now)), 1);
    let mut s = starting_balancer(routes_to(2, OTHER_SERVICE), &store, now);
    let out = search(&mut s, Some(agent(1)), now);
    assert!(out.resets.is_empty(), "{out:?}");
    // A flow that no target holds is reset at once.
    let mut s = starting_balancer(routes_to(2, OTHER_SERVICE), &store, now);
    assert_eq!(search(&mut s, None, now).resets.len(), 1);
}

/// Guards against the reset of an open flow whose search ended before the balancer learnt that
/// its route has another service.
#[test]
fn service_learnt_during_search_is_asked() {
    let now = Instant::now();
    let mut s = starting_balancer(routes_to(1, OTHER_SERVICE), &Store::default(), now);
    let mut out = Recorder::default();
    s.handle_packet(&caller_data(1, 1_001, 5_001, 100), b"data", now, &mut out);
    s.tick(now, &mut out);
    assert_eq!(out.queried(), [agent(2)]);
    s.apply_routes(routes_to(2, SERVICE));
    let denied = Answer { flow: flow(1), status: FlowStatus::Unknown, hint: None };
    s.handle_answers(agent(2), &[denied], 0, now + MS, &mut out);
    for n in 1..=40 {
        s.tick(now + n * 10 * MS, &mut out);
    }
    assert!(out.resets.is_empty(), "{out:?}");
    assert!(out.queried().contains(&agent(1)), "{out:?}");
}

/// Guards against a load on the store that grows with balancers or with other changes: each pair is
/// written once, by whoever comes first.
#[test]
fn pair_is_recorded_once() {
    let now = Instant::now();
    let mut store = Store::default();
    let mut balancers: Vec<_> =
        (0..3).map(|_| starting_balancer(routes_to(1, SERVICE), &store, now)).collect();
    let pending: Vec<_> = balancers.iter_mut().map(|s| s.pending_history(now)).collect();
    assert_eq!(pending.into_iter().map(|w| store.write(w)).sum::<usize>(), 1);
    for s in &mut balancers {
        s.apply_route_history(&store.snapshot);
        assert!(s.pending_history(now).is_empty());
        s.apply_routes(routes_to(2, SERVICE));
        assert!(s.pending_history(now).is_empty(), "nothing new");
        s.apply_routes(routes_to(3, OTHER_SERVICE));
        assert_eq!(s.pending_history(now).len(), 1);
    }
}

/// Guards against a record that grows with each change, and against pairs that leave it while their
/// flows may live.
#[test]
fn ended_pairs_are_removed_later() {
    let now = Instant::now();
    let mut store = Store::default();
    let mut history = RouteHistory::new(RETENTION);
    let services =
        |h: &RouteHistory| h.services(vip()).iter().map(ToString::to_string).collect::<Vec<_>>();
    let mut record = |h: &mut RouteHistory, routes: Routes, at: Instant| {
        let writes = h.pending(&routes, at);
        store.write(writes);
        h.apply(&store.snapshot);
    };
    record(&mut history, routes_to(1, "a"), now);
    record(&mut history, routes_to(2, "b"), now + 10 * MS);
    assert_eq!(services(&history), ["a", "b"]);
    record(&mut history, routes_to(3, "c"), now + RETENTION);
    assert_eq!(services(&history), ["a", "b", "c"], "a has ended 59.99 s ago");
    record(&mut history, routes_to(4, "d"), now + RETENTION + 10 * MS);
    assert_eq!(services(&history), ["b", "c", "d"]);
    // A pair that came back is kept from then on.
    record(&mut history, routes_to(5, "b"), now + RETENTION + 20 * MS);
    record(&mut history, routes_to(6, "e"), now + RETENTION * 2);
    assert_eq!(services(&history), ["b", "c", "d", "e"]);
}

/// Guards against a record that stays unreadable.
#[test]
fn unreadable_shard_is_replaced() {
    let now = Instant::now();
    let mut store = Store::default();
    let mut history = RouteHistory::new(RETENTION);
    store.write(history.pending(&routes_to(1, SERVICE), now));
    let broken: BTreeMap<_, _> = store
        .snapshot
        .keys
        .iter()
        .map(|(key, kv)| (key.clone(), Kv { value: b"{".to_vec(), rev: 9, ..kv.clone() }))
        .collect();
    store.snapshot.keys = broken;
    assert!(history.apply(&store.snapshot));
    assert!(history.services(vip()).is_empty());
    let writes = history.pending(&routes_to(1, SERVICE), now);
    assert_eq!((writes.len(), writes[0].rev), (1, 9));
}
