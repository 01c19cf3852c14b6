//! A balancer's decisions on packets whose flows it may never have seen: to
//! which agent each goes. No sockets and no clocks: time comes in as an
//! argument, what is to be sent goes out through [`Out`].
//!
//! - A new flow is offered to two agents of its route's service, which decide
//!   between them by what they know of themselves ([`crate::agent::place()`]).
//!   Agents that do not answer in time are left for the next two.
//! - For a flow that another balancer saw open, agents of the service are asked,
//!   a few at a time; the packet waits until one says that its target holds it.
//! - What a balancer remembers of flows is a cache; the truth is at the agents.
//!
//! All that grows with trouble has a budget: further offers of opens, questions
//! to agents, packets kept ([`Steering`]).

mod opens;
mod owner;
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

use queries::Queries;
pub use roster::{Announced, Roster};
pub use routes::{Route, Routes, Share};
use rtt::Rtt;
pub use search::Search;
pub use state::{FlowState, Opening};

use crate::budget::Bucket;
use crate::events;
use crate::flow::{Flow, FlowTable, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal};
use crate::policy::Steering;
use crate::protocol::{Answer, FlowStatus, FlowUpdate, ForwardMode, Message};

/// What a balancer sends.
pub trait Out {
    /// A message, followed by a caller's packet, to an agent.
    fn agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]);
    /// A reset of `flow` to its caller; `seq` is the caller's last
    /// acknowledgement.
    fn reset(&mut self, flow: Flow, seq: u32);
}

/// One balancer's view and memory.
#[derive(Debug)]
pub struct Steer {
    me: SocketAddrV4,
    zone: Arc<str>,
    routes: Option<Routes>,
    /// The agents that the balancer believes in.
    pub roster: Roster,
    flows: FlowTable<FlowState>,
    due: DueQueue,
    policy: Steering,
    queries: Queries,
    /// How long agents take to answer.
    rtt: Rtt,
    /// Further offers of opens that may be made.
    retries: Bucket,
    /// Bytes of packets kept while their flows' owners are asked for.
    kept: usize,
    /// Since when the store answers; none while it does not, so that agents
    /// may run which are not in the roster.
    sees_since: Option<Instant>,
    parked: VecDeque<Parked>,
    unpark_at: Option<Instant>,
    stopping: bool,
}

impl Steer {
    /// A balancer in `zone` at which agents answer at `me`, and which
    /// remembers flows for `idle`.
    #[must_use]
    pub fn new(me: SocketAddrV4, zone: Arc<str>, idle: Duration) -> Self {
        Self {
            me,
            zone,
            routes: None,
            roster: Roster::default(),
            flows: FlowTable::new(idle),
            due: DueQueue::default(),
            policy: Steering::default(),
            queries: Queries::new(0.0, 0.0),
            rtt: Rtt::default(),
            retries: Bucket::new(0.0),
            kept: 0,
            sees_since: None,
            parked: VecDeque::new(),
            unpark_at: None,
            stopping: false,
        }
        .policy(Steering::default())
    }

    /// The balancer with another policy.
    #[must_use]
    pub fn policy(mut self, policy: Steering) -> Self {
        self.queries = Queries::new(policy.asks, policy.ask_burst);
        self.retries = Bucket::new(policy.retry_burst);
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
    pub fn version(&self) -> Option<u64> {
        self.routes.as_ref().map(|r| r.version)
    }

    /// Flows remembered.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.flows.len()
    }

    /// Puts `routes` in force unless a newer version is; says whether it did.
    pub fn apply_routes(&mut self, routes: Routes) -> bool {
        let newer = self.version().is_none_or(|v| v < routes.version);
        if newer {
            self.routes = Some(routes);
        }
        newer
    }

    /// Says whether the store answers.
    pub fn see(&mut self, answers: bool, now: Instant) {
        self.sees_since = if answers { self.sees_since.or(Some(now)) } else { None };
    }

    /// Resumes after the process did not run for `paused`. Until the store answers
    /// again, agents may run that are not in the roster.
    pub fn resume(&mut self, paused: Duration) {
        self.sees_since = None;
        self.roster.resume(paused);
    }

    /// Takes one packet of a caller.
    pub fn packet(&mut self, seg: &Segment, packet: &[u8], now: Instant, out: &mut impl Out) {
        let came = ReceivedPacket { seg, packet, now };
        if self.routes.is_none() {
            self.park(&came);
            return;
        }
        if seg.opens_flow() {
            self.open(&came, out);
            return;
        }
        match self.flows.get(came.flow(), now) {
            Some(FlowState::At { agent, service }) if !self.roster.gone(*agent, now) => {
                let message = Message::Forward { service, mode: ForwardMode::Owner };
                out.agent(*agent, &message, packet);
            }
            _ => self.search(&came, out),
        }
    }

    /// Takes one message of an agent; what only agents take is ignored.
    pub fn message(
        &mut self,
        from: SocketAddrV4,
        message: &Message<'_>,
        now: Instant,
        out: &mut impl Out,
    ) {
        match message {
            Message::FlowUpdate(note) => self.note(from, *note, now, out),
            Message::Response { answers, load } => self.answers(from, answers, *load, now, out),
            Message::Pong { service, load } => self.roster.pong(from, service, *load, now),
            Message::TargetEnded => self.roster.said(from, FlowStatus::TargetEnded),
            _ => {}
        }
    }

    /// Takes what an agent says of a flow.
    pub fn note(&mut self, from: SocketAddrV4, note: FlowUpdate, now: Instant, out: &mut impl Out) {
        self.roster.heard(from, note.load, now);
        self.roster.said(from, note.status);
        match note.status {
            FlowStatus::Held => self.held(from, note.flow, now, out),
            FlowStatus::Refused(reason) => self.refused(from, note.flow, reason, now, out),
            FlowStatus::Unknown
            | FlowStatus::TargetEnded
            | FlowStatus::Unverified
            | FlowStatus::NotOwner => {
                self.unknown(from, note.flow, note.status, now, out);
            }
        }
    }

    /// Takes an agent's answers to questions.
    pub fn answers(
        &mut self,
        from: SocketAddrV4,
        answers: &[Answer],
        load: u32,
        now: Instant,
        out: &mut impl Out,
    ) {
        self.roster.heard(from, load, now);
        for answer in answers {
            self.roster.said(from, answer.status);
            self.answer(from, *answer, now, out);
        }
    }

    /// The target of the agent `from` holds `flow`.
    fn held(&mut self, from: SocketAddrV4, flow: Flow, now: Instant, out: &mut impl Out) {
        let service = match self.flows.remove(flow) {
            Some(FlowState::Opening(o)) => {
                self.rtt.note(now.duration_since(o.asked));
                self.tell_home(from, flow, &o, out);
                o.service
            }
            Some(FlowState::Search(s)) => {
                let service = s.service.clone();
                self.found(from, s, out);
                service
            }
            Some(at @ FlowState::At { .. }) => {
                self.flows.insert(flow, at, now);
                return;
            }
            None => return,
        };
        self.flows.insert(flow, FlowState::At { agent: from, service }, now);
    }

    /// Tells a flow's home of its owner, unless it is the owner or passed the
    /// open on to it: whoever asks for the flow asks its home first.
    fn tell_home(&self, owner: SocketAddrV4, flow: Flow, o: &Opening, out: &mut impl Out) {
        let home = self.roster.home(&o.service, &self.zone, flow);
        let Some(home) = home.filter(|h| *h != owner && self.policy.hints) else { return };
        let passed = o.offered.iter().rev().nth(1) == Some(&home);
        if !passed {
            out.agent(home, &Message::Hint { flow, agent: owner }, &[]);
        }
    }

    /// After how long an answer of an agent is taken as missing.
    fn answer_time(&self) -> Duration {
        self.rtt.timeout(self.policy.answer, self.policy.slowest)
    }

    /// What the balancer believes, as JSON: the configuration's version, the
    /// agents with the age of what it last heard of each, and, where `flow` is
    /// given, where its packets go and by which rule.
    #[must_use]
    pub fn beliefs(&self, flow: Option<Flow>, now: Instant) -> serde_json::Value {
        serde_json::json!({
            "version": self.version(),
            "ready": self.ready(),
            "store_answers_ms": self.sees_since.map(|at| now.duration_since(at).as_millis()),
            "flows_remembered": self.flows.len(),
            "agents": self.roster.beliefs(now),
            "flow": flow.map(|f| self.explain(f, now)),
        })
    }

    fn explain(&self, flow: Flow, now: Instant) -> serde_json::Value {
        let route = self.routes.as_ref().and_then(|r| r.find(flow));
        let pick = route.and_then(|(_, share)| {
            self.roster.pick(&share.service, &self.zone, flow, None, &[], now)
        });
        serde_json::json!({
            "flow": flow.to_string(),
            "route": route.map(|(r, _)| r.name.to_string()),
            "service": route.map(|(_, s)| s.service.to_string()),
            "known": self.flows.peek(flow).map(FlowState::rule),
            "a_new_one_goes_to": pick.map(|(a, b)| (a.to_string(), b.map(|b| b.to_string()))),
        })
    }

    /// Whether callers should be sent here: a configuration is in force and
    /// agents can be reached.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.routes.is_some() && !self.stopping && !self.roster.cut_off()
    }

    /// From now on callers should be sent elsewhere.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// When [`Steer::tick`] next has something to do.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        [self.due.first(), self.roster.next_ping(), self.unpark_at, self.queries.next(now)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Does what has come due by `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Out) {
        if self.unpark_at.is_some_and(|at| at <= now) {
            self.unpark_at = None;
            self.unpark(now, out);
        }
        while let Some(flow) = self.due.take(now) {
            self.overdue(flow, now, out);
        }
        self.roster.ping(now, out);
        self.queries.send(now, out);
        let kept = &mut self.kept;
        self.flows.expire(now, |_, known| *kept -= known.kept());
    }

    fn overdue(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        match self.flows.peek(flow) {
            Some(FlowState::Opening(o)) if o.due <= now => self.reoffer(flow, now, out),
            Some(FlowState::Search(s)) if s.due.is_some_and(|at| at <= now) => {
                self.unanswered(flow, now, out);
            }
            Some(_) | None => {}
        }
    }

    /// Keeps a packet that came before any configuration was known.
    fn park(&mut self, came: &ReceivedPacket<'_>) {
        if self.parked.len() >= self.policy.parked {
            metrics::refused(Refusal::NoConfig);
            self.parked.pop_front();
        }
        self.unpark_at.get_or_insert(came.now + self.policy.unpark);
        let (seg, packet) = (*came.seg, came.packet.to_vec());
        self.parked.push_back(Parked { since: came.now, seg, packet });
    }

    /// Takes the packets kept until a configuration was known; those whose
    /// callers have sent a copy or given up since are dropped.
    fn unpark(&mut self, now: Instant, out: &mut impl Out) {
        if self.routes.is_none() {
            self.unpark_at = Some(now + self.policy.unpark);
            return;
        }
        for p in std::mem::take(&mut self.parked) {
            if now.duration_since(p.since) < self.policy.patience {
                self.packet(&p.seg, &p.packet, now, out);
            }
        }
    }
}

/// Flows by when to look at them again.
#[derive(Debug, Default)]
struct DueQueue(BinaryHeap<Reverse<(Instant, Flow)>>);

impl DueQueue {
    fn put(&mut self, at: Instant, flow: Flow) {
        self.0.push(Reverse((at, flow)));
    }

    fn first(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next flow out whose time has come.
    fn take(&mut self, now: Instant) -> Option<Flow> {
        self.first().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, flow))| flow)
    }
}

/// A packet that came before any configuration was known.
#[derive(Debug)]
struct Parked {
    since: Instant,
    seg: Segment,
    packet: Vec<u8>,
}

/// Tells a caller at once that its flow cannot be opened; nothing ran.
fn refuse(flow: Flow, reason: Refusal, out: &mut impl Out) {
    refuse_at(flow, 0, reason, out);
}

fn refuse_at(flow: Flow, seq: u32, reason: Refusal, out: &mut impl Out) {
    metrics::refused(reason);
    log::info!(event = events::FLOW_REFUSED, flow:% = flow, reason:% = reason; "flow refused");
    out.reset(flow, seq);
}
