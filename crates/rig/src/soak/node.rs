//! The processes of one node: started, disturbed, sampled and recorded.

use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::agent::{Agent, ServerList};
use super::plan::{Disturbance, Event, Plan, RESTART_DELAY};
use super::record::{ProcessEnd, ProcessRecord, Recorder};
use super::shim::FaultControl;
use super::targets::NodeState;
use crate::process::{Process, ProcessSpec};

/// How often a process is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// How long new connections keep coming after SIGTERM.
const ACCEPTS_AFTER_TERM: Duration = Duration::from_millis(300);
/// The platform kills a process this long after SIGTERM, besides the longest deadline, counted as three seconds at most.
const KILL_GRACE: Duration = Duration::from_millis(700);
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// How long a process is held up by a pause.
const PAUSE: Duration = Duration::from_millis(150);
const BETWEEN_PAUSES: Duration = Duration::from_millis(500);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(2);
/// How far the wall clock is stepped, in turn.
const CLOCK_STEPS_S: [i64; 4] = [3_600, -3_600, 7, -7];

/// What is needed to start the processes of a node.
pub struct NodeHost {
    /// What clients know of it.
    pub state: Arc<NodeState>,
    /// Its agent.
    pub agent: Agent,
    executable: PathBuf,
    config_path: PathBuf,
    config: Value,
    list: Rc<ServerList>,
    faults: FaultControl,
    fault_library: Option<PathBuf>,
    longest_deadline: Duration,
    recorder: Rc<Recorder>,
}

/// A running process and what was seen of it.
struct RunningNode {
    process: Process,
    record: ProcessRecord,
}

/// What a run gives to each of its nodes.
pub struct NodeSetup<'a> {
    /// The number of the run in this process.
    pub run: u8,
    /// The plan of the run.
    pub plan: &'a Plan,
    /// The program.
    pub executable: &'a Path,
    /// A folder for files.
    pub dir: &'a Path,
    /// The node's settings.
    pub settings: &'a Value,
    /// The longest deadline of a class.
    pub longest_deadline: Duration,
    /// The list of servers.
    pub list: &'a Rc<ServerList>,
    /// The record of the run.
    pub recorder: &'a Rc<Recorder>,
    /// The compiled library that injects faults into system calls and steps the clock.
    pub fault_library: &'a Path,
}

impl NodeHost {
    /// Prepares a node: its address, its agent, its files.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no address or file.
    pub async fn new(number: usize, setup: &NodeSetup<'_>) -> anyhow::Result<NodeHost> {
        let plan = setup.plan;
        // An address of its own: no connection that others open, and no node of another run, can take the port between
        // two processes of the node.
        let network = 16 + (std::process::id() % 100) as u8;
        let ip = Ipv4Addr::new(127, network, setup.run, 1 + number as u8);
        let probe = TcpListener::bind((ip, 0))?;
        let addr = probe.local_addr()?;
        let agent = Agent::start(number, setup.list.clone(), setup.recorder.clone()).await?;
        let config = json!({
            "name": format!("n{number}"), "listen": addr.to_string(), "discovery": agent.addr.to_string(),
            "seed": format!("{:x}", plan.seed),
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors},
            "settings": setup.settings,
        });
        let control_path = setup.dir.join(format!("n{number}.faults"));
        let faults = FaultControl::create(control_path, plan.call_faults, plan.seed as u32 + number as u32)?;
        let needs_library = plan.faults.iter().any(|&fault| fault == "calls" || fault == "clock");
        Ok(NodeHost {
            state: Arc::new(NodeState::new(number, addr)),
            agent,
            executable: setup.executable.to_owned(),
            config_path: setup.dir.join(format!("n{number}.json")),
            config,
            list: setup.list.clone(),
            faults,
            fault_library: needs_library.then(|| setup.fault_library.to_owned()),
            longest_deadline: setup.longest_deadline,
            recorder: setup.recorder.clone(),
        })
    }

    /// Runs processes of the node, one after the other, until `end`, with the events of the plan in between.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or signalled.
    pub async fn run(&self, events: &[Event], start: Instant, end: Instant) -> anyhow::Result<()> {
        let mut steps = CLOCK_STEPS_S.iter().cycle();
        let mut node = self.start().await?;
        for event in events.iter().filter(|event| event.node == self.state.number) {
            if !node.watch_until(start + event.at).await {
                return self.finish_ended(node);
            }
            match event.disturbance {
                Disturbance::Kill => node = self.kill_and_restart(node, ProcessEnd::Killed).await?,
                Disturbance::Terminate => node = self.terminate_and_restart(node).await?,
                Disturbance::Pause => {
                    node.process.signal(Signal::SIGSTOP)?;
                    sleep(PAUSE).await;
                    node.process.signal(Signal::SIGCONT)?;
                    // Two pauses must not make a longer one.
                    node.watch_until(Instant::now() + BETWEEN_PAUSES).await;
                }
                Disturbance::DiscoveryOutage => {
                    self.agent.is_silent.set(true);
                    node.watch_until(Instant::now() + OUTAGE).await;
                    self.agent.is_silent.set(false);
                }
                Disturbance::ClockStep => self.faults.step_clock(*steps.next().unwrap_or(&0))?,
            }
        }
        if !node.watch_until(end).await {
            return self.finish_ended(node);
        }
        self.finish(node, ProcessEnd::Killed).await
    }

    async fn start(&self) -> anyhow::Result<RunningNode> {
        let mut config = self.config.clone();
        config["known"] = self.list.whole();
        std::fs::write(&self.config_path, config.to_string()).context("write a node's configuration")?;
        let mut env = vec![
            ("BALANCER_CONFIG".to_owned(), self.config_path.to_string_lossy().into_owned()),
            ("BALANCER_NAME".to_owned(), format!("n{}", self.state.number)),
        ];
        if let Some(library) = &self.fault_library {
            env.extend(self.faults.env(library));
        }
        let name = format!("n{}", self.state.number);
        let spec = ProcessSpec { name: &name, executable: &self.executable, args: Vec::new(), env };
        let started_us = self.recorder.now_us();
        let parse_ready = |line: &str| line.contains("ready listen=").then_some(());
        let (process, ()) = Process::start(spec, parse_ready).await?;
        self.state.set_accepting(true);
        let limits = &self.config["limits"];
        let record = ProcessRecord {
            node: self.state.number,
            started_us,
            ready_after_us: self.recorder.now_us() - started_us,
            term_us: None,
            killed_us: 0,
            ended_us: 0,
            end: ProcessEnd::Killed,
            peak_kb: 0,
            memory_mb: limits["memory_mb"].as_u64().unwrap_or(0),
            descriptors: 0,
            max_descriptors: limits["sockets"].as_u64().unwrap_or(0) as usize,
        };
        Ok(RunningNode { process, record })
    }

    async fn kill_and_restart(&self, node: RunningNode, end: ProcessEnd) -> anyhow::Result<RunningNode> {
        self.finish(node, end).await?;
        sleep(RESTART_DELAY).await;
        self.start().await
    }

    /// Terminates the process as the platform does, and kills it as early as the platform may.
    async fn terminate_and_restart(&self, mut node: RunningNode) -> anyhow::Result<RunningNode> {
        node.process.signal(Signal::SIGTERM)?;
        node.record.term_us = Some(self.recorder.now_us());
        let kill_at = Instant::now() + self.longest_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE;
        node.watch_until(Instant::now() + ACCEPTS_AFTER_TERM).await;
        self.state.set_accepting(false);
        node.watch_until(kill_at).await;
        self.kill_and_restart(node, ProcessEnd::Terminated).await
    }

    /// Kills the process, if it runs, and records it.
    async fn finish(&self, mut node: RunningNode, end: ProcessEnd) -> anyhow::Result<()> {
        node.sample();
        node.record.end = end;
        let failed = node.process.exit_failure().filter(|_| node.record.term_us.is_some());
        if let Some(failure) = failed {
            node.record.end = ProcessEnd::ByItself(failure);
        }
        node.record.killed_us = self.recorder.now_us();
        node.process.kill().await?;
        node.record.ended_us = self.recorder.now_us();
        self.recorder.add_process(node.record);
        Ok(())
    }

    /// Records a process that ended by itself.
    fn finish_ended(&self, mut node: RunningNode) -> anyhow::Result<()> {
        self.state.set_accepting(false);
        node.record.killed_us = self.recorder.now_us();
        node.record.ended_us = node.record.killed_us;
        let status = node.process.exit_failure().unwrap_or_else(|| "success".to_owned());
        node.record.end = ProcessEnd::ByItself(format!("{status}: {}", node.process.log()));
        self.recorder.add_process(node.record);
        Ok(())
    }
}

impl RunningNode {
    /// Samples the process until a time; `false` if it ended before.
    async fn watch_until(&mut self, until: Instant) -> bool {
        while Instant::now() < until {
            self.sample();
            if !self.process.is_running() {
                return false;
            }
            let _ = timeout(SAMPLE_INTERVAL, sleep_until(until)).await;
        }
        true
    }

    fn sample(&mut self) {
        if let Ok((peak_kb, descriptors)) = self.process.peak_usage() {
            self.record.peak_kb = self.record.peak_kb.max(peak_kb);
            self.record.descriptors = self.record.descriptors.max(descriptors);
        }
    }
}
