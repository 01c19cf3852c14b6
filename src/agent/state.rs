//! The agent's state: its open flows, the orders in force, and what it does
//! with each packet.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::flow::{End, Timers, Waiting};
use super::mailbox::Mailbox;
use super::orders::Orders;
use super::place::{self, give_back, place};
use super::{Admit, Step, admit, flow};
use crate::admin::ProcessState;
use crate::events;
use crate::metrics::{self, Refusal, Retry};
use crate::refusal;
use crate::settings::{Settings, TargetSettings};
use crate::wire::{self, Offer, OfferStage, Owner, Packet, PacketKind, Reply, ReplyKind};

/// How long a target that could not be reached is not tried again.
const DOWN: Duration = Duration::from_secs(1);

/// One open flow.
struct Held {
    owner: Owner,
    port: u16,
    inbox: Mailbox<Packet>,
}

/// One agent: its target, its flows and its orders.
pub struct Agent {
    me: TargetSettings,
    sock: Rc<UdpSocket>,
    flows: HashMap<u64, Held>,
    per_port: HashMap<u16, usize>,
    orders: Orders,
    drain: Option<Instant>,
    closed: bool,
    down: Option<Instant>,
    grace: Duration,
    timers: Timers,
    waiting: Waiting,
    done: mpsc::UnboundedSender<(u64, End)>,
    tasks: JoinSet<()>,
    board: ProcessState,
}

impl Agent {
    /// An agent with no flows and no orders yet; `done` gets the id of each
    /// flow that ends.
    pub fn new(
        me: TargetSettings,
        settings: &Settings,
        sock: UdpSocket,
        done: mpsc::UnboundedSender<(u64, End)>,
        board: ProcessState,
    ) -> Self {
        Self {
            me,
            sock: Rc::new(sock),
            flows: HashMap::new(),
            per_port: HashMap::new(),
            orders: Orders::default(),
            drain: None,
            closed: false,
            down: None,
            grace: Duration::from_millis(settings.agent_timers.drain_grace_ms),
            timers: Timers {
                idle: Duration::from_millis(settings.agent_timers.idle_timeout_ms),
                rto: Duration::from_millis(settings.agent_timers.rto_ms),
                give_up: Duration::from_millis(settings.agent_timers.ack_timeout_ms),
            },
            waiting: Waiting::default(),
            done,
            tasks: JoinSet::new(),
            board,
        }
    }

    /// The target's name.
    pub fn name(&self) -> Arc<str> {
        self.me.name.clone()
    }

    /// The socket that flows answer on.
    pub fn sock(&self) -> Rc<UdpSocket> {
        self.sock.clone()
    }

    /// Open flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is open.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Takes no new flow from now on.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Every task that the agent has started, for joining.
    pub fn take_tasks(&mut self) -> JoinSet<()> {
        std::mem::take(&mut self.tasks)
    }

    /// Puts new orders in force.
    pub fn apply_orders(&mut self, orders: Orders) {
        let name = &self.me.name;
        match (orders.drain, self.drain) {
            (true, None) => {
                log::info!("{} target {name} drains", events::AGENT_DRAIN);
                self.drain = Some(Instant::now());
            }
            (false, Some(_)) => {
                log::info!("{} target {name} back in service", events::AGENT_DRAIN);
                self.drain = None;
            }
            _ => {}
        }
        self.orders = orders;
    }

    /// Removes a flow that ended.
    pub fn forget(&mut self, flow: u64, end: End) {
        self.down = match end {
            End::Unreachable => Some(Instant::now()),
            _ => self.down,
        };
        if let Some(held) = self.flows.remove(&flow) {
            if let Some(n) = self.per_port.get_mut(&held.port) {
                *n -= 1;
            }
            self.publish();
        }
    }

    /// Takes one packet.
    pub fn take(&mut self, p: Packet) {
        if p.kind == PacketKind::Open {
            self.open(p);
            return;
        }
        match self.flows.get(&p.flow) {
            Some(h) if h.owner == p.owner => {
                h.inbox.send(p);
            }
            _ if p.kind == PacketKind::Reset => {}
            _ => {
                metrics::count_refusal(Refusal::UnknownFlow);
                self.reply(&p, p.owner, ReplyKind::Reset);
            }
        }
    }

    /// Answers a packet whose flow this agent does not hold.
    fn reply(&mut self, p: &Packet, owner: Owner, answer: ReplyKind) {
        let (sock, to) = (self.sock.clone(), p.reply_to);
        let reply = Reply { flow: p.flow, port: p.port, owner, kind: answer };
        self.spawn(async move { flow::send(&sock, to, reply).await });
    }

    fn open(&mut self, p: Packet) {
        if let Some(h) = self.flows.get(&p.flow) {
            h.inbox.send(p);
            return;
        }
        let Some(profile) = self.orders.profiles.get(&p.port) else {
            metrics::count_refusal(Refusal::NoProfile);
            return;
        };
        if profile.service != self.me.service {
            metrics::count_refusal(Refusal::ForeignOwner);
            return;
        }
        let max = profile.max_flows;
        let open = self.per_port.get(&p.port).copied().unwrap_or(0);
        let since = self.drain.map(|d| d.elapsed());
        let mut admit = admit(since, self.grace, self.closed, open, max as usize);
        if self.down.is_some_and(|at| at.elapsed() < DOWN) {
            admit = Admit::Refuse(Refusal::Unreachable);
        }
        let me = v4(self.me.agent_addr);
        let offer = p.offer.unwrap_or(Offer { first: me, second: None, stage: OfferStage::Take });
        match place(admit, self.load(max), offer) {
            Step::Take => self.start(p, offer),
            Step::Pass(on) => self.pass(p, on),
            Step::Refuse(reason) => self.refuse(&p, reason),
        }
    }

    /// This agent's load as offers compare it.
    fn load(&self, max: u32) -> u32 {
        let flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        place::load(flows, self.waiting.count(), self.me.slots, max)
    }

    /// Passes an open, of which nothing ran, to the other candidate.
    fn pass(&mut self, p: Packet, offer: Offer) {
        let sock = self.sock.clone();
        self.spawn(async move { pass_on(&sock, p, offer).await });
    }

    fn refuse(&mut self, p: &Packet, reason: Refusal) {
        metrics::count_refusal(reason);
        log::info!("{} flow {:x} refused as not run: {reason}", events::AGENT_FLOW_REFUSED, p.flow);
        let owner = Owner::new(v4(self.me.agent_addr), 0);
        self.reply(p, owner, ReplyKind::Refuse { body: refusal::response(reason) });
    }

    fn start(&mut self, p: Packet, offer: Offer) {
        let nonce = rand::random::<u16>().max(1);
        let owner = Owner::new(v4(self.me.agent_addr), nonce);
        let inbox = Mailbox::default();
        let rx = inbox.clone();
        let spec = flow::Spec {
            flow: p.flow,
            port: p.port,
            owner,
            reply: p.reply_to,
            target: self.me.addr,
            timers: self.timers,
        };
        let (sock, done) = (self.sock.clone(), self.done.clone());
        let waiting = self.waiting.clone();
        *self.per_port.entry(p.port).or_default() += 1;
        self.flows.insert(p.flow, Held { owner, port: p.port, inbox });
        self.spawn(async move {
            let end = flow::run(sock.clone(), spec.clone(), waiting, rx).await;
            match end {
                End::Unreachable => unreachable(&sock, &spec, p, offer).await,
                End::Idle | End::Silent => spec.send(&sock, ReplyKind::Reset).await,
                End::Closed | End::Reset => {}
            }
            let _ = done.send((spec.flow, end));
        });
        self.publish();
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn_local(task);
    }

    fn publish(&self) {
        let flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        self.board.set_flows(flows, self.waiting.count());
    }
}

async fn pass_on(sock: &UdpSocket, mut p: Packet, offer: Offer) {
    metrics::count_retry(Retry::PassedOn);
    p.offer = Some(offer);
    if let Ok(bytes) = wire::encode(&p) {
        let _ = sock.send_to(&bytes, offer.next_agent()).await;
    }
}

/// The target of a flow just taken cannot be reached: nothing ran, so the
/// open may go to the other candidate.
async fn unreachable(sock: &UdpSocket, spec: &flow::Spec, p: Packet, offer: Offer) {
    match give_back(offer) {
        Step::Pass(on) => pass_on(sock, p, on).await,
        Step::Take | Step::Refuse(_) => {
            let reason = Refusal::Unreachable;
            metrics::count_refusal(reason);
            spec.send(sock, ReplyKind::Refuse { body: refusal::response(reason) }).await;
        }
    }
}

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(a) => a,
        SocketAddr::V6(_) => SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    }
}
