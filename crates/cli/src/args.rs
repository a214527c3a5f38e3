//! The arguments of the command line. Doc comments here are the help texts.

use std::path::PathBuf;

use clap::{ArgGroup, Parser, Subcommand};
use clap_complete::Shell;

use crate::settings::Flags;

const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " (commit ", env!("VERGEN_GIT_SHA"), ")");

/// Checks node configurations, shows the Maglev table and counts of nodes, and runs the registry and the agent
#[derive(Debug, Parser)]
#[command(
    name = "fircroft",
    version = VERSION,
    after_help = "Exit codes: 0 success, 1 failure, 2 incorrect usage or invalid input.\n\n\
        Configuration: a TOML file (--config), then variables FIRCROFT_LOG_FORMAT and FIRCROFT_LOG_FILTER, \
        then flags; the later overrides the earlier. RUST_LOG sets the filter if none of them does."
)]
pub struct Args {
    #[command(flatten)]
    pub settings: Flags,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check an input file and print every problem in it
    #[command(subcommand)]
    Check(Check),
    /// Show how many slots of the Maglev table each server owns, and how many a change of servers would move
    Table(Table),
    /// Add up the counts in the logs of nodes: how requests, attempts and connections ended
    Fleet(Fleet),
    /// Run a replica of the registry until a signal stops it
    #[command(
        after_help = "The configuration is the table [registry] of the file that --config names; deploy/registry.toml \
        configures a cluster of one replica.\n\nExample:\n  fircroft registry --config deploy/registry.toml"
    )]
    Registry,
    /// Run the agent of a machine until a signal stops it
    #[command(
        after_help = "The configuration is the table [agent] of the file that --config names, such as \
        deploy/agent.toml.\n\n\
        Example:\n  fircroft agent --config deploy/agent.toml"
    )]
    Agent,
    /// Print a completion script for a shell
    #[command(
        after_help = "Example:\n  fircroft completions bash > ~/.local/share/bash-completion/completions/fircroft"
    )]
    Completions {
        /// Shell for which the script is printed
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub enum Check {
    /// Parse a node's config.json as the node does and print every problem in it
    Config(CheckConfig),
}

#[derive(Debug, clap::Args)]
#[command(
    after_help = "Each line names a path in the file, what was expected there and what was found. 'error': a \
    node does not start. 'warning': a node starts in spite of it. 'note': the setting is absent and a node uses the \
    default.\n\n\
    Examples:\n  fircroft check config examples/config.json\n  BALANCER_LISTEN=127.0.0.1:5000 fircroft check config \
    --env config.json\n\nExit code 2 if there is an error or a warning, 1 if the file can't be read."
)]
pub struct CheckConfig {
    /// Configuration file of a node, as BALANCER_CONFIG names it
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Let BALANCER_NAME, BALANCER_LISTEN and BALANCER_DISCOVERY of this process override the file, as in a node
    #[arg(long)]
    pub env: bool,
    /// Print the findings as a JSON list
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, clap::Args)]
#[command(
    after_help = "Nodes write their counts once a second if RUST_LOG=woodgap::counts=debug (or debug) and \
    BALANCER_LOG_FORMAT=json are set. The last line of each process has its totals.\n\n\
    Example:\n  fircroft fleet logs/"
)]
pub struct Fleet {
    /// Logs of nodes, or folders with such logs
    #[arg(value_name = "LOG", required = true)]
    pub logs: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, clap::Args)]
#[command(group(ArgGroup::new("source").required(true).args(["list", "servers"])))]
#[command(
    after_help = "The file is discovery's answer to GET /api/targets, or a node's config.json, whose list 'known' is \
    used. Column 'due': the slots in exact proportion to the size. Column 'off': how far the slots are from that.\n\n\
    Examples:\n  fircroft table examples/targets.json\n  fircroft table --servers 200 --change -s-7,+s-new\n  \
    curl -s localhost:8500/api/targets | fircroft table - --json"
)]
pub struct Table {
    /// List of servers in the JSON form of discovery, - for standard input
    #[arg(value_name = "FILE")]
    pub list: Option<PathBuf>,
    /// Use N servers of size 1 with the ids s-0, s-1 and so on
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=16_381))]
    pub servers: Option<u32>,
    /// Servers to add (+ID or +ID=SIZE) and to remove (-ID), separated by commas
    #[arg(long, value_name = "+ID,-ID", value_delimiter = ',', allow_hyphen_values = true)]
    pub change: Vec<String>,
    /// Give all servers the same size, as nodes do if the setting weight-source is off or live
    #[arg(long)]
    pub even: bool,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}
