//! What a node has done since its start, in numbers, for the log: `RUST_LOG=woodgap::counts=debug` has it write
//! them once a second. `fircroft fleet` adds up the lines of all nodes.

use std::cell::Cell;
use std::fmt;

use woodgap::Outcome;

/// What is counted.
#[derive(Clone, Copy, Debug)]
pub enum Count {
    /// Requests that were taken.
    Requests,
    /// Their ends: answered by a server; refused or failed, with no attempt sent or after one; not answered in
    /// time; left by their client.
    Served,
    RefusedUntried,
    RefusedTried,
    FailedUntried,
    FailedTried,
    Late,
    Disconnected,
    /// Attempts by their outcome.
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    /// Attempts and probes that found a connection, that opened one, and why none came of it.
    Reused,
    Dialled,
    DialRefused,
    DialSilent,
    NoSocket,
    /// Idle connections that were closed: old ones, at the module's word, for want of sockets, by their server.
    IdleExpired,
    IdleFreed,
    IdleEvicted,
    IdleBroken,
    /// Probes that were sent.
    Probes,
    /// Client connections that the node closed with nothing answered on them, and requests that took too long
    /// to come.
    ClosedUnanswered,
    TooSlow,
}

const COUNTS: [(Count, &str); 28] = [
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
    (Count::DialSilent, "dial_silent"),
    (Count::NoSocket, "no_socket"),
    (Count::IdleExpired, "idle_expired"),
    (Count::IdleFreed, "idle_freed"),
    (Count::IdleEvicted, "idle_evicted"),
    (Count::IdleBroken, "idle_broken"),
    (Count::Probes, "probes"),
    (Count::ClosedUnanswered, "closed_unanswered"),
    (Count::TooSlow, "too_slow"),
];

/// The counts so far.
#[derive(Default)]
pub struct Counts([Cell<u64>; COUNTS.len()]);

impl Counts {
    /// Counts one.
    pub fn one(&self, what: Count) {
        self.add(what, 1);
    }

    /// Counts some.
    pub fn add(&self, what: Count, more: usize) {
        let cell = &self.0[what as usize];
        cell.set(cell.get() + more as u64);
    }

    /// Counts the end of an attempt.
    pub fn outcome(&self, outcome: Outcome) {
        self.one(match outcome {
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

/// `name=number` pairs, set apart by spaces; those that are 0 are left out.
impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut gap = "";
        for (what, name) in COUNTS {
            let count = self.0[what as usize].get();
            if count > 0 {
                write!(f, "{gap}{name}={count}")?;
                gap = " ";
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
