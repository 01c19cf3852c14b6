//! Codes of log events. A log line carries one of these codes, and
//! `docs/EVENTS.md` lists what each means and what an operator does about it.

/// One in this many accepted flows is logged; a larger value logs fewer.
pub const FLOW_SAMPLE_INTERVAL: u64 = 256;

/// Whether the flow with this hash is logged when it is accepted. The choice
/// depends on the hash alone, so every process logs the same flows.
#[must_use]
pub const fn is_sampled(hash: u64) -> bool {
    hash.is_multiple_of(FLOW_SAMPLE_INTERVAL)
}

/// The store stand-in is listening.
pub const STORE_START: &str = "E100";
/// The injected faults of the store stand-in changed.
pub const STORE_FAULTS_SET: &str = "E101";
/// The store stand-in applied a write and dropped its response.
pub const STORE_RESPONSE_DROPPED: &str = "E102";
/// The store stand-in removed the keys of expired leases.
pub const STORE_LEASES_EXPIRED: &str = "E103";

/// A balancer started.
pub const BALANCER_START: &str = "E200";
/// A balancer rebuilt its table of profiles and targets.
pub const BALANCER_VIEW_REBUILT: &str = "E201";
/// A balancer could not reach the store and keeps its last table.
pub const BALANCER_STORE_UNREACHABLE: &str = "E202";
/// A balancer dropped a packet that it could not forward.
pub const BALANCER_DROP: &str = "E203";
/// A balancer stopped.
pub const BALANCER_STOP: &str = "E204";

/// An agent started and registered its target.
pub const AGENT_START: &str = "E300";
/// An agent's lease expired and it registered its target again.
pub const AGENT_LEASE_EXPIRED: &str = "E301";
/// An agent refused a new flow before the target received any of it.
pub const AGENT_FLOW_REFUSED: &str = "E302";
/// A target started to drain, or is back in service.
pub const AGENT_DRAIN: &str = "E303";
/// An agent closed a flow that was idle for too long.
pub const AGENT_IDLE_TIMEOUT: &str = "E304";
/// An agent gave up a flow whose caller acknowledged nothing for too long.
pub const AGENT_ACK_TIMEOUT: &str = "E307";
/// An agent is stopping and waits for its open flows to end.
pub const AGENT_STOP: &str = "E305";
/// An agent could not reach the store.
pub const AGENT_STORE_UNREACHABLE: &str = "E306";

/// The fabric stand-in is listening for callers.
pub const FABRIC_START: &str = "E400";
/// The fabric gave up a flow that no agent accepted in time.
pub const FABRIC_OPEN_TIMEOUT: &str = "E401";

/// The fabric gave up a flow whose agent acknowledged nothing for too long.
pub const FABRIC_ACK_TIMEOUT: &str = "E402";
/// The injected faults of the fabric changed.
pub const FABRIC_FAULTS_SET: &str = "E403";
/// A balancer left or rejoined the set to which the fabric sends packets.
pub const FABRIC_ROTATION: &str = "E404";

/// A target stand-in is listening.
pub const TARGET_START: &str = "E500";
/// A target stand-in received a request for another service.
pub const TARGET_WRONG_SERVICE: &str = "E501";

/// An operator's change was written.
pub const CTL_WRITTEN: &str = "E600";
/// An operator's change was rejected because another came first.
pub const CTL_CONFLICT: &str = "E601";

/// An internal invariant was violated.
pub const INVARIANT_VIOLATED: &str = "E999";

/// A platform process started.
pub const EDGE_START: &str = "E700";
/// A platform process is stopping.
pub const EDGE_STOP: &str = "E701";
/// A platform process reloaded its settings.
pub const EDGE_RELOAD: &str = "E702";
/// A store call failed, or the store is reachable again.
pub const EDGE_STORE: &str = "E703";
/// A configuration was applied or rejected.
pub const EDGE_CONFIG: &str = "E704";
/// A balancer's list of registered agents changed.
pub const EDGE_ROSTER: &str = "E705";
/// A target's state changed.
pub const EDGE_TARGET: &str = "E706";
/// A balancer started or stopped publishing the configuration in parts.
pub const EDGE_RELAY: &str = "E707";
/// A data centre's evacuation began or ended, as known to this process.
pub const EVACUATION: &str = "E709";
/// A balancer started or stopped moving new flows of a service to other data centres.
pub const ZONE_SHARE: &str = "E735";
/// The process was not scheduled for a while.
pub const EDGE_PAUSED: &str = "E708";
/// A new flow was refused before a target received any of it.
pub const FLOW_REFUSED: &str = "E710";
/// A flow was reset because its target's process ended.
pub const FLOW_RESET: &str = "E711";
/// A target's report was ignored.
pub const REPORT_IGNORED: &str = "E712";
/// A peer's snapshot of the store's keys could not be fetched.
pub const PEER_SNAPSHOT_FAILED: &str = "E715";
/// A balancer became, or ceased to be, a distributor of the store's changes.
pub const DISTRIBUTOR_ROLE: &str = "E725";
/// A distributor did not answer; its subscriber watches the store itself.
pub const DISTRIBUTOR_LOST: &str = "E726";
/// The store was restored from an older copy.
pub const STORE_RESTORED: &str = "E727";
/// No agent answered an open in time; it is offered to the next.
pub const OPEN_UNANSWERED: &str = "E716";
/// An agent refused an open; its target received nothing.
pub const OPEN_REFUSED: &str = "E717";
/// The agents of a service were queried for the owner of a flow.
pub const OWNER_QUERIED: &str = "E718";
/// No agent claimed a flow, and some did not answer or could not verify it.
pub const OWNER_UNKNOWN: &str = "E724";
/// A packet of a flow that no agent owns was tried at a target.
pub const FLOW_TRIED: &str = "E719";
/// An agent accepted a flow (one in [`FLOW_SAMPLE_INTERVAL`]).
pub const FLOW_ACCEPTED: &str = "E720";
/// The metrics could not be exported.
pub const METRICS_FAILED: &str = "E723";
/// Lines of one event were suppressed by the rate limit.
pub const LINES_SUPPRESSED: &str = "E721";
/// Log lines were dropped because the queue was full.
pub const LINES_DROPPED: &str = "E722";
/// The HTTP server could not accept or serve a connection.
pub const HTTP_FAILED: &str = "E713";
/// A datagram could not be received or sent.
pub const DATAGRAM_FAILED: &str = "E714";

/// Counter totals, logged at shutdown.
pub const COUNTERS: &str = "E900";
