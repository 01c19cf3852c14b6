//! Wire format of packets and replies between fabric, balancers and agents: one
//! `postcard`-encoded UDP datagram each.
//!
//! The fabric splits a caller's TCP connection into [`Packet`]s and sends each to any
//! balancer; agents return [`Reply`]s to the fabric directly (direct server return).
//! Once a flow is accepted, its packets name the [`Owner`], so that any balancer can
//! forward them without per-flow state, even if the owner is not in its target list.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};

/// Most caller bytes in one packet.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// Type of a [`Packet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketKind {
    /// Opens a flow, without data, like a TCP SYN. `seq` is the number of the attempt.
    Open,
    /// Carries caller data; `seq` counts data packets from 1.
    Data,
    /// The caller has finished sending; `seq` is one past the last data packet.
    Close,
    /// Carries only the acknowledgement in `ack`.
    Ack,
    /// The caller aborts the flow.
    Reset,
}

/// A packet from the fabric to an agent, forwarded by a balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packet {
    /// Flow identifier chosen by the fabric; balancers hash it.
    pub flow: u64,
    /// Port that the caller connected to; selects the profile.
    pub port: u16,
    /// What the packet does to the flow.
    pub kind: PacketKind,
    /// Sequence number, as described for each [`PacketKind`].
    pub seq: u32,
    /// Cumulative acknowledgement: the caller has received every data and close reply
    /// with a lower sequence number.
    pub ack: u32,
    /// Agent that accepted the flow, or [`Owner::NONE`].
    pub owner: Owner,
    /// Address that the agent sends its replies to.
    #[serde(rename = "reply")]
    pub reply_to: SocketAddr,
    /// In an [`PacketKind::Open`], the agents that the balancer chose as candidates.
    pub offer: Option<Offer>,
    /// Caller data.
    pub body: Vec<u8>,
}

/// Offer of a new flow to one or two agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Agent that decides first.
    pub first: SocketAddrV4,
    /// The other candidate, if there is one.
    pub second: Option<SocketAddrV4>,
    /// Which agent decides next, and how.
    pub stage: OfferStage,
}

impl Offer {
    /// Agent that decides next.
    #[must_use]
    pub fn next_agent(&self) -> SocketAddrV4 {
        match self.stage {
            OfferStage::Compare { .. } => self.second.unwrap_or(self.first),
            OfferStage::Assign | OfferStage::Propose | OfferStage::Last => self.first,
        }
    }

    /// The candidate that does not decide next, if there are two.
    #[must_use]
    pub fn other_agent(&self) -> Option<SocketAddrV4> {
        if self.next_agent() == self.first { self.second } else { Some(self.first) }
    }
}

/// Which agent decides next on an [`Offer`], and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OfferStage {
    /// The first agent accepts the flow if it can, without comparing loads.
    #[serde(rename = "Take")]
    Assign,
    /// The first agent accepts the flow, or passes it to the second one to compare loads.
    #[serde(rename = "Ask")]
    Propose,
    /// The second agent accepts the flow if its load is clearly below the first's.
    Compare {
        /// Load of the first agent; `u32::MAX` if it cannot accept the flow.
        load: u32,
    },
    /// The second agent left the flow to the first, which accepts it if it can.
    Last,
}

/// Type and content of a [`Reply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyKind {
    /// The reply's owner accepted the flow.
    Accept,
    /// Cumulative acknowledgement of the caller's packets.
    Ack {
        /// Sequence number that the agent expects next.
        next: u32,
    },
    /// Carries target data.
    Data {
        /// Sequence number, counted from 0.
        seq: u32,
        /// Target data.
        body: Vec<u8>,
    },
    /// The target has finished sending.
    Close {
        /// One past the last data reply.
        seq: u32,
        /// Whether the target closed the connection without an error. Otherwise the
        /// caller's connection has to be reset, so that a truncated response does not look
        /// complete.
        clean: bool,
    },
    /// The flow was refused and the target received nothing of it.
    Refuse {
        /// Complete HTTP response for the caller.
        body: Vec<u8>,
    },
    /// The flow is not open at the agent, or the agent ended it.
    Reset,
}

/// A reply from an agent directly to the fabric.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Flow that it belongs to.
    pub flow: u64,
    /// Port that the caller connected to.
    pub port: u16,
    /// Agent that sends it.
    pub owner: Owner,
    /// What the agent reports or sends.
    #[serde(rename = "answer")]
    pub kind: ReplyKind,
}

/// The agent that owns a flow, as IPv4 address, port and nonce. The fabric echoes it in
/// every later packet, as TCP echoes the server's sequence number. The nonce, random for
/// each accepted flow, tells flows with the same identifier apart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0:#x}")]
pub struct Owner(pub u64);

impl Owner {
    /// No agent has accepted the flow yet.
    pub const NONE: Self = Self(0);

    /// Packs the agent's address and its nonce.
    #[must_use]
    pub const fn new(addr: SocketAddrV4, nonce: u16) -> Self {
        let ip = u32::from_be_bytes(addr.ip().octets()) as u64;
        Self(ip << 32 | (addr.port() as u64) << 16 | nonce as u64)
    }

    /// Address of the agent; `None` for [`Owner::NONE`].
    #[must_use]
    pub const fn addr(self) -> Option<SocketAddrV4> {
        if self.0 == 0 {
            return None;
        }
        let ip = Ipv4Addr::from_bits((self.0 >> 32) as u32);
        Some(SocketAddrV4::new(ip, (self.0 >> 16) as u16))
    }
}

/// Encodes a [`Packet`] or [`Reply`].
///
/// # Errors
///
/// Does not fail for the types of this module.
pub fn encode<T: Serialize>(value: &T) -> anyhow::Result<Vec<u8>> {
    Ok(postcard::to_stdvec(value)?)
}

/// Decodes a datagram as a [`Packet`] or [`Reply`].
///
/// # Errors
///
/// Fails if the bytes are not a valid value of that type.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> anyhow::Result<T> {
    Ok(postcard::from_bytes(bytes)?)
}
