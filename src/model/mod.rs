//! Discrete-event simulation of a site: the real [`crate::steering`] and
//! [`crate::tracker`] logic between simulated callers, routers, targets, links and
//! CPUs, on a virtual clock.
//!
//! A run depends only on the [`Pattern`], the policy and the seed; see
//! [`simulate`]. `docs/MODEL.md` lists what is simulated and what is left out.

pub mod caller;
mod caller_events;
pub mod event_queue;
pub mod host;
mod lifecycle;
pub mod link;
mod network;
mod outbox;
pub mod pattern;
pub mod sender;
mod setup;
mod simulation;
pub mod site;
pub mod stats;
pub mod target;
mod target_events;

pub use pattern::{Change, FailureMode, Pattern};
pub use simulation::simulate;
pub use site::{FlowHash, RequestClass, Service, Site, Workload};
pub use stats::{ClassStats, Outcome, Stats, TargetStats, WindowStats};
