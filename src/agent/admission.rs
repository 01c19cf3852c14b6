//! Whether an agent takes a new flow: decided before any byte of it reaches
//! the target, so that "not run" is true.

use std::time::Duration;

use crate::metrics::Refusal;

/// What an agent decides about a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Accept it.
    Accept,
    /// Refuse it as not run.
    Refuse(Refusal),
}

/// Whether a new flow is admitted.
///
/// `drain` is how long ago the drain order was seen, if any; `grace` is how
/// long a draining target still takes new flows; `flows` and `max` are the
/// open flows and the profile's limit.
#[must_use]
pub fn admit(
    drain: Option<Duration>,
    grace: Duration,
    stopping: bool,
    flows: usize,
    max: usize,
) -> Admission {
    if stopping || drain.is_some_and(|d| d >= grace) {
        Admission::Refuse(Refusal::Draining)
    } else if flows >= max {
        Admission::Refuse(Refusal::Full)
    } else {
        Admission::Accept
    }
}
