//! Questions to agents about flows: gathered until the end of a wake-up, so
//! that those to one agent share a datagram, and bounded by a budget.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::Out;
use crate::budget::Bucket;
use crate::flow::Flow;
use crate::protocol::{MAX_QUESTIONS, Message, Query, Question};

#[derive(Debug, Default)]
struct Queue {
    service: Arc<str>,
    questions: VecDeque<Question>,
}

/// Questions that have not gone out yet.
#[derive(Debug)]
pub struct Queries {
    queues: BTreeMap<SocketAddrV4, Queue>,
    /// Agents with questions, those that have waited longest first.
    turns: VecDeque<SocketAddrV4>,
    budget: Bucket,
    /// Datagrams a second.
    rate: f64,
}

impl Queries {
    /// No questions, and at most `rate` datagrams a second, `burst` at once.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { queues: BTreeMap::new(), turns: VecDeque::new(), budget: Bucket::new(burst), rate }
    }

    /// Queries `agent`, beside a target of `service`.
    pub fn put(&mut self, agent: SocketAddrV4, service: &Arc<str>, question: Question) {
        let queue = self.queues.entry(agent).or_default();
        if queue.questions.is_empty() {
            queue.service = service.clone();
            self.turns.push_back(agent);
        }
        if !queue.questions.iter().any(|q| q.flow == question.flow) {
            queue.questions.push_back(question);
        }
    }

    /// Whether `agent` is still to be asked for `flow`.
    #[must_use]
    pub fn waits(&self, agent: SocketAddrV4, flow: Flow) -> bool {
        let queue = self.queues.get(&agent);
        queue.is_some_and(|q| q.questions.iter().any(|x| x.flow == flow))
    }

    /// Sends what the budget allows.
    pub fn send(&mut self, now: Instant, out: &mut impl Out) {
        self.budget.fill(self.rate, now);
        while let Some(agent) = self.turns.front().copied() {
            if !self.budget.take() {
                return;
            }
            self.turns.pop_front();
            let Some(queue) = self.queues.get_mut(&agent) else { continue };
            let part = queue.questions.len().min(MAX_QUESTIONS);
            let questions = queue.questions.drain(..part).collect();
            out.agent(agent, &Message::Query(Query { service: &queue.service, questions }), &[]);
            if queue.questions.is_empty() {
                self.queues.remove(&agent);
            } else {
                self.turns.push_back(agent);
            }
        }
    }

    /// When the budget allows the next question, if one waits.
    #[must_use]
    pub fn next(&self, now: Instant) -> Option<Instant> {
        (!self.turns.is_empty()).then(|| now + self.budget.wait(self.rate))
    }
}
