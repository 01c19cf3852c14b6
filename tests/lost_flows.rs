//! Flows that nobody holds after a loss of power: how long their callers wait, and how many
//! messages that takes, by the size of the service.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use common::fixtures::*;
use jujubepost::flow::Flow;
use jujubepost::policy::BalancerPolicy;
use jujubepost::protocol::{Answer, FlowStatus};
use jujubepost::steering::{FlowSteering, ListedAgent};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

const MS: Duration = Duration::from_millis(1);

/// Round trip between a balancer and an agent of another data centre.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Lost flows of one balancer: callers of most had a request in progress, the others send the next
/// one later.
const FLOWS: u16 = 14;

/// Flows with a request in progress.
const WAITING: u16 = 8;

/// Time within which callers of lost flows are told so.
const RESET_WITHIN: Duration = Duration::from_millis(1_000);

fn agent_at(n: u16) -> SocketAddrV4 {
    let [high, low] = n.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_720)
}

/// `agents` agents of one service in five data centres, in the order in which they registered.
fn roster(agents: u16) -> Vec<ListedAgent> {
    let zone =
        |n: u16| if n.is_multiple_of(5) { ZONE.into() } else { format!("zone-{}", n % 5).into() };
    let one = |n: u16| ListedAgent {
        addr: agent_at(n),
        zone: zone(n),
        registered: 100 + i64::from(n),
        ..listed_agent(1)
    };
    (0..agents).map(one).collect()
}

/// A balancer on the smallest VM, with `agents` agents that answer queries from `up_at` on, and do
/// not know all flows of their targets before `known_at`.
struct Site {
    steering: FlowSteering,
    now: Instant,
    up_at: HashMap<SocketAddrV4, Instant>,
    known_at: HashMap<SocketAddrV4, Instant>,
    answers: BinaryHeap<Reverse<(Instant, SocketAddrV4, Flow)>>,
    statuses: BTreeMap<(SocketAddrV4, Flow), FlowStatus>,
    messages: u32,
    resets: BTreeMap<Flow, Instant>,
    tried: usize,
}

impl Site {
    fn new(agents: u16, start: Instant) -> Self {
        let policy = BalancerPolicy::default().scaled_to_vm(20.0, 0.12);
        let mut steering = steering_with_policy(0, policy, start);
        steering.roster.update(&roster(agents), start);
        let after = |n: u16, ms: u32| start + u32::from(n).wrapping_mul(7_919) % ms * MS;
        let times = |ms| (0..agents).map(|n| (agent_at(n), after(n, ms))).collect();
        Self {
            steering,
            now: start,
            up_at: times(200),
            known_at: times(400),
            answers: BinaryHeap::new(),
            statuses: BTreeMap::new(),
            messages: 0,
            resets: BTreeMap::new(),
            tried: 0,
        }
    }

    /// Sends what `out` holds: agents that are up answer each query after [`ROUND_TRIP`].
    fn deliver(&mut self, out: Recorder) {
        for (to, message, _) in &out.messages {
            let SentMessage::Query { flows } = message else { continue };
            self.messages += 1;
            if self.now < self.up_at[to] {
                continue;
            }
            let known = self.now >= self.known_at[to];
            for queried in flows {
                let status = if known { FlowStatus::Unknown } else { FlowStatus::Unverified };
                self.statuses.insert((*to, *queried), status);
                self.answers.push(Reverse((self.now + ROUND_TRIP, *to, *queried)));
            }
        }
        self.tried += out.forwarded(jujubepost::protocol::ForwardMode::Try).len();
        for (flow, _) in out.resets {
            self.resets.entry(flow).or_insert(self.now);
        }
    }

    fn step(&mut self) {
        self.now += MS;
        while self.answers.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
            let Some(Reverse((_, from, flow))) = self.answers.pop() else { break };
            let status = self.statuses[&(from, flow)];
            let mut out = Recorder::default();
            let answer = Answer { flow, status, hint: None };
            self.steering.handle_answers(from, &[answer], 0, self.now, &mut out);
            self.deliver(out);
        }
        let mut out = Recorder::default();
        self.steering.tick(self.now, &mut out);
        self.deliver(out);
    }

    fn receive(&mut self, port: u16) {
        let mut out = Recorder::default();
        let data = caller_data(port, 1_001, 77, 10);
        self.steering.handle_packet(&data, b"packet", self.now, &mut out);
        self.deliver(out);
    }
}

/// When the caller of the flow from `port` sends its first packet after the loss, in ms.
const fn first_packet(port: u16) -> u16 {
    if port <= WAITING { port * 10 } else { (port - WAITING) * 250 }
}

/// Longest wait of a caller, and queries sent for each flow, after a loss of power.
fn play(agents: u16) -> (Duration, f64) {
    let start = Instant::now();
    let mut site = Site::new(agents, start);
    // Callers repeat their packets after 0.2, 0.6, 1.4 and 3 s, each from when it sent it.
    for ms in 0..5_000_u16 {
        for port in 1..=FLOWS {
            let first = first_packet(port);
            if [0, 200, 600, 1_400, 3_000].iter().any(|delay| first + delay == ms) {
                site.receive(port);
            }
        }
        site.step();
        if site.resets.len() == usize::from(FLOWS) {
            break;
        }
    }
    assert_eq!(site.resets.len(), usize::from(FLOWS), "{agents} agents: some are never told");
    assert!(site.tried <= 2 * usize::from(FLOWS), "{agents} agents: {} targets tried", site.tried);
    let wait =
        |(f, at): (&Flow, &Instant)| *at - start - u32::from(first_packet(f.caller.port())) * MS;
    let longest = site.resets.iter().map(wait).max().unwrap_or_default();
    (longest, f64::from(site.messages) / f64::from(FLOWS))
}

/// Guards against callers of lost flows who wait for seconds in a large service: each of its agents
/// had to be queried for each flow before one was reset.
#[test]
fn lost_flows_reset_at_any_size() {
    for agents in [27, 109, 544, 1_088] {
        let (longest, messages) = play(agents);
        println!("{agents} agents: {longest:?}, {messages:.1} datagrams a flow");
        assert!(longest <= RESET_WITHIN, "{agents} agents: {longest:?}");
    }
}

/// The service as the store lists it, over registrations, removals and expired leases.
struct Registrations {
    rng: StdRng,
    revision: i64,
    listed: BTreeMap<u16, i64>,
    /// When each agent registered first, as it tells once it has done so again.
    since: HashMap<u16, i64>,
    next: u16,
}

impl Registrations {
    fn register(&mut self, n: u16) {
        self.revision += 1;
        self.listed.insert(n, self.revision);
        self.since.entry(n).or_insert(self.revision);
    }

    fn register_new(&mut self) {
        self.next += 1;
        self.register(self.next);
    }

    fn remove_any(&mut self) -> Option<u16> {
        let n = *self.listed.keys().choose(&mut self.rng)?;
        self.listed.remove(&n);
        Some(n)
    }

    /// The list that a balancer reads now.
    fn read(&self, now: Instant) -> FlowSteering {
        let mut s = steering(0, now);
        let one = |(n, registered): (&u16, &i64)| ListedAgent {
            addr: agent_at(*n),
            zone: if n.is_multiple_of(5) { ZONE.into() } else { "gjw-b".into() },
            registered: *registered,
            since: self.since.get(n).copied().filter(|since| since < registered),
            ..listed_agent(1)
        };
        s.roster.update(&self.listed.iter().map(one).collect::<Vec<_>>(), now);
        s
    }
}

/// Guards against living flows taken for lost: whichever agent a flow was offered to, by whatever
/// list, is queried later, while agents come, leave and lose their registrations.
#[test]
fn owner_is_always_queried() {
    let now = Instant::now();
    let mut largest = 0;
    for seed in 0..40 {
        let mut r = Registrations {
            rng: StdRng::seed_from_u64(seed),
            revision: 10,
            listed: BTreeMap::new(),
            since: HashMap::new(),
            next: 0,
        };
        let mut owners: Vec<(u16, SocketAddrV4)> = Vec::new();
        for port in 1..=300 {
            // The service grows, shrinks, and grows again.
            for _ in 0..r.rng.random_range(0..6) {
                match r.rng.random_range(0..10) {
                    0..=5 if port % 200 < 100 => r.register_new(),
                    0..=3 => drop(r.remove_any()),
                    // A lease that expired.
                    4 => {
                        if let Some(n) = r.remove_any() {
                            r.register(n);
                        }
                    }
                    _ => r.register_new(),
                }
            }
            let opener = r.read(now);
            let offered = opener.roster.choose_pair(SERVICE, ZONE, flow(port), None, &[], now);
            if let Some((first, second)) = offered {
                let passed_on = second.filter(|_| port % 2 == 0);
                owners.push((port, passed_on.unwrap_or(first)));
            }
        }
        let searcher = r.read(now);
        for (port, owner) in owners {
            let possible = searcher.roster.possible_owners(SERVICE, flow(port));
            let listed = searcher.roster.is_responsive(owner);
            assert!(!listed || possible.contains(&owner), "seed {seed}, flow {port}");
            largest = largest.max(searcher.roster.len());
        }
    }
    assert!(largest > 300, "large services are played: {largest}");
}

/// What a search may query follows the logarithm of the service's size, at two years' sizes too.
#[test]
fn possible_owners_are_few() {
    let now = Instant::now();
    for (agents, most) in [(27, 27), (64, 64), (109, 100), (544, 160), (1_088, 190), (23_000, 300)]
    {
        let mut s = steering(0, now);
        s.roster.update(&roster(agents), now);
        let count = |port| s.roster.possible_owners(SERVICE, flow(port)).len();
        let mean = (1..=50).map(count).sum::<usize>() / 50;
        assert!(mean <= most, "{agents} agents: {mean}");
    }
}

/// An agent may own any flow if nobody knows since when its target holds flows, or if it takes opens
/// of any other agent.
#[test]
fn unknown_history_bounds_nothing() {
    let now = Instant::now();
    let unknown = [
        ListedAgent { registered: 0, ..listed_agent(1) },
        ListedAgent { since: Some(0), registered: 1_000, ..listed_agent(1) },
        ListedAgent { bounded: false, registered: 1_000, ..listed_agent(1) },
    ];
    for agent in unknown {
        let mut listed = roster(200);
        listed[199] = ListedAgent { addr: agent_at(199), ..agent };
        let mut s = steering(0, now);
        s.roster.update(&listed, now);
        let owners = |port| s.roster.possible_owners(SERVICE, flow(port));
        assert!((1..50).all(|port| owners(port).contains(&agent_at(199))));
        assert!((1..50).all(|port| owners(port).len() < 200));
    }
    let policy = BalancerPolicy { bounded_owners: false, ..BalancerPolicy::default() };
    let mut s = steering_with_policy(0, policy, now);
    s.roster.update(&roster(200), now);
    assert_eq!(s.roster.possible_owners(SERVICE, flow(1)).len(), 200);
}
