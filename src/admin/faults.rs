//! Fault injection, for tests and trials.

use std::net::SocketAddr;

use anyhow::ensure;
use serde::{Deserialize, Serialize};

/// Sets the faults of a stand-in by `POST /fault`.
///
/// # Errors
///
/// Fails when the stand-in at `addr` cannot be reached or rejects the request.
pub async fn post<T: Serialize>(addr: SocketAddr, faults: &T) -> anyhow::Result<()> {
    let http = ntex::client::Client::new().await;
    let res = http.post(format!("http://{addr}/fault")).send_json(faults).await;
    let res = res.map_err(|e| anyhow::anyhow!("setting faults at {addr}: {e}"))?;
    ensure!(res.status().is_success(), "setting faults at {addr}: status {}", res.status());
    Ok(())
}

/// Faults of the fabric, in both directions, and of a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Fabric: lost packets, per thousand.
    #[serde(rename = "lose")]
    pub lost_permille: u32,
    /// Fabric: packets delivered twice, per thousand.
    #[serde(rename = "double")]
    pub duplicated_permille: u32,
    /// Fabric: packets delayed so that later ones overtake them, per thousand.
    #[serde(rename = "delay")]
    pub delayed_permille: u32,
    /// Fabric: drop every packet of the flows that are open when this is set;
    /// flows opened later work.
    #[serde(rename = "mute")]
    pub mute_flows: bool,
    /// Balancer: do not apply changes of the store.
    #[serde(rename = "blind")]
    pub freeze_view: bool,
}
