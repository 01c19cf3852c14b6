//! The balancer on an entry VM: receives callers' packets from the platform's
//! routers and forwards each to an agent, as [`FlowSteering`] decides.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::http::StatusCode;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::distributor::Distribution;
use super::inspect::{self, Inspect};
use super::pause::{ClockReading, PauseDetector};
use super::snapshot::SnapshotReader;
use super::socket::Socket;
use super::{Settings, connect_store, relay, route_history};
use crate::admin::{self, ProcessState};
use crate::flow::Flow;
use crate::http::{HttpResponse, Server};
use crate::platform::kv::{Client, WATCH_SLACK};
use crate::platform::{self, packet};
use crate::protocol::{self, Message};
use crate::relay::distributor::{Distributor, is_strong_link};
use crate::relay::{Relay, SYSTEM_PREFIX};
use crate::steering::{self, FlowSteering, RosterSource};
use crate::store::distribution::{DistributedStore, WatchTiming, max_reply_bytes};
use crate::store::mirror::{self, MirrorEvent, Source};
use crate::store::{Snapshot, revision};
use crate::{events, metrics};

/// Size of the receive buffer; longer datagrams are truncated.
const RECV_BUFFER_BYTES: usize = 2_048;

/// How long a stopping balancer keeps forwarding after it reports itself not
/// ready. Routers check twice a second and need two misses, so they send it nothing new
/// after 1 s; the rest is for packets in flight. Meanwhile its data centre has one balancer
/// less.
const STOP_DELAY: Duration = Duration::from_millis(1_500);

/// Delay between a change and the next watch call, so that one call reads a burst
/// of changes. A larger value delays the later changes of a burst.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// How long a balancer watches the store itself after it could not decide on a flow by what a
/// distributor told it: such flows come in bursts.
const DIRECT_TIME: Duration = Duration::from_secs(3);

/// Longest wait of the forwarding loop, so that idle flows expire and pauses of
/// the process are detected without traffic.
const MAX_SLEEP: Duration = Duration::from_secs(1);

struct Sockets {
    packets: Socket,
    messages: Socket,
}

/// Sends through `sockets`; `buf` is reused to encode messages.
struct PacketSender<'a> {
    sockets: &'a Sockets,
    caller_port: u16,
    buf: &'a mut Vec<u8>,
}

impl steering::Transmit for PacketSender<'_> {
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.sockets.messages.send_message(to, message, packet, self.buf);
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.caller_port);
        self.sockets.packets.send_packet(to, &packet::encode_reset(flow, seq));
    }
}

/// Runs the balancer until SIGTERM.
///
/// # Errors
///
/// Fails when the settings are invalid, the store client cannot be created or an
/// address cannot be bound.
pub async fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let sockets = Sockets {
        packets: Socket::bind(settings.packets, "packets of callers").await?,
        messages: Socket::bind(settings.message_addr(), "messages of agents").await?,
    };
    let process_state =
        ProcessState::new(settings.name.clone(), platform::config::OPERATOR_PREFIX.into());
    let admin_server =
        admin::Server::start(settings.message_addr().into(), process_state.clone()).await?;
    let ready_server = match settings.ready {
        Some(addr) => Some(serve_readiness(addr, process_state.clone()).await?),
        None => None,
    };
    let steering =
        FlowSteering::new(settings.message_addr(), settings.zone.clone(), settings.idle_timeout())
            .with_policy(settings.balancer_policy());
    let steering = Rc::new(RefCell::new(steering));
    let inspect_server = inspect::serve(&settings, steering.clone()).await?;
    log::info!(
        event = events::EDGE_START, name:% = settings.name, zone:% = settings.zone,
        ip:% = settings.ip;
        "balancer started"
    );
    let refresh = Arc::new(Notify::new());
    let client = connect_store(&settings).await?;
    let distribution = Rc::new(distribution(&settings, &client, &process_state, refresh.clone()));
    let follower = follow_store(
        &settings,
        client.clone(),
        distribution.clone(),
        &steering,
        &process_state,
        refresh.clone(),
    );
    let forwarder = Forwarder {
        sockets,
        steering: steering.clone(),
        caller_port: settings.packets.port(),
        process_state: process_state.clone(),
        store: distribution.store.clone(),
        refresh,
    };
    super::run_until_stopped(path, forwarder.run()).await?;
    log::info!(
        event = events::EDGE_STOP, name:% = settings.name, flows = steering.borrow().flow_count();
        "balancer is stopping"
    );
    steering.borrow_mut().begin_shutdown();
    process_state.set_ready(false);
    let stop_delay = STOP_DELAY.min(settings.stop_grace() / 2);
    let stopping = async { tokio::join!(forwarder.run(), distribution.shut_down(&client)) };
    let _ = tokio::time::timeout(stop_delay, stopping).await;
    follower.abort();
    let _ = follower.await;
    admin_server.stop().await;
    super::shut_down(inspect_server, ready_server).await;
    Ok(())
}

/// This balancer's part in distributing the changes of the store behind `client`.
fn distribution(
    settings: &Settings,
    client: &Client,
    process_state: &ProcessState,
    refresh: Arc<Notify>,
) -> Distribution {
    let watch_wait = settings.distributor_wait();
    let timing = WatchTiming {
        batch_delay: BATCH_DELAY,
        direct_time: DIRECT_TIME,
        max_age: BATCH_DELAY + settings.read_validity() + WATCH_SLACK,
    };
    let distributor_client = client.clone().with_watch_wait(watch_wait);
    let log = process_state.change_log().clone();
    log.set_max_reply(max_reply_bytes(settings.link_mbps));
    let store =
        DistributedStore::new(client.clone(), distributor_client, settings.ip, timing, log.clone());
    store.set_redistributing(is_strong_link(settings.link_mbps));
    Distribution {
        distributor: Distributor::new(&settings.region, settings.ip, settings.link_mbps),
        store,
        log,
        refresh,
        port: settings.message_addr().port(),
        parts_suffice: Cell::new(false),
    }
}

/// Starts the task that applies the store's changes to `steering`, and runs the relay and
/// the distributor.
fn follow_store(
    settings: &Settings,
    client: Client,
    distribution: Rc<Distribution>,
    steering: &Rc<RefCell<FlowSteering>>,
    process_state: &ProcessState,
    refresh: Arc<Notify>,
) -> JoinHandle<()> {
    let source = Source {
        store: distribution.store.clone(),
        prefix: String::new(),
        // The parts and the agents are a fraction of a large configuration, and enough to
        // serve flows.
        start_order: vec![SYSTEM_PREFIX.into(), platform::config::OPERATOR_PREFIX.into()],
        peers: settings.peer_addrs(),
        peer_fallback: mirror::PeerFallback::Always,
        // The store's own watches are batched, see `WatchTiming`.
        batch_delay: Duration::ZERO,
        refresh,
    };
    let relay = Relay::new(
        platform::config::CONFIG_KEY,
        &settings.zone,
        settings.ip,
        settings.relay_min_bytes(),
    );
    let (snapshots, latest) = watch::channel(None);
    let relaying = relay::run(client.clone(), relay.clone(), steering.clone(), latest.clone());
    let distributed = distribution.store.clone();
    let is_first = move || distributed.is_distributing();
    let recording = route_history::run(client.clone(), steering.clone(), latest.clone(), is_first);
    let (steering, process_state) = (steering.clone(), process_state.clone());
    tokio::task::spawn_local(async move {
        let distributing = distribution.run(client, latest);
        let mut store_lost = false;
        let mut reader = SnapshotReader::default();
        let narrow_prefix = |snapshot: &Snapshot| {
            let steering = steering.borrow();
            let evacuations = steering.roster.evacuations.list();
            let prefix = relay.narrow_prefix(snapshot, steering.config_version(), evacuations);
            distribution.parts_suffice.set(prefix.is_some());
            // A distributor's subscribers may be relays, which need everything.
            let prefix = prefix.filter(|_| !distribution.store.is_distributing());
            metrics::set_state("follows_parts", prefix.is_some().into());
            prefix
        };
        let follow = mirror::follow(&source, narrow_prefix, |event| match event {
            MirrorEvent::Updated(snapshot) => {
                metrics::set_state("snapshot_rev", revision::counter(snapshot.rev).unsigned_abs());
                reader.apply_snapshot(&mut steering.borrow_mut(), snapshot);
                process_state.set_ready(steering.borrow().is_ready());
                let snapshot = Arc::new(snapshot.clone());
                process_state.set_snapshot(snapshot.clone());
                snapshots.send_replace(Some(snapshot));
            }
            MirrorEvent::Recovered => {
                steering.borrow_mut().set_store_reachable(true, Instant::now());
                log::info!(event = events::EDGE_STORE, after_loss = store_lost; "store is reachable");
                store_lost = false;
            }
            MirrorEvent::Checked { asked_at } if reader.follows_config() => {
                steering.borrow_mut().set_routes_checked(asked_at);
            }
            MirrorEvent::Checked { .. } => {}
            MirrorEvent::StoreFailed(e) if !store_lost => {
                steering.borrow_mut().set_store_reachable(false, Instant::now());
                log::warn!(
                    event = events::EDGE_STORE, error:% = format!("{e:#}");
                    "store call failed; keeping the last snapshot and retrying"
                );
                snapshots.send_replace(None);
                store_lost = true;
            }
            MirrorEvent::StoreFailed(_) => {}
        });
        futures_util::join!(follow, relaying, recording, distributing);
    })
}

impl Inspect for FlowSteering {
    fn current_state(&self, flow: Option<Flow>) -> serde_json::Value {
        Self::state_json(self, flow, Instant::now())
    }

    fn publish_gauges(&self) {
        metrics::set_state("config_version", self.config_version().unwrap_or_default());
        metrics::set_state("agents", self.roster.len() as u64);
        metrics::set_state("flows_remembered", self.flow_count() as u64);
        metrics::set_state("ready", self.is_ready().into());
    }
}

async fn serve_readiness(
    addr: std::net::SocketAddr,
    process_state: ProcessState,
) -> anyhow::Result<Server> {
    Server::start(addr, move |request| {
        HttpResponse::empty(match request.path.as_str() {
            platform::READY_PATH if process_state.is_ready() => StatusCode::OK,
            platform::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        })
    })
    .await
}

/// Forwards packets between the sockets as `steering` decides.
struct Forwarder {
    sockets: Sockets,
    steering: Rc<RefCell<FlowSteering>>,
    caller_port: u16,
    process_state: ProcessState,
    store: DistributedStore<Client>,
    refresh: Arc<Notify>,
}

impl Forwarder {
    /// Forwards packets, handles messages and runs timers until the future is dropped.
    async fn run(&self) {
        let Self { sockets, caller_port, .. } = self;
        let mut buf = vec![0; RECV_BUFFER_BYTES];
        let mut scratch = Vec::with_capacity(protocol::MAX_DATAGRAM_BYTES);
        let mut pauses = PauseDetector::new(ClockReading::now());
        loop {
            let before = Instant::now();
            let due = self.steering.borrow().next_deadline(before);
            let wait = due.map_or(MAX_SLEEP, |at| at.saturating_duration_since(before));
            tokio::select! {
                () = sockets.packets.readable() => {}
                () = sockets.messages.readable() => {}
                () = tokio::time::sleep(wait) => {}
            }
            let mut steering = self.steering.borrow_mut();
            let mut out = PacketSender { sockets, caller_port: *caller_port, buf: &mut scratch };
            let clocks = ClockReading::now();
            let now = clocks.monotonic;
            if let Some(pause) = pauses.detect(before + wait, clocks) {
                steering.resume(pause.late);
                self.refresh.notify_one();
            }
            steering.set_roster_source(self.roster_source(), now, &mut out);
            // Read agents' answers before callers' packets, so that no packet
            // overtakes the answer about its flow, and run timers only once all
            // answers are read, so that queued answers do not count as missing.
            let all_read = sockets.messages.read_batch(&mut buf, |datagram, from| {
                match protocol::decode(datagram) {
                    Ok((message, _)) => steering.handle_message(from, &message, now, &mut out),
                    Err(e) => metrics::count_drop(e),
                }
            });
            sockets.packets.read_batch(&mut buf, |datagram, _| match packet::decode(datagram) {
                Ok(seg) => steering.handle_packet(&seg, datagram, now, &mut out),
                Err(e) => metrics::count_drop(e),
            });
            if all_read {
                steering.tick(now, &mut out);
            }
            let is_stale = steering.needs_store() && self.store.watch_directly(now);
            if steering.take_route_check(now) || is_stale {
                self.refresh.notify_one();
            }
            self.process_state.set_ready(steering.is_ready());
        }
    }

    fn roster_source(&self) -> RosterSource {
        if self.store.is_subscribed() { RosterSource::Distributor } else { RosterSource::Store }
    }
}
