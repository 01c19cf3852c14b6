//! Relays one caller's TCP connection as a flow of packets, with the reliability
//! that the caller's TCP stack would provide: open, retransmission, reordering,
//! close and reset.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::FlowContext;
use crate::events;
use crate::metrics::{self, Refusal, Retry};
use crate::refusal;
use crate::stream::{ReorderBuffer, SendWindow};
use crate::wire::{MAX_BODY_BYTES, Owner, Packet, PacketKind, Reply, ReplyKind};

/// How long a flow whose target has closed waits for the caller's last packets to be
/// acknowledged.
const CLOSE_LINGER: Duration = Duration::from_secs(1);

/// How long a refused caller's data is read and discarded: unread data at the close
/// would make the kernel send a reset, which can overtake the refusal.
const REFUSAL_DRAIN: Duration = Duration::from_millis(500);

/// A segment of the target's response.
enum Segment {
    Data(Vec<u8>),
    End { clean: bool },
}

/// Result of opening a flow.
enum OpenResult {
    Accepted(Owner),
    /// Refused, with the HTTP response for the caller.
    Refused(Vec<u8>),
    TimedOut,
}

/// Relays one caller's connection until it ends.
pub async fn run(
    caller: TcpStream,
    ctx: &FlowContext,
    mut replies: mpsc::UnboundedReceiver<Reply>,
) {
    let mut early_replies = VecDeque::new();
    match open(ctx, &mut replies, &mut early_replies).await {
        OpenResult::Accepted(owner) => {
            let (read_half, write_half) = caller.into_split();
            Flow::new(ctx, owner, write_half).run(read_half, replies, early_replies).await;
        }
        OpenResult::Refused(body) => refuse(caller, &body).await,
        OpenResult::TimedOut => {
            metrics::count_refusal(Refusal::OpenTimeout);
            log::warn!(
                "{} flow {:x} on port {}: no agent accepted it; refusing the caller",
                events::FABRIC_OPEN_TIMEOUT,
                ctx.flow,
                ctx.port
            );
            refuse(caller, &refusal::response(Refusal::OpenTimeout)).await;
        }
    }
}

/// Sends the caller a final response and closes the connection.
async fn refuse(mut caller: TcpStream, response: &[u8]) {
    let _ = caller.write_all(response).await;
    let _ = caller.shutdown().await;
    let mut discarded = [0u8; 1_024];
    let deadline = tokio::time::Instant::now() + REFUSAL_DRAIN;
    while let Ok(Ok(n)) = tokio::time::timeout_at(deadline, caller.read(&mut discarded)).await {
        if n == 0 {
            return;
        }
    }
}

/// Sends opens until an agent accepts or refuses the flow. Other replies that arrive
/// meanwhile are appended to `early_replies`.
async fn open(
    ctx: &FlowContext,
    replies: &mut mpsc::UnboundedReceiver<Reply>,
    early_replies: &mut VecDeque<Reply>,
) -> OpenResult {
    let deadline = Instant::now() + ctx.timeouts.open;
    let mut packet = ctx.packet(PacketKind::Open, Owner::NONE);
    while Instant::now() < deadline {
        ctx.sprayer.send(&packet).await;
        let resend_at = tokio::time::Instant::now() + ctx.timeouts.rto;
        loop {
            match tokio::time::timeout_at(resend_at, replies.recv()).await {
                Ok(Some(reply)) => match reply.kind {
                    ReplyKind::Accept => return OpenResult::Accepted(reply.owner),
                    ReplyKind::Refuse { body } => return OpenResult::Refused(body),
                    _ => early_replies.push_back(reply),
                },
                Ok(None) => return OpenResult::TimedOut,
                Err(_) => break,
            }
        }
        metrics::count_retry(Retry::OpenTimeout);
        packet.seq += 1;
    }
    OpenResult::TimedOut
}

/// Why a flow ended.
enum EndReason {
    /// The target has closed, or reset the flow after its whole response.
    Closed,
    /// The caller's connection failed: the agent gets a reset, which frees the flow.
    CallerDisconnected,
    /// The agent lost the flow or stopped acknowledging: the caller gets a reset.
    AgentFailed,
}

struct Flow<'a> {
    ctx: &'a FlowContext,
    owner: Owner,
    write_half: OwnedWriteHalf,
    unacked: SendWindow<Packet>,
    next_seq: u32,
    response: ReorderBuffer<Segment>,
    caller_closed: bool,
    target_closed_at: Option<Instant>,
}

impl<'a> Flow<'a> {
    fn new(ctx: &'a FlowContext, owner: Owner, write_half: OwnedWriteHalf) -> Self {
        Self {
            ctx,
            owner,
            write_half,
            unacked: SendWindow::new(ctx.timeouts.rto, Instant::now()),
            next_seq: 1,
            response: ReorderBuffer::new(0),
            caller_closed: false,
            target_closed_at: None,
        }
    }

    async fn run(
        mut self,
        read_half: OwnedReadHalf,
        mut replies: mpsc::UnboundedReceiver<Reply>,
        mut early_replies: VecDeque<Reply>,
    ) {
        self.send_ack().await;
        let reason = loop {
            if let Some(reply) = early_replies.pop_front() {
                if let Some(reason) = self.handle_reply(reply).await {
                    break reason;
                }
                continue;
            }
            if self.is_finished() {
                break EndReason::Closed;
            }
            let timer = tokio::time::Instant::from_std(self.next_timer());
            tokio::select! {
                reply = replies.recv() => {
                    let Some(reply) = reply else { break EndReason::CallerDisconnected };
                    if let Some(reason) = self.handle_reply(reply).await {
                        break reason;
                    }
                    if replies.is_empty() {
                        self.send_ack().await;
                    }
                }
                ready = read_half.readable(), if !self.caller_closed && !self.unacked.is_full() => {
                    if ready.is_err() {
                        break EndReason::CallerDisconnected;
                    }
                    if let Some(reason) = self.forward_caller_data(&read_half).await {
                        break reason;
                    }
                }
                () = tokio::time::sleep_until(timer) => {
                    if let Some(reason) = self.on_timer().await {
                        break reason;
                    }
                }
            }
        };
        self.end(reason, read_half).await;
    }

    async fn end(self, reason: EndReason, read_half: OwnedReadHalf) {
        match reason {
            EndReason::Closed if self.caller_closed && self.unacked.is_empty() => {}
            // The agent has not seen the caller's close: a reset frees the flow.
            EndReason::Closed | EndReason::CallerDisconnected => {
                self.ctx.sprayer.send(&self.ctx.packet(PacketKind::Reset, self.owner)).await;
            }
            EndReason::AgentFailed => {
                self.ctx.sprayer.send(&self.ctx.packet(PacketKind::Reset, self.owner)).await;
                if let Ok(caller) = read_half.reunite(self.write_half) {
                    let _ = caller.set_zero_linger();
                }
            }
        }
    }

    /// Whether the target has closed and the caller's packets are acknowledged, or
    /// [`CLOSE_LINGER`] has passed.
    fn is_finished(&self) -> bool {
        self.target_closed_at
            .is_some_and(|at| self.unacked.is_empty() || at.elapsed() >= CLOSE_LINGER)
    }

    fn next_timer(&self) -> Instant {
        let idle_timer = Instant::now() + self.ctx.timeouts.ack;
        let timer = self.unacked.next_resend().unwrap_or(idle_timer);
        self.target_closed_at.map_or(timer, |at| timer.min(at + CLOSE_LINGER))
    }

    async fn on_timer(&mut self) -> Option<EndReason> {
        let now = Instant::now();
        if self.unacked.stalled_for(now) >= self.ctx.timeouts.ack {
            log::warn!(
                "{} flow {:x}: agent acknowledges nothing; resetting the caller",
                events::FABRIC_ACK_TIMEOUT,
                self.ctx.flow
            );
            metrics::count_refusal(Refusal::AckTimeout);
            return Some(EndReason::AgentFailed);
        }
        let due: Vec<Packet> = self.unacked.resend(now).cloned().collect();
        for mut packet in due {
            metrics::count_retry(Retry::PacketTimeout);
            packet.ack = self.response.next_seq();
            self.ctx.sprayer.send(&packet).await;
        }
        None
    }

    /// Reads once from the caller and sends the data, or a close at its end.
    async fn forward_caller_data(&mut self, read_half: &OwnedReadHalf) -> Option<EndReason> {
        let mut packet = self.ctx.packet(PacketKind::Data, self.owner);
        packet.body = vec![0; MAX_BODY_BYTES];
        match read_half.try_read(&mut packet.body) {
            Ok(0) => {
                packet.kind = PacketKind::Close;
                packet.body = Vec::new();
                self.caller_closed = true;
            }
            Ok(n) => packet.body.truncate(n),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
            Err(_) => return Some(EndReason::CallerDisconnected),
        }
        packet.seq = self.next_seq;
        packet.ack = self.response.next_seq();
        packet.body.shrink_to_fit();
        self.next_seq += 1;
        self.ctx.sprayer.send(&packet).await;
        self.unacked.push(packet.seq, packet, Instant::now());
        None
    }

    /// Acknowledges the part of the response received so far.
    async fn send_ack(&self) {
        let mut packet = self.ctx.packet(PacketKind::Ack, self.owner);
        packet.ack = self.response.next_seq();
        self.ctx.sprayer.send(&packet).await;
    }

    async fn handle_reply(&mut self, reply: Reply) -> Option<EndReason> {
        if reply.owner != self.owner {
            if reply.kind == ReplyKind::Accept {
                // A resent open was accepted by a second agent as well: free it there.
                self.ctx.sprayer.send(&self.ctx.packet(PacketKind::Reset, reply.owner)).await;
            }
            return None;
        }
        match reply.kind {
            ReplyKind::Accept | ReplyKind::Refuse { .. } => {}
            ReplyKind::Ack { next } => self.unacked.ack(next, Instant::now()),
            ReplyKind::Data { seq, body } => self.response.insert(seq, Segment::Data(body)),
            ReplyKind::Close { seq, clean } => self.response.insert(seq, Segment::End { clean }),
            // The response is complete and the agent has freed the flow.
            ReplyKind::Reset if self.target_closed_at.is_some() => return Some(EndReason::Closed),
            ReplyKind::Reset => return Some(EndReason::AgentFailed),
        }
        while let Some(segment) = self.response.pop() {
            match segment {
                Segment::Data(body) => {
                    if self.write_half.write_all(&body).await.is_err() {
                        return Some(EndReason::CallerDisconnected);
                    }
                }
                Segment::End { clean: false } => return Some(EndReason::AgentFailed),
                Segment::End { clean: true } => {
                    let _ = self.write_half.shutdown().await;
                    self.target_closed_at = Some(Instant::now());
                }
            }
        }
        None
    }
}
