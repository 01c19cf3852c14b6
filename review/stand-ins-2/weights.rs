//! The operator shifts a route's weights while flows are open; later one balancer is restarted as
//! planned, and the routers hand its flows to the other.

use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Site;
use crate::world::{ClientState, World};

const FLOWS: usize = 20;
const ROUTE_PORT: u16 = 8_443;

/// A configuration like the example of the pages: one route with two weighted services.
fn config(version: u32, weights: (u32, u32)) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_check\":\"/health\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-feed\",\"host\":\"198.18.0.1\",\
         \"prefix\":\"/{ROUTE_PORT}/\",\"type\":\"safe\",\"timeout_ms\":3000,\
         \"target_latency_ms\":200,\"priority\":2,\"backends\":[\
         {{\"service\":\"huvo11a\",\"weight\":{}}},{{\"service\":\"wuno96b\",\"weight\":{}}}],\
         \"attempts\":2}}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        weights.0,
        weights.1,
        service("huvo11a"),
        service("wuno96b"),
    )
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(record)?;
    site.write_config(&config(1, (90, 10)))?;
    for n in 0..2 {
        site.start_front(n)?;
    }
    for n in 0..4 {
        site.start_side(n, if n < 2 { "huvo11a" } else { "wuno96b" }, site.store_addr())?;
    }
    let mut world = World::new(site.clone(), 2)?;
    for n in 0..4 {
        let (service, control) =
            (if n < 2 { "huvo11a" } else { "wuno96b" }, site.control(site.side_ip(n)));
        world.start_server(n, service, &format!("i-{n}"), control)?;
    }
    let up = |w: &World| w.fronts_in_rotation() == 2 && w.servers.iter().all(|s| s.acked());
    if !world.run_until(Duration::from_secs(15), up) {
        return Err("the system did not become ready".into());
    }
    // Longer than `contact_ms` after the last start.
    world.run(Duration::from_secs(5));
    for _ in 0..FLOWS {
        world.open_flow(ROUTE_PORT, Some(Duration::from_millis(700)));
        world.run(Duration::from_millis(30));
    }
    world.run(Duration::from_secs(3));
    let open = world.open_flows();
    if open < FLOWS / 2 || !world.resets.is_empty() {
        return Err(format!("only {open} of {FLOWS} flows are open"));
    }
    if trouble {
        site.write_config(&config(2, (10, 90)))?;
    }
    // Longer than `config_apply_ms`.
    world.run(Duration::from_secs(6));
    record.line(format!("{} flows are open", world.open_flows()));
    site.terminate("frontend-0");
    if !world.run_until(Duration::from_secs(8), |_| site.has_ended("frontend-0")) {
        return Err("frontend-0 did not stop".into());
    }
    world.run(Duration::from_secs(1));
    site.start_front(0)?;
    world.run(Duration::from_secs(8));
    Ok(judge(record, &world))
}

/// FLOW: the client gets a reset that the flow's server did not send, while that server lives.
pub fn judge(record: &Record, world: &World) -> Verdict {
    let broken: Vec<_> = world.resets.iter().filter(|r| r.held_by.is_some()).collect();
    let served: u32 = world.flows.iter().map(|f| f.served).sum();
    let open = world.flows.iter().filter(|f| f.state == ClientState::Open).count();
    record.line(format!(
        "{served} requests served; {open} flows still open; {} reset by the system while their \
         servers held them",
        broken.len()
    ));
    if broken.is_empty() {
        return Verdict::Held;
    }
    let ports: Vec<_> = broken.iter().map(|r| r.port).collect();
    Verdict::Broken(format!("FLOW: {} open flows were reset: {ports:?}", broken.len()))
}
