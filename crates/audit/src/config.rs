//! The audit's configuration. All times are milliseconds of log time.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// The audit's configuration, which is the same at every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// How long after a revision was committed a node may still act on an older one without counting as behind.
    #[serde(rename = "grace")]
    pub grace_ms: Ms,
    /// The longest time between the decision about an attempt at a node and its arrival at a server.
    #[serde(rename = "flight")]
    pub max_flight_ms: Ms,
    /// How long each escalation step gets to take effect before the next one.
    #[serde(rename = "step")]
    pub step_ms: Ms,
    /// How long a readmitted node stays on probation; doubled with each relapse.
    #[serde(rename = "probation")]
    pub probation_ms: Ms,
    /// For how long after a recovery the highest step that the node had reached is remembered: if it falls behind
    /// again within this time, escalation goes on from that step.
    #[serde(rename = "forget")]
    pub step_memory_ms: Ms,
    /// The part of its share of requests that a node on probation gets.
    pub probation_part: f64,
    /// Where more than this part of a pool or zone is behind at once, and more than two nodes, the cause is taken
    /// for a shared one.
    #[serde(rename = "shared")]
    pub shared_cause_part: f64,
    /// The largest part of a pool or zone that may be unavailable at once: shut out, draining or with an expired
    /// lease. One node always may be.
    #[serde(rename = "most_out")]
    pub max_unavailable_part: f64,
    /// How many nodes have to crash within `crash_window_ms` after acting on a revision, or reject it, to halt the
    /// floor below that revision.
    #[serde(rename = "crashes")]
    pub crashes_to_halt: usize,
    /// For how long after a node first acted on a revision a crash of the node counts against the revision.
    #[serde(rename = "crash_window")]
    pub crash_window_ms: Ms,
    /// Whether hosts may drain and restart their node; otherwise that step is left out.
    #[serde(rename = "restarts")]
    pub allows_restarts: bool,
    /// How many history entries are kept.
    #[serde(rename = "history")]
    pub max_history_entries: usize,
    /// How many revisions are kept in detail.
    #[serde(rename = "revisions")]
    pub max_revisions: usize,
    /// How many requests that reached a draining server are kept by id, over all revisions.
    #[serde(rename = "refused")]
    pub max_requests_after_drain: usize,
    /// How many observations are read from one message of a server's agent; the rest is ignored.
    #[serde(rename = "sights")]
    pub max_observations: usize,
    /// How many nodes the audit can track.
    #[serde(rename = "nodes")]
    pub max_nodes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            grace_ms: 6_000,
            max_flight_ms: 2_000,
            step_ms: 4_000,
            probation_ms: 10_000,
            step_memory_ms: 600_000,
            probation_part: 0.1,
            shared_cause_part: 0.3,
            max_unavailable_part: 0.2,
            crashes_to_halt: 2,
            crash_window_ms: 10_000,
            allows_restarts: true,
            max_history_entries: 10_000,
            max_revisions: 200,
            max_requests_after_drain: 1_000,
            max_observations: 1_000,
            max_nodes: 10_000,
        }
    }
}

impl Config {
    /// Returns one message for each invalid setting, with its key and the expected value.
    pub fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require =
            |is_valid: bool, message: &str| errors.extend((!is_valid).then(|| message.to_owned()));
        require(self.step_ms > 0, "audit.step: expected more than 0 ms");
        require(
            self.probation_part > 0.0 && self.probation_part <= 1.0,
            "audit.probation_part: expected a part above 0 and up to 1",
        );
        require(
            (0.0..=1.0).contains(&self.max_unavailable_part),
            "audit.most_out: expected a part from 0 to 1",
        );
        require((0.0..=1.0).contains(&self.shared_cause_part), "audit.shared: expected a part from 0 to 1");
        require(self.crashes_to_halt > 0, "audit.crashes: expected 1 or more");
        require(
            self.max_history_entries > 0 && self.max_revisions > 0,
            "audit.history, audit.revisions: expected 1 or more",
        );
        require(self.max_nodes > 0, "audit.nodes: expected 1 or more");
        errors
    }

    /// How many of `total` nodes may be behind at once before the cause is taken for a shared one: at least two.
    pub fn max_behind(&self, total: usize) -> usize {
        ((total as f64 * self.shared_cause_part).floor() as usize).max(2)
    }

    /// How many of `total` nodes may be shut out, draining or with an expired lease at once: at least one.
    pub fn max_unavailable(&self, total: usize) -> usize {
        ((total as f64 * self.max_unavailable_part).floor() as usize).max(1)
    }
}
