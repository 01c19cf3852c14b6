//! The run: events of the network, the processes, the targets and the callers
//! in the order of their time.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;

use super::caller::Caller;
use super::host::{Batch, Host};
use super::pattern::{Change, Pattern};
use super::queue::EventQueue;
use super::site::Site;
use super::stats::Stats;
use super::target::{Target, Timer};
use super::wires::Wires;
use crate::flow::Flow;
use crate::platform::packet;
use crate::policy::Policy;
use crate::protocol;
use crate::steering::FlowSteering;
use crate::tracker::FlowTracker;

/// Delay between an agent and the target on its VM.
pub(super) const LOCAL: Duration = Duration::from_micros(50);

/// How often routers ask a balancer whether it is ready; two misses take it out.
pub(super) const PROBE: Duration = Duration::from_millis(500);

/// How often a target reports itself, and tries again where nobody answers.
pub(super) const REPORT: Duration = Duration::from_millis(770);
pub(super) const REPORT_AGAIN: Duration = Duration::from_millis(100);

/// From a change in the store to the balancers' knowing it: the product gathers
/// changes for 0.3 s, and an answer takes 4 ms.
pub(super) const LISTED: Duration = Duration::from_millis(320);

/// From a process's start to its knowing what the store says.
pub(super) const BOOT: Duration = Duration::from_millis(60);

/// Link of an agent's VM, in Mbit/s.
pub(super) const AGENT_MBPS: f64 = 1_000.0;

/// How long after the load a run goes on, so that the last requests end.
const TAIL: Duration = Duration::from_secs(8);

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
    Balancer(usize),
    /// An agent wakes up.
    Agent(usize),
    /// An agent learns whether its target's port is open.
    Port(usize, u64),
    /// A target has done the work on a request.
    Done(usize, Timer),
    /// A target has heard nothing since it sent its answer.
    Resend(usize, Timer),
    /// A caller's next step.
    Caller(SocketAddrV4, u32, Step),
    /// A request of a class begins on a flow of its own.
    Fresh(usize),
    /// A target's report is due.
    Report(usize, u64),
    /// Routers ask the balancers.
    Probe,
    /// A balancer reads the store.
    Read(usize, u64),
    /// A balancer that stops as planned has lingered.
    Stopped(usize, u64),
    /// An agent is told to stop, and its process ends.
    AgentStops(usize),
    AgentEnds(usize, u64),
    /// A target ends for good, and its VM goes.
    Leaves(usize),
    Left(usize),
    /// A process starts again.
    StartBalancer(usize),
    StartAgent(usize),
    StartTarget(usize),
    /// A change of the pattern, and its end.
    Change(Change),
    Ended(Change),
}

/// What a caller does after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Sends a copy of its open.
    Copy(u8),
    /// Gives its open up.
    GiveUp,
    /// Sends its request's packets again.
    Resend,
    /// Reaches its time limit.
    Limit,
    /// Asks again on its open flow.
    Ask,
    /// Tries again on a new flow.
    Again,
}

/// A balancer with its VM.
pub(super) struct Balancer {
    pub(super) host: Host,
    pub(super) steering: FlowSteering,
    pub(super) zone: u8,
    /// Whether routers hand it flows, and how often it was not ready since.
    pub(super) rotation: bool,
    pub(super) missed: u8,
}

/// An agent with its VM and target.
pub(super) struct Agent {
    pub(super) host: Host,
    pub(super) tracker: FlowTracker,
    pub(super) service: usize,
    pub(super) zone: u8,
    pub(super) target: Target,
    /// The target's start that its entry in the store names.
    pub(super) listed: u64,
    pub(super) probing: bool,
    /// It goes for good, with its VM.
    pub(super) left: bool,
}

impl Agent {
    /// Whether its target holds `flow` open.
    pub(super) fn holds(&self, flow: Flow) -> bool {
        self.target.flows.get(&flow).is_some_and(|s| s.open)
    }
}

/// Packets of a flow at targets that do not hold it.
pub(super) struct Misrouted {
    /// When the first of them came.
    pub(super) first: Instant,
    pub(super) count: u32,
    /// The flow was counted as misrouted.
    pub(super) told: bool,
}

/// Everything in a run.
pub(super) struct World {
    pub(super) site: Site,
    pub(super) policy: Policy,
    pub(super) now: Instant,
    pub(super) start: Instant,
    pub(super) events: EventQueue<Event>,
    pub(super) rng: StdRng,
    pub(super) balancers: Vec<Balancer>,
    pub(super) agents: Vec<Agent>,
    pub(super) callers: BTreeMap<SocketAddrV4, Caller>,
    pub(super) next_port: u32,
    /// Packets of a flow at targets that do not hold it, since it was last at
    /// its own.
    pub(super) misrouted: HashMap<Flow, Misrouted>,
    pub(super) runs: HashMap<SocketAddrV4, u32>,
    pub(super) loss: f64,
    pub(super) burst: f64,
    pub(super) store: bool,
    pub(super) stats: Stats,
}

/// Plays a pattern under a policy.
#[must_use]
pub fn play(pattern: &Pattern, policy: &Policy, seed: u64) -> Stats {
    let mut world = World::new(&pattern.site, policy, seed);
    for (at, change) in &pattern.changes {
        world.events.put(world.start + *at, Event::Change(*change));
    }
    let until = world.start + pattern.site.length + TAIL;
    while let Some((at, event)) = world.events.pop() {
        if at > until {
            break;
        }
        world.now = at;
        world.take(event);
    }
    world.stats
}

fn ip(a: u8, b: u8, n: usize) -> Ipv4Addr {
    // Sites have far fewer than 65,536 VMs of a kind.
    Ipv4Addr::new(10, a, b + (n >> 8) as u8, (n & 0xff) as u8)
}

pub(super) fn balancer_addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(ip(9, 0, n), 7_720)
}

pub(super) fn agent_addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(ip(1, 0, n), 7_720)
}

pub(super) fn number(addr: SocketAddrV4) -> (bool, usize) {
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

impl World {
    fn take(&mut self, event: Event) {
        match event {
            Event::ToBalancer(n, packet) => {
                self.balancers[n].host.packet(packet);
                self.wake_balancer(n, self.now);
            }
            Event::ToPeer(to, from, bytes) => self.at_peer(to, from, bytes),
            Event::ToTarget(n, packet) => self.at_target(n, &packet),
            Event::FromTarget(n, packet) => {
                self.agents[n].host.packet(packet);
                self.wake_agent(n, self.now);
            }
            Event::ToCaller(packet) => self.at_caller(&packet),
            Event::Balancer(n) => self.run_balancer(n),
            Event::Agent(n) => self.run_agent(n),
            Event::Port(n, boot) => self.port(n, boot),
            Event::Done(n, timer) => self.done(n, timer),
            Event::Resend(n, timer) => self.resend(n, timer),
            Event::Caller(addr, turn, step) => self.step(addr, turn, step),
            Event::Fresh(class) => self.fresh(class),
            other => self.trouble(other),
        }
    }

    // Processes.

    pub(super) fn wake_balancer(&mut self, n: usize, at: Instant) {
        if let Some(at) = self.balancers[n].host.wake(at) {
            self.events.put(at, Event::Balancer(n));
        }
    }

    pub(super) fn wake_agent(&mut self, n: usize, at: Instant) {
        if let Some(at) = self.agents[n].host.wake(at) {
            self.events.put(at, Event::Agent(n));
        }
    }

    fn run_balancer(&mut self, n: usize) {
        let b = &mut self.balancers[n];
        if b.host.next != Some(self.now) {
            return;
        }
        b.host.next = None;
        let Batch { packets, messages } = b.host.read();
        let mut out = Wires::default();
        for (from, bytes) in &messages {
            if let Ok((message, _)) = protocol::decode(bytes) {
                b.steering.handle_message(*from, &message, self.now, &mut out);
            }
        }
        for bytes in &packets {
            if let Ok(seg) = packet::decode(bytes) {
                b.steering.handle_packet(&seg, bytes, self.now, &mut out);
            }
        }
        if b.host.caught_up() {
            b.steering.tick(self.now, &mut out);
        }
        let done = b.host.work(packets.len() + messages.len() + out.0.len(), self.now);
        let due = if b.host.waits() { Some(done) } else { b.steering.next_deadline(done) };
        self.balancer_sends(n, out, done);
        if let Some(at) = due {
            self.wake_balancer(n, at.max(done));
        }
    }

    fn run_agent(&mut self, n: usize) {
        let a = &mut self.agents[n];
        if a.host.next != Some(self.now) {
            return;
        }
        a.host.next = None;
        if !a.probing && a.tracker.should_probe(self.now) {
            a.probing = true;
            let at = self.now + Duration::from_millis(1);
            self.events.put(at, Event::Port(n, a.host.boot));
        }
        let Batch { mut packets, messages } = a.host.read();
        let mut out = Wires::default();
        for (from, bytes) in &messages {
            let Ok((message, rest)) = protocol::decode(bytes) else { continue };
            let seg = packet::decode(rest).ok();
            a.tracker.handle_message(*from, &message, seg.as_ref(), rest, self.now, &mut out);
        }
        for bytes in &mut packets {
            if let Ok(seg) = packet::decode(bytes) {
                let clear = packet::clear_bounced;
                a.tracker.handle_target_packet(&seg, bytes, self.now, &mut out, clear);
            }
        }
        a.tracker.tick(self.now, &mut out);
        let done = a.host.work(packets.len() + messages.len() + out.0.len(), self.now);
        let due = if a.host.waits() {
            Some(done)
        } else {
            a.tracker.next_deadline().filter(|_| !a.probing)
        };
        self.agent_sends(n, out, done);
        if let Some(at) = due {
            self.wake_agent(n, at.max(done));
        }
    }

    fn port(&mut self, n: usize, boot: u64) {
        let a = &mut self.agents[n];
        if a.host.boot != boot {
            return;
        }
        a.probing = false;
        let mut out = Wires::default();
        if a.target.up {
            a.tracker.defer_probe(self.now);
        } else {
            a.tracker.mark_target_ended(&mut out);
        }
        self.agent_sends(n, out, self.now);
        self.wake_agent(n, self.now);
    }
}
