//! One direction of a modelled flow: bytes sent with a window, acknowledged,
//! and sent again when nothing is heard.

use std::time::{Duration, Instant};

/// Largest packet's data, in bytes.
pub const MSS: u32 = 1_200;

/// Packets in flight at most.
const WINDOW_PACKETS: u32 = 16;

/// First pause before unacknowledged packets are sent again.
const INITIAL_RTO: Duration = Duration::from_millis(200);

/// Longest such pause.
const MAX_RTO: Duration = Duration::from_millis(1_600);

/// What one end sends.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// Where its bytes begin and end.
    start: u32,
    end: u32,
    /// First byte that is not acknowledged.
    acked: u32,
    /// First byte that was never sent.
    next: u32,
    pause: Duration,
    /// When it was last heard that bytes have come.
    last_ack: Option<Instant>,
}

impl Sender {
    /// `len` bytes from position `start` on.
    #[must_use]
    pub const fn new(start: u32, len: u32) -> Self {
        let end = start.wrapping_add(len);
        Self { start, end, acked: start, next: start, pause: INITIAL_RTO, last_ack: None }
    }

    /// Whether every byte is acknowledged.
    #[must_use]
    pub const fn all_acked(&self) -> bool {
        self.acked == self.end
    }

    /// Position after the last byte.
    #[must_use]
    pub const fn end(&self) -> u32 {
        self.end
    }

    /// Takes an acknowledgement up to `ack`; says whether it is news.
    pub const fn acknowledge(&mut self, ack: u32, now: Instant) -> bool {
        let new = ack.wrapping_sub(self.start);
        let news =
            new > self.acked.wrapping_sub(self.start) && new <= self.end.wrapping_sub(self.start);
        if news {
            self.acked = ack;
            self.last_ack = Some(now);
            self.pause = INITIAL_RTO;
            if self.next.wrapping_sub(self.start) < new {
                self.next = ack;
            }
        }
        news
    }

    /// The next packet that the window has room for, as position and length.
    pub fn next_packet(&mut self) -> Option<(u32, u32)> {
        let left = self.end.wrapping_sub(self.next);
        if left == 0 || self.next.wrapping_sub(self.acked) >= WINDOW_PACKETS * MSS {
            return None;
        }
        let packet = (self.next, left.min(MSS));
        self.next = self.next.wrapping_add(packet.1);
        Some(packet)
    }

    /// Nothing was heard for a pause: what is not acknowledged is sent again.
    /// Returns the pause until the next time.
    pub fn retransmit(&mut self) -> Duration {
        self.next = self.acked;
        self.pause = (self.pause * 2).min(MAX_RTO);
        self.pause
    }

    /// Whether an acknowledgement came after `since`.
    #[must_use]
    pub fn acked_since(&self, since: Instant) -> bool {
        self.last_ack.is_some_and(|at| at > since)
    }

    /// The pause until packets are sent again.
    #[must_use]
    pub const fn rto(&self) -> Duration {
        self.pause
    }
}
