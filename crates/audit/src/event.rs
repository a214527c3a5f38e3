//! What the audit is told, all of it through the registry's log.

use serde::{Deserialize, Serialize};

use crate::{Ms, Revision};

/// A lower bound of the log time at which something was so: the newest log time that its witness had heard of
/// before. Sound without any clock: what is seen now comes after all that one has heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The log time.
    pub after: Ms,
    /// The witness's wall clock, for people alone.
    pub unix_ms: u64,
}

/// What a node says of itself, by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The node.
    pub node: String,
    /// Its process: each start has a greater one.
    pub incarnation: u64,
    /// The revision that its next decision rests on.
    pub standing: Revision,
    /// The oldest that a request in flight still rests on; `standing` where none does.
    pub oldest: Revision,
    /// Decisions since the last report, by revision.
    pub decided: Vec<(Revision, u64)>,
    /// A list that it took and could not act on.
    pub refuses: Option<Revision>,
    /// When it said so.
    pub at: Stamp,
}

/// Attempts of a node that an app server's agent saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// The node that the attempts name.
    pub node: String,
    /// Its process.
    pub incarnation: u64,
    /// The revision that they were decided on.
    pub revision: Revision,
    /// How many.
    pub count: u64,
    /// Those that were turned away for being below the floor, and never ran.
    pub refused: u64,
    /// A few of their requests, where the server was draining by then.
    pub drained: Vec<String>,
    /// The first and the last of them.
    pub first: Stamp,
    /// The last of them.
    pub last: Stamp,
}

/// What an operator says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Sets the floor, also to a lower one.
    Floor(Revision),
    /// Lifts the halt of a revision.
    Resume,
    /// Takes a node back in at once, in full.
    Admit(String),
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The list has a new version.
    Committed {
        /// The version.
        revision: Revision,
        /// The leader's wall clock, for people.
        unix_ms: u64,
    },
    /// A node's process has started, or was seen for the first time.
    Joined {
        /// The node.
        node: String,
        /// Its pool.
        pool: String,
        /// Its zone.
        zone: String,
        /// Its process.
        incarnation: u64,
        /// The version of its program.
        program: String,
        /// The version of its configuration.
        config: String,
    },
    /// A node was taken away on purpose.
    Left {
        /// The node.
        node: String,
    },
    /// A node's lease has run out: its agent is out of reach. It may serve on.
    Lost {
        /// The node.
        node: String,
    },
    /// A node is being drained for another reason, or no longer.
    Drains {
        /// The node.
        node: String,
        /// Whether it drains.
        drains: bool,
    },
    /// A node's report.
    Reported(Report),
    /// What an app server's agent saw.
    Seen {
        /// The server.
        server: String,
        /// Its sights.
        sights: Vec<Sight>,
    },
    /// What a node's agent has told it, and holds.
    Told {
        /// The node.
        node: String,
        /// The newest revision that was written to the node.
        told: Revision,
        /// The newest that the agent has.
        held: Revision,
    },
    /// Time has passed.
    Tick,
    /// An operator's word.
    Word {
        /// Who.
        who: String,
        /// Why.
        why: String,
        /// What.
        word: Word,
    },
}
