//! A modelled process on its VM's share of a core: what comes waits in queues
//! as long as those of a socket, and each datagram in or out costs time.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::link::Link;

/// Processor time of one datagram, in or out, on a whole core.
const DATAGRAM_COST: Duration = Duration::from_micros(15);

/// Datagrams that a socket keeps for a process that does not read: 212 KB, of
/// which each takes some 800 bytes.
const QUEUE: usize = 256;

/// Datagrams read at one wake-up from each socket, as the product does.
const READ_BATCH: usize = 64;

/// What a process reads at one wake-up.
#[derive(Debug, Default)]
pub struct InputBatch {
    /// Packets of callers (balancers) or of the target (agents).
    pub packets: Vec<Vec<u8>>,
    /// Messages of other processes, and from whom they are.
    pub messages: Vec<(SocketAddrV4, Vec<u8>)>,
}

/// A process's VM: its core, its link and its two sockets.
#[derive(Debug)]
pub struct Host {
    /// Its share of a core.
    cpu_share: f64,
    /// Whether the process runs.
    pub up: bool,
    /// Counts its starts, so that events of earlier ones are told.
    pub epoch: u64,
    /// Datagrams of callers (balancers) or of the target (agents).
    packets: VecDeque<Vec<u8>>,
    /// Messages of other processes.
    messages: VecDeque<(SocketAddrV4, Vec<u8>)>,
    /// When it next runs.
    pub next_wake: Option<Instant>,
    free_at: Instant,
    /// From the network.
    pub ingress: Link,
    /// To the network.
    pub egress: Link,
}

impl Host {
    /// A running process with `cpu` of a core and links of `mbps`.
    #[must_use]
    pub fn new(cpu: f64, mbps: f64, now: Instant) -> Self {
        let link = Link::new(mbps, now);
        Self {
            cpu_share: cpu,
            up: true,
            epoch: 1,
            packets: VecDeque::new(),
            messages: VecDeque::new(),
            next_wake: None,
            free_at: now,
            ingress: link.clone(),
            egress: link,
        }
    }

    /// The process ends; what it had not read is gone.
    pub fn stop(&mut self) {
        self.up = false;
        self.epoch += 1;
        self.next_wake = None;
        self.packets.clear();
        self.messages.clear();
    }

    /// The process starts again.
    pub const fn start(&mut self, now: Instant) {
        self.up = true;
        self.free_at = now;
    }

    /// A packet has come; one too many is lost.
    pub fn enqueue_packet(&mut self, packet: Vec<u8>) {
        if self.up && self.packets.len() < QUEUE {
            self.packets.push_back(packet);
        }
    }

    /// A message has come; one too many is lost.
    pub fn enqueue_message(&mut self, from: SocketAddrV4, message: Vec<u8>) {
        if self.up && self.messages.len() < QUEUE {
            self.messages.push_back((from, message));
        }
    }

    /// Has the process wake up at `at`, or once its core is free; says when, unless
    /// it does not run or wakes up earlier anyway.
    pub fn schedule_wake(&mut self, at: Instant) -> Option<Instant> {
        let at = self.earliest_run(at);
        let sooner = self.up && self.next_wake.is_none_or(|next| at < next);
        sooner.then(|| *self.next_wake.insert(at))
    }

    /// What it reads at one wake-up.
    pub fn read_batch(&mut self) -> InputBatch {
        InputBatch {
            packets: self.packets.drain(..self.packets.len().min(READ_BATCH)).collect(),
            messages: self.messages.drain(..self.messages.len().min(READ_BATCH)).collect(),
        }
    }

    /// Whether every message that has come was read.
    #[must_use]
    pub fn messages_drained(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether something waits to be read.
    #[must_use]
    pub fn has_input(&self) -> bool {
        !self.packets.is_empty() || !self.messages.is_empty()
    }

    /// Works on so many datagrams from `now` on; says when it is done.
    pub fn spend_cpu(&mut self, datagrams: usize, now: Instant) -> Instant {
        // At most a few thousand.
        let n = u32::try_from(datagrams).unwrap_or(u32::MAX);
        self.free_at = now + DATAGRAM_COST.mul_f64(f64::from(n) / self.cpu_share);
        self.free_at
    }

    /// When it can run for something that is due at `at`.
    #[must_use]
    pub fn earliest_run(&self, at: Instant) -> Instant {
        at.max(self.free_at)
    }
}
