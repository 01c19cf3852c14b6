//! Compares policies: simulates patterns under several variants with the same
//! seeds and summarises the results.

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
    /// Pattern to simulate; repeatable. Default: all patterns.
    #[arg(long)]
    pub pattern: Vec<String>,
    /// Number of seeds per pattern and variant, counted from 1.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// Add a variant without this mechanism; repeatable.
    #[arg(long)]
    pub without: Vec<Mechanism>,
    /// Add one variant for each mechanism, without it.
    #[arg(long)]
    pub ablation: bool,
    /// Add a variant with one policy field overridden, as FIELD=VALUE, such as
    /// `steer.answer=60`; repeatable.
    #[arg(long)]
    pub set: Vec<String>,
    /// Write all figures to this CSV file.
    #[arg(long)]
    pub csv: Option<PathBuf>,
    /// Write an HTML page with plots to this file.
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// One simulation run.
struct Job<'a> {
    pattern: &'a Pattern,
    variant: &'a Variant,
    seed: u64,
}

impl Args {
    /// The named patterns, or all if none are named.
    fn patterns(&self) -> anyhow::Result<Vec<Pattern>> {
        if self.pattern.is_empty() {
            return Ok(pattern::all());
        }
        let known = || pattern::all().iter().map(|p| p.name).collect::<Vec<_>>().join(", ");
        let find = |name: &String| {
            Pattern::by_name(name)
                .with_context(|| format!("unknown pattern `{name}`; known patterns: {}", known()))
        };
        self.pattern.iter().map(find).collect()
    }

    /// The baseline, followed by the requested variants.
    fn variants(&self) -> anyhow::Result<Vec<Variant>> {
        let mut variants = vec![Variant::baseline()];
        let all_mechanisms = <Mechanism as clap::ValueEnum>::value_variants();
        let disabled = if self.ablation { all_mechanisms } else { &self.without };
        variants.extend(disabled.iter().copied().map(Variant::without));
        for text in &self.set {
            variants.push(Variant::with_override(text)?);
        }
        Ok(variants)
    }
}

/// Simulates every variant on every pattern and seed, in parallel. Rows are in the
/// order of patterns, then variants; the first variant is the baseline.
///
/// # Errors
///
/// Fails for an unknown pattern, and for an override with an unknown field or an
/// invalid value.
pub fn compare(args: &Args) -> anyhow::Result<(Vec<Pattern>, Vec<Summary>)> {
    let (patterns, variants) = (args.patterns()?, args.variants()?);
    let mut jobs = Vec::new();
    for pattern in &patterns {
        for variant in &variants {
            jobs.extend((1..=args.seeds.max(1)).map(|seed| Job { pattern, variant, seed }));
        }
    }
    let count = jobs.len() as u64;
    let results: Vec<Stats> = jobs
        .par_iter()
        .progress_count(count)
        .map(|j| simulate(j.pattern, &j.variant.policy, j.seed))
        .collect();
    let mut rows = Vec::new();
    for pattern in &patterns {
        let runs_of = |variant: &Variant| -> Vec<&Stats> {
            let matches = |j: &Job<'_>| j.pattern.name == pattern.name && j.variant == variant;
            jobs.iter().zip(&results).filter(|(j, _)| matches(j)).map(|(_, s)| s).collect()
        };
        let baseline = runs_of(&variants[0]);
        for variant in &variants {
            let name = variant.name.clone();
            rows.push(Summary::new(pattern.name, name, &runs_of(variant), &baseline));
        }
    }
    Ok((patterns, rows))
}

/// Runs an experiment, prints its table and writes the requested files.
///
/// # Errors
///
/// Fails as [`compare`], and if a file cannot be written.
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
