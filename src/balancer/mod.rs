//! The balancer: forwards packets from the fabric to agents, without per-flow
//! state.
//!
//! A packet that names its owner goes to that agent if it belongs to the
//! profile's service; an open goes to agents chosen by consistent hashing. The
//! view of profiles and targets follows the store and is kept during outages.

pub mod registry;
pub mod view;
mod view_builder;
mod view_updater;

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

pub use registry::TargetRegistry;
pub use view::{Pool, Route, View};
pub use view_builder::ViewBuilder;

use crate::admin::{self, ProcessState};
use crate::metrics::{self, Refusal};
use crate::settings::{BalancerSettings, Policy, Settings};
use crate::store::mirror::Source;
use crate::store::{self, KeyLayout};
use crate::wire::{self, Offer, OfferStage, Owner, Packet, PacketKind, Reply, ReplyKind};
use crate::{events, record, refusal};

/// Size of the receive buffer, at least that of the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteDecision {
    /// Send it unchanged to this agent.
    Forward(SocketAddrV4),
    /// Send it, an open, with this offer to the first agent of the offer.
    Offer(Offer),
    /// Drop it, for this reason.
    Drop(Refusal),
}

/// Decides where a packet goes.
#[must_use]
pub fn route_packet(view: &View, p: &Packet) -> RouteDecision {
    let Some(route) = view.routes.get(&p.port) else {
        return RouteDecision::Drop(Refusal::NoProfile);
    };
    if p.kind != PacketKind::Open || p.owner.addr().is_some() {
        return match p.owner.addr() {
            Some(a) if route.pool.owners.contains(&a) => RouteDecision::Forward(a),
            _ => RouteDecision::Drop(Refusal::WrongService),
        };
    }
    match make_offer(route, p.flow, p.seq) {
        Some(offer) => RouteDecision::Offer(offer),
        None => RouteDecision::Drop(Refusal::NoTarget),
    }
}

/// Builds the offer for an open. Balancers with the same view build the same
/// one. The second attempt swaps the candidates and later ones choose others, so
/// that an unreachable candidate delays the open by one resend timeout only.
fn make_offer(route: &Route, flow: u64, attempt: u32) -> Option<Offer> {
    let key = if attempt < 2 { flow } else { flow.rotate_left(attempt) };
    let (&primary, alternate) = route.pool.table.lookup_pair(key)?;
    let second = alternate.copied();
    Some(match (attempt, route.profile.policy, second) {
        (1, _, Some(first)) => Offer { first, second: Some(primary), stage: OfferStage::Assign },
        (0, Policy::LeastLoaded, _) => Offer { first: primary, second, stage: OfferStage::Propose },
        _ => Offer { first: primary, second, stage: OfferStage::Assign },
    })
}

/// Runs the balancer `name` until SIGTERM or SIGINT. It then reports itself as
/// not ready and keeps forwarding for `linger_ms`.
///
/// # Errors
///
/// Fails when the balancer is not in the settings, an address cannot be bound
/// or receiving fails.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let balancer = settings.balancer(name)?.clone();
    let sock = UdpSocket::bind(balancer.addr)
        .await
        .with_context(|| format!("balancer {name}: binding {}", balancer.addr))?;
    let store = store::Client::new(settings.store.addr, ms(settings.store.timeout_ms)).await;
    let keys = KeyLayout::new(settings.store.prefix.clone());
    let view = Rc::new(RefCell::new(View::default()));
    log::info!(
        "{} balancer {name} in {} on {}",
        events::BALANCER_START,
        balancer.zone,
        balancer.addr
    );
    let process_state = ProcessState::new(balancer.name.clone(), keys.config_prefix().into());
    let admin_server = admin::Server::start(balancer.addr, process_state.clone()).await?;
    let source = Source {
        store: store.clone(),
        prefix: keys.root_prefix(),
        start_order: Vec::new(),
        peers: settings.other_balancers(balancer.addr),
        peer_fallback: store::mirror::PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: std::sync::Arc::default(),
    };
    let view_task = tokio::task::spawn_local(view_updater::keep_current(
        source,
        keys.clone(),
        view.clone(),
        process_state.clone(),
        view_updater::HoldTimes {
            targets: ms(settings.balancer_timers.missing_hold_ms),
            owners: ms(settings.balancer_timers.owner_retention_ms),
        },
    ));
    let lease_task = tokio::task::spawn_local(maintain_registration(
        store.clone(),
        keys.clone(),
        balancer.clone(),
        settings.agent_timers.lease_ttl_ms,
    ));
    let mut term = signal(SignalKind::terminate()).context("balancer: signal")?;
    let mut int = signal(SignalKind::interrupt()).context("balancer: signal")?;
    let result = tokio::select! {
        r = forward_packets(&sock, &view) => r,
        _ = term.recv() => Ok(()),
        _ = int.recv() => Ok(()),
    };
    // The fabric may send packets until it learns that the balancer is not ready.
    process_state.set_ready(false);
    view_task.abort();
    let linger = ms(settings.balancer_timers.linger_ms);
    let _ = tokio::time::timeout(linger, forward_packets(&sock, &view)).await;
    admin_server.stop().await;
    lease_task.abort();
    let _ = view_task.await;
    let _ = lease_task.await;
    let _ = store.delete(&keys.balancer(name)).await;
    log::info!("{} balancer {name} stopped", events::BALANCER_STOP);
    result
}

async fn forward_packets(sock: &UdpSocket, view: &RefCell<View>) -> anyhow::Result<()> {
    let mut buf = vec![0u8; MAX_DATAGRAM_BYTES];
    loop {
        let (n, _) = sock.recv_from(&mut buf).await.context("balancer: receiving a packet")?;
        let Ok(mut p) = wire::decode::<Packet>(&buf[..n]) else {
            continue;
        };
        let decision = route_packet(&view.borrow(), &p);
        let sent = match decision {
            RouteDecision::Forward(to) => {
                check_service(&view.borrow(), p.port, to);
                sock.send_to(&buf[..n], to).await.map(drop)
            }
            RouteDecision::Offer(offer) => {
                check_service(&view.borrow(), p.port, offer.first);
                p.offer = Some(offer);
                let Ok(bytes) = wire::encode(&p) else { continue };
                sock.send_to(&bytes, offer.first).await.map(drop)
            }
            RouteDecision::Drop(reason) => {
                metrics::count_refusal(reason);
                log::debug!("{} flow {:x} dropped: {reason}", events::BALANCER_DROP, p.flow);
                refuse_open(sock, &p, reason).await
            }
        };
        if let Err(e) = sent {
            log::debug!("{} flow {:x} not forwarded: {e}", events::BALANCER_DROP, p.flow);
        }
    }
}

/// Refuses a new flow that no agent can accept. The first attempt gets no reply,
/// as the next one may reach a balancer with a newer view.
async fn refuse_open(sock: &UdpSocket, p: &Packet, reason: Refusal) -> std::io::Result<()> {
    let no_agent = matches!(reason, Refusal::NoProfile | Refusal::NoTarget);
    if p.kind != PacketKind::Open || p.seq == 0 || !no_agent {
        return Ok(());
    }
    let kind = ReplyKind::Refuse { body: refusal::response(reason) };
    let reply = Reply { flow: p.flow, port: p.port, owner: Owner::NONE, kind };
    let Ok(bytes) = wire::encode(&reply) else { return Ok(()) };
    sock.send_to(&bytes, p.reply_to).await.map(drop)
}

/// Checks the invariant that packets of a profile go only to agents of its service.
fn check_service(view: &View, port: u16, to: SocketAddrV4) {
    let same_service = view.routes.get(&port).is_some_and(|r| r.pool.owners.contains(&to));
    metrics::check_invariant(same_service, "own_service", || format!("port {port} to {to}"));
}

/// Keeps the balancer registered in the store under a lease.
async fn maintain_registration(
    store: store::Client,
    keys: KeyLayout,
    balancer: BalancerSettings,
    lease_ms: u64,
) {
    let rec = record::Balancer {
        name: balancer.name.clone(),
        zone: balancer.zone.clone(),
        addr: balancer.addr,
    };
    let Ok(value) = serde_json::to_vec(&rec) else {
        return;
    };
    let (_sender, value) = tokio::sync::watch::channel(value);
    let check = tokio::sync::Notify::new();
    store::lease::maintain(
        &store,
        &keys.balancer(&balancer.name),
        value,
        lease_ms,
        &check,
        0,
        |_| {},
    )
    .await;
}

const fn ms(v: u64) -> Duration {
    Duration::from_millis(v)
}
