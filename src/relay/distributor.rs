//! Decides which balancers watch the store for the others of their region.
//!
//! A distributor holds a key under a lease; the others find it by that key. There is one, and
//! more only where it has as many subscribers as it serves.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;

use super::entries_with_prefix;
use crate::store::Snapshot;

/// Prefix of the keys that distributors hold.
const DISTRIBUTOR_PREFIX: &str = "jujubepost/distributors/";

/// Bandwidth from which a VM is preferred as a distributor, in Mbit/s.
const STRONG_LINK_MBPS: f64 = 100.0;

/// Time in which one of the preferred VMs becomes a distributor where there is none.
const STRONG_CAMPAIGN: Duration = Duration::from_secs(2);

/// Time after that in which one of the others does.
const WEAK_CAMPAIGN: Duration = Duration::from_secs(4);

/// Time for subscribers to find a new distributor. After it, one that nobody needs resigns.
const MIN_TERM: Duration = Duration::from_secs(5);

/// How a distributor's term goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// How long ago it began.
    pub age: Duration,
    /// Processes that poll this one.
    pub subscribers: usize,
}

/// Whether one balancer is, or should be, a distributor.
#[derive(Clone, Debug)]
pub struct Distributor {
    region_prefix: String,
    key: String,
    is_strong: bool,
}

/// Whether a VM with a link of `mbps` Mbit/s is preferred for handing on what it reads.
#[must_use]
pub fn is_strong_link(mbps: f64) -> bool {
    mbps >= STRONG_LINK_MBPS
}

impl Distributor {
    /// Creates the state of the balancer at `ip` in `region`, on a link of `link_mbps`.
    #[must_use]
    pub fn new(region: &str, ip: Ipv4Addr, link_mbps: f64) -> Self {
        let region_prefix = format!("{DISTRIBUTOR_PREFIX}{region}/");
        let is_strong = is_strong_link(link_mbps);
        // Keys sort by preference, then by address: fixed-width hexadecimal.
        let preference = if is_strong { 'a' } else { 'b' };
        let key = format!("{region_prefix}{preference}{:08x}", u32::from(ip));
        Self { region_prefix, key, is_strong }
    }

    /// Key that this balancer holds while it is a distributor.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Prefix of the keys that the region's distributors hold.
    #[must_use]
    pub fn region_prefix(&self) -> &str {
        &self.region_prefix
    }

    /// The other distributors of the region, the preferred one first.
    #[must_use]
    pub fn others(&self, snapshot: &Snapshot) -> Vec<Ipv4Addr> {
        self.other_keys(snapshot).filter_map(|key| self.decode_key(key)).collect()
    }

    /// Whether this balancer should become a distributor, and after which delay: there is
    /// none, every one is full, or the others prefer this one by a key that an earlier process
    /// left. The delay is random, so that few balancers start at once.
    #[must_use]
    pub fn should_start(
        &self,
        snapshot: &Snapshot,
        all_full: bool,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let mut listed = entries_with_prefix(snapshot, &self.region_prefix);
        match listed.next() {
            Some(first) if *first.key == self.key => Some(Duration::ZERO),
            Some(_) if !all_full => None,
            _ if self.is_strong => Some(STRONG_CAMPAIGN.mul_f64(rng.random())),
            _ => Some(STRONG_CAMPAIGN + WEAK_CAMPAIGN.mul_f64(rng.random())),
        }
    }

    /// Whether this balancer should cease to be a distributor: after some time nobody
    /// polls it, and another one is preferred.
    #[must_use]
    pub fn should_stop(&self, snapshot: &Snapshot, term: Term) -> bool {
        let other_preferred = self.other_keys(snapshot).any(|key| key < self.key.as_str());
        other_preferred && term.subscribers == 0 && term.age >= MIN_TERM
    }

    fn other_keys<'a>(&'a self, snapshot: &'a Snapshot) -> impl Iterator<Item = &'a str> {
        let entries = entries_with_prefix(snapshot, &self.region_prefix);
        entries.map(|kv| &*kv.key).filter(|key| *key != self.key)
    }

    fn decode_key(&self, key: &str) -> Option<Ipv4Addr> {
        let address = key.strip_prefix(&self.region_prefix)?.get(1..)?;
        u32::from_str_radix(address, 16).ok().map(Ipv4Addr::from)
    }
}
