//! An agent's decisions on the packets of its target: which flows the target
//! holds, which new ones it takes. No sockets and no clocks: time comes in as
//! an argument, what is to be sent goes out through [`Out`].
//!
//! The agent sees both directions at its target, so it knows for certain what
//! the target holds, but for flows that opened before the agent started
//! ([`Target::complete`]); those it finds by trying.

mod demand;
mod held;
mod target;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use demand::Demand;
pub use held::{Held, Stage};
pub use target::{Report, State, Target};

use crate::agent::place::{self, UNABLE, give_back, place};
use crate::agent::{Admit, Step, admit};
use crate::bus::{Message, Mode, Note, Open, Word};
use crate::events;
use crate::flow::{Flow, Segment, Table};
use crate::metrics::{self, Refusal, Retry};
use crate::wire::Offer;

/// How long an open is remembered without an answer of the target: callers
/// give it up after 1.4 s.
const OPEN_KEPT: Duration = Duration::from_millis(1_500);

/// How long an open counts as waiting work before the caller's first packet
/// after it: a handshake takes some 5 ms. After an outage many of the opens
/// that are carried have been given up by their callers; counted for longer,
/// they made targets look busy that were idle.
const OPEN_WAIT: Duration = Duration::from_millis(80);

/// How long a flow counts as waiting for its target's answer at most: a full
/// queue of a target that is five times as slow takes 1.4 s. An answer that
/// the agent did not see (it was restarted) must not count for ever.
const LONGEST_WORK: Duration = Duration::from_millis(2_000);

/// How long a flow that ended is remembered, so that late packets still reach
/// its target: twice the ends' longest pause between copies (1.6 s).
const CLOSED: Duration = Duration::from_millis(3_200);

/// How long a target that no longer reports keeps its flows after it said
/// that it ends: it may still send its last packets.
const ENDING: Duration = Duration::from_millis(500);

/// How long a target that gave an open back is offered none: it is full, or
/// its process is over, which trying its port shows meanwhile.
const FULL: Duration = Duration::from_millis(250);

/// Silence after an open was handed to the target before its port is tried: a
/// handshake takes 0.3 ms, and a balancer offers the flow elsewhere after 40.
const SILENT_OPEN: Duration = Duration::from_millis(60);

/// Silence after a request was handed to the target before its port is tried:
/// the longest work seen takes 0.3 s, and a busy target answers others.
const SILENT_WORK: Duration = Duration::from_millis(400);

/// Where notes go that nobody waits for.
const NOBODY: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);

/// What an agent sends.
pub trait Out {
    /// A packet to the target.
    fn target(&mut self, packet: &[u8]);
    /// A packet of the target to its caller.
    fn caller(&mut self, to: SocketAddrV4, packet: &[u8]);
    /// A reset of `flow` to its caller; `seq` is the caller's last
    /// acknowledgement.
    fn reset(&mut self, flow: Flow, seq: u32);
    /// A message, followed by a caller's packet, to a balancer or agent.
    fn peer(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]);
}

/// One agent's knowledge of its target.
#[derive(Debug)]
pub struct Holder {
    service: Arc<str>,
    target: Option<Target>,
    /// The start of the target for which an earlier process beside it took
    /// flows, if that is known.
    before: Option<String>,
    flows: Table<Held>,
    /// Flows whose target has work to do.
    waiting: u32,
    demand: Demand,
    answers: metrics::Answers,
    /// Until when the target is taken to be full, after it gave an open back.
    full_until: Option<Instant>,
    /// Flows to look at, once each has had its time.
    looks: VecDeque<(Instant, Flow)>,
    /// Opens to look at, in the order of their time.
    opens: VecDeque<(Instant, Flow)>,
    ending: Option<Instant>,
    stopping: bool,
    /// When the target was first handed something that it should have
    /// answered by now, if nothing has come from it since.
    silent_since: Option<Instant>,
}

impl Holder {
    /// The agent of a target of `service`; flows without packets for `idle` are forgotten.
    #[must_use]
    pub fn new(service: Arc<str>, idle: Duration) -> Self {
        Self {
            answers: metrics::Answers::new(&service),
            service,
            target: None,
            before: None,
            flows: Table::new(idle),
            waiting: 0,
            demand: Demand::default(),
            full_until: None,
            looks: VecDeque::new(),
            opens: VecDeque::new(),
            ending: None,
            stopping: false,
            silent_since: None,
        }
    }

    /// An earlier process beside the target last took flows for the start
    /// `target`.
    pub fn follows(&mut self, target: Option<String>) {
        self.before = target;
    }

    /// Open flows known.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Flows whose target has work to do.
    #[must_use]
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// The target as it last reported.
    #[must_use]
    pub const fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    /// What the agent believes, as JSON: its target and, where `flow` is given,
    /// how far it has come there.
    #[must_use]
    pub fn beliefs(&self, flow: Option<Flow>, now: Instant) -> serde_json::Value {
        let target = self.target.as_ref().map(|t| {
            serde_json::json!({
                "id": t.id(),
                "state": t.state().to_string(),
                "alive": t.alive(),
                "slots": t.slots(),
                "all_flows_known": t.complete(),
            })
        });
        serde_json::json!({
            "service": self.service,
            "target": target,
            "flows": self.flows.len(),
            "waiting": self.waiting,
            "load": self.load(now),
            "stopping": self.stopping,
            "flow": flow.map(|f| self.flows.peek(f).map(|h| format!("{:?}", h.stage))),
        })
    }

    /// Takes no new flow from now on.
    pub const fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the target has been silent for so long that its port should be
    /// tried.
    #[must_use]
    pub fn doubtful(&self, now: Instant) -> bool {
        let alive = self.target.as_ref().is_some_and(Target::alive);
        alive && self.silent_since.is_some_and(|at| now >= at)
    }

    /// The target's port is closed: its process is over, and its flows with
    /// it. The next start reports itself.
    pub fn crashed(&mut self, out: &mut impl Out) {
        if let Some(t) = &mut self.target {
            t.end();
        }
        self.silent_since = None;
        self.drop_flows(out);
    }

    /// The target's port is open: it is slow, not gone.
    pub fn slow(&mut self, now: Instant) {
        self.silent_since = Some(now + SILENT_WORK);
    }

    /// Something was handed to the target that it answers within `within`.
    fn expect(&mut self, within: Duration, now: Instant) {
        let at = now + within;
        self.silent_since = Some(self.silent_since.map_or(at, |known| known.min(at)));
    }

    /// Whether the agent may go: it is stopping and its target has no work
    /// in progress.
    #[must_use]
    pub const fn idle(&self) -> bool {
        self.stopping && self.waiting == 0
    }

    /// Takes a report of the target; says whether it changed what the agent
    /// believes.
    ///
    /// A new start leaves the flows as they are: it may have opened some before
    /// its first report. Those of the start before it come back bounced.
    pub fn report(&mut self, report: Report, now: Instant) -> bool {
        self.silent_since = None;
        if *report.service != *self.service {
            log::warn!(
                event = events::REPORT_IGNORED, target_id = report.id, service = report.service,
                expected:% = self.service;
                "report of another service ignored"
            );
            return false;
        }
        match &mut self.target {
            Some(t) if t.was(&report.id) => {
                log::info!(
                    event = events::REPORT_IGNORED, target_id = report.id, report = report.seq,
                    current = t.id();
                    "late report of an earlier start ignored"
                );
                false
            }
            Some(t) if t.is(&report.id) => t.update(&report, now),
            before => {
                let next = Target::new(&report, before.as_ref(), self.before.as_deref(), now);
                *before = Some(next);
                self.ending = None;
                true
            }
        }
    }

    /// The target `id` says that it ends.
    pub fn gone(&mut self, id: &str, now: Instant) -> bool {
        let current = self.target.as_ref().is_some_and(|t| t.is(id));
        if current {
            self.ending = Some(now + ENDING);
        }
        current
    }

    /// The target's process is over: its flows are gone, and their callers
    /// are told so that they can come again at once.
    fn drop_flows(&mut self, out: &mut impl Out) {
        let lost: Vec<(Flow, u32)> = self
            .flows
            .iter()
            .filter(|(_, h)| h.stage == Stage::Open && h.caller_ack != 0)
            .map(|(f, h)| (f, h.caller_ack))
            .collect();
        for (flow, ack) in lost {
            reset(flow, ack, out);
        }
        let flows: Vec<Flow> = self.flows.iter().map(|(f, _)| f).collect();
        for flow in flows {
            self.remove(flow);
        }
    }

    fn load(&self, now: Instant) -> u32 {
        let Some(t) = &self.target else { return UNABLE };
        if self.stopping || self.ending.is_some() || !t.takes() || self.full(now) {
            return UNABLE;
        }
        let flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        place::backlog(flows, self.waiting + t.cold(now), self.demand.per_flow())
    }

    fn full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|at| now < at)
    }

    fn admit(&self, open: &Open<'_>, now: Instant) -> Admit {
        let Some(t) = &self.target else { return Admit::Refuse(Refusal::NoTarget) };
        if self.full(now) {
            return Admit::Refuse(Refusal::Full);
        }
        let queue = if open.aged { 0 } else { t.slots() };
        if self.waiting >= t.slots() + queue {
            return Admit::Refuse(Refusal::Busy);
        }
        let leaving = !t.takes() || self.ending.is_some();
        let drain = leaving.then_some(Duration::ZERO);
        let max = usize::try_from(open.max_flows).unwrap_or(usize::MAX);
        admit(drain, Duration::ZERO, self.stopping, self.flows.len(), max)
    }

    /// Takes one message of a balancer or agent, with the packet after it.
    pub fn message(
        &mut self,
        from: SocketAddrV4,
        message: &Message<'_>,
        seg: Option<&Segment>,
        packet: &[u8],
        now: Instant,
        out: &mut impl Out,
    ) {
        match (message, seg) {
            (Message::Open(open), Some(seg)) => self.open(open, seg, packet, now, out),
            (Message::Carry { service, mode }, Some(seg)) => {
                if **service == *self.service {
                    self.carry(from, *mode, seg, packet, now, out);
                } else {
                    metrics::refused(Refusal::ForeignOwner);
                }
            }
            (Message::Ping { .. }, _) => {
                let load = self.load(now);
                out.peer(from, &Message::Pong { service: &self.service, load }, &[]);
            }
            _ => {}
        }
    }

    /// An open offered to this agent.
    fn open(
        &mut self,
        open: &Open<'_>,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Out,
    ) {
        let flow = seg.by_caller();
        if let Some(h) = self.flows.get(flow, now) {
            if h.opened_by(seg) {
                h.reply = Some(open.reply);
                let answered = !matches!(h.stage, Stage::Opening { .. });
                out.target(packet);
                if answered {
                    self.note(flow, Word::Held, open.reply, now, out);
                }
                return;
            }
            self.remove(flow);
        }
        let admit = if *open.service == *self.service {
            self.admit(open, now)
        } else {
            Admit::Refuse(Refusal::ForeignOwner)
        };
        let load = self.load(now);
        match place(admit, load, open.offer) {
            Step::Take => self.take(open, seg, packet, now, out),
            Step::Pass(offer) => pass(open, offer, packet, out),
            Step::Refuse(reason) => self.refuse(flow, reason, open.reply, now, out),
        }
    }

    fn take(
        &mut self,
        open: &Open<'_>,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Out,
    ) {
        let flow = seg.by_caller();
        if events::sampled(flow.hash64()) {
            log::info!(
                event = events::FLOW_TAKEN, flow:% = flow, waiting = self.waiting,
                flows = self.flows.len(), aged = open.aged;
                "flow taken (one of many)"
            );
        }
        let stage =
            Stage::Opening { offer: open.offer, max_flows: open.max_flows, aged: open.aged };
        let held = Held { reply: Some(open.reply), ..Held::new(stage, seg.seq) };
        self.flows.insert(flow, held, now);
        self.wait(flow, true, now);
        self.opens.push_back((now + OPEN_WAIT, flow));
        self.looks.push_back((now + OPEN_KEPT, flow));
        self.expect(SILENT_OPEN, now);
        out.target(packet);
    }

    fn refuse(
        &self,
        flow: Flow,
        reason: Refusal,
        reply: SocketAddrV4,
        now: Instant,
        out: &mut impl Out,
    ) {
        metrics::refused(reason);
        log::info!(
            event = events::OPEN_DECLINED, flow:% = flow, reason:% = reason,
            waiting = self.waiting, flows = self.flows.len();
            "open not taken"
        );
        self.note(flow, Word::Refused(reason), reply, now, out);
    }

    fn note(&self, flow: Flow, word: Word, to: SocketAddrV4, now: Instant, out: &mut impl Out) {
        if to == NOBODY {
            return;
        }
        let load = self.load(now);
        out.peer(to, &Message::Note(Note { flow, word, load }), &[]);
    }

    /// A packet of a flow that some target has open.
    fn carry(
        &mut self,
        from: SocketAddrV4,
        mode: Mode,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Out,
    ) {
        let flow = seg.by_caller();
        let known = self.flows.get(flow, now).map(|h| h.accepts(seg));
        match known {
            Some(true) => {
                self.note_caller(flow, seg, now);
                out.target(packet);
                if mode != Mode::Owner {
                    self.note(flow, Word::Held, from, now, out);
                }
            }
            Some(false) => self.note(flow, Word::Unknown, from, now, out),
            None => self.carry_unknown(from, mode, seg, packet, now, out),
        }
    }

    /// A packet of a flow that this agent has not seen.
    fn carry_unknown(
        &mut self,
        from: SocketAddrV4,
        mode: Mode,
        seg: &Segment,
        packet: &[u8],
        now: Instant,
        out: &mut impl Out,
    ) {
        let flow = seg.by_caller();
        let complete = self.target.as_ref().is_some_and(Target::complete);
        if complete {
            self.note(flow, Word::Unknown, from, now, out);
        } else if mode == Mode::Ask {
            self.note(flow, Word::Unsure, from, now, out);
        } else {
            log::info!(
                event = events::FLOW_TRIED, flow:% = flow, mode:? = mode;
                "unknown flow tried at the target"
            );
            let held = Held { reply: Some(from), ..Held::new(Stage::Trial, seg.seq) };
            self.flows.insert(flow, held, now);
            out.target(packet);
        }
    }

    /// Notes what a packet of the caller says of its flow.
    fn note_caller(&mut self, flow: Flow, seg: &Segment, now: Instant) {
        let Some(h) = self.flows.get(flow, now) else { return };
        if seg.flags.ack {
            h.caller_ack = seg.ack;
        }
        if matches!(h.stage, Stage::Answered(_)) {
            h.stage = Stage::Open;
        }
        h.caller_done |= seg.flags.fin;
        let over = seg.flags.rst || h.over();
        if h.takes_data(seg) {
            self.wait(flow, true, now);
            self.looks.push_back((now + LONGEST_WORK, flow));
            self.expect(SILENT_WORK, now);
        }
        if over {
            self.close(flow, now);
        }
    }

    /// Takes one packet that the target sent.
    pub fn target_packet(
        &mut self,
        seg: &Segment,
        packet: &mut [u8],
        now: Instant,
        out: &mut impl Out,
        clear: impl FnOnce(&mut [u8]),
    ) {
        if seg.flags.bounced {
            clear(packet);
            self.silent_since = None;
            self.bounced(seg, packet, now, out);
            return;
        }
        self.silent_since = None;
        let flow = seg.by_target();
        self.answered(flow, seg, now, out);
        out.caller(flow.caller, packet);
    }

    fn answered(&mut self, flow: Flow, seg: &Segment, now: Instant, out: &mut impl Out) {
        let Some(h) = self.flows.get(flow, now) else {
            // The agent started after the flow opened.
            if !seg.flags.rst {
                let held = Held { ours: true, ..Held::new(Stage::Open, 0) };
                self.flows.insert(flow, held, now);
            }
            return;
        };
        let before = h.stage;
        h.stage = match before {
            Stage::Opening { .. } | Stage::Answered(_) if seg.flags.syn => Stage::Answered(seg.seq),
            Stage::Trial | Stage::Foreign => Stage::Open,
            other => other,
        };
        h.ours = true;
        let news = h.stage != before;
        let reply = h.reply;
        h.target_done |= seg.flags.fin;
        let over = seg.flags.rst || h.over();
        if seg.len > 0 || over {
            self.wait(flow, false, now);
        }
        if over {
            self.close(flow, now);
        }
        if let (true, Some(to)) = (news, reply) {
            self.note(flow, Word::Held, to, now, out);
        }
    }

    /// The target gave a packet back: it does not hold the flow, or cannot
    /// accept it.
    fn bounced(&mut self, seg: &Segment, packet: &[u8], now: Instant, out: &mut impl Out) {
        let flow = seg.by_caller();
        let Some(h) = self.remove(flow) else { return };
        let reply = h.reply.unwrap_or(NOBODY);
        let (Stage::Opening { offer, max_flows, aged }, true) = (h.stage, seg.opens()) else {
            if h.ours && h.stage != Stage::Closed {
                reset(flow, seg.ack, out);
            }
            self.flows.insert(flow, Held::new(Stage::Foreign, 0), now);
            self.note(flow, Word::Unknown, reply, now, out);
            return;
        };
        let service = self.service.clone();
        let open = Open { service: &service, max_flows, aged, offer, reply };
        metrics::retried(Retry::Bounced);
        self.full_until = Some(now + FULL);
        self.expect(Duration::ZERO, now);
        match give_back(offer) {
            Step::Pass(on) => pass(&open, on, packet, out),
            Step::Take | Step::Refuse(_) => self.refuse(flow, Refusal::Full, reply, now, out),
        }
    }

    /// Counts the flow as waiting for its target, or no longer.
    fn wait(&mut self, flow: Flow, on: bool, now: Instant) {
        let Some(h) = self.flows.get(flow, now) else { return };
        if h.waiting.is_some() != on {
            let since = std::mem::replace(&mut h.waiting, on.then_some(now));
            let opened = !matches!(h.stage, Stage::Opening { .. } | Stage::Answered(_));
            if let Some(at) = since.filter(|_| opened) {
                self.answers.note(now.duration_since(at));
            }
            self.demand.observe(self.waiting, self.flows.len(), now);
            self.waiting = if on { self.waiting + 1 } else { self.waiting.saturating_sub(1) };
        }
    }

    fn close(&mut self, flow: Flow, now: Instant) {
        if let Some(h) = self.flows.get(flow, now)
            && h.stage != Stage::Closed
        {
            h.stage = Stage::Closed;
            self.looks.push_back((now + CLOSED, flow));
        }
        self.wait(flow, false, now);
    }

    fn remove(&mut self, flow: Flow) -> Option<Held> {
        let held = self.flows.remove(flow)?;
        if held.waiting.is_some() {
            self.waiting = self.waiting.saturating_sub(1);
        }
        Some(held)
    }

    /// Drops a flow that has ended or was never answered, and no longer counts
    /// as waiting what has waited too long to be true.
    fn look(&mut self, flow: Flow, now: Instant) {
        let Some(h) = self.flows.peek(flow) else { return };
        let waited = h.waiting.map(|at| now.duration_since(at));
        match (h.stage, waited) {
            (Stage::Closed | Stage::Opening { .. }, _) => drop(self.remove(flow)),
            (_, Some(t)) if t >= LONGEST_WORK => self.wait(flow, false, now),
            _ => {}
        }
    }

    /// When [`Holder::tick`] next has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let look = self.looks.front().map(|(at, _)| *at);
        let open = self.opens.front().map(|(at, _)| *at);
        let alive = self.target.as_ref().is_some_and(Target::alive);
        let silent = self.silent_since.filter(|_| alive);
        [look, open, self.ending, silent].into_iter().flatten().min()
    }

    /// Does what has come due by `now`.
    pub fn tick(&mut self, now: Instant, out: &mut impl Out) {
        while let Some((_, flow)) = self.opens.front().copied().filter(|(at, _)| *at <= now) {
            self.opens.pop_front();
            let stage = self.flows.peek(flow).map(|h| h.stage);
            if matches!(stage, Some(Stage::Opening { .. } | Stage::Answered(_))) {
                self.wait(flow, false, now);
            }
        }
        while let Some((_, flow)) = self.looks.front().copied().filter(|(at, _)| *at <= now) {
            self.looks.pop_front();
            self.look(flow, now);
        }
        if self.ending.is_some_and(|at| at <= now) {
            self.ending = None;
            if let Some(t) = &mut self.target {
                t.end();
            }
            self.drop_flows(out);
        }
        let mut lost = 0;
        self.flows.expire(now, |_, h| lost += u32::from(h.waiting.is_some()));
        self.waiting = self.waiting.saturating_sub(lost);
    }
}

/// Tells a caller that its flow is gone with the target's process.
fn reset(flow: Flow, ack: u32, out: &mut impl Out) {
    log::info!(event = events::FLOW_RESET, flow:% = flow, reason = "target_ended"; "flow reset");
    metrics::refused(Refusal::TargetEnded);
    out.reset(flow, ack);
}

/// Passes an open, of which nothing ran, to the other candidate.
fn pass(open: &Open<'_>, offer: Offer, packet: &[u8], out: &mut impl Out) {
    metrics::retried(Retry::PassedOn);
    out.peer(offer.to(), &Message::Open(Open { offer, ..*open }), packet);
}
