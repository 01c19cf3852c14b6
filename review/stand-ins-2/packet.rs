//! Packets as the page PROTOCOL lays them out, with a keyed checksum of the two ends.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 64;
pub const ACK: u8 = 32;
pub const FIN: u8 = 16;
pub const RST: u8 = 128;
pub const BOUNCED: u8 = 2;

const HEADER_LEN: usize = 36;
const KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    /// Whether one of the two ends wrote it: the system's own resets have the sum 0.
    pub fn is_authentic(&self) -> bool {
        self.sum == self.expected_sum()
    }

    fn expected_sum(&self) -> u32 {
        let mut sum = 0x811c_9dc5 ^ KEY;
        let mut add = |bytes: &[u8]| {
            for b in bytes {
                sum = (sum ^ u32::from(*b)).wrapping_mul(0x0100_0193);
            }
        };
        add(&[self.flags & !BOUNCED]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.src.ip().octets());
        add(&self.src.port().to_be_bytes());
        add(&self.dst.ip().octets());
        add(&self.dst.port().to_be_bytes());
        add(&(self.data.len() as u16).to_be_bytes());
        add(&self.data);
        sum | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut b = Vec::with_capacity(HEADER_LEN + self.data.len());
        b.push(self.flags);
        b.extend_from_slice(&[0; 5]);
        b.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        b.extend_from_slice(&[0; 4]);
        b.extend_from_slice(&self.seq.to_be_bytes());
        b.extend_from_slice(&self.ack.to_be_bytes());
        b.extend_from_slice(&self.src.ip().octets());
        b.extend_from_slice(&self.dst.port().to_be_bytes());
        b.extend_from_slice(&self.dst.ip().octets());
        b.extend_from_slice(&self.src.port().to_be_bytes());
        b.extend_from_slice(&self.expected_sum().to_be_bytes());
        b.extend_from_slice(&self.data);
        b
    }

    pub fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < HEADER_LEN {
            return None;
        }
        let u16_at = |n: usize| u16::from_be_bytes([b[n], b[n + 1]]);
        let u32_at = |n: usize| u32::from_be_bytes([b[n], b[n + 1], b[n + 2], b[n + 3]]);
        if usize::from(u16_at(6)) != b.len() - HEADER_LEN {
            return None;
        }
        Some(Self {
            flags: b[0],
            seq: u32_at(12),
            ack: u32_at(16),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(20)), u16_at(30)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(26)), u16_at(24)),
            sum: u32_at(32),
            data: b[HEADER_LEN..].to_vec(),
        })
    }
}

/// A received packet as a server returns it: BOUNCED set, `pad` 0, all else unchanged.
pub fn bounced(bytes: &[u8]) -> Vec<u8> {
    let mut b = bytes.to_vec();
    b[0] |= BOUNCED;
    b[1..6].fill(0);
    b
}
