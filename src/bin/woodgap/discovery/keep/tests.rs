use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::{advance, sleep};

use super::*;

/// A watch that says what it is sent, and ends with its sender.
struct Script(UnboundedReceiver<Option<ServerList>>);

impl Feed for Script {
    async fn next(&mut self) -> Result<Option<ServerList>, Fault> {
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
    watches: RefCell<Vec<UnboundedSender<Option<ServerList>>>>,
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

fn list(revision: u64) -> ServerList {
    ServerList { revision: Some(revision), is_complete: true, entries: Vec::new() }
}

/// Plays a time of the agent's with a watch kept on it.
async fn play<T>(plan: Vec<Try>, grace_ms: u64, then: impl AsyncFnOnce(Rc<Agent>) -> T) -> T {
    play_with(Answerer::Agent, plan, grace_ms, then).await
}

async fn play_with<T>(
    answerer: Answerer,
    plan: Vec<Try>,
    grace_ms: u64,
    then: impl AsyncFnOnce(Rc<Agent>) -> T,
) -> T {
    let agent =
        Rc::new(Agent { start: Some(Instant::now()), plan: RefCell::new(plan.into()), ..Agent::default() });
    let (opener, teller) = (agent.clone(), agent.clone());
    let keeping = keep(
        &"here",
        move |revision| opener.clone().open(revision),
        41,
        Duration::from_millis(grace_ms),
        answerer,
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
    let plan =
        vec![Try::Answered, Try::Swallowed, Try::Swallowed, Try::Swallowed, Try::Swallowed, Try::Swallowed];
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
    let tell = move |list: ServerList| teller.told.borrow_mut().push((teller.now(), list.revision));
    let keeping = timeout(
        Duration::from_secs(4),
        keep(&"here", open, 41, Duration::from_millis(500), Answerer::Agent, tell),
    );
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

// A service is asked once at a time, also where the call that meets a silent watch is swallowed.
#[tokio::test(start_paused = true)]
async fn a_service_is_asked_once_at_a_time_and_in_time() {
    play_with(Answerer::Service, vec![Try::Answered, Try::Swallowed], 1_500, async |agent| {
        sleep(Duration::from_millis(1)).await;
        agent.watches.borrow()[0].send(None).unwrap();
        sleep(Duration::from_millis(1)).await;
        let silent = agent.now();
        sleep(Duration::from_millis(5_900)).await;
        assert_eq!(agent.begun.borrow().len(), 3);
        let told = agent.told.borrow();
        assert!(told.len() == 2 && told[1].0 < silent + 5_900, "{told:?} from {silent}");
    })
    .await;
}

// One that refuses is asked ever more seldom, down to once in the longest pause.
#[tokio::test(start_paused = true)]
async fn a_service_that_refuses_is_asked_ever_more_seldom() {
    let down = (0..1_000).map(|_| Try::Refused).collect();
    play_with(Answerer::Service, down, 1_500, async |agent| {
        sleep(Duration::from_secs(60)).await;
        let begun = agent.begun.borrow();
        assert!((30..=130).contains(&begun.len()), "{}", begun.len());
        let longest = begun.windows(2).map(|pair| pair[1].0 - pair[0].0).max().unwrap();
        assert!(longest <= 1_550, "{longest}");
    })
    .await;
}

// Forty nodes at a service that serves ten calls a second in turn and throws away what waited for 2 s: what they ask
// is served as fast as it can be, and hardly a turn is spent on a call that nobody waits for any more.
#[tokio::test(start_paused = true)]
async fn many_nodes_get_their_turn_at_a_service() {
    const NODES: usize = 40;
    const EACH: Duration = Duration::from_millis(100);
    type Call = (Instant, tokio::sync::oneshot::Sender<Script>);
    let (tx, mut queue) = unbounded_channel::<Call>();
    let calls = Rc::new(std::cell::Cell::new(0));
    let done = Rc::new(RefCell::new(std::collections::HashSet::new()));
    let run = async {
        let serving = tokio::task::spawn_local(async move {
            let mut open = Vec::new();
            while let Some((came, answer)) = queue.recv().await {
                if came.elapsed() > Duration::from_secs(2) {
                    continue;
                }
                sleep(EACH).await;
                let (feed, rx) = unbounded_channel();
                feed.send(Some(list(42))).unwrap();
                let _ = answer.send(Script(rx));
                open.push(feed);
            }
        });
        for node in 0..NODES {
            let (tx, calls, done) = (tx.clone(), calls.clone(), done.clone());
            let open = move |_| {
                let (tx, calls) = (tx.clone(), calls.clone());
                async move {
                    calls.set(calls.get() + 1);
                    let (answer, word) = tokio::sync::oneshot::channel();
                    tx.send((Instant::now(), answer))?;
                    Ok::<_, Fault>(word.await?)
                }
            };
            let tell = move |_| {
                done.borrow_mut().insert(node);
            };
            tokio::task::spawn_local(async move {
                keep(&"here", open, 41, Duration::from_millis(500), Answerer::Service, tell).await;
            });
        }
        // Twice what the service needs for as many calls.
        sleep(EACH * 2 * NODES as u32).await;
        serving.abort();
    };
    LocalSet::new().run_until(run).await;
    assert_eq!(done.borrow().len(), NODES);
    assert!(calls.get() <= 4 * NODES, "{} calls", calls.get());
}
