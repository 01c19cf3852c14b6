//! Admission control of an agent, decided before any caller data reaches the
//! target.

use std::time::Duration;

use crate::metrics::Refusal;

/// Outcome of admission control for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The agent may accept the flow.
    Accept,
    /// The agent must not accept the flow, for this reason.
    Refuse(Refusal),
}

/// Decides whether the agent may accept a new flow.
///
/// `draining_for` is the time since the agent was configured to drain its target,
/// if it was. During the first `drain_grace` of a drain new flows are still
/// accepted, as some balancers have not yet learned of it.
#[must_use]
pub fn admit(
    draining_for: Option<Duration>,
    drain_grace: Duration,
    stopping: bool,
    open_flows: usize,
    max_flows: usize,
) -> Admission {
    if stopping || draining_for.is_some_and(|elapsed| elapsed >= drain_grace) {
        Admission::Refuse(Refusal::Draining)
    } else if open_flows >= max_flows {
        Admission::Refuse(Refusal::Full)
    } else {
        Admission::Accept
    }
}
