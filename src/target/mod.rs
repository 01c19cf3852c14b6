//! Target stand-in for tests and benchmarks: an HTTP server with the endpoints of one
//! [`Service`]. A service is what a target runs; a profile is the port and limits under
//! which callers reach a service.
//!
//! - `GET /feed` (services meter and calculadora): an endless stream of numbered lines.
//! - `POST /pay?id=` (meter) and `POST /check?id=` (validador): non-idempotent requests.
//! - `GET /quote?w=&id=` (calculadora): a rate that grows with the length of `w`.
//! - `POST /upload?id=` (fieldlog): stores nothing, and returns the size of the body.
//! - `GET /runs`: how often each request id was executed.
//! - `GET /load` and `GET /health`: load report and health check.
//! - `POST /fault`: replaces the injected [`Faults`].
//!
//! Requests above the limit on concurrent requests (`slots`) get 503 with `Retry-After`,
//! requests that would exceed their `X-Deadline-Ms` get 504, and paths of another
//! service get 421. Every response names the target in `X-Target`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::{Deserialize, Serialize};

use crate::events;
use crate::settings::{Service, Settings, TargetSettings};

/// Time between two lines of a feed.
pub const FEED_INTERVAL: Duration = Duration::from_millis(200);

/// Additional processing time of a request while the target warms up.
const WARM_UP_DELAY: Duration = Duration::from_millis(50);

/// Response to `GET /load`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in progress, without feeds.
    #[serde(rename = "busy")]
    pub in_progress: u32,
    /// Open feeds.
    pub feeds: u32,
    /// Requests executed so far, without feeds.
    pub served: u64,
}

/// Faults injected into a target stand-in with `POST /fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Additional processing time of each request, in milliseconds.
    #[serde(rename = "slow_ms")]
    pub delay_ms: u64,
    /// Answers the service's requests, except feeds, with 503 and `Retry-After`, and makes
    /// the target unhealthy.
    #[serde(rename = "shed")]
    pub shed_all: bool,
    /// `GET /health` reports the opposite of the actual health, and `GET /load` reports
    /// no load.
    #[serde(rename = "lie")]
    pub false_reports: bool,
}

/// Injected faults and counters of a target.
#[derive(Debug, Default)]
struct TargetState {
    faults: Faults,
    load: LoadReport,
    /// How often each request id was executed.
    executions: HashMap<String, u32>,
}

/// What all request handlers share.
#[derive(Clone)]
struct Server {
    settings: TargetSettings,
    started: Instant,
    state: Arc<Mutex<TargetState>>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn response(&self, status: StatusCode) -> ntex::web::HttpResponseBuilder {
        let mut b = HttpResponse::build(status);
        b.header("X-Target", &*self.settings.name)
            .header("X-Service", self.settings.service.to_string());
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

fn query_param(req: &HttpRequest, key: &str) -> Option<String> {
    req.uri().query()?.split('&').find_map(|kv| {
        let (k, v) = kv.split_once('=')?;
        (k == key).then(|| v.to_string())
    })
}

async fn handle_request(
    server: web::types::State<Server>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let path = req.path().to_string();
    if path == "/load" {
        let state = server.lock();
        let load =
            if state.faults.false_reports { LoadReport::default() } else { state.load.clone() };
        return server.response(StatusCode::OK).json(&load);
    }
    if path == "/health" {
        let faults = server.lock().faults.clone();
        // Healthy with neither fault, or with both: then a false report hides the shedding.
        let reports_healthy = faults.shed_all == faults.false_reports;
        let status = if reports_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return server.response(status).finish();
    }
    if path == "/fault" {
        let Ok(faults) = serde_json::from_slice(&body) else {
            return server.response(StatusCode::BAD_REQUEST).finish();
        };
        server.lock().faults = faults;
        return server.response(StatusCode::OK).finish();
    }
    if path == "/runs" {
        let executions = server.lock().executions.clone();
        return server.response(StatusCode::OK).json(&executions);
    }
    if !serves(server.settings.service, &path) {
        log::warn!(
            "{} target {} does not serve {path}; answering 421",
            events::TARGET_WRONG_SERVICE,
            server.settings.name
        );
        return server.response(StatusCode::MISDIRECTED_REQUEST).finish();
    }
    if path == "/feed" {
        return stream_feed(&server);
    }
    let injected_delay = {
        let mut state = server.lock();
        if state.faults.shed_all || state.load.in_progress >= server.settings.slots {
            return server
                .response(StatusCode::SERVICE_UNAVAILABLE)
                .header("Retry-After", "1")
                .finish();
        }
        state.load.in_progress += 1;
        Duration::from_millis(state.faults.delay_ms)
    };
    let is_warming_up =
        server.started.elapsed() < Duration::from_millis(server.settings.warm_up_ms);
    let service_time = Duration::from_millis(server.settings.service_time_ms);
    let processing_time =
        injected_delay + if is_warming_up { service_time + WARM_UP_DELAY } else { service_time };
    let deadline = req
        .headers()
        .get("X-Deadline-Ms")
        .and_then(|v| v.to_str().ok()?.parse::<u64>().ok())
        .map(Duration::from_millis);
    if deadline.is_some_and(|d| d < processing_time) {
        server.lock().load.in_progress -= 1;
        return server.response(StatusCode::GATEWAY_TIMEOUT).finish();
    }
    tokio::time::sleep(processing_time).await;
    let mut state = server.lock();
    state.load.in_progress -= 1;
    state.load.served += 1;
    let id = query_param(&req, "id").unwrap_or_default();
    *state.executions.entry(id.clone()).or_default() += 1;
    let text = match path.as_str() {
        "/pay" | "/check" => format!("{} ran {id} on {}\n", &path[1..], server.settings.name),
        "/quote" => {
            format!("rate {} EUR for {id}\n", 1 + query_param(&req, "w").map_or(0, |w| w.len()))
        }
        _ => format!("stored {} bytes of {id}\n", body.len()),
    };
    drop(state);
    server.response(StatusCode::OK).body(text)
}

fn stream_feed(server: &Server) -> HttpResponse {
    server.lock().load.feeds += 1;
    let name = server.settings.name.clone();
    let guard = FeedGuard(server.clone());
    let lines = stream::unfold((0u64, guard), move |(n, guard)| {
        let name = name.clone();
        async move {
            if n > 0 {
                tokio::time::sleep(FEED_INTERVAL).await;
            }
            let line = Bytes::from(format!("{name} {n}\n"));
            Some((Ok::<_, std::io::Error>(line), (n + 1, guard)))
        }
    });
    server.response(StatusCode::OK).streaming(Box::pin(lines))
}

/// Counts the feed as open until its stream is dropped.
struct FeedGuard(Server);

impl Drop for FeedGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.load.feeds = state.load.feeds.saturating_sub(1);
    }
}

/// Runs the stand-in of target `name` until SIGTERM or SIGINT; requests in progress are
/// completed first.
///
/// # Errors
///
/// Fails if the settings have no such target or its address cannot be bound.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let settings = settings.target(name)?.clone();
    let addr = settings.addr;
    log::info!("{} target {name} ({}) on {addr}", events::TARGET_START, settings.service);
    let server = Server { settings, started: Instant::now(), state: Arc::default() };
    HttpServer::new(async move || {
        App::new().state(server.clone()).default_service(web::to(handle_request))
    })
    .workers(1)
    .bind(addr)
    .map_err(|e| anyhow::anyhow!("target {name}: binding {addr}: {e}"))?
    .run()
    .await
    .map_err(|e| anyhow::anyhow!("target {name}: serving {addr}: {e}"))
}
