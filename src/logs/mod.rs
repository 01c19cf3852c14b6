//! Logging through `logforth`.
//!
//! The platform's roles write one JSON line a decision to standard output,
//! through a [`Bounded`] queue that never makes them wait. The other roles and
//! tools write text to standard error.
//!
//! `JUJUBEPOST_LOG` holds a filter such as `debug` or
//! `info,jujubepost::agent=debug`. Unless it does, jujubepost logs at `info`
//! and the libraries at `warn`, so that every line of a quiet log is one of
//! the numbered events of `docs/EVENTS.md`.

mod bounded;

use logforth::filter::rustlog::{RustLogFilter, RustLogFilterBuilder};
use logforth::starter_log;

pub use bounded::Bounded;

/// Environment variable that holds the filter.
pub const FILTER_VAR: &str = "JUJUBEPOST_LOG";

/// Filter used when [`FILTER_VAR`] holds none.
const FILTER: &str = "warn,jujubepost=info";

/// Sets up logging once for the process; `service` says that it runs as a
/// service whose log another program reads.
pub fn init(service: bool) {
    if service {
        let out = Bounded::new(std::io::stdout());
        starter_log::builder().dispatch(|d| d.filter(filter()).append(out)).apply();
    } else {
        starter_log::stderr().filter(filter()).apply();
    }
}

fn filter() -> RustLogFilter {
    RustLogFilterBuilder::from_env_or(FILTER_VAR, FILTER).build()
}
