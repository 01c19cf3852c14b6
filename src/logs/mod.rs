//! Logging through `logforth`: text lines on standard error.
//!
//! `JUJUBEPOST_LOG` holds a filter such as `debug` or
//! `info,jujubepost::agent=debug`. Unless it does, jujubepost logs at `info`
//! and the libraries at `warn`, so that every line of a quiet log is one of
//! the numbered events of `docs/EVENTS.md`.

use logforth::filter::rustlog::RustLogFilterBuilder;

/// Environment variable that holds the filter.
pub const FILTER_VAR: &str = "JUJUBEPOST_LOG";

/// Filter used when [`FILTER_VAR`] holds none.
const FILTER: &str = "warn,jujubepost=info";

/// Sets up logging once for the process.
///
/// `service` sends the lines to standard output instead.
pub fn init(service: bool) {
    let filter = RustLogFilterBuilder::from_env_or(FILTER_VAR, FILTER).build();
    if service {
        logforth::starter_log::stdout().filter(filter).apply();
    } else {
        logforth::starter_log::stderr().filter(filter).apply();
    }
}
