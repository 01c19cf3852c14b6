//! What the cases share: a small installation of one service, planned restarts, and the check.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::Site;
use crate::world::{ClientState, Reset, World};

pub const SERVICE: &str = "huvo11a";
pub const ROUTE_PORT: u16 = 8_443;

/// `flow_ttl_s` of the small deployments.
const FLOW_TTL: Duration = Duration::from_secs(60);

/// A configuration in the form of the pages, with a route at each port.
pub fn config(version: u32, ports: &[u16]) -> String {
    let routes: Vec<String> = ports
        .iter()
        .map(|port| {
            format!(
                "{{\"name\":\"r-{port}\",\"host\":\"127.198.18.1\",\"prefix\":\"/{port}/\",\
                 \"type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":200,\"priority\":2,\
                 \"service\":\"{SERVICE}\",\"attempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_check\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// Starts two balancers and `sides` servers with their agents, and waits until all serve.
pub fn start(site: &Site, sides: u8) -> Result<World, String> {
    start_with(site, sides, vec![site.store_addr(); 2])
}

/// As [`start`], with a balancer for each of `stores`, by which it reaches the store. The routers
/// know one more, which joins later.
pub fn start_with(site: &Site, sides: u8, stores: Vec<SocketAddrV4>) -> Result<World, String> {
    site.write_config(&config(1, &[ROUTE_PORT]))?;
    let fronts = stores.len();
    for (n, store) in (0..).zip(stores) {
        site.start_front(n, store)?;
    }
    for n in 0..sides {
        site.start_side(n, SERVICE, site.store_addr())?;
    }
    let mut world = World::new(site.clone(), fronts as u8 + u8::from(fronts > 2))?;
    for n in 0..sides {
        world.start_server(n, SERVICE, &format!("i-{n}"), site.control(site.side_ip(n)))?;
    }
    let up = |w: &World| w.fronts_in_rotation() == fronts && w.servers.iter().all(|s| s.acked());
    if !world.run_until(Duration::from_secs(15), up) {
        return Err("the system did not become ready".into());
    }
    Ok(world)
}

/// Restarts a balancer as planned.
pub fn restart_front(world: &mut World, n: u8) -> Result<(), String> {
    let (site, name) = (world.site.clone(), format!("frontend-{n}"));
    site.terminate(&name);
    if !world.run_until(Duration::from_secs(8), |_| site.has_ended(&name)) {
        return Err(format!("{name} did not stop"));
    }
    world.run(Duration::from_secs(1));
    site.start_front(n, site.store_addr())?;
    if !world.run_until(Duration::from_secs(10), |w| w.fronts_in_rotation() == 2) {
        return Err(format!("{name} did not become ready"));
    }
    // Longer than `contact_ms`, so that it is in touch when the next one leaves.
    world.run(Duration::from_secs(5));
    Ok(())
}

/// FLOW: the client gets a reset that the flow's server didn't send, while that server lives, all
/// machines concerned are in touch, and the flow is not older than `flow_ttl_s`. No client pauses for
/// longer than `idle_timeout_ms`, and no configuration drops a route.
pub fn judge(record: &Record, world: &World) -> Verdict {
    let counts = |r: &&Reset| r.held_by.is_some() && r.in_touch && r.age < FLOW_TTL;
    let broken: Vec<_> = world.resets.iter().filter(counts).collect();
    let served: u32 = world.flows.iter().map(|f| f.served).sum();
    let open = world.flows.iter().filter(|f| f.state == ClientState::Open).count();
    record.line(format!(
        "{served} requests served; {open} flows still open; {} reset by the system while their \
         servers held them and all was in touch; {} other resets of open flows, not counted",
        broken.len(),
        world.resets.len() - broken.len()
    ));
    if broken.is_empty() {
        return Verdict::Held;
    }
    let ports: Vec<_> = broken.iter().map(|r| r.port).collect();
    Verdict::Broken(format!("FLOW: {} open flows were reset: {ports:?}", broken.len()))
}
