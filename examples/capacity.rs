//! Measures how the cost of each role grows with the number of targets and of
//! configuration changes, on sites of 2 balancers on this machine.
//!
//! For sites of 4, 8 and 16 targets: store calls, control traffic (byte counters of the
//! kernel, read with `ss`) and processor time while idle; memory and processor time
//! with feeds held open; processor time per new flow during a burst. For a site of 8
//! targets: control traffic at increasing change rates, and the time until each change
//! is in force everywhere.
//!
//! Run: `cargo build --release && cargo run --release --example capacity`.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use jujubepost::bench::{self, Load};
use jujubepost::ctl::{self, fleet};
use jujubepost::up::{Site, SiteSpec};

/// Numbers of targets.
const TARGET_COUNTS: [u16; 3] = [4, 8, 16];
/// Feeds held open per agent.
const FEEDS_PER_AGENT: u32 = 200;

/// Length of the measurement without load.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Configuration changes per second.
const CHANGE_RATES: [u32; 4] = [0, 1, 4, 12];

/// Length of the measurement at each change rate, in seconds.
const CHANGE_SECS: u32 = 6;

/// Reads a number from a line of `/proc/<pid>/<file>` that starts with `key`; 0 if absent.
fn proc_field(pid: u32, file: &str, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default();
    text.lines()
        .find_map(|l| l.strip_prefix(key)?.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Returns the bytes that `pid` has sent and received on its open TCP connections to
/// `port`, the store's.
fn store_traffic(pid: u32, port: u16) -> u64 {
    let filter = format!("( dport = :{port} )");
    let output = std::process::Command::new("ss")
        .args(["-tinpH", "state", "established", &filter])
        .output()
        .map(|o| String::from_utf8_lossy(&o.stdout).to_string())
        .unwrap_or_default();
    let mut total = 0;
    let mut is_of_pid = false;
    for line in output.lines() {
        if line.contains("users:") {
            is_of_pid = line.contains(&format!("pid={pid},"));
            continue;
        }
        if !is_of_pid {
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

/// User plus system time of a process, in clock ticks of 10 ms.
fn cpu_ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = text.rsplit_once(')').map_or("", |(_, r)| r);
    let numbers: Vec<u64> = rest.split_whitespace().filter_map(|x| x.parse().ok()).collect();
    // The name and the state are not numbers, so utime and stime have index 10 and 11.
    numbers.get(10).copied().unwrap_or(0) + numbers.get(11).copied().unwrap_or(0)
}

/// Calls that the store has handled so far.
async fn store_calls(site: &Site) -> u64 {
    let http = ntex::client::Client::new().await;
    let url = format!("http://{}/stats", site.settings.store.addr);
    let Ok(res) = http.get(&url).send().await else { return 0 };
    let v: serde_json::Value = res.json().await.unwrap_or_default();
    ["reads", "writes", "keepalives", "watches"].iter().filter_map(|k| v[k].as_u64()).sum()
}

/// The release binary, which the example's binary lies one folder below.
fn exe() -> PathBuf {
    let example = std::env::current_exe().unwrap();
    example.parent().and_then(|p| p.parent()).unwrap().join("jujubepost")
}

/// Prints control traffic and the time until a change is in force, for each change rate.
async fn measure_changes() {
    println!("changes/s lb_B/s agent_B/s in_force_median_ms in_force_max_ms");
    let path =
        SiteSpec::new(16_600).balancers(2).meters(8).lease_ms(3_000).write("changes").unwrap();
    let site = Site::start(&exe(), &path).await.unwrap();
    let s = site.settings.clone();
    let (lb, agent) = (site.pid("lb-0").unwrap(), site.pid("agent-meter-1").unwrap());
    let port = s.store.addr.port();
    for rate in CHANGE_RATES {
        let (lb_before, agent_before) = (store_traffic(lb, port), store_traffic(agent, port));
        let start = Instant::now();
        let mut latencies = Vec::new();
        for i in 0..rate * CHANGE_SECS {
            let at = Duration::from_secs_f64(f64::from(i) / f64::from(rate));
            tokio::time::sleep_until((start + at).into()).await;
            ctl::set_flow_limit(&s, "meter", 1_000 + i).await.unwrap();
            latencies.push(fleet::wait_in_force(&s, Duration::from_secs(5)).await.unwrap());
        }
        tokio::time::sleep_until((start + Duration::from_secs(u64::from(CHANGE_SECS))).into())
            .await;
        let secs = start.elapsed().as_secs_f64();
        let lb_bps = store_traffic(lb, port).saturating_sub(lb_before) as f64 / secs;
        let agent_bps = store_traffic(agent, port).saturating_sub(agent_before) as f64 / secs;
        latencies.sort();
        let ms = |d: Option<&Duration>| d.map_or(0.0, |d| d.as_secs_f64() * 1_000.0);
        let (median, max) = (ms(latencies.get(latencies.len() / 2)), ms(latencies.last()));
        println!("{rate} {lb_bps:.0} {agent_bps:.0} {median:.1} {max:.1}");
    }
    site.shut_down().await;
}

#[ntex::main]
async fn main() {
    println!(
        "targets calls/s lb_B/s agent_B/s lb_cpu% agent_cpu% lb_rss_KiB agent_rss_KiB flows/agent agent_rss_loaded_KiB lb_rss_loaded_KiB lb_busy% agent_busy% lb_ms/1k_flows agent_ms/1k_flows"
    );
    for (k, targets) in TARGET_COUNTS.into_iter().enumerate() {
        let base = 15_000 + 500 * k as u16;
        let path = SiteSpec::new(base)
            .balancers(2)
            .meters(targets)
            .lease_ms(3_000)
            .write("capacity")
            .unwrap();
        let site = Site::start(&exe(), &path).await.unwrap();
        let (lb, agent) = (site.pid("lb-0").unwrap(), site.pid("agent-meter-1").unwrap());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let port = site.settings.store.addr.port();
        let (calls_before, lb_before, agent_before) =
            (store_calls(&site).await, store_traffic(lb, port), store_traffic(agent, port));
        let (lb_ticks, agent_ticks) = (cpu_ticks(lb), cpu_ticks(agent));
        let start = Instant::now();
        tokio::time::sleep(IDLE_TIME).await;
        // Processor time while idle, in percent of one core.
        let lb_cpu =
            (cpu_ticks(lb) - lb_ticks) as f64 * 10.0 / (start.elapsed().as_secs_f64() * 10.0);
        let agent_cpu =
            (cpu_ticks(agent) - agent_ticks) as f64 * 10.0 / (start.elapsed().as_secs_f64() * 10.0);
        let secs = start.elapsed().as_secs_f64();
        let calls = (store_calls(&site).await - calls_before) as f64 / secs;
        let lb_bps = store_traffic(lb, port).saturating_sub(lb_before) as f64 / secs;
        let agent_bps = store_traffic(agent, port).saturating_sub(agent_before) as f64 / secs;
        let (lb_rss, agent_rss) = (rss_kib(lb), rss_kib(agent));
        let feeds = FEEDS_PER_AGENT * u32::from(targets);
        let args = Load { feeds, requests: 0, secs: 8, ..Load::default() };
        let s = site.settings.clone();
        let feed_run = tokio::task::spawn_local(async move { bench::measure(&s, &args).await });
        tokio::time::sleep(Duration::from_secs(5)).await;
        let (agent_loaded, lb_loaded) = (rss_kib(agent), rss_kib(lb));
        let (lb_ticks, agent_ticks) = (cpu_ticks(lb), cpu_ticks(agent));
        let start = Instant::now();
        tokio::time::sleep(Duration::from_secs(2)).await;
        // Processor time with the feeds held open, in percent of one core.
        let busy = |ticks: u64| ticks as f64 / start.elapsed().as_secs_f64();
        let (lb_busy, agent_busy) =
            (busy(cpu_ticks(lb) - lb_ticks), busy(cpu_ticks(agent) - agent_ticks));
        let _ = feed_run.await;
        // The ends of the feeds must not count for the burst.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let requests = 1_000;
        let lbs = ["lb-0".to_string(), "lb-1".to_string()];
        let agents: Vec<String> = (1..=targets).map(|i| format!("agent-meter-{i}")).collect();
        let total_ticks = |labels: &[String]| -> u64 {
            labels.iter().filter_map(|l| site.pid(l)).map(cpu_ticks).sum()
        };
        let (lbs_before, agents_before) = (total_ticks(&lbs), total_ticks(&agents));
        let args = Load { feeds: 0, requests, secs: 4, ..Load::default() };
        let _ = bench::measure(&site.settings, &args).await;
        // The site has no fieldlog targets: half of the flows are refused, and cost the
        // balancers but no agent.
        let lb_ms =
            (total_ticks(&lbs) - lbs_before) as f64 * 10.0 / f64::from(2 * requests) * 1_000.0;
        let agent_ms =
            (total_ticks(&agents) - agents_before) as f64 * 10.0 / f64::from(requests) * 1_000.0;
        println!(
            "{targets} {calls:.1} {lb_bps:.0} {agent_bps:.0} {lb_cpu:.2} {agent_cpu:.2} {lb_rss} {agent_rss} {} {agent_loaded} {lb_loaded} {lb_busy:.1} {agent_busy:.1} {lb_ms:.1} {agent_ms:.1}",
            feeds / u32::from(targets)
        );
        site.shut_down().await;
    }
    measure_changes().await;
}
