//! Accepts client connections and takes a socket for each, evicting others if there is none.
//!
//! Connections are accepted one after the other. While one of them waits for a socket, all later ones wait unread in
//! the listener's backlog, whatever time their clients give them. So the wait is bounded, whatever other clients do: a
//! socket that is held without a complete request is given up within `URGENT_ARRIVAL_LIMITS`. What is left of
//! the wait is taken off the time of the request that waited.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, unconstrained};
use tokio::time::{sleep, timeout, Instant};

use super::Clients;
use crate::client_connection::{ArrivalLimits, ClientConnection};
use crate::counts::Count;
use crate::guards::SocketPermit;
use crate::memory::{MemoryPermit, CLIENT_CONNECTION_BYTES};
use crate::system_errors::is_shortage;

/// How long to wait for the socket of an evicted connection to close before trying again.
const EVICTION_WAIT: Duration = Duration::from_millis(5);
/// When the sockets for clients are used up, connections may be evicted whose request arrives more slowly.
const ARRIVAL_LIMITS: ArrivalLimits = ArrivalLimits {
    max_silence: Duration::from_millis(500),
    max_stall: Duration::from_millis(100),
    max_total: Duration::from_millis(500),
};
/// The same when the sockets for refusals are used up too, so that no connection can be accepted. A client sends its
/// request right after it connects, so that one that sent nothing for the shorter time has probably stopped. A response
/// may be half a second late, so that the longer time leaves half of that.
pub const URGENT_ARRIVAL_LIMITS: ArrivalLimits = ArrivalLimits {
    max_silence: Duration::from_millis(50),
    max_stall: Duration::from_millis(50),
    max_total: Duration::from_millis(250),
};
/// Pause after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Connections that the system keeps until the node accepts them. Of a connection that finds no room the system drops what
/// the client sends first, which then comes late by a time that the node does not see.
pub const LISTEN_BACKLOG: u32 = 1_024;

/// The listener's backlog: connections that the system has set up for the node and the node has not accepted.
struct Backlog {
    listener: TcpListener,
    /// When the connection that has waited for longest may have come; `None` if the backlog was empty at the last look.
    waiting_since: Option<Instant>,
    /// When the last connections were accepted, the oldest first: as many as the backlog can hold.
    accepted_at: VecDeque<Instant>,
}

impl Backlog {
    /// The system lets one connection more wait than asked for.
    const MAX_WAITING: usize = LISTEN_BACKLOG as usize + 1;

    fn new(listener: TcpListener) -> Self {
        Backlog { listener, waiting_since: None, accepted_at: VecDeque::with_capacity(Self::MAX_WAITING + 1) }
    }

    /// Accepts the next connection. Returns with it since when it may have waited: it came after the last look at which
    /// the backlog was empty, and after the connection was accepted that stood a whole backlog before it.
    async fn accept(&mut self) -> (io::Result<TcpStream>, Instant) {
        let accepted = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            if accepted.is_pending() {
                self.waiting_since = None;
            }
            accepted
        });
        // Only an empty backlog may be pending here, and not a task that has used up its share of the runtime.
        let accepted = unconstrained(accepted).await;
        let now = Instant::now();
        let since_empty = *self.waiting_since.get_or_insert(now);
        // A failed call has taken no connection off the backlog.
        if accepted.is_ok() {
            self.accepted_at.push_back(now);
        }
        let is_long = self.accepted_at.len() > Self::MAX_WAITING;
        let backlog_before = if is_long { self.accepted_at.pop_front() } else { None };
        let waiting_since = backlog_before.map_or(since_empty, |before| since_empty.max(before));
        (accepted.map(|(stream, _)| stream), waiting_since)
    }
}

/// A new connection's right to a socket. Dropping it returns its permits, so it is kept until the socket is closed.
pub struct Admission {
    /// Whether the connection is beyond the budget: its first request is served only if it needs little, else refused, and
    /// then the connection is closed.
    pub is_over_budget: bool,
    /// Since when the connection may have waited to be read.
    pub waiting_since: Instant,
    _permits: Vec<SocketPermit>,
    _memory: Option<MemoryPermit>,
}

impl Clients {
    /// Accepts connections until the process ends, after SIGTERM too: a request written to a connection that
    /// is still in the listener's backlog counts as accepted.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().close_overdue_connections());
        let mut backlog = Backlog::new(listener);
        let mut has_failed = false;
        loop {
            let (accepted, waiting_since) = backlog.accept().await;
            let has_failed_before = std::mem::replace(&mut has_failed, accepted.is_err());
            match accepted {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    let accepted_at = Instant::now();
                    let admission = self.admit(waiting_since).await;
                    self.record_accept(accepted_at.elapsed(), admission.is_over_budget);
                    spawn_local(self.clone().serve_connection(stream, admission));
                }
                Err(error) => {
                    // Without a free file descriptor, accept fails at once and the connection stays in the
                    // backlog. Without a pause this loop would take the CPU time that closing other sockets
                    // needs.
                    tracing::warn!(%error, "accept failed");
                    let is_shortage = is_shortage(&error);
                    if is_shortage && !self.servers.evict_idle() {
                        self.evict_connection(&URGENT_ARRIVAL_LIMITS);
                    }
                    // Another error concerns the connection that was to be accepted, unless it comes again.
                    if is_shortage || has_failed_before {
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
    }

    /// Counts a new connection, which has waited this long for its permits.
    fn record_accept(&self, socket_wait: Duration, is_over_budget: bool) {
        let counts = &self.servers.counts;
        counts.increment(Count::Accepted);
        counts.add(Count::AcceptedOverBudget, usize::from(is_over_budget));
        counts.add(Count::SocketWaitMs, socket_wait.as_millis() as usize);
        if socket_wait >= EVICTION_WAIT {
            let socket_wait_ms = socket_wait.as_millis() as u64;
            tracing::debug!(socket_wait_ms, is_over_budget, "a new connection waited for a socket");
        }
    }

    /// Takes the sockets and the memory for a new connection, `None` if there is too little of either.
    async fn try_admit(&self, waiting_since: Instant) -> Option<Admission> {
        let client_permit = self.client_sockets.try_acquire()?;
        let memory = self.acquire_connection_memory().await?;
        let process_permit = self.servers.acquire_socket().await?;
        let _permits = vec![client_permit, process_permit];
        Some(Admission { is_over_budget: false, waiting_since, _permits, _memory: Some(memory) })
    }

    /// Takes the memory for a new connection, closing idle connections to servers if there is none left.
    async fn acquire_connection_memory(&self) -> Option<MemoryPermit> {
        loop {
            let permit = self.memory.connections.try_acquire(CLIENT_CONNECTION_BYTES);
            if permit.is_some() || !self.servers.evict_idle() {
                return permit;
            }
            // The closed connection's buffers are dropped when its task runs next.
            tokio::task::yield_now().await;
        }
    }

    /// Takes the permits for a new connection. If the client sockets, the process's sockets or the memory for connections
    /// are used up, another connection without a complete request is evicted and its permits are taken over. If none may
    /// be evicted yet, a permit for refusals is taken. If these are used up too, connections are evicted sooner.
    async fn admit(&self, waiting_since: Instant) -> Admission {
        loop {
            if let Some(admission) = self.try_admit(waiting_since).await {
                return admission;
            }
            if !self.evict_connection(&ARRIVAL_LIMITS) {
                if let Some(permit) = self.refusal_sockets.try_acquire() {
                    let _permits = vec![permit];
                    return Admission { is_over_budget: true, waiting_since, _permits, _memory: None };
                }
                self.evict_connection(&URGENT_ARRIVAL_LIMITS);
            }
            let _ = timeout(EVICTION_WAIT, self.connection_ended.notified()).await;
        }
    }

    /// Evicts the connection with the highest eviction score, if one may be evicted; never a connection whose request
    /// has arrived in the receive buffer and waits for its task to run.
    fn evict_connection(&self, limits: &ArrivalLimits) -> bool {
        let connections = self.connections.borrow();
        let scores = connections.values().map(|connection| (connection.eviction_score(limits), connection));
        let mut candidates: Vec<_> = scores.filter(|(score, _)| *score >= 1.0).collect();
        candidates.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        // A head that waits for memory is refused, so that nothing unread is lost.
        let can_evict = |connection: &ClientConnection| {
            connection.is_waiting_for_memory() || connection.can_close_without_loss()
        };
        let evicted = candidates.into_iter().find(|(_, connection)| can_evict(connection));
        let is_evicted = evicted.inspect(|(_, connection)| connection.evict()).is_some();
        self.servers.counts.add(Count::Evicted, usize::from(is_evicted));
        is_evicted
    }
}
