//! Which of two agents takes a new flow: a pure function of what each knows
//! of itself, so no load report has to travel or be believed.
//!
//! A balancer offers an open to two candidates of its table. The first takes
//! it, or asks the second to compare loads; the less loaded one takes it (the
//! power of two choices, decided at the servers as in SRLB and 6LB). An agent
//! that may not take it passes it on. Refusing is left to when neither may. An
//! open carries no bytes, so passing it on replays nothing.

use super::Admit;
use crate::metrics::Refusal;
use crate::wire::{Offer, OfferStage};

/// What an agent does with an offered open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Takes the flow.
    Take,
    /// Passes it to the other candidate.
    Pass(Offer),
    /// Refuses it as not run: neither candidate may take it.
    Refuse(Refusal),
}

/// The load of a candidate that may not take the flow.
pub const UNABLE: u32 = u32::MAX;

/// What an agent that is admitted as `admit`, with `load`, does with `offer`.
#[must_use]
pub fn place(admit: Admit, load: u32, offer: Offer) -> Step {
    let to = |stage| Step::Pass(Offer { stage, ..offer });
    let load = load.min(UNABLE - 1);
    let alone = offer.second.is_none();
    match (admit, offer.stage) {
        (Admit::Accept, OfferStage::Take | OfferStage::Last) => Step::Take,
        (Admit::Accept, OfferStage::Ask) if alone || load == 0 => Step::Take,
        (Admit::Accept, OfferStage::Ask) => to(OfferStage::Compare { load }),
        (Admit::Accept, OfferStage::Compare { load: theirs }) if lighter(load, theirs) => {
            Step::Take
        }
        (Admit::Accept, OfferStage::Compare { .. }) => to(OfferStage::Last),
        (Admit::Refuse(reason), OfferStage::Take | OfferStage::Ask | OfferStage::Last) if alone => {
            Step::Refuse(reason)
        }
        (Admit::Refuse(_), OfferStage::Take | OfferStage::Ask | OfferStage::Last) => {
            to(OfferStage::Compare { load: UNABLE })
        }
        (Admit::Refuse(reason), OfferStage::Compare { load: UNABLE }) => Step::Refuse(reason),
        (Admit::Refuse(_), OfferStage::Compare { .. }) => to(OfferStage::Last),
    }
}

/// Units of load of one busy slot.
pub const SLOT: u32 = 1_024;

/// The load of an agent with `flows` open, of which `waiting` have sent their
/// target something and heard nothing since.
///
/// Each waiting flow takes one of the target's `slots`; `max` open flows weigh
/// as much as all slots. With all slots busy the load is the highest there
/// is. What the target says of its own load is not used: it lags and lies.
#[must_use]
pub fn load(flows: u32, waiting: u32, slots: u32, max: u32) -> u32 {
    if waiting >= slots {
        return UNABLE - 1;
    }
    let open = u64::from(flows) * u64::from(slots) * u64::from(SLOT) / u64::from(max.max(1));
    let busy = u64::from(waiting) * u64::from(SLOT);
    u32::try_from(open + busy).unwrap_or(UNABLE - 1)
}

/// The load of an agent whose target queues what its slots cannot take at
/// once: `waiting` requests and `flows` open flows that each stand for
/// `per_flow`. It goes on growing past the slots, so that of two targets that
/// are both full the one with the shorter queue is lighter.
#[must_use]
pub fn backlog(flows: u32, waiting: u32, per_flow: u32) -> u32 {
    let busy = u64::from(waiting) * u64::from(SLOT);
    let open = u64::from(flows) * u64::from(per_flow);
    u32::try_from(busy + open).map_or(UNABLE - 1, |load| load.min(UNABLE - 1))
}

/// Whether `load` is below `theirs` by enough to move a flow: by more than a
/// sixteenth and an eighth of a slot. Without the margin, short requests all
/// follow small differences in long feeds, and pile up where the feeds are
/// fewest.
const fn lighter(load: u32, theirs: u32) -> bool {
    theirs == UNABLE || load.saturating_add(load / 16).saturating_add(SLOT / 8) < theirs
}

/// What an agent does with an offer it took when its target then could not
/// be reached.
#[must_use]
pub fn give_back(offer: Offer) -> Step {
    place(Admit::Refuse(Refusal::Unreachable), UNABLE, offer)
}
