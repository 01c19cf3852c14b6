//! End-to-end tests with balancers and agents as processes, on simulated platform
//! services: flows survive planned work, crashes and store failures.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use jujubepost::platform::{config, kv};
use jujubepost::store::{Faults, LeaseStore, WatchStore};
use jujubepost::trial::{FlowHash, Plan, Report, Trial};
use jujubepost::up::Signal;

const MS: Duration = Duration::from_millis(1);

fn test_dir(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jujubepost-whole-{name}-{}", std::process::id()))
}

async fn start_trial(name: &str, plan: Plan) -> Trial {
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    Trial::start(&exe, &test_dir(name), plan).await.unwrap()
}

/// Checks what every run guarantees: no request runs twice or reaches another service.
fn assert_isolated_and_run_once(r: &Report) {
    assert_eq!(r.duplicated, 0, "ran twice: {r}");
    assert_eq!(r.misrouted, 0, "another service's request: {r}");
}

async fn stop_trial(name: &str, trial: Trial) {
    assert_eq!(
        trial.shut_down().await,
        Vec::<String>::new(),
        "processes that did not stop in time"
    );
    let _ = std::fs::remove_dir_all(test_dir(name));
}

async fn get(url: String) -> String {
    let client = ntex::client::Client::new().await;
    let res = client.get(url).send().await.unwrap();
    String::from_utf8(res.body().await.unwrap().to_vec()).unwrap()
}

/// The value of `fact` in the metrics `text`.
fn fact_value(text: &str, fact: &str) -> f64 {
    let line = text.lines().find(|l| l.contains(&format!("fact=\"{fact}\""))).unwrap();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[ntex::test]
async fn no_failures_without_faults() {
    let plan = Plan { base_port: 26_000, secs: 3, ..Plan::default() };
    let mut trial = start_trial("calm", plan).await;
    let r = trial
        .run_load(async |trial: &mut Trial| {
            tokio::time::sleep(1_500 * MS).await;
            // Metrics and state reports while the load runs.
            let entry = trial.metrics_addr(true, 0, 0);
            let sidecar = trial.metrics_addr(false, 0, 0);
            let text = get(format!("http://{sidecar}/metrics")).await;
            assert!(text.contains("jujubepost_answer_time_seconds_bucket"), "{text}");
            let text = get(format!("http://{entry}/metrics")).await;
            for fact in ["config_version", "message_bytes", "sends_refused", "read_backlogs"] {
                assert!(text.contains(&format!("fact=\"{fact}\"")), "{fact}: {text}");
            }
            assert!(
                fact_value(&text, "carried_bytes") > fact_value(&text, "message_bytes"),
                "{text}"
            );
            let flow = "100.64.0.7:1000%3E198.18.0.1:443";
            let state = get(format!("http://{entry}/beliefs?flow={flow}")).await;
            let state: serde_json::Value = serde_json::from_str(&state).unwrap();
            assert_eq!(
                (&state["version"], &state["flow"]["service"]),
                (&1.into(), &"meter".into())
            );
            assert_eq!(state["agents"].as_array().unwrap().len(), 6);
            Ok(())
        })
        .await
        .unwrap();
    assert_isolated_and_run_once(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    assert!(r.served > 300, "{r}");
    stop_trial("calm", trial).await;
}

/// Restarting balancers and agents in turn, and draining a target, breaks no flow.
#[ntex::test]
async fn planned_work_breaks_no_flow() {
    let plan = Plan { base_port: 26_100, secs: 12, ..Plan::default() };
    let mut trial = start_trial("planned", plan).await;
    let r = trial
        .run_load(async |trial: &mut Trial| {
            for label in ["entry-0-0", "sidecar-0-1", "entry-1-1", "sidecar-1-0"] {
                tokio::time::sleep(500 * MS).await;
                trial.stop(label).await;
                trial.launch(label)?;
            }
            trial.drain_target("meter-2");
            Ok(())
        })
        .await
        .unwrap();
    assert_isolated_and_run_once(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    stop_trial("planned", trial).await;
}

/// Flows survive killed and suspended processes as long as their targets run.
#[ntex::test]
async fn flows_survive_killed_and_frozen() {
    let plan = Plan { base_port: 26_200, secs: 10, hash: FlowHash::Rendezvous, ..Plan::default() };
    let mut trial = start_trial("killed", plan).await;
    let r = trial
        .run_load(async |trial: &mut Trial| {
            for label in ["entry-0-1", "sidecar-0-0"] {
                tokio::time::sleep(700 * MS).await;
                trial.kill(label);
                tokio::time::sleep(300 * MS).await;
                trial.launch(label)?;
            }
            trial.send_signal("sidecar-1-1", Signal::SIGSTOP);
            tokio::time::sleep(1_000 * MS).await;
            trial.send_signal("sidecar-1-1", Signal::SIGCONT);
            // All agents of zone 0 at once: only the balancers still know the flows.
            let agents: Vec<_> = (0..3).map(|n| format!("sidecar-0-{n}")).collect();
            agents.iter().for_each(|label| trial.kill(label));
            tokio::time::sleep(300 * MS).await;
            agents.iter().try_for_each(|label| trial.launch(label))?;
            Ok(())
        })
        .await
        .unwrap();
    assert_isolated_and_run_once(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    stop_trial("killed", trial).await;
}

async fn set_store_faults(trial: &Trial, faults: &Faults) {
    set_faults_at(trial.store_addr(), faults).await;
}

async fn set_faults_at(store: std::net::SocketAddrV4, faults: &Faults) {
    let client = ntex::client::Client::new().await;
    let url = format!("http://{store}/fault");
    assert!(client.post(url).send_json(faults).await.unwrap().status().is_success());
}

async fn store_client(trial: &Trial) -> kv::Client {
    kv::Client::new(trial.store_addr().into(), 1_000 * MS, 1_000 * MS).await.unwrap()
}

/// Waits until `balancers` balancers in each zone have `version` of the configuration in
/// force; fails after 3 s.
async fn wait_in_force(trial: &Trial, balancers: u8, version: u64) -> anyhow::Result<()> {
    let start = Instant::now();
    let all: Vec<_> = (0..2).flat_map(|z| (0..balancers).map(move |n| (z, n))).collect();
    loop {
        let mut versions = Vec::new();
        for (z, n) in &all {
            let state = get(format!("http://{}/beliefs", trial.metrics_addr(true, *z, *n))).await;
            let state: serde_json::Value = serde_json::from_str(&state)?;
            versions.push(state["version"].as_u64());
        }
        if versions.iter().all(|v| *v == Some(version)) {
            return Ok(());
        }
        assert!(start.elapsed() < Duration::from_secs(3), "{versions:?}");
        tokio::time::sleep(50 * MS).await;
    }
}

/// After an outage longer than registrations are valid, with lost history and responses, a
/// change is in force within 3 s.
#[ntex::test]
async fn change_applies_after_store_outage() {
    let plan = Plan { base_port: 26_300, secs: 14, ..Plan::default() };
    let mut trial = start_trial("store", plan).await;
    let r = trial
        .run_load(async |trial: &mut Trial| {
            set_store_faults(trial, &Faults { outage: true, ..Faults::default() }).await;
            tokio::time::sleep(4_000 * MS).await;
            set_store_faults(
                trial,
                &Faults { clear_history: true, lost_responses: 2, ..Faults::default() },
            )
            .await;
            let client = store_client(trial).await;
            let old = client.get(config::CONFIG_KEY).await?.unwrap();
            let newer = String::from_utf8(old.value)?.replace("\"version\":1", "\"version\":2");
            // The response is lost, but the write takes effect.
            let _ = client.put(config::CONFIG_KEY, newer.as_bytes(), 0).await;
            wait_in_force(trial, 2, 2).await
        })
        .await
        .unwrap();
    assert_isolated_and_run_once(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    stop_trial("store", trial).await;
}

/// Guards against late changes on balancers that were suspended: one change is made
/// meanwhile, the next right afterwards.
#[ntex::test]
async fn change_applies_after_freeze() {
    let balancers = 8;
    let plan = Plan { base_port: 27_400, balancers, ..Plan::default() };
    let trial = start_trial("freeze", plan).await;
    let entries: Vec<_> = trial.labels().into_iter().filter(|l| l.starts_with("entry")).collect();
    for version in [2, 4] {
        entries.iter().for_each(|label| trial.send_signal(label, Signal::SIGSTOP));
        tokio::time::sleep(500 * MS).await;
        trial.write_config(version).await.unwrap();
        tokio::time::sleep(4_500 * MS).await;
        entries.iter().for_each(|label| trial.send_signal(label, Signal::SIGCONT));
        tokio::time::sleep(50 * MS).await;
        trial.write_config(version + 1).await.unwrap();
        wait_in_force(&trial, balancers, version + 1).await.unwrap();
    }
    let mut paused_ms = 0.0;
    for (z, n) in (0..2).flat_map(|z| (0..balancers).map(move |n| (z, n))) {
        let text = get(format!("http://{}/metrics", trial.metrics_addr(true, z, n))).await;
        assert!(fact_value(&text, "store_age_ms") < 4_000.0, "{text}");
        paused_ms += fact_value(&text, "paused_ms");
    }
    assert!(paused_ms > 0.0, "no balancer noticed that it was suspended");
    stop_trial("freeze", trial).await;
}

/// Agents register again if their keys are deleted while their leases are valid, also
/// when no running balancer knew them.
#[ntex::test]
async fn deleted_registrations_restored() {
    let plan = Plan { base_port: 26_400, secs: 2, targets: 1, ..Plan::default() };
    let mut trial = start_trial("deleted", plan).await;
    let balancers = ["entry-0-0", "entry-0-1", "entry-1-0", "entry-1-1"];
    balancers.iter().for_each(|label| trial.kill(label));
    let client = store_client(&trial).await;
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    assert_eq!(agents.len(), 2);
    for kv in &agents {
        client.delete(&kv.key).await.unwrap();
    }
    balancers.iter().try_for_each(|label| trial.launch(label)).unwrap();
    let start = Instant::now();
    while client.list("jujubepost/agents/").await.unwrap().1.len() < 2 {
        assert!(start.elapsed() < Duration::from_secs(6));
        tokio::time::sleep(100 * MS).await;
    }
    tokio::time::sleep(1_000 * MS).await;
    let r = trial.run_load(async |_: &mut Trial| Ok(())).await.unwrap();
    assert_isolated_and_run_once(&r);
    assert_eq!((r.failed, r.broken), (0, 0), "{r}");
    stop_trial("deleted", trial).await;
}

/// Drains target `meter-1` and waits until its process has ended; its agent runs on.
async fn drain_target(trial: &Trial) {
    trial.drain_target("meter-1");
    let agent = trial.metrics_addr(false, 0, 1);
    let start = Instant::now();
    loop {
        let state = get(format!("http://{agent}/beliefs")).await;
        let state: serde_json::Value = serde_json::from_str(&state).unwrap();
        if state["target"]["alive"] == false {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(15), "{state}");
        tokio::time::sleep(100 * MS).await;
    }
}

/// Guards against a stopped agent that stays registered because the store was unreachable:
/// balancers would wait for it until its lease expires.
#[ntex::test]
async fn registration_removed_after_outage() {
    let plan = Plan { base_port: 28_600, targets: 2, ..Plan::default() };
    let mut trial = start_trial("removed", plan).await;
    let client = store_client(&trial).await;
    drain_target(&trial).await;
    set_store_faults(&trial, &Faults { outage: true, ..Faults::default() }).await;
    let store_addr = trial.store_addr();
    let end_outage = async {
        tokio::time::sleep(1_500 * MS).await;
        set_faults_at(store_addr, &Faults::default()).await;
    };
    futures_util::join!(trial.stop("sidecar-0-1"), end_outage);
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    let left: Vec<_> = agents.iter().map(|kv| &*kv.key).collect();
    assert_eq!(left.len(), 3, "{left:?}");
    stop_trial("removed", trial).await;
}

/// Guards against an agent that registers without a running target: if it then
/// disappeared, it would delay owner searches until its lease expires.
#[ntex::test]
async fn not_registered_without_target() {
    let plan = Plan { base_port: 28_700, targets: 2, ..Plan::default() };
    let mut trial = start_trial("unlisted", plan).await;
    let client = store_client(&trial).await;
    drain_target(&trial).await;
    trial.kill("sidecar-0-1");
    let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
    for kv in &agents {
        client.delete(&kv.key).await.unwrap();
    }
    trial.launch("sidecar-0-1").unwrap();
    let start = Instant::now();
    let mut listed = Vec::new();
    while start.elapsed() < 5_000 * MS {
        tokio::time::sleep(200 * MS).await;
        let (_, agents) = client.list("jujubepost/agents/").await.unwrap();
        listed = agents.iter().map(|kv| kv.key.to_string()).collect();
        assert!(listed.len() <= 3, "{listed:?}");
    }
    assert_eq!(listed.len(), 3, "the others register again: {listed:?}");
    stop_trial("unlisted", trial).await;
}

/// Guards against a client that does not recover from a store that accepts connections
/// without responding.
#[ntex::test]
async fn client_recovers_from_silent_store() {
    let addr = "127.0.0.1:26390".parse().unwrap();
    let silent_listener = std::net::TcpListener::bind(addr).unwrap();
    let client = kv::Client::new(addr, 300 * MS, 300 * MS).await.unwrap();
    let start = Instant::now();
    assert!(client.get("x").await.is_err());
    assert!(start.elapsed() < 1_000 * MS, "{:?}", start.elapsed());
    drop(silent_listener);
    let exe = PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"));
    let path = test_dir("silent");
    std::fs::create_dir_all(&path).unwrap();
    let config = path.join("store.jsonc");
    std::fs::write(&config, r#"{"store": {"addr": "127.0.0.1:26390"}}"#).unwrap();
    let mut children = jujubepost::up::Children::new(&exe);
    let text = config.display().to_string();
    children.spawn("store", &["store", "--config", &text], &path.join("log")).unwrap();
    let start = Instant::now();
    while client.get("x").await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(20 * MS).await;
    }
    let lease = client.grant(1_000 * MS).await.unwrap();
    client.put("x", b"1", lease).await.unwrap();
    assert!(client.get("x").await.unwrap().is_some());
    assert!(client.keepalive(lease).await.unwrap());
    assert!(!client.keepalive(lease + 1).await.unwrap());
    tokio::time::sleep(1_500 * MS).await;
    assert!(client.get("x").await.unwrap().is_none(), "its lease expired");
    // Consecutive calls reuse the client's connections.
    for i in 0..200 {
        client.put("y", b"1", 0).await.unwrap_or_else(|e| panic!("put {i}: {e:#}"));
        client.exists("y").await.unwrap_or_else(|e| panic!("exists {i}: {e:#}"));
        client.keepalive(lease).await.unwrap_or_else(|e| panic!("keepalive {i}: {e:#}"));
    }
    children.stop_all().await;
}
