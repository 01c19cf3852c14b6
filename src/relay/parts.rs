//! A configuration cut into parts by a hash of the routes' addresses, so that
//! a change of one route changes one part.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::steer::{Route, Routes};

/// Parts of a configuration. All of them, their index and one condition fit
/// the 32 entries that the store takes in one transaction; at 2,200 routes a
/// part has 92 of them, 6 KB.
pub const PART_COUNT: usize = 24;

/// What the parts in the store add up to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Version of the configuration.
    pub version: u64,
    /// A flow without packets for this long, in milliseconds, may be forgotten.
    pub idle_ms: u64,
    /// Checksum of each part's value.
    #[serde(rename = "sums")]
    pub checksums: Vec<u64>,
}

/// One part: routes by the address that callers call, in order.
pub type Part = Vec<(SocketAddrV4, Route)>;

/// The checksum of a part's value.
#[must_use]
pub fn checksum(value: &[u8]) -> u64 {
    xxh3_64(value)
}

/// Cuts a configuration into its index and the values of its parts.
///
/// # Errors
///
/// Fails when a part cannot be encoded.
pub fn split(routes: &Routes) -> postcard::Result<(Index, Vec<Vec<u8>>)> {
    let mut parts: Vec<Part> = vec![Part::new(); PART_COUNT];
    for (addr, route) in &routes.routes {
        parts[place(*addr)].push((*addr, route.clone()));
    }
    let mut values = Vec::with_capacity(PART_COUNT);
    for mut part in parts {
        part.sort_unstable_by_key(|(addr, _)| *addr);
        values.push(postcard::to_stdvec(&part)?);
    }
    let idle_ms = u64::try_from(routes.idle.as_millis()).unwrap_or(u64::MAX);
    let sums = values.iter().map(|v| checksum(v)).collect();
    Ok((Index { version: routes.version, idle_ms, checksums: sums }, values))
}

/// Reads a part's value.
///
/// # Errors
///
/// Fails when the bytes are no part.
pub fn decode(value: &[u8]) -> postcard::Result<Part> {
    postcard::from_bytes(value)
}

/// Puts the parts of one configuration together again.
#[must_use]
pub fn join<'a>(index: &Index, parts: impl IntoIterator<Item = &'a Part>) -> Routes {
    let routes: HashMap<_, _> = parts.into_iter().flatten().cloned().collect();
    Routes { version: index.version, routes, idle: Duration::from_millis(index.idle_ms) }
}

fn place(addr: SocketAddrV4) -> usize {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&addr.ip().octets());
    bytes[4..].copy_from_slice(&addr.port().to_be_bytes());
    // Below PARTS, so the cast keeps the value.
    (xxh3_64(&bytes) % PART_COUNT as u64) as usize
}
