//! A site without a network: the product's own decisions ([`crate::steer`],
//! [`crate::tracker`]) between modelled callers, routers, targets, links and
//! processors, on a virtual clock.
//!
//! One seed gives one run. [`pattern`] names the loads and troubles, and
//! [`play`] plays one of them. `docs/MODEL.md` says what the model holds and
//! what it leaves out.

mod ask;
mod build;
pub mod caller;
pub mod host;
pub mod link;
mod net;
pub mod pattern;
pub mod queue;
mod serve;
pub mod site;
pub mod stats;
pub mod stream;
pub mod target;
mod trouble;
mod wires;
mod world;

pub use pattern::{Change, Pattern};
pub use site::{Behavior, Class, Service, Site, Spread};
pub use stats::{Benefit, End, Stats, Window};
pub use world::play;
