//! A balancer's decisions on packets whose flows it may never have seen: to
//! which agent each goes. No sockets and no clocks: time comes in as an
//! argument, what is to be sent goes out through [`Out`].
//!
//! - A new flow is offered to two agents of its route's service, which decide
//!   between them by what they know of themselves ([`crate::agent::place()`]).
//!   Agents that do not answer within [`ANSWER`] are left for the next two.
//! - A packet of a flow that another balancer saw open goes to all agents of
//!   the service; the one whose target holds the flow hands it on and says so.
//! - What a balancer remembers of flows is a cache; the truth is at the agents.

mod known;
mod opens;
mod roster;
mod routes;
mod search;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use known::{Known, Opening, Search};
pub use roster::{Announced, Roster};
pub use routes::{Route, Routes, Share};

use crate::bus::{Message, Mode, Note, Word};
use crate::events;
use crate::flow::{Arrival, Flow, Segment, Table};
use crate::metrics::{self, Refusal};

/// How long agents may take to say what became of an open or of a packet of
/// an unknown flow. A handshake costs a target 0.3 ms and a round trip
/// between data centres 2 ms, twice with a compare of loads; callers send a
/// copy after 200 ms, before which three more pairs can be tried.
pub const ANSWER: Duration = Duration::from_millis(40);

/// Pause before an open is offered to the same agents again: their targets
/// are starting, or the store is listing them anew.
const ROUND: Duration = Duration::from_millis(100);

/// Agents that an open is offered to in one round while they are busy: with
/// more, an overload would be answered by a flood of offers.
const BUSY_OFFERS: usize = 4;

/// An open older than this gives way to newer ones at a busy target: it is
/// late whatever is done for it, the newer ones need not be.
const AGED: Duration = Duration::from_millis(150);

/// How long an open is offered: its caller gives it up after 1.4 s.
const PATIENCE: Duration = Duration::from_millis(1_300);

/// How long after the store's return an agent may still be missing from it:
/// the platform says about 2 s.
const RELISTED: Duration = Duration::from_millis(2_500);

/// Most packets kept until a configuration is known: 0.5 s of a busy
/// balancer's opens, 0.6 MB at most.
const PARKED: usize = 512;

/// How often it is looked whether a configuration has come.
const UNPARK: Duration = Duration::from_millis(20);

/// Targets that are tried at first for a flow that no agent knows; where the
/// flow's own target may not be among those left, they are the only ones. Each
/// trial is a packet at a target that may not hold the flow, and the platform
/// counts a flow as misrouted once three have reached others, and none its own,
/// for 2 s or more, however long the pause between them.
const TRIALS: usize = 2;

/// How long an agent of the service that does not answer holds up trials: it
/// may be the flow's own, and one that is killed or stopped as planned is back
/// within 1 s.
const RESTART: Duration = Duration::from_millis(1_200);

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
    flows: Table<Known>,
    due: VecDeque<(Instant, Flow)>,
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
            flows: Table::new(idle),
            due: VecDeque::new(),
            sees_since: None,
            parked: VecDeque::new(),
            unpark_at: None,
            stopping: false,
        }
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
    pub fn obey(&mut self, routes: Routes) -> bool {
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

    /// Takes one packet of a caller.
    pub fn packet(&mut self, seg: &Segment, packet: &[u8], now: Instant, out: &mut impl Out) {
        let came = Arrival { seg, packet, now };
        if self.routes.is_none() {
            self.park(&came);
            return;
        }
        if seg.opens() {
            self.open(&came, out);
            return;
        }
        match self.flows.get(came.flow(), now) {
            Some(Known::At { agent, service }) if !self.roster.gone(*agent, now) => {
                let message = Message::Carry { service, mode: Mode::Owner };
                out.agent(*agent, &message, packet);
            }
            _ => self.search(&came, out),
        }
    }

    /// Takes what an agent says of a flow.
    pub fn note(&mut self, from: SocketAddrV4, note: Note, now: Instant, out: &mut impl Out) {
        self.roster.heard(from, note.load, now);
        match note.word {
            Word::Held => self.held(from, note.flow, now),
            Word::Refused(reason) => self.refused(from, note.flow, reason, now, out),
            Word::Unknown | Word::Unsure | Word::Foreign => {
                self.unknown(from, note.flow, note.word, now, out);
            }
        }
    }

    fn held(&mut self, from: SocketAddrV4, flow: Flow, now: Instant) {
        let service = match self.flows.get(flow, now) {
            Some(Known::Opening(o)) => o.service.clone(),
            Some(Known::Search(s)) => s.service.clone(),
            Some(Known::At { .. }) | None => return,
        };
        self.flows.insert(flow, Known::At { agent: from, service }, now);
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
            "known": self.flows.peek(flow).map(Known::rule),
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
    pub fn next_due(&self) -> Option<Instant> {
        let due = self.due.front().map(|(at, _)| *at);
        [due, self.roster.next_ping(), self.unpark_at].into_iter().flatten().min()
    }

    /// Does what has come due by `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Out) {
        if self.unpark_at.is_some_and(|at| at <= now) {
            self.unpark_at = None;
            self.unpark(now, out);
        }
        while let Some((_, flow)) = self.due.front().copied().filter(|(at, _)| *at <= now) {
            self.due.pop_front();
            self.overdue(flow, now, out);
        }
        self.roster.ping(now, out);
        self.flows.expire(now, |_, _| {});
    }

    fn overdue(&mut self, flow: Flow, now: Instant, out: &mut impl Out) {
        match self.flows.peek(flow) {
            Some(Known::Opening(o)) if o.due <= now => self.reoffer(flow, now, out),
            Some(Known::Search(s)) if s.due.is_some_and(|at| at <= now) => {
                log::info!(
                    event = events::OWNER_UNKNOWN, flow:% = flow, silent:? = s.waiting,
                    unsure:? = s.unsure, tried:? = s.tried;
                    "flow's owner not found"
                );
                self.unanswered(flow, now, out);
            }
            Some(_) | None => {}
        }
    }

    /// Keeps a packet that came before any configuration was known.
    fn park(&mut self, came: &Arrival<'_>) {
        if self.parked.len() == PARKED {
            metrics::refused(Refusal::NoConfig);
            self.parked.pop_front();
        }
        self.unpark_at.get_or_insert(came.now + UNPARK);
        let (seg, packet) = (*came.seg, came.packet.to_vec());
        self.parked.push_back(Parked { since: came.now, seg, packet });
    }

    /// Takes the packets kept until a configuration was known; those whose
    /// callers have sent a copy or given up since are dropped.
    fn unpark(&mut self, now: Instant, out: &mut impl Out) {
        if self.routes.is_none() {
            self.unpark_at = Some(now + UNPARK);
            return;
        }
        for p in std::mem::take(&mut self.parked) {
            if now.duration_since(p.since) < PATIENCE {
                self.packet(&p.seg, &p.packet, now, out);
            }
        }
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
