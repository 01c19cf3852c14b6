//! Output of an experiment: a Markdown table, CSV, and an HTML page with plots.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::Context;
use plotters::prelude::*;

use super::summary::{Distribution, Summary};
use crate::model::Pattern;

/// Width and height of a plot without its bars, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 60);

/// Height of a bar, in pixels.
const BAR_HEIGHT: u32 = 24;

/// Width of the variant labels, in pixels.
const LABEL_WIDTH: u32 = 190;

/// Markdown table with one row per pattern and variant.
#[must_use]
pub fn table(rows: &[Summary]) -> String {
    let mut out = String::from(
        "| pattern | variant | served | against baseline | late | refused | lost | p50 ms | \
         p99 ms | messages a flow | wrong |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for r in rows {
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.1} | {} |",
            r.pattern,
            r.variant,
            format_distribution(r.served),
            format_difference(r.gain),
            r.late.median,
            r.refused.median,
            r.lost.median,
            r.p50_ms.median,
            r.p99_ms.median,
            r.messages_per_flow.median,
            r.violations,
        );
    }
    out
}

fn format_distribution(s: Distribution) -> String {
    format!("{:.3} ({:.3} to {:.3})", s.median, s.min, s.max)
}

fn format_difference(s: Distribution) -> String {
    format!("{:+.3} ({:+.3} to {:+.3})", s.median, s.min, s.max)
}

/// Writes all figures as CSV, one line per pattern, variant and figure.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_csv(path: &Path, rows: &[Summary]) -> anyhow::Result<()> {
    let mut out = csv::Writer::from_path(path)
        .with_context(|| format!("experiment: writing {}", path.display()))?;
    out.write_record(["pattern", "variant", "figure", "median", "least", "most"])?;
    for r in rows {
        let figures = [
            ("served", r.served),
            ("gain", r.gain),
            ("late", r.late),
            ("refused", r.refused),
            ("lost", r.lost),
            ("p50_ms", r.p50_ms),
            ("p99_ms", r.p99_ms),
            ("messages_per_flow", r.messages_per_flow),
        ];
        for (name, s) in figures {
            let [median, least, most] = [s.median, s.min, s.max].map(|x| format!("{x:.6}"));
            out.write_record([r.pattern, &r.variant, name, &median, &least, &most])?;
        }
    }
    out.flush().with_context(|| format!("experiment: writing {}", path.display()))
}

/// Writes an HTML page with a plot for each pattern, and the table.
///
/// # Errors
///
/// Fails if a plot cannot be drawn or the file cannot be written.
pub fn write_page(path: &Path, patterns: &[Pattern], rows: &[Summary]) -> anyhow::Result<()> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>jujubepost experiment</title>\
         <style>body{font-family:sans-serif;max-width:60em;margin:2em auto}</style>\
         <h1>Share of requests served in time</h1>\
         <p>Bars: median over seeds. Lines: minimum to maximum.</p>",
    );
    for p in patterns {
        let variants: Vec<&Summary> = rows.iter().filter(|r| r.pattern == p.name).collect();
        let plot = plot(&variants)
            .map_err(|e| anyhow::anyhow!("experiment: drawing the plot of {}: {e}", p.name))?;
        let _ = write!(page, "<h2>{}</h2><p>{}</p>{plot}", p.name, p.description);
    }
    let _ = write!(page, "<h1>All figures</h1><pre>{}</pre>", table(rows));
    std::fs::write(path, page).with_context(|| format!("experiment: writing {}", path.display()))
}

/// Bar chart of the variants of one pattern, as SVG.
fn plot(rows: &[&Summary]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    // Far fewer variants than `i32::MAX`.
    let count = rows.len() as i32;
    {
        let size = (PLOT_SIZE.0, PLOT_SIZE.1 + BAR_HEIGHT * rows.len() as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .x_label_area_size(26)
            .y_label_area_size(LABEL_WIDTH)
            .build_cartesian_2d(0.0..1.0, (0..count).into_segmented())?;
        let name = |at: &SegmentValue<i32>| match at {
            SegmentValue::CenterOf(n) => usize::try_from(*n)
                .ok()
                .and_then(|n| rows.get(n))
                .map_or_else(String::new, |r| r.variant.clone()),
            _ => String::new(),
        };
        chart.configure_mesh().disable_y_mesh().y_label_formatter(&name).draw()?;
        chart.draw_series((0..count).zip(rows).map(|(n, r)| {
            let style = if n == 0 { BLUE.mix(0.7).filled() } else { CYAN.mix(0.6).filled() };
            let from = (0.0, SegmentValue::Exact(n));
            let to = (r.served.median, SegmentValue::Exact(n + 1));
            let mut bar = Rectangle::new([from, to], style);
            bar.set_margin(4, 4, 0, 0);
            bar
        }))?;
        chart.draw_series((0..count).zip(rows).map(|(n, r)| {
            let at = SegmentValue::CenterOf(n);
            PathElement::new(
                vec![(r.served.min, at.clone()), (r.served.max, at)],
                BLACK.stroke_width(2),
            )
        }))?;
        area.present()?;
    }
    Ok(svg)
}
