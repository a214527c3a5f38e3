//! A site: a whole deployment on loopback, of replicas, agents, nodes, fake servers and a load generator. There is a
//! relay on every link except those from nodes to servers.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{bail, Context};
use client::Client;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::binaries::Binaries;
use crate::events::Events;
use crate::fake_server::FakeServer;
use crate::load_generator::LoadGenerator;
use crate::process::{Process, ProcessSpec};
use crate::relay::Relay;

/// How long a condition is waited for: longer than anything takes on a machine that works.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);
/// Number of zones. Nodes and servers are assigned to them in turn.
const ZONE_COUNT: usize = 3;

/// The composition of a site.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Number of replicas of the registry: 1, 3 or 5.
    pub replicas: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of application servers.
    pub servers: usize,
    /// Requests per second of the load generator.
    pub requests_per_s: f64,
    /// Faults of nodes, by the node's index. A `stuck` node ignores every list after its first, a `liar` does so
    /// and reports that it acts on the newest, and a `crash` node exits soon after the change of
    /// [`Site::change_list_to_crash_nodes`].
    pub node_faults: BTreeMap<usize, &'static str>,
    /// Whether stragglers go beyond the first escalation step.
    pub is_escalation_enabled: bool,
}

impl Default for SiteConfig {
    fn default() -> Self {
        SiteConfig {
            replicas: 3,
            nodes: 12,
            servers: 8,
            requests_per_s: 150.0,
            node_faults: BTreeMap::new(),
            is_escalation_enabled: true,
        }
    }
}

/// The audit's configuration on a site. Its times are shorter than in service, so that a test sees several rounds.
/// Without escalation, an escalation step takes longer than any run.
pub fn audit_config(is_escalation_enabled: bool) -> Value {
    json!({
        "grace": 2_000, "flight": 800, "step": if is_escalation_enabled { 1_500 } else { 1_000_000_000u64 },
        "probation": 2_000, "forget": 600_000, "probation_part": 0.1, "shared": 0.25, "most_out": 0.17,
        "crashes": 2, "crash_window": 4_000, "restarts": false, "history": 10_000, "revisions": 200,
        "refused": 1_000, "sights": 1_000, "nodes": 1_000,
    })
}

/// The agent of a node's or a server's machine, with its links.
pub struct Machine {
    /// The agent; `None` while it is down.
    pub agent: Option<Process>,
    /// The link from the node or server to the agent.
    pub agent_link: Relay,
    /// The links from the agent to the replicas, by the replica's index.
    pub registry_links: Vec<Relay>,
    agent_config: PathBuf,
}

/// A running site.
pub struct Site {
    /// The composition. The fault of a node that was repaired is removed from it.
    pub config: SiteConfig,
    /// The event file.
    pub events: Events,
    /// The load generator.
    pub load_generator: LoadGenerator,
    /// The replicas, by index; `None` while one is down.
    pub replicas: Vec<Option<Process>>,
    /// The machines of the nodes, by the node's index.
    pub node_machines: Vec<Machine>,
    /// The nodes, by index; `None` until one is started. A node that exited by itself stays until it is restarted.
    pub nodes: Vec<Option<Process>>,
    /// The machines of the servers, by the server's index.
    pub server_machines: Vec<Machine>,
    /// The servers, by index.
    pub servers: Vec<FakeServer>,
    /// A client of the registry, with links of its own.
    pub client: Client,
    /// The Raft links between replicas, by the indexes of the sender and of the receiver.
    pub raft_links: BTreeMap<(usize, usize), Relay>,
    /// The links from clients to the replicas, by the replica's index.
    client_links: Vec<Relay>,
    raft_addrs: Vec<Option<SocketAddr>>,
    api_addrs: Vec<Option<SocketAddr>>,
    /// All links to the APIs of replicas, each with the replica's index.
    api_links: Vec<(usize, Relay)>,
    /// The links from the load generator to the nodes, by the node's index.
    load_links: Vec<Relay>,
    binaries: Binaries,
    dir: tempfile::TempDir,
    list_changes: u64,
}

/// Finds the address after `prefix` in a line of fields that are separated by spaces.
fn parse_addr_field(line: &str, prefix: &str) -> Option<SocketAddr> {
    let addr = line.split(' ').find_map(|field| field.strip_prefix(prefix))?;
    addr.trim_matches('"').parse().ok()
}

/// Returns the address in the log line with which a node says that it is ready.
pub(crate) fn parse_node_ready(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    (line["fields"]["message"] == "ready").then(|| line["fields"]["listen"].as_str()?.parse().ok())?
}

impl Site {
    /// Starts a site and waits until all servers and nodes are registered.
    ///
    /// # Errors
    ///
    /// Fails, with the log, if a process does not start.
    pub async fn start(config: SiteConfig, seed: u64) -> anyhow::Result<Site> {
        let binaries = Binaries::build()?;
        let dir = tempfile::tempdir()?;
        let events = Events::create(&dir.path().join("events.jsonl"))?;
        let load_generator = LoadGenerator::new(events.clone(), seed)?;
        let mut client_links = Vec::new();
        let mut raft_links = BTreeMap::new();
        for to in 0..config.replicas {
            client_links.push(Relay::open(&format!("client to r{to}")).await?);
            for from in (0..config.replicas).filter(|&from| from != to) {
                raft_links.insert((from, to), Relay::open(&format!("r{from} to r{to}")).await?);
            }
        }
        let client = Client::new(client_links.iter().map(Relay::addr).collect())?;
        let api_links = client_links.iter().cloned().enumerate().collect();
        let mut site = Site {
            replicas: (0..config.replicas).map(|_| None).collect(),
            raft_addrs: vec![None; config.replicas],
            api_addrs: vec![None; config.replicas],
            node_machines: Vec::new(),
            nodes: Vec::new(),
            server_machines: Vec::new(),
            servers: Vec::new(),
            load_links: Vec::new(),
            list_changes: 0,
            config,
            events,
            load_generator,
            client,
            raft_links,
            client_links,
            api_links,
            binaries,
            dir,
        };
        for replica in 0..site.config.replicas {
            site.start_replica(replica).await?;
        }
        site.wait_until("a replica leads", async |site| Ok(site.find_leader().await.is_some())).await?;
        for server in 0..site.config.servers {
            site.add_server(server).await?;
        }
        let servers = site.config.servers;
        site.wait_until("all servers are registered", async |site| {
            Ok(site.client.get("/api/targets").await?["members"].as_array().map_or(0, Vec::len) == servers)
        })
        .await?;
        for node in 0..site.config.nodes {
            site.add_node(node).await?;
        }
        let nodes = site.config.nodes;
        site.wait_until("all nodes are registered", async |site| {
            Ok(site.fetch_audit().await?["nodes"].as_object().map_or(0, serde_json::Map::len) == nodes)
        })
        .await?;
        site.load_generator.follow_directives(site.client.watch(None));
        site.load_generator.start(site.config.requests_per_s);
        site.events.emit("started", json!({"nodes": nodes, "servers": servers}));
        Ok(site)
    }

    /// Starts a replica. A replica that ran before resumes from its data directory.
    ///
    /// # Errors
    ///
    /// Fails if the replica does not start.
    pub async fn start_replica(&mut self, index: usize) -> anyhow::Result<()> {
        let peers: Vec<Value> = (0..self.config.replicas)
            .filter(|&to| to != index)
            .map(|to| {
                let (raft, api) = (&self.raft_links[&(index, to)], &self.client_links[to]);
                json!({"id": to + 1, "raft": raft.addr(), "api": api.addr()})
            })
            .collect();
        let config = json!({"registry": {
            "cluster": 77, "id": index + 1, "listen": "127.0.0.1:0", "raft_listen": "127.0.0.1:0",
            "data": self.dir.path().join(format!("replica-{index}")), "peers": peers, "clock_ms": 200,
            "state": {"targets": "app", "audit": audit_config(self.config.is_escalation_enabled),
                "expire_part": 0.3},
        }});
        let file = self.write_config(&format!("replica-{index}.toml"), &config)?;
        let name = format!("r{index}");
        let args = ["registry", "--config", &file].map(str::to_owned).to_vec();
        let spec = ProcessSpec { name: &name, executable: &self.binaries.fircroft, args, env: Vec::new() };
        let parse_ready = |line: &str| {
            let line = line.strip_prefix("registry ready ")?;
            Some((parse_addr_field(line, "api=")?, parse_addr_field(line, "raft=")?))
        };
        let (process, (api, raft)) = Process::start(spec, parse_ready).await?;
        self.replicas[index] = Some(process);
        (self.raft_addrs[index], self.api_addrs[index]) = (Some(raft), Some(api));
        let raft_links = self.raft_links.iter().filter(|((_, to), _)| *to == index);
        raft_links.for_each(|(_, link)| link.set_target(raft));
        let api_links = self.api_links.iter().filter(|(to, _)| *to == index);
        api_links.for_each(|(_, link)| link.set_target(api));
        self.events.emit("replica_up", json!({"replica": index}));
        Ok(())
    }

    /// Kills a replica.
    ///
    /// # Errors
    ///
    /// Fails if the replica is down.
    pub async fn kill_replica(&mut self, index: usize) -> anyhow::Result<()> {
        let process = self.replicas[index].take().with_context(|| format!("r{index} is already down"))?;
        process.kill().await?;
        self.events.emit("replica_killed", json!({"replica": index}));
        Ok(())
    }

    /// The address of a replica's API itself, not of a link to it.
    pub fn api_addr(&self, index: usize) -> Option<SocketAddr> {
        self.api_addrs[index]
    }

    /// The programs under test.
    pub fn binaries(&self) -> &Binaries {
        &self.binaries
    }

    /// The directory of the run's files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the index of the first replica that says that it leads.
    pub async fn find_leader(&self) -> Option<usize> {
        for (index, addr) in self.api_addrs.iter().enumerate() {
            let (Some(addr), true) = (addr, self.replicas[index].is_some()) else { continue };
            let Ok(client) = Client::new(vec![*addr]) else { continue };
            if client.get("/v1/status").await.is_ok_and(|status| status["leads"] == true) {
                return Some(index);
            }
        }
        None
    }

    /// Starts a machine with an agent, which registers `member`.
    async fn start_machine(&mut self, name: &str, member: Value) -> anyhow::Result<Machine> {
        let mut registry_links = Vec::new();
        for to in 0..self.config.replicas {
            let link = Relay::open(&format!("{name} to r{to}")).await?;
            self.api_addrs[to].inspect(|&api| link.set_target(api));
            self.api_links.push((to, link.clone()));
            registry_links.push(link);
        }
        let registry: Vec<SocketAddr> = registry_links.iter().map(Relay::addr).collect();
        let config = json!({"agent": {
            "listen": "127.0.0.1:0", "registry": registry, "members": [member], "report_ms": 250,
            "cache": self.dir.path().join(format!("{name}.list")), "lease_ms": 6_000, "renew_ms": 1_500,
        }});
        let file = self.write_config(&format!("{name}.toml"), &config)?;
        let agent_link = Relay::open(&format!("{name} to its agent")).await?;
        let mut machine =
            Machine { agent: None, agent_link, registry_links, agent_config: PathBuf::from(file) };
        self.start_agent(name, &mut machine).await?;
        Ok(machine)
    }

    /// Starts or restarts the agent of a machine.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not start.
    pub async fn start_agent(&self, name: &str, machine: &mut Machine) -> anyhow::Result<SocketAddr> {
        let name = format!("agent-{name}");
        let config = machine.agent_config.to_string_lossy().into_owned();
        let args = vec!["agent".into(), "--config".into(), config];
        let spec = ProcessSpec { name: &name, executable: &self.binaries.fircroft, args, env: Vec::new() };
        let parse_ready = |line: &str| parse_addr_field(line.strip_prefix("agent ready ")?, "listen=");
        let (process, addr) = Process::start(spec, parse_ready).await?;
        machine.agent = Some(process);
        machine.agent_link.set_target(addr);
        Ok(addr)
    }

    async fn add_server(&mut self, index: usize) -> anyhow::Result<()> {
        let id = format!("s-{index}");
        let server = FakeServer::start(&id, self.events.clone()).await?;
        let member = self.server_member(index, server.addr);
        let machine = self.start_machine(&id, member).await?;
        server.set_agent(machine.agent_link.addr());
        self.servers.push(server);
        self.server_machines.push(machine);
        Ok(())
    }

    fn server_member(&self, index: usize, addr: SocketAddr) -> Value {
        json!({"id": format!("s-{index}"), "role": "server", "pool": "app",
            "zone": format!("z{}", index % ZONE_COUNT), "host_port": addr.to_string(), "cell": 0, "size": 1.0,
            "up_since_ms": 0})
    }

    async fn add_node(&mut self, index: usize) -> anyhow::Result<()> {
        let name = format!("n{index}");
        let load_link = Relay::open(&format!("load generator to {name}")).await?;
        let member = json!({"id": name, "role": "node", "pool": "nodes",
            "zone": format!("z{}", index % ZONE_COUNT), "host_port": load_link.addr().to_string()});
        let machine = self.start_machine(&name, member).await?;
        self.load_generator.add_node(&name, load_link.addr());
        self.load_links.push(load_link);
        self.node_machines.push(machine);
        self.nodes.push(None);
        self.start_node(index).await
    }

    /// Starts or restarts a node.
    ///
    /// # Errors
    ///
    /// Fails if the node does not start.
    pub async fn start_node(&mut self, index: usize) -> anyhow::Result<()> {
        let name = format!("n{index}");
        let config = json!({
            "name": name, "listen": "127.0.0.1:0",
            "discovery": self.node_machines[index].agent_link.addr().to_string(),
            "seed": format!("{:x}", index + 1), "audit": true,
            "settings": {
                "group-size": self.config.nodes, "registry-mode": "push", "weight-source": "nominal",
                "classes": [{"name": "look", "aim": 1_000_000, "deadline": 2_000_000, "semantics": "safe"}],
                "bounds": {"max-attempts": 3, "cancelling": true, "dial-timeout": 250_000, "keepalive": 5_000_000},
                "rules": {"stop-sending-within": 1_000_000},
            },
        });
        let file = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&file, config.to_string())?;
        let fault = self.config.node_faults.get(&index);
        let executable = if fault.is_some() { &self.binaries.faulty_node } else { &self.binaries.node };
        let mut env = vec![
            ("BALANCER_CONFIG".to_owned(), file.to_string_lossy().into_owned()),
            ("BALANCER_LOG_FORMAT".to_owned(), "json".to_owned()),
        ];
        env.extend(fault.map(|fault| ("WOODGAP_FAULT".to_owned(), (*fault).to_owned())));
        let spec = ProcessSpec { name: &name, executable, args: Vec::new(), env };
        let (process, addr) = Process::start(spec, parse_node_ready).await?;
        self.load_links[index].set_target(addr);
        self.nodes[index] = Some(process);
        self.events.emit("node_up", json!({"node": name}));
        Ok(())
    }

    /// Restarts the nodes that have exited by themselves, as a host would. Returns how many there were.
    ///
    /// # Errors
    ///
    /// Fails if a node does not start.
    pub async fn restart_exited_nodes(&mut self) -> anyhow::Result<usize> {
        let exited: Vec<usize> = (0..self.nodes.len())
            .filter(|&index| self.nodes[index].as_mut().is_some_and(|process| !process.is_running()))
            .collect();
        for &index in &exited {
            self.start_node(index).await?;
        }
        Ok(exited.len())
    }

    /// The file in which a node's agent keeps its list.
    pub fn agent_list_file(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("n{index}.list"))
    }

    /// Restarts a node without its fault.
    ///
    /// # Errors
    ///
    /// Fails if the node does not start.
    pub async fn repair_node(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(process) = self.nodes[index].take() {
            process.kill().await?;
        }
        self.config.node_faults.remove(&index);
        self.start_node(index).await
    }

    /// Commits a change of the list and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails if the registry does not commit it.
    pub async fn change_list(&mut self) -> anyhow::Result<u64> {
        let id = format!("x-{}", (self.list_changes + 1) as usize % self.config.servers);
        self.put_changed_server(&id).await
    }

    /// Commits a change of the list after which nodes with the fault `crash` exit. Returns its revision.
    ///
    /// # Errors
    ///
    /// Fails if the registry does not commit it.
    pub async fn change_list_to_crash_nodes(&mut self) -> anyhow::Result<u64> {
        self.put_changed_server("x-bad").await
    }

    /// Registers a server that is being drained, with another size than at the call before.
    async fn put_changed_server(&mut self, id: &str) -> anyhow::Result<u64> {
        self.list_changes += 1;
        let index = self.list_changes as usize % self.config.servers;
        let size = 1.0 + (self.list_changes % 7) as f64 / 100.0;
        let mut member = self.server_member(index, self.servers[index].addr);
        member["size"] = json!(size);
        // A member with an id of its own: if it were a server's own member, that server's agent would soon register it
        // with the old size again.
        member["id"] = json!(id);
        member["phase"] = json!("terminating");
        let command = json!({"put": {"member": member}});
        let command = serde_json::from_value(command).context("build the command")?;
        let outcome = self.client.propose(&Client::generate_request_id(), command, WAIT_TIMEOUT).await?;
        let outcome = serde_json::to_value(&outcome)?;
        let revision = outcome["done"]["revision"]
            .as_u64()
            .with_context(|| format!("the change was not committed: {outcome}"))?;
        self.events.emit("committed", json!({"revision": revision}));
        Ok(revision)
    }

    /// Creates another client of the registry, which shares the links of [`Site::client`].
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be created.
    pub fn new_client(&self) -> anyhow::Result<Client> {
        Ok(Client::new(self.client_links.iter().map(Relay::addr).collect())?)
    }

    /// Creates a client of one replica only, without a relay.
    ///
    /// # Errors
    ///
    /// Fails if the replica is down.
    pub fn new_replica_client(&self, index: usize) -> anyhow::Result<Client> {
        let addr = self.api_addrs[index].filter(|_| self.replicas[index].is_some());
        Ok(Client::new(vec![addr.with_context(|| format!("r{index} is down"))?])?)
    }

    /// Returns the state of the audit, from any replica.
    ///
    /// # Errors
    ///
    /// Fails if no replica responds.
    pub async fn fetch_audit(&self) -> anyhow::Result<Value> {
        Ok(self.client.get("/v1/audit").await?)
    }

    /// Returns the entries of the audit's history, from any replica.
    ///
    /// # Errors
    ///
    /// Fails if no replica responds.
    pub async fn fetch_history(&self) -> anyhow::Result<Vec<Value>> {
        fetch_history(&self.client).await
    }

    /// Waits until a condition holds. Returns how long that took.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not hold within [`WAIT_TIMEOUT`], with the last error of the condition, the audit
    /// and the logs of all processes.
    pub async fn wait_until(
        &self,
        description: &str,
        condition: impl AsyncFn(&Site) -> anyhow::Result<bool>,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let mut last_error = String::new();
        while start.elapsed() < WAIT_TIMEOUT {
            match condition(self).await {
                Ok(true) => return Ok(start.elapsed()),
                Ok(false) => {}
                Err(error) => last_error = format!("{error:#}"),
            }
            sleep(WAIT_INTERVAL).await;
        }
        let audit = self.fetch_audit().await.unwrap_or_default();
        bail!("not within {WAIT_TIMEOUT:?}: {description} ({last_error})\n{audit:#}\n{}", self.logs())
    }

    /// Returns the last lines of all processes' logs.
    pub fn logs(&self) -> String {
        let machines = self.node_machines.iter().chain(&self.server_machines);
        let agents = machines.filter_map(|machine| machine.agent.as_ref());
        let processes = self.replicas.iter().flatten().chain(self.nodes.iter().flatten()).chain(agents);
        processes.map(Process::log).collect()
    }

    /// Writes a configuration as a TOML file and returns its path.
    fn write_config(&self, name: &str, config: &Value) -> anyhow::Result<String> {
        let file = self.dir.path().join(name);
        std::fs::write(&file, to_toml(config))?;
        Ok(file.to_string_lossy().into_owned())
    }
}

/// Returns the entries of the audit's history, from a replica that the client reaches.
///
/// # Errors
///
/// Fails if no replica responds.
pub async fn fetch_history(client: &Client) -> anyhow::Result<Vec<Value>> {
    let response = client.get("/v1/audit/history?most=10000").await?;
    response["lines"].as_array().cloned().context("the response has no history entries")
}

/// Formats a JSON object as TOML, with nested objects as inline tables. Other values are written alike in both
/// languages.
fn to_toml(config: &Value) -> String {
    fn format_value(value: &Value) -> String {
        match value {
            Value::Object(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(name, value)| format!("{name} = {}", format_value(value))).collect();
                format!("{{ {} }}", fields.join(", "))
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(format_value).collect();
                format!("[{}]", items.join(", "))
            }
            other => other.to_string(),
        }
    }
    let Value::Object(fields) = config else { return String::new() };
    fields.iter().map(|(name, value)| format!("{name} = {}\n", format_value(value))).collect()
}

/// Runs a scenario on a single-threaded runtime of its own.
///
/// # Errors
///
/// Fails if the scenario fails.
pub fn run_scenario<F: Future<Output = anyhow::Result<()>>>(
    scenario: impl FnOnce() -> F,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { scenario().await })
}
