//! What balancers' and agents' decisions send, recorded; and a small world of
//! them, with targets, on a virtual clock.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::flow::{Flags, Flow, Segment};
use jujubepost::policy::BalancerPolicy;
use jujubepost::protocol::{
    Answer, FlowStatus, FlowUpdate, ForwardMode, Message, Open, QueriedFlow, Query,
};
use jujubepost::steering::{self, FlowSteering, ListedAgent, Route, Routes, WeightedService};
use jujubepost::tracker::{self, FlowTracker, Report, TargetState};
use jujubepost::wire::Offer;

/// A message as it was sent, owned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    Open { service: String, max_flows: u32, aged: bool, offer: Offer, reply: SocketAddrV4 },
    Carry { service: String, mode: ForwardMode },
    Note(FlowUpdate),
    Ask { flows: Vec<Flow> },
    Answers { answers: Vec<Answer> },
    Hint { flow: Flow, agent: SocketAddrV4 },
    Ping { listed: bool },
    Pong { load: u32 },
    Ended,
}

impl Sent {
    pub fn of(m: &Message<'_>) -> Self {
        match *m {
            Message::Open(o) => Self::Open {
                service: o.service.into(),
                max_flows: o.max_flows,
                aged: o.aged,
                offer: o.offer,
                reply: o.reply_to,
            },
            Message::Forward { service, mode } => Self::Carry { service: service.into(), mode },
            Message::FlowUpdate(n) => Self::Note(n),
            Message::Query(ref ask) => {
                Self::Ask { flows: ask.flows.iter().map(|q| q.flow).collect() }
            }
            Message::Response { ref answers, .. } => Self::Answers { answers: answers.clone() },
            Message::Hint { flow, agent } => Self::Hint { flow, agent },
            Message::Ping { listed } => Self::Ping { listed },
            Message::Pong { load, .. } => Self::Pong { load },
            Message::TargetEnded => Self::Ended,
        }
    }

    pub fn message(&self) -> Message<'_> {
        match self {
            Self::Open { service, max_flows, aged, offer, reply } => Message::Open(Open {
                service,
                max_flows: *max_flows,
                aged: *aged,
                offer: *offer,
                reply_to: *reply,
            }),
            Self::Carry { service, mode } => Message::Forward { service, mode: *mode },
            Self::Note(n) => Message::FlowUpdate(*n),
            Self::Ask { flows } => {
                let questions = flows.iter().map(|f| QueriedFlow { flow: *f, ack: None }).collect();
                Message::Query(Query { service: SERVICE, flows: questions })
            }
            Self::Answers { answers } => Message::Response { answers: answers.clone(), load: 0 },
            Self::Hint { flow, agent } => Message::Hint { flow: *flow, agent: *agent },
            Self::Ping { listed } => Message::Ping { listed: *listed },
            Self::Pong { load } => Message::Pong { service: SERVICE, load: *load },
            Self::Ended => Message::TargetEnded,
        }
    }
}

/// Everything that was sent.
#[derive(Clone, Debug, Default)]
pub struct Wires {
    /// To agents or balancers, with the packet after the message.
    pub peers: Vec<(SocketAddrV4, Sent, Vec<u8>)>,
    /// To the target.
    pub target: Vec<Vec<u8>>,
    /// To callers.
    pub callers: Vec<Vec<u8>>,
    /// Resets of the system's own.
    pub resets: Vec<(Flow, u32)>,
}

impl Wires {
    /// The words of the notes and answers sent.
    pub fn statuses(&self) -> Vec<FlowStatus> {
        let of = |m: &Sent| match m {
            Sent::Note(n) => vec![n.status],
            Sent::Answers { answers } => answers.iter().map(|a| a.status).collect(),
            _ => Vec::new(),
        };
        self.peers.iter().flat_map(|(_, m, _)| of(m)).collect()
    }

    /// To whom opens went.
    pub fn opens(&self) -> Vec<SocketAddrV4> {
        let opens = self.peers.iter().filter(|(_, m, _)| matches!(m, Sent::Open { .. }));
        opens.map(|(to, _, _)| *to).collect()
    }

    /// Which agents were asked for a flow's owner, in order.
    pub fn asked(&self) -> Vec<SocketAddrV4> {
        let asks = self.peers.iter().filter(|(_, m, _)| matches!(m, Sent::Ask { .. }));
        asks.map(|(to, _, _)| *to).collect()
    }

    /// What was answered to questions.
    pub fn answers(&self) -> Vec<Answer> {
        let of = |m: &Sent| match m {
            Sent::Answers { answers } => answers.clone(),
            _ => Vec::new(),
        };
        self.peers.iter().flat_map(|(_, m, _)| of(m)).collect()
    }

    /// To whom packets went in `mode`.
    pub fn carried(&self, mode: ForwardMode) -> Vec<SocketAddrV4> {
        let of = |m: &Sent| matches!(m, Sent::Carry { mode: x, .. } if *x == mode);
        self.peers.iter().filter(|(_, m, _)| of(m)).map(|(to, _, _)| *to).collect()
    }
}

impl steering::Transmit for Wires {
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.peers.push((to, Sent::of(message), packet.to_vec()));
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.resets.push((flow, seq));
    }
}

impl tracker::Transmit for Wires {
    fn send_to_target(&mut self, packet: &[u8]) {
        self.target.push(packet.to_vec());
    }

    fn send_to_caller(&mut self, _: SocketAddrV4, packet: &[u8]) {
        self.callers.push(packet.to_vec());
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.resets.push((flow, seq));
    }

    fn send_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.peers.push((to, Sent::of(message), packet.to_vec()));
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

/// A caller's packet that opens flow `port`.
pub fn syn(port: u16) -> Segment {
    let flags = Flags { syn: true, ..Flags::default() };
    Segment { src: caller(port), dst: vip(), flags, seq: 1_000, ack: 0, len: 0 }
}

/// A caller's later packet with `len` bytes at `seq`, acknowledging `ack`.
pub fn data(port: u16, seq: u32, ack: u32, len: u16) -> Segment {
    let flags = Flags { ack: true, ..Flags::default() };
    Segment { src: caller(port), dst: vip(), flags, seq, ack, len }
}

/// The packet of a target that agrees to open flow `port` at `seq`.
pub fn syn_ack(port: u16, seq: u32) -> Segment {
    let flags = Flags { syn: true, ack: true, ..Flags::default() };
    Segment { src: vip(), dst: caller(port), flags, seq, ack: 1_001, len: 0 }
}

/// A target's packet with `len` bytes.
pub fn answer(port: u16, seq: u32, len: u16) -> Segment {
    let flags = Flags { ack: true, ..Flags::default() };
    Segment { src: vip(), dst: caller(port), flags, seq, ack: 1_101, len }
}

/// `seg` as a target gives it back.
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
    };
    Routes { version, by_address: [(vip(), route)].into(), idle_timeout: Duration::from_secs(15) }
}

pub fn announced(n: u8) -> ListedAgent {
    ListedAgent { addr: agent(n), zone: ZONE.into(), service: SERVICE.into(), incarnation: None }
}

/// An agent whose target it saw start.
pub fn holder(now: Instant) -> FlowTracker {
    let mut h = FlowTracker::new(SERVICE.into(), Duration::from_secs(60));
    assert!(h.handle_report(report("i-1", 1, TargetState::Ready), now));
    h
}

/// A balancer that knows `agents` agents and whose store has answered for
/// long.
pub fn steer(agents: u8, now: Instant) -> FlowSteering {
    steer_with(agents, BalancerPolicy::default(), now)
}

/// The same with a policy.
pub fn steer_with(agents: u8, policy: BalancerPolicy, now: Instant) -> FlowSteering {
    let mut s =
        FlowSteering::new(balancer(), Arc::from(ZONE), Duration::from_secs(60)).with_policy(policy);
    s.set_store_reachable(true, now - Duration::from_secs(60));
    s.apply_routes(routes(1));
    let listed: Vec<ListedAgent> = (1..=agents).map(announced).collect();
    s.roster.update(&listed, now);
    s
}

/// The message of an open offered to `first` alone.
pub fn open(first: SocketAddrV4, aged: bool) -> Open<'static> {
    let offer = Offer { first, second: None, stage: jujubepost::wire::OfferStage::Assign };
    Open { service: SERVICE, max_flows: 2_000, aged, offer, reply_to: balancer() }
}

/// Has `h` open flow `port`, its target answering with `seq`.
pub fn opened(h: &mut FlowTracker, port: u16, seq: u32, now: Instant) -> Wires {
    let mut w = Wires::default();
    let m = Message::Open(open(agent(1), false));
    h.handle_message(balancer(), &m, Some(&syn(port)), b"syn", now, &mut w);
    h.handle_target_packet(&syn_ack(port, seq), &mut b"syn-ack".to_vec(), now, &mut w, |_| {});
    h.handle_message(
        balancer(),
        &Message::Forward { service: SERVICE, mode: ForwardMode::Owner },
        Some(&data(port, 1_001, seq + 1, 0)),
        b"ack",
        now,
        &mut w,
    );
    w
}
