//! Splits a configuration into parts by a hash of each route's address, so that
//! changing one route changes one part.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::request::RequestNeeds;
use crate::steering::{EvacuationList, Route, Routes};

/// Number of parts of a configuration. The parts, their index and the condition
/// must fit the store's limit of 32 entries per transaction. More parts mean
/// fewer bytes per change; at 2,200 routes a part has 92 of them, 6 KB.
pub const PART_COUNT: usize = 24;

/// Index of the parts in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Version of the configuration that the parts hold.
    pub version: u64,
    /// Flow idle timeout, in milliseconds.
    pub idle_ms: u64,
    /// Checksum of each part's value, in order.
    #[serde(rename = "sums")]
    pub checksums: Vec<u64>,
    /// Requests that a cold target bears in 1,000 s, by service.
    #[serde(default)]
    pub cold_rates: BTreeMap<Arc<str>, u32>,
    /// Evacuated data centres, as the relay knows them; `None` if it does not follow
    /// evacuations.
    #[serde(default)]
    pub evacuations: Option<EvacuationList>,
}

/// Routes of one part with their virtual addresses, sorted by address.
pub type Part = Vec<(SocketAddrV4, Route)>;

/// Returns the checksum of a part's value.
#[must_use]
pub fn checksum(value: &[u8]) -> u64 {
    xxh3_64(value)
}

/// Splits a configuration into its index and the encoded parts.
///
/// # Errors
///
/// Fails when a part cannot be encoded.
pub fn split(routes: &Routes) -> postcard::Result<(Index, Vec<Vec<u8>>)> {
    let mut parts: Vec<Part> = vec![Part::new(); PART_COUNT];
    for (addr, route) in &routes.by_address {
        parts[part_number(*addr)].push((*addr, route.clone()));
    }
    let mut values = Vec::with_capacity(PART_COUNT);
    for mut part in parts {
        part.sort_unstable_by_key(|(addr, _)| *addr);
        values.push(encode(&part)?);
    }
    let idle_ms = u64::try_from(routes.idle_timeout.as_millis()).unwrap_or(u64::MAX);
    let checksums = values.iter().map(|v| checksum(v)).collect();
    let index = Index {
        version: routes.version,
        idle_ms,
        checksums,
        cold_rates: routes.cold_rates.clone(),
        evacuations: None,
    };
    Ok((index, values))
}

/// Encodes a part: its routes, followed by what callers need of each. Earlier versions read
/// the routes and ignore what follows.
fn encode(part: &Part) -> postcard::Result<Vec<u8>> {
    let needs: Vec<_> = part.iter().map(|(_, route)| route.needs).collect();
    let mut value = postcard::to_stdvec(part)?;
    if needs.iter().any(Option::is_some) {
        value = postcard::to_extend(&needs, value)?;
    }
    Ok(value)
}

/// Decodes a part, also one of an earlier version, whose routes state no needs.
///
/// # Errors
///
/// Fails when `value` is not an encoded part.
pub fn decode(value: &[u8]) -> postcard::Result<Part> {
    let (mut part, rest): (Part, _) = postcard::take_from_bytes(value)?;
    if !rest.is_empty() {
        let needs: Vec<Option<RequestNeeds>> = postcard::from_bytes(rest)?;
        for ((_, route), needs) in part.iter_mut().zip(needs) {
            route.needs = needs;
        }
    }
    Ok(part)
}

/// Joins the parts of one configuration.
#[must_use]
pub fn join<'a>(index: &Index, parts: impl IntoIterator<Item = &'a Part>) -> Routes {
    let routes: HashMap<_, _> = parts.into_iter().flatten().cloned().collect();
    Routes {
        version: index.version,
        by_address: routes,
        idle_timeout: Duration::from_millis(index.idle_ms),
        cold_rates: index.cold_rates.clone(),
    }
}

/// Number of the part that holds the route of `addr`.
#[must_use]
pub fn part_number(addr: SocketAddrV4) -> usize {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&addr.ip().octets());
    bytes[4..].copy_from_slice(&addr.port().to_be_bytes());
    // Below PART_COUNT, so the cast is lossless.
    (xxh3_64(&bytes) % PART_COUNT as u64) as usize
}
