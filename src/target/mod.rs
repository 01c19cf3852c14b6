//! The target stand-in: serves meter, fieldlog, calculadora or validador over
//! HTTP with `ntex`.
//!
//! - `GET /feed` (meter, calculadora): a live feed, one line every
//!   [`FEED_EVERY`], until the caller leaves.
//! - `POST /pay?id=` (meter) and `POST /check?id=` (validador): runs that are
//!   not idempotent.
//! - `GET /quote?w=&id=` (calculadora) and `POST /upload?id=` (fieldlog).
//! - `GET /runs`: how often each id ran.
//! - `GET /load` and `GET /health`: what it says of itself, which may be a lie.
//! - `POST /fault`: sets its [`Faults`].
//!
//! It sheds load above its slots (503 with `Retry-After`), answers slowly for
//! its cold start, honours an `X-Deadline-Ms` header, and refuses with 421 a
//! request meant for another service. Every answer names the target in
//! `X-Target`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_util::stream;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types::State};
use serde::{Deserialize, Serialize};

use crate::events;
use crate::settings::{Service, Settings, TargetSettings};

/// Time between two lines of a feed.
pub const FEED_EVERY: Duration = Duration::from_millis(200);

/// Extra time one request takes during the cold start.
const COLD_EXTRA: Duration = Duration::from_millis(50);

/// What `GET /load` answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress, feeds excluded.
    pub busy: u32,
    /// Open feeds.
    pub feeds: u32,
    /// Requests answered so far, feeds excluded.
    pub served: u64,
}

/// Faults that a target stand-in can be told to show, with `POST /fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each request takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Every request is shed.
    pub shed: bool,
    /// `GET /health` says the opposite of the truth, and `GET /load` reports
    /// nothing in progress.
    pub lie: bool,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    load: Load,
    runs: HashMap<String, u32>,
}

#[derive(Clone)]
struct Shared {
    me: TargetSettings,
    started: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn answer(&self, status: ntex::http::StatusCode) -> ntex::web::HttpResponseBuilder {
        let mut b = HttpResponse::build(status);
        b.header("X-Target", &*self.me.name).header("X-Service", self.me.service.to_string());
        b
    }
}

fn serves(service: Service, path: &str) -> bool {
    matches!(
        (service, path),
        (Service::Meter, "/feed" | "/pay")
            | (Service::Fieldlog, "/upload")
            | (Service::Calculadora, "/feed" | "/quote")
            | (Service::Validador, "/check")
    )
}

fn query(req: &HttpRequest, key: &str) -> Option<String> {
    req.uri().query()?.split('&').find_map(|kv| {
        let (k, v) = kv.split_once('=')?;
        (k == key).then(|| v.to_string())
    })
}

async fn handle(st: State<Shared>, req: HttpRequest, body: Bytes) -> HttpResponse {
    use ntex::http::StatusCode as S;
    let path = req.path().to_string();
    if path == "/load" {
        let inner = st.lock();
        let load = if inner.faults.lie { Load::default() } else { inner.load.clone() };
        return st.answer(S::OK).json(&load);
    }
    if path == "/health" {
        let faults = st.lock().faults.clone();
        let well = faults.shed == faults.lie;
        return st.answer(if well { S::OK } else { S::SERVICE_UNAVAILABLE }).finish();
    }
    if path == "/fault" {
        let Ok(faults) = serde_json::from_slice(&body) else {
            return st.answer(S::BAD_REQUEST).finish();
        };
        st.lock().faults = faults;
        return st.answer(S::OK).finish();
    }
    if path == "/runs" {
        let runs = st.lock().runs.clone();
        return st.answer(S::OK).json(&runs);
    }
    if !serves(st.me.service, &path) {
        log::warn!("{} {} got {path}", events::TARGET_WRONG_SERVICE, st.me.name);
        return st.answer(S::MISDIRECTED_REQUEST).finish();
    }
    if path == "/feed" {
        return feed(&st);
    }
    let slow = {
        let mut inner = st.lock();
        if inner.faults.shed || inner.load.busy >= st.me.slots {
            return st.answer(S::SERVICE_UNAVAILABLE).header("Retry-After", "1").finish();
        }
        inner.load.busy += 1;
        Duration::from_millis(inner.faults.slow_ms)
    };
    let cold = st.started.elapsed() < Duration::from_millis(st.me.warm_up_ms);
    let warm = Duration::from_millis(st.me.service_time_ms);
    let work = slow + if cold { warm + COLD_EXTRA } else { warm };
    let deadline = req
        .headers()
        .get("X-Deadline-Ms")
        .and_then(|v| v.to_str().ok()?.parse::<u64>().ok())
        .map(Duration::from_millis);
    if deadline.is_some_and(|d| d < work) {
        st.lock().load.busy -= 1;
        return st.answer(S::GATEWAY_TIMEOUT).finish();
    }
    tokio::time::sleep(work).await;
    let mut inner = st.lock();
    inner.load.busy -= 1;
    inner.load.served += 1;
    let id = query(&req, "id").unwrap_or_default();
    *inner.runs.entry(id.clone()).or_default() += 1;
    let text = match path.as_str() {
        "/pay" | "/check" => format!("{} ran {id} on {}\n", &path[1..], st.me.name),
        "/quote" => format!("rate {} EUR for {id}\n", 1 + query(&req, "w").map_or(0, |w| w.len())),
        _ => format!("stored {} bytes of {id}\n", body.len()),
    };
    drop(inner);
    st.answer(S::OK).body(text)
}

fn feed(st: &Shared) -> HttpResponse {
    st.lock().load.feeds += 1;
    let name = st.me.name.clone();
    let guard = FeedGuard(st.clone());
    let lines = stream::unfold((0u64, guard), move |(n, guard)| {
        let name = name.clone();
        async move {
            if n > 0 {
                tokio::time::sleep(FEED_EVERY).await;
            }
            let line = Bytes::from(format!("{name} {n}\n"));
            Some((Ok::<_, std::io::Error>(line), (n + 1, guard)))
        }
    });
    st.answer(ntex::http::StatusCode::OK).streaming(Box::pin(lines))
}

/// Counts a feed as open while its stream lives.
struct FeedGuard(Shared);

impl Drop for FeedGuard {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.load.feeds = inner.load.feeds.saturating_sub(1);
    }
}

/// Runs the target `name` until the process is told to stop; a stop waits
/// for requests in progress.
///
/// # Errors
///
/// Fails when the target is not in the settings or its address is taken.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let me = settings.target(name)?.clone();
    let addr = me.addr;
    log::info!("{} target {name} ({}) on {addr}", events::TARGET_START, me.service);
    let st = Shared { me, started: Instant::now(), inner: Arc::default() };
    HttpServer::new(async move || App::new().state(st.clone()).default_service(web::to(handle)))
        .workers(1)
        .bind(addr)
        .map_err(|e| anyhow::anyhow!("target {name}: binding {addr}: {e}"))?
        .run()
        .await
        .map_err(|e| anyhow::anyhow!("target {name}: serving {addr}: {e}"))
}
