//! Runs whole sites on one machine, for trials and tests: each role as a process of
//! this binary, then a load run, then a graceful stop of all processes.
//!
//! Without `--config` it runs the two embedded example sites. Each process logs to a
//! file beside the settings file.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
pub use nix::sys::signal::Signal;

mod children;
pub mod spec;

pub use children::Children;
pub use spec::SiteSpec;

use crate::bench;
use crate::script::{self, Action, Step};
use crate::settings::Settings;
use crate::store::{self, KeyLayout, Kv};

/// Settings of the embedded example site `suryakosh`.
pub const SURYAKOSH: &str = include_str!("../../examples/suryakosh.jsonc");
/// Settings of the embedded example site `norte`.
pub const NORTE: &str = include_str!("../../examples/norte.jsonc");

/// How long a site may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Arguments of `jujubepost up`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Settings file of a site; may be repeated. Without it, the embedded examples run.
    #[arg(long)]
    pub config: Vec<PathBuf>,
    /// The load; its changes may also start, stop and freeze processes.
    #[command(flatten)]
    pub load: bench::Load,
}

/// A running site; dropping it stops its processes and waits for their exit.
pub struct Site {
    /// Settings of the site.
    pub settings: Settings,
    /// Settings file that its processes read.
    pub path: PathBuf,
    children: Children,
}

impl Site {
    /// Starts all processes of the site from the binary `exe`, then waits until all
    /// profiles are written and all targets and balancers are registered.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or the site is not ready in time.
    pub async fn start(exe: &Path, path: &Path) -> anyhow::Result<Self> {
        let settings = Settings::load(path)?;
        let targets = settings.targets.iter().map(|t| t.name.to_string());
        let agents = settings.targets.iter().map(|t| format!("agent-{}", t.name));
        let balancers = settings.balancers.iter().map(|b| b.name.to_string());
        let labels: Vec<String> = targets.chain(agents).chain(balancers).collect();
        let mut site = Self { settings, path: path.to_path_buf(), children: Children::new(exe) };
        site.spawn("store", &["store"])?;
        for label in &labels {
            site.launch(label)?;
        }
        site.spawn("fabric", &["fabric"])?;
        site.wait_until_ready().await?;
        Ok(site)
    }

    fn log_path(&self, label: &str) -> PathBuf {
        self.path.with_file_name(format!("{}-{label}.log", self.settings.site))
    }

    fn spawn(&mut self, label: &str, args: &[&str]) -> anyhow::Result<()> {
        let (role, rest) = args.split_first().context("up: the arguments name no role")?;
        let log_path = self.log_path(label);
        let config = self.path.display().to_string();
        let args: Vec<&str> =
            [role, "--config", &config].into_iter().chain(rest.iter().copied()).collect();
        self.children.spawn(label, &args, &log_path)
    }

    async fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let s = self.settings.clone();
        let store = store::Client::new(s.store.addr, Duration::from_millis(500)).await;
        let keys = KeyLayout::new(s.store.prefix.clone());
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            self.children.check_alive()?;
            if Instant::now() > deadline {
                bail!("up: site {} not ready within {READY_TIMEOUT:?}", s.site);
            }
            if crate::ctl::apply_profiles(&store, &keys, &s.profiles).await.is_ok()
                && let Ok((_, kvs)) = store.list(&keys.root_prefix()).await
            {
                let count = |kind| {
                    let of_kind = |kv: &&Kv| keys.split(&kv.key).is_some_and(|(k, _)| k == kind);
                    kvs.iter().filter(of_kind).count()
                };
                let (targets, balancers) = (count("targets"), count("balancers"));
                if targets == s.targets.len() && balancers == s.balancers.len() {
                    // The balancers receive the same keys a little later, through their watches.
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Stops a process gracefully (SIGTERM) and waits until it has exited.
    pub async fn stop(&mut self, label: &str) {
        self.children.stop(label).await;
    }

    /// Starts a process of the site by its label: the name of a balancer or a target, or
    /// `agent-` and the name of a target. It logs to `<site>-<label>.log` beside the
    /// settings file.
    ///
    /// # Errors
    ///
    /// Fails if the settings have no such process or it cannot be started.
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

    /// Stops all processes gracefully and in parallel, and waits until they have exited.
    /// Returns the labels of those that had to be killed after a timeout.
    pub async fn shut_down(self) -> Vec<String> {
        self.children.stop_all().await
    }

    /// Applies a scripted action to the site or one of its processes.
    ///
    /// # Errors
    ///
    /// Fails if the site rejects the action or a process cannot be started.
    pub async fn apply(&mut self, action: &Action) -> anyhow::Result<()> {
        match action {
            Action::Kill(p) => self.kill(p),
            Action::Stop(p) => self.stop(p).await,
            Action::Start(p) => self.launch(p)?,
            Action::Freeze(p) => self.send_signal(p, Signal::SIGSTOP),
            Action::Thaw(p) => self.send_signal(p, Signal::SIGCONT),
            _ => action.apply(&self.settings).await?,
        }
        Ok(())
    }

    /// Applies the action of each step at its time.
    ///
    /// # Errors
    ///
    /// Returns the error of the first action that fails; later steps are skipped.
    pub async fn run_script(&mut self, steps: &[Step]) -> anyhow::Result<()> {
        script::run(steps, async |action| self.apply(action).await).await
    }

    /// Sends a signal to a process, for example `SIGSTOP` to suspend it.
    pub fn send_signal(&self, label: &str, sig: Signal) {
        self.children.send_signal(label, sig);
    }

    /// Returns the process id of a process.
    #[must_use]
    pub fn pid(&self, label: &str) -> Option<u32> {
        self.children.pid(label)
    }

    /// Kills a process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self, label: &str) {
        self.children.kill(label);
    }
}

/// Runs the sites one after the other: starts each, puts load on it, prints the reports
/// and stops it.
///
/// # Errors
///
/// Fails if a site cannot be started or a scripted change fails.
pub async fn run(args: Args) -> anyhow::Result<()> {
    let mut paths = args.config.clone();
    let dir = std::env::temp_dir().join(format!("jujubepost-up-{}", std::process::id()));
    if paths.is_empty() {
        std::fs::create_dir_all(&dir).context("up: creating a temporary folder")?;
        for (name, text) in [("suryakosh.jsonc", SURYAKOSH), ("norte.jsonc", NORTE)] {
            let p = dir.join(name);
            std::fs::write(&p, text).context("up: writing the example settings")?;
            paths.push(p);
        }
    }
    let exe = std::env::current_exe().context("up: finding this binary")?;
    for path in &paths {
        let mut site = Site::start(&exe, path).await?;
        let settings = site.settings.clone();
        let (reports, changes) = futures_util::join!(
            bench::measure(&settings, &args.load),
            site.run_script(&args.load.change)
        );
        bench::print(&settings.site, &reports);
        site.shut_down().await;
        changes?;
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(())
}
