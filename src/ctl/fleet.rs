//! What the processes of a site say of themselves: their status, and from
//! when on a change is in force everywhere.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::bail;

use crate::admin::{self, Status};
use crate::settings::Settings;
use crate::store::{self, KeyLayout, Snapshot};

/// How long one process may take to answer.
const ASK: Duration = Duration::from_millis(500);

/// Pause between two rounds of asking.
const PAUSE: Duration = Duration::from_millis(20);

/// One process of the site, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// `balancer`, `agent` or `fabric`.
    pub role: &'static str,
    /// Its name.
    pub name: Arc<str>,
    /// Where it answers.
    pub addr: SocketAddr,
}

/// Every process of the site that can be asked.
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

/// Asks every process at once; a silent one has an error.
pub async fn statuses(s: &Settings) -> Vec<(Process, anyhow::Result<Status>)> {
    let asked = processes(s).into_iter().map(|p| async move {
        let status = admin::fetch_status(p.addr, ASK).await;
        (p, status)
    });
    futures_util::future::join_all(asked).await
}

/// Waits until every balancer and agent that answers applies the orders now in
/// the store; returns how long that took.
///
/// # Errors
///
/// Fails when the store cannot be read or, naming the processes that lag,
/// when `timeout` passes first.
pub async fn in_force(s: &Settings, timeout: Duration) -> anyhow::Result<Duration> {
    let start = Instant::now();
    let prefix = KeyLayout::new(s.store.prefix.clone()).config_prefix();
    let store = store::Client::new(s.store.addr, Duration::from_millis(s.store.timeout_ms)).await;
    let want = Snapshot::list(&store, &prefix).await?;
    let stamp = want.fingerprint(&prefix);
    loop {
        let behind: Vec<String> = statuses(s)
            .await
            .into_iter()
            .filter(|(p, _)| p.role != "fabric")
            .filter_map(|(p, st)| {
                let st = st.ok()?;
                (st.config_fingerprint != stamp).then(|| format!("{} at {}", p.name, st.rev))
            })
            .collect();
        if behind.is_empty() {
            return Ok(start.elapsed());
        }
        if start.elapsed() >= timeout {
            bail!(
                "ctl: orders of revision {} not in force within {timeout:?}: {}",
                want.rev,
                behind.join(", ")
            );
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Prints one line a process, then its counters.
pub fn print(rows: &[(Process, anyhow::Result<Status>)]) {
    for (p, status) in rows {
        match status {
            Ok(s) => {
                println!(
                    "{:<9} {:<16} {} rev {} orders {:016x} flows {} waiting {}",
                    p.role,
                    p.name,
                    if s.ready { "ready" } else { "not-ready" },
                    s.rev,
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
