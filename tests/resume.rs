//! A balancer that did not run for a while: what it knew before is no proof of what has
//! become of agents and flows since.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::wires::*;
use jujubepost::protocol::{Answer, FlowStatus};
use jujubepost::steering::FlowSteering;
use jujubepost::store::mirror::{self, MirrorEvent, PeerFallback, Source};
use jujubepost::store::{Kv, WatchBatch, WatchStore};
use tokio::sync::Notify;

const MS: Duration = Duration::from_millis(1);

/// How long the balancer does not run: longer than an agent may be silent.
const PAUSED: Duration = Duration::from_secs(5);

fn packet(s: &mut FlowSteering, now: Instant) -> Wires {
    let mut w = Wires::default();
    s.handle_packet(&data(1, 1_001, 77, 10), b"packet", now, &mut w);
    s.tick(now, &mut w);
    w
}

fn tick(s: &mut FlowSteering, now: Instant) -> Wires {
    let mut w = Wires::default();
    s.tick(now, &mut w);
    w
}

/// The resets after `agents` have denied the flow, and all others had their time.
fn denied(s: &mut FlowSteering, agents: impl IntoIterator<Item = u8>, now: Instant) -> usize {
    let mut w = packet(s, now);
    for n in agents {
        let answer = Answer { flow: flow(1), status: FlowStatus::Unknown, hint: None };
        s.handle_answers(agent(n), &[answer], 0, now, &mut w);
        s.tick(now, &mut w);
    }
    w.resets.len() + tick(s, now + 500 * MS).resets.len()
}

/// Guards against a living flow being reset because its agent was listed while the
/// balancer did not run: not before the store has answered again are all agents known.
#[test]
fn newcomer_may_hold_it() {
    let now = Instant::now();
    let mut s = steer(3, now);
    let back = now + PAUSED;
    s.resume(PAUSED);
    assert_eq!(denied(&mut s, 1..=3, back), 0);
    s.set_store_reachable(true, back + 600 * MS);
    assert_eq!(denied(&mut s, 1..=3, back + 600 * MS), 1);
}

/// Guards against a living flow being reset because time in which the balancer did not
/// run, and asked nobody, counts as an agent's silence.
#[test]
fn pause_is_no_silence() {
    let now = Instant::now();
    let mut s = steer(3, now);
    s.roster.record_timeout(agent(3), now + 50 * MS);
    let back = now + 100 * MS + PAUSED;
    s.resume(PAUSED);
    s.set_store_reachable(true, back);
    assert_eq!(denied(&mut s, 1..=2, back), 0);
    assert_eq!(denied(&mut s, 1..=2, back + 4_000 * MS), 1, "it was asked for 4 s");
}

/// Guards against an agent whose entry was taken from the store being dropped because it
/// was not asked while the balancer did not run.
#[test]
fn unlisted_stays() {
    let now = Instant::now();
    let mut s = steer(3, now);
    let listed: Vec<_> = (1..=2).map(announced).collect();
    s.roster.update(&listed, now + 50 * MS);
    tick(&mut s, now + 50 * MS);
    s.roster.handle_pong(agent(3), SERVICE, 0, now + 60 * MS);
    let back = now + 100 * MS + PAUSED;
    s.resume(PAUSED);
    tick(&mut s, back);
    assert_eq!(s.roster.len(), 3, "it answered when it was last asked");
    tick(&mut s, back + 3_000 * MS);
    assert_eq!(s.roster.len(), 2, "it was asked and did not answer for 3 s");
}

/// A store in which nothing changes: it answers no call that waits.
#[derive(Clone)]
struct Quiet;

impl WatchStore for Quiet {
    async fn list(&self, _prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        Ok((1, Vec::new()))
    }

    async fn watch(&self, _prefix: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        if wait {
            std::future::pending::<()>().await;
        }
        Ok(WatchBatch { rev: after, compacted: false, changes: Vec::new() })
    }
}

/// Guards against lost flows being told to nobody for as long as a watch waits, since
/// what the store said before the pause no longer counts.
#[ntex::test]
async fn asked_at_once() {
    let refresh = Arc::new(Notify::new());
    let source = Source {
        store: Quiet,
        prefix: String::new(),
        peers: Vec::new(),
        peer_fallback: PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: refresh.clone(),
    };
    let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
    let follow = mirror::follow(
        &source,
        |_| None,
        |news| {
            if matches!(news, MirrorEvent::Recovered) {
                tell.send(()).unwrap();
            }
        },
    );
    let back = async {
        told.recv().await.unwrap();
        for _ in 0..2 {
            tokio::time::sleep(50 * MS).await;
            refresh.notify_one();
            tokio::time::timeout(500 * MS, told.recv()).await.unwrap().unwrap();
        }
    };
    tokio::select! {
        () = back => {}
        () = follow => unreachable!(),
    }
}
