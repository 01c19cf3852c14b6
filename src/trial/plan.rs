//! Size, load, addresses and ports of a trial.

use std::net::Ipv4Addr;

use super::FlowHash;

/// Names of the data centres.
pub const ZONES: [&str; 2] = ["gjw-a", "gjw-b"];

/// Names of the services, and the port of the route of each.
pub const SERVICES: [(&str, u16); 2] = [("meter", 443), ("fieldlog", 8_443)];

/// Virtual address of all routes with traffic.
pub const VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// Virtual address of the routes without traffic.
pub const IDLE_VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 2);

/// Port of the first route without traffic; the others follow.
pub const FIRST_IDLE_PORT: u16 = 1_000;

/// Size and load of a trial.
#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    /// First of the twenty ports that the trial uses, on loopback addresses.
    #[arg(long = "base", value_name = "BASE", default_value_t = 25_000)]
    pub base_port: u16,
    /// Balancers per data centre; there are two data centres.
    #[arg(long, default_value_t = 2)]
    pub balancers: u8,
    /// Targets per service; there are two services.
    #[arg(long, default_value_t = 3)]
    pub targets: u8,
    /// Callers that send requests continuously on a flow that stays open.
    #[arg(long, default_value_t = 20)]
    pub feeds: u16,
    /// Requests per second on new flows.
    #[arg(long, default_value_t = 50)]
    pub rate: u16,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 5)]
    pub secs: u64,
    /// How routers choose the balancer of a flow.
    #[arg(long, value_enum, default_value_t = FlowHash::Modulo)]
    pub hash: FlowHash,
    /// Number of routes without traffic, to enlarge the configuration.
    #[arg(long, default_value_t = 0)]
    pub idle_routes: u16,
    /// Size in KiB from which the configuration is published in parts.
    #[arg(long, default_value_t = 256)]
    pub relay_kib: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            base_port: 25_000,
            balancers: 2,
            targets: 3,
            feeds: 20,
            rate: 50,
            secs: 5,
            hash: FlowHash::Modulo,
            idle_routes: 0,
            relay_kib: 256,
        }
    }
}

/// Ports of a trial, the same at each of its addresses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// First port of the range.
    pub base: u16,
}

impl Ports {
    /// Where callers, balancers and agents receive packets.
    pub const fn packets(self) -> u16 {
        self.base
    }
    /// Readiness endpoint of balancers and agents.
    pub const fn ready(self) -> u16 {
        self.base + 1
    }
    /// Where an agent receives its target's packets.
    pub const fn outbound(self) -> u16 {
        self.base + 2
    }
    /// Where an agent receives its target's reports.
    pub const fn reports(self) -> u16 {
        self.base + 3
    }
    /// Where targets listen.
    pub const fn app(self) -> u16 {
        self.base + 4
    }
    /// Endpoint of metrics and state.
    pub const fn metrics(self) -> u16 {
        self.base + 5
    }
    /// Store.
    pub const fn store(self) -> u16 {
        self.base + 6
    }
    /// Messages between balancers and agents.
    pub const fn messages(self) -> u16 {
        self.base + 10
    }
}

/// Address of balancer `n` of a data centre.
pub const fn balancer_ip(zone: u8, n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, zone + 1, n + 1)
}

/// Address of target `n` of a service.
pub const fn target_ip(service: u8, n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 2, service + 1, n + 1)
}

/// Address of the callers of a data centre.
pub const fn caller_ip(zone: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 3, zone + 1, 1)
}
