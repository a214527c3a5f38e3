//! The audit's input: events, all of which arrive through the registry's log.

use serde::{Deserialize, Serialize};

use crate::{Ms, Revision};

/// When something was observed: a lower bound in log time. The bound is the newest log time that the observer had
/// received before the observation, so it holds without any synchronized clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Timestamp {
    /// The lower bound, in log time.
    #[serde(rename = "after")]
    pub not_before: Ms,
    /// The observer's wall clock in Unix milliseconds; shown to operators and used for nothing else.
    pub unix_ms: u64,
}

/// A node's report about itself, which its agent passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The node's name.
    pub node: String,
    /// The incarnation of the node's process: each start has a greater one.
    pub incarnation: u64,
    /// The revision that the node's next decision will be based on.
    #[serde(rename = "standing")]
    pub current_revision: Revision,
    /// The oldest revision that a request in flight is based on; `current_revision` where there is none.
    #[serde(rename = "oldest")]
    pub oldest_in_flight: Revision,
    /// The number of decisions since the last report, by revision.
    #[serde(rename = "decided")]
    pub decisions: Vec<(Revision, u64)>,
    /// A revision of the list that the node received and could not act on.
    #[serde(rename = "refuses")]
    pub rejected_revision: Option<Revision>,
    /// When the node sent the report.
    pub at: Timestamp,
}

/// Attempts by a node that an app server's agent observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The node that the attempts name.
    pub node: String,
    /// The incarnation of the node's process.
    pub incarnation: u64,
    /// The revision that the attempts were decided on.
    pub revision: Revision,
    /// How many attempts were observed.
    pub count: u64,
    /// How many of them the server refused unexecuted because their revision is below the floor.
    pub refused: u64,
    /// The ids of a few of the requests, where the server was already draining.
    #[serde(rename = "drained")]
    pub requests_after_drain: Vec<String>,
    /// When the first attempt was observed.
    pub first: Timestamp,
    /// When the last attempt was observed.
    pub last: Timestamp,
}

/// An operator's command to the audit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Sets the floor, also to a lower revision.
    #[serde(rename = "floor")]
    SetFloor(Revision),
    /// Lets the floor rise again past the revision at which it was halted.
    #[serde(rename = "resume")]
    ResumeFloor,
    /// Readmits a node at once and in full.
    #[serde(rename = "admit")]
    AdmitNode(String),
}

/// An event that the audit applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A new revision of the server list was committed.
    Committed {
        /// The new revision.
        revision: Revision,
        /// The leader's wall clock in Unix milliseconds, for operators; 0 where the list was changed by a command
        /// that carries no wall-clock time.
        unix_ms: u64,
    },
    /// A node's process registered: it has started, or is known for the first time.
    Joined {
        /// The node's name.
        node: String,
        /// The node's pool.
        pool: String,
        /// The node's zone.
        zone: String,
        /// The incarnation of the node's process.
        incarnation: u64,
        /// The version of the node's program.
        program: String,
        /// The version of the node's configuration.
        config: String,
    },
    /// A node was removed from the registry on purpose.
    #[serde(rename = "left")]
    Removed {
        /// The node's name.
        node: String,
    },
    /// A node's lease expired: its agent can't be reached, but the node may still serve requests.
    #[serde(rename = "lost")]
    LeaseExpired {
        /// The node's name.
        node: String,
    },
    /// A node began or ended a drain that the audit did not ask for.
    #[serde(rename = "drains")]
    DrainChanged {
        /// The node's name.
        node: String,
        /// Whether the node is draining now.
        #[serde(rename = "drains")]
        is_draining: bool,
    },
    /// A node's report about itself.
    Reported(Report),
    /// Observations by an app server's agent.
    #[serde(rename = "seen")]
    Observed {
        /// The server.
        server: String,
        /// The attempts that its agent observed.
        #[serde(rename = "sights")]
        observations: Vec<Observation>,
    },
    /// How far a node's agent has forwarded the list to its node.
    #[serde(rename = "told")]
    ListForwarded {
        /// The node's name.
        node: String,
        /// The newest revision that the agent wrote to the node's watch.
        #[serde(rename = "told")]
        forwarded_revision: Revision,
        /// The newest revision that the agent has.
        #[serde(rename = "held")]
        agent_revision: Revision,
    },
    /// Time has passed: the periodic checks are due.
    Tick,
    /// An operator's command.
    #[serde(rename = "word")]
    Operator {
        /// Who gave the command.
        #[serde(rename = "who")]
        operator: String,
        /// Why it was given.
        #[serde(rename = "why")]
        reason: String,
        /// The command.
        #[serde(rename = "word")]
        command: OperatorCommand,
    },
}
