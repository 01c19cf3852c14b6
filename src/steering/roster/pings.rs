//! Failure detection: agents that do not answer, and the pings to them.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::{Agent, Roster};
use crate::agent::placement::UNAVAILABLE_LOAD;
use crate::protocol::Message;
use crate::steering::Transmit;

/// Interval at which pings held back by the rate limit are retried. Each retry scans
/// all agents.
pub(super) const PING_RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Agent {
    pub(super) fn is_suspected(&self) -> bool {
        self.unlisted_since.is_some() || self.silent_since.is_some()
    }

    /// Whether it stays in the roster: it is listed, or had less than `timeout` to answer
    /// since it became unlisted.
    pub(super) fn is_retained(&self, timeout: Duration, now: Instant) -> bool {
        let since = |at: Instant| at.max(self.last_heard).max(self.deferred_until.unwrap_or(at));
        self.unlisted_since.is_none_or(|at| now.duration_since(since(at)) < timeout)
    }

    /// Restarts its time to answer at `now` because of the rate limit, unless a ping is
    /// pending.
    pub(super) fn defer(&mut self, now: Instant) {
        if !self.ping_pending {
            self.deferred_until = Some(now);
        }
    }

    /// Whether it answers and did not report within `unable_ttl` that it cannot accept
    /// flows.
    pub(super) fn accepts_flows(&self, unable_ttl: Duration, now: Instant) -> bool {
        let unable =
            self.load == UNAVAILABLE_LOAD && now.duration_since(self.last_heard) < unable_ttl;
        self.silent_since.is_none() && !unable
    }
}

impl Roster {
    /// Accounts for a time `paused` in which the process did not run: it does not count
    /// as silence of agents.
    pub fn resume(&mut self, paused: Duration) {
        for a in self.agents.values_mut() {
            for since in [&mut a.silent_since, &mut a.unlisted_since, &mut a.deferred_until] {
                *since = since.map(|at| at + paused);
            }
        }
    }

    /// Whether the agent is known and not silent.
    #[must_use]
    pub fn is_responsive(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_some_and(|a| a.silent_since.is_none())
    }

    /// Whether there are agents and none answers: the balancer is probably partitioned
    /// from them.
    #[must_use]
    pub fn all_silent(&self) -> bool {
        !self.agents.is_empty() && self.agents.values().all(|a| a.silent_since.is_some())
    }

    /// Whether flows at the agent's target are lost: the agent is unknown, was silent for
    /// `dead_after`, or became silent after it reported that its target had ended. Without
    /// the last, a VM that stops with its target would delay the outcome for every lost flow
    /// of the service.
    #[must_use]
    pub fn is_dead(&self, addr: SocketAddrV4, now: Instant) -> bool {
        self.ended_and_silent(addr) || self.is_silent_for(addr, self.suspicion.dead_after, now)
    }

    /// Whether the agent is unknown, or is silent and last reported that its target had
    /// ended.
    #[must_use]
    pub fn ended_and_silent(&self, addr: SocketAddrV4) -> bool {
        self.agents.get(&addr).is_none_or(|a| a.target_ended && a.silent_since.is_some())
    }

    /// Whether the agent is unknown or has been silent for at least `span`.
    #[must_use]
    pub fn is_silent_for(&self, addr: SocketAddrV4, span: Duration, now: Instant) -> bool {
        let silent = self.agents.get(&addr).map(|a| a.silent_since);
        silent.is_none_or(|s| s.is_some_and(|at| now.duration_since(at) >= span))
    }

    /// Whether the agent left together with its target: it is silent, and is unlisted or
    /// reported that its target had ended. An agent that restarts stays listed.
    #[must_use]
    pub fn has_left(&self, addr: SocketAddrV4) -> bool {
        let unlisted = self.agents.get(&addr).is_none_or(|a| a.unlisted_since.is_some());
        self.ended_and_silent(addr) || unlisted && !self.is_responsive(addr)
    }

    /// Records that an agent did not answer in time.
    pub fn record_timeout(&mut self, addr: SocketAddrV4, now: Instant) {
        if let Some(a) = self.agents.get_mut(&addr)
            && now.duration_since(a.last_heard) >= self.suspicion.silence_grace
        {
            a.silent_since.get_or_insert(now);
            self.next_ping_at.get_or_insert(now);
        }
    }

    /// When [`Roster::ping_suspects`] must next be called.
    #[must_use]
    pub const fn next_ping(&self) -> Option<Instant> {
        self.next_ping_at
    }

    /// Pings suspected agents, the least recently pinged first, as far as the rate limit
    /// allows. Removes unlisted agents that did not answer in time.
    pub fn ping_suspects(&mut self, now: Instant, out: &mut impl Transmit) {
        if self.next_ping_at.is_none_or(|at| at > now) {
            return;
        }
        let expired: Vec<SocketAddrV4> = self
            .agents
            .iter()
            .filter(|(_, a)| !a.is_retained(self.suspicion.unlisted_timeout, now))
            .map(|(addr, _)| *addr)
            .collect();
        for addr in expired {
            self.remove(addr);
        }
        self.ping_budget.refill(self.suspicion.ping_rate.into(), now);
        let interval = self.suspicion.ping_interval;
        let due = |a: &Agent| a.last_ping.is_none_or(|at| now.duration_since(at) >= interval);
        let mut waiting: Vec<_> =
            self.agents.iter_mut().filter(|(_, a)| a.is_suspected() && due(a)).collect();
        waiting.sort_by_key(|(_, a)| a.last_ping);
        let mut throttled = false;
        for (addr, a) in waiting {
            if throttled || !self.ping_budget.try_take() {
                throttled = true;
                a.defer(now);
                continue;
            }
            if a.deferred_until.is_some() {
                a.defer(now);
            }
            a.last_ping = Some(now);
            a.ping_pending = true;
            out.send_to_agent(*addr, &Message::Ping { listed: a.unlisted_since.is_none() }, &[]);
        }
        let suspected = self.agents.values().filter(|a| a.is_suspected());
        let next = suspected.filter_map(|a| a.last_ping).min().map(|at| at + interval);
        self.next_ping_at = if throttled { Some(now + PING_RETRY_INTERVAL) } else { next };
    }
}
