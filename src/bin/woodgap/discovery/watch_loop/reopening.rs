//! Opens a new watch: paces the tries, and decides how long each of them keeps its place.
//!
//! A try that has no answer yet may be lost, or late. So new tries start beside the open ones, the oldest open try keeps its
//! place for its patience, and the first answer of any try counts. Patience doubles with each try that used it up, so that
//! an endpoint that is slow in answering is heard, and a lost try does not stand in the way of the next ones for long.
//!
//! A service shared by all nodes serves calls one after the other: many open calls of one node would take the places of
//! other nodes' calls in the queue, and all but one of the answers would be thrown away. There a node calls again only
//! after its last call has had the time of a usual answer, and pauses longer after each call without one.

use std::fmt::Display;
use std::future::{pending, Future};
use std::time::Duration;

use tokio::task::{AbortHandle, Id, JoinSet};
use tokio::time::{sleep_until, Instant};
use woodgap::list::ServerList;

use super::{EndpointKind, WatchStream, SILENCE_TIMEOUT};
use crate::discovery::WatchError;

/// How long the oldest try keeps its place at first. A change counts as told 6 s after discovery could be reached.
const FIRST_PATIENCE: Duration = Duration::from_secs(6);
const MAX_PATIENCE: Duration = Duration::from_secs(24);
/// The most tries that are open at a time: the oldest one and the latest ones.
const MAX_AGENT_TRIES: usize = 4;
const MAX_SERVICE_TRIES: usize = 3;
/// Bounds of the interval between the starts of two tries at an agent.
const MIN_AGENT_TRY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_AGENT_TRY_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a call to a shared service that failed or has no answer yet doubles from the first to the longest.
/// Each pause is multiplied by a random factor from 0.5 to 1.5, so that nodes whose calls failed together don't call
/// together again.
const FIRST_SERVICE_PAUSE: Duration = Duration::from_millis(250);
const MAX_SERVICE_PAUSE: Duration = Duration::from_secs(1);
/// The most lists of a silent watch that are kept to be applied behind an older list of the new one.
const MAX_LATE_LISTS: usize = 64;

/// Decides when the next try may start, and how long the oldest one keeps its place.
pub struct TryPacer {
    kind: EndpointKind,
    /// The time between two tries at an agent, or the next pause before a call to a shared service.
    interval: Duration,
    patience: Duration,
    next_try_at: Instant,
}

impl TryPacer {
    /// The first try may start at once. `drain_time` is the time within which sends to a draining server have to stop.
    pub fn new(kind: EndpointKind, drain_time: Duration) -> Self {
        // Half of the drain time leaves the other half for the answer and for reading it.
        let interval = match kind {
            EndpointKind::Agent => (drain_time / 2).clamp(MIN_AGENT_TRY_INTERVAL, MAX_AGENT_TRY_INTERVAL),
            EndpointKind::SharedService => FIRST_SERVICE_PAUSE,
        };
        TryPacer { kind, interval, patience: FIRST_PATIENCE, next_try_at: Instant::now() }
    }

    fn max_tries(&self) -> usize {
        match self.kind {
            EndpointKind::Agent => MAX_AGENT_TRIES,
            EndpointKind::SharedService => MAX_SERVICE_TRIES,
        }
    }

    fn record_start(&mut self) {
        let gap = match self.kind {
            EndpointKind::Agent => self.interval,
            // After the silence of the old watch and one lost call the next call still starts within 6 s.
            EndpointKind::SharedService => SILENCE_TIMEOUT + self.jittered_pause(),
        };
        self.next_try_at = Instant::now() + gap;
    }

    /// Records that a try failed, or that the next one starts beside it because it has no answer yet.
    fn record_failure(&mut self) {
        if self.kind == EndpointKind::SharedService {
            self.next_try_at = self.next_try_at.min(Instant::now() + self.jittered_pause());
            self.interval = (self.interval * 2).min(MAX_SERVICE_PAUSE);
        }
    }

    fn record_success(&mut self) {
        self.patience = FIRST_PATIENCE;
        if self.kind == EndpointKind::SharedService {
            self.interval = FIRST_SERVICE_PAUSE;
            self.next_try_at = Instant::now() + self.jittered_pause();
        }
    }

    fn record_lost_patience(&mut self) {
        self.patience = (self.patience * 2).min(MAX_PATIENCE);
    }

    fn jittered_pause(&self) -> Duration {
        self.interval.mul_f64(0.5 + fastrand::f64())
    }
}

/// A watch that fell silent and is still read while a new one is opened.
pub struct SilentWatch<F> {
    /// `None` once it has ended.
    watch: Option<F>,
    /// What it has brought since, in order.
    late_lists: Vec<ServerList>,
}

impl<F: WatchStream> SilentWatch<F> {
    /// Goes on reading a watch.
    pub fn new(watch: F) -> Self {
        SilentWatch { watch: Some(watch), late_lists: Vec::new() }
    }

    /// Adds the late lists to the first list of the new watch, which may have been made before them.
    pub fn merge_into(self, first: ServerList) -> ServerList {
        let first_revision = first.revision;
        let is_newer = |list: &ServerList| first_revision.is_some() && list.revision > first_revision;
        self.late_lists.into_iter().filter(is_newer).fold(first, |mut merged, late| {
            if late.is_complete {
                return late;
            }
            merged.entries.extend(late.entries);
            merged
        })
    }

    /// The next list that the watch still brings. A change has no revision: what came before it may be missing. Does not
    /// return once the watch has ended.
    async fn next_list(&mut self) -> ServerList {
        while let Some(watch) = &mut self.watch {
            match watch.next().await {
                Ok(Some(list)) if self.late_lists.len() < MAX_LATE_LISTS => {
                    self.late_lists.push(list.clone());
                    let revision = list.revision.filter(|_| list.is_complete);
                    return ServerList { revision, ..list };
                }
                // A keep-alive says nothing of what was missed.
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => self.watch = None,
            }
        }
        pending().await
    }
}

/// The next list of the silent watch, if there is one.
async fn next_late_list<F: WatchStream>(silent: &mut Option<SilentWatch<F>>) -> ServerList {
    match silent {
        Some(silent) => silent.next_list().await,
        None => pending().await,
    }
}

/// A try that has no answer yet.
struct OpenTry {
    handle: AbortHandle,
    started_at: Instant,
}

/// The tries that have no answer yet, the oldest first.
#[derive(Default)]
struct OpenTries(Vec<OpenTry>);

impl OpenTries {
    /// Adds a try. If all places are taken, it takes that of the oldest one but the first.
    fn add(&mut self, handle: AbortHandle, max_tries: usize) {
        if self.0.len() == max_tries {
            self.0.remove(1).handle.abort();
        }
        self.0.push(OpenTry { handle, started_at: Instant::now() });
    }

    fn remove(&mut self, id: Id) {
        self.0.retain(|open_try| open_try.handle.id() != id);
    }

    fn give_up_oldest(&mut self) {
        self.0.remove(0).handle.abort();
    }

    /// Waits until the oldest try has used up its patience.
    async fn wait_for_lost_patience(&self, patience: Duration) {
        match self.0.first() {
            Some(oldest) => sleep_until(oldest.started_at + patience).await,
            None => pending().await,
        }
    }
}

/// Opens watches until one of them receives something. Returns that watch and what it received. Meanwhile what the silent
/// watch still brings is passed to `on_list`.
pub async fn open_first_to_answer<F, O>(
    endpoint: &dyn Display,
    open: &mut impl FnMut(u64) -> O,
    revision: u64,
    pacer: &mut TryPacer,
    silent: &mut Option<SilentWatch<F>>,
    on_list: &mut impl FnMut(ServerList),
) -> (F, Option<ServerList>)
where
    F: WatchStream + 'static,
    O: Future<Output = Result<F, WatchError>> + 'static,
{
    let mut tries = JoinSet::new();
    let mut open_tries = OpenTries::default();
    let mut is_failure_logged = false;
    loop {
        let reason = tokio::select! {
            () = sleep_until(pacer.next_try_at) => {
                let opening = open(revision);
                let first_item = async {
                    let mut watch = opening.await.map_err(|reason| reason.to_string())?;
                    let first = watch.next().await.map_err(|reason| reason.to_string())?;
                    Ok::<_, String>((watch, first))
                };
                if !open_tries.0.is_empty() {
                    pacer.record_failure();
                }
                open_tries.add(tries.spawn_local(first_item), pacer.max_tries());
                pacer.record_start();
                continue;
            }
            () = open_tries.wait_for_lost_patience(pacer.patience) => {
                open_tries.give_up_oldest();
                pacer.record_lost_patience();
                "silent".to_owned()
            }
            list = next_late_list(silent) => {
                on_list(list);
                continue;
            }
            Some(ended) = tries.join_next_with_id() => match ended {
                Ok((_, Ok(watch_and_first))) => {
                    tracing::debug!(
                        target: "woodgap::discovery::keep",
                        discovery = %endpoint,
                        revision,
                        "watch open"
                    );
                    pacer.record_success();
                    return watch_and_first;
                }
                Ok((id, Err(reason))) => {
                    open_tries.remove(id);
                    pacer.record_failure();
                    reason
                }
                // It was given up above.
                Err(_) => continue,
            },
        };
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

#[cfg(test)]
mod tests;
