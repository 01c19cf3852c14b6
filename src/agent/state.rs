//! State of an agent: its open flows and configuration, and the handling of
//! each packet from a balancer.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::config::AgentConfig;
use super::flow::{FlowEnd, FlowTimeouts, WaitingFlows};
use super::mailbox::Mailbox;
use super::placement::{self, decide_offer, decide_unreachable};
use super::{Admission, OfferAction, admit, flow};
use crate::admin::ProcessState;
use crate::events;
use crate::metrics::{self, Refusal, Retry};
use crate::refusal;
use crate::settings::{Settings, TargetSettings};
use crate::wire::{self, Offer, OfferStage, Owner, Packet, PacketKind, Reply, ReplyKind};

/// How long new flows are refused after a failed connection to the target.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);

/// Handle to the task of an open flow.
struct FlowHandle {
    owner: Owner,
    port: u16,
    inbox: Mailbox<Packet>,
}

/// The agent of one target.
pub struct Agent {
    target: TargetSettings,
    sock: Rc<UdpSocket>,
    flows: HashMap<u64, FlowHandle>,
    flows_per_port: HashMap<u16, usize>,
    config: AgentConfig,
    draining_since: Option<Instant>,
    /// Whether new flows are refused because the agent stops.
    stopping: bool,
    /// When a connection to the target last failed.
    unreachable_since: Option<Instant>,
    drain_grace: Duration,
    timeouts: FlowTimeouts,
    waiting: WaitingFlows,
    ended: mpsc::UnboundedSender<(u64, FlowEnd)>,
    tasks: JoinSet<()>,
    process_state: ProcessState,
}

impl Agent {
    /// An agent without flows or profiles. `ended` receives the identifier of
    /// each flow that ends.
    pub fn new(
        target: TargetSettings,
        settings: &Settings,
        sock: UdpSocket,
        ended: mpsc::UnboundedSender<(u64, FlowEnd)>,
        process_state: ProcessState,
    ) -> Self {
        Self {
            target,
            sock: Rc::new(sock),
            flows: HashMap::new(),
            flows_per_port: HashMap::new(),
            config: AgentConfig::default(),
            draining_since: None,
            stopping: false,
            unreachable_since: None,
            drain_grace: Duration::from_millis(settings.agent_timers.drain_grace_ms),
            timeouts: FlowTimeouts {
                idle: Duration::from_millis(settings.agent_timers.idle_timeout_ms),
                rto: Duration::from_millis(settings.agent_timers.rto_ms),
                ack: Duration::from_millis(settings.agent_timers.ack_timeout_ms),
            },
            waiting: WaitingFlows::default(),
            ended,
            tasks: JoinSet::new(),
            process_state,
        }
    }

    pub fn target_name(&self) -> Arc<str> {
        self.target.name.clone()
    }

    /// The UDP socket for packets and replies.
    pub fn socket(&self) -> Rc<UdpSocket> {
        self.sock.clone()
    }

    /// Number of open flows.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is open.
    pub fn is_idle(&self) -> bool {
        self.flows.is_empty()
    }

    /// Refuses new flows from now on.
    pub fn stop_accepting(&mut self) {
        self.stopping = true;
    }

    /// Takes the tasks of flows and replies, for the caller to shut down.
    pub fn take_tasks(&mut self) -> JoinSet<()> {
        std::mem::take(&mut self.tasks)
    }

    /// Replaces the configuration; starts or ends the drain if it changed.
    pub fn apply_config(&mut self, config: AgentConfig) {
        let name = &self.target.name;
        match (config.draining, self.draining_since) {
            (true, None) => {
                log::info!("{} target {name} is draining", events::AGENT_DRAIN);
                self.draining_since = Some(Instant::now());
            }
            (false, Some(_)) => {
                log::info!("{} target {name} back in service", events::AGENT_DRAIN);
                self.draining_since = None;
            }
            _ => {}
        }
        self.config = config;
    }

    /// Removes a flow that ended.
    pub fn remove_flow(&mut self, flow_id: u64, end: FlowEnd) {
        self.unreachable_since = match end {
            FlowEnd::Unreachable => Some(Instant::now()),
            _ => self.unreachable_since,
        };
        if let Some(handle) = self.flows.remove(&flow_id) {
            if let Some(n) = self.flows_per_port.get_mut(&handle.port) {
                *n -= 1;
            }
            self.publish_flow_counts();
        }
    }

    /// Opens a flow, delivers the packet to its flow, or resets an unknown one.
    pub fn handle_packet(&mut self, p: Packet) {
        if p.kind == PacketKind::Open {
            self.handle_open(p);
            return;
        }
        match self.flows.get(&p.flow) {
            Some(handle) if handle.owner == p.owner => {
                handle.inbox.send(p);
            }
            _ if p.kind == PacketKind::Reset => {}
            _ => {
                metrics::count_refusal(Refusal::UnknownFlow);
                self.send_reply(&p, p.owner, ReplyKind::Reset);
            }
        }
    }

    /// Replies to a packet of a flow that is not open here.
    fn send_reply(&mut self, p: &Packet, owner: Owner, kind: ReplyKind) {
        let (sock, to) = (self.sock.clone(), p.reply_to);
        let reply = Reply { flow: p.flow, port: p.port, owner, kind };
        self.spawn(async move { flow::send_reply(&sock, to, reply).await });
    }

    fn handle_open(&mut self, p: Packet) {
        if let Some(handle) = self.flows.get(&p.flow) {
            handle.inbox.send(p);
            return;
        }
        let Some(profile) = self.config.profiles.get(&p.port) else {
            metrics::count_refusal(Refusal::NoProfile);
            return;
        };
        if profile.service != self.target.service {
            metrics::count_refusal(Refusal::WrongService);
            return;
        }
        let max_flows = profile.max_flows;
        let open_flows = self.flows_per_port.get(&p.port).copied().unwrap_or(0);
        let draining_for = self.draining_since.map(|at| at.elapsed());
        let mut admission =
            admit(draining_for, self.drain_grace, self.stopping, open_flows, max_flows as usize);
        if self.unreachable_since.is_some_and(|at| at.elapsed() < UNREACHABLE_PAUSE) {
            admission = Admission::Refuse(Refusal::Unreachable);
        }
        let own_addr = ipv4_addr(self.target.agent_addr);
        let offer =
            p.offer.unwrap_or(Offer { first: own_addr, second: None, stage: OfferStage::Assign });
        match decide_offer(admission, self.load(max_flows), offer) {
            OfferAction::Accept => self.start_flow(p, offer),
            OfferAction::PassOn(next) => self.pass_on(p, next),
            OfferAction::Refuse(reason) => self.refuse(&p, reason),
        }
    }

    /// The load that decides offers; see [`placement::slot_load`].
    fn load(&self, max_flows: u32) -> u32 {
        let flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        placement::slot_load(flows, self.waiting.count(), self.target.slots, max_flows)
    }

    fn pass_on(&mut self, p: Packet, offer: Offer) {
        let sock = self.sock.clone();
        self.spawn(async move { send_offer(&sock, p, offer).await });
    }

    fn refuse(&mut self, p: &Packet, reason: Refusal) {
        metrics::count_refusal(reason);
        log::info!(
            "{} flow {:x} refused before execution: {reason}",
            events::AGENT_FLOW_REFUSED,
            p.flow
        );
        let owner = Owner::new(ipv4_addr(self.target.agent_addr), 0);
        self.send_reply(p, owner, ReplyKind::Refuse { body: refusal::response(reason) });
    }

    fn start_flow(&mut self, p: Packet, offer: Offer) {
        let nonce = rand::random::<u16>().max(1);
        let owner = Owner::new(ipv4_addr(self.target.agent_addr), nonce);
        let inbox = Mailbox::default();
        let params = flow::FlowParams {
            flow_id: p.flow,
            port: p.port,
            owner,
            reply_to: p.reply_to,
            target: self.target.addr,
            timeouts: self.timeouts,
        };
        let (sock, ended) = (self.sock.clone(), self.ended.clone());
        let (packets, waiting) = (inbox.clone(), self.waiting.clone());
        *self.flows_per_port.entry(p.port).or_default() += 1;
        self.flows.insert(p.flow, FlowHandle { owner, port: p.port, inbox });
        self.spawn(async move {
            let end = flow::run(sock.clone(), params.clone(), waiting, packets).await;
            match end {
                FlowEnd::Unreachable => pass_on_or_refuse(&sock, &params, p, offer).await,
                FlowEnd::Idle | FlowEnd::AckTimeout => {
                    params.send_reply(&sock, ReplyKind::Reset).await
                }
                FlowEnd::Closed | FlowEnd::Reset => {}
            }
            let _ = ended.send((params.flow_id, end));
        });
        self.publish_flow_counts();
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn_local(task);
    }

    fn publish_flow_counts(&self) {
        let flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        self.process_state.set_flows(flows, self.waiting.count());
    }
}

/// Sends an open to the agent that decides on `offer` next.
async fn send_offer(sock: &UdpSocket, mut p: Packet, offer: Offer) {
    metrics::count_retry(Retry::PassedOn);
    p.offer = Some(offer);
    if let Ok(bytes) = wire::encode(&p) {
        let _ = sock.send_to(&bytes, offer.next_agent()).await;
    }
}

/// Passes on or refuses an open that was accepted but whose target could not
/// be reached. No caller data was delivered, so another target may accept it.
async fn pass_on_or_refuse(sock: &UdpSocket, params: &flow::FlowParams, p: Packet, offer: Offer) {
    match decide_unreachable(offer) {
        OfferAction::PassOn(next) => send_offer(sock, p, next).await,
        OfferAction::Accept | OfferAction::Refuse(_) => {
            let reason = Refusal::Unreachable;
            metrics::count_refusal(reason);
            params.send_reply(sock, ReplyKind::Refuse { body: refusal::response(reason) }).await;
        }
    }
}

/// The IPv4 address, or 0.0.0.0:0 for an IPv6 one, which the settings rule out.
fn ipv4_addr(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(a) => a,
        SocketAddr::V6(_) => SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    }
}
