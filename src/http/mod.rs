//! A single-threaded HTTP/1.1 server for readiness probes, reports of targets
//! and metrics.
//!
//! `ntex`'s HTTP service handles each connection. Its server is not used: it
//! starts worker threads, and handlers would need state that is `Send`.

use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Context;
use ntex::ServiceFactory;
use ntex::SharedCfg;
use ntex::http::{HttpService, Method, Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Largest accepted request body; a larger one is answered with 400.
const MAX_BODY_BYTES: usize = 64 << 10;

/// A request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The request method.
    pub method: Method,
    /// The path of the URI.
    pub path: String,
    /// The query string, empty if there is none.
    pub query: String,
    /// The body, at most 64 KiB.
    pub body: Vec<u8>,
}

/// The response to one request.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// The body, sent whole.
    pub body: String,
}

impl HttpResponse {
    /// A response without a body.
    #[must_use]
    pub const fn empty(status: StatusCode) -> Self {
        Self { status, content_type: "text/plain", body: String::new() }
    }

    /// A response of status 200 with a JSON body.
    #[must_use]
    pub const fn json(body: String) -> Self {
        Self { status: StatusCode::OK, content_type: "application/json", body }
    }
}

/// A running HTTP server. Dropping it leaves the server running; call
/// [`Server::stop`].
#[derive(Debug)]
pub struct Server {
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and answers each request with `handle`, on the current
    /// local task set.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start<H>(addr: SocketAddr, handle: H) -> anyhow::Result<Self>
    where
        H: Fn(HttpRequest) -> HttpResponse + 'static,
    {
        let listener =
            TcpListener::bind(addr).await.with_context(|| format!("http: binding {addr}"))?;
        let task = tokio::task::spawn_local(accept_connections(listener, Rc::new(handle)));
        Ok(Self { task })
    }

    /// Stops the server, closes its connections and waits for its task to end.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept_connections<H: Fn(HttpRequest) -> HttpResponse + 'static>(
    listener: TcpListener,
    handle: Rc<H>,
) {
    // Built once: the HTTP library never frees a configuration.
    let cfg = SharedCfg::new("http").build();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            r = listener.accept() => r,
            Some(_) = connections.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn_local(serve_connection(stream, cfg.clone(), handle.clone()));
            }
            Err(e) => {
                log::warn!(event = crate::events::HTTP_FAILED, error:% = e; "accepting a connection failed; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Pause after a failed `accept`, for example for want of file descriptors, so
/// that the loop does not spin.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

async fn serve_connection<H: Fn(HttpRequest) -> HttpResponse + 'static>(
    stream: TcpStream,
    cfg: SharedCfg,
    handle: Rc<H>,
) {
    if let Err(e) = serve_stream(stream, cfg, handle).await {
        log::debug!(event = crate::events::HTTP_FAILED, error:% = format!("{e:#}"); "serving a connection failed; connection closed");
    }
}

async fn serve_stream<H: Fn(HttpRequest) -> HttpResponse + 'static>(
    stream: TcpStream,
    cfg: SharedCfg,
    handle: Rc<H>,
) -> anyhow::Result<()> {
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, cfg.clone())?;
    let service = HttpService::h1(move |req: Request| {
        let handle = handle.clone();
        async move { Ok::<_, std::io::Error>(handle_request(req, &*handle).await) }
    });
    let pipeline = service
        .pipeline(cfg)
        .await
        .map_err(|_| anyhow::anyhow!("http: creating the service failed"))?;
    pipeline.call(io).await.map_err(|e| anyhow::anyhow!("http: serving a connection: {e}"))
}

async fn handle_request<H: Fn(HttpRequest) -> HttpResponse>(
    mut req: Request,
    handle: &H,
) -> Response {
    let method = req.head().method.clone();
    let path = req.head().uri.path().to_string();
    let query = req.head().uri.query().unwrap_or_default().to_string();
    let mut body = Vec::new();
    let mut payload = req.take_payload();
    while let Some(chunk) = futures_util::StreamExt::next(&mut payload).await {
        match chunk {
            Ok(bytes) if body.len() + bytes.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&bytes)
            }
            _ => return Response::build(StatusCode::BAD_REQUEST).finish(),
        }
    }
    let response = handle(HttpRequest { method, path, query, body });
    Response::build(response.status).content_type(response.content_type).body(response.body)
}
