//! `fircroft registry` and `fircroft agent`: processes that run until a signal stops them.

use std::future::Future;
use std::io::Write;

use anyhow::Context;
use tokio::signal::unix::{signal, SignalKind};

use crate::settings::Settings;
use crate::{ExitStatus, UsageError};

/// Runs a replica of the registry.
pub fn run_registry(settings: Settings, out: &mut impl Write) -> anyhow::Result<ExitStatus> {
    let config = settings.registry.ok_or_else(|| missing_table_error("registry"))?;
    ensure_valid(config.validate(), "registry")?;
    run_until_stopped(replica::run(config, |addresses| print_ready(out, "registry", addresses)))
}

/// Runs the agent of a machine.
pub fn run_agent(settings: Settings, out: &mut impl Write) -> anyhow::Result<ExitStatus> {
    let config = settings.agent.ok_or_else(|| missing_table_error("agent"))?;
    ensure_valid(config.validate(), "agent")?;
    run_until_stopped(agent::run(config, |addresses| print_ready(out, "agent", addresses)))
}

fn missing_table_error(table: &str) -> UsageError {
    UsageError(format!("no table [{table}] in the configuration: name a file with --config FILE"))
}

/// Fails if there are errors in the configuration; the message has one line for each.
fn ensure_valid(errors: Vec<String>, table: &str) -> anyhow::Result<()> {
    if errors.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = errors.iter().map(|error| format!("{table}.{error}")).collect();
    Err(UsageError(lines.join("\n")).into())
}

/// Prints the line that reports the process as ready, with its addresses. Programs that start the process
/// wait for this line.
fn print_ready(out: &mut impl Write, command: &str, addresses: &str) {
    let _ = writeln!(out, "{command} ready {addresses}").and_then(|()| out.flush());
}

/// Runs `process` on this thread until it fails or until SIGTERM or SIGINT arrives.
fn run_until_stopped(process: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<ExitStatus> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("the runtime")?;
    let result = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        tokio::select! {
            result = process => result,
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        }
    });
    // Does not wait for the disk thread, which finishes a write in progress by itself: everything that was
    // acknowledged is already on disk.
    runtime.shutdown_background();
    result.map(|()| ExitStatus::Success)
}
