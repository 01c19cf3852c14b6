//! Consistent-hash lookup table (Maglev, NSDI 2016) that picks the agent of a
//! new flow.
//!
//! Every balancer that sees the same list of targets builds the same table,
//! so the same flow hash gives the same target everywhere, and a change of the
//! list moves few buckets. Hashing is `xxh3` with fixed seeds.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Sizes a table may have: primes far apart, because every pick changes when
/// a list grows past one of them.
const TABLE_SIZES: [usize; 4] = [2_039, 32_749, 524_287, 2_097_143];

/// A bucket not filled yet; also one past the most entries a table holds.
const UNASSIGNED: u16 = u16::MAX;

/// Buckets per entry that a size must offer, for an even spread.
const MIN_BUCKETS_PER_ENTRY: usize = 80;

const SEED_OFFSET: u64 = 0x6a75_6a75;
const SEED_SKIP: u64 = 0x6265_7374;
const SEED_FLOW: u64 = 0x666c_6f77;
const SEED_SECOND: u64 = 0x7365_636f;

/// A lookup table over a list of named entries.
#[derive(Clone, Debug)]
pub struct MaglevTable<T> {
    entries: Vec<(Arc<str>, T)>,
    buckets: Vec<u16>,
}

impl<T: Clone> MaglevTable<T> {
    /// Builds the table. Entries are sorted by name first, so the table
    /// depends only on the set of names; past 65,535 the last ones get no flow.
    #[must_use]
    pub fn new(mut entries: Vec<(Arc<str>, T)>) -> Self {
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.dedup_by(|a, b| a.0 == b.0);
        entries.truncate(usize::from(UNASSIGNED));
        let buckets = populate(&entries);
        Self { entries, buckets }
    }

    /// The entry for a flow, or `None` when the table is empty.
    #[must_use]
    pub fn lookup(&self, flow: u64) -> Option<&(Arc<str>, T)> {
        if self.entries.is_empty() {
            return None;
        }
        let b = self.buckets[self.bucket(flow, SEED_FLOW)];
        self.entries.get(b as usize)
    }

    /// The entry for a flow and, where there is one, a different entry picked
    /// by a second hash.
    #[must_use]
    pub fn lookup_pair(&self, flow: u64) -> Option<(&T, Option<&T>)> {
        let (_, first) = self.lookup(flow)?;
        let a = self.bucket(flow, SEED_FLOW);
        let b = self.bucket(flow, SEED_SECOND);
        let other =
            (b..self.bucket_count()).chain(0..b).find(|&i| self.buckets[i] != self.buckets[a]);
        let second = other.and_then(|i| self.entries.get(self.buckets[i] as usize));
        Some((first, second.map(|(_, v)| v)))
    }

    fn bucket(&self, flow: u64, seed: u64) -> usize {
        (xxh3_64_with_seed(&flow.to_le_bytes(), seed) % self.bucket_count() as u64) as usize
    }

    /// The entries, sorted by name.
    #[must_use]
    pub fn entries(&self) -> &[(Arc<str>, T)] {
        &self.entries
    }

    /// How many buckets the table has.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// How many entries the table spreads over.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The name owning each bucket, for comparing two tables.
    pub fn bucket_owners(&self) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.buckets.iter().map(|&b| &self.entries[b as usize].0)
    }
}

/// The smallest size that offers each of `n` entries enough buckets.
fn size_for(n: usize) -> usize {
    let largest = TABLE_SIZES[TABLE_SIZES.len() - 1];
    TABLE_SIZES.into_iter().find(|&size| size >= n * MIN_BUCKETS_PER_ENTRY).unwrap_or(largest)
}

fn populate<T>(entries: &[(Arc<str>, T)]) -> Vec<u16> {
    let n = entries.len();
    let size = size_for(n);
    let mut buckets = vec![UNASSIGNED; size];
    if n == 0 {
        return buckets;
    }
    let size = size as u64;
    let perms: Vec<(u64, u64)> = entries
        .iter()
        .map(|(name, _)| {
            let offset = xxh3_64_with_seed(name.as_bytes(), SEED_OFFSET) % size;
            let skip = xxh3_64_with_seed(name.as_bytes(), SEED_SKIP) % (size - 1) + 1;
            (offset, skip)
        })
        .collect();
    let mut next = vec![0u64; n];
    let mut filled = 0;
    'outer: loop {
        for (i, &(offset, skip)) in perms.iter().enumerate() {
            let mut c = (offset + next[i] * skip) % size;
            while buckets[c as usize] != UNASSIGNED {
                next[i] += 1;
                c = (offset + next[i] * skip) % size;
            }
            buckets[c as usize] = i as u16;
            next[i] += 1;
            filled += 1;
            if filled == buckets.len() {
                break 'outer;
            }
        }
    }
    buckets
}
