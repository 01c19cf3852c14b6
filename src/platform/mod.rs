//! The users' platform: its names, formats and calls, and nothing that
//! decides.
//!
//! - [`packet`]: the head of the packets that callers and targets exchange.
//! - [`config`]: the operators' configuration as it lies in the store.
//! - [`instances`]: what a target says of itself to its agent.
//! - [`kv`]: the calls of the platform's key-value service; [`server`], the same
//!   calls answered by the store stand-in.
//!
//! Each name of the platform is decoded once, here, into types whose fields
//! say what they hold. The processes' settings need no code here: the
//! template `deploy/settings.jsonc` renders the platform's fields in the
//! product's own format.

pub mod config;
mod connector;
pub mod instances;
pub mod kv;
pub mod packet;
pub mod server;

/// Path at which the platform's routers ask whether a balancer takes flows.
pub const READY_PATH: &str = "/v1/ready";
