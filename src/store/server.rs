//! The key-value service stand-in, served over HTTP with `ntex`.
//!
//! Besides the etcd-like calls it takes `POST /fault` with a [`Faults`] body
//! (outage, slowness, answers lost after the write took effect) and answers
//! `GET /stats` with the calls counted so far, a waiting watch as one.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use ntex::web::{self, App, HttpResponse, HttpServer, types::Json, types::State};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::types::{
    DeleteRequest, Event, Header, HeaderResponse, KeepAliveResponse, KeyValue, Lease, PutRequest,
    RangeRequest, RangeResponse, TxnRequest, TxnResponse, WatchRequest, WatchResponse, WatchResult,
};
use crate::events;

/// Changes kept for watches that start in the past.
const HISTORY: usize = 50_000;

/// Longest time a watch waits for a change before it answers empty.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long a stop waits for calls in progress; a waiting watch is cut.
const STOP: ntex::time::Seconds = ntex::time::Seconds(1);

/// How often lapsed leases are looked for.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// Failures the stand-in can be told to show.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with 503 while set.
    pub outage: bool,
    /// Every call is answered this many milliseconds late.
    pub delay_ms: u64,
    /// The next this many writes take effect but their answer is lost (504).
    pub lose: u32,
    /// Keepalives are refused, so leases lapse while their holders run on.
    pub lapse: bool,
    /// The history kept for watches is forgotten at once.
    pub forget: bool,
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
    pub create: i64,
    /// Revision of its last change.
    pub modr: i64,
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

/// The stand-in's state, shared by its handlers.
#[derive(Clone)]
pub(crate) struct Shared {
    db: Arc<Mutex<Db>>,
    /// Tells waiting watches of changes.
    pub notify: Arc<Notify>,
}

impl Shared {
    /// The state, for one call.
    pub fn lock(&self) -> MutexGuard<'_, Db> {
        self.db.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Db {
    fn header(&self) -> Header {
        Header { revision: self.rev }
    }

    fn kv(key: &[u8], e: &Entry) -> KeyValue {
        KeyValue {
            key: B64.encode(key),
            value: B64.encode(&e.value),
            create_revision: e.create,
            mod_revision: e.modr,
            lease: e.lease,
        }
    }

    /// Writes a key.
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.rev += 1;
        let create = self.kvs.get(&key).map_or(self.rev, |e| e.create);
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
        let e = Entry { value, create, modr: self.rev, lease };
        let ev = Event { kind: "PUT".into(), kv: Self::kv(&key, &e) };
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
    pub fn holds(&self, lease: i64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Renews a lease; its time to live, or none when it has ended.
    pub fn renew(&mut self, lease: i64) -> Option<Duration> {
        if self.faults.lapse {
            return None;
        }
        let l = self.leases.get_mut(&lease)?;
        l.deadline = Instant::now() + l.ttl;
        Some(l.ttl)
    }

    /// Whether changes since revision `start` are no longer all known.
    pub fn forgotten(&self, start: i64) -> bool {
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

    fn expire(&mut self, now: Instant) -> bool {
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

fn decode(text: &str) -> Result<Vec<u8>, HttpResponse> {
    B64.decode(text).map_err(|e| HttpResponse::BadRequest().body(format!("base64: {e}")))
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() { key == start } else { key >= start && key < end }
}

/// Applies the configured delay and outage; `Err` holds the failure answer.
pub(crate) async fn gate(st: &Shared) -> Result<(), HttpResponse> {
    let faults = st.lock().faults.clone();
    if faults.delay_ms > 0 {
        ntex::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.outage {
        return Err(HttpResponse::ServiceUnavailable().body("store: outage"));
    }
    Ok(())
}

/// After a write took effect: the answer is lost when a loss is pending.
pub(crate) fn lost(db: &mut Db) -> bool {
    if db.faults.lose > 0 {
        db.faults.lose -= 1;
        log::warn!("{} answer of a write lost on purpose", events::STORE_LOST);
        return true;
    }
    false
}

async fn range(st: State<Shared>, req: Json<RangeRequest>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let (start, end) = match (decode(&req.key), decode(&req.range_end)) {
        (Ok(s), Ok(e)) => (s, e),
        (Err(r), _) | (_, Err(r)) => return r,
    };
    let mut db = st.lock();
    db.stats.reads += 1;
    let kvs = if end.is_empty() {
        db.kvs.get(&start).map(|e| Db::kv(&start, e)).into_iter().collect()
    } else {
        db.kvs.range(start..end).map(|(k, e)| Db::kv(k, e)).collect()
    };
    HttpResponse::Ok().json(&RangeResponse { header: db.header(), kvs })
}

async fn put(st: State<Shared>, req: Json<PutRequest>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let (key, value) = match (decode(&req.key), decode(&req.value)) {
        (Ok(k), Ok(v)) => (k, v),
        (Err(r), _) | (_, Err(r)) => return r,
    };
    let mut db = st.lock();
    db.stats.writes += 1;
    if !db.holds(req.lease) {
        return HttpResponse::NotFound().body("store: lease not found");
    }
    db.put(key, value, req.lease);
    st.notify.notify_waiters();
    if lost(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&HeaderResponse { header: db.header() })
}

async fn txn(st: State<Shared>, req: Json<TxnRequest>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.writes += 1;
    let mut ok = true;
    for c in &req.compare {
        let Ok(key) = decode(&c.key) else {
            return HttpResponse::BadRequest().body("base64");
        };
        let have = db.kvs.get(&key).map_or(0, |e| e.modr);
        ok &= have == c.mod_revision;
    }
    if ok {
        for op in &req.success {
            let (Ok(key), Ok(value)) = (decode(&op.request_put.key), decode(&op.request_put.value))
            else {
                return HttpResponse::BadRequest().body("base64");
            };
            db.put(key, value, op.request_put.lease);
        }
        st.notify.notify_waiters();
        if lost(&mut db) {
            return HttpResponse::GatewayTimeout().finish();
        }
    }
    HttpResponse::Ok().json(&TxnResponse { header: db.header(), succeeded: ok })
}

async fn delete(st: State<Shared>, req: Json<DeleteRequest>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let Ok(key) = decode(&req.key) else {
        return HttpResponse::BadRequest().body("base64");
    };
    let mut db = st.lock();
    db.stats.writes += 1;
    if db.delete(&key) {
        st.notify.notify_waiters();
    }
    if lost(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&HeaderResponse { header: db.header() })
}

async fn grant(st: State<Shared>, req: Json<Lease>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.writes += 1;
    let ttl = req.ttl.max(1);
    let id = db.grant(Duration::from_secs(ttl as u64));
    if lost(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&Lease { id, ttl })
}

async fn keepalive(st: State<Shared>, req: Json<Lease>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.keepalives += 1;
    let ttl = db.renew(req.id).map_or(0, |ttl| ttl.as_secs() as i64);
    HttpResponse::Ok().json(&KeepAliveResponse { result: Lease { id: req.id, ttl } })
}

async fn watch(st: State<Shared>, req: Json<WatchRequest>) -> HttpResponse {
    if let Err(r) = gate(&st).await {
        return r;
    }
    let c = &req.create_request;
    let (start, end) = match (decode(&c.key), decode(&c.range_end)) {
        (Ok(s), Ok(e)) => (s, e),
        (Err(r), _) | (_, Err(r)) => return r,
    };
    st.lock().stats.watches += 1;
    let deadline = Instant::now() + WATCH_WAIT;
    loop {
        let notified = st.notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        {
            let db = st.lock();
            if db.forgotten(c.start_revision) {
                let oldest = db.history.first().map_or(db.rev + 1, |(r, _)| *r);
                let result = WatchResult {
                    header: db.header(),
                    compact_revision: oldest - 1,
                    events: vec![],
                };
                return HttpResponse::Ok().json(&WatchResponse { result });
            }
            let events: Vec<Event> = db
                .history
                .iter()
                .filter(|(r, _)| *r >= c.start_revision)
                .filter(|(_, ev)| B64.decode(&ev.kv.key).is_ok_and(|k| in_range(&k, &start, &end)))
                .map(|(_, ev)| ev.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let result = WatchResult { header: db.header(), compact_revision: 0, events };
                return HttpResponse::Ok().json(&WatchResponse { result });
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left, notified).await;
    }
}

async fn fault(st: State<Shared>, req: Json<Faults>) -> HttpResponse {
    log::warn!("{} faults set to {:?}", events::STORE_FAULT, req.0);
    let mut db = st.lock();
    if req.forget {
        db.history.clear();
    }
    db.faults = req.0;
    HttpResponse::Ok().finish()
}

async fn stats(st: State<Shared>) -> HttpResponse {
    let db = st.lock();
    HttpResponse::Ok().json(&db.stats)
}

/// Runs the stand-in at `addr` until the process is told to stop.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(addr: SocketAddr) -> anyhow::Result<()> {
    let shared = Shared { db: Arc::default(), notify: Arc::new(Notify::new()) };
    let ticker = shared.clone();
    let tick = tokio::task::spawn_local(async move {
        loop {
            ntex::time::sleep(LEASE_TICK).await;
            let expired = ticker.lock().expire(Instant::now());
            if expired {
                log::info!("{} leases lapsed", events::STORE_LAPSED);
                ticker.notify.notify_waiters();
            }
        }
    });
    log::info!("{} store listening on {addr}", events::STORE_START);
    let st = shared.clone();
    let server = HttpServer::new(async move || {
        App::new()
            .state(st.clone())
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/put", web::post().to(put))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/kv/deleterange", web::post().to(delete))
            .route("/v3/lease/grant", web::post().to(grant))
            .route("/v3/lease/keepalive", web::post().to(keepalive))
            .route("/v3/watch", web::post().to(watch))
            .configure(crate::platform::server::routes)
            .route("/fault", web::post().to(fault))
            .route("/stats", web::get().to(stats))
    })
    .workers(1)
    .shutdown_timeout(STOP)
    .bind(addr)
    .map_err(|e| anyhow::anyhow!("store: binding {addr}: {e}"))?
    .run();
    let res = server.await;
    tick.abort();
    let _ = tick.await;
    res.map_err(|e| anyhow::anyhow!("store: serving {addr}: {e}"))
}
