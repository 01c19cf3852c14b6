//! Writes that the store executes late, after another process has taken over their key.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::fixtures::SERVICE;
use jujubepost::platform::kv;
use jujubepost::protocol::Message;
use jujubepost::store::{LeaseStore, PutOutcome, lease};
use jujubepost::trial::{Plan, Trial};
use tokio::sync::{Notify, watch};

const MS: Duration = Duration::from_millis(1);

const LEASE_MS: u64 = 10_000;

/// One key of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Entry {
    value: Vec<u8>,
    lease: i64,
    rev: i64,
}

/// A write, and the revision that it expects, if any.
type Write = (Entry, Option<i64>);

/// A store of one key, as one machine reaches it. Clones share the key.
#[derive(Clone, Default)]
struct Store {
    entry: Rc<RefCell<Entry>>,
    leases: Rc<Cell<i64>>,
    /// Whether the next write is executed late, and gets no answer.
    delays_next: Rc<Cell<bool>>,
    /// A write that is executed late.
    late: Rc<RefCell<Option<Write>>>,
}

impl Store {
    fn write(&self, value: &[u8], lease: i64, expected: Option<i64>) -> anyhow::Result<PutOutcome> {
        let new = Entry { value: value.to_vec(), lease, rev: 0 };
        if self.delays_next.take() {
            self.late.replace(Some((new, expected)));
            anyhow::bail!("no answer");
        }
        Ok(self.execute(new, expected))
    }

    fn execute(&self, new: Entry, expected: Option<i64>) -> PutOutcome {
        let mut entry = self.entry.borrow_mut();
        if expected.is_some_and(|rev| rev != entry.rev) {
            return PutOutcome::Conflict(entry.rev);
        }
        *entry = Entry { rev: entry.rev + 1, ..new };
        PutOutcome::Written(entry.rev)
    }

    fn execute_late(&self) {
        let (new, expected) = self.late.take().expect("a write without an answer");
        self.execute(new, expected);
    }
}

impl LeaseStore for Store {
    async fn grant(&self, _: Duration) -> anyhow::Result<i64> {
        self.leases.set(self.leases.get() + 1);
        Ok(self.leases.get())
    }

    async fn keepalive(&self, _: i64) -> anyhow::Result<bool> {
        Ok(true)
    }

    async fn put(&self, _: &str, value: &[u8], lease: i64) -> anyhow::Result<()> {
        self.write(value, lease, None).map(drop)
    }

    async fn put_at(
        &self,
        _: &str,
        value: &[u8],
        lease: i64,
        rev: i64,
    ) -> anyhow::Result<PutOutcome> {
        self.write(value, lease, Some(rev))
    }

    async fn holds(&self, _: &str, lease: i64) -> anyhow::Result<bool> {
        Ok(self.entry.borrow().lease == lease)
    }

    async fn exists(&self, _: &str) -> anyhow::Result<bool> {
        Ok(self.entry.borrow().rev > 0)
    }

    async fn delete(&self, _: &str) -> anyhow::Result<()> {
        unreachable!()
    }
}

/// Holds the key with `value` for `time`.
async fn hold(store: &Store, value: &[u8], check: &Notify, time: Duration) {
    let (_value, values) = watch::channel(value.to_vec());
    let rev = store.entry.borrow().rev;
    let maintain = lease::maintain(store, "key", values, LEASE_MS, check, rev, |_| {});
    let _ = tokio::time::timeout(time, maintain).await;
}

/// Guards against the reset of open flows at a target whose agent's registration was overwritten by
/// a late write of the VM that had the address before.
#[ntex::test]
async fn late_write_leaves_newer_entry() {
    let store = Store::default();
    let check = Notify::new();
    store.delays_next.set(true);
    hold(&store, b"earlier user", &check, 800 * MS).await;
    assert_eq!(store.entry.borrow().value, b"earlier user", "written by the second try");
    hold(&store, b"user", &check, 50 * MS).await;
    store.execute_late();
    assert_eq!(store.entry.borrow().value, b"user");
}

/// Guards against an entry of another process that stays until its lease ends.
#[ntex::test]
async fn foreign_entry_is_replaced() {
    let store = Store::default();
    let check = Notify::new();
    let overwrite = async {
        tokio::time::sleep(50 * MS).await;
        let foreign = Entry { value: b"other".to_vec(), lease: 99, rev: 0 };
        store.execute(foreign, None);
        check.notify_one();
    };
    tokio::join!(overwrite, hold(&store, b"own", &check, 200 * MS));
    assert_eq!(store.entry.borrow().value, b"own");
}

/// Guards against an agent that does not notice that balancers take it for one of another service.
#[test]
fn misdirected_messages_are_noticed() {
    let steal = Message::Steal { service: SERVICE, room: 1 };
    assert_eq!(steal.service(), Some(SERVICE));
    assert_eq!(Message::Ping { listed: true }.service(), None);
}

/// Guards against conditions that the platform's store would not check.
#[ntex::test]
async fn platform_client_writes_conditionally() {
    let dir = std::env::temp_dir().join(format!("jujubepost-late-{}", std::process::id()));
    let plan = Plan { base_port: 28_800, balancers: 1, targets: 1, ..Plan::default() };
    let trial = Trial::start(&common::exe(), &dir, plan).await.unwrap();
    let client = kv::Client::new(trial.store_addr().into(), 1_000 * MS, 1_000 * MS).await.unwrap();
    let (old, new) =
        (client.grant(60_000 * MS).await.unwrap(), client.grant(60_000 * MS).await.unwrap());
    let PutOutcome::Written(first) = client.put_at("k", b"old", old, 0).await.unwrap() else {
        panic!("the key did not exist")
    };
    let PutOutcome::Written(second) = client.put_at("k", b"new", new, first).await.unwrap() else {
        panic!("the key was at {first}")
    };
    for late in [0, first] {
        let outcome = client.put_at("k", b"old", old, late).await.unwrap();
        assert_eq!(outcome, PutOutcome::Conflict(second));
    }
    assert!(client.holds("k", new).await.unwrap() && !client.holds("k", old).await.unwrap());
    client.delete("k").await.unwrap();
    assert_eq!(client.put_at("k", b"old", old, second).await.unwrap(), PutOutcome::Conflict(0));
    assert_eq!(trial.shut_down().await, Vec::<String>::new());
    let _ = std::fs::remove_dir_all(dir);
}
