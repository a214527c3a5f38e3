//! A simulated fleet whose actual state is known. Reports and observations about it reach the audit late, twice or
//! never.

use std::collections::BTreeMap;

use audit::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SERVER_COUNT: usize = 3;
/// The longest step of the simulation. A healthy node acts on a revision before its grace time is over, at the last
/// step that still allows it.
const MAX_STEP_MS: Ms = 700;

/// How a simulated node behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Acts on each revision well within the grace time.
    Healthy,
    /// Stays on a revision, and reports so.
    Stuck,
    /// Stays on a revision, and reports the newest one.
    Misreporting,
    /// Is behind from time to time.
    Flapping,
    /// Its process ends soon after it acts on a bad revision.
    Crashing,
}

/// The actual state of a simulated node.
#[derive(Clone, Debug)]
pub struct SimNode {
    pub behavior: Behavior,
    pub incarnation: u64,
    /// The first revision that the present process acted on.
    pub first_revision: Revision,
    /// The revision that the node acts on now.
    pub acts_on: Revision,
    /// The oldest revision of an attempt in flight, and until when the attempt is in flight.
    pub in_flight: (Revision, Ms),
    /// Since when the present process has acted on every revision that it was required to act on.
    pub up_to_date_since: Option<Ms>,
    /// Until when the node sends no reports.
    pub silent_until: Ms,
    pub zone: usize,
    /// Whether the lease has expired and the agent has not registered the node again.
    pub is_lease_expired: bool,
}

pub struct World {
    pub audit: Audit,
    pub config: Config,
    pub rng: ChaCha8Rng,
    pub now: Ms,
    pub nodes: BTreeMap<String, SimNode>,
    pub commits: Vec<(Revision, Ms)>,
    /// The probability that a step commits a new revision.
    pub commit_probability: f64,
    /// The revision after which nodes crash.
    pub bad_revision: Option<Revision>,
    /// Reports and observations that are on their way, with their time of arrival.
    pub in_transit: Vec<(Ms, Event)>,
    /// The number of the newest history entry that was checked.
    pub checked_number: u64,
    /// The events as they were applied, to apply them to another replica.
    pub log: Vec<(Ms, Event)>,
}

impl World {
    pub fn new(seed: u64, config: Config) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node_count = rng.random_range(4..14);
        let zones = rng.random_range(1..4);
        const FAULTY: [Behavior; 4] =
            [Behavior::Stuck, Behavior::Misreporting, Behavior::Flapping, Behavior::Crashing];
        let faulty = [FAULTY[rng.random_range(0..4)], FAULTY[rng.random_range(0..4)]];
        let faulty_probability = [0.0, 0.1, 0.3, 0.9][rng.random_range(0..4)];
        let new_node = |rng: &mut ChaCha8Rng, zone| SimNode {
            behavior: if rng.random_bool(faulty_probability) {
                faulty[rng.random_range(0..2)]
            } else {
                Behavior::Healthy
            },
            incarnation: 1,
            first_revision: 0,
            acts_on: 0,
            in_flight: (0, 0),
            up_to_date_since: Some(0),
            silent_until: 0,
            zone,
            is_lease_expired: false,
        };
        let nodes = (0..node_count).map(|n| (format!("n{n}"), new_node(&mut rng, n % zones))).collect();
        let commit_probability = [0.06, 0.06, 0.5][rng.random_range(0..3)];
        let audit = Audit::new(config.clone());
        let mut world = World {
            audit,
            config,
            rng,
            now: 1_000,
            nodes,
            commits: Vec::new(),
            commit_probability,
            bad_revision: None,
            in_transit: Vec::new(),
            checked_number: 0,
            log: Vec::new(),
        };
        let names: Vec<String> = world.nodes.keys().cloned().collect();
        names.iter().for_each(|name| world.register(name));
        world
    }

    pub fn apply(&mut self, event: Event) {
        self.audit.apply(self.now, &event);
        self.log.push((self.now, event));
    }

    fn register(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).unwrap();
        node.is_lease_expired = false;
        let (zone, incarnation) = (format!("z{}", node.zone), node.incarnation);
        let (program, config) = ("1.0".to_owned(), "a".to_owned());
        self.apply(Event::Joined {
            node: name.to_owned(),
            pool: "p".into(),
            zone,
            incarnation,
            program,
            config,
        });
    }

    /// The revision that a node is required to act on at log time `at`.
    pub fn required_revision(&self, at: Ms) -> Revision {
        let required =
            self.commits.iter().rev().find(|(_, committed)| committed + self.config.grace_ms <= at);
        required.map_or(0, |(revision, _)| *revision)
    }

    pub fn newest(&self) -> Revision {
        self.commits.last().map_or(0, |(revision, _)| *revision)
    }

    /// Advances the simulation by a few hundred milliseconds.
    pub fn step(&mut self) {
        self.now += self.rng.random_range(100..MAX_STEP_MS);
        if self.rng.random_bool(self.commit_probability) {
            let revision = self.newest() + self.rng.random_range(1..9);
            self.commits.push((revision, self.now));
            if self.bad_revision.is_none() && self.rng.random_bool(0.2) {
                self.bad_revision = Some(revision);
            }
            self.apply(Event::Committed { revision, unix_ms: self.now });
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            self.act(name);
            self.send_reports(name);
        }
        let now = self.now;
        let mut arrived: Vec<(Ms, Event)> = Vec::new();
        self.in_transit.retain(|message| {
            let has_arrived = message.0 <= now;
            arrived.extend(has_arrived.then(|| message.clone()));
            !has_arrived
        });
        arrived.sort_by_key(|(at, _)| *at);
        for (_, event) in arrived {
            // An unnecessary retry delivers an event twice.
            let is_duplicated = self.rng.random_bool(0.05);
            self.apply(event.clone());
            if is_duplicated {
                self.apply(event);
            }
        }
        // An agent may be unreachable while its node goes on serving.
        if self.rng.random_bool(0.01) {
            let node = names[self.rng.random_range(0..names.len())].clone();
            self.nodes.get_mut(&node).unwrap().is_lease_expired = true;
            self.apply(Event::LeaseExpired { node });
        }
        for name in &names {
            if self.nodes[name].is_lease_expired && self.rng.random_bool(0.03) {
                self.register(name);
            }
        }
        self.apply(Event::Tick);
        self.carry_out_restarts(&names);
    }

    /// Lets a node act according to its behavior.
    fn act(&mut self, name: &str) {
        let (now, newest) = (self.now, self.newest());
        let required_by_next_step = self.required_revision(self.now + MAX_STEP_MS);
        let bad_revision = self.bad_revision;
        // Lets a flapping node catch up, or a crashing one crash.
        let is_triggered = self.rng.random_bool(0.03);
        let goes_silent = self.rng.random_bool(0.01);
        let catches_up = self.rng.random_bool(0.3);
        let required = self.required_revision(now);
        let node = self.nodes.get_mut(name).unwrap();
        if goes_silent {
            node.silent_until = now + 20_000;
        }
        let before = node.acts_on;
        match node.behavior {
            Behavior::Healthy => {
                node.acts_on = if catches_up { newest } else { node.acts_on.max(required_by_next_step) };
            }
            Behavior::Stuck | Behavior::Misreporting => {
                if node.acts_on == 0 {
                    node.acts_on = newest;
                }
            }
            Behavior::Flapping => {
                if is_triggered || node.acts_on == 0 {
                    node.acts_on = newest;
                }
            }
            Behavior::Crashing => {
                node.acts_on = node.acts_on.max(required_by_next_step);
            }
        }
        if node.acts_on > before {
            node.in_flight = (before, now + 1_000);
        }
        let is_up_to_date = node.acts_on >= required;
        node.up_to_date_since = if is_up_to_date { node.up_to_date_since.or(Some(now)) } else { None };
        let acts_on_bad = bad_revision.is_some_and(|bad| node.acts_on >= bad);
        if node.behavior == Behavior::Crashing && acts_on_bad && is_triggered {
            self.restart(name);
        }
    }

    pub fn restart(&mut self, name: &str) {
        let newest = self.newest();
        let node = self.nodes.get_mut(name).unwrap();
        node.incarnation += 1;
        (node.acts_on, node.first_revision) = (newest, newest);
        node.in_flight = (newest, 0);
        // The new process of a stuck or misreporting node is up to date until the next revision is required.
        self.register(name);
    }

    /// Draws which report and observation of a node are sent, and when they arrive.
    fn send_reports(&mut self, name: &str) {
        let node = self.nodes[name].clone();
        let is_shut_out = self.audit.nodes()[name].admission == Admission::ShutOut;
        // Log time reaches a node and a server up to 400 ms late.
        let not_before = self.now.saturating_sub(self.rng.random_range(0..400));
        let at = Timestamp { not_before, unix_ms: self.now };
        let arrives_at = self.now + self.rng.random_range(0..3_000);
        if node.silent_until < self.now && self.rng.random_bool(0.5) {
            let reported = if node.behavior == Behavior::Misreporting { self.newest() } else { node.acts_on };
            let oldest = if self.now < node.in_flight.1 { node.in_flight.0 } else { node.acts_on };
            let report = Report {
                node: name.to_owned(),
                incarnation: node.incarnation,
                current_revision: reported,
                oldest_in_flight: oldest.min(reported),
                decisions: vec![(reported, 3)],
                rejected_revision: None,
                at,
            };
            self.in_transit.push((arrives_at, Event::Reported(report)));
        }
        if !is_shut_out && self.rng.random_bool(0.5) {
            // An attempt that was decided on earlier may still be in flight.
            let is_late = self.now < node.in_flight.1 && self.rng.random_bool(0.5);
            let observation = Observation {
                node: name.to_owned(),
                incarnation: node.incarnation,
                revision: if is_late { node.in_flight.0 } else { node.acts_on },
                count: 2,
                refused: 0,
                requests_after_drain: Vec::new(),
                first: at,
                last: at,
            };
            let server = format!("s{}", self.rng.random_range(0..SERVER_COUNT));
            self.in_transit.push((arrives_at, Event::Observed { server, observations: vec![observation] }));
        }
    }

    /// Restarts nodes whose escalation step asks for it, with a small probability at each step.
    fn carry_out_restarts(&mut self, names: &[String]) {
        for name in names {
            let node = &self.audit.nodes()[name];
            let must_restart = node.step == EscalationStep::Restarted && self.now > node.step_since + 500;
            let is_same_process = node.incarnation == self.nodes[name].incarnation;
            if must_restart && is_same_process && self.rng.random_bool(0.05) {
                self.restart(name);
            }
        }
    }
}
