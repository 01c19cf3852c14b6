//! The fabric stand-in: where callers' ordinary TCP connections meet the
//! system, and where each of their packets is sprayed over the balancers.
//!
//! For each profile it listens on the profile's caller-facing address. Each
//! accepted connection becomes a flow: an `Open` packet first, then the
//! caller's bytes cut into `Data` packets, each sent to a balancer picked at
//! random, so consecutive packets of one flow cross different balancers.
//! Like the caller's TCP stack, it resends what an agent has not acknowledged
//! (a balancer may die with the packet inside) and puts the agent's answers
//! back in order.

mod faults;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

pub use faults::Faults;

use crate::events;
use crate::metrics::{self, Refusal, Retry};
use crate::settings::Settings;
use crate::wire::{self, Answer, Kind, MAX_BODY, Owner, Packet, Reply};

/// Packets in flight per flow before the fabric stops reading the caller.
const WINDOW: usize = 64;

/// How long a flow lingers after the target closed, for the caller's last
/// packets to be acknowledged.
const LINGER: Duration = Duration::from_secs(1);

/// Largest datagram taken, in bytes.
const DATAGRAM: usize = 64 * 1024;

type Flows = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>>;

#[derive(Clone)]
struct Spray {
    sock: Rc<UdpSocket>,
    balancers: Rc<Vec<SocketAddr>>,
    reply: SocketAddr,
    rto: Duration,
    open: Duration,
}

impl Spray {
    async fn send(&self, p: &Packet) {
        // Invariant: after the open, a flow's packets never go without owner.
        debug_assert!(
            p.kind == Kind::Open || p.owner != Owner::NONE,
            "flow {:x}: no owner",
            p.flow
        );
        let Ok(bytes) = wire::encode(p) else { return };
        if self.balancers.is_empty() {
            return;
        }
        let to = self.balancers[rand::random_range(0..self.balancers.len())];
        let _ = self.sock.send_to(&bytes, to).await;
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
    let spray = Spray {
        sock: Rc::new(sock),
        balancers: Rc::new(settings.balancers.iter().map(|b| b.addr).collect()),
        reply: f.addr,
        rto: Duration::from_millis(f.rto_ms),
        open: Duration::from_millis(f.open_ms),
    };
    let flows: Flows = Rc::default();
    let mut tasks = Vec::new();
    for p in &settings.profiles {
        let listener = TcpListener::bind(p.listen)
            .await
            .with_context(|| format!("fabric: binding {} for {}", p.listen, p.name))?;
        log::info!("{} fabric takes {} callers on {}", events::FABRIC_START, p.name, p.listen);
        tasks.push(tokio::task::spawn_local(accept(
            listener,
            p.listen.port(),
            spray.clone(),
            flows.clone(),
        )));
    }
    let mut buf = vec![0u8; DATAGRAM];
    let res = loop {
        let (n, _) = match spray.sock.recv_from(&mut buf).await {
            Ok(v) => v,
            Err(e) => break Err(anyhow::anyhow!("fabric: receiving: {e}")),
        };
        let Ok(r) = wire::decode::<Reply>(&buf[..n]) else { continue };
        if let Some(tx) = flows.borrow().get(&r.flow) {
            let _ = tx.send(r);
        }
    };
    for t in tasks {
        t.abort();
        let _ = t.await;
    }
    res
}

async fn accept(listener: TcpListener, port: u16, spray: Spray, flows: Flows) {
    let mut tasks: Vec<tokio::task::JoinHandle<()>> = Vec::new();
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        let _ = caller.set_nodelay(true);
        let flow = rand::random::<u64>();
        let (tx, rx) = mpsc::unbounded_channel();
        flows.borrow_mut().insert(flow, tx);
        let (spray, flows) = (spray.clone(), flows.clone());
        tasks.retain(|t| !t.is_finished());
        tasks.push(tokio::task::spawn_local(async move {
            carry(caller, port, flow, &spray, rx).await;
            flows.borrow_mut().remove(&flow);
        }));
    }
}

fn packet(flow: u64, port: u16, kind: Kind, seq: u32, owner: Owner, spray: &Spray) -> Packet {
    Packet { flow, port, kind, seq, owner, reply: spray.reply, body: Vec::new() }
}

/// Waits for an agent to accept the flow, resending the open.
async fn open(
    flow: u64,
    port: u16,
    spray: &Spray,
    rx: &mut mpsc::UnboundedReceiver<Reply>,
    early: &mut Vec<Reply>,
) -> Option<Owner> {
    let deadline = Instant::now() + spray.open;
    let p = packet(flow, port, Kind::Open, 0, Owner::NONE, spray);
    while Instant::now() < deadline {
        spray.send(&p).await;
        let until = tokio::time::Instant::now() + spray.rto;
        loop {
            match tokio::time::timeout_at(until, rx.recv()).await {
                Ok(Some(r)) if r.answer == Answer::Accept => return Some(r.owner),
                Ok(Some(r)) => early.push(r),
                Ok(None) => return None,
                Err(_) => break,
            }
        }
        metrics::retried(Retry::OpenTimeout);
    }
    None
}

struct Inbound {
    next: u32,
    held: BTreeMap<u32, Vec<u8>>,
    end: Option<u32>,
}

async fn carry(
    caller: TcpStream,
    port: u16,
    flow: u64,
    spray: &Spray,
    mut rx: mpsc::UnboundedReceiver<Reply>,
) {
    let mut early = Vec::new();
    let Some(owner) = open(flow, port, spray, &mut rx, &mut early).await else {
        metrics::refused(Refusal::OpenTimeout);
        log::warn!("{} flow {flow:x} on port {port}: no agent accepted it", events::FABRIC_OPEN);
        return;
    };
    let (mut rd, mut wr) = caller.into_split();
    let mut unacked: VecDeque<Packet> = VecDeque::new();
    let mut seq = 1u32;
    let mut caller_eof = false;
    let mut inbound = Inbound { next: 0, held: BTreeMap::new(), end: None };
    let mut closed_at: Option<tokio::time::Instant> = None;
    let mut buf = vec![0u8; MAX_BODY];
    let mut tick = tokio::time::interval(spray.rto);
    tick.tick().await;
    let mut pending: VecDeque<Reply> = early.into();
    loop {
        if let Some(at) = closed_at
            && (unacked.is_empty() || at.elapsed() >= LINGER)
        {
            if !(caller_eof && unacked.is_empty()) {
                // The agent never saw the caller finish: let it free the flow.
                spray.send(&packet(flow, port, Kind::Reset, 0, owner, spray)).await;
            }
            return;
        }
        let r = if let Some(r) = pending.pop_front() {
            Some(r)
        } else {
            tokio::select! {
                n = rd.read(&mut buf), if !caller_eof && unacked.len() < WINDOW => {
                    let n = n.unwrap_or(0);
                    let mut p = packet(flow, port, Kind::Data, seq, owner, spray);
                    if n == 0 {
                        p.kind = Kind::Close;
                        caller_eof = true;
                    } else {
                        p.body = buf[..n].to_vec();
                    }
                    seq += 1;
                    spray.send(&p).await;
                    unacked.push_back(p);
                    None
                }
                r = rx.recv() => match r {
                    Some(r) => Some(r),
                    None => return,
                },
                _ = tick.tick() => {
                    for p in &unacked {
                        metrics::retried(Retry::PacketTimeout);
                        spray.send(p).await;
                    }
                    None
                }
            }
        };
        let Some(r) = r else { continue };
        if r.owner != owner {
            if r.answer == Answer::Accept {
                // A second agent accepted a resent open: tell it to let go.
                spray.send(&packet(flow, port, Kind::Reset, 0, r.owner, spray)).await;
            }
            continue;
        }
        match r.answer {
            Answer::Accept => {}
            Answer::Ack { next } => {
                while unacked.front().is_some_and(|p| p.seq < next) {
                    unacked.pop_front();
                }
            }
            Answer::Data { seq, body } => {
                if seq >= inbound.next {
                    inbound.held.insert(seq, body);
                }
            }
            Answer::Close { seq } => inbound.end = Some(seq),
        }
        while let Some(body) = inbound.held.remove(&inbound.next) {
            inbound.next += 1;
            if wr.write_all(&body).await.is_err() {
                // The caller is gone: tell the agent to free the flow.
                spray.send(&packet(flow, port, Kind::Reset, 0, owner, spray)).await;
                return;
            }
        }
        if closed_at.is_none() && inbound.end == Some(inbound.next) {
            let _ = wr.shutdown().await;
            closed_at = Some(tokio::time::Instant::now());
        }
    }
}
