//! Notices that an agent receives nothing: balancers that started after its registration
//! expired do not know it.

use std::time::{Duration, Instant};

/// How long no message may arrive before the agent checks its registration. A smaller value
/// means more calls to the store.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// The time at which a silent agent checks its registration.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimer {
    due: Instant,
}

impl SilenceTimer {
    /// A timer that begins at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { due: now + SILENCE_TIMEOUT }
    }

    /// Begins again at `at`, when a message arrived or the agent registered.
    pub fn postpone(&mut self, at: Instant) {
        self.due = self.due.max(at + SILENCE_TIMEOUT);
    }

    /// Whether the registration is to be checked at `now`. If so, the timer begins again.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = now >= self.due;
        if expired {
            self.postpone(now);
        }
        expired
    }

    /// When the registration is to be checked next.
    #[must_use]
    pub const fn due(&self) -> Instant {
        self.due
    }
}
