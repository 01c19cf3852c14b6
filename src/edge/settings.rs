//! Settings of one process on the platform, in JSON with comments. The
//! platform renders them from the template `deploy/settings.jsonc`, at every
//! start and whenever they change.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use serde::Deserialize;

use crate::policy::{Policy, Steering};

/// Default size, in KiB, from which on the configuration is handed on in
/// parts: some 1,000 routes. At 15,000 changes a day for 2,200 routes, 1,000
/// routes change 0.08 times a second; read in full each time, that is 27 KB a
/// second of the 22 that control may take.
const RELAY_KIB: usize = 256;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The process's name, for logs.
    pub name: Arc<str>,
    /// Its data centre.
    pub zone: Arc<str>,
    /// The VM's address.
    pub ip: Ipv4Addr,
    /// First and last port for what the system's processes say to each other.
    pub ports: (u16, u16),
    /// Where packets of callers come in; its port is also the one at which
    /// callers take packets.
    pub packets: SocketAddrV4,
    /// Where the platform asks for readiness.
    pub ready: Option<SocketAddr>,
    /// Where the target's packets come in (agents).
    pub outbound: Option<SocketAddrV4>,
    /// Where the target's reports come in (agents).
    pub reports: Option<SocketAddr>,
    /// The target (agents).
    pub target: Option<SocketAddrV4>,
    /// The service of the target (agents).
    pub service: Option<Arc<str>>,
    /// Port of the metrics.
    pub metrics: u16,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// Some of the balancers, by any of their TCP addresses.
    pub seeds: Vec<SocketAddr>,
    /// From what size on, in KiB, the configuration is handed on in parts.
    pub relay_kib: usize,
    /// The VM's share of a core.
    pub cpu_share: f64,
    /// The VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// The platform's time bounds.
    pub bounds: TimeLimits,
    /// What decides under load and trouble.
    pub policy: Policy,
}

/// The platform's time bounds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeLimits {
    /// Longest planned stop, in seconds.
    pub grace_s: f64,
    /// Longest life of a flow, in seconds.
    pub flow_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: "local".into(),
            zone: "local".into(),
            ip: Ipv4Addr::LOCALHOST,
            ports: (7_720, 7_735),
            packets: any,
            ready: None,
            outbound: None,
            reports: None,
            target: None,
            service: None,
            metrics: 9_464,
            store: any.into(),
            seeds: Vec::new(),
            relay_kib: RELAY_KIB,
            cpu_share: 1.0,
            link_mbps: 1_000.0,
            policy: Policy::default(),
            bounds: TimeLimits::default(),
        }
    }
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self { grace_s: 6.0, flow_s: 60.0 }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is no JSON with comments, and
    /// names the field that is unknown, of the wrong type or out of range.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        crate::settings::load(path, Self::parse)
    }

    /// Parses and checks settings from text.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`], without the file.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Self = crate::settings::parse(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> anyhow::Result<()> {
        if self.ports.0 == 0 || self.ports.0 > self.ports.1 {
            bail!("field `ports`: must be two ports, the first not above the second");
        }
        if self.packets.port() == 0 {
            bail!("field `packets`: must have a port");
        }
        if self.relay_kib == 0 {
            bail!("field `relay_kib`: must be above 0");
        }
        for (field, value) in [
            ("bounds.grace_s", self.bounds.grace_s),
            ("bounds.flow_s", self.bounds.flow_s),
            ("cpu_share", self.cpu_share),
            ("link_mbps", self.link_mbps),
        ] {
            if !(value > 0.0 && value < 1e6) {
                bail!("field `{field}`: must be above 0");
            }
        }
        self.policy.check()
    }

    /// Where this process takes what the system's other processes say.
    #[must_use]
    pub const fn bus_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.0)
    }

    /// Where the seeds, but for this process, hand over their copies of the
    /// store's keys.
    #[must_use]
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        let others = self.seeds.iter().map(SocketAddr::ip).filter(|ip| *ip != IpAddr::V4(self.ip));
        others.map(|ip| SocketAddr::new(ip, self.ports.0)).collect()
    }

    /// How long a flow without packets is remembered.
    #[must_use]
    pub fn flow_lifetime(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.flow_s)
    }

    /// From how many bytes on the configuration is handed on in parts.
    #[must_use]
    pub const fn relay_min_bytes(&self) -> usize {
        self.relay_kib * 1_024
    }

    /// What a balancer on this VM goes by.
    #[must_use]
    pub fn steering(&self) -> Steering {
        self.policy.steer.clone().fit(self.link_mbps, self.cpu_share)
    }

    /// Longest planned stop.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}
