//! Which of two agents takes a new flow: a pure function of what each knows
//! of itself, so no load report has to travel or be believed.
//!
//! A balancer offers an open to two candidates of its table. The first takes
//! it, or asks the second to compare loads; the less loaded one takes it (the
//! power of two choices, decided at the servers as in SRLB and 6LB). An agent
//! that may not take it passes it on. Refusing is left to when neither may. An
//! open carries no bytes, so passing it on replays nothing.

use super::Admission;
use crate::metrics::Refusal;
use crate::wire::{Offer, OfferStage};

/// What an agent does with an offered open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferAction {
    /// Takes the flow.
    Accept,
    /// Passes it to the other candidate.
    PassOn(Offer),
    /// Refuses it as not run: neither candidate may take it.
    Refuse(Refusal),
}

/// The load of a candidate that may not take the flow.
pub const UNAVAILABLE_LOAD: u32 = u32::MAX;

/// What an agent that is admitted as `admit`, with `load`, does with `offer`.
#[must_use]
pub fn decide_offer(admit: Admission, load: u32, offer: Offer) -> OfferAction {
    let to = |stage| OfferAction::PassOn(Offer { stage, ..offer });
    let load = load.min(UNAVAILABLE_LOAD - 1);
    let alone = offer.second.is_none();
    match (admit, offer.stage) {
        (Admission::Accept, OfferStage::Take | OfferStage::Last) => OfferAction::Accept,
        (Admission::Accept, OfferStage::Ask) if alone || load == 0 => OfferAction::Accept,
        (Admission::Accept, OfferStage::Ask) => to(OfferStage::Compare { load }),
        (Admission::Accept, OfferStage::Compare { load: theirs }) if lighter(load, theirs) => {
            OfferAction::Accept
        }
        (Admission::Accept, OfferStage::Compare { .. }) => to(OfferStage::Last),
        (Admission::Refuse(reason), OfferStage::Take | OfferStage::Ask | OfferStage::Last)
            if alone =>
        {
            OfferAction::Refuse(reason)
        }
        (Admission::Refuse(_), OfferStage::Take | OfferStage::Ask | OfferStage::Last) => {
            to(OfferStage::Compare { load: UNAVAILABLE_LOAD })
        }
        (Admission::Refuse(reason), OfferStage::Compare { load: UNAVAILABLE_LOAD }) => {
            OfferAction::Refuse(reason)
        }
        (Admission::Refuse(_), OfferStage::Compare { .. }) => to(OfferStage::Last),
    }
}

/// Units of load of one busy slot.
pub const LOAD_PER_SLOT: u32 = 1_024;

/// The load of an agent with `flows` open, of which `waiting` have sent their
/// target something and heard nothing since.
///
/// Each waiting flow takes one of the target's `slots`; `max` open flows weigh
/// as much as all slots. With all slots busy the load is the highest there
/// is. What the target says of its own load is not used: it lags and lies.
#[must_use]
pub fn slot_load(flows: u32, waiting: u32, slots: u32, max: u32) -> u32 {
    if waiting >= slots {
        return UNAVAILABLE_LOAD - 1;
    }
    let open =
        u64::from(flows) * u64::from(slots) * u64::from(LOAD_PER_SLOT) / u64::from(max.max(1));
    let busy = u64::from(waiting) * u64::from(LOAD_PER_SLOT);
    u32::try_from(open + busy).unwrap_or(UNAVAILABLE_LOAD - 1)
}

/// The load of an agent whose target queues what its slots cannot take at
/// once: `waiting` requests and `flows` open flows that each stand for
/// `per_flow`. It goes on growing past the slots, so that of two targets that
/// are both full the one with the shorter queue is lighter.
#[must_use]
pub fn backlog_load(flows: u32, waiting: u32, per_flow: u32) -> u32 {
    let busy = u64::from(waiting) * u64::from(LOAD_PER_SLOT);
    let open = u64::from(flows) * u64::from(per_flow);
    u32::try_from(busy + open).map_or(UNAVAILABLE_LOAD - 1, |load| load.min(UNAVAILABLE_LOAD - 1))
}

/// Whether `load` is below `theirs` by enough to move a flow: by more than a
/// sixteenth and an eighth of a slot. Without the margin, short requests all
/// follow small differences in long feeds, and pile up where the feeds are
/// fewest.
const fn lighter(load: u32, theirs: u32) -> bool {
    theirs == UNAVAILABLE_LOAD
        || load.saturating_add(load / 16).saturating_add(LOAD_PER_SLOT / 8) < theirs
}

/// What an agent does with an offer it took when its target then could not
/// be reached.
#[must_use]
pub fn decide_unreachable(offer: Offer) -> OfferAction {
    decide_offer(Admission::Refuse(Refusal::Unreachable), UNAVAILABLE_LOAD, offer)
}
