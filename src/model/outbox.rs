//! Collects what a balancer or agent sends during a wake-up, until the CPU time of
//! the wake-up has passed.

use std::net::SocketAddrV4;

use crate::flow::Flow;
use crate::platform::packet;
use crate::protocol::{self, Message};
use crate::{steering, tracker};

/// An outgoing message or packet.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// A message to a balancer or agent.
    Message {
        /// Destination.
        to: SocketAddrV4,
        /// The encoded message, followed by the packet it carries, if any.
        bytes: Vec<u8>,
        /// Whether it forwards a packet to the agent that owns the packet's flow.
        is_forward: bool,
    },
    /// A packet to the target.
    Target(Vec<u8>),
    /// A packet from the target to a caller.
    Caller(Vec<u8>),
    /// A RST to a caller.
    Reset(Vec<u8>),
}

/// Everything sent during one wake-up, in order.
#[derive(Clone, Debug, Default)]
pub struct Outbox(pub Vec<Outgoing>);

impl Outbox {
    fn push_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        let mut bytes = Vec::new();
        let is_forward = message.is_forward_to_owner();
        match protocol::encode(message, packet, &mut bytes) {
            Ok(()) => self.0.push(Outgoing::Message { to, bytes, is_forward }),
            Err(e) => log::error!(to:% = to, error:% = e; "message could not be encoded; dropped"),
        }
    }
}

impl steering::Transmit for Outbox {
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.push_message(to, message, packet);
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.0.push(Outgoing::Reset(packet::encode_reset(flow, seq)));
    }
}

impl tracker::Transmit for Outbox {
    fn send_to_target(&mut self, packet: &[u8]) {
        self.0.push(Outgoing::Target(packet.to_vec()));
    }

    fn send_to_caller(&mut self, _: SocketAddrV4, packet: &[u8]) {
        self.0.push(Outgoing::Caller(packet.to_vec()));
    }

    fn send_reset(&mut self, flow: Flow, seq: u32) {
        self.0.push(Outgoing::Reset(packet::encode_reset(flow, seq)));
    }

    fn send_message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.push_message(to, message, packet);
    }
}
