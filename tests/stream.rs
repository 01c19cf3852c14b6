//! Ordered delivery: every segment is delivered once and in order, despite loss,
//! duplication and reordering.

use std::time::{Duration, Instant};

use jujubepost::stream::{ReorderBuffer, SendWindow};
use rand::{Rng, SeedableRng, rngs::StdRng};

const RTO: Duration = Duration::from_millis(200);

#[test]
fn duplicate_delivered_once() {
    let mut buffer = ReorderBuffer::new(1);
    buffer.insert(1, 'a');
    buffer.insert(1, 'b');
    assert_eq!(buffer.pop(), Some('a'));
    buffer.insert(1, 'c');
    assert_eq!(buffer.pop(), None);
    assert_eq!(buffer.next_seq(), 2);
}

#[test]
fn resend_backs_off() {
    let t0 = Instant::now();
    let mut window = SendWindow::new(RTO, t0);
    window.push(1, 'a', t0);
    assert_eq!(window.resend(t0).count(), 0);
    assert_eq!(window.resend(t0 + RTO).count(), 1);
    assert_eq!(window.next_resend(), Some(t0 + RTO * 3));
    assert_eq!(window.stalled_for(t0 + RTO), RTO);
    window.ack(2, t0 + RTO);
    assert!(window.is_empty());
    assert_eq!((window.next_resend(), window.stalled_for(t0 + RTO * 9)), (None, Duration::ZERO));
}

/// A segment is sent at least eight times within 3 s, so that loss on the network does
/// not make the sender give up a live peer.
#[test]
fn resends_often_before_give_up() {
    let start = Instant::now();
    let mut window = SendWindow::new(Duration::from_millis(200), start);
    window.push(1, "a", start);
    let mut copies = 1;
    while let Some(due) = window.next_resend().filter(|at| *at < start + Duration::from_secs(3)) {
        copies += window.resend(due).count();
    }
    assert!(copies >= 8, "{copies}");
}

#[test]
fn delivers_over_lossy_channel() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let (mut window, mut buffer) = (SendWindow::new(RTO, now), ReorderBuffer::new(1));
        // Sequence numbers and payloads that are in transit.
        let mut in_flight: Vec<(u32, u32)> = Vec::new();
        let (mut sent, mut received) = (0, Vec::new());
        while received.len() < 300 {
            now += Duration::from_millis(10);
            if sent < 300 && !window.is_full() {
                sent += 1;
                window.push(sent, (sent, sent), now);
                in_flight.push((sent, sent));
            }
            in_flight.extend(window.resend(now).copied());
            for _ in 0..rng.random_range(0..4) {
                if in_flight.is_empty() {
                    break;
                }
                let (seq, segment) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                match rng.random_range(0..10) {
                    0 => {}
                    1 => in_flight.extend([(seq, segment); 2]),
                    _ => buffer.insert(seq, segment),
                }
            }
            while let Some(segment) = buffer.pop() {
                received.push(segment);
            }
            if rng.random_range(0..3) > 0 {
                window.ack(buffer.next_seq(), now);
            }
        }
        assert!(received.iter().copied().eq(1..=300), "seed {seed}");
    }
}
