//! The balancer on an entry VM: takes callers' packets from the platform's
//! routers and hands each to an agent, as [`Steer`] decides.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::http::StatusCode;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::inspect::{self, Inspect};
use super::listing::Reader;
use super::socket::Socket;
use super::{Settings, pause, relay, store};
use crate::admin::{self, Board};
use crate::bus::{self, Message};
use crate::flow::Flow;
use crate::listen::{Answer, Server};
use crate::platform::{self, packet};
use crate::relay::Relay;
use crate::steer::{self, Steer};
use crate::store::Snapshot;
use crate::store::mirror::{self, MirrorEvent, Source};
use crate::{events, metrics};

/// Largest packet of a caller, in bytes.
const PACKET: usize = 2_048;

/// How long a stopping balancer forwards after it said that it is not ready:
/// the routers ask twice a second and need two misses, so after 1 s at the
/// latest they hand it nothing new; the rest is for packets on their way. Not
/// longer: meanwhile its data centre has one balancer less.
const LINGER: Duration = Duration::from_millis(1_500);

/// Pause between a change of the store and the question for the next, so that
/// changes that come together are read in one call.
const GATHER: Duration = Duration::from_millis(300);

/// Longest sleep without a timer due, so that old flows are forgotten and pauses of the
/// process are noticed.
const IDLE_TICK: Duration = Duration::from_secs(1);

struct Wires {
    packets: Socket,
    bus: Socket,
}

/// The wires with a buffer to encode messages in.
struct Sender<'a> {
    wires: &'a Wires,
    port: u16,
    buf: &'a mut Vec<u8>,
}

impl steer::Out for Sender<'_> {
    fn agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.wires.bus.message(to, message, packet, self.buf);
    }

    fn reset(&mut self, flow: Flow, seq: u32) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.port);
        self.wires.packets.send(to, &packet::encode_reset(flow, seq));
    }
}

/// Runs the balancer until it is told to stop.
///
/// # Errors
///
/// Fails when the settings are refused or an address is taken.
pub async fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let wires = Wires {
        packets: Socket::bind(settings.packets, "callers' packets").await?,
        bus: Socket::bind(settings.bus(), "agents").await?,
    };
    let board = Board::new(settings.name.clone(), platform::config::OPERATOR_PREFIX.into());
    let desk = admin::Server::start(settings.bus().into(), board.clone()).await?;
    let ready = match settings.ready {
        Some(addr) => Some(readiness(addr, board.clone()).await?),
        None => None,
    };
    let steer = Steer::new(settings.bus(), settings.zone.clone(), settings.flow_life())
        .policy(settings.steering());
    let steer = Rc::new(RefCell::new(steer));
    let inspect = inspect::serve(&settings, steer.clone()).await?;
    log::info!(
        event = events::EDGE_START, name:% = settings.name, zone:% = settings.zone,
        ip:% = settings.ip;
        "balancer started"
    );
    let refresh = Arc::new(Notify::new());
    let follower = follow_store(&settings, &steer, &board, refresh.clone()).await?;
    let port = settings.packets.port();
    super::until_stopped(path, forward(&wires, &steer, port, &board, &refresh)).await?;
    log::info!(
        event = events::EDGE_STOP, name:% = settings.name, flows = steer.borrow().remembered();
        "balancer stops"
    );
    steer.borrow_mut().stop();
    board.set_ready(false);
    let linger = LINGER.min(settings.grace() / 2);
    let _ = tokio::time::timeout(linger, forward(&wires, &steer, port, &board, &refresh)).await;
    follower.abort();
    let _ = follower.await;
    desk.stop().await;
    super::finish(inspect, ready).await;
    Ok(())
}

/// Has the balancer's view follow what the store says, for as long as the task
/// runs.
async fn follow_store(
    settings: &Settings,
    steer: &Rc<RefCell<Steer>>,
    board: &Board,
    refresh: Arc<Notify>,
) -> anyhow::Result<JoinHandle<()>> {
    let source = Source {
        store: store(settings).await?,
        prefix: String::new(),
        peers: settings.peers(),
        peer_fallback: mirror::PeerFallback::Always,
        batch_delay: GATHER,
        refresh,
    };
    let relay =
        Relay::new(platform::config::CONFIG_KEY, &settings.zone, settings.ip, settings.large());
    let (tell, copies) = watch::channel(None);
    let relaying = relay::run(source.store.clone(), relay.clone(), steer.clone(), copies);
    let (view, seen) = (steer.clone(), board.clone());
    Ok(tokio::task::spawn_local(async move {
        let mut lost = false;
        let mut reader = Reader::default();
        let scope = |copy: &Snapshot| {
            let scope = relay.scope(copy, view.borrow().version());
            metrics::state("follows_parts", scope.is_some().into());
            scope
        };
        let follow = mirror::follow(&source, scope, |news| match news {
            MirrorEvent::Updated(copy) => {
                reader.apply_snapshot(&mut view.borrow_mut(), copy);
                seen.set_ready(view.borrow().ready());
                let copy = Arc::new(copy.clone());
                seen.set_copy(copy.clone());
                tell.send_replace(Some(copy));
            }
            MirrorEvent::Recovered => {
                view.borrow_mut().see(true, Instant::now());
                log::info!(event = events::EDGE_STORE, after_loss = lost; "store answers");
                lost = false;
            }
            MirrorEvent::StoreFailed(e) if !lost => {
                view.borrow_mut().see(false, Instant::now());
                log::warn!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "store lost");
                tell.send_replace(None);
                lost = true;
            }
            MirrorEvent::StoreFailed(_) => {}
        });
        futures_util::join!(follow, relaying);
    }))
}

impl Inspect for Steer {
    fn beliefs(&self, flow: Option<Flow>) -> serde_json::Value {
        Self::beliefs(self, flow, Instant::now())
    }

    fn gauge(&self) {
        metrics::state("config_version", self.version().unwrap_or_default());
        metrics::state("agents", self.roster.len() as u64);
        metrics::state("flows_remembered", self.remembered() as u64);
        metrics::state("ready", self.ready().into());
    }
}

async fn readiness(addr: std::net::SocketAddr, board: Board) -> anyhow::Result<Server> {
    Server::start(addr, move |asked| {
        Answer::empty(match asked.path.as_str() {
            platform::READY_PATH if board.ready() => StatusCode::OK,
            platform::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        })
    })
    .await
}

/// Forwards packets until told otherwise.
async fn forward(
    wires: &Wires,
    steer: &RefCell<Steer>,
    port: u16,
    board: &Board,
    refresh: &Notify,
) {
    let mut buf = vec![0; PACKET];
    let mut scratch = Vec::with_capacity(bus::DATAGRAM);
    loop {
        let before = Instant::now();
        let due = steer.borrow().next_due(before);
        let wait = due.map_or(IDLE_TICK, |at| at.saturating_duration_since(before));
        tokio::select! {
            () = wires.packets.readable() => {}
            () = wires.bus.readable() => {}
            () = tokio::time::sleep(wait) => {}
        }
        let mut steer = steer.borrow_mut();
        let mut out = Sender { wires, port, buf: &mut scratch };
        let now = Instant::now();
        if let Some(paused) = pause::note(before + wait, now) {
            steer.resume(paused);
            refresh.notify_one();
        }
        // Agents' answers before callers' packets, and no timeout before every
        // answer that has come was read: on a busy VM a caller's next packet
        // would overtake the note of its open, and answers in the queue would
        // count as missing.
        let caught_up = wires.bus.drain(&mut buf, |datagram, from| match bus::decode(datagram) {
            Ok((message, _)) => steer.message(from, &message, now, &mut out),
            Err(e) => metrics::dropped(e),
        });
        wires.packets.drain(&mut buf, |datagram, _| match packet::decode(datagram) {
            Ok(seg) => steer.packet(&seg, datagram, now, &mut out),
            Err(e) => metrics::dropped(e),
        });
        if caught_up {
            steer.tick(now, &mut out);
        }
        board.set_ready(steer.ready());
    }
}
