//! Bounds which agents may own a flow, so that what a search costs does not follow the size of the
//! service.
//!
//! A flow of a large service is offered only to the agents that rank highest for it by rendezvous
//! hashing. An agent that owns it was therefore among these by the list of the balancer that
//! offered it. That list held every agent which had registered before the owner did and has been
//! registered ever since. So the owner still ranks as high among those, whatever agents came
//! later and whatever the searching balancer knows of earlier times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;

use super::{Agent, Roster};
use crate::flow::Flow;

/// Agents up to which a service is small. Each of them may own any flow.
pub const SMALL_SERVICE: usize = 64;

/// Agents of a large service that a flow may be offered to: the highest-ranking ones. With fewer, a
/// loss of most agents leaves some flows without one that accepts them.
pub const OFFER_RANKS: usize = 16;

impl Agent {
    /// Revision from which on it has been registered without interruption; `None` if unknown.
    fn registered_at(&self) -> Option<i64> {
        Some(self.registered).filter(|rev| *rev > 0 && self.unlisted_since.is_none())
    }

    /// Revision before which its target opened none of the flows that it holds.
    fn owns_since(&self) -> i64 {
        if self.bounded {
            self.since.map_or(self.registered, |rev| rev.min(self.registered))
        } else {
            0
        }
    }
}

impl Roster {
    /// Whether flows of `service` are offered to the highest-ranking agents only.
    #[must_use]
    pub fn bounds_owners(&self, service: &str) -> bool {
        self.owners_bounded && self.services.get(service).is_some_and(|a| a.len() > SMALL_SERVICE)
    }

    /// The agents of `service` that `flow` may be offered to.
    #[must_use]
    pub fn offer_candidates(&self, service: &str, flow: Flow) -> Vec<SocketAddrV4> {
        let mut agents: Vec<_> = self.agents_of(service).collect();
        if self.bounds_owners(service) {
            let weight = |a: &SocketAddrV4| Reverse(flow.rendezvous_weight(*a));
            agents.select_nth_unstable_by_key(OFFER_RANKS, weight);
            agents.truncate(OFFER_RANKS);
        }
        agents
    }

    /// The agents of `service` that may own `flow`.
    #[must_use]
    pub fn possible_owners(&self, service: &str, flow: Flow) -> Vec<SocketAddrV4> {
        let all: Vec<_> = self.agents_of(service).collect();
        if !self.bounds_owners(service) {
            return all;
        }
        let known = |addr: &SocketAddrV4| self.agents.get(addr).map(|a| (a, *addr));
        let mut by_registration: Vec<_> = all
            .iter()
            .filter_map(known)
            .filter_map(|(a, addr)| a.registered_at().map(|rev| (rev, addr)))
            .collect();
        by_registration.sort_unstable();
        let mut by_ownership: Vec<_> =
            all.iter().filter_map(known).map(|(a, addr)| (a.owns_since(), addr)).collect();
        by_ownership.sort_unstable();
        let mut owners = Vec::new();
        let mut earlier = by_registration.into_iter().peekable();
        let mut earlier_count = 0;
        // Weights of the highest-ranking of the agents registered earlier, the lowest on top.
        let mut highest = BinaryHeap::with_capacity(OFFER_RANKS + 1);
        for (since, addr) in by_ownership {
            while let Some((_, other)) = earlier.next_if(|(rev, _)| *rev <= since) {
                earlier_count += 1;
                highest.push(Reverse(flow.rendezvous_weight(other)));
                if highest.len() > OFFER_RANKS {
                    highest.pop();
                }
            }
            let lowest = highest.peek().filter(|_| highest.len() == OFFER_RANKS);
            let ranks_high = lowest.is_none_or(|Reverse(w)| flow.rendezvous_weight(addr) >= *w);
            if ranks_high || earlier_count <= SMALL_SERVICE {
                owners.push(addr);
            }
        }
        owners
    }
}
