//! Invalid reports, registrations and configurations: missing fields, wrong types,
//! unknown values, random bytes. Only the invalid value is ignored; nothing panics.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::edge::{AGENT_PREFIX, SnapshotReader};
use jujubepost::platform::instances::{self, InstanceCall};
use jujubepost::platform::{config, packet};
use jujubepost::protocol;
use jujubepost::relay::{self, parts};
use jujubepost::store::{Kv, Snapshot};
use jujubepost::tracker::{FlowTracker, TargetState};
use proptest::prelude::*;
use serde_json::{Value, json};

/// A valid report of the target.
fn valid_report() -> Value {
    json!({
        "service": SERVICE, "address": "10.1.0.1:8165", "zone": ZONE, "version": "v1",
        "capacity": 5, "state": "draining", "warmup_left_ms": 0, "seq": 7, "born": 1_000,
    })
}

/// JSON values with shallow nesting.
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

/// Whether a report has all fields, of the right type, and names the target's
/// service and address.
fn is_valid(r: &Value) -> bool {
    let same = |f: &str| r.get(f) == valid_report().get(f);
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

/// A valid report with one field removed or replaced.
fn altered_report() -> impl Strategy<Value = Value> {
    (prop::sample::select(&FIELDS[..]), prop::option::of(any_json())).prop_map(|(field, value)| {
        let mut r = valid_report();
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

fn registration(n: u8) -> Kv {
    let value = serde_json::to_vec(&listed_agent(n)).unwrap();
    Kv {
        key: format!("{AGENT_PREFIX}{}", agent(n).ip()).into(),
        value,
        rev: i64::from(n),
        lease: 1,
        created: 0,
    }
}

fn snapshot(kvs: impl IntoIterator<Item = Kv>) -> Snapshot {
    let keys = kvs.into_iter().map(|kv| (kv.key.clone(), kv)).collect();
    Snapshot { keys, ..Snapshot::default() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// An invalid report does not change the target's state.
    #[test]
    fn invalid_report_ignored(r in altered_report()) {
        let now = Instant::now();
        let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
        let report_with = |state: &str, seq: u64| {
            let mut r = valid_report();
            r["state"] = state.into();
            r["seq"] = seq.into();
            serde_json::to_vec(&r).unwrap()
        };
        let apply = |tracker: &mut FlowTracker, body: &[u8]| {
            if let Ok(Some(InstanceCall::Heartbeat(r))) = decode(body) {
                tracker.handle_report(r, now);
            }
        };
        apply(&mut tracker, &report_with("ready", 3));
        apply(&mut tracker, &serde_json::to_vec(&r).unwrap());
        let state = tracker.target().unwrap().state();
        prop_assert!(is_valid(&r) || state == TargetState::Ready, "accepted: {r}");
    }

    /// An invalid registration does not hide the valid ones.
    #[test]
    fn invalid_registration_ignored(value in prop_oneof![
        prop::collection::vec(any::<u8>(), 0..64),
        any_json().prop_map(|v| serde_json::to_vec(&v).unwrap()),
    ], name in "[a-z0-9./]{0,16}") {
        let mut s = steering(0, Instant::now());
        let mut reader = SnapshotReader::default();
        let key = format!("{AGENT_PREFIX}{name}").into();
        let invalid_agent = Kv { key, value: value.clone(), rev: 9, lease: 0, created: 0 };
        let invalid_index = Kv { key: Arc::from(relay::INDEX_KEY), value, rev: 10, lease: 0, created: 0 };
        let kvs = [invalid_agent, invalid_index, registration(1), registration(2)];
        reader.apply_snapshot(&mut s, &snapshot(kvs));
        prop_assert_eq!(s.roster.agents_of(SERVICE).count(), 2);
        prop_assert_eq!(s.config_version(), Some(1));
    }

    /// An invalid configuration leaves the last one in force.
    #[test]
    fn invalid_config_ignored(value in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut s = steering(1, Instant::now());
        let mut reader = SnapshotReader::default();
        let kv = Kv { key: config::CONFIG_KEY.into(), value, rev: 3, lease: 0, created: 0 };
        reader.apply_snapshot(&mut s, &snapshot([kv, registration(1)]));
        prop_assert_eq!(s.config_version(), Some(1));
    }

    #[test]
    fn random_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = protocol::decode(&bytes);
        let _ = packet::decode(&bytes);
        let _ = config::decode(&bytes);
        let _ = parts::decode(&bytes);
        let _ = decode(&bytes);
        let _ = instances::decode("/v1/Instances.Deregister/i", &bytes, agent(1));
    }
}

/// A registration must name the VM of its key.
#[test]
fn registration_of_other_vm_ignored() {
    let mut s = steering(0, Instant::now());
    let mut mismatched = registration(1);
    mismatched.value = registration(2).value;
    SnapshotReader::default().apply_snapshot(&mut s, &snapshot([mismatched, registration(3)]));
    assert_eq!(s.roster.agents_of(SERVICE).collect::<Vec<_>>(), [agent(3)]);
}
