//! The key-value service stand-in, served over HTTP with `ntex`.
//!
//! Besides the etcd-like calls it takes `POST /fault` with a [`Faults`] body
//! (outage, slowness, answers lost after the write took effect) and answers
//! `GET /stats` with the calls counted so far, a waiting watch as one.

mod calls;
mod db;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ntex::web::types::{Json, JsonConfig, State};
use ntex::web::{self, App, HttpResponse, HttpServer, ServiceConfig};
use tokio::sync::Notify;

pub(crate) use db::{Db, Entry};
pub use db::{Faults, Stats};

use crate::events;

/// Largest body of a call, in bytes: a value of 1 MiB in base64 and a frame.
const BODY: usize = 2 << 20;

/// How long a stop waits for calls in progress; a waiting watch is cut.
const STOP: ntex::time::Seconds = ntex::time::Seconds(1);

/// How often lapsed leases are looked for.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// The stand-in's state, shared by its handlers.
#[derive(Clone)]
pub(crate) struct ServerState {
    db: Arc<Mutex<Db>>,
    /// Tells waiting watches of changes.
    pub notify: Arc<Notify>,
}

impl ServerState {
    /// The state, for one call.
    pub fn lock(&self) -> MutexGuard<'_, Db> {
        self.db.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Applies the configured delay and outage; `Err` holds the failure answer.
pub(crate) async fn inject_faults(st: &ServerState) -> Result<(), HttpResponse> {
    let faults = st.lock().faults.clone();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.outage {
        return Err(HttpResponse::ServiceUnavailable().body("store: outage"));
    }
    Ok(())
}

/// After a write took effect: the answer is lost when a loss is pending.
pub(crate) fn loses_answer(db: &mut Db) -> bool {
    if db.faults.lost_answers > 0 {
        db.faults.lost_answers -= 1;
        log::warn!("{} answer of a write lost on purpose", events::STORE_LOST);
        return true;
    }
    false
}

async fn fault(st: State<ServerState>, req: Json<Faults>) -> HttpResponse {
    log::warn!("{} faults set to {:?}", events::STORE_FAULT, req.0);
    let mut db = st.lock();
    if req.clear_history {
        db.history.clear();
    }
    db.faults = req.0;
    HttpResponse::Ok().finish()
}

async fn stats(st: State<ServerState>) -> HttpResponse {
    let db = st.lock();
    HttpResponse::Ok().json(&db.stats)
}

/// Runs the stand-in at `addr`, answering `more` calls beside its own, until the
/// process is told to stop.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(addr: SocketAddr, more: fn(&mut ServiceConfig)) -> anyhow::Result<()> {
    let shared = ServerState { db: Arc::default(), notify: Arc::new(Notify::new()) };
    let ticker = shared.clone();
    let tick = tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(LEASE_TICK).await;
            let expired = ticker.lock().drop_lapsed_leases(Instant::now());
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
            .state(JsonConfig::default().limit(BODY))
            .configure(calls::routes)
            .configure(more)
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
