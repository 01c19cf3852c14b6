//! What the product asks of a key-value service, whichever protocol reaches
//! it: the own interface's [`super::Client`] and the platform's client both
//! provide it, so that the mirror and the lease stand once.

use std::time::Duration;

use super::{Client, Kv, WatchBatch};

/// Reading keys and following their changes.
pub trait WatchStore: Clone {
    /// Reads every key that starts with `prefix`, with a revision from which
    /// watching misses no later change.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    fn list(&self, prefix: &str) -> impl Future<Output = anyhow::Result<(i64, Vec<Kv>)>>;

    /// Changes under `prefix` after revision `after`. With `wait`, waits for
    /// some: returns early with what happened, or empty after the service's
    /// wait. Without, returns what there is, if the service can.
    ///
    /// # Errors
    ///
    /// As [`WatchStore::list`].
    fn watch(
        &self,
        prefix: &str,
        after: i64,
        wait: bool,
    ) -> impl Future<Output = anyhow::Result<WatchBatch>>;
}

/// Holding a key under a lease.
pub trait LeaseStore {
    /// Takes a lease; returns its identifier.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down;
    /// the call may have taken effect all the same, as with the other calls.
    fn grant(&self, ttl: Duration) -> impl Future<Output = anyhow::Result<i64>>;

    /// Renews a lease; says whether it still stands.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn keepalive(&self, lease: i64) -> impl Future<Output = anyhow::Result<bool>>;

    /// Writes one key under `lease` (0 for none).
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn put(&self, key: &str, value: &[u8], lease: i64) -> impl Future<Output = anyhow::Result<()>>;

    /// Whether the key is there: the service may take keys away whose leases
    /// stand.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn exists(&self, key: &str) -> impl Future<Output = anyhow::Result<bool>>;

    /// Removes one key.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn delete(&self, key: &str) -> impl Future<Output = anyhow::Result<()>>;
}

impl WatchStore for Client {
    async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        Client::list(self, prefix).await
    }

    async fn watch(&self, prefix: &str, after: i64, _wait: bool) -> anyhow::Result<WatchBatch> {
        Client::watch(self, prefix, after + 1).await
    }
}

impl LeaseStore for Client {
    async fn grant(&self, ttl: Duration) -> anyhow::Result<i64> {
        let secs = i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX);
        Client::grant(self, secs.max(1)).await
    }

    async fn keepalive(&self, lease: i64) -> anyhow::Result<bool> {
        Ok(Client::keepalive(self, lease).await? > 0)
    }

    async fn put(&self, key: &str, value: &[u8], lease: i64) -> anyhow::Result<()> {
        Client::put(self, key, value, lease).await
    }

    async fn exists(&self, key: &str) -> anyhow::Result<bool> {
        Ok(Client::get(self, key).await?.is_some())
    }

    async fn delete(&self, key: &str) -> anyhow::Result<()> {
        Client::delete(self, key).await
    }
}
