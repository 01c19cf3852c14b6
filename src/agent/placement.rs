//! Placement of new flows: the power of two choices, decided by the agents.
//!
//! A balancer offers each new flow to two candidate agents. They pass the open
//! between them, with the first one's load, until the less loaded one accepts
//! it; it is refused only when neither may accept it. Balancers need no load
//! reports for this, and passing an open on is safe, as it carries no data.

use super::Admission;
use crate::metrics::Refusal;
use crate::wire::{Offer, OfferStage};

/// What an agent does with an offered flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferAction {
    /// Accepts the flow.
    Accept,
    /// Sends the open with this offer to the other candidate.
    PassOn(Offer),
    /// Refuses the flow, as no candidate may accept it.
    Refuse(Refusal),
}

/// Load value of an agent that may not accept a flow.
pub const UNAVAILABLE_LOAD: u32 = u32::MAX;

/// Decides on an offer, given the agent's own admission result and load.
#[must_use]
pub fn decide_offer(admission: Admission, load: u32, offer: Offer) -> OfferAction {
    let pass_on = |stage| OfferAction::PassOn(Offer { stage, ..offer });
    let load = load.min(UNAVAILABLE_LOAD - 1);
    let only_candidate = offer.second.is_none();
    match (admission, offer.stage) {
        (Admission::Accept, OfferStage::Assign | OfferStage::Last) => OfferAction::Accept,
        (Admission::Accept, OfferStage::Propose) if only_candidate || load == 0 => {
            OfferAction::Accept
        }
        (Admission::Accept, OfferStage::Propose) => pass_on(OfferStage::Compare { load }),
        (Admission::Accept, OfferStage::Compare { load: other })
            if is_clearly_lower(load, other) =>
        {
            OfferAction::Accept
        }
        (Admission::Accept, OfferStage::Compare { .. }) => pass_on(OfferStage::Last),
        (
            Admission::Refuse(reason),
            OfferStage::Assign | OfferStage::Propose | OfferStage::Last,
        ) if only_candidate => OfferAction::Refuse(reason),
        (Admission::Refuse(_), OfferStage::Assign | OfferStage::Propose | OfferStage::Last) => {
            pass_on(OfferStage::Compare { load: UNAVAILABLE_LOAD })
        }
        (Admission::Refuse(reason), OfferStage::Compare { load: UNAVAILABLE_LOAD }) => {
            OfferAction::Refuse(reason)
        }
        (Admission::Refuse(_), OfferStage::Compare { .. }) => pass_on(OfferStage::Last),
    }
}

/// Load of one busy slot of a target.
pub const LOAD_PER_SLOT: u32 = 1_024;

/// Load of an agent whose target sheds requests beyond its `slots`.
///
/// Each of the `waiting` flows, which expect a response, occupies one slot;
/// `max_flows` open flows weigh as much as all slots. When all slots are busy
/// the result is the highest load of an available agent. It is computed from
/// the agent's own counts, so it does not lag like a load reported by the
/// target.
#[must_use]
pub fn slot_load(flows: u32, waiting: u32, slots: u32, max_flows: u32) -> u32 {
    if waiting >= slots {
        return UNAVAILABLE_LOAD - 1;
    }
    let open = u64::from(flows) * u64::from(slots) * u64::from(LOAD_PER_SLOT)
        / u64::from(max_flows.max(1));
    let busy = u64::from(waiting) * u64::from(LOAD_PER_SLOT);
    u32::try_from(open + busy).unwrap_or(UNAVAILABLE_LOAD - 1)
}

/// Load of an agent whose target queues requests beyond its slots: `waiting`
/// requests, and `flows` open flows that weigh `per_flow` each. It keeps growing
/// when all slots are busy, so the target with the shorter queue has the lower
/// load.
#[must_use]
pub fn backlog_load(flows: u32, waiting: u32, per_flow: u32) -> u32 {
    let busy = u64::from(waiting) * u64::from(LOAD_PER_SLOT);
    let open = u64::from(flows) * u64::from(per_flow);
    u32::try_from(busy + open).map_or(UNAVAILABLE_LOAD - 1, |load| load.min(UNAVAILABLE_LOAD - 1))
}

/// Whether `load` is below `other` by more than a sixteenth of `load` plus an
/// eighth of a slot; always, if the other agent may not accept flows. The margin
/// keeps small differences from sending most new flows to the same agents.
const fn is_clearly_lower(load: u32, other: u32) -> bool {
    other == UNAVAILABLE_LOAD
        || load.saturating_add(load / 16).saturating_add(LOAD_PER_SLOT / 8) < other
}

/// Decides on an offer that the agent accepted before the connection to its
/// target failed.
#[must_use]
pub fn decide_unreachable(offer: Offer) -> OfferAction {
    decide_offer(Admission::Refuse(Refusal::Unreachable), UNAVAILABLE_LOAD, offer)
}
