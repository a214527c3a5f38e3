//! The policy makes every decision of a node. Its interface (settings, events, actions) is `src/api.rs`.
//!
//! A request's key selects a slot of the Maglev table, and the slot's owner serves the request. If that
//! server cannot take it, the owner of a following slot does: see `Balancer::choose_server`.

mod health;
mod load;
mod membership;
mod request;
mod retry;
mod route;
mod serial_queue;
mod table;

use std::collections::{BTreeMap, HashMap, VecDeque};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use health::{Server, PANIC_SHARE, SILENCE_MIN_US, SILENCE_MULTIPLE};
use load::{ClassStats, LoadEstimate, FEW_EJECTED_SHARE, OVERLOAD_LATE_SHARE};
use request::PendingRequest;
use retry::{classify_outcome, Execution, RETRY_TOKENS_MAX, RETRY_TOKENS_PER_REQUEST};
use route::{KeyCount, COLD_LOAD_CAP, TRAFFIC_COUNT_DECAY};
use serial_queue::SerialQueue;
pub use table::{build_table, TABLE_SLOTS};
use table::{slot_rank, KEY_SEED};

/// Interval of the sweep, the periodic pass over the servers.
const SWEEP_PERIOD_US: Micros = 100_000;
/// Largest number of nodes of a small group. In a larger one, a node sees only a small part of the traffic of
/// all nodes.
const SMALL_GROUP_MAX_NODES: u32 = 24;

/// The mean answer time of a class starts at the aim of the class divided by this.
const INITIAL_MEAN_AIM_DIVISOR: f64 = 4.0;

const MICROS_PER_S: f64 = 1e6;
const SWEEPS_PER_S: f64 = MICROS_PER_S / SWEEP_PERIOD_US as f64;

const TIMER_SWEEP: TimerId = TimerId(1);
const TIMER_SUBSCRIBE: TimerId = TimerId(2);
/// The id of the timer that ends the cooldown of a serial key is this number plus the key.
const TIMER_COOLDOWN_BASE: u64 = 16;

/// The policy of one node.
pub struct Balancer {
    settings: Settings,
    is_large_group: bool,
    rng: Rng,
    now: Micros,
    servers: Vec<Server>,
    /// Index of each server in `servers`.
    server_index: HashMap<ServerId, usize>,
    /// Owner of each slot, as an index into `servers`.
    table: Vec<u32>,
    is_table_stale: bool,
    /// Total size of the servers in service.
    total_size: f64,
    /// Attempts in flight to all servers.
    in_flight: u32,
    requests: HashMap<RequestId, PendingRequest>,
    serial_queues: BTreeMap<Key, SerialQueue>,
    class_stats: Vec<ClassStats>,
    /// Decaying counts of the requests of each tenant.
    tenant_counts: Vec<f64>,
    key_counts: Vec<KeyCount>,
    /// Seconds of traffic that the decaying counts cover, except those of keys.
    window_s: f64,
    retry_tokens: f64,
    load: LoadEstimate,
    is_subscribed: bool,
    /// Failed calls to discovery and broken subscriptions since the last complete list or delta.
    failed_syncs: u32,
}

impl Balancer {
    /// Creates a node's policy. `seed` feeds random choices only, nothing that nodes must agree on.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let initial_stats = |class: &Class| ClassStats {
            mean_us: class.aim as f64 / INITIAL_MEAN_AIM_DIVISOR,
            ..ClassStats::default()
        };
        Balancer {
            is_large_group: settings.group_size > SMALL_GROUP_MAX_NODES,
            tenant_counts: vec![0.0; settings.tenants.len()],
            rng: Rng::with_seed(seed),
            now: 0,
            servers: Vec::new(),
            server_index: HashMap::new(),
            table: Vec::new(),
            is_table_stale: false,
            total_size: 0.0,
            in_flight: 0,
            requests: HashMap::new(),
            serial_queues: BTreeMap::new(),
            class_stats: settings.classes.iter().map(initial_stats).collect(),
            key_counts: Vec::new(),
            window_s: 1.0,
            retry_tokens: RETRY_TOKENS_MAX,
            load: LoadEstimate { in_flight_limit: f64::INFINITY, ..LoadEstimate::default() },
            is_subscribed: false,
            failed_syncs: 0,
            settings,
        }
    }

    /// Handles one event and appends the actions that follow from it to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Sync { kind, members } => self.on_sync(kind, members, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::AttemptEnded(attempt) => self.on_attempt_ended(attempt, actions),
            Event::RequestEnded(id) => self.end_request(id, actions),
            Event::ProbeEnded { server, outcome, .. } => self.on_probe_ended(server, outcome),
            Event::TimerExpired(TIMER_SWEEP) => self.sweep(actions),
            Event::TimerExpired(TimerId(n)) if n >= TIMER_COOLDOWN_BASE => {
                self.advance_serial_queue(Key(n - TIMER_COOLDOWN_BASE), actions)
            }
            Event::TimerExpired(TIMER_SUBSCRIBE) if !self.is_subscribed => actions.push(Action::Subscribe),
            Event::TimerExpired(_) | Event::ResponseStarted { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Draws a time from half to one and a half times the span, so that nodes do not act in step.
    fn jitter(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.u64(0..=span)
    }
}

/// Converts an observation to a sample of a smoothed fraction: 1 for true, 0 for false.
fn to_sample(is_observed: bool) -> f64 {
    f64::from(u8::from(is_observed))
}
