//! Packets between callers and targets, one per UDP datagram: a header of
//! [`HEADER_LEN`] bytes, big-endian, and up to [`MAX_PAYLOAD`] bytes of payload.
//!
//! The two ends protect the header with a keyed checksum, so packets are
//! forwarded unchanged. Only the `echo` and `pad` fields and the bounced flag
//! may be rewritten.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};

use crate::flow::{Flags, Flow, Segment};

/// Bytes of the header.
pub const HEADER_LEN: usize = 36;

/// Most bytes of payload.
pub const MAX_PAYLOAD: usize = 1_200;

/// Offset of the flags byte.
const FLAGS_OFFSET: usize = 0;

/// Bytes of the padding after the flags.
const PAD_LEN: usize = 5;

const SYN: u8 = 64;
const ACK: u8 = 32;
const FIN: u8 = 16;
const RST: u8 = 128;
const BOUNCED: u8 = 2;

/// Why a datagram is not a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Malformed {
    /// Shorter than the header.
    #[display("shorter than a head")]
    TooShort,
    /// The length field does not match the payload, or the payload is too long.
    #[display("length field does not match")]
    LengthMismatch,
}

/// Decodes the header of the packet in `datagram`.
///
/// # Errors
///
/// Fails when the datagram is not a packet.
pub fn decode(datagram: &[u8]) -> Result<Segment, Malformed> {
    if datagram.len() < HEADER_LEN {
        return Err(Malformed::TooShort);
    }
    let mut b = datagram;
    let flag_bits = b.get_u8();
    b.advance(PAD_LEN);
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
        src: SocketAddrV4::new(src, sport),
        dst: SocketAddrV4::new(dst, dport),
        flags: decode_flags(flag_bits),
        seq,
        ack,
        len,
    })
}

const fn decode_flags(flag_bits: u8) -> Flags {
    Flags {
        syn: flag_bits & SYN != 0,
        ack: flag_bits & ACK != 0,
        fin: flag_bits & FIN != 0,
        rst: flag_bits & RST != 0,
        bounced: flag_bits & BOUNCED != 0,
    }
}

/// Clears the flag by which a target returned a packet, so that it can be sent
/// to another target.
pub fn clear_bounced(datagram: &mut [u8]) {
    if let Some(flag_bits) = datagram.get_mut(FLAGS_OFFSET) {
        *flag_bits &= !BOUNCED;
    }
}

/// Sets the flag by which a target returns a packet; for simulated targets.
pub fn set_bounced(datagram: &mut [u8]) {
    if let Some(flag_bits) = datagram.get_mut(FLAGS_OFFSET) {
        *flag_bits |= BOUNCED;
    }
}

/// Encodes a reset from the flow's virtual address to its caller. `seq` must be
/// close to the caller's last acknowledgement; any value will do before the
/// flow is open.
#[must_use]
pub fn encode_reset(flow: Flow, seq: u32) -> Vec<u8> {
    let mut b = Vec::with_capacity(HEADER_LEN);
    b.put_u8(RST);
    b.put_bytes(0, PAD_LEN);
    b.put_u16(0);
    b.put_u32(0);
    b.put_u32(seq);
    b.put_u32(0);
    b.put_u32(u32::from(*flow.vip.ip()));
    b.put_u16(flow.caller.port());
    b.put_u32(u32::from(*flow.caller.ip()));
    b.put_u16(flow.vip.port());
    b.put_u32(0);
    b
}

/// Encodes a packet, for simulated callers and targets. The checksum is left at
/// zero, as its key is not known here.
#[must_use]
pub fn encode(seg: &Segment, payload: &[u8]) -> Vec<u8> {
    let f = seg.flags;
    let flag_values =
        [(f.syn, SYN), (f.ack, ACK), (f.fin, FIN), (f.rst, RST), (f.bounced, BOUNCED)];
    let flag_bits = flag_values.into_iter().filter(|(set, _)| *set).map(|(_, bit)| bit).sum();
    let mut b = Vec::with_capacity(HEADER_LEN + payload.len());
    b.put_u8(flag_bits);
    b.put_bytes(0, PAD_LEN);
    b.put_u16(u16::try_from(payload.len()).unwrap_or(u16::MAX));
    b.put_u32(0);
    b.put_u32(seg.seq);
    b.put_u32(seg.ack);
    b.put_u32(u32::from(*seg.src.ip()));
    b.put_u16(seg.dst.port());
    b.put_u32(u32::from(*seg.dst.ip()));
    b.put_u16(seg.src.port());
    b.put_u32(0);
    b.extend_from_slice(payload);
    b
}
