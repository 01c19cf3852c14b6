//! Carries out the decisions of [`Distributor`]: holds the distributor's key and names the
//! distributors to the [`DistributedStore`].

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::held_key::HeldKey;
use crate::events;
use crate::platform::kv::Client;
use crate::relay::distributor::{Distributor, Term};
use crate::store::Snapshot;
use crate::store::distribution::{DistributedStore, SharedLog};

/// Lease of a distributor's key. While the key of a dead one is listed, no other takes over, and
/// its subscribers watch the store themselves.
const LEASE_MS: u64 = 6_000;

/// How long a balancer that is to become a distributor tries to read the store.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a distributor checks whether it is still needed.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// One balancer's part in distributing the store's changes.
pub(super) struct Distribution {
    pub(super) distributor: Distributor,
    pub(super) store: DistributedStore<Client>,
    pub(super) log: SharedLog,
    /// Restarts the call to the store in progress.
    pub(super) refresh: Arc<Notify>,
    /// Port at which balancers serve their change logs.
    pub(super) port: u16,
    /// Whether this balancer needs only a part of the store's keys, as another one publishes a
    /// large configuration in parts.
    pub(super) parts_suffice: Cell<bool>,
}

impl Distribution {
    /// Becomes or ceases to be a distributor until `snapshots` closes. The latest
    /// snapshot is `None` while the store is unreachable.
    pub(super) async fn run(
        &self,
        client: Client,
        mut snapshots: watch::Receiver<Option<Arc<Snapshot>>>,
    ) {
        let mut key = HeldKey::new(client.clone(), self.distributor.key(), LEASE_MS);
        let mut since = Instant::now();
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            if let Some(snapshot) = &snapshot {
                self.name_distributors(snapshot);
                if key.is_held() {
                    let subscribers = self.log.subscriber_count(Instant::now());
                    let term = Term { age: since.elapsed(), subscribers };
                    if self.parts_suffice.get() || self.distributor.should_stop(snapshot, term) {
                        self.set_role(false);
                        key.release(true).await;
                    }
                } else if let Some(delay) = self.should_start(snapshot) {
                    if self.campaign(delay, &mut snapshots).await && self.is_vacant(&client).await {
                        since = Instant::now();
                        self.set_role(true);
                        // Others are to find a log that is open already.
                        self.refresh.notify_one();
                        if timeout(OPEN_TIMEOUT, self.log.opened()).await.is_ok() {
                            key.acquire();
                        } else {
                            self.set_role(false);
                        }
                    }
                    continue;
                }
            }
            tokio::select! {
                changed = snapshots.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Whether, and after which delay, to become a distributor. Of a large configuration that is
    /// one of the relays, which follow everything anyway.
    fn should_start(&self, snapshot: &Snapshot) -> Option<Duration> {
        if self.parts_suffice.get() {
            return None;
        }
        self.distributor.should_start(snapshot, self.store.all_full(), &mut rand::rng())
    }

    /// Waits for `delay`, naming the distributors that are listed meanwhile. Returns whether this
    /// balancer should still become one.
    async fn campaign(
        &self,
        delay: Duration,
        snapshots: &mut watch::Receiver<Option<Arc<Snapshot>>>,
    ) -> bool {
        let deadline = Instant::now() + delay;
        loop {
            let waited = tokio::time::timeout_at(deadline.into(), snapshots.changed()).await;
            let latest = snapshots.borrow_and_update().clone();
            if let Some(snapshot) = &latest {
                self.name_distributors(snapshot);
            }
            let wanted = latest.is_some_and(|s| self.should_start(&s).is_some());
            match waited {
                Ok(Ok(())) if wanted => {}
                Ok(_) => return false,
                Err(_) => return wanted,
            }
        }
    }

    /// Whether the store lists no distributor that this balancer could poll instead of becoming
    /// one. What it knows itself may be older than the campaign of another.
    async fn is_vacant(&self, client: &Client) -> bool {
        match Snapshot::list(client, self.distributor.region_prefix()).await {
            Ok(listed) => {
                let vacant = self.should_start(&listed).is_some();
                if !vacant {
                    self.name_distributors(&listed);
                }
                vacant
            }
            Err(e) => {
                log::warn!(
                    event = events::EDGE_STORE, error:% = format!("{e:#}");
                    "listing the distributors failed; this balancer does not become one"
                );
                false
            }
        }
    }

    fn name_distributors(&self, snapshot: &Snapshot) {
        let others = self.distributor.others(snapshot).into_iter();
        self.store
            .set_distributors(others.map(|ip| SocketAddr::new(ip.into(), self.port)).collect());
    }

    fn set_role(&self, distributes: bool) {
        self.store.set_distributing(distributes);
        log::info!(
            event = events::DISTRIBUTOR_ROLE, key = self.distributor.key(),
            distributor = distributes;
            "balancer's part in distributing the store's changes changed"
        );
    }

    /// Sends the subscribers elsewhere and deletes the key, before the process stops.
    pub(super) async fn shut_down(&self, client: &Client) {
        if self.store.is_distributing() {
            self.set_role(false);
            HeldKey::new(client.clone(), self.distributor.key(), LEASE_MS).release(true).await;
        }
    }
}
