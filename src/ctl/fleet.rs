//! Status of all processes of a site, and waiting until a change is in force on
//! every one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::bail;

use crate::admin::{self, Status};
use crate::settings::Settings;
use crate::store::revision::RevisionText;
use crate::store::{self, KeyLayout, Snapshot};

/// Timeout of a status call to one process.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two rounds of status calls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process of the site with an admin server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// `balancer`, `agent` or `fabric`.
    pub role: &'static str,
    /// Name in the settings.
    pub name: Arc<str>,
    /// Address of its admin server.
    pub addr: SocketAddr,
}

/// Lists the balancers, the agents and the fabric of the site.
#[must_use]
pub fn processes(s: &Settings) -> Vec<Process> {
    let balancers = s.balancers.iter().map(|b| Process {
        role: "balancer",
        name: b.name.clone(),
        addr: b.addr,
    });
    let agents = s.targets.iter().map(|t| Process {
        role: "agent",
        name: t.name.clone(),
        addr: t.agent_addr,
    });
    let fabric = Process { role: "fabric", name: "fabric".into(), addr: s.fabric.addr };
    balancers.chain(agents).chain([fabric]).collect()
}

/// Fetches the status of every process concurrently. A process that does not
/// respond has an error in its place.
pub async fn fetch_statuses(s: &Settings) -> Vec<(Process, anyhow::Result<Status>)> {
    let calls = processes(s).into_iter().map(|p| async move {
        let status = admin::fetch_status(p.addr, CALL_TIMEOUT).await;
        (p, status)
    });
    futures_util::future::join_all(calls).await
}

/// Waits until every balancer and agent that responds applies the configuration
/// that is now in the store. Returns how long that took.
///
/// # Errors
///
/// Fails when the store cannot be read, or when `timeout` passes first; the error
/// then names the processes that lag behind.
pub async fn wait_in_force(s: &Settings, timeout: Duration) -> anyhow::Result<Duration> {
    let start = Instant::now();
    let prefix = KeyLayout::new(s.store.prefix.clone()).config_prefix();
    let store = store::Client::new(s.store.addr, Duration::from_millis(s.store.timeout_ms)).await;
    let expected = Snapshot::list(&store, &prefix).await?;
    let fingerprint = expected.fingerprint(&prefix);
    loop {
        let lagging: Vec<String> = fetch_statuses(s)
            .await
            .into_iter()
            .filter(|(p, _)| p.role != "fabric")
            .filter_map(|(p, st)| {
                let st = st.ok()?;
                (st.config_fingerprint != fingerprint)
                    .then(|| format!("{} at {}", p.name, RevisionText(st.rev)))
            })
            .collect();
        if lagging.is_empty() {
            return Ok(start.elapsed());
        }
        if start.elapsed() >= timeout {
            bail!(
                "ctl: configuration of revision {} not in force within {timeout:?}: {}",
                RevisionText(expected.rev),
                lagging.join(", ")
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints one line for each process, followed by its counters.
pub fn print_statuses(statuses: &[(Process, anyhow::Result<Status>)]) {
    for (p, status) in statuses {
        match status {
            Ok(s) => {
                println!(
                    "{:<9} {:<16} {} rev {} orders {:016x} flows {} waiting {}",
                    p.role,
                    p.name,
                    if s.ready { "ready" } else { "not-ready" },
                    RevisionText(s.rev),
                    s.config_fingerprint,
                    s.flows,
                    s.waiting
                );
                for c in &s.counters {
                    println!("          {c}");
                }
            }
            Err(e) => println!("{:<9} {:<16} silent: {e:#}", p.role, p.name),
        }
    }
}
