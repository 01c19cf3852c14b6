//! A link of one VM: a delay, a bandwidth with a queue of bounded length, and
//! loss.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

/// Bytes of a datagram beside its contents: IPv4 and UDP heads.
const HEADER_BYTES: usize = 28;

/// Longest time that a datagram waits for its turn: some 250 packets of 1,200
/// bytes at 10 Mbit/s, as in the queues of entry VMs.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(240);

/// One direction of a VM's link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Bytes a second.
    bytes_per_s: f64,
    idle_at: Instant,
}

impl Link {
    /// A link of `mbps` megabits a second.
    #[must_use]
    pub fn new(mbps: f64, now: Instant) -> Self {
        Self { bytes_per_s: mbps * 125_000.0, idle_at: now }
    }

    /// Sends `bytes` at `now`; says when the last of them has left, or that the
    /// queue is full or the datagram lost, which happens to a part `loss`.
    pub fn send(
        &mut self,
        bytes: usize,
        loss: f64,
        now: Instant,
        rng: &mut StdRng,
    ) -> Option<Instant> {
        let from = self.idle_at.max(now);
        if from.duration_since(now) > MAX_QUEUE_DELAY {
            return None;
        }
        let took = Duration::from_secs_f64((bytes + HEADER_BYTES) as f64 / self.bytes_per_s);
        self.idle_at = from + took;
        (loss == 0.0 || !rng.random_bool(loss)).then_some(self.idle_at)
    }
}
