//! The receiving half: pieces put back in order, each taken once.

use std::collections::BTreeMap;

/// Most pieces held while an earlier one is missing; later ones are dropped
/// and sent again by the peer.
const MAX_BUFFERED: usize = 256;

/// Pieces that arrived, waiting for the ones before them.
#[derive(Clone, Debug)]
pub struct ReorderBuffer<T> {
    next_seq: u32,
    buffered: BTreeMap<u32, T>,
}

impl<T> ReorderBuffer<T> {
    /// Waits for position `first` at the start.
    #[must_use]
    pub const fn new(first: u32) -> Self {
        Self { next_seq: first, buffered: BTreeMap::new() }
    }

    /// The position waited for: every piece below it has been taken.
    #[must_use]
    pub const fn next_seq(&self) -> u32 {
        self.next_seq
    }

    /// Takes in a piece; one already taken, or too far ahead, is dropped.
    pub fn insert(&mut self, seq: u32, piece: T) {
        if seq >= self.next_seq && (self.buffered.len() < MAX_BUFFERED || seq == self.next_seq) {
            self.buffered.entry(seq).or_insert(piece);
        }
    }

    /// The next piece in order, if it has arrived.
    pub fn pop(&mut self) -> Option<T> {
        let piece = self.buffered.remove(&self.next_seq)?;
        self.next_seq += 1;
        Some(piece)
    }
}
