//! What the product's decisions send, kept until the process that decided has
//! done its work.

use std::net::SocketAddrV4;

use crate::flow::Flow;
use crate::platform::packet;
use crate::protocol::{self, Message};
use crate::{steering, tracker};

/// One thing sent.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// A message to a balancer or agent.
    Peer {
        /// To whom.
        to: SocketAddrV4,
        /// The message, encoded, with the packet after it.
        bytes: Vec<u8>,
        /// It hands a packet to the agent that holds its flow.
        carries_packet: bool,
    },
    /// A packet to the target.
    Target(Vec<u8>),
    /// A packet to a caller.
    Caller(Vec<u8>),
    /// A reset to a caller.
    Reset(Vec<u8>),
}

/// Everything sent at one wake-up.
#[derive(Clone, Debug, Default)]
pub struct Outbox(pub Vec<Outgoing>);

impl Outbox {
    fn message(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        let mut bytes = Vec::new();
        let carries = message.is_forward_to_owner();
        match protocol::encode(message, packet, &mut bytes) {
            Ok(()) => self.0.push(Outgoing::Peer { to, bytes, carries_packet: carries }),
            Err(e) => log::error!(to:% = to, error:% = e; "message not encoded"),
        }
    }
}

impl steering::Transmit for Outbox {
    fn send_to_agent(&mut self, to: SocketAddrV4, message: &Message<'_>, packet: &[u8]) {
        self.message(to, message, packet);
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
        self.message(to, message, packet);
    }
}
