//! Measures the processor time per packet of a balancer and an agent, decision and codec
//! without sockets: on the platform's packet interface, and for the balancer also on
//! jujubepost's own. Prints the median in nanoseconds.
//!
//! Run: `cargo run --release --example packet`.

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

/// Runs of which the median is printed.
const RUNS: usize = 9;
const FLOWS: u16 = 10_000;
const DATA_BYTES: usize = 1_200;

/// Encodes messages instead of sending them.
#[derive(Default)]
struct EncodeOnly {
    buf: Vec<u8>,
    bytes: u64,
}

impl steering::Transmit for EncodeOnly {
    fn send_to_agent(&mut self, _: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        protocol::encode(message, packet, &mut self.buf).unwrap();
        self.bytes += black_box(self.buf.len()) as u64;
    }

    fn send_reset(&mut self, _: Flow, _: u32) {}
}

impl tracker::Transmit for EncodeOnly {
    fn send_to_target(&mut self, packet: &[u8]) {
        self.bytes += black_box(packet.len()) as u64;
    }

    fn send_to_caller(&mut self, _: SocketAddrV4, packet: &[u8]) {
        self.bytes += black_box(packet.len()) as u64;
    }

    fn send_reset(&mut self, _: Flow, _: u32) {}

    fn send_message(&mut self, _: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        protocol::encode(message, packet, &mut self.buf).unwrap();
        self.bytes += black_box(self.buf.len()) as u64;
    }
}

fn agent_addr(n: u8) -> SocketAddrV4 {
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
    let data = vec![7; if syn { 0 } else { DATA_BYTES }];
    let len = data.len() as u16;
    let seg = Segment { src: f.caller, dst: f.vip, flags, seq: 1, ack: 1, len };
    packet::encode(&seg, &data)
}

/// Returns the median time of `run` per flow, in nanoseconds.
fn median_ns(mut run: impl FnMut() -> Duration) -> f64 {
    let mut times: Vec<f64> =
        (0..RUNS).map(|_| run().as_nanos() as f64 / f64::from(FLOWS)).collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

/// Creates the state of a balancer that knows all flows from their opens.
fn steering_with_flows(packets: &[Vec<u8>]) -> FlowSteering {
    let now = Instant::now();
    let mut steering = FlowSteering::new(agent_addr(200), "a".into(), Duration::from_secs(60));
    let weighted = WeightedService { service: "meter".into(), weight: 1, max_flows: 2_000 };
    let route = Route {
        name: "r".into(),
        services: vec![weighted],
        request_timeout: Duration::from_secs(3),
        needs: None,
    };
    let idle_timeout = Duration::from_secs(15);
    let by_address = [(vip(), route)].into();
    let cold_rates = std::collections::BTreeMap::new();
    steering.apply_routes(Routes { version: 1, by_address, idle_timeout, cold_rates });
    let agents: Vec<ListedAgent> = (1..=10)
        .map(|n| ListedAgent {
            addr: agent_addr(n),
            zone: "a".into(),
            service: "meter".into(),
            incarnation: None,
            queues: false,
            bounded: true,
            since: None,
            registered: 0,
        })
        .collect();
    steering.roster.update(&agents, now);
    let mut out = EncodeOnly::default();
    for (port, p) in (1..=FLOWS).zip(packets) {
        steering.handle_packet(&packet::decode(p).unwrap(), p, now, &mut out);
        let update = FlowUpdate { flow: flow(port), status: FlowStatus::Held, load: 0 };
        steering.handle_flow_update(agent_addr(1), update, now, &mut out);
    }
    steering
}

fn main() {
    let opens: Vec<_> = (1..=FLOWS).map(|p| datagram(p, true)).collect();
    let data: Vec<_> = (1..=FLOWS).map(|p| datagram(p, false)).collect();

    let mut steering = steering_with_flows(&opens);
    let mut out = EncodeOnly::default();
    let forward_ns = median_ns(|| {
        let start = Instant::now();
        for p in &data {
            steering.handle_packet(&packet::decode(p).unwrap(), p, start, &mut out);
        }
        start.elapsed()
    });
    let open_ns = median_ns(|| {
        let start = Instant::now();
        black_box(steering_with_flows(&opens).flow_count());
        start.elapsed()
    });
    println!("balancer, packet of a known flow: {forward_ns:.0} ns");
    println!("balancer, open offered and noted: {open_ns:.0} ns");

    let now = Instant::now();
    let mut tracker = FlowTracker::new("meter".into(), Duration::from_secs(60));
    let report = Report {
        incarnation: "i-1".into(),
        service: "meter".to_string(),
        slots: 5,
        state: TargetState::Ready,
        warmup: Duration::ZERO,
        seq: 9,
    };
    tracker.handle_report(report, now);
    let message = Message::Forward { service: "meter", mode: ForwardMode::Owner };
    let mut buf = Vec::new();
    let forwards: Vec<Vec<u8>> = data
        .iter()
        .map(|p| {
            protocol::encode(&message, p, &mut buf).unwrap();
            buf.clone()
        })
        .collect();
    let to_target_ns = median_ns(|| {
        let start = Instant::now();
        for f in &forwards {
            let (m, p) = protocol::decode(f).unwrap();
            tracker.handle_message(
                agent_addr(200),
                &m,
                Some(&packet::decode(p).unwrap()),
                p,
                start,
                &mut out,
            );
        }
        start.elapsed()
    });
    println!("agent, caller's packet to the target: {to_target_ns:.0} ns");
    let responses: Vec<Vec<u8>> = (1..=FLOWS)
        .map(|p| {
            let f = flow(p);
            let flags = Flags { ack: true, ..Flags::default() };
            let len = DATA_BYTES as u16;
            let seg = Segment { src: f.vip, dst: f.caller, flags, seq: 1, ack: 1, len };
            packet::encode(&seg, &vec![7; DATA_BYTES])
        })
        .collect();
    let to_caller_ns = median_ns(|| {
        let start = Instant::now();
        for r in &responses {
            let mut packet = r.clone();
            let seg = packet::decode(&packet).unwrap();
            tracker.handle_target_packet(&seg, &mut packet, start, &mut out, packet::clear_bounced);
        }
        start.elapsed()
    });
    println!("agent, target's packet to the caller: {to_caller_ns:.0} ns");

    let own_ns = own_interface_ns();
    println!("own interface, balancer, packet of an open flow: {own_ns:.0} ns");
}

/// Returns the time per packet of a balancer on jujubepost's own packet interface.
fn own_interface_ns() -> f64 {
    let spec = ProfileSettings {
        name: "meter".into(),
        service: Service::Meter,
        listen: vip().into(),
        idempotent: false,
        max_flows: 2_000,
        policy: Policy::LeastLoaded,
    };
    let entries: Vec<(Arc<str>, SocketAddrV4)> =
        (1..=10).map(|n| (format!("meter-{n}").into(), agent_addr(n))).collect();
    let owners: HashSet<SocketAddrV4> = (1..=10).map(agent_addr).collect();
    let pool = Arc::new(Pool { table: MaglevTable::new(entries), owners });
    let view = View { routes: HashMap::from([(443, balancer::Route { profile: spec, pool })]) };
    let packets: Vec<Vec<u8>> = (0..u64::from(FLOWS))
        .map(|flow| {
            let owner = Owner::new(agent_addr(1), 7);
            let body = vec![7; DATA_BYTES];
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
    median_ns(|| {
        let start = Instant::now();
        for p in &packets {
            let p: Packet = wire::decode(p).unwrap();
            black_box(balancer::route_packet(&view, &p));
        }
        start.elapsed()
    })
}
