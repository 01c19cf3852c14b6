//! Queue of owner queries: batches queries to one agent into a datagram and limits the
//! rate of datagrams.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use super::Transmit;
use crate::flow::Flow;
use crate::protocol::{MAX_QUERY_FLOWS, Message, QueriedFlow, Query};
use crate::token_bucket::TokenBucket;

/// Queued queries to one agent.
#[derive(Debug, Default)]
struct AgentQueries {
    service: Arc<str>,
    flows: VecDeque<QueriedFlow>,
}

/// Owner queries that are not sent yet.
#[derive(Debug)]
pub struct QueryQueue {
    queues: BTreeMap<SocketAddrV4, AgentQueries>,
    /// Agents with queued queries, in the order in which they are served.
    round_robin: VecDeque<SocketAddrV4>,
    budget: TokenBucket,
    /// Datagrams sent a second at most.
    rate: f64,
}

impl QueryQueue {
    /// An empty queue that sends at most `rate` datagrams a second and `burst` at once.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self {
            queues: BTreeMap::new(),
            round_robin: VecDeque::new(),
            budget: TokenBucket::new(burst),
            rate,
        }
    }

    /// Queues a query to `agent`, whose target runs `service`, unless it is queued.
    pub fn enqueue(&mut self, agent: SocketAddrV4, service: &Arc<str>, queried: QueriedFlow) {
        let queue = self.queues.entry(agent).or_default();
        if queue.flows.is_empty() {
            queue.service = service.clone();
            self.round_robin.push_back(agent);
        }
        if !queue.flows.iter().any(|q| q.flow == queried.flow) {
            queue.flows.push_back(queried);
        }
    }

    /// Whether a query to `agent` about `flow` is queued.
    #[must_use]
    pub fn is_queued(&self, agent: SocketAddrV4, flow: Flow) -> bool {
        let queue = self.queues.get(&agent);
        queue.is_some_and(|q| q.flows.iter().any(|x| x.flow == flow))
    }

    /// Sends queued queries as far as the rate limit allows.
    pub fn send_queued(&mut self, now: Instant, out: &mut impl Transmit) {
        self.budget.refill(self.rate, now);
        while let Some(agent) = self.round_robin.front().copied() {
            if !self.budget.try_take() {
                return;
            }
            self.round_robin.pop_front();
            let Some(queue) = self.queues.get_mut(&agent) else { continue };
            let count = queue.flows.len().min(MAX_QUERY_FLOWS);
            let flows = queue.flows.drain(..count).collect();
            out.send_to_agent(
                agent,
                &Message::Query(Query { service: &queue.service, flows }),
                &[],
            );
            if queue.flows.is_empty() {
                self.queues.remove(&agent);
            } else {
                self.round_robin.push_back(agent);
            }
        }
    }

    /// When the next queued query may be sent; none if the queue is empty.
    #[must_use]
    pub fn next_send(&self, now: Instant) -> Option<Instant> {
        (!self.round_robin.is_empty()).then(|| now + self.budget.time_to_token(self.rate))
    }
}
