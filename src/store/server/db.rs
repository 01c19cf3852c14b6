//! State of the in-memory server: keys, leases and the history of changes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use serde::{Deserialize, Serialize};

use crate::store::types::{Event, Header, KeyValue};

/// Changes kept for watches that start at an older revision.
const MAX_HISTORY: usize = 50_000;

/// Failures that the server injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Fails every call with status 503.
    pub outage: bool,
    /// Delays every response by this many milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect but return 504.
    #[serde(rename = "lose")]
    pub lost_responses: u32,
    /// Refuses keepalives, so that leases expire while their holders run.
    #[serde(rename = "lapse")]
    pub refuse_keepalives: bool,
    /// Clears the history kept for watches, once.
    #[serde(rename = "forget")]
    pub clear_history: bool,
    /// Makes a backup of all keys and leases, once.
    pub backup: bool,
    /// Restores the last backup, once: later changes are lost, revisions are given out again,
    /// and the era rises by one.
    pub restore: bool,
}

/// Number of calls by kind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of keys and ranges.
    pub reads: u64,
    /// Puts, transactions, deletes and lease grants.
    pub writes: u64,
    /// Lease keepalives.
    pub keepalives: u64,
    /// Watch calls.
    pub watches: u64,
}

/// A stored value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Its bytes.
    pub value: Vec<u8>,
    /// Revision of its creation.
    pub create_rev: i64,
    /// Revision of its last change.
    pub mod_rev: i64,
    /// Its lease, or 0.
    pub lease: i64,
}

/// A granted lease.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    ttl: Duration,
    deadline: Instant,
    keys: HashSet<Vec<u8>>,
}

/// The keys and leases at one moment.
#[derive(Debug)]
struct Backup {
    rev: i64,
    kvs: BTreeMap<Vec<u8>, Entry>,
    leases: HashMap<i64, LeaseState>,
    next_lease: i64,
    taken_at: Instant,
}

/// Keys and leases, shared by the handlers of both protocols.
#[derive(Debug, Default)]
pub(crate) struct Db {
    /// How often a backup was restored.
    pub era: u32,
    /// Revision of the last change.
    pub rev: i64,
    /// Entries by key.
    pub kvs: BTreeMap<Vec<u8>, Entry>,
    leases: HashMap<i64, LeaseState>,
    /// Changes by revision, oldest first.
    pub history: Vec<(i64, Event)>,
    next_lease: i64,
    backup: Option<Backup>,
    /// Injected faults.
    pub faults: Faults,
    /// Calls so far.
    pub stats: Stats,
}

impl Db {
    /// Header of a response.
    pub fn header(&self) -> Header {
        Header { revision: self.rev, era: self.era }
    }

    /// Makes a backup of the keys and leases.
    pub fn back_up(&mut self) {
        self.backup = Some(Backup {
            rev: self.rev,
            kvs: self.kvs.clone(),
            leases: self.leases.clone(),
            next_lease: self.next_lease,
            taken_at: Instant::now(),
        });
    }

    /// Restores the last backup; returns whether there is one. Leases have as much time left as
    /// they had in the backup.
    pub fn restore(&mut self) -> bool {
        let Some(backup) = self.backup.take() else { return false };
        let elapsed = backup.taken_at.elapsed();
        self.era += 1;
        self.rev = backup.rev;
        self.kvs = backup.kvs;
        self.leases = backup.leases;
        self.leases.values_mut().for_each(|l| l.deadline += elapsed);
        self.next_lease = backup.next_lease;
        self.history.retain(|(rev, _)| *rev <= backup.rev);
        true
    }

    /// Encodes an entry for a response.
    pub fn to_key_value(key: &[u8], e: &Entry) -> KeyValue {
        KeyValue {
            key: B64.encode(key),
            value: B64.encode(&e.value),
            create_revision: e.create_rev,
            mod_revision: e.mod_rev,
            lease: e.lease,
        }
    }

    /// Writes a key under `lease` (0 for none).
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.rev += 1;
        let create_rev = self.kvs.get(&key).map_or(self.rev, |e| e.create_rev);
        if let Some(old) = self.kvs.get(&key)
            && old.lease != 0
            && old.lease != lease
            && let Some(l) = self.leases.get_mut(&old.lease)
        {
            l.keys.remove(&key);
        }
        if let Some(l) = self.leases.get_mut(&lease) {
            l.keys.insert(key.clone());
        }
        let e = Entry { value, create_rev, mod_rev: self.rev, lease };
        let ev = Event { kind: "PUT".into(), kv: Self::to_key_value(&key, &e) };
        self.kvs.insert(key, e);
        self.append_history(ev);
    }

    /// Removes a key; returns whether it existed.
    pub fn delete(&mut self, key: &[u8]) -> bool {
        let Some(e) = self.kvs.remove(key) else {
            return false;
        };
        if let Some(l) = self.leases.get_mut(&e.lease) {
            l.keys.remove(key);
        }
        self.rev += 1;
        let kv = KeyValue { key: B64.encode(key), mod_revision: self.rev, ..KeyValue::default() };
        self.append_history(Event { kind: "DELETE".into(), kv });
        true
    }

    /// Grants a lease; returns its identifier.
    pub fn grant(&mut self, ttl: Duration) -> i64 {
        self.next_lease += 1;
        let state = LeaseState { ttl, deadline: Instant::now() + ttl, keys: HashSet::new() };
        self.leases.insert(self.next_lease, state);
        self.next_lease
    }

    /// Whether the lease is granted and has not expired; true for 0, no lease.
    pub fn has_lease(&self, lease: i64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Renews a lease; returns its time to live, or `None` if it has expired.
    pub fn renew(&mut self, lease: i64) -> Option<Duration> {
        if self.faults.refuse_keepalives {
            return None;
        }
        let l = self.leases.get_mut(&lease)?;
        l.deadline = Instant::now() + l.ttl;
        Some(l.ttl)
    }

    /// Whether the history lacks changes from revision `start` on, or `start` is of the
    /// changes that were lost in a restore.
    pub fn is_compacted(&self, start: i64) -> bool {
        let oldest = self.history.first().map_or(self.rev + 1, |(r, _)| *r);
        let compacted = start < oldest && start <= self.rev && self.rev > 0;
        compacted || start > self.rev + 1
    }

    fn append_history(&mut self, ev: Event) {
        self.history.push((self.rev, ev));
        if self.history.len() > MAX_HISTORY {
            let excess = self.history.len() - MAX_HISTORY;
            self.history.drain(..excess);
        }
    }

    /// Removes leases past their deadline with their keys; returns whether there
    /// were any.
    pub fn drop_expired_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, l)| l.deadline <= now).map(|(&id, _)| id).collect();
        for id in &expired {
            if let Some(l) = self.leases.remove(id) {
                for key in l.keys {
                    self.delete(&key);
                }
            }
        }
        !expired.is_empty()
    }
}
