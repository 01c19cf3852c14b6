//! What one packet costs a balancer and an agent: their decisions with the
//! codec around them, and beside them the decision of the product's own
//! interface. No sockets. Prints nanoseconds per packet, the median of runs.
//!
//! `cargo run --release --example packet`

use std::collections::{HashMap, HashSet};
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubepost::balancer::{self, Pool, View};
use jujubepost::flow::{Flags, Flow, Segment};
use jujubepost::maglev::MaglevTable;
use jujubepost::platform::packet;
use jujubepost::protocol::{self, FlowStatus, FlowUpdate, ForwardMode, Message};
use jujubepost::settings::{Policy, ProfileSettings, Service};
use jujubepost::steering::{self, FlowSteering, ListedAgent, Route, Routes, WeightedService};
use jujubepost::tracker::{self, FlowTracker, Report, TargetState};
use jujubepost::wire::{self, Owner, Packet, PacketKind};

const RUNS: usize = 9;
const FLOWS: u16 = 10_000;
const DATA: usize = 1_200;

/// Encodes what would be sent, and drops it.
#[derive(Default)]
struct Encode {
    buf: Vec<u8>,
    sent: u64,
}

impl steering::Transmit for Encode {
    fn send_to_agent(&mut self, _: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        protocol::encode(message, packet, &mut self.buf).unwrap();
        self.sent += black_box(self.buf.len()) as u64;
    }

    fn send_reset(&mut self, _: Flow, _: u32) {}
}

impl tracker::Transmit for Encode {
    fn send_to_target(&mut self, packet: &[u8]) {
        self.sent += black_box(packet.len()) as u64;
    }

    fn send_to_caller(&mut self, _: SocketAddrV4, packet: &[u8]) {
        self.sent += black_box(packet.len()) as u64;
    }

    fn send_reset(&mut self, _: Flow, _: u32) {}

    fn send_message(&mut self, _: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        protocol::encode(message, packet, &mut self.buf).unwrap();
        self.sent += black_box(self.buf.len()) as u64;
    }
}

fn addr(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, n), 7_720)
}

fn vip() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn flow(port: u16) -> Flow {
    Flow { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port), vip: vip() }
}

fn datagram(port: u16, syn: bool) -> Vec<u8> {
    let f = flow(port);
    let flags = Flags { syn, ack: !syn, ..Flags::default() };
    let data = vec![7; if syn { 0 } else { DATA }];
    let len = data.len() as u16;
    let seg = Segment { src: f.caller, dst: f.vip, flags, seq: 1, ack: 1, len };
    packet::encode(&seg, &data)
}

fn median(mut run: impl FnMut() -> Duration) -> f64 {
    let mut times: Vec<f64> =
        (0..RUNS).map(|_| run().as_nanos() as f64 / f64::from(FLOWS)).collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

fn steer_with_flows(packets: &[Vec<u8>]) -> FlowSteering {
    let now = Instant::now();
    let mut s = FlowSteering::new(addr(200), "a".into(), Duration::from_secs(60));
    let share = WeightedService { service: "meter".into(), weight: 1, max_flows: 2_000 };
    let route =
        Route { name: "r".into(), services: vec![share], request_timeout: Duration::from_secs(3) };
    let idle = Duration::from_secs(15);
    s.apply_routes(Routes { version: 1, by_address: [(vip(), route)].into(), idle_timeout: idle });
    let agents: Vec<ListedAgent> = (1..=10)
        .map(|n| ListedAgent {
            addr: addr(n),
            zone: "a".into(),
            service: "meter".into(),
            target: None,
        })
        .collect();
    s.roster.update(&agents, now);
    let mut out = Encode::default();
    for (port, p) in (1..=FLOWS).zip(packets) {
        s.handle_packet(&packet::decode(p).unwrap(), p, now, &mut out);
        let note = FlowUpdate { flow: flow(port), status: FlowStatus::Held, load: 0 };
        s.handle_note(addr(1), note, now, &mut out);
    }
    s
}

fn main() {
    let opens: Vec<_> = (1..=FLOWS).map(|p| datagram(p, true)).collect();
    let data: Vec<_> = (1..=FLOWS).map(|p| datagram(p, false)).collect();

    let mut s = steer_with_flows(&opens);
    let mut out = Encode::default();
    let forwarded = median(|| {
        let start = Instant::now();
        for p in &data {
            s.handle_packet(&packet::decode(p).unwrap(), p, start, &mut out);
        }
        start.elapsed()
    });
    let opened = median(|| {
        let start = Instant::now();
        black_box(steer_with_flows(&opens).flow_count());
        start.elapsed()
    });
    println!("balancer, packet of a known flow: {forwarded:.0} ns");
    println!("balancer, open offered and noted: {opened:.0} ns");

    let now = Instant::now();
    let mut h = FlowTracker::new("meter".into(), Duration::from_secs(60));
    let (start, service) = ("i-1".into(), "meter".to_string());
    let cold = Duration::ZERO;
    let report = Report {
        incarnation: start,
        service,
        slots: 5,
        state: TargetState::Ready,
        warmup: cold,
        seq: 9,
    };
    h.handle_report(report, now);
    let message = Message::Forward { service: "meter", mode: ForwardMode::Owner };
    let mut buf = Vec::new();
    let carried: Vec<Vec<u8>> = data
        .iter()
        .map(|p| {
            protocol::encode(&message, p, &mut buf).unwrap();
            buf.clone()
        })
        .collect();
    let handed = median(|| {
        let start = Instant::now();
        for c in &carried {
            let (m, p) = protocol::decode(c).unwrap();
            h.handle_message(addr(200), &m, Some(&packet::decode(p).unwrap()), p, start, &mut out);
        }
        start.elapsed()
    });
    println!("agent, caller's packet to the target: {handed:.0} ns");
    let answers: Vec<Vec<u8>> = (1..=FLOWS)
        .map(|p| {
            let f = flow(p);
            let flags = Flags { ack: true, ..Flags::default() };
            let len = DATA as u16;
            let seg = Segment { src: f.vip, dst: f.caller, flags, seq: 1, ack: 1, len };
            packet::encode(&seg, &vec![7; DATA])
        })
        .collect();
    let answered = median(|| {
        let start = Instant::now();
        for a in &answers {
            let mut a = a.clone();
            let seg = packet::decode(&a).unwrap();
            h.handle_target_packet(&seg, &mut a, start, &mut out, packet::clear_bounced);
        }
        start.elapsed()
    });
    println!("agent, target's packet to the caller: {answered:.0} ns");

    let own = own_interface();
    println!("own interface, balancer, packet of an open flow: {own:.0} ns");
}

/// The balancer of the product's own interface, codec included.
fn own_interface() -> f64 {
    let spec = ProfileSettings {
        name: "meter".into(),
        service: Service::Meter,
        listen: vip().into(),
        idempotent: false,
        max_flows: 2_000,
        policy: Policy::LeastLoaded,
    };
    let entries: Vec<(Arc<str>, SocketAddrV4)> =
        (1..=10).map(|n| (format!("meter-{n}").into(), addr(n))).collect();
    let owners: HashSet<SocketAddrV4> = (1..=10).map(addr).collect();
    let pool = Arc::new(Pool { table: MaglevTable::new(entries), owners });
    let view = View { routes: HashMap::from([(443, balancer::Route { spec, pool })]) };
    let packets: Vec<Vec<u8>> = (0..u64::from(FLOWS))
        .map(|flow| {
            let owner = Owner::new(addr(1), 7);
            let body = vec![7; DATA];
            let reply = vip().into();
            let (kind, seq, ack, port, offer) = (PacketKind::Data, 1, 1, 443, None);
            wire::encode(&Packet {
                flow,
                port,
                kind,
                seq,
                ack,
                owner,
                reply_to: reply,
                offer,
                body,
            })
            .unwrap()
        })
        .collect();
    median(|| {
        let start = Instant::now();
        for p in &packets {
            let p: Packet = wire::decode(p).unwrap();
            black_box(balancer::decide(&view, &p));
        }
        start.elapsed()
    })
}
