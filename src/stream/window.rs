//! The sending half: pieces kept until the peer has acknowledged them, and
//! when to send them again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Pieces in flight before the sender stops reading.
const WINDOW_SEGMENTS: usize = 64;

/// Pieces sent again at once; the rest follow once these get through.
const RESEND_BURST: usize = 8;

/// The resend timeout doubles up to this many times its start. With 200 ms and a
/// peer that is given up after 3 s, eight copies are sent before that; at eight
/// times it were four, and where a network loses 5 % each way, one flow in 10,000
/// was given up with both ends alive.
const MAX_BACKOFF: u32 = 2;

/// Pieces sent and not yet acknowledged, oldest first.
#[derive(Clone, Debug)]
pub struct SendWindow<T> {
    segments: VecDeque<(u32, T)>,
    rto: Duration,
    backoff: Duration,
    next_resend: Option<Instant>,
    last_progress: Instant,
}

impl<T> SendWindow<T> {
    /// An empty window with the resend timeout `rto`.
    #[must_use]
    pub const fn new(rto: Duration, now: Instant) -> Self {
        Self { segments: VecDeque::new(), rto, backoff: rto, next_resend: None, last_progress: now }
    }

    /// Whether everything sent was acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Whether no more may be sent for now.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.segments.len() >= WINDOW_SEGMENTS
    }

    /// Keeps a piece just sent at position `seq`.
    pub fn push(&mut self, seq: u32, piece: T, now: Instant) {
        self.segments.push_back((seq, piece));
        if self.segments.len() == 1 {
            self.last_progress = now;
            self.restart(now);
        }
    }

    /// The peer waits for `next`: everything below it has arrived.
    pub fn ack(&mut self, next: u32, now: Instant) {
        let before = self.segments.len();
        while self.segments.front().is_some_and(|(seq, _)| *seq < next) {
            self.segments.pop_front();
        }
        if self.segments.len() < before {
            self.last_progress = now;
            self.restart(now);
        }
    }

    /// When to call [`SendWindow::resend`] next.
    #[must_use]
    pub const fn next_resend(&self) -> Option<Instant> {
        self.next_resend
    }

    /// The pieces to send again, if they are due at `now`.
    pub fn resend(&mut self, now: Instant) -> impl Iterator<Item = &T> {
        let due = self.next_resend.is_some_and(|at| at <= now);
        if due {
            self.backoff = (self.backoff * 2).min(self.rto * MAX_BACKOFF);
            self.next_resend = Some(now + self.backoff);
        }
        let n = if due { RESEND_BURST } else { 0 };
        self.segments.iter().take(n).map(|(_, piece)| piece)
    }

    /// For how long the peer has acknowledged nothing of what is in flight.
    #[must_use]
    pub fn stalled_for(&self, now: Instant) -> Duration {
        if self.segments.is_empty() {
            Duration::ZERO
        } else {
            now.duration_since(self.last_progress)
        }
    }

    fn restart(&mut self, now: Instant) {
        self.backoff = self.rto;
        self.next_resend = (!self.segments.is_empty()).then(|| now + self.rto);
    }
}
