//! Keeps a watch open: detects that it is broken and opens a new one.
//!
//! A node has to act on changes of the list in time, whether or not the agent answers. A change that a silent watch
//! missed counts as known to the node 6 s after the watch fell silent. A change that discovery sends when it is back
//! counts as known at once, and the sends that it forbids have to stop within the drain time of the settings.
//! Therefore a watch counts as broken if a line is half a second overdue, and the tries to open a new watch start at
//! an interval of half the drain time, within bounds. A new try does not wait for the end of earlier ones: a try that
//! gets no answer costs one interval and not a time-out, and the first try that receives anything becomes the watch.
//!
//! This holds for an agent, which answers a single node. A service shared by all nodes serves calls one after the
//! other: several open calls of one node would take the places of other nodes' calls in the queue, and all but one
//! of the answers would be thrown away. There a node has one open call, and pauses longer after each failed one.

use std::fmt::Display;
use std::future::Future;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use tokio::time::error::Elapsed;
use tokio::time::{sleep_until, timeout, Instant};
use woodgap::list::ServerList;

use super::WatchError;

/// A watch that receives nothing for this long is broken. The protocol has discovery send at least an empty line
/// every 2 s; half a second is added for delays.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long what has arrived may take to be read after a hold-up of the process.
const UNREAD_GRACE: Duration = Duration::from_millis(20);
/// The longest time that a try at an agent may wait for its first line. The oldest try is kept that long, so that
/// a slow agent that answers the tries in order reaches one before it is dropped.
const AGENT_TRY_TIMEOUT: Duration = Duration::from_millis(3_500);
/// The most tries at an agent that are open at a time: the oldest one and the latest ones.
const MAX_AGENT_TRIES: usize = 4;
/// Bounds of the interval between the starts of two tries at an agent.
const MIN_AGENT_TRY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_AGENT_TRY_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a failed call to a shared service doubles from the first to the longest. Each pause is
/// multiplied by a random factor from 0.5 to 1.5, so that nodes whose calls failed together don't call together
/// again.
const FIRST_SERVICE_PAUSE: Duration = Duration::from_millis(250);
const MAX_SERVICE_PAUSE: Duration = Duration::from_secs(1);

/// The kind of endpoint that serves the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointKind {
    /// An agent on the node's own machine, which answers at once or not at all.
    Agent,
    /// A service shared by all nodes, which serves calls one after the other.
    SharedService,
}

/// An open watch.
pub trait WatchStream {
    /// The next list, or `None` for a keep-alive line.
    async fn next(&mut self) -> Result<Option<ServerList>, WatchError>;
}

/// Keeps a watch open from a revision on and passes each list to `on_list`. `endpoint` is the address for the log;
/// `drain_time` is the time within which sends to a draining server have to stop.
pub async fn keep_watch_open<F, O>(
    endpoint: &dyn Display,
    mut open: impl FnMut(u64) -> O,
    mut revision: u64,
    drain_time: Duration,
    kind: EndpointKind,
    mut on_list: impl FnMut(ServerList),
) where
    F: WatchStream + 'static,
    O: Future<Output = Result<F, WatchError>> + 'static,
{
    // Half of the drain time leaves the other half for the answer and for reading it.
    let interval = match kind {
        EndpointKind::Agent => (drain_time / 2).clamp(MIN_AGENT_TRY_INTERVAL, MAX_AGENT_TRY_INTERVAL),
        EndpointKind::SharedService => FIRST_SERVICE_PAUSE,
    };
    let mut pacer = TryPacer { kind, interval, next_try_at: Instant::now() };
    loop {
        let (mut watch, first) = open_first_to_answer(endpoint, &mut open, revision, &mut pacer).await;
        // A subscription is answered with a list event even if nothing has changed.
        let first = first.unwrap_or_default();
        revision = first.revision.unwrap_or(revision);
        on_list(first);
        let reason = loop {
            match next_before_silence(&mut watch).await {
                Ok(Ok(Some(list))) => {
                    revision = list.revision.unwrap_or(revision);
                    on_list(list);
                }
                Ok(Ok(None)) => {}
                Ok(Err(reason)) => break reason.to_string(),
                Err(_) => {
                    // Changes may have been lost on the silent watch: revision 0 asks for the complete list.
                    revision = 0;
                    break "silent".to_owned();
                }
            }
        };
        tracing::warn!(
            target: "woodgap::discovery::keep",
            discovery = %endpoint,
            revision,
            %reason,
            "watch ended"
        );
    }
}

/// The next item of a watch, or an error if it is silent. If the process was held up, an item may have arrived that is not
/// read yet when the time is over; it counts.
async fn next_before_silence<F: WatchStream>(
    watch: &mut F,
) -> Result<Result<Option<ServerList>, WatchError>, Elapsed> {
    match timeout(SILENCE_TIMEOUT, watch.next()).await {
        Ok(item) => Ok(item),
        Err(_) => timeout(UNREAD_GRACE, watch.next()).await,
    }
}

/// Decides when the next try may start.
struct TryPacer {
    kind: EndpointKind,
    /// The time between two tries at an agent, or the next pause after a failed call to a shared service.
    interval: Duration,
    next_try_at: Instant,
}

impl TryPacer {
    /// The most tries that may be open at a time, and the time-out of each.
    fn max_tries_and_timeout(&self) -> (usize, Duration) {
        match self.kind {
            EndpointKind::Agent => (MAX_AGENT_TRIES, AGENT_TRY_TIMEOUT),
            // A call may wait in the service's queue for this long. After the silence of the old watch and one such
            // call without an answer the next call still starts within 6 s.
            EndpointKind::SharedService => (1, SILENCE_TIMEOUT),
        }
    }

    fn record_failure(&mut self) {
        if self.kind == EndpointKind::SharedService {
            self.next_try_at = Instant::now() + self.interval.mul_f64(0.5 + fastrand::f64());
            self.interval = (self.interval * 2).min(MAX_SERVICE_PAUSE);
        }
    }

    fn record_success(&mut self) {
        if self.kind == EndpointKind::SharedService {
            self.interval = FIRST_SERVICE_PAUSE;
        }
    }
}

/// Opens watches until one of them receives something. Returns that watch and what it received.
async fn open_first_to_answer<F, O>(
    endpoint: &dyn Display,
    open: &mut impl FnMut(u64) -> O,
    revision: u64,
    pacer: &mut TryPacer,
) -> (F, Option<ServerList>)
where
    F: WatchStream + 'static,
    O: Future<Output = Result<F, WatchError>> + 'static,
{
    let mut tries = JoinSet::new();
    // The oldest first.
    let mut open_tries: Vec<AbortHandle> = Vec::new();
    let mut is_failure_logged = false;
    let (max_tries, try_timeout) = pacer.max_tries_and_timeout();
    loop {
        tokio::select! {
            () = sleep_until(pacer.next_try_at), if max_tries > 1 || open_tries.is_empty() => {
                if open_tries.len() == max_tries {
                    open_tries.remove(1).abort();
                }
                let opening = open(revision);
                let first_item = async {
                    let mut watch = opening.await.map_err(|reason| reason.to_string())?;
                    let first = watch.next().await.map_err(|reason| reason.to_string())?;
                    Ok::<_, String>((watch, first))
                };
                open_tries.push(tries.spawn_local(timeout(try_timeout, first_item)));
                pacer.next_try_at = Instant::now() + pacer.interval;
            }
            Some(ended) = tries.join_next_with_id() => {
                let (id, reason) = match ended {
                    Ok((_, Ok(Ok(watch_and_first)))) => {
                        tracing::debug!(
                            target: "woodgap::discovery::keep",
                            discovery = %endpoint,
                            revision,
                            "watch open"
                        );
                        pacer.record_success();
                        return watch_and_first;
                    }
                    Ok((id, Ok(Err(reason)))) => (id, reason),
                    Ok((id, Err(_))) => (id, "silent".to_owned()),
                    Err(aborted) => (aborted.id(), "replaced by a later try".to_owned()),
                };
                open_tries.retain(|handle| handle.id() != id);
                pacer.record_failure();
                // One line for each outage, not one for each try.
                if !std::mem::replace(&mut is_failure_logged, true) {
                    tracing::warn!(
                        target: "woodgap::discovery::keep",
                        discovery = %endpoint,
                        revision,
                        reason,
                        "no watch could be opened yet"
                    );
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
