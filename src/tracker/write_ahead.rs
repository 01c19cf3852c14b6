//! Write-ahead of the incarnation that an agent serves, so that the next process of the agent can
//! prove which flows were never accepted.
//!
//! The store names the incarnation that an agent served last, but may have been unreachable when
//! a later one started. So a process accepts flows of an incarnation only once the store names it,
//! or once the target has sent more than [`MAX_EARLY_REPORT_SEQ`] reports. Until then it leaves
//! reports unacknowledged, which a target repeats at once. A process that finds another
//! incarnation in the store and hears one of the early reports therefore knows that none before it
//! accepted a flow.

use super::{FlowTracker, Incarnation, Target};

/// Highest sequence number of an early report. When an agent and its target start together,
/// the first report that the agent hears is the second or third; while the store is away,
/// a higher limit makes a target that starts wait longer for flows.
pub const MAX_EARLY_REPORT_SEQ: u64 = 3;

/// What the store tells of the previous process of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Incarnation of the target that the store names.
    pub incarnation: Incarnation,
    /// Whether the process accepted flows of others only as described in this module; earlier
    /// versions did not.
    pub writes_ahead: bool,
}

impl Predecessor {
    /// Whether no process before this one accepted flows of `incarnation`, of which this one
    /// first heard the report `first_seq`.
    #[must_use]
    pub fn never_served(&self, incarnation: &Incarnation, first_seq: u64) -> bool {
        self.writes_ahead && self.incarnation != *incarnation && first_seq <= MAX_EARLY_REPORT_SEQ
    }
}

impl FlowTracker {
    /// Has the process accept flows only as described in this module, for an agent that keeps a
    /// registration in the store.
    #[must_use]
    pub const fn with_write_ahead(mut self) -> Self {
        self.writes_ahead = true;
        self
    }

    /// Sets what the store tells of the previous process of the agent.
    pub fn set_predecessor(&mut self, predecessor: Option<Predecessor>) {
        if let Some(p) = &predecessor {
            self.record_written(&p.incarnation);
            if let (Some(t), false) = (&mut self.target, self.inherited) {
                t.learn_predecessor(p);
            }
        }
        self.predecessor = predecessor;
    }

    /// Records that the store names `incarnation` as the one that this agent serves.
    pub fn record_written(&mut self, incarnation: &Incarnation) {
        self.written = Some(incarnation.clone());
    }

    /// Whether flows of the current incarnation are refused until the next process could tell
    /// that they may exist. The target's reports are not acknowledged meanwhile.
    #[must_use]
    pub fn awaits_record(&self) -> bool {
        self.writes_ahead
            && self.target.as_ref().is_some_and(|t| {
                t.accepts_flows()
                    && t.last_seq() <= MAX_EARLY_REPORT_SEQ
                    && self.written.as_ref() != Some(t.incarnation())
            })
    }
}

impl Target {
    /// Takes into account a predecessor that becomes known after the first report.
    fn learn_predecessor(&mut self, predecessor: &Predecessor) {
        if !self.all_flows_known && predecessor.never_served(&self.incarnation, self.first_seq) {
            self.all_flows_known = true;
            self.presumed = true;
        }
    }
}
