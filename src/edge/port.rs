//! The target's port, tried to learn whether its process runs.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use crate::events;
use crate::hold::{Holder, Out};

/// How long the target's port may take to answer; it is on the same VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// What trying the target's port showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PortState {
    Open,
    Closed,
    Silent,
}

/// Tries the target's port. Only a refusal proves that its process is over.
pub(super) async fn probe(target: SocketAddrV4) -> PortState {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await {
        Ok(Ok(_)) => PortState::Open,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => PortState::Closed,
        Ok(Err(e)) => {
            log::warn!(event = events::EDGE_TARGET, target:% = target, error:% = e; "target's port not tried");
            PortState::Silent
        }
        Err(_) => PortState::Silent,
    }
}

/// What the port of the target showed is noted.
pub(super) fn apply_state(
    holder: &mut Holder,
    state: PortState,
    target: SocketAddrV4,
    now: Instant,
    out: &mut impl Out,
) {
    match state {
        PortState::Closed => {
            log::warn!(
                event = events::EDGE_TARGET, target:% = target, state = "crashed",
                flows = holder.flows();
                "target's port is closed"
            );
            holder.crashed(out);
        }
        PortState::Open | PortState::Silent => {
            log::info!(
                event = events::EDGE_TARGET, target:% = target, state = "silent",
                port:? = state, waiting = holder.waiting();
                "target does not answer"
            );
            holder.slow(now);
        }
    }
}
