//! A balancer's decisions on packets whose flows it may never have seen: to
//! which agent each goes. No sockets and no clocks: time comes in as an
//! argument, what is to be sent goes out through [`Transmit`].
//!
//! - A new flow is offered to two agents of its route's service, which decide
//!   between them by what they know of themselves ([`crate::agent::decide_offer`]).
//!   Agents that do not answer in time are left for the next two.
//! - For a flow that another balancer saw open, agents of the service are asked,
//!   a few at a time; the packet waits until one says that its target holds it.
//! - What a balancer remembers of flows is a cache; the truth is at the agents.
//!
//! All that grows with trouble has a budget: further offers of opens, questions
//! to agents, packets kept ([`BalancerPolicy`]).

mod lookup;
mod opens;
mod queries;
mod resolve;
mod roster;
mod routes;
mod rtt;
mod search;
mod state;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use queries::QueryQueue;
pub use roster::{ListedAgent, Roster};
pub use routes::{Route, Routes, WeightedService};
use rtt::RttEstimator;
pub use search::OwnerSearch;
pub use state::{FlowState, PendingOpen};

use crate::events;
use crate::flow::{Flow, FlowTable, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal};
use crate::policy::BalancerPolicy;
use crate::protocol::{Answer, FlowStatus, FlowUpdate, ForwardMode, Message};
use crate::token_bucket::TokenBucket;

/// What a balancer sends.
pub trait Transmit {
    /// A message, followed by a caller's packet, to an agent.
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]);
    /// A reset of `flow` to its caller; `seq` is the caller's last
    /// acknowledgement.
    fn send_reset(&mut self, flow: Flow, seq: u32);
}

/// One balancer's view and memory.
#[derive(Debug)]
pub struct FlowSteering {
    own_addr: SocketAddrV4,
    zone: Arc<str>,
    routes: Option<Routes>,
    /// The agents that the balancer believes in.
    pub roster: Roster,
    flows: FlowTable<FlowState>,
    deadlines: DeadlineQueue,
    policy: BalancerPolicy,
    queries: QueryQueue,
    /// How long agents take to answer.
    rtt: RttEstimator,
    /// Further offers of opens that may be made.
    retry_budget: TokenBucket,
    /// Bytes of packets kept while their flows' owners are asked for.
    buffered_bytes: usize,
    /// Since when the store answers; none while it does not, so that agents
    /// may run which are not in the roster.
    store_up_since: Option<Instant>,
    parked: VecDeque<Parked>,
    unpark_at: Option<Instant>,
    shutting_down: bool,
}

impl FlowSteering {
    /// A balancer in `zone` at which agents answer at `me`, and which
    /// remembers flows for `idle`.
    #[must_use]
    pub fn new(me: SocketAddrV4, zone: Arc<str>, idle: Duration) -> Self {
        Self {
            own_addr: me,
            zone,
            routes: None,
            roster: Roster::default(),
            flows: FlowTable::new(idle),
            deadlines: DeadlineQueue::default(),
            policy: BalancerPolicy::default(),
            queries: QueryQueue::new(0.0, 0.0),
            rtt: RttEstimator::default(),
            retry_budget: TokenBucket::new(0.0),
            buffered_bytes: 0,
            store_up_since: None,
            parked: VecDeque::new(),
            unpark_at: None,
            shutting_down: false,
        }
        .with_policy(BalancerPolicy::default())
    }

    /// The balancer with another policy.
    #[must_use]
    pub fn with_policy(mut self, policy: BalancerPolicy) -> Self {
        self.queries = QueryQueue::new(policy.query_rate, policy.query_burst);
        self.retry_budget = TokenBucket::new(policy.retry_burst);
        self.roster = Roster::new(policy.suspicion.clone());
        self.policy = policy;
        self
    }

    /// The configuration in force, if any is known.
    #[must_use]
    pub const fn routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// Version of the configuration in force, if any is known.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        self.routes.as_ref().map(|r| r.version)
    }

    /// Flows remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Puts `routes` in force unless a newer version is; says whether it did.
    pub fn apply_routes(&mut self, routes: Routes) -> bool {
        let newer = self.config_version().is_none_or(|v| v < routes.version);
        if newer {
            self.routes = Some(routes);
        }
        newer
    }

    /// Says whether the store answers.
    pub fn set_store_reachable(&mut self, answers: bool, now: Instant) {
        self.store_up_since = if answers { self.store_up_since.or(Some(now)) } else { None };
    }

    /// Resumes after the process did not run for `paused`. Until the store answers
    /// again, agents may run that are not in the roster.
    pub fn resume(&mut self, paused: Duration) {
        self.store_up_since = None;
        self.roster.resume(paused);
    }

    /// Takes one packet of a caller.
    pub fn handle_packet(
        &mut self,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let arrival = ReceivedPacket { seg, packet, now };
        if self.routes.is_none() {
            self.park(&arrival);
            return;
        }
        if seg.opens_flow() {
            self.handle_open(&arrival, out);
            return;
        }
        match self.flows.get(arrival.flow(), now) {
            Some(FlowState::Owned { agent, service }) if !self.roster.is_dead(*agent, now) => {
                let message = Message::Forward { service, mode: ForwardMode::Owner };
                out.send_to_agent(*agent, &message, packet);
            }
            _ => self.search_owner(&arrival, out),
        }
    }

    /// Takes one message of an agent; what only agents take is ignored.
    pub fn handle_message(
        &mut self,
        from: SocketAddrV4,
        message: &Message<'_>,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        match message {
            Message::FlowUpdate(note) => self.handle_note(from, *note, now, out),
            Message::Response { answers, load } => {
                self.handle_answers(from, answers, *load, now, out)
            }
            Message::Pong { service, load } => self.roster.handle_pong(from, service, *load, now),
            Message::TargetEnded => self.roster.record_status(from, FlowStatus::TargetEnded),
            _ => {}
        }
    }

    /// Takes what an agent says of a flow.
    pub fn handle_note(
        &mut self,
        from: SocketAddrV4,
        note: FlowUpdate,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        self.roster.record_contact(from, note.load, now);
        self.roster.record_status(from, note.status);
        match note.status {
            FlowStatus::Held => self.record_owner(from, note.flow, now, out),
            FlowStatus::Refused(reason) => self.handle_refusal(from, note.flow, reason, now, out),
            FlowStatus::Unknown
            | FlowStatus::TargetEnded
            | FlowStatus::Unverified
            | FlowStatus::NotOwner => {
                self.handle_denial(from, note.flow, note.status, now, out);
            }
        }
    }

    /// Takes an agent's answers to questions.
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

    /// The target of the agent `from` holds `flow`.
    fn record_owner(
        &mut self,
        from: SocketAddrV4,
        flow: Flow,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        let service = match self.flows.remove(flow) {
            Some(FlowState::Opening(o)) => {
                self.rtt.record_sample(now.duration_since(o.offered_at));
                self.send_owner_hint(from, flow, &o, out);
                o.service
            }
            Some(FlowState::Searching(s)) => {
                let service = s.service.clone();
                self.forward_buffered(from, s, out);
                service
            }
            Some(at @ FlowState::Owned { .. }) => {
                self.flows.insert(flow, at, now);
                return;
            }
            None => return,
        };
        self.flows.insert(flow, FlowState::Owned { agent: from, service }, now);
    }

    /// Tells a flow's home of its owner, unless it is the owner or passed the
    /// open on to it: whoever asks for the flow asks its home first.
    fn send_owner_hint(
        &self,
        owner: SocketAddrV4,
        flow: Flow,
        o: &PendingOpen,
        out: &mut impl Transmit,
    ) {
        let home = self.roster.home_agent(&o.service, &self.zone, flow);
        let Some(home) = home.filter(|h| *h != owner && self.policy.hints_enabled) else { return };
        let passed = o.offered_to.iter().rev().nth(1) == Some(&home);
        if !passed {
            out.send_to_agent(home, &Message::Hint { flow, agent: owner }, &[]);
        }
    }

    /// After how long an answer of an agent is taken as missing.
    fn response_timeout(&self) -> Duration {
        self.rtt.timeout(self.policy.min_timeout, self.policy.max_timeout)
    }

    /// What the balancer believes, as JSON: the configuration's version, the
    /// agents with the age of what it last heard of each, and, where `flow` is
    /// given, where its packets go and by which rule.
    #[must_use]
    pub fn state_json(&self, flow: Option<Flow>, now: Instant) -> serde_json::Value {
        serde_json::json!({
            "version": self.config_version(),
            "ready": self.is_ready(),
            "store_answers_ms": self.store_up_since.map(|at| now.duration_since(at).as_millis()),
            "flows_remembered": self.flows.len(),
            "agents": self.roster.state_json(now),
            "flow": flow.map(|f| self.explain_flow(f, now)),
        })
    }

    fn explain_flow(&self, flow: Flow, now: Instant) -> serde_json::Value {
        let route = self.routes.as_ref().and_then(|r| r.route_for(flow));
        let pick = route.and_then(|(_, weighted)| {
            self.roster.choose_pair(&weighted.service, &self.zone, flow, None, &[], now)
        });
        serde_json::json!({
            "flow": flow.to_string(),
            "route": route.map(|(r, _)| r.name.to_string()),
            "service": route.map(|(_, s)| s.service.to_string()),
            "known": self.flows.peek(flow).map(FlowState::describe),
            "a_new_one_goes_to": pick.map(|(a, b)| (a.to_string(), b.map(|b| b.to_string()))),
        })
    }

    /// Whether callers should be sent here: a configuration is in force and
    /// agents can be reached.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.is_some() && !self.shutting_down && !self.roster.all_silent()
    }

    /// From now on callers should be sent elsewhere.
    pub const fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// When [`FlowSteering::tick`] next has something to do.
    #[must_use]
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        [
            self.deadlines.next_at(),
            self.roster.next_ping(),
            self.unpark_at,
            self.queries.next_send(now),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Does what has come due by `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Transmit) {
        if self.unpark_at.is_some_and(|at| at <= now) {
            self.unpark_at = None;
            self.unpark(now, out);
        }
        while let Some(flow) = self.deadlines.pop_due(now) {
            self.handle_deadline(flow, now, out);
        }
        self.roster.ping_suspects(now, out);
        self.queries.send_queued(now, out);
        let kept = &mut self.buffered_bytes;
        self.flows.expire(now, |_, known| *kept -= known.buffered_bytes());
    }

    fn handle_deadline(&mut self, flow: Flow, now: Instant, out: &mut impl Transmit) {
        match self.flows.peek(flow) {
            Some(FlowState::Opening(o)) if o.deadline <= now => {
                self.handle_open_timeout(flow, now, out)
            }
            Some(FlowState::Searching(s)) if s.wave_deadline.is_some_and(|at| at <= now) => {
                self.handle_wave_timeout(flow, now, out);
            }
            Some(_) | None => {}
        }
    }

    /// Keeps a packet that came before any configuration was known.
    fn park(&mut self, arrival: &ReceivedPacket<'_>) {
        if self.parked.len() >= self.policy.max_parked {
            metrics::refused(Refusal::NoConfig);
            self.parked.pop_front();
        }
        self.unpark_at.get_or_insert(arrival.now + self.policy.unpark_interval);
        let (seg, packet) = (*arrival.seg, arrival.packet.to_vec());
        self.parked.push_back(Parked { arrived_at: arrival.now, seg, packet });
    }

    /// Takes the packets kept until a configuration was known; those whose
    /// callers have sent a copy or given up since are dropped.
    fn unpark(&mut self, now: Instant, out: &mut impl Transmit) {
        if self.routes.is_none() {
            self.unpark_at = Some(now + self.policy.unpark_interval);
            return;
        }
        for p in std::mem::take(&mut self.parked) {
            if now.duration_since(p.arrived_at) < self.policy.open_timeout {
                self.handle_packet(&p.seg, &p.packet, now, out);
            }
        }
    }
}

/// Flows by when to look at them again.
#[derive(Debug, Default)]
struct DeadlineQueue(BinaryHeap<Reverse<(Instant, Flow)>>);

impl DeadlineQueue {
    fn push(&mut self, at: Instant, flow: Flow) {
        self.0.push(Reverse((at, flow)));
    }

    fn next_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next flow out whose time has come.
    fn pop_due(&mut self, now: Instant) -> Option<Flow> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, flow))| flow)
    }
}

/// A packet that came before any configuration was known.
#[derive(Debug)]
struct Parked {
    arrived_at: Instant,
    seg: Segment,
    packet: Vec<u8>,
}

/// Tells a caller at once that its flow cannot be opened; nothing ran.
fn refuse_open(flow: Flow, reason: Refusal, out: &mut impl Transmit) {
    send_refusal(flow, 0, reason, out);
}

fn send_refusal(flow: Flow, seq: u32, reason: Refusal, out: &mut impl Transmit) {
    metrics::refused(reason);
    log::info!(event = events::FLOW_REFUSED, flow:% = flow, reason:% = reason; "flow refused");
    out.send_reset(flow, seq);
}
