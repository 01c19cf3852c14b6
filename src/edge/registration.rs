//! The agent's entry in the store: what an earlier process left, the lease that
//! holds it, and its removal.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::AGENT_LEASE_MS;
use crate::hold::Start;
use crate::platform;
use crate::steer::Announced;
use crate::store::{Lessor, lease};
use crate::{events, metrics};

/// Pause before a stopping agent tries again to remove its entry: some ten
/// tries within the grace of a planned stop.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// How long an agent waits at its start for what the store knows of it: the
/// store answers in 4 ms, and the target's callers wait meanwhile.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Holds the agent's entry, forever, from its target's first report on. An agent
/// without a target has nothing to take flows for, and holds none: listed, and
/// gone again without a word, it would hold up the searches of its service.
pub(super) async fn hold_registration(
    store: platform::kv::Client,
    key: String,
    mut values: watch::Receiver<Vec<u8>>,
    lease_check: Rc<Notify>,
) {
    if values.changed().await.is_err() {
        log::error!(event = events::EDGE_STORE, key = key; "entry has no writer");
        return;
    }
    lease::hold(&store, &key, values, AGENT_LEASE_MS, &lease_check).await;
}

/// Removes the entry of an agent whose target is over, and tries for as long as
/// `time_limit` where the store does not answer. An entry that is left names the agent
/// until its lease lapses; balancers that start meanwhile wait 4 s for its word
/// before they take any flow of the service as lost.
pub(super) async fn deregister(store: &platform::kv::Client, key: &str, time_limit: Duration) {
    let removed = tokio::time::timeout(time_limit, async {
        while let Err(e) = store.delete(key).await {
            log::warn!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "entry not removed");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
    if removed.await.is_err() {
        log::error!(event = events::EDGE_STORE, key = key; "entry left to its lease");
    }
}

/// The agent's entry in the store.
pub(super) struct Registration {
    pub(super) record: Announced,
    /// Where the target takes packets.
    pub(super) target: SocketAddrV4,
    pub(super) value: watch::Sender<Vec<u8>>,
    /// Has the entry's lease looked at.
    pub(super) lease_check: Rc<Notify>,
}

impl Registration {
    /// Writes down the target's start, so that the next process here knows for
    /// which one this process took flows.
    pub(super) fn set_target_start(&self, start: Start) {
        let record = Announced { target: Some(start), ..self.record.clone() };
        match serde_json::to_vec(&record) {
            Ok(value) => {
                self.value.send_if_modified(|old| {
                    *old != value && {
                        *old = value;
                        true
                    }
                });
            }
            Err(e) => log::error!(event = events::EDGE_STORE, error:% = e; "entry not encoded"),
        }
    }
}

/// What the store says of the agent at its start, if it answers at once.
pub(super) async fn read_previous(store: &platform::kv::Client, key: &str) -> Previous {
    let read = tokio::time::timeout(READ_TIMEOUT, store.get(key)).await;
    let kv = match read {
        Ok(Ok(Some(kv))) => kv,
        Ok(Ok(None)) => return Previous::Absent,
        Ok(Err(e)) => {
            log::warn!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "entry not read");
            return Previous::Unknown;
        }
        Err(_) => {
            log::warn!(event = events::EDGE_STORE, key = key; "entry not read in time");
            return Previous::Unknown;
        }
    };
    match serde_json::from_slice::<Announced>(&kv.value) {
        Ok(entry) => Previous::Present(entry.target),
        Err(e) => {
            metrics::dropped("entry_unreadable");
            log::error!(event = events::EDGE_STORE, key = key, error:% = e; "entry refused");
            Previous::Unknown
        }
    }
}

/// An earlier process of the agent, as the store tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Previous {
    /// The store did not answer at once, or not in words.
    Unknown,
    /// It lists none.
    Absent,
    /// It lists one, and the target's start for which that took flows.
    Present(Option<Start>),
}
