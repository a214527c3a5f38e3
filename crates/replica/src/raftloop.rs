//! The loop that owns Raft and the state: messages in, effects out.

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
use crate::disk_writer::Job;
use crate::log_storage::Log;
use crate::peers::Links;
use crate::watches::{Feed, Feeds, Kind};
use crate::wire;

/// What the loop is told.
pub enum Msg {
    Tick,
    Raft(wire::Message),
    Propose {
        proposal: Proposal,
        reply: oneshot::Sender<Answer>,
    },
    /// A look at the state.
    Ask(Box<dyn FnOnce(&View<'_>) + Send>),
    Watch(Feed),
    /// The disk has all up to this number.
    Persisted(u64),
    DiskFailed(String),
    /// A peer's link failed.
    Unreachable(u64),
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was applied.
    Outcome(Outcome),
    /// This replica does not lead; the one that does, where it is known. Nothing happened.
    NotLeader(Option<u64>),
    /// It may have happened, or may yet.
    Unknown,
    /// Too many wait. Nothing happened.
    Full,
}

/// What a question sees.
pub struct View<'a> {
    pub state: &'a State,
    pub id: u64,
    pub leader: Option<u64>,
    pub term: u64,
    pub leads: bool,
}

/// A replica is stale no sooner than this after it last heard of the passing of time.
const LEAST_STALE: Duration = Duration::from_secs(1);
/// Messages that are taken before Raft is asked what follows.
const BATCH: usize = 256;

pub struct Replica {
    config: Config,
    node: RawNode<Log>,
    log: Log,
    state: State,
    links: Links,
    disk: SyncSender<Job>,
    /// What may be sent once the disk has all up to a number.
    waiting: VecDeque<(u64, Vec<RaftMessage>)>,
    /// Proposals of this replica that are not applied yet, by the number in their entry.
    pending: HashMap<u64, oneshot::Sender<Answer>>,
    next: u64,
    /// This start of the process, so that an entry of an earlier one finds nobody.
    start: u64,
    leads: bool,
    /// When the passing of time was last written.
    clock: Instant,
    feeds: Feeds,
    /// When log time last went on here.
    heard: Instant,
    /// A snapshot is being written.
    snapshotting: bool,
}

impl Replica {
    pub fn new(
        config: Config,
        found: StoredState,
        links: Links,
        disk: SyncSender<Job>,
    ) -> anyhow::Result<Replica> {
        let mut voters: Vec<u64> = config.peers.iter().map(|peer| peer.id).chain([config.id]).collect();
        voters.sort_unstable();
        let (state, applied) = match &found.snapshot {
            Some(snapshot) => (
                postcard::from_bytes(&snapshot.data)
                    .context("the snapshot's state can't be read: restore a copy")?,
                snapshot.index,
            ),
            None => (State::new(config.state.clone()), 0),
        };
        let log = Log::new(found, voters);
        let raft = raft::Config {
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
        let mut node = RawNode::new(&raft, log.clone(), &logger).context("Raft")?;
        if config.peers.is_empty() {
            node.campaign().context("Raft")?;
        }
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        Ok(Replica {
            feeds: Feeds::new(config.watches),
            config,
            node,
            log,
            state,
            links,
            disk,
            waiting: VecDeque::new(),
            pending: HashMap::new(),
            next: 0,
            start,
            leads: false,
            clock: Instant::now(),
            heard: Instant::now(),
            snapshotting: false,
        })
    }

    pub async fn run(mut self, mut rx: mpsc::Receiver<Msg>) -> anyhow::Result<()> {
        self.advance()?;
        while let Some(msg) = rx.recv().await {
            self.take(msg)?;
            for _ in 1..BATCH {
                let Ok(msg) = rx.try_recv() else { break };
                self.take(msg)?;
            }
            self.advance()?;
        }
        Ok(())
    }

    fn take(&mut self, msg: Msg) -> anyhow::Result<()> {
        match msg {
            Msg::Tick => {
                self.node.tick();
                self.write_clock();
                if self.is_stale() {
                    self.feeds.close_agents();
                }
                self.feeds.beat();
            }
            Msg::Raft(message) => {
                if let Some(message) = message.into_raft() {
                    // What does not fit the present term is refused by Raft itself.
                    if let Err(error) = self.node.step(message) {
                        tracing::debug!(%error, "a peer's message was refused");
                    }
                }
            }
            Msg::Propose { proposal, reply } => self.propose(&proposal, Some(reply)),
            Msg::Ask(look) => {
                let leader = Some(self.node.raft.leader_id).filter(|&leader| leader > 0);
                let (id, term, leads) = (self.config.id, self.node.raft.term, self.leads);
                look(&View { state: &self.state, id, leader, term, leads });
            }
            Msg::Watch(feed) if feed.kind == Kind::Agent && self.is_stale() => {
                let _ = feed.opened.send(Err("nothing new is heard here: ask another replica"));
            }
            Msg::Watch(feed) => self.feeds.add(feed, &self.state),
            Msg::Persisted(number) => self.persisted(number),
            Msg::DiskFailed(why) => anyhow::bail!("{why}"),
            Msg::Unreachable(id) => {
                self.node.report_unreachable(id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
        Ok(())
    }

    /// Whether this replica is cut off from the log, or lags: whoever watches it would take it for silence of the
    /// whole registry. The leader writes the passing of time, so a replica that keeps up hears of it.
    fn is_stale(&self) -> bool {
        self.heard.elapsed() > Duration::from_millis(self.config.clock_ms * 4).max(LEAST_STALE)
    }

    /// The leader writes how much time has passed. A new one begins at nothing: no lease runs while nobody leads.
    fn write_clock(&mut self) {
        if !self.leads || self.clock.elapsed() < Duration::from_millis(self.config.clock_ms) {
            return;
        }
        let elapsed_ms = self.clock.elapsed().as_millis() as u64;
        self.clock += Duration::from_millis(elapsed_ms);
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let command = Command::Tick { elapsed_ms, unix_ms };
        self.propose(&Proposal { request: String::new(), command }, None);
    }

    fn propose(&mut self, proposal: &Proposal, reply: Option<oneshot::Sender<Answer>>) {
        let refuse = |reply: Option<oneshot::Sender<Answer>>, answer| {
            if let Some(reply) = reply {
                let _ = reply.send(answer);
            }
        };
        if !self.leads {
            let leader = Some(self.node.raft.leader_id).filter(|&id| id > 0 && id != self.config.id);
            return refuse(reply, Answer::NotLeader(leader));
        }
        if reply.is_some() && self.pending.len() >= self.config.pending {
            return refuse(reply, Answer::Full);
        }
        let Ok(data) = postcard::to_stdvec(proposal) else { return refuse(reply, Answer::Full) };
        self.next += 1;
        let context = postcard::to_stdvec(&(self.config.id, self.start, self.next)).unwrap_or_default();
        match self.node.propose(context, data) {
            Ok(()) => drop(reply.map(|reply| self.pending.insert(self.next, reply))),
            // Too much waits for the others, or the lead has just gone.
            Err(_) => refuse(reply, Answer::Full),
        }
    }

    /// Carries out what Raft asks for, until it asks for nothing.
    fn advance(&mut self) -> anyhow::Result<()> {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            if let Some(soft) = ready.ss() {
                self.role_changed(soft.raft_state == StateRole::Leader);
            }
            self.send(ready.take_messages());
            let mut batch = Batch::default();
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                self.state =
                    postcard::from_bytes(&snapshot.data).context("the leader's snapshot can't be read")?;
                batch.snapshot = Some(wire::snapshot(&snapshot));
                self.log.install(snapshot);
                self.feeds.push(&self.state);
            }
            self.log.append(ready.entries());
            batch.entries = ready.entries().iter().map(wire::entry).collect();
            if let Some(hard) = ready.hs() {
                self.log.set_hard(hard);
                batch.hard_state = Some(HardState { term: hard.term, vote: hard.vote, commit: hard.commit });
            }
            let (number, after) = (ready.number(), ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            let nothing = batch.entries.is_empty() && batch.hard_state.is_none() && batch.snapshot.is_none();
            let at_once = nothing && self.waiting.is_empty();
            self.waiting.push_back((number, after));
            if !at_once {
                self.write(Job { number: Some(number), batch })?;
            }
            self.node.advance_append_async(ready);
            self.apply(committed)?;
            if at_once {
                self.persisted(number);
            }
        }
        self.snapshot_if_due()
    }

    fn write(&self, job: Job) -> anyhow::Result<()> {
        self.disk.send(job).map_err(|_| anyhow::anyhow!("the writer thread ended"))
    }

    fn persisted(&mut self, number: u64) {
        self.node.on_persist_ready(number);
        while self.waiting.front().is_some_and(|(waits, _)| *waits <= number) {
            if let Some((_, messages)) = self.waiting.pop_front() {
                self.send(messages);
            }
        }
        self.snapshotting &= !self.waiting.is_empty();
    }

    fn send(&self, messages: Vec<RaftMessage>) {
        messages.iter().for_each(|message| self.links.send(wire::Message::from_raft(message)));
    }

    fn role_changed(&mut self, leads: bool) {
        if leads && !self.leads {
            self.clock = Instant::now();
            tracing::info!(term = self.node.raft.term, "leads");
        }
        if !leads && self.leads {
            tracing::info!(term = self.node.raft.term, "leads no longer");
            // They may be in the log of the next leader, or not.
            self.pending.drain().for_each(|(_, reply)| drop(reply.send(Answer::Unknown)));
        }
        self.leads = leads;
    }

    fn apply(&mut self, committed: Vec<Entry>) -> anyhow::Result<()> {
        let Some(last) = committed.last().map(|entry| entry.index) else { return Ok(()) };
        let clock = self.state.now();
        for entry in &committed {
            if entry.data.is_empty() {
                continue;
            }
            let proposal: Proposal = postcard::from_bytes(&entry.data).with_context(|| {
                format!("entry {} is of a form that this version does not know: run a newer one", entry.index)
            })?;
            let outcome = self.state.apply(entry.index, &proposal);
            let from: Option<(u64, u64, u64)> = postcard::from_bytes(&entry.context).ok();
            let own = from.filter(|&(id, start, _)| (id, start) == (self.config.id, self.start));
            if let Some(reply) = own.and_then(|(_, _, number)| self.pending.remove(&number)) {
                let _ = reply.send(Answer::Outcome(outcome));
            }
        }
        self.node.advance_apply_to(last);
        if self.state.now() != clock {
            self.heard = Instant::now();
        }
        self.feeds.push(&self.state);
        Ok(())
    }

    /// Replaces the log by the state, once it has grown enough since the last time.
    fn snapshot_if_due(&mut self) -> anyhow::Result<()> {
        let applied = self.node.raft.raft_log.applied;
        if self.snapshotting || applied < self.log.start() + self.config.snapshot_every {
            return Ok(());
        }
        let term = self.node.raft.raft_log.term(applied).context("the term of an applied entry")?;
        let data = postcard::to_stdvec(&self.state).context("the state")?;
        let snapshot = store::Snapshot { index: applied, term, voters: self.log.voters(), data };
        self.log.install(wire::raft_snapshot(snapshot.clone()));
        tracing::info!(index = applied, bytes = snapshot.data.len(), "snapshot");
        self.write(Job { number: None, batch: Batch { snapshot: Some(snapshot), ..Batch::default() } })
    }
}
