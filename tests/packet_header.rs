//! Packet header codec: documented byte layout, length checks, resets, and no panic on
//! arbitrary input.

use std::net::{Ipv4Addr, SocketAddrV4};

use jujubepost::flow::{Flags, Flow};
use jujubepost::platform::packet::{self, HEADER_LEN, MAX_PAYLOAD, Malformed};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SYN: [u8; HEADER_LEN] = [
    0x40, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x11, 0x22, 0x33, 0x44, 0, 0, 0, 0, 0x64, 0x40, 0x00,
    0x07, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0xa1, 0xb2, 0xc3, 0xd5,
];

const RESET: [u8; HEADER_LEN] = [
    0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xc6, 0x12, 0x00, 0x01, 0x9c,
    0x41, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0, 0, 0, 0,
];

fn flow() -> Flow {
    Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001),
        vip: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

#[test]
fn documented_byte_layout() {
    let seg = packet::decode(&SYN).unwrap();
    assert!(seg.opens_flow());
    assert_eq!(seg.flow_from_caller(), flow());
    assert_eq!((seg.seq, seg.ack, seg.len), (0x1122_3344, 0, 0));
    assert_eq!(packet::encode_reset(flow(), 0), RESET);
    let back = packet::decode(&RESET).unwrap();
    assert_eq!(back.flow_from_target(), flow());
    assert_eq!(back.flags, Flags { rst: true, ..Flags::default() });
}

#[test]
fn clear_bounced_changes_one_flag() {
    let mut returned = SYN;
    returned[0] |= 2;
    assert!(packet::decode(&returned).unwrap().flags.bounced);
    packet::clear_bounced(&mut returned);
    assert_eq!(returned, SYN, "no other bit changes");
    packet::clear_bounced(&mut []);
}

#[test]
fn wrong_length_rejected() {
    assert_eq!(packet::decode(&SYN[..HEADER_LEN - 1]), Err(Malformed::TooShort));
    let mut long = SYN.to_vec();
    long.push(0);
    assert_eq!(packet::decode(&long), Err(Malformed::LengthMismatch));
    let mut longest = SYN.to_vec();
    longest[6..8].copy_from_slice(&(MAX_PAYLOAD as u16).to_be_bytes());
    longest.resize(HEADER_LEN + MAX_PAYLOAD, 0);
    assert_eq!(usize::from(packet::decode(&longest).unwrap().len), MAX_PAYLOAD);
    longest[6..8].copy_from_slice(&(MAX_PAYLOAD as u16 + 1).to_be_bytes());
    longest.push(0);
    assert_eq!(packet::decode(&longest), Err(Malformed::LengthMismatch));
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    let mut rng = StdRng::seed_from_u64(20_261_202);
    for _ in 0..20_000 {
        let mut bytes = vec![0; rng.random_range(0..1_400)];
        rng.fill(&mut bytes[..]);
        if let Ok(seg) = packet::decode(&bytes) {
            assert_eq!(usize::from(seg.len), bytes.len() - HEADER_LEN);
        }
    }
}
