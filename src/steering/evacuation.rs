//! Data centres that operators evacuate: their targets get no new flows, and keep the
//! open ones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::store::revision::{self, RevisionText};
use crate::{events, metrics};

/// How long after the end of an evacuation agents are told of it. Longer than targets'
/// pauses between reports, from which agents learn whether their targets are cold.
const RETURN_NOTICE: Duration = Duration::from_secs(3);

/// How long an order that the store lost in a restore stays in force, unless operators write it
/// again. A larger value delays the end of one that they take back just then.
const LOST_ORDER_HOLD: Duration = Duration::from_secs(5);

/// The data centres under evacuation as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Revision of the store up to which the list is complete.
    pub as_of: i64,
    /// Evacuated data centres, with the revision of each order.
    pub zones: BTreeMap<Arc<str>, i64>,
}

/// The evacuations in force at one balancer.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    list: EvacuationList,
    /// When this process learned of each evacuation in force.
    since: BTreeMap<Arc<str>, Instant>,
    /// The data centres whose evacuation is over: revision of the last order, and when
    /// this process learned of the end.
    ended: BTreeMap<Arc<str>, (i64, Instant)>,
    lost: LostOrders,
}

/// Orders that were in force when the store was restored from a copy without them.
#[derive(Clone, Debug, Default)]
struct LostOrders {
    zones: BTreeMap<Arc<str>, i64>,
    /// Until when they stay in force.
    until: Option<Instant>,
}

impl LostOrders {
    /// Adds those of `previous`, which was in force, that `restored` lacks.
    fn add_missing(&mut self, previous: &EvacuationList, restored: &EvacuationList, now: Instant) {
        let lost = previous.zones.iter().filter(|(zone, _)| !restored.zones.contains_key(*zone));
        self.zones.extend(lost.map(|(zone, rev)| (zone.clone(), *rev)));
        self.until = Some(now + LOST_ORDER_HOLD);
    }

    fn is_over(&self, now: Instant) -> bool {
        self.until.is_some_and(|at| at <= now)
    }
}

impl Evacuations {
    /// The list in force.
    #[must_use]
    pub const fn list(&self) -> &EvacuationList {
        &self.list
    }

    /// Whether the data centre is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.list.zones.contains_key(zone)
    }

    /// Applies `list` unless a newer one is in force. An order that ended does not come
    /// back. One that is missing from the first list after a restore of the store stays
    /// for [`LOST_ORDER_HOLD`], or until a list contains it again.
    pub fn apply(&mut self, mut list: EvacuationList, now: Instant) {
        if list.as_of < self.list.as_of {
            return;
        }
        if self.list.as_of > 0 && revision::era(list.as_of) > revision::era(self.list.as_of) {
            self.lost.add_missing(&self.list, &list, now);
        }
        if self.lost.is_over(now) {
            self.lost = LostOrders::default();
        }
        self.lost.zones.retain(|zone, _| !list.zones.contains_key(zone));
        list.zones.extend(self.lost.zones.clone());
        list.zones.retain(|zone, rev| self.ended.get(zone).is_none_or(|(ended, _)| *rev > *ended));
        let previous = std::mem::replace(&mut self.list, list);
        for (zone, rev) in &previous.zones {
            if !self.contains(zone) {
                self.ended.insert(zone.clone(), (*rev, now));
                self.since.remove(zone);
                log_change(zone, false, &self.list);
            }
        }
        for zone in self.list.zones.keys() {
            if !previous.zones.contains_key(zone) {
                self.since.insert(zone.clone(), now);
                log_change(zone, true, &self.list);
            }
        }
        metrics::set_state("evacuated_zones", self.list.zones.len() as u64);
    }

    /// Whether orders are in force that the store lost in a restore.
    #[must_use]
    pub fn holds_lost_orders(&self) -> bool {
        !self.lost.zones.is_empty()
    }

    /// Ends orders that the store lost and that operators have not written again in time.
    pub fn end_lost_orders(&mut self, now: Instant) {
        if self.holds_lost_orders() && self.lost.is_over(now) {
            let mut list = self.list.clone();
            list.zones.retain(|zone, _| !self.lost.zones.contains_key(zone));
            self.apply(list, now);
        }
    }

    /// Time since the evacuation of the data centre ended, in ms, if that was a short time
    /// ago.
    #[must_use]
    pub fn returned_ms(&self, zone: &str, now: Instant) -> Option<u32> {
        let (_, at) = self.ended.get(zone)?;
        let elapsed = now.duration_since(*at);
        // At most a few thousand.
        (elapsed < RETURN_NOTICE).then_some(elapsed.as_millis() as u32)
    }

    /// The evacuations as JSON, for operators.
    #[must_use]
    pub fn state_json(&self, now: Instant) -> serde_json::Value {
        let zones: serde_json::Map<_, _> = self
            .since
            .iter()
            .map(|(zone, at)| {
                let state = serde_json::json!({
                    "since_ms": now.duration_since(*at).as_millis(),
                    "order_rev": self.list.zones.get(zone).map(|rev| RevisionText(*rev).to_string()),
                });
                (zone.to_string(), state)
            })
            .collect();
        serde_json::json!({
            "as_of_rev": RevisionText(self.list.as_of).to_string(), "zones": zones,
        })
    }
}

fn log_change(zone: &str, evacuated: bool, list: &EvacuationList) {
    log::info!(
        event = events::EVACUATION, zone = zone, evacuated = evacuated,
        rev:% = RevisionText(list.as_of);
        "evacuation of a data centre changed"
    );
}
