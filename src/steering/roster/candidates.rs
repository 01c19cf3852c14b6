//! Which agents a flow is offered to, and which are its likeliest owners.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::Roster;
use crate::flow::Flow;

impl Roster {
    /// The two agents of `service` that `flow` is offered to, chosen by rendezvous
    /// hashing among those that accept flows: one in `zone` if possible, and one of all
    /// others. `first` replaces the first choice; agents in `except`, those of
    /// evacuated data centres and, in a large service, those that rank low are skipped.
    ///
    /// The two agents compare their current loads themselves, since the loads known
    /// here are too old for bursts. The choice is the same in every process, so that
    /// [`Roster::rank_by_likelihood`] finds the owner after restarts.
    #[must_use]
    pub fn choose_pair(
        &self,
        service: &str,
        zone: &str,
        flow: Flow,
        first: Option<SocketAddrV4>,
        except: &[SocketAddrV4],
        now: Instant,
    ) -> Option<(SocketAddrV4, Option<SocketAddrV4>)> {
        let remaining: Vec<SocketAddrV4> = self
            .offer_candidates(service, flow)
            .into_iter()
            .filter(|a| !except.contains(a) && self.may_be_offered(*a))
            .collect();
        let accepts =
            |a: &SocketAddrV4| self.agents[a].accepts_flows(self.suspicion.unable_ttl, now);
        let local = |a: &SocketAddrV4| &*self.agents[a].zone == zone;
        let first = first
            .filter(|a| self.may_be_offered(*a))
            .or_else(|| highest_weight(&remaining, flow, |a| accepts(a) && local(a)))
            .or_else(|| highest_weight(&remaining, flow, accepts))
            .or_else(|| highest_weight(&remaining, flow, |_| true))?;
        let other = |a: &SocketAddrV4| *a != first;
        // Never a silent agent: the first may pass the open on to it, which loses it.
        let second = highest_weight(&remaining, flow, |a| other(a) && accepts(a))
            .or_else(|| highest_weight(&remaining, flow, |a| other(a) && self.is_responsive(*a)));
        Some((first, second))
    }

    /// `agents` ordered by how likely they were offered `flow` when it opened, following
    /// the order of [`Roster::choose_pair`].
    #[must_use]
    pub fn rank_by_likelihood(
        &self,
        agents: &[SocketAddrV4],
        zone: &str,
        flow: Flow,
    ) -> Vec<SocketAddrV4> {
        let local = |a: &SocketAddrV4| self.agents.get(a).is_some_and(|x| &*x.zone == zone);
        let first = highest_weight(agents, flow, local);
        let mut order = agents.to_vec();
        order.sort_by_key(|a| (Some(*a) != first, std::cmp::Reverse(flow.rendezvous_weight(*a))));
        order
    }

    /// `agents` of `services`, the likeliest owners of `flow` first: the best of each service, the
    /// likeliest service first, then the second of each, and so on.
    #[must_use]
    pub fn rank_owners(
        &self,
        services: &[Arc<str>],
        agents: &[SocketAddrV4],
        zone: &str,
        flow: Flow,
    ) -> Vec<SocketAddrV4> {
        let mut ranked = Vec::with_capacity(agents.len());
        for (n, service) in services.iter().enumerate() {
            let own = |a: &&SocketAddrV4| self.service_of(**a) == Some(service);
            let of_service: Vec<_> = agents.iter().filter(own).copied().collect();
            let order = self.rank_by_likelihood(&of_service, zone, flow);
            ranked.extend(order.into_iter().enumerate().map(|(rank, a)| (rank, n, a)));
        }
        ranked.sort_by_key(|(rank, n, _)| (*rank, *n));
        ranked.into_iter().map(|(.., a)| a).collect()
    }

    /// The flow's home agent: the one that balancers of `zone` query first for its owner
    /// and, if it accepts flows, offer it first.
    #[must_use]
    pub fn home_agent(&self, service: &str, zone: &str, flow: Flow) -> Option<SocketAddrV4> {
        let all: Vec<SocketAddrV4> =
            self.agents_of(service).filter(|a| self.is_responsive(*a)).collect();
        let local = |a: &SocketAddrV4| &*self.agents[a].zone == zone;
        highest_weight(&all, flow, local).or_else(|| highest_weight(&all, flow, |_| true))
    }
}

/// The `wanted` agent among `all` with the highest rendezvous weight for `flow`.
fn highest_weight(
    all: &[SocketAddrV4],
    flow: Flow,
    wanted: impl Fn(&SocketAddrV4) -> bool,
) -> Option<SocketAddrV4> {
    all.iter().copied().filter(|a| wanted(a)).max_by_key(|a| flow.rendezvous_weight(*a))
}
