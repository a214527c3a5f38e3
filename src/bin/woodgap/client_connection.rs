//! The state of one client connection: which phase it is in, since when, and whether the client is still
//! connected.
//!
//! A client's close or reset is noticed even if the client sent further bytes before it. hyper checks for a
//! close only while its own buffer is empty. So once a request is complete, the connection keeps reading by
//! itself, holds what arrives for hyper in a bounded read-ahead buffer, and discards what exceeds that
//! buffer; a connection that exceeded it is closed after the current response. A client that shuts down only
//! its sending side can't be told from one that closed the connection, and counts as disconnected: by the
//! client protocol, a client that closes its connection has gone away.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use framing::Framing;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};
use tokio_util::sync::PollSemaphore;

use crate::memory::{
    MemoryPermit, MemoryShare, LONG_HEAD_BYTES, UNRESERVED_BODY_BYTES, UNRESERVED_HEAD_BYTES,
};

mod framing;
mod socket;

pub use socket::ClientSocket;

/// Longest time in which a request must arrive completely, from the connect for the first request and from
/// its first byte for a later one. Clients that send nothing or very slowly hold a socket that other clients
/// need.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest idle time between two requests.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// When client sockets are short, a connection that was idle between two requests for this long may be closed.
const EVICTABLE_IDLE: Duration = Duration::from_secs(2);
/// When memory is short, a connection whose client has not read anything of its response for this long may be closed.
const MAX_WRITE_STALL: Duration = Duration::from_millis(500);
/// Shorter waits are not counted: the time of a request is given in whole milliseconds.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Most bytes that are kept of what arrives behind an open request. Clients normally send one request at a time.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Longest time for which a connection is still read after its last response. Closing a socket with unread
/// data sends a reset, which can discard a response that is still on its way.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Size of the buffers for reads that bypass hyper.
const READ_BUFFER_BYTES: usize = 4096;
/// The refusal of a request whose head has not arrived completely, written past hyper, which has no request yet.
const REFUSAL_OF_HEAD: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// How long a request may take to arrive before its connection is evicted.
pub struct ArrivalLimits {
    /// Longest time before the first byte of a new connection.
    pub max_silence: Duration,
    /// Longest time without any byte of a request that has begun to arrive.
    pub max_stall: Duration,
    /// Longest time in total, from the connect or from the first byte of a later request.
    pub max_total: Duration,
}

/// The memory that a request takes from the budget while it arrives.
struct ArrivalMemory {
    share: MemoryShare,
    /// Waits for the bytes of a long head.
    head_queue: PollSemaphore,
    head_permit: Option<MemoryPermit>,
    read_ahead_permit: Option<MemoryPermit>,
    /// Since when the head has waited for bytes.
    head_waits_since: Option<Instant>,
}

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Before the first request: its head has not arrived completely.
    New,
    /// The head of a later request is arriving.
    ReadingHead,
    /// A request's head has arrived and the request is not answered yet.
    RequestOpen,
    /// Between two requests.
    Idle,
    /// The connection is being closed.
    Closing,
}

/// A client connection, shared by the socket that hyper uses, the request handler and the periodic check for
/// overdue connections.
pub struct ClientConnection {
    stream: TcpStream,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// When the connection was accepted, or the first byte of its latest request arrived.
    request_began_at: Cell<Instant>,
    /// When a byte last arrived, at first when the connection was accepted.
    last_byte_at: Cell<Instant>,
    /// Whether the connection closes at once instead of after the response to a request that may be open.
    closes_at_once: Cell<bool>,
    /// Number of requests whose head has arrived.
    requests: Cell<u32>,
    /// Signalled by `request_close`.
    pub close_requested: Notify,
    /// How long the request may have waited, complete, before it was read.
    unread_wait: Cell<Duration>,
    /// How long the request has waited behind earlier ones of the connection.
    queue_wait: Cell<Duration>,
    /// When the oldest of the bytes arrived that may belong to a request which has not begun.
    queued_since: Cell<Instant>,
    /// When the first request must have arrived completely.
    first_request_deadline: Instant,
    /// The open request has arrived completely: bytes that arrive now are not part of it.
    is_request_complete: Cell<bool>,
    request_completed: Notify,
    /// The open request is to be refused although it has not arrived completely.
    is_refusal_requested: Cell<bool>,
    refusal_requested: Notify,
    /// How the open request's body is framed, where hyper does not tell.
    framing: RefCell<Framing>,
    /// What arrived behind the open request.
    read_ahead: RefCell<BytesMut>,
    /// Whether more arrived behind the open request than is kept.
    has_read_ahead_overflowed: Cell<bool>,
    /// Memory for the head and for what arrives behind the request.
    arrival_memory: RefCell<ArrivalMemory>,
    /// Whether the body of the open request waits for memory, or holds some.
    body_memory: Cell<BodyMemory>,
    /// Since when the client has not read what the node wants to write.
    write_blocked_since: Cell<Option<Instant>>,
}

/// Where the body of the open request stands with the memory budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyMemory {
    /// It needs none, or is complete.
    Unreserved,
    /// It is not read until there are bytes for it.
    Waiting,
    /// It arrives, and the bytes for it are taken.
    Held,
}

impl ClientConnection {
    /// The state of a connection that was just accepted; its first request must arrive within
    /// `first_request_timeout`, and takes its memory from `arriving`.
    pub fn new(stream: TcpStream, first_request_timeout: Duration, arriving: &MemoryShare) -> Rc<Self> {
        let now = Instant::now();
        let arrival_memory = ArrivalMemory {
            share: arriving.clone(),
            head_queue: PollSemaphore::new(arriving.semaphore()),
            head_permit: None,
            read_ahead_permit: None,
            head_waits_since: None,
        };
        Rc::new(ClientConnection {
            stream,
            phase: Cell::new(Phase::New),
            phase_since: Cell::new(now),
            request_began_at: Cell::new(now),
            last_byte_at: Cell::new(now),
            closes_at_once: Cell::new(false),
            requests: Cell::new(0),
            close_requested: Notify::new(),
            unread_wait: Cell::new(Duration::ZERO),
            queue_wait: Cell::new(Duration::ZERO),
            queued_since: Cell::new(now),
            first_request_deadline: now + first_request_timeout,
            is_request_complete: Cell::new(false),
            request_completed: Notify::new(),
            is_refusal_requested: Cell::new(false),
            refusal_requested: Notify::new(),
            framing: RefCell::new(Framing::default()),
            read_ahead: RefCell::default(),
            has_read_ahead_overflowed: Cell::new(false),
            arrival_memory: RefCell::new(arrival_memory),
            body_memory: Cell::new(BodyMemory::Unreserved),
            write_blocked_since: Cell::new(None),
        })
    }

    /// Changes the phase; a connection that is closing stays in that phase.
    pub fn enter_phase(&self, phase: Phase) {
        self.is_request_complete.set(false);
        if phase == Phase::Idle {
            self.framing.borrow_mut().finish_request();
            self.unread_wait.set(Duration::ZERO);
            self.queue_wait.set(Duration::ZERO);
            self.body_memory.set(BodyMemory::Unreserved);
            self.arrival_memory.borrow_mut().head_permit = None;
        }
        if self.phase.get() != Phase::Closing {
            let now = Instant::now();
            self.phase.set(phase);
            self.phase_since.set(now);
            if phase == Phase::ReadingHead {
                self.request_began_at.set(now);
            }
        }
    }

    /// Notes since when the connection may have waited to be read. Called before the first read: a request that has
    /// not begun to arrive by then does not wait.
    pub fn record_wait(&self, waiting_since: Instant) {
        let wait = waiting_since.elapsed();
        if wait >= MIN_WAIT && self.has_unread_bytes() {
            self.unread_wait.set(wait);
        }
    }

    /// Notes that the request may have waited for memory for this long, although it had arrived.
    pub fn add_wait(&self, wait: Duration) {
        self.unread_wait.set(self.unread_wait.get() + wait);
    }

    /// How long the open request may have waited before it was read, and behind earlier requests of its connection.
    pub fn take_wait(&self) -> Duration {
        self.unread_wait.take() + self.queue_wait.take()
    }

    /// Notes that the open request has arrived completely.
    pub fn mark_request_complete(&self) {
        self.is_request_complete.set(true);
        self.request_completed.notify_one();
    }

    /// Notes that the head of a request has arrived and returns the deadline for its body.
    pub fn begin_request(&self) -> Instant {
        let body_deadline = match self.phase.get() {
            Phase::New => self.first_request_deadline,
            Phase::ReadingHead => self.request_began_at.get() + REQUEST_READ_TIMEOUT,
            // The head was read together with the request before it.
            _ => {
                self.request_began_at.set(Instant::now());
                Instant::now() + REQUEST_READ_TIMEOUT
            }
        };
        self.framing.borrow_mut().parse_head();
        self.is_refusal_requested.set(false);
        self.enter_phase(Phase::RequestOpen);
        let queue_wait = self.queued_since.get().elapsed();
        self.queue_wait.set(if queue_wait < MIN_WAIT { Duration::ZERO } else { queue_wait });
        self.requests.set(self.requests.get().saturating_add(1));
        body_deadline
    }

    /// Whether `Transfer-Encoding: chunked` is known to be the only framing in the open request's head.
    pub fn is_chunked_only(&self) -> bool {
        self.framing.borrow().is_chunked_only
    }

    /// Whether the open request is the connection's first.
    pub fn is_first_request(&self) -> bool {
        self.requests.get() == 1
    }

    /// Whether the head of no request has arrived, so that nothing was answered.
    pub fn is_unused(&self) -> bool {
        self.requests.get() == 0
    }

    /// Whether bytes behind the open request were discarded, so that no further request can be read.
    pub fn has_read_ahead_overflowed(&self) -> bool {
        self.has_read_ahead_overflowed.get()
    }

    /// Whether bytes have arrived that hyper has not read: a complete request may have arrived since the
    /// connection's task last ran.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !self.read_ahead.borrow().is_empty()
            || SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|count| count > 0)
    }

    /// Whether the client has closed or reset the connection, as far as no unread bytes stand before its close.
    pub fn has_client_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Whether closing the connection at once loses no request that has arrived unread.
    pub fn can_close_without_loss(&self) -> bool {
        self.phase.get() == Phase::Closing || !self.has_unread_bytes()
    }

    /// Whether the connection is between two requests and no byte of the next one has arrived.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle && !self.has_unread_bytes()
    }

    /// Whether a request takes too long to arrive or the connection has been idle for too long.
    pub fn is_overdue(&self) -> bool {
        match self.phase.get() {
            Phase::New => Instant::now() > self.first_request_deadline,
            Phase::ReadingHead => self.request_began_at.get().elapsed() > REQUEST_READ_TIMEOUT,
            Phase::Idle => self.phase_since.get().elapsed() > KEEPALIVE_TIMEOUT,
            Phase::RequestOpen | Phase::Closing => false,
        }
    }

    /// How readily the connection gives up its socket when client sockets are short: the highest score first, and
    /// none below 1. A connection whose request has not arrived completely reaches 1 with one of the limits; one whose
    /// request has arrived is never evicted.
    pub fn eviction_score(&self, limits: &ArrivalLimits) -> f64 {
        let fraction = |since: Instant, limit: Duration| since.elapsed().as_secs_f64() / limit.as_secs_f64();
        match self.phase.get() {
            // The response was given up to hyper, and the client does not read it.
            Phase::Idle if self.write_blocked_since.get().is_some() => {
                fraction(self.write_blocked_since.get().unwrap_or(self.phase_since.get()), MAX_WRITE_STALL)
            }
            Phase::Idle => fraction(self.phase_since.get(), EVICTABLE_IDLE),
            // The last request was answered; the connection only waits for the client's close.
            Phase::Closing if !self.closes_at_once.get() => f64::INFINITY,
            Phase::Closing => 0.0,
            Phase::RequestOpen if self.is_request_complete.get() || self.is_refusal_requested.get() => 0.0,
            // The node itself does not read.
            Phase::RequestOpen if self.body_memory.get() == BodyMemory::Waiting => {
                fraction(self.phase_since.get(), limits.max_total)
            }
            Phase::New | Phase::ReadingHead if self.head_wait().is_some() => {
                self.head_wait().unwrap_or_default().as_secs_f64() / limits.max_stall.as_secs_f64()
            }
            Phase::New | Phase::ReadingHead | Phase::RequestOpen => {
                let active_at = self.phase_since.get().max(self.last_byte_at.get());
                let is_silent = self.phase.get() == Phase::New && !self.framing.borrow().has_received_bytes();
                let max_stall = if is_silent { limits.max_silence } else { limits.max_stall };
                let stalled = fraction(active_at, max_stall);
                stalled.max(fraction(self.request_began_at.get(), limits.max_total))
            }
        }
    }

    /// Makes the connection give up its socket and its memory, for a connection with an eviction score of at least 1. A
    /// request of which anything has arrived is refused; any other connection is closed without a response.
    pub fn evict(&self) {
        match self.phase.get() {
            Phase::RequestOpen => {
                self.is_refusal_requested.set(true);
                self.refusal_requested.notify_one();
            }
            Phase::New | Phase::ReadingHead => {
                self.refuse_head();
                self.request_close(true);
            }
            Phase::Idle | Phase::Closing => self.request_close(true),
        }
    }

    /// Refuses a request of whose head a part has arrived, unless an earlier response is still being written. No server
    /// has seen the request.
    fn refuse_head(&self) {
        let has_head_begun =
            self.phase.get() == Phase::ReadingHead || self.framing.borrow().has_received_bytes();
        if (has_head_begun || self.has_unread_bytes()) && self.write_blocked_since.get().is_none() {
            let _ = self.stream.try_write(REFUSAL_OF_HEAD);
        }
    }

    /// How long the head has waited for memory; `None` if it doesn't.
    fn head_wait(&self) -> Option<Duration> {
        self.arrival_memory.borrow().head_waits_since.map(|since| since.elapsed())
    }

    /// Whether the connection waits for memory, for its head or for its body.
    pub fn is_waiting_for_memory(&self) -> bool {
        self.head_wait().is_some() || self.body_memory.get() == BodyMemory::Waiting
    }

    /// Whether the connection holds memory for a request that has not arrived completely, or for a response that its
    /// client does not read.
    pub fn holds_reclaimable_memory(&self) -> bool {
        let holds_body = self.body_memory.get() == BodyMemory::Held && !self.is_request_complete.get();
        let holds_head =
            self.arrival_memory.borrow().head_permit.is_some() && !self.is_request_complete.get();
        holds_body || holds_head || self.write_blocked_since.get().is_some()
    }

    /// Notes where the body of the open request stands with the memory budget.
    pub fn set_body_memory(&self, body_memory: BodyMemory) {
        self.body_memory.set(body_memory);
        // The wait was not the client's.
        self.last_byte_at.set(Instant::now());
    }

    /// How many bytes of a head may be read now. A head that is longer than usual takes memory from the budget and waits
    /// for it in order.
    fn poll_head_room(&self, cx: &mut Context<'_>) -> Poll<usize> {
        let is_head = matches!(self.phase.get(), Phase::New | Phase::ReadingHead | Phase::Idle);
        let mut memory = self.arrival_memory.borrow_mut();
        if !is_head || memory.head_permit.is_some() {
            return Poll::Ready(usize::MAX);
        }
        let received = self.framing.borrow().received_bytes();
        if received < UNRESERVED_HEAD_BYTES {
            return Poll::Ready(UNRESERVED_HEAD_BYTES - received);
        }
        let units = memory.share.units(LONG_HEAD_BYTES);
        let Poll::Ready(permit) = memory.head_queue.poll_acquire_many(cx, units) else {
            memory.head_waits_since.get_or_insert_with(Instant::now);
            return Poll::Pending;
        };
        let waited = memory.head_waits_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.add_wait(waited);
        memory.head_permit = permit;
        drop(memory);
        self.last_byte_at.set(Instant::now());
        Poll::Ready(usize::MAX)
    }

    /// Keeps bytes that arrived behind the open request, or notes that they were discarded.
    fn keep_read_ahead(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        // Where it is not known that nothing came with the open request, the time of its own bytes stands.
        if read_ahead.is_empty() && self.framing.borrow().has_only_one_request() {
            self.queued_since.set(Instant::now());
        }
        let mut memory = self.arrival_memory.borrow_mut();
        let kept = read_ahead.len() + bytes.len();
        if kept > UNRESERVED_BODY_BYTES && memory.read_ahead_permit.is_none() {
            memory.read_ahead_permit = memory.share.try_acquire(2 * MAX_READ_AHEAD_BYTES);
        }
        let has_room = kept <= UNRESERVED_BODY_BYTES || memory.read_ahead_permit.is_some();
        if self.has_read_ahead_overflowed.get() || kept > MAX_READ_AHEAD_BYTES || !has_room {
            self.has_read_ahead_overflowed.set(true);
        } else {
            read_ahead.extend_from_slice(bytes);
        }
    }

    /// Returns once the open request is to be refused because its connection is evicted.
    pub async fn wait_for_refusal_request(&self) {
        while !self.is_refusal_requested.get() {
            self.refusal_requested.notified().await;
        }
    }

    /// Asks the connection's task to close the connection: `at_once`, which is for connections without an
    /// open request, or else after the response to a request that may be open.
    pub fn request_close(&self, at_once: bool) {
        if at_once {
            self.phase.set(Phase::Closing);
        }
        self.closes_at_once.set(self.closes_at_once.get() || at_once);
        self.close_requested.notify_one();
    }

    /// Whether the connection was asked to close at once.
    pub fn closes_at_once(&self) -> bool {
        self.closes_at_once.get()
    }

    /// Returns once the client of a complete, unanswered request has disconnected. Until then the connection
    /// is read into the read-ahead buffer, because unread bytes would hide the close behind them.
    pub async fn wait_for_disconnect(&self) {
        loop {
            while !self.is_request_complete.get() {
                self.request_completed.notified().await;
            }
            if self.stream.readable().await.is_err() {
                return;
            }
            // The request may have been answered meanwhile; bytes that arrive after that are for hyper to
            // read.
            if !self.is_request_complete.get() {
                continue;
            }
            let mut buffer = [0; READ_BUFFER_BYTES];
            match self.stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => self.keep_read_ahead(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Notes whether the client reads what the node writes.
    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let blocked_since = self.write_blocked_since.get();
        self.write_blocked_since.set(match written {
            Poll::Pending => Some(blocked_since.unwrap_or_else(Instant::now)),
            Poll::Ready(_) => None,
        });
        written
    }

    /// Lingering close: shuts down the sending side and discards what arrives until the client closes too,
    /// within `LINGER_TIMEOUT` and `MAX_LINGER_BYTES`. If the connection is asked to close at once, only what
    /// has already arrived is discarded.
    pub async fn linger(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let discard = async {
            let mut remaining = MAX_LINGER_BYTES;
            while remaining > 0 {
                match self.stream.try_read(&mut [0; READ_BUFFER_BYTES]) {
                    Ok(0) => return,
                    Ok(count) => remaining = remaining.saturating_sub(count),
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
                    Err(_) if self.closes_at_once() => return,
                    Err(_) => tokio::select! {
                        ready = self.stream.readable() => if ready.is_err() { return },
                        () = self.close_requested.notified() => {}
                    },
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, discard).await;
    }
}

#[cfg(test)]
mod tests;
