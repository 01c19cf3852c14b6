//! The agent beside a target: delivers the packets of its flows, sends its replies
//! to the callers and receives its reports, as [`FlowTracker`] decides.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use ntex::http::StatusCode;
use tokio::task::JoinSet;

use super::inspect::{self, Inspect};
use super::pause::{ClockReading, PauseDetector};
use super::port::{self, PortState};
use super::registration::{
    PreviousRegistration, Registration, UNKNOWN_REVISION, deregister, maintain_registration,
    read_previous_registration,
};
use super::silence::SilenceTimer;
use super::socket::Socket;
use super::{AGENT_PREFIX, Settings, connect_store, reports};
use crate::flow::Flow;
use crate::http::{HttpResponse, Server};
use crate::platform::packet;
use crate::protocol::{self, Message};
use crate::steering::ListedAgent;
use crate::tracker::{self, FlowTracker, Target};
use crate::{events, metrics};

/// Size of the receive buffer; longer datagrams are truncated.
const RECV_BUFFER_BYTES: usize = 2_048;

/// Fraction of the stop grace period that the agent may wait for its target to
/// finish work in progress.
const STOP_FRACTION: f64 = 0.75;

/// How long an agent whose target has ended keeps answering after it has
/// deregistered. Must cover the time until all balancers see the deletion, 0.3 s, and query
/// it once more: a silent agent that is still registered delays searches for flows of its
/// service.
const DEREGISTERED_DELAY: Duration = Duration::from_millis(600);

/// Interval at which a stopping agent checks whether its target is idle.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// Least interval between two repeated writes, or two checks, of the registration. Balancers lag
/// behind the store, so they may report it as missing after it was written.
const REWRITE_INTERVAL: Duration = Duration::from_millis(1_000);

struct Sockets {
    messages: Socket,
    outbound: Socket,
    target: SocketAddrV4,
    caller_port: u16,
}

impl Sockets {
    async fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let outbound = settings.outbound.with_context(missing_field("outbound"))?;
        Ok(Self {
            messages: Socket::bind(settings.message_addr(), "messages of balancers and agents")
                .await?,
            outbound: Socket::bind(outbound, "packets of the target").await?,
            target: settings.target.with_context(missing_field("target"))?,
            caller_port: settings.packets.port(),
        })
    }
}

/// Sends through `sockets`; `buf` is reused to encode messages.
struct PacketSender<'a> {
    sockets: &'a Sockets,
    buf: &'a mut Vec<u8>,
}

impl tracker::Transmit for PacketSender<'_> {
    fn send_to_target(&mut self, packet: &[u8]) {
        self.sockets.outbound.send_packet(self.sockets.target, packet);
    }

    fn send_to_caller(&mut self, to: SocketAddrV4, packet: &[u8]) {
        self.sockets
            .messages
            .send_packet(SocketAddrV4::new(*to.ip(), self.sockets.caller_port), packet);
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.send_to_caller(flow.caller, &packet::encode_reset(flow, seq));
    }

    fn send_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.sockets.messages.send_message(to, message, packet, self.buf);
    }
}

/// Runs the agent until SIGTERM.
///
/// # Errors
///
/// Fails when the settings are invalid, the store client cannot be created or an
/// address cannot be bound.
pub async fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let service = settings.service.clone().with_context(missing_field("service"))?;
    let sockets = Sockets::bind(&settings).await?;
    let tracker = FlowTracker::new(service.clone(), settings.idle_timeout())
        .with_policy(settings.policy.agent.clone())
        .with_cold_allowance(settings.cold_allowance())
        .with_write_ahead();
    let tracker = Rc::new(RefCell::new(tracker));
    let inspect_server = inspect::serve(&settings, tracker.clone()).await?;
    log::info!(
        event = events::EDGE_START, name:% = settings.name, zone:% = settings.zone,
        service:% = service, ip:% = settings.ip;
        "agent started"
    );
    let store = connect_store(&settings).await?;
    let key = format!("{AGENT_PREFIX}{}", settings.ip);
    let agent = ListedAgent {
        addr: settings.message_addr(),
        zone: settings.zone.clone(),
        service,
        incarnation: None,
        queues: true,
        bounded: true,
        since: None,
        registered: 0,
    };
    let (registration, values) = Registration::new(agent, sockets.target, store.clone());
    let registration = Rc::new(registration);
    let report_addr = settings.reports.with_context(missing_field("reports"))?;
    let report_server = reports::serve(report_addr, tracker.clone(), registration.clone()).await?;
    let ready_server = match settings.ready {
        Some(addr) => Some(Server::start(addr, |_| HttpResponse::empty(StatusCode::OK)).await?),
        None => None,
    };
    let registration_task = tokio::task::spawn_local({
        let (store, key) = (store.clone(), key.clone());
        let (tracker, registration) = (tracker.clone(), registration.clone());
        async move {
            let previous = read_previous_registration(&store, &key).await;
            let rev = match previous {
                PreviousRegistration::Present { rev, .. } => rev,
                PreviousRegistration::Absent | PreviousRegistration::Unreadable => 0,
            };
            learn_previous(previous, &mut tracker.borrow_mut(), &registration);
            let on_written = |incarnation: &_| tracker.borrow_mut().record_written(incarnation);
            let check = &registration.lease_check;
            maintain_registration(store, key, values, check, rev, on_written).await;
        }
    });
    super::run_until_stopped(path, forward(&sockets, &tracker, &registration)).await?;
    let ended = check_target_ended(&sockets, &tracker).await;
    log::info!(
        event = events::EDGE_STOP, name:% = settings.name, flows = tracker.borrow().flow_count(),
        waiting = tracker.borrow().waiting_count(), target_ended = ended;
        "agent is stopping"
    );
    registration_task.abort();
    let _ = registration_task.await;
    tracker.borrow_mut().stop_accepting();
    let stop_limit = settings.stop_grace().mul_f64(STOP_FRACTION);
    let stopping = async {
        if ended {
            deregister(&store, &key, stop_limit.saturating_sub(DEREGISTERED_DELAY)).await;
            tokio::time::sleep(DEREGISTERED_DELAY).await;
        } else {
            // After the limit the agent stops with work still in progress.
            let _ = tokio::time::timeout(stop_limit, wait_until_idle(&tracker)).await;
        }
    };
    tokio::select! {
        () = forward(&sockets, &tracker, &registration) => {}
        () = stopping => {}
    }
    if !ended {
        let mut buf = Vec::with_capacity(protocol::MAX_DATAGRAM_BYTES);
        tracker.borrow().send_owner_hints(
            settings.message_addr(),
            &mut PacketSender { sockets: &sockets, buf: &mut buf },
        );
    }
    report_server.stop().await;
    super::shut_down(inspect_server, ready_server).await;
    Ok(())
}

/// Applies what the previous process of the agent left in the store.
fn learn_previous(
    previous: PreviousRegistration,
    tracker: &mut FlowTracker,
    registration: &Registration,
) {
    let since = match previous {
        PreviousRegistration::Unreadable => Some(UNKNOWN_REVISION),
        PreviousRegistration::Absent => {
            tracker.mark_new();
            None
        }
        PreviousRegistration::Present { predecessor, since, .. } => {
            tracker.set_predecessor(predecessor);
            Some(since)
        }
    };
    registration.set_since(since, tracker.target().is_some_and(Target::all_flows_known));
}

fn missing_field(field: &'static str) -> impl Fn() -> String {
    move || format!("settings: field `{field}` is required for an agent")
}

/// Waits until the target of a stopping agent has no work in progress.
async fn wait_until_idle(tracker: &RefCell<FlowTracker>) {
    while !tracker.borrow().is_drained() {
        tokio::time::sleep(IDLE_POLL).await;
    }
}

/// Returns whether the target has ended. Probes its port, because its
/// deregistration may have been lost or be in flight.
async fn check_target_ended(sockets: &Sockets, tracker: &RefCell<FlowTracker>) -> bool {
    if !tracker.borrow().target_ended() && port::probe(sockets.target).await == PortState::Closed {
        let mut buf = Vec::with_capacity(protocol::MAX_DATAGRAM_BYTES);
        let mut out = PacketSender { sockets, buf: &mut buf };
        port::apply_probe(
            &mut tracker.borrow_mut(),
            PortState::Closed,
            sockets.target,
            Instant::now(),
            &mut out,
        );
    }
    tracker.borrow().target_ended()
}

impl Inspect for FlowTracker {
    fn current_state(&self, flow: Option<Flow>) -> serde_json::Value {
        Self::state_json(self, flow, Instant::now())
    }

    fn publish_gauges(&self) {
        metrics::set_state("flows", self.flow_count() as u64);
        metrics::set_state("waiting", self.waiting_count().into());
        metrics::set_state("set_aside", self.is_set_aside(Instant::now()).into());
    }
}

/// What one read of the message socket delivered.
#[derive(Debug, Default)]
struct MessageActivity {
    /// At least one datagram arrived.
    received: bool,
    /// A balancer does not see the agent's registration.
    unregistered: bool,
    /// A message was for an agent of another service: the registration may be another's.
    misdirected: bool,
}

/// Passes messages of balancers and other agents to `tracker`.
fn read_messages(
    sockets: &Sockets,
    buf: &mut [u8],
    tracker: &mut FlowTracker,
    now: Instant,
    out: &mut PacketSender<'_>,
) -> MessageActivity {
    let mut activity = MessageActivity::default();
    sockets.messages.read_batch(buf, |datagram, from| {
        activity.received = true;
        let Ok((message, packet)) = protocol::decode(datagram) else {
            metrics::count_drop("not a message");
            return;
        };
        activity.unregistered |= message == Message::Ping { listed: false };
        activity.misdirected |= message.service().is_some_and(|s| s != tracker.service());
        match (packet.is_empty(), packet::decode(packet)) {
            (true, _) => tracker.handle_message(from, &message, None, packet, now, out),
            (false, Ok(seg)) => {
                tracker.handle_message(from, &message, Some(&seg), packet, now, out)
            }
            (false, Err(e)) => metrics::count_drop(e),
        }
    });
    activity
}

/// Passes the target's packets to `tracker`.
fn read_target_packets(
    sockets: &Sockets,
    buf: &mut [u8],
    tracker: &mut FlowTracker,
    now: Instant,
    out: &mut PacketSender<'_>,
) {
    sockets.outbound.read_batch(buf, |datagram, _| match packet::decode(datagram) {
        Ok(seg) => tracker.handle_target_packet(&seg, datagram, now, out, packet::clear_bounced),
        Err(e) => metrics::count_drop(e),
    });
}

/// Forwards packets, handles messages and runs timers until the future is dropped.
async fn forward(sockets: &Sockets, tracker: &RefCell<FlowTracker>, registration: &Registration) {
    let mut buf = vec![0; RECV_BUFFER_BYTES];
    let mut scratch = Vec::with_capacity(protocol::MAX_DATAGRAM_BYTES);
    let mut last_rewrite: Option<Instant> = None;
    let mut last_check: Option<Instant> = None;
    let mut probes = JoinSet::new();
    let mut silence = SilenceTimer::new(Instant::now());
    let mut pauses = PauseDetector::new(ClockReading::now());
    loop {
        let before = Instant::now();
        if silence.expire(before) {
            registration.lease_check.notify_one();
        }
        if probes.is_empty() && tracker.borrow().should_probe(before) {
            probes.spawn_local(port::probe(sockets.target));
        }
        let due = tracker.borrow().next_deadline().filter(|_| probes.is_empty());
        let wake_at = due.map_or(silence.due(), |at| at.min(silence.due()));
        let wait = wake_at.saturating_duration_since(before);
        let mut probed = None;
        tokio::select! {
            () = sockets.messages.readable() => {}
            () = sockets.outbound.readable() => {}
            Some(port_state) = probes.join_next() => probed = port_state.ok(),
            () = tokio::time::sleep(wait) => {}
        }
        let mut tracker = tracker.borrow_mut();
        let mut out = PacketSender { sockets, buf: &mut scratch };
        let clocks = ClockReading::now();
        let now = clocks.monotonic;
        // Balancers may have offered the queued opens to others meanwhile.
        if pauses.detect(before + wait, clocks).is_some() {
            tracker.resume(now, &mut out);
        }
        if let Some(port_state) = probed {
            port::apply_probe(&mut tracker, port_state, sockets.target, now, &mut out);
        }
        let activity = read_messages(sockets, &mut buf, &mut tracker, now, &mut out);
        read_target_packets(sockets, &mut buf, &mut tracker, now, &mut out);
        tracker.tick(now, &mut out);
        tracker.finish_batch(Instant::now());
        if activity.received {
            silence.postpone(now);
        }
        registration.follow_era();
        if let Some(registered_at) = registration.note_registered() {
            // What was just written need not be checked.
            silence.postpone(registered_at);
        }
        let is_due = |at: Instant| now.duration_since(at) >= REWRITE_INTERVAL;
        let target_alive = tracker.target().is_some_and(Target::is_alive);
        if activity.misdirected && last_check.is_none_or(is_due) {
            last_check = Some(now);
            registration.lease_check.notify_one();
        }
        if activity.unregistered && target_alive && last_rewrite.is_none_or(is_due) {
            last_rewrite = Some(now);
            log::info!(
                event = events::EDGE_STORE;
                "registration is missing in the store; writing it again"
            );
            registration.write_again();
        }
    }
}
