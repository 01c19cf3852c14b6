//! Leases are renewed in time, whatever other calls are made meanwhile.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubepost::platform::kv::Client;
use jujubepost::store::{LeaseStore, lease};
use tokio::sync::{Notify, watch};

const MS: Duration = Duration::from_millis(1);

/// Time to live of the lease, in milliseconds: the shortest possible.
const TTL_MS: u64 = 1_000;

/// A store whose leases never lapse; records the longest time between renewals.
struct Store {
    last_renewal: Cell<Instant>,
    longest_gap: Cell<Duration>,
    key_checks: Cell<u32>,
}

impl Store {
    fn new() -> Self {
        Self {
            last_renewal: Cell::new(Instant::now()),
            longest_gap: Cell::default(),
            key_checks: Cell::new(0),
        }
    }

    fn record_renewal(&self) {
        let now = Instant::now();
        let gap = now.duration_since(self.last_renewal.replace(now));
        self.longest_gap.set(self.longest_gap.get().max(gap));
    }
}

impl LeaseStore for Store {
    async fn grant(&self, _ttl: Duration) -> anyhow::Result<i64> {
        self.record_renewal();
        Ok(1)
    }

    async fn keepalive(&self, _lease: i64) -> anyhow::Result<bool> {
        self.record_renewal();
        Ok(true)
    }

    async fn put(&self, _key: &str, _value: &[u8], _lease: i64) -> anyhow::Result<()> {
        Ok(())
    }

    async fn exists(&self, _key: &str) -> anyhow::Result<bool> {
        self.key_checks.update(|n| n + 1);
        Ok(true)
    }

    async fn delete(&self, _key: &str) -> anyhow::Result<()> {
        Ok(())
    }
}

/// Guards against leases that lapse because each check for the key, and each new value,
/// postpones the renewal.
#[ntex::test]
async fn renewed_while_checked() {
    let store = Store::new();
    let (value, values) = watch::channel(vec![0]);
    let check = Rc::new(Notify::new());
    let busy = async {
        for n in 0..12 {
            tokio::time::sleep(100 * MS).await;
            check.notify_one();
            tokio::time::sleep(100 * MS).await;
            value.send_replace(vec![n]);
        }
    };
    tokio::select! {
        () = busy => store.record_renewal(),
        () = lease::maintain(&store, "key", values, TTL_MS, &check, 0, |_| {}) => unreachable!(),
    }
    let longest_gap = store.longest_gap.get();
    assert!(longest_gap < Duration::from_millis(TTL_MS), "not renewed for {longest_gap:?}");
}

/// Guards against a check of the key right after it was written, for each agent that registers
/// later than it starts: an old read lacks the key, so that an exact one follows.
#[ntex::test]
async fn key_just_written_is_not_checked() {
    let store = Store::new();
    let (_value, values) = watch::channel(vec![0]);
    let check = Notify::new();
    check.notify_one();
    let maintain = lease::maintain(&store, "key", values, TTL_MS, &check, 0, |_| {});
    let _ = tokio::time::timeout(100 * MS, maintain).await;
    assert_eq!(store.key_checks.get(), 0);
}

/// Guards against full-price reads by every idle agent: whether its key is still there may be
/// answered from a copy that is some seconds old.
#[ntex::test]
async fn key_check_may_be_old() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        let n = stream.read(&mut request).unwrap();
        stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").unwrap();
        String::from_utf8_lossy(&request[..n]).into_owned()
    });
    let store = Client::new(addr, 1_000 * MS, 1_000 * MS).await.unwrap();
    assert!(!store.exists("jujubepost/agents/10.1.0.2").await.unwrap());
    let request = server.join().unwrap();
    assert!(request.lines().next().unwrap().contains("serializable=1"), "{request}");
}
