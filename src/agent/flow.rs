//! One flow inside an agent: the connection to the local target, caller bytes
//! put back in order, and the target's answers sent straight to the fabric
//! until they are acknowledged.

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

/// How long the agent waits to connect to its own target.
const CONNECT: Duration = Duration::from_secs(1);

/// How long an accepted flow may stay unconfirmed by the caller's side.
const CONFIRM: Duration = Duration::from_secs(5);

/// What a flow needs to run.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The flow's identifier.
    pub flow: u64,
    /// The caller-facing port.
    pub port: u16,
    /// This agent's identity on the flow.
    pub owner: Owner,
    /// Where replies go.
    pub reply: SocketAddr,
    /// The local target.
    pub target: SocketAddr,
    /// The flow's timers.
    pub timers: Timers,
}

/// How long a flow waits for what.
#[derive(Clone, Copy, Debug)]
pub struct Timers {
    /// Close after this long without traffic.
    pub idle: Duration,
    /// Send unacknowledged answers again after this long.
    pub rto: Duration,
    /// Give up when nothing was acknowledged for this long.
    pub give_up: Duration,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target could not be reached: nothing ran.
    Unreachable,
    /// Both sides closed and every answer was acknowledged.
    Closed,
    /// No traffic for the idle time.
    Idle,
    /// The caller's side acknowledged nothing for too long.
    Silent,
    /// The fabric reset the flow, or the agent stopped it.
    Reset,
}

/// Counts the flows of an agent that wait for their target's answer: bytes
/// went in and none came out since.
#[derive(Clone, Debug, Default)]
pub struct Waiting(Rc<Cell<u32>>);

impl Waiting {
    /// How many flows wait.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.0.get()
    }
}

/// One flow's part in [`Waiting`].
struct Wait {
    all: Waiting,
    on: bool,
}

impl Wait {
    fn set(&mut self, on: bool) {
        if on != self.on {
            self.on = on;
            let n = self.all.0.get();
            self.all.0.set(if on { n + 1 } else { n - 1 });
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.set(false);
    }
}

/// Sends one reply; one lost here is sent again like any other.
pub async fn send(sock: &UdpSocket, to: SocketAddr, reply: Reply) {
    if let Ok(bytes) = wire::encode(&reply) {
        let _ = sock.send_to(&bytes, to).await;
    }
}

impl Spec {
    /// Sends `answer` to the flow's caller side.
    pub async fn send(&self, sock: &UdpSocket, answer: ReplyKind) {
        let (flow, port, owner) = (self.flow, self.port, self.owner);
        send(sock, self.reply, Reply { flow, port, owner, kind: answer }).await;
    }
}

thread_local! {
    /// One read buffer for every flow of the agent's thread: a flow holds no
    /// buffer of its own while it waits, which is most of its life.
    static READ: std::cell::RefCell<Vec<u8>> = std::cell::RefCell::new(vec![0; MAX_BODY_BYTES]);
}

/// What the target's connection had to say.
enum Heard {
    Bytes(Vec<u8>),
    End { clean: bool },
    Nothing,
}

fn read_now(rd: &OwnedReadHalf) -> Heard {
    READ.with_borrow_mut(|buf| match rd.try_read(buf) {
        Ok(0) => Heard::End { clean: true },
        Ok(n) => Heard::Bytes(buf[..n].to_vec()),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Heard::Nothing,
        Err(_) => Heard::End { clean: false },
    })
}

/// Runs the flow until it ends.
pub async fn run(sock: Rc<UdpSocket>, spec: Spec, waiting: Waiting, rx: Mailbox<Packet>) -> End {
    let stream = match tokio::time::timeout(CONNECT, TcpStream::connect(spec.target)).await {
        Ok(Ok(s)) => s,
        _ => return End::Unreachable,
    };
    let _ = stream.set_nodelay(true);
    let (rd, wr) = stream.into_split();
    let now = Instant::now();
    let flow = Flow {
        sock,
        rd,
        wr,
        rx,
        caller: ReorderBuffer::new(1),
        answers: SendWindow::new(spec.timers.rto, now),
        answered: 0,
        caller_done: false,
        target_done: false,
        confirmed: false,
        accept_at: now,
        accept_wait: spec.timers.rto,
        opened: now,
        heard: now,
        wait: Wait { all: waiting, on: false },
        spec,
    };
    flow.serve().await
}

struct Flow {
    spec: Spec,
    sock: Rc<UdpSocket>,
    rd: OwnedReadHalf,
    wr: OwnedWriteHalf,
    rx: Mailbox<Packet>,
    caller: ReorderBuffer<Packet>,
    answers: SendWindow<ReplyKind>,
    answered: u32,
    caller_done: bool,
    target_done: bool,
    confirmed: bool,
    accept_at: Instant,
    accept_wait: Duration,
    opened: Instant,
    heard: Instant,
    wait: Wait,
}

impl Flow {
    async fn serve(mut self) -> End {
        loop {
            if self.caller_done && self.target_done && self.answers.is_empty() {
                return End::Closed;
            }
            let timer = tokio::time::Instant::from_std(self.next_timer());
            tokio::select! {
                p = self.rx.recv() => {
                    self.heard = Instant::now();
                    if p.kind == PacketKind::Reset {
                        return End::Reset;
                    }
                    self.take(p).await;
                }
                r = self.rd.readable(), if !self.target_done && !self.answers.is_full() => {
                    let heard = if r.is_ok() {
                        read_now(&self.rd)
                    } else {
                        Heard::End { clean: false }
                    };
                    self.answer(heard).await;
                }
                () = tokio::time::sleep_until(timer) => {
                    if let Some(end) = self.on_timer().await {
                        return end;
                    }
                }
            }
        }
    }

    async fn send(&self, answer: ReplyKind) {
        self.spec.send(&self.sock, answer).await;
    }

    /// Takes one packet of the caller's side.
    async fn take(&mut self, p: Packet) {
        if p.kind == PacketKind::Open {
            self.send(ReplyKind::Accept).await;
            return;
        }
        self.confirmed = true;
        self.answers.ack(p.ack, Instant::now());
        if p.kind == PacketKind::Ack {
            return;
        }
        self.caller.insert(p.seq, p);
        while let Some(p) = self.caller.pop() {
            metrics::check_invariant(!self.caller_done, "nothing_after_close", || {
                format!("flow {:x} seq {}", p.flow, p.seq)
            });
            self.deliver(&p).await;
        }
        self.send(ReplyKind::Ack { next: self.caller.next_seq() }).await;
    }

    /// Hands one piece, in order, to the target.
    async fn deliver(&mut self, p: &Packet) {
        if p.kind == PacketKind::Close {
            let _ = self.wr.shutdown().await;
            self.caller_done = true;
        } else if self.wr.write_all(&p.body).await.is_ok() {
            self.wait.set(true);
        }
        // A target that has closed takes no more; its answer still goes out.
    }

    /// Sends on what the target said.
    async fn answer(&mut self, heard: Heard) {
        let seq = self.answered;
        let answer = match heard {
            Heard::Nothing => return,
            Heard::Bytes(body) => {
                self.answered += 1;
                ReplyKind::Data { seq, body }
            }
            Heard::End { clean } => {
                self.target_done = true;
                ReplyKind::Close { seq, clean }
            }
        };
        self.heard = Instant::now();
        self.wait.set(false);
        self.answers.push(seq, answer.clone(), self.heard);
        self.send(answer).await;
    }

    fn next_timer(&self) -> Instant {
        let idle = self.heard + self.spec.timers.idle;
        let mut at = self.answers.next_resend().map_or(idle, |due| due.min(idle));
        if !self.confirmed {
            at = at.min(self.accept_at);
        }
        at
    }

    async fn on_timer(&mut self) -> Option<End> {
        let now = Instant::now();
        let timers = self.spec.timers;
        if now.duration_since(self.heard) >= timers.idle {
            log::info!(
                "{} flow {:x} silent for {:?}, closed",
                events::AGENT_IDLE_TIMEOUT,
                self.spec.flow,
                timers.idle
            );
            return Some(End::Idle);
        }
        let unconfirmed = !self.confirmed && now.duration_since(self.opened) >= CONFIRM;
        if unconfirmed || self.answers.stalled_for(now) >= timers.give_up {
            log::info!("{} flow {:x}: caller silent", events::AGENT_ACK_TIMEOUT, self.spec.flow);
            metrics::count_refusal(Refusal::Silent);
            return Some(End::Silent);
        }
        if !self.confirmed && now >= self.accept_at {
            if self.accept_at > self.opened {
                metrics::count_retry(Retry::AcceptTimeout);
            }
            self.send(ReplyKind::Accept).await;
            self.accept_at = now + self.accept_wait;
            self.accept_wait *= 2;
        }
        let again: Vec<ReplyKind> = self.answers.resend(now).cloned().collect();
        for answer in again {
            metrics::count_retry(Retry::AnswerTimeout);
            self.send(answer).await;
        }
        None
    }
}
