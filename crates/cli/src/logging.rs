//! The log of the program, on standard error as text or JSON.

use std::io::{stderr, IsTerminal};

use tracing_subscriber::EnvFilter;

use crate::settings::{LogFormat, Settings};
use crate::UsageError;

/// Installs the global log subscriber; must be called only once.
pub fn start(settings: &Settings) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&settings.log_filter)
        .map_err(|error| UsageError(format!("log filter '{}': {error}", settings.log_filter)))?;
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(stderr);
    let is_json = match settings.log_format {
        LogFormat::Auto => !stderr().is_terminal(),
        LogFormat::Text => false,
        LogFormat::Json => true,
    };
    if is_json {
        subscriber.json().init();
    } else {
        subscriber.with_ansi(stderr().is_terminal()).init();
    }
    Ok(())
}
