//! Every course an offered open can take between two agents, played out: it
//! ends within three passes (four decisions), at most one agent keeps it, and it is refused
//! only when neither may take it.

use std::net::SocketAddrV4;

use jujubepost::agent::placement::{
    OfferAction, UNAVAILABLE_LOAD, decide_offer, decide_unreachable, slot_load,
};
use jujubepost::agent::{Admission, admit};
use jujubepost::metrics::Refusal;
use jujubepost::wire::{Offer, OfferStage};

/// What one agent knows of itself.
#[derive(Clone, Copy, Debug)]
struct Side {
    admits: bool,
    load: u32,
    reachable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Course {
    First,
    Second,
    Refused,
}

const LOADS: [u32; 5] = [0, 1, 2, UNAVAILABLE_LOAD - 1, UNAVAILABLE_LOAD];

fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn sides() -> impl Iterator<Item = Side> + Clone {
    LOADS.into_iter().flat_map(|load| {
        [(true, true), (true, false), (false, true)]
            .into_iter()
            .map(move |(admits, reachable)| Side { admits, load, reachable })
    })
}

fn play(first: Side, second: Option<Side>, stage: OfferStage) -> Course {
    let mut offer = Offer { first: addr(1), second: second.map(|_| addr(2)), stage };
    for _ in 0..4 {
        let at_first = offer.next_agent() == addr(1);
        let side = if at_first { first } else { second.unwrap() };
        let mine = if side.admits { Admission::Accept } else { Admission::Refuse(Refusal::Full) };
        let mut step = decide_offer(mine, side.load, offer);
        if step == OfferAction::Accept && !side.reachable {
            step = decide_unreachable(offer);
        }
        match step {
            OfferAction::Accept => return if at_first { Course::First } else { Course::Second },
            OfferAction::PassOn(on) => {
                assert_ne!(on.next_agent(), offer.next_agent(), "passed to itself: {offer:?}");
                offer = on;
            }
            OfferAction::Refuse(_) => return Course::Refused,
        }
    }
    panic!("no end: {first:?} {second:?} {stage:?}");
}

const fn able(s: Side) -> bool {
    s.admits && s.reachable
}

#[test]
fn taken_if_any_can() {
    for stage in [OfferStage::Take, OfferStage::Ask] {
        for (a, b) in sides().flat_map(|a| sides().map(move |b| (a, b))) {
            let got = play(a, Some(b), stage);
            let want_refused = !able(a) && !able(b);
            assert_eq!(got == Course::Refused, want_refused, "{a:?} {b:?} {stage:?}");
            let taker = if got == Course::First { a } else { b };
            assert!(got == Course::Refused || able(taker), "{a:?} {b:?} {stage:?}");
        }
        for a in sides() {
            let want = if able(a) { Course::First } else { Course::Refused };
            assert_eq!(play(a, None, stage), want);
        }
    }
}

#[test]
fn less_loaded_takes() {
    let side = |load| Side { admits: true, load, reachable: true };
    assert_eq!(play(side(200), Some(side(0)), OfferStage::Ask), Course::Second);
    assert_eq!(play(side(1_000), Some(side(800)), OfferStage::Ask), Course::Second);
    assert_eq!(play(side(800), Some(side(1_000)), OfferStage::Ask), Course::First);
    // Within the margin of a sixteenth and an eighth of a slot, the hash decides.
    assert_eq!(play(side(1), Some(side(0)), OfferStage::Ask), Course::First);
    assert_eq!(play(side(128), Some(side(0)), OfferStage::Ask), Course::First);
    assert_eq!(play(side(900), Some(side(850)), OfferStage::Ask), Course::First);
    assert_eq!(play(side(2), Some(side(2)), OfferStage::Ask), Course::First);
    assert_eq!(play(side(1_000), Some(side(0)), OfferStage::Take), Course::First);
}

#[test]
fn limit_is_exact() {
    assert_eq!(slot_load(2_000, 0, 5, 2_000), 5 * 1_024, "all connections weigh as all slots");
    assert_eq!(slot_load(0, 4, 5, 2_000), 4 * 1_024);
    assert_eq!(slot_load(0, 5, 5, 2_000), UNAVAILABLE_LOAD - 1, "no slot is free");
    let none = std::time::Duration::ZERO;
    assert_eq!(admit(None, none, false, 9, 10), Admission::Accept);
    assert_eq!(admit(None, none, false, 10, 10), Admission::Refuse(Refusal::Full));
}
