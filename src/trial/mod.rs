//! An end-to-end trial on loopback addresses. Store, balancers and agents run as
//! child processes; callers, routers and targets are tasks of this process that
//! exchange the platform's packets.
//!
//! Requests and responses are one packet each, with one in flight per flow.

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
pub use router::FlowHash;

use crate::platform;
use crate::store::LeaseStore;
use crate::up::{Children, Signal};
use plan::{FIRST_IDLE_PORT, IDLE_VIP, Ports, VIP, balancer_ip, caller_ip, target_ip};
use router::Router;
use target::Target;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for all processes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A running trial.
pub struct Trial {
    plan: Plan,
    ports: Ports,
    dir: PathBuf,
    children: Children,
    targets: Vec<Target>,
    router: Rc<Router>,
    /// Results so far.
    pub report: Rc<RefCell<Report>>,
}

impl Trial {
    /// Starts the processes from the binary `exe`, with settings and logs in
    /// `dir`, and waits until every balancer is ready and every target's report
    /// was acknowledged.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot start or is not ready in time.
    pub async fn start(exe: &Path, dir: &Path, plan: Plan) -> anyhow::Result<Self> {
        std::fs::create_dir_all(dir)
            .with_context(|| format!("trial: creating {}", dir.display()))?;
        let ports = Ports { base: plan.base_port };
        let zones = 0..ZONES.len() as u8;
        let balancers: Vec<Vec<SocketAddrV4>> = zones
            .map(|z| {
                let addr = |n| SocketAddrV4::new(balancer_ip(z, n), ports.packets());
                (0..plan.balancers).map(addr).collect()
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
        trial.wait_until_ready().await?;
        Ok(trial)
    }

    async fn start_store(&mut self) -> anyhow::Result<()> {
        let addr = SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.ports.store());
        let path = self.write_settings("store", &json!({ "store": { "addr": addr } }))?;
        let log = self.dir.join("store.log");
        self.children.spawn("store", &["store", "--config", &path], &log)?;
        let deadline = Instant::now() + START_TIMEOUT;
        while let Err(e) = self.write_config(1).await {
            if Instant::now() > deadline {
                return Err(e);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Writes the route configuration to the store as version `version`.
    ///
    /// # Errors
    ///
    /// Fails if the store does not accept it.
    pub async fn write_config(&self, version: u64) -> anyhow::Result<()> {
        let used = SERVICES.map(|(service, port)| (service, SocketAddrV4::new(VIP, port)));
        let idle = (0..self.plan.idle_routes)
            .map(|n| ("idle", SocketAddrV4::new(IDLE_VIP, FIRST_IDLE_PORT + n)));
        let routes: Vec<_> = used.into_iter().chain(idle).collect();
        let config = platform::config::encode(version, &routes).to_string();
        let client =
            platform::kv::Client::new(self.store_addr().into(), STORE_TIMEOUT, STORE_TIMEOUT)
                .await?;
        let put = client.put(platform::config::CONFIG_KEY, config.as_bytes(), 0).await;
        put.context("trial: writing the configuration")
    }

    /// Labels of all balancers and agents, as [`Trial::launch`] takes them.
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

    fn write_settings(&self, name: &str, settings: &serde_json::Value) -> anyhow::Result<String> {
        let path = self.dir.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string())
            .with_context(|| format!("trial: writing {}", path.display()))?;
        Ok(path.display().to_string())
    }

    /// Starts, or restarts, the balancer or agent `label`.
    ///
    /// # Errors
    ///
    /// Fails if the label is invalid or the process cannot be started.
    pub fn launch(&mut self, label: &str) -> anyhow::Result<()> {
        let mut parts = label.split('-');
        let role = parts.next().unwrap_or_default().to_string();
        let mut number = || parts.next().and_then(|p| p.parse::<u8>().ok());
        let (Some(group), Some(n)) = (number(), number()) else {
            bail!("trial: invalid process label `{label}`");
        };
        let p = self.ports;
        let seeds: Vec<_> = (0..ZONES.len() as u8)
            .map(|z| format!("{}:{}", balancer_ip(z, 0), p.messages()))
            .collect();
        let store = SocketAddrV4::new(Ipv4Addr::LOCALHOST, p.store());
        let mut settings = json!({
            "name": label, "ports": [p.messages(), p.messages() + 4], "store": store, "seeds": seeds,
            "metrics": p.metrics(), "relay_kib": self.plan.relay_kib,
        });
        let endpoint = |ip: Ipv4Addr, port| json!(SocketAddrV4::new(ip, port));
        let ip = if role == "entry" { balancer_ip(group, n) } else { target_ip(group, n) };
        settings["ip"] = json!(ip);
        settings["packets"] = endpoint(ip, p.packets());
        settings["ready"] = endpoint(ip, p.ready());
        if role == "entry" {
            settings["zone"] = json!(ZONES[usize::from(group)]);
        } else {
            settings["zone"] = json!(ZONES[usize::from(n) % ZONES.len()]);
            settings["service"] = json!(SERVICES[usize::from(group)].0);
            settings["outbound"] = endpoint(ip, p.outbound());
            settings["reports"] = endpoint(ip, p.reports());
            settings["target"] = endpoint(ip, p.app());
        }
        let path = self.write_settings(label, &settings)?;
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

    async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            self.children.check_alive()?;
            self.router.probe().await;
            if self.router.all_ready() && self.targets.iter().all(Target::acknowledged) {
                // Balancers may not have read the agents' registrations yet.
                tokio::time::sleep(Duration::from_millis(800)).await;
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("trial: not ready within {START_TIMEOUT:?}; logs in {}", self.dir.display());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Runs the plan's load, with `change` running at the same time, and returns
    /// the results once all callers are done.
    ///
    /// # Errors
    ///
    /// Fails if `change` fails or a caller cannot start.
    pub async fn run_load<C>(&mut self, change: C) -> anyhow::Result<Report>
    where
        C: AsyncFnOnce(&mut Self) -> anyhow::Result<()>,
    {
        let router = self.router.clone();
        let probing = tokio::task::spawn_local(async move { router.keep_probing().await });
        let mut callers = JoinSet::new();
        let end = Instant::now() + Duration::from_secs(self.plan.secs);
        for z in 0..ZONES.len() as u8 {
            let local = SocketAddrV4::new(caller_ip(z), self.ports.packets());
            let line = caller::CallerSocket::bind(local, z, self.router.clone()).await?;
            let (feeds, rate) = (self.plan.feeds / 2, self.plan.rate / 2);
            let report = self.report.clone();
            callers.spawn_local(caller::run_workload(line, VIP, feeds, rate, end, report));
        }
        let changed = change(self).await;
        while let Some(done) = callers.join_next().await {
            done.context("trial: caller task failed")?;
        }
        probing.abort();
        let _ = probing.await;
        changed?;
        Ok(self.report.borrow().clone())
    }

    /// Makes the target `name` report that it drains and leave after a while.
    pub fn drain_target(&self, name: &str) {
        if let Some(t) = self.targets.iter().find(|t| t.name() == name) {
            t.drain();
        }
    }

    /// Stops a process with SIGTERM and waits for its exit.
    pub async fn stop(&mut self, label: &str) {
        self.children.stop(label).await;
    }

    /// Kills a process.
    pub fn kill(&mut self, label: &str) {
        self.children.kill(label);
    }

    /// Sends a signal to a process.
    pub fn send_signal(&self, label: &str, signal: Signal) {
        self.children.send_signal(label, signal);
    }

    /// Address of a process's metrics and state: of balancer `n` in data centre
    /// `group` if `entry` is set, else of agent `n` of service `group`.
    #[must_use]
    pub fn metrics_addr(&self, entry: bool, group: u8, n: u8) -> SocketAddrV4 {
        let ip = if entry { balancer_ip(group, n) } else { target_ip(group, n) };
        SocketAddrV4::new(ip, self.ports.metrics())
    }

    /// Address of the store.
    #[must_use]
    pub fn store_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.ports.store())
    }

    /// Stops all targets and processes. Returns the labels of processes that had
    /// to be killed.
    pub async fn shut_down(self) -> Vec<String> {
        for t in self.targets {
            t.stop().await;
        }
        self.children.stop_all().await
    }
}

/// Runs a trial without faults and prints its results.
///
/// # Errors
///
/// Fails if the trial cannot start.
pub async fn run(plan: Plan) -> anyhow::Result<()> {
    let exe = std::env::current_exe().context("trial: locating this binary")?;
    let dir = std::env::temp_dir().join(format!("jujubepost-trial-{}", std::process::id()));
    let mut trial = Trial::start(&exe, &dir, plan).await?;
    let report = trial.run_load(async |_: &mut Trial| Ok(())).await?;
    print!("{report}");
    trial.shut_down().await;
    let _ = std::fs::remove_dir_all(&dir);
    Ok(())
}
