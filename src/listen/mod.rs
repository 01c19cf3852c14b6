//! A small HTTP server on the process's own thread, for readiness, the
//! reports of targets and metrics.
//!
//! `ntex`'s HTTP/1.1 service handles each connection; its server, which would
//! start worker threads, is not used: an idle thread costs memory, and every
//! handler would have to share its state across threads.

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use ntex::ServiceFactory;
use ntex::SharedCfg;
use ntex::http::{HttpService, Method, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Largest request body taken, in bytes; a target's report has a few hundred.
const BODY_LIMIT: usize = 64 << 10;

/// One request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query, empty for none.
    pub query: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// The answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its content type.
    pub kind: &'static str,
    /// Its body.
    pub body: String,
}

impl Answer {
    /// An answer without a body.
    #[must_use]
    pub const fn empty(status: StatusCode) -> Self {
        Self { status, kind: "text/plain", body: String::new() }
    }

    /// An answer with JSON.
    #[must_use]
    pub const fn json(body: String) -> Self {
        Self { status: StatusCode::OK, kind: "application/json", body }
    }
}

/// A running server; [`Server::stop`] joins it.
#[derive(Debug)]
pub struct Server {
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `handle` at `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn start<H>(addr: SocketAddr, handle: H) -> anyhow::Result<Self>
    where
        H: Fn(Asked) -> Answer + 'static,
    {
        let listener =
            TcpListener::bind(addr).await.with_context(|| format!("http: binding {addr}"))?;
        let task = tokio::task::spawn_local(accept(listener, Rc::new(handle)));
        Ok(Self { task })
    }

    /// Stops serving and joins the server.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept<H: Fn(Asked) -> Answer + 'static>(listener: TcpListener, handle: Rc<H>) {
    let mut open = JoinSet::new();
    loop {
        let stream = tokio::select! {
            r = listener.accept() => r,
            Some(_) = open.join_next() => continue,
        };
        match stream {
            Ok((stream, _)) => {
                open.spawn_local(connection(stream, handle.clone()));
            }
            Err(e) => {
                log::warn!(event = crate::events::HTTP_FAILED, error:% = e; "accepting failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Pause after a connection could not be taken (no descriptor left, say), so
/// that the loop does not spin.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

async fn connection<H: Fn(Asked) -> Answer + 'static>(stream: TcpStream, handle: Rc<H>) {
    if let Err(e) = serve(stream, handle).await {
        log::debug!(event = crate::events::HTTP_FAILED, error:% = format!("{e:#}"); "connection failed");
    }
}

async fn serve<H: Fn(Asked) -> Answer + 'static>(
    stream: TcpStream,
    handle: Rc<H>,
) -> anyhow::Result<()> {
    let cfg = SharedCfg::new("http").build();
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, cfg.clone())?;
    let service = HttpService::h1(move |req: Request| {
        let handle = handle.clone();
        async move { Ok::<_, std::io::Error>(answer(req, &*handle).await) }
    });
    let pipeline =
        service.pipeline(cfg).await.map_err(|_| anyhow::anyhow!("http: service failed"))?;
    pipeline.call(io).await.map_err(|e| anyhow::anyhow!("http: {e}"))
}

async fn answer<H: Fn(Asked) -> Answer>(mut req: Request, handle: &H) -> Response {
    let method = req.head().method.clone();
    let path = req.head().uri.path().to_string();
    let query = req.head().uri.query().unwrap_or_default().to_string();
    let mut body = Vec::new();
    let mut payload = req.take_payload();
    while let Some(chunk) = futures_util::StreamExt::next(&mut payload).await {
        match chunk {
            Ok(bytes) if body.len() + bytes.len() <= BODY_LIMIT => body.extend_from_slice(&bytes),
            _ => return Response::build(StatusCode::BAD_REQUEST).finish(),
        }
    }
    let a = handle(Asked { method, path, query, body });
    Response::build(a.status).content_type(a.kind).body(a.body)
}
