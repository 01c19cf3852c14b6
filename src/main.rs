//! The `jujubepost` command: one subcommand per role.

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
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// Runs one balancer of a site.
    Balancer(Named),
    /// Runs the agent beside one target.
    Agent(Named),
    /// Runs the balancer on an entry VM of the platform.
    Entry(Site),
    /// Runs the agent beside a target of the platform.
    Sidecar(Site),
    /// Runs the fabric stand-in of a site.
    Fabric(Site),
    /// Runs one target stand-in.
    Target(Named),
    /// Runs the key-value service stand-in of a site.
    Store(Site),
    /// The operator's tool.
    Ctl(ctl::Args),
    /// Drives load against a running site and prints broken flows and imbalance.
    Bench(bench::Args),
    /// Runs the platform's form on this machine, with stand-ins for routers,
    /// callers and targets, and prints what was served.
    Trial(trial::Plan),
    /// Compares policies under load and trouble on the model: table, CSV, plots.
    Experiment(experiment::Args),
    /// Runs whole sites on this machine, drives load and prints what was served.
    Up(up::Args),
}

#[derive(Debug, clap::Args)]
struct Site {
    /// Settings file (JSON with comments).
    #[arg(long)]
    config: PathBuf,
}

#[derive(Debug, clap::Args)]
struct Named {
    /// Settings file (JSON with comments).
    #[arg(long)]
    config: PathBuf,
    /// This process's name in the settings.
    #[arg(long)]
    name: String,
}

#[ntex::main]
async fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    jujubepost::logs::init(cli.role.service());
    run(cli.role).await
}

impl Role {
    /// Whether the role runs as a service whose log another program reads.
    const fn service(&self) -> bool {
        matches!(self, Self::Entry(_) | Self::Sidecar(_))
    }
}

async fn run(role: Role) -> anyhow::Result<()> {
    match role {
        Role::Balancer(n) => balancer::run(&Settings::load(&n.config)?, &n.name).await,
        Role::Agent(n) => agent::run(&Settings::load(&n.config)?, &n.name).await,
        Role::Target(n) => target::run(&Settings::load(&n.config)?, &n.name).await,
        Role::Entry(s) => edge::entry::run(&s.config).await,
        Role::Sidecar(s) => edge::sidecar::run(&s.config).await,
        Role::Fabric(s) => fabric::run(&Settings::load(&s.config)?).await,
        Role::Store(s) => platform::server::serve(Settings::load(&s.config)?.store.addr).await,
        Role::Ctl(a) => ctl::run(a).await,
        Role::Bench(a) => bench::run(a).await,
        Role::Trial(p) => trial::run(p).await,
        Role::Experiment(a) => experiment::run(&a),
        Role::Up(a) => up::run(a).await,
    }
}
