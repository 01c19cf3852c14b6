//! Measures what a balancer's view costs as targets and profiles grow: the
//! time to build it at first and after one change, and the memory of the copy and the
//! view, in one process without a network.
//!
//! Run: `cargo run --release --example view`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::balancer::{Builder, Roster};
use jujubepost::record;
use jujubepost::settings::{Policy, ProfileSettings, Service};
use jujubepost::store::mirror::KeyMap;
use jujubepost::store::{KeyLayout, Kv};

const POINTS: [u32; 5] = [250, 1_000, 4_000, 12_000, 23_000];
const PER_PROFILE: u32 = 10;
const ROUNDS: u32 = 10;
const SERVICES: [Service; 4] =
    [Service::Meter, Service::Fieldlog, Service::Calculadora, Service::Validador];

fn insert(copy: &mut KeyMap, key: String, value: Vec<u8>) {
    let key: Arc<str> = key.into();
    copy.insert(key.clone(), Kv { key, value, rev: 1, lease: 0 });
}

fn service(i: u32) -> Service {
    SERVICES[i as usize % SERVICES.len()]
}

fn copy(keys: &KeyLayout, targets: u32) -> KeyMap {
    let mut copy = BTreeMap::new();
    for i in 0..targets {
        let rec = record::Target {
            name: format!("t-{i}").into(),
            zone: "gjw-a".into(),
            service: service(i),
            agent: SocketAddr::from(([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7_500)),
            stopping: false,
        };
        insert(&mut copy, keys.target(&rec.name), serde_json::to_vec(&rec).unwrap());
    }
    for i in 0..targets / PER_PROFILE {
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
        insert(&mut copy, keys.profile(&name), value);
    }
    copy
}

fn rss_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() {
    let keys = KeyLayout::new("/jujubepost".into());
    println!("targets profiles first_ms change_ms copy_and_view_KiB");
    for targets in POINTS {
        let before = rss_kib();
        let mut copy = copy(&keys, targets);
        let roster = Roster::new(Duration::from_secs(6), Duration::from_secs(300));
        let mut builder = Builder::new(keys.clone(), roster);
        let first = Instant::now();
        let view = builder.update(&copy, first);
        let first_ms = first.elapsed().as_secs_f64() * 1_000.0;
        let memory = rss_kib().saturating_sub(before);
        // One target leaves, one profile changes, by turns.
        let mut gone = Vec::new();
        let mut spent = Duration::ZERO;
        for i in 0..ROUNDS {
            if i % 2 == 0 {
                gone.extend(copy.remove(&*keys.target(&format!("t-{i}"))));
            } else if let Some(kv) = copy.get_mut(&*keys.profile(&format!("p-{i}"))) {
                kv.rev += 1;
            }
            let start = Instant::now();
            let _ = builder.update(&copy, start);
            spent += start.elapsed();
        }
        let ms = spent.as_secs_f64() * 1_000.0 / f64::from(ROUNDS);
        let profiles = view.routes.len();
        println!("{targets} {profiles} {first_ms:.1} {ms:.1} {memory}");
    }
}
