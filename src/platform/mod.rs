//! Names, formats and calls of the platform that jujubepost runs on, decoded
//! into the crate's own types.
//!
//! - [`packet`]: packets between callers and targets.
//! - [`config`]: the operators' configuration.
//! - [`instances`]: heartbeats and deregistration of targets.
//! - [`kv`]: client of the key-value service; [`server`]: the same calls in the
//!   in-memory store.

pub mod config;
mod connector;
pub mod instances;
pub mod kv;
pub mod packet;
pub mod server;

/// Path of the balancers' readiness check.
pub const READY_PATH: &str = "/v1/ready";
