//! An agent's decisions on the packets of its target: which flows the target
//! holds, which new ones it takes. No sockets and no clocks: time comes in as
//! an argument, what is to be sent goes out through [`Transmit`].
//!
//! The agent sees both directions at its target, so it knows for certain what
//! the target holds, but for flows that opened before the agent started
//! ([`Target::complete`]); those it finds by trying.

mod admission;
mod lifecycle;
mod load;
mod packets;
mod queries;
mod target;
mod tracked_flow;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use load::LoadEstimate;
pub use target::{IgnoreReason, Incarnation, Predecessor, Report, Target, TargetState};
pub use tracked_flow::{FlowPhase, TrackedFlow};

use crate::events;
use crate::flow::{Flow, FlowTable, ReceivedPacket, Segment};
use crate::metrics::{self, Refusal, Retry};
use crate::policy::AgentPolicy;
use crate::protocol::{Message, Open};
use crate::wire::Offer;

/// Where notes go that nobody waits for.
const NO_REPLY: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);

/// What an agent sends.
pub trait Transmit {
    /// A packet to the target.
    fn send_to_target(&mut self, packet: &[u8]);
    /// A packet of the target to its caller.
    fn send_to_caller(&mut self, to: SocketAddrV4, packet: &[u8]);
    /// A reset of `flow` to its caller; `seq` is the caller's last
    /// acknowledgement.
    fn send_reset(&mut self, flow: Flow, seq: u32);
    /// A message, followed by a caller's packet, to a balancer or agent.
    fn send_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]);
}

/// Flows in the order of their time; all wait equally long, so the last to
/// come is the last to go.
type Queue = VecDeque<(Instant, Flow)>;

/// One agent's knowledge of its target.
#[derive(Debug)]
pub struct FlowTracker {
    service: Arc<str>,
    target: Option<Target>,
    predecessor: Option<Predecessor>,
    flows: FlowTable<TrackedFlow>,
    policy: AgentPolicy,
    /// Agents to which opens were passed on, and those that balancers or stopping
    /// agents named, this one among them: what it says when asked for the flow.
    hints: FlowTable<SocketAddrV4>,
    /// An agent of the service, the last that shared an offer with this one.
    last_peer: Option<SocketAddrV4>,
    /// Flows whose target has work to do.
    waiting: u32,
    flow_load: LoadEstimate,
    answer_times: metrics::Answers,
    /// Until when the target is taken to be full, after it gave an open back.
    full_until: Option<Instant>,
    /// Opens that count as waiting until their time.
    pending_opens: Queue,
    /// Opens that are remembered without an answer until their time.
    unanswered_opens: Queue,
    /// Flows whose work counts as waiting until their time at most.
    pending_work: Queue,
    /// Ended flows that are remembered until their time.
    closed_flows: Queue,
    ends_at: Option<Instant>,
    /// No process of the target runs: its port is closed, or it said goodbye.
    target_ended: bool,
    stopping: bool,
    /// The target sent on a flow that this process did not see open, so an
    /// earlier one took flows for the target's present start.
    inherited: bool,
    /// Balancers may not know that the agent takes flows: the store did not list
    /// it before this process, or it has said that its target ended.
    newly_listed: bool,
    /// It has said that its target ended.
    end_announced: bool,
    /// When its target first reported, since it is a newcomer.
    first_report: Option<Instant>,
    /// When the target was first handed something that it should have
    /// answered by now, if nothing has come from it since.
    probe_at: Option<Instant>,
}

impl FlowTracker {
    /// The agent of a target of `service`; flows without packets for `idle` are forgotten.
    #[must_use]
    pub fn new(service: Arc<str>, idle: Duration) -> Self {
        Self {
            answer_times: metrics::Answers::new(&service),
            service,
            target: None,
            predecessor: None,
            flows: FlowTable::new(idle),
            policy: AgentPolicy::default(),
            hints: FlowTable::new(idle),
            last_peer: None,
            waiting: 0,
            flow_load: LoadEstimate::default(),
            full_until: None,
            pending_opens: Queue::default(),
            unanswered_opens: Queue::default(),
            pending_work: Queue::default(),
            closed_flows: Queue::default(),
            ends_at: None,
            target_ended: false,
            stopping: false,
            inherited: false,
            newly_listed: false,
            end_announced: false,
            first_report: None,
            probe_at: None,
        }
    }

    /// The agent with another policy.
    #[must_use]
    pub fn with_policy(mut self, policy: AgentPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// An earlier process beside the target last took flows for the start
    /// `target`, if that is known; this one takes the target's reports from
    /// `now` on.
    pub fn set_predecessor(&mut self, incarnation: Option<Incarnation>, now: Instant) {
        self.predecessor =
            incarnation.map(|incarnation| Predecessor { incarnation, replaced_at: now });
    }

    /// The store did not list the agent before: balancers are yet to see it.
    pub const fn mark_new(&mut self) {
        self.newly_listed = true;
    }

    /// Open flows known.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Flows whose target has work to do.
    #[must_use]
    pub const fn waiting_count(&self) -> u32 {
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
    pub fn status_json(&self, flow: Option<Flow>, now: Instant) -> serde_json::Value {
        let target = self.target.as_ref().map(|t| {
            serde_json::json!({
                "start": t.incarnation().to_string(),
                "state": t.state().to_string(),
                "alive": t.is_alive(),
                "slots": t.slots(),
                "all_flows_known": t.all_flows_known(),
            })
        });
        serde_json::json!({
            "service": self.service,
            "target": target,
            "flows": self.flows.len(),
            "waiting": self.waiting,
            "load": self.load(now),
            "stopping": self.stopping,
            "flow": flow.map(|f| self.flows.peek(f).map(|h| format!("{:?}", h.phase))),
        })
    }

    /// Whether no process of the target runs: its port is closed, or it said
    /// goodbye.
    #[must_use]
    pub const fn target_ended(&self) -> bool {
        self.target_ended
    }

    /// Takes no new flow from now on.
    pub const fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Whether the agent may go: it is stopping and its target has no work
    /// in progress.
    #[must_use]
    pub const fn is_drained(&self) -> bool {
        self.stopping && self.waiting == 0
    }

    /// Takes one message of a balancer or agent, with the packet after it.
    pub fn handle_message(
        &mut self,
        from: SocketAddrV4,
        message: &Message<'_>,
        seg: Option<&Segment>,
        packet: &[u8],
        now: Instant,
        out: &mut impl Transmit,
    ) {
        match (message, seg) {
            (Message::Open(open), Some(seg)) => {
                self.handle_open(open, &ReceivedPacket { seg, packet, now }, out)
            }
            (Message::Forward { service, mode }, Some(seg)) => {
                if **service == *self.service {
                    self.handle_forward(from, *mode, &ReceivedPacket { seg, packet, now }, out);
                } else {
                    metrics::refused(Refusal::ForeignOwner);
                }
            }
            (Message::Query(ask), _) => self.answer_query(from, ask, now, out),
            (Message::Hint { flow, agent }, _) => self.hints.insert(*flow, *agent, now),
            (Message::Ping { .. }, _) => {
                let load = self.load(now);
                out.send_message(from, &Message::Pong { service: &self.service, load }, &[]);
                if self.target_ended {
                    self.end_announced = true;
                    out.send_message(from, &Message::TargetEnded, &[]);
                }
            }
            _ => {}
        }
    }
}

/// Tells a caller that its flow is gone with the target's process.
fn reset(flow: Flow, ack: u32, out: &mut impl Transmit) {
    log::info!(event = events::FLOW_RESET, flow:% = flow, reason = "target_ended"; "flow reset");
    metrics::refused(Refusal::TargetEnded);
    out.send_reset(flow, ack);
}

/// Passes an open, of which nothing ran, to the other candidate.
fn pass(open: &Open<'_>, offer: Offer, packet: &[u8], out: &mut impl Transmit) {
    metrics::retried(Retry::PassedOn);
    out.send_message(offer.next_agent(), &Message::Open(Open { offer, ..*open }), packet);
}
