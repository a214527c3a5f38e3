//! The program's own configuration: a TOML file, then `FIRCROFT_*`, then flags.

use anyhow::Context;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::Figment;
use serde::{Deserialize, Serialize};

use crate::args::Args;
use crate::WrongUse;

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text on a terminal, JSON elsewhere.
    #[default]
    Auto,
    /// Lines to read.
    Text,
    /// An object a line.
    Json,
}

/// All that can be configured.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// How the log is written.
    pub log_format: LogFormat,
    /// What is logged.
    pub log_filter: String,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { log_format: LogFormat::Auto, log_filter: "info".to_owned() }
    }
}

/// The flags that were given.
#[derive(Serialize)]
struct Flags<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    log_format: Option<LogFormat>,
    #[serde(skip_serializing_if = "Option::is_none")]
    log_filter: Option<&'a str>,
}

impl Settings {
    /// Reads all places; a later one counts.
    pub fn load(args: &Args) -> anyhow::Result<Settings> {
        let mut figment = Figment::from(Serialized::defaults(Settings::default()));
        if let Ok(filter) = std::env::var("RUST_LOG") {
            figment = figment.merge(("log_filter", filter));
        }
        if let Some(file) = &args.config {
            // Figment takes a file that is not there for an empty one.
            std::fs::metadata(file).with_context(|| file.display().to_string())?;
            figment = figment.merge(Toml::file_exact(file));
        }
        figment
            .merge(Env::prefixed("FIRCROFT_").ignore(&["config"]))
            .merge(Serialized::defaults(Flags {
                log_format: args.log_format,
                log_filter: args.log_filter.as_deref(),
            }))
            .extract()
            .map_err(|error| WrongUse(format!("configuration: {error}")).into())
    }
}
