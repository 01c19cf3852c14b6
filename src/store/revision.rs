//! Revisions of a store that may be restored from an older copy.
//!
//! After a restore, the store counts its revisions on from the copy's and so gives some out
//! again. Its era, which rises with each restore, tells them apart. The revisions of this crate
//! hold both, the era in the upper bits: all revisions of a later era are higher, and no two
//! states of the store have the same one.

use std::cell::Cell;
use std::rc::Rc;
use std::str::FromStr;

use anyhow::Context;

use crate::{events, metrics};

/// Bits of a revision that hold the store's own counter. Enough for a thousand changes a second
/// over thirty years.
const COUNTER_BITS: u32 = 40;

/// Highest counter that a revision holds.
const MAX_COUNTER: i64 = (1 << COUNTER_BITS) - 1;

/// Highest era that a revision holds.
const MAX_ERA: u32 = (1 << (63 - COUNTER_BITS)) - 1;

/// The revision that the store counts as `counter` in `era`.
///
/// # Errors
///
/// Fails if a revision cannot hold one of them.
pub fn compose(era: u32, counter: i64) -> anyhow::Result<i64> {
    anyhow::ensure!(
        era <= MAX_ERA && (0..=MAX_COUNTER).contains(&counter),
        "revision {counter} of era {era} is out of range"
    );
    Ok(i64::from(era) << COUNTER_BITS | counter)
}

/// The era of a revision.
#[must_use]
pub const fn era(rev: i64) -> u32 {
    // At most `MAX_ERA` for revisions that `compose` returned.
    (rev >> COUNTER_BITS) as u32
}

/// What the store itself counts a revision as.
#[must_use]
pub const fn counter(rev: i64) -> i64 {
    rev & MAX_COUNTER
}

/// A revision as operators read and write it: `COUNTER`, or `ERA:COUNTER` after a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{}{}", era_prefix(*_0), counter(*_0))]
pub struct RevisionText(pub i64);

fn era_prefix(rev: i64) -> String {
    match era(rev) {
        0 => String::new(),
        era => format!("{era}:"),
    }
}

impl FromStr for RevisionText {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (era, counter) = text.split_once(':').unwrap_or(("0", text));
        let invalid = || format!("`{text}` is not a revision");
        let era = era.parse().with_context(invalid)?;
        let counter = counter.parse().with_context(invalid)?;
        compose(era, counter).map(Self)
    }
}

/// The latest era that a store named to this process. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct LatestEra(Rc<Cell<Option<u32>>>);

impl LatestEra {
    /// The latest era; 0 before the first response.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.0.get().unwrap_or_default()
    }

    /// Records the era that a response names.
    pub fn record(&self, era: u32) {
        let known = self.0.get();
        if Some(era) <= known {
            return;
        }
        self.0.set(Some(era));
        metrics::set_state("store_era", era.into());
        if let Some(known) = known {
            log::warn!(
                event = events::STORE_RESTORED, era = era, known_era = known;
                "store was restored from an older copy"
            );
        }
    }
}
