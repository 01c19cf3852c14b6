//! Child processes of this binary, identified by a label: started with a log file each,
//! signalled, and stopped when dropped.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// How long a process may take to stop after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a stopping process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Labelled child processes; dropping it stops them and waits for their exit.
#[derive(Debug)]
pub struct Children {
    exe: PathBuf,
    processes: Vec<(String, Child)>,
}

impl Children {
    /// Creates an empty set of processes that will run the binary `exe`.
    #[must_use]
    pub fn new(exe: &Path) -> Self {
        Self { exe: exe.to_path_buf(), processes: Vec::new() }
    }

    /// Starts a process with `args` and appends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the process cannot be started.
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
        self.processes.push((label.to_string(), child));
        Ok(())
    }

    /// Checks that no process has exited, as one does whose address is in use.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first process that has exited.
    pub fn check_alive(&mut self) -> anyhow::Result<()> {
        for (label, child) in &mut self.processes {
            if !is_running(child) {
                bail!("up: process {label} exited early; see its log");
            }
        }
        Ok(())
    }

    fn remove(&mut self, label: &str) -> Option<Child> {
        let i = self.processes.iter().position(|(l, _)| l == label)?;
        Some(self.processes.remove(i).1)
    }

    /// Stops a process gracefully (SIGTERM) and waits until it has exited; kills it after
    /// a timeout.
    pub async fn stop(&mut self, label: &str) {
        let Some(mut child) = self.remove(label) else { return };
        signal_child(&child, Signal::SIGTERM);
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline && is_running(&mut child) {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Stops all processes gracefully and in parallel, and waits until they have exited.
    /// Returns the labels of those that had to be killed after a timeout.
    pub async fn stop_all(mut self) -> Vec<String> {
        for (_, child) in &self.processes {
            signal_child(child, Signal::SIGTERM);
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline && self.processes.iter_mut().any(|(_, c)| is_running(c)) {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        let mut killed = Vec::new();
        for (label, child) in &mut self.processes {
            if is_running(child) {
                let _ = child.kill();
                killed.push(label.clone());
            }
        }
        killed
    }

    /// Sends a signal to a process, for example `SIGSTOP` to suspend it.
    pub fn send_signal(&self, label: &str, sig: Signal) {
        if let Some((_, child)) = self.processes.iter().find(|(l, _)| l == label) {
            signal_child(child, sig);
        }
    }

    /// Returns the process id of a process.
    #[must_use]
    pub fn pid(&self, label: &str) -> Option<u32> {
        self.processes.iter().find(|(l, _)| l == label).map(|(_, c)| c.id())
    }

    /// Kills a process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self, label: &str) {
        if let Some(mut child) = self.remove(label) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn is_running(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(None))
}

fn signal_child(child: &Child, sig: Signal) {
    if let Ok(pid) = i32::try_from(child.id()) {
        let _ = kill(Pid::from_raw(pid), sig);
    }
}

/// Waits for a process that was sent SIGTERM; kills it after [`STOP_TIMEOUT`].
fn wait_or_kill(child: &mut Child) {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline {
        if !is_running(child) {
            return;
        }
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Children {
    fn drop(&mut self) {
        // All processes are signalled first, so that they stop in parallel.
        for (_, child) in &self.processes {
            signal_child(child, Signal::SIGTERM);
        }
        for (_, child) in &mut self.processes {
            wait_or_kill(child);
        }
    }
}
