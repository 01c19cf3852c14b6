//! Client of the [`Admin`](super::Admin) service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;

use super::{AdminClient, Faults, Status};
use crate::store::Snapshot;
use crate::store::distribution::{DatedReply, Subscriber};

/// A connection to the admin server of one process.
#[derive(Clone, Debug)]
pub struct Connection {
    client: AdminClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl Connection {
    /// Connects to the process at `addr`. `timeout` applies to connecting and to
    /// each call.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or times out.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> anyhow::Result<Self> {
        let conn = tokio::time::timeout(timeout, tcp::connect(addr, Bincode::default))
            .await
            .with_context(|| format!("admin: connecting to {addr} timed out"))?
            .with_context(|| format!("admin: connecting to {addr}"))?;
        let client = AdminClient::new(Config::default(), conn).spawn();
        Ok(Self { client, addr, timeout })
    }

    fn context(&self) -> Context {
        let mut ctx = context::current();
        ctx.deadline = Instant::now() + self.timeout;
        ctx
    }

    /// Fetches the status and counters of the process.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost or the call times out.
    pub async fn fetch_status(&self) -> anyhow::Result<Status> {
        let res = self.client.status(self.context()).await;
        res.with_context(|| format!("admin: fetching the status of {}", self.addr))
    }

    /// Asks whether the process accepts new flows.
    ///
    /// # Errors
    ///
    /// As [`Connection::fetch_status`].
    pub async fn fetch_readiness(&self) -> anyhow::Result<bool> {
        let res = self.client.ready(self.context()).await;
        res.with_context(|| format!("admin: fetching the readiness of {}", self.addr))
    }

    /// Fetches the process's snapshot of the store's keys.
    ///
    /// # Errors
    ///
    /// As [`Connection::fetch_status`].
    pub async fn fetch_snapshot(&self) -> anyhow::Result<Arc<Snapshot>> {
        let res = self.client.snapshot(self.context()).await;
        res.with_context(|| format!("admin: fetching the snapshot of {}", self.addr))
    }

    /// Waits for changes of the store's keys under `prefix` after revision `after`, which
    /// the process reads as a distributor.
    ///
    /// # Errors
    ///
    /// As [`Connection::fetch_status`].
    pub async fn poll_changes(
        &self,
        subscriber: Subscriber,
        prefix: &str,
        after: i64,
    ) -> anyhow::Result<DatedReply> {
        let res = self.client.poll_changes(self.context(), subscriber, prefix.into(), after).await;
        res.with_context(|| format!("admin: polling the changes of {}", self.addr))
    }

    /// Replaces the injected faults of the process.
    ///
    /// # Errors
    ///
    /// As [`Connection::fetch_status`].
    pub async fn set_faults(&self, faults: Faults) -> anyhow::Result<()> {
        let res = self.client.set_faults(self.context(), faults).await;
        res.with_context(|| format!("admin: setting the faults of {}", self.addr))
    }
}

/// Fetches the status of the process at `addr` over a new connection.
///
/// # Errors
///
/// As [`Connection::connect`] and [`Connection::fetch_status`].
pub async fn fetch_status(addr: SocketAddr, timeout: Duration) -> anyhow::Result<Status> {
    Connection::connect(addr, timeout).await?.fetch_status().await
}
