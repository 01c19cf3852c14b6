//! The operator's tool: declare and change profiles, take targets out of
//! service and back, show status, and set the store stand-in's faults.
//!
//! A profile change is a compare-and-swap on the profile's revision: of two
//! operators who change the same profile from the same revision, exactly one
//! wins and the other gets a conflict error. A write whose answer is lost is
//! read back: each write carries a random `writer` identifier.

pub mod fleet;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, bail};
use clap::Subcommand;

use crate::admin;
use crate::events;
use crate::flow::Flow;
use crate::record;
use crate::settings::{ProfileSettings, Settings};
use crate::store::{self, Faults, KeyLayout};

/// Arguments of `jujubepost ctl`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Settings file (JSON with comments).
    #[arg(long, required_unless_present = "at")]
    pub config: Option<PathBuf>,
    /// For `beliefs`: the process's VM and metrics port.
    #[arg(long)]
    pub at: Option<SocketAddr>,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The operator's commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Writes every profile of the settings file whose stored form differs.
    Apply,
    /// Writes one profile from the settings file, only if its stored
    /// revision is still `rev` (0: it must not exist yet).
    Put {
        /// The profile's name in the settings file.
        name: String,
        /// The revision the change is based on, as `status` shows it.
        #[arg(long)]
        rev: i64,
    },
    /// Takes a target out of service: no new flows after the grace.
    Drain {
        /// The target's name.
        target: String,
    },
    /// Puts a drained target back in service.
    Resume {
        /// The target's name.
        target: String,
    },
    /// Prints profiles with their revisions, targets and drains, then what
    /// each process says of itself, with its counters.
    Status,
    /// Prints what a process on the platform (`--at`) believes and how old it
    /// is: configuration, agents or target and, for one flow, where it goes
    /// and by which rule.
    Beliefs {
        /// A flow as logs write it: `CALLER>SERVICE`, addresses with ports.
        #[arg(long)]
        flow: Option<Flow>,
    },
    /// Waits until the orders now in the store are in force in every balancer
    /// and agent that answers.
    Wait {
        /// Give up after this long, in milliseconds.
        #[arg(long, default_value_t = 10_000)]
        timeout_ms: u64,
    },
    /// Sets the store stand-in's injected faults.
    Fault {
        /// Every call fails while set.
        #[arg(long)]
        outage: bool,
        /// Every answer comes this late, in milliseconds.
        #[arg(long, default_value_t = 0)]
        delay_ms: u64,
        /// The next N writes take effect but lose their answer.
        #[arg(long, default_value_t = 0)]
        lose: u32,
        /// Keepalives are refused so leases lapse.
        #[arg(long)]
        lapse: bool,
        /// The history kept for watches is forgotten at once.
        #[arg(long)]
        forget: bool,
    },
}

/// The outcome of a compare-and-swap write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect.
    Written,
    /// Another change came first; nothing was written.
    Conflict,
}

/// Runs one operator command.
///
/// # Errors
///
/// Fails when the settings are bad, the store cannot be reached, or a change
/// lost a race (conflict).
pub async fn run(args: Args) -> anyhow::Result<()> {
    if let Command::Beliefs { flow } = args.command {
        let at = args.at.context("ctl: `beliefs` needs --at VM:PORT")?;
        return beliefs(at, flow).await;
    }
    let config = args.config.context("ctl: this command needs --config")?;
    let settings = Settings::load(&config)?;
    let (store, keys) = open(&settings).await;
    match args.command {
        Command::Apply => apply(&store, &keys, &settings.profiles).await,
        Command::Put { name, rev } => {
            let spec = settings
                .profiles
                .iter()
                .find(|p| *p.name == *name)
                .with_context(|| format!("ctl: no profile `{name}` in the settings"))?;
            match put(&store, &keys, spec, rev).await? {
                Outcome::Written => Ok(()),
                Outcome::Conflict => {
                    bail!("ctl: profile `{name}` changed since revision {rev}: conflict")
                }
            }
        }
        Command::Beliefs { .. } => Ok(()),
        Command::Drain { target } => drain(&settings, &target).await,
        Command::Resume { target } => resume(&settings, &target).await,
        Command::Status => {
            // The store may be down: the processes still answer.
            let stored = status(&store, &keys).await;
            fleet::print(&fleet::statuses(&settings).await);
            stored
        }
        Command::Wait { timeout_ms } => {
            let took = fleet::in_force(&settings, Duration::from_millis(timeout_ms)).await?;
            println!("in force everywhere after {took:?}");
            Ok(())
        }
        Command::Fault { outage, delay_ms, lose, lapse, forget } => {
            fault(
                &settings,
                &Faults {
                    outage,
                    delay_ms,
                    lost_responses: lose,
                    refuse_keepalives: lapse,
                    clear_history: forget,
                },
            )
            .await
        }
    }
}

/// Prints what the process at `at` believes.
async fn beliefs(at: SocketAddr, flow: Option<Flow>) -> anyhow::Result<()> {
    let query = flow.map(|f| format!("?flow={f}").replace('>', "%3E")).unwrap_or_default();
    let client = ntex::client::Client::new().await;
    let res = client.get(format!("http://{at}/beliefs{query}")).send().await;
    let res = res.map_err(|e| anyhow::anyhow!("ctl: asking {at}: {e}"))?;
    let body: serde_json::Value =
        res.json().await.map_err(|e| anyhow::anyhow!("ctl: answer of {at}: {e}"))?;
    println!("{body:#}");
    Ok(())
}

/// A client of the site's store, and its keys.
async fn open(s: &Settings) -> (store::Client, KeyLayout) {
    let timeout = Duration::from_millis(s.store.timeout_ms);
    (store::Client::new(s.store.addr, timeout).await, KeyLayout::new(s.store.prefix.clone()))
}

/// Takes a target out of service.
///
/// # Errors
///
/// Fails when the target is not in the settings or the store cannot be
/// reached.
pub async fn drain(s: &Settings, target: &str) -> anyhow::Result<()> {
    s.target(target)?;
    let (store, keys) = open(s).await;
    let since_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
    let value = serde_json::to_vec(&record::Drain { since_ms })?;
    store.put(&keys.drain_order(target), &value, 0).await?;
    log::info!("{} target {target} drains", events::CTL_WRITTEN);
    Ok(())
}

/// Puts a drained target back in service.
///
/// # Errors
///
/// As [`drain`].
pub async fn resume(s: &Settings, target: &str) -> anyhow::Result<()> {
    s.target(target)?;
    let (store, keys) = open(s).await;
    store.delete(&keys.drain_order(target)).await?;
    log::info!("{} target {target} back in service", events::CTL_WRITTEN);
    Ok(())
}

/// Sets the flow limit of a profile, based on its present revision.
///
/// # Errors
///
/// Fails when the profile is not in the store, the store cannot be reached,
/// or another operator changed the profile meanwhile.
pub async fn limit(s: &Settings, profile: &str, flows: u32) -> anyhow::Result<()> {
    let (store, keys) = open(s).await;
    let key = keys.profile(profile);
    let kv = store.get(&key).await?.with_context(|| format!("ctl: no profile `{profile}`"))?;
    let rec: record::Profile = serde_json::from_slice(&kv.value)?;
    let spec = ProfileSettings { max_flows: flows, ..rec.spec };
    match put(&store, &keys, &spec, kv.rev).await? {
        Outcome::Written => Ok(()),
        Outcome::Conflict => bail!("ctl: profile `{profile}` changed meanwhile: conflict"),
    }
}

/// Writes each profile whose stored form differs, based on the revision just
/// read.
///
/// # Errors
///
/// Fails when the store cannot be reached or a profile changed meanwhile.
pub async fn apply(
    store: &store::Client,
    keys: &KeyLayout,
    profiles: &[ProfileSettings],
) -> anyhow::Result<()> {
    for spec in profiles {
        let current = store.get(&keys.profile(&spec.name)).await?;
        let rev = current.as_ref().map_or(0, |kv| kv.rev);
        let same = current
            .and_then(|kv| serde_json::from_slice::<record::Profile>(&kv.value).ok())
            .is_some_and(|p| p.spec == *spec);
        if same {
            continue;
        }
        if put(store, keys, spec, rev).await? == Outcome::Conflict {
            bail!("ctl: profile `{}` changed while applying: conflict", spec.name);
        }
    }
    Ok(())
}

/// Writes one profile if its revision is still `rev`.
///
/// # Errors
///
/// Fails when the store cannot be reached and the write cannot be confirmed.
pub async fn put(
    store: &store::Client,
    keys: &KeyLayout,
    spec: &ProfileSettings,
    rev: i64,
) -> anyhow::Result<Outcome> {
    let key = keys.profile(&spec.name);
    let rec = record::Profile { spec: spec.clone(), write_id: rand::random() };
    let value = serde_json::to_vec(&rec)?;
    let outcome = match store.compare_and_swap(&key, &value, rev).await {
        Ok(true) => Outcome::Written,
        Ok(false) => Outcome::Conflict,
        Err(e) => {
            // The answer may be lost after the write took effect: read back.
            let now = store
                .get(&key)
                .await
                .with_context(|| format!("ctl: confirming {key} after: {e:#}"))?;
            let mine = now
                .and_then(|kv| serde_json::from_slice::<record::Profile>(&kv.value).ok())
                .is_some_and(|p| p.write_id == rec.write_id);
            if mine { Outcome::Written } else { Outcome::Conflict }
        }
    };
    match outcome {
        Outcome::Written => log::info!("{} profile {} written", events::CTL_WRITTEN, spec.name),
        Outcome::Conflict => {
            log::warn!("{} profile {} not written: conflict", events::CTL_CONFLICT, spec.name)
        }
    }
    Ok(outcome)
}

async fn status(store: &store::Client, keys: &KeyLayout) -> anyhow::Result<()> {
    let (rev, kvs) = store.list(&keys.root_prefix()).await?;
    println!("store revision {rev}");
    for kv in kvs {
        let Some((kind, name)) = keys.split(&kv.key) else { continue };
        let lease = if kv.lease == 0 { String::new() } else { format!(" lease {}", kv.lease) };
        println!("{kind:<10} {name:<16} rev {}{lease}", kv.rev);
    }
    Ok(())
}

/// Sets the store stand-in's faults.
///
/// # Errors
///
/// Fails when the stand-in cannot be reached.
pub async fn fault(settings: &Settings, faults: &Faults) -> anyhow::Result<()> {
    admin::faults::post(settings.store.addr, faults).await.context("ctl: the store stand-in")
}
