//! A site without a network: the product's own decisions ([`crate::steering`],
//! [`crate::tracker`]) between modelled callers, routers, targets, links and
//! processors, on a virtual clock.
//!
//! One seed gives one run. [`pattern`] names the loads and troubles, and
//! [`play`] plays one of them. `docs/MODEL.md` says what the model holds and
//! what it leaves out.

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

pub use pattern::{Change, Pattern};
pub use simulation::simulate;
pub use site::{FlowHash, RequestClass, Service, Site, Workload};
pub use stats::{ClassStats, Outcome, Stats, WindowStats};
