//! A large configuration handed on in parts.
//!
//! The store holds the operators' configuration as one value and sends it in
//! full at each change. At 2,200 routes that is 557 KiB (743 KiB on the wire),
//! and at 15,000 changes a day 126 KB a second for each balancer, of 22 that
//! control may take. So one balancer a data centre, the relay, follows it in
//! full and writes it to the store again in parts, of which a change touches
//! few; all others follow only the parts: 4.4 KiB a change, below 1 KB a second
//! (`--example fleet`).
//!
//! A relay holds a key under a short lease. Whoever sees no relay of its data
//! centre stands for it; whoever sees none at all, or no parts, follows the
//! configuration in full. Any number of relays may run at once: they write the
//! same, under a condition on the index, and only the first write counts.
//!
//! No sockets and no clocks here: these are the decisions on a copy of the
//! store's keys; [`crate::edge`] carries them out.

pub mod parts;

use std::net::Ipv4Addr;
use std::sync::Arc;

use anyhow::Context;
pub use parts::{Index, PART_COUNT, Part};

use crate::steer::Routes;
use crate::store::{Kv, Snapshot};

/// Prefix of what the system writes itself: enough to follow while a relay
/// hands the configuration on.
pub const SYSTEM_PREFIX: &str = "jujubepost/";

/// Key of the parts' index.
pub const INDEX_KEY: &str = "jujubepost/config/index";

/// Prefix of the parts' keys.
const PART: &str = "jujubepost/config/part-";

/// Prefix of the relays' keys.
const RELAYS: &str = "jujubepost/relays/";

/// Key of part `n`.
#[must_use]
pub fn part_key(n: usize) -> String {
    format!("{PART}{n:02}")
}

/// Keys to write and to remove at once, if the index still has the revision
/// `index` (0: is not there).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The index's revision as last seen.
    pub index_rev: i64,
    /// Keys with their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys that go.
    pub deletes: Vec<String>,
}

/// One balancer's part in handing the configuration on.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Key of the operators' configuration.
    config: &'static str,
    /// Prefix of the keys of its data centre's relays.
    zone: String,
    /// Its own key, if it is a relay.
    key: Arc<str>,
    /// From how many bytes on a configuration is handed on in parts.
    large: usize,
}

impl Relay {
    /// The balancer at `ip` in `zone`; a configuration under the key `config`
    /// is handed on from `large` bytes on.
    #[must_use]
    pub fn new(config: &'static str, zone: &str, ip: Ipv4Addr, large: usize) -> Self {
        let zone = format!("{RELAYS}{zone}/");
        // Addresses in hexadecimal, so that keys are in the addresses' order.
        let key = format!("{zone}{:08x}", u32::from(ip)).into();
        Self { config, zone, key, large }
    }

    /// Its own key, if it is a relay.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Whether the configuration is large enough to be handed on in parts.
    fn large(&self, copy: &Snapshot) -> bool {
        copy.keys.get(self.config).is_some_and(|kv| kv.value.len() >= self.large)
    }

    /// Whether this balancer should be its data centre's relay: none is listed,
    /// or it is the first that is.
    #[must_use]
    pub fn should_relay(&self, copy: &Snapshot) -> bool {
        let first = under(copy, &self.zone).next();
        self.large(copy) && first.is_none_or(|kv| kv.key == self.key)
    }

    /// Whether its own key is listed.
    #[must_use]
    pub fn has_key(&self, copy: &Snapshot) -> bool {
        copy.keys.contains_key(&self.key)
    }

    /// The prefix that is enough to follow, if not everything must be: a relay
    /// of this data centre is listed, is another balancer, and the parts are no
    /// older than the configuration `version` in force here.
    #[must_use]
    pub fn narrow_prefix(&self, copy: &Snapshot, version: Option<u64>) -> Option<&'static str> {
        if !self.large(copy) || self.should_relay(copy) || self.has_key(copy) {
            return None;
        }
        let handed = read_index(copy)?.0.version;
        (version <= Some(handed)).then_some(SYSTEM_PREFIX)
    }

    /// What a balancer that follows everything writes to hand on `routes`, the
    /// configuration in force; nothing where the store has that already.
    ///
    /// # Errors
    ///
    /// Fails when a part or the index cannot be encoded.
    pub fn pending_transaction(
        &self,
        copy: &Snapshot,
        routes: &Routes,
    ) -> anyhow::Result<Option<Transaction>> {
        let before = read_index(copy);
        if !self.large(copy) {
            let gone =
                |(_, rev)| Transaction { index_rev: rev, puts: Vec::new(), deletes: all_keys() };
            return Ok(before.map(gone));
        }
        if !self.should_relay(copy)
            || before.as_ref().is_some_and(|(i, _)| i.version >= routes.version)
        {
            return Ok(None);
        }
        let (next, values) = parts::split(routes).context("cutting the configuration")?;
        let (old, rev) = before.unwrap_or_default();
        let mut put: Vec<(String, Vec<u8>)> = values
            .into_iter()
            .enumerate()
            .filter(|(n, _)| old.checksums.get(*n) != next.checksums.get(*n))
            .map(|(n, value)| (part_key(n), value))
            .collect();
        put.push((INDEX_KEY.to_string(), serde_json::to_vec(&next)?));
        Ok(Some(Transaction { index_rev: rev, puts: put, deletes: Vec::new() }))
    }
}

/// The parts' index in a copy of the store's keys, with its revision.
#[must_use]
pub fn read_index(copy: &Snapshot) -> Option<(Index, i64)> {
    let kv = copy.keys.get(INDEX_KEY)?;
    let read = serde_json::from_slice(&kv.value).inspect_err(|e| {
        crate::metrics::dropped("index_unreadable");
        log::error!(event = crate::events::EDGE_CONFIG, key = INDEX_KEY, error:% = e; "index refused");
    });
    read.ok().map(|index| (index, kv.rev))
}

/// The values of all parts, in order, if they are those that `index` names:
/// pages of a listing are no snapshot, and may mix two versions.
#[must_use]
pub fn consistent_parts<'a>(copy: &'a Snapshot, index: &Index) -> Option<Vec<&'a Kv>> {
    let part = |(n, sum): (usize, &u64)| {
        let kv = copy.keys.get(part_key(n).as_str())?;
        (parts::checksum(&kv.value) == *sum).then_some(kv)
    };
    index.checksums.iter().enumerate().map(part).collect()
}

fn under<'a>(copy: &'a Snapshot, prefix: &'a str) -> impl Iterator<Item = &'a Kv> {
    let from = (std::ops::Bound::Included(prefix), std::ops::Bound::Unbounded);
    copy.keys.range::<str, _>(from).take_while(move |(k, _)| k.starts_with(prefix)).map(|(_, v)| v)
}

fn all_keys() -> Vec<String> {
    (0..PART_COUNT).map(part_key).chain([INDEX_KEY.to_string()]).collect()
}
