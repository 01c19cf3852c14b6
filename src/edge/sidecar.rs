//! The agent beside a target: hands it the packets of its flows, sends its
//! packets to the callers, and takes its reports, as [`Holder`] decides.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use ntex::http::StatusCode;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use super::announce::{Earlier, Entry, announce, earlier, withdraw};
use super::inspect::{self, Inspect};
use super::port::{self, Port};
use super::socket::Socket;
use super::{AGENTS, Settings, pause, reports, store};
use crate::bus::{self, Message};
use crate::flow::Flow;
use crate::hold::{self, Holder, Target};
use crate::listen::{Answer, Server};
use crate::platform::packet;
use crate::steer::Announced;
use crate::{events, metrics};

/// Largest packet, in bytes.
const PACKET: usize = 2_048;

/// Part of the platform's longest planned stop that an agent uses at most to
/// let its target finish what it works on.
const STOP_PART: f64 = 0.75;

/// How long an agent whose target has ended answers on after it removed its entry:
/// until every balancer has seen that (0.3 s) and asked it once more. One that went
/// silent first would hold up the searches of its service, as it might hold a flow.
const STAY: Duration = Duration::from_millis(600);

/// How often a stopping agent looks whether its target is done.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Least pause between two writes of the agent's entry that balancers ask
/// for: their views lag the store by some milliseconds.
const RELIST: Duration = Duration::from_millis(1_000);

/// After how long without a word of any balancer an agent looks whether its
/// entry still stands. A balancer that misses the entry says so; one that was
/// started after the entry had lapsed does not know of the agent. Each look is a
/// call.
const QUIET: Duration = Duration::from_secs(4);

struct Wires {
    bus: Socket,
    outbound: Socket,
    target: SocketAddrV4,
    port: u16,
}

impl Wires {
    async fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let outbound = settings.outbound.with_context(missing("outbound"))?;
        Ok(Self {
            bus: Socket::bind(settings.bus(), "balancers and agents").await?,
            outbound: Socket::bind(outbound, "the target's packets").await?,
            target: settings.target.with_context(missing("target"))?,
            port: settings.packets.port(),
        })
    }
}

/// The wires with a buffer to encode messages in.
struct Sender<'a> {
    wires: &'a Wires,
    buf: &'a mut Vec<u8>,
}

impl hold::Out for Sender<'_> {
    fn target(&mut self, packet: &[u8]) {
        self.wires.outbound.send(self.wires.target, packet);
    }

    fn caller(&mut self, to: SocketAddrV4, packet: &[u8]) {
        self.wires.bus.send(SocketAddrV4::new(*to.ip(), self.wires.port), packet);
    }

    fn reset(&mut self, flow: Flow, seq: u32) {
        self.caller(flow.caller, &packet::encode_reset(flow, seq));
    }

    fn peer(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.wires.bus.message(to, message, packet, self.buf);
    }
}

/// Runs the agent until it is told to stop.
///
/// # Errors
///
/// Fails when the settings are refused or an address is taken.
pub async fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let service = settings.service.clone().with_context(missing("service"))?;
    let wires = Wires::bind(&settings).await?;
    let holder =
        Holder::new(service.clone(), settings.flow_life()).policy(settings.policy.hold.clone());
    let holder = Rc::new(RefCell::new(holder));
    let inspect = inspect::serve(&settings, holder.clone()).await?;
    log::info!(
        event = events::EDGE_START, name:% = settings.name, zone:% = settings.zone,
        service:% = service, ip:% = settings.ip;
        "agent started"
    );
    let store = store(&settings).await?;
    let key = format!("{AGENTS}{}", settings.ip);
    match earlier(&store, &key).await {
        Earlier::Unknown => {}
        Earlier::None => holder.borrow_mut().mark_new(),
        Earlier::Listed(target) => holder.borrow_mut().follows(target, Instant::now()),
    }
    let me = Announced { addr: settings.bus(), zone: settings.zone.clone(), service, target: None };
    let (value, values) = watch::channel(serde_json::to_vec(&me)?);
    let target = wires.target;
    let entry = Rc::new(Entry { me, target, value, check: Rc::new(Notify::new()) });
    let desk_addr = settings.reports.with_context(missing("reports"))?;
    let desk = reports::serve(desk_addr, holder.clone(), entry.clone()).await?;
    let ready = match settings.ready {
        Some(addr) => Some(Server::start(addr, |_| Answer::empty(StatusCode::OK)).await?),
        None => None,
    };
    let announcing = announce(store.clone(), key.clone(), values, entry.check.clone());
    let announcer = tokio::task::spawn_local(announcing);
    super::until_stopped(path, forward(&wires, &holder, &entry)).await?;
    let ended = target_ended(&wires, &holder).await;
    log::info!(
        event = events::EDGE_STOP, name:% = settings.name, flows = holder.borrow().flows(),
        waiting = holder.borrow().waiting(), target_ended = ended;
        "agent stops"
    );
    announcer.abort();
    let _ = announcer.await;
    holder.borrow_mut().stop();
    let most = settings.grace().mul_f64(STOP_PART);
    let last = async {
        if ended {
            withdraw(&store, &key, most.saturating_sub(STAY)).await;
            tokio::time::sleep(STAY).await;
        } else {
            // Past its time it goes with work in progress.
            let _ = tokio::time::timeout(most, idle(&holder)).await;
        }
    };
    tokio::select! {
        () = forward(&wires, &holder, &entry) => {}
        () = last => {}
    }
    if !ended {
        let mut buf = Vec::with_capacity(bus::DATAGRAM);
        holder.borrow().hand_over(settings.bus(), &mut Sender { wires: &wires, buf: &mut buf });
    }
    desk.stop().await;
    super::finish(inspect, ready).await;
    Ok(())
}

fn missing(field: &'static str) -> impl Fn() -> String {
    move || format!("settings: field `{field}`: an agent needs it")
}

/// Waits until the target of a stopping agent has no work in progress.
async fn idle(holder: &RefCell<Holder>) {
    while !holder.borrow().idle() {
        tokio::time::sleep(STOP_POLL).await;
    }
}

/// Whether the target's process is over, for an agent that is told to stop: its
/// port is tried, as its goodbye may have been lost or be a moment old.
async fn target_ended(wires: &Wires, holder: &RefCell<Holder>) -> bool {
    if !holder.borrow().ended() && port::probe(wires.target).await == Port::Closed {
        let mut buf = Vec::with_capacity(bus::DATAGRAM);
        let mut out = Sender { wires, buf: &mut buf };
        port::note(&mut holder.borrow_mut(), Port::Closed, wires.target, Instant::now(), &mut out);
    }
    holder.borrow().ended()
}

impl Inspect for Holder {
    fn beliefs(&self, flow: Option<Flow>) -> serde_json::Value {
        Self::beliefs(self, flow, Instant::now())
    }

    fn gauge(&self) {
        metrics::state("flows", self.flows() as u64);
        metrics::state("waiting", self.waiting().into());
    }
}

/// What came from balancers and other agents.
#[derive(Debug, Default)]
struct Heard {
    /// Anything came.
    any: bool,
    /// A balancer does not see the agent's entry in the store.
    unlisted: bool,
}

/// Takes what balancers and other agents say.
fn read_bus(
    wires: &Wires,
    buf: &mut [u8],
    holder: &mut Holder,
    now: Instant,
    out: &mut Sender<'_>,
) -> Heard {
    let mut heard = Heard::default();
    wires.bus.drain(buf, |datagram, from| {
        heard.any = true;
        let Ok((message, packet)) = bus::decode(datagram) else {
            metrics::dropped("not a message");
            return;
        };
        heard.unlisted |= message == Message::Ping { listed: false };
        match (packet.is_empty(), packet::decode(packet)) {
            (true, _) => holder.message(from, &message, None, packet, now, out),
            (false, Ok(seg)) => holder.message(from, &message, Some(&seg), packet, now, out),
            (false, Err(e)) => metrics::dropped(e),
        }
    });
    heard
}

/// Takes the target's packets.
fn read_target(
    wires: &Wires,
    buf: &mut [u8],
    holder: &mut Holder,
    now: Instant,
    out: &mut Sender<'_>,
) {
    wires.outbound.drain(buf, |datagram, _| match packet::decode(datagram) {
        Ok(seg) => holder.target_packet(&seg, datagram, now, out, packet::clear_bounced),
        Err(e) => metrics::dropped(e),
    });
}

/// Forwards packets until told otherwise.
async fn forward(wires: &Wires, holder: &RefCell<Holder>, entry: &Entry) {
    let mut buf = vec![0; PACKET];
    let mut scratch = Vec::with_capacity(bus::DATAGRAM);
    let mut relisted: Option<Instant> = None;
    let mut probes = JoinSet::new();
    let mut heard_at = Instant::now();
    loop {
        let before = Instant::now();
        if before.duration_since(heard_at) >= QUIET {
            heard_at = before;
            entry.check.notify_one();
        }
        if probes.is_empty() && holder.borrow().should_probe(before) {
            probes.spawn_local(port::probe(wires.target));
        }
        let due = holder.borrow().next_due().filter(|_| probes.is_empty());
        let wait = due.map_or(QUIET, |at| at.saturating_duration_since(before)).min(QUIET);
        let mut probed = None;
        tokio::select! {
            () = wires.bus.readable() => {}
            () = wires.outbound.readable() => {}
            Some(found) = probes.join_next() => probed = found.ok(),
            () = tokio::time::sleep(wait) => {}
        }
        let mut holder = holder.borrow_mut();
        let mut out = Sender { wires, buf: &mut scratch };
        let now = Instant::now();
        // Only logged: an agent decides nothing by how long others were silent.
        pause::note(before + wait, now);
        if let Some(found) = probed {
            port::note(&mut holder, found, wires.target, now, &mut out);
        }
        let heard = read_bus(wires, &mut buf, &mut holder, now, &mut out);
        read_target(wires, &mut buf, &mut holder, now, &mut out);
        holder.tick(now, &mut out);
        if heard.any {
            heard_at = now;
        }
        let serves = holder.target().is_some_and(Target::alive);
        if heard.unlisted && serves && relisted.is_none_or(|at| now.duration_since(at) >= RELIST) {
            relisted = Some(now);
            log::info!(event = events::EDGE_STORE; "entry missing in the store, written again");
            entry.value.send_modify(|_| {});
        }
    }
}
