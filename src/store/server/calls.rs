//! Handlers of the etcd-like calls.

use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use ntex::web::types::{Json, State};
use ntex::web::{self, HttpResponse, ServiceConfig};

use super::{Db, ServerState, inject_faults, loses_response};
use crate::store::types::{
    DeleteRequest, Event, HeaderResponse, KeepAliveResponse, Lease, PutRequest, RangeRequest,
    RangeResponse, TxnRequest, TxnResponse, WatchRequest, WatchResponse, WatchResult,
};

/// How long a watch waits for a change before it returns none.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Registers the handlers.
pub(super) fn routes(cfg: &mut ServiceConfig) {
    cfg.route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/put", web::post().to(put))
        .route("/v3/kv/txn", web::post().to(txn))
        .route("/v3/kv/deleterange", web::post().to(delete))
        .route("/v3/lease/grant", web::post().to(grant))
        .route("/v3/lease/keepalive", web::post().to(keepalive))
        .route("/v3/watch", web::post().to(watch));
}

fn decode(text: &str) -> Result<Vec<u8>, HttpResponse> {
    B64.decode(text).map_err(|e| HttpResponse::BadRequest().body(format!("base64: {e}")))
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() { key == start } else { key >= start && key < end }
}

async fn range(state: State<ServerState>, req: Json<RangeRequest>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let (start, end) = match (decode(&req.key), decode(&req.range_end)) {
        (Ok(s), Ok(e)) => (s, e),
        (Err(r), _) | (_, Err(r)) => return r,
    };
    let mut db = state.lock();
    db.stats.reads += 1;
    let kvs = if end.is_empty() {
        db.kvs.get(&start).map(|e| Db::to_key_value(&start, e)).into_iter().collect()
    } else {
        db.kvs.range(start..end).map(|(k, e)| Db::to_key_value(k, e)).collect()
    };
    HttpResponse::Ok().json(&RangeResponse { header: db.header(), kvs })
}

async fn put(state: State<ServerState>, req: Json<PutRequest>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let (key, value) = match (decode(&req.key), decode(&req.value)) {
        (Ok(k), Ok(v)) => (k, v),
        (Err(r), _) | (_, Err(r)) => return r,
    };
    let mut db = state.lock();
    db.stats.writes += 1;
    if !db.has_lease(req.lease) {
        return HttpResponse::NotFound().body("store: lease not found");
    }
    db.put(key, value, req.lease);
    state.notify.notify_waiters();
    if loses_response(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&HeaderResponse { header: db.header() })
}

async fn txn(state: State<ServerState>, req: Json<TxnRequest>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.writes += 1;
    let mut matches = true;
    for c in &req.compare {
        let Ok(key) = decode(&c.key) else {
            return HttpResponse::BadRequest().body("base64");
        };
        let current = db.kvs.get(&key).map_or(0, |e| e.mod_rev);
        matches &= current == c.mod_revision;
    }
    if matches {
        for op in &req.success {
            let (Ok(key), Ok(value)) = (decode(&op.request_put.key), decode(&op.request_put.value))
            else {
                return HttpResponse::BadRequest().body("base64");
            };
            db.put(key, value, op.request_put.lease);
        }
        state.notify.notify_waiters();
        if loses_response(&mut db) {
            return HttpResponse::GatewayTimeout().finish();
        }
    }
    HttpResponse::Ok().json(&TxnResponse { header: db.header(), succeeded: matches })
}

async fn delete(state: State<ServerState>, req: Json<DeleteRequest>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let Ok(key) = decode(&req.key) else {
        return HttpResponse::BadRequest().body("base64");
    };
    let mut db = state.lock();
    db.stats.writes += 1;
    if db.delete(&key) {
        state.notify.notify_waiters();
    }
    if loses_response(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&HeaderResponse { header: db.header() })
}

async fn grant(state: State<ServerState>, req: Json<Lease>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.writes += 1;
    let ttl = req.ttl.max(1);
    let id = db.grant(Duration::from_secs(ttl as u64));
    if loses_response(&mut db) {
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(&Lease { header: db.header(), id, ttl })
}

async fn keepalive(state: State<ServerState>, req: Json<Lease>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let mut db = state.lock();
    db.stats.keepalives += 1;
    let ttl = db.renew(req.id).map_or(0, |ttl| ttl.as_secs() as i64);
    let result = Lease { id: req.id, ttl, ..Lease::default() };
    HttpResponse::Ok().json(&KeepAliveResponse { header: db.header(), result })
}

async fn watch(state: State<ServerState>, req: Json<WatchRequest>) -> HttpResponse {
    if let Err(r) = inject_faults(&state).await {
        return r;
    }
    let c = &req.create_request;
    let (start, end) = match (decode(&c.key), decode(&c.range_end)) {
        (Ok(s), Ok(e)) => (s, e),
        (Err(r), _) | (_, Err(r)) => return r,
    };
    let era = {
        let mut db = state.lock();
        db.stats.watches += 1;
        db.era
    };
    let deadline = Instant::now() + WATCH_WAIT;
    loop {
        let notified = state.notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        {
            let db = state.lock();
            if db.era != era {
                return HttpResponse::ServiceUnavailable().body("store: restored");
            }
            if db.is_compacted(c.start_revision) {
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
