//! When a watch counts as broken, and when it is opened anew.
//!
//! The list's clock runs whether or not the agent answers. What a silent watch missed counts as told 6 s
//! after it fell silent; what discovery tells at its return counts at once, and the sends that it ends have to
//! cease within the settings' time for drains. So silence is noticed half a second after the line that is due,
//! and tries follow one another at a pace within that time, each beside those that are still out: one that was
//! swallowed costs the pace and not a time-out, and the first that brings anything is the watch.

use std::fmt::Display;
use std::future::Future;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};
use woodgap::list::List;

use super::Fault;

/// A watch sends at least an empty line every 2 s (PROTOCOL): one silent for half a second more is broken.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// The longest that a try may wait for its first word. An agent answers at once, a service that is asked by
/// many lets calls wait in turn: where none but fresh tries were kept, none would have its turn.
const PATIENCE: Duration = Duration::from_millis(3_500);
/// Most tries that are out at a time: the oldest, and the latest ones.
const TRIES: usize = 4;
/// Bounds of the pace.
const FASTEST: Duration = Duration::from_millis(50);
const SLOWEST: Duration = Duration::from_millis(500);

/// An open watch: lists, and `None` for a sign of life without one.
pub trait Feed {
    async fn next(&mut self) -> Result<Option<List>, Fault>;
}

/// Keeps a watch open from a revision on and hands on what comes. `at` names the agent in the log.
pub async fn keep<F, O>(
    at: &dyn Display,
    mut open: impl FnMut(u64) -> O,
    mut revision: u64,
    grace: Duration,
    mut tell: impl FnMut(List),
) where
    F: Feed + 'static,
    O: Future<Output = Result<F, Fault>> + 'static,
{
    // Half of the time for drains: the rest is for the answer and its reading.
    let mut pace = Pace { each: (grace / 2).clamp(FASTEST, SLOWEST), due: Instant::now() };
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
    each: Duration,
    due: Instant,
}

/// Opens watches until one says something.
async fn first_to_speak<F, O>(
    at: &dyn Display,
    open: &mut impl FnMut(u64) -> O,
    revision: u64,
    pace: &mut Pace,
) -> (F, Option<List>)
where
    F: Feed + 'static,
    O: Future<Output = Result<F, Fault>> + 'static,
{
    let mut tries = JoinSet::new();
    let mut out: Vec<AbortHandle> = Vec::new();
    let mut said = false;
    loop {
        tokio::select! {
            () = sleep_until(pace.due) => {
                if out.len() == TRIES {
                    out.remove(1).abort();
                }
                let watch = open(revision);
                let first_word = async {
                    let mut feed = watch.await.map_err(|reason| reason.to_string())?;
                    let first = feed.next().await.map_err(|reason| reason.to_string())?;
                    Ok::<_, String>((feed, first))
                };
                out.push(tries.spawn_local(timeout(PATIENCE, first_word)));
                pace.due = Instant::now() + pace.each;
            }
            Some(ended) = tries.join_next_with_id() => {
                let (id, ended) = match ended {
                    Ok((_, Ok(Ok(spoken)))) => {
                        tracing::debug!(discovery = %at, revision, "watch open");
                        return spoken;
                    }
                    Ok((id, Ok(Err(reason)))) => (id, reason),
                    Ok((id, Err(_))) => (id, "silent".to_owned()),
                    Err(aborted) => (aborted.id(), "given up for a later one".to_owned()),
                };
                out.retain(|handle| handle.id() != id);
                // Once for each time that the list is out of reach, not once for each try.
                if !std::mem::replace(&mut said, true) {
                    tracing::warn!(discovery = %at, revision, reason = ended, "no watch yet");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;
    use std::collections::VecDeque;
    use std::rc::Rc;

    use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
    use tokio::task::LocalSet;
    use tokio::time::{advance, sleep};

    use super::*;

    /// A watch that says what it is sent, and ends with its sender.
    struct Script(UnboundedReceiver<Option<List>>);

    impl Feed for Script {
        async fn next(&mut self) -> Result<Option<List>, Fault> {
            self.0.recv().await.ok_or_else(|| "ended".into())
        }
    }

    /// What becomes of a try.
    enum Try {
        Answered,
        Swallowed,
        Refused,
    }

    #[derive(Default)]
    struct Agent {
        start: Option<Instant>,
        /// What becomes of the next tries; past the last one they are answered.
        plan: RefCell<VecDeque<Try>>,
        /// Tries as they began: when, and from which revision.
        begun: RefCell<Vec<(u128, u64)>>,
        watches: RefCell<Vec<UnboundedSender<Option<List>>>>,
        told: RefCell<Vec<(u128, Option<u64>)>>,
    }

    impl Agent {
        fn now(&self) -> u128 {
            self.start.map_or(0, |start| start.elapsed().as_millis())
        }

        async fn open(self: Rc<Self>, revision: u64) -> Result<Script, Fault> {
            self.begun.borrow_mut().push((self.now(), revision));
            let next = self.plan.borrow_mut().pop_front().unwrap_or(Try::Answered);
            match next {
                Try::Refused => return Err("refused".into()),
                Try::Swallowed => sleep(Duration::from_secs(3_600)).await,
                Try::Answered => {}
            }
            let (tx, rx) = unbounded_channel();
            tx.send(Some(list(revision.max(40) + 1)))?;
            self.watches.borrow_mut().push(tx);
            Ok(Script(rx))
        }
    }

    fn list(revision: u64) -> List {
        List { revision: Some(revision), complete: true, entries: Vec::new() }
    }

    /// Plays a time of the agent's with a watch kept on it.
    async fn play<T>(plan: Vec<Try>, grace_ms: u64, then: impl AsyncFnOnce(Rc<Agent>) -> T) -> T {
        let agent = Rc::new(Agent {
            start: Some(Instant::now()),
            plan: RefCell::new(plan.into()),
            ..Agent::default()
        });
        let (opener, teller) = (agent.clone(), agent.clone());
        let keeping = keep(
            &"here",
            move |revision| opener.clone().open(revision),
            41,
            Duration::from_millis(grace_ms),
            move |list| teller.told.borrow_mut().push((teller.now(), list.revision)),
        );
        LocalSet::new()
            .run_until(async {
                tokio::select! {
                    () = keeping => unreachable!("it keeps on"),
                    ended = then(agent) => ended,
                }
            })
            .await
    }

    // The clock of the list: 6 s from the last line to the list acted on, though the first five tries at
    // opening it anew are swallowed.
    #[tokio::test(start_paused = true)]
    async fn a_silent_watch_is_opened_anew_for_the_whole_list_in_time() {
        let plan = vec![
            Try::Answered,
            Try::Swallowed,
            Try::Swallowed,
            Try::Swallowed,
            Try::Swallowed,
            Try::Swallowed,
        ];
        play(plan, 1_500, async |agent| {
            sleep(Duration::from_millis(1)).await;
            for _ in 0..3 {
                advance(Duration::from_secs(2)).await;
                agent.watches.borrow()[0].send(None).unwrap();
                sleep(Duration::from_millis(1)).await;
            }
            let silent = agent.now();
            sleep(Duration::from_secs(6)).await;
            let begun = agent.begun.borrow();
            assert_eq!(begun.len(), 7, "{begun:?}");
            assert!(begun[1..].iter().all(|&(_, revision)| revision == 0), "{begun:?}");
            let told = agent.told.borrow();
            assert!(told.len() == 2 && told[1].0 < silent + 5_500, "{told:?} from {silent}");
        })
        .await;
    }

    // What discovery tells at its return counts at once: tries go on at a pace within the time for drains.
    #[tokio::test(start_paused = true)]
    async fn the_return_of_discovery_is_met_within_the_time_for_drains() {
        for (grace_ms, most) in [(1_500, 500), (500, 250), (10, 50)] {
            let down: Vec<Try> =
                (0..40).map(|n| if n % 2 == 0 { Try::Swallowed } else { Try::Refused }).collect();
            play(down, grace_ms, async |agent| {
                while agent.told.borrow().is_empty() {
                    sleep(Duration::from_millis(10)).await;
                }
                let begun = agent.begun.borrow();
                assert_eq!(begun.len(), 41);
                assert!(begun.windows(2).all(|pair| pair[1].0 - pair[0].0 <= most), "{begun:?}");
                assert!(begun.iter().all(|&(_, revision)| revision == 41));
            })
            .await;
        }
    }

    // The oldest try keeps its turn at a service that is slow to answer, however many follow it.
    #[tokio::test(start_paused = true)]
    async fn the_oldest_try_keeps_its_turn() {
        let slow = |agent: Rc<Agent>, revision| async move {
            sleep(Duration::from_secs(3)).await;
            agent.open(revision).await
        };
        let agent = Rc::new(Agent { start: Some(Instant::now()), ..Agent::default() });
        let (opener, teller) = (agent.clone(), agent.clone());
        let open = move |revision| slow(opener.clone(), revision);
        let tell = move |list: List| teller.told.borrow_mut().push((teller.now(), list.revision));
        let keeping =
            timeout(Duration::from_secs(4), keep(&"here", open, 41, Duration::from_millis(500), tell));
        assert!(LocalSet::new().run_until(keeping).await.is_err());
        assert_eq!(*agent.told.borrow(), [(3_000, Some(42))]);
    }

    // An agent that ends each watch after its first word is not asked without pause.
    #[tokio::test(start_paused = true)]
    async fn a_watch_that_ends_at_once_is_opened_at_the_pace() {
        play(Vec::new(), 1_500, async |agent| {
            for _ in 0..100 {
                sleep(Duration::from_millis(100)).await;
                agent.watches.borrow_mut().clear();
            }
            let begun = agent.begun.borrow();
            assert!((18..=22).contains(&begun.len()), "{} in 10 s", begun.len());
            // From the version that is known: an end is no silence.
            assert!(
                begun.windows(2).all(|pair| pair[1].1 == pair[0].1.max(40) + 1 || pair[0].1 == 41),
                "{begun:?}"
            );
        })
        .await;
    }
}
