//! The `jujubepost` command line: one subcommand for each role and tool.

use std::path::PathBuf;

use clap::{Parser, Subcommand};
use jujubepost::settings::Settings;
use jujubepost::{
    agent, balancer, bench, ctl, edge, experiment, fabric, platform, target, trial, up,
};

/// A layer-4 load balancer whose balancers keep no per-flow state.
#[derive(Debug, Parser)]
#[command(name = "jujubepost", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one balancer of a site.
    Balancer(ProcessArgs),
    /// Runs the agent beside one target.
    Agent(ProcessArgs),
    /// Runs the balancer on an entry VM of the platform.
    Entry(SiteArgs),
    /// Runs the agent beside a target of the platform.
    Sidecar(SiteArgs),
    /// Runs the fabric stand-in of a site.
    Fabric(SiteArgs),
    /// Runs one target stand-in.
    Target(ProcessArgs),
    /// Runs the key-value service stand-in of a site.
    Store(SiteArgs),
    /// Changes and inspects a running site, for operators.
    Ctl(ctl::Args),
    /// Generates load on a running site and prints broken flows and imbalance.
    Bench(bench::Args),
    /// Runs the platform roles on this machine, with stand-ins for routers,
    /// callers and targets, and prints what was served.
    Trial(trial::Plan),
    /// Compares policies under load and faults in simulation: table, CSV, plots.
    Experiment(experiment::Args),
    /// Runs whole sites on this machine, generates load and prints what was served.
    Up(up::Args),
}

#[derive(Debug, clap::Args)]
struct SiteArgs {
    /// Settings file (JSON with comments).
    #[arg(long)]
    config: PathBuf,
}

#[derive(Debug, clap::Args)]
struct ProcessArgs {
    /// Settings file (JSON with comments).
    #[arg(long)]
    config: PathBuf,
    /// Name of the process in the settings.
    #[arg(long)]
    name: String,
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    jujubepost::logs::init(cli.command.is_service());
    run(cli.command).await
}

impl Command {
    /// Whether the command runs as a service, whose log a collector reads.
    const fn is_service(&self) -> bool {
        matches!(self, Self::Entry(_) | Self::Sidecar(_))
    }
}

async fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Balancer(n) => balancer::run(&Settings::load(&n.config)?, &n.name).await,
        Command::Agent(n) => agent::run(&Settings::load(&n.config)?, &n.name).await,
        Command::Target(n) => target::run(&Settings::load(&n.config)?, &n.name).await,
        Command::Entry(s) => edge::entry::run(&s.config).await,
        Command::Sidecar(s) => edge::sidecar::run(&s.config).await,
        Command::Fabric(s) => fabric::run(&Settings::load(&s.config)?).await,
        Command::Store(s) => platform::server::serve(Settings::load(&s.config)?.store.addr).await,
        Command::Ctl(a) => ctl::run(a).await,
        Command::Bench(a) => bench::run(a).await,
        Command::Trial(p) => trial::run(p).await,
        Command::Experiment(a) => experiment::run(&a),
        Command::Up(a) => up::run(a).await,
    }
}
