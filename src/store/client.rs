//! HTTP client of the key-value store.
//!
//! Every error names the operation with its key, and the store's address. A
//! write whose response is lost returns an error although it may have taken
//! effect; callers that depend on the outcome read the key back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::revision::{self, LatestEra, RevisionText};
use super::types::{
    Compare, DeleteRequest, Header, HeaderResponse, KeepAliveResponse, KeyValue, Lease, PutRequest,
    RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse, WatchCreate, WatchRequest,
    WatchResponse,
};
use super::{Change, Kv, prefix_end};

/// Time limit of a watch call; above the store's longest wait.
const WATCH_TIMEOUT_MS: u64 = 15_000;

/// Result of one watch call.
#[derive(Clone, Debug, Default)]
pub struct WatchBatch {
    /// The store's revision when it responded; watch again from `rev + 1`.
    pub rev: i64,
    /// The requested revision has been compacted: list again.
    pub compacted: bool,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// Client of a key-value store.
#[derive(Clone)]
pub struct Client {
    http: ntex::client::Client,
    addr: SocketAddr,
    timeout: Duration,
    era: LatestEra,
}

impl Client {
    /// Creates a client of the store at `addr`. Calls other than
    /// [`Client::watch`] time out after `timeout`.
    pub async fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let http = ntex::client::Client::new().await;
        Self { http, addr, timeout, era: LatestEra::default() }
    }

    /// The store's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The latest era that the store named; 0 before the first response.
    #[must_use]
    pub fn era(&self) -> u32 {
        self.era.get()
    }

    /// Records the era that a response names, and returns the store's revision.
    fn read_header(&self, header: &Header) -> anyhow::Result<i64> {
        self.era.record(header.era);
        revision::compose(header.era, header.revision)
            .with_context(|| format!("response of store {}", self.addr))
    }

    /// The store's revision.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn revision(&self) -> anyhow::Result<i64> {
        // No key is empty, so that the response has only a header.
        let req = RangeRequest::default();
        let res: RangeResponse = self.call("/v3/kv/range", &req, self.timeout, "revision").await?;
        self.read_header(&res.header)
    }

    /// Error text for a response that cannot be decoded.
    fn decode_error(&self, operation: &str) -> String {
        format!("{operation} at store {}: decoding response", self.addr)
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        timeout: Duration,
        operation: &str,
    ) -> anyhow::Result<A> {
        tokio::time::timeout(timeout, self.post(path, req, timeout, operation))
            .await
            .map_err(|_| anyhow::anyhow!("{operation} at store {}: timeout", self.addr))?
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        req: &Q,
        timeout: Duration,
        operation: &str,
    ) -> anyhow::Result<A> {
        let url = format!("http://{}{path}", self.addr);
        let res = self
            .http
            .post(&url)
            .timeout(timeout)
            .send_json(req)
            .await
            .map_err(|e| anyhow::anyhow!("{operation} at store {}: {e}", self.addr))?;
        if !res.status().is_success() {
            bail!("{operation} at store {}: status {}", self.addr, res.status());
        }
        res.json::<A>().limit(64 << 20).await.map_err(|e| {
            anyhow::anyhow!("{operation} at store {}: reading response: {e}", self.addr)
        })
    }

    /// Reads every key that starts with `prefix`; returns them with the
    /// store's revision.
    ///
    /// # Errors
    ///
    /// Fails when the store is unreachable, exceeds the timeout or returns an error.
    pub async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        let req =
            RangeRequest { key: B64.encode(prefix), range_end: B64.encode(prefix_end(prefix)) };
        let operation = format!("list {prefix}");
        let res: RangeResponse = self.call("/v3/kv/range", &req, self.timeout, &operation).await?;
        let rev = self.read_header(&res.header)?;
        let kvs = res
            .kvs
            .iter()
            .map(|kv| decode_kv(kv, res.header.era))
            .collect::<anyhow::Result<_>>()
            .with_context(|| self.decode_error(&operation))?;
        Ok((rev, kvs))
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn get(&self, key: &str) -> anyhow::Result<Option<Kv>> {
        let req = RangeRequest { key: B64.encode(key), range_end: String::new() };
        let operation = format!("get {key}");
        let res: RangeResponse = self.call("/v3/kv/range", &req, self.timeout, &operation).await?;
        self.read_header(&res.header)?;
        let kv = res.kvs.first().map(|kv| decode_kv(kv, res.header.era));
        kv.transpose().with_context(|| self.decode_error(&operation))
    }

    /// Writes one key under `lease` (0 for none).
    ///
    /// # Errors
    ///
    /// As [`Client::list`]. When the response was lost, the write may have taken
    /// effect nevertheless.
    pub async fn put(&self, key: &str, value: &[u8], lease: i64) -> anyhow::Result<()> {
        let req = PutRequest { key: B64.encode(key), value: B64.encode(value), lease };
        let operation = format!("put {key}");
        let res: HeaderResponse = self.call("/v3/kv/put", &req, self.timeout, &operation).await?;
        self.read_header(&res.header).map(drop)
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
        let operation = format!("swap {key} at revision {}", RevisionText(rev));
        if rev != 0 && revision::era(rev) < self.era.get() {
            // The restored store may have given the revision to another value.
            return Ok(false);
        }
        let req = TxnRequest {
            compare: vec![Compare {
                key: B64.encode(key),
                target: "MOD".into(),
                result: "EQUAL".into(),
                mod_revision: revision::counter(rev),
            }],
            success: vec![RequestOp {
                request_put: PutRequest {
                    key: B64.encode(key),
                    value: B64.encode(value),
                    lease: 0,
                },
            }],
        };
        let res: TxnResponse = self.call("/v3/kv/txn", &req, self.timeout, &operation).await?;
        self.read_header(&res.header)?;
        Ok(res.succeeded)
    }

    /// Removes one key.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn delete(&self, key: &str) -> anyhow::Result<()> {
        let req = DeleteRequest { key: B64.encode(key) };
        let operation = format!("delete {key}");
        let res: HeaderResponse =
            self.call("/v3/kv/deleterange", &req, self.timeout, &operation).await?;
        self.read_header(&res.header).map(drop)
    }

    /// Grants a lease of `ttl` seconds; returns its identifier.
    ///
    /// # Errors
    ///
    /// As [`Client::put`].
    pub async fn grant(&self, ttl: i64) -> anyhow::Result<i64> {
        let req = Lease { ttl, ..Lease::default() };
        let res: Lease = self.call("/v3/lease/grant", &req, self.timeout, "lease grant").await?;
        self.read_header(&res.header)?;
        Ok(res.id)
    }

    /// Renews a lease; returns its time to live in seconds, 0 if it has expired.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn keepalive(&self, id: i64) -> anyhow::Result<i64> {
        let req = Lease { id, ..Lease::default() };
        let operation = format!("keepalive of lease {id}");
        let res: KeepAliveResponse =
            self.call("/v3/lease/keepalive", &req, self.timeout, &operation).await?;
        self.read_header(&res.header)?;
        Ok(res.result.ttl)
    }

    /// Waits for changes under `prefix` from revision `start_rev` on; returns none
    /// when the store's wait ends without any.
    ///
    /// # Errors
    ///
    /// As [`Client::list`].
    pub async fn watch(&self, prefix: &str, start_rev: i64) -> anyhow::Result<WatchBatch> {
        let req = WatchRequest {
            create_request: WatchCreate {
                key: B64.encode(prefix),
                range_end: B64.encode(prefix_end(prefix)),
                start_revision: revision::counter(start_rev),
            },
        };
        let operation = format!("watch {prefix} from {}", RevisionText(start_rev));
        let timeout = Duration::from_millis(WATCH_TIMEOUT_MS);
        let res: WatchResponse = self.call("/v3/watch", &req, timeout, &operation).await?;
        let r = res.result;
        let rev = self.read_header(&r.header)?;
        if r.header.era != revision::era(start_rev) {
            // The restored store may have given out the requested revision again.
            return Ok(WatchBatch { rev, compacted: true, ..WatchBatch::default() });
        }
        let mut changes = Vec::with_capacity(r.events.len());
        for ev in &r.events {
            let kv =
                decode_kv(&ev.kv, r.header.era).with_context(|| self.decode_error(&operation))?;
            changes.push(if ev.kind == "DELETE" {
                Change::Delete { key: kv.key, rev: kv.rev }
            } else {
                Change::Put(kv)
            });
        }
        Ok(WatchBatch { rev, compacted: r.compact_revision > 0, changes })
    }
}

fn decode_kv(raw: &KeyValue, era: u32) -> anyhow::Result<Kv> {
    let key = B64.decode(&raw.key).context("key is not base64")?;
    let key = String::from_utf8(key).context("key is not UTF-8")?;
    let value = B64.decode(&raw.value).with_context(|| format!("value of {key} is not base64"))?;
    let rev = revision::compose(era, raw.mod_revision)?;
    let created = revision::compose(era, raw.create_revision)?;
    Ok(Kv { key: Arc::from(key), value, rev, lease: raw.lease, created })
}
