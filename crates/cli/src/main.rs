//! The program `fircroft`: parses the command line and the configuration, starts the log and runs one
//! command.
//!
//! Exit codes: 0 success, 1 failure, 2 incorrect usage or invalid input.

mod args;
mod check;
mod cold_starts;
mod daemon;
mod fleet;
mod logging;
mod settings;
mod table;

use std::io::{self, Write};
use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use args::{Args, Check, Command};
use settings::Settings;

/// Exit code for a command that failed.
const EXIT_FAILURE: u8 = 1;
/// Exit code for incorrect usage and for invalid input.
const EXIT_USAGE: u8 = 2;

/// Result of a command that ran to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The input is invalid, and the command has printed why.
    InvalidInput,
}

/// Incorrect usage or invalid input: the program exits with code 2 instead of 1.
#[derive(Debug)]
pub struct UsageError(pub String);

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}

/// Prints a report as indented JSON, for commands with `--json`.
fn print_json(out: &mut impl Write, report: &impl serde::Serialize) -> anyhow::Result<()> {
    serde_json::to_writer_pretty(&mut *out, report).map_err(io::Error::from)?;
    Ok(writeln!(out)?)
}

fn run(args: Args, out: &mut impl Write) -> anyhow::Result<ExitStatus> {
    let settings = Settings::load(&args.settings)?;
    logging::start(&settings)?;
    tracing::debug!(?settings, "configuration read");
    match args.command {
        Command::Check(Check::Config(args)) => check::check_config(&args, out),
        Command::Fleet(args) => fleet::run(&args, out),
        Command::Table(args) => table::run(&args, out),
        Command::Registry => daemon::run_registry(settings, out),
        Command::Agent => daemon::run_agent(settings, out),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "fircroft", &mut script);
            out.write_all(&script)?;
            Ok(ExitStatus::Success)
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut out = io::BufWriter::new(io::stdout().lock());
    let result = run(args, &mut out).and_then(|status| Ok(out.flush().map(|()| status)?));
    match result {
        Ok(ExitStatus::Success) => ExitCode::SUCCESS,
        Ok(ExitStatus::InvalidInput) => ExitCode::from(EXIT_USAGE),
        Err(error) if is_broken_pipe(&error) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error fails as well, nowhere is left to report the error.
            let _ = writeln!(io::stderr(), "fircroft: {error:#}");
            ExitCode::from(if error.is::<UsageError>() { EXIT_USAGE } else { EXIT_FAILURE })
        }
    }
}

/// Whether the reader of the output closed the pipe. That is no failure: a reader such as `head` has what it
/// needs.
fn is_broken_pipe(error: &anyhow::Error) -> bool {
    error.downcast_ref::<io::Error>().is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe)
}
