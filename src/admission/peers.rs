//! Agents of the same service that lately had opens in their queues.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// How long an agent is believed to have a queue. A queue of a few requests empties in about
/// this time.
const BELIEVED_FOR: Duration = Duration::from_millis(300);

/// Most agents remembered.
const MAX_PEERS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Peer {
    addr: SocketAddrV4,
    queued: u32,
    told_at: Instant,
}

/// Shortest time between two requests for opens: what the first brings shows whether there is
/// room for more.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// What an agent knows of other agents' queues, from the opens that these passed on to it.
#[derive(Clone, Debug, Default)]
pub struct QueuedPeers {
    peers: Vec<Peer>,
    asked_at: Option<Instant>,
}

impl QueuedPeers {
    /// Records that the agent at `addr` has `queued` opens in its queue.
    pub fn record(&mut self, addr: SocketAddrV4, queued: u32, now: Instant) {
        self.peers.retain(|p| p.addr != addr && now.duration_since(p.told_at) < BELIEVED_FOR);
        if queued > 0 {
            if self.peers.len() >= MAX_PEERS {
                self.peers.remove(0);
            }
            self.peers.push(Peer { addr, queued, told_at: now });
        }
    }

    /// The agent with the longest known queue. It is asked once: it is forgotten until it is
    /// recorded again.
    pub fn take_longest(&mut self, now: Instant) -> Option<SocketAddrV4> {
        if self.asked_at.is_some_and(|at| now.duration_since(at) < ASK_INTERVAL) {
            return None;
        }
        self.peers.retain(|p| now.duration_since(p.told_at) < BELIEVED_FOR);
        let (n, _) = self.peers.iter().enumerate().max_by_key(|(_, p)| p.queued)?;
        self.asked_at = Some(now);
        Some(self.peers.remove(n).addr)
    }
}
