//! jujubepost: a layer-4 load balancer whose balancers keep no per-flow state.
//!
//! Balancers on entry VMs forward packets to agents beside the targets, and the
//! agents own the flows. One binary has a subcommand for each role.
//!
//! Roles and their packet path on the platform:
//!
//! - [`edge`]: the balancer and the agent as processes on the platform.
//! - [`flow`]: flow identifiers, packet headers and the flow table.
//! - [`protocol`]: messages between balancers and agents.
//! - [`steering`], [`tracker`]: the forwarding decisions of a balancer, and the
//!   flow tracking of an agent, without I/O.
//! - [`outlier`]: detection of targets that fail requests while they report to be well.
//! - [`policy`], [`token_bucket`]: parameters of those decisions, and a rate limiter.
//! - [`relay`]: distribution of a large configuration in parts.
//! - [`platform`]: addresses, formats and calls of the platform.
//!
//! Sites with stand-ins for the fabric, the store and the targets:
//!
//! - [`balancer`], [`agent`], [`fabric`], [`target`]: the roles.
//! - [`wire`], [`stream`]: their packets, and ordered delivery over datagrams.
//! - [`admission`], [`load`]: the queue of opens at an agent, and the work of its target.
//! - [`maglev`]: the consistent-hash table that maps flows to targets.
//!
//! Shared modules:
//!
//! - [`settings`], [`record`]: settings files, and records in the store.
//! - [`store`]: client and stand-in of the key-value service.
//! - [`admin`], [`ctl`]: calls between the processes of a site, and operator commands.
//! - [`http`]: the HTTP server for probes, reports and metrics.
//! - [`events`], [`logs`], [`metrics`]: event codes, log output, and instruments.
//! - [`refusal`]: the HTTP response to a refused caller.
//! - [`request`]: what callers need of a profile's requests.
//!
//! Tools:
//!
//! - [`mod@bench`]: the load generator.
//! - [`script`]: scripted changes and faults.
//! - [`up`], [`trial`]: whole sites, and the platform roles, on one machine.
//! - [`model`], [`experiment`]: a discrete-event simulation, and policies compared in it.

pub mod admin;
pub mod admission;
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
pub mod load;
pub mod logs;
pub mod maglev;
pub mod metrics;
pub mod model;
pub mod outlier;
pub mod platform;
pub mod policy;
pub mod protocol;
pub mod record;
pub mod refusal;
pub mod relay;
pub mod request;
pub mod route_history;
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
