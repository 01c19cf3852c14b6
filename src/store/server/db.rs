//! What the stand-in holds: keys, leases and the history of changes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use serde::{Deserialize, Serialize};

use crate::store::types::{Event, Header, KeyValue};

/// Changes kept for watches that start in the past.
const HISTORY: usize = 50_000;

/// Failures the stand-in can be told to show.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with 503 while set.
    pub outage: bool,
    /// Every call is answered this many milliseconds late.
    pub delay_ms: u64,
    /// The next this many writes take effect but their answer is lost (504).
    #[serde(rename = "lose")]
    pub lost_answers: u32,
    /// Keepalives are refused, so leases lapse while their holders run on.
    #[serde(rename = "lapse")]
    pub refuse_keepalives: bool,
    /// The history kept for watches is forgotten at once.
    #[serde(rename = "forget")]
    pub clear_history: bool,
}

/// Calls counted by kind.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads (range).
    pub reads: u64,
    /// Writes (put, txn, delete, lease grant).
    pub writes: u64,
    /// Lease keepalives.
    pub keepalives: u64,
    /// Watch calls, each waiting watch counted once.
    pub watches: u64,
}

/// One key's value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its creation.
    pub create_rev: i64,
    /// Revision of its last change.
    pub mod_rev: i64,
    /// Its lease, or 0.
    pub lease: i64,
}

/// One lease.
#[derive(Debug)]
pub(crate) struct LeaseState {
    ttl: Duration,
    deadline: Instant,
    keys: HashSet<Vec<u8>>,
}

/// What the stand-in holds, whichever protocol asks for it.
#[derive(Debug, Default)]
pub(crate) struct Db {
    /// Its revision.
    pub rev: i64,
    /// Its keys.
    pub kvs: BTreeMap<Vec<u8>, Entry>,
    leases: HashMap<i64, LeaseState>,
    /// Changes by revision, oldest first.
    pub history: Vec<(i64, Event)>,
    next_lease: i64,
    /// The faults that it shows.
    pub faults: Faults,
    /// Calls counted.
    pub stats: Stats,
}

impl Db {
    /// Head of an answer.
    pub fn header(&self) -> Header {
        Header { revision: self.rev }
    }

    /// A key as it is answered.
    pub fn to_key_value(key: &[u8], e: &Entry) -> KeyValue {
        KeyValue {
            key: B64.encode(key),
            value: B64.encode(&e.value),
            create_revision: e.create_rev,
            mod_revision: e.mod_rev,
            lease: e.lease,
        }
    }

    /// Writes a key.
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.rev += 1;
        let create = self.kvs.get(&key).map_or(self.rev, |e| e.create_rev);
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
        let e = Entry { value, create_rev: create, mod_rev: self.rev, lease };
        let ev = Event { kind: "PUT".into(), kv: Self::to_key_value(&key, &e) };
        self.kvs.insert(key, e);
        self.record(ev);
    }

    /// Removes a key; says whether it was there.
    pub fn delete(&mut self, key: &[u8]) -> bool {
        let Some(e) = self.kvs.remove(key) else {
            return false;
        };
        if let Some(l) = self.leases.get_mut(&e.lease) {
            l.keys.remove(key);
        }
        self.rev += 1;
        let kv = KeyValue { key: B64.encode(key), mod_revision: self.rev, ..KeyValue::default() };
        self.record(Event { kind: "DELETE".into(), kv });
        true
    }

    /// Takes a lease; returns its identifier.
    pub fn grant(&mut self, ttl: Duration) -> i64 {
        self.next_lease += 1;
        let state = LeaseState { ttl, deadline: Instant::now() + ttl, keys: HashSet::new() };
        self.leases.insert(self.next_lease, state);
        self.next_lease
    }

    /// Whether the lease stands.
    pub fn has_lease(&self, lease: i64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Renews a lease; its time to live, or none when it has ended.
    pub fn renew(&mut self, lease: i64) -> Option<Duration> {
        if self.faults.refuse_keepalives {
            return None;
        }
        let l = self.leases.get_mut(&lease)?;
        l.deadline = Instant::now() + l.ttl;
        Some(l.ttl)
    }

    /// Whether changes since revision `start` are no longer all known.
    pub fn is_compacted(&self, start: i64) -> bool {
        let oldest = self.history.first().map_or(self.rev + 1, |(r, _)| *r);
        start < oldest && start <= self.rev && self.rev > 0
    }

    fn record(&mut self, ev: Event) {
        self.history.push((self.rev, ev));
        if self.history.len() > HISTORY {
            let cut = self.history.len() - HISTORY;
            self.history.drain(..cut);
        }
    }

    /// Ends the leases whose time is over; says whether there were any.
    pub fn drop_lapsed_leases(&mut self, now: Instant) -> bool {
        let lapsed: Vec<i64> =
            self.leases.iter().filter(|(_, l)| l.deadline <= now).map(|(&id, _)| id).collect();
        for id in &lapsed {
            if let Some(l) = self.leases.remove(id) {
                for key in l.keys {
                    self.delete(&key);
                }
            }
        }
        !lapsed.is_empty()
    }
}
