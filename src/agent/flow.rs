//! One flow of an agent, relayed between the fabric and a TCP connection to the
//! local target. Caller data is reordered before it is written to the target;
//! response data is sent directly to the fabric and resent until acknowledged.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpStream, UdpSocket};

use super::mailbox::Mailbox;
use crate::events;
use crate::metrics::{self, Refusal, Retry};
use crate::stream::{ReorderBuffer, SendWindow};
use crate::wire::{self, MAX_BODY_BYTES, Owner, Packet, PacketKind, Reply, ReplyKind};

/// Time limit on connecting to the local target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an accepted flow waits for its first packet other than an open.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Identity, addresses and timeouts of one flow.
#[derive(Clone, Debug)]
pub struct FlowParams {
    /// The flow's identifier.
    pub flow_id: u64,
    /// The caller-facing port.
    pub port: u16,
    /// The agent's address and the flow's nonce, sent with every reply.
    pub owner: Owner,
    /// Address of the fabric that receives the replies.
    pub reply_to: SocketAddr,
    /// TCP address of the local target.
    pub target: SocketAddr,
    /// When packets are resent and when the flow is ended.
    pub timeouts: FlowTimeouts,
}

/// Timeouts of a flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowTimeouts {
    /// A flow with no traffic for this long is closed.
    pub idle: Duration,
    /// Initial retransmission timeout of accept, data and close replies.
    pub rto: Duration,
    /// A flow whose response data stays unacknowledged this long is ended.
    pub ack: Duration,
}

/// Why a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// The connection to the target failed; no caller data was delivered.
    Unreachable,
    /// Both sides closed and all response data was acknowledged.
    Closed,
    /// No traffic within the idle timeout.
    Idle,
    /// The fabric stopped acknowledging, or never confirmed the accept.
    AckTimeout,
    /// The fabric reset the flow.
    Reset,
}

/// Number of an agent's flows that wait for a response: data was written to the
/// target and none has been read since. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct WaitingFlows(Rc<Cell<u32>>);

impl WaitingFlows {
    /// Flows waiting at the moment.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.0.get()
    }
}

/// Counts one count in [`WaitingFlows`] while it waits, and no longer once dropped.
struct WaitingGuard {
    total: WaitingFlows,
    is_waiting: bool,
}

impl WaitingGuard {
    fn set_waiting(&mut self, waiting: bool) {
        if waiting != self.is_waiting {
            self.is_waiting = waiting;
            let n = self.total.0.get();
            self.total.0.set(if waiting { n + 1 } else { n - 1 });
        }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.set_waiting(false);
    }
}

/// Sends one reply. A failure to send is ignored, as the packet could also be
/// lost in the network.
pub async fn send_reply(sock: &UdpSocket, to: SocketAddr, reply: Reply) {
    if let Ok(bytes) = wire::encode(&reply) {
        let _ = sock.send_to(&bytes, to).await;
    }
}

impl FlowParams {
    /// Sends a reply of this flow to the fabric.
    pub async fn send_reply(&self, sock: &UdpSocket, kind: ReplyKind) {
        let reply = Reply { flow: self.flow_id, port: self.port, owner: self.owner, kind };
        send_reply(sock, self.reply_to, reply).await;
    }
}

thread_local! {
    /// Read buffer shared by all flows of the thread, so that an idle flow
    /// holds none.
    static READ_BUFFER: std::cell::RefCell<Vec<u8>> = std::cell::RefCell::new(vec![0; MAX_BODY_BYTES]);
}

/// Result of a non-blocking read from the target.
enum ReadOutcome {
    Data(Vec<u8>),
    /// End of the stream; `clean` is false after a read error.
    Closed {
        clean: bool,
    },
    WouldBlock,
}

fn try_read_target(reader: &OwnedReadHalf) -> ReadOutcome {
    READ_BUFFER.with_borrow_mut(|buf| match reader.try_read(buf) {
        Ok(0) => ReadOutcome::Closed { clean: true },
        Ok(n) => ReadOutcome::Data(buf[..n].to_vec()),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
        Err(_) => ReadOutcome::Closed { clean: false },
    })
}

/// Connects to the target and relays the flow until it ends. `inbox` receives
/// the flow's packets.
pub async fn run(
    sock: Rc<UdpSocket>,
    params: FlowParams,
    waiting: WaitingFlows,
    inbox: Mailbox<Packet>,
) -> FlowEnd {
    let connect = TcpStream::connect(params.target);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(s)) => s,
        _ => return FlowEnd::Unreachable,
    };
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let now = Instant::now();
    let flow = Flow {
        sock,
        reader,
        writer,
        inbox,
        received: ReorderBuffer::new(1),
        unacked: SendWindow::new(params.timeouts.rto, now),
        next_seq: 0,
        caller_closed: false,
        target_closed: false,
        confirmed: false,
        next_accept: now,
        accept_interval: params.timeouts.rto,
        opened_at: now,
        last_activity: now,
        waiting: WaitingGuard { total: waiting, is_waiting: false },
        params,
    };
    flow.relay().await
}

struct Flow {
    params: FlowParams,
    sock: Rc<UdpSocket>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    inbox: Mailbox<Packet>,
    received: ReorderBuffer<Packet>,
    unacked: SendWindow<ReplyKind>,
    /// Sequence number of the next response data.
    next_seq: u32,
    caller_closed: bool,
    target_closed: bool,
    /// Whether a packet other than an open has arrived since the accept.
    confirmed: bool,
    next_accept: Instant,
    /// Delay before the accept is resent; doubles each time.
    accept_interval: Duration,
    opened_at: Instant,
    last_activity: Instant,
    waiting: WaitingGuard,
}

impl Flow {
    async fn relay(mut self) -> FlowEnd {
        loop {
            if self.caller_closed && self.target_closed && self.unacked.is_empty() {
                return FlowEnd::Closed;
            }
            let deadline = tokio::time::Instant::from_std(self.next_deadline());
            tokio::select! {
                p = self.inbox.recv() => {
                    self.last_activity = Instant::now();
                    if p.kind == PacketKind::Reset {
                        return FlowEnd::Reset;
                    }
                    self.handle_packet(p).await;
                }
                r = self.reader.readable(), if !self.target_closed && !self.unacked.is_full() => {
                    let outcome = if r.is_ok() {
                        try_read_target(&self.reader)
                    } else {
                        ReadOutcome::Closed { clean: false }
                    };
                    self.handle_read(outcome).await;
                }
                () = tokio::time::sleep_until(deadline) => {
                    if let Some(end) = self.on_deadline().await {
                        return end;
                    }
                }
            }
        }
    }

    async fn send_reply(&self, kind: ReplyKind) {
        self.params.send_reply(&self.sock, kind).await;
    }

    async fn handle_packet(&mut self, p: Packet) {
        if p.kind == PacketKind::Open {
            self.send_reply(ReplyKind::Accept).await;
            return;
        }
        self.confirmed = true;
        self.unacked.ack(p.ack, Instant::now());
        if p.kind == PacketKind::Ack {
            return;
        }
        self.received.insert(p.seq, p);
        while let Some(p) = self.received.pop() {
            metrics::check_invariant(!self.caller_closed, "nothing_after_close", || {
                format!("flow {:x} seq {}", p.flow, p.seq)
            });
            self.write_to_target(&p).await;
        }
        self.send_reply(ReplyKind::Ack { next: self.received.next_seq() }).await;
    }

    async fn write_to_target(&mut self, p: &Packet) {
        if p.kind == PacketKind::Close {
            let _ = self.writer.shutdown().await;
            self.caller_closed = true;
        } else if self.writer.write_all(&p.body).await.is_ok() {
            self.waiting.set_waiting(true);
        }
        // A write error does not end the flow: the target may have closed its
        // receiving side and still have response data to send.
    }

    /// Sends data read from the target, or its close, to the fabric.
    async fn handle_read(&mut self, outcome: ReadOutcome) {
        let seq = self.next_seq;
        let reply = match outcome {
            ReadOutcome::WouldBlock => return,
            ReadOutcome::Data(body) => {
                self.next_seq += 1;
                ReplyKind::Data { seq, body }
            }
            ReadOutcome::Closed { clean } => {
                self.target_closed = true;
                ReplyKind::Close { seq, clean }
            }
        };
        self.last_activity = Instant::now();
        self.waiting.set_waiting(false);
        self.unacked.push(seq, reply.clone(), self.last_activity);
        self.send_reply(reply).await;
    }

    fn next_deadline(&self) -> Instant {
        let idle = self.last_activity + self.params.timeouts.idle;
        let mut at = self.unacked.next_resend().map_or(idle, |due| due.min(idle));
        if !self.confirmed {
            at = at.min(self.next_accept);
        }
        at
    }

    /// Resends what is due, or returns why the flow ends.
    async fn on_deadline(&mut self) -> Option<FlowEnd> {
        let now = Instant::now();
        let timeouts = self.params.timeouts;
        if now.duration_since(self.last_activity) >= timeouts.idle {
            log::info!(
                "{} flow {:x} closed: no traffic for {:?}",
                events::AGENT_IDLE_TIMEOUT,
                self.params.flow_id,
                timeouts.idle
            );
            return Some(FlowEnd::Idle);
        }
        let unconfirmed = !self.confirmed && now.duration_since(self.opened_at) >= CONFIRM_TIMEOUT;
        if unconfirmed || self.unacked.stalled_for(now) >= timeouts.ack {
            log::info!(
                "{} flow {:x} closed: the fabric acknowledged nothing in time",
                events::AGENT_ACK_TIMEOUT,
                self.params.flow_id
            );
            metrics::count_refusal(Refusal::AckTimeout);
            return Some(FlowEnd::AckTimeout);
        }
        if !self.confirmed && now >= self.next_accept {
            if self.next_accept > self.opened_at {
                metrics::count_retry(Retry::AcceptTimeout);
            }
            self.send_reply(ReplyKind::Accept).await;
            self.next_accept = now + self.accept_interval;
            self.accept_interval *= 2;
        }
        let due: Vec<ReplyKind> = self.unacked.resend(now).cloned().collect();
        for reply in due {
            metrics::count_retry(Retry::AnswerTimeout);
            self.send_reply(reply).await;
        }
        None
    }
}
