//! `fircroft registry` and `fircroft agent`: processes that run until they are stopped.

use std::future::Future;
use std::io::Write;

use anyhow::Context;
use tokio::signal::unix::{signal, SignalKind};

use crate::settings::Settings;
use crate::{Verdict, WrongUse};

/// Runs a replica.
pub fn registry(settings: Settings, out: &mut impl Write) -> anyhow::Result<Verdict> {
    let config = settings.registry.ok_or_else(|| missing("registry"))?;
    checked(config.faults(), "registry")?;
    until_stopped(replica::run(config, |at| say(out, "registry", at)))
}

/// Runs an agent.
pub fn agent(settings: Settings, out: &mut impl Write) -> anyhow::Result<Verdict> {
    let config = settings.agent.ok_or_else(|| missing("agent"))?;
    checked(config.faults(), "agent")?;
    until_stopped(agent::run(config, |at| say(out, "agent", at)))
}

fn missing(table: &str) -> WrongUse {
    WrongUse(format!("no table [{table}] in the configuration: name a file with --config FILE"))
}

fn checked(faults: Vec<String>, table: &str) -> anyhow::Result<()> {
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = faults.iter().map(|fault| format!("{table}.{fault}")).collect();
    Err(WrongUse(lines.join("\n")).into())
}

/// The line that says that it is ready, with the addresses: whoever starts it waits for that.
fn say(out: &mut impl Write, what: &str, at: &str) {
    let _ = writeln!(out, "{what} ready {at}").and_then(|()| out.flush());
}

/// Runs a process's one loop on this thread until it fails or is told to end.
fn until_stopped(run: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<Verdict> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("the runtime")?;
    let ended = runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).context("SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        tokio::select! {
            ended = run => ended,
            _ = term.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
        }
    });
    // What the disk has under way is ended by its own thread; nothing that was acknowledged waits for it.
    runtime.shutdown_background();
    ended.map(|()| Verdict::Done)
}
