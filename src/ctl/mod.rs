//! Operator commands: change profiles, drain and resume targets, print status,
//! and set the faults of the store stand-in.
//!
//! A profile is written by compare-and-swap on its revision: of two concurrent
//! changes from the same revision, exactly one succeeds. Each write carries a
//! random identifier, so that one whose response was lost can be confirmed.

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
use crate::store::revision::RevisionText;
use crate::store::{self, Faults, KeyLayout};

/// Arguments of `jujubepost ctl`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Settings file (JSON with comments).
    #[arg(long, required_unless_present = "at")]
    pub config: Option<PathBuf>,
    /// For `beliefs`: address of the process's VM and its metrics port.
    #[arg(long)]
    pub at: Option<SocketAddr>,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// A command of the operator.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Writes every profile of the settings file that differs from the stored one.
    Apply,
    /// Writes one profile of the settings file if its stored revision is still
    /// `rev` (0: it must not exist yet).
    Put {
        /// Name of the profile in the settings file.
        name: String,
        /// Revision on which the change is based, as `status` prints it.
        #[arg(long)]
        rev: RevisionText,
    },
    /// Takes a target out of service: after the drain grace it accepts no new flows.
    Drain {
        /// The target's name.
        target: String,
    },
    /// Puts a drained target back in service.
    Resume {
        /// The target's name.
        target: String,
    },
    /// Evacuates a data centre: its targets get no new flows and keep the open ones.
    Evacuate {
        /// The data centre's name.
        zone: String,
    },
    /// Ends the evacuation of a data centre.
    Restore {
        /// The data centre's name.
        zone: String,
    },
    /// Prints profiles with their revisions, targets and drains from the store, then
    /// the status and counters of each process.
    Status,
    /// Prints the state of a platform process (`--at`) and its age: configuration,
    /// agents or target and, for one flow, where it goes and by which rule.
    Beliefs {
        /// A flow as in the logs: `CALLER>VIP`, addresses with ports.
        #[arg(long)]
        flow: Option<Flow>,
    },
    /// Waits until the configuration now in the store is in force on every balancer
    /// and agent that responds.
    Wait {
        /// Timeout, in milliseconds.
        #[arg(long, default_value_t = 10_000)]
        timeout_ms: u64,
    },
    /// Replaces the injected faults of the store stand-in.
    Fault {
        /// Fail every call.
        #[arg(long)]
        outage: bool,
        /// Delay of every response, in milliseconds.
        #[arg(long, default_value_t = 0)]
        delay_ms: u64,
        /// Number of next writes that take effect but whose response is lost.
        #[arg(long, default_value_t = 0)]
        lose: u32,
        /// Refuse keepalives, so that leases expire.
        #[arg(long)]
        lapse: bool,
        /// Clear the history kept for watches, once.
        #[arg(long)]
        forget: bool,
        /// Make a backup of all keys, once.
        #[arg(long)]
        backup: bool,
        /// Restore the last backup, once: later changes are lost.
        #[arg(long)]
        restore: bool,
    },
}

/// The outcome of a compare-and-swap write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written,
    /// Another change came first, and nothing was written.
    Conflict,
}

/// Runs one command.
///
/// # Errors
///
/// Fails when the settings are invalid, the store cannot be reached, or a
/// profile was changed concurrently (conflict).
pub async fn run(args: Args) -> anyhow::Result<()> {
    if let Command::Beliefs { flow } = args.command {
        let at = args.at.context("ctl: `beliefs` needs --at VM:PORT")?;
        return print_beliefs(at, flow).await;
    }
    let config = args.config.context("ctl: this command needs --config")?;
    let settings = Settings::load(&config)?;
    let (store, keys) = open_store(&settings).await;
    match args.command {
        Command::Apply => apply_profiles(&store, &keys, &settings.profiles).await,
        Command::Put { name, rev } => {
            let spec = settings
                .profiles
                .iter()
                .find(|p| *p.name == *name)
                .with_context(|| format!("ctl: no profile `{name}` in the settings"))?;
            match write_profile(&store, &keys, spec, rev.0).await? {
                WriteOutcome::Written => Ok(()),
                WriteOutcome::Conflict => {
                    bail!("ctl: profile `{name}` changed since revision {rev}: conflict")
                }
            }
        }
        Command::Beliefs { .. } => Ok(()),
        Command::Drain { target } => drain_target(&settings, &target).await,
        Command::Resume { target } => resume_target(&settings, &target).await,
        Command::Evacuate { zone } => evacuate_zone(&settings, &zone).await,
        Command::Restore { zone } => restore_zone(&settings, &zone).await,
        Command::Status => {
            // The processes respond even when the store is down.
            let stored = print_store(&store, &keys).await;
            fleet::print_statuses(&fleet::fetch_statuses(&settings).await);
            stored
        }
        Command::Wait { timeout_ms } => {
            let took = fleet::wait_in_force(&settings, Duration::from_millis(timeout_ms)).await?;
            println!("in force everywhere after {took:?}");
            Ok(())
        }
        Command::Fault { outage, delay_ms, lose, lapse, forget, backup, restore } => {
            set_store_faults(
                &settings,
                &Faults {
                    outage,
                    delay_ms,
                    lost_responses: lose,
                    refuse_keepalives: lapse,
                    clear_history: forget,
                    backup,
                    restore,
                },
            )
            .await
        }
    }
}

/// Prints the state of the process at `at` as JSON.
async fn print_beliefs(at: SocketAddr, flow: Option<Flow>) -> anyhow::Result<()> {
    let query = flow.map(|f| format!("?flow={f}").replace('>', "%3E")).unwrap_or_default();
    let client = ntex::client::Client::new().await;
    let res = client.get(format!("http://{at}/beliefs{query}")).send().await;
    let res = res.map_err(|e| anyhow::anyhow!("ctl: fetching the state of {at}: {e}"))?;
    let body: serde_json::Value =
        res.json().await.map_err(|e| anyhow::anyhow!("ctl: decoding the response of {at}: {e}"))?;
    println!("{body:#}");
    Ok(())
}

/// Returns a client of the site's store and the layout of its keys.
async fn open_store(s: &Settings) -> (store::Client, KeyLayout) {
    let timeout = Duration::from_millis(s.store.timeout_ms);
    (store::Client::new(s.store.addr, timeout).await, KeyLayout::new(s.store.prefix.clone()))
}

/// Writes a drain order for a target.
///
/// # Errors
///
/// Fails when the target is not in the settings or the store cannot be reached.
pub async fn drain_target(s: &Settings, target: &str) -> anyhow::Result<()> {
    s.target(target)?;
    let (store, keys) = open_store(s).await;
    let value = serde_json::to_vec(&record::Drain { since_ms: unix_ms() })?;
    store.put(&keys.drain_order(target), &value, 0).await?;
    log::info!("{} drain order for target {target} written", events::CTL_WRITTEN);
    Ok(())
}

/// Deletes the drain order of a target, which puts it back in service.
///
/// # Errors
///
/// As [`drain_target`].
pub async fn resume_target(s: &Settings, target: &str) -> anyhow::Result<()> {
    s.target(target)?;
    let (store, keys) = open_store(s).await;
    store.delete(&keys.drain_order(target)).await?;
    log::info!("{} drain order for target {target} deleted", events::CTL_WRITTEN);
    Ok(())
}

/// Writes an order to evacuate a data centre.
///
/// # Errors
///
/// Fails when no target of the settings is in the data centre or the store cannot be
/// reached.
pub async fn evacuate_zone(s: &Settings, zone: &str) -> anyhow::Result<()> {
    check_zone(s, zone)?;
    let (store, keys) = open_store(s).await;
    let value = serde_json::to_vec(&record::Evacuation { since_ms: unix_ms() })?;
    store.put(&keys.evacuation_order(zone), &value, 0).await?;
    log::info!("{} evacuation order for data centre {zone} written", events::CTL_WRITTEN);
    Ok(())
}

/// Deletes the order to evacuate a data centre, whose targets get new flows again.
///
/// # Errors
///
/// As [`evacuate_zone`].
pub async fn restore_zone(s: &Settings, zone: &str) -> anyhow::Result<()> {
    check_zone(s, zone)?;
    let (store, keys) = open_store(s).await;
    store.delete(&keys.evacuation_order(zone)).await?;
    log::info!("{} evacuation order for data centre {zone} deleted", events::CTL_WRITTEN);
    Ok(())
}

fn check_zone(s: &Settings, zone: &str) -> anyhow::Result<()> {
    if s.targets.iter().any(|t| *t.zone == *zone) {
        return Ok(());
    }
    bail!("ctl: no target of the settings is in data centre `{zone}`")
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Sets the flow limit of a profile in the store.
///
/// # Errors
///
/// Fails when the profile is not in the store, the store cannot be reached, or
/// the profile was changed concurrently.
pub async fn set_flow_limit(s: &Settings, profile: &str, flows: u32) -> anyhow::Result<()> {
    let (store, keys) = open_store(s).await;
    let key = keys.profile(profile);
    let kv = store.get(&key).await?.with_context(|| format!("ctl: no profile `{profile}`"))?;
    let rec: record::Profile = serde_json::from_slice(&kv.value)?;
    let spec = ProfileSettings { max_flows: flows, ..rec.spec };
    match write_profile(&store, &keys, &spec, kv.rev).await? {
        WriteOutcome::Written => Ok(()),
        WriteOutcome::Conflict => bail!("ctl: profile `{profile}` changed meanwhile: conflict"),
    }
}

/// Writes each profile that differs from the stored one.
///
/// # Errors
///
/// Fails when the store cannot be reached or a profile was changed concurrently.
pub async fn apply_profiles(
    store: &store::Client,
    keys: &KeyLayout,
    profiles: &[ProfileSettings],
) -> anyhow::Result<()> {
    for spec in profiles {
        let current = store.get(&keys.profile(&spec.name)).await?;
        let rev = current.as_ref().map_or(0, |kv| kv.rev);
        let is_current = current
            .and_then(|kv| serde_json::from_slice::<record::Profile>(&kv.value).ok())
            .is_some_and(|p| p.spec == *spec);
        if is_current {
            continue;
        }
        if write_profile(store, keys, spec, rev).await? == WriteOutcome::Conflict {
            bail!("ctl: profile `{}` changed while applying: conflict", spec.name);
        }
    }
    Ok(())
}

/// Writes one profile if its stored revision is still `rev`.
///
/// # Errors
///
/// Fails when the write fails and reading the profile back fails too, so that
/// the outcome is unknown.
pub async fn write_profile(
    store: &store::Client,
    keys: &KeyLayout,
    spec: &ProfileSettings,
    rev: i64,
) -> anyhow::Result<WriteOutcome> {
    let key = keys.profile(&spec.name);
    let rec = record::Profile { spec: spec.clone(), write_id: rand::random() };
    let value = serde_json::to_vec(&rec)?;
    let outcome = match store.compare_and_swap(&key, &value, rev).await {
        Ok(true) => WriteOutcome::Written,
        Ok(false) => WriteOutcome::Conflict,
        Err(e) => {
            // The write may have taken effect although its response was lost.
            let stored = store
                .get(&key)
                .await
                .with_context(|| format!("ctl: reading {key} back after a failed write: {e:#}"))?;
            let is_own_write = stored
                .and_then(|kv| serde_json::from_slice::<record::Profile>(&kv.value).ok())
                .is_some_and(|p| p.write_id == rec.write_id);
            if is_own_write { WriteOutcome::Written } else { WriteOutcome::Conflict }
        }
    };
    match outcome {
        WriteOutcome::Written => {
            log::info!("{} profile {} written", events::CTL_WRITTEN, spec.name)
        }
        WriteOutcome::Conflict => {
            log::warn!("{} profile {} not written: conflict", events::CTL_CONFLICT, spec.name)
        }
    }
    Ok(outcome)
}

async fn print_store(store: &store::Client, keys: &KeyLayout) -> anyhow::Result<()> {
    let (rev, kvs) = store.list(&keys.root_prefix()).await?;
    println!("store revision {}", RevisionText(rev));
    for kv in kvs {
        let Some((kind, name)) = keys.split(&kv.key) else { continue };
        let lease = if kv.lease == 0 { String::new() } else { format!(" lease {}", kv.lease) };
        let since = match serde_json::from_slice::<record::Evacuation>(&kv.value) {
            Ok(order) if kind == "evacuate" => {
                format!(" for {} s", unix_ms().saturating_sub(order.since_ms) / 1_000)
            }
            _ => String::new(),
        };
        println!("{kind:<10} {name:<16} rev {}{lease}{since}", RevisionText(kv.rev));
    }
    Ok(())
}

/// Replaces the injected faults of the store stand-in.
///
/// # Errors
///
/// Fails when the stand-in cannot be reached.
pub async fn set_store_faults(settings: &Settings, faults: &Faults) -> anyhow::Result<()> {
    admin::faults::post(settings.store.addr, faults).await.context("ctl: store stand-in")
}
