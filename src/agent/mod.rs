//! The agent: the one small process beside each target.
//!
//! It announces its target under a lease (there is no list of targets),
//! accepts new flows for it, holds each flow's state, puts caller bytes back
//! in order and hands them to the target, and sends the answers straight to
//! the fabric. It refuses a new flow as "not run" before any byte reaches the
//! target: when the target drains (after a grace that lets the drain reach
//! every balancer), when it holds as many flows as the profile allows, or
//! when the target cannot be reached.

pub mod admit;
pub mod flow;
pub mod mailbox;
pub mod orders;
pub mod place;
mod state;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};

pub use admit::{Admit, admit};
use orders::Orders;
pub use place::{Step, place};
use state::Agent;

use crate::admin::{self, ProcessState};
use crate::settings::{Settings, TargetSettings};
use crate::store::mirror::{self, MirrorEvent, Source};
use crate::store::{self, KeyLayout};
use crate::wire::{self, Packet};
use crate::{events, metrics, record};

/// Largest datagram taken, in bytes.
const DATAGRAM: usize = 64 * 1024;

/// How often a stopping agent looks whether its flows are done.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Runs the agent of target `name` until it is told to stop (SIGTERM or
/// SIGINT). It then announces that it leaves, takes new flows for the grace
/// that lets the news spread, and waits for open ones.
///
/// # Errors
///
/// Fails when the target is not in the settings or the agent's address is
/// taken.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let me = settings.target(name)?.clone();
    let sock = UdpSocket::bind(me.agent_addr)
        .await
        .with_context(|| format!("agent {name}: binding {}", me.agent_addr))?;
    let store = store::Client::new(settings.store.addr, ms(settings.store.timeout_ms)).await;
    let keys = KeyLayout::new(settings.store.prefix.clone());
    let board = ProcessState::new(format!("agent-{name}").into(), keys.config_prefix().into());
    let desk = admin::Server::start(me.agent_addr, board.clone()).await?;
    let (done, finished) = mpsc::unbounded_channel();
    let agent = Rc::new(RefCell::new(Agent::new(me.clone(), settings, sock, done, board.clone())));
    let (announce, value) = watch::channel(announcement(&me, false)?);
    let key = keys.target(name);
    let (held, lease_ms) = (store.clone(), settings.agent_timers.lease_ttl_ms);
    let announcer = tokio::task::spawn_local(async move {
        store::lease::maintain(&held, &key, value, lease_ms, &Notify::new()).await;
    });
    let source = Source {
        store: store.clone(),
        prefix: keys.config_prefix(),
        peers: settings.balancers.iter().map(|b| b.addr).collect(),
        peer_fallback: mirror::PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: std::sync::Arc::default(),
    };
    let follower =
        tokio::task::spawn_local(follow_orders(source, keys.clone(), agent.clone(), board));
    log::info!(
        "{} agent of {name} ({}) in {} on {}",
        events::AGENT_START,
        me.service,
        me.zone,
        me.agent_addr
    );
    let mut inbox = Inbox::new(agent.clone(), finished);
    let mut term = signal(SignalKind::terminate()).context("agent: signal")?;
    let mut int = signal(SignalKind::interrupt()).context("agent: signal")?;
    tokio::select! {
        r = inbox.serve() => r?,
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    announce.send_replace(announcement(&me, true)?);
    stop(&agent, &mut inbox, settings).await;
    follower.abort();
    announcer.abort();
    let _ = follower.await;
    let _ = announcer.await;
    let _ = store.delete(&keys.target(name)).await;
    let mut tasks = agent.borrow_mut().take_tasks();
    tasks.shutdown().await;
    desk.stop().await;
    for c in metrics::counter_values() {
        log::info!("{} {c}", events::COUNTERS);
    }
    Ok(())
}

fn announcement(me: &TargetSettings, leaving: bool) -> anyhow::Result<Vec<u8>> {
    let rec = record::Target {
        name: me.name.clone(),
        zone: me.zone.clone(),
        service: me.service,
        agent: me.agent_addr,
        stopping: leaving,
    };
    serde_json::to_vec(&rec).context("agent: encoding its announcement")
}

/// Packets from the balancers and news of finished flows.
struct Inbox {
    agent: Rc<RefCell<Agent>>,
    sock: Rc<UdpSocket>,
    finished: mpsc::UnboundedReceiver<(u64, flow::End)>,
    buf: Vec<u8>,
}

impl Inbox {
    fn new(agent: Rc<RefCell<Agent>>, finished: mpsc::UnboundedReceiver<(u64, flow::End)>) -> Self {
        let sock = agent.borrow().sock();
        Self { agent, sock, finished, buf: vec![0; DATAGRAM] }
    }

    /// Takes one packet or one piece of news.
    async fn next(&mut self) -> anyhow::Result<()> {
        tokio::select! {
            r = self.sock.recv_from(&mut self.buf) => {
                let (n, _) = r.context("agent: receiving")?;
                if let Ok(p) = wire::decode::<Packet>(&self.buf[..n]) {
                    self.agent.borrow_mut().take(p);
                }
            }
            Some((flow, end)) = self.finished.recv() => {
                self.agent.borrow_mut().forget(flow, end);
            }
        }
        Ok(())
    }

    async fn serve(&mut self) -> anyhow::Result<()> {
        loop {
            self.next().await?;
        }
    }
}

/// Takes new flows for the grace, then only serves open ones, until none is
/// left or the stop's wait has passed.
async fn stop(agent: &RefCell<Agent>, inbox: &mut Inbox, settings: &Settings) {
    let open = agent.borrow().len();
    log::info!("{} stopping; waiting for {open} open flows", events::AGENT_STOP);
    let start = Instant::now();
    let (grace, wait) =
        (ms(settings.agent_timers.drain_grace_ms), ms(settings.agent_timers.stop_timeout_ms));
    while start.elapsed() < grace || !agent.borrow().is_empty() {
        if start.elapsed() >= grace {
            agent.borrow_mut().close();
        }
        if start.elapsed() >= grace + wait {
            return;
        }
        let _ = tokio::time::timeout(STOP_POLL, inbox.next()).await;
    }
}

/// Keeps the agent's orders current.
async fn follow_orders(
    source: Source<store::Client>,
    keys: KeyLayout,
    agent: Rc<RefCell<Agent>>,
    board: ProcessState,
) {
    let name = agent.borrow().name();
    mirror::follow(
        &source,
        |_| None,
        |news| match news {
            MirrorEvent::Updated(copy) => {
                agent.borrow_mut().apply_orders(Orders::read(&keys, copy, &name));
                board.set_snapshot(std::sync::Arc::new(copy.clone()));
                board.set_ready(true);
            }
            MirrorEvent::StoreFailed(e) => log::warn!("{} {e:#}", events::AGENT_STORE_UNREACHABLE),
            MirrorEvent::Recovered => {}
        },
    )
    .await;
}

const fn ms(v: u64) -> Duration {
    Duration::from_millis(v)
}
