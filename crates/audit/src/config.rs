//! What the audit goes by. All times in milliseconds of log time.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// The configuration, the same at every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// A node may act on a revision this long after it was committed before it counts as behind: the list's clock.
    pub grace: Ms,
    /// How long an attempt may be under way between its decision and its server.
    pub flight: Ms,
    /// How long each step of the ladder gets before the next one.
    pub step: Ms,
    /// How long a node that is back gets only a small part, at first; doubled with each relapse.
    pub probation: Ms,
    /// After this long without a relapse a node's relapses are forgotten.
    pub forget: Ms,
    /// The part of its share that a node on probation gets.
    pub probation_part: f64,
    /// Where more than this part of a pool or a zone is behind at once, and more than two, the cause is shared.
    pub shared: f64,
    /// The most of a pool or a zone that may be out, draining or dead at once; at least one node always may.
    pub most_out: f64,
    /// So many nodes that crash within `crash_window` after acting on a revision, or refuse it, halt the floor.
    pub crashes: usize,
    /// How long after acting on a revision a crash speaks against it.
    pub crash_window: Ms,
    /// Whether hosts may drain and restart their node; without that the step is left out.
    pub restarts: bool,
    /// Lines of history that are kept.
    pub history: usize,
    /// Revisions that are kept in detail.
    pub revisions: usize,
    /// Attempts after a drain that are kept by name, over all revisions.
    pub refused: usize,
    /// Sights that are read of one witness's message.
    pub sights: usize,
    /// Most nodes.
    pub nodes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            grace: 6_000,
            flight: 2_000,
            step: 4_000,
            probation: 10_000,
            forget: 600_000,
            probation_part: 0.1,
            shared: 0.3,
            most_out: 0.2,
            crashes: 2,
            crash_window: 10_000,
            restarts: true,
            history: 10_000,
            revisions: 200,
            refused: 1_000,
            sights: 1_000,
            nodes: 10_000,
        }
    }
}

impl Config {
    /// What is wrong with it, with the key and what was expected.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut expect = |good: bool, what: &str| faults.extend((!good).then(|| what.to_owned()));
        expect(self.step > 0, "audit.step: expected more than 0 ms");
        expect(
            self.probation_part > 0.0 && self.probation_part <= 1.0,
            "audit.probation_part: expected a part above 0 and up to 1",
        );
        expect((0.0..=1.0).contains(&self.most_out), "audit.most_out: expected a part from 0 to 1");
        expect((0.0..=1.0).contains(&self.shared), "audit.shared: expected a part from 0 to 1");
        expect(self.crashes > 0, "audit.crashes: expected 1 or more");
        expect(self.history > 0 && self.revisions > 0, "audit.history, audit.revisions: expected 1 or more");
        expect(self.nodes > 0, "audit.nodes: expected 1 or more");
        faults
    }

    /// How many of so many may be behind at once before the cause is shared.
    pub fn alone(&self, all: usize) -> usize {
        ((all as f64 * self.shared).floor() as usize).max(2)
    }

    /// How many of so many may be out, draining or dead at once.
    pub fn cap(&self, all: usize) -> usize {
        ((all as f64 * self.most_out).floor() as usize).max(1)
    }
}
