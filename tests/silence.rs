//! An agent that receives nothing checks its registration in time.

use std::time::{Duration, Instant};

use jujubepost::edge::silence::{SILENCE_TIMEOUT, SilenceTimer};

const MS: Duration = Duration::from_millis(1);

/// Guards against a wake-up for another reason, just before the check is due, that postpones it
/// by a whole further timeout: a deleted registration came back after 8 s instead of 4 s.
#[test]
fn other_wakeups_do_not_postpone_the_check() {
    let start = Instant::now();
    let mut timer = SilenceTimer::new(start);
    let woken = start + SILENCE_TIMEOUT - 25 * MS;
    assert!(!timer.expire(woken));
    assert_eq!(timer.due(), start + SILENCE_TIMEOUT);
    assert!(timer.expire(timer.due()));
    assert!(!timer.expire(start + SILENCE_TIMEOUT + MS), "once per timeout");
    assert_eq!(timer.due(), start + 2 * SILENCE_TIMEOUT);
}

#[test]
fn messages_postpone_the_check() {
    let start = Instant::now();
    let mut timer = SilenceTimer::new(start);
    timer.postpone(start + 1_000 * MS);
    assert!(!timer.expire(start + SILENCE_TIMEOUT));
    assert!(timer.expire(start + SILENCE_TIMEOUT + 1_000 * MS));
}
