//! What happened in a run: the requests as their clients saw them, the attempts as servers saw them, the processes of nodes,
//! and what discovery told. Times are microseconds of one monotonic clock.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// How often the thread of the stand-ins is watched, and the shortest hold-up that counts.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
const MIN_HOLD_UP: Duration = Duration::from_millis(20);

/// The effect that a class of requests may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Must never run twice.
    Unsafe,
    /// Servers drop repeats with the same key.
    Keyed,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response came.
    Answered {
        /// The response's status.
        status: u16,
        /// Whether the body of a 200 is the one that a server made for this request.
        is_own_body: bool,
    },
    /// The node ended the connection without a complete response.
    Closed,
    /// The client closed its connection.
    Left,
    /// The client waited in vain.
    Unanswered,
}

/// A request that a client wrote completely.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The client's id.
    pub id: String,
    /// The effect of its class.
    pub effect: Effect,
    /// The number of the node.
    pub node: usize,
    /// How long the client waits.
    pub time_left_us: u64,
    /// When its last byte was written.
    pub written_us: u64,
    /// Whether it is the first one on its connection. If not, the node may have closed the connection before.
    pub is_first: bool,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended_us: u64,
}

/// An attempt that reached a server completely.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The client's id of the request.
    pub id: String,
    /// The server process.
    pub server: String,
    /// When its first byte came.
    pub began_us: u64,
    /// When its last byte came.
    pub complete_us: u64,
    /// How long the node will wait, as it told the server.
    pub told_us: u64,
    /// Whether the request had an effect.
    pub ran: bool,
}

/// How a process of a node ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// Killed without a warning.
    Killed,
    /// Told to end, and killed later if it had not ended.
    Terminated,
    /// It ended by itself.
    ByItself(String),
}

/// One process of a node, from its start to its end.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// The number of the node.
    pub node: usize,
    /// When it was started.
    pub started_us: u64,
    /// How long it took to be ready.
    pub ready_after_us: u64,
    /// When it was told to end, if it was.
    pub term_us: Option<u64>,
    /// When it was killed, or was seen to have ended by itself.
    pub killed_us: u64,
    /// When it was gone. A killed process closes its connections some time after the signal.
    pub ended_us: u64,
    /// How it ended.
    pub end: ProcessEnd,
    /// The peak of its resident set.
    pub peak_kb: u64,
    /// Its memory limit.
    pub memory_mb: u64,
    /// The most descriptors that were seen open.
    pub descriptors: usize,
    /// Its limit on descriptors.
    pub max_descriptors: usize,
}

/// That a node was told of a server's drain or end.
#[derive(Clone, Debug)]
pub struct DrainRecord {
    /// The number of the node.
    pub node: usize,
    /// The server process.
    pub server: String,
    /// When it was told.
    pub told_us: u64,
}

/// A time in which the thread of the stand-ins did not run as it should: what they noted then is late.
#[derive(Clone, Copy, Debug)]
pub struct HoldUp {
    /// Its beginning.
    pub from_us: u64,
    /// Its end.
    pub to_us: u64,
}

/// All that happened.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests of clients to which the node owes an answer, and of those that left.
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<AttemptRecord>,
    /// Processes of nodes.
    pub processes: Vec<ProcessRecord>,
    /// Drains.
    pub drains: Vec<DrainRecord>,
    /// Hold-ups of the stand-ins.
    pub hold_ups: Vec<HoldUp>,
}

/// Collects the history.
pub struct Recorder {
    start: Instant,
    history: RefCell<History>,
}

impl Recorder {
    /// Starts the clock.
    pub fn new() -> Recorder {
        Recorder { start: Instant::now(), history: RefCell::default() }
    }

    /// The time since the start.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Notes each time at which the thread of the stand-ins is held up, until the task is dropped.
    pub async fn watch_for_hold_ups(recorder: Rc<Recorder>) {
        let mut from_us = recorder.now_us();
        loop {
            sleep(WATCH_INTERVAL).await;
            let to_us = recorder.now_us();
            if to_us - from_us > (WATCH_INTERVAL + MIN_HOLD_UP).as_micros() as u64 {
                recorder.history.borrow_mut().hold_ups.push(HoldUp { from_us, to_us });
            }
            from_us = to_us;
        }
    }

    /// Adds a request that has ended.
    pub fn add_request(&self, request: RequestRecord) {
        self.history.borrow_mut().requests.push(request);
    }

    /// Adds an attempt.
    pub fn add_attempt(&self, attempt: AttemptRecord) {
        self.history.borrow_mut().attempts.push(attempt);
    }

    /// Adds a process that has ended.
    pub fn add_process(&self, process: ProcessRecord) {
        self.history.borrow_mut().processes.push(process);
    }

    /// Adds a drain.
    pub fn add_drain(&self, drain: DrainRecord) {
        self.history.borrow_mut().drains.push(drain);
    }

    /// Takes the history.
    pub fn take(&self) -> History {
        self.history.take()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder::new()
    }
}
