//! The platform's routers: choose a ready balancer of the caller's data centre for
//! each packet, by a hash of its addresses and ports.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::time::Duration;

use ntex::client::Client;

use crate::flow::Flow;
use crate::platform::READY_PATH;

/// Interval of readiness probes, and timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive failed probes after which a balancer is out of rotation.
const MAX_MISSED_PROBES: u32 = 2;

/// How routers choose the balancer of a flow among those in rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum FlowHash {
    /// Hash modulo the number of balancers: a balancer that joins or leaves moves
    /// nearly all flows.
    #[value(name = "mod")]
    Modulo,
    /// Rendezvous hashing: only the flows of that balancer move.
    #[value(name = "steady")]
    Rendezvous,
}

#[derive(Clone, Copy, Debug)]
struct Balancer {
    addr: SocketAddrV4,
    missed_probes: u32,
}

/// Routers of all data centres.
#[derive(Debug)]
pub struct Router {
    zones: RefCell<Vec<Vec<Balancer>>>,
    ready_port: u16,
    hash: FlowHash,
}

impl Router {
    /// Creates routers for `balancers`, grouped by data centre. None is in rotation
    /// before its first successful probe.
    pub fn new(balancers: Vec<Vec<SocketAddrV4>>, ready_port: u16, hash: FlowHash) -> Self {
        let new = |addr| Balancer { addr, missed_probes: MAX_MISSED_PROBES };
        let zones = balancers.into_iter().map(|z| z.into_iter().map(new).collect()).collect();
        Self { zones: RefCell::new(zones), ready_port, hash }
    }

    /// Whether every balancer is in rotation.
    pub fn all_ready(&self) -> bool {
        self.zones.borrow().iter().flatten().all(|b| b.missed_probes < MAX_MISSED_PROBES)
    }

    /// Chooses the balancer for a packet of `flow` from data centre `zone`. If
    /// fewer than half of the data centre's balancers are ready, all of them are
    /// candidates.
    pub fn pick(&self, zone: usize, flow: Flow) -> Option<SocketAddrV4> {
        let zones = self.zones.borrow();
        let home = zones.get(zone)?;
        let mut ready: Vec<SocketAddrV4> =
            home.iter().filter(|b| b.missed_probes < MAX_MISSED_PROBES).map(|b| b.addr).collect();
        if ready.len() * 2 < home.len() {
            ready = home.iter().map(|b| b.addr).collect();
        }
        match self.hash {
            FlowHash::Modulo => {
                let n = u64::try_from(ready.len()).ok().filter(|n| *n > 0)?;
                ready.get(usize::try_from(flow.hash64() % n).ok()?).copied()
            }
            FlowHash::Rendezvous => ready.into_iter().max_by_key(|b| flow.rendezvous_weight(*b)),
        }
    }

    /// Probes every balancer once.
    pub async fn probe(&self) {
        let addrs: Vec<SocketAddrV4> =
            self.zones.borrow().iter().flatten().map(|b| b.addr).collect();
        let client = Client::new().await;
        for addr in addrs {
            let url = format!("http://{}:{}{READY_PATH}", addr.ip(), self.ready_port);
            let response = tokio::time::timeout(PROBE_INTERVAL, client.get(url).send()).await;
            let ready = matches!(response, Ok(Ok(res)) if res.status().is_success());
            let mut zones = self.zones.borrow_mut();
            if let Some(b) = zones.iter_mut().flatten().find(|b| b.addr == addr) {
                b.missed_probes = if ready { 0 } else { b.missed_probes + 1 };
            }
        }
    }

    /// Probes all balancers periodically; never returns.
    pub async fn keep_probing(&self) {
        loop {
            self.probe().await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}
