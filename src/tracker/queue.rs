//! Opens that wait for a slot of the target: queueing, delivery, refusal, and handing them
//! over to agents whose targets have free slots.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{FlowTracker, Transmit};
use crate::admission::{Dropped, QueuedOpen};
use crate::agent::Admission;
use crate::events;
use crate::flow::{Flow, ReceivedPacket, Segment};
use crate::load::relative_load;
use crate::metrics::{self, Refusal, Retry};
use crate::protocol::{FlowStatus, Message, Open, WarmUp};
use crate::request::OpenRequest;
use crate::wire::{Offer, OfferStage};

/// Slot time of a request where none was measured.
const DEFAULT_WORK: Duration = Duration::from_millis(40);

/// Most opens handed over in answer to one [`Message::Steal`].
const MAX_HANDED_OVER: u32 = 4;

/// What delivers a queued open.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    seg: Segment,
    packet: Vec<u8>,
    offer: Offer,
    max_flows: u32,
    reply_to: SocketAddrV4,
    warm_up: Option<WarmUp>,
    any_target: bool,
    /// Whether another agent handed it over. It is not handed over again.
    handed_over: bool,
    /// Whom it may be handed over to.
    heirs: Heirs,
}

/// Agents that a queued open may be handed over to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heirs {
    /// Any agent of the service.
    Any,
    /// The other agent of its offer, if there was one: only agents that rank high for the flow
    /// may own it.
    Peer(Option<SocketAddrV4>),
}

impl Heirs {
    fn include(self, agent: SocketAddrV4) -> bool {
        match self {
            Self::Any => true,
            Self::Peer(peer) => peer == Some(agent),
        }
    }
}

impl Delivery {
    fn open<'a>(&self, service: &'a str, request: OpenRequest) -> Open<'a> {
        Open {
            service,
            max_flows: self.max_flows,
            aged: false,
            offer: self.offer,
            reply_to: self.reply_to,
            warm_up: self.warm_up,
            request: Some(request),
        }
    }
}

/// The open that `queued` was, offered again at `now`.
fn request(queued: &QueuedOpen<Delivery>, now: Instant) -> OpenRequest {
    let Delivery { any_target, heirs, .. } = queued.item;
    let bounded = heirs != Heirs::Any;
    OpenRequest {
        any_target,
        bounded,
        ..OpenRequest::new(queued.needs, now.duration_since(queued.since))
    }
}

impl FlowTracker {
    /// Whether the target has as many requests as it can finish soon.
    pub(super) fn is_busy(&self, slots: u32, ratio: f64) -> bool {
        let slots = f64::from(slots);
        f64::from(self.waiting) >= slots + slots * ratio
    }

    /// Records the slot time of a request that the target has answered.
    pub(super) fn record_work(&mut self, flow: Flow, now: Instant) {
        let Some(tracked) = self.flows.peek(flow) else { return };
        if tracked.waiting_since.is_some() && tracked.has_request {
            self.work.advance(self.waiting, self.slots(), now);
            self.work.record_answer(tracked.work_mark, tracked.needs);
        }
    }

    /// Number of queued opens.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// The slots of the target; at least 1.
    fn slots(&self) -> u32 {
        self.target.as_ref().map_or(1, |t| t.slots().max(1))
    }

    /// Mean slot time of the target's requests.
    fn mean_work(&self) -> Duration {
        self.work.mean().unwrap_or(DEFAULT_WORK)
    }

    /// Time until the target has a slot for the next open.
    fn busy_time(&self) -> Duration {
        let slots = self.slots();
        let excess = (self.waiting + 1).saturating_sub(slots);
        self.mean_work() * excess / slots
    }

    /// Decides whether a busy agent queues an open.
    ///
    /// # Errors
    ///
    /// Gives the reason for a refusal.
    pub(super) fn check_queue(&self, open: &Open<'_>, now: Instant) -> Result<(), Refusal> {
        let Some(request) = open.request.filter(|_| self.queue.is_enabled()) else {
            return Err(Refusal::Busy);
        };
        let probe = QueuedOpen {
            flow: Flow { caller: super::NO_REPLY, vip: super::NO_REPLY },
            needs: request.needs,
            since: request.since(now),
            renewed_at: now,
            work: self.work.mean_of(&request.needs).unwrap_or(DEFAULT_WORK),
            item: (),
        };
        self.queue.check(&probe, self.busy_time(), self.slots(), now)
    }

    /// The agent's load as it compares with that of the agent that passed the open on.
    pub(super) fn comparable_load(&self, open: &Open<'_>, now: Instant) -> u32 {
        let load = self.offer_load(open, now);
        let theirs = open.request.map_or(0, |r| r.work_us);
        match (open.offer.stage, self.work.mean()) {
            (OfferStage::Compare { .. }, Some(own)) if theirs > 0 => {
                relative_load(load, own, Duration::from_micros(theirs.into()))
            }
            _ => load,
        }
    }

    /// `open` as this agent passes it on: with what it knows of its own load.
    pub(super) fn annotated<'a>(&self, open: &Open<'a>) -> Open<'a> {
        let request = open.request.map(|r| OpenRequest {
            work_us: self
                .work
                .mean()
                .map_or(0, |work| u32::try_from(work.as_micros()).unwrap_or(u32::MAX)),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            ..r
        });
        Open { request, ..*open }
    }

    /// Records the queue that the agent which passed `open` on told of.
    pub(super) fn record_peer_queue(&mut self, open: &Open<'_>, now: Instant) {
        if let (Some(request), Some(peer)) = (open.request, open.offer.other_agent()) {
            self.peers.record(peer, request.queued, now);
        }
    }

    /// Handles another copy of an open that this agent has queued or handed over. Returns
    /// whether it was one.
    pub(super) fn handle_queued_copy(
        &mut self,
        open: &Open<'_>,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) -> bool {
        let (flow, now) = (received.flow(), received.now);
        if let Some(queued) = self.queue.get_mut(flow) {
            if queued.item.seg.seq != received.seg.seq {
                metrics::count_drop("queued_open_replaced");
                self.queue.remove(flow);
                return false;
            }
            queued.renewed_at = open.request.map_or(now, |r| r.renewed_at(now));
            queued.item.reply_to = open.reply_to;
            let status = FlowStatus::Queued { handed_over: queued.item.handed_over };
            self.send_update(flow, status, open.reply_to, now, out);
            return true;
        }
        let Some(&thief) = self.handed_over.peek(flow) else {
            let renewed_in_vain = open.request.is_some_and(|r| r.renewal);
            if renewed_in_vain {
                self.refuse_flow(flow, Refusal::Busy, open.reply_to, now, out);
            }
            return renewed_in_vain;
        };
        // The agent could not take it and passed it back, or another one hands it over.
        let passed_back = OfferStage::Compare { load: crate::agent::placement::UNAVAILABLE_LOAD };
        let handed_back =
            open.offer.stage == passed_back && open.offer.other_agent() == Some(thief);
        let handed_on = open.offer.stage == OfferStage::Assign && open.offer.second.is_some();
        if handed_back || handed_on || open.request.is_none() {
            self.handed_over.remove(flow);
            return false;
        }
        let offer = Offer { first: thief, second: None, stage: OfferStage::Assign };
        let request = open.request.map(|r| OpenRequest { renewal: false, ..r });
        let open = self.annotated(&Open { offer, request, ..*open });
        out.send_message(thief, &Message::offer(open), received.packet);
        true
    }

    /// Accepts an open: delivers it if the target has room, else queues it.
    pub(super) fn accept_or_queue(
        &mut self,
        open: &Open<'_>,
        received: &ReceivedPacket<'_>,
        out: &mut impl Transmit,
    ) {
        let busy = self.is_busy(self.slots(), self.policy.queue_ratio);
        let must_wait = self.queue.is_enabled() && (busy || !self.queue.is_empty());
        let Some(request) = open.request.filter(|_| must_wait) else {
            self.accept_flow(open, received, out);
            return;
        };
        let (flow, now) = (received.flow(), received.now);
        metrics::count_retry(Retry::Queued);
        if events::is_sampled(flow.hash64()) {
            log::info!(
                event = events::OPEN_QUEUED, flow:% = flow, priority = request.needs.priority,
                waited_ms = request.waited_ms, queued = self.queue.len(), waiting = self.waiting,
                busy_ms = self.busy_time().as_millis(), work_ms = self.mean_work().as_millis();
                "open queued (sampled)"
            );
        }
        // Only this agent decides on it from now on.
        let own_addr = open.offer.next_agent();
        let offer = Offer { first: own_addr, second: None, stage: OfferStage::Assign };
        let queued = QueuedOpen {
            flow,
            needs: request.needs,
            since: request.since(now),
            renewed_at: request.renewed_at(now),
            work: self.work.mean_of(&request.needs).unwrap_or(DEFAULT_WORK),
            item: Delivery {
                seg: *received.seg,
                packet: received.packet.to_vec(),
                offer,
                max_flows: open.max_flows,
                reply_to: open.reply_to,
                warm_up: open.warm_up,
                any_target: request.any_target,
                handed_over: request.unrenewed_ms > 0,
                heirs: match request.bounded {
                    true => Heirs::Peer(open.offer.other_agent()),
                    false => Heirs::Any,
                },
            },
        };
        let displaced = self.queue.push(queued, now);
        if displaced.as_ref().is_none_or(|d| d.flow != flow) {
            let status = FlowStatus::Queued { handed_over: request.unrenewed_ms > 0 };
            self.send_update(flow, status, open.reply_to, now, out);
        }
        if let Some(d) = displaced {
            self.refuse_flow(d.flow, Refusal::Overload, d.item.reply_to, now, out);
        }
    }

    /// Delivers queued opens as far as the target has room. With an empty queue and free
    /// slots, asks another agent for some of its own.
    pub(super) fn deliver_queued(&mut self, now: Instant, out: &mut impl Transmit) {
        if !self.queue.is_empty() {
            if self.target_lost() {
                self.return_queued(Refusal::NoTarget, now, out, |_| true);
            } else if self.stopping || self.ends_at.is_some() || !self.target_accepts() {
                self.return_queued(Refusal::Draining, now, out, |_| true);
            } else if self.is_set_aside(now) {
                self.return_queued(Refusal::SetAside, now, out, |d| !d.any_target);
            }
        }
        while !self.is_busy(self.slots(), self.policy.queue_ratio) && !self.is_full(now) {
            let Some(queued) = self.queue.pop(now) else { break };
            let service = self.service.clone();
            let open = queued.item.open(&service, request(&queued, now));
            match self.admit(&open, now) {
                Admission::Accept => {}
                // A cold target takes a limited rate.
                Admission::Refuse(Refusal::Cold) => {
                    self.queue.put_back(queued, now);
                    break;
                }
                Admission::Refuse(reason) => {
                    self.refuse_flow(queued.flow, reason, queued.item.reply_to, now, out);
                    continue;
                }
            }
            metrics::record_queue_wait(now.duration_since(queued.since));
            let received =
                ReceivedPacket { seg: &queued.item.seg, packet: &queued.item.packet, now };
            self.accept_flow(&open, &received, out);
        }
        let room = self.slots().saturating_sub(self.waiting);
        let idle = room > 0 && self.queue.is_empty() && self.queue.is_enabled();
        if idle
            && self.takes_opens(now)
            && let Some(peer) = self.peers.take_longest(now)
        {
            out.send_message(peer, &Message::Steal { service: &self.service, room }, &[]);
        }
    }

    fn target_lost(&self) -> bool {
        self.target_ended || self.target.is_none()
    }

    fn target_accepts(&self) -> bool {
        self.target.as_ref().is_some_and(super::Target::accepts_flows)
    }

    /// Whether an open would be accepted now.
    fn takes_opens(&self, now: Instant) -> bool {
        !self.stopping
            && self.ends_at.is_none()
            && self.target_accepts()
            && !self.is_full(now)
            && !self.awaits_registration(now)
            && !self.awaits_record()
    }

    /// Gives queued opens back to their balancers, which offer them to other agents.
    fn return_queued(
        &mut self,
        reason: Refusal,
        now: Instant,
        out: &mut impl Transmit,
        is_returned: impl Fn(&Delivery) -> bool,
    ) {
        for queued in self.queue.drain(now) {
            if is_returned(&queued.item) {
                self.refuse_flow(queued.flow, reason, queued.item.reply_to, now, out);
            } else {
                self.queue.put_back(queued, now);
            }
        }
    }

    /// Accounts for a time in which the process did not run: balancers may have offered the
    /// queued opens elsewhere.
    pub fn resume(&mut self, now: Instant, out: &mut impl Transmit) {
        self.return_queued(Refusal::Busy, now, out, |_| true);
    }

    /// Drops a queued open that another agent has.
    pub(super) fn withdraw(&mut self, flow: Flow) {
        if self.queue.remove(flow).is_some() {
            metrics::count_drop("queued_open_withdrawn");
        }
    }

    /// Refuses queued opens that will not be delivered in time, and forgets those that their
    /// balancers do not renew.
    pub(super) fn expire_queued(&mut self, now: Instant, out: &mut impl Transmit) {
        let (busy, slots) = (self.busy_time(), self.slots());
        for Dropped { open, refusal } in self.queue.expire(busy, slots, now) {
            match refusal {
                Some(reason) => {
                    self.refuse_flow(open.flow, reason, open.item.reply_to, now, out);
                }
                None => {
                    metrics::count_drop("queued_open_not_renewed");
                    log::info!(
                        event = events::OPEN_NOT_RENEWED, flow:% = open.flow,
                        waited_ms = now.duration_since(open.since).as_millis();
                        "balancer does not renew a queued open; dropped"
                    );
                }
            }
        }
    }

    /// Hands queued opens over to an agent whose target has `room` for them. Each leaves the
    /// queue before it is sent, so that only one agent can deliver it.
    pub(super) fn hand_over(
        &mut self,
        to: SocketAddrV4,
        room: u32,
        now: Instant,
        out: &mut impl Transmit,
    ) {
        for _ in 0..room.min(MAX_HANDED_OVER) {
            let Some(queued) = self.queue.pop(now) else { break };
            if queued.item.handed_over || !queued.item.heirs.include(to) {
                self.queue.put_back(queued, now);
                break;
            }
            let own_addr = queued.item.offer.next_agent();
            let offer = Offer { first: to, second: Some(own_addr), stage: OfferStage::Assign };
            let service = self.service.clone();
            let unrenewed = now.saturating_duration_since(queued.renewed_at).as_millis();
            let request = OpenRequest {
                // Less than the lease; at least 1, which tells that it was handed over.
                unrenewed_ms: (unrenewed as u32).max(1),
                ..request(&queued, now)
            };
            let open = Open { offer, ..self.annotated(&queued.item.open(&service, request)) };
            metrics::count_retry(Retry::HandedOver);
            self.handed_over.insert(queued.flow, to, now);
            self.record_hint(queued.flow, offer, now);
            out.send_message(to, &Message::offer(open), &queued.item.packet);
        }
    }
}
