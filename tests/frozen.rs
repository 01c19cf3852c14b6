//! Processes that are suspended for seconds and resume: a pause begun afterwards takes no
//! longer than it asks for.

mod common;

use std::cell::Cell;
use std::process::{Child, Command};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jujubepost::platform::kv;
use jujubepost::store::lease;
use jujubepost::store::mirror::{self, PeerFallback, Source};
use jujubepost::store::{Change, Kv, LeaseStore, WatchBatch, WatchStore};
use tokio::sync::{Notify, watch};

const MS: Duration = Duration::from_millis(1);

/// How long after it was acknowledged a change may take to be in force.
const IN_FORCE: Duration = Duration::from_secs(3);

/// How soon after the store's return entries that lapsed are back.
const ENTRY_BACK: Duration = Duration::from_secs(2);

/// How long the process is suspended.
const FREEZE: Duration = Duration::from_secs(7);

/// When the process is suspended, counted from a test's start.
const BEGIN: Duration = Duration::from_millis(600);

/// When the step of a test falls due: while the process is suspended.
const STEP: Duration = Duration::from_millis(2_000);

/// When another timer of the process falls due, as there always is one: while it is
/// suspended, too.
const OTHER: Duration = Duration::from_millis(2_300);

/// One test at a time: each suspends the whole process.
static TURN: Mutex<()> = Mutex::new(());

/// Suspends this process, all of its threads, from [`BEGIN`] on.
struct Freeze {
    started: Instant,
    shell: Child,
    _turn: MutexGuard<'static, ()>,
}

impl Freeze {
    fn new() -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let (pid, begin, pause) = (std::process::id(), BEGIN.as_secs_f64(), FREEZE.as_secs_f64());
        let script = format!("sleep {begin}; kill -STOP {pid}; sleep {pause}; kill -CONT {pid}");
        let shell = Command::new("sh").args(["-c", &script]).spawn().unwrap();
        #[expect(clippy::disallowed_methods, reason = "as the HTTP library's own timers")]
        tokio::task::spawn_local(ntex::time::sleep(OTHER));
        Self { started: Instant::now(), shell, _turn: turn }
    }

    /// Waits for the step of the test, which is due while the process is suspended;
    /// returns when it resumed.
    async fn step(&self) -> Instant {
        tokio::time::sleep_until((self.started + STEP).into()).await;
        let resumed = Instant::now();
        assert!(resumed.duration_since(self.started) > FREEZE, "the process was not suspended");
        resumed
    }
}

impl Drop for Freeze {
    fn drop(&mut self) {
        self.shell.wait().unwrap();
    }
}

/// A store that answers its first call while the process is suspended, and no other.
#[derive(Clone)]
struct Store {
    freeze: Rc<Freeze>,
    resumed: Rc<Cell<Option<Instant>>>,
    /// From the resumption to the second call.
    late: Rc<Cell<Option<Duration>>>,
}

impl Store {
    fn new() -> Self {
        Self { freeze: Rc::new(Freeze::new()), resumed: Rc::default(), late: Rc::default() }
    }

    async fn call(&self) {
        if let Some(resumed) = self.resumed.get() {
            self.late.set(Some(resumed.elapsed()));
            std::future::pending::<()>().await;
        }
        self.resumed.set(Some(self.freeze.step().await));
    }

    /// How long after the resumption the second call was made.
    async fn second_call(&self) -> Duration {
        loop {
            if let Some(late) = self.late.get() {
                return late;
            }
            tokio::time::sleep(10 * MS).await;
        }
    }
}

impl WatchStore for Store {
    async fn list(&self, _prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        Ok((1, Vec::new()))
    }

    async fn watch(&self, _prefix: &str, _after: i64, _wait: bool) -> anyhow::Result<WatchBatch> {
        self.call().await;
        let kv = Kv { key: "op/config".into(), value: Vec::new(), rev: 2, lease: 0 };
        Ok(WatchBatch { rev: 2, compacted: false, changes: vec![Change::Put(kv)] })
    }
}

impl LeaseStore for Store {
    async fn grant(&self, _ttl: Duration) -> anyhow::Result<i64> {
        self.call().await;
        anyhow::bail!("store is away")
    }

    async fn keepalive(&self, _lease: i64) -> anyhow::Result<bool> {
        Ok(true)
    }

    async fn put(&self, _key: &str, _value: &[u8], _lease: i64) -> anyhow::Result<()> {
        Ok(())
    }

    async fn exists(&self, _key: &str) -> anyhow::Result<bool> {
        Ok(true)
    }

    async fn delete(&self, _key: &str) -> anyhow::Result<()> {
        Ok(())
    }
}

/// Guards against a change that is not in force in time because the pause before the
/// next read of the store takes longer after the process was suspended.
#[ntex::test]
async fn watch_after_freeze() {
    let store = Store::new();
    let source = Source {
        store: store.clone(),
        prefix: String::new(),
        peers: Vec::new(),
        peer_fallback: PeerFallback::WhenEmpty,
        batch_delay: 300 * MS,
        refresh: Arc::default(),
    };
    let late = tokio::select! {
        late = store.second_call() => late,
        () = mirror::follow(&source, |_| None, |_| {}) => unreachable!(),
    };
    assert!(late < IN_FORCE, "next read {late:?} after the resumption");
}

/// Guards against an agent that is not listed again in time because the pause before
/// the next try takes longer after the process was suspended.
#[ntex::test]
async fn lease_after_freeze() {
    let store = Store::new();
    let (_value, values) = watch::channel(Vec::new());
    let check = Notify::new();
    let late = tokio::select! {
        late = store.second_call() => late,
        () = lease::maintain(&store, "key", values, 10_000, &check) => unreachable!(),
    };
    assert!(late < ENTRY_BACK, "next try {late:?} after the resumption");
}

/// The whole answer to the first call; nothing answers the next.
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// Guards against an unanswered call that times out late after the process was suspended.
#[ntex::test]
async fn call_after_freeze() {
    let client =
        kv::Client::new(common::falls_silent(NOT_FOUND), 1_000 * MS, 1_000 * MS).await.unwrap();
    assert!(client.get("key").await.unwrap().is_none());
    let freeze = Freeze::new();
    let resumed = freeze.step().await;
    assert!(client.get("key").await.is_err());
    let late = resumed.elapsed();
    assert!(late < IN_FORCE, "given up {late:?} after the resumption");
}
