//! The head of a packet between a caller and a target.
//!
//! One UDP datagram holds one packet: a head of [`HEADER_LEN`] bytes, big-endian,
//! and up to [`MAX_PAYLOAD`] bytes. The two ends protect the head with a keyed
//! sum, so the system forwards packets as they came; it may write only the
//! `echo` and `pad` fields and the bounced bit.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};

use crate::flow::{Flags, Flow, Segment};

/// Bytes of a packet's head.
pub const HEADER_LEN: usize = 36;

/// Most bytes of data after the head.
pub const MAX_PAYLOAD: usize = 1_200;

/// Offset of the flags.
const FLAGS_AT: usize = 0;

/// Bytes of the padding after the flags.
const PAD: usize = 5;

const SYN: u8 = 64;
const ACK: u8 = 32;
const FIN: u8 = 16;
const RST: u8 = 128;
const BOUNCED: u8 = 2;

/// Why a datagram is no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Malformed {
    /// It is shorter than a head.
    #[display("shorter than a head")]
    TooShort,
    /// The length field does not match the bytes after the head.
    #[display("length field does not match")]
    LengthMismatch,
}

/// Reads the head of the packet in `datagram`.
///
/// # Errors
///
/// Fails when the datagram is too short or its length field is wrong.
pub fn decode(datagram: &[u8]) -> Result<Segment, Malformed> {
    if datagram.len() < HEADER_LEN {
        return Err(Malformed::TooShort);
    }
    let mut b = datagram;
    let bits = b.get_u8();
    b.advance(PAD);
    let len = b.get_u16();
    let _echo = b.get_u32();
    let seq = b.get_u32();
    let ack = b.get_u32();
    let src = Ipv4Addr::from(b.get_u32());
    let dport = b.get_u16();
    let dst = Ipv4Addr::from(b.get_u32());
    let sport = b.get_u16();
    let _sum = b.get_u32();
    if usize::from(len) != b.len() || b.len() > MAX_PAYLOAD {
        return Err(Malformed::LengthMismatch);
    }
    Ok(Segment {
        from: SocketAddrV4::new(src, sport),
        to: SocketAddrV4::new(dst, dport),
        flags: flags(bits),
        seq,
        ack,
        len,
    })
}

const fn flags(bits: u8) -> Flags {
    Flags {
        syn: bits & SYN != 0,
        ack: bits & ACK != 0,
        fin: bits & FIN != 0,
        rst: bits & RST != 0,
        bounced: bits & BOUNCED != 0,
    }
}

/// Takes the mark off a packet that a target gave back, so that another
/// target may have it.
pub fn clear_bounced(datagram: &mut [u8]) {
    if let Some(bits) = datagram.get_mut(FLAGS_AT) {
        *bits &= !BOUNCED;
    }
}

/// Puts the mark on a packet that a target gives back (the stand-in's part).
pub fn set_bounced(datagram: &mut [u8]) {
    if let Some(bits) = datagram.get_mut(FLAGS_AT) {
        *bits |= BOUNCED;
    }
}

/// A reset of the system's own, from the flow's address to its caller. `seq`
/// must be close to the caller's last acknowledgement; before the flow is
/// open any value will do.
#[must_use]
pub fn encode_reset(flow: Flow, seq: u32) -> Vec<u8> {
    let mut b = Vec::with_capacity(HEADER_LEN);
    b.put_u8(RST);
    b.put_bytes(0, PAD);
    b.put_u16(0);
    b.put_u32(0);
    b.put_u32(seq);
    b.put_u32(0);
    b.put_u32(u32::from(*flow.service.ip()));
    b.put_u16(flow.caller.port());
    b.put_u32(u32::from(*flow.caller.ip()));
    b.put_u16(flow.service.port());
    b.put_u32(0);
    b
}

/// A packet of one of the two ends, as the stand-ins of callers and targets
/// write it; the sum is left out, as only the real ends know its key.
#[must_use]
pub fn encode(seg: &Segment, data: &[u8]) -> Vec<u8> {
    let f = seg.flags;
    let pairs = [(f.syn, SYN), (f.ack, ACK), (f.fin, FIN), (f.rst, RST), (f.bounced, BOUNCED)];
    let bits = pairs.into_iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum();
    let mut b = Vec::with_capacity(HEADER_LEN + data.len());
    b.put_u8(bits);
    b.put_bytes(0, PAD);
    b.put_u16(u16::try_from(data.len()).unwrap_or(u16::MAX));
    b.put_u32(0);
    b.put_u32(seg.seq);
    b.put_u32(seg.ack);
    b.put_u32(u32::from(*seg.from.ip()));
    b.put_u16(seg.to.port());
    b.put_u32(u32::from(*seg.to.ip()));
    b.put_u16(seg.from.port());
    b.put_u32(0);
    b.extend_from_slice(data);
    b
}
