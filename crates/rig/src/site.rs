//! A site: replicas, agents, nodes, servers, a front and load, with a relay on every link.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{bail, Context};
use client::Client;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::binaries::Binaries;
use crate::events::Events;
use crate::fake_server::FakeServer;
use crate::load_generator::LoadGenerator;
use crate::process::{Process, Program};
use crate::relay::Relay;

/// Longer than anything takes on a machine that works.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// What a site is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Replicas of the registry: 1, 3 or 5.
    pub replicas: usize,
    /// Nodes, in three zones in turn.
    pub nodes: usize,
    /// App servers.
    pub servers: usize,
    /// Requests a second.
    pub load: f64,
    /// Nodes with a fault: `stuck` or `liar`.
    pub faults: BTreeMap<usize, &'static str>,
    /// Whether the ladder's steps are taken; without them stragglers stay as they are.
    pub ladder: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan { replicas: 3, nodes: 12, servers: 8, load: 150.0, faults: BTreeMap::new(), ladder: true }
    }
}

/// The audit's times on a site: shorter than in service, so that a test sees several rounds.
pub fn audit_times(ladder: bool) -> Value {
    json!({
        "grace": 2_000, "flight": 800, "step": if ladder { 1_500 } else { 1_000_000_000u64 },
        "probation": 2_000, "forget": 600_000, "probation_part": 0.1, "shared": 0.25, "most_out": 0.17,
        "crashes": 2, "crash_window": 4_000, "restarts": false, "history": 10_000, "revisions": 200,
        "refused": 1_000, "sights": 1_000, "nodes": 1_000,
    })
}

/// A machine: an agent, and what it is beside.
pub struct Machine {
    /// The agent, unless it is down.
    pub agent: Option<Process>,
    /// Where its node finds it.
    pub discovery: Relay,
    /// Its links to the replicas, by their place.
    pub links: Vec<Relay>,
    config: PathBuf,
}

/// A running site.
pub struct Site {
    /// What it is made of.
    pub plan: Plan,
    /// What happens.
    pub events: Events,
    /// The front.
    pub front: LoadGenerator,
    /// The replicas, by their place; `None` while one is down.
    pub replicas: Vec<Option<Process>>,
    /// The machines of nodes, by the node's place.
    pub nodes: Vec<Machine>,
    /// The nodes, by their place.
    pub processes: Vec<Option<Process>>,
    /// The machines of servers, by the server's place.
    pub server_machines: Vec<Machine>,
    /// The servers.
    pub servers: Vec<FakeServer>,
    /// A client with links of its own.
    pub client: Client,
    /// The links between replicas: from, to.
    pub raft_links: BTreeMap<(usize, usize), Relay>,
    apis: Vec<Relay>,
    raft_targets: Vec<Option<SocketAddr>>,
    api_targets: Vec<Option<SocketAddr>>,
    all_api_links: Vec<(usize, Relay)>,
    node_relays: Vec<Relay>,
    programs: Binaries,
    folder: tempfile::TempDir,
    changes: u64,
}

fn field(line: &str, name: &str) -> Option<SocketAddr> {
    let at = line.split(' ').find_map(|part| part.strip_prefix(name))?;
    at.trim_matches('"').parse().ok()
}

/// The address in a node's line that says that it is ready.
pub(crate) fn node_ready(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    (line["fields"]["message"] == "ready").then(|| line["fields"]["listen"].as_str()?.parse().ok())?
}

impl Site {
    /// Starts a site and waits until its nodes are ready and registered.
    ///
    /// # Errors
    ///
    /// Where a process does not start, with its log.
    pub async fn start(plan: Plan, seed: u64) -> anyhow::Result<Site> {
        let programs = Binaries::build()?;
        let folder = tempfile::tempdir()?;
        let events = Events::create(&folder.path().join("events.jsonl"))?;
        let front = LoadGenerator::new(events.clone(), seed)?;
        let mut apis = Vec::new();
        let mut raft_links = BTreeMap::new();
        for to in 0..plan.replicas {
            apis.push(Relay::open(&format!("client to r{to}")).await?);
            for from in (0..plan.replicas).filter(|&from| from != to) {
                raft_links.insert((from, to), Relay::open(&format!("r{from} to r{to}")).await?);
            }
        }
        let client = Client::new(apis.iter().map(Relay::addr).collect())?;
        let all_api_links = apis.iter().cloned().enumerate().collect();
        let mut site = Site {
            replicas: (0..plan.replicas).map(|_| None).collect(),
            raft_targets: vec![None; plan.replicas],
            api_targets: vec![None; plan.replicas],
            nodes: Vec::new(),
            processes: Vec::new(),
            server_machines: Vec::new(),
            servers: Vec::new(),
            node_relays: Vec::new(),
            changes: 0,
            plan,
            events,
            front,
            client,
            raft_links,
            apis,
            all_api_links,
            programs,
            folder,
        };
        for replica in 0..site.plan.replicas {
            site.start_replica(replica).await?;
        }
        site.wait("a leader", async |site| Ok(site.leader().await.is_some())).await?;
        for server in 0..site.plan.servers {
            site.add_server(server).await?;
        }
        let servers = site.plan.servers;
        site.wait("the servers registered", async |site| {
            Ok(site.client.get("/api/targets").await?["members"].as_array().map_or(0, Vec::len) == servers)
        })
        .await?;
        for node in 0..site.plan.nodes {
            site.add_node(node).await?;
        }
        let nodes = site.plan.nodes;
        site.wait("the nodes registered", async |site| {
            Ok(site.audit().await?["nodes"].as_object().map_or(0, serde_json::Map::len) == nodes)
        })
        .await?;
        site.front.follow(site.client.watch(None));
        site.front.load(site.plan.load);
        site.events.emit("started", json!({"nodes": nodes, "servers": servers}));
        Ok(site)
    }

    /// Starts a replica, or starts it again from its file.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub async fn start_replica(&mut self, place: usize) -> anyhow::Result<()> {
        let peers: Vec<Value> = (0..self.plan.replicas)
            .filter(|&to| to != place)
            .map(|to| {
                let (raft, api) = (&self.raft_links[&(place, to)], &self.apis[to]);
                json!({"id": to + 1, "raft": raft.addr(), "api": api.addr()})
            })
            .collect();
        let config = json!({"registry": {
            "cluster": 77, "id": place + 1, "listen": "127.0.0.1:0", "raft_listen": "127.0.0.1:0",
            "data": self.folder.path().join(format!("replica-{place}")), "peers": peers, "clock_ms": 200,
            "state": {"targets": "app", "audit": audit_times(self.plan.ladder), "expire_part": 0.3},
        }});
        let file = self.write(&format!("replica-{place}.toml"), &config)?;
        let name = format!("r{place}");
        let args = ["registry", "--config", &file].map(str::to_owned).to_vec();
        let program = Program { name: &name, file: &self.programs.fircroft, args, env: Vec::new() };
        let ready = |line: &str| {
            let line = line.strip_prefix("registry ready ")?;
            Some((field(line, "api=")?, field(line, "raft=")?))
        };
        let (process, (api, raft)) = Process::start(program, ready).await?;
        self.replicas[place] = Some(process);
        (self.raft_targets[place], self.api_targets[place]) = (Some(raft), Some(api));
        self.raft_links.iter().filter(|((_, to), _)| *to == place).for_each(|(_, relay)| relay.lead_to(raft));
        self.all_api_links.iter().filter(|(to, _)| *to == place).for_each(|(_, relay)| relay.lead_to(api));
        self.events.emit("replica_up", json!({"replica": place}));
        Ok(())
    }

    /// Kills a replica.
    ///
    /// # Errors
    ///
    /// Where it does not run.
    pub async fn kill_replica(&mut self, place: usize) -> anyhow::Result<()> {
        let process = self.replicas[place].take().with_context(|| format!("r{place} is down already"))?;
        process.kill().await?;
        self.events.emit("replica_killed", json!({"replica": place}));
        Ok(())
    }

    /// Where a replica's API answers, past its relay.
    pub fn api(&self, place: usize) -> Option<SocketAddr> {
        self.api_targets[place]
    }

    /// The programs under test.
    pub fn programs(&self) -> &Binaries {
        &self.programs
    }

    /// The folder of the run's files.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// The place of the replica that leads, where one says so.
    pub async fn leader(&self) -> Option<usize> {
        for (place, target) in self.api_targets.iter().enumerate() {
            let (Some(api), true) = (target, self.replicas[place].is_some()) else { continue };
            let Ok(client) = Client::new(vec![*api]) else { continue };
            if client.get("/v1/status").await.is_ok_and(|status| status["leads"] == true) {
                return Some(place);
            }
        }
        None
    }

    async fn machine(&mut self, name: &str, member: Value) -> anyhow::Result<Machine> {
        let mut links = Vec::new();
        for to in 0..self.plan.replicas {
            let relay = Relay::open(&format!("{name} to r{to}")).await?;
            self.api_targets[to].inspect(|&api| relay.lead_to(api));
            self.all_api_links.push((to, relay.clone()));
            links.push(relay);
        }
        let registry: Vec<SocketAddr> = links.iter().map(Relay::addr).collect();
        let config = json!({"agent": {
            "listen": "127.0.0.1:0", "registry": registry, "members": [member], "report_ms": 250,
            "cache": self.folder.path().join(format!("{name}.list")), "lease_ms": 6_000, "renew_ms": 1_500,
        }});
        let file = self.write(&format!("{name}.toml"), &config)?;
        let discovery = Relay::open(&format!("{name} to its agent")).await?;
        let mut machine = Machine { agent: None, discovery, links, config: PathBuf::from(file) };
        self.start_agent(name, &mut machine).await?;
        Ok(machine)
    }

    /// Starts the agent of a machine, or starts it again.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub async fn start_agent(&self, name: &str, machine: &mut Machine) -> anyhow::Result<SocketAddr> {
        let name = format!("agent-{name}");
        let args = vec!["agent".into(), "--config".into(), machine.config.to_string_lossy().into_owned()];
        let program = Program { name: &name, file: &self.programs.fircroft, args, env: Vec::new() };
        let ready = |line: &str| field(line.strip_prefix("agent ready ")?, "listen=");
        let (process, addr) = Process::start(program, ready).await?;
        machine.agent = Some(process);
        machine.discovery.lead_to(addr);
        Ok(addr)
    }

    async fn add_server(&mut self, place: usize) -> anyhow::Result<()> {
        let id = format!("s-{place}");
        let server = FakeServer::start(&id, self.events.clone()).await?;
        let member = self.server_member(place, server.addr);
        let machine = self.machine(&id, member).await?;
        server.set_agent(machine.discovery.addr());
        self.servers.push(server);
        self.server_machines.push(machine);
        Ok(())
    }

    fn server_member(&self, place: usize, addr: SocketAddr) -> Value {
        json!({"id": format!("s-{place}"), "role": "server", "pool": "app", "zone": format!("z{}", place % 3),
            "host_port": addr.to_string(), "cell": 0, "size": 1.0, "up_since_ms": 0})
    }

    async fn add_node(&mut self, place: usize) -> anyhow::Result<()> {
        let name = format!("n{place}");
        let relay = Relay::open(&format!("front to {name}")).await?;
        let member = json!({"id": name, "role": "node", "pool": "nodes", "zone": format!("z{}", place % 3),
            "host_port": relay.addr().to_string()});
        let machine = self.machine(&name, member).await?;
        self.front.add(&name, relay.addr());
        self.node_relays.push(relay);
        self.nodes.push(machine);
        self.processes.push(None);
        self.start_node(place).await
    }

    /// Starts a node, or starts it again.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub async fn start_node(&mut self, place: usize) -> anyhow::Result<()> {
        let name = format!("n{place}");
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": self.nodes[place].discovery.addr().to_string(),
            "seed": format!("{:x}", place + 1), "audit": true,
            "settings": {
                "group-size": self.plan.nodes, "registry-mode": "push", "weight-source": "nominal",
                "classes": [{"name": "look", "aim": 1_000_000, "deadline": 2_000_000, "semantics": "safe"}],
                "bounds": {"max-attempts": 3, "cancelling": true, "dial-timeout": 250_000, "keepalive": 5_000_000},
                "rules": {"stop-sending-within": 1_000_000},
            },
        });
        let file = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&file, config.to_string())?;
        let fault = self.plan.faults.get(&place);
        let program = if fault.is_some() { &self.programs.faulty_node } else { &self.programs.node };
        let mut env = vec![
            ("BALANCER_CONFIG".to_owned(), file.to_string_lossy().into_owned()),
            ("BALANCER_LOG_FORMAT".to_owned(), "json".to_owned()),
        ];
        env.extend(fault.map(|fault| ("WOODGAP_FAULT".to_owned(), (*fault).to_owned())));
        let program = Program { name: &name, file: program, args: Vec::new(), env };
        let (process, addr) = Process::start(program, node_ready).await?;
        self.node_relays[place].lead_to(addr);
        self.processes[place] = Some(process);
        self.events.emit("node_up", json!({"node": name}));
        Ok(())
    }

    /// Starts again the nodes that have ended by themselves, as a host would; how many.
    ///
    /// # Errors
    ///
    /// Where one does not start again.
    pub async fn restart_ended(&mut self) -> anyhow::Result<usize> {
        let ended: Vec<usize> = (0..self.processes.len())
            .filter(|&place| self.processes[place].as_mut().is_some_and(|process| !process.runs()))
            .collect();
        for &place in &ended {
            self.start_node(place).await?;
        }
        Ok(ended.len())
    }

    /// Where the list of a node's agent lies on disk.
    pub fn list_file(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("n{place}.list"))
    }

    /// What a node is after a repair: without the fault that it was started with.
    ///
    /// # Errors
    ///
    /// Where it does not start again.
    pub async fn repair_node(&mut self, place: usize) -> anyhow::Result<()> {
        if let Some(process) = self.processes[place].take() {
            process.kill().await?;
        }
        self.plan.faults.remove(&place);
        self.start_node(place).await
    }

    /// Commits a change of the list and returns its revision.
    ///
    /// # Errors
    ///
    /// Where the registry does not take it.
    pub async fn change(&mut self) -> anyhow::Result<u64> {
        let id = format!("x-{}", (self.changes + 1) as usize % self.plan.servers);
        self.change_to(&id).await
    }

    /// Commits a change that nodes with the fault `crash` do not survive.
    ///
    /// # Errors
    ///
    /// Where the registry does not take it.
    pub async fn bad_change(&mut self) -> anyhow::Result<u64> {
        self.change_to("x-bad").await
    }

    async fn change_to(&mut self, id: &str) -> anyhow::Result<u64> {
        self.changes += 1;
        let place = self.changes as usize % self.plan.servers;
        let size = 1.0 + (self.changes % 7) as f64 / 100.0;
        let mut member = self.server_member(place, self.servers[place].addr);
        member["size"] = json!(size);
        // The server's agent would put the old size back with its next word: it is a server of its own.
        member["id"] = json!(id);
        member["phase"] = json!("terminating");
        let command = json!({"put": {"member": member}});
        let command = serde_json::from_value(command).context("a command")?;
        let outcome = self.client.propose(&Client::generate_request_id(), command, PATIENCE).await?;
        let outcome = serde_json::to_value(&outcome)?;
        let revision =
            outcome["done"]["revision"].as_u64().with_context(|| format!("a change: {outcome}"))?;
        self.events.emit("committed", json!({"revision": revision}));
        Ok(revision)
    }

    /// Another client, by the same links.
    ///
    /// # Errors
    ///
    /// Where the system gives no sockets.
    pub fn client(&self) -> anyhow::Result<Client> {
        Ok(Client::new(self.apis.iter().map(Relay::addr).collect())?)
    }

    /// A client of one replica alone.
    ///
    /// # Errors
    ///
    /// Where that replica is down.
    pub fn replica(&self, place: usize) -> anyhow::Result<Client> {
        let target = self.api_targets[place].filter(|_| self.replicas[place].is_some());
        Ok(Client::new(vec![target.with_context(|| format!("r{place} is down"))?])?)
    }

    /// What the audit says.
    ///
    /// # Errors
    ///
    /// Where no replica answers.
    pub async fn audit(&self) -> anyhow::Result<Value> {
        Ok(self.client.get("/v1/audit").await?)
    }

    /// The lines of the audit's history, verified.
    ///
    /// # Errors
    ///
    /// Where no replica answers, or the chain does not hold.
    pub async fn history(&self) -> anyhow::Result<Vec<Value>> {
        let answer = self.client.get("/v1/audit/history?most=10000").await?;
        answer["lines"].as_array().cloned().context("no lines")
    }

    /// Waits for a condition.
    ///
    /// # Errors
    ///
    /// Where it does not come to hold in time, with the logs of all processes.
    pub async fn wait(
        &self,
        what: &str,
        holds: impl AsyncFn(&Site) -> anyhow::Result<bool>,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < PATIENCE {
            match holds(self).await {
                Ok(true) => return Ok(start.elapsed()),
                Ok(false) => {}
                Err(error) => last = format!("{error:#}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        let audit = self.audit().await.unwrap_or_default();
        bail!("not in {PATIENCE:?}: {what} ({last})\n{audit:#}\n{}", self.logs())
    }

    /// The end of all processes' logs.
    pub fn logs(&self) -> String {
        let machines =
            self.nodes.iter().chain(&self.server_machines).filter_map(|machine| machine.agent.as_ref());
        let all = self.replicas.iter().flatten().chain(self.processes.iter().flatten()).chain(machines);
        all.map(Process::log).collect()
    }

    fn write(&self, name: &str, config: &Value) -> anyhow::Result<String> {
        let file = self.folder.path().join(name);
        // Figment reads TOML; inline tables and JSON's values look alike but for the separator.
        std::fs::write(&file, toml(config))?;
        Ok(file.to_string_lossy().into_owned())
    }
}

/// An object as TOML: tables are written inline.
fn toml(config: &Value) -> String {
    fn value(value: &Value) -> String {
        match value {
            Value::Object(map) => {
                let pairs: Vec<String> =
                    map.iter().map(|(name, of)| format!("{name} = {}", value_of(of))).collect();
                format!("{{ {} }}", pairs.join(", "))
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(value_of).collect();
                format!("[{}]", items.join(", "))
            }
            other => other.to_string(),
        }
    }
    fn value_of(of: &Value) -> String {
        value(of)
    }
    let Value::Object(map) = config else { return String::new() };
    map.iter().map(|(name, of)| format!("{name} = {}\n", value_of(of))).collect()
}

/// Runs a scenario on a thread of its own runtime; what fails is shown with all logs.
///
/// # Errors
///
/// What the scenario says.
pub fn run<F: Future<Output = anyhow::Result<()>>>(scenario: impl FnOnce() -> F) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { scenario().await })
}
