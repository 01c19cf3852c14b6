//! In-memory key-value service over HTTP, for tests and trials.
//!
//! Besides the etcd-like calls, `POST /fault` with a [`Faults`] body injects
//! failures and `GET /stats` returns the calls counted so far.

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

/// Largest request body: a value of 1 MiB in base64, and its JSON around it.
const MAX_BODY_BYTES: usize = 2 << 20;

/// How long a shutdown waits for calls in progress, such as waiting watches.
const SHUTDOWN_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(1);

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct ServerState {
    db: Arc<Mutex<Db>>,
    /// Wakes waiting watches after a change.
    pub notify: Arc<Notify>,
}

impl ServerState {
    /// Locks the database.
    pub fn lock(&self) -> MutexGuard<'_, Db> {
        self.db.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Applies the injected delay and outage; `Err` is the response of the outage.
pub(crate) async fn inject_faults(state: &ServerState) -> Result<(), HttpResponse> {
    let faults = state.lock().faults.clone();
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.outage {
        return Err(HttpResponse::ServiceUnavailable().body("store: outage"));
    }
    Ok(())
}

/// Whether to withhold the response of a write that took effect; counts down
/// [`Faults::lost_responses`].
pub(crate) fn loses_response(db: &mut Db) -> bool {
    if db.faults.lost_responses > 0 {
        db.faults.lost_responses -= 1;
        log::warn!(
            "{} response of a write dropped (injected fault)",
            events::STORE_RESPONSE_DROPPED
        );
        return true;
    }
    false
}

async fn fault(state: State<ServerState>, req: Json<Faults>) -> HttpResponse {
    log::warn!("{} injected faults set to {:?}", events::STORE_FAULTS_SET, req.0);
    let mut db = state.lock();
    if req.clear_history {
        db.history.clear();
    }
    if req.backup {
        db.back_up();
    }
    if req.restore && db.restore() {
        log::warn!("{} backup restored, era {}", events::STORE_FAULTS_SET, db.era);
        state.notify.notify_waiters();
    }
    db.faults = req.0;
    HttpResponse::Ok().finish()
}

async fn stats(state: State<ServerState>) -> HttpResponse {
    let db = state.lock();
    HttpResponse::Ok().json(&db.stats)
}

/// Serves at `addr` until SIGTERM or SIGINT. `extra_routes` adds
/// calls of another protocol.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(addr: SocketAddr, extra_routes: fn(&mut ServiceConfig)) -> anyhow::Result<()> {
    let shared = ServerState { db: Arc::default(), notify: Arc::new(Notify::new()) };
    let lease_state = shared.clone();
    let lease_task = tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            let any_expired = lease_state.lock().drop_expired_leases(Instant::now());
            if any_expired {
                log::info!(
                    "{} leases expired; their keys are removed",
                    events::STORE_LEASES_EXPIRED
                );
                lease_state.notify.notify_waiters();
            }
        }
    });
    log::info!("{} store listening on {addr}", events::STORE_START);
    let state = shared.clone();
    let server = HttpServer::new(async move || {
        App::new()
            .state(state.clone())
            .state(JsonConfig::default().limit(MAX_BODY_BYTES))
            .configure(calls::routes)
            .configure(extra_routes)
            .route("/fault", web::post().to(fault))
            .route("/stats", web::get().to(stats))
    })
    .workers(1)
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .bind(addr)
    .map_err(|e| anyhow::anyhow!("store: binding {addr}: {e}"))?
    .run();
    let res = server.await;
    lease_task.abort();
    let _ = lease_task.await;
    res.map_err(|e| anyhow::anyhow!("store: serving {addr}: {e}"))
}
