//! Stand-ins for the platform, as PROTOCOL.md describes it: a server, clients with the router in
//! front of the balancers, a network path that holds bytes back, and the checks of the cases.
//! Standard library only; built by `review/build.sh`.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SYN: u8 = 64;
const ACK: u8 = 32;
const FIN: u8 = 16;
const RST: u8 = 128;
const BOUNCED: u8 = 2;
const HEAD: usize = 36;
const KEY: u32 = 0x9e37_79b9;

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One line of the record: time in Unix ms, then the words.
fn note(text: String) {
    println!("{} {text}", now_ms());
    let _ = std::io::stdout().flush();
}

/// Options `--name value`.
struct Options(HashMap<String, String>);

impl Options {
    fn parse(args: &[String]) -> Self {
        let pairs = args.chunks(2).map(|c| {
            (c[0].trim_start_matches('-').to_string(), c.get(1).cloned().unwrap_or_default())
        });
        Self(pairs.collect())
    }
    fn text(&self, name: &str) -> String {
        self.0.get(name).cloned().unwrap_or_else(|| panic!("option --{name} is missing"))
    }
    fn get<T: std::str::FromStr>(&self, name: &str) -> T {
        self.text(name).parse().unwrap_or_else(|_| panic!("option --{name} is invalid"))
    }
    fn get_or<T: std::str::FromStr>(&self, name: &str, default: T) -> T {
        if self.0.contains_key(name) { self.get(name) } else { default }
    }
}

/// A small generator; no need for quality.
struct Rand(u64);

impl Rand {
    fn new() -> Self {
        let pid = u64::from(std::process::id());
        Self((now_ms() as u64) << 20 ^ pid.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Packet {
    flags: u8,
    seq: u32,
    ack: u32,
    src: SocketAddrV4,
    dst: SocketAddrV4,
    sum: u32,
    data: Vec<u8>,
}

impl Packet {
    fn new(flags: u8, src: SocketAddrV4, dst: SocketAddrV4, seq: u32, ack: u32, data: &[u8]) -> Self {
        let mut p = Self { flags, seq, ack, src, dst, sum: 0, data: data.to_vec() };
        p.sum = p.expected_sum();
        p
    }

    /// The keyed sum over all fields but `echo`, `pad` and BOUNCED.
    fn expected_sum(&self) -> u32 {
        let mut bare = self.clone();
        bare.flags &= !BOUNCED;
        bare.sum = 0;
        bare.encode().iter().fold(KEY, |h, b| (h ^ u32::from(*b)).wrapping_mul(0x0100_0193)).max(1)
    }

    fn encode(&self) -> Vec<u8> {
        let mut b = vec![self.flags, 0, 0, 0, 0, 0];
        b.extend((self.data.len() as u16).to_be_bytes());
        b.extend(0_u32.to_be_bytes());
        b.extend(self.seq.to_be_bytes());
        b.extend(self.ack.to_be_bytes());
        b.extend(self.src.ip().octets());
        b.extend(self.dst.port().to_be_bytes());
        b.extend(self.dst.ip().octets());
        b.extend(self.src.port().to_be_bytes());
        b.extend(self.sum.to_be_bytes());
        b.extend(&self.data);
        b
    }

    fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < HEAD {
            return None;
        }
        let u16_at = |i: usize| u16::from_be_bytes([b[i], b[i + 1]]);
        let u32_at = |i: usize| u32::from_be_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
        let ip_at = |i: usize| Ipv4Addr::from(u32_at(i));
        if usize::from(u16_at(6)) != b.len() - HEAD {
            return None;
        }
        Some(Self {
            flags: b[0],
            seq: u32_at(12),
            ack: u32_at(16),
            src: SocketAddrV4::new(ip_at(20), u16_at(30)),
            dst: SocketAddrV4::new(ip_at(26), u16_at(24)),
            sum: u32_at(32),
            data: b[HEAD..].to_vec(),
        })
    }

    fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether an end wrote it so.
    fn is_genuine(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// A reset of the system's own.
    fn is_system_reset(&self) -> bool {
        self.flags == RST && self.data.is_empty() && self.sum == 0
    }
}

// ---------------------------------------------------------------- HTTP

/// Reads one HTTP message: head and body.
fn read_http(s: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut b = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(at) = b.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&b[..at]).into_owned();
            let len = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(k, _)| k.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.trim().parse().ok())
                .unwrap_or(0);
            if b.len() >= at + 4 + len {
                return Some((head, b[at + 4..at + 4 + len].to_vec()));
            }
        }
        match s.read(&mut chunk) {
            Ok(n) if n > 0 => b.extend(&chunk[..n]),
            _ => return None,
        }
    }
}

/// Sends one request on a connection of its own; returns the status and body, `None` without an
/// answer within `limit`.
fn call(to: SocketAddrV4, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let end = Instant::now() + limit;
    let mut s = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    s.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    s.write_all(text.as_bytes()).ok()?;
    s.set_read_timeout(Some(end.saturating_duration_since(Instant::now()).max(ms(1)))).ok()?;
    let (head, body) = read_http(&mut s)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in data.chunks(3) {
        let n = u32::from(c[0]) << 16
            | u32::from(*c.get(1).unwrap_or(&0)) << 8
            | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            let six = (n >> (18 - 6 * i)) as usize & 63;
            out.push(if i <= c.len() { SET[six] as char } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- operator

/// Writes the configuration to the store.
fn operator(o: &Options) -> i32 {
    let store: SocketAddrV4 = o.get("store");
    let config = o.text("config");
    let body = format!(
        r#"{{"expected_rev":[],"writes":[{{"key":"op/config","value":"{}","lease":0}}],"remove":[]}}"#,
        base64(config.as_bytes())
    );
    for _ in 0..100 {
        if let Some((200, _)) = call(store, "POST", "/v1/kv-txn", &body, ms(500)) {
            note("operator config acknowledged".into());
            return 0;
        }
        sleep(ms(100));
    }
    2
}

/// Waits until every address answers `/v1/ready` with 200.
fn wait_ready(o: &Options) -> i32 {
    let addrs: Vec<SocketAddrV4> =
        o.text("at").split(',').map(|a| a.parse().expect("address")).collect();
    for _ in 0..150 {
        if addrs.iter().all(|a| matches!(call(*a, "GET", "/v1/ready", "", ms(500)), Some((200, _)))) {
            return 0;
        }
        sleep(ms(100));
    }
    2
}

/// Prints a port such that it and the next 30 are free on all loopback addresses.
fn free_ports() -> i32 {
    let mut r = Rand::new();
    for _ in 0..500 {
        let base = 20_000 + (r.next() % 10_000) as u16;
        let any = |p: u16| SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, p);
        let free = |p: u16| TcpListener::bind(any(p)).is_ok() && UdpSocket::bind(any(p)).is_ok();
        if (base..base + 30).all(free) {
            println!("{base}");
            return 0;
        }
    }
    2
}

// ---------------------------------------------------------------- network path

/// A path to `--to`. A connection that is accepted while the file `--cut` exists is held: its
/// bytes arrive once the file `--heal` exists, if its sender did not give up on it before it
/// ended (only the last one then is delivered). Others pass unchanged.
fn path(o: &Options) -> i32 {
    let listen: SocketAddrV4 = o.get("listen");
    let to: SocketAddrV4 = o.get("to");
    let (cut, heal) = (PathBuf::from(o.text("cut")), PathBuf::from(o.text("heal")));
    let listener = TcpListener::bind(listen).expect("path: bind");
    let held: Arc<Mutex<Option<Vec<u8>>>> = Arc::default();
    spawn({
        let held = held.clone();
        move || {
            while !heal.exists() {
                sleep(ms(20));
            }
            let Some(bytes) = held.lock().unwrap().take() else { return };
            let Ok(mut s) = TcpStream::connect(to) else { return };
            let _ = s.write_all(&bytes);
            let line = String::from_utf8_lossy(&bytes).lines().next().unwrap_or("").to_string();
            let _ = s.set_read_timeout(Some(ms(1000)));
            let status = read_http(&mut s).map(|(h, _)| h.lines().next().unwrap_or("").to_string());
            note(format!("path delivered-late `{line}` answer={status:?}"));
        }
    });
    for s in listener.incoming().flatten() {
        let (held, cut) = (held.clone(), cut.clone());
        spawn(move || {
            if cut.exists() {
                let mut s = s;
                let mut bytes = Vec::new();
                let mut chunk = [0; 4096];
                while let Ok(n) = s.read(&mut chunk) {
                    if n == 0 {
                        break;
                    }
                    bytes.extend(&chunk[..n]);
                }
                *held.lock().unwrap() = Some(bytes);
                note("path held a call".into());
                return;
            }
            let Ok(t) = TcpStream::connect(to) else { return };
            let (mut a, mut b) = (s.try_clone().unwrap(), t.try_clone().unwrap());
            let back = spawn(move || {
                let _ = std::io::copy(&mut b, &mut a);
                let _ = a.shutdown(Shutdown::Write);
            });
            let (mut a, mut b) = (s, t);
            let _ = std::io::copy(&mut a, &mut b);
            let _ = b.shutdown(Shutdown::Write);
            let _ = back.join();
        });
    }
    0
}

/// A path to the store at `--to` on which one write is late: the first transaction with `--key`
/// that arrives while the file `--hold` exists is not answered, and is executed once the file
/// `--deliver` exists. Its connection returns nothing further. All other calls pass.
fn store_path(o: &Options) -> i32 {
    let listen: SocketAddrV4 = o.get("listen");
    let to: SocketAddrV4 = o.get("to");
    let key = o.text("key");
    let (hold, deliver) = (PathBuf::from(o.text("hold")), PathBuf::from(o.text("deliver")));
    let used = Arc::new(Mutex::new(false));
    let listener = TcpListener::bind(listen).expect("store-path: bind");
    for mut s in listener.incoming().flatten() {
        let (key, hold, deliver) = (key.clone(), hold.clone(), deliver.clone());
        let used = used.clone();
        spawn(move || {
            let Ok(mut store) = TcpStream::connect(to) else { return };
            let _ = s.set_nodelay(true);
            let _ = store.set_nodelay(true);
            while let Some((head, body)) = read_http(&mut s) {
                let text = String::from_utf8_lossy(&body).into_owned();
                let is_write = head.starts_with("POST /v1/kv-txn") && text.contains(&key);
                let late = is_write && hold.exists() && !std::mem::replace(&mut *used.lock().unwrap(), true);
                if late {
                    note(format!("store-path a write of {key} is late"));
                    while !deliver.exists() {
                        sleep(ms(10));
                    }
                    let answer = call(to, "POST", "/v1/kv-txn", &text, ms(1_000));
                    note(format!("store-path the late write is executed: {answer:?}"));
                    // Nothing further on this connection.
                    sleep(ms(60_000));
                    return;
                }
                let mut bytes = head.into_bytes();
                bytes.extend(b"\r\n\r\n");
                bytes.extend(body);
                if store.write_all(&bytes).is_err() {
                    return;
                }
                let Some((head, body)) = read_http(&mut store) else { return };
                let mut bytes = head.into_bytes();
                bytes.extend(b"\r\n\r\n");
                bytes.extend(body);
                if s.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
    }
    0
}

// ---------------------------------------------------------------- server

struct ServerFlow {
    seq: u32,
    expected: u32,
    caller_seq: u32,
    open: bool,
    ended: bool,
    /// The SYN+ACK until the flow opens: bytes, when sent, tries.
    syn_ack: Option<(Vec<u8>, Instant, u32)>,
    /// The last packet with data, until it is acknowledged: end, bytes, when sent, tries.
    unacked: Option<(u32, Vec<u8>, Instant, u32)>,
}

fn server(o: &Options) -> i32 {
    let id = o.text("id");
    let service = o.text("service");
    let zone = o.text("zone");
    let app: SocketAddrV4 = o.get("app");
    let outbound: SocketAddrV4 = o.get("outbound");
    let reports: SocketAddrV4 = o.get("reports");
    let capacity: usize = o.get_or("capacity", 5);
    let work = ms(o.get_or("work-ms", 20));
    let drain = PathBuf::from(o.text("drain-file"));
    let drain_ms: u64 = o.get_or("drain-ms", 3_000);
    let extra_ms: u64 = o.get_or("extra-ms", 0);
    let beat = ms(o.get_or("heartbeat-ms", 1_000));
    let sock = UdpSocket::bind(app).expect("server: bind");
    let listener = TcpListener::bind(app).expect("server: bind");
    note(format!("server {id} started at={app} service={service}"));
    // Health checks.
    spawn(move || {
        for mut s in listener.incoming().flatten() {
            spawn(move || {
                let _ = s.set_read_timeout(Some(ms(2_000)));
                while read_http(&mut s).is_some() {
                    let _ = s.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    let draining = Arc::new(Mutex::new(false));
    // Status reports.
    spawn({
        let (id, draining) = (id.clone(), draining.clone());
        move || {
            let mut acked_drain: Option<Instant> = None;
            let mut first_drain: Option<Instant> = None;
            for seq in 1_u64.. {
                let leaving = drain.exists();
                *draining.lock().unwrap() |= leaving;
                let state = if leaving { "draining" } else { "ready" };
                if leaving {
                    first_drain.get_or_insert_with(Instant::now);
                }
                let body = format!(
                    r#"{{"service":"{service}","address":"{app}","zone":"{zone}","version":"v1","capacity":{capacity},"state":"{state}","warmup_left_ms":0,"seq":{seq}}}"#
                );
                let p = format!("/v1/Instances.Heartbeat/{id}");
                let answer = call(reports, "POST", &p, &body, ms(1_000));
                let ok = answer.as_ref().is_some_and(|(s, b)| s / 100 == 2 && b.len() <= 4_096);
                let status = answer.map(|(s, _)| s);
                note(format!("server {id} report seq={seq} state={state} answer={status:?} ack={ok}"));
                if ok && leaving {
                    acked_drain.get_or_insert_with(Instant::now);
                }
                let over = match (acked_drain, first_drain) {
                    (Some(at), _) => at.elapsed() >= ms(drain_ms + extra_ms),
                    (None, Some(at)) => at.elapsed() >= ms(drain_ms + extra_ms + 5_000),
                    _ => false,
                };
                if over {
                    let p = format!("/v1/Instances.Deregister/{id}");
                    let answer = call(reports, "POST", &p, "", ms(1_000));
                    note(format!("server {id} deregistered answer={answer:?}"));
                    note(format!("server {id} down"));
                    std::process::exit(0);
                }
                sleep(if ok { beat } else { ms(100) });
            }
        }
    });
    let mut rand = Rand::new();
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), ServerFlow> = HashMap::new();
    // Requests at work, by when they end.
    let mut work_queue: Vec<(Instant, (SocketAddrV4, SocketAddrV4), String)> = Vec::new();
    let mut slots: Vec<Instant> = vec![Instant::now(); capacity];
    let mut ran: HashSet<String> = HashSet::new();
    sock.set_read_timeout(Some(ms(2))).unwrap();
    let mut buf = [0; 2048];
    loop {
        let now = Instant::now();
        let send = |p: &[u8]| {
            let _ = sock.send_to(p, outbound);
        };
        // Finished work.
        work_queue.sort_by_key(|w| std::cmp::Reverse(w.0));
        while work_queue.last().is_some_and(|w| w.0 <= now) {
            let (_, key, rid) = work_queue.pop().unwrap();
            let Some(f) = flows.get_mut(&key) else { continue };
            let close = *draining.lock().unwrap();
            let body = format!("done {rid} by {id}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Jujubepost-Server-Stamp: {id}\r\n\
                 X-Jujubepost-Request-Id: {rid}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let flags = if close { ACK | FIN } else { ACK };
            let p = Packet::new(flags, key.1, key.0, f.seq, f.expected, text.as_bytes()).encode();
            let end = f.seq.wrapping_add(text.len() as u32);
            f.seq = end;
            send(&p);
            f.unacked = Some((end, p, now, 0));
        }
        // Retransmissions: after 200 ms, doubled up to 1.6 s, 8 of them.
        flows.retain(|_, f| {
            if let Some((p, at, tries)) = &mut f.syn_ack {
                let wait = ms((200 << (*tries).min(3)).min(1_600));
                if now.duration_since(*at) >= wait {
                    if *tries >= 8 {
                        return false;
                    }
                    *tries += 1;
                    *at = now;
                    send(p);
                }
            }
            if let Some((_, p, at, tries)) = &mut f.unacked {
                let wait = ms((200 << (*tries).min(3)).min(1_600));
                if now.duration_since(*at) >= wait {
                    if *tries >= 8 {
                        note(format!("server {id} gave up a flow"));
                        return false;
                    }
                    *tries += 1;
                    *at = now;
                    send(p);
                }
            }
            true
        });
        let Ok((n, _)) = sock.recv_from(&mut buf) else { continue };
        let now = Instant::now();
        let Some(p) = Packet::decode(&buf[..n]) else {
            note(format!("server {id} UNREADABLE packet of {n} bytes"));
            continue;
        };
        if !p.is_genuine() || p.has(BOUNCED) || (p.has(SYN) && p.has(ACK)) {
            note(format!("server {id} FORGED packet {p:?}"));
            continue;
        }
        let key = (p.src, p.dst);
        if p.has(SYN) {
            let held = flows.get(&key).is_some_and(|f| f.caller_seq == p.seq);
            if !held {
                let seq = rand.next() as u32;
                note(format!("server {id} took {}>{} copy={}", p.src, p.dst, p.ack));
                let f = ServerFlow {
                    seq,
                    expected: p.seq.wrapping_add(1),
                    caller_seq: p.seq,
                    open: false,
                    ended: false,
                    syn_ack: None,
                    unacked: None,
                };
                flows.insert(key, f);
            }
            let Some(f) = flows.get_mut(&key).filter(|f| !f.open) else { continue };
            let answer = Packet::new(SYN | ACK, p.dst, p.src, f.seq, f.expected, &[]).encode();
            send(&answer);
            f.syn_ack = Some((answer, now, 0));
            continue;
        }
        let Some(f) = flows.get_mut(&key) else {
            if !p.has(RST) {
                note(format!("server {id} returned {}>{} len={}", p.src, p.dst, p.data.len()));
                let mut b = buf[..n].to_vec();
                b[0] |= BOUNCED;
                b[1..6].fill(0);
                send(&b);
            }
            continue;
        };
        if p.has(RST) {
            note(format!("server {id} ended {}>{}", p.src, p.dst));
            flows.remove(&key);
            continue;
        }
        if f.ended {
            let flags = if p.data.is_empty() { ACK } else { RST };
            if p.has(FIN) || !p.data.is_empty() {
                if flags == RST {
                    note(format!("server {id} reset {}>{}", p.src, p.dst));
                }
                let end = p.seq.wrapping_add(p.data.len() as u32 + 1);
                send(&Packet::new(flags, p.dst, p.src, f.seq, end, &[]).encode());
            }
            continue;
        }
        if !f.open {
            if p.ack != f.seq.wrapping_add(1) {
                // Acknowledges the answer of another server.
                note(format!("server {id} returned {}>{} len={}", p.src, p.dst, p.data.len()));
                let mut b = buf[..n].to_vec();
                b[0] |= BOUNCED;
                b[1..6].fill(0);
                send(&b);
                continue;
            }
            f.open = true;
            f.syn_ack = None;
            f.seq = f.seq.wrapping_add(1);
            note(format!("server {id} opened {}>{}", p.src, p.dst));
        }
        if f.unacked.as_ref().is_some_and(|(end, ..)| p.ack.wrapping_sub(*end) < 1 << 31) {
            f.unacked = None;
        }
        if p.has(FIN) {
            f.ended = true;
            f.unacked = None;
            note(format!("server {id} ended {}>{}", p.src, p.dst));
            let end = p.seq.wrapping_add(p.data.len() as u32 + 1);
            send(&Packet::new(ACK | FIN, p.dst, p.src, f.seq, end, &[]).encode());
            continue;
        }
        if p.data.is_empty() {
            continue;
        }
        if p.seq == f.expected {
            f.expected = p.seq.wrapping_add(p.data.len() as u32);
            let text = String::from_utf8_lossy(&p.data).into_owned();
            let rid = text
                .lines()
                .filter_map(|l| l.split_once(": "))
                .find(|(k, _)| *k == "X-Jujubepost-Request-Id")
                .map(|(_, v)| v.trim().to_string())
                .unwrap_or_default();
            let again = !ran.insert(rid.clone());
            note(format!("server {id} ran {rid} flow={}>{} again={again}", p.src, p.dst));
            let slot = slots.iter_mut().min().unwrap();
            *slot = (*slot).max(now) + work;
            work_queue.push((*slot, key, rid));
        } else {
            send(&Packet::new(ACK, p.dst, p.src, f.seq, f.expected, &[]).encode());
        }
    }
}

// ---------------------------------------------------------------- clients

/// The router: chooses a balancer for each packet by a hash over those in rotation.
struct Router {
    balancers: Vec<(SocketAddrV4, SocketAddrV4)>,
    ready: Mutex<Vec<bool>>,
}

impl Router {
    /// Checks readiness twice a second; two misses put a balancer out of rotation.
    fn probe(&self) {
        let mut misses = vec![0; self.balancers.len()];
        loop {
            for (i, (_, ready)) in self.balancers.iter().enumerate() {
                let ok = matches!(call(*ready, "GET", "/v1/ready", "", ms(300)), Some((200, _)));
                misses[i] = if ok { 0 } else { misses[i] + 1 };
                self.ready.lock().unwrap()[i] = misses[i] < 2;
            }
            sleep(ms(500));
        }
    }

    fn choose(&self, p: &Packet) -> SocketAddrV4 {
        let ready = self.ready.lock().unwrap();
        let used: Vec<usize> = (0..ready.len()).filter(|i| ready[*i]).collect();
        let few = used.len() * 2 < ready.len();
        let used = if few { (0..ready.len()).collect() } else { used };
        let text = format!("{}{}", p.src, p.dst);
        let h = text.bytes().fold(KEY, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        self.balancers[used[(h >> 8) as usize % used.len()]].0
    }
}

struct Client {
    sock: UdpSocket,
    ip: Ipv4Addr,
    router: Router,
    inboxes: Mutex<HashMap<SocketAddrV4, std::sync::mpsc::Sender<Packet>>>,
}

enum Ended {
    Answered(String),
    Reset,
    Silent,
    Refused,
}

struct ClientFlow<'a> {
    client: &'a Client,
    own: SocketAddrV4,
    vip: SocketAddrV4,
    inbox: std::sync::mpsc::Receiver<Packet>,
    seq: u32,
    ack: u32,
    finished: bool,
}

impl Client {
    fn send(&self, p: &Packet) {
        let _ = self.sock.send_to(&p.encode(), self.router.choose(p));
    }

    fn receive(&self) {
        let mut buf = [0; 2048];
        while let Ok((n, _)) = self.sock.recv_from(&mut buf) {
            let Some(p) = Packet::decode(&buf[..n]) else { continue };
            if !p.is_genuine() && !p.is_system_reset() {
                note(format!("client FORGED packet {p:?}"));
                continue;
            }
            if let Some(tx) = self.inboxes.lock().unwrap().get(&p.dst) {
                let _ = tx.send(p);
            }
        }
    }

    /// Opens a flow from `port`.
    fn open(&self, port: u16, vip: SocketAddrV4, seq: u32) -> Result<ClientFlow<'_>, Ended> {
        let own = SocketAddrV4::new(self.ip, port);
        let (tx, inbox) = std::sync::mpsc::channel();
        self.inboxes.lock().unwrap().insert(own, tx);
        let mut f = ClientFlow { client: self, own, vip, inbox, seq, ack: 0, finished: false };
        for (copy, wait) in [200, 400, 800].into_iter().enumerate() {
            self.send(&Packet::new(SYN, own, vip, seq, copy as u32, &[]));
            let end = Instant::now() + ms(wait);
            while let Ok(p) = f.inbox.recv_timeout(end.saturating_duration_since(Instant::now())) {
                if p.has(RST) {
                    return Err(Ended::Refused);
                }
                if p.has(SYN) && p.has(ACK) {
                    f.seq = seq.wrapping_add(1);
                    f.ack = p.seq.wrapping_add(1);
                    self.send(&Packet::new(ACK, own, vip, f.seq, f.ack, &[]));
                    return Ok(f);
                }
            }
        }
        Err(Ended::Silent)
    }
}

impl ClientFlow<'_> {
    fn request(&mut self, rid: &str, limit: Duration) -> Ended {
        let text = format!(
            "GET /work HTTP/1.1\r\nHost: {}\r\nX-Jujubepost-Request-Id: {rid}\r\nContent-Length: 0\r\n\r\n",
            self.vip
        );
        let p = Packet::new(ACK, self.own, self.vip, self.seq, self.ack, text.as_bytes());
        let end = Instant::now() + limit;
        let mut rto = 200;
        while Instant::now() < end {
            self.client.send(&p);
            let again = Instant::now() + ms(rto);
            while let Ok(a) = self.inbox.recv_timeout(again.saturating_duration_since(Instant::now())) {
                if a.has(RST) {
                    return Ended::Reset;
                }
                if !a.data.is_empty() && a.seq == self.ack {
                    self.seq = self.seq.wrapping_add(text.len() as u32);
                    self.ack = self.ack.wrapping_add(a.data.len() as u32);
                    self.finished = a.has(FIN);
                    let ack = Packet::new(ACK, self.own, self.vip, self.seq, self.ack, &[]);
                    self.client.send(&ack);
                    return Ended::Answered(String::from_utf8_lossy(&a.data).into_owned());
                }
            }
            rto = (rto * 2).min(1_600);
        }
        Ended::Silent
    }

    /// Whether a reset arrives within `span` without a request.
    fn pause(&mut self, span: Duration) -> bool {
        let end = Instant::now() + span;
        while let Ok(p) = self.inbox.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if p.has(RST) {
                return true;
            }
        }
        false
    }

    fn close(self) {
        let fin = Packet::new(ACK | FIN, self.own, self.vip, self.seq, self.ack, &[]);
        for wait in [200, 400, 800] {
            self.client.send(&fin);
            let end = Instant::now() + ms(wait);
            while let Ok(p) = self.inbox.recv_timeout(end.saturating_duration_since(Instant::now())) {
                if p.has(FIN) || p.has(RST) || p.ack.wrapping_sub(self.seq) == 1 {
                    return;
                }
            }
        }
    }
}

impl Drop for ClientFlow<'_> {
    fn drop(&mut self) {
        self.client.inboxes.lock().unwrap().remove(&self.own);
    }
}

/// Whether the answer is that of `rid`, whole and stamped.
fn check_answer(text: &str, rid: &str) -> bool {
    text.starts_with("HTTP/1.1 200")
        && text.contains("X-Jujubepost-Server-Stamp: ")
        && text.contains(&format!("X-Jujubepost-Request-Id: {rid}\r\n"))
        && text.contains(&format!("\r\n\r\ndone {rid} by "))
}

fn report_end(what: &str, flow: &str, rid: &str, ended: &Ended) {
    let text = match ended {
        Ended::Answered(a) if check_answer(a, rid) => "answered".to_string(),
        Ended::Answered(a) => format!("WRONG answer {a:?}"),
        Ended::Reset => "reset".into(),
        Ended::Silent => "silent".into(),
        Ended::Refused => "refused".into(),
    };
    note(format!("client {what} {rid} flow={flow} {text}"));
}

/// Long flows with pauses (`--feeds`, `--pause-ms`), and one request a flow (`--rate` a second),
/// until the file `--stop` exists.
fn clients(o: &Options) -> i32 {
    let bind: SocketAddrV4 = o.get("bind");
    let vip: SocketAddrV4 = o.get("vip");
    let stop = PathBuf::from(o.text("stop"));
    let pair = |s: &str| {
        let (a, b) = s.split_once('/').expect("--balancers PACKETS/READY,...");
        (a.parse().expect("address"), b.parse().expect("address"))
    };
    let balancers: Vec<_> = o.text("balancers").split(',').map(pair).collect();
    let ready = Mutex::new(vec![true; balancers.len()]);
    let client = Arc::new(Client {
        sock: UdpSocket::bind(bind).expect("clients: bind"),
        ip: *bind.ip(),
        router: Router { balancers, ready },
        inboxes: Mutex::default(),
    });
    spawn({
        let client = client.clone();
        move || client.router.probe()
    });
    spawn({
        let client = client.clone();
        move || client.receive()
    });
    let limit = ms(o.get_or("limit-ms", 4_000));
    let pause = ms(o.get_or("pause-ms", 1_000));
    let feeds: u16 = o.get_or("feeds", 0);
    let rate: u64 = o.get_or("rate", 0);
    let mut port = 30_000_u16;
    let mut tasks = Vec::new();
    for n in 0..feeds {
        let (client, stop) = (client.clone(), stop.clone());
        tasks.push(spawn(move || feed(&client, vip, n, pause, limit, &stop)));
        sleep(ms(o.get_or("spacing-ms", 10)));
    }
    let mut rand = Rand::new();
    while !stop.exists() {
        if rate == 0 {
            sleep(ms(50));
            continue;
        }
        sleep(ms(1_000 / rate));
        port = if port >= 60_000 { 30_000 } else { port + 1 };
        let (client, seq, own) = (client.clone(), rand.next() as u32, port);
        tasks.push(spawn(move || {
            let rid = format!("r{own}-{seq:x}");
            let flow = format!("{}:{own}>{vip}", client.ip);
            note(format!("client single {rid} flow={flow} sent"));
            match client.open(own, vip, seq) {
                Ok(mut f) => {
                    report_end("single", &flow, &rid, &f.request(&rid, limit));
                    f.close();
                }
                Err(e) => report_end("single", &flow, &rid, &e),
            }
        }));
    }
    for t in tasks {
        let _ = t.join();
    }
    0
}

fn feed(client: &Client, vip: SocketAddrV4, n: u16, pause: Duration, limit: Duration, stop: &Path) {
    let mut rand = Rand::new();
    rand.0 ^= u64::from(n).wrapping_mul(0x1234_5678_9abc_def1) | 1;
    let mut own = 2_000 + n * 100;
    while !stop.exists() {
        own += 1;
        let flow = format!("{}:{own}>{vip}", client.ip);
        let mut f = match client.open(own, vip, rand.next() as u32) {
            Ok(f) => f,
            Err(e) => {
                report_end("feed", &flow, "open", &e);
                sleep(ms(100));
                continue;
            }
        };
        while !stop.exists() && !f.finished {
            let rid = format!("f{own}-{:x}", rand.next());
            note(format!("client feed {rid} flow={flow} sent"));
            let ended = f.request(&rid, limit);
            report_end("feed", &flow, &rid, &ended);
            if !matches!(ended, Ended::Answered(_)) {
                break;
            }
            let part = pause / 20;
            if (0..20).any(|_| !stop.exists() && f.pause(part)) {
                note(format!("client feed pause flow={flow} reset"));
                break;
            }
        }
        f.close();
    }
}

// ---------------------------------------------------------------- checks

/// The lines of a record: time and words.
fn read_record(path: &str) -> Vec<(u128, String)> {
    let text = std::fs::read_to_string(path).expect("record");
    let mut lines: Vec<(u128, String)> = text
        .lines()
        .filter_map(|l| l.split_once(' '))
        .filter_map(|(t, rest)| Some((t.parse().ok()?, rest.to_string())))
        .collect();
    lines.sort_by_key(|(t, _)| *t);
    lines
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

/// DRAIN: a request reaches the server `--server` later than `--drain-ms` after its first
/// acknowledged report of `draining`. Judged by the opening packet: a flow that the server took
/// later than that, and on which it ran a request.
fn judge_drain(o: &Options) -> i32 {
    let server = o.text("server");
    let drain_ms: u128 = o.get("drain-ms");
    let lines = read_record(&o.text("record"));
    let acked = lines.iter().find(|(_, l)| {
        l.starts_with(&format!("server {server} report ")) && l.contains("state=draining") && l.ends_with("ack=true")
    });
    let Some((acked, _)) = acked else {
        println!("verdict: the server's leaving was not acknowledged; the case could not run");
        return 2;
    };
    let took: HashMap<&str, u128> = lines
        .iter()
        .filter_map(|(t, l)| Some((l.strip_prefix(&format!("server {server} took "))?.split(' ').next()?, *t)))
        .collect();
    let before = lines.iter().filter(|(t, l)| t < acked && l.starts_with(&format!("server {server} ran "))).count();
    let late: Vec<(u128, String)> = lines
        .iter()
        .filter(|(_, l)| l.starts_with(&format!("server {server} ran ")))
        .filter_map(|(_, l)| Some((*took.get(field(l, "flow")?)?, l.clone())))
        .filter(|(taken, _)| *taken > acked + drain_ms)
        .collect();
    println!("acknowledged at {acked}; requests that {server} ran before: {before}");
    for (taken, l) in late.iter().take(5) {
        println!("taken {} ms after the acknowledgement: {l}", taken - acked);
    }
    println!("verdict: {} requests reached {server} later than {drain_ms} ms after the acknowledgement", late.len());
    if before == 0 {
        return 2;
    }
    i32::from(!late.is_empty())
}

/// FLOW (a): a client gets a reset on an open flow while its server lives and sent none: the
/// server has opened the flow, not ended it, and did not exit before. Flows older than `--ttl-ms`
/// don't count. Resets before `--from` (Unix ms) don't either, if given.
fn judge_resets(o: &Options) -> i32 {
    let ttl: u128 = o.get_or("ttl-ms", 60_000);
    let from: u128 = o.get_or("from", 0);
    let lines = read_record(&o.text("record"));
    // Flow: server, when it opened, whether it ended or reset it since.
    let mut open: HashMap<String, (String, u128)> = HashMap::new();
    let mut ended: HashSet<String> = HashSet::new();
    let mut down: HashSet<String> = HashSet::new();
    let mut opened = 0;
    let mut resets = Vec::new();
    for (t, l) in &lines {
        let words: Vec<&str> = l.split(' ').collect();
        match words[..] {
            ["server", id, "opened", flow] => {
                opened += 1;
                ended.remove(flow);
                open.insert(flow.into(), (id.into(), *t));
            }
            ["server", _, "ended" | "reset", flow] => {
                ended.insert(flow.into());
            }
            ["server", id, "down"] => {
                down.insert(id.into());
            }
            ["client", .., "reset"] if *t >= from => {
                let Some(flow) = field(l, "flow") else { continue };
                let Some((id, since)) = open.get(flow) else { continue };
                if !ended.contains(flow) && !down.contains(id) && t - since < ttl {
                    resets.push((*t, id.clone(), l.clone()));
                }
            }
            _ => {}
        }
    }
    println!("flows opened: {opened}");
    for (t, id, l) in resets.iter().take(5) {
        println!("{t} on a flow that {id} holds: {l}");
    }
    println!("verdict: {} resets that the flow's server did not send", resets.len());
    if opened == 0 {
        return 2;
    }
    i32::from(!resets.is_empty())
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let role = args.first().cloned().unwrap_or_default();
    let o = Options::parse(&args[1.min(args.len())..]);
    std::process::exit(match role.as_str() {
        "operator" => operator(&o),
        "wait-ready" => wait_ready(&o),
        "free-ports" => free_ports(),
        "path" => path(&o),
        "store-path" => store_path(&o),
        "server" => server(&o),
        "clients" => clients(&o),
        "judge-drain" => judge_drain(&o),
        "judge-resets" => judge_resets(&o),
        _ => {
            eprintln!("roles: operator, wait-ready, free-ports, path, store-path, server, clients, judge-*");
            2
        }
    });
}
