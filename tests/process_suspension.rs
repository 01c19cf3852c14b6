//! A process that was suspended (SIGSTOP) and resumes: delays and timeouts that
//! begin afterwards must not be prolonged.

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

/// Longest time from the resumption to the next read of the store, or to a timeout.
const MAX_READ_DELAY: Duration = Duration::from_secs(3);

/// Longest time from the resumption to the next attempt to acquire a lease.
const MAX_LEASE_DELAY: Duration = Duration::from_secs(2);

/// How long the process is suspended.
const SUSPENDED_FOR: Duration = Duration::from_secs(7);

/// From the start of a test to the suspension.
const SUSPEND_AT: Duration = Duration::from_millis(600);

/// From the start of a test to the end of the first call, during the suspension.
const CALL_ENDS_AT: Duration = Duration::from_millis(2_000);

/// From the start of a test to the expiry of an unrelated timer, also during the
/// suspension.
const OTHER_TIMER_AT: Duration = Duration::from_millis(2_300);

/// Held by the running test, as each suspends the whole process.
static PROCESS_LOCK: Mutex<()> = Mutex::new(());

/// Suspends this process, with all its threads, at [`SUSPEND_AT`].
struct Suspension {
    started: Instant,
    shell: Child,
    _lock: MutexGuard<'static, ()>,
}

impl Suspension {
    fn new() -> Self {
        let lock = PROCESS_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let (pid, delay, pause) =
            (std::process::id(), SUSPEND_AT.as_secs_f64(), SUSPENDED_FOR.as_secs_f64());
        let script = format!("sleep {delay}; kill -STOP {pid}; sleep {pause}; kill -CONT {pid}");
        let shell = Command::new("sh").args(["-c", &script]).spawn().unwrap();
        #[expect(clippy::disallowed_methods, reason = "the HTTP library uses this timer, too")]
        tokio::task::spawn_local(ntex::time::sleep(OTHER_TIMER_AT));
        Self { started: Instant::now(), shell, _lock: lock }
    }

    /// Waits for [`CALL_ENDS_AT`]; returns when the process resumed.
    async fn resumed(&self) -> Instant {
        tokio::time::sleep_until((self.started + CALL_ENDS_AT).into()).await;
        let resumed = Instant::now();
        assert!(
            resumed.duration_since(self.started) > SUSPENDED_FOR,
            "the process was not suspended"
        );
        resumed
    }
}

impl Drop for Suspension {
    fn drop(&mut self) {
        self.shell.wait().unwrap();
    }
}

/// A store whose first call ends while the process is suspended, and whose second never
/// ends.
#[derive(Clone)]
struct Store {
    suspension: Rc<Suspension>,
    resumed: Rc<Cell<Option<Instant>>>,
    /// Time from the resumption to the second call.
    delay: Rc<Cell<Option<Duration>>>,
}

impl Store {
    fn new() -> Self {
        Self {
            suspension: Rc::new(Suspension::new()),
            resumed: Rc::default(),
            delay: Rc::default(),
        }
    }

    async fn call(&self) {
        if let Some(resumed) = self.resumed.get() {
            self.delay.set(Some(resumed.elapsed()));
            std::future::pending::<()>().await;
        }
        self.resumed.set(Some(self.suspension.resumed().await));
    }

    /// Waits for the second call; returns its time since the resumption.
    async fn second_call(&self) -> Duration {
        loop {
            if let Some(delay) = self.delay.get() {
                return delay;
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
        let kv = Kv { key: "op/config".into(), value: Vec::new(), rev: 2, lease: 0, created: 0 };
        Ok(WatchBatch { rev: 2, compacted: false, changes: vec![Change::Put(kv)] })
    }
}

impl LeaseStore for Store {
    async fn grant(&self, _ttl: Duration) -> anyhow::Result<i64> {
        self.call().await;
        anyhow::bail!("store is unavailable")
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

/// Guards against configuration changes that apply late, as the pause before the next
/// watch call is prolonged by a suspension.
#[ntex::test]
async fn watch_after_freeze() {
    let store = Store::new();
    let source = Source {
        store: store.clone(),
        prefix: String::new(),
        peers: Vec::new(),
        start_order: Vec::new(),
        peer_fallback: PeerFallback::WhenEmpty,
        batch_delay: 300 * MS,
        refresh: Arc::default(),
    };
    let delay = tokio::select! {
        delay = store.second_call() => delay,
        () = mirror::follow(&source, |_| None, |_| {}) => unreachable!(),
    };
    assert!(delay < MAX_READ_DELAY, "next read {delay:?} after the resumption");
}

/// Guards against agents that stay unlisted, as the pause before the next attempt to
/// acquire a lease is prolonged by a suspension.
#[ntex::test]
async fn lease_after_freeze() {
    let store = Store::new();
    let (_value, values) = watch::channel(Vec::new());
    let check = Notify::new();
    let delay = tokio::select! {
        delay = store.second_call() => delay,
        () = lease::maintain(&store, "key", values, 10_000, &check, 0, |_| {}) => unreachable!(),
    };
    assert!(delay < MAX_LEASE_DELAY, "next attempt {delay:?} after the resumption");
}

/// Response to the first call; the next gets none.
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// Guards against a call whose timeout is prolonged by a suspension.
#[ntex::test]
async fn call_after_freeze() {
    let client = kv::Client::new(common::serve_one_response(NOT_FOUND), 1_000 * MS, 1_000 * MS)
        .await
        .unwrap();
    assert!(client.get("key").await.unwrap().is_none());
    let suspension = Suspension::new();
    let resumed = suspension.resumed().await;
    assert!(client.get("key").await.is_err());
    let delay = resumed.elapsed();
    assert!(delay < MAX_READ_DELAY, "timed out {delay:?} after the resumption");
}
