//! The size of a trial, its load, and the addresses and ports that it uses.

use std::net::Ipv4Addr;

use super::FlowHash;

/// The data centres of a trial.
pub const ZONES: [&str; 2] = ["gjw-a", "gjw-b"];

/// The services of a trial, and the port of each one's route.
pub const SERVICES: [(&str, u16); 2] = [("meter", 443), ("fieldlog", 8_443)];

/// Address that callers call.
pub const VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// Address of the routes without traffic.
pub const IDLE_VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 2);

/// First port of the routes without traffic.
pub const FIRST_IDLE_PORT: u16 = 1_000;

/// The size of a trial and its load.
#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    /// First port; the trial uses twenty from it on, at loopback addresses of
    /// its own.
    #[arg(long = "base", value_name = "BASE", default_value_t = 25_000)]
    pub base_port: u16,
    /// Balancers in each of the two data centres.
    #[arg(long, default_value_t = 2)]
    pub balancers: u8,
    /// Targets of each of the two services.
    #[arg(long, default_value_t = 3)]
    pub targets: u8,
    /// Callers that hold a flow open and ask again and again.
    #[arg(long, default_value_t = 20)]
    pub feeds: u16,
    /// Requests a second on flows of their own.
    #[arg(long, default_value_t = 50)]
    pub rate: u16,
    /// How long the load lasts, in seconds.
    #[arg(long, default_value_t = 5)]
    pub secs: u64,
    /// How routers spread flows over balancers.
    #[arg(long, value_enum, default_value_t = FlowHash::Modulo)]
    pub hash: FlowHash,
    /// Routes without traffic.
    #[arg(long, default_value_t = 0)]
    pub idle_routes: u16,
    /// From what size on, in KiB, the configuration is handed on in parts.
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

/// The ports of a trial, from its first port on.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The first port.
    pub base: u16,
}

impl Ports {
    /// Where callers and balancers take packets.
    pub const fn packets(self) -> u16 {
        self.base
    }
    /// Where readiness is asked for.
    pub const fn ready(self) -> u16 {
        self.base + 1
    }
    /// Where an agent takes its target's packets.
    pub const fn outbound(self) -> u16 {
        self.base + 2
    }
    /// Where an agent takes its target's reports.
    pub const fn reports(self) -> u16 {
        self.base + 3
    }
    /// Where targets listen.
    pub const fn app(self) -> u16 {
        self.base + 4
    }
    /// Metrics and beliefs.
    pub const fn metrics(self) -> u16 {
        self.base + 5
    }
    /// The store stand-in.
    pub const fn store(self) -> u16 {
        self.base + 6
    }
    /// What balancers and agents say to each other.
    pub const fn bus(self) -> u16 {
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

/// Address of a data centre's callers.
pub const fn caller_ip(zone: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 3, zone + 1, 1)
}
