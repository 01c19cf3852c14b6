//! The balancer's view of a fleet on the platform: time to read the store's
//! keys at first, after one agent's registration changed and after the configuration
//! changed, in full and in parts, and the memory that the copy and the view
//! take.
//!
//! `cargo run --release --example fleet`

use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::edge::SnapshotReader;
use jujubepost::platform::config;
use jujubepost::relay::Relay;
use jujubepost::steering::{FlowSteering, ListedAgent};
use jujubepost::store::{Change, Kv, Snapshot};
use serde_json::json;

/// Sizes as agents and routes, up to the two-year size.
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
    };
    let value = serde_json::to_vec(&registration).unwrap();
    Kv { key: format!("jujubepost/agents/{ip}").into(), value, rev, lease: 1 }
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
    Kv { key: config::CONFIG_KEY.into(), value, rev: version, lease: 0 }
}

/// What a relay writes when one route's time limit changes, as the changed
/// keys, their bytes in base64 and the time to read them.
fn in_parts(config: &Kv) -> (usize, usize, Duration) {
    let relay = Relay::new(config::CONFIG_KEY, "zone-1", [10, 9, 0, 1].into(), 1);
    let mut routes = config::decode(&config.value).unwrap();
    let mut steering = new_steering();
    let mut reader = SnapshotReader::default();
    let mut copy = Snapshot::default();
    copy.apply(1, vec![Change::Put(config.clone())]);
    let mut last = (0, 0, Duration::ZERO);
    for rev in 2..7 {
        routes.version += 1;
        let route = routes.by_address.values_mut().next().unwrap();
        route.request_timeout = Duration::from_millis(1_000 + u64::try_from(rev).unwrap());
        let put = relay.pending_transaction(&copy, &routes).unwrap().unwrap().puts;
        let bytes = put.iter().map(|(_, value)| value.len().div_ceil(3) * 4).sum();
        let keys = put.len();
        let put = put
            .into_iter()
            .map(|(key, value)| Change::Put(Kv { key: key.into(), value, rev, lease: 0 }));
        copy.apply(rev, put.collect());
        last = (keys, bytes, time(|| reader.apply_snapshot(&mut steering, &copy)));
    }
    last
}

fn new_steering() -> FlowSteering {
    FlowSteering::new("10.9.0.1:7720".parse().unwrap(), "zone-1".into(), Duration::from_secs(60))
}

fn time(mut run: impl FnMut()) -> Duration {
    let start = Instant::now();
    run();
    start.elapsed()
}

fn main() {
    println!(
        "agents  routes  first ms  one entry ms  one configuration ms  config KiB     KiB  \
         parts keys  parts KiB  parts ms"
    );
    for (agents, routes) in SIZES {
        let before = rss_kib();
        let mut copy = Snapshot::default();
        let first = configuration(routes, 1);
        let bytes = first.value.len() / 1_024;
        copy.apply(1, vec![Change::Put(first)]);
        copy.apply(2, (0..agents).map(|n| Change::Put(agent(n, routes, 2))).collect());
        let mut steering = new_steering();
        let mut reader = SnapshotReader::default();
        let at_first = time(|| reader.apply_snapshot(&mut steering, &copy));
        let mut kept = Arc::new(copy.clone());
        let taken = rss_kib().saturating_sub(before);
        let mut rev = 2;
        let mut changed = |change: Kv| {
            rev = change.rev;
            copy.apply(rev, vec![Change::Put(change)]);
            time(|| {
                reader.apply_snapshot(&mut steering, &copy);
                kept = Arc::new(copy.clone());
            })
        };
        let registration: Duration =
            (3..13).map(|r| changed(agent(7, routes, r))).sum::<Duration>() / 10;
        let config: Duration =
            (13..18).map(|r| changed(configuration(routes, r))).sum::<Duration>() / 5;
        let (keys, changed, read) = in_parts(&configuration(routes, 1));
        println!(
            "{agents:6}  {routes:6}  {:8.1}  {:12.1}  {:20.1}  {bytes:10}  {taken:6}  {keys:10}  \
             {:9.1}  {:8.2}",
            at_first.as_secs_f64() * 1e3,
            registration.as_secs_f64() * 1e3,
            config.as_secs_f64() * 1e3,
            changed as f64 / 1_024.0,
            read.as_secs_f64() * 1e3,
        );
        drop(kept);
    }
}
