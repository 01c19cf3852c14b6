//! A packet meant for meter never reaches fieldlog: the balancer hands a
//! packet only to agents of its profile's service, whatever owner it names.

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
    (key.clone(), Kv { key, value, rev: 1, lease: 0 })
}

fn view() -> View {
    let keys = KeyLayout::new("/j".into());
    let mut copy = BTreeMap::new();
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
        copy.extend([kv(keys.profile(name), value)]);
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
        copy.extend([kv(keys.target(name), serde_json::to_vec(&rec).unwrap())]);
    }
    View::build(&keys, &copy)
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

/// An offer to the one agent at this port and to nobody else.
fn only(port: u16) -> Offer {
    let first = SocketAddrV4::new([127, 0, 0, 1].into(), port);
    Offer { first, second: None, stage: OfferStage::Take }
}

#[test]
fn open_goes_to_service() {
    let v = view();
    let to = route_packet(&v, &packet(9020, PacketKind::Open, Owner::NONE));
    assert_eq!(to, RouteDecision::Offer(only(9200)));
    let to = route_packet(&v, &packet(9021, PacketKind::Open, Owner::NONE));
    assert_eq!(to, RouteDecision::Offer(only(9201)));
}

#[test]
fn foreign_owner_dropped() {
    let v = view();
    let fieldlog = Owner::new(SocketAddrV4::new([127, 0, 0, 1].into(), 9201), 5);
    let to = route_packet(&v, &packet(9020, PacketKind::Data, fieldlog));
    assert_eq!(to, RouteDecision::Drop(Refusal::ForeignOwner));
}

#[test]
fn unknown_port_dropped() {
    let v = view();
    assert_eq!(
        route_packet(&v, &packet(1, PacketKind::Open, Owner::NONE)),
        RouteDecision::Drop(Refusal::NoProfile)
    );
}
