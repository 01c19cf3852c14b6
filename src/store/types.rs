//! JSON messages of the key-value service, after etcd v3's HTTP/JSON gateway.
//!
//! Keys and values are base64. 64-bit integers are written as strings, as in
//! protobuf's JSON mapping, and read from strings or numbers.

use serde::{Deserialize, Serialize};

/// A 64-bit integer written as a string and read from a string or a number.
pub mod int64 {
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes the integer as a string.
    ///
    /// # Errors
    ///
    /// Fails only if the serializer does.
    pub fn serialize<S: Serializer>(v: &i64, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&v.to_string())
    }

    /// Reads a string or a number.
    ///
    /// # Errors
    ///
    /// Fails when the value is neither, or the string is not a number.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<i64, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
        }
        match Either::deserialize(d)? {
            Either::Text(t) => t.parse().map_err(serde::de::Error::custom),
            Either::Number(n) => Ok(n),
        }
    }
}

/// Header of every response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision when it responded.
    #[serde(default, with = "int64")]
    pub revision: i64,
    /// How often the store was restored from a backup.
    #[serde(default)]
    pub era: u32,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key, base64.
    pub key: String,
    /// Value, base64.
    #[serde(default)]
    pub value: String,
    /// Revision at which the key was created.
    #[serde(default, with = "int64")]
    pub create_revision: i64,
    /// Revision of the last change.
    #[serde(default, with = "int64")]
    pub mod_revision: i64,
    /// Lease the key is attached to, or 0.
    #[serde(default, with = "int64")]
    pub lease: i64,
}

/// `/v3/kv/range` request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeRequest {
    /// First key, base64.
    pub key: String,
    /// One past the last key, base64; empty for a single key.
    #[serde(default)]
    pub range_end: String,
}

/// `/v3/kv/range` response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Revision of the store.
    #[serde(default)]
    pub header: Header,
    /// Keys found.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// `/v3/kv/put` request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PutRequest {
    /// Key, base64.
    pub key: String,
    /// Value, base64.
    pub value: String,
    /// Lease to attach, or 0.
    #[serde(default, with = "int64")]
    pub lease: i64,
}

/// Response of a put or a delete.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeaderResponse {
    /// Revision of the store.
    #[serde(default)]
    pub header: Header,
}

/// `/v3/kv/deleterange` request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// Key, base64.
    pub key: String,
}

/// One comparison of a transaction: `mod_revision(key) == mod_revision`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Compare {
    /// Key, base64.
    pub key: String,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// Expected revision; 0 means the key must not exist.
    #[serde(default, with = "int64")]
    pub mod_revision: i64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestOp {
    /// A put.
    pub request_put: PutRequest,
}

/// `/v3/kv/txn` request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to run if they do.
    pub success: Vec<RequestOp>,
}

/// `/v3/kv/txn` response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Revision of the store.
    #[serde(default)]
    pub header: Header,
    /// Whether the comparisons held.
    #[serde(default)]
    pub succeeded: bool,
}

/// `/v3/lease/grant` request and response, and `/v3/lease/keepalive` request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Lease {
    /// Header of the response.
    #[serde(default)]
    pub header: Header,
    /// Lease identifier.
    #[serde(rename = "ID", default, with = "int64")]
    pub id: i64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL", default, with = "int64")]
    pub ttl: i64,
}

/// `/v3/lease/keepalive` response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeepAliveResponse {
    /// Header of the response.
    #[serde(default)]
    pub header: Header,
    /// The lease; a TTL of 0 or less means it has expired.
    #[serde(default)]
    pub result: Lease,
}

/// `/v3/watch` request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Keys and first revision to watch.
    pub create_request: WatchCreate,
}

/// Keys and first revision of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchCreate {
    /// First key, base64.
    pub key: String,
    /// One past the last key, base64.
    #[serde(default)]
    pub range_end: String,
    /// First revision to report.
    #[serde(default, with = "int64")]
    pub start_revision: i64,
}

/// `/v3/watch` response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The events.
    #[serde(default)]
    pub result: WatchResult,
}

/// Events of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResult {
    /// Revision of the store.
    #[serde(default)]
    pub header: Header,
    /// Above 0 when `start_revision` is older than the kept history.
    #[serde(default, with = "int64")]
    pub compact_revision: i64,
    /// Changes, oldest first.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A change of one key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Event {
    /// `PUT` (the default, omitted by etcd) or `DELETE`.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The key after the change; value and lease are empty for a delete.
    pub kv: KeyValue,
}
