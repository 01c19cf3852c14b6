//! The event loop: the state of a simulated site, its events, and the wake-ups
//! of balancer and agent processes.

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

/// Interval of the routers' readiness probes; a balancer that misses two in a row
/// leaves rotation.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of a target's reports to its agent.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(770);

/// Delay before a target repeats a report that its agent did not answer.
pub(super) const REPORT_RETRY: Duration = Duration::from_millis(100);

/// Delay from a write to the store until balancers have read it, including the
/// time for which changes are batched.
pub(super) const STORE_DELAY: Duration = Duration::from_millis(320);

/// Delay from the start of a balancer until it has first read the store.
pub(super) const FIRST_READ_DELAY: Duration = Duration::from_millis(60);

/// The data centre that [`Change::EvacuateZone`] evacuates.
pub(super) const EVACUATED_ZONE: u8 = 0;

/// How long after an evacuation was ordered its targets may still get new flows.
pub(super) const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Link bandwidth of an agent's VM, in Mbit/s.
pub(super) const AGENT_MBPS: f64 = 1_000.0;

/// How long a run continues after the load has ended, so that the last requests
/// complete.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// A simulation event. A `usize` is the index of a balancer, or of an agent and its
/// target; [`Event::Arrival`] has the index of a class. A `u64` is the incarnation of
/// the process for which the event was scheduled.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller's packet arrives at a balancer.
    ToBalancer(usize, Vec<u8>),
    /// A message between balancers and agents arrives: destination, source and encoded
    /// bytes.
    ToProcess(SocketAddrV4, SocketAddrV4, Vec<u8>),
    /// A packet arrives at a target.
    ToTarget(usize, Vec<u8>),
    /// A packet from a target arrives at its agent.
    FromTarget(usize, Vec<u8>),
    /// A packet arrives at its caller.
    ToCaller(Vec<u8>),
    /// A balancer process runs.
    WakeBalancer(usize),
    /// An agent process runs.
    WakeAgent(usize),
    /// An agent's probe of its target's port completes.
    PortProbed(usize, u64),
    /// A target has finished executing a request.
    RequestDone(usize, Timer),
    /// The retransmission timer of a target's response expires.
    Retransmit(usize, Timer),
    /// A timer of the caller at an address expires. It is void unless the caller still
    /// has this generation, which increases with each flow and request.
    CallerTimer(SocketAddrV4, u32, CallerAction),
    /// The next request of an open-loop class, given by its index, begins.
    Arrival(usize),
    /// A target's report is due.
    TargetReport(usize, u64),
    /// Routers probe the readiness of all balancers.
    ReadinessProbe,
    /// A balancer reads the store.
    ReadStore(usize, u64),
    /// A ready balancer begins a planned stop; one that is already stopping exits.
    StopBalancer(usize, u64),
    /// An agent begins a planned stop.
    StopAgent(usize),
    /// A stopping agent tells other agents which agents own the flows it knows of, and
    /// exits.
    ExitAgent(usize, u64),
    /// A target exits for good.
    RetireTarget(usize),
    /// The agent of a retired target exits, and its VM is removed.
    RemoveAgent(usize),
    /// A balancer process starts again.
    StartBalancer(usize),
    /// An agent process starts again.
    StartAgent(usize),
    /// A target process starts again.
    StartTarget(usize),
    /// A change listed in the pattern begins.
    BeginChange(Change),
    /// A change listed in the pattern ends.
    EndChange(Change),
}

/// What a caller does when one of its timers expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerAction {
    /// Repeats its SYN, for the n-th time.
    RepeatSyn(u8),
    /// Gives up opening its flow.
    OpenTimeout,
    /// Retransmits the unacknowledged packets of its request.
    Retransmit,
    /// Gives up its request.
    RequestTimeout,
    /// Sends the next request on its open flow.
    NextRequest,
    /// Opens a new flow.
    OpenFlow,
}

/// A balancer and its VM.
pub(super) struct Balancer {
    pub(super) host: Host,
    pub(super) steering: FlowSteering,
    pub(super) zone: u8,
    /// Whether routers send it packets.
    pub(super) in_rotation: bool,
    /// Readiness probes missed in a row.
    pub(super) missed_probes: u8,
}

/// An agent, its VM and its target.
pub(super) struct Agent {
    pub(super) host: Host,
    pub(super) tracker: FlowTracker,
    /// Index in [`Site::services`].
    pub(super) service: usize,
    pub(super) zone: u8,
    pub(super) target: Target,
    /// The target's incarnation as stated in the agent's registration.
    pub(super) registered_incarnation: u64,
    /// A probe of the target's port is in progress.
    pub(super) probing: bool,
    /// The target was retired and the VM is being removed.
    pub(super) removed: bool,
}

impl Agent {
    /// Whether `flow` is established at its target.
    pub(super) fn has_open_flow(&self, flow: Flow) -> bool {
        self.target.flows.get(&flow).is_some_and(|s| s.established)
    }
}

/// A flow's run of consecutive packets that reached targets other than its own.
pub(super) struct Misrouted {
    /// When the first of them arrived.
    pub(super) since: Instant,
    pub(super) count: u32,
    /// Whether the flow is included in [`Stats::misrouted`].
    pub(super) in_stats: bool,
}

/// State of one run.
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
    /// Flows of which the last packet reached a target other than their own.
    pub(super) misrouted: HashMap<Flow, Misrouted>,
    /// Executions of each caller's non-idempotent request.
    pub(super) executions: HashMap<SocketAddrV4, u32>,
    /// Probability that a link drops a datagram.
    pub(super) loss_rate: f64,
    /// Factor on the arrival rate of open-loop classes.
    pub(super) load_factor: f64,
    /// Whether the store answers.
    pub(super) store_up: bool,
    /// When the evacuation of the first data centre was ordered, while it is in effect.
    pub(super) evacuated_at: Option<Instant>,
    pub(super) stats: Stats,
}

/// Simulates the site, load and changes of `pattern` under `policy`. The same seed
/// gives the same result.
#[must_use]
pub fn simulate(pattern: &Pattern, policy: &Policy, seed: u64) -> Stats {
    let mut sim = Simulation::new(&pattern.site, policy, seed);
    for (at, change) in &pattern.changes {
        sim.events.push(sim.start + *at, Event::BeginChange(*change));
    }
    let until = sim.start + pattern.site.load_duration + SETTLE_TIME;
    while let Some((at, event)) = sim.events.pop() {
        if at > until {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.stats
}

/// Second octet of the addresses of balancer VMs.
const BALANCER_OCTET: u8 = 9;

/// Second octet of the addresses of agent VMs.
const AGENT_OCTET: u8 = 1;

/// Address of VM `n` of a role, counted from 10.`role`.`third_octet`.0.
fn vm_ip(role: u8, third_octet: u8, n: usize) -> Ipv4Addr {
    // No site has 65,536 VMs of one role.
    Ipv4Addr::new(10, role, third_octet + (n >> 8) as u8, (n & 0xff) as u8)
}

pub(super) fn balancer_addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(vm_ip(BALANCER_OCTET, 0, n), 7_720)
}

pub(super) fn agent_addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(vm_ip(AGENT_OCTET, 0, n), 7_720)
}

/// Index of the process at `addr`, and whether it is a balancer.
pub(super) fn process_index(addr: SocketAddrV4) -> (bool, usize) {
    let [_, role, high, low] = addr.ip().octets();
    (role == BALANCER_OCTET, usize::from(high) << 8 | usize::from(low))
}

/// Virtual address of a request class.
pub(super) fn vip(class: usize) -> SocketAddrV4 {
    // No site has 255 classes.
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, class as u8 + 1), 443)
}

/// Request class of a flow, from its virtual address.
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
            Event::ToProcess(to, from, bytes) => self.deliver_message(to, from, bytes),
            Event::ToTarget(n, packet) => self.deliver_to_target(n, &packet),
            Event::FromTarget(n, packet) => {
                self.agents[n].host.enqueue_packet(packet);
                self.wake_agent(n, self.now);
            }
            Event::ToCaller(packet) => self.deliver_to_caller(&packet),
            Event::WakeBalancer(n) => self.run_balancer(n),
            Event::WakeAgent(n) => self.run_agent(n),
            Event::PortProbed(n, incarnation) => self.finish_port_probe(n, incarnation),
            Event::RequestDone(n, timer) => self.finish_execution(n, timer),
            Event::Retransmit(n, timer) => self.retransmit_response(n, timer),
            Event::CallerTimer(addr, generation, action) => {
                self.run_caller_step(addr, generation, action)
            }
            Event::Arrival(class) => self.next_arrival(class),
            // Target reports, store reads, readiness, process lifecycle, pattern changes.
            other => self.handle_site_event(other),
        }
    }

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
                b.steering.handle_message(*from, &message, self.now, &mut out);
            }
        }
        for bytes in &packets {
            if let Ok(seg) = packet::decode(bytes) {
                b.steering.handle_packet(&seg, bytes, self.now, &mut out);
            }
        }
        if b.host.messages_drained() {
            b.steering.tick(self.now, &mut out);
        }
        let done = b.host.spend_cpu(packets.len() + messages.len() + out.0.len(), self.now);
        let due = if b.host.has_input() { Some(done) } else { b.steering.next_deadline(done) };
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
        if !a.probing && a.tracker.should_probe(self.now) {
            a.probing = true;
            let at = self.now + Duration::from_millis(1);
            self.events.push(at, Event::PortProbed(n, a.host.incarnation));
        }
        let InputBatch { mut packets, messages } = a.host.read_batch();
        let mut out = Outbox::default();
        for (from, bytes) in &messages {
            let Ok((message, rest)) = protocol::decode(bytes) else { continue };
            let seg = packet::decode(rest).ok();
            a.tracker.handle_message(*from, &message, seg.as_ref(), rest, self.now, &mut out);
        }
        for bytes in &mut packets {
            if let Ok(seg) = packet::decode(bytes) {
                // Clears the flag of a packet that the target returned unprocessed.
                let clear_bounced = packet::clear_bounced;
                a.tracker.handle_target_packet(&seg, bytes, self.now, &mut out, clear_bounced);
            }
        }
        a.tracker.tick(self.now, &mut out);
        let done = a.host.spend_cpu(packets.len() + messages.len() + out.0.len(), self.now);
        a.tracker.finish_batch(done);
        let due = if a.host.has_input() {
            Some(done)
        } else {
            a.tracker.next_deadline().filter(|_| !a.probing)
        };
        self.flush_agent(n, out, done);
        if let Some(at) = due {
            self.wake_agent(n, at.max(done));
        }
    }

    /// Tells an agent the result of its probe: the target is slow, or has ended.
    fn finish_port_probe(&mut self, n: usize, incarnation: u64) {
        let a = &mut self.agents[n];
        if a.host.incarnation != incarnation {
            return;
        }
        a.probing = false;
        let mut out = Outbox::default();
        if a.target.up {
            a.tracker.defer_probe(self.now);
        } else {
            a.tracker.mark_target_ended(&mut out);
        }
        self.flush_agent(n, out, self.now);
        self.wake_agent(n, self.now);
    }
}
