//! Decoding of input from outside the process: configurations, targets' reports,
//! messages and settings. Errors name the invalid field, and no input panics.

use std::time::Duration;

use jujubepost::edge::Settings;
use jujubepost::platform::config;
use jujubepost::platform::instances::{self, InstanceCall};
use jujubepost::protocol::{self, Answer, FlowStatus, ForwardMode, Message};
use jujubepost::tracker::{ColdAllowance, Incarnation, TargetState};
use rand::{Rng, SeedableRng, rngs::StdRng};

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-a","host":"198.18.0.1","prefix":"/8443/","type":"safe","timeout_ms":3000,
  "backends":[{"service":"meter","weight":90},{"service":"fieldlog","weight":10}]},
 {"name":"r-b","host":"198.18.0.2","prefix":"/443/","type":"upload","service":"fieldlog"}],
 "services":[{"name":"meter","max_conns":2000},{"name":"fieldlog"}],
 "limits":{"idle_timeout_ms":12000}}"#;

#[test]
fn valid_config_decodes() {
    let routes = config::decode(CONFIG.as_bytes()).unwrap();
    assert_eq!((routes.version, routes.by_address.len()), (7, 2));
    assert_eq!(routes.idle_timeout, Duration::from_secs(12));
    let split = &routes.by_address[&"198.18.0.1:8443".parse().unwrap()];
    assert_eq!(split.request_timeout, Duration::from_secs(3));
    let parts: Vec<_> = split.services.iter().map(|s| (&*s.service, s.weight)).collect();
    assert_eq!(parts, [("meter", 90), ("fieldlog", 10)]);
    assert_eq!(split.services[0].max_flows, 2_000);
    let single = &routes.by_address[&"198.18.0.2:443".parse().unwrap()];
    assert_eq!(&*single.services[0].service, "fieldlog");
}

#[test]
fn invalid_config_names_field() {
    let cases = [
        ("{", "configuration"),
        (r#"{"routes":[]}"#, "version"),
        (r#"{"version":1,"routes":[{"name":"r","host":"x","prefix":"/1/"}]}"#, "routes[0].host"),
        (r#"{"version":1,"routes":[{"name":"r","host":"1.2.3.4","prefix":"/x/"}]}"#, "route r"),
        (r#"{"version":1,"routes":[{"name":"r","host":"1.2.3.4","prefix":"/70000/"}]}"#, "route r"),
    ];
    for (text, field) in cases {
        let e = format!("{:#}", config::decode(text.as_bytes()).unwrap_err());
        assert!(e.contains(field), "{text}: {e}");
    }
}

#[test]
fn flows_split_by_weight() {
    let routes = config::decode(CONFIG.as_bytes()).unwrap();
    let flows = (1..=10_000).map(|port| jujubepost::flow::Flow {
        caller: std::net::SocketAddrV4::new([100, 64, 0, 1].into(), port),
        vip: "198.18.0.1:8443".parse().unwrap(),
    });
    let meter = flows.filter(|f| &*routes.service_for(*f).unwrap().service == "meter").count();
    // Expected: 9,000, within six standard deviations (180).
    assert!((8_820..=9_180).contains(&meter), "{meter}");
}

fn decode(path: &str, body: &[u8]) -> anyhow::Result<Option<InstanceCall>> {
    instances::decode(path, body, "10.128.0.9:8080".parse().unwrap())
}

#[test]
fn valid_reports_decode() {
    let body = r#"{"service":"meter","address":"10.128.0.9:8080","zone":"gjw-a","version":"v1",
        "capacity":5,"state":"draining","warmup_left_ms":700,"seq":4}"#;
    let call = decode("/v1/Instances.Heartbeat/i-7f3a91c2", body.as_bytes()).unwrap();
    let Some(InstanceCall::Heartbeat(r)) = call else { panic!("{call:?}") };
    assert_eq!(
        (&*r.incarnation.id, r.service.as_str(), r.slots, r.seq),
        ("i-7f3a91c2", "meter", 5, 4)
    );
    assert_eq!((r.state, r.warmup), (TargetState::Draining, Duration::from_millis(700)));
    let with_start_time = body.replace("\"seq\":4", "\"seq\":4,\"born\":1796265600123");
    let call = decode("/v1/Instances.Heartbeat/i-1", with_start_time.as_bytes()).unwrap();
    let Some(InstanceCall::Heartbeat(r)) = call else { panic!("{call:?}") };
    assert_eq!(
        r.incarnation,
        Incarnation { id: "i-1".into(), started_ms: Some(1_796_265_600_123) }
    );
    let deregistration = decode("/v1/Instances.Deregister/i-1", br#"{"born":7}"#).unwrap();
    assert_eq!(
        deregistration,
        Some(InstanceCall::Deregister(Incarnation { id: "i-1".into(), started_ms: Some(7) }))
    );
    let deregistration = decode("/v1/Instances.Deregister/i-7f3a91c2", b"").unwrap();
    assert_eq!(deregistration, Some(InstanceCall::Deregister("i-7f3a91c2".into())));
    assert_eq!(decode("/other", b"").unwrap(), None);
    let invalid = decode("/v1/Instances.Heartbeat/i-1", br#"{"service":"m","capacity":"x"}"#);
    assert!(format!("{:#}", invalid.unwrap_err()).contains("i-1"));
}

#[test]
fn random_bytes_do_not_panic() {
    let mut rng = StdRng::seed_from_u64(20_261_203);
    for _ in 0..20_000 {
        let mut bytes = vec![0; rng.random_range(0..200)];
        rng.fill(&mut bytes[..]);
        let _ = protocol::decode(&bytes);
        let _ = config::decode(&bytes);
        let _ = decode("/v1/Instances.Heartbeat/i", &bytes);
    }
}

#[test]
fn message_round_trip() {
    let mut buf = Vec::new();
    let message = Message::Forward { service: "meter", mode: ForwardMode::Try };
    protocol::encode(&message, b"packet", &mut buf).unwrap();
    assert_eq!(protocol::decode(&buf).unwrap(), (message, &b"packet"[..]));
    let flow = jujubepost::flow::Flow {
        caller: "255.255.255.255:65535".parse().unwrap(),
        vip: "255.255.255.254:65534".parse().unwrap(),
    };
    let hint = Some(flow.caller);
    let answers =
        vec![Answer { flow, status: FlowStatus::Unverified, hint }; protocol::MAX_QUERY_FLOWS];
    let message = Message::Response { answers, load: u32::MAX };
    protocol::encode(&message, &[], &mut buf).unwrap();
    assert!(buf.len() <= 1_236, "{} bytes: longer than a packet", buf.len());
    assert_eq!(protocol::decode(&buf).unwrap().0, message);
    let oversized = vec![0; protocol::MAX_DATAGRAM_BYTES];
    assert!(protocol::encode(&Message::Ping { listed: true }, &oversized, &mut buf).is_err());
}

#[test]
fn invalid_settings_name_field() {
    let good = r#"{ // a comment
        "name": "side-1", "zone": "gjw-a", "ip": "10.1.0.12", "ports": [7720, 7735],
        "packets": "10.1.0.12:8172", "store": "10.200.1.7:8169",
        "seeds": ["10.1.0.12:8166", "10.2.0.40:8166"], "bounds": { "grace_s": 6, "flow_s": 60 } }"#;
    let s = Settings::parse(good).unwrap();
    assert_eq!(s.message_addr(), "10.1.0.12:7720".parse().unwrap());
    assert_eq!(s.cold_allowance(), ColdAllowance::default(), "no more than a target bears");
    assert_eq!(s.peer_addrs(), ["10.2.0.40:7720".parse().unwrap()], "not itself");
    for (valid, invalid, field) in [
        ("[7720, 7735]", "[7735, 7720]", "ports"),
        ("10.1.0.12:8172", "10.1.0.12:0", "packets"),
        ("\"grace_s\": 6", "\"grace_s\": 0", "bounds.grace_s"),
        ("\"flow_s\": 60", "\"flow_s\": \"x\"", "bounds.flow_s"),
        ("\"flow_s\": 60", "\"flow_s\": 60, \"warmup_overage\": 0.5", "bounds.warmup_overage"),
        ("\"flow_s\": 60", "\"flow_s\": 60, \"warmup_slack\": -1", "bounds.warmup_slack"),
        ("\"zone\"", "\"zome\"", "zome"),
        ("\"zone\"", "\"cpu_share\": 0, \"zone\"", "cpu_share"),
        ("\"zone\"", "\"link_mbps\": -1, \"zone\"", "link_mbps"),
        ("\"zone\"", "\"policy\": { \"steer\": { \"round\": 0 } }, \"zone\"", "policy.steer.round"),
        ("\"zone\"", "\"policy\": { \"hold\": { \"quue\": 1 } }, \"zone\"", "policy.hold.quue"),
    ] {
        let e = format!("{:#}", Settings::parse(&good.replace(valid, invalid)).unwrap_err());
        assert!(e.contains(field), "{invalid}: {e}");
    }
}
