//! Detects that the process did not run for a while, because its VM was suspended or had
//! no processor time: until it has caught up, what it knows is as old as the pause.

use std::time::{Duration, Instant};

use crate::events;
use crate::metrics::load;

/// Shortest pause that counts as one.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Logs that the process runs only `now`, though a timer was due at `due`; returns how
/// long it did not run.
pub fn detect(due: Instant, now: Instant) -> Option<Duration> {
    let late = now.saturating_duration_since(due);
    if late < MIN_PAUSE {
        return None;
    }
    let ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
    load::paused(ms);
    log::warn!(event = events::EDGE_PAUSED, late_ms = ms; "process did not run");
    Some(late)
}
