//! An agent stands still for a moment while flows open. An open that it had received is offered
//! to another agent meanwhile, so that two servers answer it; the client goes on with the other
//! one. Later the agent and the balancers are restarted as planned.

use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::world::World;
use crate::{Verdict, late_write, weights};

const SERVICE: &str = "huvo11a";
const ROUTE_PORT: u16 = 8_443;
const SIDES: u8 = 5;
const FLOWS: usize = 40;
/// How long the agent stands still.
const FREEZE: Duration = Duration::from_millis(400);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-feed\",\"host\":\"198.18.0.1\",\
         \"prefix\":\"/{ROUTE_PORT}/\",\"type\":\"safe\",\"timeout_ms\":3000,\
         \"target_latency_ms\":200,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_check\":\"/health\",\"max_conns\":2000,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(record)?;
    site.write_config(&config())?;
    for n in 0..2 {
        site.start_front(n)?;
    }
    for n in 0..SIDES {
        site.start_side(n, SERVICE, site.store_addr())?;
    }
    let mut world = World::new(site.clone(), 2)?;
    for n in 0..SIDES {
        world.start_server(n, SERVICE, &format!("i-{n}"), site.control(site.side_ip(n)))?;
    }
    let up = |w: &World| w.fronts_in_rotation() == 2 && w.servers.iter().all(|s| s.acked());
    if !world.run_until(Duration::from_secs(15), up) {
        return Err("the system did not become ready".into());
    }
    world.run(Duration::from_secs(5));
    if trouble {
        site.freeze("side-0");
    }
    for _ in 0..FLOWS {
        world.open_flow(ROUTE_PORT, Some(Duration::from_millis(700)));
        world.run(Duration::from_millis(1));
    }
    world.run(FREEZE);
    if trouble {
        site.wake("side-0");
    }
    // Longer than `contact_ms`.
    world.run(Duration::from_millis(4_500));
    site.terminate("side-0");
    if !world.run_until(Duration::from_secs(8), |_| site.has_ended("side-0")) {
        return Err("side-0 did not stop".into());
    }
    world.run(Duration::from_millis(300));
    site.start_side(0, SERVICE, site.store_addr())?;
    world.run(Duration::from_secs(6));
    record.line(format!("{} flows are open", world.open_flows()));
    for n in 0..2 {
        late_write::restart(&mut world, n)?;
    }
    world.run(Duration::from_secs(3));
    Ok(weights::judge(record, &world))
}
