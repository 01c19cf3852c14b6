//! Settings of one process on the platform, read from JSON with comments. The
//! platform renders the file from the template `deploy/settings.jsonc` at every
//! start and whenever a value changes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use serde::Deserialize;

use super::WATCH_TIMEOUT;
use crate::policy::{BalancerPolicy, Policy};
use crate::tracker::ColdAllowance;

/// Default of [`Settings::relay_kib`]: some 1,000 routes. At 15,000 changes a day for 2,200
/// routes, these change 0.08 times a second; to read them in full each time would take
/// 27 KB/s, and control may take 22.
const DEFAULT_RELAY_KIB: usize = 256;

/// Longest wait of a distributor's watch. A smaller value means more calls to the store, by one
/// balancer of a region.
const MAX_DISTRIBUTOR_WAIT: Duration = Duration::from_millis(1_500);

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the process, for logs.
    pub name: Arc<str>,
    /// Data centre of the VM.
    pub zone: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
    /// IP address of the VM.
    pub ip: Ipv4Addr,
    /// First and last port for messages between balancers and agents.
    pub ports: (u16, u16),
    /// Address at which callers' packets arrive. Callers receive packets on the
    /// same port.
    pub packets: SocketAddrV4,
    /// Address of the readiness endpoint.
    pub ready: Option<SocketAddr>,
    /// Address at which the target's packets arrive (agents only).
    pub outbound: Option<SocketAddrV4>,
    /// Address of the endpoint for the target's reports (agents only).
    pub reports: Option<SocketAddr>,
    /// Address of the target (agents only).
    pub target: Option<SocketAddrV4>,
    /// Service that the target runs (agents only).
    pub service: Option<Arc<str>>,
    /// Port of the metrics and inspection endpoints.
    pub metrics: u16,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// TCP addresses of some balancers; only the IP addresses are used.
    pub seeds: Vec<SocketAddr>,
    /// Least size of a configuration that a relay publishes in parts, in KiB.
    /// Every balancer watches a smaller one whole.
    pub relay_kib: usize,
    /// Share of a CPU core that the VM has.
    pub cpu_share: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Time limits set by the platform.
    #[serde(rename = "bounds")]
    pub limits: TimeLimits,
    /// Limits and timeouts under overload and failures.
    pub policy: Policy,
}

/// Time limits set by the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeLimits {
    /// Grace period of a planned stop, in seconds.
    pub grace_s: f64,
    /// Longest lifetime of a flow, in seconds. A flow without packets is removed
    /// after this time.
    pub flow_s: f64,
    /// Time in which a change of the configuration must be in force, in ms.
    pub config_ms: u64,
    /// Time in which an evacuation must be in force, in ms, if one may be ordered.
    pub evacuate_ms: Option<u64>,
    /// Requests that a cold target may get, as a multiple of the rate that it bears.
    pub warmup_overage: f64,
    /// Requests a second that a cold target may get on top of that.
    pub warmup_slack: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: "local".into(),
            zone: "local".into(),
            region: "local".into(),
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
            relay_kib: DEFAULT_RELAY_KIB,
            cpu_share: 1.0,
            link_mbps: 1_000.0,
            policy: Policy::default(),
            limits: TimeLimits::default(),
        }
    }
}

impl Default for TimeLimits {
    fn default() -> Self {
        let ColdAllowance { overage, slack } = ColdAllowance::default();
        Self {
            grace_s: 6.0,
            flow_s: 60.0,
            config_ms: 3_000,
            evacuate_ms: None,
            warmup_overage: overage,
            warmup_slack: slack,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or parsed. The error names a field that
    /// is unknown, of the wrong type or out of range.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        crate::settings::read_file(path, Self::parse)
    }

    /// Parses and checks settings from text.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`], without the file.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Self = crate::settings::parse_jsonc(text)?;
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
            ("bounds.grace_s", self.limits.grace_s),
            ("bounds.flow_s", self.limits.flow_s),
            ("bounds.config_ms", self.limits.config_ms as f64),
            ("cpu_share", self.cpu_share),
            ("link_mbps", self.link_mbps),
        ] {
            if !(value > 0.0 && value < 1e6) {
                bail!("field `{field}`: must be above 0 and below 1,000,000");
            }
        }
        if !(1.0..1e6).contains(&self.limits.warmup_overage) {
            bail!("field `bounds.warmup_overage`: must be at least 1");
        }
        if !(0.0..1e6).contains(&self.limits.warmup_slack) {
            bail!("field `bounds.warmup_slack`: must not be negative");
        }
        self.policy.check()
    }

    /// What a cold target is allowed beyond the rate that it bears.
    #[must_use]
    pub const fn cold_allowance(&self) -> ColdAllowance {
        ColdAllowance { overage: self.limits.warmup_overage, slack: self.limits.warmup_slack }
    }

    /// Address at which this process receives messages of balancers and agents.
    #[must_use]
    pub const fn message_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.0)
    }

    /// Addresses at which the seeds, without this process, serve their snapshots of
    /// the store.
    #[must_use]
    pub fn peer_addrs(&self) -> Vec<SocketAddr> {
        let others = self.seeds.iter().map(SocketAddr::ip).filter(|ip| *ip != IpAddr::V4(self.ip));
        others.map(|ip| SocketAddr::new(ip, self.ports.0)).collect()
    }

    /// Time without packets after which a flow is removed from the tables.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.limits.flow_s)
    }

    /// Least size of a configuration that is published in parts, in bytes.
    #[must_use]
    pub const fn relay_min_bytes(&self) -> usize {
        self.relay_kib * 1_024
    }

    /// Balancer policy, scaled to the VM's link and CPU share.
    #[must_use]
    pub fn balancer_policy(&self) -> BalancerPolicy {
        self.policy.balancer.clone().scaled_to_vm(self.link_mbps, self.cpu_share)
    }

    /// How long a distributor's watch waits for a change. If that is well below
    /// [`Settings::read_validity`], its subscribers do not notice a watch that fails.
    #[must_use]
    pub fn distributor_wait(&self) -> Duration {
        self.read_validity().min(MAX_DISTRIBUTOR_WAIT)
    }

    /// How long subscribers of a distributor rely on its last read of the store, besides the time
    /// that a call takes: half of the time in which changes must be in force, as they learn of a
    /// lost connection only after it.
    #[must_use]
    pub fn read_validity(&self) -> Duration {
        let config_ms = self.limits.config_ms;
        let bound = self.limits.evacuate_ms.map_or(config_ms, |ms| ms.min(config_ms));
        Duration::from_millis(bound / 2).min(WATCH_TIMEOUT)
    }

    /// Grace period of a planned stop.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.limits.grace_s)
    }
}
