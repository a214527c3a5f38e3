use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::{advance, sleep, Instant};

use super::*;

/// A watch that returns what its channel brings, and ends with the channel's sender.
struct ChannelWatch(UnboundedReceiver<Option<ServerList>>);

impl WatchStream for ChannelWatch {
    async fn next(&mut self) -> Result<Option<ServerList>, WatchError> {
        self.0.recv().await.ok_or_else(|| "ended".into())
    }
}

/// The outcome of a try to open a watch.
enum TryOutcome {
    Answered,
    Unanswered,
    Refused,
}

/// An agent or a shared service as the watch loop sees it.
#[derive(Default)]
struct FakeEndpoint {
    start: Option<Instant>,
    /// The outcomes of the next tries. All later tries are answered.
    planned_outcomes: RefCell<VecDeque<TryOutcome>>,
    /// Every try: its start in milliseconds and the revision it asked for.
    tries: RefCell<Vec<(u128, u64)>>,
    watches: RefCell<Vec<UnboundedSender<Option<ServerList>>>>,
    /// Every list passed on: when, in milliseconds, and its revision.
    received: RefCell<Vec<(u128, Option<u64>)>>,
}

impl FakeEndpoint {
    fn now_ms(&self) -> u128 {
        self.start.map_or(0, |start| start.elapsed().as_millis())
    }

    async fn open(self: Rc<Self>, revision: u64) -> Result<ChannelWatch, WatchError> {
        self.tries.borrow_mut().push((self.now_ms(), revision));
        let outcome = self.planned_outcomes.borrow_mut().pop_front().unwrap_or(TryOutcome::Answered);
        match outcome {
            TryOutcome::Refused => return Err("refused".into()),
            TryOutcome::Unanswered => sleep(Duration::from_secs(3_600)).await,
            TryOutcome::Answered => {}
        }
        let (tx, rx) = unbounded_channel();
        tx.send(Some(list(revision.max(40) + 1)))?;
        self.watches.borrow_mut().push(tx);
        Ok(ChannelWatch(rx))
    }
}

fn list(revision: u64) -> ServerList {
    ServerList { revision: Some(revision), is_complete: true, entries: Vec::new() }
}

/// Runs a test while a watch is kept open on an agent.
async fn run_with_agent<T>(
    planned_outcomes: Vec<TryOutcome>,
    drain_time_ms: u64,
    test: impl AsyncFnOnce(Rc<FakeEndpoint>) -> T,
) -> T {
    run_with_endpoint(EndpointKind::Agent, planned_outcomes, drain_time_ms, test).await
}

/// Runs a test while a watch is kept open on an endpoint of this kind.
async fn run_with_endpoint<T>(
    kind: EndpointKind,
    planned_outcomes: Vec<TryOutcome>,
    drain_time_ms: u64,
    test: impl AsyncFnOnce(Rc<FakeEndpoint>) -> T,
) -> T {
    let endpoint = Rc::new(FakeEndpoint {
        start: Some(Instant::now()),
        planned_outcomes: RefCell::new(planned_outcomes.into()),
        ..FakeEndpoint::default()
    });
    let (opener, recorder) = (endpoint.clone(), endpoint.clone());
    let watch_loop = keep_watch_open(
        &"here",
        move |revision| opener.clone().open(revision),
        41,
        Duration::from_millis(drain_time_ms),
        kind,
        move |list| recorder.received.borrow_mut().push((recorder.now_ms(), list.revision)),
    );
    LocalSet::new()
        .run_until(async {
            tokio::select! {
                () = watch_loop => unreachable!("the watch loop does not end"),
                result = test(endpoint) => result,
            }
        })
        .await
}

// A change that a silent watch missed has to be acted on within 6 s of the watch's last line, even if the first five
// tries to open a new watch get no answer.
#[tokio::test(start_paused = true)]
async fn silent_watch_is_reopened_for_the_complete_list_in_time() {
    let mut outcomes = vec![TryOutcome::Answered];
    outcomes.extend((0..5).map(|_| TryOutcome::Unanswered));
    run_with_agent(outcomes, 1_500, async |endpoint| {
        sleep(Duration::from_millis(1)).await;
        for _ in 0..3 {
            advance(Duration::from_secs(2)).await;
            endpoint.watches.borrow()[0].send(None).unwrap();
            sleep(Duration::from_millis(1)).await;
        }
        let silent_since = endpoint.now_ms();
        sleep(Duration::from_secs(6)).await;
        let tries = endpoint.tries.borrow();
        assert_eq!(tries.len(), 7, "{tries:?}");
        assert!(tries[1..].iter().all(|&(_, revision)| revision == 0), "{tries:?}");
        let received = endpoint.received.borrow();
        assert!(
            received.len() == 2 && received[1].0 < silent_since + 5_500,
            "{received:?} from {silent_since}"
        );
    })
    .await;
}

// A change that discovery sends when it is back counts as known at once: tries have to follow each other at an
// interval within the drain time.
#[tokio::test(start_paused = true)]
async fn return_of_discovery_is_noticed_within_the_drain_time() {
    for (drain_time_ms, max_interval_ms) in [(1_500, 500), (500, 250), (10, 50)] {
        let outage: Vec<TryOutcome> =
            (0..40).map(|n| if n % 2 == 0 { TryOutcome::Unanswered } else { TryOutcome::Refused }).collect();
        run_with_agent(outage, drain_time_ms, async |endpoint| {
            while endpoint.received.borrow().is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
            let tries = endpoint.tries.borrow();
            assert_eq!(tries.len(), 41);
            assert!(tries.windows(2).all(|pair| pair[1].0 - pair[0].0 <= max_interval_ms), "{tries:?}");
            assert!(tries.iter().all(|&(_, revision)| revision == 41));
        })
        .await;
    }
}

// An agent that takes 3 s to answer must get to answer the oldest try, however many others follow it.
#[tokio::test(start_paused = true)]
async fn oldest_try_is_kept() {
    let open_slowly = |endpoint: Rc<FakeEndpoint>, revision| async move {
        sleep(Duration::from_secs(3)).await;
        endpoint.open(revision).await
    };
    let endpoint = Rc::new(FakeEndpoint { start: Some(Instant::now()), ..FakeEndpoint::default() });
    let (opener, recorder) = (endpoint.clone(), endpoint.clone());
    let open = move |revision| open_slowly(opener.clone(), revision);
    let on_list =
        move |list: ServerList| recorder.received.borrow_mut().push((recorder.now_ms(), list.revision));
    let watch_loop = timeout(
        Duration::from_secs(4),
        keep_watch_open(&"here", open, 41, Duration::from_millis(500), EndpointKind::Agent, on_list),
    );
    assert!(LocalSet::new().run_until(watch_loop).await.is_err());
    assert_eq!(*endpoint.received.borrow(), [(3_000, Some(42))]);
}

/// Keeps a watch open on an endpoint that answers each call after `delay`, and loses the first `lost` of them. Returns
/// when the first list came, in milliseconds, and how many calls were made in a minute at most.
async fn time_to_first_list(kind: EndpointKind, delay: Duration, lost: usize) -> (u128, usize) {
    let open_slowly = move |endpoint: Rc<FakeEndpoint>, revision| async move {
        sleep(delay).await;
        endpoint.open(revision).await
    };
    let endpoint = Rc::new(FakeEndpoint { start: Some(Instant::now()), ..FakeEndpoint::default() });
    let calls = Rc::new(std::cell::Cell::new(0));
    let (opener, recorder, counter) = (endpoint.clone(), endpoint.clone(), calls.clone());
    let open = move |revision| {
        let opener = opener.clone();
        counter.set(counter.get() + 1);
        let is_lost = counter.get() <= lost;
        async move {
            if is_lost {
                std::future::pending::<()>().await;
            }
            open_slowly(opener, revision).await
        }
    };
    let on_list =
        move |list: ServerList| recorder.received.borrow_mut().push((recorder.now_ms(), list.revision));
    let run = async {
        let watch_loop = keep_watch_open(&"here", open, 41, Duration::from_millis(500), kind, on_list);
        let received = async {
            while endpoint.received.borrow().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::select! {
            () = watch_loop => unreachable!("the watch loop does not end"),
            result = timeout(Duration::from_secs(60), received) => drop(result),
        }
    };
    LocalSet::new().run_until(run).await;
    let first_ms = endpoint.received.borrow().first().map_or(u128::MAX, |&(ms, _)| ms);
    (first_ms, calls.get())
}

// A late answer is an answer: an endpoint that is slow with each of them must be heard, however many other tries follow.
#[tokio::test(start_paused = true)]
async fn a_slow_endpoint_is_heard() {
    for kind in [EndpointKind::Agent, EndpointKind::SharedService] {
        for seconds in [3, 4, 5] {
            let (first_ms, _) = time_to_first_list(kind, Duration::from_secs(seconds), 0).await;
            let expected = u128::from(seconds) * 1_000;
            assert!((expected..expected + 10).contains(&first_ms), "{kind:?} after {seconds} s: {first_ms}");
        }
        // An oldest try that is lost gives up its place, and ever later answers are heard.
        for (seconds, lost, bound_ms) in [(4, 1, 11_000), (10, 0, 21_000), (20, 1, 60_000)] {
            let (first_ms, calls) = time_to_first_list(kind, Duration::from_secs(seconds), lost).await;
            assert!(first_ms < bound_ms, "{kind:?} after {seconds} s, {lost} lost: {first_ms}");
            if kind == EndpointKind::SharedService {
                assert!(calls <= 2 + first_ms as usize / 2_500, "{calls} calls in {first_ms} ms");
            }
        }
    }
}

// A list that comes on a watch after its silence was written whole, too. It counts at once, and the list of a new watch that
// was made before it does not undo it.
#[tokio::test(start_paused = true)]
async fn a_list_of_a_silent_watch_counts_until_a_new_one_answers() {
    for kind in [EndpointKind::Agent, EndpointKind::SharedService] {
        let outcomes = vec![TryOutcome::Answered, TryOutcome::Unanswered];
        run_with_endpoint(kind, outcomes, 1_500, async |endpoint| {
            sleep(Duration::from_millis(2_600)).await;
            let silent = endpoint.watches.borrow()[0].clone();
            assert_eq!(endpoint.tries.borrow().last().map(|&(_, revision)| revision), Some(0));
            silent.send(Some(list(50))).unwrap();
            sleep(Duration::from_millis(1)).await;
            assert_eq!(endpoint.received.borrow().last(), Some(&(2_600, Some(50))), "{kind:?}");
            // The second try answers with the list of revision 41, which was made before.
            while endpoint.received.borrow().len() < 3 {
                sleep(Duration::from_millis(10)).await;
            }
            let revisions: Vec<_> =
                endpoint.received.borrow().iter().map(|&(_, revision)| revision).collect();
            assert_eq!(revisions, [Some(42), Some(50), Some(50)], "{kind:?}");
            assert!(silent.is_closed(), "{kind:?}: the silent watch is not read any more");
        })
        .await;
    }
}

// An agent that closes each watch after its first list must not be called without a pause.
#[tokio::test(start_paused = true)]
async fn watch_that_ends_at_once_is_reopened_at_the_interval() {
    run_with_agent(Vec::new(), 1_500, async |endpoint| {
        for _ in 0..100 {
            sleep(Duration::from_millis(100)).await;
            endpoint.watches.borrow_mut().clear();
        }
        let tries = endpoint.tries.borrow();
        assert!((18..=22).contains(&tries.len()), "{} in 10 s", tries.len());
        // A closed watch has lost no changes: the new one starts from the known revision.
        assert!(
            tries.windows(2).all(|pair| pair[1].1 == pair[0].1.max(40) + 1 || pair[0].1 == 41),
            "{tries:?}"
        );
    })
    .await;
}

// A node calls a shared service again only after a call has had its time, and acts on a missed change in time even if its
// first call after the silence gets no answer.
#[tokio::test(start_paused = true)]
async fn shared_service_is_called_again_only_after_a_call_had_its_time() {
    run_with_endpoint(
        EndpointKind::SharedService,
        vec![TryOutcome::Answered, TryOutcome::Unanswered],
        1_500,
        async |endpoint| {
            sleep(Duration::from_millis(1)).await;
            endpoint.watches.borrow()[0].send(None).unwrap();
            sleep(Duration::from_millis(1)).await;
            let silent_since = endpoint.now_ms();
            sleep(Duration::from_millis(5_900)).await;
            assert_eq!(endpoint.tries.borrow().len(), 3);
            let received = endpoint.received.borrow();
            assert!(
                received.len() == 2 && received[1].0 < silent_since + 5_900,
                "{received:?} from {silent_since}"
            );
        },
    )
    .await;
}

// A shared service that refuses calls is called less and less often, down to once per longest pause.
#[tokio::test(start_paused = true)]
async fn pauses_grow_while_a_shared_service_refuses() {
    let outage = (0..1_000).map(|_| TryOutcome::Refused).collect();
    run_with_endpoint(EndpointKind::SharedService, outage, 1_500, async |endpoint| {
        sleep(Duration::from_secs(60)).await;
        let tries = endpoint.tries.borrow();
        assert!((30..=130).contains(&tries.len()), "{}", tries.len());
        let longest_ms = tries.windows(2).map(|pair| pair[1].0 - pair[0].0).max().unwrap();
        assert!(longest_ms <= 1_550, "{longest_ms}");
    })
    .await;
}

// Forty nodes call a shared service that serves ten calls a second in order and drops calls that waited for over 2 s.
// All nodes have to be served at the service's own rate, with few calls made in vain.
#[tokio::test(start_paused = true)]
async fn shared_service_serves_many_nodes() {
    const NODES: usize = 40;
    const CALL_DURATION: Duration = Duration::from_millis(100);
    type QueuedCall = (Instant, tokio::sync::oneshot::Sender<ChannelWatch>);
    let (tx, mut queue) = unbounded_channel::<QueuedCall>();
    let calls = Rc::new(std::cell::Cell::new(0));
    let served_nodes = Rc::new(RefCell::new(std::collections::HashSet::new()));
    let run = async {
        let service = tokio::task::spawn_local(async move {
            let mut open_watches = Vec::new();
            while let Some((queued_at, answer)) = queue.recv().await {
                if queued_at.elapsed() > Duration::from_secs(2) {
                    continue;
                }
                sleep(CALL_DURATION).await;
                let (list_tx, rx) = unbounded_channel();
                list_tx.send(Some(list(42))).unwrap();
                let _ = answer.send(ChannelWatch(rx));
                open_watches.push(list_tx);
            }
        });
        for node in 0..NODES {
            let (tx, calls, served_nodes) = (tx.clone(), calls.clone(), served_nodes.clone());
            let open = move |_| {
                let (tx, calls) = (tx.clone(), calls.clone());
                async move {
                    calls.set(calls.get() + 1);
                    let (answer, watch) = tokio::sync::oneshot::channel();
                    tx.send((Instant::now(), answer))?;
                    Ok::<_, WatchError>(watch.await?)
                }
            };
            let on_list = move |_| {
                served_nodes.borrow_mut().insert(node);
            };
            tokio::task::spawn_local(async move {
                keep_watch_open(
                    &"here",
                    open,
                    41,
                    Duration::from_millis(500),
                    EndpointKind::SharedService,
                    on_list,
                )
                .await;
            });
        }
        // Twice the time that the service needs for one call of each node.
        sleep(CALL_DURATION * 2 * NODES as u32).await;
        service.abort();
    };
    LocalSet::new().run_until(run).await;
    assert_eq!(served_nodes.borrow().len(), NODES);
    assert!(calls.get() <= 4 * NODES, "{} calls", calls.get());
}
