//! Settings of a deployment, read from JSON with comments and checked on load.
//!
//! One file describes a whole site: where the key-value service listens, the
//! fabric, the balancers, the profiles and the targets with their agents. Each
//! process is started with the file and its own name, and learns its addresses
//! and data centre (zone) from it.

mod check;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use serde::Deserialize;

pub use check::check;

/// The services that a target can run, named as in the brief.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, serde::Serialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// Suryakosh's live feed and payment confirmations.
    #[display("meter")]
    Meter,
    /// Suryakosh's diagnostic uploads.
    #[display("fieldlog")]
    Fieldlog,
    /// The Asociación's rate feed and quotes.
    #[display("calculadora")]
    Calculadora,
    /// The Asociación's manifest checks.
    #[display("validador")]
    Validador,
}

/// The whole settings file of one site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The site's name, for logs and reports.
    pub site: Arc<str>,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// The fabric stand-in that sprays packets over the balancers.
    pub fabric: FabricSettings,
    /// The agents' timers, shared by every agent of the site.
    pub agent: AgentSettings,
    /// The balancers' timers, shared by every balancer of the site.
    pub entry: EntrySettings,
    /// The entry VMs.
    pub balancers: Vec<BalancerSettings>,
    /// The profiles that the operators declare at start.
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
            agent: AgentSettings::default(),
            entry: EntrySettings::default(),
            balancers: Vec::new(),
            profiles: Vec::new(),
            targets: Vec::new(),
        }
    }
}

/// Where the key-value service listens and how it is used.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreSettings {
    /// Address of the service's HTTP endpoint.
    pub addr: SocketAddr,
    /// Key prefix under which jujubepost keeps everything.
    pub prefix: Arc<str>,
    /// Timeout of one call, in milliseconds.
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

/// The fabric stand-in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FabricSettings {
    /// UDP address at which the fabric takes replies from agents.
    pub addr: SocketAddr,
    /// Retransmission timeout for unacknowledged packets, in milliseconds.
    pub rto_ms: u64,
    /// How long a new flow may wait to be accepted, in milliseconds.
    pub open_ms: u64,
    /// How long a flow's agent may acknowledge nothing before the fabric
    /// gives the flow up, in milliseconds.
    pub give_up_ms: u64,
    /// How often each balancer is asked whether it is ready, in
    /// milliseconds; after two misses it is out of rotation.
    pub probe_ms: u64,
}

impl Default for FabricSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 7400)),
            rto_ms: 200,
            open_ms: 3_000,
            give_up_ms: 10_000,
            probe_ms: 250,
        }
    }
}

/// Timers of the agents.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentSettings {
    /// Lease time to live of a target's announcement, in milliseconds.
    pub lease_ms: u64,
    /// How long a draining target still accepts new flows, in milliseconds,
    /// while the drain spreads to every balancer.
    pub grace_ms: u64,
    /// A flow with no packet and no answer for this long is closed, in
    /// milliseconds.
    pub idle_ms: u64,
    /// How long a planned stop waits for open flows, in milliseconds.
    pub stop_ms: u64,
    /// Retransmission timeout of answers, in milliseconds.
    pub rto_ms: u64,
    /// How long a caller may acknowledge nothing before its flow is given
    /// up, in milliseconds.
    pub give_up_ms: u64,
}

impl Default for AgentSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            grace_ms: 2_000,
            idle_ms: 300_000,
            stop_ms: 30_000,
            rto_ms: 200,
            give_up_ms: 10_000,
        }
    }
}

/// Timers of the balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// How long targets that went missing together are still used, in
    /// milliseconds of the store answering.
    pub hold_ms: u64,
    /// How long the owner of established flows is known after its
    /// announcement went missing, in milliseconds.
    pub owner_ms: u64,
    /// How long a stopping balancer forwards after it said that it is not
    /// ready, in milliseconds.
    pub linger_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self { hold_ms: 6_000, owner_ms: 300_000, linger_ms: 1_500 }
    }
}

/// One balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Unique name, such as `lb-gjw-a`.
    pub name: Arc<str>,
    /// Data centre, such as `gjw-a`.
    pub zone: Arc<str>,
    /// UDP address at which the balancer takes packets from the fabric.
    pub addr: SocketAddr,
}

/// One profile as declared at start.
#[derive(Clone, Debug, Deserialize, serde::Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct ProfileSettings {
    /// Unique name, such as `meter`.
    pub name: Arc<str>,
    /// The service whose targets serve this profile.
    pub service: Service,
    /// The caller-facing address (the fabric listens here).
    pub listen: SocketAddr,
    /// Whether a request may safely run twice.
    #[serde(default)]
    pub idempotent: bool,
    /// Open flows per target before new ones are refused as not run.
    #[serde(default = "default_flows")]
    pub max_flows: u32,
    /// How new flows are placed on targets.
    #[serde(default)]
    pub policy: Policy,
}

/// How a profile's new flows are placed on targets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, serde::Serialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// On the target that the flow's hash picks.
    #[display("hash")]
    Hash,
    /// On the less loaded of two targets that the flow's hash picks, by what
    /// their agents know of themselves.
    #[default]
    #[display("least")]
    Least,
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
    /// The service it runs.
    pub service: Service,
    /// TCP address of the target itself.
    pub addr: SocketAddr,
    /// UDP address of its agent.
    pub agent: SocketAddr,
    /// Requests the target works on at once before it sheds load.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Milliseconds one request takes at the target stand-in when warm.
    #[serde(default = "default_work")]
    pub work_ms: u64,
    /// Milliseconds after start during which the target answers slowly.
    #[serde(default)]
    pub cold_ms: u64,
}

const fn default_slots() -> u32 {
    5
}

const fn default_work() -> u64 {
    2
}

/// Reads a settings file and has `parse` parse and check it.
///
/// # Errors
///
/// Fails when the file cannot be read or `parse` fails; names the file.
pub fn load<T>(path: &Path, parse: impl FnOnce(&str) -> anyhow::Result<T>) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("settings: reading {}", path.display()))?;
    parse(&text).with_context(|| format!("settings: in {}", path.display()))
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Fails when the text is not JSON with comments, or names the field that is
/// unknown or of the wrong type.
pub fn parse<T: serde::de::DeserializeOwned>(text: &str) -> anyhow::Result<T> {
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
    /// Reads, parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, when it is not JSON with comments,
    /// when a field is unknown or of the wrong type (the error names the
    /// field's path), or when [`check`] refuses a value.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        load(path, Self::parse)
    }

    /// Parses and checks settings from text.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`], without the file.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Self = parse(text)?;
        check(&settings)?;
        Ok(settings)
    }

    /// The balancers' addresses, but for `me`: whom to ask for a copy of the
    /// store's keys.
    #[must_use]
    pub fn peers(&self, me: SocketAddr) -> Vec<SocketAddr> {
        self.balancers.iter().map(|b| b.addr).filter(|a| *a != me).collect()
    }

    /// The target of the given name.
    ///
    /// # Errors
    ///
    /// Fails when no target has that name.
    pub fn target(&self, name: &str) -> anyhow::Result<&TargetSettings> {
        self.targets
            .iter()
            .find(|t| &*t.name == name)
            .with_context(|| format!("settings: no target named `{name}`"))
    }

    /// The balancer of the given name.
    ///
    /// # Errors
    ///
    /// Fails when no balancer has that name.
    pub fn balancer(&self, name: &str) -> anyhow::Result<&BalancerSettings> {
        self.balancers
            .iter()
            .find(|b| &*b.name == name)
            .with_context(|| format!("settings: no balancer named `{name}`"))
    }
}
