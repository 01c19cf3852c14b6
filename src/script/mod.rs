//! Scripted operator changes and faults, applied to a site under load.
//!
//! A step is written `MS ACTION [ARG]`, for example `1500 drain meter-1`. Actions that
//! the site accepts over its interfaces work on any running site; those that start,
//! stop or freeze processes need the parent of the processes.

use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, bail};

use crate::admin::{Connection, Faults, faults};
use crate::ctl;
use crate::settings::Settings;
use crate::store;
use crate::target;

/// Timeout of the calls that inject faults.
const FAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// An operator change, an injected fault or a signal to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Takes a target out of service.
    Drain(String),
    /// Puts a drained target back into service.
    Resume(String),
    /// Changes the flow limit of a profile, by compare-and-swap.
    Limit(String, u32),
    /// Replaces the faults of the store stand-in.
    Store(store::Faults),
    /// Replaces the faults of the fabric stand-in.
    Fabric(Faults),
    /// Replaces the faults of a balancer.
    Balancer(String, Faults),
    /// Replaces the faults of a target stand-in.
    Target(String, target::Faults),
    /// Kills a process (SIGKILL).
    Kill(String),
    /// Stops a process gracefully (SIGTERM) and waits until it has exited.
    Stop(String),
    /// Starts a process that was killed or stopped.
    Start(String),
    /// Suspends a process (SIGSTOP).
    Freeze(String),
    /// Continues a suspended process (SIGCONT).
    Thaw(String),
}

/// An action and the time at which it is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the script.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

impl FromStr for Step {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (at, action) = text.trim().split_once(' ').context("script: expected `MS ACTION`")?;
        let at =
            at.parse().with_context(|| format!("script: `{at}` is not a time in milliseconds"))?;
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
            ["limit", p, n] => {
                Self::Limit((*p).into(), n.parse().context("script: `limit` needs a number")?)
            }
            ["store", "outage"] => Self::store_fault(|f| f.outage = true),
            ["store", "ok"] => Self::store_fault(|_| {}),
            ["store", "slow", ms] => {
                let ms = ms.parse().context("script: `slow` needs a number")?;
                Self::store_fault(|f| f.delay_ms = ms)
            }
            ["store", "lose", n] => {
                let n = n.parse().context("script: `lose` needs a number")?;
                Self::store_fault(|f| f.lost_responses = n)
            }
            ["store", "forget"] => Self::store_fault(|f| f.clear_history = true),
            ["store", "backup"] => Self::store_fault(|f| f.backup = true),
            ["store", "restore"] => Self::store_fault(|f| f.restore = true),
            ["store", "lapse"] => Self::store_fault(|f| f.refuse_keepalives = true),
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
    /// Replaces the faults of the store stand-in by the default (no fault), modified by
    /// `set`.
    pub fn store_fault(set: impl FnOnce(&mut store::Faults)) -> Self {
        let mut faults = store::Faults::default();
        set(&mut faults);
        Self::Store(faults)
    }

    /// Applies the action to a running site over its interfaces.
    ///
    /// # Errors
    ///
    /// Fails if the site rejects the action or cannot be reached, and for actions on
    /// processes, which only [`Site::apply`](crate::up::Site::apply) supports.
    pub async fn apply(&self, s: &Settings) -> anyhow::Result<()> {
        match self {
            Self::Drain(t) => ctl::drain_target(s, t).await,
            Self::Resume(t) => ctl::resume_target(s, t).await,
            Self::Limit(profile, flows) => ctl::set_flow_limit(s, profile, *flows).await,
            Self::Store(faults) => ctl::set_store_faults(s, faults).await,
            Self::Fabric(faults) => inject_faults(s.fabric.addr, faults).await,
            Self::Balancer(name, faults) => inject_faults(s.balancer(name)?.addr, faults).await,
            Self::Target(name, faults) => faults::post(s.target(name)?.addr, faults).await,
            Self::Kill(p) | Self::Stop(p) | Self::Start(p) | Self::Freeze(p) | Self::Thaw(p) => {
                bail!("script: process {p} can only be signalled or started by `up`")
            }
        }
    }
}

async fn inject_faults(addr: std::net::SocketAddr, faults: &Faults) -> anyhow::Result<()> {
    Connection::connect(addr, FAULT_TIMEOUT).await?.set_faults(faults.clone()).await
}

/// Calls `apply` with the action of each step at its time. Steps are in order of time.
///
/// # Errors
///
/// Returns the first error of `apply`; later steps are skipped.
pub async fn run<T>(steps: &[Step], mut apply: T) -> anyhow::Result<()>
where
    T: AsyncFnMut(&Action) -> anyhow::Result<()>,
{
    let start = tokio::time::Instant::now();
    for step in steps {
        tokio::time::sleep_until(start + step.at).await;
        apply(&step.action).await?;
    }
    Ok(())
}
