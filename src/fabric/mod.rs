//! The fabric stand-in: where callers' ordinary TCP connections meet the
//! system, and where each of their packets is sprayed over the balancers.
//!
//! For each profile it listens on the profile's caller-facing address. Each
//! accepted connection becomes a flow: an `Open` packet first, then the
//! caller's bytes cut into `Data` packets, each sent to a balancer picked at
//! random, so consecutive packets of one flow cross different balancers.
//! Like the caller's TCP stack, it resends what an agent has not acknowledged
//! (a balancer may die with the packet inside) and puts the agent's answers
//! back in order. On order it loses, doubles, delays or mutes packets.

mod carry;
mod rotation;
mod spray;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use spray::{Outcome, Spray};

use crate::admin::{self, Faults, ProcessState};
use crate::events;
use crate::settings::{FabricSettings, Settings};
use crate::wire::{self, Owner, Packet, PacketKind, Reply, ReplyKind};

/// Largest datagram taken, in bytes.
const DATAGRAM: usize = 64 * 1024;

/// How often changed faults are looked for.
const FAULT_TICK: Duration = Duration::from_millis(20);

type Flows = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>>;

/// How long the fabric waits for what.
#[derive(Clone, Copy, Debug)]
struct Timers {
    rto: Duration,
    open: Duration,
    give_up: Duration,
}

impl Timers {
    const fn new(f: &FabricSettings) -> Self {
        Self {
            rto: Duration::from_millis(f.rto_ms),
            open: Duration::from_millis(f.open_timeout_ms),
            give_up: Duration::from_millis(f.ack_timeout_ms),
        }
    }
}

/// What one flow needs to send its packets.
struct Link {
    flow: u64,
    port: u16,
    reply: SocketAddr,
    timers: Timers,
    spray: Spray,
}

impl Link {
    fn packet(&self, kind: PacketKind, owner: Owner) -> Packet {
        let (flow, port, reply) = (self.flow, self.port, self.reply);
        Packet {
            flow,
            port,
            kind,
            seq: 0,
            ack: 0,
            owner,
            reply_to: reply,
            offer: None,
            body: Vec::new(),
        }
    }
}

/// Runs the fabric of a site until the process stops.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run(settings: &Settings) -> anyhow::Result<()> {
    let f = &settings.fabric;
    let sock =
        UdpSocket::bind(f.addr).await.with_context(|| format!("fabric: binding {}", f.addr))?;
    let balancers: Vec<SocketAddr> = settings.balancers.iter().map(|b| b.addr).collect();
    let board = ProcessState::new("fabric".into(), Arc::default());
    board.set_ready(true);
    let desk = admin::Server::start(f.addr, board.clone()).await?;
    let spray = Spray::new(sock, balancers.clone(), board.clone());
    let flows: Flows = Rc::default();
    // Dropped, and so ended, with this function.
    let mut tasks = JoinSet::new();
    for p in &settings.profiles {
        let listener = TcpListener::bind(p.listen)
            .await
            .with_context(|| format!("fabric: binding {} for {}", p.listen, p.name))?;
        log::info!("{} fabric takes {} callers on {}", events::FABRIC_START, p.name, p.listen);
        let link = (p.listen.port(), f.addr, Timers::new(f));
        tasks.spawn_local(accept(listener, link, spray.clone(), flows.clone()));
    }
    let every = Duration::from_millis(f.probe_interval_ms);
    tasks.spawn_local(rotation::keep(spray.clone(), balancers, every));
    tasks.spawn_local(watch_faults(spray.clone(), flows.clone()));
    let mut term = signal(SignalKind::terminate()).context("fabric: signal")?;
    let res = tokio::select! {
        r = receive(&spray, &flows, f.addr) => r,
        _ = term.recv() => Ok(()),
    };
    desk.stop().await;
    tasks.shutdown().await;
    res
}

/// Hands each reply to its flow, through the injected faults.
async fn receive(spray: &Spray, flows: &Flows, me: SocketAddr) -> anyhow::Result<()> {
    let mut buf = vec![0u8; DATAGRAM];
    loop {
        let (n, _) = spray.sock().recv_from(&mut buf).await.context("fabric: receiving")?;
        let Ok(r) = wire::decode::<Reply>(&buf[..n]) else { continue };
        let Outcome::Arrives(copies) = spray.outcome(r.flow) else { continue };
        for _ in 0..copies {
            hand(spray, flows, r.clone(), me).await;
        }
    }
}

async fn hand(spray: &Spray, flows: &Flows, r: Reply, me: SocketAddr) {
    let to = flows.borrow().get(&r.flow).cloned();
    match (to, spray.held_up()) {
        (Some(tx), None) => {
            let _ = tx.send(r);
        }
        (Some(tx), Some(delay)) => {
            // A datagram on its way: it ends by itself.
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = tx.send(r);
            });
        }
        // An agent took a flow that is over (a late open): it lets go.
        (None, _) if r.kind == ReplyKind::Accept => {
            let (flow, port, owner, kind) = (r.flow, r.port, r.owner, PacketKind::Reset);
            let body = Vec::new();
            let p =
                Packet { flow, port, kind, seq: 0, ack: 0, owner, reply_to: me, offer: None, body };
            spray.send(&p).await;
        }
        (None, _) => {}
    }
}

async fn accept(
    listener: TcpListener,
    (port, reply, timers): (u16, SocketAddr, Timers),
    spray: Spray,
    flows: Flows,
) {
    let mut open = JoinSet::new();
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        let _ = caller.set_nodelay(true);
        let flow = rand::random::<u64>();
        let (tx, rx) = mpsc::unbounded_channel();
        flows.borrow_mut().insert(flow, tx);
        let link = Link { flow, port, reply, timers, spray: spray.clone() };
        let flows = flows.clone();
        while open.try_join_next().is_some() {}
        open.spawn_local(async move {
            carry::run(caller, &link, rx).await;
            flows.borrow_mut().remove(&flow);
        });
    }
}

/// Logs each change of the injected faults, and mutes the flows that are open
/// when `mute` is set.
async fn watch_faults(spray: Spray, flows: Flows) {
    let mut before = Faults::default();
    loop {
        tokio::time::sleep(FAULT_TICK).await;
        let now = spray.faults();
        if now == before {
            continue;
        }
        log::warn!("{} faults set to {now:?}", events::FABRIC_FAULTS_SET);
        match (before.mute_flows, now.mute_flows) {
            (false, true) => spray.mute(flows.borrow().keys().copied().collect()),
            (true, false) => spray.mute(Default::default()),
            _ => {}
        }
        before = now;
    }
}
