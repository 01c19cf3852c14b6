//! What tells a full link from a busy processor: bytes sent by purpose,
//! datagrams that a socket refused, reads that left datagrams waiting, pauses of
//! the process. Plain integers, since each datagram counts. Besides, how old the
//! key-value service's last answer is.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

static MESSAGE_BYTES: AtomicU64 = AtomicU64::new(0);
static CARRIED_BYTES: AtomicU64 = AtomicU64::new(0);
static SENDS_REFUSED: AtomicU64 = AtomicU64::new(0);
static READ_BACKLOGS: AtomicU64 = AtomicU64::new(0);
static PAUSED_MS: AtomicU64 = AtomicU64::new(0);

/// When the key-value service last answered.
static STORE_ANSWERED_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// Counts `bytes` of a message about flows: questions, offers, answers, trials.
/// They grow with trouble, and are to leave the link to callers.
pub fn add_message_bytes(bytes: usize) {
    MESSAGE_BYTES.fetch_add(bytes as u64, Relaxed);
}

/// Counts `bytes` of a packet on its way between a caller and its flow's target.
pub fn add_carried_bytes(bytes: usize) {
    CARRIED_BYTES.fetch_add(bytes as u64, Relaxed);
}

/// Counts a datagram that the socket refused: its buffer is full, so the link is.
pub fn count_refused_send() {
    SENDS_REFUSED.fetch_add(1, Relaxed);
}

/// Counts a read of a whole batch that left datagrams waiting: the process does
/// not keep up with what comes.
pub fn count_read_backlog() {
    READ_BACKLOGS.fetch_add(1, Relaxed);
}

/// Counts `ms` in which the process did not run.
pub fn add_paused_ms(ms: u64) {
    PAUSED_MS.fetch_add(ms, Relaxed);
}

/// Notes that the key-value service has answered a call with success.
pub fn record_store_answer() {
    *STORE_ANSWERED_AT.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
}

/// Sets the gauges of the totals since the process's start, and of the age of
/// the key-value service's last answer, if there was one.
pub fn publish() {
    let totals = [
        ("message_bytes", &MESSAGE_BYTES),
        ("carried_bytes", &CARRIED_BYTES),
        ("sends_refused", &SENDS_REFUSED),
        ("read_backlogs", &READ_BACKLOGS),
        ("paused_ms", &PAUSED_MS),
    ];
    for (fact, total) in totals {
        super::set_state(fact, total.load(Relaxed));
    }
    let answered = *STORE_ANSWERED_AT.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(at) = answered {
        super::set_state(
            "store_age_ms",
            u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX),
        );
    }
}
