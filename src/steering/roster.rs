//! The agents that a balancer believes in.
//!
//! The store lists agents; what an agent says itself goes before the list. An
//! agent whose entry is gone from the store (the store let its lease lapse,
//! or takes keys away from machines it refuses) is asked directly and stays
//! as long as it answers. One that does not answer is offered flows last, and
//! is asked until it does.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Transmit;
use crate::agent::placement::UNAVAILABLE_LOAD;
use crate::flow::Flow;
use crate::policy::SuspicionPolicy;
use crate::protocol::{FlowStatus, Message};
use crate::token_bucket::TokenBucket;
use crate::tracker::Incarnation;

/// An agent as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedAgent {
    /// Address at which it talks to balancers.
    pub addr: SocketAddrV4,
    /// Its data centre.
    pub zone: Arc<str>,
    /// The service of its target.
    pub service: Arc<str>,
    /// The start of its target for which it has taken flows.
    #[serde(default)]
    pub target: Option<Incarnation>,
}

#[derive(Clone, Debug)]
struct Agent {
    zone: Arc<str>,
    service: Arc<str>,
    /// The start of its target that its entry names.
    target_start: Option<Incarnation>,
    /// It said that no process of its target runs.
    target_ended: bool,
    /// Since when the store does not list it.
    unlisted_since: Option<Instant>,
    /// Its load as it last said.
    load: u32,
    /// When it last said anything, or was first listed.
    last_heard: Instant,
    /// It did not answer, since when.
    silent_since: Option<Instant>,
    /// When it was last asked whether it is there.
    last_ping: Option<Instant>,
    /// Whether it was asked since it last said anything and since its entry went.
    ping_pending: bool,
    /// Until when its turn to be asked had not come.
    deferred_until: Option<Instant>,
}

impl Agent {
    fn is_suspected(&self) -> bool {
        self.unlisted_since.is_some() || self.silent_since.is_some()
    }

    fn is_retained(&self, keep: Duration, now: Instant) -> bool {
        let since = |at: Instant| at.max(self.last_heard).max(self.deferred_until.unwrap_or(at));
        self.unlisted_since.is_none_or(|at| now.duration_since(since(at)) < keep)
    }

    /// Its turn to be asked has not come before `now`: the time that it has to
    /// answer begins then, unless it was asked before.
    fn defer(&mut self, now: Instant) {
        if !self.ping_pending {
            self.deferred_until = Some(now);
        }
    }

    /// Whether it answers and did not say within `unable` that it can take
    /// nothing.
    fn accepts_flows(&self, unable: Duration, now: Instant) -> bool {
        let unable = self.load == UNAVAILABLE_LOAD && now.duration_since(self.last_heard) < unable;
        self.silent_since.is_none() && !unable
    }
}

/// Least pause between two looks for agents to ask while the budget is spent: each
/// goes through all agents.
const PING_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The agents by address and by service.
#[derive(Clone, Debug)]
pub struct Roster {
    suspicion: SuspicionPolicy,
    /// In the order of their addresses, so that questions go out in one order.
    agents: BTreeMap<SocketAddrV4, Agent>,
    services: HashMap<Arc<str>, Vec<SocketAddrV4>>,
    /// When the next question is due; none while no agent is suspected.
    next_ping_at: Option<Instant>,
    /// Questions to suspected agents that may be asked.
    ping_budget: TokenBucket,
}

impl Default for Roster {
    fn default() -> Self {
        Self::new(SuspicionPolicy::default())
    }
}

impl Roster {
    /// No agents yet; they are suspected as `suspicion` says.
    #[must_use]
    pub fn new(suspicion: SuspicionPolicy) -> Self {
        // What comes in between two looks must not be lost.
        let burst = f64::from(suspicion.ping_rate) * 2.0 * PING_RETRY_INTERVAL.as_secs_f64();
        Self {
            suspicion,
            agents: BTreeMap::new(),
            services: HashMap::new(),
            next_ping_at: None,
            ping_budget: TokenBucket::new(burst.max(1.0)),
        }
    }

    /// Agents believed in.
    #[must_use]
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Resumes after the process did not run for `paused`: no agent was asked
    /// meanwhile, so that time does not count as silence.
    pub fn resume(&mut self, paused: Duration) {
        for a in self.agents.values_mut() {
            for since in [&mut a.silent_since, &mut a.unlisted_since, &mut a.deferred_until] {
                *since = since.map(|at| at + paused);
            }
        }
    }

    /// Takes in the agents that the store lists now; says whether any came or
    /// went.
    pub fn update(&mut self, announced: &[ListedAgent], now: Instant) -> bool {
        let listed: HashSet<SocketAddrV4> = announced.iter().map(|a| a.addr).collect();
        let mut changed = false;
        for (addr, a) in &mut self.agents {
            if a.unlisted_since.is_none() && !listed.contains(addr) {
                a.unlisted_since = Some(now);
                a.ping_pending = false;
                changed = true;
            }
        }
        for a in announced {
            changed |= self.insert_listed(a, now);
        }
        if self.agents.values().any(Agent::is_suspected) {
            self.next_ping_at = Some(now);
        }
        changed
    }

    /// Takes in one agent that the store lists; says whether that is new.
    fn insert_listed(&mut self, a: &ListedAgent, now: Instant) -> bool {
        match self.agents.get_mut(&a.addr) {
            Some(known) if known.service == a.service => {
                known.zone = a.zone.clone();
                if known.target_start != a.target {
                    known.target_start = a.target.clone();
                    known.target_ended = false;
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
        let agent = Agent {
            zone: a.zone.clone(),
            service: a.service.clone(),
            target_start: a.target.clone(),
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

    /// Takes an agent out of the roster and of its service: work that grows
    /// with the service, not with the fleet.
    fn remove(&mut self, addr: SocketAddrV4) {
        let Some(gone) = self.agents.remove(&addr) else { return };
        if let Some(of) = self.services.get_mut(&gone.service) {
            of.retain(|a| *a != addr);
            if of.is_empty() {
                self.services.remove(&gone.service);
            }
        }
    }

    /// Every agent of `service`.
    pub fn agents_of(&self, service: &str) -> impl Iterator<Item = SocketAddrV4> {
        self.services.get(service).into_iter().flatten().copied()
    }

    /// Whether the agent is known and answers.
    #[must_use]
    pub fn is_responsive(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_some_and(|a| a.silent_since.is_none())
    }

    /// Each agent with what is believed of it, as JSON.
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

    /// Whether there are agents and none of them answers: the balancer is cut
    /// off from them, and another should have its callers.
    #[must_use]
    pub fn all_silent(&self) -> bool {
        !self.agents.is_empty() && self.agents.values().all(|a| a.silent_since.is_some())
    }

    /// Whether a flow at the agent's target is lost to its caller: the agent has
    /// not answered for long, or does not answer after it said that the target had
    /// ended. The second keeps a VM that goes dark with its target from holding up
    /// what becomes of every other flow of the service.
    #[must_use]
    pub fn is_dead(&self, addr: SocketAddrV4, now: Instant) -> bool {
        self.target_ended(addr) || self.is_silent_for(addr, self.suspicion.dead_after, now)
    }

    /// Whether the agent is silent and last said that its target had ended.
    #[must_use]
    pub fn target_ended(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_none_or(|a| a.target_ended && a.silent_since.is_some())
    }

    /// Whether the agent has not answered for `span` or longer.
    #[must_use]
    pub fn is_silent_for(&self, addr: SocketAddrV4, span: Duration, now: Instant) -> bool {
        let silent = self.agents.get(&addr).map(|a| a.silent_since);
        silent.is_none_or(|s| s.is_some_and(|at| now.duration_since(at) >= span))
    }

    /// Whether the agent is silent, and its entry is gone from the store or it said
    /// that its target had ended. Agents take their entries out when their targets
    /// have ended; one that restarts stays listed, and one whose entry was taken
    /// away answers.
    #[must_use]
    pub fn has_left(&self, addr: SocketAddrV4) -> bool {
        let unlisted = self.agents.get(&addr).is_none_or(|a| a.unlisted_since.is_some());
        self.target_ended(addr) || unlisted && !self.is_responsive(addr)
    }

    /// An agent said something; `load` is its load now.
    pub fn record_contact(&mut self, addr: SocketAddrV4, load: u32, now: Instant) {
        if let Some(a) = self.agents.get_mut(&addr) {
            a.load = load;
            a.last_heard = now;
            a.silent_since = None;
            a.ping_pending = false;
            // Only with a target can it take flows.
            a.target_ended &= load == UNAVAILABLE_LOAD;
        }
    }

    /// An agent answered `status` of a flow.
    pub fn record_status(&mut self, addr: SocketAddrV4, status: FlowStatus) {
        if let Some(a) = self.agents.get_mut(&addr) {
            match status {
                FlowStatus::TargetEnded => a.target_ended = true,
                FlowStatus::Held
                | FlowStatus::Unknown
                | FlowStatus::Unverified
                | FlowStatus::NotOwner => a.target_ended = false,
                // Says nothing of the target.
                FlowStatus::Refused(_) => {}
            }
        }
    }

    /// An agent answered a question: its target runs `service`.
    pub fn handle_pong(&mut self, addr: SocketAddrV4, service: &str, load: u32, now: Instant) {
        if self.agents.get(&addr).is_some_and(|a| &*a.service != service) {
            self.remove(addr);
        }
        self.record_contact(addr, load, now);
    }

    /// An agent did not answer in time.
    pub fn record_timeout(&mut self, addr: SocketAddrV4, now: Instant) {
        if let Some(a) = self.agents.get_mut(&addr)
            && now.duration_since(a.last_heard) >= self.suspicion.silence_grace
        {
            a.silent_since.get_or_insert(now);
            self.next_ping_at.get_or_insert(now);
        }
    }

    /// The two agents of `service` that `flow` is offered to, `first` being
    /// fixed where given: one of the balancer's own `zone` and one of all
    /// others, those that the flow prefers among those that can take flows.
    /// Agents in `except` were asked before.
    ///
    /// Which of the two takes it they decide by loads as of now; a choice by
    /// what the balancer last heard, some hundred milliseconds ago, would send
    /// each burst to one agent. That every process prefers the same two finds
    /// flows again after agents and balancers have lost their memory together
    /// (see [`Roster::likely`]).
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
        let left: Vec<SocketAddrV4> =
            self.agents_of(service).filter(|a| !except.contains(a)).collect();
        let able = |a: &SocketAddrV4| self.agents[a].accepts_flows(self.suspicion.unable_ttl, now);
        let near = |a: &SocketAddrV4| &*self.agents[a].zone == zone;
        let first = first
            .or_else(|| preferred(&left, flow, |a| able(a) && near(a)))
            .or_else(|| preferred(&left, flow, able))
            .or_else(|| preferred(&left, flow, |_| true))?;
        let other = |a: &SocketAddrV4| *a != first;
        // Never one that does not answer: the first may pass the open on to it,
        // and it would be lost there.
        let second = preferred(&left, flow, |a| other(a) && able(a))
            .or_else(|| preferred(&left, flow, |a| other(a) && self.is_responsive(*a)));
        Some((first, second))
    }

    /// `agents` in the order in which they are likely to have been offered
    /// `flow` when it opened: as [`Roster::pick`] would choose now.
    #[must_use]
    pub fn rank_by_likelihood(
        &self,
        agents: &[SocketAddrV4],
        zone: &str,
        flow: Flow,
    ) -> Vec<SocketAddrV4> {
        let near = |a: &SocketAddrV4| self.agents.get(a).is_some_and(|x| &*x.zone == zone);
        let first = preferred(agents, flow, near);
        let mut order = agents.to_vec();
        order.sort_by_key(|a| (Some(*a) != first, std::cmp::Reverse(flow.preference(*a))));
        order
    }

    /// The agent that is asked first for `flow` by balancers of `zone`, and
    /// offered it first where it can take flows.
    #[must_use]
    pub fn home_agent(&self, service: &str, zone: &str, flow: Flow) -> Option<SocketAddrV4> {
        let all: Vec<SocketAddrV4> =
            self.agents_of(service).filter(|a| self.is_responsive(*a)).collect();
        let near = |a: &SocketAddrV4| &*self.agents[a].zone == zone;
        preferred(&all, flow, near).or_else(|| preferred(&all, flow, |_| true))
    }

    /// When the next question to an agent is due.
    #[must_use]
    pub const fn next_ping(&self) -> Option<Instant> {
        self.next_ping_at
    }

    /// Asks the suspected agents, those that have waited longest first, as
    /// far as the budget goes, and drops those that the store does not list and
    /// that had their turn and have not answered in time.
    pub fn ping_suspects(&mut self, now: Instant, out: &mut impl Transmit) {
        if self.next_ping_at.is_none_or(|at| at > now) {
            return;
        }
        let dropped: Vec<SocketAddrV4> = self
            .agents
            .iter()
            .filter(|(_, a)| !a.is_retained(self.suspicion.unlisted_timeout, now))
            .map(|(addr, _)| *addr)
            .collect();
        for addr in dropped {
            self.remove(addr);
        }
        self.ping_budget.refill(self.suspicion.ping_rate.into(), now);
        let pause = self.suspicion.ping_interval;
        let due = |a: &Agent| a.last_ping.is_none_or(|at| now.duration_since(at) >= pause);
        let mut waiting: Vec<_> =
            self.agents.iter_mut().filter(|(_, a)| a.is_suspected() && due(a)).collect();
        waiting.sort_by_key(|(_, a)| a.last_ping);
        let mut spent = false;
        for (addr, a) in waiting {
            if spent || !self.ping_budget.try_take() {
                spent = true;
                a.defer(now);
                continue;
            }
            if a.deferred_until.is_some() {
                a.defer(now);
            }
            a.last_ping = Some(now);
            a.ping_pending = true;
            out.send_to_agent(*addr, &Message::Ping { listed: a.unlisted_since.is_none() }, &[]);
        }
        let suspected = self.agents.values().filter(|a| a.is_suspected());
        let next = suspected.filter_map(|a| a.last_ping).min().map(|at| at + pause);
        self.next_ping_at = if spent { Some(now + PING_RETRY_INTERVAL) } else { next };
    }
}

/// The one of the `wanted` among `all` that `flow` prefers.
fn preferred(
    all: &[SocketAddrV4],
    flow: Flow,
    wanted: impl Fn(&SocketAddrV4) -> bool,
) -> Option<SocketAddrV4> {
    all.iter().copied().filter(|a| wanted(a)).max_by_key(|a| flow.preference(*a))
}
