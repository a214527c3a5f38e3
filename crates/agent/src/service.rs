//! The agent's event loop. It owns the agent's state and handles the lines of the registry's watch, the watches of
//! nodes, the reports, and the timers; requests to the registry run in tasks that send their result back to the loop.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use client::Client;
use registry::{Command, Member, Role};
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot};

use crate::config::Config;
use crate::list::{LineEffect, ServerList};
use crate::list_cache;
use crate::registration::{register, Registration, RegistrationError, COMMAND_TIMEOUT};
use crate::reports::{NodeReport, ReportBuffer, ServerReport};

/// How long a watch of the node may be silent before it is sent an empty line. A node expects a line every 2 s.
const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_900);
/// How often the loop checks for work that has become due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How many lines can wait for one watch.
pub const WATCH_QUEUE_LINES: usize = 64;
/// How many watches can be open.
const MAX_WATCHES: usize = 64;
/// How long the client tries to send a batch of reports, before the loop starts over with the same batch.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the host may take to accept a restart.
const RESTART_TIMEOUT: Duration = Duration::from_secs(2);

/// A message to the event loop.
pub enum LoopMessage {
    /// A line of the registry's watch.
    RegistryLine(Value),
    /// A node opens a watch.
    OpenWatch {
        /// The revision that the node has.
        index: u64,
        lines: mpsc::Sender<Bytes>,
        /// Receives whether the watch is open.
        opened: oneshot::Sender<bool>,
    },
    /// Asks for the complete list; the reply is `None` while there is none.
    GetList(oneshot::Sender<Option<Value>>),
    NodeReport(NodeReport, oneshot::Sender<Value>),
    ServerReport(ServerReport, oneshot::Sender<Value>),
    GetDirectives(oneshot::Sender<Value>),
    /// The request with a batch of reports has ended; `true` if the batch need not be sent again.
    BatchFinished(bool),
    /// A renewal has ended; the members are those that the registry has in this form.
    RenewalFinished(Vec<Member>),
}

/// A command to the task that reads the registry's watch.
enum WatchCommand {
    /// Continue at another replica and request the complete list.
    Refetch,
}

/// An open watch of a node.
struct NodeWatch {
    /// The revision of the newest line that was queued for the node.
    sent_revision: u64,
    last_line_at: Instant,
    lines: mpsc::Sender<Bytes>,
}

/// The agent's state.
pub struct Service {
    config: Config,
    client: Arc<Client>,
    list: ServerList,
    /// The newest log time that the registry has sent.
    registry_clock: u64,
    /// The newest directives of the audit.
    directives: Value,
    watches: Vec<NodeWatch>,
    /// Whether the next watch that opens begins with the complete list, whatever revision the node has.
    sends_complete_list_next: bool,
    report_buffer: ReportBuffer,
    /// The reports that are being sent to the registry, with their request id. Until the registry has accepted or
    /// rejected them they are sent again unchanged, under the same request id, so that they are applied once.
    outgoing_batch: Option<(String, Vec<audit::Event>)>,
    is_sending_batch: bool,
    /// The members to keep registered: the servers of this machine from the start, and each node from its first
    /// report on.
    members: Vec<Member>,
    /// The ids of the members that the registry may not have in their present form.
    unconfirmed_members: BTreeSet<String>,
    is_renewing: bool,
    last_batch_at: Instant,
    /// When the last renewal began; `None` if a renewal is due at once.
    last_renewal_at: Option<Instant>,
    /// For each node, the last escalation step that was executed and the log time of its directive.
    executed_steps: BTreeMap<String, (String, u64)>,
    watch_commands: mpsc::Sender<WatchCommand>,
    loop_tx: mpsc::Sender<LoopMessage>,
    /// Whether the list has changed since it was last written to disk.
    is_cache_outdated: bool,
}

impl Service {
    /// Creates the service with the list from the disk, and starts to watch the registry.
    pub fn new(config: Config, loop_tx: mpsc::Sender<LoopMessage>) -> anyhow::Result<Service> {
        let list = match list_cache::read(&config.cache_file) {
            Ok(list) => list.unwrap_or_default(),
            Err(error) => {
                tracing::warn!(
                    error = format!("{error:#}"),
                    "could not read the cached list; starting without it"
                );
                ServerList::default()
            }
        };
        let client = Arc::new(Client::new(config.registry_endpoints.clone())?);
        let (watch_commands, commands_rx) = mpsc::channel(4);
        let from = Some(list.revision).filter(|&revision| revision > 0);
        tokio::spawn(watch_registry(client.watch(from), loop_tx.clone(), commands_rx));
        let members: Vec<Member> =
            config.members.iter().filter(|member| member.role == Role::Server).cloned().collect();
        let unconfirmed_members = members.iter().map(|member| member.id.clone()).collect();
        Ok(Service {
            client,
            list,
            registry_clock: 0,
            directives: json!({"floor": 0, "nodes": {}}),
            watches: Vec::new(),
            sends_complete_list_next: false,
            report_buffer: ReportBuffer::default(),
            outgoing_batch: None,
            is_sending_batch: false,
            members,
            unconfirmed_members,
            is_renewing: false,
            last_batch_at: Instant::now(),
            last_renewal_at: None,
            executed_steps: BTreeMap::new(),
            watch_commands,
            loop_tx,
            is_cache_outdated: false,
            config,
        })
    }

    /// Runs the event loop until all senders of messages are gone.
    pub async fn run(mut self, mut loop_rx: mpsc::Receiver<LoopMessage>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                message = loop_rx.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = timer.tick() => self.handle_tick(),
            }
        }
    }

    fn handle_message(&mut self, message: LoopMessage) {
        match message {
            LoopMessage::RegistryLine(line) => self.handle_registry_line(&line),
            LoopMessage::OpenWatch { index, lines, opened } => {
                self.watches.retain(|watch| !watch.lines.is_closed());
                let has_room = self.watches.len() < MAX_WATCHES;
                let _ = opened.send(has_room);
                if has_room {
                    let sent_revision =
                        if std::mem::take(&mut self.sends_complete_list_next) { 0 } else { index };
                    self.watches.push(NodeWatch { sent_revision, last_line_at: Instant::now(), lines });
                    self.update_watches(None);
                }
            }
            LoopMessage::GetList(reply) => {
                drop(reply.send((self.list.revision > 0).then(|| self.list.to_complete_line())))
            }
            LoopMessage::NodeReport(report, reply) => {
                self.handle_node_report(&report);
                let directive = self.directives["nodes"][&report.node].clone();
                let admission = directive["admission"].as_str().unwrap_or("full");
                let response = json!({
                    "clock": self.registry_clock, "floor": self.directives["floor"], "admission": admission,
                });
                let _ = reply.send(response);
            }
            LoopMessage::ServerReport(report, reply) => {
                self.report_buffer.add_server_report(&report, unix_ms(), self.config.max_observations);
                let response = json!({"clock": self.registry_clock, "floor": self.directives["floor"]});
                let _ = reply.send(response);
            }
            LoopMessage::GetDirectives(reply) => {
                let response = json!({
                    "clock": self.registry_clock, "held": self.list.revision, "directives": self.directives,
                });
                let _ = reply.send(response);
            }
            LoopMessage::BatchFinished(is_done) => {
                self.is_sending_batch = false;
                if is_done {
                    self.outgoing_batch = None;
                }
            }
            LoopMessage::RenewalFinished(confirmed) => {
                self.is_renewing = false;
                // A member that has changed since the renewal began stays unconfirmed.
                for member in confirmed.iter().filter(|member| self.members.contains(member)) {
                    self.unconfirmed_members.remove(&member.id);
                }
            }
        }
    }

    fn handle_registry_line(&mut self, line: &Value) {
        self.registry_clock = self.registry_clock.max(line["clock"].as_u64().unwrap_or(0));
        let revision_before = self.list.revision;
        if let LineEffect::Changed(change) = self.list.apply_line(line) {
            self.is_cache_outdated = true;
            self.update_watches(Some((revision_before, &change)));
            let (forwarded_revision, agent_revision) = (self.forwarded_revision(), self.list.revision);
            for node in self.config.members.iter().filter(|member| member.role == Role::Node) {
                self.report_buffer.record_forwarding(&node.id, forwarded_revision, agent_revision);
            }
        }
        if line["directives"].is_object() {
            self.directives = line["directives"].clone();
            self.execute_directives();
        }
    }

    /// The newest revision that was sent to a watch of the node.
    fn forwarded_revision(&self) -> u64 {
        self.watches.iter().map(|watch| watch.sent_revision).max().unwrap_or(0)
    }

    /// Sends the node's watches what they lack. A watch that has the agent's revision or a newer one is sent nothing.
    /// `change` is the newest change of the list, with the revision that it applies to.
    fn update_watches(&mut self, change: Option<(u64, &Value)>) {
        let (revision, list) = (self.list.revision, &self.list);
        self.watches.retain_mut(|watch| {
            if watch.sent_revision >= revision {
                return !watch.lines.is_closed();
            }
            // A watch that had everything before the change needs only the change.
            let line = change.filter(|&(before, _)| before > 0 && watch.sent_revision == before);
            let text = line.map_or_else(|| list.to_complete_line(), |(_, line)| line.clone());
            (watch.sent_revision, watch.last_line_at) = (revision, Instant::now());
            watch.lines.try_send(Bytes::from(format!("{text}\n"))).is_ok()
        });
    }

    /// Buffers the report of a node. If the node belongs to this machine and its process or version is new, has it
    /// registered again at once.
    fn handle_node_report(&mut self, report: &NodeReport) {
        self.report_buffer.add_node_report(report, unix_ms());
        let Some(configured) = self.config.members.iter().find(|member| member.id == report.node) else {
            return;
        };
        let member = Member {
            incarnation: report.incarnation,
            program: report.program.clone(),
            config: report.config.clone(),
            ..configured.clone()
        };
        if !self.members.contains(&member) {
            self.members.retain(|other| other.id != member.id);
            self.unconfirmed_members.insert(member.id.clone());
            self.members.push(member);
            self.last_renewal_at = None;
        }
    }

    /// Sends heartbeats, writes the list to disk, sends the reports and renews the leases, each where it is due.
    fn handle_tick(&mut self) {
        self.watches.retain_mut(|watch| {
            if watch.last_line_at.elapsed() < WATCH_HEARTBEAT_INTERVAL {
                return !watch.lines.is_closed();
            }
            watch.last_line_at = Instant::now();
            watch.lines.try_send(Bytes::from_static(b"\n")).is_ok()
        });
        if std::mem::take(&mut self.is_cache_outdated) {
            let (file, list) = (self.config.cache_file.clone(), self.list.clone());
            tokio::task::spawn_blocking(move || {
                if let Err(error) = list_cache::write(&file, &list) {
                    tracing::warn!(error = format!("{error:#}"), "could not write the list to disk");
                }
            });
        }
        let report_interval = Duration::from_millis(self.config.report_interval_ms);
        if self.last_batch_at.elapsed() >= report_interval && !self.is_sending_batch {
            self.send_batch();
        }
        let renew_interval = Duration::from_millis(self.config.renew_interval_ms);
        let is_renewal_due = self.last_renewal_at.is_none_or(|at| at.elapsed() >= renew_interval);
        if !self.is_renewing && is_renewal_due && !self.members.is_empty() {
            self.renew_members();
        }
    }

    /// Sends the buffered reports to the registry. A batch without a response is sent again under the same request
    /// id, because it may have been applied.
    fn send_batch(&mut self) {
        self.last_batch_at = Instant::now();
        if self.outgoing_batch.is_none() && !self.report_buffer.is_empty() {
            self.outgoing_batch = Some((Client::generate_request_id(), self.report_buffer.take_events()));
        }
        let Some((request_id, events)) = self.outgoing_batch.clone() else { return };
        self.is_sending_batch = true;
        let (client, loop_tx) = (self.client.clone(), self.loop_tx.clone());
        tokio::spawn(async move {
            let result = client.propose(&request_id, Command::Audit(events), REPORT_TIMEOUT).await;
            if let Err(error) = &result {
                tracing::debug!(%error, "could not forward the reports to the registry");
            }
            // A batch that the registry can't read is dropped: it would be rejected again.
            let is_done = result.is_ok() || matches!(result, Err(client::Error::Rejected(_)));
            let _ = loop_tx.send(LoopMessage::BatchFinished(is_done)).await;
        });
    }

    /// Registers the members that are new or have changed, and renews the leases of the others. A renewal leaves the
    /// registered data as it is, and a registration leaves the phase as it is, so that an operator's drain stays in force.
    fn renew_members(&mut self) {
        (self.is_renewing, self.last_renewal_at) = (true, Some(Instant::now()));
        let (client, loop_tx) = (self.client.clone(), self.loop_tx.clone());
        let unconfirmed_members = self.unconfirmed_members.clone();
        let (members, lease_ms) = (self.members.clone(), Some(self.config.lease_ms));
        tokio::spawn(async move {
            let (unconfirmed, registered): (Vec<Member>, Vec<Member>) =
                members.into_iter().partition(|member| unconfirmed_members.contains(&member.id));
            let mut confirmed = registered.clone();
            let ids: Vec<String> = registered.iter().map(|member| member.id.clone()).collect();
            // A conflict says that the registry lacks at least one of the members; each that is absent is put again.
            let maybe_absent = match client.propose("", Command::Renew { ids }, COMMAND_TIMEOUT).await {
                Ok(registry::Outcome::Conflict { .. }) => registered,
                Ok(_) => Vec::new(),
                Err(error) => {
                    tracing::debug!(%error, "could not renew the leases");
                    Vec::new()
                }
            };
            let changed = unconfirmed.into_iter().map(|member| (member, Registration::Update));
            let lost = maybe_absent.into_iter().map(|member| (member, Registration::IfAbsent));
            for (member, registration) in changed.chain(lost) {
                match register(&client, &member, lease_ms, registration).await {
                    Ok(()) => confirmed.push(member),
                    Err(RegistrationError::Refused(reason)) => {
                        tracing::warn!(
                            member = member.id,
                            why = reason,
                            "the registry refused to register the member"
                        )
                    }
                    Err(error) => {
                        tracing::debug!(member = member.id, %error, "could not register the member; will retry")
                    }
                }
            }
            let _ = loop_tx.send(LoopMessage::RenewalFinished(confirmed)).await;
        });
    }

    /// Executes the audit's escalation steps for the nodes of this machine, each of them once.
    fn execute_directives(&mut self) {
        let nodes: Vec<String> = self
            .config
            .members
            .iter()
            .filter(|member| member.role == Role::Node)
            .map(|member| member.id.clone())
            .collect();
        for node in nodes {
            let directive = &self.directives["nodes"][&node];
            let (Some(step), Some(since)) = (directive["step"].as_str(), directive["step_at"].as_u64())
            else {
                continue;
            };
            let directed_step = (step.to_owned(), since);
            if self.executed_steps.get(&node) == Some(&directed_step) {
                continue;
            }
            tracing::info!(node, step, "executing a directive of the audit");
            match step {
                "told_again" => drop(self.watch_commands.try_send(WatchCommand::Refetch)),
                "rewatched" => {
                    let _ = self.watch_commands.try_send(WatchCommand::Refetch);
                    // Closes the node's watch too. The node opens a new one, which begins with the complete list.
                    self.sends_complete_list_next = true;
                    self.watches.clear();
                }
                "restarted" => self.request_restart(&node),
                _ => {}
            }
            self.executed_steps.insert(node, directed_step);
        }
    }

    /// Requests the host to drain and restart a node, if a URL for that is configured.
    fn request_restart(&self, node: &str) {
        let Some(url) = self.config.restart_url.clone() else { return };
        let body = json!({"node": node});
        tokio::spawn(async move {
            let request = reqwest::Client::new().post(&url).json(&body).timeout(RESTART_TIMEOUT).send();
            if let Err(error) = request.await.and_then(reqwest::Response::error_for_status) {
                tracing::warn!(host = %url, %error, "could not request the restart of the node");
            }
        });
    }
}

/// Passes the lines of the registry's watch to the event loop, and carries out the loop's commands.
async fn watch_registry(
    mut watch: client::Watch,
    loop_tx: mpsc::Sender<LoopMessage>,
    mut commands: mpsc::Receiver<WatchCommand>,
) {
    loop {
        tokio::select! {
            line = watch.next_line() => if loop_tx.send(LoopMessage::RegistryLine(line)).await.is_err() {
                return;
            },
            command = commands.recv() => match command {
                Some(WatchCommand::Refetch) => watch.switch_replica(true),
                None => return,
            },
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
