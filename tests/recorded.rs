//! Replays a recorded stream of events through the simulator adapter and compares the returned actions: a
//! refactoring that changes no decision returns exactly the same actions.
//!
//! After an intended change of decisions, `cargo test --test recorded -- --ignored` records the stream anew,
//! from a small simulated fleet with a fixed seed; the commit says why.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use fastrand::Rng;

const RECORDING_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/stream.txt");
/// Prefix of the lines that the adapter answered; all other lines are its input.
const ANSWER_PREFIX: &str = "= ";

/// The simulator adapter, as a child process.
struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_woodgap-simhost"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("the pipe is open");
        let output = BufReader::new(child.stdout.take().expect("the pipe is open"));
        Adapter { child, input, output }
    }

    /// Sends a batch and returns the answer, up to and including its `END` line.
    fn send_batch(&mut self, batch: &str) -> Vec<String> {
        self.input.write_all(batch.as_bytes()).expect("the adapter reads the batch");
        let mut answer = Vec::new();
        loop {
            let mut line = String::new();
            let length = self.output.read_line(&mut line).expect("the answer is text");
            assert!(length > 0, "the adapter ended in the middle of an answer");
            let line = line.trim_end().to_owned();
            let is_last = line.starts_with("END ");
            answer.push(line);
            if is_last {
                return answer;
            }
        }
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn the_adapter_reproduces_the_recording_exactly() {
    let text = std::fs::read_to_string(RECORDING_PATH).unwrap();
    let mut adapter = Adapter::start();
    let (mut batch, mut answers) = (String::new(), Vec::new().into_iter());
    let mut action_counts = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        let Some(expected) = line.strip_prefix(ANSWER_PREFIX) else {
            assert_eq!(answers.next(), None::<String>, "line {}: more was answered than recorded", index + 1);
            batch.push_str(line);
            batch.push('\n');
            if line == "EOF_BATCH" {
                answers = adapter.send_batch(&batch).into_iter();
                batch.clear();
            }
            continue;
        };
        assert_eq!(answers.next().as_deref(), Some(expected), "line {} of the recorded stream", index + 1);
        *action_counts.entry(expected.split(' ').next().unwrap_or("")).or_insert(0) += 1;
    }
    // A recording without one kind of action would not notice a change in the decisions about that action.
    for (action, min_count) in [
        ("DELIVER", 1_000),
        ("DECLINE", 50),
        ("GIVE_UP", 5),
        ("CALL_OFF", 5),
        ("FREE_LINKS", 20),
        ("INSPECT", 5),
        ("STREAM_CHANGES", 2),
        ("SET_ALARM", 300),
    ] {
        let count = action_counts.get(action).copied().unwrap_or(0);
        assert!(
            count >= min_count,
            "the recording has {count} {action} lines, expected at least {min_count}"
        );
    }
}

// The simulation that the recording is made from. Its times are in microseconds unless a name tells another
// unit.

const US_PER_MS: u64 = 1_000;
/// The time of the first batch.
const START_MS: u64 = 50_000;
const TICK_US: u64 = 10 * US_PER_MS;
const TICKS: u64 = 1_600;
const SERVERS: u64 = 14;
const INITIAL_SERVERS: u64 = 12;
/// A node of a small group, which may probe and subscribes to its list, and one of a large group, whose
/// servers run short of capacity.
const NODE_SETTINGS: [&str; 2] = [
    "group-size=3 registry-mode=ask weight-source=nominal bounds.may-probe=1 bounds.cancelling=1 \
     bounds.second-copies=1 bounds.max-attempts=4 domain.warm-keys=1 report.fields=queue,util \
     rules.settle-after-doubt=40000",
    "group-size=300 weight-source=rough worth-by=work bounds.max-attempts=3 bounds.cancelling=1 \
     bounds.retry-after=1 bounds.max-retry-after=2000000 domain.warm-keys=1 over-share-worth=0.1 \
     deductions.handshake=0.02 deductions.connection=0.01",
];
/// Settings of both nodes.
const COMMON_SETTINGS: &str =
    "rules.start-capacity=0.3 rules.ramp-time=4000000 rules.fall-multiple=3 classes.count=4 \
     classes.0.name=view classes.0.aim=300000 classes.0.deadline=1200000 classes.0.semantics=safe \
     classes.0.points=1 classes.0.late-share=0.1 classes.1.name=close classes.1.aim=800000 classes.1.deadline=2000000 \
     classes.1.semantics=unsafe classes.1.points=2 classes.2.name=sheet classes.2.aim=500000 \
     classes.2.deadline=1500000 classes.2.semantics=keyed classes.2.key-scope=cell classes.2.key-ttl=900000 \
     classes.2.late-share=0.2 classes.3.name=order classes.3.aim=900000 classes.3.deadline=1800000 \
     classes.3.semantics=keyed classes.3.key-scope=all classes.3.key-ttl=900000 classes.3.serial-by-key=1 \
     tenants.count=2 tenants.0.name=south tenants.0.quota-per-s=9000 tenants.1.name=north \
     tenants.1.quota-per-s=60";
const CLASSES: [&str; 4] = ["view", "close", "sheet", "order"];

/// An input to a node.
enum Input {
    Line(String),
    /// The end of an attempt, unless the attempt has ended before.
    AttemptEnd {
        id: String,
        attempt: u32,
        server: u64,
        reason: &'static str,
        elapsed: u64,
    },
}

#[derive(Default)]
struct Simulation {
    /// Inputs by their time and the order in which they were scheduled, with their node.
    schedule: BTreeMap<(u64, u64), (usize, Input)>,
    /// Number of inputs scheduled so far.
    scheduled_count: u64,
    /// Node and number of attempts of each open request.
    open_requests: HashMap<String, (usize, u32)>,
    /// Server and send time of each attempt in flight.
    in_flight: HashMap<(String, u32), (u64, u64)>,
    in_flight_per_server: [u64; SERVERS as usize],
    /// Calls to discovery so far.
    subscriptions: u32,
}

/// The outcome that a faulty server gives most of its attempts at a time; `None` if the server has no fault.
fn find_fault(now: u64, server: u64) -> Option<&'static str> {
    match (server, now / US_PER_MS - START_MS) {
        (3, 4_000..7_000) => Some("error"),
        (6, 8_000..11_000) => Some("timeout"),
        (9, 9_000..12_000) => Some("connect_failed"),
        (10, 6_000..9_000) => Some("reset"),
        _ => None,
    }
}

impl Simulation {
    fn schedule_input(&mut self, at: u64, node: usize, input: Input) {
        self.scheduled_count += 1;
        self.schedule.insert((at, self.scheduled_count), (node, input));
    }

    /// Draws the outcome of an attempt that is sent now, and the time until it ends. All servers fail a
    /// little, the faulty ones often.
    fn draw_outcome(&mut self, now: u64, server: u64, timeout: u64, rng: &mut Rng) -> (&'static str, u64) {
        let others = self.in_flight_per_server[server as usize];
        // All servers are overloaded for three seconds; server 8 is slow for longer.
        let slowdown = match (now / US_PER_MS - START_MS, server) {
            (11_000..14_000, _) => 14,
            (2_000..7_000, 8) => 8,
            _ => 1,
        };
        let answer_us = (20 + rng.u64(0..40) + 25 * others) * slowdown * US_PER_MS;
        let (reason, elapsed) = match (rng.u32(0..100), find_fault(now, server)) {
            (0..=69, Some("timeout")) => ("timeout", u64::MAX),
            (0..=69, Some(reason)) => (reason, 8 * US_PER_MS),
            (0, _) => ("error", answer_us / 2),
            (1, _) => ("reset", answer_us / 3),
            (2, _) => ("connect_failed", 15 * US_PER_MS),
            _ if others > 3 => ("full", 3 * US_PER_MS),
            _ => ("ok", answer_us),
        };
        if elapsed > timeout {
            return ("timeout", timeout);
        }
        (reason, elapsed)
    }

    /// Carries out an action and schedules the inputs that follow from it.
    fn apply_action(&mut self, now: u64, node: usize, line: &str, rng: &mut Rng) {
        let fields: Vec<&str> = line.split(' ').collect();
        match fields[0] {
            "DELIVER" => {
                let (id, server, timeout) =
                    (fields[1].to_owned(), fields[2].parse().unwrap(), fields[3].parse().unwrap());
                let (reason, elapsed) = self.draw_outcome(now, server, timeout, rng);
                self.in_flight_per_server[server as usize] += 1;
                let attempt = self.open_requests.get_mut(&id).map_or(0, |open| {
                    open.1 += 1;
                    open.1 - 1
                });
                self.in_flight.insert((id.clone(), attempt), (server, now));
                self.schedule_input(
                    now + elapsed.max(1),
                    node,
                    Input::AttemptEnd { id, attempt, server, reason, elapsed },
                );
            }
            "CALL_OFF" => {
                let (id, attempt) = (fields[1].to_owned(), fields[2].parse().unwrap());
                let Some(&(server, sent_at)) = self.in_flight.get(&(id.clone(), attempt)) else { return };
                let elapsed = now - sent_at;
                self.schedule_input(
                    now + US_PER_MS,
                    node,
                    Input::AttemptEnd { id, attempt, server, reason: "cancelled", elapsed },
                );
            }
            "DECLINE" | "GIVE_UP" => drop(self.open_requests.remove(fields[1])),
            "SET_ALARM" => {
                let at = now + fields[1].parse::<u64>().unwrap();
                self.schedule_input(
                    at.max(now + 1),
                    node,
                    Input::Line(format!("TIMEOUT_FIRED {}", fields[2])),
                );
            }
            "INSPECT" => {
                let server: u64 = fields[1].parse().unwrap();
                let reason = if find_fault(now, server).is_some() { "timeout" } else { "ok" };
                let input = format!("STATUS_BACK {} {reason} 4000 3,0.4", fields[1]);
                self.schedule_input(now + 4 * US_PER_MS, node, Input::Line(input));
            }
            "STREAM_CHANGES" => {
                // The first call fails, and a later subscription breaks.
                self.subscriptions += 1;
                let input = if self.subscriptions.is_multiple_of(2) { "SYNC 2 D 2" } else { "SYNC 2 X -" };
                self.schedule_input(now + 30 * US_PER_MS, node, Input::Line(input.to_owned()));
                self.schedule_input(now + 5_000 * US_PER_MS, node, Input::Line("SYNC 2 X -".to_owned()));
            }
            _ => {}
        }
    }

    /// Applies an input that is due and returns its line; `None` if the attempt has ended before.
    fn apply_input(&mut self, now: u64, input: Input, rng: &mut Rng) -> Option<String> {
        let (id, attempt, server, reason, elapsed) = match input {
            Input::Line(line) => return Some(line),
            Input::AttemptEnd { id, attempt, server, reason, elapsed } => {
                (id, attempt, server, reason, elapsed)
            }
        };
        let (_, sent_at) = self.in_flight.remove(&(id.clone(), attempt))?;
        self.in_flight_per_server[server as usize] -= 1;
        let elapsed = if elapsed == u64::MAX { now - sent_at } else { elapsed };
        let is_request_done = reason == "ok" || !self.open_requests.contains_key(&id);
        if is_request_done {
            self.open_requests.remove(&id);
        }
        let load_report = format!("{},{:.2}", self.in_flight_per_server[server as usize], rng.f64());
        Some(format!(
            "CLOSED_ATTEMPT {id} {attempt} {server} {reason} {elapsed} {} {load_report}",
            u8::from(is_request_done)
        ))
    }
}

/// An entry of the server list.
fn list_entry(server: u64, state: &str, started_at: u64) -> String {
    let size = ["1", "1.5", "0.6"][server as usize % 3];
    let started_at = if started_at == 0 { "-".to_owned() } else { started_at.to_string() };
    format!("M {server} zone-{} kind {} {state} {size} {started_at}\n", server % 2, server / 4)
}

/// The changes of the list at a time (`D` is a delta, `F` the complete list). Two servers drain, of which one
/// is removed and one restarts cold. Later two new servers start cold, two others are removed, and finally
/// all are listed again.
fn list_changes(since_start_ms: u64, now: u64) -> Vec<(&'static str, String)> {
    let pool = |entries: &[String]| format!("POOL 1 {}\n{}", entries.len(), entries.concat());
    match since_start_ms {
        3_000 => vec![("D", pool(&[list_entry(1, "terminating", 0), list_entry(2, "terminating", 0)]))],
        3_600 => vec![(
            "D",
            pool(&[list_entry(1, "terminated", 0), list_entry(2, "in_service", now - 200 * US_PER_MS)]),
        )],
        7_500 => vec![("D", pool(&[list_entry(12, "in_service", now), list_entry(13, "in_service", now)]))],
        9_500 => vec![("D", pool(&[list_entry(4, "terminated", 0), list_entry(5, "terminated", 0)]))],
        12_500 => {
            let all: Vec<String> = (0..SERVERS).map(|server| list_entry(server, "in_service", 0)).collect();
            vec![("F", pool(&all))]
        }
        _ => Vec::new(),
    }
}

#[test]
#[ignore = "overwrites the recording"]
fn record() {
    let (mut adapter, mut simulation, mut rng) =
        (Adapter::start(), Simulation::default(), Rng::with_seed(20_261_201));
    let (mut recording, mut request_number) = (String::new(), 0u64);
    for tick in 0..TICKS {
        let now = START_MS * US_PER_MS + tick * TICK_US;
        let since_start_ms = tick * TICK_US / US_PER_MS;
        let mut batch = String::new();
        for (kind, pool) in list_changes(since_start_ms, now) {
            let sync = format!("SYNC {since_start_ms} {kind} 1");
            write!(batch, "{pool}CONTEXT 0\n{sync}\nCONTEXT 1\n{sync}\n").unwrap();
        }
        if tick == 0 {
            let initial: String =
                (0..INITIAL_SERVERS).map(|server| list_entry(server, "in_service", 0)).collect();
            write!(batch, "POOL 0 {INITIAL_SERVERS}\n{initial}POOL 2 0\n").unwrap();
            for (node, settings) in NODE_SETTINGS.iter().enumerate() {
                write!(
                    batch,
                    "CONTEXT {node}\nSPAWN {} {settings} {COMMON_SETTINGS}\nSYNC 1 C 0\n",
                    node + 7
                )
                .unwrap();
            }
        }
        // From second 5 to second 13 about five times as many requests arrive; after second 6 one key is hot.
        let arrival_chance = if (5_000..13_000).contains(&since_start_ms) { 0.68 } else { 0.3 };
        while rng.f64() < arrival_chance {
            request_number += 1;
            let node = request_number as usize % 2;
            let id = format!("{request_number:036}");
            let class = CLASSES[[0, 0, 0, 1, 2, 2, 3][rng.usize(0..7)]];
            let key =
                if since_start_ms > 6_000 && rng.f64() < 0.3 { 1 } else { rng.u64(0..300) * rng.u64(0..3) };
            let key = if rng.f64() < 0.1 { "-".to_owned() } else { (key + 100).to_string() };
            let tenant = ["south", "north", "0"][rng.usize(0..3)];
            let (time_left, is_client_retry) = (rng.u64(200..2_000) * US_PER_MS, u8::from(rng.f64() < 0.1));
            write!(
                batch,
                "CONTEXT {node}\nQUERY {id} 0 {time_left} {class} {} {is_client_retry} {tenant} {key}\n",
                rng.u64(5..50) * US_PER_MS
            )
            .unwrap();
            simulation.open_requests.insert(id.clone(), (node, 0));
            if rng.f64() < 0.02 {
                simulation.schedule_input(now + 60 * US_PER_MS, node, Input::Line(format!("LAPSED {id}")));
            }
        }
        while let Some(first) = simulation.schedule.first_entry().filter(|first| first.key().0 <= now) {
            let (node, input) = first.remove();
            if let Input::Line(line) = &input {
                if let Some(id) = line.strip_prefix("LAPSED ") {
                    simulation.open_requests.remove(id);
                }
            }
            if let Some(line) = simulation.apply_input(now, input, &mut rng) {
                write!(batch, "CONTEXT {node}\n{line}\n").unwrap();
            }
        }
        if batch.is_empty() {
            continue;
        }
        let batch = format!("BEGIN_BATCH {now} {tick}\n{batch}EOF_BATCH\n");
        recording.push_str(&batch);
        let mut node = 0;
        for line in adapter.send_batch(&batch) {
            writeln!(recording, "{ANSWER_PREFIX}{line}").unwrap();
            if let Some(number) = line.strip_prefix("ON_BEHALF ") {
                node = number.parse().unwrap();
            }
            simulation.apply_action(now, node, &line, &mut rng);
        }
    }
    std::fs::write(RECORDING_PATH, recording).unwrap();
}
