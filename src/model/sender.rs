//! Sending side of a flow: a fixed window, cumulative acknowledgements and
//! retransmission with exponential backoff.

use std::time::{Duration, Instant};

/// Maximum segment size, in bytes.
pub const MSS: u32 = 1_200;

/// Maximum number of packets in flight.
const WINDOW_PACKETS: u32 = 16;

/// Initial retransmission timeout.
const INITIAL_RTO: Duration = Duration::from_millis(200);

/// Upper bound of the retransmission timeout.
const MAX_RTO: Duration = Duration::from_millis(1_600);

/// Sender of one message: a request or a response.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// Sequence number of the first byte.
    start: u32,
    /// Sequence number after the last byte.
    end: u32,
    /// First byte that is not acknowledged.
    acked: u32,
    /// Next byte to send.
    next: u32,
    rto: Duration,
    /// When an acknowledgement last advanced the window.
    last_ack: Option<Instant>,
}

impl Sender {
    /// Sends `len` bytes from sequence number `start` on.
    #[must_use]
    pub const fn new(start: u32, len: u32) -> Self {
        let end = start.wrapping_add(len);
        Self { start, end, acked: start, next: start, rto: INITIAL_RTO, last_ack: None }
    }

    /// Whether every byte is acknowledged.
    #[must_use]
    pub const fn all_acked(&self) -> bool {
        self.acked == self.end
    }

    /// Sequence number after the last byte.
    #[must_use]
    pub const fn end(&self) -> u32 {
        self.end
    }

    /// Processes an acknowledgement up to `ack`; returns whether it acknowledges
    /// new bytes.
    pub const fn acknowledge(&mut self, ack: u32, now: Instant) -> bool {
        let acked_len = ack.wrapping_sub(self.start);
        let advances = acked_len > self.acked.wrapping_sub(self.start)
            && acked_len <= self.end.wrapping_sub(self.start);
        if advances {
            self.acked = ack;
            self.last_ack = Some(now);
            self.rto = INITIAL_RTO;
            if self.next.wrapping_sub(self.start) < acked_len {
                self.next = ack;
            }
        }
        advances
    }

    /// Sequence number and length of the next packet, unless all bytes were sent
    /// or the window is full.
    pub fn next_packet(&mut self) -> Option<(u32, u32)> {
        let left = self.end.wrapping_sub(self.next);
        if left == 0 || self.next.wrapping_sub(self.acked) >= WINDOW_PACKETS * MSS {
            return None;
        }
        let packet = (self.next, left.min(MSS));
        self.next = self.next.wrapping_add(packet.1);
        Some(packet)
    }

    /// Goes back to the first unacknowledged byte and doubles the retransmission
    /// timeout, which is returned.
    pub fn retransmit(&mut self) -> Duration {
        self.next = self.acked;
        self.rto = (self.rto * 2).min(MAX_RTO);
        self.rto
    }

    /// Whether an acknowledgement advanced the window after `since`.
    #[must_use]
    pub fn acked_since(&self, since: Instant) -> bool {
        self.last_ack.is_some_and(|at| at > since)
    }

    /// The current retransmission timeout.
    #[must_use]
    pub const fn rto(&self) -> Duration {
        self.rto
    }
}
