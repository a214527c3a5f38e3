//! Accepts client connections and takes a socket for each, evicting others if there is none.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::Clients;
use crate::counts::Count;
use crate::guards::SocketPermit;

/// How long to wait for the socket of an evicted connection to close before trying again.
const EVICTION_WAIT: Duration = Duration::from_millis(5);
/// Pause after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A new connection's right to a socket. Dropping it returns its permits, so it is kept until the socket is closed.
pub struct Admission {
    /// Whether the connection is beyond the budget: its first request is refused, and then it is closed.
    pub is_refused: bool,
    _permits: Vec<SocketPermit>,
}

impl Clients {
    /// Accepts connections until the process ends, after SIGTERM too: a request written to a connection that
    /// is still in the listener's backlog counts as accepted.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().close_overdue_connections());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let accepted_at = Instant::now();
                    let admission = self.admit().await;
                    self.record_accept(accepted_at.elapsed(), admission.is_refused);
                    spawn_local(self.clone().serve_connection(stream, admission));
                }
                Err(error) => {
                    // Without a free file descriptor, accept fails at once and the connection stays in the
                    // backlog. Without a pause this loop would take the CPU time that closing other sockets
                    // needs.
                    tracing::warn!(%error, "accept failed");
                    self.servers.evict_idle();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Counts a new connection, which has waited this long for its permits.
    fn record_accept(&self, socket_wait: Duration, is_refused: bool) {
        let counts = &self.servers.counts;
        counts.increment(Count::Accepted);
        counts.add(Count::AcceptedOverBudget, usize::from(is_refused));
        counts.add(Count::SocketWaitMs, socket_wait.as_millis() as usize);
        if socket_wait >= EVICTION_WAIT {
            let socket_wait_ms = socket_wait.as_millis() as u64;
            tracing::debug!(socket_wait_ms, is_refused, "a new connection waited for a socket");
        }
    }

    /// Takes the permits for a new connection. If the client sockets or the process's sockets are used up, a
    /// connection without an open request is closed and its permits are taken over. If there is none to close, a
    /// permit for refusals is taken, and the wait for one is short: a refusal takes `LAST_REQUEST_TIMEOUT` at most.
    async fn admit(&self) -> Admission {
        loop {
            if let Some(client_permit) = self.client_sockets.try_acquire() {
                if let Some(process_permit) = self.servers.acquire_socket().await {
                    return Admission { is_refused: false, _permits: vec![client_permit, process_permit] };
                }
            }
            if !self.evict_connection() {
                if let Some(permit) = self.refusal_sockets.try_acquire() {
                    return Admission { is_refused: true, _permits: vec![permit] };
                }
            }
            let _ = timeout(EVICTION_WAIT, self.connection_closed.notified()).await;
        }
    }

    /// Closes the connection with the highest eviction score, if one may be closed; never a connection whose
    /// request has arrived in the receive buffer and waits for its task to run.
    fn evict_connection(&self) -> bool {
        let connections = self.connections.borrow();
        let mut candidates: Vec<_> =
            connections.values().map(|connection| (connection.eviction_score(), connection)).collect();
        candidates.retain(|(score, _)| *score >= 1.0);
        candidates.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        let evicted = candidates.into_iter().find(|(_, connection)| connection.can_close_without_loss());
        let is_evicted = evicted.inspect(|(_, connection)| connection.request_close(true)).is_some();
        self.servers.counts.add(Count::Evicted, usize::from(is_evicted));
        is_evicted
    }
}
