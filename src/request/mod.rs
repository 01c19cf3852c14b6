//! What callers need of a profile's requests, as its operator states it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// What callers need of the requests of one profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestNeeds {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// A response that takes longer is late, in milliseconds.
    pub latency_ms: u32,
    /// Time limit of a request, in milliseconds.
    pub timeout_ms: u32,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
}

impl RequestNeeds {
    /// Time after which a response is late.
    #[must_use]
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms.into())
    }

    /// Time limit of a request.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// What travels with an offered flow, so that agents can order and place it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// What callers need of the profile's requests.
    pub needs: RequestNeeds,
    /// Time since the caller's first SYN reached a balancer, in milliseconds.
    pub waited_ms: u32,
    /// Mean time that a request occupies a slot at the agent that passed the open on, in
    /// microseconds; 0 if it has measured none.
    pub work_us: u32,
    /// Opens queued at the agent that passed it on.
    pub queued: u32,
    /// Time since the balancer last offered or renewed it, in milliseconds: not zero if another
    /// agent hands it over.
    pub unrenewed_ms: u32,
    /// Whether the balancer only renews an open that the agent has queued. One that no longer
    /// has it does not accept it.
    pub renewal: bool,
    /// Whether the agent may accept it although it has set its target aside.
    pub any_target: bool,
    /// Whether only agents of its offer may own the flow, as in
    /// [`crate::protocol::Message::BoundedOpen`].
    #[serde(skip)]
    pub bounded: bool,
}

impl OpenRequest {
    /// A request that a balancer offers after the caller has waited for `waited`.
    #[must_use]
    pub fn new(needs: RequestNeeds, waited: Duration) -> Self {
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        Self {
            needs,
            waited_ms,
            work_us: 0,
            queued: 0,
            unrenewed_ms: 0,
            renewal: false,
            any_target: false,
            bounded: false,
        }
    }

    /// When the balancer last offered or renewed it, if it arrived at `now`.
    #[must_use]
    pub fn renewed_at(&self, now: Instant) -> Instant {
        now.checked_sub(Duration::from_millis(self.unrenewed_ms.into())).unwrap_or(now)
    }

    /// When the caller's first SYN reached a balancer, if the open arrived at `now`.
    #[must_use]
    pub fn since(&self, now: Instant) -> Instant {
        now.checked_sub(self.waited()).unwrap_or(now)
    }

    /// How long the caller had waited when the open was sent.
    #[must_use]
    pub fn waited(&self) -> Duration {
        Duration::from_millis(self.waited_ms.into())
    }
}
