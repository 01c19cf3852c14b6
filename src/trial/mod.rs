//! A trial of the platform's form on loopback: the store stand-in, balancers
//! and agents as processes of this binary; callers, routers and targets as
//! tasks of this one, which speak the platform's packets. For trying the
//! roles out and for tests, where the platform itself is not at hand.
//!
//! The ends are simple: one packet a request, one an answer, one in flight.

mod caller;
mod router;
mod target;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde_json::json;
use tokio::task::JoinSet;

pub use router::Hash;

use crate::platform;
use crate::store::Lessor;
use crate::up::{Children, Signal};
use router::Router;
use target::Target;

/// The data centres of a trial.
pub const ZONES: [&str; 2] = ["gjw-a", "gjw-b"];

/// The services of a trial, and the port of each one's route.
pub const SERVICES: [(&str, u16); 2] = [("meter", 443), ("fieldlog", 8_443)];

/// How long a trial may take to come up.
const READY: Duration = Duration::from_secs(15);

/// Address that callers call.
const VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// The ports of a trial, from its first port on.
#[derive(Clone, Copy, Debug)]
struct Ports {
    base: u16,
}

impl Ports {
    const fn packets(self) -> u16 {
        self.base
    }
    const fn ready(self) -> u16 {
        self.base + 1
    }
    const fn outbound(self) -> u16 {
        self.base + 2
    }
    const fn reports(self) -> u16 {
        self.base + 3
    }
    const fn app(self) -> u16 {
        self.base + 4
    }
    const fn metrics(self) -> u16 {
        self.base + 5
    }
    const fn store(self) -> u16 {
        self.base + 6
    }
    const fn bus(self) -> u16 {
        self.base + 10
    }
}

/// The size of a trial and its load.
#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    /// First port; the trial uses twenty from it on, at loopback addresses of
    /// its own.
    #[arg(long, default_value_t = 25_000)]
    pub base: u16,
    /// Balancers in each of the two data centres.
    #[arg(long, default_value_t = 2)]
    pub balancers: u8,
    /// Targets of each of the two services.
    #[arg(long, default_value_t = 3)]
    pub targets: u8,
    /// Callers that hold a flow open and ask again and again.
    #[arg(long, default_value_t = 20)]
    pub feeds: u16,
    /// Requests a second on flows of their own.
    #[arg(long, default_value_t = 50)]
    pub rate: u16,
    /// How long the load lasts, in seconds.
    #[arg(long, default_value_t = 5)]
    pub secs: u64,
    /// How routers spread flows over balancers.
    #[arg(long, value_enum, default_value_t = Hash::Mod)]
    pub hash: Hash,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            base: 25_000,
            balancers: 2,
            targets: 3,
            feeds: 20,
            rate: 50,
            secs: 5,
            hash: Hash::Mod,
        }
    }
}

/// What callers and targets saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests answered.
    pub served: u32,
    /// Requests that got no answer in time, or whose flow was reset.
    pub failed: u32,
    /// Feeds whose flow broke.
    pub broken: u32,
    /// Requests that ran twice.
    pub doubled: u32,
    /// Requests that reached a target of another service.
    pub foreign: u32,
    /// Flows opened at each target.
    pub opened: HashMap<String, u32>,
    /// Times to the answer, in milliseconds.
    pub times: Vec<u64>,
}

impl Report {
    /// Flows of the busiest target of a service over the mean.
    #[must_use]
    pub fn imbalance(&self, service: &str) -> f64 {
        let of = |(name, n): (&String, &u32)| name.starts_with(service).then_some(f64::from(*n));
        let flows: Vec<f64> = self.opened.iter().filter_map(of).collect();
        let mean = flows.iter().sum::<f64>() / flows.len().max(1) as f64;
        flows.iter().copied().fold(0.0, f64::max) / mean.max(1.0)
    }

    fn quantile(&self, q: f64) -> u64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        let at = (times.len() as f64 * q) as usize;
        times.get(at.min(times.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "served {} failed {} broken feeds {} doubled {} foreign {}",
            self.served, self.failed, self.broken, self.doubled, self.foreign
        )?;
        writeln!(
            f,
            "time to answer: p50 {} ms, p99 {} ms",
            self.quantile(0.5),
            self.quantile(0.99)
        )?;
        for (service, _) in SERVICES {
            writeln!(f, "{service}: busiest target over mean {:.2}", self.imbalance(service))?;
        }
        Ok(())
    }
}

/// A running trial.
pub struct Trial {
    plan: Plan,
    ports: Ports,
    dir: PathBuf,
    children: Children,
    targets: Vec<Target>,
    router: Rc<Router>,
    /// What was seen so far.
    pub report: Rc<RefCell<Report>>,
}

const fn balancer_ip(zone: u8, n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, zone + 1, n + 1)
}

const fn target_ip(service: u8, n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 2, service + 1, n + 1)
}

const fn caller_ip(zone: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 3, zone + 1, 1)
}

impl Trial {
    /// Starts the trial's processes from the binary `exe`, with settings and
    /// logs in `dir`, and waits until every balancer is ready and every target
    /// has reported.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot start or the trial is not up in time.
    pub async fn start(exe: &Path, dir: &Path, plan: Plan) -> anyhow::Result<Self> {
        std::fs::create_dir_all(dir).context("trial: making its folder")?;
        let ports = Ports { base: plan.base };
        let zones = 0..ZONES.len() as u8;
        let balancers: Vec<Vec<SocketAddrV4>> = zones
            .map(|z| {
                let of = |n| SocketAddrV4::new(balancer_ip(z, n), ports.packets());
                (0..plan.balancers).map(of).collect()
            })
            .collect();
        let mut trial = Self {
            router: Rc::new(Router::new(balancers, ports.ready(), plan.hash)),
            children: Children::new(exe),
            report: Rc::default(),
            targets: Vec::new(),
            dir: dir.to_path_buf(),
            ports,
            plan,
        };
        trial.start_store().await?;
        for label in trial.labels() {
            trial.launch(&label)?;
        }
        trial.start_targets().await?;
        trial.ready().await?;
        Ok(trial)
    }

    async fn start_store(&mut self) -> anyhow::Result<()> {
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.ports.store());
        let path = self.write("store", &json!({ "store": { "addr": addr } }))?;
        let log = self.dir.join("store.log");
        self.children.spawn("store", &["store", "--config", &path], &log)?;
        let routes = SERVICES.map(|(service, port)| (service, SocketAddrV4::new(VIP, port)));
        let config = platform::config::body(1, &routes);
        let wait = Duration::from_millis(500);
        let client = platform::kv::Client::new(addr.into(), wait, wait).await?;
        let deadline = Instant::now() + READY;
        while let Err(e) = client.put(platform::config::KEY, config.to_string().as_bytes(), 0).await
        {
            if Instant::now() > deadline {
                return Err(e.context("trial: writing the configuration"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// The labels of all balancers and agents.
    #[must_use]
    pub fn labels(&self) -> Vec<String> {
        let mut labels = Vec::new();
        for z in 0..ZONES.len() {
            labels.extend((0..self.plan.balancers).map(|n| format!("entry-{z}-{n}")));
        }
        for s in 0..SERVICES.len() {
            labels.extend((0..self.plan.targets).map(|n| format!("sidecar-{s}-{n}")));
        }
        labels
    }

    fn write(&self, name: &str, settings: &serde_json::Value) -> anyhow::Result<String> {
        let path = self.dir.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string())
            .with_context(|| format!("trial: writing {}", path.display()))?;
        Ok(path.display().to_string())
    }

    /// Starts the process of `label`, again where it ran before.
    ///
    /// # Errors
    ///
    /// Fails when the label names none or the process cannot be started.
    pub fn launch(&mut self, label: &str) -> anyhow::Result<()> {
        let mut parts = label.split('-');
        let role = parts.next().unwrap_or_default().to_string();
        let mut number = || parts.next().and_then(|p| p.parse::<u8>().ok());
        let (Some(group), Some(n)) = (number(), number()) else {
            bail!("trial: no process `{label}`");
        };
        let p = self.ports;
        let seeds: Vec<_> =
            (0..ZONES.len() as u8).map(|z| format!("{}:{}", balancer_ip(z, 0), p.bus())).collect();
        let store = SocketAddrV4::new(Ipv4Addr::LOCALHOST, p.store());
        let mut settings = json!({
            "name": label, "ports": [p.bus(), p.bus() + 4], "store": store, "seeds": seeds,
            "metrics": p.metrics(),
        });
        let at = |ip: Ipv4Addr, port| json!(SocketAddrV4::new(ip, port));
        let ip = if role == "entry" { balancer_ip(group, n) } else { target_ip(group, n) };
        settings["ip"] = json!(ip);
        settings["packets"] = at(ip, p.packets());
        settings["ready"] = at(ip, p.ready());
        if role == "entry" {
            settings["zone"] = json!(ZONES[usize::from(group)]);
        } else {
            settings["zone"] = json!(ZONES[usize::from(n) % ZONES.len()]);
            settings["service"] = json!(SERVICES[usize::from(group)].0);
            settings["outbound"] = at(ip, p.outbound());
            settings["reports"] = at(ip, p.reports());
            settings["target"] = at(ip, p.app());
        }
        let path = self.write(label, &settings)?;
        let log = self.dir.join(format!("{label}.log"));
        self.children.spawn(label, &[&role, "--config", &path], &log)
    }

    async fn start_targets(&mut self) -> anyhow::Result<()> {
        let p = self.ports;
        for (s, (service, _)) in (0u8..).zip(SERVICES) {
            for n in 0..self.plan.targets {
                let ip = target_ip(s, n);
                let target = Target::start(
                    format!("{service}-{n}"),
                    service,
                    SocketAddrV4::new(ip, p.app()),
                    SocketAddrV4::new(ip, p.outbound()),
                    SocketAddrV4::new(ip, p.reports()),
                    self.report.clone(),
                );
                self.targets.push(target.await?);
            }
        }
        Ok(())
    }

    async fn ready(&mut self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY;
        loop {
            self.children.check_alive()?;
            self.router.probe().await;
            if self.router.all_ready() && self.targets.iter().all(Target::acknowledged) {
                // The balancers' views may lag the agents' entries.
                tokio::time::sleep(Duration::from_millis(800)).await;
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("trial: not up within {READY:?}; logs in {}", self.dir.display());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Plays the plan's load; `change` runs beside it.
    ///
    /// # Errors
    ///
    /// Fails when `change` does or a caller cannot start.
    pub async fn play<C>(&mut self, change: C) -> anyhow::Result<Report>
    where
        C: AsyncFnOnce(&mut Self) -> anyhow::Result<()>,
    {
        let router = self.router.clone();
        let probing = tokio::task::spawn_local(async move { router.keep_probing().await });
        let mut callers = JoinSet::new();
        let end = Instant::now() + Duration::from_secs(self.plan.secs);
        for z in 0..ZONES.len() as u8 {
            let local = SocketAddrV4::new(caller_ip(z), self.ports.packets());
            let line = caller::Line::bind(local, z, self.router.clone()).await?;
            let (feeds, rate) = (self.plan.feeds / 2, self.plan.rate / 2);
            let report = self.report.clone();
            callers.spawn_local(caller::load(line, VIP, feeds, rate, end, report));
        }
        let changed = change(self).await;
        while let Some(done) = callers.join_next().await {
            done.context("trial: a caller")?;
        }
        probing.abort();
        let _ = probing.await;
        changed?;
        Ok(self.report.borrow().clone())
    }

    /// Has a target say that it leaves, serve on for a while, and end.
    pub fn drain(&self, name: &str) {
        if let Some(t) = self.targets.iter().find(|t| t.name() == name) {
            t.drain();
        }
    }

    /// Stops one process (SIGTERM) and waits for its end.
    pub async fn stop(&mut self, label: &str) {
        self.children.stop(label).await;
    }

    /// Kills one process.
    pub fn kill(&mut self, label: &str) {
        self.children.kill(label);
    }

    /// Sends a signal to one process.
    pub fn send(&self, label: &str, signal: Signal) {
        self.children.send(label, signal);
    }

    /// The metrics and beliefs address of one process.
    #[must_use]
    pub fn inspect(&self, entry: bool, group: u8, n: u8) -> SocketAddrV4 {
        let ip = if entry { balancer_ip(group, n) } else { target_ip(group, n) };
        SocketAddrV4::new(ip, self.ports.metrics())
    }

    /// The store stand-in's address.
    #[must_use]
    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.ports.store())
    }

    /// Stops everything and joins it.
    pub async fn down(self) -> Vec<String> {
        for t in self.targets {
            t.stop().await;
        }
        self.children.down().await
    }
}

/// Plays a calm trial and prints what was seen.
///
/// # Errors
///
/// Fails when the trial cannot start.
pub async fn run(plan: Plan) -> anyhow::Result<()> {
    let exe = std::env::current_exe().context("trial: finding this binary")?;
    let dir = std::env::temp_dir().join(format!("jujubepost-trial-{}", std::process::id()));
    let mut trial = Trial::start(&exe, &dir, plan).await?;
    let report = trial.play(async |_: &mut Trial| Ok(())).await?;
    print!("{report}");
    trial.down().await;
    let _ = std::fs::remove_dir_all(&dir);
    Ok(())
}
