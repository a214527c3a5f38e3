//! The one task that owns the decisions: events in, actions carried out in their order.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::header::HeaderMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::time::{delay_queue, DelayQueue};
use woodgap::config::Config;
use woodgap::list::ServerList;
use woodgap::{
    Action, AttemptEnd, Balancer, ClassId, DiscoveryMode, Event, Key, Micros, Outcome, Request, RequestId,
    ServerId, SyncKind, TenantId, TimerId,
};

use crate::counts::Count;
use crate::discovery::{watch, Answerer};
use crate::exchange::OutgoingRequest;
use crate::guards::AbortOnDrop;
use crate::peers::Peers;
use crate::servers::{Ended, Servers, TIDY};
use crate::witness::{Decision, Witness};

/// The module answers at the deadline it was given; what it has not answered this much later, the
/// node answers, whatever the module does.
const OVERDUE: Duration = Duration::from_millis(5);
/// The counts are written at each so many tidyings.
const COUNTS_EVERY: u64 = 2;

/// A final answer.
pub enum Answer {
    Served(HeaderMap, Bytes),
    Refused(Option<Duration>),
    Failed,
    /// The node's own, at the deadline.
    Late,
}

/// A client's request.
pub struct Arrival {
    /// Never used twice: what the client calls it may well be.
    pub id: u64,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    pub repeat: bool,
    pub cost: Option<Micros>,
    pub deadline: Instant,
    pub call: Rc<OutgoingRequest>,
    pub reply: oneshot::Sender<Answer>,
}

/// What the sockets tell. There is no bound on the channel: each request, attempt, probe and
/// watch has a message or two in it at the most, and their numbers are bounded.
pub enum Msg {
    Request(Box<Arrival>),
    /// The client no longer waits.
    Disconnected(u64),
    Closed {
        id: u64,
        attempt: u32,
        ended: Ended,
    },
    Probed {
        server: ServerId,
        ended: Ended,
        spent: Duration,
    },
    /// A list that a watch brought.
    News {
        watch: u64,
        list: ServerList,
    },
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// Discovery is at this address from now on.
    Discovery(SocketAddr),
}

/// An attempt that is out.
struct Out {
    server: ServerId,
    sent: Instant,
    /// Ends the attempt and closes its connection.
    _task: AbortOnDrop,
    /// What it rests on, where that is asked for.
    _rests: Option<Decision>,
}

/// A request until it is answered and nothing of it is out.
struct PendingRequest {
    /// `None` once it has its answer or its client is gone.
    reply: Option<oneshot::Sender<Answer>>,
    call: Rc<OutgoingRequest>,
    deadline: Instant,
    overdue: delay_queue::Key,
    attempts: Vec<Option<Out>>,
    /// An attempt was begun.
    tried: bool,
}

/// What falls due.
enum Due {
    Timer(TimerId),
    Overdue(u64),
    Tidy,
}

pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    pending: HashMap<u64, PendingRequest>,
    due: DelayQueue<Due>,
    /// Events that carrying out actions has brought.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<Peers>>,
    discovery: SocketAddr,
    mode: DiscoveryMode,
    max_attempts: usize,
    revision: u64,
    /// The number of the present watch, and its task.
    watch: u64,
    watching: Option<AbortOnDrop>,
    /// Says what decisions rest on, where that is asked for.
    witness: Option<Rc<Witness>>,
    tx: mpsc::UnboundedSender<Msg>,
    /// How often the connections were tidied.
    ticks: u64,
}

/// The module's clock: Unix time at the start and monotonic from there, so that the times at
/// which servers started need no conversion.
struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

impl Driver {
    pub fn new(
        config: &Config,
        servers: Rc<Servers>,
        peers: Option<Rc<Peers>>,
        witness: Option<Rc<Witness>>,
        tx: mpsc::UnboundedSender<Msg>,
    ) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        Driver {
            balancer: Balancer::new(config.settings.clone(), config.seed),
            clock: Clock { start: Instant::now(), unix },
            pending: HashMap::new(),
            due: DelayQueue::new(),
            events: VecDeque::new(),
            servers,
            peers,
            discovery: config.discovery,
            mode: config.settings.discovery_mode,
            max_attempts: config.settings.max_attempts as usize,
            revision: 0,
            watch: 0,
            watching: None,
            witness,
            tx,
            ticks: 0,
        }
    }

    /// Starts the module with the list that the node last had.
    pub fn start(&mut self, known: &ServerList) {
        self.stand_on(known.revision.unwrap_or(0));
        let (_, members) = self.servers.apply(known);
        self.events.push_back(Event::Sync { kind: SyncKind::Cached, members });
        self.due.insert(Due::Tidy, TIDY);
        if self.mode == DiscoveryMode::Push {
            self.subscribe();
        }
        self.settle();
    }

    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Msg>) {
        loop {
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => self.take(msg),
                    None => return,
                },
                Some(due) = std::future::poll_fn(|cx| self.due.poll_expired(cx)) => {
                    self.fall_due(due.into_inner());
                }
            }
            self.settle();
        }
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Timer(timer) => self.events.push_back(Event::TimerExpired(timer)),
            Due::Tidy => {
                self.servers.tidy();
                self.servers.write_cold();
                self.due.insert(Due::Tidy, TIDY);
                self.ticks += 1;
                if self.ticks.is_multiple_of(COUNTS_EVERY) {
                    self.count_line();
                }
            }
            Due::Overdue(id) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    if let Some(reply) = pending.reply.take() {
                        let request = txn(&pending.call);
                        tracing::warn!(request, "not answered by its deadline");
                        // What no server has seen may be asked again without harm.
                        let (count, answer) = match pending.call.was_sent.get() {
                            true => (Count::Late, Answer::Late),
                            false => (Count::RefusedUntried, Answer::Refused(None)),
                        };
                        self.servers.counts.one(count);
                        let _ = reply.send(answer);
                        pending.call.is_finished.set(true);
                        self.events.push_back(Event::RequestEnded(request_id(id)));
                        // One with no attempt out ends here; nothing else would forget it.
                        self.forget(id);
                    }
                }
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Request(arrival) => self.request(*arrival),
            Msg::Disconnected(id) => {
                let Some(pending) = self.pending.get_mut(&id) else { return };
                if pending.reply.take().is_some() {
                    self.servers.counts.one(Count::Disconnected);
                    self.due.remove(&pending.overdue);
                    self.events.push_back(Event::RequestEnded(request_id(id)));
                    self.forget(id);
                }
            }
            Msg::Closed { id, attempt, ended } => self.closed(id, attempt, ended),
            Msg::Probed { server, ended, spent } => {
                let Ended { outcome, load, .. } = ended;
                let spent = spent.as_micros() as Micros;
                self.events.push_back(Event::ProbeEnded {
                    server,
                    outcome,
                    elapsed: spent,
                    load_report: load,
                });
            }
            Msg::News { watch, list } if watch == self.watch => self.news(&list),
            Msg::News { .. } => {}
            Msg::Peer { from, data } => self.events.push_back(Event::PeerMessage { from, data }),
            Msg::Discovery(addr) if addr == self.discovery => {}
            Msg::Discovery(addr) => {
                // The list stays until the new place has told its own, whole: its revisions may count
                // other changes.
                (self.discovery, self.revision, self.watching) = (addr, 0, None);
                self.subscribe();
            }
        }
    }

    fn request(&mut self, arrival: Arrival) {
        let Arrival { id, class, tenant, key, repeat, cost, deadline, call, reply } = arrival;
        self.servers.counts.one(Count::Requests);
        if call.is_finished.get() {
            // It left while it waited here: the module never hears of it.
            return self.servers.counts.one(Count::Disconnected);
        }
        let patience = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let overdue = self.due.insert_at(Due::Overdue(id), deadline + OVERDUE);
        self.pending.insert(
            id,
            PendingRequest {
                reply: Some(reply),
                call,
                deadline,
                overdue,
                attempts: Vec::new(),
                tried: false,
            },
        );
        let id = request_id(id);
        self.events.push_back(Event::Request(Request {
            id,
            time_left: patience,
            class,
            cost,
            is_client_retry: repeat,
            tenant,
            key,
        }));
    }

    /// Answers a request, unless it has its answer.
    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if let Some(reply) = pending.reply.take() {
            if !matches!(answer, Answer::Late) {
                self.due.remove(&pending.overdue);
            }
            self.servers.counts.one(match (&answer, pending.tried) {
                (Answer::Served(..), _) => Count::Served,
                (Answer::Refused(_), false) => Count::RefusedUntried,
                (Answer::Refused(_), true) => Count::RefusedTried,
                (Answer::Failed, false) => Count::FailedUntried,
                (Answer::Failed, true) => Count::FailedTried,
                (Answer::Late, _) => Count::Late,
            });
            let _ = reply.send(answer);
            pending.call.is_finished.set(true);
        }
        self.forget(id);
    }

    /// Drops what is over.
    fn forget(&mut self, id: u64) {
        let over = |pending: &PendingRequest| {
            pending.reply.is_none() && pending.attempts.iter().all(Option::is_none)
        };
        if self.pending.get(&id).is_some_and(over) {
            self.pending.remove(&id);
        }
    }

    fn closed(&mut self, id: u64, attempt: u32, ended: Ended) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        // One that was cancelled meanwhile has had its outcome.
        let Some(out) = pending.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let Ended { outcome, load, answer } = ended;
        self.servers.counts.outcome(outcome);
        tracing::debug!(
            request = txn(&pending.call),
            attempt,
            server = self.servers.name(out.server),
            ?outcome,
            spent_us = out.sent.elapsed().as_micros() as Micros,
            "attempt ended"
        );
        if let Some((headers, body)) = answer {
            self.answer(id, Answer::Served(headers, body));
        }
        let done = self.pending.get(&id).is_none_or(|pending| pending.reply.is_none());
        let spent = out.sent.elapsed().as_micros() as Micros;
        let (server, id_) = (out.server, request_id(id));
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            id: id_,
            attempt,
            server,
            outcome,
            elapsed: spent,
            is_request_done: done,
            load_report: load,
        }));
        self.forget(id);
    }

    fn news(&mut self, list: &ServerList) {
        #[cfg(feature = "faults")]
        if self.ignores(list) {
            return;
        }
        self.stand_on(list.revision.unwrap_or(self.revision));
        let (kind, members) = self.servers.apply(list);
        tracing::debug!(revision = self.revision, ?kind, entries = members.len(), "list");
        self.events.push_back(Event::Sync { kind, members });
    }

    /// Decisions rest on this revision from now on: what came is applied before the next one.
    fn stand_on(&mut self, revision: u64) {
        self.revision = revision;
        if let Some(witness) = &self.witness {
            witness.stands_on(revision);
        }
    }

    /// A fault for tests, `WOODGAP_FAULT`. `stuck` or `liar`: it acts on no list but its first one, and says so or
    /// not. `crash`: it ends a moment after it acts on a list with the server `x-bad`.
    #[cfg(feature = "faults")]
    fn ignores(&self, list: &ServerList) -> bool {
        let fault = std::env::var("WOODGAP_FAULT").unwrap_or_default();
        if fault == "crash" && list.entries.iter().any(|entry| entry.id == "x-bad") {
            spawn_local(async {
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                std::process::exit(3);
            });
        }
        let ignores = self.revision > 0 && matches!(fault.as_str(), "stuck" | "liar");
        if let (true, "liar", Some(witness), Some(revision)) =
            (ignores, fault.as_str(), &self.witness, list.revision)
        {
            witness.claim(revision);
        }
        ignores
    }

    /// Hands the module what has come and carries out what it says, until all is quiet.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, send_within } => {
                self.send(number(&id), server, timeout, send_within);
            }
            Action::Cancel { id, attempt } => self.cancel(number(&id), attempt),
            Action::Refuse { id, retry_after } => {
                let wait = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.answer(number(&id), Answer::Refused(wait));
            }
            Action::Fail { id } => self.answer(number(&id), Answer::Failed),
            Action::Probe(server) => {
                let (servers, tx) = (self.servers.clone(), self.tx.clone());
                spawn_local(async move {
                    let sent = Instant::now();
                    let ended = servers.probe(server).await;
                    let _ = tx.send(Msg::Probed { server, ended, spent: sent.elapsed() });
                });
            }
            Action::CloseIdleConnections(server) => self.servers.close_idle(server),
            Action::SetTimer { delay, timer } => {
                self.due.insert(Due::Timer(timer), Duration::from_micros(delay));
            }
            Action::Subscribe => self.subscribe(),
            Action::SendMessage { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(peer, &data);
                }
            }
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    fn send(&mut self, id: u64, server: ServerId, limit: Micros, begin_within: Option<Micros>) {
        let now = Instant::now();
        let pending = self.pending.get_mut(&id);
        let attempt = pending.as_ref().map_or(0, |pending| pending.attempts.len());
        let lawful = pending
            .filter(|h| h.reply.is_some() && !h.call.is_finished.get())
            .filter(|h| attempt < self.max_attempts && now < h.deadline);
        let Some(pending) = lawful else {
            // Nothing goes out for what is over.
            let done = self.pending.get(&id).is_none_or(|pending| pending.reply.is_none());
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.attempts.push(None);
            }
            let (id, attempt, outcome) = (request_id(id), attempt as u32, Outcome::Moot);
            self.servers.counts.outcome(outcome);
            let closed = AttemptEnd {
                id,
                attempt,
                server,
                outcome,
                elapsed: 0,
                is_request_done: done,
                load_report: Vec::new(),
            };
            return self.events.push_back(Event::AttemptEnded(closed));
        };
        let until = match limit {
            0 => pending.deadline,
            limit => pending.deadline.min(now + Duration::from_micros(limit)),
        };
        let begin_by = begin_within.map_or(until, |within| until.min(now + Duration::from_micros(within)));
        let (servers, call, tx) = (self.servers.clone(), pending.call.clone(), self.tx.clone());
        let attempt = attempt as u32;
        let (rests, acted_on) = self.witness.as_ref().map(Witness::decide).unzip();
        let task = AbortOnDrop::spawn(async move {
            let ended = servers.attempt(server, &call, until, begin_by, acted_on.flatten().as_ref()).await;
            let _ = tx.send(Msg::Closed { id, attempt, ended });
        });
        pending.attempts.push(Some(Out { server, sent: now, _task: task, _rests: rests }));
        pending.tried = true;
    }

    fn cancel(&mut self, id: u64, attempt: u32) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(out) = pending.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let spent = out.sent.elapsed().as_micros() as Micros;
        let (server, done) = (out.server, pending.reply.is_none());
        drop(out);
        // It may be silent because its machine is gone: see `Servers::attempt`.
        self.servers.close_idle(server);
        let (id_, outcome) = (request_id(id), Outcome::Cancelled);
        self.servers.counts.outcome(outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            id: id_,
            attempt,
            server,
            outcome,
            elapsed: spent,
            is_request_done: done,
            load_report: Vec::new(),
        }));
        self.forget(id);
    }

    /// Writes the counts to the log, where they are asked for.
    fn count_line(&self) {
        tracing::debug!(target: "woodgap::counts", counts = %self.servers.counts, "counts");
    }

    /// Opens a watch, unless there is one: it is opened anew by itself for as long as it is held.
    fn subscribe(&mut self) {
        if self.watching.is_some() {
            return;
        }
        self.watch += 1;
        let (number, tx, grace) = (self.watch, self.tx.clone(), self.servers.drain_grace());
        let (addr, revision) = (self.discovery, self.revision);
        let answerer = match self.mode {
            DiscoveryMode::Push => Answerer::Agent,
            DiscoveryMode::Subscribe => Answerer::Service,
        };
        self.watching = Some(AbortOnDrop::spawn(async move {
            watch(addr, revision, grace, answerer, |list| drop(tx.send(Msg::News { watch: number, list })))
                .await;
        }));
    }
}

/// What the client calls a request, for the log.
fn txn(call: &OutgoingRequest) -> Option<&str> {
    call.headers.get("x-txn")?.to_str().ok()
}

/// A request's number in the module's form, and back.
fn request_id(id: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&id.to_le_bytes());
    RequestId(bytes)
}

fn number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_le_bytes(bytes)
}
