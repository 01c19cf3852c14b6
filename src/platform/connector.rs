//! TCP connections of the HTTP client to the key-value service, with limits on
//! connecting and on the time until a broken connection is detected.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::{Client, Connector};
use ntex::connect::{Connect, ConnectError};
use ntex::http::Uri;
use ntex::io::Io;
use ntex::{ServiceFactory, SharedCfg, fn_service};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time limit on connecting. The client opens one connection at a time, so one
/// that hangs delays all calls.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time before the first keepalive probe, and interval between probes. A
/// watch is idle while it waits for changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed: a broken one is
/// detected within 3 s.
const KEEPALIVE_PROBES: u32 = 2;

/// Time limit on the acknowledgement of sent bytes (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Builds an HTTP client that connects only to `addr`.
///
/// # Errors
///
/// Fails when the client cannot be built.
pub async fn build_client(addr: SocketAddr) -> anyhow::Result<Client> {
    let connect_service = fn_service::<_, _, _, _, SharedCfg>(move |_: Connect<Uri>| async move {
        connect(addr).await.map_err(ConnectError::Io)
    });
    let connector =
        Connector::new().connector(connect_service.map_init_err(|()| io::Error::other("never")));
    let built = Client::builder().connector::<()>(connector).build(SharedCfg::default()).await;
    built.map_err(|e| anyhow::anyhow!("building the HTTP client of store {addr}: {e}"))
}

async fn connect(addr: SocketAddr) -> io::Result<Io> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let sock = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    sock.set_tcp_keepalive(&keepalive)?;
    sock.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    stream.set_nodelay(true)?;
    ntex::rt::from_tcp_stream(stream.into_std()?, SharedCfg::default())
}
