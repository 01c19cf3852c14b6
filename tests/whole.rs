//! The platform's form end to end, on the stand-ins: real balancers and
//! agents as processes, callers that keep their flows while things change.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use jujubepost::platform::{config, kv};
use jujubepost::store::{Faults, LeaseStore, WatchStore};
use jujubepost::trial::{FlowHash, Plan, Report, Trial};
use jujubepost::up::Signal;

const MS: Duration = Duration::from_millis(1);

fn dir(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jujubepost-whole-{name}-{}", std::process::id()))
}

async fn start(name: &str, plan: Plan) -> Trial {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    Trial::start(&exe, &dir(name), plan).await.unwrap()
}

/// What holds whatever happens.
fn promises(r: &Report) {
    assert_eq!(r.duplicated, 0, "ran twice: {r}");
    assert_eq!(r.misrouted, 0, "another service's request: {r}");
}

async fn end(name: &str, trial: Trial) {
    assert_eq!(trial.shut_down().await, Vec::<String>::new(), "had to be killed");
    let _ = std::fs::remove_dir_all(dir(name));
}

async fn get(url: String) -> String {
    let client = ntex::client::Client::new().await;
    let res = client.get(url).send().await.unwrap();
    String::from_utf8(res.body().await.unwrap().to_vec()).unwrap()
}

/// The value of one fact in a process's metrics.
fn total(text: &str, fact: &str) -> f64 {
    let line = text.lines().find(|l| l.contains(&format!("fact=\"{fact}\""))).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[ntex::test]
async fn calm_run() {
    let plan = Plan { base_port: 26_000, secs: 3, ..Plan::default() };
    let mut t = start("calm", plan).await;
    let r = t
        .run_load(async |t: &mut Trial| {
            tokio::time::sleep(1_500 * MS).await;
            // What the processes say of themselves meanwhile.
            let entry = t.metrics_addr(true, 0, 0);
            let sidecar = t.metrics_addr(false, 0, 0);
            let text = get(format!("http://{sidecar}/metrics")).await;
            assert!(text.contains("jujubepost_answer_time_seconds_bucket"), "{text}");
            let text = get(format!("http://{entry}/metrics")).await;
            for fact in ["config_version", "message_bytes", "sends_refused", "read_backlogs"] {
                assert!(text.contains(&format!("fact=\"{fact}\"")), "{fact}: {text}");
            }
            assert!(total(&text, "carried_bytes") > total(&text, "message_bytes"), "{text}");
            let flow = "100.64.0.7:1000%3E198.18.0.1:443";
            let told = get(format!("http://{entry}/beliefs?flow={flow}")).await;
            let told: serde_json::Value = serde_json::from_str(&told).unwrap();
            assert_eq!((&told["version"], &told["flow"]["service"]), (&1.into(), &"meter".into()));
            assert_eq!(told["agents"].as_array().unwrap().len(), 6);
            Ok(())
        })
        .await
        .unwrap();
    promises(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    assert!(r.served > 300, "{r}");
    end("calm", t).await;
}

/// Balancers are stopped and started in turn, agents too, a target leaves:
/// planned work breaks no flow.
#[ntex::test]
async fn planned_work() {
    let plan = Plan { base_port: 26_100, secs: 12, ..Plan::default() };
    let mut t = start("planned", plan).await;
    let r = t
        .run_load(async |t: &mut Trial| {
            for label in ["entry-0-0", "sidecar-0-1", "entry-1-1", "sidecar-1-0"] {
                tokio::time::sleep(500 * MS).await;
                t.stop(label).await;
                t.launch(label)?;
            }
            t.drain_target("meter-2");
            Ok(())
        })
        .await
        .unwrap();
    promises(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    end("planned", t).await;
}

/// Processes are killed and frozen: nothing runs twice, nothing reaches
/// another service, and flows whose targets live go on.
#[ntex::test]
async fn killed_and_frozen() {
    let plan = Plan { base_port: 26_200, secs: 10, hash: FlowHash::Rendezvous, ..Plan::default() };
    let mut t = start("killed", plan).await;
    let r = t
        .run_load(async |t: &mut Trial| {
            for label in ["entry-0-1", "sidecar-0-0"] {
                tokio::time::sleep(700 * MS).await;
                t.kill(label);
                tokio::time::sleep(300 * MS).await;
                t.launch(label)?;
            }
            t.send_signal("sidecar-1-1", Signal::SIGSTOP);
            tokio::time::sleep(1_000 * MS).await;
            t.send_signal("sidecar-1-1", Signal::SIGCONT);
            // All agents at once: every balancer's memory is all there is.
            let agents: Vec<_> = (0..3).map(|n| format!("sidecar-0-{n}")).collect();
            agents.iter().for_each(|label| t.kill(label));
            tokio::time::sleep(300 * MS).await;
            agents.iter().try_for_each(|label| t.launch(label))?;
            Ok(())
        })
        .await
        .unwrap();
    promises(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    end("killed", t).await;
}

async fn fault(t: &Trial, faults: &Faults) {
    fault_at(t.store_addr(), faults).await;
}

async fn fault_at(store: std::net::SocketAddrV4, faults: &Faults) {
    let client = ntex::client::Client::new().await;
    let url = format!("http://{store}/fault");
    assert!(client.post(url).send_json(faults).await.unwrap().status().is_success());
}

async fn store(t: &Trial) -> kv::Client {
    kv::Client::new(t.store_addr().into(), 1_000 * MS, 1_000 * MS).await.unwrap()
}

/// Waits until each data centre's `balancers` have `version` of the configuration in
/// force, which may take 3 s from now on.
async fn in_force(t: &Trial, balancers: u8, version: u64) -> anyhow::Result<()> {
    let since = Instant::now();
    let all: Vec<_> = (0..2).flat_map(|z| (0..balancers).map(move |n| (z, n))).collect();
    loop {
        let mut versions = Vec::new();
        for (z, n) in &all {
            let told = get(format!("http://{}/beliefs", t.metrics_addr(true, *z, *n))).await;
            let told: serde_json::Value = serde_json::from_str(&told)?;
            versions.push(told["version"].as_u64());
        }
        if versions.iter().all(|v| *v == Some(version)) {
            return Ok(());
        }
        assert!(since.elapsed() < Duration::from_secs(3), "{versions:?}");
        tokio::time::sleep(50 * MS).await;
    }
}

/// The store is away longer than entries live, forgets its history and loses
/// answers; a change made right after its return is in force within 3 s.
#[ntex::test]
async fn store_troubles() {
    let plan = Plan { base_port: 26_300, secs: 14, ..Plan::default() };
    let mut t = start("store", plan).await;
    let r = t
        .run_load(async |t: &mut Trial| {
            fault(t, &Faults { outage: true, ..Faults::default() }).await;
            tokio::time::sleep(4_000 * MS).await;
            fault(t, &Faults { clear_history: true, lost_responses: 2, ..Faults::default() }).await;
            let client = store(t).await;
            let old = client.get(config::CONFIG_KEY).await?.unwrap();
            let newer = String::from_utf8(old.value)?.replace("\"version\":1", "\"version\":2");
            // The answer is lost; the write has taken effect.
            let _ = client.put(config::CONFIG_KEY, newer.as_bytes(), 0).await;
            in_force(t, 2, 2).await
        })
        .await
        .unwrap();
    promises(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    end("store", t).await;
}

/// Guards against balancers on which a change is not in force in time after they were
/// suspended: one change is made meanwhile, the next right after.
#[ntex::test]
async fn change_after_freeze() {
    let balancers = 8;
    let plan = Plan { base_port: 27_400, balancers, ..Plan::default() };
    let t = start("freeze", plan).await;
    let entries: Vec<_> = t.labels().into_iter().filter(|l| l.starts_with("entry")).collect();
    for version in [2, 4] {
        entries.iter().for_each(|label| t.send_signal(label, Signal::SIGSTOP));
        tokio::time::sleep(500 * MS).await;
        t.write_config(version).await.unwrap();
        tokio::time::sleep(4_500 * MS).await;
        entries.iter().for_each(|label| t.send_signal(label, Signal::SIGCONT));
        tokio::time::sleep(50 * MS).await;
        t.write_config(version + 1).await.unwrap();
        in_force(&t, balancers, version + 1).await.unwrap();
    }
    let mut paused = 0.0;
    for (z, n) in (0..2).flat_map(|z| (0..balancers).map(move |n| (z, n))) {
        let text = get(format!("http://{}/metrics", t.metrics_addr(true, z, n))).await;
        assert!(total(&text, "store_age_ms") < 4_000.0, "{text}");
        paused += total(&text, "paused_ms");
    }
    assert!(paused > 0.0, "no balancer noticed that it was suspended");
    end("freeze", t).await;
}

/// The store takes away the agents' entries, whose leases stand, while no
/// balancer runs that knew them: the agents write them again.
#[ntex::test]
async fn entries_taken_away() {
    let plan = Plan { base_port: 26_400, secs: 2, targets: 1, ..Plan::default() };
    let mut t = start("taken", plan).await;
    let balancers = ["entry-0-0", "entry-0-1", "entry-1-0", "entry-1-1"];
    balancers.iter().for_each(|label| t.kill(label));
    let client = store(&t).await;
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    assert_eq!(agents.len(), 2);
    for kv in &agents {
        client.delete(&kv.key).await.unwrap();
    }
    balancers.iter().try_for_each(|label| t.launch(label)).unwrap();
    let since = Instant::now();
    while client.list("jujubepost/agents/").await.unwrap().1.len() < 2 {
        assert!(since.elapsed() < Duration::from_secs(6));
        tokio::time::sleep(100 * MS).await;
    }
    tokio::time::sleep(1_000 * MS).await;
    let r = t.run_load(async |_: &mut Trial| Ok(())).await.unwrap();
    promises(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    end("taken", t).await;
}

/// Has the second target of the first service leave; its agent runs on.
async fn drained(t: &Trial) {
    t.drain_target("meter-1");
    let agent = t.metrics_addr(false, 0, 1);
    let since = Instant::now();
    loop {
        let told = get(format!("http://{agent}/beliefs")).await;
        let told: serde_json::Value = serde_json::from_str(&told).unwrap();
        if told["target"]["alive"] == false {
            return;
        }
        assert!(since.elapsed() < Duration::from_secs(15), "{told}");
        tokio::time::sleep(100 * MS).await;
    }
}

/// An agent whose target has left removes its entry, also when the store is
/// away at that moment: an entry left to its lease of minutes has every
/// balancer that starts wait for an agent that is gone.
#[ntex::test]
async fn entry_removed_late() {
    let plan = Plan { base_port: 28_600, targets: 2, ..Plan::default() };
    let mut t = start("removed", plan).await;
    let client = store(&t).await;
    drained(&t).await;
    fault(&t, &Faults { outage: true, ..Faults::default() }).await;
    let at = t.store_addr();
    let back = async {
        tokio::time::sleep(1_500 * MS).await;
        fault_at(at, &Faults::default()).await;
    };
    futures_util::join!(t.stop("sidecar-0-1"), back);
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    let left: Vec<_> = agents.iter().map(|kv| &*kv.key).collect();
    assert_eq!(left.len(), 3, "{left:?}");
    end("removed", t).await;
}

/// An agent that starts without a target, on a VM that was about to go when it lost
/// power, lists itself nowhere: gone again without a word, it would hold up the
/// searches of its service, and stay listed for minutes.
#[ntex::test]
async fn unlisted_without_target() {
    let plan = Plan { base_port: 28_700, targets: 2, ..Plan::default() };
    let mut t = start("unlisted", plan).await;
    let client = store(&t).await;
    drained(&t).await;
    t.kill("sidecar-0-1");
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    for kv in &agents {
        client.delete(&kv.key).await.unwrap();
    }
    t.launch("sidecar-0-1").unwrap();
    let since = Instant::now();
    let mut listed = Vec::new();
    while since.elapsed() < 5_000 * MS {
        tokio::time::sleep(200 * MS).await;
        let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
        listed = agents.iter().map(|kv| kv.key.to_string()).collect();
        assert!(listed.len() <= 3, "{listed:?}");
    }
    assert_eq!(listed.len(), 3, "the others list themselves again: {listed:?}");
    end("unlisted", t).await;
}

/// A store that takes connections and answers nothing must not keep a process
/// from finding it again once it answers.
#[ntex::test]
async fn silent_store_found_again() {
    let addr = "127.0.0.1:26390".parse().unwrap();
    let deaf = std::net::TcpListener::bind(addr).unwrap();
    let client = kv::Client::new(addr, 300 * MS, 300 * MS).await.unwrap();
    let since = Instant::now();
    assert!(client.get("x").await.is_err());
    assert!(since.elapsed() < 1_000 * MS, "{:?}", since.elapsed());
    drop(deaf);
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    let path = dir("silent");
    std::fs::create_dir_all(&path).unwrap();
    let config = path.join("store.jsonc");
    std::fs::write(&config, r#"{"store": {"addr": "127.0.0.1:26390"}}"#).unwrap();
    let mut children = jujubepost::up::Children::new(&exe);
    let text = config.display().to_string();
    children.spawn("store", &["store", "--config", &text], &path.join("log")).unwrap();
    let since = Instant::now();
    while client.get("x").await.is_err() {
        assert!(since.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(20 * MS).await;
    }
    let lease = client.grant(1_000 * MS).await.unwrap();
    client.put("x", b"1", lease).await.unwrap();
    assert!(client.get("x").await.unwrap().is_some());
    assert!(client.keepalive(lease).await.unwrap());
    assert!(!client.keepalive(lease + 1).await.unwrap());
    tokio::time::sleep(1_500 * MS).await;
    assert!(client.get("x").await.unwrap().is_none(), "its lease lapsed");
    // Many calls one after the other on the client's connections.
    for i in 0..200 {
        client.put("y", b"1", 0).await.unwrap_or_else(|e| panic!("put {i}: {e:#}"));
        client.exists("y").await.unwrap_or_else(|e| panic!("has {i}: {e:#}"));
        client.keepalive(lease).await.unwrap_or_else(|e| panic!("keepalive {i}: {e:#}"));
    }
    children.stop_all().await;
}
