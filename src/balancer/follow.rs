//! Keeps a balancer's view current: after each change of the store, and when
//! a held target's time is over.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Builder, Roster, View};
use crate::admin::ProcessState;
use crate::events;
use crate::metrics;
use crate::store::mirror::{MirrorEvent, Snapshot, Source};
use crate::store::{self, KeyLayout};

/// How often held targets are looked at.
const HOLD_TICK: Duration = Duration::from_millis(250);

/// How long targets whose announcements are missing are still believed in.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Targets that went missing together.
    pub missing: Duration,
    /// Owners of established flows.
    pub owners: Duration,
}

/// What the balancer's view is made of, kept between changes of the store.
struct Judge {
    builder: Builder,
    copy: Arc<Snapshot>,
    view: Rc<RefCell<View>>,
    board: ProcessState,
    built: Instant,
    stale: bool,
}

impl Judge {
    /// Brings the view up to the copy, unless a fault keeps the balancer
    /// blind.
    fn catch_up(&mut self) {
        if self.stale && !self.board.faults().freeze_view {
            self.stale = false;
            self.rebuild();
            let back = self.copy.rev < self.board.snapshot().rev;
            metrics::check_invariant(!back, "view_never_reverts", || {
                format!("to {}", self.copy.rev)
            });
            self.board.set_snapshot(self.copy.clone());
            self.board.set_ready(true);
        }
    }

    fn rebuild(&mut self) {
        self.built = Instant::now();
        let next = self.builder.update(&self.copy.keys, self.built);
        let sizes: Vec<String> = next
            .routes
            .values()
            .map(|r| format!("{}={}/{}", r.spec.name, r.pool.table.len(), r.pool.owners.len()))
            .collect();
        log::info!("{} view: {}", events::BALANCER_VIEW_REBUILT, sizes.join(" "));
        *self.view.borrow_mut() = next;
    }
}

/// Keeps the view current: after each change of the store, and when a held
/// target's time is over.
pub async fn follow(
    source: Source<store::Client>,
    keys: KeyLayout,
    view: Rc<RefCell<View>>,
    board: ProcessState,
    hold: Hold,
) {
    let roster = Roster::new(hold.missing, hold.owners);
    let judge = RefCell::new(Judge {
        builder: Builder::new(keys, roster),
        copy: Arc::default(),
        view,
        board,
        built: Instant::now(),
        stale: false,
    });
    let changes = store::mirror::follow(
        &source,
        |_| None,
        |news| match news {
            MirrorEvent::Updated(copy) => {
                let mut j = judge.borrow_mut();
                j.copy = Arc::new(copy.clone());
                j.stale = true;
                j.catch_up();
            }
            MirrorEvent::StoreFailed(e) => {
                log::warn!("{} {e:#}", events::BALANCER_STORE_UNREACHABLE);
                judge.borrow_mut().builder.roster.postpone(Instant::now());
            }
            MirrorEvent::Recovered => {}
        },
    );
    let expiry = async {
        loop {
            tokio::time::sleep(HOLD_TICK).await;
            let mut j = judge.borrow_mut();
            j.stale |= j.builder.roster.hold_ended(j.built, Instant::now());
            j.catch_up();
        }
    };
    tokio::join!(changes, expiry);
}
