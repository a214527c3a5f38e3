//! The program `fircroft`: reads its arguments and configuration, sets up the log, runs one command and ends
//! with 0 (done), 1 (failed) or 2 (wrong use, or an input that is wrong).

mod args;
mod check;
mod cold;
mod fleet;
mod logging;
mod process;
mod settings;
mod table;

use std::io::{self, Write};
use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use args::{Args, Check, Command};
use settings::Settings;

/// How a command that could be carried out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It did what it was asked to.
    Done,
    /// What it was given is wrong, and it said how.
    WrongInput,
}

/// What was asked makes no sense: exit code 2 instead of 1.
#[derive(Debug)]
pub struct WrongUse(pub String);

impl std::fmt::Display for WrongUse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WrongUse {}

/// Prints what `--json` asks for.
fn print_json(out: &mut impl Write, report: &impl serde::Serialize) -> anyhow::Result<()> {
    serde_json::to_writer_pretty(&mut *out, report).map_err(io::Error::from)?;
    Ok(writeln!(out)?)
}

fn run(args: Args, out: &mut impl Write) -> anyhow::Result<Verdict> {
    let settings = Settings::load(&args.settings)?;
    logging::start(&settings)?;
    tracing::debug!(?settings, "configuration read");
    match args.command {
        Command::Check(Check::Config(check)) => check::config(&check, out),
        Command::Fleet(request) => fleet::run(&request, out),
        Command::Table(request) => table::run(&request, out),
        Command::Registry => process::registry(settings, out),
        Command::Agent => process::agent(settings, out),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "fircroft", &mut script);
            out.write_all(&script)?;
            Ok(Verdict::Done)
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut out = io::BufWriter::new(io::stdout().lock());
    let ended = run(args, &mut out).and_then(|verdict| Ok(out.flush().map(|()| verdict)?));
    match ended {
        Ok(Verdict::Done) => ExitCode::SUCCESS,
        Ok(Verdict::WrongInput) => ExitCode::from(2),
        Err(error) if closed(&error) => ExitCode::SUCCESS,
        Err(error) => {
            // Nothing is left to tell it to where this fails too.
            let _ = writeln!(io::stderr(), "fircroft: {error:#}");
            ExitCode::from(if error.is::<WrongUse>() { 2 } else { 1 })
        }
    }
}

/// Whether the reader of the output has gone: it has what it wanted.
fn closed(error: &anyhow::Error) -> bool {
    error.downcast_ref::<io::Error>().is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe)
}
