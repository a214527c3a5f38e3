//! A fleet whose truth is known, and the words about it that reach the audit late, doubled or never.

use std::collections::BTreeMap;

use audit::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SERVERS: usize = 3;
/// A sound node acts on a revision before its grace is over, at the last step that still allows it.
const LONGEST_STEP: Ms = 700;

/// What a node is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Acts on each revision well within the grace.
    Sound,
    /// Stays on a revision, and says so.
    Stuck,
    /// Stays on a revision, and says that it does not.
    Liar,
    /// Is behind at times.
    Flapping,
    /// Ends soon after it acts on a bad revision.
    Crashing,
}

/// A node as it truly is.
#[derive(Clone, Debug)]
pub struct Truth {
    pub kind: Kind,
    pub incarnation: u64,
    /// What its present process acted on first.
    pub began: Revision,
    pub acts: Revision,
    /// The oldest that is under way, until when.
    pub under_way: (Revision, Ms),
    /// Since when it has acted on all that it had to, by its own process.
    pub sound_since: Option<Ms>,
    pub silent_until: Ms,
    pub zone: usize,
    /// Its lease has run out and its agent has not come back.
    pub lost: bool,
}

pub struct World {
    pub audit: Audit,
    pub config: Config,
    pub rng: ChaCha8Rng,
    pub now: Ms,
    pub nodes: BTreeMap<String, Truth>,
    pub commits: Vec<(Revision, Ms)>,
    /// How likely a step changes the list.
    pub changes: f64,
    pub bad: Option<Revision>,
    /// Words under way: when they arrive.
    pub words: Vec<(Ms, Event)>,
    /// The newest happening that was looked at.
    pub read: u64,
    /// Events as they were applied, for another replica.
    pub log: Vec<(Ms, Event)>,
}

impl World {
    pub fn new(seed: u64, config: Config) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all = rng.random_range(4..14);
        let zones = rng.random_range(1..4);
        const ODD: [Kind; 4] = [Kind::Stuck, Kind::Liar, Kind::Flapping, Kind::Crashing];
        let odd = [ODD[rng.random_range(0..4)], ODD[rng.random_range(0..4)]];
        let part = [0.0, 0.1, 0.3, 0.9][rng.random_range(0..4)];
        let truth = |rng: &mut ChaCha8Rng, zone| Truth {
            kind: if rng.random_bool(part) { odd[rng.random_range(0..2)] } else { Kind::Sound },
            incarnation: 1,
            began: 0,
            acts: 0,
            under_way: (0, 0),
            sound_since: Some(0),
            silent_until: 0,
            zone,
            lost: false,
        };
        let nodes = (0..all).map(|n| (format!("n{n}"), truth(&mut rng, n % zones))).collect();
        let changes = [0.06, 0.06, 0.5][rng.random_range(0..3)];
        let audit = Audit::new(config.clone());
        let mut world = World {
            audit,
            config,
            rng,
            now: 1_000,
            nodes,
            commits: Vec::new(),
            changes,
            bad: None,
            words: Vec::new(),
            read: 0,
            log: Vec::new(),
        };
        let names: Vec<String> = world.nodes.keys().cloned().collect();
        names.iter().for_each(|name| world.join(name));
        world
    }

    pub fn apply(&mut self, event: Event) {
        self.audit.apply(self.now, &event);
        self.log.push((self.now, event));
    }

    fn join(&mut self, name: &str) {
        let truth = self.nodes.get_mut(name).unwrap();
        truth.lost = false;
        let (zone, incarnation) = (format!("z{}", truth.zone), truth.incarnation);
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

    /// What a node has to act on by a time at the latest.
    pub fn due(&self, at: Ms) -> Revision {
        let due = self.commits.iter().rev().find(|(_, when)| when + self.config.grace <= at);
        due.map_or(0, |(revision, _)| *revision)
    }

    pub fn newest(&self) -> Revision {
        self.commits.last().map_or(0, |(revision, _)| *revision)
    }

    /// A step of some hundred milliseconds.
    pub fn step(&mut self) {
        self.now += self.rng.random_range(100..LONGEST_STEP);
        if self.rng.random_bool(self.changes) {
            let revision = self.newest() + self.rng.random_range(1..9);
            self.commits.push((revision, self.now));
            if self.bad.is_none() && self.rng.random_bool(0.2) {
                self.bad = Some(revision);
            }
            self.apply(Event::Committed { revision, unix_ms: self.now });
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            self.live(name);
            self.talk(name);
        }
        let now = self.now;
        let mut due: Vec<(Ms, Event)> = Vec::new();
        self.words.retain(|word| {
            let arrives = word.0 <= now;
            due.extend(arrives.then(|| word.clone()));
            !arrives
        });
        due.sort_by_key(|(at, _)| *at);
        for (_, event) in due {
            // A retry that was not needed brings a word twice.
            let twice = self.rng.random_bool(0.05);
            self.apply(event.clone());
            if twice {
                self.apply(event);
            }
        }
        // An agent may be out of reach; its node serves on.
        if self.rng.random_bool(0.01) {
            let node = names[self.rng.random_range(0..names.len())].clone();
            self.nodes.get_mut(&node).unwrap().lost = true;
            self.apply(Event::Lost { node });
        }
        for name in &names {
            if self.nodes[name].lost && self.rng.random_bool(0.03) {
                self.join(name);
            }
        }
        self.apply(Event::Tick);
        self.obey(&names);
    }

    /// What a node does by its nature.
    fn live(&mut self, name: &str) {
        let (now, newest, due) = (self.now, self.newest(), self.due(self.now + LONGEST_STEP));
        let bad = self.bad;
        let flaps = self.rng.random_bool(0.03);
        let goes_silent = self.rng.random_bool(0.01);
        let catches_up = self.rng.random_bool(0.3);
        let known_due = self.due(now);
        let truth = self.nodes.get_mut(name).unwrap();
        if goes_silent {
            truth.silent_until = now + 20_000;
        }
        let before = truth.acts;
        match truth.kind {
            Kind::Sound => {
                truth.acts = if catches_up { newest } else { truth.acts.max(due) };
            }
            Kind::Stuck | Kind::Liar => {
                if truth.acts == 0 {
                    truth.acts = newest;
                }
            }
            Kind::Flapping => {
                if flaps || truth.acts == 0 {
                    truth.acts = newest;
                }
            }
            Kind::Crashing => {
                truth.acts = truth.acts.max(due);
            }
        }
        if truth.acts > before {
            truth.under_way = (before, now + 1_000);
        }
        let sound = truth.acts >= known_due;
        truth.sound_since = if sound { truth.sound_since.or(Some(now)) } else { None };
        if truth.kind == Kind::Crashing && bad.is_some_and(|bad| truth.acts >= bad) && flaps {
            self.restart(name);
        }
    }

    pub fn restart(&mut self, name: &str) {
        let newest = self.newest();
        let truth = self.nodes.get_mut(name).unwrap();
        truth.incarnation += 1;
        (truth.acts, truth.began) = (newest, newest);
        truth.under_way = (newest, 0);
        // A new process of a stuck or lying node is a sound one for a time.
        self.join(name);
    }

    /// What is said of a node, and when it arrives.
    fn talk(&mut self, name: &str) {
        let truth = self.nodes[name].clone();
        let out = self.audit.nodes()[name].admission == Admission::Out;
        let heard = self.now.saturating_sub(self.rng.random_range(0..400));
        let at = Stamp { after: heard, unix_ms: self.now };
        let arrives = self.now + self.rng.random_range(0..3_000);
        if truth.silent_until < self.now && self.rng.random_bool(0.5) {
            let says = if truth.kind == Kind::Liar { self.newest() } else { truth.acts };
            let oldest = if self.now < truth.under_way.1 { truth.under_way.0 } else { truth.acts };
            let report = Report {
                node: name.to_owned(),
                incarnation: truth.incarnation,
                standing: says,
                oldest: oldest.min(says),
                decided: vec![(says, 3)],
                refuses: None,
                at,
            };
            self.words.push((arrives, Event::Reported(report)));
        }
        if !out && self.rng.random_bool(0.5) {
            // One that was decided before may be under way for a while.
            let late = self.now < truth.under_way.1 && self.rng.random_bool(0.5);
            let sight = Sight {
                node: name.to_owned(),
                incarnation: truth.incarnation,
                revision: if late { truth.under_way.0 } else { truth.acts },
                count: 2,
                refused: 0,
                drained: Vec::new(),
                first: at,
                last: at,
            };
            let server = format!("s{}", self.rng.random_range(0..SERVERS));
            self.words.push((arrives, Event::Seen { server, sights: vec![sight] }));
        }
    }

    /// Agents and hosts do what the ladder asks; whether it helps is drawn.
    fn obey(&mut self, names: &[String]) {
        for name in names {
            let node = &self.audit.nodes()[name];
            let restart = node.step == Step::Restarted && self.now > node.step_at + 500;
            if restart && node.incarnation == self.nodes[name].incarnation && self.rng.random_bool(0.05) {
                self.restart(name);
            }
        }
    }
}
