//! The balancer: takes packets from the fabric and hands each to an agent.
//!
//! It keeps no per-flow state. A packet that names its owner goes to that
//! owner, if the owner is an agent of the profile's service; a packet that
//! opens a flow goes to the agent that the lookup table picks. The view of
//! profiles and targets comes from a watch on the key-value service and is
//! kept through its outages.

mod builder;
mod follow;
pub mod roster;
pub mod view;

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

pub use builder::Builder;
pub use roster::Roster;
pub use view::{Pool, Route, View};

use crate::admin::{self, ProcessState};
use crate::metrics::{self, Refusal};
use crate::settings::{BalancerSettings, Policy, Settings};
use crate::store::mirror::Source;
use crate::store::{self, KeyLayout};
use crate::wire::{self, Offer, OfferStage, Owner, Packet, PacketKind, Reply, ReplyKind};
use crate::{events, record, refusal};

/// Largest datagram taken, in bytes.
const DATAGRAM: usize = 64 * 1024;

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// To this agent, as it is.
    Forward(SocketAddrV4),
    /// An open, offered to these agents.
    Place(Offer),
    /// Nowhere, for this reason.
    Drop(Refusal),
}

/// Picks the agent for a packet from a view.
#[must_use]
pub fn decide(view: &View, p: &Packet) -> Decision {
    let Some(route) = view.routes.get(&p.port) else {
        return Decision::Drop(Refusal::NoProfile);
    };
    if p.kind != PacketKind::Open || p.owner.addr().is_some() {
        return match p.owner.addr() {
            Some(a) if route.pool.owners.contains(&a) => Decision::Forward(a),
            _ => Decision::Drop(Refusal::ForeignOwner),
        };
    }
    match offer(route, p.flow, p.seq) {
        Some(offer) => Decision::Place(offer),
        None => Decision::Drop(Refusal::NoTarget),
    }
}

/// The offer for try `attempt` of a flow. Every balancer with the same view
/// makes the same one. The second try turns the candidates round and later
/// ones pick others, so that a dead candidate costs one resend timeout.
fn offer(route: &Route, flow: u64, attempt: u32) -> Option<Offer> {
    let key = if attempt < 2 { flow } else { flow.rotate_left(attempt) };
    let (&a, b) = route.pool.table.lookup_pair(key)?;
    let b = b.copied();
    Some(match (attempt, route.spec.policy, b) {
        (1, _, Some(b)) => Offer { first: b, second: Some(a), stage: OfferStage::Take },
        (0, Policy::LeastLoaded, _) => Offer { first: a, second: b, stage: OfferStage::Ask },
        _ => Offer { first: a, second: b, stage: OfferStage::Take },
    })
}

/// Runs the balancer `name` of `settings` until the process stops.
///
/// # Errors
///
/// Fails when the balancer is not in the settings or its address is taken.
pub async fn run(settings: &Settings, name: &str) -> anyhow::Result<()> {
    let me = settings.balancer(name)?.clone();
    let sock = UdpSocket::bind(me.addr)
        .await
        .with_context(|| format!("balancer {name}: binding {}", me.addr))?;
    let store = store::Client::new(settings.store.addr, ms(settings.store.timeout_ms)).await;
    let keys = KeyLayout::new(settings.store.prefix.clone());
    let view = Rc::new(RefCell::new(View::default()));
    log::info!("{} balancer {name} in {} on {}", events::BALANCER_START, me.zone, me.addr);
    let board = ProcessState::new(me.name.clone(), keys.config_prefix().into());
    let desk = admin::Server::start(me.addr, board.clone()).await?;
    let source = Source {
        store: store.clone(),
        prefix: keys.root_prefix(),
        peers: settings.other_balancers(me.addr),
        peer_fallback: store::mirror::PeerFallback::WhenEmpty,
        batch_delay: Duration::ZERO,
        refresh: std::sync::Arc::default(),
    };
    let watcher = tokio::task::spawn_local(follow::follow(
        source,
        keys.clone(),
        view.clone(),
        board.clone(),
        follow::Hold {
            missing: ms(settings.balancer_timers.missing_hold_ms),
            owners: ms(settings.balancer_timers.owner_retention_ms),
        },
    ));
    let announcer = tokio::task::spawn_local(announce(
        store.clone(),
        keys.clone(),
        me.clone(),
        settings.agent_timers.lease_ttl_ms,
    ));
    let mut term = signal(SignalKind::terminate()).context("balancer: signal")?;
    let mut int = signal(SignalKind::interrupt()).context("balancer: signal")?;
    let res = tokio::select! {
        r = forward(&sock, &view) => r,
        _ = term.recv() => Ok(()),
        _ = int.recv() => Ok(()),
    };
    // A planned stop: say so, and forward what still comes meanwhile.
    board.set_ready(false);
    watcher.abort();
    let linger = ms(settings.balancer_timers.linger_ms);
    let _ = tokio::time::timeout(linger, forward(&sock, &view)).await;
    desk.stop().await;
    announcer.abort();
    let _ = watcher.await;
    let _ = announcer.await;
    let _ = store.delete(&keys.balancer(name)).await;
    log::info!("{} balancer {name} stopped", events::BALANCER_STOP);
    res
}

async fn forward(sock: &UdpSocket, view: &RefCell<View>) -> anyhow::Result<()> {
    let mut buf = vec![0u8; DATAGRAM];
    loop {
        let (n, _) = sock.recv_from(&mut buf).await.context("balancer: receiving")?;
        let Ok(mut p) = wire::decode::<Packet>(&buf[..n]) else {
            continue;
        };
        let decision = decide(&view.borrow(), &p);
        let sent = match decision {
            Decision::Forward(to) => {
                check_service(&view.borrow(), p.port, to);
                sock.send_to(&buf[..n], to).await.map(drop)
            }
            Decision::Place(offer) => {
                check_service(&view.borrow(), p.port, offer.first);
                p.offer = Some(offer);
                let Ok(bytes) = wire::encode(&p) else { continue };
                sock.send_to(&bytes, offer.first).await.map(drop)
            }
            Decision::Drop(reason) => {
                metrics::count_refusal(reason);
                log::debug!("{} flow {:x} dropped: {reason}", events::BALANCER_DROP, p.flow);
                refuse(sock, &p, reason).await
            }
        };
        if let Err(e) = sent {
            log::debug!("{} flow {:x}: {e}", events::BALANCER_DROP, p.flow);
        }
    }
}

/// Tells the caller at once that nothing can take its flow. The first try is
/// left unanswered: the next one may meet a balancer that knows more.
async fn refuse(sock: &UdpSocket, p: &Packet, reason: Refusal) -> std::io::Result<()> {
    let hopeless = matches!(reason, Refusal::NoProfile | Refusal::NoTarget);
    if p.kind != PacketKind::Open || p.seq == 0 || !hopeless {
        return Ok(());
    }
    let answer = ReplyKind::Refuse { body: refusal::response(reason) };
    let reply = Reply { flow: p.flow, port: p.port, owner: Owner::NONE, kind: answer };
    let Ok(bytes) = wire::encode(&reply) else { return Ok(()) };
    sock.send_to(&bytes, p.reply_to).await.map(drop)
}

/// Invariant: a packet of a profile goes only to agents of its service.
fn check_service(view: &View, port: u16, to: SocketAddrV4) {
    let own = view.routes.get(&port).is_some_and(|r| r.pool.owners.contains(&to));
    metrics::check_invariant(own, "own_service", || format!("port {port} to {to}"));
}

/// Announces the balancer under a lease and keeps the lease alive.
async fn announce(store: store::Client, keys: KeyLayout, me: BalancerSettings, lease_ms: u64) {
    let rec = record::Balancer { name: me.name.clone(), zone: me.zone.clone(), addr: me.addr };
    let Ok(value) = serde_json::to_vec(&rec) else {
        return;
    };
    let (_keep, value) = tokio::sync::watch::channel(value);
    let check = tokio::sync::Notify::new();
    store::lease::maintain(&store, &keys.balancer(&me.name), value, lease_ms, &check).await;
}

const fn ms(v: u64) -> Duration {
    Duration::from_millis(v)
}
