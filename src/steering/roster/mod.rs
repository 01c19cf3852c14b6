//! The agents known to a balancer, with failure detection.
//!
//! The store lists agents, but an agent's own messages take precedence: one that the
//! store no longer lists is pinged and kept as long as it answers. An agent that does
//! not answer is suspected: it is offered flows last and pinged until it answers.

mod candidates;
mod owners;
mod pings;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use pings::PING_RETRY_INTERVAL;

use super::Evacuations;
use crate::agent::placement::UNAVAILABLE_LOAD;
use crate::policy::SuspicionPolicy;
use crate::protocol::FlowStatus;
use crate::token_bucket::TokenBucket;
use crate::tracker::Incarnation;

/// An agent as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedAgent {
    /// Address for messages of balancers.
    pub addr: SocketAddrV4,
    /// Data centre of the agent.
    pub zone: Arc<str>,
    /// Service of its target.
    pub service: Arc<str>,
    /// Incarnation of its target that it accepts flows for.
    #[serde(default, rename = "target")]
    pub incarnation: Option<Incarnation>,
    /// Whether it understands [`crate::protocol::Message::RequestOpen`]: agents of earlier
    /// versions do not.
    #[serde(default)]
    pub queues: bool,
    /// Whether it understands [`crate::protocol::Message::BoundedOpen`].
    #[serde(default)]
    pub bounded: bool,
    /// Revision of the store before which its target opened none of the flows that it holds, if
    /// that is earlier than the registration; 0 if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<i64>,
    /// Revision of the store at which the registration was created; 0 if unknown.
    #[serde(skip)]
    pub registered: i64,
}

#[derive(Clone, Debug)]
struct Agent {
    zone: Arc<str>,
    service: Arc<str>,
    /// Incarnation of its target that the store names.
    incarnation: Option<Incarnation>,
    /// Whether it understands [`crate::protocol::Message::RequestOpen`].
    queues: bool,
    /// Whether it understands [`crate::protocol::Message::BoundedOpen`].
    bounded: bool,
    /// As [`ListedAgent::since`].
    since: Option<i64>,
    /// Revision of the store at which its registration was created; 0 if unknown.
    registered: i64,
    /// Whether it last reported that no process of its target runs.
    target_ended: bool,
    /// Since when the store has not listed it.
    unlisted_since: Option<Instant>,
    /// The load it last reported.
    load: u32,
    /// When it last sent a message, or was first listed.
    last_heard: Instant,
    /// Since when it has not answered.
    silent_since: Option<Instant>,
    last_ping: Option<Instant>,
    /// Whether it was pinged after its last message and after it became unlisted.
    ping_pending: bool,
    /// Until when the rate limit held back its ping, which delays `unlisted_timeout`.
    deferred_until: Option<Instant>,
}

/// Agents by address and by service.
#[derive(Clone, Debug)]
pub struct Roster {
    suspicion: SuspicionPolicy,
    /// Ordered, so that pings go out in a deterministic order.
    agents: BTreeMap<SocketAddrV4, Agent>,
    services: HashMap<Arc<str>, Vec<SocketAddrV4>>,
    /// Whether flows of large services are offered to few agents.
    owners_bounded: bool,
    /// Data centres whose agents are offered no flows.
    pub evacuations: Evacuations,
    /// When the next ping is due; none while no agent is suspected.
    next_ping_at: Option<Instant>,
    ping_budget: TokenBucket,
    generation: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Self::new(SuspicionPolicy::default())
    }
}

impl Roster {
    /// An empty roster.
    #[must_use]
    pub fn new(suspicion: SuspicionPolicy) -> Self {
        // Holds the tokens of two retry intervals, so that none are lost between them.
        let burst = f64::from(suspicion.ping_rate) * 2.0 * PING_RETRY_INTERVAL.as_secs_f64();
        Self {
            suspicion,
            agents: BTreeMap::new(),
            services: HashMap::new(),
            owners_bounded: true,
            evacuations: Evacuations::default(),
            next_ping_at: None,
            ping_budget: TokenBucket::new(burst.max(1.0)),
            generation: 0,
        }
    }

    /// Sets whether flows of large services are offered to few agents only.
    #[must_use]
    pub const fn with_bounded_owners(mut self, bounded: bool) -> Self {
        self.owners_bounded = bounded;
        self
    }

    /// Number that changes when an agent, or the incarnation of its target, is added.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Number of agents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether there are no agents.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Updates the roster to the agents that the store lists; returns whether any was
    /// added, listed again or became unlisted.
    pub fn update(&mut self, agents: &[ListedAgent], now: Instant) -> bool {
        let listed: HashSet<SocketAddrV4> = agents.iter().map(|a| a.addr).collect();
        let mut changed = false;
        for (addr, a) in &mut self.agents {
            if a.unlisted_since.is_none() && !listed.contains(addr) {
                a.unlisted_since = Some(now);
                a.ping_pending = false;
                changed = true;
            }
        }
        for a in agents {
            changed |= self.insert_listed(a, now);
        }
        if self.agents.values().any(Agent::is_suspected) {
            self.next_ping_at = Some(now);
        }
        changed
    }

    /// Adds or updates a listed agent; returns whether it was unknown or unlisted.
    fn insert_listed(&mut self, a: &ListedAgent, now: Instant) -> bool {
        match self.agents.get_mut(&a.addr) {
            Some(known) if known.service == a.service => {
                known.zone = a.zone.clone();
                known.queues = a.queues;
                known.bounded = a.bounded;
                known.since = a.since;
                known.registered = a.registered;
                if known.incarnation != a.incarnation {
                    known.incarnation = a.incarnation.clone();
                    known.target_ended = false;
                    self.generation += 1;
                }
                known.unlisted_since.take().is_some()
            }
            _ => {
                self.remove(a.addr);
                self.insert(a, now);
                true
            }
        }
    }

    fn insert(&mut self, a: &ListedAgent, now: Instant) {
        self.generation += 1;
        let agent = Agent {
            zone: a.zone.clone(),
            service: a.service.clone(),
            incarnation: a.incarnation.clone(),
            queues: a.queues,
            bounded: a.bounded,
            since: a.since,
            registered: a.registered,
            target_ended: false,
            unlisted_since: None,
            load: 0,
            last_heard: now,
            silent_since: None,
            last_ping: None,
            ping_pending: false,
            deferred_until: None,
        };
        self.agents.insert(a.addr, agent);
        self.services.entry(a.service.clone()).or_default().push(a.addr);
    }

    /// Removes an agent, in time linear in the agents of its service.
    fn remove(&mut self, addr: SocketAddrV4) {
        let Some(removed) = self.agents.remove(&addr) else { return };
        if let Some(addrs) = self.services.get_mut(&removed.service) {
            addrs.retain(|a| *a != addr);
            if addrs.is_empty() {
                self.services.remove(&removed.service);
            }
        }
    }

    /// Addresses of the agents of `service`.
    pub fn agents_of(&self, service: &str) -> impl Iterator<Item = SocketAddrV4> {
        self.services.get(service).into_iter().flatten().copied()
    }

    /// Service of the agent's target; `None` if the agent is unknown.
    #[must_use]
    pub fn service_of(&self, addr: SocketAddrV4) -> Option<&Arc<str>> {
        self.agents.get(&addr).map(|a| &a.service)
    }

    /// Whether the agent understands [`crate::protocol::Message::RequestOpen`].
    #[must_use]
    pub fn queues_opens(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_some_and(|a| a.queues)
    }

    /// Whether the agent understands [`crate::protocol::Message::BoundedOpen`].
    #[must_use]
    pub fn understands_bounds(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_some_and(|a| a.bounded)
    }

    /// Whether the agent may be offered new flows: it is known, and its data centre is
    /// not evacuated.
    #[must_use]
    pub fn may_be_offered(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_some_and(|a| !self.evacuations.contains(&a.zone))
    }

    /// Whether the service has agents, all of them in evacuated data centres.
    #[must_use]
    pub fn is_evacuated(&self, service: &str) -> bool {
        let mut agents = self.agents_of(service).peekable();
        agents.peek().is_some() && agents.all(|a| !self.may_be_offered(a))
    }

    /// Time since the evacuation of the agent's data centre ended, in ms, if that was a
    /// short time ago.
    #[must_use]
    pub fn returned_ms(&self, addr: SocketAddrV4, now: Instant) -> Option<u32> {
        self.agents.get(&addr).and_then(|a| self.evacuations.returned_ms(&a.zone, now))
    }

    /// The state of each agent as JSON, for operators.
    #[must_use]
    pub fn state_json(&self, now: Instant) -> Vec<serde_json::Value> {
        let mut agents: Vec<_> = self.agents.iter().collect();
        agents.sort_by_key(|(addr, _)| **addr);
        let age = |at: Instant| now.duration_since(at).as_millis();
        let one = |(addr, a): (&SocketAddrV4, &Agent)| {
            serde_json::json!({
                "agent": addr.to_string(),
                "service": a.service,
                "zone": a.zone,
                "load": if a.load == UNAVAILABLE_LOAD { None } else { Some(a.load) },
                "heard_ms": age(a.last_heard),
                "silent_ms": a.silent_since.map(age),
                "unlisted_ms": a.unlisted_since.map(age),
                "target_ended": a.target_ended,
            })
        };
        agents.into_iter().map(one).collect()
    }

    /// Records a message of an agent that reports `load`.
    pub fn record_contact(&mut self, addr: SocketAddrV4, load: u32, now: Instant) {
        if let Some(a) = self.agents.get_mut(&addr) {
            a.load = load;
            a.last_heard = now;
            a.silent_since = None;
            a.ping_pending = false;
            // An agent that can accept flows has a running target.
            a.target_ended &= load == UNAVAILABLE_LOAD;
        }
    }

    /// Records what a flow's status says about an agent's target.
    pub fn record_status(&mut self, addr: SocketAddrV4, status: FlowStatus) {
        if let Some(a) = self.agents.get_mut(&addr) {
            match status {
                FlowStatus::TargetEnded => a.target_ended = true,
                FlowStatus::Held
                | FlowStatus::Unknown
                | FlowStatus::Unverified
                | FlowStatus::NotOwner => a.target_ended = false,
                // Does not show whether the target runs.
                FlowStatus::Refused(_) | FlowStatus::Queued { .. } => {}
            }
        }
    }

    /// Handles the answer to a ping. An agent that now serves another service is removed
    /// until the store lists it.
    pub fn handle_pong(&mut self, addr: SocketAddrV4, service: &str, load: u32, now: Instant) {
        if self.agents.get(&addr).is_some_and(|a| &*a.service != service) {
            self.remove(addr);
        }
        self.record_contact(addr, load, now);
    }
}
