//! What the decisions cost: a request with its outcome, a change of the list with the rebuild of the table,
//! and a sweep, for fleets of several sizes; each against a floor measured in the same run.
//!
//! `cargo bench --bench core` prints criterion's figures and at the end the ratios. An argument runs only the
//! benchmarks whose name it is a part of (the floors as well, if it is to print ratios).

use std::hint::black_box;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use serde_json::Value;
use woodgap::policy::TABLE_SLOTS;
use woodgap::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SERVERS: [u32; 4] = [12, 60, 200, 1_000];
const NODES: [u32; 3] = [2, 100, 300];
/// Requests between two sweeps.
const BETWEEN: u64 = 100;
/// Distinct keys: as many as a site of the largest size has.
const KEYS: u64 = 5_700;

/// A node that has seen some traffic.
struct Node {
    balancer: Balancer,
    now: Micros,
    next: u64,
    out: Vec<Action>,
    servers: u32,
}

fn member(n: u32, state: ServerState) -> Member {
    Member {
        server: ServerId(n.wrapping_mul(2_654_435_761)),
        zone: ZoneId(n % 2),
        cell: CellId(u64::from(n / 8)),
        state,
        size: [1.0, 1.5, 0.6][n as usize % 3],
        started_at: 0,
    }
}

impl Node {
    fn new(servers: u32, nodes: u32) -> Node {
        let class = |aim, semantics| Class {
            aim,
            deadline: 4 * aim,
            points: 1.0,
            late_share: 0.0,
            semantics,
            is_serial_by_key: false,
        };
        let settings = Settings {
            group_size: nodes,
            classes: vec![
                class(1_500_000, Semantics::Safe),
                class(300_000, Semantics::Safe),
                class(750_000, Semantics::Safe),
                class(1_000_000, Semantics::Unsafe),
            ],
            weight_source: WeightSource::Nominal,
            worth_by: WorthBy::Work,
            servers_cache_keys: true,
            can_cancel: true,
            max_attempts: 4,
            sends_retry_after: true,
            start_capacity: 0.3,
            ramp_time: 9_000_000,
            cold_overload_multiple: 3.0,
            ..Settings::default()
        };
        let balancer = Balancer::new(settings, 1);
        let mut node = Node { balancer, now: 1_000_000, next: 0, out: Vec::new(), servers };
        let members = (0..servers).map(|n| member(n, ServerState::InService)).collect();
        node.event(Event::Sync { kind: SyncKind::Cached, members });
        for _ in 0..20 * BETWEEN {
            node.request();
        }
        node.sweep();
        node
    }

    fn event(&mut self, event: Event) {
        self.out.clear();
        self.balancer.on_event(self.now, event, &mut self.out);
    }

    /// A request and its outcome. Keys: half of the requests share a twentieth of them.
    fn request(&mut self) {
        self.next += 1;
        self.now += 1_000;
        let mut bytes = [b'0'; 36];
        bytes[..8].copy_from_slice(&self.next.to_le_bytes());
        let id = RequestId(bytes);
        let drawn = self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        let key = drawn % if self.next.is_multiple_of(2) { KEYS / 20 } else { KEYS };
        self.event(Event::Request(Request {
            id,
            time_left: 1_000_000,
            class: ClassId((self.next % 4) as usize),
            cost: None,
            is_client_retry: false,
            tenant: None,
            key: Some(Key(key)),
        }));
        let Some(&Action::Send { server, .. }) = self.out.first() else {
            panic!("a calm node sends each request: {:?}", self.out);
        };
        let closed = AttemptEnd {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed: 40_000,
            is_request_done: true,
            load_report: Vec::new(),
        };
        self.event(Event::AttemptEnded(closed));
    }

    fn sweep(&mut self) {
        self.now += 100_000;
        self.event(Event::TimerExpired(TimerId(1)));
    }

    /// One server drains or comes back; the request is the first to need the new table.
    fn rebuild(&mut self) {
        let states = [ServerState::InService, ServerState::Terminating];
        let state = states[(self.next % 2) as usize];
        let members = vec![member(self.servers / 2, state)];
        self.event(Event::Sync { kind: SyncKind::Delta, members });
        self.request();
    }
}

/// The time of `times` runs of `work`, with a sweep that does not count between some of them.
fn timed(node: &mut Node, times: u64, mut work: impl FnMut(&mut Node)) -> Duration {
    let (mut spent, mut left) = (Duration::ZERO, times);
    while left > 0 {
        let now = left.min(BETWEEN);
        let start = Instant::now();
        for _ in 0..now {
            work(node);
        }
        spent += start.elapsed();
        node.sweep();
        left -= now;
    }
    spent
}

fn floors(criterion: &mut Criterion) {
    let table: Vec<u32> = (0..TABLE_SLOTS as u32).collect();
    let mut group = criterion.benchmark_group("floor");
    group.bench_function("request", |b| {
        let mut key = 0u64;
        b.iter(|| {
            key = key.wrapping_add(0x9E37_79B9_7F4A_7C15);
            let hash = xxh3_64_with_seed(&black_box(key).to_le_bytes(), 1);
            black_box(table[(hash % TABLE_SLOTS as u64) as usize])
        });
    });
    group.bench_function("rebuild", |b| {
        b.iter(|| {
            let mut table = vec![u32::MAX; TABLE_SLOTS];
            for (slot, owner) in table.iter_mut().enumerate() {
                *owner = black_box(slot as u32);
            }
            table
        });
    });
    for servers in SERVERS {
        let numbers: Vec<f64> = (0..servers).map(f64::from).collect();
        group.bench_function(BenchmarkId::new("sweep", servers), |b| {
            b.iter(|| black_box(&numbers).iter().fold(0.0, |sum, number| sum + black_box(*number)));
        });
    }
    group.finish();
}

fn decisions(criterion: &mut Criterion) {
    type Work = fn(&mut Node);
    let works: [(&str, Work); 3] =
        [("request", Node::request), ("rebuild", Node::rebuild), ("sweep", Node::sweep)];
    for (name, work) in works {
        let mut group = criterion.benchmark_group(name);
        for servers in SERVERS {
            for nodes in NODES {
                let mut node = Node::new(servers, nodes);
                group.bench_function(BenchmarkId::new(servers.to_string(), nodes), |b| {
                    b.iter_custom(|times| timed(&mut node, times, work));
                });
            }
        }
        group.finish();
    }
}

/// The median that criterion wrote down, in nanoseconds.
fn median(results: &Path, name: &str) -> Option<f64> {
    let text = std::fs::read_to_string(results.join(name).join("new/estimates.json")).ok()?;
    serde_json::from_str::<Value>(&text).ok()?["median"]["point_estimate"].as_f64()
}

fn print_ratios(results: &Path) {
    println!(
        "\n{:8} {:>7} {:>5}  {:>12}  {:>12}  {:>9}",
        "what", "servers", "nodes", "median ns", "floor ns", "ratio"
    );
    for what in ["request", "rebuild", "sweep"] {
        for servers in SERVERS {
            for nodes in NODES {
                let floor =
                    if what == "sweep" { format!("floor/sweep/{servers}") } else { format!("floor/{what}") };
                let measured = median(results, &format!("{what}/{servers}/{nodes}"));
                if let (Some(ns), Some(floor)) = (measured, median(results, &floor)) {
                    println!("{what:8} {servers:7} {nodes:5}  {ns:12.0}  {floor:12.1}  {:9.1}", ns / floor);
                }
            }
        }
    }
}

fn main() {
    // Where nothing older lies: what is not run now is not printed.
    let results = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("core-{}", std::process::id()));
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(600))
        .without_plots()
        .output_directory(&results)
        .configure_from_args();
    floors(&mut criterion);
    decisions(&mut criterion);
    print_ratios(&results);
    criterion.final_summary();
    let _ = std::fs::remove_dir_all(&results);
}
