//! Delivery of messages and packets: link transmission, propagation delay and the
//! routers' choice of a balancer.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::outbox::{Outbox, Outgoing};
use super::simulation::{
    Balancer, Event, LOCAL_DELAY, Simulation, agent_addr, balancer_addr, process_index,
};
use super::site::FlowHash;
use crate::flow::{Flow, Segment};
use crate::platform::packet;

/// One-way delay between a caller and a VM.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// One-way delay between two VMs of one data centre.
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(100);

/// One-way delay between VMs of different data centres.
const INTER_ZONE_DELAY: Duration = Duration::from_micros(1_400);

impl Simulation {
    fn zone_delay(a: u8, b: u8) -> Duration {
        if a == b { INTRA_ZONE_DELAY } else { INTER_ZONE_DELAY }
    }

    fn process_zone(&self, addr: SocketAddrV4) -> u8 {
        match process_index(addr) {
            (true, n) => self.balancers[n].zone,
            (false, n) => self.agents[n].zone,
        }
    }

    fn count_message(&mut self, is_forward: bool, bytes: usize) {
        if !is_forward {
            self.stats.messages += 1;
            self.stats.message_bytes += bytes as u64;
        }
    }

    /// Sends the outbox of balancer `n`, whose CPU finishes the wake-up at `at`.
    pub(super) fn flush_balancer(&mut self, n: usize, out: Outbox, at: Instant) {
        for outgoing in out.0 {
            self.send_from_balancer(n, outgoing, at);
        }
    }

    /// Sends the outbox of agent `n`, whose CPU finishes the wake-up at `at`.
    pub(super) fn flush_agent(&mut self, n: usize, out: Outbox, at: Instant) {
        for outgoing in out.0 {
            self.send_from_agent(n, outgoing, at);
        }
    }

    fn send_from_balancer(&mut self, n: usize, outgoing: Outgoing, at: Instant) {
        let zone = self.balancers[n].zone;
        match outgoing {
            Outgoing::Message { to, bytes, is_forward } => {
                self.count_message(is_forward, bytes.len());
                let link = &mut self.balancers[n].host.egress;
                if let Some(sent_at) = link.send(bytes.len(), self.loss_rate, at, &mut self.rng) {
                    let arrival = sent_at + Self::zone_delay(zone, self.process_zone(to));
                    self.events.push(arrival, Event::ToProcess(to, balancer_addr(n), bytes));
                }
            }
            Outgoing::Reset(bytes) => {
                let link = &mut self.balancers[n].host.egress;
                if let Some(sent_at) = link.send(bytes.len(), self.loss_rate, at, &mut self.rng) {
                    self.events.push(sent_at + CALLER_DELAY, Event::ToCaller(bytes));
                }
            }
            Outgoing::Target(_) | Outgoing::Caller(_) => {}
        }
    }

    fn send_from_agent(&mut self, n: usize, outgoing: Outgoing, at: Instant) {
        let zone = self.agents[n].zone;
        match outgoing {
            Outgoing::Message { to, bytes, is_forward } => {
                self.count_message(is_forward, bytes.len());
                let link = &mut self.agents[n].host.egress;
                if let Some(sent_at) = link.send(bytes.len(), self.loss_rate, at, &mut self.rng) {
                    let arrival = sent_at + Self::zone_delay(zone, self.process_zone(to));
                    self.events.push(arrival, Event::ToProcess(to, agent_addr(n), bytes));
                }
            }
            Outgoing::Target(packet) => {
                self.events.push(at + LOCAL_DELAY, Event::ToTarget(n, packet))
            }
            Outgoing::Caller(packet) | Outgoing::Reset(packet) => {
                self.send_to_caller(n, packet, at)
            }
        }
    }

    fn send_to_caller(&mut self, n: usize, packet: Vec<u8>, at: Instant) {
        let link = &mut self.agents[n].host.egress;
        if let Some(sent_at) = link.send(packet.len(), self.loss_rate, at, &mut self.rng) {
            self.events.push(sent_at + CALLER_DELAY, Event::ToCaller(packet));
        }
    }

    pub(super) fn deliver_message(&mut self, to: SocketAddrV4, from: SocketAddrV4, bytes: Vec<u8>) {
        match process_index(to) {
            (true, n) => {
                let link = &mut self.balancers[n].host.ingress;
                // The message passes the VM's inbound link before it can be read.
                if let Some(at) = link.send(bytes.len(), 0.0, self.now, &mut self.rng) {
                    self.balancers[n].host.enqueue_message(from, bytes);
                    self.wake_balancer(n, at);
                }
            }
            (false, n) => {
                self.agents[n].host.enqueue_message(from, bytes);
                self.wake_agent(n, self.now);
            }
        }
    }

    /// Sends a caller's packet, with `len` bytes of data, to the balancer that the
    /// routers of data centre `zone` choose.
    pub(super) fn send_to_balancer(&mut self, zone: u8, seg: &Segment, len: u32) {
        let Some(n) = self.pick_balancer(zone, seg.flow_from_caller()) else { return };
        let data = vec![0; len as usize];
        let bytes = packet::encode(&Segment { len: 0, ..*seg }, &data);
        let link = &mut self.balancers[n].host.ingress;
        let at = self.now + CALLER_DELAY;
        if let Some(at) = link.send(bytes.len(), self.loss_rate, at, &mut self.rng) {
            self.events.push(at, Event::ToBalancer(n, bytes));
        }
    }

    /// Routers choose among the balancers in rotation of data centre `zone` or, if
    /// there are none, of all data centres.
    fn pick_balancer(&self, zone: u8, flow: Flow) -> Option<usize> {
        let is_local = |b: &Balancer| b.zone == zone && b.in_rotation;
        let mut candidates: Vec<usize> =
            (0..self.balancers.len()).filter(|n| is_local(&self.balancers[*n])).collect();
        if candidates.is_empty() {
            candidates =
                (0..self.balancers.len()).filter(|n| self.balancers[*n].in_rotation).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        match self.site.flow_hash {
            // The remainder is less than the number of balancers.
            FlowHash::Modulo => {
                Some(candidates[(flow.hash64() % candidates.len() as u64) as usize])
            }
            FlowHash::Rendezvous => {
                candidates.into_iter().max_by_key(|n| flow.rendezvous_weight(balancer_addr(*n)))
            }
        }
    }
}
