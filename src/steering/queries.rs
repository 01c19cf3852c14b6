//! Questions to agents about flows: gathered until the end of a wake-up, so
//! that those to one agent share a datagram, and bounded by a budget.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::Transmit;
use crate::flow::Flow;
use crate::protocol::{MAX_QUESTIONS, Message, Query, Question};
use crate::token_bucket::TokenBucket;

#[derive(Debug, Default)]
struct AgentQueries {
    service: Arc<str>,
    questions: VecDeque<Question>,
}

/// Questions that have not gone out yet.
#[derive(Debug)]
pub struct QueryQueue {
    queues: BTreeMap<SocketAddrV4, AgentQueries>,
    /// Agents with questions, those that have waited longest first.
    round_robin: VecDeque<SocketAddrV4>,
    budget: TokenBucket,
    /// Datagrams a second.
    rate: f64,
}

impl QueryQueue {
    /// No questions, and at most `rate` datagrams a second, `burst` at once.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self {
            queues: BTreeMap::new(),
            round_robin: VecDeque::new(),
            budget: TokenBucket::new(burst),
            rate,
        }
    }

    /// QueryQueue `agent`, beside a target of `service`.
    pub fn enqueue(&mut self, agent: SocketAddrV4, service: &Arc<str>, question: Question) {
        let queue = self.queues.entry(agent).or_default();
        if queue.questions.is_empty() {
            queue.service = service.clone();
            self.round_robin.push_back(agent);
        }
        if !queue.questions.iter().any(|q| q.flow == question.flow) {
            queue.questions.push_back(question);
        }
    }

    /// Whether `agent` is still to be asked for `flow`.
    #[must_use]
    pub fn is_queued(&self, agent: SocketAddrV4, flow: Flow) -> bool {
        let queue = self.queues.get(&agent);
        queue.is_some_and(|q| q.questions.iter().any(|x| x.flow == flow))
    }

    /// Sends what the budget allows.
    pub fn send_queued(&mut self, now: Instant, out: &mut impl Transmit) {
        self.budget.refill(self.rate, now);
        while let Some(agent) = self.round_robin.front().copied() {
            if !self.budget.try_take() {
                return;
            }
            self.round_robin.pop_front();
            let Some(queue) = self.queues.get_mut(&agent) else { continue };
            let part = queue.questions.len().min(MAX_QUESTIONS);
            let questions = queue.questions.drain(..part).collect();
            out.send_to_agent(
                agent,
                &Message::Query(Query { service: &queue.service, questions }),
                &[],
            );
            if queue.questions.is_empty() {
                self.queues.remove(&agent);
            } else {
                self.round_robin.push_back(agent);
            }
        }
    }

    /// When the budget allows the next question, if one waits.
    #[must_use]
    pub fn next_send(&self, now: Instant) -> Option<Instant> {
        (!self.round_robin.is_empty()).then(|| now + self.budget.time_to_token(self.rate))
    }
}
