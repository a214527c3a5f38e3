//! Counts of a node's requests, attempts and connections since its start. With `RUST_LOG=woodgap::counts=debug` the
//! node logs them once a second, and `fircroft fleet` adds up the lines of all nodes.

use std::cell::Cell;
use std::fmt;

use woodgap::Outcome;

/// An event that is counted.
#[derive(Clone, Copy, Debug)]
pub enum Count {
    /// Requests that the driver accepted. Each of them ends in one of the next seven counts.
    Requests,
    /// Answered with a server's response.
    Served,
    /// Refused before any attempt was started, or at the deadline with nothing written to a server.
    RefusedUntried,
    /// Refused after an attempt.
    RefusedTried,
    /// Failed before any attempt was started.
    FailedUntried,
    /// Failed after an attempt.
    FailedTried,
    /// Not answered by the deadline, after something was written to a server.
    Late,
    /// The client disconnected before the response.
    Disconnected,
    /// Attempts, by their [`Outcome`]. Probes are not among them.
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    /// Attempts and probes that used an idle connection.
    Reused,
    /// Connections to servers that attempts and probes began to open.
    Dialled,
    /// Connections that could not be opened because of an error.
    DialRefused,
    /// Calls to open a connection that failed on this machine, each time.
    DialFailedLocally,
    /// Connections that were not up in time: within the dial time-out and the attempt's deadline.
    DialSilent,
    /// Connections that were not opened because no socket was free.
    NoSocket,
    /// Idle connections that were closed because they had been idle for too long.
    IdleExpired,
    /// Idle connections that were closed at the balancer's request, or after a time-out or a cancelled attempt.
    IdleFreed,
    /// Idle connections that were closed to free a socket.
    IdleEvicted,
    /// Idle connections that were found unusable: their server had closed them or had sent bytes that no request
    /// asked for, or they had become too old by the time they were to be used.
    IdleBroken,
    /// Responses that were not used because bytes followed that begin no further response.
    ResponseTooLong,
    /// Responses that were held back because they repeat an earlier one of their connection.
    ResponseDoubted,
    /// Responses that were passed over as second copies of earlier ones.
    ResponseCopy,
    /// Probes that were started.
    Probes,
    /// Client connections that were accepted.
    Accepted,
    /// Accepted connections beyond the budget, whose first request is only refused.
    AcceptedOverBudget,
    /// Evictions of client connections to free a socket for a new one. One whose request is refused first counts again
    /// when it is closed without waiting for its client's close.
    Evicted,
    /// Milliseconds for which accepted connections waited for a socket, added up. Meanwhile no further connection is
    /// accepted.
    SocketWaitMs,
    /// Client connections that the node closed before it had answered any request on them.
    ClosedUnanswered,
    /// Requests that took too long to arrive, including the first request of a client that sent nothing.
    TooSlow,
}

/// Every count with its name in the log, in the order of [`Count`].
const COUNTS: [(Count, &str); 36] = [
    (Count::Requests, "requests"),
    (Count::Served, "served"),
    (Count::RefusedUntried, "refused_untried"),
    (Count::RefusedTried, "refused_tried"),
    (Count::FailedUntried, "failed_untried"),
    (Count::FailedTried, "failed_tried"),
    (Count::Late, "late"),
    (Count::Disconnected, "disconnected"),
    (Count::Ok, "ok"),
    (Count::Error, "error"),
    (Count::Full, "full"),
    (Count::Timeout, "timeout"),
    (Count::ConnectFailed, "connect_failed"),
    (Count::Reset, "reset"),
    (Count::Cancelled, "cancelled"),
    (Count::Moot, "moot"),
    (Count::Reused, "reused"),
    (Count::Dialled, "dialled"),
    (Count::DialRefused, "dial_refused"),
    (Count::DialFailedLocally, "dial_failed_locally"),
    (Count::DialSilent, "dial_silent"),
    (Count::NoSocket, "no_socket"),
    (Count::IdleExpired, "idle_expired"),
    (Count::IdleFreed, "idle_freed"),
    (Count::IdleEvicted, "idle_evicted"),
    (Count::IdleBroken, "idle_broken"),
    (Count::ResponseTooLong, "response_too_long"),
    (Count::ResponseDoubted, "response_doubted"),
    (Count::ResponseCopy, "response_copy"),
    (Count::Probes, "probes"),
    (Count::Accepted, "accepted"),
    (Count::AcceptedOverBudget, "accepted_over_budget"),
    (Count::Evicted, "evicted"),
    (Count::SocketWaitMs, "socket_wait_ms"),
    (Count::ClosedUnanswered, "closed_unanswered"),
    (Count::TooSlow, "too_slow"),
];

/// The counts since the start of the node.
pub struct Counts([Cell<u64>; COUNTS.len()]);

impl Default for Counts {
    fn default() -> Self {
        Counts([const { Cell::new(0) }; COUNTS.len()])
    }
}

impl Counts {
    /// Adds 1 to a count.
    pub fn increment(&self, count: Count) {
        self.add(count, 1);
    }

    /// Adds a number to a count.
    pub fn add(&self, count: Count, increment: usize) {
        let cell = &self.0[count as usize];
        cell.set(cell.get() + increment as u64);
    }

    /// Counts an attempt by its outcome.
    pub fn count_outcome(&self, outcome: Outcome) {
        self.increment(match outcome {
            Outcome::Ok => Count::Ok,
            Outcome::Error => Count::Error,
            Outcome::Full => Count::Full,
            Outcome::Timeout => Count::Timeout,
            Outcome::ConnectFailed => Count::ConnectFailed,
            Outcome::Reset => Count::Reset,
            Outcome::Cancelled => Count::Cancelled,
            Outcome::Moot => Count::Moot,
        });
    }
}

/// `name=number` pairs separated by spaces, without the counts that are 0.
impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (count, name) in COUNTS {
            let number = self.0[count as usize].get();
            if number > 0 {
                write!(f, "{separator}{name}={number}")?;
                separator = " ";
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
