//! Which agents lately refused opens because they set their targets aside.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::agent::placement::UNAVAILABLE_LOAD;
use crate::metrics::Refusal;
use crate::protocol::{FlowStatus, FlowUpdate};

/// How long a report counts. Longer than an agent's report that it accepts no flows is valid,
/// after which the agent is offered flows again.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// If more than one in this many agents of a service are set aside, the cause lies elsewhere,
/// or the others could not bear the load: opens may go to any target.
const MAX_SHARE: usize = 3;

/// Agents that set their targets aside, as their updates tell.
#[derive(Clone, Debug, Default)]
pub struct SetAside {
    reported: BTreeMap<SocketAddrV4, Instant>,
}

impl SetAside {
    /// Records what an agent's update tells.
    pub fn observe(&mut self, from: SocketAddrV4, update: &FlowUpdate, now: Instant) {
        self.reported.retain(|_, at| now.saturating_duration_since(*at) < REPORT_TTL);
        if update.status == FlowStatus::Refused(Refusal::SetAside) {
            self.reported.insert(from, now);
        } else if update.load != UNAVAILABLE_LOAD {
            self.reported.remove(&from);
        } else if let (FlowStatus::Held, Some(at)) = (update.status, self.reported.get_mut(&from)) {
            // It accepted the flow only because it was told to accept any.
            *at = now;
        }
    }

    /// Whether so many of the `agents` of a service are set aside that opens may go to any.
    #[must_use]
    pub fn is_widespread(&self, agents: impl Iterator<Item = SocketAddrV4>, now: Instant) -> bool {
        if self.reported.is_empty() {
            return false;
        }
        let is_reported = |a: &SocketAddrV4| {
            self.reported.get(a).is_some_and(|at| now.saturating_duration_since(*at) < REPORT_TTL)
        };
        let (mut all, mut reported) = (0, 0);
        for agent in agents {
            all += 1;
            reported += usize::from(is_reported(&agent));
        }
        reported * MAX_SHARE > all
    }
}
