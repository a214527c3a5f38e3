//! The configuration of the program, from lowest to highest precedence: defaults, `RUST_LOG` for the log
//! filter, a TOML file, variables `FIRCROFT_*`, flags.

use std::path::PathBuf;

use anyhow::Context;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::Figment;
use serde::{Deserialize, Serialize};

use crate::UsageError;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text on a terminal, JSON elsewhere.
    #[default]
    Auto,
    /// Lines of text.
    Text,
    /// A JSON object on each line.
    Json,
}

/// The whole configuration.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Format of the log.
    pub log_format: LogFormat,
    /// Filter of the log, in the syntax of `tracing_subscriber::EnvFilter`.
    pub log_filter: String,
    /// Configuration of `fircroft registry`.
    #[serde(default, skip_serializing)]
    pub registry: Option<replica::Config>,
    /// Configuration of `fircroft agent`.
    #[serde(default, skip_serializing)]
    pub agent: Option<agent::Config>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { log_format: LogFormat::Auto, log_filter: "info".to_owned(), registry: None, agent: None }
    }
}

/// The flags that override the configuration.
#[derive(Debug, clap::Args, Serialize)]
pub struct Flags {
    /// Configuration file in TOML, with the keys log_format and log_filter and the tables registry and agent
    #[arg(long, global = true, env = "FIRCROFT_CONFIG", value_name = "FILE")]
    #[serde(skip)]
    config: Option<PathBuf>,
    /// Format of the log on standard error; auto is text on a terminal and JSON elsewhere
    #[arg(long, global = true, value_name = "FORMAT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    log_format: Option<LogFormat>,
    /// Filter of the log, in the syntax of tracing's EnvFilter
    #[arg(long, global = true, value_name = "FILTER")]
    #[serde(skip_serializing_if = "Option::is_none")]
    log_filter: Option<String>,
}

impl Settings {
    /// Loads the configuration from all sources.
    pub fn load(flags: &Flags) -> anyhow::Result<Settings> {
        let mut figment = Figment::from(Serialized::defaults(Settings::default()));
        if let Ok(filter) = std::env::var("RUST_LOG") {
            figment = figment.merge(("log_filter", filter));
        }
        if let Some(file) = &flags.config {
            // Figment treats a missing file as an empty one, so check that the file exists.
            std::fs::metadata(file).with_context(|| file.display().to_string())?;
            figment = figment.merge(Toml::file_exact(file));
        }
        figment
            .merge(Env::prefixed("FIRCROFT_").ignore(&["config"]).split("__"))
            .merge(Serialized::defaults(flags))
            .extract()
            .map_err(|error| UsageError(format!("configuration: {error}")).into())
    }
}
