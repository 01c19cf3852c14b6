//! The product's roles on the users' platform: the balancer on an entry VM
//! ([`entry`]) and the agent beside a target ([`sidecar`]). They own sockets,
//! clocks and the store; what to do with a packet is decided by
//! [`crate::steer`] and [`crate::tracker`].

mod announce;
pub mod entry;
mod inspect;
mod listing;
mod pause;
mod port;
mod relay;
mod reports;
mod settings;
pub mod sidecar;
mod socket;

use std::path::Path;
use std::time::Duration;

use anyhow::Context;
pub use listing::Reader;
pub use settings::{Bounds, Settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::listen::Server;
use crate::{events, metrics, platform};

/// Prefix of the agents' entries in the store.
pub const AGENTS: &str = "jujubepost/agents/";

/// Timeout of one call to the store. It answers in milliseconds; a call that
/// was lost is made again within the second that a change may take.
const CALL: Duration = Duration::from_millis(1_000);

/// How long one watch waits. A service that went silent is found 0.5 s after
/// this, so that a change of the configuration is still in force within 3 s
/// of the 4 s after which a process counts as in touch.
const WATCH: Duration = Duration::from_millis(3_000);

/// Time to live of an agent's entry: long, since agents that die are found by
/// their silence, and each renewal, at a third of this, is a call.
const LEASE_MS: u64 = 300_000;

async fn store(settings: &Settings) -> anyhow::Result<platform::kv::Client> {
    platform::kv::Client::new(settings.store, CALL, WATCH).await
}

/// Does `work` until the process is told to stop; reads the settings again
/// whenever it is told that they changed.
async fn until_stopped(path: &Path, work: impl Future<Output = ()>) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("signal")?;
    let mut hup = signal(SignalKind::hangup()).context("signal")?;
    tokio::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return Ok(()),
            _ = term.recv() => return Ok(()),
            _ = hup.recv() => reload(path),
        }
    }
}

/// Ends what a role served and logs the totals of all counters.
async fn finish(inspect: Server, ready: Option<Server>) {
    inspect.stop().await;
    if let Some(server) = ready {
        server.stop().await;
    }
    log_counters();
}

/// Logs the totals of all counters.
fn log_counters() {
    for c in metrics::snapshot() {
        log::info!(
            event = events::COUNTERS, counter = c.name, reason = c.reason, total = c.value;
            "total"
        );
    }
    log::logger().flush();
}

/// Reads the settings again and says whether they are good. What a process
/// was started with stays in force: its addresses and its data centre do not
/// change while it runs.
fn reload(path: &Path) {
    match Settings::load(path) {
        Ok(s) => log::info!(event = events::EDGE_RELOAD, name:% = s.name; "settings read again"),
        Err(e) => log::error!(
            event = events::EDGE_RELOAD, error:% = format!("{e:#}");
            "settings refused, the old ones stay in force"
        ),
    }
}
