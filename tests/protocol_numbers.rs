//! Encoded numbers of messages and statuses stay the same, so that balancers and agents
//! of two releases understand each other during a rollout.

mod common;

use common::fixtures::*;
use jujubepost::metrics::Refusal;
use jujubepost::protocol::{FlowStatus, FlowUpdate, Message, encode};

fn number(message: &Message<'_>) -> u8 {
    let mut buf = Vec::new();
    encode(message, &[], &mut buf).unwrap();
    buf[0]
}

#[test]
fn statuses_keep_numbers() {
    let statuses = [
        FlowStatus::Held,
        FlowStatus::Unknown,
        FlowStatus::Unverified,
        FlowStatus::Refused(Refusal::Full),
        FlowStatus::NotOwner,
        FlowStatus::TargetEnded,
    ];
    for (n, status) in statuses.into_iter().enumerate() {
        let mut buf = Vec::new();
        let update = FlowUpdate { flow: flow(1), status, load: 0 };
        encode(&Message::FlowUpdate(update), &[], &mut buf).unwrap();
        let plain = FlowUpdate { status: FlowStatus::Held, ..update };
        let mut held = Vec::new();
        encode(&Message::FlowUpdate(plain), &[], &mut held).unwrap();
        let at = buf.iter().zip(&held).position(|(a, b)| a != b);
        assert_eq!(at.map_or(0, |at| buf[at]), n as u8, "{status:?}");
    }
}

#[test]
fn messages_keep_numbers() {
    let update = FlowUpdate { flow: flow(1), status: FlowStatus::Held, load: 0 };
    let numbers = [
        Message::FlowUpdate(update),
        Message::Response { answers: Vec::new(), load: 0 },
        Message::Hint { flow: flow(1), agent: agent(1) },
        Message::Ping { listed: true },
        Message::Pong { service: SERVICE, load: 0 },
        Message::TargetEnded,
    ];
    assert_eq!(numbers.map(|m| number(&m)), [2, 4, 5, 6, 7, 8]);
}
