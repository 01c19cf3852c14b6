//! One flow inside an agent: the connection to the local target, caller bytes
//! put back in order, and the target's answers sent straight to the fabric.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;

use crate::events;
use crate::wire::{self, Answer, Kind, MAX_BODY, Owner, Packet, Reply};

/// How long the agent waits to connect to its own target.
const CONNECT: Duration = Duration::from_secs(1);

/// Most packets held out of order before the flow gives up.
const REORDER: usize = 1_024;

/// What a flow needs to run.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The flow's identifier.
    pub flow: u64,
    /// This agent's identity on the flow.
    pub owner: Owner,
    /// Where replies go.
    pub reply: SocketAddr,
    /// The local target.
    pub target: SocketAddr,
    /// Close after this long without traffic.
    pub idle: Duration,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target could not be reached: nothing ran.
    Unreachable,
    /// Both sides closed.
    Closed,
    /// No traffic for the idle time.
    Idle,
    /// The fabric reset the flow, or the agent stopped it.
    Reset,
}

/// Sends one reply, ignoring a full socket buffer (the fabric retransmits).
pub async fn send(sock: &UdpSocket, to: SocketAddr, flow: u64, owner: Owner, answer: Answer) {
    let reply = Reply { flow, owner, answer };
    if let Ok(bytes) = wire::encode(&reply) {
        let _ = sock.send_to(&bytes, to).await;
    }
}

thread_local! {
    /// One read buffer for every flow of the agent's thread: a flow holds no
    /// buffer of its own while it waits, which is most of its life.
    static READ: std::cell::RefCell<Vec<u8>> = std::cell::RefCell::new(vec![0; MAX_BODY]);
}

/// Reads what the target has sent so far: `Some(empty)` at its end,
/// `None` when nothing was ready after all.
fn read_now(rd: &tokio::net::tcp::OwnedReadHalf) -> Option<Vec<u8>> {
    READ.with_borrow_mut(|buf| match rd.try_read(buf) {
        Ok(n) => Some(buf[..n].to_vec()),
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => None,
        Err(_) => Some(Vec::new()),
    })
}

/// Runs the flow until it ends.
pub async fn run(sock: Rc<UdpSocket>, spec: Spec, mut rx: mpsc::UnboundedReceiver<Packet>) -> End {
    let stream = match tokio::time::timeout(CONNECT, TcpStream::connect(spec.target)).await {
        Ok(Ok(s)) => s,
        _ => return End::Unreachable,
    };
    let _ = stream.set_nodelay(true);
    send(&sock, spec.reply, spec.flow, spec.owner, Answer::Accept).await;
    let (rd, mut wr) = stream.into_split();
    let mut next = 1u32;
    let mut held: BTreeMap<u32, Packet> = BTreeMap::new();
    let mut out_seq = 0u32;
    let (mut closed_in, mut closed_out) = (false, false);
    loop {
        if closed_in && closed_out {
            return End::Closed;
        }
        tokio::select! {
            p = rx.recv() => {
                let Some(p) = p else { return End::Reset };
                match p.kind {
                    Kind::Open => {
                        send(&sock, spec.reply, spec.flow, spec.owner, Answer::Accept).await;
                        continue;
                    }
                    Kind::Reset => return End::Reset,
                    Kind::Data | Kind::Close => {}
                }
                if p.seq >= next && held.len() < REORDER {
                    held.insert(p.seq, p);
                }
                while let Some(p) = held.remove(&next) {
                    // Invariant: nothing follows the caller's close.
                    debug_assert!(!closed_in, "flow {:x}: data after close", spec.flow);
                    next += 1;
                    if p.kind == Kind::Close {
                        let _ = wr.shutdown().await;
                        closed_in = true;
                    } else if wr.write_all(&p.body).await.is_err() {
                        return End::Reset;
                    }
                }
                send(&sock, spec.reply, spec.flow, spec.owner, Answer::Ack { next }).await;
            }
            r = rd.readable(), if !closed_out => {
                let body = match r.map(|()| read_now(&rd)) {
                    Ok(Some(body)) => body,
                    Ok(None) => continue,
                    Err(_) => Vec::new(),
                };
                if body.is_empty() {
                    closed_out = true;
                    send(&sock, spec.reply, spec.flow, spec.owner, Answer::Close { seq: out_seq }).await;
                } else {
                    send(&sock, spec.reply, spec.flow, spec.owner, Answer::Data { seq: out_seq, body }).await;
                    out_seq += 1;
                }
            }
            () = tokio::time::sleep(spec.idle) => {
                log::info!("{} flow {:x} silent for {:?}, closed", events::AGENT_IDLE, spec.flow, spec.idle);
                return End::Idle;
            }
        }
    }
}
