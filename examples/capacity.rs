//! Measures the slopes behind `docs/CAPACITY.md` on this machine.
//!
//! For sites of 4, 8 and 16 meter targets behind 2 balancers it reads, while
//! idle, the store's calls a second and each role's control bytes a second
//! (the kernel's per-connection byte counters, through `ss`), then memory with feeds held open (`VmRSS`), then
//! processor time per new flow over a burst of requests (`/proc/<pid>/stat`).
//! Then, on a site of 8 targets, control bytes as changes come faster, and how
//! soon each change is in force everywhere.
//!
//! Run: `cargo build --release && cargo run --release --example capacity`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use jujubepost::bench::{self, Load};
use jujubepost::ctl::{self, fleet};
use jujubepost::up::{Plan, Site};

const POINTS: [u16; 3] = [4, 8, 16];
/// Feeds held open per agent.
const HELD: u32 = 200;
const IDLE: Duration = Duration::from_secs(10);

/// Changes a second tried, and for how many seconds each.
const RATES: [u32; 4] = [0, 1, 4, 12];
const CHANGES_S: u32 = 6;

fn proc_field(pid: u32, file: &str, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    text.lines()
        .find_map(|l| l.strip_prefix(key)?.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Bytes sent and received by `pid` on its TCP connections to `port` (the
/// store), from `ss -tinp`: the kernel's own per-connection counters.
fn store_bytes(pid: u32, port: u16) -> u64 {
    let filter = format!("( dport = :{port} )");
    let out = std::process::Command::new("ss")
        .args(["-tinpH", "state", "established", &filter])
        .output()
        .map(|o| String::from_utf8_lossy(&o.stdout).to_string())
        .unwrap_or_default();
    let mut total = 0;
    let mut mine = false;
    for line in out.lines() {
        if line.contains("users:") {
            mine = line.contains(&format!("pid={pid},"));
            continue;
        }
        if !mine {
            continue;
        }
        for word in line.split_whitespace() {
            for key in ["bytes_sent:", "bytes_received:"] {
                if let Some(v) = word.strip_prefix(key) {
                    total += v.parse::<u64>().unwrap_or(0);
                }
            }
        }
    }
    total
}

fn rss_kib(pid: u32) -> u64 {
    proc_field(pid, "status", "VmRSS:")
}

/// User plus system time, in clock ticks (1/100 s).
fn cpu_ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = text.rsplit_once(')').map_or("", |(_, r)| r);
    let f: Vec<u64> = rest.split_whitespace().filter_map(|x| x.parse().ok()).collect();
    // After the name: state is not a number, so utime and stime are 11 and 12.
    f.get(10).copied().unwrap_or(0) + f.get(11).copied().unwrap_or(0)
}

async fn store_calls(site: &Site) -> u64 {
    let http = ntex::client::Client::new().await;
    let url = format!("http://{}/stats", site.settings.store.addr);
    let Ok(res) = http.get(&url).send().await else { return 0 };
    let v: serde_json::Value = res.json().await.unwrap_or_default();
    ["reads", "writes", "keepalives", "watches"].iter().filter_map(|k| v[k].as_u64()).sum()
}

fn exe() -> PathBuf {
    let me = std::env::current_exe().unwrap();
    me.parent().and_then(|p| p.parent()).unwrap().join("jujubepost")
}

/// Control bytes and the time until a change is in force, as changes come
/// faster: one row for each rate, on a site of 8 targets.
async fn changes() {
    println!("changes/s lb_B/s agent_B/s in_force_median_ms in_force_max_ms");
    let path = Plan::new(16_600).balancers(2).meters(8).lease_ms(3_000).write("changes").unwrap();
    let site = Site::start(&exe(), &path).await.unwrap();
    let s = site.settings.clone();
    let (lb, agent) = (site.pid("lb-0").unwrap(), site.pid("agent-meter-1").unwrap());
    let port = s.store.addr.port();
    for rate in RATES {
        let (l0, a0, t0) = (store_bytes(lb, port), store_bytes(agent, port), Instant::now());
        let mut took = Vec::new();
        for i in 0..rate * CHANGES_S {
            let at = Duration::from_secs_f64(f64::from(i) / f64::from(rate));
            tokio::time::sleep_until((t0 + at).into()).await;
            ctl::set_flow_limit(&s, "meter", 1_000 + i).await.unwrap();
            took.push(fleet::wait_in_force(&s, Duration::from_secs(5)).await.unwrap());
        }
        tokio::time::sleep_until((t0 + Duration::from_secs(u64::from(CHANGES_S))).into()).await;
        let secs = t0.elapsed().as_secs_f64();
        let lb_bps = store_bytes(lb, port).saturating_sub(l0) as f64 / secs;
        let agent_bps = store_bytes(agent, port).saturating_sub(a0) as f64 / secs;
        took.sort();
        let ms = |d: Option<&Duration>| d.map_or(0.0, |d| d.as_secs_f64() * 1_000.0);
        let (median, max) = (ms(took.get(took.len() / 2)), ms(took.last()));
        println!("{rate} {lb_bps:.0} {agent_bps:.0} {median:.1} {max:.1}");
    }
    site.down().await;
}

#[ntex::main]
async fn main() {
    println!(
        "targets calls/s lb_B/s agent_B/s lb_cpu% agent_cpu% lb_rss_KiB agent_rss_KiB flows/agent agent_rss_loaded_KiB lb_rss_loaded_KiB lb_busy% agent_busy% lb_ms/1k_flows agent_ms/1k_flows"
    );
    for (k, n) in POINTS.into_iter().enumerate() {
        let base = 15_000 + 500 * k as u16;
        let path =
            Plan::new(base).balancers(2).meters(n).lease_ms(3_000).write("capacity").unwrap();
        let site = Site::start(&exe(), &path).await.unwrap();
        let (lb, agent) = (site.pid("lb-0").unwrap(), site.pid("agent-meter-1").unwrap());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let port = site.settings.store.addr.port();
        let (c0, l0, a0) =
            (store_calls(&site).await, store_bytes(lb, port), store_bytes(agent, port));
        let (k0, j0) = (cpu_ticks(lb), cpu_ticks(agent));
        let t0 = Instant::now();
        tokio::time::sleep(IDLE).await;
        // Idle processor share, in percent of one core (ticks are 10 ms).
        let lb_cpu = (cpu_ticks(lb) - k0) as f64 * 10.0 / (t0.elapsed().as_secs_f64() * 10.0);
        let agent_cpu = (cpu_ticks(agent) - j0) as f64 * 10.0 / (t0.elapsed().as_secs_f64() * 10.0);
        let secs = t0.elapsed().as_secs_f64();
        let calls = (store_calls(&site).await - c0) as f64 / secs;
        let lb_bps = store_bytes(lb, port).saturating_sub(l0) as f64 / secs;
        let agent_bps = store_bytes(agent, port).saturating_sub(a0) as f64 / secs;
        let (lb_rss, agent_rss) = (rss_kib(lb), rss_kib(agent));
        let feeds = HELD * u32::from(n);
        let args = Load { feeds, requests: 0, secs: 8, ..Load::default() };
        let s = site.settings.clone();
        let held = tokio::task::spawn_local(async move { bench::measure(&s, &args).await });
        tokio::time::sleep(Duration::from_secs(5)).await;
        let (agent_loaded, lb_loaded) = (rss_kib(agent), rss_kib(lb));
        let (k1, j1, t1) = (cpu_ticks(lb), cpu_ticks(agent), Instant::now());
        tokio::time::sleep(Duration::from_secs(2)).await;
        // Busy processor share with the feeds held, in percent of one core.
        let busy = |ticks: u64| ticks as f64 / t1.elapsed().as_secs_f64();
        let (lb_busy, agent_busy) = (busy(cpu_ticks(lb) - k1), busy(cpu_ticks(agent) - j1));
        let _ = held.await;
        // Let the held feeds' ends pass before the burst is charged.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let requests = 1_000;
        let lbs = ["lb-0".to_string(), "lb-1".to_string()];
        let agents: Vec<String> = (1..=n).map(|i| format!("agent-meter-{i}")).collect();
        let spent = |labels: &[String]| -> u64 {
            labels.iter().filter_map(|l| site.pid(l)).map(cpu_ticks).sum()
        };
        let (cpu0, agents0) = (spent(&lbs), spent(&agents));
        let args = Load { feeds: 0, requests, secs: 4, ..Load::default() };
        let _ = bench::measure(&site.settings, &args).await;
        // One tick is 10 ms. The site has no fieldlog targets: those flows are
        // refused, and cost the balancers but no agent.
        let ms_per_k = (spent(&lbs) - cpu0) as f64 * 10.0 / f64::from(2 * requests) * 1_000.0;
        let agent_ms = (spent(&agents) - agents0) as f64 * 10.0 / f64::from(requests) * 1_000.0;
        println!(
            "{n} {calls:.1} {lb_bps:.0} {agent_bps:.0} {lb_cpu:.2} {agent_cpu:.2} {lb_rss} {agent_rss} {} {agent_loaded} {lb_loaded} {lb_busy:.1} {agent_busy:.1} {ms_per_k:.1} {agent_ms:.1}",
            feeds / u32::from(n)
        );
        site.down().await;
    }
    changes().await;
}
