//! Server of the [`Admin`] service, over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use anyhow::Context as _;
use futures_util::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

use super::{Admin, Faults, ProcessState, Status};
use crate::store::Snapshot;
use crate::store::distribution::{DatedReply, Subscriber};

/// Largest number of calls of one connection that run at once.
const MAX_CONCURRENT_CALLS: usize = 8;

/// A running admin server. Dropping it leaves the server running; call
/// [`Server::stop`].
#[derive(Debug)]
pub struct Server {
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and answers calls from `state`, on the current local task set.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr, state: ProcessState) -> anyhow::Result<Self> {
        let mut listener = tcp::listen(addr, Bincode::default)
            .await
            .with_context(|| format!("admin: binding {addr}"))?;
        let task = tokio::task::spawn_local(async move {
            // Dropping the set closes the connections.
            let mut connections = tokio::task::JoinSet::new();
            while let Some(conn) = listener.next().await {
                let Ok(conn) = conn else { continue };
                while connections.try_join_next().is_some() {}
                let calls =
                    BaseChannel::with_defaults(conn).execute(AdminServer(state.clone()).serve());
                connections
                    .spawn_local(calls.for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call));
            }
        });
        Ok(Self { task })
    }

    /// Stops the server, closes its connections and waits for its task to end.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

#[derive(Clone)]
struct AdminServer(ProcessState);

impl Admin for AdminServer {
    async fn status(self, _: Context) -> Status {
        self.0.status()
    }

    async fn ready(self, _: Context) -> bool {
        self.0.is_ready()
    }

    async fn snapshot(self, _: Context) -> Arc<Snapshot> {
        self.0.snapshot()
    }

    async fn set_faults(self, _: Context, faults: Faults) {
        self.0.set_faults(faults);
    }

    async fn poll_changes(
        self,
        _: Context,
        subscriber: Subscriber,
        prefix: Arc<str>,
        after: i64,
    ) -> DatedReply {
        let log = self.0.change_log();
        let started = Instant::now();
        let reply = log.poll(subscriber, &prefix, after).await;
        let (age, held) = (log.age(), started.elapsed());
        DatedReply { reply, age, held, ancestors: log.ancestors() }
    }
}
