//! The targets a balancer believes in, after judging what the announcements
//! in the store say.
//!
//! One announcement that disappears means a dead target: it leaves at once.
//! Most of a service's announcements disappearing together means that the
//! key-value service let their leases lapse (an outage, a pause): the balancer
//! then keeps using them until the service has answered for a whole hold time
//! without bringing them back. A target whose last announcement said that it
//! was leaving is never held.
//!
//! Owners of established flows are remembered longer: a lapsed lease must not
//! cut a flow whose agent is alive.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Target;
use crate::settings::Service;

/// One target and, when its announcement is missing, since when and whether
/// most of its service went with it.
#[derive(Clone, Debug)]
struct Seen {
    target: Target,
    gone: Option<Instant>,
    together: bool,
}

/// The targets as last announced, with those that went missing.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    seen: BTreeMap<Arc<str>, Seen>,
    hold: Duration,
    keep: Duration,
}

impl TargetRegistry {
    /// An empty roster that holds targets missing together for `hold`, and
    /// remembers the owners of established flows for `keep`.
    #[must_use]
    pub const fn new(hold: Duration, keep: Duration) -> Self {
        Self { seen: BTreeMap::new(), hold, keep }
    }

    /// Takes in the announcements as the store has them now.
    pub fn update(&mut self, announced: Vec<Target>, now: Instant) {
        for s in self.seen.values_mut() {
            s.gone = s.gone.or(Some(now));
        }
        for target in announced {
            self.seen.insert(target.name.clone(), Seen { target, gone: None, together: false });
        }
        self.mark_together(now);
        let keep = self.keep.max(self.hold);
        self.seen.retain(|_, s| s.gone.is_none_or(|at| now.duration_since(at) < keep));
    }

    /// The store failed at `now`: the hold of what lapsed together starts
    /// anew, since its holders could not renew. What died alone stays gone.
    pub fn restart_hold(&mut self, now: Instant) {
        for s in self.seen.values_mut().filter(|s| s.together) {
            s.gone = s.gone.map(|_| now);
        }
    }

    /// Targets of `service` that may get new flows, drains not considered.
    pub fn serving(&self, service: Service, now: Instant) -> impl Iterator<Item = &Target> {
        let used = move |s: &&Seen| s.gone.is_none_or(|at| s.together && self.fresh(at, now));
        self.of(service).filter(used).map(|s| &s.target).filter(|t| !t.stopping)
    }

    /// Targets of `service` whose agents may own established flows.
    pub fn owners(&self, service: Service) -> impl Iterator<Item = &Target> {
        self.of(service)
            .filter(|s| s.gone.is_none() || !self.reused(s.target.agent))
            .map(|s| &s.target)
    }

    /// Whether a hold ended after `from` and not after `to`.
    #[must_use]
    pub fn hold_expired(&self, from: Instant, to: Instant) -> bool {
        let ended = |at: Instant| (from..=to).contains(&(at + self.hold));
        self.seen.values().filter_map(|s| s.gone).any(ended)
    }

    fn of(&self, service: Service) -> impl Iterator<Item = &Seen> {
        self.seen.values().filter(move |s| s.target.service == service)
    }

    fn fresh(&self, at: Instant, now: Instant) -> bool {
        now.duration_since(at) < self.hold
    }

    /// Marks the targets of each service of which more went missing lately
    /// than are left.
    fn mark_together(&mut self, now: Instant) {
        let mut balance: HashMap<Service, i64> = HashMap::new();
        for s in self.seen.values().filter(|s| s.gone.is_none() || lately(s, self.hold, now)) {
            *balance.entry(s.target.service).or_default() += if s.gone.is_some() { 1 } else { -1 };
        }
        let hold = self.hold;
        for s in self.seen.values_mut() {
            let more = balance.get(&s.target.service).is_some_and(|n| *n > 0);
            s.together |= more && lately(s, hold, now);
        }
    }

    /// Whether another target now announces this agent address.
    fn reused(&self, agent: std::net::SocketAddr) -> bool {
        self.seen.values().any(|s| s.gone.is_none() && s.target.agent == agent)
    }
}

/// Whether a target went missing less than `hold` ago, without having said
/// that it was leaving.
fn lately(s: &Seen, hold: Duration, now: Instant) -> bool {
    !s.target.stopping && s.gone.is_some_and(|at| now.duration_since(at) < hold)
}
