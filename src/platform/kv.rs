//! Client of the platform's key-value service, on `ntex`'s HTTP client.
//!
//! Every error names the step (the call and its key) and the peer. A call
//! without an answer may have taken effect, also seconds later.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as B64;
use ntex::client::{ClientRequest, ClientResponse};
use ntex::http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::store::{Change, Kv, LeaseStore, WatchBatch, WatchStore};
use crate::{events, metrics};

/// Largest answer read, in bytes: a page is about 1 MB, and base64 and JSON
/// make it no more than twice that.
const ANSWER_LIMIT: usize = 4 << 20;

/// How much later than its wait a watch may be answered.
const WATCH_SLACK: Duration = Duration::from_millis(500);

/// A client of the platform's key-value service.
#[derive(Clone)]
pub struct Client {
    http: ntex::client::Client,
    addr: SocketAddr,
    timeout: Duration,
    wait: Duration,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: String,
    #[serde(default)]
    value: String,
    /// Revision of the last change.
    #[serde(default)]
    revision: i64,
    #[serde(default)]
    lease: i64,
    /// The key was removed at `revision`.
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    truncated: bool,
    /// The store's revision when it answered.
    as_of: i64,
}

#[derive(Debug, Deserialize)]
struct Events {
    events: Vec<Item>,
    as_of: i64,
}

#[derive(Debug, Serialize)]
struct RangeQuery<'a> {
    prefix: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    after: &'a str,
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

/// A condition on a key.
#[derive(Debug, Serialize)]
struct Expected<'a> {
    key: &'a str,
    /// Its revision; 0: it does not exist.
    revision: i64,
}

#[derive(Debug, Default, Serialize)]
struct Txn<'a> {
    /// Conditions; none are needed for keys that only one process writes.
    expected_rev: Vec<Expected<'a>>,
    writes: Vec<Write<'a>>,
    remove: Vec<&'a str>,
}

#[derive(Debug, Deserialize, Serialize)]
struct Ttl {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Revision {
    #[serde(rename = "revision")]
    _rev: i64,
}

#[derive(Debug, Deserialize)]
struct Granted {
    lease: i64,
}

impl Client {
    /// A client of the service at `addr`, whose calls time out after
    /// `timeout` and whose watches wait for `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be built.
    pub async fn new(addr: SocketAddr, timeout: Duration, wait: Duration) -> anyhow::Result<Self> {
        let http = super::connector::build_client(addr).await?;
        Ok(Self { http, addr, timeout, wait })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    async fn send(
        &self,
        step: &str,
        req: ClientRequest,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> anyhow::Result<ClientResponse> {
        let req = req.timeout(timeout);
        let started = Instant::now();
        let sent = async {
            match body {
                Some(b) => req.content_type("application/json").send_body(b).await,
                None => req.send().await,
            }
        };
        // The client's own timeout starts once it is connected, and is late after
        // the process was suspended.
        let answer = tokio::time::timeout(timeout, sent).await;
        let ok = matches!(&answer, Ok(Ok(res)) if res.status().is_success());
        let call = step.split(' ').next().unwrap_or_default();
        metrics::called(call, ok, started.elapsed());
        answer
            .map_err(|_| anyhow::anyhow!("{step} at store {}: timeout", self.addr))?
            .map_err(|e| anyhow::anyhow!("{step} at store {}: {e}", self.addr))
    }

    async fn read<A: serde::de::DeserializeOwned>(
        &self,
        step: &str,
        res: ClientResponse,
    ) -> anyhow::Result<A> {
        if !res.status().is_success() {
            bail!("{step} at store {}: status {}", self.addr, res.status());
        }
        let body = tokio::time::timeout(self.timeout, res.body().limit(ANSWER_LIMIT))
            .await
            .map_err(|_| anyhow::anyhow!("{step} at store {}: answer cut short", self.addr))?
            .map_err(|e| anyhow::anyhow!("{step} at store {}: answer: {e}", self.addr))?;
        serde_json::from_slice(&body).with_context(|| format!("{step} at store {}", self.addr))
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down.
    pub async fn get(&self, key: &str) -> anyhow::Result<Option<Kv>> {
        let step = format!("read {key}");
        let req = self.http.get(self.url("/v1/kv-key")).query(&KeyQuery { key })?;
        let res = self.send(&step, req, None, self.timeout).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let item: Item = self.read(&step, res).await?;
        kv(item).context(step).map(Some)
    }

    /// Writes the `put` keys and removes others, all or none of it, if `key`
    /// still has the revision `rev` (0: does not exist); says whether it had.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable, slow past the timeout or down;
    /// the writes may have taken effect all the same.
    pub async fn swap(
        &self,
        (key, rev): (&str, i64),
        put: &[(String, Vec<u8>)],
        remove: &[String],
    ) -> anyhow::Result<bool> {
        let step = format!("swap {key} at {rev}");
        let txn = Txn {
            expected_rev: vec![Expected { key, revision: rev }],
            writes: put.iter().map(|(key, value)| Write::new(key, value, 0)).collect(),
            remove: remove.iter().map(String::as_str).collect(),
        };
        let res = self.transact(&step, &txn).await?;
        if res.status() == StatusCode::PRECONDITION_FAILED {
            return Ok(false);
        }
        self.read::<Revision>(&step, res).await.map(|_| true)
    }

    async fn transact(&self, step: &str, txn: &Txn<'_>) -> anyhow::Result<ClientResponse> {
        let req = self.http.post(self.url("/v1/kv-txn"));
        self.send(step, req, Some(serde_json::to_vec(txn)?), self.timeout).await
    }

    async fn change(&self, step: &str, txn: &Txn<'_>) -> anyhow::Result<()> {
        let res = self.transact(step, txn).await?;
        // Read to its end: a connection whose answer was left unread breaks
        // under the next call.
        self.read::<Revision>(step, res).await.map(|_| ())
    }
}

impl WatchStore for Client {
    async fn list(&self, prefix: &str) -> anyhow::Result<(i64, Vec<Kv>)> {
        let step = format!("list {prefix}");
        let mut kvs: Vec<Kv> = Vec::new();
        let mut first = None;
        let mut after = String::new();
        loop {
            let req = self.http.get(self.url("/v1/kv-range"));
            let req = req.query(&RangeQuery { prefix, after: &after })?;
            let res = self.send(&step, req, None, self.timeout).await?;
            let page: Page = self.read(&step, res).await?;
            // Pages are no snapshot: watching from the first page's revision
            // repeats what changed while the others were read.
            let rev = *first.get_or_insert(page.as_of);
            let last = page.items.last().map(|i| i.key.clone());
            kvs.extend(page.items.into_iter().filter_map(readable));
            match last {
                Some(key) if page.truncated => after = key,
                _ => return Ok((rev, kvs)),
            }
        }
    }

    async fn watch(&self, prefix: &str, after: i64, wait: bool) -> anyhow::Result<WatchBatch> {
        let step = format!("watch {prefix} after {after}");
        let wait = if wait { self.wait } else { Duration::ZERO };
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let req = self.http.get(self.url("/v1/kv-watch"));
        let req = req.query(&WatchQuery { prefix, after, wait_ms })?;
        let res = self
            .send(&step, req, None, if wait.is_zero() { self.timeout } else { wait + WATCH_SLACK })
            .await?;
        if res.status() == StatusCode::GONE {
            return Ok(WatchBatch { rev: after, compacted: true, changes: Vec::new() });
        }
        let events: Events = self.read(&step, res).await?;
        let mut changes = Vec::with_capacity(events.events.len());
        for e in events.events {
            if e.tombstone {
                changes.push(Change::Delete { key: e.key.into(), rev: e.revision });
            } else {
                changes.extend(readable(e).map(Change::Put));
            }
        }
        Ok(WatchBatch { rev: events.as_of, compacted: false, changes })
    }
}

impl LeaseStore for Client {
    async fn grant(&self, ttl: Duration) -> anyhow::Result<i64> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let req = self.http.post(self.url("/v1/kv-lease"));
        let body = serde_json::to_vec(&Ttl { ttl_ms })?;
        let res = self.send("lease", req, Some(body), self.timeout).await?;
        let granted: Granted = self.read("lease", res).await?;
        Ok(granted.lease)
    }

    async fn keepalive(&self, lease: i64) -> anyhow::Result<bool> {
        let step = format!("keepalive of lease {lease}");
        let req = self.http.post(self.url(&format!("/v1/kv-keep/{lease}")));
        let res = self.send(&step, req, None, self.timeout).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        self.read::<Ttl>(&step, res).await.map(|_| true)
    }

    async fn put(&self, key: &str, value: &[u8], lease: i64) -> anyhow::Result<()> {
        let txn = Txn { writes: vec![Write::new(key, value, lease)], ..Txn::default() };
        self.change(&format!("put {key}"), &txn).await
    }

    async fn exists(&self, key: &str) -> anyhow::Result<bool> {
        Ok(self.get(key).await?.is_some())
    }

    async fn delete(&self, key: &str) -> anyhow::Result<()> {
        let txn = Txn { remove: vec![key], ..Txn::default() };
        self.change(&format!("delete {key}"), &txn).await
    }
}

fn kv(item: Item) -> anyhow::Result<Kv> {
    let value = B64.decode(&item.value).with_context(|| format!("value of {}", item.key))?;
    Ok(Kv { key: item.key.into(), value, rev: item.revision, lease: item.lease })
}

/// An item of a list, unless its value cannot be read: one such item must not
/// hide the others.
fn readable(item: Item) -> Option<Kv> {
    kv(item)
        .inspect_err(|e| {
            metrics::dropped("item_unreadable");
            log::error!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "item left out");
        })
        .ok()
}
