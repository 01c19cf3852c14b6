//! Log output, through `logforth`. Services write JSON lines to standard output
//! through a [`QueueAppender`]; other subcommands write text to standard error.
//!
//! `JUJUBEPOST_LOG` holds a filter such as `debug` or
//! `info,jujubepost::agent=debug`. By default, jujubepost logs at `info` and its
//! dependencies at `warn`.

mod appender;

use logforth::filter::rustlog::{RustLogFilter, RustLogFilterBuilder};
use logforth::starter_log;

pub use appender::QueueAppender;

/// Environment variable with the log filter.
pub const FILTER_VAR: &str = "JUJUBEPOST_LOG";

/// Filter in use when [`FILTER_VAR`] is not set.
const DEFAULT_FILTER: &str = "warn,jujubepost=info";

/// Installs the process's logger; call it once. A service (`is_service`) logs
/// JSON lines, for a log collector.
pub fn init(is_service: bool) {
    if is_service {
        let appender = QueueAppender::new(std::io::stdout());
        starter_log::builder().dispatch(|d| d.filter(filter()).append(appender)).apply();
    } else {
        starter_log::stderr().filter(filter()).apply();
    }
}

fn filter() -> RustLogFilter {
    RustLogFilterBuilder::from_env_or(FILTER_VAR, DEFAULT_FILTER).build()
}
