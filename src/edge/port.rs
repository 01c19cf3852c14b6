//! The target's port, tried to learn whether its process runs.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use crate::events;
use crate::tracker::{FlowTracker, Transmit};

/// How long the target's port may take to answer; it is on the same VM.
const PROBE: Duration = Duration::from_millis(300);

/// What trying the target's port showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Port {
    Open,
    Closed,
    Silent,
}

/// Tries the target's port. Only a refusal proves that its process is over.
pub(super) async fn probe(target: SocketAddrV4) -> Port {
    match tokio::time::timeout(PROBE, TcpStream::connect(target)).await {
        Ok(Ok(_)) => Port::Open,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => Port::Closed,
        Ok(Err(e)) => {
            log::warn!(event = events::EDGE_TARGET, target:% = target, error:% = e; "target's port not tried");
            Port::Silent
        }
        Err(_) => Port::Silent,
    }
}

/// What the port of the target showed is noted.
pub(super) fn note(
    holder: &mut FlowTracker,
    found: Port,
    target: SocketAddrV4,
    now: Instant,
    out: &mut impl Transmit,
) {
    match found {
        Port::Closed => {
            log::warn!(
                event = events::EDGE_TARGET, target:% = target, state = "crashed",
                flows = holder.flow_count();
                "target's port is closed"
            );
            holder.mark_target_ended(out);
        }
        Port::Open | Port::Silent => {
            log::info!(
                event = events::EDGE_TARGET, target:% = target, state = "silent",
                port:? = found, waiting = holder.waiting_count();
                "target does not answer"
            );
            holder.defer_probe(now);
        }
    }
}
