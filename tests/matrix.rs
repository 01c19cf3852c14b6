//! Fault matrix: injects each fault at each step under load and checks the service's
//! guarantees. The steps: as flows open, once they are established, and right after a
//! change of the configuration (a drain and a new limit).
//!
//! Prints the results as a table, and writes it to the file named by `JUJUBEPOST_MATRIX`.
//! `JUJUBEPOST_MATRIX_ONLY` selects cases (separated by `;`), and
//! `JUJUBEPOST_MATRIX_TIMES` repeats them. Logs of failed cases are kept.

mod common;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use jujubepost::admin;
use jujubepost::bench::{self, Load, ProfileReport};
use jujubepost::ctl::{self, WriteOutcome, fleet};
use jujubepost::script::{Action, Step};
use jujubepost::settings::Settings;
use jujubepost::store::{self, KeyLayout};
use jujubepost::target;
use jujubepost::up::Site;

const WORKERS: u16 = 6;
const REQUESTS: u32 = 70;
const FEEDS: u32 = 6;

/// Start and end of the fault, in milliseconds from the start of the load.
const FAULT_START_MS: u64 = 1_200;
const FAULT_END_MS: u64 = 2_600;

/// Longest time from the end of the fault until an accepted configuration is in force.
const MAX_APPLY_DELAY: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultStep {
    Opening,
    Established,
    Change,
}

/// What callers may notice of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Impact {
    /// Nothing: every request is served and no feed breaks.
    None,
    /// Requests are refused by a target that sheds load.
    Refusals,
    /// Flows whose agent or target ended, or went silent, are lost.
    FlowsLost,
}

struct Case {
    name: &'static str,
    impact: Impact,
    /// Whether it is planned work, during which no request may fail.
    planned: bool,
    /// Actions before the load starts.
    setup: Vec<Action>,
    /// Actions that start the fault.
    start: Vec<Action>,
    /// Actions that end it.
    end: Vec<Action>,
}

fn parse_actions(text: &[&str]) -> Vec<Action> {
    text.iter().map(|t| t.parse().unwrap()).collect()
}

fn case(name: &'static str, impact: Impact, start: &[&str], end: &[&str]) -> Case {
    let (start, end) = (parse_actions(start), parse_actions(end));
    Case { name, impact, planned: false, setup: Vec::new(), start, end }
}

fn planned(name: &'static str, start: &[&str], end: &[&str]) -> Case {
    Case { planned: true, ..case(name, Impact::None, start, end) }
}

fn target_fault(name: &'static str, impact: Impact, faults: target::Faults) -> Case {
    let set_faults = |f| vec![Action::Target("meter-1".into(), f)];
    Case {
        start: set_faults(faults),
        end: set_faults(target::Faults::default()),
        ..case(name, impact, &[], &[])
    }
}

fn cases() -> Vec<Case> {
    use Impact::{FlowsLost, None, Refusals};
    let set_blind = |blind| {
        vec![Action::Balancer(
            "lb-1".into(),
            admin::Faults { freeze_view: blind, ..Default::default() },
        )]
    };
    let noise = admin::Faults {
        lost_permille: 30,
        duplicated_permille: 100,
        delayed_permille: 200,
        ..Default::default()
    };
    vec![
        case("none", None, &[], &[]),
        case("balancer killed", None, &["kill lb-1"], &["start lb-1"]),
        case("balancer killed twice", None, &["kill lb-1", "kill lb-2"], &["start lb-1"]),
        planned("balancer stopped", &["stop lb-1"], &["start lb-1"]),
        case("balancer frozen", None, &["freeze lb-1"], &["thaw lb-1"]),
        Case {
            setup: parse_actions(&["kill lb-2"]),
            ..case("balancer joins", None, &["start lb-2"], &[])
        },
        planned("agent stopped", &["stop agent-meter-1"], &["start agent-meter-1"]),
        case("agent killed", FlowsLost, &["kill agent-meter-1"], &["start agent-meter-1"]),
        case("agent frozen", None, &["freeze agent-meter-1"], &["thaw agent-meter-1"]),
        planned("target drained", &["drain meter-1"], &["resume meter-1"]),
        case("target killed, cold start", FlowsLost, &["kill meter-1"], &["start meter-1"]),
        target_fault("target slow", None, target::Faults { delay_ms: 30, ..Default::default() }),
        target_fault(
            "target sheds",
            Refusals,
            target::Faults { shed_all: true, ..Default::default() },
        ),
        target_fault(
            "target sheds and lies",
            Refusals,
            target::Faults { shed_all: true, false_reports: true, ..Default::default() },
        ),
        Case {
            start: set_blind(true),
            end: set_blind(false),
            ..case("uneven updates", None, &[], &[])
        },
        case("store down", None, &["store outage"], &["store ok"]),
        case("store slow", None, &["store slow 900"], &["store ok"]),
        case("answers lost", None, &["store lose 3"], &["store ok"]),
        case("leases lapse", None, &["store lapse"], &["store ok"]),
        case("connections silent", FlowsLost, &["fabric mute"], &[]),
        Case {
            start: vec![Action::Fabric(noise)],
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
            FlowsLost,
            &["store lose 3", "kill agent-meter-1", "fabric lose 30"],
            &["start agent-meter-1", "fabric ok", "store ok"],
        ),
    ]
}

/// Result of checking one guarantee: passed, an error, or `None` if it does not apply.
type CheckResult = Option<Result<(), String>>;

struct CaseResult {
    case: &'static str,
    when: FaultStep,
    checks: [CheckResult; 8],
    /// Folder with the logs of its processes.
    logs: PathBuf,
}

impl CaseResult {
    fn has_failed(&self) -> bool {
        self.checks.iter().flatten().any(Result::is_err)
    }
}

fn check(ok: bool, error: impl FnOnce() -> String) -> CheckResult {
    Some(if ok { Ok(()) } else { Err(error()) })
}

/// Two operators change the meter profile concurrently, both from the same revision.
async fn race_updates(s: &Settings) -> [WriteOutcome; 2] {
    let store = store::Client::new(s.store.addr, Duration::from_secs(3)).await;
    let keys = KeyLayout::new(s.store.prefix.clone());
    let rev = store.get(&keys.profile("meter")).await.unwrap().unwrap().rev;
    let mut specs = [s.profiles[0].clone(), s.profiles[0].clone()];
    specs[0].max_flows = 900 + rand::random_range(0..50);
    specs[1].max_flows = 950 + rand::random_range(0..50);
    let (a, b) = futures_util::join!(
        ctl::write_profile(&store, &keys, &specs[0], rev),
        ctl::write_profile(&store, &keys, &specs[1], rev)
    );
    [a.unwrap(), b.unwrap()]
}

/// Runs `case` on a new site: load, the fault at step `when`, and all checks.
async fn run_case(case: &Case, when: FaultStep, site: &mut Site) -> CaseResult {
    let s = site.settings.clone();
    for action in &case.setup {
        site.apply(action).await.unwrap();
    }
    let load = Load { feeds: FEEDS, requests: REQUESTS, secs: 3, ..Load::default() };
    let load_settings = s.clone();
    let load_run =
        tokio::task::spawn_local(async move { bench::measure(&load_settings, &load).await });
    let step = |at, action: &Action| Step { at: Duration::from_millis(at), action: action.clone() };
    let at = if when == FaultStep::Opening { 0 } else { FAULT_START_MS };
    let mut race_outcomes = None;
    if when == FaultStep::Change {
        tokio::time::sleep(Duration::from_millis(at)).await;
        Action::Drain("meter-2".into()).apply(&s).await.unwrap();
        race_outcomes = Some(race_updates(&s).await);
    }
    let fault_start = if when == FaultStep::Change { 0 } else { at };
    let fault_end = FAULT_END_MS - FAULT_START_MS + fault_start;
    let start_steps: Vec<Step> = case.start.iter().map(|a| step(fault_start, a)).collect();
    let end_steps: Vec<Step> = case.end.iter().map(|a| step(0, a)).collect();
    let start = tokio::time::Instant::now();
    site.run_script(&start_steps).await.unwrap();
    tokio::time::sleep_until(start + Duration::from_millis(fault_end)).await;
    site.run_script(&end_steps).await.unwrap();
    let rows = load_run.await.unwrap();
    let in_force = fleet::wait_in_force(&s, MAX_APPLY_DELAY).await;
    let mut drained_flows = None;
    if when == FaultStep::Change {
        drained_flows = Some(new_flows(site, "meter-2").await);
        Action::Resume("meter-2".into()).apply(&s).await.unwrap();
        fleet::wait_in_force(&s, MAX_APPLY_DELAY).await.unwrap();
    }
    let violations = common::violation_count(site).await;
    let checks =
        evaluate(case, &rows, violations, drained_flows, race_outcomes, in_force.map(drop));
    let logs = site.path.parent().unwrap().to_path_buf();
    CaseResult { case: case.name, when, checks, logs }
}

/// Runs a short load; returns how many of its requests target `name` serves.
async fn new_flows(site: &Site, name: &str) -> u32 {
    let load = Load { requests: 30, secs: 1, ..Load::default() };
    let rows = bench::measure(&site.settings, &load).await;
    rows.iter().filter_map(|r| r.served.get(name)).sum()
}

/// The checks of a case, P1 to P8 in the table:
///
/// 1. no open feed breaks;
/// 2. no process violates an invariant, and no request reaches another service;
/// 3. every request is served, or refused if the fault allows it;
/// 4. no request that was refused as not run has run;
/// 5. no request runs twice;
/// 6. a drained target gets no new flows;
/// 7. planned work fails no request and breaks no feed;
/// 8. one of two concurrent updates wins, and the configuration comes into force in time.
fn evaluate(
    case: &Case,
    rows: &[ProfileReport],
    violations: u64,
    drained_flows: Option<u32>,
    race_outcomes: Option<[WriteOutcome; 2]>,
    in_force: anyhow::Result<()>,
) -> [CheckResult; 8] {
    let all = |ok: fn(&ProfileReport) -> bool| check(rows.iter().all(ok), || format!("{rows:?}"));
    let unnoticed = case.impact == Impact::None;
    let one_winner = race_outcomes
        .is_none_or(|r| r.iter().filter(|o| **o == WriteOutcome::Written).count() == 1);
    [
        if case.impact == Impact::FlowsLost { None } else { all(|r| r.broken == 0) },
        check(violations == 0 && rows.iter().all(|r| r.misrouted == 0), || {
            format!("E999 {violations}")
        }),
        match case.impact {
            Impact::None => all(|r| r.corrupted == 0 && r.ok == REQUESTS),
            Impact::Refusals => all(|r| r.corrupted == 0 && r.ok + r.shed == REQUESTS),
            Impact::FlowsLost => all(|r| r.corrupted == 0),
        },
        all(|r| r.false_refusals == 0),
        all(|r| r.duplicated == 0),
        drained_flows.map(|n| if n == 0 { Ok(()) } else { Err(format!("{n} new flows")) }),
        if case.planned && unnoticed {
            all(|r| r.failed + r.refused + r.shed + r.broken == 0)
        } else {
            None
        },
        check(one_winner && in_force.is_ok(), || format!("one winner: {one_winner}; {in_force:?}")),
    ]
}

/// Runs cases of the queue, each at every step, on ports of worker `worker`.
async fn run_worker(
    worker: u16,
    cases: Rc<RefCell<VecDeque<Case>>>,
    results: Rc<RefCell<Vec<CaseResult>>>,
) {
    let mut run = 0;
    loop {
        let Some(case) = cases.borrow_mut().pop_front() else { return };
        for when in [FaultStep::Opening, FaultStep::Established, FaultStep::Change] {
            run += 1;
            let name = format!("matrix{worker}-{run}");
            let mut site = common::start_site(&name, 29_500 + 500 * worker, 3, 3, 2).await;
            let result = run_case(&case, when, &mut site).await;
            let killed = site.shut_down().await;
            if !killed.is_empty() {
                println!("{} {when:?}: {killed:?} did not stop in time", case.name);
            }
            if !result.has_failed() {
                let _ = std::fs::remove_dir_all(&result.logs);
            }
            results.borrow_mut().push(result);
        }
    }
}

fn render_table(results: &[CaseResult]) -> String {
    let mut out = String::from(
        "| fault | step | P1 | P2 | P3 | P4 | P5 | P6 | P7 | P8 |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    for r in results {
        let _ = write!(out, "| {} | {:?} |", r.case, r.when);
        for check in &r.checks {
            let text = match check {
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

/// Cases selected by the environment variables; by default, each case once.
fn selected_cases() -> VecDeque<Case> {
    let only = std::env::var("JUJUBEPOST_MATRIX_ONLY").unwrap_or_default();
    let times = std::env::var("JUJUBEPOST_MATRIX_TIMES").map_or(1, |n| n.parse().unwrap());
    let is_selected = |c: &Case| only.is_empty() || only.split(';').any(|n| n == c.name);
    (0..times).flat_map(|_| cases()).filter(is_selected).collect()
}

#[ntex::test]
async fn every_fault_every_step() {
    let order: Vec<&str> = cases().iter().map(|c| c.name).collect();
    let queue: Rc<RefCell<VecDeque<Case>>> = Rc::new(RefCell::new(selected_cases()));
    let results = Rc::new(RefCell::new(Vec::new()));
    let workers = (0..WORKERS)
        .map(|w| tokio::task::spawn_local(run_worker(w, queue.clone(), results.clone())));
    for w in workers.collect::<Vec<_>>() {
        w.await.unwrap();
    }
    let mut results = results.take();
    results.sort_by_key(|r| order.iter().position(|n| *n == r.case));
    let text = render_table(&results);
    println!("{text}");
    if let Ok(path) = std::env::var("JUJUBEPOST_MATRIX") {
        std::fs::write(path, &text).unwrap();
    }
    let failed: Vec<String> = results
        .iter()
        .flat_map(|r| r.checks.iter().enumerate().map(move |(i, c)| (r, i, c)))
        .filter_map(|(r, i, c)| {
            let error = c.as_ref()?.as_ref().err()?;
            let logs = r.logs.display();
            Some(format!("{} {:?} P{}: {error}; logs: {logs}", r.case, r.when, i + 1))
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
