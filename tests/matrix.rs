//! The fault matrix: every fault at every step, under load, with the brief's
//! promises checked each time. Prints the table and, when
//! `JUJUBEPOST_MATRIX` names a file, writes it there.
//!
//! The steps: the fault strikes as flows open, when they are established, or
//! right after a change of the configuration (a drain and a new limit) was
//! accepted. It ends while the load goes on.
//!
//! `JUJUBEPOST_MATRIX_ONLY` names cases (divided by `;`) and
//! `JUJUBEPOST_MATRIX_TIMES` how often each is played, to trace one that fails
//! now and then. The logs of a step that fails are kept in the folder that its
//! message names.

mod common;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use jujubepost::admin;
use jujubepost::bench::{self, Load, Row};
use jujubepost::ctl::{self, Outcome, fleet};
use jujubepost::script::{Action, Step};
use jujubepost::settings::Settings;
use jujubepost::store::{self, KeyLayout};
use jujubepost::target;
use jujubepost::up::Site;

const WORKERS: u16 = 6;
const REQUESTS: u32 = 70;
const FEEDS: u32 = 6;

/// When the fault strikes and when it ends, in milliseconds of the load.
const STRIKE: u64 = 1_200;
const END: u64 = 2_600;

/// How soon an accepted configuration must be in force, once the fault is
/// over.
const IN_FORCE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum When {
    Opening,
    Established,
    Change,
}

/// What a fault is allowed to do to the callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Harm {
    /// Nothing: every request is served and every feed lives.
    None,
    /// A target sheds load: its refusals reach the callers.
    Sheds,
    /// Flows whose own agent or target died, or went silent, end with it.
    OwnerDies,
}

struct Case {
    name: &'static str,
    harm: Harm,
    planned: bool,
    before: Vec<Action>,
    on: Vec<Action>,
    off: Vec<Action>,
}

fn acts(text: &[&str]) -> Vec<Action> {
    text.iter().map(|t| t.parse().unwrap()).collect()
}

fn case(name: &'static str, harm: Harm, on: &[&str], off: &[&str]) -> Case {
    let (on, off) = (acts(on), acts(off));
    Case { name, harm, planned: false, before: Vec::new(), on, off }
}

fn planned(name: &'static str, on: &[&str], off: &[&str]) -> Case {
    Case { planned: true, ..case(name, Harm::None, on, off) }
}

fn target_fault(name: &'static str, harm: Harm, faults: target::Faults) -> Case {
    let set = |f| vec![Action::Target("meter-1".into(), f)];
    Case { on: set(faults), off: set(target::Faults::default()), ..case(name, harm, &[], &[]) }
}

fn cases() -> Vec<Case> {
    use Harm::{None, OwnerDies, Sheds};
    let blind = |blind| {
        vec![Action::Balancer("lb-1".into(), admin::Faults { blind, ..Default::default() })]
    };
    let noise = admin::Faults { lose: 30, double: 100, delay: 200, ..Default::default() };
    vec![
        case("none", None, &[], &[]),
        case("balancer killed", None, &["kill lb-1"], &["start lb-1"]),
        case("balancer killed twice", None, &["kill lb-1", "kill lb-2"], &["start lb-1"]),
        planned("balancer stopped", &["stop lb-1"], &["start lb-1"]),
        case("balancer frozen", None, &["freeze lb-1"], &["thaw lb-1"]),
        Case { before: acts(&["kill lb-2"]), ..case("balancer joins", None, &["start lb-2"], &[]) },
        planned("agent stopped", &["stop agent-meter-1"], &["start agent-meter-1"]),
        case("agent killed", OwnerDies, &["kill agent-meter-1"], &["start agent-meter-1"]),
        case("agent frozen", None, &["freeze agent-meter-1"], &["thaw agent-meter-1"]),
        planned("target drained", &["drain meter-1"], &["resume meter-1"]),
        case("target killed, cold start", OwnerDies, &["kill meter-1"], &["start meter-1"]),
        target_fault("target slow", None, target::Faults { slow_ms: 30, ..Default::default() }),
        target_fault("target sheds", Sheds, target::Faults { shed: true, ..Default::default() }),
        target_fault(
            "target sheds and lies",
            Sheds,
            target::Faults { shed: true, lie: true, ..Default::default() },
        ),
        Case { on: blind(true), off: blind(false), ..case("uneven updates", None, &[], &[]) },
        case("store down", None, &["store outage"], &["store ok"]),
        case("store slow", None, &["store slow 900"], &["store ok"]),
        case("answers lost", None, &["store lose 3"], &["store ok"]),
        case("leases lapse", None, &["store lapse"], &["store ok"]),
        case("connections silent", OwnerDies, &["fabric mute"], &[]),
        Case {
            on: vec![Action::Fabric(noise)],
            ..case("packets lost, doubled, late", None, &[], &["fabric ok"])
        },
        case(
            "store down, balancer killed",
            None,
            &["store outage", "kill lb-1", "start lb-1"],
            &["store ok"],
        ),
        case(
            "leases lapse, agent frozen, balancer killed",
            None,
            &["store lapse", "freeze agent-meter-1", "kill lb-1"],
            &["thaw agent-meter-1", "store ok", "start lb-1"],
        ),
        case(
            "answers lost, agent killed, packets lost",
            OwnerDies,
            &["store lose 3", "kill agent-meter-1", "fabric lose 30"],
            &["start agent-meter-1", "fabric ok", "store ok"],
        ),
    ]
}

/// One promise in one cell: passed, not asked, or what went wrong.
type Cell = Option<Result<(), String>>;

struct Line {
    case: &'static str,
    when: When,
    cells: [Cell; 8],
    /// Where the logs of its processes lie.
    logs: PathBuf,
}

impl Line {
    fn failed(&self) -> bool {
        self.cells.iter().flatten().any(Result::is_err)
    }
}

fn check(ok: bool, say: impl FnOnce() -> String) -> Cell {
    Some(if ok { Ok(()) } else { Err(say()) })
}

/// Two operators change the meter profile from the same revision.
async fn race(s: &Settings) -> [Outcome; 2] {
    let store = store::Client::new(s.store.addr, Duration::from_secs(3)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    let mut specs = [s.profiles[0].clone(), s.profiles[0].clone()];
    specs[0].max_flows = 900 + rand::random_range(0..50);
    specs[1].max_flows = 950 + rand::random_range(0..50);
    let (a, b) = futures_util::join!(
        ctl::put(&store, &keys, &specs[0], rev),
        ctl::put(&store, &keys, &specs[1], rev)
    );
    [a.unwrap(), b.unwrap()]
}

async fn strike(case: &Case, when: When, site: &mut Site) -> Line {
    let s = site.settings.clone();
    for action in &case.before {
        site.take(action).await.unwrap();
    }
    let load = Load { feeds: FEEDS, requests: REQUESTS, secs: 3, ..Load::default() };
    let s2 = s.clone();
    let run = tokio::task::spawn_local(async move { bench::measure(&s2, &load).await });
    let step = |at, action: &Action| Step { at: Duration::from_millis(at), action: action.clone() };
    let at = if when == When::Opening { 0 } else { STRIKE };
    let mut raced = None;
    if when == When::Change {
        tokio::time::sleep(Duration::from_millis(at)).await;
        Action::Drain("meter-2".into()).take(&s).await.unwrap();
        raced = Some(race(&s).await);
    }
    let from = if when == When::Change { 0 } else { at };
    let over = END - STRIKE + from;
    let steps: Vec<Step> = case.on.iter().map(|a| step(from, a)).collect();
    let ends: Vec<Step> = case.off.iter().map(|a| step(0, a)).collect();
    let start = tokio::time::Instant::now();
    site.play(&steps).await.unwrap();
    tokio::time::sleep_until(start + Duration::from_millis(over)).await;
    site.play(&ends).await.unwrap();
    let rows = run.await.unwrap();
    let in_force = fleet::in_force(&s, IN_FORCE).await;
    let mut leaves = None;
    if when == When::Change {
        leaves = Some(new_work(site, "meter-2").await);
        Action::Resume("meter-2".into()).take(&s).await.unwrap();
        fleet::in_force(&s, IN_FORCE).await.unwrap();
    }
    let broken = common::violation_count(site).await;
    let cells = judge(case, &rows, broken, leaves, raced, in_force.map(drop));
    let logs = site.path.parent().unwrap().to_path_buf();
    Line { case: case.name, when, cells, logs }
}

/// Requests that a target gets now, past its grace.
async fn new_work(site: &Site, name: &str) -> u32 {
    let args = Load { requests: 30, secs: 1, ..Load::default() };
    let rows = bench::measure(&site.settings, &args).await;
    rows.iter().filter_map(|r| r.served.get(name)).sum()
}

fn judge(
    case: &Case,
    rows: &[Row],
    broken: u64,
    leaves: Option<u32>,
    raced: Option<[Outcome; 2]>,
    in_force: anyhow::Result<()>,
) -> [Cell; 8] {
    let all = |ok: fn(&Row) -> bool| check(rows.iter().all(ok), || format!("{rows:?}"));
    let none = case.harm == Harm::None;
    let won = raced.is_none_or(|r| r.iter().filter(|o| **o == Outcome::Written).count() == 1);
    [
        if case.harm == Harm::OwnerDies { None } else { all(|r| r.broken == 0) },
        check(broken == 0 && rows.iter().all(|r| r.foreign == 0), || format!("E999 {broken}")),
        match case.harm {
            Harm::None => all(|r| r.wrong == 0 && r.ok == REQUESTS),
            Harm::Sheds => all(|r| r.wrong == 0 && r.ok + r.shed == REQUESTS),
            Harm::OwnerDies => all(|r| r.wrong == 0),
        },
        all(|r| r.lied == 0),
        all(|r| r.doubled == 0),
        leaves.map(|n| if n == 0 { Ok(()) } else { Err(format!("{n} new flows")) }),
        if case.planned && none {
            all(|r| r.failed + r.refused + r.shed + r.broken == 0)
        } else {
            None
        },
        check(won && in_force.is_ok(), || format!("one winner: {won}; {in_force:?}")),
    ]
}

async fn work(worker: u16, cases: Rc<RefCell<VecDeque<Case>>>, lines: Rc<RefCell<Vec<Line>>>) {
    let mut step = 0;
    loop {
        let Some(case) = cases.borrow_mut().pop_front() else { return };
        for when in [When::Opening, When::Established, When::Change] {
            step += 1;
            let name = format!("matrix{worker}-{step}");
            let mut site = common::start_site(&name, 29_500 + 500 * worker, 3, 3, 2).await;
            let line = strike(&case, when, &mut site).await;
            let killed = site.down().await;
            if !killed.is_empty() {
                println!("{} {when:?}: {killed:?} did not stop in time", case.name);
            }
            if !line.failed() {
                let _ = std::fs::remove_dir_all(&line.logs);
            }
            lines.borrow_mut().push(line);
        }
    }
}

fn table(lines: &[Line]) -> String {
    let mut out = String::from(
        "| fault | step | P1 | P2 | P3 | P4 | P5 | P6 | P7 | P8 |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    for l in lines {
        let _ = write!(out, "| {} | {:?} |", l.case, l.when);
        for cell in &l.cells {
            let text = match cell {
                None => "n/a",
                Some(Ok(())) => "passed",
                Some(Err(_)) => "FAILED",
            };
            let _ = write!(out, " {text} |");
        }
        out.push('\n');
    }
    out
}

/// The cases to play: all once, or those that the environment names, as often
/// as it says.
fn chosen() -> VecDeque<Case> {
    let only = std::env::var("JUJUBEPOST_MATRIX_ONLY").unwrap_or_default();
    let times = std::env::var("JUJUBEPOST_MATRIX_TIMES").map_or(1, |n| n.parse().unwrap());
    let named = |c: &Case| only.is_empty() || only.split(';').any(|n| n == c.name);
    (0..times).flat_map(|_| cases()).filter(named).collect()
}

#[ntex::test]
async fn every_fault_every_step() {
    let order: Vec<&str> = cases().iter().map(|c| c.name).collect();
    let queue: Rc<RefCell<VecDeque<Case>>> = Rc::new(RefCell::new(chosen()));
    let lines = Rc::new(RefCell::new(Vec::new()));
    let workers =
        (0..WORKERS).map(|w| tokio::task::spawn_local(work(w, queue.clone(), lines.clone())));
    for w in workers.collect::<Vec<_>>() {
        w.await.unwrap();
    }
    let mut lines = lines.take();
    lines.sort_by_key(|l| order.iter().position(|n| *n == l.case));
    let text = table(&lines);
    println!("{text}");
    if let Ok(path) = std::env::var("JUJUBEPOST_MATRIX") {
        std::fs::write(path, &text).unwrap();
    }
    let failed: Vec<String> = lines
        .iter()
        .flat_map(|l| l.cells.iter().enumerate().map(move |(i, c)| (l, i, c)))
        .filter_map(|(l, i, c)| {
            let why = c.as_ref()?.as_ref().err()?;
            let logs = l.logs.display();
            Some(format!("{} {:?} P{}: {why}; logs: {logs}", l.case, l.when, i + 1))
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
