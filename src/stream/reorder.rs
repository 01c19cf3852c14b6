//! Reorder buffer: delivers each received segment once and in order.

use std::collections::BTreeMap;

/// Most segments buffered while an earlier one is missing. Segments beyond are dropped
/// and have to be retransmitted.
const MAX_BUFFERED: usize = 256;

/// Received segments that wait for earlier ones.
#[derive(Clone, Debug)]
pub struct ReorderBuffer<T> {
    next_seq: u32,
    buffered: BTreeMap<u32, T>,
}

impl<T> ReorderBuffer<T> {
    /// An empty buffer whose first segment is `first_seq`.
    #[must_use]
    pub const fn new(first_seq: u32) -> Self {
        Self { next_seq: first_seq, buffered: BTreeMap::new() }
    }

    /// Sequence number of the next segment to deliver; all before it are delivered.
    #[must_use]
    pub const fn next_seq(&self) -> u32 {
        self.next_seq
    }

    /// Buffers a segment. A duplicate is dropped, and so is any but the next segment
    /// while the buffer is full.
    pub fn insert(&mut self, seq: u32, segment: T) {
        if seq >= self.next_seq && (self.buffered.len() < MAX_BUFFERED || seq == self.next_seq) {
            self.buffered.entry(seq).or_insert(segment);
        }
    }

    /// Delivers the next segment, if it has been received.
    pub fn pop(&mut self) -> Option<T> {
        let segment = self.buffered.remove(&self.next_seq)?;
        self.next_seq += 1;
        Some(segment)
    }
}
