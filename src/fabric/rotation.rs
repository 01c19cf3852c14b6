//! Health checks of the balancers: the fabric polls each for readiness and takes
//! it out of rotation after consecutive failures, until it is ready again.

use std::net::SocketAddr;
use std::time::Duration;

use super::Sprayer;
use crate::admin::Connection;
use crate::events;

/// Consecutive failed health checks that take a balancer out of rotation.
const MAX_FAILURES: u32 = 2;

struct HealthCheck {
    addr: SocketAddr,
    peer: Option<Connection>,
    failures: u32,
}

impl HealthCheck {
    async fn run(&mut self, timeout: Duration) {
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
        self.failures = if matches!(ready, Ok(true)) { 0 } else { self.failures + 1 };
    }

    const fn is_healthy(&self) -> bool {
        self.failures < MAX_FAILURES
    }
}

/// Runs the health checks every `interval`, which is also their timeout, and updates
/// the rotation of `sprayer`. If no balancer is healthy, all are in rotation.
pub async fn maintain(sprayer: Sprayer, balancers: Vec<SocketAddr>, interval: Duration) {
    let mut checks: Vec<HealthCheck> =
        balancers.iter().map(|&addr| HealthCheck { addr, peer: None, failures: 0 }).collect();
    let mut previous = balancers.clone();
    loop {
        futures_util::future::join_all(checks.iter_mut().map(|c| c.run(interval))).await;
        let mut healthy: Vec<SocketAddr> =
            checks.iter().filter(|c| c.is_healthy()).map(|c| c.addr).collect();
        if healthy.is_empty() {
            healthy.clone_from(&balancers);
        }
        if healthy != previous {
            log::info!("{} rotation: {healthy:?}", events::FABRIC_ROTATION);
            previous.clone_from(&healthy);
            sprayer.set_rotation(healthy);
        }
        tokio::time::sleep(interval).await;
    }
}
