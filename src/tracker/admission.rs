//! Admission of new flows.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowPhase, FlowTracker, TrackedFlow, Transmit, pass_on};
use crate::agent::placement::{self, UNAVAILABLE_LOAD, decide_offer};
use crate::agent::{Admission, OfferAction, admit};
use crate::events;
use crate::flow::{Flow, ReceivedPacket};
use crate::metrics::{self, Refusal};
use crate::protocol::{FlowStatus, Open};
use crate::wire::Offer;

impl FlowTracker {
    /// Load of the agent, as [`placement::backlog_load`]; [`UNAVAILABLE_LOAD`] if it
    /// accepts no flows.
    pub(super) fn load(&self, now: Instant) -> u32 {
        let Some(t) = &self.target else { return UNAVAILABLE_LOAD };
        if self.stopping
            || self.ends_at.is_some()
            || !t.accepts_flows()
            || self.is_full(now)
            || self.is_set_aside(now)
        {
            return UNAVAILABLE_LOAD;
        }
        let flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        placement::backlog_load(
            flows,
            self.waiting + self.queue.len() as u32 + t.warmup_slots(now),
            self.flow_load.per_flow(),
        )
    }

    /// Whether some balancers may not have read the agent's registration yet.
    pub(super) fn awaits_registration(&self, now: Instant) -> bool {
        self.newly_listed
            && self
                .first_report
                .is_none_or(|at| now.duration_since(at) < self.policy.registration_delay)
    }

    /// Whether the target returned an open a short time ago.
    pub(super) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|at| now < at)
    }

    pub(super) fn admit(&self, open: &Open<'_>, now: Instant) -> Admission {
        let Some(t) = &self.target else { return Admission::Refuse(Refusal::NoTarget) };
        if self.awaits_record() {
            return Admission::Refuse(Refusal::NoTarget);
        }
        if self.declines_outlier(open, now) {
            return Admission::Refuse(Refusal::SetAside);
        }
        if self.is_full(now) {
            return Admission::Refuse(Refusal::Full);
        }
        if self.exceeds_cold_limit(open, now) {
            return Admission::Refuse(Refusal::Cold);
        }
        let queue = if open.aged { self.policy.aged_queue_ratio } else { self.policy.queue_ratio };
        if self.is_busy(t.slots(), queue)
            && let Err(reason) = self.check_queue(open, now)
        {
            return Admission::Refuse(reason);
        }
        let draining = !t.accepts_flows() || self.ends_at.is_some();
        let drain = draining.then_some(Duration::ZERO);
        let max = usize::try_from(open.max_flows).unwrap_or(usize::MAX);
        admit(drain, Duration::ZERO, self.stopping, self.flows.len(), max)
    }

    /// Whether the target is warming up, or may have become cold since its last report.
    fn is_cold(&self, now: Instant) -> bool {
        self.target
            .as_ref()
            .is_none_or(|t| t.is_cold(now) || self.cold_start.may_be_chilled(t.last_report()))
    }

    /// Whether the target is cold and was given as many requests in the last second as it
    /// may get.
    fn exceeds_cold_limit(&self, open: &Open<'_>, now: Instant) -> bool {
        open.warm_up.is_some_and(|warm_up| {
            self.is_cold(now)
                && !self.cold_start.allows(self.cold_allowance.request_limit(warm_up), now)
        })
    }

    /// Records what a balancer knows of the evacuation of this agent's data centre.
    fn record_return(&mut self, open: &Open<'_>, now: Instant) {
        let Some(warm_up) = open.warm_up else { return };
        let is_first = open.offer.next_agent() == open.offer.first;
        let age = if is_first { warm_up.first_returned } else { warm_up.second_returned };
        let at = age.and_then(|ms| now.checked_sub(Duration::from_millis(ms.into())));
        if let Some(at) = at {
            self.cold_start.mark_chilled(at);
        }
    }

    /// Handles an open offered to this agent: accepts it, passes it on or refuses it.
    pub(super) fn handle_open(
        &mut self,
        open: &Open<'_>,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let (flow, now) = (received.flow(), received.now);
        if let Some(tracked) = self.flows.get(flow, now) {
            if tracked.is_opened_by(received.seg) {
                tracked.reply_to = Some(open.reply_to);
                match tracked.phase {
                    FlowPhase::Opening { .. } => self.repeat_open(open, received, out),
                    phase => {
                        // A late copy: the caller has seen the answer, and the target, which may
                        // have closed the flow meanwhile, would open another.
                        if phase == FlowPhase::Open {
                            metrics::count_drop("open_repeated_late");
                        } else {
                            out.send_to_target(received.packet);
                        }
                        self.send_update(flow, FlowStatus::Held, open.reply_to, now, out);
                    }
                }
                return;
            }
            self.remove_flow(flow);
        }
        if self.handle_queued_copy(open, received, out) {
            return;
        }
        self.record_return(open, now);
        self.record_peer_queue(open, now);
        let admit = if *open.service != *self.service {
            Admission::Refuse(Refusal::WrongService)
        } else if self.awaits_registration(now) {
            Admission::Refuse(Refusal::NoTarget)
        } else {
            self.admit(open, now)
        };
        let load = self.comparable_load(open, now);
        match decide_offer(admit, load, open.offer) {
            OfferAction::Accept => self.accept_or_queue(open, received, out),
            OfferAction::PassOn(offer) => {
                self.record_hint(flow, offer, now);
                pass_on(&self.annotated(open), offer, received.packet, out);
            }
            OfferAction::Refuse(reason) => self.refuse_flow(flow, reason, open.reply_to, now, out),
        }
    }

    /// Delivers a repeated SYN that the target has not answered. The target may have lost
    /// the first one and take this one, so it counts as another flow while it is cold.
    fn repeat_open(
        &mut self,
        open: &Open<'_>,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        if self.exceeds_cold_limit(open, received.now) {
            metrics::count_drop("repeated_open_cold");
            return;
        }
        self.cold_start.record(received.now);
        out.send_to_target(received.packet);
    }

    /// Records the agent that an open is passed on to as its possible owner.
    pub(super) fn record_hint(&mut self, flow: Flow, offer: Offer, now: Instant) {
        if self.policy.hints_enabled {
            self.hints.insert(flow, offer.next_agent(), now);
        }
    }

    pub(super) fn accept_flow(
        &mut self,
        open: &Open<'_>,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let (flow, now) = (received.flow(), received.now);
        if events::is_sampled(flow.hash64()) {
            log::info!(
                event = events::FLOW_ACCEPTED, flow:% = flow, waiting = self.waiting,
                flows = self.flows.len(), aged = open.aged;
                "flow accepted (sampled)"
            );
        }
        self.hints.remove(flow);
        self.cold_start.record(now);
        let Open { offer, max_flows, aged, warm_up, request, .. } = *open;
        let phase = FlowPhase::Opening { offer, max_flows, aged, warm_up, request };
        let other_agent = open.offer.other_agent();
        self.last_peer = other_agent.or(self.last_peer);
        let tracked = TrackedFlow {
            reply_to: Some(open.reply_to),
            other_agent,
            needs: request.map(|r| r.needs),
            watch: self.health.begin(flow, request, now),
            ..TrackedFlow::new(phase, received.seg.seq)
        };
        self.flows.insert(flow, tracked, now);
        self.set_waiting(flow, true, now);
        self.pending_handshakes.push_back((now + self.policy.handshake_timeout, flow));
        self.unanswered_opens.push_back((now + self.policy.open_ttl, flow));
        self.schedule_probe(self.policy.open_probe_delay, now);
        out.send_to_target(received.packet);
    }

    pub(super) fn refuse_flow(
        &self,
        flow: Flow,
        reason: Refusal,
        reply_to: SocketAddrV4,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        metrics::count_refusal(reason);
        log::info!(
            event = events::OPEN_REFUSED, flow:% = flow, reason:% = reason,
            waiting = self.waiting, flows = self.flows.len();
            "open refused"
        );
        self.send_update(flow, FlowStatus::Refused(reason), reply_to, now, out);
    }
}
