//! The run: events of the network, the processes, the targets and the callers
//! in the order of their time.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;

use super::caller::Caller;
use super::event_queue::EventQueue;
use super::host::{Host, InputBatch};
use super::outbox::Outbox;
use super::pattern::{Change, Pattern};
use super::site::Site;
use super::stats::Stats;
use super::target::{Target, Timer};
use crate::flow::Flow;
use crate::platform::packet;
use crate::policy::Policy;
use crate::protocol;
use crate::steering::FlowSteering;
use crate::tracker::FlowTracker;

/// Delay between an agent and the target on its VM.
pub(super) const LOCAL_DELAY: Duration = Duration::from_micros(50);

/// How often routers ask a balancer whether it is ready; two misses take it out.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How often a target reports itself, and tries again where nobody answers.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(770);
pub(super) const REPORT_RETRY: Duration = Duration::from_millis(100);

/// From a change in the store to the balancers' knowing it: the product gathers
/// changes for 0.3 s, and an answer takes 4 ms.
pub(super) const STORE_DELAY: Duration = Duration::from_millis(320);

/// From a process's start to its knowing what the store says.
pub(super) const BOOT_TIME: Duration = Duration::from_millis(60);

/// Link of an agent's VM, in Mbit/s.
pub(super) const AGENT_MBPS: f64 = 1_000.0;

/// How long after the load a run goes on, so that the last requests end.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// What happens at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller's packet comes to a balancer.
    ToBalancer(usize, Vec<u8>),
    /// A message comes to the process at an address.
    ToPeer(SocketAddrV4, SocketAddrV4, Vec<u8>),
    /// A packet comes to a target.
    ToTarget(usize, Vec<u8>),
    /// A packet of a target comes to its agent.
    FromTarget(usize, Vec<u8>),
    /// A packet comes to its caller.
    ToCaller(Vec<u8>),
    /// A balancer wakes up.
    WakeBalancer(usize),
    /// An agent wakes up.
    WakeAgent(usize),
    /// An agent learns whether its target's port is open.
    PortProbed(usize, u64),
    /// A target has done the work on a request.
    RequestDone(usize, Timer),
    /// A target has heard nothing since it sent its answer.
    Retransmit(usize, Timer),
    /// A caller's next step.
    CallerStep(SocketAddrV4, u32, Step),
    /// A request of a class begins on a flow of its own.
    Arrival(usize),
    /// A target's report is due.
    TargetReport(usize, u64),
    /// Routers ask the balancers.
    ReadinessProbe,
    /// A balancer reads the store.
    ReadStore(usize, u64),
    /// A balancer that stops as planned has lingered.
    StopBalancer(usize, u64),
    /// An agent is told to stop, and its process ends.
    StopAgent(usize),
    EndAgent(usize, u64),
    /// A target ends for good, and its VM goes.
    RetireTarget(usize),
    RemoveAgent(usize),
    /// A process starts again.
    StartBalancer(usize),
    StartAgent(usize),
    StartTarget(usize),
    /// A change of the pattern, and its end.
    BeginChange(Change),
    EndChange(Change),
}

/// What a caller does after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Sends a copy of its open.
    RepeatSyn(u8),
    /// Gives its open up.
    OpenTimeout,
    /// Sends its request's packets again.
    Retransmit,
    /// Reaches its time limit.
    RequestTimeout,
    /// Asks again on its open flow.
    NextRequest,
    /// Tries again on a new flow.
    OpenFlow,
}

/// A balancer with its VM.
pub(super) struct Balancer {
    pub(super) host: Host,
    pub(super) steer: FlowSteering,
    pub(super) zone: u8,
    /// Whether routers hand it flows, and how often it was not ready since.
    pub(super) in_rotation: bool,
    pub(super) missed_probes: u8,
}

/// An agent with its VM and target.
pub(super) struct Agent {
    pub(super) host: Host,
    pub(super) holder: FlowTracker,
    pub(super) service: usize,
    pub(super) zone: u8,
    pub(super) target: Target,
    /// The target's start that its entry in the store names.
    pub(super) registered_epoch: u64,
    pub(super) probing: bool,
    /// It goes for good, with its VM.
    pub(super) removed: bool,
}

impl Agent {
    /// Whether its target holds `flow` open.
    pub(super) fn has_open_flow(&self, flow: Flow) -> bool {
        self.target.flows.get(&flow).is_some_and(|s| s.established)
    }
}

/// Packets of a flow at targets that do not hold it.
pub(super) struct Misrouted {
    /// When the first of them came.
    pub(super) since: Instant,
    pub(super) count: u32,
    /// The flow was counted as misrouted.
    pub(super) counted: bool,
}

/// Everything in a run.
pub(super) struct Simulation {
    pub(super) site: Site,
    pub(super) policy: Policy,
    pub(super) now: Instant,
    pub(super) start: Instant,
    pub(super) events: EventQueue<Event>,
    pub(super) rng: StdRng,
    pub(super) balancers: Vec<Balancer>,
    pub(super) agents: Vec<Agent>,
    pub(super) callers: BTreeMap<SocketAddrV4, Caller>,
    pub(super) callers_created: u32,
    /// Packets of a flow at targets that do not hold it, since it was last at
    /// its own.
    pub(super) misrouted: HashMap<Flow, Misrouted>,
    pub(super) executions: HashMap<SocketAddrV4, u32>,
    pub(super) loss_rate: f64,
    pub(super) load_factor: f64,
    pub(super) store_up: bool,
    pub(super) stats: Stats,
}

/// Plays a pattern under a policy.
#[must_use]
pub fn simulate(pattern: &Pattern, policy: &Policy, seed: u64) -> Stats {
    let mut world = Simulation::new(&pattern.site, policy, seed);
    for (at, change) in &pattern.changes {
        world.events.push(world.start + *at, Event::BeginChange(*change));
    }
    let until = world.start + pattern.site.load_duration + SETTLE_TIME;
    while let Some((at, event)) = world.events.pop() {
        if at > until {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.stats
}

fn vm_ip(a: u8, b: u8, n: usize) -> Ipv4Addr {
    // Sites have far fewer than 65,536 VMs of a kind.
    Ipv4Addr::new(10, a, b + (n >> 8) as u8, (n & 0xff) as u8)
}

pub(super) fn balancer_addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(vm_ip(9, 0, n), 7_720)
}

pub(super) fn agent_addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(vm_ip(1, 0, n), 7_720)
}

pub(super) fn peer_index(addr: SocketAddrV4) -> (bool, usize) {
    let [_, kind, high, low] = addr.ip().octets();
    (kind == 9, usize::from(high) << 8 | usize::from(low))
}

/// The address that callers of a class call.
pub(super) fn vip(class: usize) -> SocketAddrV4 {
    // Sites have a handful of classes.
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, class as u8 + 1), 443)
}

pub(super) fn class_of(flow: Flow) -> usize {
    usize::from(flow.vip.ip().octets()[3]) - 1
}

pub(super) fn zone_name(zone: u8) -> Arc<str> {
    format!("zone-{zone}").into()
}

impl Simulation {
    fn handle(&mut self, event: Event) {
        match event {
            Event::ToBalancer(n, packet) => {
                self.balancers[n].host.enqueue_packet(packet);
                self.wake_balancer(n, self.now);
            }
            Event::ToPeer(to, from, bytes) => self.deliver_to_peer(to, from, bytes),
            Event::ToTarget(n, packet) => self.deliver_to_target(n, &packet),
            Event::FromTarget(n, packet) => {
                self.agents[n].host.enqueue_packet(packet);
                self.wake_agent(n, self.now);
            }
            Event::ToCaller(packet) => self.deliver_to_caller(&packet),
            Event::WakeBalancer(n) => self.run_balancer(n),
            Event::WakeAgent(n) => self.run_agent(n),
            Event::PortProbed(n, epoch) => self.finish_port_probe(n, epoch),
            Event::RequestDone(n, timer) => self.finish_execution(n, timer),
            Event::Retransmit(n, timer) => self.retransmit_response(n, timer),
            Event::CallerStep(addr, turn, step) => self.run_caller_step(addr, turn, step),
            Event::Arrival(class) => self.next_arrival(class),
            other => self.handle_lifecycle(other),
        }
    }

    // Processes.

    pub(super) fn wake_balancer(&mut self, n: usize, at: Instant) {
        if let Some(at) = self.balancers[n].host.schedule_wake(at) {
            self.events.push(at, Event::WakeBalancer(n));
        }
    }

    pub(super) fn wake_agent(&mut self, n: usize, at: Instant) {
        if let Some(at) = self.agents[n].host.schedule_wake(at) {
            self.events.push(at, Event::WakeAgent(n));
        }
    }

    fn run_balancer(&mut self, n: usize) {
        let b = &mut self.balancers[n];
        if b.host.next_wake != Some(self.now) {
            return;
        }
        b.host.next_wake = None;
        let InputBatch { packets, messages } = b.host.read_batch();
        let mut out = Outbox::default();
        for (from, bytes) in &messages {
            if let Ok((message, _)) = protocol::decode(bytes) {
                b.steer.handle_message(*from, &message, self.now, &mut out);
            }
        }
        for bytes in &packets {
            if let Ok(seg) = packet::decode(bytes) {
                b.steer.handle_packet(&seg, bytes, self.now, &mut out);
            }
        }
        if b.host.messages_drained() {
            b.steer.tick(self.now, &mut out);
        }
        let done = b.host.spend_cpu(packets.len() + messages.len() + out.0.len(), self.now);
        let due = if b.host.has_input() { Some(done) } else { b.steer.next_deadline(done) };
        self.flush_balancer(n, out, done);
        if let Some(at) = due {
            self.wake_balancer(n, at.max(done));
        }
    }

    fn run_agent(&mut self, n: usize) {
        let a = &mut self.agents[n];
        if a.host.next_wake != Some(self.now) {
            return;
        }
        a.host.next_wake = None;
        if !a.probing && a.holder.should_probe(self.now) {
            a.probing = true;
            let at = self.now + Duration::from_millis(1);
            self.events.push(at, Event::PortProbed(n, a.host.epoch));
        }
        let InputBatch { mut packets, messages } = a.host.read_batch();
        let mut out = Outbox::default();
        for (from, bytes) in &messages {
            let Ok((message, rest)) = protocol::decode(bytes) else { continue };
            let seg = packet::decode(rest).ok();
            a.holder.handle_message(*from, &message, seg.as_ref(), rest, self.now, &mut out);
        }
        for bytes in &mut packets {
            if let Ok(seg) = packet::decode(bytes) {
                let clear = packet::clear_bounced;
                a.holder.handle_target_packet(&seg, bytes, self.now, &mut out, clear);
            }
        }
        a.holder.tick(self.now, &mut out);
        let done = a.host.spend_cpu(packets.len() + messages.len() + out.0.len(), self.now);
        let due = if a.host.has_input() {
            Some(done)
        } else {
            a.holder.next_due().filter(|_| !a.probing)
        };
        self.flush_agent(n, out, done);
        if let Some(at) = due {
            self.wake_agent(n, at.max(done));
        }
    }

    fn finish_port_probe(&mut self, n: usize, epoch: u64) {
        let a = &mut self.agents[n];
        if a.host.epoch != epoch {
            return;
        }
        a.probing = false;
        let mut out = Outbox::default();
        if a.target.up {
            a.holder.defer_probe(self.now);
        } else {
            a.holder.mark_target_ended(&mut out);
        }
        self.flush_agent(n, out, self.now);
        self.wake_agent(n, self.now);
    }
}
