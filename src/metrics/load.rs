//! What tells a full link from a busy processor: bytes sent by purpose,
//! datagrams that a socket refused, reads that left datagrams waiting. Plain
//! integers, since each datagram counts.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static MESSAGES: AtomicU64 = AtomicU64::new(0);
static CARRIED: AtomicU64 = AtomicU64::new(0);
static REFUSED: AtomicU64 = AtomicU64::new(0);
static BACKLOGS: AtomicU64 = AtomicU64::new(0);

/// Counts `bytes` of a message about flows: questions, offers, answers, trials.
/// They grow with trouble, and are to leave the link to callers.
pub fn message(bytes: usize) {
    MESSAGES.fetch_add(bytes as u64, Relaxed);
}

/// Counts `bytes` of a packet on its way between a caller and its flow's target.
pub fn carried(bytes: usize) {
    CARRIED.fetch_add(bytes as u64, Relaxed);
}

/// Counts a datagram that the socket refused: its buffer is full, so the link is.
pub fn refused() {
    REFUSED.fetch_add(1, Relaxed);
}

/// Counts a read of a whole batch that left datagrams waiting: the process does
/// not keep up with what comes.
pub fn backlog() {
    BACKLOGS.fetch_add(1, Relaxed);
}

/// Sets the gauges of the totals since the process's start.
pub fn publish() {
    let totals = [
        ("message_bytes", &MESSAGES),
        ("carried_bytes", &CARRIED),
        ("sends_refused", &REFUSED),
        ("read_backlogs", &BACKLOGS),
    ];
    for (fact, total) in totals {
        super::state(fact, total.load(Relaxed));
    }
}
