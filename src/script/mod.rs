//! Scripted changes and faults: what the load tool, the fault matrix and the
//! random runs do to a site while it carries load.
//!
//! A step is written `AT_MS ACTION [ARG]`, for example `1500 drain meter-1`.
//! A running site takes every action that goes over its interfaces; starting,
//! ending and freezing processes is left to whoever started them.

use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, bail};

use crate::admin::{Connection, Faults, faults};
use crate::ctl;
use crate::settings::Settings;
use crate::store;
use crate::target;

/// How long a process may take to take a fault.
const ASK: Duration = Duration::from_secs(1);

/// One change or fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Takes a target out of service.
    Drain(String),
    /// Puts a drained target back.
    Resume(String),
    /// Changes the flow limit of a profile by compare-and-swap.
    Limit(String, u32),
    /// Sets the store stand-in's faults.
    Store(store::Faults),
    /// Sets the fabric stand-in's faults.
    Fabric(Faults),
    /// Sets one balancer's faults.
    Balancer(String, Faults),
    /// Sets one target stand-in's faults.
    Target(String, target::Faults),
    /// Kills a process at once.
    Kill(String),
    /// Stops a process in order (SIGTERM) and waits for its end.
    Stop(String),
    /// Starts a process that was killed or stopped.
    Start(String),
    /// Freezes a process.
    Freeze(String),
    /// Lets a frozen process run on.
    Thaw(String),
}

/// An action and when to take it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time from the start of the run.
    pub at: Duration,
    /// What to do.
    pub action: Action,
}

impl FromStr for Step {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (at, action) = text.trim().split_once(' ').context("script: expected `MS ACTION`")?;
        let at = at.parse().with_context(|| format!("script: `{at}` is not milliseconds"))?;
        let action = action.parse().with_context(|| format!("script: in `{text}`"))?;
        Ok(Self { at: Duration::from_millis(at), action })
    }
}

impl FromStr for Action {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let words: Vec<&str> = text.split_whitespace().collect();
        Ok(match words.as_slice() {
            ["drain", t] => Self::Drain((*t).into()),
            ["resume", t] => Self::Resume((*t).into()),
            ["limit", p, n] => Self::Limit((*p).into(), n.parse().context("limit")?),
            ["store", "outage"] => Self::store(|f| f.outage = true),
            ["store", "ok"] => Self::store(|_| {}),
            ["store", "slow", ms] => {
                let ms = ms.parse().context("slow")?;
                Self::store(|f| f.delay_ms = ms)
            }
            ["store", "lose", n] => {
                let n = n.parse().context("lose")?;
                Self::store(|f| f.lost_responses = n)
            }
            ["store", "forget"] => Self::store(|f| f.clear_history = true),
            ["store", "lapse"] => Self::store(|f| f.refuse_keepalives = true),
            ["fabric", "lose", n] => {
                Self::Fabric(Faults { lost_permille: n.parse()?, ..Faults::default() })
            }
            ["fabric", "mute"] => Self::Fabric(Faults { mute_flows: true, ..Faults::default() }),
            ["fabric", "ok"] => Self::Fabric(Faults::default()),
            ["kill", p] => Self::Kill((*p).into()),
            ["stop", p] => Self::Stop((*p).into()),
            ["start", p] => Self::Start((*p).into()),
            ["freeze", p] => Self::Freeze((*p).into()),
            ["thaw", p] => Self::Thaw((*p).into()),
            _ => bail!("script: unknown action `{text}`"),
        })
    }
}

impl Action {
    /// The store stand-in's faults, changed from none by `set`.
    pub fn store(set: impl FnOnce(&mut store::Faults)) -> Self {
        let mut faults = store::Faults::default();
        set(&mut faults);
        Self::Store(faults)
    }

    /// Takes the action on a running site, over its interfaces only.
    ///
    /// # Errors
    ///
    /// Fails when the site does not take it, or when it needs the processes
    /// themselves.
    pub async fn take(&self, s: &Settings) -> anyhow::Result<()> {
        match self {
            Self::Drain(t) => ctl::drain_target(s, t).await,
            Self::Resume(t) => ctl::resume_target(s, t).await,
            Self::Limit(profile, flows) => ctl::set_flow_limit(s, profile, *flows).await,
            Self::Store(faults) => ctl::set_store_faults(s, faults).await,
            Self::Fabric(faults) => disturb(s.fabric.addr, faults).await,
            Self::Balancer(name, faults) => disturb(s.balancer(name)?.addr, faults).await,
            Self::Target(name, faults) => faults::post(s.target(name)?.addr, faults).await,
            Self::Kill(p) | Self::Stop(p) | Self::Start(p) | Self::Freeze(p) | Self::Thaw(p) => {
                bail!("script: only `up` can do that to process {p}")
            }
        }
    }
}

async fn disturb(addr: std::net::SocketAddr, faults: &Faults) -> anyhow::Result<()> {
    Connection::connect(addr, ASK).await?.set_faults(faults.clone()).await
}

/// Has `take` take each step's action at its time.
///
/// # Errors
///
/// Fails at the first step that fails.
pub async fn play<T>(steps: &[Step], mut take: T) -> anyhow::Result<()>
where
    T: AsyncFnMut(&Action) -> anyhow::Result<()>,
{
    let start = tokio::time::Instant::now();
    for step in steps {
        tokio::time::sleep_until(start + step.at).await;
        take(&step.action).await?;
    }
    Ok(())
}
