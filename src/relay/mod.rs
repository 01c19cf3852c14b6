//! Publishes a large configuration in parts, to save bandwidth: one balancer per
//! data centre, the relay, watches the whole value in the store, and the others
//! watch only the parts. A relay holds a key under a short lease. Writes are
//! conditional on the revision of the index, so several relays may run at once.
//! [`distributor`] decides who watches the store for the others.
//! Only decisions are made here; [`crate::edge`] does the I/O.

pub mod distributor;
pub mod parts;

use std::net::Ipv4Addr;
use std::sync::Arc;

use anyhow::Context;

pub use parts::{Index, PART_COUNT, Part};

use crate::steering::{EvacuationList, Routes};
use crate::store::{Kv, Snapshot};

/// Prefix of the keys that jujubepost writes itself. Watching it is enough while
/// a relay publishes the configuration.
pub const SYSTEM_PREFIX: &str = "jujubepost/";

/// Key of the index of the parts.
pub const INDEX_KEY: &str = "jujubepost/config/index";

/// Prefix of the keys of the parts.
const PART_PREFIX: &str = "jujubepost/config/part-";

/// Prefix of the keys that relays hold.
const RELAY_PREFIX: &str = "jujubepost/relays/";

/// Key of part `n`.
#[must_use]
pub fn part_key(n: usize) -> String {
    format!("{PART_PREFIX}{n:02}")
}

/// Keys to write and to delete atomically, provided that the index is still at
/// revision `index_rev`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Expected revision of the index; 0 if it must not exist.
    pub index_rev: i64,
    /// Keys to write, with their values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Decides whether one balancer is a relay, what it watches and what it publishes.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Key of the operators' configuration.
    config_key: &'static str,
    /// Prefix of the keys of the data centre's relays.
    zone_prefix: String,
    /// Key that this balancer holds while it is a relay.
    key: Arc<str>,
    /// Least size of a configuration that is published in parts, in bytes.
    min_bytes: usize,
}

impl Relay {
    /// Creates the state of the balancer at `ip` in `zone`. The configuration
    /// under `config_key` is published in parts from `min_bytes` on.
    #[must_use]
    pub fn new(config_key: &'static str, zone: &str, ip: Ipv4Addr, min_bytes: usize) -> Self {
        let zone_prefix = format!("{RELAY_PREFIX}{zone}/");
        // Fixed-width hexadecimal, so that keys sort by address.
        let key = format!("{zone_prefix}{:08x}", u32::from(ip)).into();
        Self { config_key, zone_prefix, key, min_bytes }
    }

    /// Key that this balancer holds while it is a relay.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    fn is_large(&self, snapshot: &Snapshot) -> bool {
        snapshot.keys.get(self.config_key).is_some_and(|kv| kv.value.len() >= self.min_bytes)
    }

    /// Whether this balancer should be the relay of its data centre: no relay
    /// has a key there, or this one has the first key.
    #[must_use]
    pub fn should_relay(&self, snapshot: &Snapshot) -> bool {
        let first = entries_with_prefix(snapshot, &self.zone_prefix).next();
        self.is_large(snapshot) && first.is_none_or(|kv| kv.key == self.key)
    }

    /// Whether the store has the key of this balancer.
    #[must_use]
    pub fn has_key(&self, snapshot: &Snapshot) -> bool {
        snapshot.keys.contains_key(&self.key)
    }

    /// Returns a prefix that is enough to watch, or `None` if all keys must be
    /// watched. The prefix is enough while another balancer of this data centre
    /// is the relay, the parts are not older than `version`, the one in force here,
    /// and the index lists the data centres of `evacuations`.
    #[must_use]
    pub fn narrow_prefix(
        &self,
        snapshot: &Snapshot,
        version: Option<u64>,
        evacuations: &EvacuationList,
    ) -> Option<&'static str> {
        if !self.is_large(snapshot) || self.should_relay(snapshot) || self.has_key(snapshot) {
            return None;
        }
        let (index, _) = read_index(snapshot)?;
        let same_zones = index.evacuations.is_some_and(|e| e.zones == evacuations.zones);
        (version <= Some(index.version) && same_zones).then_some(SYSTEM_PREFIX)
    }

    /// Returns the transaction that publishes `routes` and `evacuations`, which are in
    /// force here, or deletes the parts if the configuration has become small. Returns
    /// `None` if the store is up to date, another balancer is the relay or the operators'
    /// configuration has not been read yet. All parts are written again if those in the store
    /// do not match their index, as after a late transaction on a restored store.
    ///
    /// # Errors
    ///
    /// Fails when a part or the index cannot be encoded.
    pub fn pending_transaction(
        &self,
        snapshot: &Snapshot,
        routes: &Routes,
        evacuations: &EvacuationList,
    ) -> anyhow::Result<Option<Transaction>> {
        if !snapshot.keys.contains_key(self.config_key) {
            return Ok(None);
        }
        // An index that cannot be decoded is replaced.
        let rev = snapshot.keys.get(INDEX_KEY).map_or(0, |kv| kv.rev);
        if !self.is_large(snapshot) {
            let delete_all =
                Transaction { index_rev: rev, puts: Vec::new(), deletes: published_keys() };
            return Ok((rev > 0).then_some(delete_all));
        }
        let old = read_index(snapshot).map(|(index, _)| index).unwrap_or_default();
        let same_zones = old.evacuations.as_ref().is_some_and(|e| e.zones == evacuations.zones);
        if !self.should_relay(snapshot) || old.version > routes.version {
            return Ok(None);
        }
        let consistent = consistent_parts(snapshot, &old).is_some();
        if old.version == routes.version && same_zones && consistent {
            return Ok(None);
        }
        let same_parts = consistent && old.version == routes.version && !old.checksums.is_empty();
        let (mut next, values) = if same_parts {
            (old.clone(), Vec::new())
        } else {
            parts::split(routes).context("splitting the configuration into parts")?
        };
        next.evacuations = Some(evacuations.clone());
        let mut puts: Vec<(String, Vec<u8>)> = values
            .into_iter()
            .enumerate()
            .filter(|(n, _)| !consistent || old.checksums.get(*n) != next.checksums.get(*n))
            .map(|(n, value)| (part_key(n), value))
            .collect();
        puts.push((INDEX_KEY.to_string(), serde_json::to_vec(&next)?));
        Ok(Some(Transaction { index_rev: rev, puts, deletes: Vec::new() }))
    }
}

/// Returns the index of the parts with its revision, or `None` if it is missing
/// or cannot be decoded.
#[must_use]
pub fn read_index(snapshot: &Snapshot) -> Option<(Index, i64)> {
    let kv = snapshot.keys.get(INDEX_KEY)?;
    let decoded = serde_json::from_slice(&kv.value).inspect_err(|e| {
        crate::metrics::count_drop("index_unreadable");
        log::error!(
            event = crate::events::EDGE_CONFIG, key = INDEX_KEY, error:% = e;
            "index of configuration parts cannot be decoded; ignored"
        );
    });
    decoded.ok().map(|index| (index, kv.rev))
}

/// Returns the parts in order if their checksums match `index`. A listing is read
/// in pages, so it may mix parts of two versions.
#[must_use]
pub fn consistent_parts<'a>(snapshot: &'a Snapshot, index: &Index) -> Option<Vec<&'a Kv>> {
    let part = |(n, sum): (usize, &u64)| {
        let kv = snapshot.keys.get(part_key(n).as_str())?;
        (parts::checksum(&kv.value) == *sum).then_some(kv)
    };
    index.checksums.iter().enumerate().map(part).collect()
}

fn entries_with_prefix<'a>(
    snapshot: &'a Snapshot,
    prefix: &'a str,
) -> impl Iterator<Item = &'a Kv> {
    let from = (std::ops::Bound::Included(prefix), std::ops::Bound::Unbounded);
    snapshot
        .keys
        .range::<str, _>(from)
        .take_while(move |(k, _)| k.starts_with(prefix))
        .map(|(_, v)| v)
}

fn published_keys() -> Vec<String> {
    (0..PART_COUNT).map(part_key).chain([INDEX_KEY.to_string()]).collect()
}
