//! A simulated VM with one process: a share of a CPU core, bounded socket buffers
//! and a link in each direction. Each datagram sent or received takes CPU time.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::link::Link;

/// CPU time to send or receive one datagram on a whole core.
const DATAGRAM_COST: Duration = Duration::from_micros(15);

/// Capacity of a socket's receive buffer, in datagrams; more are dropped.
const RECEIVE_BUFFER_DATAGRAMS: usize = 256;

/// Datagrams read from each socket per wake-up.
const READ_BATCH: usize = 64;

/// Input of a process at one wake-up.
#[derive(Debug, Default)]
pub struct InputBatch {
    /// Packets from callers (at a balancer) or from the target (at an agent).
    pub packets: Vec<Vec<u8>>,
    /// Messages from other balancers and agents, with their senders.
    pub messages: Vec<(SocketAddrV4, Vec<u8>)>,
}

/// A VM with one process and its two sockets.
#[derive(Debug)]
pub struct Host {
    /// Share of a CPU core.
    cpu_share: f64,
    /// Whether the process runs.
    pub up: bool,
    /// Incremented when the process stops, so that events scheduled for an
    /// earlier run of it can be recognised.
    pub incarnation: u64,
    /// Receive buffer for packets.
    packets: VecDeque<Vec<u8>>,
    /// Receive buffer for messages.
    messages: VecDeque<(SocketAddrV4, Vec<u8>)>,
    /// When the process is scheduled to run next.
    pub next_wake: Option<Instant>,
    /// When the CPU has finished its current work.
    free_at: Instant,
    /// Link from the network.
    pub ingress: Link,
    /// Link to the network.
    pub egress: Link,
}

impl Host {
    /// Creates a running process with the share `cpu_share` of a core and links
    /// of `mbps` Mbit/s.
    #[must_use]
    pub fn new(cpu_share: f64, mbps: f64, now: Instant) -> Self {
        let link = Link::new(mbps, now);
        Self {
            cpu_share,
            up: true,
            incarnation: 1,
            packets: VecDeque::new(),
            messages: VecDeque::new(),
            next_wake: None,
            free_at: now,
            ingress: link.clone(),
            egress: link,
        }
    }

    /// Ends the process and discards its unread input.
    pub fn stop(&mut self) {
        self.up = false;
        self.incarnation += 1;
        self.next_wake = None;
        self.packets.clear();
        self.messages.clear();
    }

    /// Restarts the process with an idle CPU.
    pub const fn start(&mut self, now: Instant) {
        self.up = true;
        self.free_at = now;
    }

    /// Appends a packet to its receive buffer, or drops it if the buffer is full
    /// or the process is down.
    pub fn enqueue_packet(&mut self, packet: Vec<u8>) {
        if self.up && self.packets.len() < RECEIVE_BUFFER_DATAGRAMS {
            self.packets.push_back(packet);
        }
    }

    /// Appends a message to its receive buffer, or drops it if the buffer is full
    /// or the process is down.
    pub fn enqueue_message(&mut self, from: SocketAddrV4, message: Vec<u8>) {
        if self.up && self.messages.len() < RECEIVE_BUFFER_DATAGRAMS {
            self.messages.push_back((from, message));
        }
    }

    /// Schedules a wake-up at `at`, or once the CPU is free, and returns its time.
    /// `None` if the process is down or already due no later.
    pub fn schedule_wake(&mut self, at: Instant) -> Option<Instant> {
        let at = self.earliest_run(at);
        let sooner = self.up && self.next_wake.is_none_or(|next| at < next);
        sooner.then(|| *self.next_wake.insert(at))
    }

    /// Removes the input of one wake-up from the receive buffers.
    pub fn read_batch(&mut self) -> InputBatch {
        InputBatch {
            packets: self.packets.drain(..self.packets.len().min(READ_BATCH)).collect(),
            messages: self.messages.drain(..self.messages.len().min(READ_BATCH)).collect(),
        }
    }

    /// Whether no message is left unread.
    #[must_use]
    pub fn messages_drained(&self) -> bool {
        self.messages.is_empty()
    }

    /// Whether a packet or message is left unread.
    #[must_use]
    pub fn has_input(&self) -> bool {
        !self.packets.is_empty() || !self.messages.is_empty()
    }

    /// Charges the CPU time for `datagrams` from `now` on; returns when the CPU is
    /// free again.
    pub fn spend_cpu(&mut self, datagrams: usize, now: Instant) -> Instant {
        // A wake-up handles at most a few thousand datagrams.
        let n = u32::try_from(datagrams).unwrap_or(u32::MAX);
        self.free_at = now + DATAGRAM_COST.mul_f64(f64::from(n) / self.cpu_share);
        self.free_at
    }

    /// Earliest time at which the process can handle what is due at `at`.
    #[must_use]
    pub fn earliest_run(&self, at: Instant) -> Instant {
        at.max(self.free_at)
    }
}
