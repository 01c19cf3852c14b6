//! The project's processes, with settings as the template of the deploy file renders them, on
//! loopback addresses of this run.

use std::collections::HashMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The binary that the build of the deploy file makes.
const PROGRAM: &str = "target/release/jujubepost";

/// Port of the processes' metrics, which the template does not set.
const METRICS_PORT: u16 = 9_464;

/// `contact_ms` of the small deployments.
const CONTACT: Duration = Duration::from_millis(4_000);

const SIGTERM: i32 = 15;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

const SIGKILL: u64 = 9;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, _3: u64, _4: u64, _5: u64) -> i32;
}

/// Processes that this run has started and not seen end.
static RUNNING: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Kills all processes that were started here, by their ids.
pub fn kill_all() {
    let Ok(mut running) = RUNNING.lock() else { return };
    for (_, child) in running.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    running.clear();
}

/// Addresses and ports of one run.
#[derive(Clone)]
pub struct Site {
    net: u8,
    base: u16,
    pub dir: PathBuf,
    pub record: Record,
    /// When something was last done to a machine, by its address; in the future while it goes on.
    disturbed: Arc<Mutex<HashMap<Ipv4Addr, Instant>>>,
}

impl Site {
    /// Removes the temporary folder.
    pub fn clean_up() {
        let _ = std::fs::remove_dir_all(Self::folder());
    }

    fn folder() -> PathBuf {
        std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
    }

    /// Chooses free addresses and a temporary folder, and starts the store.
    pub fn start(record: &Record) -> Result<Self, String> {
        let pid = std::process::id();
        let dir = Self::folder();
        std::fs::create_dir_all(&dir).map_err(|e| format!("temporary folder: {e}"))?;
        for attempt in 0..40 {
            let net = 20 + ((pid + attempt * 7) % 200) as u8;
            let base = 21_000 + ((pid + attempt * 13) % 300) as u16 * 20;
            let site = Self {
                net,
                base,
                dir: dir.clone(),
                record: record.clone(),
                disturbed: Arc::default(),
            };
            if site.is_free() {
                site.start_store()?;
                return Ok(site);
            }
        }
        Err("no free addresses".into())
    }

    fn is_free(&self) -> bool {
        let ips = [
            self.front_ip(0),
            self.side_ip(0),
            self.client_ip(),
            self.store_addr().ip().to_owned(),
        ];
        ips.iter().all(|ip| {
            TcpListener::bind((*ip, METRICS_PORT)).is_ok()
                && (self.base..self.base + 16).all(|port| {
                    TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
                })
        })
    }

    pub fn front_ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, n + 1)
    }

    pub fn side_ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, n + 1)
    }

    pub fn client_ip(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 3, 1)
    }

    pub fn store_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 4, 1), self.base + 6)
    }

    /// Address of a proxy in front of the store.
    pub fn proxy_addr(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 4, 10 + n), self.base + 6)
    }

    pub fn packets(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.base)
    }

    pub fn ready(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.base + 1)
    }

    pub fn outbound(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.base + 2)
    }

    pub fn control(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.base + 3)
    }

    pub fn app(&self, ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.base + 4)
    }

    /// Notes that something was done to the machine at `ip`, or goes on until the next call.
    pub fn disturb(&self, ip: Ipv4Addr, goes_on: bool) {
        let at = Instant::now() + if goes_on { Duration::from_secs(3_600) } else { Duration::ZERO };
        if let Ok(mut disturbed) = self.disturbed.lock() {
            disturbed.insert(ip, at);
        }
    }

    /// Whether a machine, or the store, has been calm for `contact_ms`.
    pub fn is_in_touch(&self, ip: Ipv4Addr) -> bool {
        let Ok(disturbed) = self.disturbed.lock() else { return false };
        disturbed.get(&ip).is_none_or(|at| at.elapsed() > CONTACT)
    }

    fn ip_of(&self, name: &str) -> Ipv4Addr {
        let (kind, n) = name.rsplit_once('-').unwrap_or((name, "0"));
        let n = n.parse().unwrap_or(0);
        match kind {
            "frontend" => self.front_ip(n),
            "side" => self.side_ip(n),
            _ => *self.store_addr().ip(),
        }
    }

    fn start_store(&self) -> Result<(), String> {
        let settings = format!("{{\"store\":{{\"addr\":\"{}\"}}}}", self.store_addr());
        self.spawn("store", "store", &settings)
    }

    /// Starts a balancer, role `entry` of the deploy file.
    pub fn start_front(&self, n: u8, store: SocketAddrV4) -> Result<(), String> {
        let ip = self.front_ip(n);
        let settings =
            format!("{{{}}}", self.common_fields(&format!("frontend-{n}"), ip, 0.25, store));
        self.spawn(&format!("frontend-{n}"), "entry", &settings)
    }

    /// Starts an agent, role `sidecar` of the deploy file, that reaches the store at `store`.
    pub fn start_side(&self, n: u8, service: &str, store: SocketAddrV4) -> Result<(), String> {
        let ip = self.side_ip(n);
        let name = format!("side-{n}");
        let settings = format!(
            "{{{},\"outbound\":\"{}\",\"target\":\"{}\",\"reports\":\"{}\",\"service\":\"{service}\"}}",
            self.common_fields(&name, ip, 0.15, store),
            self.outbound(ip),
            self.app(ip),
            self.control(ip)
        );
        self.spawn(&name, "sidecar", &settings)
    }

    /// Fields as `deploy/settings.jsonc` renders them, with the bounds of a small deployment.
    fn common_fields(&self, name: &str, ip: Ipv4Addr, cpu: f64, store: SocketAddrV4) -> String {
        let seeds: Vec<String> =
            (0..2).map(|n| format!("\"{}\"", self.control(self.front_ip(n)))).collect();
        format!(
            "\"name\":\"{name}\",\"zone\":\"gjw-a\",\"region\":\"gjw\",\"ip\":\"{ip}\",\
             \"ports\":[{},{}],\"packets\":\"{}\",\"ready\":\"{}\",\"cpu_share\":{cpu},\
             \"link_mbps\":1000,\"store\":\"{store}\",\"seeds\":[{}],\
             \"policy\":{{\"hold\":{{\"outlier\":{{\"enabled\":false}}}}}},\
             \"bounds\":{{\"config_ms\":3000,\"grace_s\":6,\"flow_s\":60}}",
            self.base + 10,
            self.base + 15,
            self.packets(ip),
            self.ready(ip),
            seeds.join(",")
        )
    }

    fn spawn(&self, name: &str, role: &str, settings: &str) -> Result<(), String> {
        let path = self.dir.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).map_err(|e| format!("settings of {name}: {e}"))?;
        let log =
            File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let log = log.map_err(|e| format!("log of {name}: {e}"))?;
        let err = log.try_clone().map_err(|e| format!("log of {name}: {e}"))?;
        let mut command = Command::new(PROGRAM);
        command.args([role, "--config"]).arg(&path).stdin(Stdio::null()).stdout(log).stderr(err);
        // SAFETY: `prctl` is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| format!("starting {name}: {e}"))?;
        self.record.line(format!("process {name} started ({role})"));
        self.disturb(self.ip_of(name), false);
        RUNNING.lock().map_err(|e| e.to_string())?.push((name.into(), child));
        Ok(())
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, name: &str) {
        self.signal(name, SIGTERM, "got SIGTERM");
    }

    /// Has a process stand still.
    pub fn freeze(&self, name: &str) {
        self.signal(name, SIGSTOP, "stands still");
    }

    /// Has a process go on.
    pub fn wake(&self, name: &str) {
        self.signal(name, SIGCONT, "goes on");
    }

    fn signal(&self, name: &str, signal: i32, what: &str) {
        let Ok(running) = RUNNING.lock() else { return };
        if let Some((_, child)) = running.iter().find(|(other, _)| other == name) {
            // SAFETY: signals a child of this process that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
            self.record.line(format!("process {name} {what}"));
            self.disturb(self.ip_of(name), signal != SIGCONT);
        }
    }

    /// Whether a process that got SIGTERM has ended.
    pub fn has_ended(&self, name: &str) -> bool {
        let Ok(mut running) = RUNNING.lock() else { return true };
        let Some(n) = running.iter().position(|(other, _)| other == name) else { return true };
        if !matches!(running[n].1.try_wait(), Ok(Some(_))) {
            return false;
        }
        running.remove(n);
        self.record.line(format!("process {name} ended"));
        true
    }

    /// Writes `op/config` as the operator does; the store's response is the acknowledgement.
    pub fn write_config(&self, config: &str) -> Result<(), String> {
        let body = format!(
            "{{\"expected_rev\":[],\"writes\":[{{\"key\":\"op/config\",\"value\":\"{}\",\"lease\":0}}],\"remove\":[]}}",
            http::base64(config.as_bytes())
        );
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let answer =
                http::call(self.store_addr(), "POST", "/v1/kv-txn", &body, Duration::from_secs(2));
            if matches!(answer, Ok((200, _))) {
                self.record.line(format!("operator: configuration acknowledged: {config}"));
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("the store does not take the configuration: {answer:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Has the store answer every call with 503, or serve again.
    pub fn set_store_away(&self, away: bool) -> Result<(), String> {
        let body = format!("{{\"outage\":{away}}}");
        let answer = http::call(self.store_addr(), "POST", "/fault", &body, Duration::from_secs(2));
        self.disturb(*self.store_addr().ip(), away);
        self.record.line(format!("store: {}", if away { "away (503)" } else { "serves again" }));
        matches!(answer, Ok((200, _))).then_some(()).ok_or(format!("store: {answer:?}"))
    }
}
