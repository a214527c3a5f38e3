//! Benchmarks of the policy: a request with its outcome, a change of the list with the rebuild of the table,
//! and a sweep, for fleets of several sizes. Each is compared with a floor, the least work that any
//! implementation needs for the operation, which is measured in the same run.
//!
//! `cargo bench --bench core` prints criterion's figures, then the ratios to the floors. An argument selects
//! the benchmarks whose name contains it; for ratios it must select the floors as well.

use std::hint::black_box;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion};
use serde_json::Value;
use woodgap::policy::TABLE_SLOTS;
use woodgap::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SERVER_COUNTS: [u32; 4] = [12, 60, 200, 1_000];
const NODE_COUNTS: [u32; 3] = [2, 100, 300];
/// Requests between two sweeps.
const REQUESTS_PER_SWEEP: u64 = 100;
/// Distinct keys: as many as a site of the largest size has.
const KEY_COUNT: u64 = 5_700;
/// Multipliers that turn successive numbers into pseudo-random server ids and keys.
const SERVER_ID_MULTIPLIER: u32 = 2_654_435_761;
const KEY_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Interval and timer of the policy's sweep.
const SWEEP_PERIOD_US: Micros = 100_000;
const TIMER_SWEEP: TimerId = TimerId(1);

/// A node, its simulated clock, and the actions that the last event led to.
struct Node {
    balancer: Balancer,
    now: Micros,
    requests: u64,
    actions: Vec<Action>,
    /// Number of servers on the list.
    servers: u32,
}

/// An entry of the server list.
fn member(n: u32, state: ServerState) -> Member {
    Member {
        server: ServerId(n.wrapping_mul(SERVER_ID_MULTIPLIER)),
        zone: ZoneId(n % 2),
        cell: CellId(u64::from(n / 8)),
        state,
        size: [1.0, 1.5, 0.6][n as usize % 3],
        started_at: 0,
    }
}

impl Node {
    /// Creates a node of a group of `nodes` that has served some requests.
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
        let mut node = Node { balancer, now: 1_000_000, requests: 0, actions: Vec::new(), servers };
        let members = (0..servers).map(|n| member(n, ServerState::InService)).collect();
        node.feed(Event::Sync { kind: SyncKind::Cached, members });
        for _ in 0..20 * REQUESTS_PER_SWEEP {
            node.serve_request();
        }
        node.run_sweep();
        node
    }

    fn feed(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.on_event(self.now, event, &mut self.actions);
    }

    /// Feeds a request and its outcome. Half of the requests share a twentieth of the keys.
    fn serve_request(&mut self) {
        self.requests += 1;
        self.now += 1_000;
        let mut bytes = [b'0'; 36];
        bytes[..8].copy_from_slice(&self.requests.to_le_bytes());
        let id = RequestId(bytes);
        let random = self.requests.wrapping_mul(KEY_MULTIPLIER) >> 32;
        let key = random % if self.requests.is_multiple_of(2) { KEY_COUNT / 20 } else { KEY_COUNT };
        self.feed(Event::Request(Request {
            id,
            time_left: 1_000_000,
            class: ClassId((self.requests % 4) as usize),
            cost: None,
            is_client_retry: false,
            tenant: None,
            key: Some(Key(key)),
        }));
        let Some(&Action::Send { server, .. }) = self.actions.first() else {
            panic!("a node without load sends each request: {:?}", self.actions);
        };
        let end = AttemptEnd {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            elapsed: 40_000,
            is_request_done: true,
            load_report: Vec::new(),
        };
        self.feed(Event::AttemptEnded(end));
    }

    fn run_sweep(&mut self) {
        self.now += SWEEP_PERIOD_US;
        self.feed(Event::TimerExpired(TIMER_SWEEP));
    }

    /// Takes a server out of service or back; the request that follows is the first to need the new table.
    fn rebuild_table(&mut self) {
        let states = [ServerState::InService, ServerState::Terminating];
        let state = states[(self.requests % 2) as usize];
        let members = vec![member(self.servers / 2, state)];
        self.feed(Event::Sync { kind: SyncKind::Delta, members });
        self.serve_request();
    }
}

/// Returns the time of a number of runs of an operation, without the sweeps between them.
fn time_runs(node: &mut Node, runs: u64, mut operation: impl FnMut(&mut Node)) -> Duration {
    let (mut elapsed, mut left) = (Duration::ZERO, runs);
    while left > 0 {
        let batch = left.min(REQUESTS_PER_SWEEP);
        let start = Instant::now();
        for _ in 0..batch {
            operation(node);
        }
        elapsed += start.elapsed();
        node.run_sweep();
        left -= batch;
    }
    elapsed
}

/// Measures the floors: a hash and a lookup for a request, a write per slot for a rebuild, and a read per
/// server for a sweep.
fn bench_floors(criterion: &mut Criterion) {
    let table: Vec<u32> = (0..TABLE_SLOTS as u32).collect();
    let mut group = criterion.benchmark_group("floor");
    group.bench_function("request", |b| {
        let mut key = 0u64;
        b.iter(|| {
            key = key.wrapping_add(KEY_MULTIPLIER);
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
    for servers in SERVER_COUNTS {
        let numbers: Vec<f64> = (0..servers).map(f64::from).collect();
        group.bench_function(BenchmarkId::new("sweep", servers), |b| {
            b.iter(|| black_box(&numbers).iter().fold(0.0, |sum, number| sum + black_box(*number)));
        });
    }
    group.finish();
}

fn bench_policy(criterion: &mut Criterion) {
    type Operation = fn(&mut Node);
    let operations: [(&str, Operation); 3] =
        [("request", Node::serve_request), ("rebuild", Node::rebuild_table), ("sweep", Node::run_sweep)];
    for (name, operation) in operations {
        let mut group = criterion.benchmark_group(name);
        for servers in SERVER_COUNTS {
            for nodes in NODE_COUNTS {
                let mut node = Node::new(servers, nodes);
                group.bench_function(BenchmarkId::new(servers.to_string(), nodes), |b| {
                    b.iter_custom(|runs| time_runs(&mut node, runs, operation));
                });
            }
        }
        group.finish();
    }
}

/// Reads the median that criterion wrote, in nanoseconds.
fn read_median_ns(results: &Path, name: &str) -> Option<f64> {
    let text = std::fs::read_to_string(results.join(name).join("new/estimates.json")).ok()?;
    serde_json::from_str::<Value>(&text).ok()?["median"]["point_estimate"].as_f64()
}

fn print_ratios(results: &Path) {
    println!(
        "\n{:8} {:>7} {:>5}  {:>12}  {:>12}  {:>9}",
        "what", "servers", "nodes", "median ns", "floor ns", "ratio"
    );
    for operation in ["request", "rebuild", "sweep"] {
        for servers in SERVER_COUNTS {
            for nodes in NODE_COUNTS {
                let floor = if operation == "sweep" {
                    format!("floor/sweep/{servers}")
                } else {
                    format!("floor/{operation}")
                };
                let measured = read_median_ns(results, &format!("{operation}/{servers}/{nodes}"));
                if let (Some(ns), Some(floor)) = (measured, read_median_ns(results, &floor)) {
                    println!(
                        "{operation:8} {servers:7} {nodes:5}  {ns:12.0}  {floor:12.1}  {:9.1}",
                        ns / floor
                    );
                }
            }
        }
    }
}

fn main() {
    // A new directory, so that the ratios leave out older results of benchmarks that do not run now.
    let results = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("core-{}", std::process::id()));
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(600))
        .without_plots()
        .output_directory(&results)
        .configure_from_args();
    bench_floors(&mut criterion);
    bench_policy(&mut criterion);
    print_ratios(&results);
    criterion.final_summary();
    let _ = std::fs::remove_dir_all(&results);
}
