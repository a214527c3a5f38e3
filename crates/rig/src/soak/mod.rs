//! The soak: real nodes on loopback between stand-ins, with faults drawn from a seed, and checks of every answer, every run
//! and every process.
//!
//! A run is made of a [`plan::Plan`]. Servers, agents and clients are tasks of this process, nodes are processes; all that
//! happens goes into a [`record::History`], which [`checker::find_violations`] checks after the run. The same seed draws the
//! same plan; what a process makes of it depends on the machine's timing.

pub mod agent;
pub mod checker;
pub mod clients;
pub mod node;
pub mod plan;
pub mod pressure;
pub mod record;
pub mod server;
pub mod shim;
pub mod targets;
pub mod wire;

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

use agent::ServerList;
use checker::{find_violations, Rule, Violation};
use clients::{Class, Client, ClientGroup, Conduct};
use node::{NodeHost, NodeSetup};
use plan::Plan;
use record::{Effect, History, Recorder, RequestEnd};
use server::{Server, ServerGroup};
use targets::Targets;

/// The time of the settings within which sends to a draining server have to stop.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// How long servers drop repeats of a key.
const KEY_TTL: Duration = Duration::from_secs(5);
/// How long a server works on a request at most.
const MAX_WORK_MS: u64 = 20;
/// How long after the last request the nodes are looked at.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time between the replacement of a server and discovery's word of it, in milliseconds.
const NOTICE_MS: std::ops::Range<u64> = 300..2_000;

/// The verdict on a run.
pub struct Report {
    /// The plan of the run.
    pub plan: Plan,
    /// Number of requests of clients that stayed.
    pub requests: usize,
    /// Of these, the part that was served.
    pub served: f64,
    /// All violations.
    pub violations: Vec<Violation>,
    /// The highest peak of a process's memory, as a part of its limit.
    pub peak: f64,
    /// Number of processes.
    pub processes: usize,
}

impl Report {
    /// The head of the table that reports make.
    pub const HEAD: &str = "| seed | limits | faults | processes | requests | served | lost | ran twice | foreign | late \
        | other | peak of memory |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

    fn new(plan: Plan, history: &History) -> Report {
        let violations = find_violations(history, DRAIN_TIME.as_micros() as u64);
        let stayed = history.requests.iter().filter(|request| request.end != RequestEnd::Left);
        let is_served = |end| matches!(end, RequestEnd::Answered { status: 200, .. });
        let served = stayed.clone().filter(|request| is_served(request.end)).count();
        let requests = stayed.count();
        let peaks = history.processes.iter().map(|p| p.peak_kb as f64 / 1024.0 / p.memory_mb as f64);
        Report {
            plan,
            requests,
            served: served as f64 / requests.max(1) as f64,
            violations,
            peak: peaks.fold(0.0, f64::max),
            processes: history.processes.len(),
        }
    }

    fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }
}

impl fmt::Display for Report {
    /// Writes a row of the table.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = [Rule::Lost, Rule::RanTwice, Rule::Foreign, Rule::Late].map(|rule| self.count(rule));
        let [lost, ran_twice, foreign, late] = named;
        let other = self.violations.len() - named.iter().sum::<usize>();
        let Plan { seed, memory_mb, descriptors, faults, .. } = &self.plan;
        write!(
            f,
            "| {seed} | {memory_mb} MB, {descriptors} | {} | {} | {} | {:.3} | {lost} | {ran_twice} | {foreign} | {late} \
            | {other} | {:.2} |",
            faults.join(" "),
            self.processes,
            self.requests,
            self.served,
            self.peak
        )
    }
}

/// Runs a plan against a node's program and checks what happened.
///
/// # Errors
///
/// Fails if a process or a stand-in cannot be started.
pub async fn run_plan(plan: Plan, executable: &Path) -> anyhow::Result<Report> {
    let dir = tempfile::tempdir()?;
    let fault_library = shim::build_library(dir.path())?;
    let recorder = Rc::new(Recorder::new());
    let classes = classes(plan.deadline_factor);
    let settings = settings(&plan, &classes);
    let list = ServerList::new();
    let group = Rc::new(ServerGroup {
        recorder: recorder.clone(),
        faults: plan.server_faults,
        max_work_ms: MAX_WORK_MS,
        key_ttl_us: KEY_TTL.as_micros() as u64,
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5e77)),
        keys: RefCell::new(HashMap::new()),
    });
    let mut servers = Vec::new();
    for number in 0..plan.servers {
        let server = Server::start(format!("s{number}"), "127.0.0.1:0".parse()?, group.clone())?;
        list.put(entry(&server, "in_service", 0));
        servers.push(server);
    }
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let setup = NodeSetup {
        run: RUNS.fetch_add(1, Ordering::Relaxed),
        plan: &plan,
        executable,
        dir: dir.path(),
        settings: &settings,
        longest_deadline: classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
        list: &list,
        recorder: &recorder,
        fault_library: &fault_library,
    };
    let mut hosts = Vec::new();
    for number in 0..plan.nodes {
        hosts.push(NodeHost::new(number, &setup).await?);
    }
    let nodes = hosts.iter().map(|host| host.state.clone()).collect();
    let targets = Arc::new(Targets::new(nodes, plan.seed));
    let clients = Rc::new(ClientGroup { recorder: recorder.clone(), targets: targets.clone(), classes });
    let hold_up_watch = spawn_local(Recorder::watch_for_hold_ups(recorder.clone()));
    let start = Instant::now();
    let load_end = start + plan.duration;
    let mut node_tasks = JoinSet::new();
    for host in hosts {
        let events = plan.events.clone();
        node_tasks.spawn_local(async move { host.run(&events, start, load_end + SETTLE_TIME).await });
    }
    let mut client_tasks = start_clients(&plan, &clients);
    pressure::spawn_thread(targets.clone(), plan.clients);
    let changes = spawn_local(change_servers(plan.clone(), servers, list, group, start));
    sleep_until(load_end).await;
    targets.stop();
    while client_tasks.join_next().await.is_some() {}
    while let Some(ended) = node_tasks.join_next().await {
        ended??;
    }
    changes.abort();
    hold_up_watch.abort();
    Ok(Report::new(plan, &recorder.take()))
}

/// Starts the clients to whom answers are owed, and those that leave.
fn start_clients(plan: &Plan, group: &Rc<ClientGroup>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for (conduct, count) in [
        (Conduct::Sound, plan.clients.sound),
        (Conduct::Slow, plan.clients.slow),
        (Conduct::Leaving, plan.clients.leaving),
    ] {
        for number in 0..count {
            tasks.spawn_local(Client::new(group.clone(), conduct, number).run());
        }
    }
    tasks
}

/// Replaces servers at their addresses and lets others drain, as the plan says. The servers end with this task.
async fn change_servers(
    plan: Plan,
    mut servers: Vec<Server>,
    list: Rc<ServerList>,
    group: Rc<ServerGroup>,
    start: Instant,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0xc4a6e);
    let replacements = plan.replacements.iter().map(|&at| (at, true));
    let mut changes: Vec<_> = replacements.chain(plan.drains.iter().map(|&at| (at, false))).collect();
    changes.sort();
    for (number, (at, is_replacement)) in changes.into_iter().enumerate() {
        sleep_until(start + at).await;
        let index = number % servers.len();
        if !is_replacement {
            servers[index].is_draining.set(true);
            list.put(entry(&servers[index], "terminating", 0));
            continue;
        }
        let old = servers.remove(index);
        let (old_entry, addr) = (entry(&old, "terminated", 0), old.addr);
        drop(old);
        // The tasks of the old process end when they run next.
        sleep(Duration::from_millis(5)).await;
        if let Ok(new) = Server::start(format!("r{number}"), addr, group.clone()) {
            let notice_ms = rng.random_range(NOTICE_MS);
            let new_entry = entry(&new, "in_service", unix_ms());
            servers.insert(index, new);
            sleep(Duration::from_millis(notice_ms)).await;
            list.put(new_entry);
        }
        list.put(old_entry);
    }
    std::future::pending::<()>().await;
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A server's entry in discovery's list.
fn entry(server: &Server, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": server.id, "host_port": server.addr.to_string(), "locality": "a", "flavor": "f", "cell": 1,
        "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

/// The classes of the settings, one of each effect.
fn classes(deadline_factor: f64) -> Vec<Class> {
    let class = |name, effect, ms: f64| Class {
        name,
        effect,
        deadline: Duration::from_millis((ms * deadline_factor) as u64),
    };
    vec![
        class("look", Effect::Safe, 2_000.0),
        class("pay", Effect::Unsafe, 3_000.0),
        class("put", Effect::Keyed, 3_000.0),
    ]
}

/// The settings of the nodes.
fn settings(plan: &Plan, classes: &[Class]) -> Value {
    let classes: Vec<Value> = classes
        .iter()
        .map(|class| {
            let semantics = match class.effect {
                Effect::Safe => "safe",
                Effect::Unsafe => "unsafe",
                Effect::Keyed => "keyed",
            };
            let deadline_us = class.deadline.as_micros() as u64;
            json!({"name": class.name, "aim": deadline_us / 2, "deadline": deadline_us, "semantics": semantics,
                "points": 1.0, "late-share": 0.5, "key-scope": "all", "key-ttl": KEY_TTL.as_micros() as u64})
        })
        .collect();
    json!({
        "group-size": plan.nodes, "me": 0, "weight-source": "nominal", "worth-by": "work", "registry-mode": "push",
        "classes": classes,
        "tenants": [{"name": "acme", "quota-per-s": 0.0, "share": 1.0}],
        "bounds": {"dial-timeout": 150_000, "keepalive": 10_000_000, "max-attempts": 4, "retry-after": true,
            "max-retry-after": 500_000, "cancelling": true, "may-probe": true, "open-cap": 20_000,
            "second-copies": false, "peer-messages": false, "max-streams": 1},
        "rules": {"start-capacity": 0.3, "ramp-time": 4_000_000, "fall-multiple": 3.0, "overload-for": 2_000_000,
            "stop-sending-within": DRAIN_TIME.as_micros() as u64, "answer-slack": 20_000, "ask-within": 10_000_000},
    })
}
