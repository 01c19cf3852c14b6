//! Stand-in for the fabric: accepts callers' TCP connections, turns each into a flow of
//! packets and sends each packet to a random balancer. Like the caller's TCP stack, it
//! resends unacknowledged packets and puts replies in order. Injected faults act on
//! packets in both directions.

mod connection;
mod rotation;
mod sprayer;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use sprayer::{Outcome, Sprayer};

use crate::admin::{self, Faults, ProcessState};
use crate::events;
use crate::settings::{FabricSettings, Settings};
use crate::wire::{self, Owner, Packet, PacketKind, Reply, ReplyKind};

/// Size of the receive buffer; a UDP datagram is never larger.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Interval at which the injected faults are checked for changes.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where replies are delivered, by flow.
type Flows = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>>;

/// Timeouts of a flow.
#[derive(Clone, Copy, Debug)]
struct Timeouts {
    /// Retransmission timeout.
    rto: Duration,
    /// How long an agent may take to accept or refuse the flow.
    open: Duration,
    /// How long the flow's agent may leave packets unacknowledged.
    ack: Duration,
}

impl Timeouts {
    const fn new(settings: &FabricSettings) -> Self {
        Self {
            rto: Duration::from_millis(settings.rto_ms),
            open: Duration::from_millis(settings.open_timeout_ms),
            ack: Duration::from_millis(settings.ack_timeout_ms),
        }
    }
}

/// Identity of a flow and the means to send its packets.
struct FlowContext {
    flow: u64,
    port: u16,
    reply_to: SocketAddr,
    timeouts: Timeouts,
    sprayer: Sprayer,
}

impl FlowContext {
    /// An empty packet of this flow; the caller sets sequence number, acknowledgement
    /// and body.
    fn packet(&self, kind: PacketKind, owner: Owner) -> Packet {
        Packet {
            flow: self.flow,
            port: self.port,
            kind,
            seq: 0,
            ack: 0,
            owner,
            reply_to: self.reply_to,
            offer: None,
            body: Vec::new(),
        }
    }
}

/// Runs the fabric of a site until SIGTERM.
///
/// # Errors
///
/// Fails if an address cannot be bound or replies cannot be received.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let f = &settings.fabric;
    let socket =
        UdpSocket::bind(f.addr).await.with_context(|| format!("fabric: binding {}", f.addr))?;
    let balancers: Vec<SocketAddr> = settings.balancers.iter().map(|b| b.addr).collect();
    let process_state = ProcessState::new("fabric".into(), Arc::default());
    process_state.set_ready(true);
    let admin_server = admin::Server::start(f.addr, process_state.clone()).await?;
    let sprayer = Sprayer::new(socket, balancers.clone(), process_state.clone());
    let flows: Flows = Rc::default();
    // Dropping the set aborts its tasks, also on an early return.
    let mut tasks = JoinSet::new();
    for p in &settings.profiles {
        let listener = TcpListener::bind(p.listen)
            .await
            .with_context(|| format!("fabric: binding {} for {}", p.listen, p.name))?;
        log::info!("{} fabric accepts callers of {} on {}", events::FABRIC_START, p.name, p.listen);
        let flow_settings = (p.listen.port(), f.addr, Timeouts::new(f));
        tasks.spawn_local(accept_callers(listener, flow_settings, sprayer.clone(), flows.clone()));
    }
    let interval = Duration::from_millis(f.probe_interval_ms);
    tasks.spawn_local(rotation::maintain(sprayer.clone(), balancers, interval));
    tasks.spawn_local(watch_faults(sprayer.clone(), flows.clone()));
    let mut term = signal(SignalKind::terminate()).context("fabric: installing SIGTERM handler")?;
    let res = tokio::select! {
        r = receive_replies(&sprayer, &flows, f.addr) => r,
        _ = term.recv() => Ok(()),
    };
    admin_server.stop().await;
    tasks.shutdown().await;
    res
}

/// Delivers each received reply to its flow, subject to the injected faults.
async fn receive_replies(
    sprayer: &Sprayer,
    flows: &Flows,
    reply_to: SocketAddr,
) -> anyhow::Result<()> {
    let mut buf = vec![0u8; MAX_DATAGRAM_BYTES];
    loop {
        let (n, _) = sprayer.socket().recv_from(&mut buf).await.context("fabric: receiving")?;
        let Ok(reply) = wire::decode::<Reply>(&buf[..n]) else { continue };
        let Outcome::Delivered(copies) = sprayer.random_outcome(reply.flow) else { continue };
        for _ in 0..copies {
            deliver(sprayer, flows, reply.clone(), reply_to).await;
        }
    }
}

async fn deliver(sprayer: &Sprayer, flows: &Flows, reply: Reply, reply_to: SocketAddr) {
    let flow_tx = flows.borrow().get(&reply.flow).cloned();
    match (flow_tx, sprayer.random_delay()) {
        (Some(tx), None) => {
            let _ = tx.send(reply);
        }
        (Some(tx), Some(delay)) => {
            // Detached: the task ends by itself after the delay.
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = tx.send(reply);
            });
        }
        // The flow is already over when its open is accepted: free it at the agent.
        (None, _) if reply.kind == ReplyKind::Accept => {
            let reset = Packet {
                flow: reply.flow,
                port: reply.port,
                kind: PacketKind::Reset,
                seq: 0,
                ack: 0,
                owner: reply.owner,
                reply_to,
                offer: None,
                body: Vec::new(),
            };
            sprayer.send(&reset).await;
        }
        (None, _) => {}
    }
}

async fn accept_callers(
    listener: TcpListener,
    (port, reply_to, timeouts): (u16, SocketAddr, Timeouts),
    sprayer: Sprayer,
    flows: Flows,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        let _ = caller.set_nodelay(true);
        let flow = rand::random::<u64>();
        let (tx, rx) = mpsc::unbounded_channel();
        flows.borrow_mut().insert(flow, tx);
        let ctx = FlowContext { flow, port, reply_to, timeouts, sprayer: sprayer.clone() };
        let flows = flows.clone();
        while connections.try_join_next().is_some() {}
        connections.spawn_local(async move {
            connection::run(caller, &ctx, rx).await;
            flows.borrow_mut().remove(&flow);
        });
    }
}

/// Logs each change of the injected faults. While `mute` is set, the flows that were
/// open when it was set are muted.
async fn watch_faults(sprayer: Sprayer, flows: Flows) {
    let mut previous = Faults::default();
    loop {
        tokio::time::sleep(FAULT_POLL_INTERVAL).await;
        let faults = sprayer.faults();
        if faults == previous {
            continue;
        }
        log::warn!("{} injected faults set to {faults:?}", events::FABRIC_FAULTS_SET);
        match (previous.mute_flows, faults.mute_flows) {
            (false, true) => sprayer.set_muted_flows(flows.borrow().keys().copied().collect()),
            (true, false) => sprayer.set_muted_flows(HashSet::new()),
            _ => {}
        }
        previous = faults;
    }
}
