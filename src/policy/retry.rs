//! Decides whether a further attempt or a refusal is safe. No other file decides this.

use super::*;

/// Retry tokens that a request adds, and the most that a node holds. A further attempt of a request costs one
/// token, unless the attempt before it made no connection.
pub(super) const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
pub(super) const RETRY_TOKENS_MAX: f64 = 20.0;
/// An attempt that another one could follow times out at this multiple of its class's mean answer time. An
/// earlier timeout repeats more work: a heavy request is heavy again on the next server, and a timeout need
/// not stop the first attempt.
const EARLY_TIMEOUT_MULTIPLE: f64 = 8.0;
/// Servers are taken to drop repeats for the class's `ttl` less the `ttl` divided by this, which leaves time
/// for the attempt to reach the server.
const DEDUP_MARGIN_DIVISOR: Micros = 10;

/// Whether an attempt has run on its server, as far as its outcome tells.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Execution {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// Derives from an attempt's outcome whether it ran. Further attempts and refusals depend on this alone.
pub(super) fn classify_outcome(outcome: Outcome, full_may_have_run: bool) -> Execution {
    match outcome {
        Outcome::ConnectFailed | Outcome::Moot => Execution::NeverRan,
        Outcome::Full if !full_may_have_run => Execution::NeverRan,
        _ => Execution::MayHaveRun,
    }
}

impl Balancer {
    /// Whether a server may get the next attempt of a request. Once a deduplicated request may have run, only
    /// the servers that drop its repeats may.
    pub(super) fn is_in_dedup_scope(&self, pending: &PendingRequest, next: &Member) -> bool {
        let first = pending.attempts.iter().find(|a| a.execution != Execution::NeverRan);
        match (self.settings.classes[pending.class].semantics, first) {
            (Semantics::Deduplicated { scope: DedupScope::Zone, .. }, Some(a)) => a.member.zone == next.zone,
            (Semantics::Deduplicated { scope: DedupScope::Cell, .. }, Some(a)) => a.member.cell == next.cell,
            _ => true,
        }
    }

    /// Whether another attempt is within the limits on time and number, and the semantics of the request
    /// allow it: an unsafe request must not run twice, and servers must drop the repeat of a deduplicated
    /// one.
    pub(super) fn may_send(&self, pending: &PendingRequest) -> bool {
        let is_in_flight = pending.attempts.iter().any(|a| a.execution == Execution::InFlight);
        if self.now >= pending.deadline
            || pending.attempts.len() >= self.settings.max_attempts as usize
            || (is_in_flight && !self.settings.allows_concurrent_attempts)
        {
            return false;
        }
        let may_have_run = pending.attempts.iter().any(|a| a.execution != Execution::NeverRan);
        match self.settings.classes[pending.class].semantics {
            Semantics::Safe => true,
            Semantics::Unsafe => !may_have_run,
            Semantics::Deduplicated { .. } => self.dedup_window_end(pending).is_none_or(|end| self.now < end),
        }
    }

    /// Latest time at which a repeat of a deduplicated request may be sent; `None` if no attempt of the
    /// request may have run, or if its class is not deduplicated.
    pub(super) fn dedup_window_end(&self, pending: &PendingRequest) -> Option<Micros> {
        let Semantics::Deduplicated { ttl, .. } = self.settings.classes[pending.class].semantics else {
            return None;
        };
        let first = pending.attempts.iter().find(|a| a.execution != Execution::NeverRan)?;
        Some(first.sent_at + ttl - ttl / DEDUP_MARGIN_DIVISOR)
    }

    /// Whether the client may repeat the request after a refusal without running it twice.
    pub(super) fn may_refuse(&self, pending: &PendingRequest) -> bool {
        match self.settings.classes[pending.class].semantics {
            Semantics::Safe | Semantics::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => pending.attempts.iter().all(|a| a.execution == Execution::NeverRan),
        }
    }

    /// Chooses the timeout of the next attempt: the time left, or less if another attempt could follow.
    pub(super) fn choose_attempt_timeout(&self, pending: &PendingRequest) -> Micros {
        let left = pending.deadline.saturating_sub(self.now).max(1);
        let is_last = pending.attempts.len() + 1 >= self.settings.max_attempts as usize;
        // An early timeout would send the requests of a slow server to the few other servers of its cell and
        // crowd them. An unsafe request may not be sent again at all after a timeout.
        let semantics = self.settings.classes[pending.class].semantics;
        let is_scope_narrow =
            matches!(semantics, Semantics::Unsafe | Semantics::Deduplicated { scope: DedupScope::Cell, .. });
        if is_last || is_scope_narrow {
            return left;
        }
        let early = (EARLY_TIMEOUT_MULTIPLE * self.class_stats[pending.class].mean_us) as Micros;
        // A further attempt that is not given as much time as this one only wastes work.
        if early * 2 > left {
            left
        } else {
            early.max(1)
        }
    }
}
