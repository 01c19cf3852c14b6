//! Detection of a target that fails requests while it reports that it is well, as decided by
//! its agent from the packets that come back: no I/O, and time is an argument.
//!
//! - [`Watch`] follows one request whose needs are known; [`Health`] takes its outcome.
//! - When failures dominate, the target is set aside: it gets no flow but trials, which are
//!   requests that may be repeated, one at a time.
//! - A success after that puts it back, by a number of concurrent trials that doubles.
//!
//! The size of an answer does not count: short answers are usual (an empty list, a rejected
//! input), and an agent does not read payloads.

mod outcomes;
mod watch;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

pub use outcomes::Outcomes;
pub use watch::{Failure, Watch};

use crate::flow::Flow;
use crate::policy::OutlierPolicy;
use crate::request::{OpenRequest, RequestNeeds};
use crate::{events, metrics};

/// Concurrent trials beyond which a target is back in full.
const MAX_TRIALS: usize = 16;

/// Least interval between two checks for silent requests, which bounds the agent's wake-ups.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A check that is later than this shows that the process did not run: answers may still wait
/// to be read, so silence is judged only after as long again.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Weight of a new sample in the usual time of a kind of request.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Kinds of requests whose usual times are kept; those of further kinds are not.
const MAX_KINDS: usize = 16;

/// What a target is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Everything.
    InService,
    /// Trials, one at a time, from `next_trial` on.
    SetAside { next_trial: Instant },
    /// Up to `room` trials at once.
    Returning { room: usize },
}

/// Recent outcomes of one target, and whether it is set aside.
#[derive(Debug)]
pub struct Health {
    policy: OutlierPolicy,
    outcomes: Outcomes,
    /// Usual time to answer, in seconds, by kind of request.
    usual: Vec<(RequestNeeds, f64)>,
    standing: Standing,
    /// When the target was set aside, proved well or replaced. Outcomes of earlier requests
    /// do not count.
    since: Option<Instant>,
    /// When each pending trial started.
    trials: Vec<Instant>,
    /// When flows are checked for silence. Checks are not cancelled.
    checks: BinaryHeap<Reverse<(Instant, Flow)>>,
    check_from: Option<Instant>,
}

impl Health {
    /// A target with no outcomes.
    #[must_use]
    pub fn new(policy: OutlierPolicy) -> Self {
        Self {
            policy,
            outcomes: Outcomes::default(),
            usual: Vec::new(),
            standing: Standing::InService,
            since: None,
            trials: Vec::new(),
            checks: BinaryHeap::new(),
            check_from: None,
        }
    }

    /// Whether the target is set aside and none of its trials has succeeded.
    #[must_use]
    pub fn is_set_aside(&self, now: Instant) -> bool {
        matches!(self.standing_at(now), Standing::SetAside { .. })
    }

    /// Whether the target may be given an open, as far as its recent outcomes decide.
    #[must_use]
    pub fn admits(&self, request: Option<&OpenRequest>, now: Instant) -> bool {
        let Some(request) = request.filter(|r| !r.any_target) else { return true };
        let room = match self.standing_at(now) {
            Standing::InService => return true,
            Standing::SetAside { next_trial } => usize::from(now >= next_trial),
            Standing::Returning { room } => room,
        };
        request.needs.repeatable && self.pending_trials(now) < room
    }

    /// Starts to watch an open that is given to the target; `None` if its needs are unknown.
    pub fn begin(
        &mut self,
        flow: Flow,
        request: Option<OpenRequest>,
        now: Instant,
    ) -> Option<Watch> {
        let request = request.filter(|_| self.policy.enabled)?;
        self.settle(now);
        let is_trial = self.standing != Standing::InService && !request.any_target;
        if is_trial {
            self.start_trial(flow, now);
        }
        self.checks.push(Reverse((now + self.policy.silent_open, flow)));
        Some(Watch::new(request.needs, is_trial.then_some(now), now))
    }

    /// Records that the caller sent new data of a request.
    pub fn record_request(&mut self, flow: Flow, watch: &mut Watch, now: Instant) {
        // A check that comes before the end of the request's time schedules the next.
        if !watch.awaits_answer() {
            let limit = self.silence_limit(&watch.needs());
            self.checks.push(Reverse((now + limit, flow)));
        }
        watch.record_request(now);
    }

    /// Records data of the target. Returns whether it shows that a target that is set aside
    /// is well again.
    pub fn record_answer(&mut self, watch: &mut Watch, now: Instant) -> bool {
        let Some((asked_at, in_time)) = watch.record_answer() else { return false };
        self.record_usual(watch.needs(), now.duration_since(asked_at));
        self.release(watch);
        if !in_time || self.is_outdated(asked_at) {
            return false;
        }
        self.settle(now);
        self.outcomes.record_success(now);
        match &mut self.standing {
            Standing::InService => {}
            Standing::SetAside { .. } => {
                self.standing = Standing::Returning { room: 2 };
                self.since = Some(now);
                self.outcomes.clear();
                return true;
            }
            Standing::Returning { room } => {
                *room *= 2;
                if *room > MAX_TRIALS {
                    self.put_back("trials");
                }
            }
        }
        false
    }

    /// Records that the target ended the flow, which is a failure if it owed anything.
    pub fn record_end(&mut self, watch: &mut Watch, now: Instant) {
        if watch.is_owed(self.policy.silence, now) {
            self.record_failure(watch, Failure::Reset, now);
        } else {
            self.release(watch);
        }
    }

    /// Records that the target returned a packet of the flow though it had room.
    pub fn record_return(&mut self, watch: &mut Watch, now: Instant) {
        if watch.is_owed(self.policy.silence, now) {
            self.record_failure(watch, Failure::GivenBack, now);
        }
    }

    /// Records a failure if the target has been silent for too long, or schedules the next
    /// check.
    pub fn check_silence(&mut self, flow: Flow, watch: &mut Watch, now: Instant) {
        let request_limit = self.silence_limit(&watch.needs());
        let Some(due) = watch.silence_due(self.policy.silent_open, request_limit) else { return };
        if now < due {
            self.checks.push(Reverse((due, flow)));
        } else {
            self.record_failure(watch, Failure::Silent, now);
            watch.mark_late();
        }
    }

    /// Ends the watch's trial, if it is one, without an outcome.
    pub fn release(&mut self, watch: &mut Watch) {
        let Some(started) = watch.take_trial() else { return };
        if let Some(i) = self.trials.iter().position(|at| *at == started) {
            self.trials.swap_remove(i);
        }
    }

    /// Forgets the outcomes of an earlier incarnation of the target.
    pub fn replace_target(&mut self, now: Instant) {
        if self.standing != Standing::InService {
            self.put_back("replaced");
        }
        self.since = Some(now);
        self.outcomes.clear();
        self.usual.clear();
        self.trials.clear();
    }

    /// When [`Health::take_due`] must next be called.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        let Reverse((at, _)) = self.checks.peek()?;
        Some(self.check_from.map_or(*at, |from| from.max(*at)))
    }

    /// Removes and returns the flows to check for silence.
    pub fn take_due(&mut self, now: Instant) -> Vec<Flow> {
        let mut due = Vec::new();
        let Some(at) = self.next_check().filter(|at| *at <= now) else { return due };
        if now.duration_since(at) > MAX_DELAY {
            self.check_from = Some(now + MAX_DELAY);
            return due;
        }
        self.check_from = Some(now + CHECK_INTERVAL);
        while let Some(Reverse((_, flow))) =
            self.checks.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.checks.pop();
            due.push(flow);
        }
        due
    }

    /// The state as JSON, for operators.
    #[must_use]
    pub fn state_json(&self, now: Instant) -> serde_json::Value {
        let state = match self.standing_at(now) {
            Standing::InService => "in_service",
            Standing::SetAside { .. } => "set_aside",
            Standing::Returning { .. } => "returning",
        };
        serde_json::json!({
            "state": state,
            "changed_ms": self.since.map(|at| now.duration_since(at).as_millis()),
            "failures": self.outcomes.failures(self.policy.window, now),
            "successes": self.outcomes.successes(self.policy.window, now),
            "trials": self.pending_trials(now),
        })
    }

    /// The standing after the transitions that only time brings about.
    fn standing_at(&self, now: Instant) -> Standing {
        let elapsed = self.since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        match self.standing {
            Standing::SetAside { next_trial }
                if now.saturating_duration_since(next_trial) >= self.policy.max_untried =>
            {
                Standing::InService
            }
            Standing::Returning { .. } if elapsed >= self.policy.ramp_time => Standing::InService,
            standing => standing,
        }
    }

    /// Applies the transitions that only time brings about.
    fn settle(&mut self, now: Instant) {
        if self.standing_at(now) != self.standing {
            let untried = matches!(self.standing, Standing::SetAside { .. });
            if untried {
                self.since = Some(now);
                self.outcomes.clear();
            }
            self.put_back(if untried { "untried" } else { "time" });
        }
    }

    fn put_back(&mut self, reason: &'static str) {
        self.standing = Standing::InService;
        metrics::count_outlier("put_back");
        log::info!(event = events::TARGET_PUT_BACK, reason = reason; "target put back in service");
    }

    fn record_failure(&mut self, watch: &mut Watch, failure: Failure, now: Instant) {
        let began_at = watch.step_began();
        self.release(watch);
        if self.is_outdated(began_at) {
            return;
        }
        metrics::count_outlier(failure);
        self.settle(now);
        self.outcomes.record_failure(failure.weight(), now);
        let dominates = match self.standing {
            Standing::InService => self.outcomes.is_dominated_by_failures(&self.policy, now),
            Standing::SetAside { .. } => false,
            Standing::Returning { .. } => true,
        };
        if dominates {
            self.set_aside(failure, now);
        }
    }

    fn set_aside(&mut self, failure: Failure, now: Instant) {
        metrics::count_outlier("set_aside");
        log::warn!(
            event = events::TARGET_SET_ASIDE, last:% = failure,
            failures = self.outcomes.failures(self.policy.window, now),
            successes = self.outcomes.successes(self.policy.window, now),
            returning = self.standing != Standing::InService;
            "target set aside: it fails requests"
        );
        self.standing = Standing::SetAside { next_trial: now + self.policy.trial_interval };
        self.since = Some(now);
        self.outcomes.clear();
    }

    fn start_trial(&mut self, flow: Flow, now: Instant) {
        let ttl = self.trial_ttl();
        self.trials.retain(|at| now.duration_since(*at) < ttl);
        self.trials.push(now);
        if let Standing::SetAside { next_trial } = &mut self.standing {
            *next_trial = now + self.policy.trial_interval;
            metrics::count_outlier("tried");
            log::info!(event = events::TARGET_TRIED, flow:% = flow; "target that is set aside tried");
        }
    }

    /// How long a trial without an outcome occupies its place: its caller may have gone.
    const fn trial_ttl(&self) -> Duration {
        self.policy.silence.saturating_mul(2)
    }

    fn pending_trials(&self, now: Instant) -> usize {
        let is_pending = |at: &&Instant| now.saturating_duration_since(**at) < self.trial_ttl();
        self.trials.iter().filter(is_pending).count()
    }

    /// Whether what began at `at` says nothing of the target as it is now.
    fn is_outdated(&self, at: Instant) -> bool {
        self.since.is_some_and(|since| at < since)
    }

    /// Silence after a request with `needs` that counts as a failure.
    fn silence_limit(&self, needs: &RequestNeeds) -> Duration {
        let usual = self.usual.iter().find(|(kind, _)| kind == needs).map_or(0.0, |(_, s)| *s);
        let relative = Duration::try_from_secs_f64(usual * self.policy.silence_ratio);
        let stated = needs.target_latency().max(self.policy.silence);
        relative.map_or(stated, |limit| limit.max(stated))
    }

    fn record_usual(&mut self, needs: RequestNeeds, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        if let Some((_, usual)) = self.usual.iter_mut().find(|(kind, _)| *kind == needs) {
            *usual += (sample - *usual) * SAMPLE_WEIGHT;
        } else if self.usual.len() < MAX_KINDS {
            self.usual.push((needs, sample));
        }
    }
}
