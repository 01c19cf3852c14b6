//! Evacuation of a data centre: its targets get no new flows and keep the open ones,
//! whatever else happens to balancers, the store and the relay meanwhile.

mod common;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::bench::{self, Load};
use jujubepost::ctl::{self, fleet};
use jujubepost::edge::SnapshotReader;
use jujubepost::metrics::{self, Refusal};
use jujubepost::platform::config;
use jujubepost::protocol::{FlowStatus, FlowUpdate, ForwardMode};
use jujubepost::relay::{self, Relay, SYSTEM_PREFIX};
use jujubepost::steering::{EvacuationList, FlowSteering, ListedAgent};
use jujubepost::store::{Change, Kv, Snapshot, revision};

const MS: Duration = Duration::from_millis(1);
const OTHER_ZONE: &str = "gjw-b";

/// The balancer's own zone has agents 1 and 2, the other one agents 3 and 4.
fn two_zones(now: Instant) -> FlowSteering {
    let mut s = steering(0, now);
    let listed: Vec<ListedAgent> = (1..=4)
        .map(|n| ListedAgent {
            zone: if n <= 2 { ZONE } else { OTHER_ZONE }.into(),
            ..listed_agent(n)
        })
        .collect();
    s.roster.update(&listed, now);
    s
}

fn list(as_of: i64, zones: &[(&str, i64)]) -> EvacuationList {
    let zones = zones.iter().map(|(zone, rev)| (Arc::from(*zone), *rev));
    EvacuationList { as_of, zones: zones.collect() }
}

fn evacuate(s: &mut FlowSteering, as_of: i64, zones: &[(&str, i64)], now: Instant) {
    s.apply_evacuations(list(as_of, zones), now);
}

fn receive(s: &mut FlowSteering, port: u16, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.handle_packet(&syn(port), b"packet", now, &mut out);
    out
}

/// Zones of the agents that a flow is offered to, those that do not answer included.
fn offered_to(s: &mut FlowSteering, port: u16, now: Instant) -> Vec<u8> {
    let mut agents: Vec<u8> = Vec::new();
    let mut out = receive(s, port, now);
    for step in 1..30 {
        for (_, message, _) in &out.messages {
            if let SentMessage::Open { offer, .. } = message {
                agents.extend(
                    [Some(offer.first), offer.second]
                        .into_iter()
                        .flatten()
                        .map(|a| a.ip().octets()[3]),
                );
            }
        }
        out = Recorder::default();
        s.tick(now + 50 * MS * step, &mut out);
    }
    agents.sort_unstable();
    agents.dedup();
    agents
}

/// Guards against falling back to agents of an evacuated zone when no other accepts.
#[test]
fn offered_to_no_evacuated_agent() {
    let now = Instant::now();
    let mut s = two_zones(now);
    assert_eq!(offered_to(&mut s, 1, now), [1, 2, 3, 4]);
    let mut s = two_zones(now);
    evacuate(&mut s, 10, &[(ZONE, 9)], now);
    assert_eq!(offered_to(&mut s, 1, now), [3, 4]);
}

/// Guards against a retransmitted SYN that goes to the evacuated agent again.
#[test]
fn retransmitted_open_goes_elsewhere() {
    let now = Instant::now();
    for accepted in [false, true] {
        let mut s = two_zones(now);
        let first = receive(&mut s, 1, now).offered()[0];
        assert!([agent(1), agent(2)].contains(&first), "one of its own zone: {first}");
        if accepted {
            let update = FlowUpdate { flow: flow(1), status: FlowStatus::Held, load: 0 };
            s.handle_flow_update(first, update, now, &mut Recorder::default());
        }
        evacuate(&mut s, 10, &[(ZONE, 9)], now);
        let again = receive(&mut s, 1, now + 200 * MS).offered();
        assert!([agent(3), agent(4)].contains(&again[0]), "accepted {accepted}: {again:?}");
    }
}

#[test]
fn open_flow_stays() {
    let now = Instant::now();
    let mut s = two_zones(now);
    let first = receive(&mut s, 1, now).offered()[0];
    let update = FlowUpdate { flow: flow(1), status: FlowStatus::Held, load: 0 };
    s.handle_flow_update(first, update, now, &mut Recorder::default());
    evacuate(&mut s, 10, &[(ZONE, 9), (OTHER_ZONE, 9)], now);
    let mut out = Recorder::default();
    s.handle_packet(&caller_data(1, 1_001, 1, 10), b"packet", now, &mut out);
    assert_eq!(out.forwarded(ForwardMode::Owner), [first]);
    // A balancer that does not know the flow searches for it in evacuated zones too.
    let mut s = two_zones(now);
    evacuate(&mut s, 10, &[(ZONE, 9), (OTHER_ZONE, 9)], now);
    let mut out = Recorder::default();
    s.handle_packet(&caller_data(1, 1_001, 1, 10), b"packet", now, &mut out);
    s.tick(now, &mut out);
    assert_eq!(out.queried().len(), 1);
}

#[test]
fn refused_at_once_without_candidates() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, 10, &[(ZONE, 9), (OTHER_ZONE, 9)], now);
    let evacuated = || {
        let counters = metrics::counter_values();
        let reason = Refusal::Evacuated.to_string();
        counters.iter().filter(|c| c.reason == reason).map(|c| c.value).sum::<u64>()
    };
    let before = evacuated();
    let out = receive(&mut s, 1, now);
    assert_eq!((out.resets.len(), out.messages.len()), (1, 0));
    assert_eq!(evacuated(), before + 1);
}

#[test]
fn over_once_taken_back() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, 10, &[(ZONE, 9)], now);
    evacuate(&mut s, 20, &[], now);
    assert_eq!(offered_to(&mut s, 1, now), [1, 2, 3, 4]);
}

/// Guards against an older list, of a peer or of a listing read in pages, that brings an
/// evacuation back or ends one.
#[test]
fn older_list_ignored() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, 10, &[(ZONE, 9)], now);
    evacuate(&mut s, 8, &[], now);
    assert_eq!(offered_to(&mut s, 1, now), [3, 4]);
    evacuate(&mut s, 20, &[], now);
    evacuate(&mut s, 15, &[(ZONE, 9)], now);
    evacuate(&mut s, 21, &[(ZONE, 9)], now);
    assert_eq!(offered_to(&mut s, 2, now), [1, 2, 3, 4], "the order that ended");
    evacuate(&mut s, 30, &[(ZONE, 29)], now);
    assert_eq!(offered_to(&mut s, 3, now), [3, 4], "a new order");
}

fn put(snapshot: &mut Snapshot, key: &str, value: &[u8]) {
    let rev = snapshot.rev + 1;
    let kv = Kv { key: key.into(), value: value.to_vec(), rev, lease: 0, created: 0 };
    snapshot.apply(rev, vec![Change::Put(kv)]);
}

fn order_key(zone: &str) -> String {
    format!("{}{zone}", config::EVACUATION_PREFIX)
}

/// The relay of the balancer at 10.1.0.`n`, for configurations of 100 bytes or more.
fn relay_at(n: u8) -> Relay {
    Relay::new(config::CONFIG_KEY, ZONE, Ipv4Addr::new(10, 1, 0, n), 100)
}

/// Publishes what is in force at `s`; returns the number of keys written.
fn publish(snapshot: &mut Snapshot, relay: &Relay, s: &FlowSteering) -> usize {
    let list = s.roster.evacuations.list();
    let transaction =
        relay.pending_transaction(snapshot, s.routes().unwrap(), list).unwrap().unwrap_or_default();
    let n = transaction.puts.len();
    transaction.puts.iter().for_each(|(key, value)| put(snapshot, key, value));
    n
}

/// What a balancer that watches only the parts holds after the changes in `full`.
fn narrowed(before: &Snapshot, full: &Snapshot) -> Snapshot {
    let parts = full.keys.iter().filter(|(key, _)| key.starts_with(SYSTEM_PREFIX));
    let mut narrow = before.clone();
    narrow.apply(full.rev, parts.map(|(_, kv)| Change::Put(kv.clone())).collect());
    narrow
}

/// Guards against balancers that watch only the parts and see neither the beginning nor
/// the end of an evacuation.
#[test]
fn parts_carry_evacuations() {
    let now = Instant::now();
    let zones = |s: &FlowSteering| s.roster.evacuations.list().zones.len();
    let mut full = Snapshot::default();
    put(&mut full, config::CONFIG_KEY, &[b' '; 1_000]);
    put(&mut full, relay_at(1).key(), b"");
    full.complete_rev = full.rev;
    let (mut s, mut follower) = (two_zones(now), two_zones(now));
    let (mut reader, mut follower_reader) = (SnapshotReader::default(), SnapshotReader::default());
    reader.apply_snapshot(&mut s, &full);
    publish(&mut full, &relay_at(1), &s);
    follower_reader.apply_snapshot(&mut follower, &full);
    let before = full.clone();

    put(&mut full, &order_key(ZONE), b"{}");
    full.complete_rev = full.rev;
    reader.apply_snapshot(&mut s, &full);
    assert_eq!(zones(&s), 1);
    let list = s.roster.evacuations.list().clone();
    assert_eq!(
        relay_at(2).narrow_prefix(&full, s.config_version(), &list),
        None,
        "not published yet"
    );
    assert_eq!(publish(&mut full, &relay_at(1), &s), 1, "the index alone");
    assert_eq!(publish(&mut full, &relay_at(1), &s), 0, "written once");
    assert_eq!(relay_at(2).narrow_prefix(&full, s.config_version(), &list), Some(SYSTEM_PREFIX));
    let evacuated = narrowed(&before, &full);
    follower_reader.apply_snapshot(&mut follower, &evacuated);
    assert_eq!(zones(&follower), 1);

    // A balancer that narrowed its watch during the evacuation keeps the order's key.
    let (mut late, mut late_reader) = (two_zones(now), SnapshotReader::default());
    late_reader.apply_snapshot(&mut late, &full);
    let stale = full.clone();
    let delete = Change::Delete { key: order_key(ZONE).into(), rev: full.rev + 1 };
    full.apply(full.rev + 1, vec![delete]);
    full.complete_rev = full.rev;
    reader.apply_snapshot(&mut s, &full);
    assert_eq!(publish(&mut full, &relay_at(1), &s), 1);
    follower_reader.apply_snapshot(&mut follower, &narrowed(&evacuated, &full));
    late_reader.apply_snapshot(&mut late, &narrowed(&stale, &full));
    assert_eq!([zones(&s), zones(&follower), zones(&late)], [0, 0, 0]);

    // A balancer that starts while the store is down takes its snapshot.
    let (mut started, mut started_reader) = (two_zones(now), SnapshotReader::default());
    started_reader.apply_snapshot(&mut started, &narrowed(&stale, &full));
    assert_eq!(zones(&started), 0);
}

/// Guards against following only the parts of a relay that does not publish evacuations.
#[test]
fn index_without_evacuations_not_followed() {
    let mut snapshot = Snapshot::default();
    put(&mut snapshot, config::CONFIG_KEY, &[b' '; 1_000]);
    put(&mut snapshot, relay_at(1).key(), b"");
    let (index, _) = relay::parts::split(&routes(7)).unwrap();
    let mut index = serde_json::to_value(index).unwrap();
    index.as_object_mut().unwrap().remove("evacuations");
    put(&mut snapshot, relay::INDEX_KEY, index.to_string().as_bytes());
    let none = EvacuationList::default();
    assert_eq!(relay_at(2).narrow_prefix(&snapshot, Some(7), &none), None);
}

/// On the product's own interface, operators evacuate a data centre by name.
#[ntex::test]
async fn evacuated_data_centre_of_own_interface() {
    let site = common::start_site("evacuate", 30_000, 2, 3, 0).await;
    let s = site.settings.clone();
    let zone = s.targets[0].zone.clone();
    let in_zone: Vec<_> = s.targets.iter().filter(|t| t.zone == zone).collect();
    assert!(in_zone.len() < s.targets.len());
    let feeds = Load { feeds: 9, requests: 1, secs: 6, ..Load::default() };
    let load_settings = s.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&load_settings, &feeds).await });
    tokio::time::sleep(1_000 * MS).await;
    ctl::evacuate_zone(&s, &zone).await.unwrap();
    fleet::wait_in_force(&s, 5_000 * MS).await.unwrap();
    let requests = Load { feeds: 0, requests: 60, secs: 1, ..Load::default() };
    let reports = bench::measure(&s, &requests).await;
    let meter = reports.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!(meter.ok, 60, "{meter:?}");
    for target in &in_zone {
        assert_eq!(meter.served.get(&*target.name), None, "{meter:?}");
    }
    let reports = run.await.unwrap();
    let meter = reports.iter().find(|r| r.profile == "meter").unwrap();
    assert_eq!((meter.broken, meter.feeds), (0, 9), "{meter:?}");
    ctl::restore_zone(&s, &zone).await.unwrap();
    fleet::wait_in_force(&s, 5_000 * MS).await.unwrap();
    let reports = bench::measure(&s, &requests).await;
    let meter = reports.iter().find(|r| r.profile == "meter").unwrap();
    assert!(in_zone.iter().any(|t| meter.served.contains_key(&*t.name)), "{meter:?}");
    assert!(ctl::evacuate_zone(&s, "nowhere").await.is_err());
}

/// The revision of change `n` after the store was restored `era` times.
fn rev(era: u32, n: i64) -> i64 {
    revision::compose(era, n).unwrap()
}

/// Guards against new flows at an evacuated data centre whose order the store has lost in a
/// restore, until operators have written it again. Then the store's word counts at once.
#[test]
fn lost_order_stays_until_rewritten() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, rev(1, 20), &[(ZONE, rev(1, 18))], now);
    evacuate(&mut s, rev(2, 15), &[], now + 100 * MS);
    assert_eq!(offered_to(&mut s, 1, now + 200 * MS), [3, 4]);
    let now = now + 3_000 * MS;
    evacuate(&mut s, rev(2, 16), &[(ZONE, rev(2, 16))], now);
    assert_eq!(offered_to(&mut s, 2, now), [3, 4]);
    let now = now + 2_000 * MS;
    evacuate(&mut s, rev(2, 17), &[], now);
    assert_eq!(offered_to(&mut s, 3, now), [1, 2, 3, 4], "operators ended it");
}

/// An order that operators do not write again ends after a while, without any change of the store.
#[test]
fn lost_order_ends_if_not_rewritten() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, rev(1, 20), &[(ZONE, rev(1, 18))], now);
    evacuate(&mut s, rev(2, 15), &[], now + 100 * MS);
    evacuate(&mut s, rev(2, 16), &[], now + 200 * MS);
    assert_eq!(offered_to(&mut s, 1, now + 300 * MS), [3, 4], "other keys changed");
    // Restored once more meanwhile.
    evacuate(&mut s, rev(3, 15), &[], now + 1_000 * MS);
    assert_eq!(offered_to(&mut s, 2, now + 2_000 * MS), [3, 4]);
    let now = now + 10_000 * MS;
    s.tick(now, &mut Recorder::default());
    assert_eq!(offered_to(&mut s, 3, now), [1, 2, 3, 4]);
}

/// An order that operators had ended, and that the restored copy still holds, is in force until
/// they end it again: a balancer that starts then cannot tell it from a new one.
#[test]
fn restored_order_applies() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, rev(1, 18), &[(ZONE, rev(1, 18))], now);
    evacuate(&mut s, rev(1, 20), &[], now + 100 * MS);
    evacuate(&mut s, rev(2, 19), &[(ZONE, rev(2, 18))], now + 200 * MS);
    assert_eq!(offered_to(&mut s, 1, now + 300 * MS), [3, 4]);
    evacuate(&mut s, rev(2, 20), &[], now + 400 * MS);
    assert_eq!(offered_to(&mut s, 2, now + 500 * MS), [1, 2, 3, 4]);
}

/// Guards against an index that a relay published before a restore, whose list of evacuations
/// counts more revisions than the restored store.
#[test]
fn index_of_earlier_era_ignored() {
    let now = Instant::now();
    let mut s = two_zones(now);
    evacuate(&mut s, rev(2, 15), &[], now);
    evacuate(&mut s, rev(1, 40), &[(ZONE, rev(1, 39))], now);
    assert_eq!(offered_to(&mut s, 1, now), [1, 2, 3, 4]);
}
