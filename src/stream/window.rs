//! Send window: keeps segments until the peer acknowledges them, with a
//! retransmission timer.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Most segments in flight.
const WINDOW_SEGMENTS: usize = 64;

/// Most segments retransmitted per timeout, oldest first.
const RESEND_BURST: usize = 8;

/// Largest retransmission timeout, as a multiple of the initial one. Each timeout
/// doubles it up to this bound. A larger bound sends fewer copies before a peer is
/// given up, so that more flows fail on a lossy network. With 200 ms and a peer given up
/// after 3 s, eight copies are sent; with a bound of 8 it would be four, and at 5 % loss each
/// way one flow in 10,000 would fail with both ends alive.
const MAX_BACKOFF: u32 = 2;

/// Segments sent but not yet acknowledged, oldest first.
#[derive(Clone, Debug)]
pub struct SendWindow<T> {
    segments: VecDeque<(u32, T)>,
    rto: Duration,
    backoff: Duration,
    next_resend: Option<Instant>,
    last_progress: Instant,
}

impl<T> SendWindow<T> {
    /// An empty window with the initial retransmission timeout `rto`.
    #[must_use]
    pub const fn new(rto: Duration, now: Instant) -> Self {
        Self { segments: VecDeque::new(), rto, backoff: rto, next_resend: None, last_progress: now }
    }

    /// Whether every segment sent is acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Whether nothing may be sent until the peer acknowledges a segment.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.segments.len() >= WINDOW_SEGMENTS
    }

    /// Adds a segment just sent with sequence number `seq`.
    pub fn push(&mut self, seq: u32, segment: T, now: Instant) {
        self.segments.push_back((seq, segment));
        if self.segments.len() == 1 {
            self.last_progress = now;
            self.restart_timer(now);
        }
    }

    /// Handles a cumulative acknowledgement: the peer has received every segment below
    /// `next_seq`.
    pub fn ack(&mut self, next_seq: u32, now: Instant) {
        let before = self.segments.len();
        while self.segments.front().is_some_and(|(seq, _)| *seq < next_seq) {
            self.segments.pop_front();
        }
        if self.segments.len() < before {
            self.last_progress = now;
            self.restart_timer(now);
        }
    }

    /// When to call [`SendWindow::resend`] next.
    #[must_use]
    pub const fn next_resend(&self) -> Option<Instant> {
        self.next_resend
    }

    /// Returns the segments to retransmit at `now`, and backs off the timeout. Empty
    /// before [`SendWindow::next_resend`].
    pub fn resend(&mut self, now: Instant) -> impl Iterator<Item = &T> {
        let due = self.next_resend.is_some_and(|at| at <= now);
        if due {
            self.backoff = (self.backoff * 2).min(self.rto * MAX_BACKOFF);
            self.next_resend = Some(now + self.backoff);
        }
        let count = if due { RESEND_BURST } else { 0 };
        self.segments.iter().take(count).map(|(_, segment)| segment)
    }

    /// Time without progress while segments are in flight; zero if none are.
    #[must_use]
    pub fn stalled_for(&self, now: Instant) -> Duration {
        if self.segments.is_empty() {
            Duration::ZERO
        } else {
            now.duration_since(self.last_progress)
        }
    }

    fn restart_timer(&mut self, now: Instant) {
        self.backoff = self.rto;
        self.next_resend = (!self.segments.is_empty()).then(|| now + self.rto);
    }
}
