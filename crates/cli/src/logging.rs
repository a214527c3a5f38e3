//! The log: standard error, text or JSON.

use std::io::{stderr, IsTerminal};

use tracing_subscriber::EnvFilter;

use crate::settings::{LogFormat, Settings};
use crate::WrongUse;

/// Starts the log; to be called once.
pub fn start(settings: &Settings) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&settings.log_filter)
        .map_err(|error| WrongUse(format!("log filter '{}': {error}", settings.log_filter)))?;
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(stderr);
    let json = match settings.log_format {
        LogFormat::Auto => !stderr().is_terminal(),
        LogFormat::Text => false,
        LogFormat::Json => true,
    };
    if json {
        log.json().init();
    } else {
        log.with_ansi(stderr().is_terminal()).init();
    }
    Ok(())
}
