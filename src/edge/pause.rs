//! Detects pauses of the process, such as a suspended VM or CPU starvation. After
//! a pause, its state is outdated until it has read what arrived meanwhile.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

use crate::events;
use crate::metrics::process;

/// Shortest delay that counts as a pause. A smaller value reports scheduling
/// jitter as pauses.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// The clocks that a pause shows on, read at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The monotonic clock, which stands still while the VM is suspended.
    pub monotonic: Instant,
    /// Time since the VM started, which includes suspensions.
    pub boot: Duration,
}

impl ClockReading {
    /// Reads the clocks.
    #[must_use]
    pub fn now() -> Self {
        let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        let boot = boot.unwrap_or_else(|e| {
            log::error!(
                event = events::EDGE_PAUSED, error:% = e;
                "clock cannot be read; suspensions of the VM stay unnoticed"
            );
            Duration::ZERO
        });
        Self { monotonic: Instant::now(), boot }
    }
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The part that the monotonic clock shows: how late the process ran.
    pub late: Duration,
    /// The part that it does not show, as the VM was suspended.
    pub suspended: Duration,
}

/// Detects pauses between its readings of the clocks.
#[derive(Debug)]
pub struct PauseDetector {
    last: ClockReading,
}

impl PauseDetector {
    /// A detector that begins at `start`.
    #[must_use]
    pub const fn new(start: ClockReading) -> Self {
        Self { last: start }
    }

    /// Compares `now` with the time `due` at which the process should have run, and with the
    /// previous reading. Logs and returns the delay if it counts as a pause.
    pub fn detect(&mut self, due: Instant, now: ClockReading) -> Option<Pause> {
        let booted = now.boot.saturating_sub(self.last.boot);
        let ran = now.monotonic.saturating_duration_since(self.last.monotonic);
        self.last = now;
        let suspended = booted.saturating_sub(ran);
        let late = now.monotonic.saturating_duration_since(due);
        if late < MIN_PAUSE && suspended < MIN_PAUSE {
            return None;
        }
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        process::add_paused_ms(ms(late + suspended));
        log::warn!(
            event = events::EDGE_PAUSED, late_ms = ms(late), suspended_ms = ms(suspended);
            "process was paused"
        );
        Some(Pause { late, suspended })
    }
}
