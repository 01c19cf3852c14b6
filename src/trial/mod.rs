//! A trial of the platform's form on loopback: the store stand-in, balancers
//! and agents as processes of this binary; callers, routers and targets as
//! tasks of this one, which speak the platform's packets. For trying the
//! roles out and for tests, where the platform itself is not at hand.
//!
//! The ends are simple: one packet a request, one an answer, one in flight.

mod caller;
mod plan;
mod report;
mod router;
mod target;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use serde_json::json;
use tokio::task::JoinSet;

pub use plan::{Plan, SERVICES, ZONES};
pub use report::Report;
pub use router::Hash;

use crate::platform;
use crate::store::LeaseStore;
use crate::up::{Children, Signal};
use plan::{FIRST_IDLE, IDLE_VIP, Ports, VIP, balancer_ip, caller_ip, target_ip};
use router::Router;
use target::Target;

/// Timeout of one call to the store stand-in, on the same machine.
const CALL: Duration = Duration::from_millis(500);

/// How long a trial may take to come up.
const READY: Duration = Duration::from_secs(15);

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
        let deadline = Instant::now() + READY;
        while let Err(e) = self.configure(1).await {
            if Instant::now() > deadline {
                return Err(e);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Writes the configuration as the operators would, as `version`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not take it.
    pub async fn configure(&self, version: u64) -> anyhow::Result<()> {
        let used = SERVICES.map(|(service, port)| (service, SocketAddrV4::new(VIP, port)));
        let idle = (0..self.plan.idle_routes)
            .map(|n| ("idle", SocketAddrV4::new(IDLE_VIP, FIRST_IDLE + n)));
        let routes: Vec<_> = used.into_iter().chain(idle).collect();
        let config = platform::config::encode(version, &routes).to_string();
        let client = platform::kv::Client::new(self.store().into(), CALL, CALL).await?;
        let put = client.put(platform::config::CONFIG_KEY, config.as_bytes(), 0).await;
        put.context("trial: writing the configuration")
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
            "metrics": p.metrics(), "relay_kib": self.plan.relay_kib,
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
        self.children.send_signal(label, signal);
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
        self.children.stop_all().await
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
