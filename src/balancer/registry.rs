//! Registered targets of all services, with those whose registration is missing.
//!
//! A registration that disappears alone means a failed target, which gets no
//! new flows. When most of a service's registrations disappear together, the
//! cause is taken to be the store (leases expired during an outage), and the
//! targets stay in use for a hold time, which a store failure restarts. Owners
//! of established flows are remembered longer, as their agents may be alive.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Target;
use crate::settings::Service;

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    missing_since: Option<Instant>,
    /// Whether most of its service went missing within the same hold time.
    missing_together: bool,
}

/// The targets as last registered, including missing ones.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<Arc<str>, Entry>,
    hold: Duration,
    owner_retention: Duration,
}

impl TargetRegistry {
    /// An empty registry. Targets that go missing together stay in use for
    /// `hold`; the owners of established flows are remembered for
    /// `owner_retention` after their registration is missing.
    #[must_use]
    pub const fn new(hold: Duration, owner_retention: Duration) -> Self {
        Self { entries: BTreeMap::new(), hold, owner_retention }
    }

    /// Applies a complete list of the current registrations.
    pub fn update(&mut self, registered: Vec<Target>, now: Instant) {
        for e in self.entries.values_mut() {
            e.missing_since = e.missing_since.or(Some(now));
        }
        for target in registered {
            let entry = Entry { target, missing_since: None, missing_together: false };
            self.entries.insert(entry.target.name.clone(), entry);
        }
        self.mark_missing_together(now);
        let retention = self.owner_retention.max(self.hold);
        self.entries
            .retain(|_, e| e.missing_since.is_none_or(|at| now.duration_since(at) < retention));
    }

    /// Restarts the hold of targets that went missing together, after a store failure
    /// at `now` during which agents could not renew their leases.
    pub fn restart_hold(&mut self, now: Instant) {
        for e in self.entries.values_mut().filter(|e| e.missing_together) {
            e.missing_since = e.missing_since.map(|_| now);
        }
    }

    /// Targets of `service` that may get new flows; does not consider drains
    /// ordered by operators.
    pub fn serving(&self, service: Service, now: Instant) -> impl Iterator<Item = &Target> {
        let in_use = move |e: &&Entry| {
            e.missing_since.is_none_or(|at| e.missing_together && self.is_within_hold(at, now))
        };
        self.entries_of(service).filter(in_use).map(|e| &e.target).filter(|t| !t.stopping)
    }

    /// Targets of `service` whose agents may own established flows.
    pub fn owners(&self, service: Service) -> impl Iterator<Item = &Target> {
        self.entries_of(service)
            .filter(|e| e.missing_since.is_none() || !self.is_registered(e.target.agent))
            .map(|e| &e.target)
    }

    /// Whether the hold of any target expired between `from` and `to`, both
    /// included.
    #[must_use]
    pub fn hold_expired(&self, from: Instant, to: Instant) -> bool {
        let expired = |at: Instant| (from..=to).contains(&(at + self.hold));
        self.entries.values().filter_map(|e| e.missing_since).any(expired)
    }

    fn entries_of(&self, service: Service) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |e| e.target.service == service)
    }

    fn is_within_hold(&self, missing_since: Instant, now: Instant) -> bool {
        now.duration_since(missing_since) < self.hold
    }

    /// Marks recently missing targets of each service that has more of them
    /// than registered ones.
    fn mark_missing_together(&mut self, now: Instant) {
        // Missing minus registered targets.
        let mut excess: HashMap<Service, i64> = HashMap::new();
        let hold = self.hold;
        let counted = |e: &&Entry| e.missing_since.is_none() || is_recently_missing(e, hold, now);
        for e in self.entries.values().filter(counted) {
            let delta = if e.missing_since.is_some() { 1 } else { -1 };
            *excess.entry(e.target.service).or_default() += delta;
        }
        for e in self.entries.values_mut() {
            let most_missing = excess.get(&e.target.service).is_some_and(|n| *n > 0);
            e.missing_together |= most_missing && is_recently_missing(e, hold, now);
        }
    }

    fn is_registered(&self, agent: std::net::SocketAddr) -> bool {
        self.entries.values().any(|e| e.missing_since.is_none() && e.target.agent == agent)
    }
}

/// Whether a target went missing less than `hold` ago, other than by a planned
/// stop.
fn is_recently_missing(entry: &Entry, hold: Duration, now: Instant) -> bool {
    !entry.target.stopping && entry.missing_since.is_some_and(|at| now.duration_since(at) < hold)
}
