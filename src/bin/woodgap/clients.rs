//! The node towards its clients: accepts connections, reads requests, hands them to the driver and writes
//! responses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use woodgap::config::REJECTION_CONNECTIONS;
use woodgap::settings::RequestNames;
use woodgap::{ClassId, Semantics, Settings, TenantId};

pub use admission::LISTEN_BACKLOG;
use admission::{Admission, URGENT_ARRIVAL_LIMITS};
use request_ids::IdConflict;
pub use request_ids::RequestIds;

use crate::client_connection::{BodyMemory, ClientConnection, ClientSocket, Phase, REQUEST_READ_TIMEOUT};
use crate::counts::Count;
use crate::driver::{ClientRequest, ClientResponse, DriverMessage};
use crate::exchange::{OutgoingRequest, MAX_BODY_BYTES};
use crate::guards::SocketBudget;
use crate::memory::{
    MemoryBudget, MemoryPermit, CLIENT_CONNECTION_BYTES, MANY_FIELDS_BYTES, OPEN_REQUEST_BYTES,
    UNRESERVED_BODY_BYTES, UNRESERVED_FIELDS,
};
use crate::request::{remove_hop_by_hop_headers, Rejection, RequestHead};
use crate::revision_reporter::RevisionReporter;
use crate::servers::Servers;

mod admission;
mod request_ids;

/// Largest head of a request.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of a request.
pub const MAX_REQUEST_HEADERS: usize = 64;
/// Taken off the time that a client gives its request, so that the response arrives before the client gives
/// up: the client counts from its send and the node from its read, and the response needs time on its way
/// back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(12);
/// How long after SIGTERM idle connections stay open. New connections and requests arrive for up to 0.4 s.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(600);
/// After SIGTERM the platform lets the process run for the longest deadline of a class, limited to this time,
/// plus `KILL_GRACE`. Then it may kill the process, so requests that arrive after SIGTERM are answered by then.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// See `MAX_DEADLINE_BEFORE_KILL`.
const KILL_GRACE: Duration = Duration::from_millis(650);
/// How long a draining node goes on after its last connection closed, for connections in the listener's
/// backlog.
const BACKLOG_DELAY: Duration = Duration::from_millis(20);
/// How long a connection beyond the budget may take to send the request that is then refused, and a
/// connection accepted after `IDLE_CLOSE_DELAY` to send its only request.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The `Retry-After` of a node without room for a further connection or request.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Above this fraction of the client sockets in use, a connection is closed after its first response. Otherwise
/// a crowd of clients that send one request and stay connected would keep others out until their connections
/// may be evicted.
const CLOSE_AFTER_FIRST_RESPONSE_FRACTION: f64 = 0.6;
/// Above this fraction of the client sockets in use, a connection is closed after any response.
const CLOSE_AFTER_ANY_RESPONSE_FRACTION: f64 = 0.9;
/// Most requests that are served at a time on connections beyond the budget. The other connections beyond the budget are
/// left for refusals.
const MAX_SERVED_OVER_BUDGET: usize = REJECTION_CONNECTIONS / 2;
/// How often connections are checked for overdue requests.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by all client connections.
pub struct Clients {
    settings: Settings,
    /// The names of the classes and tenants in the settings.
    names: RequestNames,
    max_open_requests: usize,
    servers: Rc<Servers>,
    /// Sockets for clients; each also needs a permit from the budget of all sockets in `servers`.
    client_sockets: Rc<SocketBudget>,
    /// The bytes that the process may hold.
    memory: Rc<MemoryBudget>,
    /// Further sockets for clients that are only told that the node refuses them.
    refusal_sockets: Rc<SocketBudget>,
    /// Knows whether the audit has taken the node out of service.
    reporter: Option<Rc<RevisionReporter>>,
    /// Hands requests and disconnects to the driver.
    driver: mpsc::UnboundedSender<DriverMessage>,
    next_request_id: Cell<u64>,
    /// Requests that hold memory: from the arrival of their head to their response.
    open_requests: Cell<usize>,
    /// Requests on connections beyond the budget that are being served.
    served_over_budget: Cell<usize>,
    /// The ids of open requests, and of ended ones that must not run again.
    request_ids: RefCell<RequestIds>,
    next_connection_id: Cell<u64>,
    connections: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    /// Set at SIGTERM: when all requests must have been answered.
    drain_deadline: Cell<Option<Instant>>,
    /// Set when a draining node closes its idle connections.
    is_closing: Cell<bool>,
    /// Signalled when a connection is closed, and before that when it only waits for its client's close.
    connection_ended: Notify,
}

impl Clients {
    /// Creates the state. `sockets` are the budgets for clients that are served and for those that are only
    /// refused.
    pub fn new(
        settings: Settings,
        names: RequestNames,
        servers: Rc<Servers>,
        request_ids: RequestIds,
        sockets: (Rc<SocketBudget>, Rc<SocketBudget>),
        reporter: Option<Rc<RevisionReporter>>,
        driver: mpsc::UnboundedSender<DriverMessage>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            settings,
            names,
            max_open_requests: servers.max_open_requests(),
            memory: servers.memory(),
            servers,
            client_sockets: sockets.0,
            refusal_sockets: sockets.1,
            reporter,
            driver,
            next_request_id: Cell::new(1),
            open_requests: Cell::new(0),
            served_over_budget: Cell::new(0),
            request_ids: RefCell::new(request_ids),
            next_connection_id: Cell::new(0),
            connections: RefCell::default(),
            drain_deadline: Cell::new(None),
            is_closing: Cell::new(false),
            connection_ended: Notify::new(),
        })
    }

    /// Takes memory back from requests that don't arrive and from clients that don't read, if others wait for it.
    fn reclaim_memory(&self) {
        let connections = self.connections.borrow();
        let is_any_waiting = connections.values().any(|connection| connection.is_waiting_for_memory());
        if !is_any_waiting && !self.memory.responses.is_short() {
            return;
        }
        let stalled = connections
            .values()
            .filter(|connection| connection.holds_reclaimable_memory() || connection.is_waiting_for_memory())
            .filter(|connection| connection.eviction_score(&URGENT_ARRIVAL_LIMITS) >= 1.0)
            .filter(|connection| connection.is_waiting_for_memory() || connection.can_close_without_loss());
        stalled.for_each(|connection| {
            self.servers.counts.increment(Count::Evicted);
            connection.evict();
        });
    }

    /// Closes connections whose request takes too long to arrive and those that are idle for too long, until
    /// the process ends. Silent and very slow clients would otherwise hold all client sockets.
    async fn close_overdue_connections(self: Rc<Self>) {
        loop {
            sleep(OVERDUE_CHECK_INTERVAL).await;
            self.reclaim_memory();
            let connections = self.connections.borrow();
            // Unread bytes may complete the request, so a connection that has some is left until the next check.
            let overdue = connections
                .values()
                .filter(|connection| connection.is_overdue() && connection.can_close_without_loss());
            overdue.for_each(|connection| {
                self.servers.counts.add(Count::TooSlow, usize::from(!connection.is_idle()));
                connection.request_close(true);
            });
        }
    }

    /// The part of the sockets or of the memory for client connections in use, whichever is larger.
    fn used_fraction(&self) -> f64 {
        let most = self.memory.connections.total_bytes() as f64 / CLIENT_CONNECTION_BYTES as f64;
        (self.connections.borrow().len() as f64 / most).max(self.client_sockets.used_fraction())
    }

    /// Serves a connection until it ends.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, admission: Admission) {
        let is_over_budget = admission.is_over_budget;
        // A connection accepted this late still gets one request answered: what was sent before the process
        // ends counts as accepted.
        let is_late = self.is_closing.get();
        let first_request_timeout =
            if is_over_budget || is_late { LAST_REQUEST_TIMEOUT } else { REQUEST_READ_TIMEOUT };
        let connection = ClientConnection::new(stream, first_request_timeout, &self.memory.arriving);
        connection.record_wait(admission.waiting_since);
        let connection_id = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        self.connections.borrow_mut().insert(connection_id, connection.clone());
        let (clients, state) = (self.clone(), connection.clone());
        let service = service_fn(move |request| {
            let (clients, state) = (clients.clone(), state.clone());
            async move {
                let body_deadline = state.begin_request();
                let (mut response, keep_alive) = if is_over_budget {
                    (clients.handle_over_budget(request, &state, body_deadline).await, false)
                } else {
                    clients.handle_request(request, &state, body_deadline).await
                };
                let close_above_fraction = if state.is_first_request() {
                    CLOSE_AFTER_FIRST_RESPONSE_FRACTION
                } else {
                    CLOSE_AFTER_ANY_RESPONSE_FRACTION
                };
                let is_crowded = clients.used_fraction() > close_above_fraction;
                // Only hyper knows where a chunked body ends, so the next request's first byte would not be
                // known.
                let must_close = state.has_read_ahead_overflowed()
                    || state.is_chunked_only()
                    || clients.drain_deadline.get().is_some();
                if !keep_alive || is_crowded || must_close {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                state.enter_phase(Phase::Idle);
                Ok::<_, Infallible>(response)
            }
        });
        let has_client_disconnected = {
            let http = http1::Builder::new()
                .header_read_timeout(None)
                .max_buf_size(MAX_REQUEST_HEAD_BYTES)
                .max_headers(MAX_REQUEST_HEADERS)
                .serve_connection(TokioIo::new(ClientSocket::new(connection.clone())), service);
            let mut http = std::pin::pin!(http);
            loop {
                tokio::select! {
                    result = http.as_mut() => {
                        if let Err(error) = result {
                            tracing::debug!(%error, "client connection failed");
                        }
                        break false;
                    }
                    // Dropping `http` drops its open request, which withdraws the request from the driver.
                    () = connection.wait_for_disconnect() => break true,
                    () = connection.close_requested.notified() => {}
                }
                if connection.closes_at_once() {
                    if connection.is_unused() {
                        self.servers.counts.increment(Count::ClosedUnanswered);
                    }
                    break false;
                }
                // An idle connection ends at once, another one with its response.
                http.as_mut().graceful_shutdown();
            }
        };
        if !has_client_disconnected {
            connection.enter_phase(Phase::Closing);
            self.connection_ended.notify_waiters();
            connection.linger().await;
        }
        drop(connection);
        // Dropping the last reference closes the socket; only then may another connection take its permits.
        self.connections.borrow_mut().remove(&connection_id);
        drop(admission);
        self.connection_ended.notify_waiters();
    }

    /// Drains after SIGTERM: keeps serving for `IDLE_CLOSE_DELAY`, then closes idle connections and returns
    /// once all connections have ended, or the longest deadline has passed.
    pub async fn drain(&self) {
        let longest_us = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let longest = Duration::from_micros(longest_us);
        self.drain_deadline.set(Some(Instant::now() + longest.min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE));
        sleep(IDLE_CLOSE_DELAY).await;
        self.is_closing.set(true);
        // On the other connections a request is open or has begun to arrive: they end with its response.
        self.connections
            .borrow()
            .values()
            .filter(|connection| connection.is_idle())
            .for_each(|connection| connection.request_close(false));
        let all_closed = async {
            loop {
                while !self.connections.borrow().is_empty() {
                    self.connection_ended.notified().await;
                }
                // Connections still in the backlog would be reset when the process ends.
                sleep(BACKLOG_DELAY).await;
                if self.connections.borrow().is_empty() {
                    return;
                }
            }
        };
        // A client that sends a request very slowly must not keep the process running: every accepted request
        // has been answered after the longest deadline.
        let _ = timeout(longest + IDLE_CLOSE_DELAY, all_closed).await;
    }

    /// Answers the only request of a connection beyond the budget. A small request is served, so that clients which hold
    /// all other connections don't keep usual ones out; any other is refused.
    async fn handle_over_budget(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        body_deadline: Instant,
    ) -> Response<Full<Bytes>> {
        let needed_bytes = arriving_bytes(request.headers().len(), request.body().size_hint().exact());
        if needed_bytes > 0 || self.served_over_budget.get() >= MAX_SERVED_OVER_BUDGET {
            return self.last_refusal_response();
        }
        let _count = CountGuard::new(&self.served_over_budget);
        self.handle_request(request, connection, body_deadline).await.0
    }

    /// Answers a request. The flag tells whether the connection may be kept open after the response.
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        body_deadline: Instant,
    ) -> (Response<Full<Bytes>>, bool) {
        match request.uri().path() {
            "/-/ready" if request.method() == Method::GET => {
                let is_out = self.reporter.as_ref().is_some_and(|reporter| reporter.is_excluded());
                let is_ready = self.drain_deadline.get().is_none() && !is_out;
                let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                (text_response(status, ""), true)
            }
            "/api" => match self.forward_request(request, connection, body_deadline).await {
                Ok(response) => (response, true),
                // After a malformed request it is not certain where the next one begins.
                Err((status, why)) => {
                    tracing::debug!(%status, why = why.trim_end(), "request rejected");
                    (text_response(status, why), false)
                }
            },
            _ => (text_response(StatusCode::NOT_FOUND, "no such path\n"), false),
        }
    }

    /// Reads a request, hands it to the driver and waits for its response.
    async fn forward_request(
        &self,
        request: Request<Incoming>,
        connection: &Rc<ClientConnection>,
        body_deadline: Instant,
    ) -> Result<Response<Full<Bytes>>, Rejection> {
        let (parts, body) = request.into_parts();
        let fields = parts.headers.len();
        let min_body_bytes = body.size_hint().lower();
        let is_chunked_only = connection.is_chunked_only();
        let head = RequestHead::parse(parts, min_body_bytes, is_chunked_only, &self.settings, &self.names)?;
        let wait_deadline = body_deadline.min(Instant::now() + head.time_left);
        let arrival = async {
            let needed_bytes = arriving_bytes(fields, body.size_hint().exact());
            let Some(memory) = self.acquire_body_memory(connection, needed_bytes, wait_deadline).await else {
                return Ok(None);
            };
            Ok(Some((self.read_body(body, body_deadline).await?, memory)))
        };
        let arrived = tokio::select! {
            biased;
            arrived = arrival => arrived?,
            () = connection.wait_for_refusal_request() => None,
        };
        // No server has seen the request, so the client may safely repeat it.
        let Some((body, body_memory)) = arrived else { return Ok(self.last_refusal_response()) };
        head.check_body(&body)?;
        connection.mark_request_complete();
        let open_memory = self.memory.open_requests.try_acquire(OPEN_REQUEST_BYTES);
        let Some(open_memory) = open_memory.filter(|_| self.open_requests.get() < self.max_open_requests)
        else {
            return Ok(self.refusal_response(Some(OVERLOAD_RETRY_AFTER)));
        };
        let _count = CountGuard::new(&self.open_requests);
        // The client's time counts from the request's last byte.
        let spent = connection.take_wait() + RESPONSE_MARGIN;
        let deadline = Instant::now() + head.time_left.saturating_sub(spent);
        let deadline = self.drain_deadline.get().map_or(deadline, |drain| deadline.min(drain));
        let id = self.next_request_id.replace(self.next_request_id.get() + 1);
        let memory = [open_memory, body_memory];
        let outgoing =
            OutgoingRequest::new(head.method, head.target, head.headers, body).hold_memory(memory.into());
        let outgoing = Rc::new(outgoing.for_client(connection, ClassId(head.class)));
        // Servers tell requests apart by their X-Txn. A second request with the X-Txn of an open one could
        // run an effect twice, or get the response to the other.
        let is_safe = self.settings.classes[head.class].semantics == Semantics::Safe;
        let open_request = OpenRequest::register(self, id, &head.txn, is_safe, outgoing.clone());
        let open_request = open_request.map_err(|conflict| match conflict {
            IdConflict::Open => (StatusCode::CONFLICT, "a request with this X-Txn is open\n"),
            IdConflict::MayHaveRun => (StatusCode::CONFLICT, "the request with this X-Txn may have run\n"),
        })?;
        let (reply, response) = oneshot::channel();
        let client_request = ClientRequest {
            id,
            class: ClassId(head.class),
            tenant: head.tenant.map(TenantId),
            key: head.key,
            is_client_retry: head.is_client_retry,
            cost: head.cost,
            deadline,
            outgoing,
            reply,
        };
        if self.driver.send(DriverMessage::Request(Box::new(client_request))).is_err() {
            return Ok(self.refusal_response(Some(OVERLOAD_RETRY_AFTER)));
        }
        Ok(match response.await {
            Ok(ClientResponse::Served(headers, body)) => server_response(headers, body),
            Ok(ClientResponse::Refused(retry_after)) => {
                open_request.is_refused.set(true);
                self.refusal_response(retry_after)
            }
            Ok(ClientResponse::Failed) => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
            Ok(ClientResponse::DeadlineExceeded) | Err(_) => {
                text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
            }
        })
    }

    /// Takes memory for the rest of a request before it is read, and waits for it until the deadline. `None` if there was
    /// none.
    async fn acquire_body_memory(
        &self,
        connection: &ClientConnection,
        needed_bytes: usize,
        deadline: Instant,
    ) -> Option<MemoryPermit> {
        if needed_bytes == 0 {
            return self.memory.arriving.try_acquire(0);
        }
        connection.set_body_memory(BodyMemory::Waiting);
        let waiting_since = Instant::now();
        let permit = timeout_at(deadline, self.memory.arriving.acquire(needed_bytes)).await.ok().flatten();
        connection.add_wait(waiting_since.elapsed());
        connection.set_body_memory(if permit.is_some() { BodyMemory::Held } else { BodyMemory::Unreserved });
        permit
    }

    /// Reads the body of a request.
    async fn read_body(&self, body: Incoming, deadline: Instant) -> Result<Bytes, Rejection> {
        timeout_at(deadline, collect_body(body)).await.unwrap_or_else(|_| {
            self.servers.counts.increment(Count::TooSlow);
            Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))
        })
    }

    /// The refusal of a node without room, after which the connection is closed.
    fn last_refusal_response(&self) -> Response<Full<Bytes>> {
        let mut response = self.refusal_response(Some(OVERLOAD_RETRY_AFTER));
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// A 503, which tells the client that no server ran its request, so that a retry is harmless.
    fn refusal_response(&self, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
        let seconds = retry_after
            .filter(|_| self.settings.sends_retry_after)
            .map(|retry_after| format!("{:.3}", retry_after.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// The memory that a request takes while it arrives, beyond what its connection has: for its fields, and for its body,
/// whose length is not known if it comes in chunks.
fn arriving_bytes(fields: usize, body_bytes: Option<u64>) -> usize {
    let fields_bytes = if fields > UNRESERVED_FIELDS { MANY_FIELDS_BYTES } else { 0 };
    let body_bytes = body_bytes.map_or(MAX_BODY_BYTES, |bytes| bytes.min(MAX_BODY_BYTES as u64) as usize);
    let body_bytes = if body_bytes > UNRESERVED_BODY_BYTES { body_bytes } else { 0 };
    fields_bytes + body_bytes
}

/// Reads a body into one buffer. The parts that hyper gives are copied and dropped: each of them, however short, would
/// keep a whole read buffer.
async fn collect_body(mut incoming: Incoming) -> Result<Bytes, Rejection> {
    const TOO_LONG: Rejection = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
    let mut body = BytesMut::with_capacity(incoming.size_hint().lower().min(MAX_BODY_BYTES as u64) as usize);
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "the body is broken\n"))?;
        let Ok(data) = frame.into_data() else { continue };
        if body.len() + data.len() > MAX_BODY_BYTES {
            return Err(TOO_LONG);
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}

/// Adds one to a count until dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A request that waits for its response. hyper's connection future owns it and drops it when the client
/// disconnects; dropping it withdraws the request from the driver.
struct OpenRequest<'a> {
    clients: &'a Clients,
    id: u64,
    /// The hash of the client's id.
    txn_hash: u128,
    /// Whether requests of the class may run more than once.
    is_safe: bool,
    /// Whether the client is told that it may repeat the request.
    is_refused: Cell<bool>,
    outgoing: Rc<OutgoingRequest>,
}

impl<'a> OpenRequest<'a> {
    /// Registers the request's `X-Txn`, or says why it can't have it.
    fn register(
        clients: &'a Clients,
        id: u64,
        txn: &str,
        is_safe: bool,
        outgoing: Rc<OutgoingRequest>,
    ) -> Result<Self, IdConflict> {
        let txn_hash = clients.request_ids.borrow_mut().open(txn)?;
        Ok(OpenRequest { clients, id, txn_hash, is_safe, is_refused: Cell::new(false), outgoing })
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let may_not_repeat = !self.is_safe && !self.is_refused.get() && self.outgoing.was_sent.get();
        self.clients.request_ids.borrow_mut().end(self.txn_hash, may_not_repeat);
        // Set here and not only when the driver handles the message: an attempt may be about to be written.
        self.outgoing.is_finished.set(true);
        // If the request was answered, the driver has forgotten the id or knows that the request has ended.
        let _ = self.clients.driver.send(DriverMessage::Disconnected(self.id));
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A server's response as it goes to the client: without hop-by-hop headers and the server's load report.
fn server_response(mut headers: HeaderMap, body: Bytes) -> Response<Full<Bytes>> {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove("x-pressure");
    let mut response = Response::new(Full::new(body));
    *response.headers_mut() = headers;
    response
}
