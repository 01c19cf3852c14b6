//! Builders of flows, packets, agents and balancers, and a [`Recorder`] of what
//! [`FlowSteering`] and [`FlowTracker`] send.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::flow::{Flags, Flow, Segment};
use jujubepost::policy::BalancerPolicy;
use jujubepost::protocol::{
    Answer, FlowStatus, FlowUpdate, ForwardMode, Message, Open, QueriedFlow, Query, WarmUp,
};
use jujubepost::request::OpenRequest;
use jujubepost::steering::{self, FlowSteering, ListedAgent, Route, Routes, WeightedService};
use jujubepost::tracker::{self, FlowTracker, Report, TargetState};
use jujubepost::wire::Offer;

/// An owned copy of a [`Message`], with the fields that tests check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentMessage {
    Open {
        service: String,
        max_flows: u32,
        aged: bool,
        offer: Offer,
        reply_to: SocketAddrV4,
        warm_up: Option<WarmUp>,
        request: Option<OpenRequest>,
    },
    Forward {
        service: String,
        mode: ForwardMode,
    },
    FlowUpdate(FlowUpdate),
    Query {
        flows: Vec<Flow>,
    },
    Response {
        answers: Vec<Answer>,
    },
    Hint {
        flow: Flow,
        agent: SocketAddrV4,
    },
    Ping {
        listed: bool,
    },
    Pong {
        load: u32,
    },
    TargetEnded,
    Steal {
        room: u32,
    },
    Withdraw {
        flow: Flow,
    },
}

impl SentMessage {
    pub fn from_message(message: &Message<'_>) -> Self {
        match *message {
            Message::Open(o)
            | Message::PacedOpen(o, _)
            | Message::RequestOpen(o, ..)
            | Message::BoundedOpen(o, ..) => Self::Open {
                service: o.service.into(),
                max_flows: o.max_flows,
                aged: o.aged,
                offer: o.offer,
                reply_to: o.reply_to,
                warm_up: match *message {
                    Message::PacedOpen(_, warm_up) => Some(warm_up),
                    Message::RequestOpen(_, _, warm_up) | Message::BoundedOpen(_, _, warm_up) => {
                        warm_up
                    }
                    _ => None,
                },
                request: match *message {
                    Message::RequestOpen(_, request, _) => Some(request),
                    Message::BoundedOpen(_, request, _) => {
                        Some(OpenRequest { bounded: true, ..request })
                    }
                    _ => None,
                },
            },
            Message::Forward { service, mode } => Self::Forward { service: service.into(), mode },
            Message::FlowUpdate(update) => Self::FlowUpdate(update),
            Message::Query(ref query) => {
                Self::Query { flows: query.flows.iter().map(|q| q.flow).collect() }
            }
            Message::Response { ref answers, .. } => Self::Response { answers: answers.clone() },
            Message::Hint { flow, agent } => Self::Hint { flow, agent },
            Message::Ping { listed } => Self::Ping { listed },
            Message::Pong { load, .. } => Self::Pong { load },
            Message::TargetEnded => Self::TargetEnded,
            Message::Steal { room, .. } => Self::Steal { room },
            Message::Withdraw { flow } => Self::Withdraw { flow },
        }
    }

    pub fn to_message(&self) -> Message<'_> {
        match self {
            Self::Open { service, max_flows, aged, offer, reply_to, warm_up, request } => {
                Message::offer(Open {
                    service,
                    max_flows: *max_flows,
                    aged: *aged,
                    offer: *offer,
                    reply_to: *reply_to,
                    warm_up: *warm_up,
                    request: *request,
                })
            }
            Self::Forward { service, mode } => Message::Forward { service, mode: *mode },
            Self::FlowUpdate(update) => Message::FlowUpdate(*update),
            Self::Query { flows } => {
                let questions = flows.iter().map(|f| QueriedFlow { flow: *f, ack: None }).collect();
                Message::Query(Query { service: SERVICE, flows: questions })
            }
            Self::Response { answers } => Message::Response { answers: answers.clone(), load: 0 },
            Self::Hint { flow, agent } => Message::Hint { flow: *flow, agent: *agent },
            Self::Ping { listed } => Message::Ping { listed: *listed },
            Self::Pong { load } => Message::Pong { service: SERVICE, load: *load },
            Self::TargetEnded => Message::TargetEnded,
            Self::Withdraw { flow } => Message::Withdraw { flow: *flow },
            Self::Steal { room } => Message::Steal { service: SERVICE, room: *room },
        }
    }
}

/// Records what is sent through either `Transmit` trait.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    /// Messages to agents or balancers: receiver, message, and the packet that follows.
    pub messages: Vec<(SocketAddrV4, SentMessage, Vec<u8>)>,
    /// Packets to the target.
    pub to_target: Vec<Vec<u8>>,
    /// Packets to callers.
    pub to_callers: Vec<Vec<u8>>,
    /// Resets, with their sequence numbers.
    pub resets: Vec<(Flow, u32)>,
}

impl Recorder {
    /// Statuses in flow updates and responses.
    pub fn statuses(&self) -> Vec<FlowStatus> {
        let statuses_of = |m: &SentMessage| match m {
            SentMessage::FlowUpdate(update) => vec![update.status],
            SentMessage::Response { answers } => answers.iter().map(|a| a.status).collect(),
            _ => Vec::new(),
        };
        self.messages.iter().flat_map(|(_, m, _)| statuses_of(m)).collect()
    }

    /// Agents that opens were sent to, in order.
    pub fn offered(&self) -> Vec<SocketAddrV4> {
        let opens = self.messages.iter().filter(|(_, m, _)| matches!(m, SentMessage::Open { .. }));
        opens.map(|(to, _, _)| *to).collect()
    }

    /// Agents that queries were sent to, in order.
    pub fn queried(&self) -> Vec<SocketAddrV4> {
        let queries =
            self.messages.iter().filter(|(_, m, _)| matches!(m, SentMessage::Query { .. }));
        queries.map(|(to, _, _)| *to).collect()
    }

    /// Answers in all responses.
    pub fn answers(&self) -> Vec<Answer> {
        let answers_of = |m: &SentMessage| match m {
            SentMessage::Response { answers } => answers.clone(),
            _ => Vec::new(),
        };
        self.messages.iter().flat_map(|(_, m, _)| answers_of(m)).collect()
    }

    /// Agents that packets were forwarded to in `mode`, in order.
    pub fn forwarded(&self, mode: ForwardMode) -> Vec<SocketAddrV4> {
        let in_mode =
            |m: &SentMessage| matches!(m, SentMessage::Forward { mode: x, .. } if *x == mode);
        self.messages.iter().filter(|(_, m, _)| in_mode(m)).map(|(to, _, _)| *to).collect()
    }
}

impl steering::Transmit for Recorder {
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.messages.push((to, SentMessage::from_message(message), packet.to_vec()));
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.resets.push((flow, seq));
    }
}

impl tracker::Transmit for Recorder {
    fn send_to_target(&mut self, packet: &[u8]) {
        self.to_target.push(packet.to_vec());
    }

    fn send_to_caller(&mut self, _: SocketAddrV4, packet: &[u8]) {
        self.to_callers.push(packet.to_vec());
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.resets.push((flow, seq));
    }

    fn send_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.messages.push((to, SentMessage::from_message(message), packet.to_vec()));
    }
}

pub const SERVICE: &str = "meter";
pub const ZONE: &str = "gjw-a";

pub fn vip() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port)
}

pub fn flow(port: u16) -> Flow {
    Flow { caller: caller(port), vip: vip() }
}

pub fn agent(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, n), 7_720)
}

pub fn balancer() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 7_720)
}

/// A caller's SYN of flow `port`.
pub fn syn(port: u16) -> Segment {
    let flags = Flags { syn: true, ..Flags::default() };
    Segment { src: caller(port), dst: vip(), flags, seq: 1_000, ack: 0, len: 0 }
}

/// A caller's packet of an established flow, with `len` bytes at `seq`, acknowledging `ack`.
pub fn caller_data(port: u16, seq: u32, ack: u32, len: u16) -> Segment {
    let flags = Flags { ack: true, ..Flags::default() };
    Segment { src: caller(port), dst: vip(), flags, seq, ack, len }
}

/// A target's SYN-ACK of flow `port`, with initial sequence number `seq`.
pub fn syn_ack(port: u16, seq: u32) -> Segment {
    let flags = Flags { syn: true, ack: true, ..Flags::default() };
    Segment { src: vip(), dst: caller(port), flags, seq, ack: 1_001, len: 0 }
}

/// A target's packet with `len` bytes at `seq`.
pub fn target_data(port: u16, seq: u32, len: u16) -> Segment {
    let flags = Flags { ack: true, ..Flags::default() };
    Segment { src: vip(), dst: caller(port), flags, seq, ack: 1_101, len }
}

/// `seg` as returned by a target that does not accept it.
pub fn bounced(seg: Segment) -> Segment {
    Segment { flags: Flags { bounced: true, ..seg.flags }, ..seg }
}

pub fn report(id: &str, seq: u64, state: TargetState) -> Report {
    Report {
        incarnation: id.into(),
        service: SERVICE.into(),
        slots: 5,
        state,
        warmup: Duration::ZERO,
        seq,
    }
}

pub fn routes(version: u64) -> Routes {
    let weighted = WeightedService { service: SERVICE.into(), weight: 1, max_flows: 2_000 };
    let route = Route {
        name: "r".into(),
        services: vec![weighted],
        request_timeout: Duration::from_millis(3_000),
        needs: None,
    };
    Routes {
        version,
        by_address: [(vip(), route)].into(),
        idle_timeout: Duration::from_secs(15),
        cold_rates: BTreeMap::new(),
    }
}

pub fn listed_agent(n: u8) -> ListedAgent {
    ListedAgent {
        addr: agent(n),
        zone: ZONE.into(),
        service: SERVICE.into(),
        incarnation: None,
        queues: true,
        bounded: true,
        since: None,
        registered: 0,
    }
}

/// An agent's tracker that has seen its target start, so that it knows all its flows.
pub fn ready_tracker(now: Instant) -> FlowTracker {
    let mut tracker = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(tracker.handle_report(report("i-1", 1, TargetState::Ready), now));
    tracker
}

/// Steering of a balancer with `agents` listed agents, whose store has been reachable
/// for 60 s.
pub fn steering(agents: u8, now: Instant) -> FlowSteering {
    steering_with_policy(agents, BalancerPolicy::default(), now)
}

/// As [`steering`], with a policy.
pub fn steering_with_policy(agents: u8, policy: BalancerPolicy, now: Instant) -> FlowSteering {
    let mut s =
        FlowSteering::new(balancer(), Arc::from(ZONE), Duration::from_secs(60)).with_policy(policy);
    s.set_store_reachable(true, now - Duration::from_secs(60));
    s.apply_routes(routes(1));
    let listed: Vec<ListedAgent> = (1..=agents).map(listed_agent).collect();
    s.roster.update(&listed, now);
    s
}

/// An open offered to `first` alone.
pub fn open(first: SocketAddrV4, aged: bool) -> Open<'static> {
    let offer = Offer { first, second: None, stage: jujubepost::wire::OfferStage::Assign };
    Open {
        service: SERVICE,
        max_flows: 2_000,
        aged,
        offer,
        reply_to: balancer(),
        warm_up: None,
        request: None,
    }
}

/// Opens flow `port` at `tracker`; `seq` is the target's initial sequence number.
pub fn open_flow(tracker: &mut FlowTracker, port: u16, seq: u32, now: Instant) -> Recorder {
    let mut out = Recorder::default();
    let m = Message::Open(open(agent(1), false));
    tracker.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut out);
    tracker.handle_target_packet(
        &syn_ack(port, seq),
        &mut b"syn-ack".to_vec(),
        now,
        &mut out,
        |_| {},
    );
    tracker.handle_message(
        balancer(),
        &Message::Forward { service: SERVICE, mode: ForwardMode::Owner },
        Some(&caller_data(port, 1_001, seq + 1, 0)),
        b"ack",
        now,
        &mut out,
    );
    out
}
