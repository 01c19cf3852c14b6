//! Which balancers are in rotation: the fabric asks each whether it is ready,
//! and takes it out after two misses until it answers again.

use std::net::SocketAddr;
use std::time::Duration;

use super::Spray;
use crate::admin::Connection;
use crate::events;

/// Misses in a row that take a balancer out.
const MISSES: u32 = 2;

struct Probe {
    addr: SocketAddr,
    peer: Option<Connection>,
    misses: u32,
}

impl Probe {
    async fn ask(&mut self, timeout: Duration) {
        if self.peer.is_none() {
            self.peer = Connection::connect(self.addr, timeout).await.ok();
        }
        let ready = match &self.peer {
            Some(peer) => peer.fetch_readiness().await,
            None => Ok(false),
        };
        if ready.is_err() {
            self.peer = None;
        }
        self.misses = if matches!(ready, Ok(true)) { 0 } else { self.misses + 1 };
    }

    const fn live(&self) -> bool {
        self.misses < MISSES
    }
}

/// Keeps the rotation of `spray` current, forever. When no balancer is ready,
/// all are used.
pub async fn keep(spray: Spray, balancers: Vec<SocketAddr>, every: Duration) {
    let mut probes: Vec<Probe> =
        balancers.iter().map(|&addr| Probe { addr, peer: None, misses: 0 }).collect();
    let mut before = balancers.clone();
    loop {
        futures_util::future::join_all(probes.iter_mut().map(|p| p.ask(every))).await;
        let mut live: Vec<SocketAddr> =
            probes.iter().filter(|p| p.live()).map(|p| p.addr).collect();
        if live.is_empty() {
            live.clone_from(&balancers);
        }
        if live != before {
            log::info!("{} rotation: {live:?}", events::FABRIC_ROTATION);
            before.clone_from(&live);
            spray.rotate(live);
        }
        tokio::time::sleep(every).await;
    }
}
