//! A process under test: started, waited for, signalled, and never left behind.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{bail, Context};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longer than any process takes to begin on a machine that works.
const START: Duration = Duration::from_secs(20);
/// Lines of a log that are kept.
const LINES: usize = 400;

/// The system's ticks of processor time.
const TICKS_PER_S: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time.
    pub cpu_s: f64,
    /// Memory that it holds now.
    pub resident_mb: f64,
}

/// A running process.
pub struct Process {
    /// Its name in this run.
    pub name: String,
    child: Child,
    log: Rc<RefCell<VecDeque<String>>>,
}

/// What to start.
pub struct Program<'a> {
    /// Its name in this run.
    pub name: &'a str,
    /// The file.
    pub file: &'a std::path::Path,
    /// Its arguments.
    pub args: Vec<String>,
    /// Its variables; nothing else is inherited.
    pub env: Vec<(String, String)>,
}

impl Process {
    /// Starts a program and waits for the line that says that it is ready: `ready` makes something of it.
    ///
    /// # Errors
    ///
    /// Where it does not start, ends, or does not say so in time; with its log.
    pub async fn start<T>(
        program: Program<'_>,
        ready: impl Fn(&str) -> Option<T>,
    ) -> anyhow::Result<(Process, T)> {
        let Program { name, file, args, env } = program;
        // The kernel ends it when this thread ends, however that comes about.
        let mut child = Command::new("setpriv")
            .args(["--pdeathsig", "KILL"])
            .arg(file)
            .args(args)
            .env_clear()
            .envs(env)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{name}: start {} with setpriv of util-linux", file.display()))?;
        let log = Rc::new(RefCell::new(VecDeque::new()));
        let (tx, mut lines) = mpsc::unbounded_channel();
        keep(child.stdout.take(), log.clone(), tx.clone());
        keep(child.stderr.take(), log.clone(), tx);
        let said = timeout(START, async {
            while let Some(line) = lines.recv().await {
                if let Some(found) = ready(&line) {
                    return Some(found);
                }
            }
            None
        });
        match said.await {
            Ok(Some(found)) => Ok((Process { name: name.to_owned(), child, log }, found)),
            other => {
                let lines: Vec<String> = log.borrow().iter().cloned().collect();
                let why = if other.is_ok() { "it ended" } else { "it does not say that it is ready" };
                bail!("{name}: {why}:\n{}", lines.join("\n"))
            }
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Where there is no such process any more: the fault is not in force.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self.child.id().with_context(|| format!("{}: it has ended", self.name))?;
        kill(Pid::from_raw(pid as i32), signal).with_context(|| format!("{}: {signal}", self.name))
    }

    /// Kills it and waits until it is gone.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub async fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill().await.with_context(|| format!("{}: kill", self.name))
    }

    /// Tells it to end and waits, and kills it where it does not.
    ///
    /// # Errors
    ///
    /// Where it had ended before, or had to be killed.
    pub async fn stop(mut self, within: Duration) -> anyhow::Result<()> {
        self.signal(Signal::SIGTERM)?;
        match timeout(within, self.child.wait()).await {
            Ok(status) => {
                let status = status?;
                anyhow::ensure!(status.success(), "{}: it ended with {status}", self.name);
                Ok(())
            }
            Err(_) => {
                self.child.kill().await?;
                bail!("{}: it did not end within {within:?} of SIGTERM", self.name)
            }
        }
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// Where it has ended.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let pid = self.child.id().with_context(|| format!("{}: it has ended", self.name))?;
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}"));
        let (stat, status) = (read("stat")?, read("status")?);
        // After the name, which may hold anything: utime and stime are the 12th and 13th field, in ticks.
        let fields: Vec<&str> =
            stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
        let ticks: f64 = fields[11..=12].iter().filter_map(|field| field.parse::<f64>().ok()).sum();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
        let kb: f64 = resident.trim().trim_end_matches(" kB").trim().parse()?;
        Ok(Usage { cpu_s: ticks / TICKS_PER_S, resident_mb: kb / 1024.0 })
    }

    /// Whether it runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The end of its log.
    pub fn log(&self) -> String {
        self.log.borrow().iter().map(|line| format!("{}: {line}\n", self.name)).collect()
    }
}

fn keep(
    pipe: Option<impl AsyncRead + Unpin + 'static>,
    log: Rc<RefCell<VecDeque<String>>>,
    tx: mpsc::UnboundedSender<String>,
) {
    let Some(pipe) = pipe else { return };
    spawn_local(async move {
        let mut lines = BufReader::new(pipe).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let mut log = log.borrow_mut();
            log.push_back(line.clone());
            if log.len() > LINES {
                log.pop_front();
            }
            // Nobody waits for the first line any more.
            let _ = tx.send(line);
        }
    });
}
