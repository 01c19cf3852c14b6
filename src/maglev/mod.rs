//! Maglev consistent-hash lookup table (Eisenbud et al., NSDI 2016).
//!
//! Balancers with the same list of targets build the same table and map a flow to the
//! same target. A change of the list moves few buckets. Hashes are `xxh3` with fixed
//! seeds.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Table sizes, all prime. They are far apart because a change of size remaps almost
/// every flow.
const TABLE_SIZES: [usize; 4] = [2_039, 32_749, 524_287, 2_097_143];

/// Marks an unassigned bucket while the table is populated. Indices of entries are
/// below it.
const UNASSIGNED: u16 = u16::MAX;

/// Least buckets per entry when choosing the table size. More buckets spread flows more
/// evenly.
const MIN_BUCKETS_PER_ENTRY: usize = 80;

const SEED_OFFSET: u64 = 0x6a75_6a75;
const SEED_SKIP: u64 = 0x6265_7374;
const SEED_FLOW: u64 = 0x666c_6f77;
const SEED_SECOND: u64 = 0x7365_636f;

/// A Maglev lookup table over named entries.
#[derive(Clone, Debug)]
pub struct MaglevTable<T> {
    entries: Vec<(Arc<str>, T)>,
    buckets: Vec<u16>,
}

impl<T: Clone> MaglevTable<T> {
    /// Builds the table, which depends only on the set of names. Names past the first
    /// 65,535 in sorted order, and duplicates, are left out.
    #[must_use]
    pub fn new(mut entries: Vec<(Arc<str>, T)>) -> Self {
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.dedup_by(|a, b| a.0 == b.0);
        entries.truncate(usize::from(UNASSIGNED));
        let buckets = populate(&entries);
        Self { entries, buckets }
    }

    /// The entry for a flow hash; `None` if the table is empty.
    #[must_use]
    pub fn lookup(&self, flow_hash: u64) -> Option<&(Arc<str>, T)> {
        if self.entries.is_empty() {
            return None;
        }
        let b = self.buckets[self.bucket(flow_hash, SEED_FLOW)];
        self.entries.get(b as usize)
    }

    /// The entry for a flow hash and, unless it is the only one, a different entry
    /// chosen by a second hash.
    #[must_use]
    pub fn lookup_pair(&self, flow_hash: u64) -> Option<(&T, Option<&T>)> {
        let (_, first) = self.lookup(flow_hash)?;
        let first_bucket = self.bucket(flow_hash, SEED_FLOW);
        let start = self.bucket(flow_hash, SEED_SECOND);
        let other = (start..self.bucket_count())
            .chain(0..start)
            .find(|&i| self.buckets[i] != self.buckets[first_bucket]);
        let second = other.and_then(|i| self.entries.get(self.buckets[i] as usize));
        Some((first, second.map(|(_, v)| v)))
    }

    fn bucket(&self, flow_hash: u64, seed: u64) -> usize {
        (xxh3_64_with_seed(&flow_hash.to_le_bytes(), seed) % self.bucket_count() as u64) as usize
    }

    /// The entries, sorted by name.
    #[must_use]
    pub fn entries(&self) -> &[(Arc<str>, T)] {
        &self.entries
    }

    /// Number of buckets.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Name of the entry that each bucket is assigned to, in bucket order.
    pub fn bucket_owners(&self) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.buckets.iter().map(|&b| &self.entries[b as usize].0)
    }
}

/// The smallest table size with [`MIN_BUCKETS_PER_ENTRY`] for `n` entries, or else the
/// largest.
fn size_for(n: usize) -> usize {
    let largest = TABLE_SIZES[TABLE_SIZES.len() - 1];
    TABLE_SIZES.into_iter().find(|&size| size >= n * MIN_BUCKETS_PER_ENTRY).unwrap_or(largest)
}

/// Assigns buckets to entries in turn, each entry following its own permutation of the
/// buckets.
fn populate<T>(entries: &[(Arc<str>, T)]) -> Vec<u16> {
    let n = entries.len();
    let size = size_for(n);
    let mut buckets = vec![UNASSIGNED; size];
    if n == 0 {
        return buckets;
    }
    let size = size as u64;
    let permutations: Vec<(u64, u64)> = entries
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
        for (i, &(offset, skip)) in permutations.iter().enumerate() {
            let mut bucket = (offset + next[i] * skip) % size;
            while buckets[bucket as usize] != UNASSIGNED {
                next[i] += 1;
                bucket = (offset + next[i] * skip) % size;
            }
            buckets[bucket as usize] = i as u16;
            next[i] += 1;
            filled += 1;
            if filled == buckets.len() {
                break 'outer;
            }
        }
    }
    buckets
}
