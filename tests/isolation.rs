//! A packet of one service never reaches an agent of another, whatever owner it
//! names.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use jujubepost::balancer::{RouteDecision, View, route_packet};
use jujubepost::metrics::Refusal;
use jujubepost::record;
use jujubepost::settings::{Policy, ProfileSettings, Service};
use jujubepost::store::{KeyLayout, Kv};
use jujubepost::wire::{Offer, OfferStage, Owner, Packet, PacketKind};

fn kv(key: String, value: Vec<u8>) -> (Arc<str>, Kv) {
    let key: Arc<str> = key.into();
    (key.clone(), Kv { key, value, rev: 1, lease: 0, created: 0 })
}

fn view() -> View {
    let keys = KeyLayout::new("/j".into());
    let mut key_map = BTreeMap::new();
    for (name, service, port) in
        [("meter", Service::Meter, 9020), ("fieldlog", Service::Fieldlog, 9021)]
    {
        let spec = ProfileSettings {
            name: name.into(),
            service,
            listen: SocketAddr::from(([127, 0, 0, 1], port)),
            idempotent: false,
            max_flows: 10,
            policy: Policy::Hash,
        };
        let value = serde_json::to_vec(&record::Profile { spec, write_id: 1 }).unwrap();
        key_map.extend([kv(keys.profile(name), value)]);
    }
    for (name, service, port) in
        [("meter-1", Service::Meter, 9200), ("fieldlog-1", Service::Fieldlog, 9201)]
    {
        let rec = record::Target {
            name: name.into(),
            zone: "gjw-a".into(),
            service,
            agent: SocketAddr::from(([127, 0, 0, 1], port)),
            stopping: false,
        };
        key_map.extend([kv(keys.target(name), serde_json::to_vec(&rec).unwrap())]);
    }
    View::build(&keys, &key_map)
}

fn packet(port: u16, kind: PacketKind, owner: Owner) -> Packet {
    Packet {
        flow: 7,
        port,
        kind,
        seq: 1,
        ack: 0,
        owner,
        reply_to: SocketAddr::from(([127, 0, 0, 1], 1)),
        offer: None,
        body: Vec::new(),
    }
}

/// An offer to the agent at `port` alone.
fn only_offer(port: u16) -> Offer {
    let first = SocketAddrV4::new([127, 0, 0, 1].into(), port);
    Offer { first, second: None, stage: OfferStage::Assign }
}

#[test]
fn open_is_offered_within_service() {
    let view = view();
    let decision = route_packet(&view, &packet(9020, PacketKind::Open, Owner::NONE));
    assert_eq!(decision, RouteDecision::Offer(only_offer(9200)));
    let decision = route_packet(&view, &packet(9021, PacketKind::Open, Owner::NONE));
    assert_eq!(decision, RouteDecision::Offer(only_offer(9201)));
}

#[test]
fn foreign_owner_is_dropped() {
    let view = view();
    let fieldlog = Owner::new(SocketAddrV4::new([127, 0, 0, 1].into(), 9201), 5);
    let decision = route_packet(&view, &packet(9020, PacketKind::Data, fieldlog));
    assert_eq!(decision, RouteDecision::Drop(Refusal::WrongService));
}

#[test]
fn unknown_port_is_dropped() {
    let view = view();
    assert_eq!(
        route_packet(&view, &packet(1, PacketKind::Open, Owner::NONE)),
        RouteDecision::Drop(Refusal::NoProfile)
    );
}
