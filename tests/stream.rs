//! Ordered delivery: every segment is delivered once and in order, despite loss,
//! duplication and reordering.

use std::time::{Duration, Instant};

use jujubepost::stream::{ReorderBuffer, SendWindow};
use rand::{Rng, SeedableRng, rngs::StdRng};

const RTO: Duration = Duration::from_millis(200);

#[test]
fn duplicate_delivered_once() {
    let mut r = ReorderBuffer::new(1);
    r.insert(1, 'a');
    r.insert(1, 'b');
    assert_eq!(r.pop(), Some('a'));
    r.insert(1, 'c');
    assert_eq!(r.pop(), None);
    assert_eq!(r.next_seq(), 2);
}

#[test]
fn resend_backs_off() {
    let t0 = Instant::now();
    let mut w = SendWindow::new(RTO, t0);
    w.push(1, 'a', t0);
    assert_eq!(w.resend(t0).count(), 0);
    assert_eq!(w.resend(t0 + RTO).count(), 1);
    assert_eq!(w.next_resend(), Some(t0 + RTO * 3));
    assert_eq!(w.stalled_for(t0 + RTO), RTO);
    w.ack(2, t0 + RTO);
    assert!(w.is_empty());
    assert_eq!((w.next_resend(), w.stalled_for(t0 + RTO * 9)), (None, Duration::ZERO));
}

/// A segment is sent at least eight times within 3 s, so that loss on the network does
/// not make the sender give up a live peer.
#[test]
fn resends_often_before_give_up() {
    let start = Instant::now();
    let mut w = SendWindow::new(Duration::from_millis(200), start);
    w.push(1, "a", start);
    let mut copies = 1;
    while let Some(due) = w.next_resend().filter(|at| *at < start + Duration::from_secs(3)) {
        copies += w.resend(due).count();
    }
    assert!(copies >= 8, "{copies}");
}

#[test]
fn delivers_over_lossy_channel() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let (mut w, mut r) = (SendWindow::new(RTO, now), ReorderBuffer::new(1));
        let mut wire: Vec<(u32, u32)> = Vec::new();
        let (mut sent, mut got) = (0, Vec::new());
        while got.len() < 300 {
            now += Duration::from_millis(10);
            if sent < 300 && !w.is_full() {
                sent += 1;
                w.push(sent, (sent, sent), now);
                wire.push((sent, sent));
            }
            wire.extend(w.resend(now).copied());
            for _ in 0..rng.random_range(0..4) {
                if wire.is_empty() {
                    break;
                }
                let (seq, segment) = wire.swap_remove(rng.random_range(0..wire.len()));
                match rng.random_range(0..10) {
                    0 => {}
                    1 => wire.extend([(seq, segment); 2]),
                    _ => r.insert(seq, segment),
                }
            }
            while let Some(segment) = r.pop() {
                got.push(segment);
            }
            if rng.random_range(0..3) > 0 {
                w.ack(r.next_seq(), now);
            }
        }
        assert!(got.iter().copied().eq(1..=300), "seed {seed}");
    }
}
