//! The lease that holds a key is renewed in time, whatever else is done under it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubepost::store::{LeaseStore, lease};
use tokio::sync::{Notify, watch};

const MS: Duration = Duration::from_millis(1);

/// Time to live of the lease, in milliseconds: the shortest there is.
const TTL_MS: u64 = 1_000;

/// A store whose leases stand, and that notes the longest time between renewals.
struct Store {
    renewed: Cell<Instant>,
    longest: Cell<Duration>,
}

impl Store {
    fn new() -> Self {
        Self { renewed: Cell::new(Instant::now()), longest: Cell::default() }
    }

    fn renew(&self) {
        let now = Instant::now();
        let since = now.duration_since(self.renewed.replace(now));
        self.longest.set(self.longest.get().max(since));
    }
}

impl LeaseStore for Store {
    async fn grant(&self, _ttl: Duration) -> anyhow::Result<i64> {
        self.renew();
        Ok(1)
    }

    async fn keepalive(&self, _lease: i64) -> anyhow::Result<bool> {
        self.renew();
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

/// Guards against entries of idle agents that lapse because each look for the entry, and
/// each new value of it, puts off the renewal of its lease.
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
        () = busy => store.renew(),
        () = lease::maintain(&store, "key", values, TTL_MS, &check) => unreachable!(),
    }
    let longest = store.longest.get();
    assert!(longest < Duration::from_millis(TTL_MS), "not renewed for {longest:?}");
}
