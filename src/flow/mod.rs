//! Flow identity, the header fields of packets that balancers and agents read,
//! and a table of flows with idle expiry.

mod table;

use std::net::SocketAddrV4;
use std::time::Instant;

use anyhow::Context;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub use table::FlowTable;

/// Identity of a flow: the caller's address and port and the virtual address and
/// port that it connects to.
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
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Virtual address and port that the caller connects to; selects the route.
    #[serde(rename = "service")]
    pub vip: SocketAddrV4,
}

impl std::str::FromStr for Flow {
    type Err = anyhow::Error;

    /// Parses `CALLER>VIP`, each an address and port, the format used in logs.
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (caller, vip) = text.split_once('>').context("flow: expected CALLER>VIP")?;
        Ok(Self {
            caller: caller.parse().context("flow: invalid caller address")?,
            vip: vip.parse().context("flow: invalid virtual address")?,
        })
    }
}

impl Flow {
    /// Hash of the addresses and ports, the same in every process.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        xxh3_64(&self.bytes())
    }

    /// Rendezvous-hashing weight of `agent` for this flow. Ranking agents by weight
    /// keeps most flows on the same agent when the list of agents changes.
    #[must_use]
    pub fn rendezvous_weight(&self, agent: SocketAddrV4) -> u64 {
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

/// Header flags of a packet, as in TCP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// Opens a flow or, with `ack`, accepts it.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has no more data.
    pub fin: bool,
    /// The flow is aborted.
    pub rst: bool,
    /// The target returned the caller's packet undelivered.
    pub bounced: bool,
}

/// Decoded header of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Source address and port.
    pub src: SocketAddrV4,
    /// Destination address and port.
    pub dst: SocketAddrV4,
    /// Flags.
    pub flags: Flags,
    /// Sequence number of the first data byte.
    pub seq: u32,
    /// Acknowledgement number; in a caller's opening packet, the number of the
    /// retransmission.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
}

impl Segment {
    /// Flow of a packet sent by a caller.
    #[must_use]
    pub const fn flow_from_caller(&self) -> Flow {
        Flow { caller: self.src, vip: self.dst }
    }

    /// Flow of a packet sent by a target.
    #[must_use]
    pub const fn flow_from_target(&self) -> Flow {
        Flow { caller: self.dst, vip: self.src }
    }

    /// Whether it is a caller's packet that opens a flow.
    #[must_use]
    pub const fn opens_flow(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }
}

/// A packet received from a caller.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedPacket<'a> {
    /// Decoded header.
    pub seg: &'a Segment,
    /// Header and data, unchanged.
    pub packet: &'a [u8],
    /// Time of receipt.
    pub now: Instant,
}

impl ReceivedPacket<'_> {
    /// Flow that the packet belongs to.
    #[must_use]
    pub const fn flow(&self) -> Flow {
        self.seg.flow_from_caller()
    }
}
