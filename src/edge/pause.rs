//! Detects pauses of the process, such as a suspended VM or CPU starvation. After
//! a pause, its state is outdated until it has read what arrived meanwhile.

use std::time::{Duration, Instant};

use crate::events;
use crate::metrics::process;

/// Shortest delay that counts as a pause. A smaller value reports scheduling
/// jitter as pauses.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Compares `now` with the time `due` at which the process should have run. Logs
/// and returns the delay if it counts as a pause.
pub fn detect(due: Instant, now: Instant) -> Option<Duration> {
    let late = now.saturating_duration_since(due);
    if late < MIN_PAUSE {
        return None;
    }
    let ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
    process::add_paused_ms(ms);
    log::warn!(event = events::EDGE_PAUSED, late_ms = ms; "process was paused");
    Some(late)
}
