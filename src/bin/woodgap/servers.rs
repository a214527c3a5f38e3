//! The servers of the current list: their addresses and idle connections, and the attempts and probes sent to them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use tokio::time::{sleep, timeout_at, Instant};
use woodgap::config::NodeSettings;
use woodgap::list::{assign_server_number, ServerList};
use woodgap::settings::ZoneIds;
use woodgap::{CellId, Member, Outcome, ServerId, ServerState, SyncKind};

use crate::cold::{ColdSends, ServerStart};
use crate::counts::{Count, Counts};
use crate::exchange::{
    build_request, classify_response, parse_load_report, ExchangeContext, ExchangeResult, OutgoingRequest,
    RepeatDetector, ServerConnection, MIN_IDLE_BEFORE_REUSE,
};
use crate::guards::{SocketBudget, SocketPermit};
use crate::memory::{MemoryBudget, SERVER_CONNECTION_BYTES};
use crate::system_errors::is_local;

/// How often the driver calls [`Servers::close_stale_idle`] and [`Servers::log_cold_sends`].
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The part of the servers' keep-alive time for which an idle connection is reused. A request that crosses
/// the server's close on the wire ends as a reset, and an unsafe request can't be sent again after one.
const KEEPALIVE_REUSE_FRACTION: f64 = 0.6;

/// Delay before a call that failed on this machine is repeated, doubled each time up to the longest.
const MIN_DIAL_RETRY_DELAY: Duration = Duration::from_millis(1);
const MAX_DIAL_RETRY_DELAY: Duration = Duration::from_millis(16);

/// Why a connection to a server could not be opened.
#[derive(Debug)]
enum DialError {
    /// The server, or its machine, refused it.
    Refused,
    /// It was not up by the deadline.
    Silent,
    /// The node's own machine has no socket, port or route for it. This says nothing about the server.
    Local,
}

/// The result of an attempt or a probe.
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The load report in the server's response, empty if there was none.
    pub load_report: Vec<f64>,
    /// The server's complete response, to be passed on to the client.
    pub response: Option<(HeaderMap, Bytes)>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: Vec::new(), response: None }
    }
}

/// A server on the list and the idle connections to it.
struct ServerEntry {
    addr: SocketAddr,
    /// When the server's process started: Unix time in milliseconds.
    started_at_ms: u64,
    /// Changes with each restart, change of address or return to the list. A connection of another epoch
    /// leads to a process that is gone and is not used.
    epoch: u64,
    /// Idle connections, the most recently used last.
    idle: Vec<ServerConnection>,
    size: f64,
    /// The list says that the server takes no new requests.
    is_draining: bool,
    /// Another server in service has this server's address.
    is_replaced: bool,
}

/// All servers on the list.
pub struct Servers {
    settings: NodeSettings,
    /// The sockets that the node may open, to servers and to clients together.
    socket_budget: Rc<SocketBudget>,
    /// The bytes that the process may hold.
    memory: Rc<MemoryBudget>,
    /// The servers of the list that are not terminated.
    entries: RefCell<HashMap<ServerId, ServerEntry>>,
    /// The ids that discovery gives the servers, by the balancer's numbers for them.
    names: RefCell<HashMap<u32, String>>,
    last_epoch: Cell<u64>,
    repeats: RepeatDetector,
    zones: RefCell<ZoneIds>,
    cold_sends: ColdSends,
    /// The node's counts, for the log.
    pub counts: Counts,
}

/// Marks each server in service whose address another one has taken over, so that its requests don't reach that one.
/// Of two servers at one address the process that started last is there; if the starts are not known, the server that
/// came to the list last.
fn mark_replaced(entries: &mut HashMap<ServerId, ServerEntry>) {
    let mut newest: HashMap<SocketAddr, (u64, u64)> = HashMap::new();
    for entry in entries.values().filter(|entry| !entry.is_draining && !entry.is_replaced) {
        let start = (entry.started_at_ms, entry.epoch);
        let newest = newest.entry(entry.addr).or_insert(start);
        *newest = start.max(*newest);
    }
    for entry in entries.values_mut() {
        if newest.get(&entry.addr).is_some_and(|&newest| newest != (entry.started_at_ms, entry.epoch)) {
            entry.is_replaced = true;
            entry.idle.clear();
        }
    }
}

impl Servers {
    /// Creates an empty list of servers whose connections take their sockets from the budget.
    pub fn new(
        settings: NodeSettings,
        socket_budget: Rc<SocketBudget>,
        memory: Rc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(Servers {
            socket_budget,
            memory,
            entries: RefCell::default(),
            names: RefCell::default(),
            last_epoch: Cell::new(0),
            repeats: RepeatDetector::default(),
            zones: RefCell::default(),
            cold_sends: ColdSends::new(settings.ramp),
            counts: Counts::default(),
            settings,
        })
    }

    // The list.

    /// Applies a list and converts it to the values of the balancer's [`woodgap::Event::Sync`].
    pub fn apply_list(&self, list: &ServerList) -> (SyncKind, Vec<Member>) {
        let mut entries = self.entries.borrow_mut();
        let mut names = self.names.borrow_mut();
        let mut zones = self.zones.borrow_mut();
        let mut members = Vec::with_capacity(list.entries.len());
        for listed in &list.entries {
            let number = assign_server_number(&listed.id, &names);
            let server = ServerId(number);
            members.push(Member {
                server,
                zone: zones.get_or_assign(&listed.zone),
                cell: CellId(listed.cell),
                state: listed.state,
                size: listed.size,
                started_at: listed.up_since_ms.saturating_mul(1000),
            });
            if listed.state == ServerState::Terminated {
                entries.remove(&server);
                names.remove(&number);
                continue;
            }
            names.insert(number, listed.id.clone());
            let entry = entries.entry(server).or_insert_with(|| ServerEntry {
                addr: listed.addr,
                started_at_ms: listed.up_since_ms,
                epoch: self.next_epoch(),
                idle: Vec::new(),
                size: listed.size,
                is_draining: false,
                is_replaced: false,
            });
            // The old connections lead to the process from before the restart or the move.
            if (entry.addr, entry.started_at_ms) != (listed.addr, listed.up_since_ms) {
                (entry.addr, entry.started_at_ms) = (listed.addr, listed.up_since_ms);
                entry.epoch = self.next_epoch();
                entry.idle.clear();
            }
            if listed.state == ServerState::InService {
                (entry.is_draining, entry.is_replaced) = (false, false);
            } else {
                entry.is_draining = true;
                entry.idle.clear();
            }
        }
        if list.is_complete {
            let listed_servers: std::collections::HashSet<ServerId> =
                members.iter().map(|member| member.server).collect();
            entries.retain(|server, _| listed_servers.contains(server));
            names.retain(|&number, _| listed_servers.contains(&ServerId(number)));
        }
        mark_replaced(&mut entries);
        let kind = if list.is_complete { SyncKind::Full } else { SyncKind::Delta };
        (kind, members)
    }

    fn next_epoch(&self) -> u64 {
        self.last_epoch.set(self.last_epoch.get() + 1);
        self.last_epoch.get()
    }

    /// A server's address and epoch, or `None` if it is off the list, draining or replaced. An attempt checks
    /// it again once its connection is up: nothing of the attempt has run by then, so the balancer can send the
    /// request elsewhere at once.
    fn address(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&server)?;
        (!entry.is_draining && !entry.is_replaced).then_some((entry.addr, entry.epoch))
    }

    /// The time within which sends to a draining server have to stop.
    pub fn drain_time(&self) -> Duration {
        self.settings.drain_time
    }

    /// The bytes that the process may hold.
    pub fn memory(&self) -> Rc<MemoryBudget> {
        self.memory.clone()
    }

    /// Largest number of requests that may be open at a time.
    pub fn max_open_requests(&self) -> usize {
        self.settings.max_open_requests
    }

    /// The id that discovery gives a server.
    pub fn server_name(&self, server: ServerId) -> Option<String> {
        self.names.borrow().get(&server.0).cloned()
    }

    // Connections.

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            self.counts.add(Count::IdleFreed, entry.idle.len());
            entry.idle.clear();
        }
    }

    /// Drops idle connections that their server has closed or that have been idle for too long to be reused.
    pub fn close_stale_idle(&self) {
        let max_idle = self.settings.keepalive.mul_f64(KEEPALIVE_REUSE_FRACTION);
        for entry in self.entries.borrow_mut().values_mut() {
            let before = entry.idle.len();
            entry.idle.retain(|connection| !connection.is_closed());
            let open = entry.idle.len();
            entry.idle.retain(|connection| connection.idle_since.elapsed() < max_idle);
            self.counts.add(Count::IdleBroken, before - open);
            self.counts.add(Count::IdleExpired, open - entry.idle.len());
        }
    }

    /// Closes the connection that has been idle for longest; `false` if there is none.
    pub fn evict_idle(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let oldest = entries
            .values_mut()
            .filter(|entry| !entry.idle.is_empty())
            .min_by_key(|entry| entry.idle[0].idle_since);
        let is_evicted = oldest.map(|entry| drop(entry.idle.remove(0))).is_some();
        self.counts.add(Count::IdleEvicted, usize::from(is_evicted));
        is_evicted
    }

    /// Takes the most recently used connection that has been idle for at least [`MIN_IDLE_BEFORE_REUSE`], is open
    /// and has received no bytes meanwhile.
    fn take_idle_connection(&self, server: ServerId) -> Option<ServerConnection> {
        let max_idle = self.settings.keepalive.mul_f64(KEEPALIVE_REUSE_FRACTION);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&server)?;
        while let Some(index) =
            entry.idle.iter().rposition(|connection| connection.idle_since.elapsed() >= MIN_IDLE_BEFORE_REUSE)
        {
            let mut connection = entry.idle.remove(index);
            connection.idle_memory = None;
            if connection.is_reusable() && connection.idle_since.elapsed() < max_idle {
                self.counts.increment(Count::Reused);
                return Some(connection);
            }
            self.counts.increment(Count::IdleBroken);
        }
        None
    }

    /// Keeps a connection for the next attempt, unless its server has closed it, left the list, restarted, moved,
    /// drains or lost its address to another server.
    fn keep_idle(&self, server: ServerId, mut connection: ServerConnection) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&server) else { return };
        let is_usable = !entry.is_draining && !entry.is_replaced;
        if entry.epoch == connection.epoch && is_usable && !connection.is_closed() {
            // Without memory for it the connection is closed.
            connection.idle_memory = self.memory.connections.try_acquire(SERVER_CONNECTION_BYTES);
            if connection.idle_memory.is_some() {
                connection.idle_since = Instant::now();
                entry.idle.push(connection);
            }
        }
    }

    /// Acquires a permit to open a socket, closing idle connections to servers if the budget is used up.
    /// `None` if there are no more of them to close.
    pub async fn acquire_socket(&self) -> Option<SocketPermit> {
        loop {
            if let Some(permit) = self.socket_budget.try_acquire() {
                return Some(permit);
            }
            if !self.evict_idle() {
                return None;
            }
            // The closed connection gives back its permit when its task runs next.
            tokio::task::yield_now().await;
        }
    }

    /// Opens a connection to a server by the deadline. A call that fails on this machine is repeated, because it says
    /// nothing about the server.
    async fn dial(
        &self,
        addr: SocketAddr,
        epoch: u64,
        deadline: Instant,
    ) -> Result<ServerConnection, DialError> {
        self.counts.increment(Count::Dialled);
        let mut delay = MIN_DIAL_RETRY_DELAY;
        loop {
            let Some(permit) = self.acquire_socket().await else {
                self.counts.increment(Count::NoSocket);
                return Err(DialError::Local);
            };
            match timeout_at(deadline, ServerConnection::dial(addr, epoch, permit, &self.repeats)).await {
                Ok(Ok(connection)) => return Ok(connection),
                Ok(Err(error)) if is_local(&error) => self.counts.increment(Count::DialFailedLocally),
                Ok(Err(_)) => {
                    self.counts.increment(Count::DialRefused);
                    return Err(DialError::Refused);
                }
                Err(_) => return Err(DialError::Silent),
            }
            if Instant::now() + delay >= deadline {
                return Err(DialError::Local);
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_DIAL_RETRY_DELAY);
        }
    }

    // Attempts.

    /// Sends a request to a server and waits for the response until the deadline. The request is not sent at all
    /// if it can't be written by `send_by`. `acted_on` is the value of [`ACTED_ON_HEADER`]. Dropping the future
    /// closes the attempt's connection.
    ///
    /// [`ACTED_ON_HEADER`]: crate::revision_reporter::ACTED_ON_HEADER
    pub async fn send_attempt(
        &self,
        server: ServerId,
        request: &OutgoingRequest,
        deadline: Instant,
        send_by: Instant,
        acted_on: Option<&HeaderValue>,
    ) -> AttemptResult {
        loop {
            let Some((addr, epoch)) = self.address(server) else { return Outcome::ConnectFailed.into() };
            let (mut connection, is_reused) = match self.take_idle_connection(server) {
                Some(connection) => (connection, true),
                None => {
                    let dial_deadline = send_by.min(Instant::now() + self.settings.dial_timeout);
                    match self.dial(addr, epoch, dial_deadline).await {
                        Ok(connection) => (connection, false),
                        Err(DialError::Refused) => return Outcome::ConnectFailed.into(),
                        Err(DialError::Local) => return Outcome::Moot.into(),
                        // Cut short by `send_by`, which says nothing about the server.
                        Err(DialError::Silent) if send_by < deadline && Instant::now() >= send_by => {
                            return Outcome::Moot.into();
                        }
                        Err(DialError::Silent) => {
                            self.counts.increment(Count::DialSilent);
                            return Outcome::ConnectFailed.into();
                        }
                    }
                }
            };
            if !matches!(timeout_at(deadline, connection.wait_until_ready()).await, Ok(Ok(()))) {
                if is_reused {
                    continue;
                }
                return Outcome::ConnectFailed.into();
            }
            // While the connection came up, the client may have left or `send_by` may have passed.
            if request.is_over() || (send_by < deadline && Instant::now() >= send_by) {
                self.keep_idle(server, connection);
                return Outcome::Moot.into();
            }
            // The server's entry on the list may have changed, too.
            match self.address(server) {
                Some((_, epoch)) if epoch != connection.epoch => continue,
                Some(_) if Instant::now() < deadline => {}
                _ => {
                    self.keep_idle(server, connection);
                    return Outcome::ConnectFailed.into();
                }
            }
            request.was_sent.set(true);
            self.record_cold_send(server);
            let context = ExchangeContext {
                request: request.key(),
                deadline,
                memory: &self.memory.responses,
                repeats: &self.repeats,
                counts: &self.counts,
            };
            let attempt = build_request(request, addr, deadline, acted_on);
            match timeout_at(deadline, connection.send_request(attempt, &context)).await {
                // A server that began to respond is reachable; only its response is unusable.
                Err(_) if connection.has_received_bytes() => return Outcome::Error.into(),
                // The machine of a server that sent nothing may be gone. Requests on its other idle connections
                // would get no answer either, while dialling shows at once whether the machine is there.
                Err(_) => {
                    self.close_idle(server);
                    return Outcome::Timeout.into();
                }
                Ok(ExchangeResult::Unsent) if is_reused => continue,
                Ok(ExchangeResult::Unsent) => return Outcome::ConnectFailed.into(),
                Ok(ExchangeResult::Broken) if connection.has_received_bytes() => {
                    return Outcome::Error.into()
                }
                Ok(ExchangeResult::Broken) => return Outcome::Reset.into(),
                Ok(ExchangeResult::Response { status, headers, body, allows_reuse }) => {
                    if allows_reuse {
                        self.keep_idle(server, connection);
                    }
                    let load_report = parse_load_report(&headers, &self.settings.load_report_fields);
                    let outcome = classify_response(status, &headers);
                    let response = (outcome == Outcome::Ok).then_some((headers, body));
                    return AttemptResult { outcome, load_report, response };
                }
            }
        }
    }

    /// Records a send to a server that may be cold, if the log filter asks for such sends.
    fn record_cold_send(&self, server: ServerId) {
        if !self.cold_sends.is_enabled() {
            return;
        }
        let (names, entries) = (self.names.borrow(), self.entries.borrow());
        if let (Some(id), Some(entry)) = (names.get(&server.0), entries.get(&server)) {
            self.cold_sends.record(&ServerStart { id, started_at_ms: entry.started_at_ms, size: entry.size });
        }
    }

    /// Logs the sends to cold servers since the previous call.
    pub fn log_cold_sends(&self) {
        if self.cold_sends.is_enabled() {
            let is_usable = |entry: &&ServerEntry| !entry.is_draining && !entry.is_replaced;
            self.cold_sends
                .log(self.entries.borrow().values().filter(is_usable).map(|entry| entry.size).sum());
        }
    }

    /// Sends a probe to a server.
    pub async fn send_probe(&self, server: ServerId) -> AttemptResult {
        let target = Uri::from_static("/-/healthy");
        let request = OutgoingRequest::new(Method::GET, target, HeaderMap::new(), Bytes::new());
        self.counts.increment(Count::Probes);
        // A probe may take as long as a usual request, but not as long as one with a late deadline.
        let deadline = Instant::now() + self.settings.dial_timeout * 2;
        self.send_attempt(server, &request, deadline, deadline, None).await
    }
}

#[cfg(test)]
mod tests;
