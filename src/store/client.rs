//! Client of the key-value service, on `ntex`'s HTTP client.
//!
//! Every error names the step (the call and its key) and the peer (the
//! service's address). A write whose answer is lost fails with an error even
//! though it may have taken effect; callers that must know read back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::types::{
    Compare, DeleteRequest, HeaderResponse, KeepAliveResponse, KeyValue, Lease, PutRequest,
    RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse, WatchCreate, WatchRequest,
    WatchResponse,
};
use super::{Change, Kv, prefix_end};

/// Longest a watch call may wait, in milliseconds; above the server's wait.
const WATCH_TIMEOUT_MS: u64 = 15_000;

/// What one watch call returned.
#[derive(Clone, Debug, Default)]
pub struct WatchBatch {
    /// The store's revision at the answer; watch again from `rev + 1`.
    pub rev: i64,
    /// The asked revision is older than the kept history: list again.
    pub compacted: bool,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// A client of one key-value service.
#[derive(Clone)]
pub struct Client {
    http: ntex::client::Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// A client of the service at `addr`, whose calls time out after
    /// `timeout`.
    pub async fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let http = ntex::client::Client::new().await;
        Self { http, addr, timeout }
    }

    /// The service's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        timeout: Duration,
        step: &str,
    ) -> anyhow::Result<A> {
        tokio::time::timeout(timeout, self.answer(path, req, timeout, step))
            .await
            .map_err(|_| anyhow::anyhow!("{step} at store {}: timeout", self.addr))?
    }

    async fn answer<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        timeout: Duration,
        step: &str,
    ) -> anyhow::Result<A> {
        let url = format!("http://{}{path}", self.addr);
        let res = self
            .http
            .post(&url)
            .timeout(timeout)
            .send_json(req)
            .await
            .map_err(|e| anyhow::anyhow!("{step} at store {}: {e}", self.addr))?;
        if !res.status().is_success() {
            bail!("{step} at store {}: status {}", self.addr, res.status());
        }
        res.json::<A>()
            .limit(64 << 20)
            .await
            .map_err(|e| anyhow::anyhow!("{step} at store {}: reading answer: {e}", self.addr))
    }

    /// Reads every key that starts with `prefix`; returns them with the
    /// store's revision.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    pub async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        let req =
            RangeRequest { key: B64.encode(prefix), range_end: B64.encode(prefix_end(prefix)) };
        let step = format!("list {prefix}");
        let res: RangeResponse = self.call("/v3/kv/range", &req, self.timeout, &step).await?;
        let kvs = res.kvs.iter().map(kv).collect::<anyhow::Result<_>>().context(step)?;
        Ok((res.header.revision, kvs))
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn get(&self, key: &str) -> anyhow::Result<Option<Kv>> {
        let req = RangeRequest { key: B64.encode(key), range_end: String::new() };
        let step = format!("get {key}");
        let res: RangeResponse = self.call("/v3/kv/range", &req, self.timeout, &step).await?;
        res.kvs.first().map(kv).transpose().context(step)
    }

    /// Writes one key, attached to `lease` (0 for none).
    ///
    /// # Errors
    ///
    /// As [`Client::list`]; also when the answer was lost, in which case the
    /// write may have taken effect.
    pub async fn put(&self, key: &str, value: &[u8], lease: i64) -> anyhow::Result<()> {
        let req = PutRequest { key: B64.encode(key), value: B64.encode(value), lease };
        let step = format!("put {key}");
        let _: HeaderResponse = self.call("/v3/kv/put", &req, self.timeout, &step).await?;
        Ok(())
    }

    /// Writes `value` only if the key's revision is still `rev` (0: the key
    /// must not exist). Returns whether it was written.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        rev: i64,
    ) -> anyhow::Result<bool> {
        let req = TxnRequest {
            compare: vec![Compare {
                key: B64.encode(key),
                target: "MOD".into(),
                result: "EQUAL".into(),
                mod_revision: rev,
            }],
            success: vec![RequestOp {
                request_put: PutRequest {
                    key: B64.encode(key),
                    value: B64.encode(value),
                    lease: 0,
                },
            }],
        };
        let step = format!("swap {key} at revision {rev}");
        let res: TxnResponse = self.call("/v3/kv/txn", &req, self.timeout, &step).await?;
        Ok(res.succeeded)
    }

    /// Removes one key.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn delete(&self, key: &str) -> anyhow::Result<()> {
        let req = DeleteRequest { key: B64.encode(key) };
        let step = format!("delete {key}");
        let _: HeaderResponse = self.call("/v3/kv/deleterange", &req, self.timeout, &step).await?;
        Ok(())
    }

    /// Takes a lease of `ttl` seconds; returns its identifier.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn grant(&self, ttl: i64) -> anyhow::Result<i64> {
        let req = Lease { id: 0, ttl };
        let res: Lease = self.call("/v3/lease/grant", &req, self.timeout, "lease grant").await?;
        Ok(res.id)
    }

    /// Renews a lease (the heartbeat); returns its time to live in seconds,
    /// 0 when it has lapsed.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn keepalive(&self, id: i64) -> anyhow::Result<i64> {
        let req = Lease { id, ttl: 0 };
        let step = format!("keepalive of lease {id}");
        let res: KeepAliveResponse =
            self.call("/v3/lease/keepalive", &req, self.timeout, &step).await?;
        Ok(res.result.ttl)
    }

    /// Waits for changes under `prefix` from revision `from` on; returns
    /// early with what happened, or empty after the service's wait.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn watch(&self, prefix: &str, from: i64) -> anyhow::Result<WatchBatch> {
        let req = WatchRequest {
            create_request: WatchCreate {
                key: B64.encode(prefix),
                range_end: B64.encode(prefix_end(prefix)),
                start_revision: from,
            },
        };
        let step = format!("watch {prefix} from {from}");
        let timeout = Duration::from_millis(WATCH_TIMEOUT_MS);
        let res: WatchResponse = self.call("/v3/watch", &req, timeout, &step).await?;
        let r = res.result;
        let mut changes = Vec::with_capacity(r.events.len());
        for ev in &r.events {
            let kv = kv(&ev.kv).with_context(|| step.clone())?;
            changes.push(if ev.kind == "DELETE" {
                Change::Delete { key: kv.key, rev: kv.rev }
            } else {
                Change::Put(kv)
            });
        }
        Ok(WatchBatch { rev: r.header.revision, compacted: r.compact_revision > 0, changes })
    }
}

fn kv(raw: &KeyValue) -> anyhow::Result<Kv> {
    let key = String::from_utf8(B64.decode(&raw.key)?)?;
    let value = B64.decode(&raw.value)?;
    Ok(Kv { key: Arc::from(key), value, rev: raw.mod_revision, lease: raw.lease })
}
