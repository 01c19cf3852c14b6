//! A seeded randomised run: rounds of load, each with one fault picked at
//! random (balancer killed then started again, target drained then resumed,
//! store outage, agent frozen, answer lost on a profile change). Each round
//! must break no flow, fail no request, run nothing twice and cross no
//! service. The processes run with their own invariants on (debug build).
//!
//! The seed is printed; set `JUJUBEPOST_SEED` to replay one.

mod common;

use std::time::{Duration, Instant};

use jujubepost::bench::{self, Args};
use jujubepost::ctl;
use jujubepost::store::{self, Faults, Keys};
use jujubepost::up::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 20_261_202;
const LENGTH: Duration = Duration::from_secs(24);
const FAULTS: [&str; 5] = ["kill_balancer", "drain", "store_outage", "freeze_agent", "lost_answer"];

#[ntex::test]
async fn seeded_faults() {
    let seed = std::env::var("JUJUBEPOST_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(SEED);
    println!("soak seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut site = common::start("soak", 25000, 3, 4, 2).await;
    let s = site.settings.clone();
    let store = store::Client::new(s.store.addr, Duration::from_secs(2)).await;
    let keys = Keys::new(s.store.prefix.clone());
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < LENGTH {
        round += 1;
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let k = rng.random_range(0..3u16);
        let args =
            Args { config: site.path.clone(), feeds: 4, requests: 40, secs: 2, ..Args::default() };
        let s2 = s.clone();
        let run = tokio::task::spawn_local(async move { bench::measure(&s2, &args).await });
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..800))).await;
        let lb = format!("lb-{k}");
        let target = format!("meter-{}", k + 1);
        match fault {
            "kill_balancer" => site.kill(&lb),
            "drain" => store.put(&keys.drain(&target), b"{\"since_ms\":0}", 0).await.unwrap(),
            "store_outage" => {
                ctl::fault(&s, &Faults { outage: true, ..Faults::default() }).await.unwrap();
                tokio::time::sleep(Duration::from_millis(700)).await;
                ctl::fault(&s, &Faults::default()).await.unwrap();
            }
            "freeze_agent" => {
                site.send(&format!("agent-{target}"), Signal::SIGSTOP);
                tokio::time::sleep(Duration::from_millis(300)).await;
                site.send(&format!("agent-{target}"), Signal::SIGCONT);
            }
            _ => {
                ctl::fault(&s, &Faults { lose: 1, ..Faults::default() }).await.unwrap();
                let rev =
                    store.get(&keys.profile("fieldlog")).await.unwrap().map_or(0, |kv| kv.rev);
                let mut spec = s.profiles[1].clone();
                spec.max_flows = 1_000 + round;
                let got = ctl::put(&store, &keys, &spec, rev).await.unwrap();
                assert_eq!(got, ctl::Outcome::Written, "round {round}");
            }
        }
        let rows = run.await.unwrap();
        for r in &rows {
            let at = format!("seed {seed} round {round} fault {fault} on {k}: {r:?}");
            assert_eq!(r.broken, 0, "{at}");
            assert_eq!(r.failed, 0, "{at}");
            assert_eq!(r.doubled, 0, "{at}");
            assert_eq!(r.foreign, 0, "{at}");
            assert_eq!(r.ok + r.refused, 40, "{at}");
            if fault != "drain" {
                assert_eq!(r.refused, 0, "{at}");
            }
        }
        match fault {
            "kill_balancer" => {
                site.spawn(&common::exe(), &lb, &["balancer", "--name", &lb]).unwrap()
            }
            "drain" => store.delete(&keys.drain(&target)).await.unwrap(),
            _ => {}
        }
        println!("round {round}: {fault} on {k}: passed");
    }
    println!("soak seed {seed}: {round} rounds passed in {:?}", start.elapsed());
}
