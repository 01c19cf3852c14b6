//! The processes on the platform: the balancer on an entry VM ([`entry`]) and the
//! agent beside a target ([`sidecar`]). They do the I/O and read the clock;
//! [`crate::steering`] and [`crate::tracker`] decide what happens to a packet.

mod distributor;
pub mod entry;
mod held_key;
mod inspect;
pub mod pause;
mod port;
mod registration;
mod relay;
mod reports;
mod route_history;
mod settings;
pub mod sidecar;
pub mod silence;
mod snapshot;
mod socket;

use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

pub use registration::Record;
pub use settings::{Settings, TimeLimits};
pub use snapshot::SnapshotReader;

use crate::http::Server;
use crate::{events, metrics, platform};

/// Prefix of the agents' registrations in the store.
pub const AGENT_PREFIX: &str = "jujubepost/agents/";

/// Timeout of one call to the store, which normally answers in milliseconds. A larger value
/// delays the retry of a lost call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long one watch call waits for a change. A larger value means fewer calls,
/// but a store that has stopped responding is detected later: 0.5 s after this, in time
/// for a change to be in force within 3 s of the 4 s after which a VM counts as in touch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Lease of an agent's registration, renewed at a third of it. Long, to save
/// calls: balancers detect a dead agent by its missing answers, not by the lease.
const AGENT_LEASE_MS: u64 = 300_000;

async fn connect_store(settings: &Settings) -> anyhow::Result<platform::kv::Client> {
    platform::kv::Client::new(settings.store, CALL_TIMEOUT, WATCH_TIMEOUT).await
}

/// Runs `work` until it completes or SIGTERM arrives. On SIGHUP, checks the
/// settings file.
async fn run_until_stopped(path: &Path, work: impl Future<Output = ()>) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("installing the SIGTERM handler")?;
    let mut hup = signal(SignalKind::hangup()).context("installing the SIGHUP handler")?;
    tokio::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return Ok(()),
            _ = term.recv() => return Ok(()),
            _ = hup.recv() => check_settings(path),
        }
    }
}

/// Stops the process's HTTP servers and logs the counters.
async fn shut_down(inspect: Server, ready: Option<Server>) {
    inspect.stop().await;
    if let Some(server) = ready {
        server.stop().await;
    }
    log_counters();
}

fn log_counters() {
    for c in metrics::counter_values() {
        log::info!(
            event = events::COUNTERS, counter = c.name, reason = c.reason, total = c.value;
            "counter total at exit"
        );
    }
    log::logger().flush();
}

/// Reads the settings file and logs whether it is valid. A running process keeps
/// the settings that it was started with.
fn check_settings(path: &Path) {
    match Settings::load(path) {
        Ok(s) => {
            log::info!(
                event = events::EDGE_RELOAD, name:% = s.name;
                "settings file is valid; it takes effect at the next start"
            )
        }
        Err(e) => log::error!(
            event = events::EDGE_RELOAD, error:% = format!("{e:#}");
            "settings file is invalid; the process keeps its settings"
        ),
    }
}
