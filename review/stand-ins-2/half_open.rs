//! An agent stands still for a moment while flows open. An open that it had received is offered
//! to another agent meanwhile, so that two servers answer it; the client goes on with the other
//! one. Later the agent and the balancers are restarted as planned.

use std::time::Duration;

use crate::record::Record;
use crate::site::Site;
use crate::{Verdict, common};

const SIDES: u8 = 5;
const FLOWS: usize = 100;
/// How long the agent stands still.
const FREEZE: Duration = Duration::from_millis(400);

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(record)?;
    let mut world = common::start(&site, SIDES)?;
    world.run(Duration::from_secs(5));
    if trouble {
        site.freeze("side-0");
    }
    for _ in 0..FLOWS {
        world.open_flow(common::ROUTE_PORT, Some(Duration::from_millis(700)));
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
    site.start_side(0, common::SERVICE, site.store_addr())?;
    world.run(Duration::from_secs(6));
    record.line(format!("{} flows are open", world.open_flows()));
    for n in 0..2 {
        common::restart_front(&mut world, n)?;
    }
    world.run(Duration::from_secs(3));
    Ok(common::judge(record, &world))
}
