//! An agent's decisions on the packets of its target: which flows the target
//! holds, which new ones it takes. No sockets and no clocks: time comes in as
//! an argument, what is to be sent goes out through [`Out`].
//!
//! The agent sees both directions at its target, so it knows for certain what
//! the target holds, but for flows that opened before the agent started
//! ([`Target::complete`]); those it finds by trying.

mod demand;
mod held;
mod life;
mod opens;
mod packets;
mod target;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use demand::Demand;
pub use held::{Held, Stage};
pub use target::{Ignored, Predecessor, Report, Start, State, Target};

use crate::bus::{Message, Open};
use crate::events;
use crate::flow::{Arrival, Flow, Segment, Table};
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

/// How long an agent that the store did not list before takes no flow after its
/// target's first report, on which it lists itself. Balancers look at the store
/// again 0.3 s after a change, so some see the agent that much later than the
/// first; asked for a flow that it took meanwhile, they would find that no agent
/// they know holds it, and reset it. The rest is for the write and the watch.
const SEEN: Duration = Duration::from_millis(500);

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

/// Flows in the order of their time; all wait equally long, so the last to
/// come is the last to go.
type Queue = VecDeque<(Instant, Flow)>;

/// One agent's knowledge of its target.
#[derive(Debug)]
pub struct Holder {
    service: Arc<str>,
    target: Option<Target>,
    before: Option<Predecessor>,
    flows: Table<Held>,
    /// Flows whose target has work to do.
    waiting: u32,
    demand: Demand,
    answers: metrics::Answers,
    /// Until when the target is taken to be full, after it gave an open back.
    full_until: Option<Instant>,
    /// Opens that count as waiting until their time.
    opens: Queue,
    /// Opens that are remembered without an answer until their time.
    unanswered: Queue,
    /// Flows whose work counts as waiting until their time at most.
    working: Queue,
    /// Ended flows that are remembered until their time.
    ended: Queue,
    ending: Option<Instant>,
    /// No process of the target runs: its port is closed, or it said goodbye.
    absent: bool,
    stopping: bool,
    /// The store did not list the agent before this process.
    newcomer: bool,
    /// When its target first reported.
    met: Option<Instant>,
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
            opens: Queue::default(),
            unanswered: Queue::default(),
            working: Queue::default(),
            ended: Queue::default(),
            ending: None,
            absent: false,
            stopping: false,
            newcomer: false,
            met: None,
            silent_since: None,
        }
    }

    /// An earlier process beside the target last took flows for the start
    /// `target`, if that is known; this one takes the target's reports from
    /// `now` on.
    pub fn follows(&mut self, target: Option<Start>, now: Instant) {
        self.before = target.map(|target| Predecessor { target, until: now });
    }

    /// The store did not list the agent before: balancers are yet to see it.
    pub const fn mark_new(&mut self) {
        self.newcomer = true;
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
                "start": t.start().to_string(),
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

    /// Whether the agent may go: it is stopping and its target has no work
    /// in progress.
    #[must_use]
    pub const fn idle(&self) -> bool {
        self.stopping && self.waiting == 0
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
            (Message::Open(open), Some(seg)) => self.open(open, &Arrival { seg, packet, now }, out),
            (Message::Carry { service, mode }, Some(seg)) => {
                if **service == *self.service {
                    self.carry(from, *mode, &Arrival { seg, packet, now }, out);
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
