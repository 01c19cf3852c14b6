//! A server starts again while the store is away, so that its agent can't write that down. The
//! agent is restarted as planned soon after. Open flows that pause meanwhile go on later, when all
//! has been calm for longer than `contact_ms`.

use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::{Verdict, common};

const SIDES: u8 = 8;
const FLOWS: usize = 60;
/// Pause of the clients between two requests; `idle_timeout_ms` is 15,000.
const PAUSE: Duration = Duration::from_secs(10);
/// How long the store is away.
const OUTAGE: Duration = Duration::from_millis(4_300);

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(record)?;
    let mut world = common::start(&site, SIDES)?;
    world.run(Duration::from_secs(5));
    if trouble {
        site.set_store_away(true)?;
    }
    let outage_began = std::time::Instant::now();
    world.run(Duration::from_millis(200));
    site.disturb(site.side_ip(0), false);
    world.crash_server("i-0");
    world.run(Duration::from_millis(500));
    world.start_server(0, common::SERVICE, "i-0b", site.control(site.side_ip(0)))?;
    world.run(Duration::from_millis(150));
    for _ in 0..FLOWS {
        world.open_flow(common::ROUTE_PORT, Some(PAUSE));
        world.run(Duration::from_millis(6));
    }
    // Shortly before the server's second report.
    world.run(Duration::from_millis(400));
    site.terminate("side-0");
    if !world.run_until(Duration::from_secs(8), |_| site.has_ended("side-0")) {
        return Err("side-0 did not stop".into());
    }
    site.start_side(0, common::SERVICE, site.store_addr())?;
    world.run(OUTAGE.saturating_sub(outage_began.elapsed()));
    if trouble {
        site.set_store_away(false)?;
    }
    // Until the clients go on, and a little longer.
    world.run(PAUSE);
    let held = world.flows.iter().filter(|f| f.server.as_deref() == Some("i-0b")).count();
    record.line(format!("{held} flows were opened at i-0b"));
    if held == 0 {
        return Err("no flow was opened at i-0b".into());
    }
    Ok(common::judge(record, &world))
}
