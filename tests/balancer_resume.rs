//! A balancer that resumes after a pause: what it learnt before is no evidence that agents
//! are down or flows are lost.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::protocol::{Answer, FlowStatus};
use jujubepost::steering::FlowSteering;
use jujubepost::store::mirror::{self, MirrorEvent, PeerFallback, Source};
use jujubepost::store::{Kv, WatchBatch, WatchStore};
use tokio::sync::Notify;

const MS: Duration = Duration::from_millis(1);

/// Length of the pause, longer than `dead_after`.
const PAUSE: Duration = Duration::from_secs(5);

fn receive_packet(s: &mut FlowSteering, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.handle_packet(&caller_data(1, 1_001, 77, 10), b"packet", now, &mut out);
    s.tick(now, &mut out);
    out
}

fn tick(s: &mut FlowSteering, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    s.tick(now, &mut out);
    out
}

/// Number of resets after `agents` denied the flow and the others timed out.
fn resets_after_denials(
    s: &mut FlowSteering,
    agents: impl IntoIterator<Item = u8>,
    now: Instant,
) -> usize {
    let mut out = receive_packet(s, now);
    for n in agents {
        let answer = Answer { flow: flow(1), status: FlowStatus::Unknown, hint: None };
        s.handle_answers(agent(n), &[answer], 0, now, &mut out);
        s.tick(now, &mut out);
    }
    out.resets.len() + tick(s, now + 500 * MS).resets.len()
}

/// Guards against resetting a live flow whose agent was listed while the balancer did not
/// run.
#[test]
fn no_reset_before_store_answers() {
    let now = Instant::now();
    let mut s = steering(3, now);
    let resumed = now + PAUSE;
    s.resume(PAUSE);
    assert_eq!(resets_after_denials(&mut s, 1..=3, resumed), 0);
    s.set_store_reachable(true, resumed + 600 * MS);
    assert_eq!(resets_after_denials(&mut s, 1..=3, resumed + 600 * MS), 1);
}

/// Guards against resetting a live flow because the pause counts as an agent's silence.
#[test]
fn pause_does_not_count_as_silence() {
    let now = Instant::now();
    let mut s = steering(3, now);
    s.roster.record_timeout(agent(3), now + 50 * MS);
    let resumed = now + 100 * MS + PAUSE;
    s.resume(PAUSE);
    s.set_store_reachable(true, resumed);
    assert_eq!(resets_after_denials(&mut s, 1..=2, resumed), 0);
    assert_eq!(
        resets_after_denials(&mut s, 1..=2, resumed + 4_000 * MS),
        1,
        "it was silent for 4 s after the pause"
    );
}

/// Guards against removing an unlisted agent because it was not pinged during the pause.
#[test]
fn unlisted_agent_kept_over_pause() {
    let now = Instant::now();
    let mut s = steering(3, now);
    let listed: Vec<_> = (1..=2).map(listed_agent).collect();
    s.roster.update(&listed, now + 50 * MS);
    tick(&mut s, now + 50 * MS);
    s.roster.handle_pong(agent(3), SERVICE, 0, now + 60 * MS);
    let resumed = now + 100 * MS + PAUSE;
    s.resume(PAUSE);
    tick(&mut s, resumed);
    assert_eq!(s.roster.len(), 3, "it answered its last ping");
    tick(&mut s, resumed + 3_000 * MS);
    assert_eq!(s.roster.len(), 2, "it did not answer a ping for 3 s");
}

/// A store without changes: blocking watches never return.
#[derive(Clone)]
struct UnchangedStore;

impl WatchStore for UnchangedStore {
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

/// Guards against lost flows not being reset after a pause: a pending watch must not delay
/// the event that the store is reachable.
#[ntex::test]
async fn store_reachability_reported_after_pause() {
    let refresh = Arc::new(Notify::new());
    let source = Source {
        store: UnchangedStore,
        prefix: String::new(),
        peers: Vec::new(),
        start_order: Vec::new(),
        peer_fallback: PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: refresh.clone(),
    };
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let follow = mirror::follow(
        &source,
        |_| None,
        |event| {
            if matches!(event, MirrorEvent::Recovered) {
                sender.send(()).unwrap();
            }
        },
    );
    let two_refreshes = async {
        receiver.recv().await.unwrap();
        for _ in 0..2 {
            tokio::time::sleep(50 * MS).await;
            refresh.notify_one();
            tokio::time::timeout(500 * MS, receiver.recv()).await.unwrap().unwrap();
        }
    };
    tokio::select! {
        () = two_refreshes => {}
        () = follow => unreachable!(),
    }
}
