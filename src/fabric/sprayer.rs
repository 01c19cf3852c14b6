//! Packet spraying: sends each packet to a random balancer in rotation, and
//! applies the injected faults (loss, duplication, delay, muted flows).

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::admin::{Faults, ProcessState};
use crate::metrics;
use crate::wire::{self, Owner, Packet, PacketKind};

/// Longest injected delay of a packet, in milliseconds.
const MAX_DELAY_MS: u64 = 40;

/// What the injected faults do to one packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The packet is dropped.
    Dropped,
    /// This many copies arrive, each with its own delay.
    Delivered(u32),
}

/// Sends packets over the balancers in rotation. Clones share all state.
#[derive(Clone)]
pub struct Sprayer {
    socket: Rc<UdpSocket>,
    in_rotation: Rc<RefCell<Vec<SocketAddr>>>,
    muted_flows: Rc<RefCell<HashSet<u64>>>,
    process_state: ProcessState,
}

impl Sprayer {
    /// Creates a sprayer with all `balancers` in rotation that reads its faults
    /// from `process_state`.
    pub fn new(socket: UdpSocket, balancers: Vec<SocketAddr>, process_state: ProcessState) -> Self {
        Self {
            socket: Rc::new(socket),
            in_rotation: Rc::new(RefCell::new(balancers)),
            muted_flows: Rc::default(),
            process_state,
        }
    }

    /// The socket that packets leave from and replies arrive at.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Replaces the balancers in rotation.
    pub fn set_rotation(&self, balancers: Vec<SocketAddr>) {
        *self.in_rotation.borrow_mut() = balancers;
    }

    /// Replaces the muted flows, whose packets are dropped in both directions.
    pub fn set_muted_flows(&self, flows: HashSet<u64>) {
        *self.muted_flows.borrow_mut() = flows;
    }

    /// The injected faults in force.
    pub fn faults(&self) -> Faults {
        self.process_state.faults()
    }

    /// Sends a packet to a random balancer in rotation.
    pub async fn send(&self, packet: &Packet) {
        metrics::check_invariant(
            packet.kind == PacketKind::Open || packet.owner != Owner::NONE,
            "owner_named",
            || format!("flow {:x} {:?}", packet.flow, packet.kind),
        );
        let Ok(bytes) = wire::encode(packet) else { return };
        if let Outcome::Delivered(copies) = self.random_outcome(packet.flow) {
            for _ in 0..copies {
                self.send_copy(&bytes).await;
            }
        }
    }

    /// Draws what happens to a packet of `flow`, in either direction.
    pub fn random_outcome(&self, flow: u64) -> Outcome {
        let faults = self.process_state.faults();
        if self.muted_flows.borrow().contains(&flow) || occurs(faults.lost_permille) {
            return Outcome::Dropped;
        }
        Outcome::Delivered(if occurs(faults.duplicated_permille) { 2 } else { 1 })
    }

    /// Draws the injected delay of one copy of a packet, if it is delayed.
    pub fn random_delay(&self) -> Option<Duration> {
        let is_delayed = occurs(self.process_state.faults().delayed_permille);
        is_delayed.then(|| Duration::from_millis(rand::random_range(1..=MAX_DELAY_MS)))
    }

    async fn send_copy(&self, bytes: &[u8]) {
        let Some(balancer) = self.random_balancer() else { return };
        if let Some(delay) = self.random_delay() {
            let (socket, bytes) = (self.socket.clone(), bytes.to_vec());
            // Detached: the task ends by itself within `MAX_DELAY_MS`.
            tokio::task::spawn_local(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&bytes, balancer).await;
            });
        } else {
            let _ = self.socket.send_to(bytes, balancer).await;
        }
    }

    fn random_balancer(&self) -> Option<SocketAddr> {
        let balancers = self.in_rotation.borrow();
        (!balancers.is_empty()).then(|| balancers[rand::random_range(0..balancers.len())])
    }
}

/// Returns true with a probability of `permille` / 1000.
fn occurs(permille: u32) -> bool {
    permille > 0 && rand::random_range(0..1_000) < permille
}
