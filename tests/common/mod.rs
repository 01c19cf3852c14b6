//! Helpers shared by the tests: small sites on loopback with their own ports.

#![allow(dead_code)]

pub mod wires;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

use jujubepost::ctl::fleet;
use jujubepost::up::{Site, SiteSpec};

/// The binary under test.
pub fn exe() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"))
}

/// Starts a small site whose ports start at `base`: `lbs` balancers,
/// `meters` meter targets and `fieldlogs` fieldlog targets.
pub async fn start(name: &str, base: u16, lbs: u16, meters: u16, fieldlogs: u16) -> Site {
    let plan = SiteSpec::new(base).balancers(lbs).meters(meters).fieldlogs(fieldlogs);
    let path = plan.write(name).unwrap();
    Site::start(&exe(), &path).await.unwrap()
}

/// A server that sends `answer` once it was asked something, and then nothing more.
pub fn falls_silent(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).unwrap() > 0);
        stream.write_all(answer).unwrap();
        while stream.read(&mut buf).is_ok_and(|n| n > 0) {}
    });
    addr
}

/// Invariants that the site's processes broke: as the living ones count them,
/// and as any of them logged.
pub async fn violations(site: &Site) -> u64 {
    let counted: u64 = fleet::fetch_statuses(&site.settings)
        .await
        .into_iter()
        .filter_map(|(_, st)| st.ok())
        .flat_map(|st| st.counters)
        .filter(|c| c.name == "jujubepost.violations")
        .map(|c| c.value)
        .sum();
    let folder = site.path.parent().unwrap();
    let logged = std::fs::read_dir(folder)
        .unwrap()
        .filter_map(|f| std::fs::read_to_string(f.unwrap().path()).ok())
        .map(|text| text.matches(" E999 ").count() as u64)
        .sum::<u64>();
    counted + logged
}
