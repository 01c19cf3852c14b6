//! Callers: open flows, send one request at a time and retransmit it until it is
//! answered.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

use super::router::Router;
use super::{Report, SERVICES};
use crate::flow::{Flags, Flow, Segment};
use crate::platform::packet;

/// How long to wait for a SYN-ACK after each SYN; after the last wait the caller
/// gives up.
const SYN_WAITS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(800)];

/// Initial retransmission timeout of a request; it doubles up to [`MAX_RTO`].
const INITIAL_RTO: Duration = Duration::from_millis(200);

/// Upper bound of the retransmission timeout.
const MAX_RTO: Duration = Duration::from_millis(1_600);

/// When a caller gives up a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause of a feed between a response and the next request.
const FEED_PAUSE: Duration = Duration::from_millis(200);

/// Delivers the packets of one flow to its task.
type Inbox = mpsc::UnboundedSender<(Segment, Vec<u8>)>;

/// The callers of one data centre: a UDP socket shared by their flows.
pub struct CallerSocket {
    sock: Rc<UdpSocket>,
    zone: usize,
    router: Rc<Router>,
    flows: Rc<RefCell<HashMap<Flow, Inbox>>>,
    reader: JoinHandle<()>,
}

impl CallerSocket {
    /// Binds `local` for the callers of data centre `zone`, and starts to
    /// distribute received packets to flows.
    pub async fn bind(local: SocketAddrV4, zone: u8, router: Rc<Router>) -> anyhow::Result<Self> {
        let sock = Rc::new(
            UdpSocket::bind(local)
                .await
                .with_context(|| format!("trial: binding the callers' socket {local}"))?,
        );
        let flows: Rc<RefCell<HashMap<Flow, Inbox>>> = Rc::default();
        let (reader_sock, reader_flows) = (sock.clone(), flows.clone());
        let reader = tokio::task::spawn_local(async move {
            let mut buf = [0; 2_048];
            while let Ok((n, _)) = reader_sock.recv_from(&mut buf).await {
                let Ok(seg) = packet::decode(&buf[..n]) else { continue };
                if let Some(inbox) = reader_flows.borrow().get(&seg.flow_from_target()) {
                    let _ = inbox.send((seg, buf[packet::HEADER_LEN..n].to_vec()));
                }
            }
        });
        Ok(Self { sock, zone: usize::from(zone), router, flows, reader })
    }

    fn ip(&self) -> Ipv4Addr {
        match self.sock.local_addr() {
            Ok(std::net::SocketAddr::V4(a)) => *a.ip(),
            _ => Ipv4Addr::LOCALHOST,
        }
    }

    async fn send(&self, flow: Flow, flags: Flags, seq: u32, ack: u32, data: &[u8]) {
        let Some(to) = self.router.pick(self.zone, flow) else { return };
        let len = u16::try_from(data.len()).unwrap_or(u16::MAX);
        let seg = Segment { src: flow.caller, dst: flow.vip, flags, seq, ack, len };
        let _ = self.sock.send_to(&packet::encode(&seg, data), to).await;
    }
}

/// A flow from the caller's side.
struct OpenFlow {
    socket: Rc<CallerSocket>,
    flow: Flow,
    inbox: mpsc::UnboundedReceiver<(Segment, Vec<u8>)>,
    /// Sequence number of the next request.
    seq: u32,
    /// Next byte expected from the target.
    ack: u32,
    /// The target closed the flow with its last response.
    finished: bool,
}

impl OpenFlow {
    /// Opens a flow from `port`. `None` if it was reset or no SYN was answered.
    async fn open(socket: &Rc<CallerSocket>, port: u16, service: SocketAddrV4) -> Option<Self> {
        let flow = Flow { caller: SocketAddrV4::new(socket.ip(), port), vip: service };
        let (tx, inbox) = mpsc::unbounded_channel();
        socket.flows.borrow_mut().insert(flow, tx);
        let seq: u32 = rand::random();
        let mut open = Self { socket: socket.clone(), flow, inbox, seq, ack: 0, finished: false };
        for (repeat, wait) in (0_u32..).zip(SYN_WAITS) {
            let syn = Flags { syn: true, ..Flags::default() };
            socket.send(flow, syn, seq, repeat, &[]).await;
            let Some((seg, _)) = open.receive_within(wait).await else { continue };
            if seg.flags.rst {
                return None;
            }
            if seg.flags.syn {
                open.seq = seq.wrapping_add(1);
                open.ack = seg.seq.wrapping_add(1);
                return Some(open);
            }
        }
        None
    }

    async fn receive_within(&mut self, wait: Duration) -> Option<(Segment, Vec<u8>)> {
        tokio::time::timeout(wait, self.inbox.recv()).await.ok().flatten()
    }

    /// Sends a request, with retransmissions, and returns whether it was answered.
    async fn request(&mut self, text: &str) -> bool {
        let flags = Flags { ack: true, ..Flags::default() };
        let end = Instant::now() + REQUEST_TIMEOUT;
        let mut rto = INITIAL_RTO;
        while Instant::now() < end {
            self.socket.send(self.flow, flags, self.seq, self.ack, text.as_bytes()).await;
            let retransmit_at = Instant::now() + rto;
            while let Some((seg, data)) =
                self.receive_within(retransmit_at.saturating_duration_since(Instant::now())).await
            {
                if seg.flags.rst {
                    return false;
                }
                if seg.len > 0 && seg.seq == self.ack && !data.is_empty() {
                    self.seq = self.seq.wrapping_add(text.len() as u32);
                    self.ack = self.ack.wrapping_add(u32::from(seg.len));
                    self.finished = seg.flags.fin;
                    return true;
                }
            }
            rto = (rto * 2).min(MAX_RTO);
        }
        false
    }

    async fn close(mut self) {
        let flags = Flags { ack: true, fin: true, ..Flags::default() };
        self.socket.send(self.flow, flags, self.seq, self.ack, &[]).await;
        let _ = self.receive_within(INITIAL_RTO).await;
    }
}

impl Drop for OpenFlow {
    fn drop(&mut self) {
        self.socket.flows.borrow_mut().remove(&self.flow);
    }
}

/// Runs `feeds` feeds and `rate` single requests per second until `end`.
pub async fn run_workload(
    socket: CallerSocket,
    vip: Ipv4Addr,
    feeds: u16,
    rate: u16,
    end: Instant,
    report: Rc<RefCell<Report>>,
) {
    let socket = Rc::new(socket);
    let mut tasks = JoinSet::new();
    let mut port = 1_024_u16;
    let mut next = move || {
        port = port.wrapping_add(1).max(1_024);
        port
    };
    for i in 0..feeds {
        let service = SERVICES[usize::from(i) % SERVICES.len()];
        let first = next();
        tasks.spawn_local(run_feed(socket.clone(), vip, service, first, end, report.clone()));
    }
    let gap = Duration::from_secs(1) / u32::from(rate.max(1));
    let mut n = 0;
    while Instant::now() < end {
        let service = SERVICES[n % SERVICES.len()];
        n += 1;
        tasks.spawn_local(run_single_request(socket.clone(), vip, service, next(), report.clone()));
        tokio::time::sleep(gap).await;
    }
    while tasks.join_next().await.is_some() {}
    socket.reader.abort();
}

/// Sends requests on one flow until `end`, on a new one whenever it was closed or
/// a request failed.
async fn run_feed(
    socket: Rc<CallerSocket>,
    vip: Ipv4Addr,
    (service, route): (&'static str, u16),
    first: u16,
    end: Instant,
    report: Rc<RefCell<Report>>,
) {
    let mut port = first;
    while Instant::now() < end {
        let Some(mut flow) = OpenFlow::open(&socket, port, SocketAddrV4::new(vip, route)).await
        else {
            report.borrow_mut().failed += 1;
            port = port.wrapping_add(20_000);
            continue;
        };
        while Instant::now() < end && !flow.finished {
            if !measure_request(&mut flow, service, &report).await {
                report.borrow_mut().broken += 1;
                break;
            }
            tokio::time::sleep(FEED_PAUSE).await;
        }
        flow.close().await;
        port = port.wrapping_add(20_000);
    }
}

/// Opens a flow for one request.
async fn run_single_request(
    socket: Rc<CallerSocket>,
    vip: Ipv4Addr,
    (service, route): (&'static str, u16),
    port: u16,
    report: Rc<RefCell<Report>>,
) {
    match OpenFlow::open(&socket, port, SocketAddrV4::new(vip, route)).await {
        Some(mut flow) => {
            measure_request(&mut flow, service, &report).await;
            flow.close().await;
        }
        None => report.borrow_mut().failed += 1,
    }
}

/// Sends one request on an open flow and records its result; returns whether it
/// was answered.
async fn measure_request(flow: &mut OpenFlow, service: &str, report: &RefCell<Report>) -> bool {
    let text = format!("{service} {:x}", rand::random::<u64>());
    let started = Instant::now();
    let ok = flow.request(&text).await;
    let mut results = report.borrow_mut();
    if ok {
        results.served += 1;
        results.latencies_ms.push(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
    } else {
        results.failed += 1;
    }
    ok
}
