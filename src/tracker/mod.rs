//! Connection tracking and flow admission at an agent, without I/O: time is an
//! argument, and output goes through [`Transmit`].
//!
//! An agent sees both directions of its target's traffic, so it knows every flow
//! that opened since it started. Unless [`Target::all_flows_known`], packets of other
//! flows are delivered to the target to learn whether it holds them.

mod admission;
mod cold_start;
mod lifecycle;
mod load;
mod outliers;
mod packets;
mod queries;
mod queue;
mod target;
mod tracked_flow;
mod write_ahead;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use cold_start::{ColdAllowance, ColdStart};
pub use load::LoadEstimate;
pub use target::{IgnoreReason, Incarnation, Report, Target, TargetState};
pub use tracked_flow::{FlowPhase, TrackedFlow};
pub use write_ahead::{MAX_EARLY_REPORT_SEQ, Predecessor};

use crate::admission::{OpenQueue, QueuedPeers};
use crate::events;
use crate::flow::{Flow, FlowTable, ReceivedPacket, Segment};
use crate::load::WorkEstimate;
use crate::metrics::{self, Refusal, Retry};
use crate::outlier::Health;
use crate::policy::{AgentPolicy, QueuePolicy};
use crate::protocol::{Message, Open};
use crate::request::OpenRequest;
use crate::wire::Offer;

/// Reply address of flows whose updates no balancer waits for.
const NO_REPLY: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);

/// How long an agent remembers to which other it handed an open over: callers repeat SYNs for
/// 1.4 s.
const HANDED_OVER_TTL: Duration = Duration::from_millis(1_500);

/// Output of a [`FlowTracker`].
pub trait Transmit {
    /// Sends a packet to the target.
    fn send_to_target(&mut self, packet: &[u8]);
    /// Sends a packet of the target to the caller at `to`.
    fn send_to_caller(&mut self, to: SocketAddrV4, packet: &[u8]);
    /// Resets `flow` at its caller. `seq` is the caller's last acknowledgement
    /// number.
    fn send_reset(&mut self, flow: Flow, seq: u32);
    /// Sends a message, followed by a caller's packet, to a balancer or agent.
    fn send_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]);
}

/// Timers with the same delay, so that they expire in order of insertion.
type TimerQueue = VecDeque<(Instant, Flow)>;

/// Flows, timers and target state of one agent.
#[derive(Debug)]
pub struct FlowTracker {
    service: Arc<str>,
    target: Option<Target>,
    predecessor: Option<Predecessor>,
    /// Whether flows of an incarnation wait until the next process could tell of them.
    writes_ahead: bool,
    /// Incarnation that the store names as the one served by this agent.
    written: Option<Incarnation>,
    flows: FlowTable<TrackedFlow>,
    policy: AgentPolicy,
    /// Possible owners of flows: agents that opens were passed on to, and agents named
    /// in received hints, which may be this one.
    hints: FlowTable<SocketAddrV4>,
    /// The agent that last shared an offer with this one.
    last_peer: Option<SocketAddrV4>,
    /// Flows that wait for an answer of the target.
    waiting: u32,
    flow_load: LoadEstimate,
    /// Opens that wait for a slot.
    queue: OpenQueue<queue::Delivery>,
    /// Agents to which queued opens were handed over.
    handed_over: FlowTable<SocketAddrV4>,
    /// Other agents' queues.
    peers: QueuedPeers,
    work: WorkEstimate,
    answer_times: metrics::AnswerTimes,
    /// Whether the target fails requests.
    health: Health,
    /// Until when the target counts as full, after it returned an open.
    full_until: Option<Instant>,
    /// Requests given to the target lately, which are limited while it is cold.
    cold_start: ColdStart,
    cold_allowance: ColdAllowance,
    /// When flows that are not established no longer count as waiting.
    pending_handshakes: TimerQueue,
    /// When opens without an answer are removed.
    unanswered_opens: TimerQueue,
    /// When requests without an answer no longer count as waiting.
    pending_requests: TimerQueue,
    /// When closed flows are removed.
    closed_flows: TimerQueue,
    /// When a target that announced its shutdown counts as ended.
    ends_at: Option<Instant>,
    /// Whether no process of the target runs: its port is closed, or it announced its
    /// shutdown.
    target_ended: bool,
    stopping: bool,
    /// Whether the target sent on a flow that this process did not see open, which
    /// shows that a previous process accepted flows for the current incarnation.
    inherited: bool,
    /// Whether balancers may not know yet that the agent accepts flows: it was not
    /// registered before, or it reported that its target ended.
    newly_listed: bool,
    /// Whether the agent has notified a balancer that its target ended.
    end_reported: bool,
    /// When the target's first report arrived; reset by the first report after an
    /// end that balancers were notified of.
    first_report: Option<Instant>,
    /// When to probe the target's port, unless a packet or report of the target arrives
    /// earlier.
    probe_at: Option<Instant>,
}

impl FlowTracker {
    /// A tracker for a target of `service`, with the default policy. Flows expire after
    /// `idle_timeout` without packets.
    #[must_use]
    pub fn new(service: Arc<str>, idle_timeout: Duration) -> Self {
        Self {
            answer_times: metrics::AnswerTimes::new(&service),
            service,
            target: None,
            predecessor: None,
            writes_ahead: false,
            written: None,
            flows: FlowTable::new(idle_timeout),
            policy: AgentPolicy::default(),
            hints: FlowTable::new(idle_timeout),
            last_peer: None,
            waiting: 0,
            flow_load: LoadEstimate::default(),
            queue: OpenQueue::new(QueuePolicy::default()),
            handed_over: FlowTable::new(HANDED_OVER_TTL),
            peers: QueuedPeers::default(),
            work: WorkEstimate::default(),
            health: Health::new(AgentPolicy::default().outlier),
            full_until: None,
            cold_start: ColdStart::default(),
            cold_allowance: ColdAllowance::default(),
            pending_handshakes: TimerQueue::default(),
            unanswered_opens: TimerQueue::default(),
            pending_requests: TimerQueue::default(),
            closed_flows: TimerQueue::default(),
            ends_at: None,
            target_ended: false,
            stopping: false,
            inherited: false,
            newly_listed: false,
            end_reported: false,
            first_report: None,
            probe_at: None,
        }
    }

    /// Replaces the policy.
    #[must_use]
    pub fn with_policy(mut self, policy: AgentPolicy) -> Self {
        self.queue = OpenQueue::new(policy.queued.clone());
        self.health = Health::new(policy.outlier);
        self.policy = policy;
        self
    }

    /// Sets what a cold target is allowed beyond the rate that it bears.
    #[must_use]
    pub const fn with_cold_allowance(mut self, allowance: ColdAllowance) -> Self {
        self.cold_allowance = allowance;
        self
    }

    /// Records that the store did not list the agent before, so that balancers do not
    /// know it yet.
    pub const fn mark_new(&mut self) {
        self.newly_listed = true;
    }

    /// Number of tracked flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Number of flows that wait for an answer of the target.
    #[must_use]
    pub const fn waiting_count(&self) -> u32 {
        self.waiting
    }

    /// Service of the target.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// State of the target; `None` before its first report.
    #[must_use]
    pub const fn target(&self) -> Option<&Target> {
        self.target.as_ref()
    }

    /// The state as JSON for operators: the target, the load and, if `flow` is given,
    /// the phase of that flow.
    #[must_use]
    pub fn state_json(&self, flow: Option<Flow>, now: Instant) -> serde_json::Value {
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
            "queued": self.queue.len(),
            "work_us": self.work.mean().map(|work| work.as_micros()),
            "load": self.load(now),
            "stopping": self.stopping,
            "outlier": self.health.state_json(now),
            "flow": flow.map(|f| self.flows.peek(f).map(|tracked| format!("{:?}", tracked.phase))),
        })
    }

    /// Whether no process of the target runs: its port is closed, or it announced its
    /// shutdown.
    #[must_use]
    pub const fn target_ended(&self) -> bool {
        self.target_ended
    }

    /// Records that everything sent since the last call has left at `now`.
    pub fn finish_batch(&mut self, now: Instant) {
        self.cold_start.finish_batch(now);
    }

    /// Refuses new flows from now on.
    pub const fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Whether the agent is stopping, no flow waits for an answer of the target, and the next
    /// process can tell which flows it may hold.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.stopping && self.waiting == 0 && !self.awaits_record()
    }

    /// Handles a message of a balancer or agent. `seg` is the decoded header of the
    /// `packet` that follows the message, if there is one.
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
            (Message::PacedOpen(open, warm_up), Some(seg)) => {
                let open = Open { warm_up: Some(*warm_up), ..*open };
                self.handle_open(&open, &ReceivedPacket { seg, packet, now }, out)
            }
            (Message::RequestOpen(open, request, warm_up), Some(seg)) => {
                let open = Open { warm_up: *warm_up, request: Some(*request), ..*open };
                self.handle_open(&open, &ReceivedPacket { seg, packet, now }, out)
            }
            (Message::BoundedOpen(open, request, warm_up), Some(seg)) => {
                let request = OpenRequest { bounded: true, ..*request };
                let open = Open { warm_up: *warm_up, request: Some(request), ..*open };
                self.handle_open(&open, &ReceivedPacket { seg, packet, now }, out)
            }
            (Message::Forward { service, mode }, Some(seg)) => {
                if **service == *self.service {
                    self.handle_forward(from, *mode, &ReceivedPacket { seg, packet, now }, out);
                } else {
                    metrics::count_refusal(Refusal::WrongService);
                }
            }
            (Message::Steal { service, room }, _) if **service == *self.service => {
                self.hand_over(from, *room, now, out)
            }
            (Message::Withdraw { flow }, _) => self.withdraw(*flow),
            (Message::Query(query), _) => self.answer_query(from, query, now, out),
            (Message::Hint { flow, agent }, _) => self.hints.insert(*flow, *agent, now),
            (Message::Ping { .. }, _) => {
                let load = self.load(now);
                out.send_message(from, &Message::Pong { service: &self.service, load }, &[]);
                if self.target_ended {
                    self.end_reported = true;
                    out.send_message(from, &Message::TargetEnded, &[]);
                }
            }
            _ => {}
        }
        self.deliver_queued(now, out);
    }
}

/// Resets a flow at its caller because the target's process has ended.
fn reset_flow(flow: Flow, ack: u32, out: &mut impl Transmit) {
    log::info!(event = events::FLOW_RESET, flow:% = flow, reason = "target_ended"; "flow reset");
    metrics::count_refusal(Refusal::TargetEnded);
    out.send_reset(flow, ack);
}

/// Passes an open, of which the target received nothing, to the other candidate.
fn pass_on(open: &Open<'_>, offer: Offer, packet: &[u8], out: &mut impl Transmit) {
    metrics::count_retry(Retry::PassedOn);
    out.send_message(offer.next_agent(), &Message::offer(Open { offer, ..*open }), packet);
}
