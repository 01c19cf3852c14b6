//! Sending packets over the balancers in rotation, with the injected faults.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::admin::{Faults, ProcessState};
use crate::metrics;
use crate::wire::{self, Owner, Packet, PacketKind};

/// Longest delay of a packet that [`Faults::delayed_permille`] picks, in milliseconds.
const DELAY_MS: u64 = 40;

/// What the faults make of one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It never arrives.
    Lost,
    /// It arrives this often, each after its own delay.
    Arrives(u32),
}

/// The sprayer: one socket, the balancers in rotation and the faults.
#[derive(Clone)]
pub struct Spray {
    sock: Rc<UdpSocket>,
    live: Rc<RefCell<Vec<SocketAddr>>>,
    muted: Rc<RefCell<HashSet<u64>>>,
    board: ProcessState,
}

impl Spray {
    /// A sprayer over `balancers` whose faults are set on `board`.
    pub fn new(sock: UdpSocket, balancers: Vec<SocketAddr>, board: ProcessState) -> Self {
        Self {
            sock: Rc::new(sock),
            live: Rc::new(RefCell::new(balancers)),
            muted: Rc::default(),
            board,
        }
    }

    /// The socket replies come in on.
    pub fn sock(&self) -> &UdpSocket {
        &self.sock
    }

    /// Puts these balancers in rotation.
    pub fn rotate(&self, live: Vec<SocketAddr>) {
        *self.live.borrow_mut() = live;
    }

    /// Makes these flows, and no others, silent for good.
    pub fn mute(&self, flows: HashSet<u64>) {
        *self.muted.borrow_mut() = flows;
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.board.faults()
    }

    /// Sends one packet through a balancer picked at random.
    pub async fn send(&self, p: &Packet) {
        metrics::check_invariant(
            p.kind == PacketKind::Open || p.owner != Owner::NONE,
            "owner_named",
            || format!("flow {:x} {:?}", p.flow, p.kind),
        );
        let Ok(bytes) = wire::encode(p) else { return };
        if let Outcome::Arrives(copies) = self.outcome(p.flow) {
            for _ in 0..copies {
                self.one(&bytes).await;
            }
        }
    }

    /// What the faults make of a packet of `flow`, in either direction.
    pub fn outcome(&self, flow: u64) -> Outcome {
        let f = self.board.faults();
        if self.muted.borrow().contains(&flow) || hit(f.lost_permille) {
            return Outcome::Lost;
        }
        Outcome::Arrives(if hit(f.duplicated_permille) { 2 } else { 1 })
    }

    /// How long a packet is held up, if the faults delay it.
    pub fn held_up(&self) -> Option<Duration> {
        let late = hit(self.board.faults().delayed_permille);
        late.then(|| Duration::from_millis(rand::random_range(1..=DELAY_MS)))
    }

    async fn one(&self, bytes: &[u8]) {
        let Some(to) = self.pick() else { return };
        if let Some(delay) = self.held_up() {
            let (sock, bytes) = (self.sock.clone(), bytes.to_vec());
            // A datagram on its way: nobody waits for it, and it ends by
            // itself within `DELAY_MS`.
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = sock.send_to(&bytes, to).await;
            });
        } else {
            let _ = self.sock.send_to(bytes, to).await;
        }
    }

    fn pick(&self) -> Option<SocketAddr> {
        let live = self.live.borrow();
        (!live.is_empty()).then(|| live[rand::random_range(0..live.len())])
    }
}

/// Whether a chance of `permille` strikes.
fn hit(permille: u32) -> bool {
    permille > 0 && rand::random_range(0..1_000) < permille
}
