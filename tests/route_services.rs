//! Flows of a route whose services or weights have changed since they opened.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::protocol::{Answer, FlowStatus};
use jujubepost::steering::{FlowSteering, ListedAgent, Routes, WeightedService};

const MS: Duration = Duration::from_millis(1);

const OTHER_SERVICE: &str = "fieldlog";

/// A route that the two services share by `weights`.
fn shared_route(version: u64, weights: [u32; 2]) -> Routes {
    let mut r = routes(version);
    for route in r.by_address.values_mut() {
        let services = [SERVICE, OTHER_SERVICE].into_iter().zip(weights);
        let weighted = services.map(|(service, weight)| WeightedService {
            service: service.into(),
            weight,
            max_flows: 2_000,
        });
        route.services = weighted.collect();
    }
    r
}

/// A balancer that knows agents 1 to 4 of the first service and 11 to 14 of the other.
fn shared_steering(version: u64, weights: [u32; 2], now: Instant) -> FlowSteering {
    let mut s = FlowSteering::new(balancer(), Arc::from(ZONE), Duration::from_secs(60));
    s.set_store_reachable(true, now - Duration::from_secs(60));
    s.apply_routes(shared_route(version, weights));
    let other = |n| ListedAgent { service: OTHER_SERVICE.into(), ..listed_agent(n) };
    let listed: Vec<_> = (1..=4).map(listed_agent).chain((11..=14).map(other)).collect();
    s.roster.update(&listed, now);
    s
}

/// Sends a packet of flow `port`, and answers the queries as if `owner`, if any, held it. Returns
/// all that the balancer sent, and to how many agents it sent queries.
fn search(s: &mut FlowSteering, port: u16, owner: Option<SocketAddrV4>, now: Instant) -> Recorder {
    let mut all = Recorder::default();
    s.handle_packet(&caller_data(port, 1_001, 5_001, 100), b"data", now, &mut all);
    let mut answered = 0;
    for n in 1..20 {
        s.tick(now + n * MS, &mut all);
        let queried = all.queried();
        for agent in &queried[answered..] {
            let held = Some(*agent) == owner;
            let status = if held { FlowStatus::Held } else { FlowStatus::Unknown };
            let answer = Answer { flow: flow(port), status, hint: None };
            s.handle_answers(*agent, &[answer], 0, now + n * MS, &mut all);
        }
        answered = queried.len();
    }
    all
}

/// Guards against the reset of open flows once the weights of their route have changed and their
/// packets reach a balancer that did not see them open.
#[test]
fn flows_survive_change_of_weights() {
    let now = Instant::now();
    for weights in [[10, 90], [0, 90], [90, 0], [0, 0]] {
        for owner in [agent(1), agent(4), agent(11), agent(14)] {
            for port in 1..12 {
                let mut s = shared_steering(2, weights, now);
                let out = search(&mut s, port, Some(owner), now);
                assert!(out.resets.is_empty(), "{weights:?}, flow {port} of {owner}");
                let forwarded = out
                    .messages
                    .iter()
                    .filter(|(to, m, _)| *to == owner && matches!(m, SentMessage::Forward { .. }));
                assert_eq!(forwarded.count(), 1, "{weights:?}, flow {port} of {owner}");
            }
        }
    }
}

/// Guards against callers that wait for a flow which no target of any service holds.
#[test]
fn lost_flow_of_shared_route_is_reset() {
    let now = Instant::now();
    let mut s = shared_steering(2, [10, 90], now);
    let out = search(&mut s, 1, None, now);
    assert_eq!((out.resets.len(), out.queried().len()), (1, 8));
}

/// Guards against searches that cost more than they must: a flow is most likely at the agent that
/// is first asked now, or was before the weights changed.
#[test]
fn likeliest_of_each_service_first() {
    let now = Instant::now();
    for port in 1..20 {
        let mut s = shared_steering(2, [10, 90], now);
        let first = search(&mut s, port, None, now).queried()[0];
        let mut s = shared_steering(2, [10, 90], now);
        assert_eq!(search(&mut s, port, Some(first), now).queried().len(), 1);
        // The home of the other service is in the next wave, which has three queries.
        let others = if s.roster.service_of(first).is_some_and(|x| &**x == SERVICE) {
            OTHER_SERVICE
        } else {
            SERVICE
        };
        let home = s.roster.home_agent(others, ZONE, flow(port)).unwrap();
        let mut s = shared_steering(2, [10, 90], now);
        assert!(search(&mut s, port, Some(home), now).queried().len() <= 4);
    }
}

/// Guards against an owner that is told the wrong service, and refuses the packets.
#[test]
fn owner_is_told_its_own_service() {
    let now = Instant::now();
    let mut s = shared_steering(2, [100, 0], now);
    let out = search(&mut s, 1, Some(agent(11)), now);
    let services: Vec<_> = out
        .messages
        .iter()
        .filter_map(|(to, m, _)| match m {
            SentMessage::Forward { service, .. } => Some((*to, service.clone())),
            _ => None,
        })
        .collect();
    assert_eq!(services, [(agent(11), OTHER_SERVICE.to_string())]);
    let mut later = Recorder::default();
    s.handle_packet(&caller_data(1, 1_101, 5_001, 100), b"data", now + 30 * MS, &mut later);
    let [(to, SentMessage::Forward { service, .. }, _)] = &later.messages[..] else {
        panic!("{later:?}")
    };
    assert_eq!((*to, &**service), (agent(11), OTHER_SERVICE));
}
