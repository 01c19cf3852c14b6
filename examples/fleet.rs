//! Measures the cost of the store's keys on a balancer as the platform grows: the time
//! to apply a first snapshot, a change of one agent's registration and a change of the
//! configuration, whole and in parts, and the memory of the snapshot and the state.
//!
//! Run: `cargo run --release --example fleet`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::edge::SnapshotReader;
use jujubepost::platform::config;
use jujubepost::relay::Relay;
use jujubepost::steering::{EvacuationList, FlowSteering, ListedAgent};
use jujubepost::store::{Change, Kv, Snapshot};
use serde_json::json;

/// Numbers of agents and routes.
const SIZES: [(u32, u32); 4] = [(250, 25), (2_500, 240), (10_000, 960), (23_000, 2_200)];

fn rss_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or_default()
}

fn agent(n: u32, routes: u32, rev: i64) -> Kv {
    let ip = std::net::Ipv4Addr::from(0x0a01_0000 + n);
    let registration = ListedAgent {
        addr: std::net::SocketAddrV4::new(ip, 7_720),
        zone: format!("zone-{}", n % 9).into(),
        service: format!("service-{}", n % routes).into(),
        incarnation: Some(format!("i-{n:08x}-{rev}").as_str().into()),
        queues: true,
        bounded: true,
        since: None,
        registered: 0,
    };
    let value = serde_json::to_vec(&registration).unwrap();
    Kv { key: format!("jujubepost/agents/{ip}").into(), value, rev, lease: 1, created: rev }
}

fn configuration(routes: u32, version: i64) -> Kv {
    let all: Vec<_> = (0..routes)
        .map(|n| {
            let host = std::net::Ipv4Addr::from(0xc612_0000 + n);
            json!({ "name": format!("r-{n:07}"), "host": host, "prefix": "/443/",
                    "type": "safe", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 2,
                    "service": format!("service-{n}"), "attempts": 2 })
        })
        .collect();
    let services: Vec<_> = (0..routes)
        .map(|n| {
            json!({ "name": format!("service-{n}"), "health_check": "/health",
                    "max_conns": 2000, "protocol": "h1", "tls": false })
        })
        .collect();
    let body = json!({ "version": version, "routes": all, "services": services, "limits": {} });
    let value = serde_json::to_vec(&body).unwrap();
    Kv { key: config::CONFIG_KEY.into(), value, rev: version, lease: 0, created: 0 }
}

/// Changes the timeout of one route in a configuration that is relayed in parts. Returns
/// the number of changed keys, their size in base64 and the time to apply them.
fn measure_parts(config: &Kv) -> (usize, usize, Duration) {
    let relay = Relay::new(config::CONFIG_KEY, "zone-1", [10, 9, 0, 1].into(), 1);
    let mut routes = config::decode(&config.value).unwrap();
    let mut steering = new_steering();
    let mut reader = SnapshotReader::default();
    let mut snapshot = Snapshot::default();
    snapshot.apply(1, vec![Change::Put(config.clone())]);
    let mut last = (0, 0, Duration::ZERO);
    for rev in 2..7 {
        routes.version += 1;
        let route = routes.by_address.values_mut().next().unwrap();
        route.request_timeout = Duration::from_millis(1_000 + u64::try_from(rev).unwrap());
        let puts = relay
            .pending_transaction(&snapshot, &routes, &EvacuationList::default())
            .unwrap()
            .unwrap()
            .puts;
        let bytes = puts.iter().map(|(_, value)| value.len().div_ceil(3) * 4).sum();
        let keys = puts.len();
        let changes = puts.into_iter().map(|(key, value)| {
            Change::Put(Kv { key: key.into(), value, rev, lease: 0, created: 0 })
        });
        snapshot.apply(rev, changes.collect());
        last = (keys, bytes, time_of(|| reader.apply_snapshot(&mut steering, &snapshot)));
    }
    last
}

fn new_steering() -> FlowSteering {
    FlowSteering::new("10.9.0.1:7720".parse().unwrap(), "zone-1".into(), Duration::from_secs(60))
}

fn time_of(mut action: impl FnMut()) -> Duration {
    let start = Instant::now();
    action();
    start.elapsed()
}

fn main() {
    println!(
        "agents  routes  first ms  one entry ms  one configuration ms  config KiB     KiB  \
         parts keys  parts KiB  parts ms"
    );
    for (agents, routes) in SIZES {
        let before = rss_kib();
        let mut snapshot = Snapshot::default();
        let first = configuration(routes, 1);
        let config_kib = first.value.len() / 1_024;
        snapshot.apply(1, vec![Change::Put(first)]);
        snapshot.apply(2, (0..agents).map(|n| Change::Put(agent(n, routes, 2))).collect());
        let mut steering = new_steering();
        let mut reader = SnapshotReader::default();
        let first_time = time_of(|| reader.apply_snapshot(&mut steering, &snapshot));
        let mut published = Arc::new(snapshot.clone());
        let memory_kib = rss_kib().saturating_sub(before);
        let mut rev = 2;
        let mut time_change = |change: Kv| {
            rev = change.rev;
            snapshot.apply(rev, vec![Change::Put(change)]);
            time_of(|| {
                reader.apply_snapshot(&mut steering, &snapshot);
                published = Arc::new(snapshot.clone());
            })
        };
        let registration_time: Duration =
            (3..13).map(|r| time_change(agent(7, routes, r))).sum::<Duration>() / 10;
        let config_time: Duration =
            (13..18).map(|r| time_change(configuration(routes, r))).sum::<Duration>() / 5;
        let (part_keys, part_bytes, part_time) = measure_parts(&configuration(routes, 1));
        println!(
            "{agents:6}  {routes:6}  {:8.1}  {:12.1}  {:20.1}  {config_kib:10}  {memory_kib:6}  \
             {part_keys:10}  {:9.1}  {:8.2}",
            first_time.as_secs_f64() * 1e3,
            registration_time.as_secs_f64() * 1e3,
            config_time.as_secs_f64() * 1e3,
            part_bytes as f64 / 1_024.0,
            part_time.as_secs_f64() * 1e3,
        );
        drop(published);
    }
}
