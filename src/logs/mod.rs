//! Logging through `logforth`: text lines on standard error.
//!
//! The level is `info` unless `JUJUBEPOST_LOG` names another one (`error`,
//! `warn`, `info`, `debug`, `trace`).

use logforth::record::{Level, LevelFilter};

/// Environment variable that sets the log level.
pub const LEVEL_VAR: &str = "JUJUBEPOST_LOG";

/// Sets up logging once for the process.
pub fn init() {
    let level = match std::env::var(LEVEL_VAR).as_deref() {
        Ok("error") => Level::Error,
        Ok("warn") => Level::Warn,
        Ok("debug") => Level::Debug,
        Ok("trace") => Level::Trace,
        _ => Level::Info,
    };
    logforth::starter_log::stderr().filter(LevelFilter::MoreSevereEqual(level)).apply();
}
