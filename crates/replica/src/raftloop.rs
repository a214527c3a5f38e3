//! The event loop of a replica, which owns Raft and the state. It takes messages from the sockets, the disk and the
//! timer, and carries out what Raft asks for in return.

use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::SyncSender;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use raft::eraftpb::{Entry, Message as RaftMessage};
use raft::{RawNode, SnapshotStatus, StateRole};
use registry::{Command, Outcome, Proposal, State};
use store::{Batch, HardState, StoredState};
use tokio::sync::{mpsc, oneshot};

use crate::config::Config;
use crate::disk_writer::WriteJob;
use crate::log_storage::LogStorage;
use crate::peers::PeerLinks;
use crate::watches::{WatchKind, WatchRequest, Watches};
use crate::wire;

/// A message to the event loop.
pub enum LoopMessage {
    /// One tick of Raft's clock.
    Tick,
    /// A Raft message from a peer.
    Raft(wire::Message),
    Propose {
        proposal: Proposal,
        reply: oneshot::Sender<ProposalResult>,
    },
    /// Runs a function on the state.
    Query(Box<dyn FnOnce(&StateView<'_>) + Send>),
    OpenWatch(WatchRequest),
    /// All writes up to the one with this number are on disk.
    Persisted(u64),
    /// A write failed, for this reason.
    DiskFailed(String),
    /// The connection to this peer failed.
    PeerUnreachable(u64),
}

/// The result of proposing a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The command was committed and applied.
    Outcome(Outcome),
    /// This replica is not the leader; the id is the leader's, if it is known. The command was not applied.
    NotLeader(Option<u64>),
    /// The command may have been applied, or may still be.
    Unknown,
    /// Too many commands are pending. The command was not applied.
    Overloaded,
}

/// The state of a replica, as a query sees it.
pub struct StateView<'a> {
    pub state: &'a State,
    pub id: u64,
    pub leader: Option<u64>,
    pub term: u64,
    pub is_leader: bool,
}

/// A replica is stale if its log time has not advanced for this many of the intervals at which the leader advances it.
const STALE_AFTER_CLOCK_INTERVALS: u64 = 4;
/// However short the interval is, a replica is not stale before its log time has stood still for this long.
const MIN_STALE_AFTER: Duration = Duration::from_secs(1);
/// How many messages are handled before Raft's output is processed.
const MAX_MESSAGES_PER_ROUND: usize = 256;

/// A replica's Raft node, with the state that the committed entries are applied to.
pub struct Replica {
    config: Config,
    raft_node: RawNode<LogStorage>,
    log_storage: LogStorage,
    state: State,
    links: PeerLinks,
    disk: SyncSender<WriteJob>,
    /// Messages that may be sent only once all writes up to a number are on disk, with that number, in ascending
    /// order.
    messages_awaiting_disk: VecDeque<(u64, Vec<RaftMessage>)>,
    /// The replies to proposals of this process that are not applied yet, by the number in their entry's context.
    pending_replies: HashMap<u64, oneshot::Sender<ProposalResult>>,
    last_proposal_number: u64,
    /// When this process started, in Unix nanoseconds. Part of the context of its entries, so that an entry of an
    /// earlier process of this replica is not taken for a pending proposal with the same number.
    process_start: u64,
    is_leader: bool,
    /// Up to when the leader has added the elapsed time to log time.
    clock_written_until: Instant,
    watches: Watches,
    /// When log time last advanced in this replica's state.
    clock_advanced_at: Instant,
    /// Whether a snapshot is being written.
    is_writing_snapshot: bool,
}

impl Replica {
    /// Creates the replica from what its file holds. A replica without peers starts an election at once.
    pub fn new(
        config: Config,
        stored: StoredState,
        links: PeerLinks,
        disk: SyncSender<WriteJob>,
    ) -> anyhow::Result<Replica> {
        let mut voters: Vec<u64> = config.peers.iter().map(|peer| peer.id).chain([config.id]).collect();
        voters.sort_unstable();
        let (state, applied) = match &stored.snapshot {
            Some(snapshot) => (
                postcard::from_bytes(&snapshot.data)
                    .context("the state in the snapshot can't be decoded: restore a copy")?,
                snapshot.index,
            ),
            None => (State::new(config.state.clone()), 0),
        };
        let log_storage = LogStorage::new(stored, voters);
        let raft_config = raft::Config {
            id: config.id,
            election_tick: config.election_ticks,
            heartbeat_tick: config.heartbeat_ticks,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 256,
            max_uncommitted_size: 64 << 20,
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut raft_node = RawNode::new(&raft_config, log_storage.clone(), &logger).context("Raft")?;
        if config.peers.is_empty() {
            raft_node.campaign().context("Raft")?;
        }
        let process_start =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        Ok(Replica {
            watches: Watches::new(config.max_watches),
            config,
            raft_node,
            log_storage,
            state,
            links,
            disk,
            messages_awaiting_disk: VecDeque::new(),
            pending_replies: HashMap::new(),
            last_proposal_number: 0,
            process_start,
            is_leader: false,
            clock_written_until: Instant::now(),
            clock_advanced_at: Instant::now(),
            is_writing_snapshot: false,
        })
    }

    /// Runs the event loop until all senders of messages are gone.
    ///
    /// # Errors
    ///
    /// A write to disk failed, or an entry or a snapshot can't be decoded.
    pub async fn run(mut self, mut loop_rx: mpsc::Receiver<LoopMessage>) -> anyhow::Result<()> {
        self.process_raft_output()?;
        while let Some(message) = loop_rx.recv().await {
            self.handle_message(message)?;
            for _ in 1..MAX_MESSAGES_PER_ROUND {
                let Ok(message) = loop_rx.try_recv() else { break };
                self.handle_message(message)?;
            }
            self.process_raft_output()?;
        }
        Ok(())
    }

    fn handle_message(&mut self, message: LoopMessage) -> anyhow::Result<()> {
        match message {
            LoopMessage::Tick => {
                self.raft_node.tick();
                self.propose_clock_tick();
                if self.is_stale() {
                    self.watches.close_agent_watches();
                }
                self.watches.send_heartbeats();
            }
            LoopMessage::Raft(message) => {
                if let Some(message) = message.into_raft() {
                    // Raft itself rejects messages that don't fit the current term.
                    if let Err(error) = self.raft_node.step(message) {
                        tracing::debug!(%error, "Raft rejected a message of a peer");
                    }
                }
            }
            LoopMessage::Propose { proposal, reply } => self.propose(&proposal, Some(reply)),
            LoopMessage::Query(query) => {
                let leader = Some(self.raft_node.raft.leader_id).filter(|&leader| leader > 0);
                let (id, term, is_leader) = (self.config.id, self.raft_node.raft.term, self.is_leader);
                query(&StateView { state: &self.state, id, leader, term, is_leader });
            }
            LoopMessage::OpenWatch(request) if request.kind == WatchKind::Agent && self.is_stale() => {
                let _ = request.opened.send(Err("this replica is out of date: watch another one"));
            }
            LoopMessage::OpenWatch(request) => self.watches.open(request, &self.state),
            LoopMessage::Persisted(number) => self.handle_persisted(number),
            LoopMessage::DiskFailed(reason) => anyhow::bail!("{reason}"),
            LoopMessage::PeerUnreachable(id) => {
                self.raft_node.report_unreachable(id);
                self.raft_node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
        Ok(())
    }

    /// Whether this replica is cut off from the leader or lags behind. An agent that watched it would take the whole
    /// registry for silent. The leader advances log time regularly, so log time advances on a replica that keeps up.
    fn is_stale(&self) -> bool {
        let intervals = Duration::from_millis(self.config.clock_interval_ms * STALE_AFTER_CLOCK_INTERVALS);
        self.clock_advanced_at.elapsed() > intervals.max(MIN_STALE_AFTER)
    }

    /// If this replica is the leader, proposes to advance log time by the time that has elapsed. A new leader counts
    /// from its election, so that no lease runs out while there is no leader.
    fn propose_clock_tick(&mut self) {
        let interval = Duration::from_millis(self.config.clock_interval_ms);
        if !self.is_leader || self.clock_written_until.elapsed() < interval {
            return;
        }
        let elapsed_ms = self.clock_written_until.elapsed().as_millis() as u64;
        self.clock_written_until += Duration::from_millis(elapsed_ms);
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let command = Command::Tick { elapsed_ms, unix_ms };
        self.propose(&Proposal { request: String::new(), command }, None);
    }

    /// Proposes a command to Raft. The reply is sent when the command is applied, or at once if it is not proposed.
    fn propose(&mut self, proposal: &Proposal, reply: Option<oneshot::Sender<ProposalResult>>) {
        let refuse = |reply: Option<oneshot::Sender<ProposalResult>>, result| {
            if let Some(reply) = reply {
                let _ = reply.send(result);
            }
        };
        if !self.is_leader {
            let leader = Some(self.raft_node.raft.leader_id).filter(|&id| id > 0 && id != self.config.id);
            return refuse(reply, ProposalResult::NotLeader(leader));
        }
        if reply.is_some() && self.pending_replies.len() >= self.config.max_pending {
            return refuse(reply, ProposalResult::Overloaded);
        }
        let Ok(data) = postcard::to_stdvec(proposal) else {
            return refuse(reply, ProposalResult::Overloaded);
        };
        self.last_proposal_number += 1;
        let context = (self.config.id, self.process_start, self.last_proposal_number);
        let context = postcard::to_stdvec(&context).unwrap_or_default();
        match self.raft_node.propose(context, data) {
            Ok(()) => drop(reply.map(|reply| self.pending_replies.insert(self.last_proposal_number, reply))),
            // Too many entries are not committed yet, or this replica has just lost the leadership.
            Err(_) => refuse(reply, ProposalResult::Overloaded),
        }
    }

    /// Carries out what Raft asks for, until it asks for nothing more: sends messages, writes entries and the hard
    /// state, and applies committed entries.
    fn process_raft_output(&mut self) -> anyhow::Result<()> {
        while self.raft_node.has_ready() {
            let mut ready = self.raft_node.ready();
            if let Some(soft_state) = ready.ss() {
                self.update_role(soft_state.raft_state == StateRole::Leader);
            }
            self.send_messages(ready.take_messages());
            let mut batch = Batch::default();
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                self.state = postcard::from_bytes(&snapshot.data)
                    .context("the snapshot that the leader sent can't be decoded")?;
                batch.snapshot = Some(wire::from_raft_snapshot(&snapshot));
                self.log_storage.install_snapshot(snapshot);
                self.watches.send_updates(&self.state);
            }
            self.log_storage.append(ready.entries());
            batch.entries = ready.entries().iter().map(wire::from_raft_entry).collect();
            if let Some(hard_state) = ready.hs() {
                self.log_storage.set_hard_state(hard_state);
                let (term, vote, commit) = (hard_state.term, hard_state.vote, hard_state.commit);
                batch.hard_state = Some(HardState { term, vote, commit });
            }
            let (number, messages) = (ready.number(), ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            let is_batch_empty =
                batch.entries.is_empty() && batch.hard_state.is_none() && batch.snapshot.is_none();
            // Without anything to write and without earlier writes in progress, there is no need to wait for the disk.
            let skips_disk = is_batch_empty && self.messages_awaiting_disk.is_empty();
            self.messages_awaiting_disk.push_back((number, messages));
            if !skips_disk {
                self.queue_write(WriteJob { number: Some(number), batch })?;
            }
            self.raft_node.advance_append_async(ready);
            self.apply_entries(committed)?;
            if skips_disk {
                self.handle_persisted(number);
            }
        }
        self.snapshot_if_due()
    }

    fn queue_write(&self, job: WriteJob) -> anyhow::Result<()> {
        self.disk.send(job).map_err(|_| anyhow::anyhow!("the writer thread ended"))
    }

    /// Tells Raft that all writes up to a number are on disk, and sends the messages that waited for them.
    fn handle_persisted(&mut self, number: u64) {
        self.raft_node.on_persist_ready(number);
        while self.messages_awaiting_disk.front().is_some_and(|(awaited, _)| *awaited <= number) {
            if let Some((_, messages)) = self.messages_awaiting_disk.pop_front() {
                self.send_messages(messages);
            }
        }
        self.is_writing_snapshot &= !self.messages_awaiting_disk.is_empty();
    }

    fn send_messages(&self, messages: Vec<RaftMessage>) {
        messages.iter().for_each(|message| self.links.send(wire::Message::from_raft(message)));
    }

    fn update_role(&mut self, is_leader: bool) {
        if is_leader && !self.is_leader {
            self.clock_written_until = Instant::now();
            tracing::info!(term = self.raft_node.raft.term, "leads");
        }
        if !is_leader && self.is_leader {
            tracing::info!(term = self.raft_node.raft.term, "lost the leadership");
            // The pending proposals may or may not be in the log of the next leader.
            self.pending_replies.drain().for_each(|(_, reply)| drop(reply.send(ProposalResult::Unknown)));
        }
        self.is_leader = is_leader;
    }

    /// Applies committed entries to the state, replies to the proposals of this process among them, and updates the
    /// watches.
    fn apply_entries(&mut self, committed: Vec<Entry>) -> anyhow::Result<()> {
        let Some(last_index) = committed.last().map(|entry| entry.index) else { return Ok(()) };
        let clock_before = self.state.now();
        for entry in &committed {
            // Raft appends an empty entry at the start of each term.
            if entry.data.is_empty() {
                continue;
            }
            let proposal: Proposal = postcard::from_bytes(&entry.data).with_context(|| {
                format!("entry {} has a format that this version does not know: run a newer one", entry.index)
            })?;
            let outcome = self.state.apply(entry.index, &proposal);
            let context: Option<(u64, u64, u64)> = postcard::from_bytes(&entry.context).ok();
            let own_context =
                context.filter(|&(id, start, _)| (id, start) == (self.config.id, self.process_start));
            if let Some(reply) = own_context.and_then(|(_, _, number)| self.pending_replies.remove(&number)) {
                let _ = reply.send(ProposalResult::Outcome(outcome));
            }
        }
        self.raft_node.advance_apply_to(last_index);
        if self.state.now() != clock_before {
            self.clock_advanced_at = Instant::now();
        }
        self.watches.send_updates(&self.state);
        Ok(())
    }

    /// Replaces the log by a snapshot of the state if enough entries were applied since the last snapshot.
    fn snapshot_if_due(&mut self) -> anyhow::Result<()> {
        let applied = self.raft_node.raft.raft_log.applied;
        let due_index = self.log_storage.snapshot_index() + self.config.snapshot_interval_entries;
        if self.is_writing_snapshot || applied < due_index {
            return Ok(());
        }
        let term = self.raft_node.raft.raft_log.term(applied).context("the term of an applied entry")?;
        let data = postcard::to_stdvec(&self.state).context("the state")?;
        let snapshot = store::Snapshot { index: applied, term, voters: self.log_storage.voters(), data };
        self.log_storage.install_snapshot(wire::to_raft_snapshot(snapshot.clone()));
        tracing::info!(index = applied, bytes = snapshot.data.len(), "snapshot");
        self.queue_write(WriteJob {
            number: None,
            batch: Batch { snapshot: Some(snapshot), ..Batch::default() },
        })
    }
}
