//! The operations that agents and balancers need from a key-value service,
//! independent of its protocol: implemented by [`super::Client`] and by
//! [`crate::platform::kv::Client`].

use std::time::Duration;

use super::{Client, Kv, Snapshot, WatchBatch, revision};

/// A store whose keys can be listed and watched.
pub trait WatchStore: Clone {
    /// Reads every key that starts with `prefix`; returns them with the
    /// revision after which to watch so that no change is missed.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    fn list(&self, prefix: &str) -> impl Future<Output = anyhow::Result<(i64, Vec<Kv>)>>;

    /// As [`WatchStore::list`], but what is returned may be some seconds old if the service
    /// reads that with less effort. A watch after the returned revision brings it up to date.
    ///
    /// # Errors
    ///
    /// As [`WatchStore::list`].
    fn list_stale(&self, prefix: &str) -> impl Future<Output = anyhow::Result<(i64, Vec<Kv>)>> {
        self.list(prefix)
    }

    /// Returns the changes under `prefix` after revision `after`. With `wait`,
    /// waits for a change, and returns none after the service's own time limit.
    /// Without, returns at once if the service supports it.
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

    /// Notes that a snapshot `old` was replaced by `new`, which was listed anew.
    fn note_listing(&self, _old: &Snapshot, _new: &Snapshot) {}
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The key was written, at this revision.
    Written(i64),
    /// Nothing was written, as the key is at this other revision; 0 if it does not exist.
    Conflict(i64),
}

/// A store whose keys can be attached to leases.
pub trait LeaseStore {
    /// Grants a lease; returns its identifier.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    /// The call may have taken effect nevertheless.
    fn grant(&self, ttl: Duration) -> impl Future<Output = anyhow::Result<i64>>;

    /// Renews a lease; returns false if it has expired.
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

    /// Writes one key under `lease` if it is at revision `rev` (0: if it does not exist), so that
    /// a call which is executed late does not replace a newer value. A store without
    /// conditions writes it in any case.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn put_at(
        &self,
        key: &str,
        value: &[u8],
        lease: i64,
        _rev: i64,
    ) -> impl Future<Output = anyhow::Result<PutOutcome>> {
        async move { self.put(key, value, lease).await.map(|()| PutOutcome::Written(0)) }
    }

    /// Whether the key exists and is attached to `lease`. A store that does not tell leases
    /// answers whether it exists.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn holds(&self, key: &str, _lease: i64) -> impl Future<Output = anyhow::Result<bool>> {
        async move { Ok(self.exists(key).await? || self.exists_now(key).await?) }
    }

    /// Whether the key exists, or did some seconds ago. The service may lose keys whose
    /// leases have not expired.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn exists(&self, key: &str) -> impl Future<Output = anyhow::Result<bool>>;

    /// As [`LeaseStore::exists`], but as of now.
    ///
    /// # Errors
    ///
    /// As [`LeaseStore::grant`].
    fn exists_now(&self, key: &str) -> impl Future<Output = anyhow::Result<bool>> {
        self.exists(key)
    }

    /// The latest era that the service named; 0 if it names none.
    fn era(&self) -> u32 {
        0
    }

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

    /// Always waits for a change. Without `wait`, the era is checked first, as a watch of a
    /// revision that the restored store does not have yet would wait for it.
    async fn watch(&self, prefix: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        if !wait && revision::era(self.revision().await?) != revision::era(after) {
            return Ok(WatchBatch { rev: after, compacted: true, ..WatchBatch::default() });
        }
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

    fn era(&self) -> u32 {
        Client::era(self)
    }

    async fn delete(&self, key: &str) -> anyhow::Result<()> {
        Client::delete(self, key).await
    }
}
