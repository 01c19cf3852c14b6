//! Flow steering: decides to which agent a balancer sends each packet. It does no I/O
//! and reads no clock; packets to send go out through [`Transmit`].
//!
//! - An open (a caller's SYN) is offered to two agents of the route's service, which
//!   choose between them by load ([`crate::agent::decide_offer`]). If they do not answer in
//!   time, the next two are tried.
//! - For a flow that another balancer opened, agents are queried in waves until one
//!   answers that its target holds the flow; its packets are buffered meanwhile.
//! - The flow table is only a cache; the agents hold the authoritative state.
//!
//! Retries, queries and buffers are bounded by [`BalancerPolicy`].

mod deadlines;
mod evacuation;
mod lookup;
mod opens;
mod owner_services;
mod packet_queue;
mod queries;
mod queued;
mod resolve;
mod roster;
mod route_check;
mod routes;
mod rtt;
mod search;
mod set_aside;
mod state;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use evacuation::{EvacuationList, Evacuations};
pub use roster::{ListedAgent, Roster};
pub use routes::{Route, Routes, WeightedService};
pub use search::OwnerSearch;
pub use set_aside::SetAside;
pub use state::{FlowState, PendingOpen, QueueLease};

use deadlines::DeadlineQueue;
use packet_queue::QueuedPacket;
use queries::QueryQueue;
use route_check::RouteCheck;
use rtt::RttEstimator;

use crate::events;
use crate::flow::{Flow, FlowTable, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal};
use crate::policy::BalancerPolicy;
use crate::protocol::{Answer, FlowStatus, FlowUpdate, ForwardMode, Message};
use crate::route_history::RouteHistory;
use crate::token_bucket::TokenBucket;

/// Sends what [`FlowSteering`] decides.
pub trait Transmit {
    /// Sends `message`, followed by a caller's packet if not empty, to an agent.
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]);
    /// Sends a TCP reset of `flow` to its caller; `seq` is the caller's last
    /// acknowledgement.
    fn send_reset(&mut self, flow: Flow, seq: u32);
}

/// Interval at which a balancer checks whether its list of agents comes from the store again, while
/// flows wait for that.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// From where a balancer's list of agents is updated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RosterSource {
    /// From the store itself.
    #[default]
    Store,
    /// From another process, which may have lost the store without this one's knowledge: the
    /// list may lack agents that hold flows.
    Distributor,
}

/// The steering state of one balancer.
#[derive(Debug)]
pub struct FlowSteering {
    own_addr: SocketAddrV4,
    zone: Arc<str>,
    routes: Option<Routes>,
    /// Agents that flows can be sent to.
    pub roster: Roster,
    flows: FlowTable<FlowState>,
    deadlines: DeadlineQueue,
    policy: BalancerPolicy,
    queries: QueryQueue,
    rtt: RttEstimator,
    retry_budget: TokenBucket,
    /// Size of the packets that all owner searches buffer.
    buffered_bytes: usize,
    /// Since when the store has been reachable. While it is not, agents missing from
    /// the roster may be running.
    store_reachable_since: Option<Instant>,
    /// From where the list of agents is updated.
    roster_source: RosterSource,
    /// Agents that lately set their targets aside.
    set_aside: SetAside,
    /// Flows whose searches ended while the list may have lacked their agents, and whether no
    /// agent of the list holds them.
    unconfirmed: BTreeMap<Flow, bool>,
    /// When rounds of searches are repeated next: all at once, so that they share datagrams.
    repeat_slot: Option<Instant>,
    /// Whether the newest configuration was read; until then, flows without a route wait.
    routes_complete: bool,
    /// Which services the routes have had.
    route_history: RouteHistory,
    /// Version of the configuration that the record is known to cover.
    recorded_version: Option<u64>,
    /// What shows that a route which this process does not know exists nowhere.
    route_check: RouteCheck,
    /// Packets received before the first configuration, or before the newest one if their
    /// routes are not in the one in force.
    queued_packets: VecDeque<QueuedPacket>,
    /// When to check whether `queued_packets` can be handled.
    queue_check_at: Option<Instant>,
    shutting_down: bool,
}

impl FlowSteering {
    /// Steering of a balancer in `zone`. Agents reply to `own_addr`; a flow without
    /// packets for `idle_timeout` is removed from the table.
    #[must_use]
    pub fn new(own_addr: SocketAddrV4, zone: Arc<str>, idle_timeout: Duration) -> Self {
        Self {
            own_addr,
            zone,
            routes: None,
            roster: Roster::default(),
            flows: FlowTable::new(idle_timeout),
            deadlines: DeadlineQueue::default(),
            policy: BalancerPolicy::default(),
            queries: QueryQueue::new(0.0, 0.0),
            rtt: RttEstimator::default(),
            retry_budget: TokenBucket::new(0.0),
            buffered_bytes: 0,
            store_reachable_since: None,
            roster_source: RosterSource::Store,
            set_aside: SetAside::default(),
            unconfirmed: BTreeMap::new(),
            repeat_slot: None,
            routes_complete: true,
            route_history: RouteHistory::new(idle_timeout),
            recorded_version: None,
            route_check: RouteCheck::default(),
            queued_packets: VecDeque::new(),
            queue_check_at: None,
            shutting_down: false,
        }
        .with_policy(BalancerPolicy::default())
    }

    /// Replaces the policy. Clears the roster, so call it before the first update.
    #[must_use]
    pub fn with_policy(mut self, policy: BalancerPolicy) -> Self {
        self.queries = QueryQueue::new(policy.query_rate, policy.query_burst);
        self.retry_budget = TokenBucket::new(policy.retry_burst);
        self.roster =
            Roster::new(policy.suspicion.clone()).with_bounded_owners(policy.bounded_owners);
        self.policy = policy;
        self
    }

    /// The current configuration; none until the first arrives.
    #[must_use]
    pub const fn routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// Version of the current configuration.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        self.routes.as_ref().map(|r| r.version)
    }

    /// Flows in the table.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Applies `routes` if its version is newer than the current one; returns whether
    /// it was.
    pub fn apply_routes(&mut self, routes: Routes) -> bool {
        let newer = self.config_version().is_none_or(|v| v < routes.version);
        if newer {
            self.routes = Some(routes);
        }
        newer
    }

    /// Sets whether the newest configuration was read, and not only an earlier one that is
    /// quicker to read.
    pub const fn set_routes_complete(&mut self, complete: bool) {
        self.routes_complete = complete;
    }

    /// Applies a list of evacuated data centres, unless a newer one is in force.
    pub fn apply_evacuations(&mut self, list: EvacuationList, now: Instant) {
        self.roster.evacuations.apply(list, now);
    }

    /// Records whether the store answers.
    pub fn set_store_reachable(&mut self, reachable: bool, now: Instant) {
        self.store_reachable_since =
            if reachable { self.store_reachable_since.or(Some(now)) } else { None };
    }

    /// Sets from where the list of agents is updated. Once that is the store, decides on the
    /// flows whose searches ended meanwhile.
    pub fn set_roster_source(
        &mut self,
        source: RosterSource,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.roster_source = source;
        if source == RosterSource::Store && !self.unconfirmed.is_empty() {
            self.resolve_unconfirmed(now, out);
        }
    }

    /// Whether flows wait for a list of agents that comes from the store itself.
    #[must_use]
    pub fn needs_store(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Accounts for a time `paused` in which the process did not run: the store counts
    /// as unreachable until it answers again.
    pub fn resume(&mut self, paused: Duration) {
        self.store_reachable_since = None;
        self.roster.resume(paused);
    }

    /// Handles one packet of a caller.
    pub fn handle_packet(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let received = ReceivedPacket { seg, packet, now };
        if self.awaits_routes(seg, now) {
            self.queue_packet(&received);
        } else {
            self.steer_packet(&received, out);
        }
    }

    /// Handles a packet for which the configuration in force decides.
    fn steer_packet(&mut self, received: &ReceivedPacket<'_>, out: &mut impl Transmit) {
        let ReceivedPacket { seg, packet, now } = *received;
        if seg.opens_flow() {
            self.handle_open(received, out);
            return;
        }
        match self.flows.get(received.flow(), now) {
            Some(FlowState::Owned { agent, service }) if !self.roster.is_dead(*agent, now) => {
                let message = Message::Forward { service, mode: ForwardMode::Owner };
                out.send_to_agent(*agent, &message, packet);
            }
            _ => self.search_owner(received, out),
        }
    }

    /// Handles one message of an agent. Messages meant for agents are ignored.
    pub fn handle_message(
        &mut self,
        from: SocketAddrV4,
        message: &Message<'_>,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        match message {
            Message::FlowUpdate(update) => self.handle_flow_update(from, *update, now, out),
            Message::Response { answers, load } => {
                self.handle_answers(from, answers, *load, now, out)
            }
            Message::Pong { service, load } => self.roster.handle_pong(from, service, *load, now),
            Message::TargetEnded => self.roster.record_status(from, FlowStatus::TargetEnded),
            _ => {}
        }
    }

    /// Handles an agent's update on a flow.
    pub fn handle_flow_update(
        &mut self,
        from: SocketAddrV4,
        update: FlowUpdate,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.roster.record_contact(from, update.load, now);
        self.roster.record_status(from, update.status);
        self.set_aside.observe(from, &update, now);
        match update.status {
            FlowStatus::Held => self.record_owner(from, update.flow, now, out),
            FlowStatus::Refused(reason) => self.handle_refusal(from, update.flow, reason, now, out),
            FlowStatus::Queued { handed_over } => {
                self.handle_queued(from, update.flow, handed_over, now, out);
            }
            FlowStatus::Unknown
            | FlowStatus::TargetEnded
            | FlowStatus::Unverified
            | FlowStatus::NotOwner => {
                self.handle_denial(from, update.flow, update.status, now, out);
            }
        }
    }

    /// Handles an agent's answers to queries.
    pub fn handle_answers(
        &mut self,
        from: SocketAddrV4,
        answers: &[Answer],
        load: u32,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.roster.record_contact(from, load, now);
        for answer in answers {
            self.roster.record_status(from, answer.status);
            self.handle_answer(from, *answer, now, out);
        }
    }

    /// Records that the target of agent `from` holds `flow`.
    fn record_owner(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let service = match self.flows.remove(flow) {
            Some(FlowState::Opening(o)) => {
                if o.queue.is_none() {
                    self.rtt.record_sample(now.duration_since(o.offered_at));
                }
                self.send_owner_hint(from, flow, &o, out);
                o.service
            }
            Some(FlowState::Searching(s)) => {
                self.forward_buffered(from, s, out);
                let Some(service) = self.roster.service_of(from) else { return };
                service.clone()
            }
            Some(owned @ FlowState::Owned { .. }) => {
                self.flows.insert(flow, owned, now);
                return;
            }
            None => return,
        };
        self.flows.insert(flow, FlowState::Owned { agent: from, service }, now);
    }

    /// Sends a hint on the flow's owner to its home agent, which other balancers query
    /// first, unless the home agent is the owner or passed the open on to it.
    fn send_owner_hint(
        &self,
        owner: SocketAddrV4,
        flow: Flow,
        o: &PendingOpen,
        out: &mut impl Transmit,
    ) {
        let home = self.roster.home_agent(&o.service, &self.zone, flow);
        let Some(home) = home.filter(|h| *h != owner && self.policy.hints_enabled) else { return };
        let passed_on = o.last_offer().first() == Some(&home);
        if !passed_on {
            out.send_to_agent(home, &Message::Hint { flow, agent: owner }, &[]);
        }
    }

    /// The current response timeout for agents.
    fn response_timeout(&self) -> Duration {
        self.rtt.timeout(self.policy.min_timeout, self.policy.max_timeout)
    }

    /// The state as JSON for operators: the version of the configuration, each agent
    /// and, if `flow` is given, how its packets are steered.
    #[must_use]
    pub fn state_json(&self, flow: Option<Flow>, now: Instant) -> serde_json::Value {
        serde_json::json!({
            "version": self.config_version(),
            "ready": self.is_ready(),
            "store_answers_ms":
                self.store_reachable_since.map(|at| now.duration_since(at).as_millis()),
            "flows_remembered": self.flows.len(),
            "evacuations": self.roster.evacuations.state_json(now),
            "agents": self.roster.state_json(now),
            "flow": flow.map(|f| self.explain_flow(f, now)),
        })
    }

    fn explain_flow(&self, flow: Flow, now: Instant) -> serde_json::Value {
        let route = self.routes.as_ref().and_then(|r| r.route_for(flow));
        let pair = route.and_then(|(_, weighted)| {
            self.roster.choose_pair(&weighted.service, &self.zone, flow, None, &[], now)
        });
        serde_json::json!({
            "flow": flow.to_string(),
            "route": route.map(|(r, _)| r.name.to_string()),
            "service": route.map(|(_, s)| s.service.to_string()),
            "known": self.flows.peek(flow).map(FlowState::describe),
            "a_new_one_goes_to": pair.map(|(a, b)| (a.to_string(), b.map(|b| b.to_string()))),
        })
    }

    /// Whether the balancer should receive traffic: it has a configuration, some agent
    /// answers and it is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.shutting_down && !self.roster.all_silent()
    }

    /// Makes the balancer unready, so that routers send its traffic elsewhere.
    pub const fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// When [`FlowSteering::tick`] must next be called.
    #[must_use]
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        [
            self.deadlines.next_at(),
            self.roster.next_ping(),
            self.queue_check_at,
            self.queries.next_send(now),
            self.needs_store().then(|| now + STORE_CHECK_INTERVAL),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Handles expired timers and sends queued queries and pings.
    pub fn tick(&mut self, now: Instant, out: &mut impl Transmit) {
        if self.queue_check_at.is_some_and(|at| at <= now) {
            self.queue_check_at = None;
            self.handle_queued_packets(now, out);
        }
        while let Some(flow) = self.deadlines.pop_due(now) {
            self.handle_deadline(flow, now, out);
        }
        self.roster.evacuations.end_lost_orders(now);
        self.roster.ping_suspects(now, out);
        self.queries.send_queued(now, out);
        let buffered = &mut self.buffered_bytes;
        self.flows.expire(now, |_, state| *buffered -= state.buffered_bytes());
    }

    fn handle_deadline(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        match self.flows.peek(flow) {
            Some(FlowState::Opening(o)) if o.deadline <= now => {
                self.handle_open_timeout(flow, now, out)
            }
            Some(FlowState::Searching(s)) if s.wave_deadline.is_some_and(|at| at <= now) => {
                self.handle_wave_timeout(flow, now, out);
            }
            Some(FlowState::Searching(s)) if s.repeat_at.is_some_and(|at| at <= now) => {
                self.repeat_round(flow, now);
            }
            Some(_) | None => {}
        }
    }
}

/// Resets a flow that was not opened at any target.
fn refuse_open(flow: Flow, reason: Refusal, out: &mut impl Transmit) {
    send_refusal(flow, 0, reason, out);
}

fn send_refusal(flow: Flow, seq: u32, reason: Refusal, out: &mut impl Transmit) {
    metrics::count_refusal(reason);
    log::info!(event = events::FLOW_REFUSED, flow:% = flow, reason:% = reason; "flow refused");
    out.send_reset(flow, seq);
}
