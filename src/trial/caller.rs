//! Callers: open flows, send one request after the other, and send again what
//! is not answered, as the platform's callers do.

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

/// When the copies of an open follow the first, and when it is given up.
const SYN_WAITS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(400), Duration::from_millis(800)];

/// First pause before a request is sent again; it doubles up to [`MOST`].
const INITIAL_RTO: Duration = Duration::from_millis(200);

/// Longest pause before a request is sent again.
const MAX_RTO: Duration = Duration::from_millis(1_600);

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause between two requests of a feed.
const FEED_PAUSE: Duration = Duration::from_millis(200);

type Inbox = mpsc::UnboundedSender<(Segment, Vec<u8>)>;

/// One caller's VM: a socket and the flows behind it.
pub struct CallerSocket {
    sock: Rc<UdpSocket>,
    zone: usize,
    router: Rc<Router>,
    flows: Rc<RefCell<HashMap<Flow, Inbox>>>,
    reader: JoinHandle<()>,
}

impl CallerSocket {
    /// A caller's VM at `local` in data centre `zone`.
    pub async fn bind(local: SocketAddrV4, zone: u8, router: Rc<Router>) -> anyhow::Result<Self> {
        let sock = Rc::new(UdpSocket::bind(local).await.context("trial: binding callers")?);
        let flows: Rc<RefCell<HashMap<Flow, Inbox>>> = Rc::default();
        let (from, to) = (sock.clone(), flows.clone());
        let reader = tokio::task::spawn_local(async move {
            let mut buf = [0; 2_048];
            while let Ok((n, _)) = from.recv_from(&mut buf).await {
                let Ok(seg) = packet::decode(&buf[..n]) else { continue };
                if let Some(inbox) = to.borrow().get(&seg.flow_from_target()) {
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

/// One open flow.
struct OpenFlow {
    socket: Rc<CallerSocket>,
    flow: Flow,
    inbox: mpsc::UnboundedReceiver<(Segment, Vec<u8>)>,
    seq: u32,
    ack: u32,
    /// The target finished after its last answer.
    finished: bool,
}

impl OpenFlow {
    /// Opens a flow, or says that it could not be opened.
    async fn open(line: &Rc<CallerSocket>, port: u16, service: SocketAddrV4) -> Option<Self> {
        let flow = Flow { caller: SocketAddrV4::new(line.ip(), port), vip: service };
        let (tx, inbox) = mpsc::unbounded_channel();
        line.flows.borrow_mut().insert(flow, tx);
        let seq: u32 = rand::random();
        let mut call = Self { socket: line.clone(), flow, inbox, seq, ack: 0, finished: false };
        for (copy, wait) in (0_u32..).zip(SYN_WAITS) {
            let syn = Flags { syn: true, ..Flags::default() };
            line.send(flow, syn, seq, copy, &[]).await;
            let Some((seg, _)) = call.receive_within(wait).await else { continue };
            if seg.flags.rst {
                return None;
            }
            if seg.flags.syn {
                call.seq = seq.wrapping_add(1);
                call.ack = seg.seq.wrapping_add(1);
                return Some(call);
            }
        }
        None
    }

    async fn receive_within(&mut self, wait: Duration) -> Option<(Segment, Vec<u8>)> {
        tokio::time::timeout(wait, self.inbox.recv()).await.ok().flatten()
    }

    /// Sends one request and waits for its answer; says whether it came.
    async fn request(&mut self, text: &str) -> bool {
        let flags = Flags { ack: true, ..Flags::default() };
        let end = Instant::now() + REQUEST_TIMEOUT;
        let mut pause = INITIAL_RTO;
        while Instant::now() < end {
            self.socket.send(self.flow, flags, self.seq, self.ack, text.as_bytes()).await;
            let again = Instant::now() + pause;
            while let Some((seg, data)) =
                self.receive_within(again.saturating_duration_since(Instant::now())).await
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
            pause = (pause * 2).min(MAX_RTO);
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

/// Plays feeds and single requests until `end`.
pub async fn run_workload(
    line: CallerSocket,
    vip: Ipv4Addr,
    feeds: u16,
    rate: u16,
    end: Instant,
    report: Rc<RefCell<Report>>,
) {
    let line = Rc::new(line);
    let mut tasks = JoinSet::new();
    let mut port = 1_024_u16;
    let mut next = move || {
        port = port.wrapping_add(1).max(1_024);
        port
    };
    for i in 0..feeds {
        let service = SERVICES[usize::from(i) % SERVICES.len()];
        let first = next();
        tasks.spawn_local(run_feed(line.clone(), vip, service, first, end, report.clone()));
    }
    let gap = Duration::from_secs(1) / u32::from(rate.max(1));
    let mut n = 0;
    while Instant::now() < end {
        let service = SERVICES[n % SERVICES.len()];
        n += 1;
        tasks.spawn_local(run_single_request(line.clone(), vip, service, next(), report.clone()));
        tokio::time::sleep(gap).await;
    }
    while tasks.join_next().await.is_some() {}
    line.reader.abort();
}

/// Asks on one flow; where the target finished the flow, on a new one.
async fn run_feed(
    line: Rc<CallerSocket>,
    vip: Ipv4Addr,
    (service, route): (&'static str, u16),
    first: u16,
    end: Instant,
    report: Rc<RefCell<Report>>,
) {
    let mut port = first;
    while Instant::now() < end {
        let Some(mut call) = OpenFlow::open(&line, port, SocketAddrV4::new(vip, route)).await
        else {
            report.borrow_mut().failed += 1;
            port = port.wrapping_add(20_000);
            continue;
        };
        while Instant::now() < end && !call.finished {
            if !measure_request(&mut call, service, &report).await {
                report.borrow_mut().broken += 1;
                break;
            }
            tokio::time::sleep(FEED_PAUSE).await;
        }
        call.close().await;
        port = port.wrapping_add(20_000);
    }
}

async fn run_single_request(
    line: Rc<CallerSocket>,
    vip: Ipv4Addr,
    (service, route): (&'static str, u16),
    port: u16,
    report: Rc<RefCell<Report>>,
) {
    match OpenFlow::open(&line, port, SocketAddrV4::new(vip, route)).await {
        Some(mut call) => {
            measure_request(&mut call, service, &report).await;
            call.close().await;
        }
        None => report.borrow_mut().failed += 1,
    }
}

async fn measure_request(call: &mut OpenFlow, service: &str, report: &RefCell<Report>) -> bool {
    let text = format!("{service} {:x}", rand::random::<u64>());
    let started = Instant::now();
    let ok = call.request(&text).await;
    let mut seen = report.borrow_mut();
    if ok {
        seen.served += 1;
        seen.latencies_ms.push(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
    } else {
        seen.failed += 1;
    }
    ok
}
