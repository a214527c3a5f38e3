//! The driver task. It owns the [`Balancer`], passes events to it and executes the returned actions in order.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

use crate::clock::Clock;
use crate::counts::Count;
use crate::discovery::{watch, EndpointKind};
use crate::exchange::OutgoingRequest;
use crate::guards::AbortOnDrop;
use crate::peers::Peers;
use crate::revision_reporter::{AttemptGuard, RevisionReporter};
use crate::servers::{AttemptResult, Servers, MAINTENANCE_INTERVAL};

/// The balancer answers a request at its deadline. The driver itself answers a request that is still
/// unanswered this long after its deadline, whatever the balancer does.
const DEADLINE_GRACE: Duration = Duration::from_millis(5);
/// Maintenance runs from one log line of the counts to the next.
const MAINTENANCE_RUNS_PER_COUNTS_LINE: u64 = 2;

/// The final response to a client's request.
pub enum ClientResponse {
    /// A server's response.
    Served(HeaderMap, Bytes),
    /// The request can be repeated without harm, after this time if there is one.
    Refused(Option<Duration>),
    /// The request may have run.
    Failed,
    /// Sent by the driver itself when no other response was there by the deadline.
    DeadlineExceeded,
}

/// A client's request, with the channel for its response.
pub struct ClientRequest {
    /// Unique for the life of the process, unlike the id that the client gives in `X-Txn`.
    pub id: u64,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    /// The client says that it sent the request before.
    pub is_client_retry: bool,
    /// The expected work.
    pub cost: Option<Micros>,
    pub deadline: Instant,
    /// The request as it is sent to servers.
    pub outgoing: Rc<OutgoingRequest>,
    pub reply: oneshot::Sender<ClientResponse>,
}

/// A message to the driver from a task that serves a socket. The channel is unbounded: each request,
/// attempt, probe and watch has at most one or two messages in it, and their numbers are bounded.
pub enum DriverMessage {
    Request(Box<ClientRequest>),
    /// The client of the request with this id no longer waits for a response.
    Disconnected(u64),
    /// An attempt of the request with this id has ended.
    AttemptEnded {
        id: u64,
        attempt: u32,
        result: AttemptResult,
    },
    /// A probe has ended after this time.
    ProbeEnded {
        server: ServerId,
        result: AttemptResult,
        elapsed: Duration,
    },
    /// A list that the watch with this number received.
    ListReceived {
        watch_number: u64,
        list: ServerList,
    },
    /// The node with this number has sent a datagram.
    PeerDatagram {
        from: u32,
        data: Vec<u8>,
    },
    /// The configuration file was reloaded and gives this address of discovery.
    DiscoveryMoved(SocketAddr),
}

/// An attempt that has not ended yet.
struct RunningAttempt {
    server: ServerId,
    /// When the attempt was started, which may be before its connection was open.
    sent_at: Instant,
    /// Dropping it ends the attempt and closes its connection.
    _task: AbortOnDrop,
    /// Counts the attempt under the list revision that its decision was based on, if revisions are reported.
    _revision_guard: Option<AttemptGuard>,
}

/// A request that has no response yet or still has a running attempt.
struct PendingRequest {
    /// `None` once the response was sent or the client has disconnected.
    reply: Option<oneshot::Sender<ClientResponse>>,
    outgoing: Rc<OutgoingRequest>,
    deadline: Instant,
    /// The scheduled [`Scheduled::DeadlineExceeded`] of this request.
    deadline_timer: delay_queue::Key,
    /// By attempt number; `None` for an attempt that has ended or was never sent.
    attempts: Vec<Option<RunningAttempt>>,
    /// Whether any attempt was started.
    is_attempted: bool,
}

/// Work that the driver has scheduled for a later time.
enum Scheduled {
    /// A timer that the balancer has set.
    Timer(TimerId),
    /// The request with this id has passed its deadline by [`DEADLINE_GRACE`].
    DeadlineExceeded(u64),
    /// The periodic cleanup of idle connections and the log lines of counts and cold sends.
    Maintenance,
}

/// The state of the driver task.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    /// By the id of the [`ClientRequest`].
    pending: HashMap<u64, PendingRequest>,
    schedule: DelayQueue<Scheduled>,
    /// Events that the balancer has not handled yet.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<Peers>>,
    /// The address of the agent or shared service that serves the watch.
    discovery: SocketAddr,
    discovery_mode: DiscoveryMode,
    max_attempts: usize,
    /// The revision of the list that decisions are based on.
    revision: u64,
    /// The number of the current watch. Lists of earlier watches are dropped.
    watch_number: u64,
    watch_task: Option<AbortOnDrop>,
    /// Reports the list revision behind each attempt, if the configuration asks for it.
    reporter: Option<Rc<RevisionReporter>>,
    /// Sends messages to this driver; cloned into the tasks that it starts.
    tx: mpsc::UnboundedSender<DriverMessage>,
    maintenance_runs: u64,
}

impl Driver {
    /// Creates the driver. `tx` is the sending side of the channel that [`Driver::run`] reads.
    pub fn new(
        config: &Config,
        servers: Rc<Servers>,
        peers: Option<Rc<Peers>>,
        reporter: Option<Rc<RevisionReporter>>,
        tx: mpsc::UnboundedSender<DriverMessage>,
    ) -> Self {
        Driver {
            balancer: Balancer::new(config.settings.clone(), config.seed),
            clock: Clock::new(),
            pending: HashMap::new(),
            schedule: DelayQueue::new(),
            events: VecDeque::new(),
            servers,
            peers,
            discovery: config.discovery,
            discovery_mode: config.settings.discovery_mode,
            max_attempts: config.settings.max_attempts as usize,
            revision: 0,
            watch_number: 0,
            watch_task: None,
            reporter,
            tx,
            maintenance_runs: 0,
        }
    }

    /// Starts the balancer with the list of the configuration, which is the last one that this node had.
    pub fn start(&mut self, cached_list: &ServerList) {
        self.set_revision(cached_list.revision.unwrap_or(0));
        let (kind, mut members) = self.servers.apply_list(cached_list);
        self.clock.correct_starts(kind, &mut members);
        self.events.push_back(Event::Sync { kind: SyncKind::Cached, members });
        self.schedule.insert(Scheduled::Maintenance, MAINTENANCE_INTERVAL);
        if self.discovery_mode == DiscoveryMode::Push {
            self.open_watch();
        }
        self.process_events();
    }

    /// Handles messages and scheduled work for the life of the process.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<DriverMessage>) {
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(expired) = std::future::poll_fn(|cx| self.schedule.poll_expired(cx)) => {
                    self.run_scheduled(expired.into_inner());
                }
            }
            self.process_events();
        }
    }

    fn run_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Timer(timer) => self.events.push_back(Event::TimerExpired(timer)),
            Scheduled::Maintenance => {
                self.servers.close_stale_idle();
                self.servers.log_cold_sends();
                self.schedule.insert(Scheduled::Maintenance, MAINTENANCE_INTERVAL);
                self.maintenance_runs += 1;
                if self.maintenance_runs.is_multiple_of(MAINTENANCE_RUNS_PER_COUNTS_LINE) {
                    self.log_counts();
                }
            }
            Scheduled::DeadlineExceeded(id) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    if let Some(reply) = pending.reply.take() {
                        let request = client_request_id(&pending.outgoing);
                        tracing::warn!(request, "request not answered by its deadline");
                        // The client may safely repeat a request that was never written to a server.
                        let (count, response) = match pending.outgoing.was_sent.get() {
                            true => (Count::Late, ClientResponse::DeadlineExceeded),
                            false => (Count::RefusedUntried, ClientResponse::Refused(None)),
                        };
                        self.servers.counts.increment(count);
                        let _ = reply.send(response);
                        pending.outgoing.is_finished.set(true);
                        self.events.push_back(Event::RequestEnded(request_id(id)));
                        // No later event removes a request that has no running attempt.
                        self.remove_if_finished(id);
                    }
                }
            }
        }
    }

    fn handle_message(&mut self, message: DriverMessage) {
        match message {
            DriverMessage::Request(request) => self.accept_request(*request),
            DriverMessage::Disconnected(id) => {
                let Some(pending) = self.pending.get_mut(&id) else { return };
                if pending.reply.take().is_some() {
                    self.servers.counts.increment(Count::Disconnected);
                    self.schedule.remove(&pending.deadline_timer);
                    self.events.push_back(Event::RequestEnded(request_id(id)));
                    self.remove_if_finished(id);
                }
            }
            DriverMessage::AttemptEnded { id, attempt, result } => self.finish_attempt(id, attempt, result),
            DriverMessage::ProbeEnded { server, result, elapsed } => {
                let AttemptResult { outcome, load_report, .. } = result;
                let elapsed = elapsed.as_micros() as Micros;
                self.events.push_back(Event::ProbeEnded { server, outcome, elapsed, load_report });
            }
            DriverMessage::ListReceived { watch_number, list } if watch_number == self.watch_number => {
                self.apply_list(&list)
            }
            DriverMessage::ListReceived { .. } => {}
            DriverMessage::PeerDatagram { from, data } => {
                self.events.push_back(Event::PeerMessage { from, data })
            }
            DriverMessage::DiscoveryMoved(addr) if addr == self.discovery => {}
            DriverMessage::DiscoveryMoved(addr) => {
                // The old list stays in use until the new endpoint has sent a complete one. Revision 0 asks for it,
                // because the new endpoint may number its changes differently.
                (self.discovery, self.revision, self.watch_task) = (addr, 0, None);
                self.open_watch();
            }
        }
    }

    fn accept_request(&mut self, request: ClientRequest) {
        let ClientRequest { id, class, tenant, key, is_client_retry, cost, deadline, outgoing, reply } =
            request;
        self.servers.counts.increment(Count::Requests);
        if outgoing.is_finished.get() {
            // The client left while the request waited in the channel. The balancer never sees it.
            return self.servers.counts.increment(Count::Disconnected);
        }
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let deadline_timer =
            self.schedule.insert_at(Scheduled::DeadlineExceeded(id), deadline + DEADLINE_GRACE);
        self.pending.insert(
            id,
            PendingRequest {
                reply: Some(reply),
                outgoing,
                deadline,
                deadline_timer,
                attempts: Vec::new(),
                is_attempted: false,
            },
        );
        let id = request_id(id);
        self.events.push_back(Event::Request(Request {
            id,
            time_left,
            class,
            cost,
            is_client_retry,
            tenant,
            key,
        }));
    }

    /// Sends the response to a request, unless it has one.
    fn respond(&mut self, id: u64, response: ClientResponse) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if let Some(reply) = pending.reply.take() {
            if !matches!(response, ClientResponse::DeadlineExceeded) {
                self.schedule.remove(&pending.deadline_timer);
            }
            self.servers.counts.increment(match (&response, pending.is_attempted) {
                (ClientResponse::Served(..), _) => Count::Served,
                (ClientResponse::Refused(_), false) => Count::RefusedUntried,
                (ClientResponse::Refused(_), true) => Count::RefusedTried,
                (ClientResponse::Failed, false) => Count::FailedUntried,
                (ClientResponse::Failed, true) => Count::FailedTried,
                (ClientResponse::DeadlineExceeded, _) => Count::Late,
            });
            let _ = reply.send(response);
            pending.outgoing.is_finished.set(true);
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that needs no response and has no running attempt.
    fn remove_if_finished(&mut self, id: u64) {
        let is_finished = |pending: &PendingRequest| {
            pending.reply.is_none() && pending.attempts.iter().all(Option::is_none)
        };
        if self.pending.get(&id).is_some_and(is_finished) {
            self.pending.remove(&id);
        }
    }

    /// Records the result of an attempt and passes a server's response on to the client.
    fn finish_attempt(&mut self, id: u64, attempt: u32, result: AttemptResult) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        // The outcome of an attempt that was cancelled meanwhile is already reported.
        let Some(running) = pending.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let AttemptResult { outcome, load_report, response } = result;
        self.servers.counts.count_outcome(outcome);
        tracing::debug!(
            request = client_request_id(&pending.outgoing),
            attempt,
            server = self.servers.server_name(running.server),
            ?outcome,
            spent_us = running.sent_at.elapsed().as_micros() as Micros,
            "attempt ended"
        );
        if let Some((headers, body)) = response {
            self.respond(id, ClientResponse::Served(headers, body));
        }
        let is_request_done = self.pending.get(&id).is_none_or(|pending| pending.reply.is_none());
        let elapsed = running.sent_at.elapsed().as_micros() as Micros;
        let server = running.server;
        let attempt_end = AttemptEnd {
            id: request_id(id),
            attempt,
            server,
            outcome,
            elapsed,
            is_request_done,
            load_report,
        };
        self.events.push_back(Event::AttemptEnded(attempt_end));
        self.remove_if_finished(id);
    }

    /// Applies a list that the watch has received.
    fn apply_list(&mut self, list: &ServerList) {
        #[cfg(feature = "faults")]
        if self.ignores_list(list) {
            return;
        }
        self.set_revision(list.revision.unwrap_or(self.revision));
        let (kind, mut members) = self.servers.apply_list(list);
        self.clock.correct_starts(kind, &mut members);
        tracing::debug!(revision = self.revision, ?kind, entries = members.len(), "list");
        self.events.push_back(Event::Sync { kind, members });
    }

    /// Sets the revision of decisions from now on. A received list is applied whole before the next decision.
    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
        if let Some(reporter) = &self.reporter {
            reporter.set_revision(revision);
        }
    }

    /// Injects the fault that a test asks for with `WOODGAP_FAULT`, and tells whether to ignore the list.
    /// `stuck` and `liar` ignore every list after the first; `stuck` reports the revision that it acts on, `liar`
    /// the one that it ignores. `crash` ends the process 1.2 s after a list that has the server `x-bad`.
    #[cfg(feature = "faults")]
    fn ignores_list(&self, list: &ServerList) -> bool {
        let fault = std::env::var("WOODGAP_FAULT").unwrap_or_default();
        if fault == "crash" && list.entries.iter().any(|entry| entry.id == "x-bad") {
            spawn_local(async {
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                std::process::exit(3);
            });
        }
        let ignores = self.revision > 0 && matches!(fault.as_str(), "stuck" | "liar");
        if let (true, "liar", Some(reporter), Some(revision)) =
            (ignores, fault.as_str(), &self.reporter, list.revision)
        {
            reporter.set_false_revision(revision);
        }
        ignores
    }

    /// Passes all pending events to the balancer and executes its actions, also for events that these cause.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, send_within } => {
                self.start_attempt(request_number(&id), server, timeout, send_within);
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(request_number(&id), attempt),
            Action::Refuse { id, retry_after } => {
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.respond(request_number(&id), ClientResponse::Refused(retry_after));
            }
            Action::Fail { id } => self.respond(request_number(&id), ClientResponse::Failed),
            Action::Probe(server) => {
                let (servers, tx) = (self.servers.clone(), self.tx.clone());
                spawn_local(async move {
                    let sent_at = Instant::now();
                    let result = servers.send_probe(server).await;
                    let _ = tx.send(DriverMessage::ProbeEnded { server, result, elapsed: sent_at.elapsed() });
                });
            }
            Action::CloseIdleConnections(server) => self.servers.close_idle(server),
            Action::SetTimer { delay, timer } => {
                self.schedule.insert(Scheduled::Timer(timer), Duration::from_micros(delay));
            }
            Action::Subscribe => self.open_watch(),
            Action::SendMessage { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(peer, &data);
                }
            }
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Starts an attempt. Reports it as [`Outcome::Moot`] instead if the request is finished, has had its last
    /// attempt or is past its deadline. A `timeout` of 0 means the deadline of the request. With `send_within` the
    /// attempt ends unsent if it can't be written within this time.
    fn start_attempt(&mut self, id: u64, server: ServerId, timeout: Micros, send_within: Option<Micros>) {
        let now = Instant::now();
        let pending = self.pending.get_mut(&id);
        let attempt = pending.as_ref().map_or(0, |pending| pending.attempts.len());
        let sendable = pending
            .filter(|pending| pending.reply.is_some() && !pending.outgoing.is_finished.get())
            .filter(|pending| attempt < self.max_attempts && now < pending.deadline);
        let Some(pending) = sendable else {
            let is_request_done = self.pending.get(&id).is_none_or(|pending| pending.reply.is_none());
            if let Some(pending) = self.pending.get_mut(&id) {
                pending.attempts.push(None);
            }
            let (id, attempt, outcome) = (request_id(id), attempt as u32, Outcome::Moot);
            self.servers.counts.count_outcome(outcome);
            let attempt_end = AttemptEnd {
                id,
                attempt,
                server,
                outcome,
                elapsed: 0,
                is_request_done,
                load_report: Vec::new(),
            };
            return self.events.push_back(Event::AttemptEnded(attempt_end));
        };
        let deadline = match timeout {
            0 => pending.deadline,
            timeout => pending.deadline.min(now + Duration::from_micros(timeout)),
        };
        let send_by =
            send_within.map_or(deadline, |within| deadline.min(now + Duration::from_micros(within)));
        let (servers, outgoing, tx) = (self.servers.clone(), pending.outgoing.clone(), self.tx.clone());
        let attempt = attempt as u32;
        let (guard, acted_on) = self.reporter.as_ref().map(RevisionReporter::begin_attempt).unzip();
        let task = AbortOnDrop::spawn(async move {
            let result =
                servers.send_attempt(server, &outgoing, deadline, send_by, acted_on.flatten().as_ref()).await;
            let _ = tx.send(DriverMessage::AttemptEnded { id, attempt, result });
        });
        pending.attempts.push(Some(RunningAttempt {
            server,
            sent_at: now,
            _task: task,
            _revision_guard: guard,
        }));
        pending.is_attempted = true;
    }

    fn cancel_attempt(&mut self, id: u64, attempt: u32) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(running) = pending.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let elapsed = running.sent_at.elapsed().as_micros() as Micros;
        let (server, is_request_done) = (running.server, pending.reply.is_none());
        drop(running);
        // The server may be silent because its machine is gone: see the time-out in `Servers::send_attempt`.
        self.servers.close_idle(server);
        let outcome = Outcome::Cancelled;
        self.servers.counts.count_outcome(outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            id: request_id(id),
            attempt,
            server,
            outcome,
            elapsed,
            is_request_done,
            load_report: Vec::new(),
        }));
        self.remove_if_finished(id);
    }

    /// Logs the counts, if the log filter enables their target.
    fn log_counts(&self) {
        tracing::debug!(target: "woodgap::counts", counts = %self.servers.counts, "counts");
    }

    /// Starts the watch task unless there is one. The task reopens a broken watch until it is dropped.
    fn open_watch(&mut self) {
        if self.watch_task.is_some() {
            return;
        }
        self.watch_number += 1;
        let (watch_number, tx, drain_time) = (self.watch_number, self.tx.clone(), self.servers.drain_time());
        let (addr, revision) = (self.discovery, self.revision);
        let kind = match self.discovery_mode {
            DiscoveryMode::Push => EndpointKind::Agent,
            DiscoveryMode::Subscribe => EndpointKind::SharedService,
        };
        self.watch_task = Some(AbortOnDrop::spawn(async move {
            watch(addr, revision, drain_time, kind, |list| {
                drop(tx.send(DriverMessage::ListReceived { watch_number, list }))
            })
            .await;
        }));
    }
}

/// The id that the client gave the request, for the log.
fn client_request_id(request: &OutgoingRequest) -> Option<&str> {
    request.headers.get("x-txn")?.to_str().ok()
}

/// Converts a request's number to the balancer's form of ids.
fn request_id(id: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&id.to_le_bytes());
    RequestId(bytes)
}

/// Converts the balancer's form of an id back to the request's number.
fn request_number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_le_bytes(bytes)
}
