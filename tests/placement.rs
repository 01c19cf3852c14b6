//! Placement of an offered flow between two agents: it is decided after at most three
//! passes, and refused only if neither agent can accept it.

use std::net::SocketAddrV4;

use jujubepost::agent::placement::{
    OfferAction, UNAVAILABLE_LOAD, decide_offer, decide_unreachable, slot_load,
};
use jujubepost::agent::{Admission, admit};
use jujubepost::metrics::Refusal;
use jujubepost::wire::{Offer, OfferStage};

/// An agent's own state and whether it can connect to its target.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    admits: bool,
    load: u32,
    reachable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    First,
    Second,
    Refused,
}

const LOADS: [u32; 5] = [0, 1, 2, UNAVAILABLE_LOAD - 1, UNAVAILABLE_LOAD];

fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn candidates() -> impl Iterator<Item = Candidate> + Clone {
    LOADS.into_iter().flat_map(|load| {
        [(true, true), (true, false), (false, true)]
            .into_iter()
            .map(move |(admits, reachable)| Candidate { admits, load, reachable })
    })
}

fn run_offer(first: Candidate, second: Option<Candidate>, stage: OfferStage) -> Outcome {
    let mut offer = Offer { first: addr(1), second: second.map(|_| addr(2)), stage };
    for _ in 0..4 {
        let at_first = offer.next_agent() == addr(1);
        let candidate = if at_first { first } else { second.unwrap() };
        let admission =
            if candidate.admits { Admission::Accept } else { Admission::Refuse(Refusal::Full) };
        let mut action = decide_offer(admission, candidate.load, offer);
        if action == OfferAction::Accept && !candidate.reachable {
            action = decide_unreachable(offer);
        }
        match action {
            OfferAction::Accept => return if at_first { Outcome::First } else { Outcome::Second },
            OfferAction::PassOn(next) => {
                assert_ne!(next.next_agent(), offer.next_agent(), "passed on to itself: {offer:?}");
                offer = next;
            }
            OfferAction::Refuse(_) => return Outcome::Refused,
        }
    }
    panic!("undecided after four decisions: {first:?} {second:?} {stage:?}");
}

const fn can_accept(candidate: Candidate) -> bool {
    candidate.admits && candidate.reachable
}

#[test]
fn refused_only_if_no_candidate_can_accept() {
    for stage in [OfferStage::Assign, OfferStage::Propose] {
        for (a, b) in candidates().flat_map(|a| candidates().map(move |b| (a, b))) {
            let outcome = run_offer(a, Some(b), stage);
            let should_refuse = !can_accept(a) && !can_accept(b);
            assert_eq!(outcome == Outcome::Refused, should_refuse, "{a:?} {b:?} {stage:?}");
            let accepting = if outcome == Outcome::First { a } else { b };
            assert!(outcome == Outcome::Refused || can_accept(accepting), "{a:?} {b:?} {stage:?}");
        }
        for a in candidates() {
            let expected = if can_accept(a) { Outcome::First } else { Outcome::Refused };
            assert_eq!(run_offer(a, None, stage), expected);
        }
    }
}

#[test]
fn less_loaded_accepts() {
    let candidate = |load| Candidate { admits: true, load, reachable: true };
    assert_eq!(run_offer(candidate(200), Some(candidate(0)), OfferStage::Propose), Outcome::Second);
    assert_eq!(
        run_offer(candidate(1_000), Some(candidate(800)), OfferStage::Propose),
        Outcome::Second
    );
    assert_eq!(
        run_offer(candidate(800), Some(candidate(1_000)), OfferStage::Propose),
        Outcome::First
    );
    // Within the margin of a sixteenth plus an eighth of a slot, the first accepts.
    assert_eq!(run_offer(candidate(1), Some(candidate(0)), OfferStage::Propose), Outcome::First);
    assert_eq!(run_offer(candidate(128), Some(candidate(0)), OfferStage::Propose), Outcome::First);
    assert_eq!(
        run_offer(candidate(900), Some(candidate(850)), OfferStage::Propose),
        Outcome::First
    );
    assert_eq!(run_offer(candidate(2), Some(candidate(2)), OfferStage::Propose), Outcome::First);
    assert_eq!(run_offer(candidate(1_000), Some(candidate(0)), OfferStage::Assign), Outcome::First);
}

#[test]
fn limits_are_exact() {
    assert_eq!(slot_load(2_000, 0, 5, 2_000), 5 * 1_024, "all connections weigh as all slots");
    assert_eq!(slot_load(0, 4, 5, 2_000), 4 * 1_024);
    assert_eq!(slot_load(0, 5, 5, 2_000), UNAVAILABLE_LOAD - 1, "no slot is free");
    let no_grace = std::time::Duration::ZERO;
    assert_eq!(admit(None, no_grace, false, 9, 10), Admission::Accept);
    assert_eq!(admit(None, no_grace, false, 10, 10), Admission::Refuse(Refusal::Full));
}
