//! Totals of the process that show whether its link or its processor is
//! overloaded, and the age of the store's last response. They are atomic
//! integers, which are cheap to update for each datagram; [`publish`] copies them
//! to gauges.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

static MESSAGE_BYTES: AtomicU64 = AtomicU64::new(0);
static FORWARDED_BYTES: AtomicU64 = AtomicU64::new(0);
static SENDS_REFUSED: AtomicU64 = AtomicU64::new(0);
static READ_BACKLOGS: AtomicU64 = AtomicU64::new(0);
static PAUSED_MS: AtomicU64 = AtomicU64::new(0);

/// Time of the last successful call to the key-value service.
static LAST_STORE_RESPONSE: Mutex<Option<Instant>> = Mutex::new(None);

/// Adds to the bytes of control messages about flows (offers, queries, answers)
/// that were passed to the socket.
pub fn add_message_bytes(bytes: usize) {
    MESSAGE_BYTES.fetch_add(bytes as u64, Relaxed);
}

/// Adds to the bytes of packets between callers and targets that were passed to
/// the socket.
pub fn add_forwarded_bytes(bytes: usize) {
    FORWARDED_BYTES.fetch_add(bytes as u64, Relaxed);
}

/// Counts a datagram that was not sent because the socket's send buffer was full.
pub fn count_refused_send() {
    SENDS_REFUSED.fetch_add(1, Relaxed);
}

/// Counts a read that filled its batch and left datagrams in the socket, a sign
/// that the process does not keep up.
pub fn count_read_backlog() {
    READ_BACKLOGS.fetch_add(1, Relaxed);
}

/// Adds to the time, in milliseconds, in which the process was not scheduled.
pub fn add_paused_ms(ms: u64) {
    PAUSED_MS.fetch_add(ms, Relaxed);
}

/// Records that a call to the key-value service has just succeeded.
pub fn record_store_response() {
    *LAST_STORE_RESPONSE.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
}

/// Sets the gauges of the totals since the start of the process, and of the age
/// of the store's last response, if there was one.
pub fn publish() {
    let totals = [
        ("message_bytes", &MESSAGE_BYTES),
        ("carried_bytes", &FORWARDED_BYTES),
        ("sends_refused", &SENDS_REFUSED),
        ("read_backlogs", &READ_BACKLOGS),
        ("paused_ms", &PAUSED_MS),
    ];
    for (fact, total) in totals {
        super::set_state(fact, total.load(Relaxed));
    }
    let answered = *LAST_STORE_RESPONSE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(at) = answered {
        super::set_state(
            "store_age_ms",
            u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX),
        );
    }
}
