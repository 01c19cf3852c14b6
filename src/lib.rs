//! jujubepost: a layer-4 load balancer whose balancers keep no per-flow state.
//!
//! The crate is one binary with a subcommand per role. Each module holds one
//! role or one shared piece of the data path:
//!
//! - [`settings`]: typed, checked settings read from JSON with comments.
//! - [`wire`]: the packets exchanged by fabric, balancers and agents.
//! - [`stream`]: ordered delivery over datagrams.
//! - [`flow`], [`protocol`], [`steering`], [`tracker`], [`edge`]: the path of packets that
//!   callers and targets exchange end to end, and its roles on the platform.
//! - [`policy`], [`token_bucket`]: the figures that decide under load and trouble, and
//!   the bound on work that would grow with it.
//! - [`platform`]: names, formats and calls of the users' platform.
//! - [`http`]: a small HTTP server on the process's own thread.
//! - [`maglev`]: the consistent-hash lookup table that picks a target.
//! - [`store`]: the key-value service stand-in and its client.
//! - [`balancer`], [`agent`], [`fabric`], [`target`]: the roles.
//! - [`admin`]: what the processes of a site ask each other.
//! - [`ctl`]: the operator's tool.
//! - [`mod@bench`]: the load tool that prints broken flows and imbalance.
//! - [`relay`]: a large configuration handed on between balancers in parts.
//! - [`script`]: scripted changes and faults for trials and tests.
//! - [`model`]: a site on a virtual clock, for decisions under load and trouble.
//! - [`experiment`]: policies compared on the model.
//! - [`trial`]: the platform's form on loopback, with stand-ins for its ends.
//! - [`up`]: runs a whole deployment on one machine.

pub mod admin;
pub mod agent;
pub mod balancer;
pub mod bench;
pub mod ctl;
pub mod edge;
pub mod events;
pub mod experiment;
pub mod fabric;
pub mod flow;
pub mod http;
pub mod logs;
pub mod maglev;
pub mod metrics;
pub mod model;
pub mod platform;
pub mod policy;
pub mod protocol;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod script;
pub mod settings;
pub mod steering;
pub mod store;
pub mod stream;
pub mod target;
pub mod token_bucket;
pub mod tracker;
pub mod trial;
pub mod up;
pub mod wire;
