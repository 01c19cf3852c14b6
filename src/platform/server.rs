//! The in-memory store's handlers for the platform's calls. They share
//! the keys with its etcd-like calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use ntex::SharedCfg;
use ntex::http::header::HeaderValue;
use ntex::service::{Middleware, Service, ServiceCtx};
use ntex::util::Bytes;
use ntex::web::types::{Json, Path, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig, WebRequest, WebResponse};
use serde::{Deserialize, Serialize};

use super::kv::ERA_HEADER;
use crate::store;
use crate::store::server::{Db, Entry, ServerState, inject_faults, loses_response};

/// Most items in one page of a range.
const MAX_PAGE_ITEMS: usize = 500;

/// Most conditions, writes and removals in one transaction.
const MAX_TXN_ENTRIES: usize = 32;

/// Serves the in-memory store at `addr` until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(addr: SocketAddr) -> anyhow::Result<()> {
    store::serve(addr, routes).await
}

/// Registers the handlers.
fn routes(cfg: &mut ServiceConfig) {
    let calls = web::scope("/v1")
        .middleware(EraHeader)
        .route("/kv-key", web::get().to(get_key))
        .route("/kv-range", web::get().to(range))
        .route("/kv-watch", web::get().to(watch))
        .route("/kv-txn", web::post().to(txn))
        .route("/kv-lease", web::post().to(grant_lease))
        .route("/kv-keep/{id}", web::post().to(renew_lease));
    cfg.service(calls);
}

/// Adds the store's era to every response.
#[derive(Clone, Copy, Debug)]
struct EraHeader;

impl<S> Middleware<S, SharedCfg> for EraHeader {
    type Service = EraHeaderService<S>;

    fn create(&self, service: S, _: SharedCfg) -> Self::Service {
        EraHeaderService { service }
    }
}

#[derive(Debug)]
struct EraHeaderService<S> {
    service: S,
}

impl<S, E> Service<WebRequest<E>> for EraHeaderService<S>
where
    S: Service<WebRequest<E>, Response = WebResponse>,
{
    type Response = WebResponse;
    type Error = S::Error;

    ntex::forward_poll!(service);
    ntex::forward_ready!(service);
    ntex::forward_shutdown!(service);

    async fn call(
        &self,
        req: WebRequest<E>,
        ctx: ServiceCtx<'_, Self>,
    ) -> Result<WebResponse, S::Error> {
        let state = req.app_state::<ServerState>().cloned();
        let mut res = ctx.call(&self.service, req).await?;
        if let Some(state) = state {
            let era = HeaderValue::from(state.lock().era);
            res.headers_mut().insert(ERA_HEADER, era);
        }
        Ok(res)
    }
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
    fn from_entry(key: &[u8], e: &Entry) -> Self {
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
struct TxnResult {
    revision: i64,
}

#[derive(Debug, Serialize)]
struct Conflict {
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
struct TxnRequest {
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
struct LeaseGrant {
    lease: i64,
    ttl_ms: u64,
}

async fn get_key(state: State<ServerState>, q: Query<KeyQuery>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.reads += 1;
    match db.kvs.get(q.key.as_bytes()) {
        Some(e) => HttpResponse::Ok().json(&Item::from_entry(q.key.as_bytes(), e)),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn range(state: State<ServerState>, q: Query<RangeQuery>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.reads += 1;
    let mut items: Vec<Item> = db
        .kvs
        .range(q.prefix.as_bytes().to_vec()..)
        .take_while(|(k, _)| k.starts_with(q.prefix.as_bytes()))
        .filter(|(k, _)| k.as_slice() > q.after.as_bytes())
        .take(MAX_PAGE_ITEMS + 1)
        .map(|(k, e)| Item::from_entry(k, e))
        .collect();
    let truncated = items.len() > MAX_PAGE_ITEMS;
    items.truncate(MAX_PAGE_ITEMS);
    HttpResponse::Ok().json(&Page { items, truncated, as_of: db.rev })
}

/// The changes that a watch requests; `None` if the history lacks some.
fn changes(db: &Db, q: &WatchQuery) -> Option<Vec<Item>> {
    if db.is_compacted(q.after + 1) {
        return None;
    }
    let to_item = |(rev, ev): &(i64, crate::store::types::Event)| {
        let key = B64.decode(&ev.kv.key).ok()?;
        let tombstone = ev.kind == "DELETE";
        let is_requested = *rev > q.after && key.starts_with(q.prefix.as_bytes());
        is_requested.then(|| Item {
            key: String::from_utf8_lossy(&key).into_owned(),
            value: (!tombstone).then(|| ev.kv.value.clone()),
            revision: *rev,
            created: (!tombstone).then_some(ev.kv.create_revision),
            lease: (!tombstone).then_some(ev.kv.lease),
            tombstone,
        })
    };
    Some(db.history.iter().filter_map(to_item).collect())
}

async fn watch(state: State<ServerState>, q: Query<WatchQuery>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let era = {
        let mut db = state.lock();
        db.stats.watches += 1;
        db.era
    };
    let deadline = Instant::now() + Duration::from_millis(q.wait_ms);
    loop {
        let notified = state.notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        {
            let db = state.lock();
            if db.era != era {
                return HttpResponse::ServiceUnavailable().body("store: restored");
            }
            let Some(events) = changes(&db, &q) else { return HttpResponse::Gone().finish() };
            if !events.is_empty() || Instant::now() >= deadline {
                return HttpResponse::Ok().json(&Events { events, as_of: db.rev });
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left, notified).await;
    }
}

async fn txn(state: State<ServerState>, req: Json<TxnRequest>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.writes += 1;
    if req.expected_rev.len() + req.writes.len() + req.remove.len() > MAX_TXN_ENTRIES {
        return HttpResponse::BadRequest().body("more than 32 entries");
    }
    if req.writes.iter().any(|w| !db.has_lease(w.lease)) {
        return HttpResponse::NotFound().finish();
    }
    let current_rev = |c: &Condition| db.kvs.get(c.key.as_bytes()).map_or(0, |e| e.mod_rev);
    if req.expected_rev.iter().any(|c| current_rev(c) != c.revision) {
        let current = |c: &Condition| {
            db.kvs.get(c.key.as_bytes()).map(|e| Item::from_entry(c.key.as_bytes(), e))
        };
        let items = req.expected_rev.iter().filter_map(current).collect();
        return HttpResponse::PreconditionFailed().json(&Conflict { items });
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
    state.notify.notify_waiters();
    if loses_response(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&TxnResult { revision: db.rev })
}

async fn grant_lease(state: State<ServerState>, req: Json<Ttl>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.writes += 1;
    let lease = db.grant(Duration::from_millis(req.ttl_ms));
    if loses_response(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&LeaseGrant { lease, ttl_ms: req.ttl_ms })
}

// The body is read although it is unused: a connection closed with unread bytes
// is reset, which can discard the response.
async fn renew_lease(state: State<ServerState>, id: Path<i64>, _body: Bytes) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.keepalives += 1;
    match db.renew(*id) {
        Some(ttl) => {
            let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
            HttpResponse::Ok().json(&Ttl { ttl_ms })
        }
        None => HttpResponse::NotFound().finish(),
    }
}
