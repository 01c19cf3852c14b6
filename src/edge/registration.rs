//! The agent's registration in the store: reading what a previous process left,
//! holding it under a lease, updating and deleting it.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};

use serde::{Deserialize, Serialize};

use super::AGENT_LEASE_MS;
use crate::platform;
use crate::steering::ListedAgent;
use crate::store::{LeaseStore, lease, revision};
use crate::tracker::{Incarnation, Predecessor};
use crate::{events, metrics};

/// Delay between two attempts to read or delete the registration. Must allow several
/// attempts within the time of a planned stop.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// [`ListedAgent::since`] of an agent whose target may hold flows from any time.
pub(super) const UNKNOWN_REVISION: i64 = 0;

/// Keeps the registration in the store until dropped, from the target's first report
/// on. An agent that registers without a target and disappears would delay the
/// searches for flows of its service. `rev` is the revision of an earlier registration, if there is
/// one. Calls `on_written` with the incarnation that the store
/// names from then on.
pub(super) async fn maintain_registration(
    store: platform::kv::Client,
    key: String,
    mut values: watch::Receiver<Vec<u8>>,
    lease_check: &Notify,
    rev: i64,
    on_written: impl Fn(&Incarnation),
) {
    if values.changed().await.is_err() {
        log::error!(
            event = events::EDGE_STORE, key = key;
            "agent cannot register: the source of its record has closed"
        );
        return;
    }
    let on_written = |value: &[u8]| match serde_json::from_slice::<Record>(value) {
        Ok(record) => record.agent.incarnation.iter().for_each(&on_written),
        Err(e) => log::error!(
            event = events::EDGE_STORE, key = key, error:% = e;
            "written registration cannot be decoded; it counts as not written"
        ),
    };
    lease::maintain(&store, &key, values, AGENT_LEASE_MS, lease_check, rev, on_written).await;
}

/// Deletes the registration of an agent whose target has ended, retrying for up to
/// `time_limit`. A registration that stays until its lease expires makes balancers
/// that start meanwhile wait for this agent before they reset a lost flow.
pub(super) async fn deregister(store: &platform::kv::Client, key: &str, time_limit: Duration) {
    let removed = tokio::time::timeout(time_limit, async {
        while let Err(e) = store.delete(key).await {
            log::warn!(
                event = events::EDGE_STORE, error:% = format!("{e:#}");
                "deleting the registration failed; retrying"
            );
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
    if removed.await.is_err() {
        log::error!(
            event = events::EDGE_STORE, key = key;
            "registration was not deleted; it expires with its lease"
        );
    }
}

/// What an agent writes to the store: itself, and the store's era at that time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// The agent, as balancers read it.
    #[serde(flatten)]
    pub agent: ListedAgent,
    /// Era of the store when the agent named its target's incarnation.
    #[serde(default)]
    pub era: u32,
    /// As [`Predecessor::writes_ahead`].
    #[serde(default)]
    pub writes_ahead: bool,
}

impl Record {
    /// What this record, written at revision `rev`, tells the next process of the agent. Nothing if
    /// the store was restored since: a later record may have been lost.
    #[must_use]
    pub fn predecessor(self, rev: i64) -> Option<Predecessor> {
        let incarnation = self.agent.incarnation.filter(|_| self.era == revision::era(rev))?;
        Some(Predecessor { incarnation, writes_ahead: self.writes_ahead })
    }
}

/// The agent's registration in the store.
pub(super) struct Registration {
    /// Address at which the target receives packets.
    pub(super) target: SocketAddrV4,
    /// Requests a check that the registration still exists.
    pub(super) lease_check: Rc<Notify>,
    record: RefCell<Record>,
    value: watch::Sender<Vec<u8>>,
    store: platform::kv::Client,
}

impl Registration {
    /// The registration of `agent`, beside the target at `target`, and what is to be written.
    pub(super) fn new(
        agent: ListedAgent,
        target: SocketAddrV4,
        store: platform::kv::Client,
    ) -> (Self, watch::Receiver<Vec<u8>>) {
        let (value, values) = watch::channel(Vec::new());
        let record = RefCell::new(Record { agent, era: 0, writes_ahead: true });
        (Self { target, lease_check: Rc::default(), record, value, store }, values)
    }

    /// Stores the target's current incarnation, so that a restarted agent knows which
    /// one its predecessor served. The target may have flows of an earlier process of which nothing
    /// is known unless `all_flows_known`.
    pub(super) fn set_incarnation(&self, incarnation: Incarnation, all_flows_known: bool) {
        let mut record = self.record.borrow_mut();
        let unknown = Some(UNKNOWN_REVISION).filter(|_| !all_flows_known);
        record.agent.since = record.agent.since.or(unknown);
        record.agent.incarnation = Some(incarnation);
        drop(record);
        self.write_if_changed();
    }

    /// Sets since when the target may hold flows, as the previous registration tells. Without one,
    /// that is unknown unless `all_flows_known`.
    pub(super) fn set_since(&self, since: Option<i64>, all_flows_known: bool) {
        let unknown = Some(UNKNOWN_REVISION).filter(|_| !all_flows_known);
        let mut record = self.record.borrow_mut();
        // Before the first report the target has no flows that this process could miss.
        let has_target = record.agent.incarnation.is_some();
        record.agent.since = since.or(unknown.filter(|_| has_target));
        drop(record);
        if has_target {
            self.write_if_changed();
        }
    }

    /// Notes when the agent first registered once that is known, so that a later registration,
    /// after its lease has expired, tells it. Writes nothing. Returns when that was, once.
    pub(super) fn note_registered(&self) -> Option<Instant> {
        let mut record = self.record.borrow_mut();
        let first = self.store.first_commit().filter(|_| record.agent.since.is_none())?;
        record.agent.since = Some(first.rev);
        let value = encode(&record)?;
        self.value.send_if_modified(|old| {
            *old = value;
            false
        });
        Some(first.at)
    }

    /// Writes the record again once it is known that the store was restored, so that it counts
    /// as proof. Does nothing before the target's first report.
    pub(super) fn follow_era(&self) {
        let record = self.record.borrow();
        let outdated = record.agent.incarnation.is_some() && record.era != self.store.era();
        drop(record);
        if outdated {
            self.write_if_changed();
        }
    }

    /// Writes the record although it has not changed.
    pub(super) fn write_again(&self) {
        self.value.send_modify(|_| {});
    }

    fn write_if_changed(&self) {
        let mut record = self.record.borrow_mut();
        record.era = self.store.era();
        let Some(value) = encode(&record) else { return };
        self.value.send_if_modified(|old| {
            *old != value && {
                *old = value;
                true
            }
        });
    }
}

fn encode(record: &Record) -> Option<Vec<u8>> {
    let encoded = serde_json::to_vec(record).inspect_err(|e| {
        log::error!(
            event = events::EDGE_STORE, error:% = e;
            "encoding the registration failed; not updated"
        );
    });
    encoded.ok()
}

/// Reads the registration that a previous process of this agent left, trying until the store
/// answers. Nothing is written before, so it is that of another process. One that was written in
/// the last seconds may be missed, which only delays new flows.
pub(super) async fn read_previous_registration(
    store: &platform::kv::Client,
    key: &str,
) -> PreviousRegistration {
    let kv = loop {
        let read = match store.get_stale(key).await {
            // It may have been replaced or deleted since.
            Ok(Some(_)) => store.get(key).await,
            other => other,
        };
        match read {
            Ok(Some(kv)) => break kv,
            Ok(None) => return PreviousRegistration::Absent,
            Err(e) => log::warn!(
                event = events::EDGE_STORE, error:% = format!("{e:#}");
                "reading the previous registration failed; retrying"
            ),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    match serde_json::from_slice::<Record>(&kv.value) {
        Ok(record) => {
            let since = record.agent.since.map_or(kv.created, |rev| rev.min(kv.created));
            PreviousRegistration::Present {
                rev: kv.rev,
                predecessor: record.predecessor(kv.rev),
                since,
            }
        }
        Err(e) => {
            metrics::count_drop("entry_unreadable");
            log::error!(
                event = events::EDGE_STORE, key = key, error:% = e;
                "previous registration cannot be decoded; starting without it"
            );
            PreviousRegistration::Unreadable
        }
    }
}

/// The registration of a previous process of this agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PreviousRegistration {
    /// It cannot be decoded.
    Unreadable,
    /// There is none.
    Absent,
    /// It is listed.
    Present {
        /// Revision of its last change.
        rev: i64,
        /// What it tells of the previous process, if anything.
        predecessor: Option<Predecessor>,
        /// As [`ListedAgent::since`].
        since: i64,
    },
}
