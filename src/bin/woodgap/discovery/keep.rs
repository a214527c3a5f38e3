//! When a watch counts as broken, and when it is opened anew.
//!
//! The list's clock runs whether or not the agent answers. What a silent watch missed counts as told 6 s
//! after it fell silent; what discovery tells at its return counts at once, and the sends that it ends have to
//! cease within the settings' time for drains. So silence is noticed half a second after the line that is due,
//! and tries follow one another at a pace within that time, each beside those that are still out: one that was
//! swallowed costs the pace and not a time-out, and the first that brings anything is the watch.
//!
//! That is for an agent, which answers one node. A service that all nodes ask serves calls in turn: several of one
//! node at a time would take the turns of the others and then be thrown away. There a node has one call out, and
//! pauses longer after each that failed.

use std::fmt::Display;
use std::future::Future;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};
use woodgap::list::ServerList;

use super::Fault;

/// A watch sends at least an empty line every 2 s (PROTOCOL): one silent for half a second more is broken.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// The longest that a try at an agent may wait for its first word, where the oldest is kept for its turn.
const PATIENCE: Duration = Duration::from_millis(3_500);
/// Most tries at an agent that are out at a time: the oldest, and the latest ones.
const TRIES: usize = 4;
/// Bounds of the pace of tries at an agent.
const FASTEST: Duration = Duration::from_millis(50);
const SLOWEST: Duration = Duration::from_millis(500);
/// Pauses after a call to a service that failed, doubled from the first to the longest, each drawn from half of it
/// to one and a half: those that failed together don't come together again.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Who answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answerer {
    /// An agent on the node's own machine, at once or not at all.
    Agent,
    /// A service that all nodes ask and that serves calls in turn.
    Service,
}

/// An open watch: lists, and `None` for a sign of life without one.
pub trait Feed {
    async fn next(&mut self) -> Result<Option<ServerList>, Fault>;
}

/// Keeps a watch open from a revision on and hands on what comes. `at` names the agent in the log.
pub async fn keep<F, O>(
    at: &dyn Display,
    mut open: impl FnMut(u64) -> O,
    mut revision: u64,
    grace: Duration,
    answerer: Answerer,
    mut tell: impl FnMut(ServerList),
) where
    F: Feed + 'static,
    O: Future<Output = Result<F, Fault>> + 'static,
{
    // Half of the time for drains: the rest is for the answer and its reading.
    let each = match answerer {
        Answerer::Agent => (grace / 2).clamp(FASTEST, SLOWEST),
        Answerer::Service => FIRST_PAUSE,
    };
    let mut pace = Pace { answerer, each, due: Instant::now() };
    loop {
        let (mut feed, first) = first_to_speak(at, &mut open, revision, &mut pace).await;
        // Even where nothing changed, whoever asked is owed an answer.
        let first = first.unwrap_or_default();
        revision = first.revision.unwrap_or(revision);
        tell(first);
        let reason = loop {
            match timeout(SILENCE, feed.next()).await {
                Ok(Ok(Some(list))) => {
                    revision = list.revision.unwrap_or(revision);
                    tell(list);
                }
                Ok(Ok(None)) => {}
                Ok(Err(reason)) => break reason.to_string(),
                Err(_) => {
                    // What it swallowed is not known: the whole list, not what changed since.
                    revision = 0;
                    break "silent".to_owned();
                }
            }
        };
        tracing::warn!(discovery = %at, revision, %reason, "watch ended");
    }
}

/// When the next try may begin.
struct Pace {
    answerer: Answerer,
    each: Duration,
    due: Instant,
}

impl Pace {
    /// How many tries may be out, and how long each.
    fn most_out(&self) -> (usize, Duration) {
        match self.answerer {
            Answerer::Agent => (TRIES, PATIENCE),
            // What one call may wait in turn; two of them and the first silence are under 6 s.
            Answerer::Service => (1, SILENCE),
        }
    }

    fn failed(&mut self) {
        if self.answerer == Answerer::Service {
            self.due = Instant::now() + self.each.mul_f64(0.5 + fastrand::f64());
            self.each = (self.each * 2).min(LONGEST_PAUSE);
        }
    }

    fn spoke(&mut self) {
        if self.answerer == Answerer::Service {
            self.each = FIRST_PAUSE;
        }
    }
}

/// Opens watches until one says something.
async fn first_to_speak<F, O>(
    at: &dyn Display,
    open: &mut impl FnMut(u64) -> O,
    revision: u64,
    pace: &mut Pace,
) -> (F, Option<ServerList>)
where
    F: Feed + 'static,
    O: Future<Output = Result<F, Fault>> + 'static,
{
    let mut tries = JoinSet::new();
    let mut out: Vec<AbortHandle> = Vec::new();
    let mut said = false;
    let (most, patience) = pace.most_out();
    loop {
        tokio::select! {
            () = sleep_until(pace.due), if most > 1 || out.is_empty() => {
                if out.len() == most {
                    out.remove(1).abort();
                }
                let watch = open(revision);
                let first_word = async {
                    let mut feed = watch.await.map_err(|reason| reason.to_string())?;
                    let first = feed.next().await.map_err(|reason| reason.to_string())?;
                    Ok::<_, String>((feed, first))
                };
                out.push(tries.spawn_local(timeout(patience, first_word)));
                pace.due = Instant::now() + pace.each;
            }
            Some(ended) = tries.join_next_with_id() => {
                let (id, ended) = match ended {
                    Ok((_, Ok(Ok(spoken)))) => {
                        tracing::debug!(discovery = %at, revision, "watch open");
                        pace.spoke();
                        return spoken;
                    }
                    Ok((id, Ok(Err(reason)))) => (id, reason),
                    Ok((id, Err(_))) => (id, "silent".to_owned()),
                    Err(aborted) => (aborted.id(), "given up for a later one".to_owned()),
                };
                out.retain(|handle| handle.id() != id);
                pace.failed();
                // Once for each time that the list is out of reach, not once for each try.
                if !std::mem::replace(&mut said, true) {
                    tracing::warn!(discovery = %at, revision, reason = ended, "no watch yet");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
