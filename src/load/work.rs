//! Estimate of the slot time that a target's requests take.
//!
//! Requests that wait at a target share its slots evenly as far as an agent can tell: each
//! of `n` gets `slots / n` of a slot, at most one. What a request got until its answer is a
//! sample. So a queue at the target does not lengthen the estimate, a slow target does.

use std::time::{Duration, Instant};

use crate::request::RequestNeeds;

/// Samples before an estimate is used.
const MIN_SAMPLES: u32 = 8;

/// Weight of a sample in a mean over many: about a second of a busy target.
const GAIN: f64 = 1.0 / 32.0;

/// Slot time without any answer, in means, beyond which the target counts as slower than its
/// mean: rare for requests of any usual spread.
const STALL_FACTOR: f64 = 4.0;

/// Most profiles with a mean of their own.
const MAX_PROFILES: usize = 8;

/// A mean that starts as the plain mean of the first samples.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    secs: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, secs: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.secs += (secs - self.secs) * gain;
    }

    fn get(self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.secs)
    }
}

/// Slot time that a request had got at some moment; see [`WorkEstimate::mark`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark(f64);

impl Mark {
    /// The beginning.
    pub const START: Self = Self(0.0);
}

/// Measures the slot time that requests take.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimate {
    last: Option<Instant>,
    /// Slot time that a request waiting from the start would have got, in seconds.
    share_secs: f64,
    /// Slot time spent since the last answer, in seconds.
    since_answer: f64,
    all: Mean,
    profiles: Vec<(RequestNeeds, Mean)>,
}

impl WorkEstimate {
    /// Records that `waiting` requests shared `slots` since the previous call.
    pub fn advance(&mut self, waiting: u32, slots: u32, now: Instant) {
        let Some(last) = self.last.replace(now) else { return };
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        if waiting > 0 {
            let busy = f64::from(waiting.min(slots));
            self.share_secs += elapsed * busy / f64::from(waiting);
            self.since_answer += elapsed * busy;
        } else {
            self.since_answer = 0.0;
        }
    }

    /// The point from which a request that begins to wait now is measured.
    #[must_use]
    pub const fn mark(&self) -> Mark {
        Mark(self.share_secs)
    }

    /// Records the answer to a request that waited from `mark` on.
    pub fn record_answer(&mut self, mark: Mark, needs: Option<RequestNeeds>) {
        let sample = (self.share_secs - mark.0).max(0.0);
        self.since_answer = 0.0;
        self.all.add(sample);
        let Some(needs) = needs else { return };
        if let Some((_, mean)) = self.profiles.iter_mut().find(|(n, _)| *n == needs) {
            mean.add(sample);
        } else if self.profiles.len() < MAX_PROFILES {
            let mut mean = Mean::default();
            mean.add(sample);
            self.profiles.push((needs, mean));
        }
    }

    /// Mean slot time of all requests; longer while the target answers nothing. `None` until
    /// there are enough samples.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        let secs = self.all.get()?;
        Some(Duration::from_secs_f64(secs.max(self.since_answer / STALL_FACTOR)))
    }

    /// Mean slot time of a profile's requests, or of all if too few were measured.
    #[must_use]
    pub fn mean_of(&self, needs: &RequestNeeds) -> Option<Duration> {
        let own = self.profiles.iter().find(|(n, _)| n == needs).and_then(|(_, mean)| mean.get());
        own.map(Duration::from_secs_f64).or_else(|| self.mean())
    }
}

/// Means that differ by less than this factor count as equal: then numbers of requests
/// decide, which are exact.
const EQUAL_WITHIN: f64 = 1.25;

/// The load `own`, in units of [`crate::agent::placement::LOAD_PER_SLOT`], as it compares
/// with loads of an agent whose requests take `their_work` where the own ones take
/// `own_work`. Each counts the request that is placed, too.
#[must_use]
pub fn relative_load(own: u32, own_work: Duration, their_work: Duration) -> u32 {
    use crate::agent::placement::{LOAD_PER_SLOT, UNAVAILABLE_LOAD};
    let ratio = own_work.as_secs_f64() / their_work.as_secs_f64().max(f64::MIN_POSITIVE);
    if (1.0 / EQUAL_WITHIN..=EQUAL_WITHIN).contains(&ratio) {
        return own;
    }
    let placed = (f64::from(own) + f64::from(LOAD_PER_SLOT)) * ratio - f64::from(LOAD_PER_SLOT);
    // In range after the clamp.
    placed.clamp(0.0, f64::from(UNAVAILABLE_LOAD - 1)) as u32
}
