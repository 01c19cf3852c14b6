//! Reports and entries of another writer: fields missing or of another type,
//! unknown words, bytes that cannot be read. Each is dropped by itself; the
//! others hold, nothing panics and nothing is emptied.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::wires::*;
use jujubepost::bus;
use jujubepost::edge::{AGENTS, Reader};
use jujubepost::hold::{Holder, State};
use jujubepost::platform::instances::{self, InstanceCall};
use jujubepost::platform::{config, packet};
use jujubepost::relay::{self, parts};
use jujubepost::store::{Kv, Snapshot};
use proptest::prelude::*;
use serde_json::{Value, json};

/// A report as a target makes it.
fn good() -> Value {
    json!({
        "service": SERVICE, "address": "10.1.0.1:8165", "zone": ZONE, "version": "v1",
        "capacity": 5, "state": "draining", "warmup_left_ms": 0, "seq": 7, "born": 1_000,
    })
}

/// Any JSON value that is not nested deeply.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(|x| json!(x)),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 8, 4, |inner| prop::collection::vec(inner, 0..4).prop_map(Value::from))
}

const FIELDS: [&str; 9] =
    ["service", "address", "zone", "version", "capacity", "state", "warmup_left_ms", "seq", "born"];

/// Whether a report is of the target itself: all fields are there, of the right
/// type, and name its service and address.
fn whole(r: &Value) -> bool {
    let same = |f: &str| r.get(f) == good().get(f);
    let number = |f: &str, most: u64| r.get(f).and_then(Value::as_u64).is_some_and(|n| n <= most);
    let text = |f: &str| r.get(f).is_some_and(Value::is_string);
    let numbers = number("capacity", u32::MAX.into()) && number("warmup_left_ms", u64::MAX);
    same("service")
        && same("address")
        && same("state")
        && text("zone")
        && text("version")
        && numbers
        && number("seq", u64::MAX)
        && number("born", u64::MAX)
}

/// A good report with one field taken out or replaced.
fn spoilt() -> impl Strategy<Value = Value> {
    (prop::sample::select(&FIELDS[..]), prop::option::of(any_json())).prop_map(|(field, value)| {
        let mut r = good();
        match value {
            Some(v) => r[field] = v,
            None => drop(r.as_object_mut().unwrap().remove(field)),
        }
        r
    })
}

fn decode(body: &[u8]) -> anyhow::Result<Option<InstanceCall>> {
    instances::decode("/v1/Instances.Heartbeat/i", body, "10.1.0.1:8165".parse().unwrap())
}

fn entry(n: u8) -> Kv {
    let value = serde_json::to_vec(&announced(n)).unwrap();
    Kv { key: format!("{AGENTS}{}", agent(n).ip()).into(), value, rev: i64::from(n), lease: 1 }
}

fn snapshot(kvs: impl IntoIterator<Item = Kv>) -> Snapshot {
    let keys = kvs.into_iter().map(|kv| (kv.key.clone(), kv)).collect();
    Snapshot { keys, ..Snapshot::default() }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// The target goes on as its own reports left it, unless the report of the
    /// other writer is a whole and later one.
    #[test]
    fn report_dropped(r in spoilt()) {
        let now = Instant::now();
        let mut h = Holder::new(SERVICE.into(), Duration::from_secs(60));
        let body = |state: &str, seq: u64| {
            let mut r = good();
            r["state"] = state.into();
            r["seq"] = seq.into();
            serde_json::to_vec(&r).unwrap()
        };
        let hear = |h: &mut Holder, body: &[u8]| {
            if let Ok(Some(InstanceCall::Heartbeat(r))) = decode(body) {
                h.report(r, now);
            }
        };
        hear(&mut h, &body("ready", 3));
        hear(&mut h, &serde_json::to_vec(&r).unwrap());
        let state = h.target().unwrap().state();
        prop_assert!(whole(&r) || state == State::Ready, "taken: {r}");
    }

    /// One entry that cannot be read, or is another writer's, hides no other.
    #[test]
    fn entry_dropped(value in prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        any_json().prop_map(|v| serde_json::to_vec(&v).unwrap()),
    ], name in "[a-z0-9./]{0,16}") {
        let mut s = steer(0, Instant::now());
        let mut reader = Reader::default();
        let foreign = Kv { key: format!("{AGENTS}{name}").into(), value: value.clone(), rev: 9, lease: 0 };
        let bad: Kv = Kv { key: Arc::from(relay::INDEX), value, rev: 10, lease: 0 };
        reader.apply_snapshot(&mut s, &snapshot([foreign, bad, entry(1), entry(2)]));
        prop_assert_eq!(s.roster.of(SERVICE).count(), 2);
        prop_assert_eq!(s.version(), Some(1));
    }

    /// A configuration that cannot be read leaves the last one in force.
    #[test]
    fn config_kept(value in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut s = steer(1, Instant::now());
        let mut reader = Reader::default();
        let kv = Kv { key: config::CONFIG_KEY.into(), value, rev: 3, lease: 0 };
        reader.apply_snapshot(&mut s, &snapshot([kv, entry(1)]));
        prop_assert_eq!(s.version(), Some(1));
    }

    /// No bytes end a process.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = bus::decode(&bytes);
        let _ = packet::decode(&bytes);
        let _ = config::decode(&bytes);
        let _ = parts::decode(&bytes);
        let _ = decode(&bytes);
        let _ = instances::decode("/v1/Instances.Deregister/i", &bytes, agent(1));
    }
}

/// An entry that names another VM than its key is another writer's.
#[test]
fn entry_of_other() {
    let mut s = steer(0, Instant::now());
    let mut lie = entry(1);
    lie.value = entry(2).value;
    Reader::default().apply_snapshot(&mut s, &snapshot([lie, entry(3)]));
    assert_eq!(s.roster.of(SERVICE).collect::<Vec<_>>(), [agent(3)]);
}
