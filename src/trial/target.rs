//! A target: answers opens with a sequence number of its own, runs each
//! request once, gives back packets of flows that it does not hold, and
//! reports itself to the agent beside it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

use super::Report;
use crate::flow::{Flags, Flow, Segment};
use crate::platform::{instances, packet};
use crate::tracker;

/// How often a target reports itself.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// How long a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// How long a leaving target serves on after its report was acknowledged.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

#[derive(Debug, Default)]
struct TargetState {
    draining: Cell<bool>,
    acknowledged: Cell<bool>,
}

/// A running target.
pub struct Target {
    name: String,
    state: Rc<TargetState>,
    tasks: Vec<JoinHandle<()>>,
}

/// One open flow.
#[derive(Clone, Debug)]
struct TargetFlow {
    /// Next byte expected of the caller.
    expected_seq: u32,
    /// Next byte sent.
    seq: u32,
    /// The last answer, sent again when its request comes again.
    last_response: Option<Vec<u8>>,
}

impl Target {
    /// Starts a target of `service` at `app`, whose packets go to `outbound`
    /// and reports to `reports`.
    pub async fn start(
        name: String,
        service: &'static str,
        app: SocketAddrV4,
        outbound: SocketAddrV4,
        reports: SocketAddrV4,
        report: Rc<RefCell<Report>>,
    ) -> anyhow::Result<Self> {
        let sock = UdpSocket::bind(app).await.context("trial: binding a target")?;
        // A target also listens for status checks; the open port says that it
        // lives.
        let port = TcpListener::bind(app).await.context("trial: binding a target's port")?;
        report.borrow_mut().flows_by_target.insert(name.clone(), 0);
        let state = Rc::new(TargetState::default());
        let server = Server {
            name: name.clone(),
            service,
            outbound,
            sock,
            state: state.clone(),
            report,
            flows: HashMap::new(),
            executed: HashSet::new(),
        };
        let id = format!("i-{name}-{:x}", rand::random::<u32>());
        let beat = send_heartbeats(id, service, app, reports, state.clone());
        let tasks = vec![
            tokio::task::spawn_local(server.serve()),
            tokio::task::spawn_local(beat),
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = port.accept().await {
                    drop(stream);
                }
            }),
        ];
        Ok(Self { name, state, tasks })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether its agent has acknowledged a report.
    pub fn acknowledged(&self) -> bool {
        self.state.acknowledged.get()
    }

    /// Says from now on that it leaves.
    pub fn drain(&self) {
        self.state.draining.set(true);
    }

    /// Ends it.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
    }
}

/// Reports the target until it has left.
async fn send_heartbeats(
    id: String,
    service: &'static str,
    app: SocketAddrV4,
    reports: SocketAddrV4,
    state: Rc<TargetState>,
) {
    let client = ntex::client::Client::new().await;
    let mut left = DRAIN_TIME;
    for seq in 1_u64.. {
        let draining = state.draining.get();
        let word =
            if draining { tracker::TargetState::Draining } else { tracker::TargetState::Ready };
        let body = instances::heartbeat_json(service, app, word, seq);
        let url = format!("http://{reports}{}{id}", instances::HEARTBEAT_PATH);
        let call = client.post(url).send_json(&body);
        let ok = matches!(
            tokio::time::timeout(Duration::from_secs(1), call).await,
            Ok(Ok(res)) if res.status().is_success()
        );
        state.acknowledged.set(state.acknowledged.get() || ok);
        if draining {
            left = left.saturating_sub(HEARTBEAT_INTERVAL);
            if left.is_zero() {
                let url = format!("http://{reports}{}{id}", instances::DEREGISTER_PATH);
                let _ = client.post(url).send().await;
                return;
            }
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

struct Server {
    name: String,
    service: &'static str,
    outbound: SocketAddrV4,
    sock: UdpSocket,
    state: Rc<TargetState>,
    report: Rc<RefCell<Report>>,
    flows: HashMap<Flow, TargetFlow>,
    executed: HashSet<String>,
}

impl Server {
    async fn serve(mut self) {
        let mut buf = [0; 2_048];
        while let Ok((n, _)) = self.sock.recv_from(&mut buf).await {
            if let Ok(seg) = packet::decode(&buf[..n]) {
                self.handle(&seg, &buf[..n]).await;
            }
        }
    }

    async fn send(&self, flow: Flow, flags: Flags, seq: u32, ack: u32, data: &[u8]) {
        let len = u16::try_from(data.len()).unwrap_or(u16::MAX);
        let seg = Segment { src: flow.vip, dst: flow.caller, flags, seq, ack, len };
        let _ = self.sock.send_to(&packet::encode(&seg, data), self.outbound).await;
    }

    async fn handle(&mut self, seg: &Segment, bytes: &[u8]) {
        let flow = seg.flow_from_caller();
        let ack = Flags { ack: true, ..Flags::default() };
        if seg.opens_flow() {
            let open = self.flows.entry(flow).or_insert_with(|| {
                *self.report.borrow_mut().flows_by_target.entry(self.name.clone()).or_default() +=
                    1;
                TargetFlow {
                    expected_seq: seg.seq.wrapping_add(1),
                    seq: rand::random(),
                    last_response: None,
                }
            });
            let (seq, next) = (open.seq, open.expected_seq);
            self.send(flow, Flags { syn: true, ..ack }, seq, next, &[]).await;
            return;
        }
        let Some(open) = self.flows.get_mut(&flow) else {
            let mut back = bytes.to_vec();
            packet::set_bounced(&mut back);
            let _ = self.sock.send_to(&back, self.outbound).await;
            return;
        };
        if seg.flags.fin {
            let (seq, next) = (open.seq.wrapping_add(1), seg.seq.wrapping_add(1));
            self.flows.remove(&flow);
            self.send(flow, Flags { fin: true, ..ack }, seq, next, &[]).await;
        } else if seg.len > 0 && seg.seq == open.expected_seq {
            open.expected_seq = open.expected_seq.wrapping_add(u32::from(seg.len));
            let text = String::from_utf8_lossy(&bytes[packet::HEADER_LEN..]).into_owned();
            tokio::time::sleep(SERVICE_TIME).await;
            self.execute(flow, &text).await;
        } else if let (true, Some(last)) = (seg.len > 0, open.last_response.clone()) {
            let _ = self.sock.send_to(&last, self.outbound).await;
        }
    }

    /// Runs one request, `service id`, and answers it.
    async fn execute(&mut self, flow: Flow, text: &str) {
        let (service, id) = text.split_once(' ').unwrap_or_default();
        {
            let mut report = self.report.borrow_mut();
            report.foreign += u32::from(service != self.service);
            report.duplicates += u32::from(!self.executed.insert(id.to_string()));
        }
        let Some(open) = self.flows.get_mut(&flow) else { return };
        let answer = format!("done {id} by {}", self.name);
        let len = u16::try_from(answer.len()).unwrap_or(u16::MAX);
        let fin = self.state.draining.get();
        let flags = Flags { ack: true, fin, ..Flags::default() };
        let seq = open.seq.wrapping_add(1);
        let seg =
            Segment { src: flow.vip, dst: flow.caller, flags, seq, ack: open.expected_seq, len };
        open.seq = open.seq.wrapping_add(u32::from(len));
        let bytes = packet::encode(&seg, answer.as_bytes());
        open.last_response = Some(bytes.clone());
        let _ = self.sock.send_to(&bytes, self.outbound).await;
    }
}
