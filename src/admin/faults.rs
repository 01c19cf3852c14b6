//! Faults that a process can be told to show, for tests and trials.

use std::net::SocketAddr;

use anyhow::ensure;
use serde::{Deserialize, Serialize};

/// Sets the faults of a stand-in that takes them over HTTP, at `/fault`.
///
/// # Errors
///
/// Fails when the stand-in at `addr` cannot be reached or refuses them.
pub async fn post<T: Serialize>(addr: SocketAddr, faults: &T) -> anyhow::Result<()> {
    let http = ntex::client::Client::new().await;
    let res = http.post(format!("http://{addr}/fault")).send_json(faults).await;
    let res = res.map_err(|e| anyhow::anyhow!("setting faults at {addr}: {e}"))?;
    ensure!(res.status().is_success(), "setting faults at {addr}: status {}", res.status());
    Ok(())
}

/// What the fabric does to packets on their way, in both directions, and what
/// a balancer does to its view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Fabric: packets lost, per thousand.
    pub lose: u32,
    /// Fabric: packets sent twice, per thousand.
    pub double: u32,
    /// Fabric: packets delayed past later ones, per thousand.
    pub delay: u32,
    /// Fabric: flows open when this is set go silent for good; new ones work.
    pub mute: bool,
    /// Balancer: changes of the store do not reach the view while set.
    pub blind: bool,
}
