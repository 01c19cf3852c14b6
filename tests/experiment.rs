//! Comparison of policies: reproducible tables, output files, and errors for
//! invalid arguments.

use jujubepost::experiment::{Args, Distribution, Variant, compare, report};
use jujubepost::policy::{Mechanism, Policy};

fn args(pattern: &str) -> Args {
    Args {
        pattern: vec![pattern.to_string()],
        seeds: 2,
        without: vec![Mechanism::ShortQueue],
        ablation: false,
        set: vec!["steer.answer=60".to_string()],
        csv: None,
        html: None,
    }
}

#[test]
fn same_seeds_give_same_table() {
    let tables = [(), ()].map(|()| report::table(&compare(&args("burst")).unwrap().1));
    assert_eq!(tables[0], tables[1]);
    let rows: Vec<&str> = tables[0].lines().skip(2).collect();
    assert_eq!(rows.len(), 3, "{}", tables[0]);
    assert!(rows[0].contains("| baseline |") && rows[0].contains("+0.000 (+0.000 to +0.000)"));
    assert!(rows[1].contains("without short-queue") && rows[2].contains("steer.answer=60"));
}

#[test]
fn writes_csv_and_page() {
    let dir = std::env::temp_dir().join(format!("jujubepost-experiment-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (patterns, rows) = compare(&args("calm")).unwrap();
    let (csv, page) = (dir.join("out.csv"), dir.join("out.html"));
    report::write_csv(&csv, &rows).unwrap();
    report::write_page(&page, &patterns, &rows).unwrap();
    let csv = std::fs::read_to_string(csv).unwrap();
    assert_eq!(csv.lines().count(), 1 + 3 * 8);
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("without short-queue"));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn errors_name_unknown_patterns_and_fields() {
    let mut invalid = args("clam");
    let e = format!("{:#}", compare(&invalid).unwrap_err());
    assert!(e.contains("`clam`") && e.contains("calm_grown"), "{e}");
    for (text, words) in [
        ("steer.anwser=60", ["`anwser`", "answer"]),
        ("steer.answer=soon", ["steer.answer", "u64"]),
        ("steer.round=0", ["policy.steer.round", "at least 1"]),
        ("steer", ["FIELD=VALUE", ""]),
    ] {
        invalid = Args { set: vec![text.to_string()], ..args("calm") };
        let e = format!("{:#}", compare(&invalid).unwrap_err());
        assert!(words.iter().all(|w| e.contains(w)), "{text}: {e}");
    }
}

/// Guards against a mechanism that an ablation cannot switch off.
#[test]
fn each_mechanism_changes_the_policy() {
    for m in <Mechanism as clap::ValueEnum>::value_variants() {
        assert_ne!(Variant::without(*m).policy, Policy::default(), "{m}");
    }
}

#[test]
fn distribution_of_even_count() {
    let s = Distribution::of([3.0, 1.0, 2.0, 9.0]);
    assert_eq!((s.median, s.min, s.max), (2.5, 1.0, 9.0));
}
