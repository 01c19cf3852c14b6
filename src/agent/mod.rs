//! The agent: a process beside each target that terminates flows for it.
//!
//! It registers the target in the store under a lease, accepts or refuses new
//! flows, and relays each flow between the fabric and the target. A refusal
//! happens before any data reaches the target, so the caller can safely retry.

pub mod admission;
pub mod config;
pub mod flow;
pub mod mailbox;
pub mod placement;
mod state;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};

pub use admission::{Admission, admit};
use config::AgentConfig;
pub use placement::{OfferAction, decide_offer};
use state::Agent;

use crate::admin::{self, ProcessState};
use crate::settings::{Settings, TargetSettings};
use crate::store::mirror::{self, MirrorEvent, Source};
use crate::store::{self, KeyLayout};
use crate::wire::{self, Packet};
use crate::{events, metrics, record};

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// How often a stopping agent checks whether all flows have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the agent of target `name` until SIGTERM or SIGINT.
///
/// On a signal it registers the target as stopping, accepts new flows for
/// `drain_grace_ms` while balancers learn of that, and then waits up to
/// `stop_timeout_ms` for the open flows to end.
///
/// # Errors
///
/// Fails when the target is not in the settings, an address cannot be bound or
/// receiving fails.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let target = settings.target(name)?.clone();
    let sock = UdpSocket::bind(target.agent_addr)
        .await
        .with_context(|| format!("agent {name}: binding {}", target.agent_addr))?;
    let store = store::Client::new(settings.store.addr, ms(settings.store.timeout_ms)).await;
    let keys = KeyLayout::new(settings.store.prefix.clone());
    let process_state =
        ProcessState::new(format!("agent-{name}").into(), keys.config_prefix().into());
    let admin_server = admin::Server::start(target.agent_addr, process_state.clone()).await?;
    let (flow_end_tx, flow_end_rx) = mpsc::unbounded_channel();
    let agent = Rc::new(RefCell::new(Agent::new(
        target.clone(),
        settings,
        sock,
        flow_end_tx,
        process_state.clone(),
    )));
    let (registration_tx, registration_rx) = watch::channel(encode_registration(&target, false)?);
    let key = keys.target(name);
    let (lease_store, lease_ms) = (store.clone(), settings.agent_timers.lease_ttl_ms);
    let lease_task = tokio::task::spawn_local(async move {
        store::lease::maintain(
            &lease_store,
            &key,
            registration_rx,
            lease_ms,
            &Notify::new(),
            0,
            |_| {},
        )
        .await;
    });
    let source = Source {
        store: store.clone(),
        prefix: keys.config_prefix(),
        peers: settings.balancers.iter().map(|b| b.addr).collect(),
        start_order: Vec::new(),
        peer_fallback: mirror::PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: std::sync::Arc::default(),
    };
    let config_task =
        tokio::task::spawn_local(follow_config(source, keys.clone(), agent.clone(), process_state));
    log::info!(
        "{} agent of {name} ({}) in {} on {}",
        events::AGENT_START,
        target.service,
        target.zone,
        target.agent_addr
    );
    let mut event_loop = EventLoop::new(agent.clone(), flow_end_rx);
    let mut term = signal(SignalKind::terminate())
        .with_context(|| format!("agent {name}: installing the SIGTERM handler"))?;
    let mut int = signal(SignalKind::interrupt())
        .with_context(|| format!("agent {name}: installing the SIGINT handler"))?;
    tokio::select! {
        r = event_loop.run() => r?,
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    registration_tx.send_replace(encode_registration(&target, true)?);
    finish_flows(&agent, &mut event_loop, settings).await;
    config_task.abort();
    lease_task.abort();
    let _ = config_task.await;
    let _ = lease_task.await;
    let _ = store.delete(&keys.target(name)).await;
    let mut tasks = agent.borrow_mut().take_tasks();
    tasks.shutdown().await;
    admin_server.stop().await;
    for count in metrics::counter_values() {
        log::info!("{} {count}", events::COUNTERS);
    }
    Ok(())
}

fn encode_registration(target: &TargetSettings, stopping: bool) -> anyhow::Result<Vec<u8>> {
    let rec = record::Target {
        name: target.name.clone(),
        zone: target.zone.clone(),
        service: target.service,
        agent: target.agent_addr,
        stopping,
    };
    serde_json::to_vec(&rec)
        .with_context(|| format!("agent {}: encoding the registration", target.name))
}

/// Passes packets from the balancers, and ended flows, to the agent.
struct EventLoop {
    agent: Rc<RefCell<Agent>>,
    sock: Rc<UdpSocket>,
    flow_end_rx: mpsc::UnboundedReceiver<(u64, flow::FlowEnd)>,
    buf: Vec<u8>,
}

impl EventLoop {
    fn new(
        agent: Rc<RefCell<Agent>>,
        flow_end_rx: mpsc::UnboundedReceiver<(u64, flow::FlowEnd)>,
    ) -> Self {
        let sock = agent.borrow().socket();
        Self { agent, sock, flow_end_rx, buf: vec![0; MAX_DATAGRAM_BYTES] }
    }

    /// Handles the next packet or ended flow.
    async fn step(&mut self) -> anyhow::Result<()> {
        tokio::select! {
            r = self.sock.recv_from(&mut self.buf) => {
                let (n, _) = r.with_context(|| {
                    format!("agent {}: receiving a packet", self.agent.borrow().target_name())
                })?;
                if let Ok(p) = wire::decode::<Packet>(&self.buf[..n]) {
                    self.agent.borrow_mut().handle_packet(p);
                }
            }
            Some((flow_id, end)) = self.flow_end_rx.recv() => {
                self.agent.borrow_mut().remove_flow(flow_id, end);
            }
        }
        Ok(())
    }

    async fn run(&mut self) -> anyhow::Result<()> {
        loop {
            self.step().await?;
        }
    }
}

/// Shuts down gracefully: still accepts new flows for `drain_grace_ms`, while balancers
/// learn of the stop, then refuses them and waits up to `stop_timeout_ms` for the open
/// ones to end.
async fn finish_flows(agent: &RefCell<Agent>, event_loop: &mut EventLoop, settings: &Settings) {
    let open = agent.borrow().flow_count();
    let name = agent.borrow().target_name();
    log::info!(
        "{} agent {name} stopping; waiting for {open} open flows to end",
        events::AGENT_STOP
    );
    let start = Instant::now();
    let (grace, timeout) =
        (ms(settings.agent_timers.drain_grace_ms), ms(settings.agent_timers.stop_timeout_ms));
    while start.elapsed() < grace || !agent.borrow().is_idle() {
        if start.elapsed() >= grace {
            agent.borrow_mut().stop_accepting();
        }
        if start.elapsed() >= grace + timeout {
            return;
        }
        let _ = tokio::time::timeout(STOP_POLL_INTERVAL, event_loop.step()).await;
    }
}

/// Applies the configuration whenever the store's keys change.
async fn follow_config(
    source: Source<store::Client>,
    keys: KeyLayout,
    agent: Rc<RefCell<Agent>>,
    process_state: ProcessState,
) {
    let name = agent.borrow().target_name();
    mirror::follow(
        &source,
        // Always watches the whole prefix.
        |_| None,
        |event| match event {
            MirrorEvent::Updated(snapshot) => {
                agent.borrow_mut().apply_config(AgentConfig::read(&keys, snapshot, &name));
                process_state.set_snapshot(std::sync::Arc::new(snapshot.clone()));
                process_state.set_ready(true);
            }
            MirrorEvent::StoreFailed(e) => {
                log::warn!(
                    "{} agent {name}: store call failed, keeping the last configuration: {e:#}",
                    events::AGENT_STORE_UNREACHABLE
                )
            }
            MirrorEvent::Recovered | MirrorEvent::Checked { .. } => {}
        },
    )
    .await;
}

const fn ms(v: u64) -> Duration {
    Duration::from_millis(v)
}
