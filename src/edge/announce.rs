//! The agent's entry in the store: what an earlier process left, the lease that
//! holds it, and its removal.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::LEASE_MS;
use crate::hold::Start;
use crate::platform;
use crate::steer::Announced;
use crate::store::{LeaseStore, lease};
use crate::{events, metrics};

/// Pause before a stopping agent tries again to remove its entry: some ten
/// tries within the grace of a planned stop.
const WITHDRAW: Duration = Duration::from_millis(400);

/// How long an agent waits at its start for what the store knows of it: the
/// store answers in 4 ms, and the target's callers wait meanwhile.
const READ: Duration = Duration::from_millis(100);

/// Holds the agent's entry, forever, from its target's first report on. An agent
/// without a target has nothing to take flows for, and holds none: listed, and
/// gone again without a word, it would hold up the searches of its service.
pub(super) async fn announce(
    store: platform::kv::Client,
    key: String,
    mut values: watch::Receiver<Vec<u8>>,
    check: Rc<Notify>,
) {
    if values.changed().await.is_err() {
        log::error!(event = events::EDGE_STORE, key = key; "entry has no writer");
        return;
    }
    lease::maintain(&store, &key, values, LEASE_MS, &check).await;
}

/// Removes the entry of an agent whose target is over, and tries for as long as
/// `most` where the store does not answer. An entry that is left names the agent
/// until its lease lapses; balancers that start meanwhile wait 4 s for its word
/// before they take any flow of the service as lost.
pub(super) async fn withdraw(store: &platform::kv::Client, key: &str, most: Duration) {
    let removed = tokio::time::timeout(most, async {
        while let Err(e) = store.delete(key).await {
            log::warn!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "entry not removed");
            tokio::time::sleep(WITHDRAW).await;
        }
    });
    if removed.await.is_err() {
        log::error!(event = events::EDGE_STORE, key = key; "entry left to its lease");
    }
}

/// The agent's entry in the store.
pub(super) struct Entry {
    pub(super) me: Announced,
    /// Where the target takes packets.
    pub(super) target: SocketAddrV4,
    pub(super) value: watch::Sender<Vec<u8>>,
    /// Has the entry's lease looked at.
    pub(super) check: Rc<Notify>,
}

impl Entry {
    /// Writes down the target's start, so that the next process here knows for
    /// which one this process took flows.
    pub(super) fn serves(&self, start: Start) {
        let me = Announced { target: Some(start), ..self.me.clone() };
        match serde_json::to_vec(&me) {
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
pub(super) async fn earlier(store: &platform::kv::Client, key: &str) -> Earlier {
    let read = tokio::time::timeout(READ, store.get(key)).await;
    let kv = match read {
        Ok(Ok(Some(kv))) => kv,
        Ok(Ok(None)) => return Earlier::None,
        Ok(Err(e)) => {
            log::warn!(event = events::EDGE_STORE, error:% = format!("{e:#}"); "entry not read");
            return Earlier::Unknown;
        }
        Err(_) => {
            log::warn!(event = events::EDGE_STORE, key = key; "entry not read in time");
            return Earlier::Unknown;
        }
    };
    match serde_json::from_slice::<Announced>(&kv.value) {
        Ok(entry) => Earlier::Listed(entry.target),
        Err(e) => {
            metrics::dropped("entry_unreadable");
            log::error!(event = events::EDGE_STORE, key = key, error:% = e; "entry refused");
            Earlier::Unknown
        }
    }
}

/// An earlier process of the agent, as the store tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Earlier {
    /// The store did not answer at once, or not in words.
    Unknown,
    /// It lists none.
    None,
    /// It lists one, and the target's start for which that took flows.
    Listed(Option<Start>),
}
