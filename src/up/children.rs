//! Labelled processes of this binary: started with a log file each, signalled
//! and joined.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// How long a stopping process may take before it is killed.
const STOP: Duration = Duration::from_secs(10);

/// How often a stopping process is looked at.
const REAP_POLL: Duration = Duration::from_millis(20);

/// The processes of one run, joined on drop.
#[derive(Debug)]
pub struct Children {
    exe: PathBuf,
    list: Vec<(String, Child)>,
}

impl Children {
    /// No processes yet, of the binary `exe`.
    #[must_use]
    pub fn new(exe: &Path) -> Self {
        Self { exe: exe.to_path_buf(), list: Vec::new() }
    }

    /// Starts one with `args`; what it writes goes to the end of `log`.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be opened or the process not be started.
    pub fn spawn(&mut self, label: &str, args: &[&str], log: &Path) -> anyhow::Result<()> {
        let file = std::fs::File::options().create(true).append(true).open(log);
        let file = file.with_context(|| format!("up: opening {}", log.display()))?;
        let out = file.try_clone().with_context(|| format!("up: opening {}", log.display()))?;
        let child = Command::new(&self.exe)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(file)
            .spawn()
            .with_context(|| format!("up: starting {label}"))?;
        self.list.push((label.to_string(), child));
        Ok(())
    }

    /// Fails when a process has ended by itself, as one does whose address is
    /// taken.
    ///
    /// # Errors
    ///
    /// Names the process.
    pub fn check_alive(&mut self) -> anyhow::Result<()> {
        for (label, child) in &mut self.list {
            if !runs(child) {
                bail!("up: {label} ended at its start; see its log");
            }
        }
        Ok(())
    }

    fn take(&mut self, label: &str) -> Option<Child> {
        let i = self.list.iter().position(|(l, _)| l == label)?;
        Some(self.list.remove(i).1)
    }

    /// Stops one process by label (SIGTERM) and waits for its end.
    pub async fn stop(&mut self, label: &str) {
        let Some(mut child) = self.take(label) else { return };
        send(&child, Signal::SIGTERM);
        let deadline = Instant::now() + STOP;
        while Instant::now() < deadline && runs(&mut child) {
            tokio::time::sleep(REAP_POLL).await;
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Stops every process, at once, and waits for their ends; returns the
    /// labels of those that had to be killed.
    pub async fn stop_all(mut self) -> Vec<String> {
        for (_, child) in &self.list {
            send(child, Signal::SIGTERM);
        }
        let deadline = Instant::now() + STOP;
        while Instant::now() < deadline && self.list.iter_mut().any(|(_, c)| runs(c)) {
            tokio::time::sleep(REAP_POLL).await;
        }
        let mut killed = Vec::new();
        for (label, child) in &mut self.list {
            if runs(child) {
                let _ = child.kill();
                killed.push(label.clone());
            }
        }
        killed
    }

    /// Sends a signal to one process by label, for example `SIGSTOP` to
    /// freeze it and `SIGCONT` to let it run on.
    pub fn send_signal(&self, label: &str, sig: Signal) {
        if let Some((_, child)) = self.list.iter().find(|(l, _)| l == label) {
            send(child, sig);
        }
    }

    /// The process id of one process by label.
    #[must_use]
    pub fn pid(&self, label: &str) -> Option<u32> {
        self.list.iter().find(|(l, _)| l == label).map(|(_, c)| c.id())
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

fn send(child: &Child, sig: Signal) {
    if let Ok(pid) = i32::try_from(child.id()) {
        let _ = kill(Pid::from_raw(pid), sig);
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

impl Drop for Children {
    fn drop(&mut self) {
        // Every process is told at once, then each is joined.
        for (_, child) in &self.list {
            send(child, Signal::SIGTERM);
        }
        for (_, child) in &mut self.list {
            reap(child);
        }
    }
}
