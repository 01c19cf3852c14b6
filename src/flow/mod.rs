//! A flow as the system sees it: its four addresses and ports, what one of
//! its packets says, and the table in which balancers and agents remember
//! flows.

mod table;

use std::net::SocketAddrV4;
use std::time::Instant;

use anyhow::Context;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use table::FlowTable;

/// A flow's identity: the caller's end and the address it calls.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{caller}>{vip}")]
pub struct Flow {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The address that the caller called, which names the route.
    #[serde(rename = "service")]
    pub vip: SocketAddrV4,
}

impl std::str::FromStr for Flow {
    type Err = anyhow::Error;

    /// Reads `CALLER>SERVICE`, each an address and port, as logs write it.
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (caller, service) = text.split_once('>').context("a flow is CALLER>SERVICE")?;
        Ok(Self {
            caller: caller.parse().context("the flow's caller")?,
            vip: service.parse().context("the flow's service")?,
        })
    }
}

impl Flow {
    /// A hash of its addresses and ports, the same in every process.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        xxh3_64(&self.bytes())
    }

    /// Its preference for `agent`: the agents with the highest come first
    /// (rendezvous hashing), so that a list that changed by one agent changes
    /// the choice for few flows.
    #[must_use]
    pub fn preference(&self, agent: SocketAddrV4) -> u64 {
        let seed = u64::from(u32::from(*agent.ip())) << 16 | u64::from(agent.port());
        xxh3_64_with_seed(&self.bytes(), seed)
    }

    fn bytes(&self) -> [u8; 12] {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.vip.ip().octets());
        bytes[10..].copy_from_slice(&self.vip.port().to_be_bytes());
        bytes
    }
}

/// The bits of a packet that the system reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Asks to open a flow (or, with `ack`, agrees).
    pub syn: bool,
    /// Carries an acknowledgement.
    pub ack: bool,
    /// The sender has finished.
    pub fin: bool,
    /// The flow is over at once.
    pub rst: bool,
    /// A target gave the packet back.
    pub bounced: bool,
}

/// What the head of one packet says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The end that sent it.
    pub src: SocketAddrV4,
    /// The end it is for.
    pub dst: SocketAddrV4,
    /// Its bits.
    pub flags: Flags,
    /// Position of its data in the sender's stream.
    pub seq: u32,
    /// What the sender has received so far; of a caller's first packet, which
    /// copy it is.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
}

impl Segment {
    /// The flow of a packet that a caller sent.
    #[must_use]
    pub const fn flow_from_caller(&self) -> Flow {
        Flow { caller: self.src, vip: self.dst }
    }

    /// The flow of a packet that a target sent.
    #[must_use]
    pub const fn flow_from_target(&self) -> Flow {
        Flow { caller: self.dst, vip: self.src }
    }

    /// Whether a caller sent it to open a flow.
    #[must_use]
    pub const fn opens_flow(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }
}

/// A caller's packet as it came.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedPacket<'a> {
    /// What its head says.
    pub seg: &'a Segment,
    /// Its bytes.
    pub packet: &'a [u8],
    /// When it came.
    pub now: Instant,
}

impl ReceivedPacket<'_> {
    /// The flow that it belongs to.
    #[must_use]
    pub const fn flow(&self) -> Flow {
        self.seg.flow_from_caller()
    }
}
