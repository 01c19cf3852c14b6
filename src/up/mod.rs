//! Runs whole sites on one machine: every role as its own process of this
//! binary, then a bench run, then a graceful stop of every process.
//!
//! This is for trying jujubepost out and for tests; a production process
//! starts no other process. With no `--config`, it runs the two embedded
//! example sites, Suryakosh (gjw) and the Asociación (norte). Each process
//! logs to a file beside the settings file.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
pub use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

pub mod plan;

pub use plan::Plan;

use crate::bench;
use crate::script;
use crate::settings::Settings;
use crate::store::{self, Keys, Kv};

/// The embedded Suryakosh example.
pub const SURYAKOSH: &str = include_str!("../../examples/suryakosh.jsonc");
/// The embedded Asociación example.
pub const NORTE: &str = include_str!("../../examples/norte.jsonc");

/// How long a site may take to come up.
const READY: Duration = Duration::from_secs(20);

/// How long a stopping process may take before it is killed.
const STOP: Duration = Duration::from_secs(10);

/// How often a stopping process is looked at.
const REAP_POLL: Duration = Duration::from_millis(20);

/// Arguments of `jujubepost up`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Settings files of the sites; the embedded examples when none.
    #[arg(long)]
    pub config: Vec<PathBuf>,
    /// The load, whose changes may also start, end and freeze processes.
    #[command(flatten)]
    pub load: bench::Load,
}

/// A running site: its processes, joined on drop.
pub struct Site {
    /// The site's settings.
    pub settings: Settings,
    /// The settings file its processes read.
    pub path: PathBuf,
    exe: PathBuf,
    children: Vec<(String, Child)>,
}

impl Site {
    /// Starts every process of the site from the binary `exe` and waits
    /// until each target and balancer is announced and every profile is
    /// written.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot start or the site is not up in time.
    pub async fn start(exe: &Path, path: &Path) -> anyhow::Result<Self> {
        let settings = Settings::load(path)?;
        let targets = settings.targets.iter().map(|t| t.name.to_string());
        let agents = settings.targets.iter().map(|t| format!("agent-{}", t.name));
        let balancers = settings.balancers.iter().map(|b| b.name.to_string());
        let labels: Vec<String> = targets.chain(agents).chain(balancers).collect();
        let (path, exe) = (path.to_path_buf(), exe.to_path_buf());
        let mut site = Self { settings, path, exe, children: Vec::new() };
        site.spawn("store", &["store"])?;
        for label in &labels {
            site.launch(label)?;
        }
        site.spawn("fabric", &["fabric"])?;
        site.ready().await?;
        Ok(site)
    }

    /// Where the process `label` logs.
    fn log(&self, label: &str) -> PathBuf {
        self.path.with_file_name(format!("{}-{label}.log", self.settings.site))
    }

    /// Takes a process out of the site's list.
    fn take(&mut self, label: &str) -> Option<Child> {
        let i = self.children.iter().position(|(l, _)| l == label)?;
        Some(self.children.remove(i).1)
    }

    fn spawn(&mut self, label: &str, args: &[&str]) -> anyhow::Result<()> {
        let (role, rest) = args.split_first().context("up: no role")?;
        let log = self.log(label);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .with_context(|| format!("up: opening {}", log.display()))?;
        let child = Command::new(&self.exe)
            .arg(role)
            .arg("--config")
            .arg(&self.path)
            .args(rest)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("up: starting {label}"))?;
        self.children.push((label.to_string(), child));
        Ok(())
    }

    /// Fails when a process has ended by itself, as one does whose address is
    /// taken.
    fn check_alive(&mut self) -> anyhow::Result<()> {
        let ended = self.children.iter_mut().position(|(_, child)| !runs(child));
        if let Some(label) = ended.map(|i| self.children[i].0.clone()) {
            bail!("up: {label} ended at its start; see {}", self.log(&label).display());
        }
        Ok(())
    }

    async fn ready(&mut self) -> anyhow::Result<()> {
        let s = self.settings.clone();
        let store = store::Client::new(s.store.addr, Duration::from_millis(500)).await;
        let keys = Keys::new(s.store.prefix.clone());
        let deadline = Instant::now() + READY;
        loop {
            self.check_alive()?;
            if Instant::now() > deadline {
                bail!("up: site {} not up within {READY:?}", s.site);
            }
            if crate::ctl::apply(&store, &keys, &s.profiles).await.is_ok()
                && let Ok((_, kvs)) = store.list(&keys.all()).await
            {
                let count = |kind| {
                    let of_kind = |kv: &&Kv| keys.split(&kv.key).is_some_and(|(k, _)| k == kind);
                    kvs.iter().filter(of_kind).count()
                };
                let (targets, balancers) = (count("targets"), count("balancers"));
                if targets == s.targets.len() && balancers == s.balancers.len() {
                    // Let the balancers' watches catch up.
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Stops one process by label (SIGTERM) and waits for its end.
    pub async fn stop(&mut self, label: &str) {
        let Some(mut child) = self.take(label) else { return };
        signal(&child);
        let deadline = Instant::now() + STOP;
        while Instant::now() < deadline && runs(&mut child) {
            tokio::time::sleep(REAP_POLL).await;
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts a process of the settings by its label: a balancer's or a
    /// target's name, or `agent-` and a target's name. Its log goes to
    /// `<site>-<label>.log` beside the settings file.
    ///
    /// # Errors
    ///
    /// Fails when the label names none, or the process cannot be started.
    pub fn launch(&mut self, label: &str) -> anyhow::Result<()> {
        if self.settings.balancer(label).is_ok() {
            self.spawn(label, &["balancer", "--name", label])
        } else if let Some(target) = label.strip_prefix("agent-") {
            self.spawn(label, &["agent", "--name", target])
        } else {
            self.settings.target(label)?;
            self.spawn(label, &["target", "--name", label])
        }
    }

    /// Stops every process, at once, and waits for their ends; returns the
    /// labels of those that had to be killed.
    pub async fn down(mut self) -> Vec<String> {
        for (_, child) in &self.children {
            signal(child);
        }
        let deadline = Instant::now() + STOP;
        while Instant::now() < deadline && self.children.iter_mut().any(|(_, c)| runs(c)) {
            tokio::time::sleep(REAP_POLL).await;
        }
        let mut killed = Vec::new();
        for (label, child) in &mut self.children {
            if runs(child) {
                let _ = child.kill();
                killed.push(label.clone());
            }
        }
        killed
    }

    /// Sends a signal to one process by label, for example `SIGSTOP` to
    /// freeze it and `SIGCONT` to let it run on.
    pub fn send(&self, label: &str, sig: Signal) {
        if let Some((_, child)) = self.children.iter().find(|(l, _)| l == label)
            && let Ok(pid) = i32::try_from(child.id())
        {
            let _ = kill(Pid::from_raw(pid), sig);
        }
    }

    /// The process id of one process by label.
    #[must_use]
    pub fn pid(&self, label: &str) -> Option<u32> {
        self.children.iter().find(|(l, _)| l == label).map(|(_, c)| c.id())
    }

    /// Kills one process by label at once (SIGKILL), then reaps it.
    pub fn kill(&mut self, label: &str) {
        if let Some(mut child) = self.take(label) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn runs(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(None))
}

fn signal(child: &Child) {
    if let Ok(pid) = i32::try_from(child.id()) {
        let _ = kill(Pid::from_raw(pid), Signal::SIGTERM);
    }
}

/// Waits for a child that was told to stop; kills it after [`STOP`].
fn reap(child: &mut Child) {
    let deadline = Instant::now() + STOP;
    while Instant::now() < deadline {
        if !runs(child) {
            return;
        }
        std::thread::sleep(REAP_POLL);
    }
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Site {
    fn drop(&mut self) {
        // Every process is told at once, then each is joined.
        for (_, child) in &self.children {
            signal(child);
        }
        for (_, child) in &mut self.children {
            reap(child);
        }
    }
}

/// Runs each site, benches it, prints what was served and stops it.
///
/// # Errors
///
/// Fails when a site cannot start.
pub async fn run(args: Args) -> anyhow::Result<()> {
    let mut paths = args.config.clone();
    let dir = std::env::temp_dir().join(format!("jujubepost-up-{}", std::process::id()));
    if paths.is_empty() {
        std::fs::create_dir_all(&dir).context("up: making a temporary folder")?;
        for (name, text) in [("suryakosh.jsonc", SURYAKOSH), ("norte.jsonc", NORTE)] {
            let p = dir.join(name);
            std::fs::write(&p, text).context("up: writing an example")?;
            paths.push(p);
        }
    }
    let exe = std::env::current_exe().context("up: finding this binary")?;
    for path in &paths {
        let mut site = Site::start(&exe, path).await?;
        let settings = site.settings.clone();
        let (rows, changes) = futures_util::join!(
            bench::measure(&settings, &args.load),
            script::play_on(&args.load.change, &mut site)
        );
        bench::print(&settings.site, &rows);
        site.down().await;
        changes?;
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(())
}
