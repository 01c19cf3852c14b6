//! Pauses of a process, by its clocks.

use std::time::{Duration, Instant};

use jujubepost::edge::pause::{ClockReading, Pause, PauseDetector};

const MS: Duration = Duration::from_millis(1);

/// A detector that began at `start`, by whose monotonic and boot time clocks `ran` and `booted`
/// have passed. The process was to run after 1 s at the latest.
fn pause_after(start: Instant, ran: Duration, booted: Duration) -> Option<Pause> {
    let boot = Duration::from_secs(100);
    let mut pauses = PauseDetector::new(ClockReading { monotonic: start, boot });
    let now = ClockReading { monotonic: start + ran, boot: boot + booted };
    pauses.detect(start + 1_000 * MS, now)
}

/// Guards against a balancer that serves by what it knew before its VM was suspended: the
/// monotonic clock does not show such a pause.
#[test]
fn suspension_is_a_pause() {
    let start = Instant::now();
    let pause = pause_after(start, 20 * MS, 5_020 * MS);
    assert_eq!(pause, Some(Pause { late: Duration::ZERO, suspended: 5_000 * MS }));
}

#[test]
fn late_process_is_paused() {
    let start = Instant::now();
    let pause = pause_after(start, 6_000 * MS, 6_000 * MS);
    assert_eq!(pause, Some(Pause { late: 5_000 * MS, suspended: Duration::ZERO }));
    assert_eq!(pause_after(start, 1_100 * MS, 1_100 * MS), None, "scheduling jitter");
    assert_eq!(pause_after(start, 1_100 * MS, Duration::ZERO), None, "a clock that cannot be read");
}

/// Guards against counting one suspension again with each reading.
#[test]
fn suspension_counts_once() {
    let start = Instant::now();
    let boot = Duration::from_secs(100);
    let mut pauses = PauseDetector::new(ClockReading { monotonic: start, boot });
    let reading =
        |ms: u32| ClockReading { monotonic: start + ms * MS, boot: boot + 3_000 * MS + ms * MS };
    assert!(pauses.detect(start + 1_000 * MS, reading(10)).is_some());
    assert_eq!(pauses.detect(start + 1_000 * MS, reading(20)), None);
}

#[test]
fn clocks_run_together() {
    let before = ClockReading::now();
    std::thread::sleep(50 * MS);
    let after = ClockReading::now();
    let (ran, booted) = (after.monotonic - before.monotonic, after.boot - before.boot);
    assert!(ran.abs_diff(booted) < 20 * MS, "{ran:?} {booted:?}");
}
