//! A server is cut off while its first report is under way, and crashes. The report arrives after the
//! next boot at the same address has registered. That boot drains later, as planned.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::Site;
use crate::world::World;
use crate::{Verdict, proxy};

const SERVICE: &str = "huvo11a";
const ROUTE_PORT: u16 = 8_443;

/// Side machines. The server on the first is cut off: one in six.
const SIDES: u8 = 6;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(4_000);
/// How much later than new connections the bytes of old ones get through: their sender's next
/// retransmission.
const HELD_LONGER: Duration = Duration::from_millis(500);
/// Bound of the rule.
const DRAIN: Duration = Duration::from_millis(3_000);
/// How long the draining server goes on after the acknowledgement.
const GOES_ON: Duration = Duration::from_millis(8_000);
/// Time between two flows, each of which carries one request.
const FLOW_GAP: Duration = Duration::from_millis(20);

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-pay\",\"host\":\"198.18.0.1\",\
         \"prefix\":\"/{ROUTE_PORT}/\",\"type\":\"unsafe\",\"timeout_ms\":4000,\
         \"target_latency_ms\":250,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
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
    for n in 1..SIDES {
        world.start_server(n, SERVICE, &format!("i-{n}"), site.control(site.side_ip(n)))?;
    }
    let up = |w: &World| w.fronts_in_rotation() == 2 && w.servers.iter().all(|s| s.acked());
    if !world.run_until(Duration::from_secs(15), up) {
        return Err("the system did not become ready".into());
    }
    world.run(Duration::from_secs(2));

    let control = site.control(site.side_ip(0));
    if trouble {
        boot_behind_cut(&mut world, control)?;
    }
    world.start_server(0, SERVICE, "i-second", control)?;
    let acked = |w: &World| w.server("i-second").is_some_and(|s| s.acked());
    if !world.run_until(Duration::from_secs(3), acked) {
        return Err("the second boot's report was not acknowledged".into());
    }
    // Longer than `contact_ms` after the cut.
    run_traffic(&mut world, Duration::from_secs(7));
    let before = world.server("i-second").map_or(0, |s| s.ran.len());
    record.line(format!("i-second has run {before} requests before it drains"));
    world.drain_server("i-second");
    let drained = |w: &World| w.server("i-second").is_some_and(|s| s.drain_acked().is_some());
    let until = Instant::now() + Duration::from_secs(4);
    while !drained(&world) && Instant::now() < until {
        run_traffic(&mut world, FLOW_GAP);
    }
    let Some(acked_at) = world.server("i-second").and_then(|s| s.drain_acked()) else {
        return Err("the report of the drain was not acknowledged".into());
    };
    run_traffic(&mut world, GOES_ON);
    Ok(judge(record, &world, acked_at))
}

/// The first boot is cut off while its first report is under way, and crashes. The cut ends, and
/// new connections work at once; the bytes that were held up arrive a little later. What the boot
/// sent on new connections is lost.
fn boot_behind_cut(world: &mut World, control: SocketAddrV4) -> Result<(), String> {
    let record = world.site.record.clone();
    let through_cut = SocketAddrV4::new(*world.site.proxy_addr().ip(), control.port());
    let started = Instant::now();
    let (sent, arrived) = (record.clone(), record.clone());
    let under_way = Arc::new(AtomicBool::new(false));
    let decide = move |request: &str| {
        let line = request.lines().next().unwrap_or("").to_string();
        let body = request.lines().last().unwrap_or("");
        if under_way.swap(true, Ordering::Relaxed) {
            sent.line(format!("cut: loses {line} {body}"));
            return proxy::Fate::Lost;
        }
        sent.line(format!("cut: holds up {line} {body}"));
        proxy::Fate::Late((CUT + HELD_LONGER).saturating_sub(started.elapsed()))
    };
    let done =
        move |status| arrived.line(format!("cut: the report of i-first arrives; answer {status}"));
    proxy::start(through_cut, control, decide, done)?;
    world.start_server(0, SERVICE, "i-first", through_cut)?;
    world.run(CUT / 2);
    world.crash_server("i-first");
    world.run(CUT.saturating_sub(started.elapsed()));
    record.line("the cut ends".into());
    Ok(())
}

fn run_traffic(world: &mut World, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        world.open_flow(ROUTE_PORT, None);
        world.run(FLOW_GAP);
    }
}

/// DRAIN: a request reaches a server later than `drain_ms` after the acknowledgement; judged by
/// the opening packet, when the client sent it.
fn judge(record: &Record, world: &World, acked_at: Instant) -> Verdict {
    let Some(server) = world.server("i-second") else { return Verdict::Held };
    let late: Vec<_> = server
        .ran
        .iter()
        .filter_map(|(id, port)| {
            let after = world.opened_at(*port)?.checked_duration_since(acked_at)?;
            (after > DRAIN).then(|| (id.clone(), after.as_millis()))
        })
        .collect();
    for (id, ms) in &late {
        record.line(format!(
            "{id} ran at i-second; its flow's first SYN was sent {ms} ms after the acknowledgement"
        ));
    }
    let others: usize =
        world.servers.iter().filter(|s| s.id != "i-second").map(|s| s.ran.len()).sum();
    record.line(format!("i-second ran {} requests, the other servers {others}", server.ran.len()));
    if late.is_empty() {
        return Verdict::Held;
    }
    let last = late.iter().map(|(_, ms)| *ms).max().unwrap_or(0);
    Verdict::Broken(format!(
        "DRAIN: {} requests, the last {last} ms after the acknowledgement",
        late.len()
    ))
}
