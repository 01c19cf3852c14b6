//! Maglev table: the same list gives the same table, removing a target moves few flows,
//! and flows are spread evenly.

use std::collections::HashMap;
use std::sync::Arc;

use jujubepost::maglev::MaglevTable;

fn names(n: usize) -> Vec<(Arc<str>, usize)> {
    (0..n).map(|i| (Arc::from(format!("meter-{i}")), i)).collect()
}

#[test]
fn table_independent_of_list_order() {
    let a = MaglevTable::new(names(7));
    let mut shuffled = names(7);
    shuffled.reverse();
    let b = MaglevTable::new(shuffled);
    assert!(a.bucket_owners().eq(b.bucket_owners()));
}

#[test]
fn removal_moves_few_buckets() {
    let before = MaglevTable::new(names(7));
    assert!(before.bucket_count() >= 7 * 80);
    let after = MaglevTable::new(names(7).into_iter().filter(|(_, i)| *i != 3).collect());
    let moved = before.bucket_owners().zip(after.bucket_owners()).filter(|(x, y)| x != y).count();
    let share = moved as f64 / before.bucket_count() as f64;
    // The buckets of meter-3, about 1/7, move, and few others.
    assert!(share < 1.0 / 7.0 + 0.03, "moved {share:.3}");
}

#[test]
fn flows_spread_evenly() {
    let t = MaglevTable::new(names(7));
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for flow in 0..70_000u64 {
        let (name, _) = t.lookup(flow.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unwrap();
        *counts.entry(name.clone()).or_default() += 1;
    }
    let max = *counts.values().max().unwrap();
    assert!(f64::from(max) / 10_000.0 < 1.05, "max {max}");
}

#[test]
fn empty_table_has_no_entry() {
    let t: MaglevTable<usize> = MaglevTable::new(Vec::new());
    assert!(t.lookup(1).is_none());
}

#[test]
fn pair_has_distinct_entries() {
    let t = MaglevTable::new(names(7));
    let mut counts = [0u32; 7];
    for flow in 0..7_000 {
        let (a, b) = t.lookup_pair(flow).unwrap();
        let b = b.unwrap();
        assert_ne!(a, b);
        counts[*b] += 1;
    }
    assert!(counts.iter().all(|&n| (700..1_300).contains(&n)), "{counts:?}");
    assert_eq!(MaglevTable::new(names(1)).lookup_pair(9), Some((&0, None)));
}

#[test]
fn size_grows_with_entries() {
    let size = |n| MaglevTable::new(names(n)).bucket_count();
    assert_eq!((size(1), size(25), size(26), size(409)), (2_039, 2_039, 32_749, 32_749));
}
