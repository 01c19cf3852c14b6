//! Helpers shared by the tests: starting sites on loopback ports, a stub server, and
//! counting broken invariants.

#![allow(dead_code)]

pub mod fixtures;
pub mod trials;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

use jujubepost::ctl::fleet;
use jujubepost::up::{Site, SiteSpec};

/// The binary under test.
pub fn exe() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"))
}

/// Starts a site of `balancers` balancers, and `meters` and `fieldlogs` targets of these
/// two services. Its ports start at `base_port`.
pub async fn start_site(
    name: &str,
    base_port: u16,
    balancers: u16,
    meters: u16,
    fieldlogs: u16,
) -> Site {
    let plan = SiteSpec::new(base_port).balancers(balancers).meters(meters).fieldlogs(fieldlogs);
    let path = plan.write(name).unwrap();
    Site::start(&exe(), &path).await.unwrap()
}

/// Starts a server that sends `response` to the first request on its first connection, and
/// nothing afterwards. Returns its address.
pub fn serve_one_response(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).unwrap() > 0);
        stream.write_all(response).unwrap();
        while stream.read(&mut buf).is_ok_and(|n| n > 0) {}
    });
    addr
}

/// Invariant violations in the site's processes: those that running processes count,
/// plus those in any log.
pub async fn violation_count(site: &Site) -> u64 {
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
