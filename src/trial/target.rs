//! Targets: accept flows, execute requests, bounce packets of flows that they do
//! not hold, and send heartbeats to the agent on the same VM.

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

/// Interval of a target's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Pause before a heartbeat that was not acknowledged is followed by the next.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);

/// Execution time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);

/// How long a draining target keeps serving before it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// State shared by a target's tasks.
#[derive(Debug, Default)]
struct SharedState {
    draining: Cell<bool>,
    acknowledged: Cell<bool>,
}

/// Handle of a running target.
pub struct Target {
    name: String,
    state: Rc<SharedState>,
    tasks: Vec<JoinHandle<()>>,
}

/// A flow from the target's side.
#[derive(Clone, Debug)]
struct TargetFlow {
    /// Next byte expected from the caller.
    expected_seq: u32,
    /// Sequence number of the last byte sent.
    seq: u32,
    /// Last response, repeated when its request is retransmitted.
    last_response: Option<Vec<u8>>,
}

impl Target {
    /// Starts a target of `service` at `app`. It sends its packets to `outbound`
    /// and its heartbeats to `reports`.
    pub async fn start(
        name: String,
        service: &'static str,
        app: SocketAddrV4,
        outbound: SocketAddrV4,
        reports: SocketAddrV4,
        report: Rc<RefCell<Report>>,
    ) -> anyhow::Result<Self> {
        let sock = UdpSocket::bind(app)
            .await
            .with_context(|| format!("trial: binding target {name} to UDP {app}"))?;
        // The agent connects to this port to check whether the target is alive.
        let port = TcpListener::bind(app)
            .await
            .with_context(|| format!("trial: binding target {name} to TCP {app}"))?;
        report.borrow_mut().flows_by_target.insert(name.clone(), 0);
        let state = Rc::new(SharedState::default());
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
        let heartbeats = send_heartbeats(id, service, app, reports, state.clone());
        let tasks = vec![
            tokio::task::spawn_local(server.serve()),
            tokio::task::spawn_local(heartbeats),
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = port.accept().await {
                    drop(stream);
                }
            }),
        ];
        Ok(Self { name, state, tasks })
    }

    /// Name of the target, unique in the trial.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether its agent has acknowledged a heartbeat.
    pub fn acknowledged(&self) -> bool {
        self.state.acknowledged.get()
    }

    /// Reports from now on that it is draining; it leaves after [`DRAIN_TIME`].
    pub fn drain(&self) {
        self.state.draining.set(true);
    }

    /// Ends the target at once.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
    }
}

/// Sends heartbeats until the target has drained, then deregisters it.
async fn send_heartbeats(
    id: String,
    service: &'static str,
    app: SocketAddrV4,
    reports: SocketAddrV4,
    state: Rc<SharedState>,
) {
    let client = ntex::client::Client::new().await;
    let mut drain_left = DRAIN_TIME;
    for seq in 1_u64.. {
        let draining = state.draining.get();
        let reported =
            if draining { tracker::TargetState::Draining } else { tracker::TargetState::Ready };
        let body = instances::heartbeat_json(service, app, reported, seq);
        let url = format!("http://{reports}{}{id}", instances::HEARTBEAT_PATH);
        let call = client.post(url).send_json(&body);
        let ok = matches!(
            tokio::time::timeout(Duration::from_secs(1), call).await,
            Ok(Ok(res)) if res.status().is_success()
        );
        let pause = if ok { HEARTBEAT_INTERVAL } else { HEARTBEAT_RETRY };
        state.acknowledged.set(state.acknowledged.get() || ok);
        if draining {
            drain_left = drain_left.saturating_sub(pause);
            if drain_left.is_zero() {
                let url = format!("http://{reports}{}{id}", instances::DEREGISTER_PATH);
                let _ = client.post(url).send().await;
                return;
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Serves a target's packets.
struct Server {
    name: String,
    service: &'static str,
    outbound: SocketAddrV4,
    sock: UdpSocket,
    state: Rc<SharedState>,
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
            let mut bounced = bytes.to_vec();
            packet::set_bounced(&mut bounced);
            let _ = self.sock.send_to(&bounced, self.outbound).await;
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

    /// Executes the request `text`, a service name and a request id, and sends the
    /// response.
    async fn execute(&mut self, flow: Flow, text: &str) {
        let (service, id) = text.split_once(' ').unwrap_or_default();
        {
            let mut report = self.report.borrow_mut();
            report.misrouted += u32::from(service != self.service);
            report.duplicated += u32::from(!self.executed.insert(id.to_string()));
        }
        let Some(open) = self.flows.get_mut(&flow) else { return };
        let response = format!("done {id} by {}", self.name);
        let len = u16::try_from(response.len()).unwrap_or(u16::MAX);
        let fin = self.state.draining.get();
        let flags = Flags { ack: true, fin, ..Flags::default() };
        let seq = open.seq.wrapping_add(1);
        let seg =
            Segment { src: flow.vip, dst: flow.caller, flags, seq, ack: open.expected_seq, len };
        open.seq = open.seq.wrapping_add(u32::from(len));
        let bytes = packet::encode(&seg, response.as_bytes());
        open.last_response = Some(bytes.clone());
        let _ = self.sock.send_to(&bytes, self.outbound).await;
    }
}
