//! The agent: the one small process beside each target.
//!
//! It announces its target under a lease (there is no list of targets),
//! accepts new flows for it, holds each flow's state, puts caller bytes back
//! in order and hands them to the target, and sends the answers straight to
//! the fabric. It refuses a new flow as "not run" before any byte reaches the
//! target: when the target drains (after a grace that lets the drain reach
//! every balancer), when it holds as many flows as the profile allows, or
//! when the target cannot be reached.

pub mod flow;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::metrics::{self, Refusal};
use crate::settings::{Service, Settings, TargetSettings};
use crate::store::{self, Keys};
use crate::wire::{self, Answer, Kind, Owner, Packet};
use crate::{events, record};

/// Largest datagram taken, in bytes.
const DATAGRAM: usize = 64 * 1024;

/// Seconds a refused caller is told to wait before it comes back.
pub const RETRY_AFTER_S: u32 = 1;

/// How often a stopping agent looks whether its flows are done.
const STOP_POLL: Duration = Duration::from_millis(100);

struct Held {
    owner: Owner,
    tx: mpsc::UnboundedSender<Packet>,
}

/// What an agent decides about a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// Accept it.
    Accept,
    /// Refuse it as not run.
    Refuse(Refusal),
}

/// Whether a new flow is admitted.
///
/// `drain` is how long ago the drain order was seen, if any; `grace` is how
/// long a draining target still takes new flows; `flows` and `max` are the
/// open flows and the profile's limit.
#[must_use]
pub fn admit(
    drain: Option<Duration>,
    grace: Duration,
    stopping: bool,
    flows: usize,
    max: usize,
) -> Admit {
    if stopping || drain.is_some_and(|d| d >= grace) {
        Admit::Refuse(Refusal::Draining)
    } else if flows >= max {
        Admit::Refuse(Refusal::Full)
    } else {
        Admit::Accept
    }
}

/// The answer a refused caller gets: HTTP 503 with a time to come back.
#[must_use]
pub fn refusal(reason: Refusal) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_S}\r\n\
         X-Jujubepost-Refused: {reason}\r\nX-Jujubepost-Run: no\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    .into_bytes()
}

struct Agent {
    me: TargetSettings,
    sock: Rc<UdpSocket>,
    flows: HashMap<u64, Held>,
    drain: Option<Instant>,
    stopping: bool,
    grace: Duration,
    idle: Duration,
    limits: HashMap<u16, (Service, usize)>,
    done: mpsc::UnboundedSender<u64>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Agent {
    fn take(&mut self, p: Packet) {
        match p.kind {
            Kind::Open => self.open(p),
            _ => match self.flows.get(&p.flow) {
                Some(h) if h.owner == p.owner => {
                    let _ = h.tx.send(p);
                }
                _ => metrics::refused(Refusal::UnknownFlow),
            },
        }
    }

    fn open(&mut self, p: Packet) {
        if let Some(h) = self.flows.get(&p.flow) {
            let _ = h.tx.send(p);
            return;
        }
        let Some(&(service, max)) = self.limits.get(&p.port) else {
            metrics::refused(Refusal::NoProfile);
            return;
        };
        if service != self.me.service {
            metrics::refused(Refusal::ForeignOwner);
            return;
        }
        let since = self.drain.map(|d| d.elapsed());
        match admit(since, self.grace, self.stopping, self.flows.len(), max) {
            Admit::Refuse(reason) => self.refuse(&p, reason),
            Admit::Accept => self.start(p),
        }
    }

    fn refuse(&mut self, p: &Packet, reason: Refusal) {
        metrics::refused(reason);
        log::info!("{} flow {:x} refused as not run: {reason}", events::AGENT_REFUSE, p.flow);
        let owner = Owner::new(v4(self.me.agent), 0);
        let (sock, to, flow) = (self.sock.clone(), p.reply, p.flow);
        let task = tokio::task::spawn_local(async move {
            refuse_with(&sock, to, flow, owner, reason).await;
        });
        self.keep(task);
    }

    fn keep(&mut self, task: tokio::task::JoinHandle<()>) {
        self.tasks.retain(|t| !t.is_finished());
        self.tasks.push(task);
    }

    fn start(&mut self, p: Packet) {
        let nonce = rand::random::<u16>().max(1);
        let owner = Owner::new(v4(self.me.agent), nonce);
        let (tx, rx) = mpsc::unbounded_channel();
        let spec = flow::Spec {
            flow: p.flow,
            owner,
            reply: p.reply,
            target: self.me.addr,
            idle: self.idle,
        };
        let sock = self.sock.clone();
        let done = self.done.clone();
        let task = tokio::task::spawn_local(async move {
            let end = flow::run(sock.clone(), spec.clone(), rx).await;
            if end == flow::End::Unreachable {
                metrics::refused(Refusal::Unreachable);
                refuse_with(&sock, spec.reply, spec.flow, spec.owner, Refusal::Unreachable).await;
            }
            let _ = done.send(spec.flow);
        });
        self.keep(task);
        self.flows.insert(p.flow, Held { owner, tx });
    }
}

async fn refuse_with(sock: &UdpSocket, to: SocketAddr, flow: u64, owner: Owner, reason: Refusal) {
    flow::send(sock, to, flow, owner, Answer::Accept).await;
    let body = refusal(reason);
    flow::send(sock, to, flow, owner, Answer::Data { seq: 0, body }).await;
    flow::send(sock, to, flow, owner, Answer::Close { seq: 1 }).await;
}

fn v4(addr: SocketAddr) -> std::net::SocketAddrV4 {
    match addr {
        SocketAddr::V4(a) => a,
        SocketAddr::V6(_) => std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
    }
}

/// Runs the agent of target `name` until it is told to stop (SIGTERM or
/// SIGINT), then stops taking new flows and waits for open ones.
///
/// # Errors
///
/// Fails when the target is not in the settings or the agent's address is
/// taken.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let me = settings.target(name)?.clone();
    let sock = UdpSocket::bind(me.agent)
        .await
        .with_context(|| format!("agent {name}: binding {}", me.agent))?;
    let store = store::Client::new(settings.store.addr, ms(settings.store.timeout_ms)).await;
    let keys = Keys::new(settings.store.prefix.clone());
    let (done, mut finished) = mpsc::unbounded_channel();
    let limits = settings
        .profiles
        .iter()
        .map(|p| (p.listen.port(), (p.service, p.max_flows as usize)))
        .collect();
    let agent = Rc::new(RefCell::new(Agent {
        me: me.clone(),
        sock: Rc::new(sock),
        flows: HashMap::new(),
        drain: None,
        stopping: false,
        grace: ms(settings.agent.grace_ms),
        idle: ms(settings.agent.idle_ms),
        limits,
        done,
        tasks: Vec::new(),
    }));
    let rec = record::Target {
        name: me.name.clone(),
        zone: me.zone.clone(),
        service: me.service,
        agent: me.agent,
        leaving: false,
    };
    let value = serde_json::to_vec(&rec)?;
    let key = keys.target(name);
    let (s2, lease_ms) = (store.clone(), settings.agent.lease_ms);
    let announcer = tokio::task::spawn_local(async move {
        store::lease::hold(&s2, &key, &value, lease_ms).await;
    });
    let drainer = tokio::task::spawn_local(watch_drain(store.clone(), keys.clone(), agent.clone()));
    log::info!(
        "{} agent of {name} ({}) in {} on {}",
        events::AGENT_START,
        me.service,
        me.zone,
        me.agent
    );
    let mut term = signal(SignalKind::terminate()).context("agent: signal")?;
    let mut int = signal(SignalKind::interrupt()).context("agent: signal")?;
    let sock = agent.borrow().sock.clone();
    let mut buf = vec![0u8; DATAGRAM];
    loop {
        tokio::select! {
            r = sock.recv_from(&mut buf) => {
                let (n, _) = r.context("agent: receiving")?;
                if let Ok(p) = wire::decode::<Packet>(&buf[..n]) {
                    agent.borrow_mut().take(p);
                }
            }
            Some(flow) = finished.recv() => {
                agent.borrow_mut().flows.remove(&flow);
            }
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    stop(&agent, &mut finished, &sock, &mut buf, ms(settings.agent.stop_ms)).await;
    drainer.abort();
    announcer.abort();
    let _ = drainer.await;
    let _ = announcer.await;
    let _ = store.delete(&keys.target(name)).await;
    let tasks = std::mem::take(&mut agent.borrow_mut().tasks);
    for t in tasks {
        t.abort();
        let _ = t.await;
    }
    for c in metrics::snapshot() {
        log::info!("{} {c}", events::COUNTERS);
    }
    Ok(())
}

/// Refuses new flows, keeps serving open ones, until none is left or `wait`
/// has passed.
async fn stop(
    agent: &Rc<RefCell<Agent>>,
    finished: &mut mpsc::UnboundedReceiver<u64>,
    sock: &UdpSocket,
    buf: &mut [u8],
    wait: Duration,
) {
    agent.borrow_mut().stopping = true;
    let open = agent.borrow().flows.len();
    log::info!("{} stopping; waiting for {open} open flows", events::AGENT_STOP);
    let deadline = Instant::now() + wait;
    while !agent.borrow().flows.is_empty() && Instant::now() < deadline {
        tokio::select! {
            r = sock.recv_from(buf) => {
                if let Ok((n, _)) = r && let Ok(p) = wire::decode::<Packet>(&buf[..n]) {
                    agent.borrow_mut().take(p);
                }
            }
            Some(flow) = finished.recv() => {
                agent.borrow_mut().flows.remove(&flow);
            }
            () = tokio::time::sleep(STOP_POLL) => {}
        }
    }
}

async fn watch_drain(store: store::Client, keys: Keys, agent: Rc<RefCell<Agent>>) {
    let name = agent.borrow().me.name.clone();
    let key = keys.drain(&name);
    store::mirror::follow(
        &store,
        &key,
        |copy| {
            let ordered = copy.contains_key(key.as_str());
            let mut a = agent.borrow_mut();
            match (ordered, a.drain) {
                (true, None) => {
                    log::info!("{} target {name} drains", events::AGENT_DRAIN);
                    a.drain = Some(Instant::now());
                }
                (false, Some(_)) => {
                    log::info!("{} target {name} back in service", events::AGENT_DRAIN);
                    a.drain = None;
                }
                _ => {}
            }
        },
        |e| log::warn!("{} {e:#}", events::AGENT_STORE),
    )
    .await;
}

const fn ms(v: u64) -> Duration {
    Duration::from_millis(v)
}
