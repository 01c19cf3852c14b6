//! Asking another process of the site.

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

/// A connection to one process of the site.
#[derive(Clone, Debug)]
pub struct Peer {
    client: AdminClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl Peer {
    /// Connects to the process at `addr`; every call times out after
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when nothing answers at `addr` in time.
    pub async fn connect(addr: SocketAddr, timeout: Duration) -> anyhow::Result<Self> {
        let conn = tokio::time::timeout(timeout, tcp::connect(addr, Bincode::default))
            .await
            .with_context(|| format!("admin: connecting to {addr}: timeout"))?
            .with_context(|| format!("admin: connecting to {addr}"))?;
        let client = AdminClient::new(Config::default(), conn).spawn();
        Ok(Self { client, addr, timeout })
    }

    fn context(&self) -> Context {
        let mut ctx = context::current();
        ctx.deadline = Instant::now() + self.timeout;
        ctx
    }

    /// What the process is doing.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes in time, as do the other calls.
    pub async fn status(&self) -> anyhow::Result<Status> {
        let res = self.client.status(self.context()).await;
        res.with_context(|| format!("admin: status of {}", self.addr))
    }

    /// Whether the process takes new work.
    ///
    /// # Errors
    ///
    /// As [`Peer::status`].
    pub async fn ready(&self) -> anyhow::Result<bool> {
        let res = self.client.ready(self.context()).await;
        res.with_context(|| format!("admin: readiness of {}", self.addr))
    }

    /// The process's copy of the store's keys.
    ///
    /// # Errors
    ///
    /// As [`Peer::status`].
    pub async fn copy(&self) -> anyhow::Result<Arc<Snapshot>> {
        let res = self.client.copy(self.context()).await;
        res.with_context(|| format!("admin: copy of {}", self.addr))
    }

    /// Sets the process's injected faults.
    ///
    /// # Errors
    ///
    /// As [`Peer::status`].
    pub async fn disturb(&self, faults: Faults) -> anyhow::Result<()> {
        let res = self.client.disturb(self.context(), faults).await;
        res.with_context(|| format!("admin: faults of {}", self.addr))
    }
}

/// Asks one process for its status over a connection of its own.
///
/// # Errors
///
/// As [`Peer::connect`] and [`Peer::status`].
pub async fn ask(addr: SocketAddr, timeout: Duration) -> anyhow::Result<Status> {
    Peer::connect(addr, timeout).await?.status().await
}
