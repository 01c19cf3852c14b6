//! The balancer that reads the store for the others is cut off from it. Meanwhile the operator adds
//! a route, one balancer joins and another leaves, as planned.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::Site;
use crate::{Verdict, common, http, proxy};

const SIDES: u8 = 4;
const FRONTS: u8 = 4;
const NEW_PORT: u16 = 8_080;
const FLOWS: usize = 320;
/// How long the cut lasts.
const CUT: Duration = Duration::from_millis(5_000);
const METRICS_PORT: u16 = 9_464;

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(record)?;
    let cuts: Vec<_> = (0..FRONTS).map(|_| Arc::new(AtomicBool::new(false))).collect();
    for n in 0..FRONTS {
        proxy::start(site.proxy_addr(n), site.store_addr(), cuts[usize::from(n)].clone())?;
    }
    let stores = (0..FRONTS).map(|n| site.proxy_addr(n)).collect();
    let mut world = common::start_with(&site, SIDES, stores)?;
    world.run(Duration::from_secs(9));
    let reader = (0..FRONTS).find(|n| distributes(&site, *n)).ok_or("no reader")?;
    let leaver = (reader + 1) % FRONTS;
    record.line(format!("frontend-{reader} reads the store for the others"));

    site.write_config(&common::config(2, &[common::ROUTE_PORT, 9_001]))?;
    world.run(Duration::from_millis(80));
    let cut_at = Instant::now();
    if trouble {
        cuts[usize::from(reader)].store(true, Ordering::Relaxed);
        site.disturb(site.front_ip(reader), true);
        record.line(format!("frontend-{reader} is cut off from the store"));
    }
    world.run(Duration::from_millis(60));
    site.write_config(&common::config(3, &[common::ROUTE_PORT, 9_001, NEW_PORT]))?;
    site.start_front(FRONTS, site.store_addr())?;
    for n in 0..FLOWS {
        if n == FLOWS / 8 {
            site.terminate(&format!("frontend-{leaver}"));
        }
        world.open_flow(NEW_PORT, Some(Duration::from_millis(100)));
        world.run(Duration::from_millis(5));
    }
    world.run(CUT.saturating_sub(cut_at.elapsed()));
    if trouble {
        cuts[usize::from(reader)].store(false, Ordering::Relaxed);
        site.disturb(site.front_ip(reader), false);
        record.line(format!("frontend-{reader} reaches the store again"));
    }
    if !site.has_ended(&format!("frontend-{leaver}")) {
        return Err("the balancer that leaves did not stop".into());
    }
    site.start_front(leaver, site.proxy_addr(leaver))?;
    world.run(Duration::from_secs(3));
    Ok(common::judge(record, &world))
}

/// Whether a balancer reads the store for the others, by its metrics.
fn distributes(site: &Site, n: u8) -> bool {
    let addr = SocketAddrV4::new(site.front_ip(n), METRICS_PORT);
    let answer = http::call(addr, "GET", "/metrics", "", Duration::from_secs(2));
    let Ok((_, body)) = answer else { return false };
    let text = String::from_utf8_lossy(&body).into_owned();
    text.lines().any(|l| l.contains("distributes") && l.trim_end().ends_with(" 1"))
}
