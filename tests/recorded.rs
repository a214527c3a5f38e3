//! A recorded stream of events and the actions that were answered to it, on the simulator's wire: code that
//! moves without changing a decision answers it to the letter.
//!
//! After a change of decisions that is meant: `cargo test --test recorded -- --ignored` records it anew,
//! from a small world with a fixed seed, and the commit says why.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use fastrand::Rng;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/stream.txt");
/// What marks a line that the adapter answered; all others are its input.
const ANSWER: &str = "= ";

/// The adapter, asked batch by batch.
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
            .expect("starts");
        let input = child.stdin.take().expect("piped");
        let output = BufReader::new(child.stdout.take().expect("piped"));
        Adapter { child, input, output }
    }

    /// Sends a whole batch and reads what is answered, up to its `END`.
    fn ask(&mut self, batch: &str) -> Vec<String> {
        self.input.write_all(batch.as_bytes()).expect("takes a batch");
        let mut answer = Vec::new();
        loop {
            let mut line = String::new();
            let read = self.output.read_line(&mut line).expect("answers text");
            assert!(read > 0, "the adapter ended in the middle of an answer");
            let line = line.trim_end().to_owned();
            let last = line.starts_with("END ");
            answer.push(line);
            if last {
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
fn the_recorded_stream_is_answered_to_the_letter() {
    let text = std::fs::read_to_string(FILE).unwrap();
    let mut adapter = Adapter::start();
    let (mut batch, mut answers) = (String::new(), Vec::new().into_iter());
    let mut words = BTreeMap::new();
    for (n, line) in text.lines().enumerate() {
        let Some(due) = line.strip_prefix(ANSWER) else {
            assert_eq!(answers.next(), None::<String>, "line {}: more was answered than recorded", n + 1);
            batch.push_str(line);
            batch.push('\n');
            if line == "EOF_BATCH" {
                answers = adapter.ask(&batch).into_iter();
                batch.clear();
            }
            continue;
        };
        assert_eq!(answers.next().as_deref(), Some(due), "line {} of the recorded stream", n + 1);
        *words.entry(due.split(' ').next().unwrap_or("")).or_insert(0) += 1;
    }
    // A recording that leaves out a kind of action would let its decisions change unseen.
    for (word, least) in [
        ("DELIVER", 1_000),
        ("DECLINE", 50),
        ("GIVE_UP", 5),
        ("CALL_OFF", 5),
        ("FREE_LINKS", 20),
        ("INSPECT", 5),
        ("STREAM_CHANGES", 2),
        ("SET_ALARM", 300),
    ] {
        let seen = words.get(word).copied().unwrap_or(0);
        assert!(seen >= least, "{seen} of {word} are recorded, {least} wanted");
    }
}

// The world that the recording comes from.

const MS: u64 = 1_000;
const TICK: u64 = 10 * MS;
const TICKS: u64 = 1_600;
const SERVERS: u64 = 14;
/// A small group that may probe and asks for its list, and a large one whose servers run short.
const NODES: [&str; 2] = [
    "group-size=3 registry-mode=ask weight-source=nominal bounds.may-probe=1 bounds.cancelling=1 \
     bounds.second-copies=1 bounds.max-attempts=4 domain.warm-keys=1 report.fields=queue,util \
     rules.settle-after-doubt=40000",
    "group-size=300 weight-source=rough worth-by=work bounds.max-attempts=3 bounds.cancelling=1 \
     bounds.retry-after=1 bounds.max-retry-after=2000000 domain.warm-keys=1 over-share-worth=0.1 \
     deductions.handshake=0.02 deductions.connection=0.01",
];
const COMMON: &str =
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

/// What will be told to a node.
enum Due {
    Line(String),
    /// The end of an attempt, unless it was called off.
    Closed {
        id: String,
        n: u32,
        server: u64,
        reason: &'static str,
        spent: u64,
    },
}

#[derive(Default)]
struct World {
    due: BTreeMap<(u64, u64), (usize, Due)>,
    order: u64,
    /// Attempts so far of the requests that are open, by node.
    open: HashMap<String, (usize, u32)>,
    out: HashMap<(String, u32), (u64, u64)>,
    busy: [u64; SERVERS as usize],
    calls: u32,
}

/// How a server is sick, if it is.
fn sick(now: u64, server: u64) -> Option<&'static str> {
    match (server, now / MS - 50_000) {
        (3, 4_000..7_000) => Some("error"),
        (6, 8_000..11_000) => Some("timeout"),
        (9, 9_000..12_000) => Some("connect_failed"),
        (10, 6_000..9_000) => Some("reset"),
        _ => None,
    }
}

impl World {
    fn later(&mut self, at: u64, node: usize, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), (node, due));
    }

    /// How an attempt ends that is sent now. All servers fail a little, the sick ones much.
    fn fate(&mut self, now: u64, server: u64, limit: u64, rng: &mut Rng) -> (&'static str, u64) {
        let busy = self.busy[server as usize];
        // All are crowded for three seconds; server 8 is slow for longer.
        let slow = match (now / MS - 50_000, server) {
            (11_000..14_000, _) => 14,
            (2_000..7_000, 8) => 8,
            _ => 1,
        };
        let answer = (20 + rng.u64(0..40) + 25 * busy) * slow * MS;
        let (reason, spent) = match (rng.u32(0..100), sick(now, server)) {
            (0..=69, Some("timeout")) => ("timeout", u64::MAX),
            (0..=69, Some(reason)) => (reason, 8 * MS),
            (0, _) => ("error", answer / 2),
            (1, _) => ("reset", answer / 3),
            (2, _) => ("connect_failed", 15 * MS),
            _ if busy > 3 => ("full", 3 * MS),
            _ => ("ok", answer),
        };
        if spent > limit {
            return ("timeout", limit);
        }
        (reason, spent)
    }

    fn take(&mut self, now: u64, node: usize, line: &str, rng: &mut Rng) {
        let parts: Vec<&str> = line.split(' ').collect();
        match parts[0] {
            "DELIVER" => {
                let (id, server, limit) =
                    (parts[1].to_owned(), parts[2].parse().unwrap(), parts[3].parse().unwrap());
                let (reason, spent) = self.fate(now, server, limit, rng);
                self.busy[server as usize] += 1;
                let n = self.open.get_mut(&id).map_or(0, |open| {
                    open.1 += 1;
                    open.1 - 1
                });
                self.out.insert((id.clone(), n), (server, now));
                self.later(now + spent.max(1), node, Due::Closed { id, n, server, reason, spent });
            }
            "CALL_OFF" => {
                let (id, n) = (parts[1].to_owned(), parts[2].parse().unwrap());
                let Some(&(server, sent)) = self.out.get(&(id.clone(), n)) else { return };
                let spent = now - sent;
                self.later(now + MS, node, Due::Closed { id, n, server, reason: "cancelled", spent });
            }
            "DECLINE" | "GIVE_UP" => drop(self.open.remove(parts[1])),
            "SET_ALARM" => {
                let at = now + parts[1].parse::<u64>().unwrap();
                self.later(at.max(now + 1), node, Due::Line(format!("TIMEOUT_FIRED {}", parts[2])));
            }
            "INSPECT" => {
                let server: u64 = parts[1].parse().unwrap();
                let reason = if sick(now, server).is_some() { "timeout" } else { "ok" };
                let told = format!("STATUS_BACK {} {reason} 4000 3,0.4", parts[1]);
                self.later(now + 4 * MS, node, Due::Line(told));
            }
            "STREAM_CHANGES" => {
                // The first call fails, and the subscription breaks later on.
                self.calls += 1;
                let told = if self.calls.is_multiple_of(2) { "SYNC 2 D 2" } else { "SYNC 2 X -" };
                self.later(now + 30 * MS, node, Due::Line(told.to_owned()));
                self.later(now + 5_000 * MS, node, Due::Line("SYNC 2 X -".to_owned()));
            }
            _ => {}
        }
    }

    /// The line for what falls due, if it still means anything.
    fn line(&mut self, now: u64, due: Due, rng: &mut Rng) -> Option<String> {
        let (id, n, server, reason, spent) = match due {
            Due::Line(line) => return Some(line),
            Due::Closed { id, n, server, reason, spent } => (id, n, server, reason, spent),
        };
        let (_, sent) = self.out.remove(&(id.clone(), n))?;
        self.busy[server as usize] -= 1;
        let spent = if spent == u64::MAX { now - sent } else { spent };
        let done = reason == "ok" || !self.open.contains_key(&id);
        if done {
            self.open.remove(&id);
        }
        let load = format!("{},{:.2}", self.busy[server as usize], rng.f64());
        Some(format!("CLOSED_ATTEMPT {id} {n} {server} {reason} {spent} {} {load}", u8::from(done)))
    }
}

/// Entries of the list: a server that is due to drain, one that restarts cold and one that is replaced.
fn entry(server: u64, state: &str, since: u64) -> String {
    let size = ["1", "1.5", "0.6"][server as usize % 3];
    let since = if since == 0 { "-".to_owned() } else { since.to_string() };
    format!("M {server} zone-{} kind {} {state} {size} {since}\n", server % 2, server / 4)
}

fn changes(ms: u64, now: u64) -> Vec<(&'static str, String)> {
    let state = |text: &[String]| format!("POOL 1 {}\n{}", text.len(), text.concat());
    match ms {
        3_000 => vec![("D", state(&[entry(1, "terminating", 0), entry(2, "terminating", 0)]))],
        3_600 => vec![("D", state(&[entry(1, "terminated", 0), entry(2, "in_service", now - 200 * MS)]))],
        7_500 => vec![("D", state(&[entry(12, "in_service", now), entry(13, "in_service", now)]))],
        9_500 => vec![("D", state(&[entry(4, "terminated", 0), entry(5, "terminated", 0)]))],
        12_500 => {
            let all: Vec<String> = (0..SERVERS).map(|s| entry(s, "in_service", 0)).collect();
            vec![("F", state(&all))]
        }
        _ => Vec::new(),
    }
}

#[test]
#[ignore = "writes the recording anew"]
fn record() {
    let (mut adapter, mut world, mut rng) = (Adapter::start(), World::default(), Rng::with_seed(20_261_201));
    let (mut text, mut number) = (String::new(), 0u64);
    for tick in 0..TICKS {
        let now = 50_000 * MS + tick * TICK;
        let ms = tick * TICK / MS;
        let mut batch = String::new();
        for (kind, pool) in changes(ms, now) {
            write!(batch, "{pool}CONTEXT 0\nSYNC {ms} {kind} 1\nCONTEXT 1\nSYNC {ms} {kind} 1\n").unwrap();
        }
        if tick == 0 {
            let known: String = (0..12).map(|s| entry(s, "in_service", 0)).collect();
            write!(batch, "POOL 0 12\n{known}POOL 2 0\n").unwrap();
            for (node, settings) in NODES.iter().enumerate() {
                write!(batch, "CONTEXT {node}\nSPAWN {} {settings} {COMMON}\nSYNC 1 C 0\n", node + 7)
                    .unwrap();
            }
        }
        // The traffic doubles, and one key is hot for a while.
        let chance = if (5_000..13_000).contains(&ms) { 0.68 } else { 0.3 };
        while rng.f64() < chance {
            number += 1;
            let node = number as usize % 2;
            let id = format!("{number:036}");
            let class = CLASSES[[0, 0, 0, 1, 2, 2, 3][rng.usize(0..7)]];
            let key = if ms > 6_000 && rng.f64() < 0.3 { 1 } else { rng.u64(0..300) * rng.u64(0..3) };
            let key = if rng.f64() < 0.1 { "-".to_owned() } else { (key + 100).to_string() };
            let party = ["south", "north", "0"][rng.usize(0..3)];
            let (patience, repeat) = (rng.u64(200..2_000) * MS, u8::from(rng.f64() < 0.1));
            write!(
                batch,
                "CONTEXT {node}\nQUERY {id} 0 {patience} {class} {} {repeat} {party} {key}\n",
                rng.u64(5..50) * MS
            )
            .unwrap();
            world.open.insert(id.clone(), (node, 0));
            if rng.f64() < 0.02 {
                world.later(now + 60 * MS, node, Due::Line(format!("LAPSED {id}")));
            }
        }
        while let Some(first) = world.due.first_entry().filter(|first| first.key().0 <= now) {
            let (node, due) = first.remove();
            if let Due::Line(line) = &due {
                if let Some(id) = line.strip_prefix("LAPSED ") {
                    world.open.remove(id);
                }
            }
            if let Some(line) = world.line(now, due, &mut rng) {
                write!(batch, "CONTEXT {node}\n{line}\n").unwrap();
            }
        }
        if batch.is_empty() {
            continue;
        }
        let batch = format!("BEGIN_BATCH {now} {tick}\n{batch}EOF_BATCH\n");
        text.push_str(&batch);
        let mut node = 0;
        for line in adapter.ask(&batch) {
            writeln!(text, "{ANSWER}{line}").unwrap();
            if let Some(named) = line.strip_prefix("ON_BEHALF ") {
                node = named.parse().unwrap();
            }
            world.take(now, node, &line, &mut rng);
        }
    }
    std::fs::write(FILE, text).unwrap();
}
