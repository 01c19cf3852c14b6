//! Serving [`Admin`] over TCP.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context as _;
use futures_util::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

use super::{Admin, Board, Faults, Status};
use crate::store::Snapshot;

/// Calls of one connection answered at the same time.
const CALLS: usize = 8;

/// A running server; [`Server::stop`] joins it.
#[derive(Debug)]
pub struct Server {
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Serves `board` at `addr`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, board: Board) -> anyhow::Result<Self> {
        let mut listener = tcp::listen(addr, Bincode::default)
            .await
            .with_context(|| format!("admin: binding {addr}"))?;
        let task = tokio::task::spawn_local(async move {
            // Connections end with the set, which ends with this task.
            let mut open = tokio::task::JoinSet::new();
            while let Some(conn) = listener.next().await {
                let Ok(conn) = conn else { continue };
                while open.try_join_next().is_some() {}
                let calls = BaseChannel::with_defaults(conn).execute(Desk(board.clone()).serve());
                open.spawn_local(calls.for_each_concurrent(CALLS, |call| call));
            }
        });
        Ok(Self { task })
    }

    /// Stops the server and joins its task.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

#[derive(Clone)]
struct Desk(Board);

impl Admin for Desk {
    async fn status(self, _: Context) -> Status {
        self.0.status()
    }

    async fn ready(self, _: Context) -> bool {
        self.0.ready()
    }

    async fn copy(self, _: Context) -> Arc<Snapshot> {
        self.0.copy()
    }

    async fn disturb(self, _: Context, faults: Faults) {
        self.0.set_faults(faults);
    }
}
