//! What a run of the soak is made of, drawn from its seed.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::shim::CallFaults;

/// The shares of requests that a server does not simply serve.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// Turned away without an effect.
    pub turned_away: f64,
    /// Answered with an error after the effect.
    pub failed: f64,
    /// Reset after the effect.
    pub reset: f64,
    /// Answered without end.
    pub endless: f64,
    /// Never answered.
    pub hung: f64,
    /// Answered with a long body.
    pub long: f64,
    /// Answered late, whatever the answer is.
    pub late: f64,
}

/// How many clients of each kind there are.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// Send one request after the other.
    pub sound: usize,
    /// Write their requests in pieces.
    pub slow: usize,
    /// Close their connection before the answer, and come again under the same id now and then.
    pub leaving: usize,
    /// Stop in the middle of a request.
    pub stopped: usize,
    /// Send small and unsound requests on one connection as fast as they can, under ever new names.
    pub flooding: usize,
    /// Come in hundreds, and are silent, slow, stopped or don't read.
    pub crowd: usize,
}

/// How the node processes are disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disturbance {
    /// Killed without a warning.
    Kill,
    /// Told to end, and killed as early as the platform may.
    Terminate,
    /// Stopped for 0.15 s.
    Pause,
    /// Discovery is silent for two seconds.
    DiscoveryOutage,
    /// The wall clock is stepped.
    ClockStep,
}

/// A disturbance of a node.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When, since the start of the load.
    pub at: Duration,
    /// The number of the node.
    pub node: usize,
    /// What happens.
    pub disturbance: Disturbance,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How long the load lasts.
    pub duration: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// The memory limit of a node.
    pub memory_mb: u64,
    /// The limit on descriptors of a node.
    pub descriptors: usize,
    /// Factor on the deadlines of all classes.
    pub deadline_factor: f64,
    /// What servers do.
    pub server_faults: ServerFaults,
    /// What clients do.
    pub clients: ClientCounts,
    /// Calls that fail.
    pub call_faults: CallFaults,
    /// What happens to nodes, in order.
    pub events: Vec<Event>,
    /// When a server is replaced at its address.
    pub replacements: Vec<Duration>,
    /// When a server drains.
    pub drains: Vec<Duration>,
    /// The names of the faults, for the table.
    pub faults: Vec<&'static str>,
}

/// Part of the runs in which a kind of fault is there.
const FAULT_SHARE: f64 = 0.45;
/// How long after the kill of a process the next one is started.
pub const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Longest time between the restart and the next kill in a series.
const MAX_SERIES_GAP_MS: u64 = 600;

impl Plan {
    /// Draws a plan.
    pub fn draw(seed: u64, duration: Duration) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let descriptors = *[256, 512, 1_024].choose(&mut rng).unwrap_or(&256);
        let memory_mb = *[32, 32, 64, 128, 192].choose(&mut rng).unwrap_or(&32);
        let (nodes, servers) = (rng.random_range(1..=3), rng.random_range(5..=12));
        let mut has = |name: &'static str, rng: &mut ChaCha8Rng| {
            let is_drawn = rng.random::<f64>() < FAULT_SHARE;
            if is_drawn {
                faults.push(name);
            }
            is_drawn
        };
        let mut server_faults = ServerFaults { turned_away: 0.005, failed: 0.005, ..ServerFaults::default() };
        for (name, share, drawn) in [
            ("late", &mut server_faults.late, 0.05),
            ("endless", &mut server_faults.endless, 0.02),
            ("long", &mut server_faults.long, 0.3),
            ("hung", &mut server_faults.hung, 0.01),
            ("reset", &mut server_faults.reset, 0.02),
        ] {
            *share = if has(name, &mut rng) { drawn } else { 0.0 };
        }
        let mut clients = ClientCounts { sound: 24, ..ClientCounts::default() };
        for (name, count, drawn) in [
            ("slow", &mut clients.slow, 8),
            ("leaving", &mut clients.leaving, 8),
            ("stopped", &mut clients.stopped, 20),
            ("flooding", &mut clients.flooding, 2),
            ("crowd", &mut clients.crowd, descriptors * 9 / 10),
        ] {
            *count = if has(name, &mut rng) { drawn } else { 0 };
        }
        let mut call_faults = CallFaults::default();
        if has("calls", &mut rng) {
            let ppm = 30_000;
            call_faults = CallFaults {
                socket_ppm: ppm,
                connect_ppm: ppm,
                accept_ppm: ppm,
                short_ppm: 100_000,
                wait_ppm: ppm,
            };
        }
        let mut plan = Plan {
            seed,
            duration,
            nodes,
            servers,
            memory_mb,
            descriptors,
            deadline_factor: *[0.3, 1.0].choose(&mut rng).unwrap_or(&1.0),
            server_faults,
            clients,
            call_faults,
            events: Vec::new(),
            replacements: Vec::new(),
            drains: Vec::new(),
            faults: Vec::new(),
        };
        for (name, disturbance) in [
            ("kill", Disturbance::Kill),
            ("term", Disturbance::Terminate),
            ("pause", Disturbance::Pause),
            ("outage", Disturbance::DiscoveryOutage),
            ("clock", Disturbance::ClockStep),
        ] {
            if has(name, &mut rng) {
                plan.draw_series(disturbance, &mut rng);
            }
        }
        plan.events.sort_by_key(|event| event.at);
        if has("replaced", &mut rng) {
            plan.replacements = draw_times(4, duration, &mut rng);
        }
        if has("drain", &mut rng) {
            plan.drains = draw_times(2, duration, &mut rng);
        }
        plan.faults = faults;
        plan
    }

    /// Draws a series of a disturbance for each of some nodes. Kills follow shortly after restarts.
    fn draw_series(&mut self, disturbance: Disturbance, rng: &mut ChaCha8Rng) {
        for node in (0..self.nodes).filter(|node| node % 2 == 0) {
            let mut at = draw_times(1, self.duration, rng)[0];
            for _ in 0..rng.random_range(1..=3) {
                self.events.push(Event { at, node, disturbance });
                at += RESTART_DELAY + Duration::from_millis(rng.random_range(150..=MAX_SERIES_GAP_MS));
            }
        }
    }
}

/// Draws times in the middle half of the run, in order.
fn draw_times(count: usize, duration: Duration, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times: Vec<Duration> =
        (0..count).map(|_| duration.mul_f64(rng.random_range(0.15..0.65))).collect();
    times.sort();
    times
}
