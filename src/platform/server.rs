//! The store stand-in answering the platform's calls, beside those of the
//! product's own interface and over the same keys.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use ntex::util::Bytes;
use ntex::web::types::{Json, Path, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use crate::store;
use crate::store::server::{Db, Entry, ServerState, inject_faults, loses_answer};

/// Most items of one page.
const PAGE: usize = 500;

/// Most entries of one transaction.
const ENTRIES: usize = 32;

/// Serves the stand-in at `addr` until the process ends.
///
/// # Errors
///
/// Fails when the address is taken.
pub async fn serve(addr: SocketAddr) -> anyhow::Result<()> {
    store::serve(addr, routes).await
}

/// Adds the platform's calls to the stand-in.
fn routes(cfg: &mut ServiceConfig) {
    cfg.route("/v1/kv-key", web::get().to(key))
        .route("/v1/kv-range", web::get().to(range))
        .route("/v1/kv-watch", web::get().to(watch))
        .route("/v1/kv-txn", web::post().to(txn))
        .route("/v1/kv-lease", web::post().to(lease))
        .route("/v1/kv-keep/{id}", web::post().to(keep));
}

#[derive(Debug, Serialize)]
struct Item {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    revision: i64,
    #[serde(skip_serializing_if = "Option::is_none")]
    created: Option<i64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<i64>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    tombstone: bool,
}

impl Item {
    fn of(key: &[u8], e: &Entry) -> Self {
        Self {
            key: String::from_utf8_lossy(key).into_owned(),
            value: Some(B64.encode(&e.value)),
            revision: e.mod_rev,
            created: Some(e.create_rev),
            lease: Some(e.lease),
            tombstone: false,
        }
    }
}

#[derive(Debug, Serialize)]
struct Page {
    items: Vec<Item>,
    truncated: bool,
    as_of: i64,
}

#[derive(Debug, Serialize)]
struct Events {
    events: Vec<Item>,
    as_of: i64,
}

#[derive(Debug, Serialize)]
struct Revision {
    revision: i64,
}

#[derive(Debug, Serialize)]
struct Changed {
    items: Vec<Item>,
}

#[derive(Debug, Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Debug, Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    prefix: String,
    after: i64,
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Condition {
    key: String,
    revision: i64,
}

#[derive(Debug, Deserialize)]
struct Write {
    key: String,
    value: String,
    #[serde(default)]
    lease: i64,
}

#[derive(Debug, Deserialize)]
struct Txn {
    #[serde(default)]
    expected_rev: Vec<Condition>,
    #[serde(default)]
    writes: Vec<Write>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Ttl {
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct Granted {
    lease: i64,
    ttl_ms: u64,
}

async fn key(st: State<ServerState>, q: Query<KeyQuery>) -> HttpResponse {
    if let Err(r) = inject_faults(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.reads += 1;
    match db.kvs.get(q.key.as_bytes()) {
        Some(e) => HttpResponse::Ok().json(&Item::of(q.key.as_bytes(), e)),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn range(st: State<ServerState>, q: Query<RangeQuery>) -> HttpResponse {
    if let Err(r) = inject_faults(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.reads += 1;
    let mut items: Vec<Item> = db
        .kvs
        .range(q.prefix.as_bytes().to_vec()..)
        .take_while(|(k, _)| k.starts_with(q.prefix.as_bytes()))
        .filter(|(k, _)| k.as_slice() > q.after.as_bytes())
        .take(PAGE + 1)
        .map(|(k, e)| Item::of(k, e))
        .collect();
    let truncated = items.len() > PAGE;
    items.truncate(PAGE);
    HttpResponse::Ok().json(&Page { items, truncated, as_of: db.rev })
}

/// The changes after `after`, or none when the history is forgotten.
fn changes(db: &Db, q: &WatchQuery) -> Option<Vec<Item>> {
    if db.is_compacted(q.after + 1) {
        return None;
    }
    let of = |(rev, ev): &(i64, crate::store::types::Event)| {
        let key = B64.decode(&ev.kv.key).ok()?;
        let tombstone = ev.kind == "DELETE";
        let shown = *rev > q.after && key.starts_with(q.prefix.as_bytes());
        shown.then(|| Item {
            key: String::from_utf8_lossy(&key).into_owned(),
            value: (!tombstone).then(|| ev.kv.value.clone()),
            revision: *rev,
            created: (!tombstone).then_some(ev.kv.create_revision),
            lease: (!tombstone).then_some(ev.kv.lease),
            tombstone,
        })
    };
    Some(db.history.iter().filter_map(of).collect())
}

async fn watch(st: State<ServerState>, q: Query<WatchQuery>) -> HttpResponse {
    if let Err(r) = inject_faults(&st).await {
        return r;
    }
    st.lock().stats.watches += 1;
    let deadline = Instant::now() + Duration::from_millis(q.wait_ms);
    loop {
        let notified = st.notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        {
            let db = st.lock();
            let Some(events) = changes(&db, &q) else { return HttpResponse::Gone().finish() };
            if !events.is_empty() || Instant::now() >= deadline {
                return HttpResponse::Ok().json(&Events { events, as_of: db.rev });
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left, notified).await;
    }
}

async fn txn(st: State<ServerState>, req: Json<Txn>) -> HttpResponse {
    if let Err(r) = inject_faults(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.writes += 1;
    if req.expected_rev.len() + req.writes.len() + req.remove.len() > ENTRIES {
        return HttpResponse::BadRequest().body("more than 32 entries");
    }
    if req.writes.iter().any(|w| !db.has_lease(w.lease)) {
        return HttpResponse::NotFound().finish();
    }
    let have = |c: &Condition| db.kvs.get(c.key.as_bytes()).map_or(0, |e| e.mod_rev);
    if req.expected_rev.iter().any(|c| have(c) != c.revision) {
        let current =
            |c: &Condition| db.kvs.get(c.key.as_bytes()).map(|e| Item::of(c.key.as_bytes(), e));
        let items = req.expected_rev.iter().filter_map(current).collect();
        return HttpResponse::PreconditionFailed().json(&Changed { items });
    }
    let mut writes = Vec::new();
    for w in &req.writes {
        let Ok(value) = B64.decode(&w.value) else {
            return HttpResponse::BadRequest().body("base64");
        };
        writes.push((w.key.clone().into_bytes(), value, w.lease));
    }
    for (key, value, lease) in writes {
        db.put(key, value, lease);
    }
    for key in &req.remove {
        db.delete(key.as_bytes());
    }
    st.notify.notify_waiters();
    if loses_answer(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&Revision { revision: db.rev })
}

async fn lease(st: State<ServerState>, req: Json<Ttl>) -> HttpResponse {
    if let Err(r) = inject_faults(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.writes += 1;
    let lease = db.grant(Duration::from_millis(req.ttl_ms));
    if loses_answer(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&Granted { lease, ttl_ms: req.ttl_ms })
}

// The body is read although it says nothing: a connection closed with bytes
// unread is reset, and the answer with it.
async fn keep(st: State<ServerState>, id: Path<i64>, _body: Bytes) -> HttpResponse {
    if let Err(r) = inject_faults(&st).await {
        return r;
    }
    let mut db = st.lock();
    db.stats.keepalives += 1;
    match db.renew(*id) {
        Some(ttl) => {
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
            HttpResponse::Ok().json(&Ttl { ttl_ms })
        }
        None => HttpResponse::NotFound().finish(),
    }
}
