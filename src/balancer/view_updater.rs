//! Updates a balancer's view after each change of the store, and when the hold
//! of missing targets expires.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{TargetRegistry, View, ViewBuilder};
use crate::admin::ProcessState;
use crate::events;
use crate::metrics;
use crate::store::mirror::{MirrorEvent, Snapshot, Source};
use crate::store::revision::RevisionText;
use crate::store::{self, KeyLayout};

/// How often the hold of missing targets is checked for expiry.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long targets are used after their registration is missing.
#[derive(Clone, Copy, Debug)]
pub struct HoldTimes {
    /// For new flows, when most of a service went missing together.
    pub targets: Duration,
    /// For the packets of established flows.
    pub owners: Duration,
}

struct ViewUpdater {
    builder: ViewBuilder,
    snapshot: Arc<Snapshot>,
    view: Rc<RefCell<View>>,
    process_state: ProcessState,
    built_at: Instant,
    is_stale: bool,
}

impl ViewUpdater {
    /// Rebuilds the view if it is stale, unless an injected fault prevents it.
    fn refresh(&mut self) {
        if self.is_stale && !self.process_state.faults().freeze_view {
            self.is_stale = false;
            self.rebuild();
            let reverted = self.snapshot.rev < self.process_state.snapshot().rev;
            metrics::check_invariant(!reverted, "view_never_reverts", || {
                format!("to {}", RevisionText(self.snapshot.rev))
            });
            self.process_state.set_snapshot(self.snapshot.clone());
            self.process_state.set_ready(true);
        }
    }

    fn rebuild(&mut self) {
        self.built_at = Instant::now();
        let view = self.builder.build(&self.snapshot.keys, self.built_at);
        // Of each profile: targets for new flows / agents that may own flows.
        let pool_sizes: Vec<String> = view
            .routes
            .values()
            .map(|r| format!("{}={}/{}", r.profile.name, r.pool.table.len(), r.pool.owners.len()))
            .collect();
        log::info!("{} view: {}", events::BALANCER_VIEW_REBUILT, pool_sizes.join(" "));
        *self.view.borrow_mut() = view;
    }
}

/// Keeps `view` up to date with the store; never returns.
pub async fn keep_current(
    source: Source<store::Client>,
    keys: KeyLayout,
    view: Rc<RefCell<View>>,
    process_state: ProcessState,
    hold_times: HoldTimes,
) {
    let registry = TargetRegistry::new(hold_times.targets, hold_times.owners);
    let updater = RefCell::new(ViewUpdater {
        builder: ViewBuilder::new(keys, registry),
        snapshot: Arc::default(),
        view,
        process_state,
        built_at: Instant::now(),
        is_stale: false,
    });
    let changes = store::mirror::follow(
        &source,
        |_| None,
        |event| match event {
            MirrorEvent::Updated(snapshot) => {
                let mut updater = updater.borrow_mut();
                updater.snapshot = Arc::new(snapshot.clone());
                updater.is_stale = true;
                updater.refresh();
            }
            MirrorEvent::StoreFailed(e) => {
                log::warn!(
                    "{} store call failed, keeping the last view: {e:#}",
                    events::BALANCER_STORE_UNREACHABLE
                );
                updater.borrow_mut().builder.registry.restart_hold(Instant::now());
            }
            MirrorEvent::Recovered | MirrorEvent::Checked { .. } => {}
        },
    );
    let hold_checks = async {
        loop {
            tokio::time::sleep(HOLD_CHECK_INTERVAL).await;
            let mut updater = updater.borrow_mut();
            updater.is_stale |=
                updater.builder.registry.hold_expired(updater.built_at, Instant::now());
            updater.refresh();
        }
    };
    tokio::join!(changes, hold_checks);
}
