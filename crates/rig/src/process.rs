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

/// Longer than any process takes to become ready on a machine that works.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of log lines of a process that are kept.
const MAX_LOG_LINES: usize = 400;
/// Unit of the processor times in `/proc/PID/stat`.
const CPU_TICKS_PER_S: f64 = 100.0;

/// The resources that a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MiB.
    pub resident_mb: f64,
}

/// A running process.
pub struct Process {
    /// The name of the process in logs and errors.
    pub name: String,
    child: Child,
    log: Rc<RefCell<VecDeque<String>>>,
}

/// What to execute.
pub struct ProcessSpec<'a> {
    /// The name of the process in logs and errors.
    pub name: &'a str,
    /// The executable.
    pub executable: &'a std::path::Path,
    /// The arguments.
    pub args: Vec<String>,
    /// The environment variables. Of those of this process, none are inherited.
    pub env: Vec<(String, String)>,
}

impl Process {
    /// Starts a process and waits until it is ready, which is when `parse_ready` returns a value for one of its
    /// lines of output. Returns that value with the process.
    ///
    /// # Errors
    ///
    /// Fails, with the log, if the process does not start, exits, or is not ready in time.
    pub async fn start<T>(
        spec: ProcessSpec<'_>,
        parse_ready: impl Fn(&str) -> Option<T>,
    ) -> anyhow::Result<(Process, T)> {
        let ProcessSpec { name, executable, args, env } = spec;
        // The kernel kills the process when this thread ends for whatever reason.
        let mut child = Command::new("setpriv")
            .args(["--pdeathsig", "KILL"])
            .arg(executable)
            .args(args)
            .env_clear()
            .envs(env)
            .env("PATH", "/usr/bin:/bin")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{name}: start {} with setpriv of util-linux", executable.display()))?;
        let log = Rc::new(RefCell::new(VecDeque::new()));
        let (tx, mut lines) = mpsc::unbounded_channel();
        collect_output(child.stdout.take(), log.clone(), tx.clone());
        collect_output(child.stderr.take(), log.clone(), tx);
        let ready = timeout(START_TIMEOUT, async {
            while let Some(line) = lines.recv().await {
                if let Some(value) = parse_ready(&line) {
                    return Some(value);
                }
            }
            None
        });
        match ready.await {
            Ok(Some(value)) => Ok((Process { name: name.to_owned(), child, log }, value)),
            other => {
                let lines: Vec<String> = log.borrow().iter().cloned().collect();
                let reason = if other.is_ok() {
                    "exited before it was ready".to_owned()
                } else {
                    format!("not ready within {START_TIMEOUT:?}")
                };
                bail!("{name}: {reason}:\n{}", lines.join("\n"))
            }
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited, so that the fault could not be injected.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = self.pid()?;
        kill(Pid::from_raw(pid as i32), signal).with_context(|| format!("{}: {signal}", self.name))
    }

    /// Kills the process and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot kill it.
    pub async fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill().await.with_context(|| format!("{}: kill", self.name))
    }

    /// Terminates the process with SIGTERM, and kills it if it does not exit within `time_limit`.
    ///
    /// # Errors
    ///
    /// Fails if the process had exited before, exits with an error, or had to be killed.
    pub async fn stop(mut self, time_limit: Duration) -> anyhow::Result<()> {
        self.signal(Signal::SIGTERM)?;
        match timeout(time_limit, self.child.wait()).await {
            Ok(status) => {
                let status = status?;
                anyhow::ensure!(status.success(), "{}: exited with {status}", self.name);
                Ok(())
            }
            Err(_) => {
                self.child.kill().await?;
                bail!("{}: did not exit within {time_limit:?} of SIGTERM", self.name)
            }
        }
    }

    /// Returns the resources that the process has used so far.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let pid = self.pid()?;
        let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}"));
        let (stat, status) = (read("stat")?, read("status")?);
        // The process name in parentheses may contain anything. In what follows it, utime and stime are the 12th and
        // 13th field, in ticks.
        let fields: Vec<&str> =
            stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
        let ticks: f64 = fields[11..=12].iter().filter_map(|field| field.parse::<f64>().ok()).sum();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
        let kb: f64 = resident.trim().trim_end_matches(" kB").trim().parse()?;
        Ok(Usage { cpu_s: ticks / CPU_TICKS_PER_S, resident_mb: kb / 1024.0 })
    }

    /// Returns the peak of the process's resident memory in kB, and its number of open descriptors.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn peak_usage(&self) -> anyhow::Result<(u64, usize)> {
        let pid = self.pid()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).context("no VmHWM")?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count();
        Ok((peak.trim().trim_end_matches(" kB").trim().parse()?, descriptors))
    }

    /// Describes how the process has failed; `None` while it runs and if it exited with success.
    pub fn exit_failure(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        (!status.success()).then(|| status.to_string())
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the last lines of output, each after the process's name.
    pub fn log(&self) -> String {
        self.log.borrow().iter().map(|line| format!("{}: {line}\n", self.name)).collect()
    }

    fn pid(&self) -> anyhow::Result<u32> {
        self.child.id().with_context(|| format!("{}: has exited", self.name))
    }
}

/// Adds each line of a process's output to `log` and sends it to `tx`.
fn collect_output(
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
            if log.len() > MAX_LOG_LINES {
                log.pop_front();
            }
            // Fails once the process is ready, because the receiver is dropped then.
            let _ = tx.send(line);
        }
    });
}
