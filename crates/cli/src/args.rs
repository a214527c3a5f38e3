//! The command line.

use std::path::PathBuf;

use clap::{ArgGroup, Parser, Subcommand};
use clap_complete::Shell;

use crate::settings::Flags;

const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " (commit ", env!("VERGEN_GIT_SHA"), ")");

/// Checks and shows what the nodes of fircroft work with.
#[derive(Debug, Parser)]
#[command(
    name = "fircroft",
    version = VERSION,
    after_help = "Exit codes: 0 done, 1 failed, 2 wrong use or an input that is wrong.\n\n\
        Configuration: a TOML file (--config), then variables FIRCROFT_LOG_FORMAT and FIRCROFT_LOG_FILTER, \
        then flags; a later one counts. RUST_LOG stands for the filter where none of them sets it."
)]
pub struct Args {
    #[command(flatten)]
    pub settings: Flags,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check an input and say all that is wrong with it
    #[command(subcommand)]
    Check(Check),
    /// Show who owns the slots of the Maglev table, and what a change of servers would move
    Table(Table),
    /// Add up the counts in nodes' logs: where requests, attempts, connections and refusals went
    Fleet(Fleet),
    /// Run a replica of the registry until it is stopped
    #[command(
        after_help = "Its configuration is the table [registry] of the file; deploy/registry.toml is one of a group \
        of one.\n\nExample:\n  fircroft registry --config deploy/registry.toml"
    )]
    Registry,
    /// Run the agent of one machine until it is stopped
    #[command(
        after_help = "Its configuration is the table [agent] of the file; deploy/agent.toml is one.\n\n\
        Example:\n  fircroft agent --config deploy/agent.toml"
    )]
    Agent,
    /// Print a completion script for a shell
    #[command(
        after_help = "Example:\n  fircroft completions bash > ~/.local/share/bash-completion/completions/fircroft"
    )]
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub enum Check {
    /// Read a node's config.json as the node does and say all that is wrong with it
    Config(CheckConfig),
}

#[derive(Debug, clap::Args)]
#[command(
    after_help = "Each line names a place in the file, what was expected there and what stands there. 'error': a \
    node does not start with it. 'warning': a node starts and goes on without it.\n\n\
    Examples:\n  fircroft check config examples/config.json\n  BALANCER_LISTEN=127.0.0.1:5000 fircroft check config \
    --env config.json\n\nExit code 2 if anything is wrong, 1 if the file can't be read."
)]
pub struct CheckConfig {
    /// The file that BALANCER_CONFIG names for the node
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Put this process's BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY before the file's, as a node does
    #[arg(long)]
    pub env: bool,
    /// Print the findings as a JSON list
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, clap::Args)]
#[command(
    after_help = "Nodes write their counts once a second where RUST_LOG=woodgap::counts=debug (or debug) and \
    BALANCER_LOG_FORMAT=json are set. Of each process the last line counts.\n\n\
    Example:\n  fircroft fleet logs/"
)]
pub struct Fleet {
    /// Logs of nodes, or folders of them
    #[arg(value_name = "LOG", required = true)]
    pub logs: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, clap::Args)]
#[command(group(ArgGroup::new("source").required(true).args(["list", "servers"])))]
#[command(
    after_help = "A list is what discovery answers to GET /api/targets, or a node's config.json, whose 'known' \
    is taken.\n\n\
    Examples:\n  fircroft table examples/targets.json\n  fircroft table --servers 200 --change -s-7,+s-new\n  \
    curl -s localhost:8500/api/targets | fircroft table - --json"
)]
pub struct Table {
    /// The list of servers in discovery's form, - for standard input
    #[arg(value_name = "FILE")]
    pub list: Option<PathBuf>,
    /// Use this many servers of size 1 with the ids s-0, s-1 and so on
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=16_381))]
    pub servers: Option<u32>,
    /// Servers to add (+ID or +ID=SIZE) and to take away (-ID), set apart by commas
    #[arg(long, value_name = "+ID,-ID", value_delimiter = ',', allow_hyphen_values = true)]
    pub change: Vec<String>,
    /// Count all servers of the list alike, as nodes do where the setting weight-source is off or live
    #[arg(long)]
    pub even: bool,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}
