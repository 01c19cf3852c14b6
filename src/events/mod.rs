//! Numbered log events. Every log line starts with one of these codes; the
//! catalogue with meaning and operator action is `docs/EVENTS.md`.

/// One of this many flows that went well is logged: at 10,000 new flows a
/// second about 40 lines.
pub const SAMPLE: u64 = 256;

/// Whether the flow with this hash is one that is logged although it went
/// well; the same at every process.
#[must_use]
pub const fn sampled(hash: u64) -> bool {
    hash.is_multiple_of(SAMPLE)
}

/// The store stand-in is listening.
pub const STORE_START: &str = "E100";
/// The store stand-in changed its injected faults.
pub const STORE_FAULT: &str = "E101";
/// The store stand-in dropped the answer of a write that took effect.
pub const STORE_LOST: &str = "E102";
/// The store stand-in removed keys of lapsed leases.
pub const STORE_LAPSED: &str = "E103";

/// A balancer started.
pub const BALANCER_START: &str = "E200";
/// A balancer rebuilt its view of profiles and targets.
pub const BALANCER_VIEW: &str = "E201";
/// A balancer could not reach the store and keeps its last view.
pub const BALANCER_STORE: &str = "E202";
/// A balancer dropped a packet it could not place.
pub const BALANCER_DROP: &str = "E203";
/// A balancer stopped.
pub const BALANCER_STOP: &str = "E204";

/// An agent started and announced its target.
pub const AGENT_START: &str = "E300";
/// An agent's lease lapsed and it announced again.
pub const AGENT_LAPSED: &str = "E301";
/// An agent refused a new flow as not run.
pub const AGENT_REFUSE: &str = "E302";
/// An agent learned that its target drains.
pub const AGENT_DRAIN: &str = "E303";
/// An agent closed a flow that stayed silent too long.
pub const AGENT_IDLE: &str = "E304";
/// An agent gave up a flow whose caller acknowledged nothing for too long.
pub const AGENT_SILENT: &str = "E307";
/// An agent is stopping and waits for open flows.
pub const AGENT_STOP: &str = "E305";
/// An agent could not reach the store.
pub const AGENT_STORE: &str = "E306";

/// The fabric stand-in is listening for callers.
pub const FABRIC_START: &str = "E400";
/// The fabric gave up on a flow that no agent accepted.
pub const FABRIC_OPEN: &str = "E401";

/// The fabric gave up on a flow whose agent acknowledged nothing.
pub const FABRIC_SILENT: &str = "E402";
/// The fabric's injected faults changed.
pub const FABRIC_FAULT: &str = "E403";
/// A balancer went out of the fabric's rotation or came back.
pub const FABRIC_ROTATION: &str = "E404";

/// A target stand-in is listening.
pub const TARGET_START: &str = "E500";
/// A target stand-in got a request for another service.
pub const TARGET_FOREIGN: &str = "E501";

/// An operator's change was written.
pub const CTL_WRITE: &str = "E600";
/// An operator's change lost a race to another change.
pub const CTL_CONFLICT: &str = "E601";

/// An invariant of the program did not hold.
pub const VIOLATION: &str = "E999";

/// A process on the platform started.
pub const EDGE_START: &str = "E700";
/// A process on the platform is stopping.
pub const EDGE_STOP: &str = "E701";
/// A process on the platform read its settings again.
pub const EDGE_RELOAD: &str = "E702";
/// A dependency was lost or is back.
pub const EDGE_STORE: &str = "E703";
/// A configuration is in force, or was refused.
pub const EDGE_CONFIG: &str = "E704";
/// The agents that a balancer knows changed.
pub const EDGE_ROSTER: &str = "E705";
/// A target's state changed.
pub const EDGE_TARGET: &str = "E706";
/// A balancer publishes a large configuration in parts, or no longer does.
pub const EDGE_RELAY: &str = "E707";
/// The process did not run for a while.
pub const EDGE_PAUSED: &str = "E708";
/// A new flow was refused; nothing ran.
pub const FLOW_REFUSED: &str = "E710";
/// A flow was reset because its target's process is over.
pub const FLOW_RESET: &str = "E711";
/// A target's report was ignored.
pub const REPORT_IGNORED: &str = "E712";
/// A peer did not hand over its copy of the store's keys.
pub const PEER_SILENT: &str = "E715";
/// Agents did not answer an open in time; it goes to the next.
pub const OPEN_UNANSWERED: &str = "E716";
/// An agent did not take an open; nothing ran.
pub const OPEN_DECLINED: &str = "E717";
/// The agents of a service were asked for a flow's owner.
pub const OWNER_ASKED: &str = "E718";
/// No agent said that it holds a flow, and some did not answer or could not verify it.
pub const OWNER_UNKNOWN: &str = "E724";
/// A packet of a flow that no agent knew was tried at a target.
pub const FLOW_TRIED: &str = "E719";
/// An agent took a flow (one in [`SAMPLE`]).
pub const FLOW_TAKEN: &str = "E720";
/// The metrics could not be served.
pub const METRICS_FAILED: &str = "E723";
/// Lines of one event were folded into this one.
pub const FOLDED: &str = "E721";
/// Lines were dropped because nobody read them.
pub const LINES_DROPPED: &str = "E722";
/// A connection of the HTTP server failed.
pub const LISTEN_FAILED: &str = "E713";
/// A datagram could not be read or sent.
pub const DATAGRAM_FAILED: &str = "E714";

/// Counter totals printed at stop.
pub const COUNTERS: &str = "E900";
