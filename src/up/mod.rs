//! Runs whole sites on one machine: every role as its own process of this
//! binary, then a bench run, then a graceful stop of every process.
//!
//! This is for trying jujubepost out and for tests; a production process
//! starts no other process. With no `--config`, it runs the two embedded
//! example sites, Suryakosh (gjw) and the Asociación (norte). Each process
//! logs to a file beside the settings file.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
pub use nix::sys::signal::Signal;

mod children;
pub mod plan;

pub use children::Children;
pub use plan::Plan;

use crate::bench;
use crate::script::{self, Action, Step};
use crate::settings::Settings;
use crate::store::{self, KeyLayout, Kv};

/// The embedded Suryakosh example.
pub const SURYAKOSH: &str = include_str!("../../examples/suryakosh.jsonc");
/// The embedded Asociación example.
pub const NORTE: &str = include_str!("../../examples/norte.jsonc");

/// How long a site may take to come up.
const READY: Duration = Duration::from_secs(20);

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
    children: Children,
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
        let mut site = Self { settings, path: path.to_path_buf(), children: Children::new(exe) };
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

    fn spawn(&mut self, label: &str, args: &[&str]) -> anyhow::Result<()> {
        let (role, rest) = args.split_first().context("up: no role")?;
        let log = self.log(label);
        let config = self.path.display().to_string();
        let args: Vec<&str> =
            [role, "--config", &config].into_iter().chain(rest.iter().copied()).collect();
        self.children.spawn(label, &args, &log)
    }

    async fn ready(&mut self) -> anyhow::Result<()> {
        let s = self.settings.clone();
        let store = store::Client::new(s.store.addr, Duration::from_millis(500)).await;
        let keys = KeyLayout::new(s.store.prefix.clone());
        let deadline = Instant::now() + READY;
        loop {
            self.children.check_alive()?;
            if Instant::now() > deadline {
                bail!("up: site {} not up within {READY:?}", s.site);
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
        self.children.stop(label).await;
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
    pub async fn down(self) -> Vec<String> {
        self.children.down().await
    }

    /// Takes a scripted action on the site and its processes.
    ///
    /// # Errors
    ///
    /// Fails when the site does not take it.
    pub async fn take(&mut self, action: &Action) -> anyhow::Result<()> {
        match action {
            Action::Kill(p) => self.kill(p),
            Action::Stop(p) => self.stop(p).await,
            Action::Start(p) => self.launch(p)?,
            Action::Freeze(p) => self.send(p, Signal::SIGSTOP),
            Action::Thaw(p) => self.send(p, Signal::SIGCONT),
            _ => action.take(&self.settings).await?,
        }
        Ok(())
    }

    /// Takes each step at its time.
    ///
    /// # Errors
    ///
    /// Fails at the first step that fails.
    pub async fn play(&mut self, steps: &[Step]) -> anyhow::Result<()> {
        script::play(steps, async |action| self.take(action).await).await
    }

    /// Sends a signal to one process by label, for example `SIGSTOP` to
    /// freeze it and `SIGCONT` to let it run on.
    pub fn send(&self, label: &str, sig: Signal) {
        self.children.send(label, sig);
    }

    /// The process id of one process by label.
    #[must_use]
    pub fn pid(&self, label: &str) -> Option<u32> {
        self.children.pid(label)
    }

    /// Kills one process by label at once (SIGKILL), then reaps it.
    pub fn kill(&mut self, label: &str) {
        self.children.kill(label);
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
            site.play(&args.load.change)
        );
        bench::print(&settings.site, &rows);
        site.down().await;
        changes?;
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(())
}
