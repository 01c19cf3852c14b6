//! Plays patterns of the model under several policies, on the same seeds, and
//! compares what callers get.

pub mod report;
pub mod summary;
pub mod variant;

use std::path::PathBuf;

use anyhow::Context;
use indicatif::ParallelProgressIterator;
use rayon::prelude::*;
pub use summary::{Distribution, Summary};
pub use variant::Variant;

use crate::model::{Pattern, Stats, pattern, simulate};
use crate::policy::Mechanism;

/// Arguments of `jujubepost experiment`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Patterns to play; all when none.
    #[arg(long)]
    pub pattern: Vec<String>,
    /// Seeds of each pattern and policy: 1 to this.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// A variant without this mechanism.
    #[arg(long)]
    pub without: Vec<Mechanism>,
    /// A variant without each of the mechanisms, one by one.
    #[arg(long)]
    pub ablation: bool,
    /// A variant with this field changed, as FIELD=VALUE: `steer.answer=60`.
    #[arg(long)]
    pub set: Vec<String>,
    /// Where to write every figure as CSV.
    #[arg(long)]
    pub csv: Option<PathBuf>,
    /// Where to write a page with plots.
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// One run of the model.
struct Job<'a> {
    pattern: &'a Pattern,
    variant: &'a Variant,
    seed: u64,
}

impl Args {
    /// The patterns that are named, or all.
    fn patterns(&self) -> anyhow::Result<Vec<Pattern>> {
        if self.pattern.is_empty() {
            return Ok(pattern::all());
        }
        let known = || pattern::all().iter().map(|p| p.name).collect::<Vec<_>>().join(", ");
        let named = |name: &String| {
            Pattern::by_name(name)
                .with_context(|| format!("there is no pattern `{name}`; known are {}", known()))
        };
        self.pattern.iter().map(named).collect()
    }

    /// The baseline and the variants that are named.
    fn variants(&self) -> anyhow::Result<Vec<Variant>> {
        let mut all = vec![Variant::baseline()];
        let every = <Mechanism as clap::ValueEnum>::value_variants();
        let off = if self.ablation { every } else { &self.without };
        all.extend(off.iter().copied().map(Variant::without));
        for text in &self.set {
            all.push(Variant::with_override(text)?);
        }
        Ok(all)
    }
}

/// Plays every variant on every pattern and seed, on all cores.
///
/// # Errors
///
/// Names a pattern or field that there is none of.
pub fn compare(args: &Args) -> anyhow::Result<(Vec<Pattern>, Vec<Summary>)> {
    let (patterns, variants) = (args.patterns()?, args.variants()?);
    let mut jobs = Vec::new();
    for pattern in &patterns {
        for variant in &variants {
            jobs.extend((1..=args.seeds.max(1)).map(|seed| Job { pattern, variant, seed }));
        }
    }
    let count = jobs.len() as u64;
    let tallies: Vec<Stats> = jobs
        .par_iter()
        .progress_count(count)
        .map(|j| simulate(j.pattern, &j.variant.policy, j.seed))
        .collect();
    let mut rows = Vec::new();
    for pattern in &patterns {
        let of = |variant: &Variant| -> Vec<&Stats> {
            let ours = |j: &Job<'_>| j.pattern.name == pattern.name && j.variant == variant;
            jobs.iter().zip(&tallies).filter(|(j, _)| ours(j)).map(|(_, t)| t).collect()
        };
        let baseline = of(&variants[0]);
        for variant in &variants {
            let name = variant.name.clone();
            rows.push(Summary::new(pattern.name, name, &of(variant), &baseline));
        }
    }
    Ok((patterns, rows))
}

/// Runs an experiment and prints its table.
///
/// # Errors
///
/// As [`compare`], and when a file cannot be written.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let (patterns, rows) = compare(args)?;
    print!("{}", report::table(&rows));
    if let Some(path) = &args.csv {
        report::write_csv(path, &rows)?;
    }
    if let Some(path) = &args.html {
        report::write_page(path, &patterns, &rows)?;
    }
    Ok(())
}
