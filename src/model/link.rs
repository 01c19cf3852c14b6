//! A VM's network link: limited bandwidth, a bounded queue and random loss.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

/// IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Longest queueing delay; a datagram that would wait longer is dropped.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(240);

/// One direction of a VM's network link.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: f64,
    /// When the datagrams accepted so far have been transmitted.
    idle_at: Instant,
}

impl Link {
    /// Creates an idle link with a bandwidth of `mbps` Mbit/s.
    #[must_use]
    pub fn new(mbps: f64, now: Instant) -> Self {
        Self { bytes_per_s: mbps * 125_000.0, idle_at: now }
    }

    /// Queues a datagram of `bytes` at `now` and returns the time at which its
    /// transmission ends. `None` if the queue is full or the datagram is lost, which
    /// happens with probability `loss`.
    pub fn send(
        &mut self,
        bytes: usize,
        loss: f64,
        now: Instant,
        rng: &mut StdRng,
    ) -> Option<Instant> {
        let start = self.idle_at.max(now);
        if start.duration_since(now) > MAX_QUEUE_DELAY {
            return None;
        }
        let transmission =
            Duration::from_secs_f64((bytes + HEADER_BYTES) as f64 / self.bytes_per_s);
        self.idle_at = start + transmission;
        (loss == 0.0 || !rng.random_bool(loss)).then_some(self.idle_at)
    }
}
