//! The packets between fabric, balancers and agents, and their codec.
//!
//! A caller's TCP connection is a flow. The fabric cuts what the caller sends
//! into [`Packet`]s and hands each to any balancer; agents answer the fabric
//! directly with [`Reply`]s (direct return). Both travel as one UDP datagram
//! each, encoded with `postcard`.
//!
//! After a flow is accepted, every packet carries its [`Owner`]: the address
//! of the agent that accepted it and that agent's nonce, echoed the way TCP
//! echoes the server's initial sequence number. Any balancer can then deliver
//! the packet without per-flow state and whatever its view of the targets.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};

/// Largest datagram body the fabric sends, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// What a packet from the fabric does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketKind {
    /// Asks for a new flow; carries no bytes, like a TCP SYN. `seq` counts
    /// the tries.
    Open,
    /// Carries caller bytes at position `seq`.
    Data,
    /// The caller has finished sending; `seq` is one past the last data.
    Close,
    /// Carries no bytes, only the acknowledgement in `ack`.
    Ack,
    /// The caller abandons the flow; the agent frees it.
    Reset,
}

/// One packet from the fabric towards an agent, through a balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packet {
    /// Flow identifier chosen by the fabric, hashed by the balancers.
    pub flow: u64,
    /// The caller-facing port, which names the profile.
    pub port: u16,
    /// What the packet does.
    pub kind: PacketKind,
    /// Sequence number: the try for `Open`, then 1, 2, ... for data.
    pub seq: u32,
    /// Every answer below this position has reached the caller.
    pub ack: u32,
    /// The agent that accepted the flow; [`Owner::NONE`] before that.
    pub owner: Owner,
    /// Where the agent sends its replies.
    #[serde(rename = "reply")]
    pub reply_to: SocketAddr,
    /// For `Open`: the agents it is offered to, as the balancer picked them.
    pub offer: Option<Offer>,
    /// Caller bytes.
    pub body: Vec<u8>,
}

/// An open as offered to one or two agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The agent asked first.
    pub first: SocketAddrV4,
    /// The other candidate, if the service has a second target.
    pub second: Option<SocketAddrV4>,
    /// How far the offer has come.
    pub stage: OfferStage,
}

impl Offer {
    /// The agent that is to decide next.
    #[must_use]
    pub fn next_agent(&self) -> SocketAddrV4 {
        match self.stage {
            OfferStage::Compare { .. } => self.second.unwrap_or(self.first),
            OfferStage::Take | OfferStage::Ask | OfferStage::Last => self.first,
        }
    }

    /// The candidate that is not to decide next.
    #[must_use]
    pub fn other_agent(&self) -> Option<SocketAddrV4> {
        if self.next_agent() == self.first { self.second } else { Some(self.first) }
    }
}

/// How far an offer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferStage {
    /// The first takes the flow if it may.
    Take,
    /// The first may ask the second to compare loads.
    Ask,
    /// The second takes the flow if its load is below the first's.
    Compare {
        /// The first's load; `u32::MAX` when it may not take the flow.
        load: u32,
    },
    /// Back at the first, which takes the flow if it may.
    Last,
}

/// What a reply from an agent tells the fabric.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyKind {
    /// The flow is accepted by the agent named in the reply's owner.
    Accept,
    /// Every packet below `next` has reached the target.
    Ack {
        /// Next sequence number the agent waits for.
        next: u32,
    },
    /// Target bytes at position `seq` (counted from 0).
    Data {
        /// Position of this piece among the flow's answers.
        seq: u32,
        /// Target bytes.
        body: Vec<u8>,
    },
    /// The target has finished; `seq` is one past the last answer.
    Close {
        /// One past the last answer's position.
        seq: u32,
        /// Whether the target ended in order; if not, the caller must see a
        /// reset, so that a cut answer does not look whole.
        clean: bool,
    },
    /// The flow was not taken and nothing of it ran; the whole answer for the
    /// caller.
    Refuse {
        /// HTTP answer that says so.
        body: Vec<u8>,
    },
    /// The agent holds no such flow.
    Reset,
}

/// One reply from an agent straight to the fabric.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The flow it belongs to.
    pub flow: u64,
    /// The caller-facing port of that flow.
    pub port: u16,
    /// The agent that sends it.
    pub owner: Owner,
    /// What it says.
    #[serde(rename = "answer")]
    pub kind: ReplyKind,
}

/// An agent's identity on a flow: its IPv4 address and port and a nonce.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0:#x}")]
pub struct Owner(pub u64);

impl Owner {
    /// No owner yet.
    pub const NONE: Self = Self(0);

    /// Packs an agent address and a nonce.
    #[must_use]
    pub const fn new(addr: SocketAddrV4, nonce: u16) -> Self {
        let ip = u32::from_be_bytes(addr.ip().octets()) as u64;
        Self(ip << 32 | (addr.port() as u64) << 16 | nonce as u64)
    }

    /// The agent's address, or `None` for [`Owner::NONE`].
    #[must_use]
    pub const fn addr(self) -> Option<SocketAddrV4> {
        if self.0 == 0 {
            return None;
        }
        let ip = Ipv4Addr::from_bits((self.0 >> 32) as u32);
        Some(SocketAddrV4::new(ip, (self.0 >> 16) as u16))
    }
}

/// Encodes a packet or reply into one datagram.
///
/// # Errors
///
/// Fails only when the value cannot be encoded, which the types here rule out.
pub fn encode<T: Serialize>(value: &T) -> anyhow::Result<Vec<u8>> {
    Ok(postcard::to_stdvec(value)?)
}

/// Decodes one datagram.
///
/// # Errors
///
/// Fails when the bytes are not a value of that type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> anyhow::Result<T> {
    Ok(postcard::from_bytes(bytes)?)
}
