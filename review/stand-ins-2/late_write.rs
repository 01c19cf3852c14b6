//! The store loses the answer to an agent's write and executes the write seconds later. Meanwhile
//! the machine is lost for good, and its address goes to a server of another service. Later, when
//! all is calm, one balancer is restarted as planned.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::world::World;
use crate::{Verdict, proxy, weights};

const FEED: &str = "huvo11a";
const UPLOAD: &str = "wuno96b";
const FEED_PORT: u16 = 8_443;
const UPLOAD_PORT: u16 = 8_080;
const FLOWS: usize = 30;

/// When the store executes the write whose answer it loses.
const LATE: Duration = Duration::from_millis(5_500);
/// Time between the loss of the machine and the next one at its address.
const REUSE: Duration = Duration::from_millis(2_100);

fn config() -> String {
    let route = |name: &str, port: u16, kind: &str, timeout: u32, aim: u32, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"198.18.0.1\",\"prefix\":\"/{port}/\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":2,\
             \"service\":\"{service}\",\"attempts\":2}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_check\":\"/health\",\"max_conns\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-feed", FEED_PORT, "safe", 3_000, 200, FEED),
        route("r-upload", UPLOAD_PORT, "upload", 8_000, 500, UPLOAD),
        service(FEED),
        service(UPLOAD),
    )
}

/// The side machines: 0 is replaced; 1 to 3 serve the feed, 4 to 6 the uploads.
fn service_of(n: u8) -> &'static str {
    if (1..=3).contains(&n) { FEED } else { UPLOAD }
}

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(record)?;
    site.write_config(&config())?;
    for n in 0..2 {
        site.start_front(n)?;
    }
    for n in 1..=6 {
        site.start_side(n, service_of(n), site.store_addr())?;
    }
    let mut world = World::new(site.clone(), 2)?;
    for n in 1..=6 {
        world.start_server(n, service_of(n), &format!("i-{n}"), site.control(site.side_ip(n)))?;
    }
    let up = |w: &World| w.fronts_in_rotation() == 2 && w.servers.iter().all(|s| s.acked());
    if !world.run_until(Duration::from_secs(15), up) {
        return Err("the system did not become ready".into());
    }
    world.run(Duration::from_secs(3));

    // A server of the upload service is added.
    start_proxy(&site, trouble)?;
    site.start_side(0, UPLOAD, site.proxy_addr())?;
    world.start_server(0, UPLOAD, "i-old", site.control(site.side_ip(0)))?;
    world.run(Duration::from_millis(2_400));
    site.record_registration(0);

    // Its machine is lost for good; the address goes to the feed service.
    site.kill("side-0");
    world.crash_server("i-old");
    world.run(REUSE);
    site.start_side(0, FEED, site.proxy_addr())?;
    world.start_server(0, FEED, "i-new", site.control(site.side_ip(0)))?;
    if !world.run_until(Duration::from_secs(3), |w| w.server("i-new").is_some_and(|s| s.acked())) {
        return Err("the report of i-new was not acknowledged".into());
    }
    world.run(Duration::from_millis(650));
    site.record_registration(0);
    for _ in 0..FLOWS {
        world.open_flow(FEED_PORT, Some(Duration::from_millis(700)));
        world.run(Duration::from_millis(10));
    }

    // Past the late write, and longer than `contact_ms` beyond it.
    world.run(Duration::from_secs(10));
    site.record_registration(0);
    let at_new = world.flows.iter().filter(|f| f.server.as_deref() == Some("i-new")).count();
    record.line(format!("{} flows are open, {at_new} of them at i-new", world.open_flows()));
    if at_new == 0 || !world.resets.is_empty() {
        return Err("no flow is at i-new before the planned restart".into());
    }
    for n in 0..2 {
        restart(&mut world, n)?;
    }
    world.run(Duration::from_secs(3));
    site.record_registration(0);
    Ok(weights::judge(record, &world))
}

/// The proxy between the daemon on machine 0 and the store. It delays the first registration.
fn start_proxy(site: &Site, trouble: bool) -> Result<(), String> {
    let delayed = Arc::new(AtomicBool::new(!trouble));
    let key = format!("jujubepost/agents/{}\"", site.side_ip(0));
    let (log, done_log) = (site.record.clone(), site.record.clone());
    let decide = move |request: &str| {
        let is_put = request.starts_with("POST /v1/kv-txn") && request.contains(&key);
        if is_put && !delayed.swap(true, Ordering::Relaxed) {
            log.line(
                "store: loses the answer to the first write of side-0; it is executed later".into(),
            );
            return proxy::Fate::Late(LATE);
        }
        proxy::Fate::Pass
    };
    let done =
        move |status| done_log.line(format!("store: executes the write of side-0 now: {status}"));
    proxy::start(site.proxy_addr(), site.store_addr(), decide, done)
}

/// Restarts a balancer as planned.
pub fn restart(world: &mut World, n: u8) -> Result<(), String> {
    let (site, name) = (world.site.clone(), format!("frontend-{n}"));
    site.terminate(&name);
    if !world.run_until(Duration::from_secs(8), |_| site.has_ended(&name)) {
        return Err(format!("{name} did not stop"));
    }
    world.run(Duration::from_secs(1));
    site.start_front(n)?;
    if !world.run_until(Duration::from_secs(10), |w| w.fronts_in_rotation() == 2) {
        return Err(format!("{name} did not become ready"));
    }
    world.run(Duration::from_secs(2));
    Ok(())
}
