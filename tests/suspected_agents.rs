//! Suspected agents: the rate of pings to them and their removal.

mod common;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::policy::BalancerPolicy;
use jujubepost::steering::{FlowSteering, ListedAgent};

const MS: Duration = Duration::from_millis(1);

/// `agents` listed agents, ten for each service.
fn listed_agents(agents: u16) -> Vec<ListedAgent> {
    let one = |n: u16| {
        let [high, low] = n.to_be_bytes();
        let addr = SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_720);
        ListedAgent { addr, service: format!("s{}", n / 10).into(), ..listed_agent(1) }
    };
    (0..agents).map(one).collect()
}

fn tick_and_collect_pings(s: &mut FlowSteering, now: Instant) -> Vec<SocketAddrV4> {
    let mut out = Recorder::default();
    s.tick(now, &mut out);
    out.messages
        .into_iter()
        .filter(|(_, m, _)| matches!(m, SentMessage::Ping { .. }))
        .map(|p| p.0)
        .collect()
}

/// Guards against a flood of pings when all leases lapse at once: the rate is bounded,
/// every agent is pinged, and none that answers is removed.
#[test]
fn ping_rate_bounded_when_all_leases_lapse() {
    let now = Instant::now();
    let policy = BalancerPolicy::default().scaled_to_vm(1_000.0, 0.25);
    let rate = f64::from(policy.suspicion.ping_rate);
    let mut s = steering_with_policy(0, policy, now);
    let all = listed_agents(2_300);
    s.roster.update(&all, now);
    s.roster.update(&[], now);
    let mut ping_counts: HashMap<SocketAddrV4, u32> = HashMap::new();
    let secs = 10;
    for ms in (0..secs * 1_000).step_by(10) {
        let at = now + ms * MS;
        for addr in tick_and_collect_pings(&mut s, at) {
            *ping_counts.entry(addr).or_default() += 1;
            s.roster.handle_pong(addr, &format!("s{}", agent_number(addr) / 10), 0, at);
        }
    }
    let total: u32 = ping_counts.values().sum();
    assert!(f64::from(total) <= rate * f64::from(secs) * 1.1, "{total} pings in {secs} s");
    assert_eq!(ping_counts.len(), all.len(), "every agent is pinged");
    assert_eq!(s.roster.len(), all.len(), "no agent that answers is removed");
}

fn agent_number(addr: SocketAddrV4) -> u16 {
    let [_, _, high, low] = addr.ip().octets();
    u16::from_be_bytes([high, low])
}

/// Guards against removing an unlisted agent before it was pinged and had 3 s to answer.
#[test]
fn unlisted_agent_removed_only_after_ping() {
    let now = Instant::now();
    let mut s = steering_with_policy(0, BalancerPolicy::default().scaled_to_vm(4.0, 0.12), now);
    let all = listed_agents(2_000);
    s.roster.update(&all, now);
    s.roster.update(&[], now);
    let mut first_pings: HashMap<SocketAddrV4, Duration> = HashMap::new();
    for ms in (0..60_000).step_by(10) {
        let since = ms * MS;
        for addr in tick_and_collect_pings(&mut s, now + since) {
            first_pings.entry(addr).or_insert(since);
        }
        let left = s.roster.len();
        let due = first_pings.values().filter(|at| since >= **at + 3_000 * MS).count();
        assert!(left >= all.len() - due, "{left} left after {since:?}, {due} had 3 s to answer");
    }
    assert_eq!((first_pings.len(), s.roster.len()), (all.len(), 0));
}
