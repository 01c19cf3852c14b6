//! The HTTP client's connections to the key-value service: opened within a
//! time limit, and found out when they go silent.

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

/// How long opening a connection may take. The service is a millisecond away;
/// the client opens one connection at a time, so one that hangs holds up all.
const OPEN: Duration = Duration::from_millis(600);

/// Pause before, and between, the probes of a quiet connection. A waiting
/// watch is quiet; a lost path is found after this and [`PROBES`] more.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up: a dead one
/// is found within 3 s.
const PROBES: u32 = 2;

/// How long bytes sent may go unacknowledged.
const UNACKED: Duration = Duration::from_millis(2_000);

/// A client all of whose connections go to `addr`.
///
/// # Errors
///
/// Fails when the client cannot be built.
pub async fn build_client(addr: SocketAddr) -> anyhow::Result<Client> {
    let connect = fn_service::<_, _, _, _, SharedCfg>(move |_: Connect<Uri>| async move {
        open(addr).await.map_err(ConnectError::Io)
    });
    let connector =
        Connector::new().connector(connect.map_init_err(|()| io::Error::other("never")));
    let built = Client::builder().connector::<()>(connector).build(SharedCfg::default()).await;
    built.map_err(|e| anyhow::anyhow!("client of store {addr}: {e}"))
}

async fn open(addr: SocketAddr) -> io::Result<Io> {
    let stream = tokio::time::timeout(OPEN, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let sock = SockRef::from(&stream);
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    sock.set_tcp_keepalive(&probes)?;
    sock.set_tcp_user_timeout(Some(UNACKED))?;
    stream.set_nodelay(true)?;
    ntex::rt::from_tcp_stream(stream.into_std()?, SharedCfg::default())
}
