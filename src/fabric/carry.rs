//! One caller's connection as a flow of packets: what the caller's own TCP
//! stack would do.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::Link;
use crate::events;
use crate::metrics::{self, Refusal, Retry};
use crate::refusal;
use crate::stream::{ReorderBuffer, SendWindow};
use crate::wire::{MAX_BODY_BYTES, Owner, Packet, PacketKind, Reply, ReplyKind};

/// How long a flow lingers after the target closed, for the caller's last
/// packets to be acknowledged.
const LINGER: Duration = Duration::from_secs(1);

/// How long a refused caller's last bytes are read and thrown away, so that
/// the close does not overtake the refusal.
const DRAIN: Duration = Duration::from_millis(500);

/// A piece of the answer, in order.
enum Piece {
    Bytes(Vec<u8>),
    End { clean: bool },
}

/// How the try to open a flow ended.
enum Opened {
    Owner(Owner),
    Refused(Vec<u8>),
    Nobody,
}

/// Carries one caller's connection until it ends.
pub async fn run(caller: TcpStream, link: &Link, mut rx: mpsc::UnboundedReceiver<Reply>) {
    let mut early = VecDeque::new();
    match open(link, &mut rx, &mut early).await {
        Opened::Owner(owner) => {
            let (rd, wr) = caller.into_split();
            Flow::new(link, owner, wr).serve(rd, rx, early).await;
        }
        Opened::Refused(body) => refuse(caller, &body).await,
        Opened::Nobody => {
            metrics::count_refusal(Refusal::OpenTimeout);
            log::warn!(
                "{} flow {:x} on port {}: no agent accepted it",
                events::FABRIC_OPEN_TIMEOUT,
                link.flow,
                link.port
            );
            refuse(caller, &refusal::response(Refusal::OpenTimeout)).await;
        }
    }
}

/// Gives the caller its final answer at once.
async fn refuse(mut caller: TcpStream, body: &[u8]) {
    let _ = caller.write_all(body).await;
    let _ = caller.shutdown().await;
    let mut sink = [0u8; 1_024];
    let end = tokio::time::Instant::now() + DRAIN;
    while let Ok(Ok(n)) = tokio::time::timeout_at(end, caller.read(&mut sink)).await {
        if n == 0 {
            return;
        }
    }
}

/// Asks for the flow until an agent takes or refuses it.
async fn open(
    link: &Link,
    rx: &mut mpsc::UnboundedReceiver<Reply>,
    early: &mut VecDeque<Reply>,
) -> Opened {
    let deadline = Instant::now() + link.timers.open;
    let mut p = link.packet(PacketKind::Open, Owner::NONE);
    while Instant::now() < deadline {
        link.spray.send(&p).await;
        let until = tokio::time::Instant::now() + link.timers.rto;
        loop {
            match tokio::time::timeout_at(until, rx.recv()).await {
                Ok(Some(r)) => match r.kind {
                    ReplyKind::Accept => return Opened::Owner(r.owner),
                    ReplyKind::Refuse { body } => return Opened::Refused(body),
                    _ => early.push_back(r),
                },
                Ok(None) => return Opened::Nobody,
                Err(_) => break,
            }
        }
        metrics::count_retry(Retry::OpenTimeout);
        p.seq += 1;
    }
    Opened::Nobody
}

/// Why a flow is over.
enum Over {
    /// Both sides are done.
    Done,
    /// The caller left: the agent is told to free the flow.
    CallerGone,
    /// The agent lost the flow or went silent: the caller sees a reset.
    AgentGone,
}

struct Flow<'a> {
    link: &'a Link,
    owner: Owner,
    wr: OwnedWriteHalf,
    sent: SendWindow<Packet>,
    seq: u32,
    answers: ReorderBuffer<Piece>,
    caller_done: bool,
    closed_at: Option<Instant>,
}

impl<'a> Flow<'a> {
    fn new(link: &'a Link, owner: Owner, wr: OwnedWriteHalf) -> Self {
        Self {
            link,
            owner,
            wr,
            sent: SendWindow::new(link.timers.rto, Instant::now()),
            seq: 1,
            answers: ReorderBuffer::new(0),
            caller_done: false,
            closed_at: None,
        }
    }

    async fn serve(
        mut self,
        rd: OwnedReadHalf,
        mut rx: mpsc::UnboundedReceiver<Reply>,
        mut early: VecDeque<Reply>,
    ) {
        self.acknowledge().await;
        let over = loop {
            if let Some(r) = early.pop_front() {
                if let Some(over) = self.take(r).await {
                    break over;
                }
                continue;
            }
            if self.finished() {
                break Over::Done;
            }
            let timer = tokio::time::Instant::from_std(self.next_timer());
            tokio::select! {
                r = rx.recv() => {
                    let Some(r) = r else { break Over::CallerGone };
                    if let Some(over) = self.take(r).await {
                        break over;
                    }
                    if rx.is_empty() {
                        self.acknowledge().await;
                    }
                }
                r = rd.readable(), if !self.caller_done && !self.sent.is_full() => {
                    if r.is_err() {
                        break Over::CallerGone;
                    }
                    if let Some(over) = self.read(&rd).await {
                        break over;
                    }
                }
                () = tokio::time::sleep_until(timer) => {
                    if let Some(over) = self.on_timer().await {
                        break over;
                    }
                }
            }
        };
        self.end(over, rd).await;
    }

    async fn end(self, over: Over, rd: OwnedReadHalf) {
        match over {
            Over::Done if self.caller_done && self.sent.is_empty() => {}
            // The agent never saw the caller finish: let it free the flow.
            Over::Done | Over::CallerGone => {
                self.link.spray.send(&self.link.packet(PacketKind::Reset, self.owner)).await;
            }
            Over::AgentGone => {
                self.link.spray.send(&self.link.packet(PacketKind::Reset, self.owner)).await;
                if let Ok(caller) = rd.reunite(self.wr) {
                    let _ = caller.set_zero_linger();
                }
            }
        }
    }

    fn finished(&self) -> bool {
        self.closed_at.is_some_and(|at| self.sent.is_empty() || at.elapsed() >= LINGER)
    }

    fn next_timer(&self) -> Instant {
        let far = Instant::now() + self.link.timers.give_up;
        let due = self.sent.next_resend().unwrap_or(far);
        self.closed_at.map_or(due, |at| due.min(at + LINGER))
    }

    async fn on_timer(&mut self) -> Option<Over> {
        let now = Instant::now();
        if self.sent.stalled_for(now) >= self.link.timers.give_up {
            log::warn!("{} flow {:x}: agent silent", events::FABRIC_ACK_TIMEOUT, self.link.flow);
            metrics::count_refusal(Refusal::Silent);
            return Some(Over::AgentGone);
        }
        let again: Vec<Packet> = self.sent.resend(now).cloned().collect();
        for mut p in again {
            metrics::count_retry(Retry::PacketTimeout);
            p.ack = self.answers.next_seq();
            self.link.spray.send(&p).await;
        }
        None
    }

    /// Sends on what the caller wrote.
    async fn read(&mut self, rd: &OwnedReadHalf) -> Option<Over> {
        let mut p = self.link.packet(PacketKind::Data, self.owner);
        p.body = vec![0; MAX_BODY_BYTES];
        match rd.try_read(&mut p.body) {
            Ok(0) => {
                p.kind = PacketKind::Close;
                p.body = Vec::new();
                self.caller_done = true;
            }
            Ok(n) => p.body.truncate(n),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
            Err(_) => return Some(Over::CallerGone),
        }
        p.seq = self.seq;
        p.ack = self.answers.next_seq();
        p.body.shrink_to_fit();
        self.seq += 1;
        self.link.spray.send(&p).await;
        self.sent.push(p.seq, p, Instant::now());
        None
    }

    /// Tells the agent how much of its answer has arrived.
    async fn acknowledge(&self) {
        let mut p = self.link.packet(PacketKind::Ack, self.owner);
        p.ack = self.answers.next_seq();
        self.link.spray.send(&p).await;
    }

    /// Takes one reply.
    async fn take(&mut self, r: Reply) -> Option<Over> {
        if r.owner != self.owner {
            if r.kind == ReplyKind::Accept {
                // A second agent accepted a resent open: tell it to let go.
                self.link.spray.send(&self.link.packet(PacketKind::Reset, r.owner)).await;
            }
            return None;
        }
        match r.kind {
            ReplyKind::Accept | ReplyKind::Refuse { .. } => {}
            ReplyKind::Ack { next } => self.sent.ack(next, Instant::now()),
            ReplyKind::Data { seq, body } => self.answers.insert(seq, Piece::Bytes(body)),
            ReplyKind::Close { seq, clean } => self.answers.insert(seq, Piece::End { clean }),
            // After the whole answer, a reset only says that the agent is
            // done with the flow.
            ReplyKind::Reset if self.closed_at.is_some() => return Some(Over::Done),
            ReplyKind::Reset => return Some(Over::AgentGone),
        }
        while let Some(piece) = self.answers.pop() {
            match piece {
                Piece::Bytes(body) => {
                    if self.wr.write_all(&body).await.is_err() {
                        return Some(Over::CallerGone);
                    }
                }
                Piece::End { clean: false } => return Some(Over::AgentGone),
                Piece::End { clean: true } => {
                    let _ = self.wr.shutdown().await;
                    self.closed_at = Some(Instant::now());
                }
            }
        }
        None
    }
}
