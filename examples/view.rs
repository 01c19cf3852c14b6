//! Measures the cost of a balancer's view as targets and profiles grow: the time of the
//! first build and of an update after one change, and the memory of the view and the
//! snapshot of the store's keys. One process, no network.
//!
//! Run: `cargo run --release --example view`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::balancer::{TargetRegistry, ViewBuilder};
use jujubepost::record;
use jujubepost::settings::{Policy, ProfileSettings, Service};
use jujubepost::store::mirror::KeyMap;
use jujubepost::store::{KeyLayout, Kv};

/// Numbers of targets.
const TARGET_COUNTS: [u32; 5] = [250, 1_000, 4_000, 12_000, 23_000];
const TARGETS_PER_PROFILE: u32 = 10;

/// Updates over which the time of one is averaged.
const UPDATES: u32 = 10;

const SERVICES: [Service; 4] =
    [Service::Meter, Service::Fieldlog, Service::Calculadora, Service::Validador];

fn insert(snapshot: &mut KeyMap, key: String, value: Vec<u8>) {
    let key: Arc<str> = key.into();
    snapshot.insert(key.clone(), Kv { key, value, rev: 1, lease: 0, created: 0 });
}

fn service(i: u32) -> Service {
    SERVICES[i as usize % SERVICES.len()]
}

/// Keys of a store with `targets` targets and their profiles.
fn store_keys(keys: &KeyLayout, targets: u32) -> KeyMap {
    let mut snapshot = BTreeMap::new();
    for i in 0..targets {
        let target = record::Target {
            name: format!("t-{i}").into(),
            zone: "gjw-a".into(),
            service: service(i),
            agent: SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7_500)),
            stopping: false,
        };
        insert(&mut snapshot, keys.target(&target.name), serde_json::to_vec(&target).unwrap());
    }
    for i in 0..targets / TARGETS_PER_PROFILE {
        let name = format!("p-{i}");
        let spec = ProfileSettings {
            name: name.clone().into(),
            service: service(i),
            listen: SocketAddr::from(([10, 255, 0, 1], 1_000 + i as u16)),
            idempotent: false,
            max_flows: 2_000,
            policy: Policy::LeastLoaded,
        };
        let value = serde_json::to_vec(&record::Profile { spec, write_id: 1 }).unwrap();
        insert(&mut snapshot, keys.profile(&name), value);
    }
    snapshot
}

fn rss_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let keys = KeyLayout::new("/jujubepost".into());
    println!("targets profiles first_ms change_ms copy_and_view_KiB");
    for targets in TARGET_COUNTS {
        let before = rss_kib();
        let mut snapshot = store_keys(&keys, targets);
        let registry = TargetRegistry::new(Duration::from_secs(6), Duration::from_secs(300));
        let mut builder = ViewBuilder::new(keys.clone(), registry);
        let start = Instant::now();
        let view = builder.build(&snapshot, start);
        let first_ms = start.elapsed().as_secs_f64() * 1_000.0;
        let memory_kib = rss_kib().saturating_sub(before);
        // Alternately removes a target and changes a profile.
        let mut removed = Vec::new();
        let mut update_time = Duration::ZERO;
        for i in 0..UPDATES {
            if i % 2 == 0 {
                removed.extend(snapshot.remove(&*keys.target(&format!("t-{i}"))));
            } else if let Some(kv) = snapshot.get_mut(&*keys.profile(&format!("p-{i}"))) {
                kv.rev += 1;
            }
            let start = Instant::now();
            let _ = builder.build(&snapshot, start);
            update_time += start.elapsed();
        }
        let update_ms = update_time.as_secs_f64() * 1_000.0 / f64::from(UPDATES);
        let profiles = view.routes.len();
        println!("{targets} {profiles} {first_ms:.1} {update_ms:.1} {memory_kib}");
    }
}
