//! HTTP client of the platform's key-value service.
//!
//! Every error names the operation with its key, and the service's address. A
//! call without a response may have taken effect, or may do so seconds later.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::StatusCode;
use ntex::http::header::HeaderName;
use serde::{Deserialize, Serialize};

use crate::store::revision::{self, LatestEra, RevisionText};
use crate::store::{Change, Kv, LeaseStore, PutOutcome, WatchBatch, WatchStore};
use crate::{events, metrics};

/// Largest response body: a page of about 1 MB, at most doubled by base64 and
/// JSON, with a margin.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Header with the store's era, which rises each time the store is restored from a backup.
pub(super) const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Time limit on the response of a watch after its wait has ended.
pub const WATCH_SLACK: Duration = Duration::from_millis(500);

/// Client of the platform's key-value service.
#[derive(Clone)]
pub struct Client {
    http: ntex::client::Client,
    addr: SocketAddr,
    timeout: Duration,
    watch_wait: Duration,
    era: LatestEra,
    first_commit: Rc<Cell<Option<FirstCommit>>>,
}

/// The first write that a client and its clones made.
#[derive(Clone, Copy, Debug)]
pub struct FirstCommit {
    /// Its revision; 0 if unknown, as one before was not answered.
    pub rev: i64,
    /// When that was known.
    pub at: Instant,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: String,
    #[serde(default)]
    value: String,
    /// Revision of the last change.
    #[serde(default)]
    revision: i64,
    /// Revision at which the key was created.
    #[serde(default)]
    created: i64,
    #[serde(default)]
    lease: i64,
    /// Whether the key was removed at `revision`.
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    truncated: bool,
    /// Revision of the store when it responded.
    as_of: i64,
}

#[derive(Debug, Deserialize)]
struct Events {
    events: Vec<Item>,
    as_of: i64,
}

/// Value of `serializable` in queries whose responses may be some seconds old, which costs a tenth
/// of a call.
const STALE: Option<u8> = Some(1);

#[derive(Debug, Serialize)]
struct RangeQuery<'a> {
    prefix: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    after: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    serializable: Option<u8>,
}

#[derive(Debug, Serialize)]
struct WatchQuery<'a> {
    prefix: &'a str,
    after: i64,
    wait_ms: u64,
}

#[derive(Debug, Serialize)]
struct KeyQuery<'a> {
    key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    serializable: Option<u8>,
}

#[derive(Debug, Serialize)]
struct Write<'a> {
    key: &'a str,
    value: String,
    lease: i64,
}

impl<'a> Write<'a> {
    fn new(key: &'a str, value: &[u8], lease: i64) -> Self {
        Self { key, value: B64.encode(value), lease }
    }
}

/// Condition on a key's revision.
#[derive(Debug, Serialize)]
struct Condition<'a> {
    key: &'a str,
    /// Expected revision; 0 if the key must not exist.
    revision: i64,
}

#[derive(Debug, Default, Serialize)]
struct TxnRequest<'a> {
    /// Conditions, all of which must hold.
    expected_rev: Vec<Condition<'a>>,
    writes: Vec<Write<'a>>,
    remove: Vec<&'a str>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Ttl {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct TxnResult {
    revision: i64,
}

/// Body of a transaction whose conditions do not hold.
#[derive(Debug, Deserialize)]
struct Conflict {
    /// The items of the conditions that exist.
    items: Vec<Item>,
}

#[derive(Debug, Deserialize)]
struct LeaseGrant {
    lease: i64,
}

impl Client {
    /// Creates a client of the service at `addr`. Calls time out after `timeout`;
    /// a watch waits up to `watch_wait` for a change.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be built.
    pub async fn new(
        addr: SocketAddr,
        timeout: Duration,
        watch_wait: Duration,
    ) -> anyhow::Result<Self> {
        let http = super::connector::build_client(addr).await?;
        let (era, first_commit) = (LatestEra::default(), Rc::default());
        Ok(Self { http, addr, timeout, watch_wait, era, first_commit })
    }

    /// Replaces how long a watch waits for a change.
    #[must_use]
    pub const fn with_watch_wait(mut self, watch_wait: Duration) -> Self {
        self.watch_wait = watch_wait;
        self
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    async fn send(
        &self,
        operation: &str,
        req: ClientRequest,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> anyhow::Result<ClientResponse> {
        let req = req.timeout(timeout);
        let started = Instant::now();
        let request = async {
            match body {
                Some(b) => req.content_type("application/json").send_body(b).await,
                None => req.send().await,
            }
        };
        // The HTTP client's own timeout excludes connecting, and fires late after the
        // process was suspended.
        let response = tokio::time::timeout(timeout, request).await;
        let ok = matches!(&response, Ok(Ok(res)) if res.status().is_success());
        let call = operation.split(' ').next().unwrap_or_default();
        metrics::record_store_call(call, ok, started.elapsed());
        let response = response
            .map_err(|_| anyhow::anyhow!("{operation} at store {}: timeout", self.addr))?
            .map_err(|e| anyhow::anyhow!("{operation} at store {}: {e}", self.addr))?;
        if let Some(era) = read_era(&response) {
            self.era.record(era);
        }
        Ok(response)
    }

    async fn read_json<A: serde::de::DeserializeOwned>(
        &self,
        operation: &str,
        res: ClientResponse,
    ) -> anyhow::Result<A> {
        if !res.status().is_success() {
            bail!("{operation} at store {}: status {}", self.addr, res.status());
        }
        self.read_body(operation, res).await
    }

    async fn read_body<A: serde::de::DeserializeOwned>(
        &self,
        operation: &str,
        res: ClientResponse,
    ) -> anyhow::Result<A> {
        let body = tokio::time::timeout(self.timeout, res.body().limit(MAX_RESPONSE_BYTES))
            .await
            .map_err(|_| {
                anyhow::anyhow!("{operation} at store {}: timeout reading response", self.addr)
            })?
            .map_err(|e| {
                anyhow::anyhow!("{operation} at store {}: reading response: {e}", self.addr)
            })?;
        serde_json::from_slice(&body).with_context(|| format!("{operation} at store {}", self.addr))
    }

    /// Reads every page of the keys under `prefix`; returns them with a revision after which no
    /// change is missing.
    async fn list_pages(
        &self,
        prefix: &str,
        serializable: Option<u8>,
    ) -> anyhow::Result<(i64, Vec<Kv>)> {
        let call = if serializable == STALE { "stale-list" } else { "list" };
        let operation = format!("{call} {prefix}");
        let mut kvs: Vec<Kv> = Vec::new();
        let mut oldest_rev = None;
        let mut after = String::new();
        loop {
            let req = self.http.get(self.url("/v1/kv-range"));
            let req = req.query(&RangeQuery { prefix, after: &after, serializable })?;
            let res = self.send(&operation, req, None, self.timeout).await?;
            let era = read_era(&res).unwrap_or_default();
            let page: Page = self.read_json(&operation, res).await?;
            // Pages may differ in revision: a watch after the oldest one's also returns the
            // changes made while the others were read.
            let page_rev = self.compose_rev(&operation, era, page.as_of)?;
            let rev = oldest_rev.map_or(page_rev, |rev: i64| rev.min(page_rev));
            oldest_rev = Some(rev);
            ensure!(
                revision::era(rev) == era,
                "{operation} at store {}: restored while its pages were read",
                self.addr
            );
            let last_key = page.items.last().map(|i| i.key.clone());
            kvs.extend(page.items.into_iter().filter_map(|item| decode_or_skip(item, era)));
            match last_key {
                Some(key) if page.truncated => after = key,
                _ => return Ok((rev, kvs)),
            }
        }
    }

    fn compose_rev(&self, operation: &str, era: u32, counter: i64) -> anyhow::Result<i64> {
        revision::compose(era, counter)
            .with_context(|| format!("{operation} at store {}", self.addr))
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    pub async fn get(&self, key: &str) -> anyhow::Result<Option<Kv>> {
        self.read(KeyQuery { key, serializable: None }).await
    }

    /// As [`Client::get`], but the response may be some seconds old.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn get_stale(&self, key: &str) -> anyhow::Result<Option<Kv>> {
        self.read(KeyQuery { key, serializable: STALE }).await
    }

    async fn read(&self, query: KeyQuery<'_>) -> anyhow::Result<Option<Kv>> {
        let call = if query.serializable == STALE { "stale-read" } else { "read" };
        let operation = format!("{call} {}", query.key);
        let req = self.http.get(self.url("/v1/kv-key")).query(&query)?;
        let res = self.send(&operation, req, None, self.timeout).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let era = read_era(&res).unwrap_or_default();
        let item: Item = self.read_json(&operation, res).await?;
        decode_kv(item, era).context(operation).map(Some)
    }

    /// Writes `put` and removes `remove` atomically if `key` still has the
    /// revision `rev` (0: does not exist); returns whether it had.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    /// The writes may have taken effect nevertheless.
    pub async fn compare_and_swap(
        &self,
        (key, rev): (&str, i64),
        put: &[(String, Vec<u8>)],
        remove: &[String],
    ) -> anyhow::Result<bool> {
        let operation = format!("swap {key} at {}", RevisionText(rev));
        if rev != 0 && revision::era(rev) < self.era.get() {
            // The restored store may have given the revision to another value.
            return Ok(false);
        }
        let txn = TxnRequest {
            expected_rev: vec![Condition { key, revision: revision::counter(rev) }],
            writes: put.iter().map(|(key, value)| Write::new(key, value, 0)).collect(),
            remove: remove.iter().map(String::as_str).collect(),
        };
        let res = self.send_txn(&operation, &txn).await?;
        if res.status() == StatusCode::PRECONDITION_FAILED {
            return Ok(false);
        }
        self.read_json::<TxnResult>(&operation, res).await.map(|_| true)
    }

    async fn send_txn(
        &self,
        operation: &str,
        txn: &TxnRequest<'_>,
    ) -> anyhow::Result<ClientResponse> {
        let req = self.http.post(self.url("/v1/kv-txn"));
        self.send(operation, req, Some(serde_json::to_vec(txn)?), self.timeout).await
    }

    async fn commit(&self, operation: &str, txn: &TxnRequest<'_>) -> anyhow::Result<PutOutcome> {
        let sent = self.send_txn(operation, txn).await;
        if sent.is_err() && self.first_commit.get().is_none() {
            // It may have been executed, or may be later.
            self.first_commit.set(Some(FirstCommit { rev: 0, at: Instant::now() }));
        }
        let res = sent?;
        let era = read_era(&res).unwrap_or_default();
        if res.status() == StatusCode::PRECONDITION_FAILED {
            let Conflict { items } = self.read_body(operation, res).await?;
            let current = items.first().map_or(0, |item| item.revision);
            return Ok(PutOutcome::Conflict(self.compose_rev(operation, era, current)?));
        }
        // An unread response body would break the next call on the connection.
        let result: TxnResult = self.read_json(operation, res).await?;
        let rev = self.compose_rev(operation, era, result.revision)?;
        if self.first_commit.get().is_none() {
            self.first_commit.set(Some(FirstCommit { rev, at: Instant::now() }));
        }
        Ok(PutOutcome::Written(rev))
    }

    /// The first write of this client and its clones.
    #[must_use]
    pub fn first_commit(&self) -> Option<FirstCommit> {
        self.first_commit.get()
    }
}

impl WatchStore for Client {
    async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        self.list_pages(prefix, None).await
    }

    async fn list_stale(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        self.list_pages(prefix, STALE).await
    }

    async fn watch(&self, prefix: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        let call = if wait { "watch" } else { "check" };
        let operation = format!("{call} {prefix} after {}", RevisionText(after));
        let wait = if wait { self.watch_wait } else { Duration::ZERO };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let req = self.http.get(self.url("/v1/kv-watch"));
        let req = req.query(&WatchQuery { prefix, after: revision::counter(after), wait_ms })?;
        let res = self
            .send(
                &operation,
                req,
                None,
                if wait.is_zero() { self.timeout } else { wait + WATCH_SLACK },
            )
            .await?;
        let compacted = WatchBatch { rev: after, compacted: true, changes: Vec::new() };
        if res.status() == StatusCode::GONE {
            return Ok(compacted);
        }
        let era = read_era(&res).unwrap_or_default();
        let events: Events = self.read_json(&operation, res).await?;
        if era != revision::era(after) {
            // The restored store may have given out the requested revision again.
            return Ok(compacted);
        }
        let mut changes = Vec::with_capacity(events.events.len());
        for e in events.events {
            if e.tombstone {
                let rev = self.compose_rev(&operation, era, e.revision)?;
                changes.push(Change::Delete { key: e.key.into(), rev });
            } else {
                changes.extend(decode_or_skip(e, era).map(Change::Put));
            }
        }
        let rev = self.compose_rev(&operation, era, events.as_of)?;
        Ok(WatchBatch { rev, compacted: false, changes })
    }
}

impl LeaseStore for Client {
    async fn grant(&self, ttl: Duration) -> anyhow::Result<i64> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let req = self.http.post(self.url("/v1/kv-lease"));
        let body = serde_json::to_vec(&Ttl { ttl_ms })?;
        let res = self.send("lease", req, Some(body), self.timeout).await?;
        let grant: LeaseGrant = self.read_json("lease", res).await?;
        Ok(grant.lease)
    }

    async fn keepalive(&self, lease: i64) -> anyhow::Result<bool> {
        let operation = format!("keepalive of lease {lease}");
        let req = self.http.post(self.url(&format!("/v1/kv-keep/{lease}")));
        let res = self.send(&operation, req, None, self.timeout).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        self.read_json::<Ttl>(&operation, res).await.map(|_| true)
    }

    async fn put(&self, key: &str, value: &[u8], lease: i64) -> anyhow::Result<()> {
        let txn =
            TxnRequest { writes: vec![Write::new(key, value, lease)], ..TxnRequest::default() };
        self.commit(&format!("put {key}"), &txn).await.map(drop)
    }

    async fn put_at(
        &self,
        key: &str,
        value: &[u8],
        lease: i64,
        rev: i64,
    ) -> anyhow::Result<PutOutcome> {
        if rev != 0 && revision::era(rev) < self.era.get() {
            // The restored store may have given the revision to another value.
            let current = self.get(key).await?;
            return Ok(PutOutcome::Conflict(current.map_or(0, |kv| kv.rev)));
        }
        let txn = TxnRequest {
            expected_rev: vec![Condition { key, revision: revision::counter(rev) }],
            writes: vec![Write::new(key, value, lease)],
            ..TxnRequest::default()
        };
        self.commit(&format!("put {key}"), &txn).await
    }

    async fn holds(&self, key: &str, lease: i64) -> anyhow::Result<bool> {
        let is_own = |kv: Option<Kv>| kv.is_some_and(|kv| kv.lease == lease);
        // A key that was written in the last seconds may be missing in an old read.
        Ok(is_own(self.get_stale(key).await?) || is_own(self.get(key).await?))
    }

    async fn exists(&self, key: &str) -> anyhow::Result<bool> {
        Ok(self.get_stale(key).await?.is_some())
    }

    async fn exists_now(&self, key: &str) -> anyhow::Result<bool> {
        Ok(self.get(key).await?.is_some())
    }

    fn era(&self) -> u32 {
        self.era.get()
    }

    /// Removes the key as it is now: one that another process writes later is left alone, also if
    /// the call is executed late.
    async fn delete(&self, key: &str) -> anyhow::Result<()> {
        let operation = format!("delete {key}");
        while let Some(kv) = self.get(key).await? {
            let expected = Condition { key, revision: revision::counter(kv.rev) };
            let txn = TxnRequest {
                expected_rev: vec![expected],
                remove: vec![key],
                ..TxnRequest::default()
            };
            if let PutOutcome::Written(_) = self.commit(&operation, &txn).await? {
                break;
            }
        }
        Ok(())
    }
}

/// The era that a response names, if any.
fn read_era(response: &ClientResponse) -> Option<u32> {
    response.headers().get(ERA_HEADER)?.to_str().ok()?.trim().parse().ok()
}

fn decode_kv(item: Item, era: u32) -> anyhow::Result<Kv> {
    let value = B64.decode(&item.value).with_context(|| format!("value of {}", item.key))?;
    let rev = revision::compose(era, item.revision)?;
    let created = revision::compose(era, item.created)?;
    Ok(Kv { key: item.key.into(), value, rev, lease: item.lease, created })
}

/// Decodes an item; one that cannot be decoded is logged and skipped, so that it
/// does not fail the whole call.
fn decode_or_skip(item: Item, era: u32) -> Option<Kv> {
    decode_kv(item, era)
        .inspect_err(|e| {
            metrics::count_drop("item_unreadable");
            log::error!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "item cannot be decoded; skipping it");
        })
        .ok()
}
