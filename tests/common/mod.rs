//! Helpers shared by the tests: small sites on loopback with their own ports.

#![allow(dead_code)]

use std::path::PathBuf;

use jujubepost::up::{Plan, Site};

/// The binary under test.
pub fn exe() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"))
}

/// Starts a small site whose ports start at `base`: `lbs` balancers,
/// `meters` meter targets and `fieldlogs` fieldlog targets.
pub async fn start(name: &str, base: u16, lbs: u16, meters: u16, fieldlogs: u16) -> Site {
    let plan = Plan::new(base).balancers(lbs).meters(meters).fieldlogs(fieldlogs);
    let path = plan.write(name).unwrap();
    Site::start(&exe(), &path).await.unwrap()
}
