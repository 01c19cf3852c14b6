//! Opens that wait at an agent until its target has a free slot: their order, who is
//! refused, and which agents have opens to give away.
//!
//! The load that this answers is more requests than a service has room for, of profiles of
//! different priority. It does no I/O and reads no clock.

mod peers;
mod queue;

use std::time::Duration;

pub use peers::QueuedPeers;
pub use queue::{Dropped, OpenQueue, QueuedOpen};

/// How long an agent keeps a queued open that its balancer does not renew. A balancer offers
/// an open elsewhere only after this time, so that two agents never hold it.
pub const LEASE: Duration = Duration::from_millis(400);

/// Interval at which a balancer renews a queued open. Longer than the time after which callers
/// repeat a SYN, which renews it as well; leaves the answer the time that a busy process takes.
pub const RENEWAL: Duration = Duration::from_millis(250);

/// How long after the lease a balancer offers the open elsewhere: the renewal that began the
/// lease was under way.
pub const LEASE_MARGIN: Duration = Duration::from_millis(50);
