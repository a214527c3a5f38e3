//! An HTTP/1.1 connection to a server: sends one request at a time, reads the whole response and classifies
//! it.

mod repeats;
mod socket;
mod surplus;

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};
use woodgap::{ClassId, Outcome};

use crate::client_connection::ClientConnection;
use crate::counts::{Count, Counts};
use crate::guards::{AbortOnDrop, SocketPermit};
use crate::memory::{hold_permit, MemoryPermit, MemoryShare, UNRESERVED_BODY_BYTES};
use crate::revision_reporter::ACTED_ON_HEADER;
pub use repeats::RepeatDetector;
use repeats::{ConnectionResponses, RequestKey, ResponseKey};
use socket::{SharedSocket, SocketIo};
use surplus::{Surplus, RESPONSE_START};

/// Largest body of a request or a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Most headers of a response.
const MAX_RESPONSE_HEADERS: usize = 64;
/// Most bytes read from the server for one request. Without this limit an endless head or an endless series
/// of 1xx responses would keep the node reading until the deadline.
const MAX_RESPONSE_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_RESPONSE_HEAD_BYTES;
/// A response fails if no part of its body arrives for this long.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The most second copies of earlier responses that are passed over for one request.
const MAX_COPIES: usize = 4;
/// A connection is not reused until it has been idle for this long after a response: a close by the server right behind
/// the response would lose the next request, and a second copy of the response would have to be told from the next
/// one ([`RepeatDetector`]).
pub const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);

/// A request as the node sends it to servers: a client's, without its hop-by-hop headers, or a probe.
pub struct OutgoingRequest {
    /// GET or POST.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers that every attempt carries; `build_request` adds those of the attempt.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The request was answered or its client disconnected: no further attempt may be written.
    pub is_finished: Cell<bool>,
    /// Whether an attempt was handed to a server connection for writing, so that a server may have seen the
    /// request.
    pub was_sent: Cell<bool>,
    /// The class of the request; `None` for a probe.
    class: Option<ClassId>,
    /// The connection of the client that waits for the response; `None` for a probe.
    client: Option<Weak<ClientConnection>>,
    /// The memory that the request takes from the budget until its last attempt has ended.
    _memory: Vec<MemoryPermit>,
}

impl OutgoingRequest {
    /// A request of which nothing was sent yet.
    pub fn new(method: Method, target: Uri, headers: HeaderMap, body: Bytes) -> Self {
        OutgoingRequest {
            method,
            target,
            headers,
            body,
            is_finished: Cell::new(false),
            was_sent: Cell::new(false),
            class: None,
            client: None,
            _memory: Vec::new(),
        }
    }

    /// Ties the request to the connection of its client, and names its class.
    pub fn for_client(mut self, client: &Rc<ClientConnection>, class: ClassId) -> Self {
        (self.client, self.class) = (Some(Rc::downgrade(client)), Some(class));
        self
    }

    /// What tells the request from others on its connection to a server.
    pub fn key(&self) -> RequestKey {
        RequestKey::new(self.class, self.headers.get("x-txn").map_or(b"", HeaderValue::as_bytes))
    }

    /// Whether the request was answered or its client has closed its connection. Looks at the connection itself: if the
    /// process was held up, the close may have arrived without having been noticed.
    pub fn is_over(&self) -> bool {
        let has_client_gone = |client: &Weak<ClientConnection>| {
            client.upgrade().is_none_or(|client| client.has_client_closed())
        };
        self.is_finished.get() || self.client.as_ref().is_some_and(has_client_gone)
    }

    /// Ties memory of the budget to the request.
    pub fn hold_memory(mut self, memory: Vec<MemoryPermit>) -> Self {
        self._memory = memory;
        self
    }
}

/// The task in which hyper reads and writes the socket.
struct IoTask {
    _task: AbortOnDrop,
    /// What hyper had read beyond the end of the last response, once the task has ended; `None` once it was taken.
    end: Option<oneshot::Receiver<Bytes>>,
}

impl IoTask {
    /// Starts hyper on a socket.
    async fn start(io: SocketIo) -> hyper::Result<(SendRequest<Full<Bytes>>, IoTask)> {
        let (sender, mut connection) = http1::Builder::new()
            .max_headers(MAX_RESPONSE_HEADERS)
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(io))
            .await?;
        let (end_sender, end) = oneshot::channel();
        let task = AbortOnDrop::spawn(async move {
            let _ = (&mut connection).await;
            let _ = end_sender.send(connection.into_parts().read_buf);
        });
        Ok((sender, IoTask { _task: task, end: Some(end) }))
    }

    /// Takes what hyper had read beyond the end of the last response, empty if the task has not ended.
    fn take_end(&mut self) -> Bytes {
        let Some(end) = &mut self.end else { return Bytes::new() };
        match end.try_recv() {
            Err(oneshot::error::TryRecvError::Empty) => Bytes::new(),
            ended => {
                self.end = None;
                ended.unwrap_or_default()
            }
        }
    }

    /// Waits for the end of the task and takes what hyper had read, empty if the task does not end in time.
    async fn wait_for_end(&mut self, wait: Duration) -> Bytes {
        let Some(end) = &mut self.end else { return Bytes::new() };
        let Ok(ended) = timeout(wait, end).await else { return Bytes::new() };
        self.end = None;
        ended.unwrap_or_default()
    }
}

/// What an exchange needs beside its connection.
pub struct ExchangeContext<'a> {
    pub request: RequestKey,
    pub deadline: Instant,
    /// Where the bodies of responses take their bytes from.
    pub memory: &'a MemoryShare,
    pub repeats: &'a RepeatDetector,
    pub counts: &'a Counts,
}

/// A connection to a server; dropping it closes the socket.
pub struct ServerConnection {
    sender: SendRequest<Full<Bytes>>,
    socket: Rc<SharedSocket>,
    io_task: IoTask,
    responses: ConnectionResponses,
    /// The server's epoch when the connection was opened; connections of an earlier epoch are not used.
    pub epoch: u64,
    /// When the connection last became idle.
    pub idle_since: Instant,
    /// The memory that the connection takes from the budget while it is idle. While it is in use, its request has taken
    /// the memory for it.
    pub idle_memory: Option<MemoryPermit>,
}

/// How a request on a server connection ended.
pub enum ExchangeResult {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke, or the response was malformed or longer than its length; the server may have run the
    /// request.
    Broken,
    /// A complete response.
    Response {
        status: StatusCode,
        /// The headers as the server sent them.
        headers: HeaderMap,
        /// The complete body.
        body: Bytes,
        /// Whether the response leaves the connection usable for another request.
        allows_reuse: bool,
    },
}

impl ExchangeResult {
    /// The body of a response with which a client can be served.
    fn served_body(&self) -> Option<&[u8]> {
        match self {
            ExchangeResult::Response { status: StatusCode::OK, body, .. } => Some(body),
            _ => None,
        }
    }

    /// The same result of a connection that is not usable for another request.
    fn without_reuse(mut self) -> Self {
        if let ExchangeResult::Response { allows_reuse, .. } = &mut self {
            *allows_reuse = false;
        }
        self
    }
}

impl ServerConnection {
    /// Connects to a server. The permit is held until the socket is closed.
    pub async fn dial(
        addr: SocketAddr,
        epoch: u64,
        permit: SocketPermit,
        repeats: &RepeatDetector,
    ) -> io::Result<ServerConnection> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let socket = Rc::new(SharedSocket::new(stream, permit));
        let (sender, io_task) =
            IoTask::start(SocketIo::new(socket.clone())).await.map_err(io::Error::other)?;
        Ok(ServerConnection {
            sender,
            socket,
            io_task,
            responses: repeats.open_connection(),
            epoch,
            idle_since: Instant::now(),
            idle_memory: None,
        })
    }

    /// Whether hyper has noticed that the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection is open and has no unread bytes. Peeks at the socket, because the runtime's
    /// view of its readiness may be older than a duplicate response that is already in the receive buffer.
    pub fn is_reusable(&self) -> bool {
        !self.is_closed() && self.socket.is_open_and_empty()
    }

    /// Whether any byte arrived since the last request was sent.
    pub fn has_received_bytes(&self) -> bool {
        self.socket.has_received_bytes()
    }

    /// Waits until the connection can take a request.
    pub async fn wait_until_ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and reads the whole response.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
        context: &ExchangeContext<'_>,
    ) -> ExchangeResult {
        self.socket.begin_response(MAX_RESPONSE_BYTES);
        let sent_at = Instant::now();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            // hyper returns the request with the error only if no byte of it was written.
            Err(error) if error.message().is_some() => return ExchangeResult::Unsent,
            Err(_) => return ExchangeResult::Broken,
        };
        let result = self.read_own_response(response, sent_at, context).await;
        self.socket.end_response();
        result
    }

    /// Reads the response to the request, and passes over second copies of earlier responses.
    async fn read_own_response(
        &mut self,
        mut response: Response<Incoming>,
        sent_at: Instant,
        context: &ExchangeContext<'_>,
    ) -> ExchangeResult {
        for copies in 0..=MAX_COPIES {
            let Some(result) = read_response(response, context.memory).await else { break };
            let mut surplus = self.take_surplus();
            let key = result.served_body().map(|body| ResponseKey::new(context.request, body));
            let time_left = context.deadline.saturating_duration_since(Instant::now());
            let doubt = key.and_then(|key| context.repeats.doubt(&self.responses, &key, time_left));
            if let (Some(wait), true) = (doubt, surplus.is_empty()) {
                context.counts.increment(Count::ResponseDoubted);
                surplus = self.wait_for_surplus(wait).await;
            }
            match (surplus::classify(&surplus), doubt) {
                (Surplus::Unexplained, _) => {
                    context.counts.increment(Count::ResponseTooLong);
                    break;
                }
                (Surplus::Response, Some(_)) => {
                    drop(result);
                    context.counts.increment(Count::ResponseCopy);
                    context.repeats.record_copy(&context.request);
                    let Some(further) = self.resume(surplus).await else { break };
                    response = further;
                    continue;
                }
                (_, None) => context.repeats.record_time(&context.request, sent_at.elapsed()),
                (Surplus::Nothing, Some(_)) => context.repeats.record_genuine(&context.request),
            }
            if let Some(key) = key {
                context.repeats.record_use(&mut self.responses, &key);
            }
            let is_at_rest = surplus.is_empty() && doubt.is_none() && copies == 0;
            return if is_at_rest { result } else { result.without_reuse() };
        }
        ExchangeResult::Broken
    }

    /// Takes what has arrived behind the end of a response: what hyper has read beyond it, which ended its task, and
    /// the start of what is still in the receive buffer.
    fn take_surplus(&mut self) -> Bytes {
        let read_by_hyper = self.io_task.take_end();
        self.add_unread(read_by_hyper)
    }

    /// Waits until something arrives behind the end of a response.
    async fn wait_for_surplus(&mut self, wait: Duration) -> Bytes {
        let read_by_hyper = self.io_task.wait_for_end(wait).await;
        self.add_unread(read_by_hyper)
    }

    /// Adds bytes from the receive buffer until there are enough to recognize a further response.
    fn add_unread(&self, read_by_hyper: Bytes) -> Bytes {
        let missing = RESPONSE_START.len().saturating_sub(read_by_hyper.len());
        let mut unread = [0; RESPONSE_START.len()];
        match self.socket.read_unread(&mut unread[..missing]) {
            0 => read_by_hyper,
            count => [&read_by_hyper, &unread[..count]].concat().into(),
        }
    }

    /// Has hyper read a further response to the request, which starts with the bytes in `unread`.
    async fn resume(&mut self, unread: Bytes) -> Option<Response<Incoming>> {
        self.socket.begin_response(MAX_RESPONSE_BYTES);
        let io = SocketIo::resumed(self.socket.clone(), unread);
        (self.sender, self.io_task) = IoTask::start(io).await.ok()?;
        // Nothing of this request is written: its form only has to allow a response of any form.
        self.sender.try_send_request(Request::new(Full::default())).await.ok()
    }
}

/// Reads a response with its whole body before any of it is passed on, so that the client has seen nothing of
/// one that breaks halfway and the attempt still has an outcome. Returns `None` for a malformed, oversized or
/// broken response. A long body takes its bytes from `memory` before it is read, and keeps them until it is written to
/// the client; until there are bytes for it the server has to wait.
async fn read_response(response: Response<Incoming>, memory: &MemoryShare) -> Option<ExchangeResult> {
    let (head, mut incoming) = response.into_parts();
    let framings = [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| head.headers.contains_key(name));
    let is_upgrade = head.status == StatusCode::SWITCHING_PROTOCOLS;
    // With both framing headers the end of the body is ambiguous. A Content-Length above the limit is
    // rejected before any of the body is read.
    if framings == [true, true] || is_upgrade || incoming.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return None;
    }
    // Without framing headers the body ends with the connection: an orderly close completes it, a reset is an
    // error from `frame` below.
    let allows_reuse = framings != [false, false] || incoming.is_end_stream();
    let body_bytes = incoming.size_hint().exact().map_or(MAX_BODY_BYTES, |bytes| bytes as usize);
    let permit = match body_bytes > UNRESERVED_BODY_BYTES {
        true => Some(memory.acquire(body_bytes).await?),
        false => None,
    };
    // A body of unknown length usually is short.
    let is_length_known = incoming.size_hint().exact().is_some();
    let mut body = BytesMut::with_capacity(if is_length_known { body_bytes } else { 0 });
    while let Some(frame) = timeout(BODY_STALL_TIMEOUT, incoming.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if body.len() + data.len() > MAX_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&data);
    }
    // A short body of unknown length has taken more than it holds.
    let permit = permit.filter(|_| body.capacity() > UNRESERVED_BODY_BYTES);
    let (status, headers, body) = (head.status, head.headers, hold_permit(body.freeze(), permit));
    Some(ExchangeResult::Response { status, headers, body, allows_reuse })
}

/// Builds the HTTP request for one attempt. `deadline` is the attempt's, which the server is told; `acted_on`
/// is the value of [`ACTED_ON_HEADER`], which names the revision of the server list behind the decision.
pub fn build_request(
    outgoing: &OutgoingRequest,
    addr: SocketAddr,
    deadline: Instant,
    acted_on: Option<&HeaderValue>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    let headers = request.headers_mut();
    if let Some(acted_on) = acted_on {
        headers.insert(ACTED_ON_HEADER, acted_on.clone());
    }
    headers.insert("x-remaining-ms", HeaderValue::from(remaining_ms.max(1)));
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    request
}

/// Classifies a response. Only the header `x-turned-away: 1` proves that the server rejected the request
/// without running it: a 503 or 504 without the header may come from a request that ran.
pub fn classify_response(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let was_rejected_without_running = headers.get("x-turned-away").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if was_rejected_without_running => {
            Outcome::Full
        }
        _ => Outcome::Error,
    }
}

/// Parses the load report of a response, with the values in the order of `fields`. Returns an empty list if
/// the report is malformed or a field is missing or out of range.
pub fn parse_load_report(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-pressure") else { return Vec::new() };
    let report: HashMap<String, f64> = serde_json::from_slice(text.as_bytes()).unwrap_or_default();
    let in_range = |value: &f64| (0.0..1e6).contains(value);
    let values = fields.iter().map(|field| report.get(field).copied().filter(in_range));
    values.collect::<Option<_>>().unwrap_or_default()
}

#[cfg(test)]
mod tests;
