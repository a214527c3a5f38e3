//! The program's own configuration: a TOML file, then `FIRCROFT_*`, then flags.

use std::path::PathBuf;

use anyhow::Context;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::Figment;
use serde::{Deserialize, Serialize};

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
    /// A replica's own.
    #[serde(default, skip_serializing)]
    pub registry: Option<replica::Config>,
    /// An agent's own.
    #[serde(default, skip_serializing)]
    pub agent: Option<agent::Config>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { log_format: LogFormat::Auto, log_filter: "info".to_owned(), registry: None, agent: None }
    }
}

/// The flags that set them.
#[derive(Debug, clap::Args, Serialize)]
pub struct Flags {
    /// Configuration file in TOML, with the keys log_format and log_filter and the tables registry and agent
    #[arg(long, global = true, env = "FIRCROFT_CONFIG", value_name = "FILE")]
    #[serde(skip)]
    config: Option<PathBuf>,
    /// Form of the log on standard error: auto is text on a terminal and JSON elsewhere
    #[arg(long, global = true, value_name = "FORMAT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    log_format: Option<LogFormat>,
    /// What is logged, as tracing's filters write it
    #[arg(long, global = true, value_name = "FILTER")]
    #[serde(skip_serializing_if = "Option::is_none")]
    log_filter: Option<String>,
}

impl Settings {
    /// Reads all places; a later one counts.
    pub fn load(flags: &Flags) -> anyhow::Result<Settings> {
        let mut figment = Figment::from(Serialized::defaults(Settings::default()));
        if let Ok(filter) = std::env::var("RUST_LOG") {
            figment = figment.merge(("log_filter", filter));
        }
        if let Some(file) = &flags.config {
            // Figment takes a file that is not there for an empty one.
            std::fs::metadata(file).with_context(|| file.display().to_string())?;
            figment = figment.merge(Toml::file_exact(file));
        }
        figment
            .merge(Env::prefixed("FIRCROFT_").ignore(&["config"]).split("__"))
            .merge(Serialized::defaults(flags))
            .extract()
            .map_err(|error| WrongUse(format!("configuration: {error}")).into())
    }
}
