//! What the processes send, on its way through links and routers.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::site::Spread;
use super::wires::{Sent, Wires};
use super::world::{Balancer, Event, LOCAL, World, agent_addr, balancer_addr, number};
use crate::flow::{Flow, Segment};
use crate::platform::packet;

/// Delay between a caller and a VM of its data centre.
const CLIENT: Duration = Duration::from_millis(1);

/// Delay between two VMs of one data centre, and of two.
const NEAR: Duration = Duration::from_micros(100);
const FAR: Duration = Duration::from_micros(1_400);

impl World {
    fn delay(a: u8, b: u8) -> Duration {
        if a == b { NEAR } else { FAR }
    }

    fn zone(&self, addr: SocketAddrV4) -> u8 {
        match number(addr) {
            (true, n) => self.balancers[n].zone,
            (false, n) => self.agents[n].zone,
        }
    }

    fn count(&mut self, carries: bool, bytes: usize) {
        if !carries {
            self.stats.messages += 1;
            self.stats.message_bytes += bytes as u64;
        }
    }

    /// A balancer that has done its work at `at` sends `out`.
    pub(super) fn balancer_sends(&mut self, n: usize, out: Wires, at: Instant) {
        for sent in out.0 {
            self.balancer_send(n, sent, at);
        }
    }

    /// An agent that has done its work at `at` sends `out`.
    pub(super) fn agent_sends(&mut self, n: usize, out: Wires, at: Instant) {
        for sent in out.0 {
            self.agent_send(n, sent, at);
        }
    }

    fn balancer_send(&mut self, n: usize, sent: Sent, at: Instant) {
        let zone = self.balancers[n].zone;
        match sent {
            Sent::Peer { to, bytes, carries } => {
                self.count(carries, bytes.len());
                let link = &mut self.balancers[n].host.outward;
                if let Some(left) = link.send(bytes.len(), self.loss, at, &mut self.rng) {
                    let arrives = left + Self::delay(zone, self.zone(to));
                    self.events.put(arrives, Event::ToPeer(to, balancer_addr(n), bytes));
                }
            }
            Sent::Reset(bytes) => {
                let link = &mut self.balancers[n].host.outward;
                if let Some(left) = link.send(bytes.len(), self.loss, at, &mut self.rng) {
                    self.events.put(left + CLIENT, Event::ToCaller(bytes));
                }
            }
            Sent::Target(_) | Sent::Caller(_) => {}
        }
    }

    fn agent_send(&mut self, n: usize, sent: Sent, at: Instant) {
        let zone = self.agents[n].zone;
        match sent {
            Sent::Peer { to, bytes, carries } => {
                self.count(carries, bytes.len());
                let link = &mut self.agents[n].host.outward;
                if let Some(left) = link.send(bytes.len(), self.loss, at, &mut self.rng) {
                    let arrives = left + Self::delay(zone, self.zone(to));
                    self.events.put(arrives, Event::ToPeer(to, agent_addr(n), bytes));
                }
            }
            Sent::Target(packet) => self.events.put(at + LOCAL, Event::ToTarget(n, packet)),
            Sent::Caller(packet) | Sent::Reset(packet) => self.leave(n, packet, at),
        }
    }

    fn leave(&mut self, n: usize, packet: Vec<u8>, at: Instant) {
        let link = &mut self.agents[n].host.outward;
        if let Some(left) = link.send(packet.len(), self.loss, at, &mut self.rng) {
            self.events.put(left + CLIENT, Event::ToCaller(packet));
        }
    }

    pub(super) fn at_peer(&mut self, to: SocketAddrV4, from: SocketAddrV4, bytes: Vec<u8>) {
        match number(to) {
            (true, n) => {
                let link = &mut self.balancers[n].host.inward;
                // Comes through the queue of the VM's link before it is read.
                if let Some(at) = link.send(bytes.len(), 0.0, self.now, &mut self.rng) {
                    self.balancers[n].host.message(from, bytes);
                    self.wake_balancer(n, at);
                }
            }
            (false, n) => {
                self.agents[n].host.message(from, bytes);
                self.wake_agent(n, self.now);
            }
        }
    }

    /// Hands a caller's packet to a balancer of its data centre.
    pub(super) fn send(&mut self, zone: u8, seg: &Segment, len: u32) {
        let Some(n) = self.route(zone, seg.flow_from_caller()) else { return };
        let data = vec![0; len as usize];
        let bytes = packet::encode(&Segment { len: 0, ..*seg }, &data);
        let link = &mut self.balancers[n].host.inward;
        let at = self.now + CLIENT;
        if let Some(at) = link.send(bytes.len(), self.loss, at, &mut self.rng) {
            self.events.put(at, Event::ToBalancer(n, bytes));
        }
    }

    fn route(&self, zone: u8, flow: Flow) -> Option<usize> {
        let near = |b: &Balancer| b.zone == zone && b.rotation;
        let mut of: Vec<usize> =
            (0..self.balancers.len()).filter(|n| near(&self.balancers[*n])).collect();
        if of.is_empty() {
            of = (0..self.balancers.len()).filter(|n| self.balancers[*n].rotation).collect();
        }
        if of.is_empty() {
            return None;
        }
        match self.site.spread {
            // Below the number of balancers.
            Spread::Remainder => Some(of[(flow.hash64() % of.len() as u64) as usize]),
            Spread::Steady => {
                of.into_iter().max_by_key(|n| flow.rendezvous_weight(balancer_addr(*n)))
            }
        }
    }
}
