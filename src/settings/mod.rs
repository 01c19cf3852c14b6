//! Settings of a site, read from JSON with comments and validated on load.
//!
//! One file describes the key-value service, the fabric, the balancers, the
//! profiles and the targets with their agents. A process finds its addresses and
//! its data centre (zone) in it by its own name.

mod validate;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use serde::Deserialize;

pub use validate::validate;

/// A service that targets run and profiles offer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, serde::Serialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// Live feed and payment confirmations of Suryakosh.
    #[display("meter")]
    Meter,
    /// Diagnostic uploads of Suryakosh.
    #[display("fieldlog")]
    Fieldlog,
    /// Rate feed and quotes of the Asociación.
    #[display("calculadora")]
    Calculadora,
    /// Manifest checks of the Asociación.
    #[display("validador")]
    Validador,
}

/// The settings file of one site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the site, for logs and reports.
    pub site: Arc<str>,
    /// The key-value service, called the store.
    pub store: StoreSettings,
    /// The fabric stand-in, which spreads packets over the balancers.
    pub fabric: FabricSettings,
    /// Timers of every agent of the site.
    #[serde(rename = "agent")]
    pub agent_timers: AgentTimers,
    /// Timers of every balancer of the site.
    #[serde(rename = "entry")]
    pub balancer_timers: BalancerTimers,
    /// The balancers, one on each entry VM.
    pub balancers: Vec<BalancerSettings>,
    /// The profiles that `ctl apply` writes to the store.
    pub profiles: Vec<ProfileSettings>,
    /// The target VMs, each with its agent.
    pub targets: Vec<TargetSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            site: "local".into(),
            store: StoreSettings::default(),
            fabric: FabricSettings::default(),
            agent_timers: AgentTimers::default(),
            balancer_timers: BalancerTimers::default(),
            balancers: Vec::new(),
            profiles: Vec::new(),
            targets: Vec::new(),
        }
    }
}

/// Address and use of the key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// Address of the store's HTTP endpoint.
    pub addr: SocketAddr,
    /// Prefix of every key that jujubepost reads or writes.
    pub prefix: Arc<str>,
    /// Timeout of one call.
    pub timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 7379)),
            prefix: "/jujubepost".into(),
            timeout_ms: 2_000,
        }
    }
}

/// Address and timers of the fabric stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FabricSettings {
    /// UDP address that receives the replies of agents.
    pub addr: SocketAddr,
    /// Retransmission timeout of packets.
    pub rto_ms: u64,
    /// How long a new flow may wait for an agent to accept it.
    #[serde(rename = "open_ms")]
    pub open_timeout_ms: u64,
    /// How long an agent may acknowledge nothing before the fabric gives its
    /// flow up.
    #[serde(rename = "give_up_ms")]
    pub ack_timeout_ms: u64,
    /// Interval of the readiness probes to each balancer. After two failures the
    /// fabric sends the balancer nothing.
    #[serde(rename = "probe_ms")]
    pub probe_interval_ms: u64,
}

impl Default for FabricSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 7400)),
            rto_ms: 200,
            open_timeout_ms: 3_000,
            ack_timeout_ms: 10_000,
            probe_interval_ms: 250,
        }
    }
}

/// Timers of the agents.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentTimers {
    /// Time to live of the lease on a target's registration. A smaller value
    /// removes dead targets sooner and tolerates shorter store outages.
    #[serde(rename = "lease_ms")]
    pub lease_ttl_ms: u64,
    /// How long a draining target still accepts new flows, so that every
    /// balancer learns of the drain first.
    #[serde(rename = "grace_ms")]
    pub drain_grace_ms: u64,
    /// How long a flow may be idle in both directions before it is closed.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// How long a graceful shutdown waits for open flows.
    #[serde(rename = "stop_ms")]
    pub stop_timeout_ms: u64,
    /// Retransmission timeout of answers to callers.
    pub rto_ms: u64,
    /// How long a caller may acknowledge nothing before its flow is given up.
    #[serde(rename = "give_up_ms")]
    pub ack_timeout_ms: u64,
}

impl Default for AgentTimers {
    fn default() -> Self {
        Self {
            lease_ttl_ms: 3_000,
            drain_grace_ms: 2_000,
            idle_timeout_ms: 300_000,
            stop_timeout_ms: 30_000,
            rto_ms: 200,
            ack_timeout_ms: 10_000,
        }
    }
}

/// Timers of the balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancerTimers {
    /// How long targets whose registrations disappeared together are still used.
    /// Only time in which the store responds counts.
    #[serde(rename = "hold_ms")]
    pub missing_hold_ms: u64,
    /// How long packets of established flows are still forwarded to an agent
    /// whose registration disappeared.
    #[serde(rename = "owner_ms")]
    pub owner_retention_ms: u64,
    /// How long a stopping balancer still forwards packets after it reports that
    /// it is not ready.
    pub linger_ms: u64,
}

impl Default for BalancerTimers {
    fn default() -> Self {
        Self { missing_hold_ms: 6_000, owner_retention_ms: 300_000, linger_ms: 1_500 }
    }
}

/// Name, zone and address of one balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Unique name, such as `lb-gjw-a`.
    pub name: Arc<str>,
    /// Data centre, such as `gjw-a`.
    pub zone: Arc<str>,
    /// UDP address that receives packets from the fabric; the admin server uses
    /// the same port over TCP.
    pub addr: SocketAddr,
}

/// One profile: an address for callers, and how it is balanced.
#[derive(Clone, Debug, Deserialize, serde::Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct ProfileSettings {
    /// Unique name, such as `meter`.
    pub name: Arc<str>,
    /// The service whose targets receive the flows.
    pub service: Service,
    /// Address to which callers connect.
    pub listen: SocketAddr,
    /// Whether a target may safely execute a request twice.
    #[serde(default)]
    pub idempotent: bool,
    /// Largest number of open flows per target; more are refused before the
    /// target receives any of them.
    #[serde(default = "default_flows")]
    pub max_flows: u32,
    /// How a target is chosen for a new flow.
    #[serde(default)]
    pub policy: Policy,
}

/// How a target is chosen for a new flow.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, serde::Serialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The target to which the flow's hash maps.
    #[display("hash")]
    Hash,
    /// The less loaded of the two targets to which the flow's hash maps, by the
    /// loads that their agents report.
    #[default]
    #[serde(rename = "least")]
    #[display("least")]
    LeastLoaded,
}

const fn default_flows() -> u32 {
    2_000
}

/// One target VM with its agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Unique name, such as `meter-1`.
    pub name: Arc<str>,
    /// Data centre, such as `bilbao`.
    pub zone: Arc<str>,
    /// The service that the target runs.
    pub service: Service,
    /// TCP address of the target.
    pub addr: SocketAddr,
    /// UDP address of the agent; its admin server uses the same port over TCP.
    #[serde(rename = "agent")]
    pub agent_addr: SocketAddr,
    /// Largest number of requests that the target executes at once; it sheds
    /// those above.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time that a target stand-in takes for one request, once warmed up.
    #[serde(rename = "work_ms", default = "default_work")]
    pub service_time_ms: u64,
    /// How long after its start a target stand-in responds slowly.
    #[serde(rename = "cold_ms", default)]
    pub warm_up_ms: u64,
}

const fn default_slots() -> u32 {
    5
}

const fn default_work() -> u64 {
    2
}

/// Reads a settings file and passes its text to `parse`.
///
/// # Errors
///
/// Fails when the file cannot be read or `parse` fails. The error names the file.
pub fn read_file<T>(
    path: &Path,
    parse: impl FnOnce(&str) -> anyhow::Result<T>,
) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("settings: reading {}", path.display()))?;
    parse(&text).with_context(|| format!("settings: in {}", path.display()))
}

/// Deserializes JSON with comments.
///
/// # Errors
///
/// Fails when the syntax is wrong, or when a field is unknown or of the wrong
/// type. The error names the path of the field.
pub fn parse_jsonc<T: serde::de::DeserializeOwned>(text: &str) -> anyhow::Result<T> {
    let plain = json_comments::StripComments::new(text.as_bytes());
    let mut de = serde_json::Deserializer::from_reader(plain);
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string();
        if e.inner().is_syntax() || e.inner().is_eof() || path == "." || path == "?" {
            anyhow::anyhow!("syntax error: {}", e.inner())
        } else {
            anyhow::anyhow!("field `{path}`: {}", e.inner())
        }
    })
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, or as [`parse_jsonc`] and [`validate()`].
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        read_file(path, Self::parse)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// As [`parse_jsonc`] and [`validate()`].
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Self = parse_jsonc(text)?;
        validate(&settings)?;
        Ok(settings)
    }

    /// Addresses of the balancers except `own`.
    #[must_use]
    pub fn other_balancers(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.balancers.iter().map(|b| b.addr).filter(|a| *a != own).collect()
    }

    /// Returns the settings of the target `name`.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn target(&self, name: &str) -> anyhow::Result<&TargetSettings> {
        self.targets
            .iter()
            .find(|t| &*t.name == name)
            .with_context(|| format!("settings: no target named `{name}`"))
    }

    /// Returns the settings of the balancer `name`.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn balancer(&self, name: &str) -> anyhow::Result<&BalancerSettings> {
        self.balancers
            .iter()
            .find(|b| &*b.name == name)
            .with_context(|| format!("settings: no balancer named `{name}`"))
    }
}
