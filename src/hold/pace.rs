//! How fast the target works, against how fast it was: a target that turned
//! slow is left to the flows that it has, and new ones go to the others.
//!
//! Its requests take their time even while slots are free, so the number that
//! wait says little. What an agent measures against its target's own past
//! needs no word of the other agents.

use std::time::Duration;

/// Weight of one answer in the recent mean: a target that turned slow is known
/// after about eight answers.
const RECENT: f64 = 1.0 / 8.0;

/// Weight of one answer in the usual mean.
const USUAL: f64 = 1.0 / 128.0;

/// The same while the target is slow: a slow spell of seconds must not become
/// usual, a slower target that stays must.
const USUAL_SLOW: f64 = 1.0 / 1_024.0;

/// A recent mean below this many times the usual one is chance: answers whose
/// spread is half their mean give a recent mean with a spread of an eighth.
const SLOW: f64 = 1.6;

/// Most that a slow target counts as slower: beyond this it is avoided as long
/// as any other has a place in its queue.
const MOST: f64 = 16.0;

/// The pace of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    answers: u32,
    recent: f64,
    usual: f64,
}

impl Pace {
    /// The target, with a slot free, took this long for a request.
    pub fn note(&mut self, took: Duration) {
        self.answers = self.answers.saturating_add(1);
        let took = took.as_secs_f64();
        let first = 1.0 / f64::from(self.answers);
        let usual = if self.slower() > 1.0 { USUAL_SLOW } else { USUAL.max(first) };
        self.recent += (took - self.recent) * RECENT.max(first);
        self.usual += (took - self.usual) * usual;
    }

    /// How many times slower than usual the target is; 1 when it is not.
    #[must_use]
    pub fn slower(&self) -> f64 {
        if self.recent > self.usual * SLOW { (self.recent / self.usual).min(MOST) } else { 1.0 }
    }
}
