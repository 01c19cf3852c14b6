//! Probes the target's TCP port to learn whether its process runs.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use crate::events;
use crate::tracker::{FlowTracker, Transmit};

/// Timeout of a connection attempt. The target is on the same VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PortState {
    Open,
    Closed,
    /// The attempt timed out or failed, so the process may run or not.
    Silent,
}

/// Connects to `target`. Only a refused connection proves that no process runs.
pub(super) async fn probe(target: SocketAddrV4) -> PortState {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await {
        Ok(Ok(_)) => PortState::Open,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => PortState::Closed,
        Ok(Err(e)) => {
            log::warn!(
                event = events::EDGE_TARGET, target:% = target, error:% = e;
                "probe of the target's port failed"
            );
            PortState::Silent
        }
        Err(_) => PortState::Silent,
    }
}

/// Applies the result of a probe to `tracker`.
pub(super) fn apply_probe(
    tracker: &mut FlowTracker,
    state: PortState,
    target: SocketAddrV4,
    now: Instant,
    out: &mut impl Transmit,
) {
    match state {
        PortState::Closed => {
            log::warn!(
                event = events::EDGE_TARGET, target:% = target, state = "crashed",
                flows = tracker.flow_count();
                "target's port is closed; its process has ended"
            );
            tracker.mark_target_ended(out);
        }
        PortState::Open | PortState::Silent => {
            log::info!(
                event = events::EDGE_TARGET, target:% = target, state = "silent",
                port:? = state, waiting = tracker.waiting_count();
                "target does not respond, but its process may still run"
            );
            tracker.defer_probe(now);
        }
    }
}
