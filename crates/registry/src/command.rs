//! What is written to the log, and what comes of it.

use serde::{Deserialize, Serialize};

use crate::{Member, Ms, Phase, Revision};

/// What a writer saw before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Whatever there is.
    #[default]
    Any,
    /// No such member.
    Absent,
    /// The member as it was last changed at this revision.
    Revision(Revision),
}

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Nothing: what a new leader writes.
    Nothing,
    /// Time has passed at the leader, since its last tick or since it became leader.
    Tick {
        /// By its monotonic clock.
        elapsed_ms: Ms,
        /// Its wall clock, for people.
        unix_ms: u64,
    },
    /// Registers a member, or changes it.
    Put {
        /// The member.
        member: Member,
        /// How long it may be silent; without one it stays until it is removed.
        #[serde(default)]
        lease_ms: Option<Ms>,
        /// What there has to be before.
        #[serde(default)]
        expect: Expect,
    },
    /// Changes the phase alone.
    SetPhase {
        /// The member.
        id: String,
        /// The phase.
        phase: Phase,
        /// What there has to be before.
        #[serde(default)]
        expect: Expect,
    },
    /// Says that members are alive; a conflict where one of them is not there (the others are renewed).
    Renew {
        /// The members.
        ids: Vec<String>,
    },
    /// Takes a member away.
    Remove {
        /// The member.
        id: String,
        /// What there has to be before.
        #[serde(default)]
        expect: Expect,
    },
    /// Lets leases of a pool run out that the guard against mass expiry holds.
    Expire {
        /// The pool.
        pool: String,
        /// Who says so.
        who: String,
        /// Why.
        why: String,
    },
    /// Words for the audit.
    Audit(Vec<audit::Event>),
}

/// A command with the id under which it may be sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The same with each try at the same command; empty for one that may be applied twice.
    #[serde(default)]
    pub request: String,
    /// The command.
    pub command: Command,
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It holds as of this revision.
    Done {
        /// The list's revision after it.
        revision: Revision,
    },
    /// The member is not as expected.
    Conflict {
        /// The revision of its last change, `None` where there is no such member.
        found: Option<Revision>,
    },
    /// It makes no sense, or there is no room: nothing changed.
    Refused {
        /// What, where, and what was expected.
        why: String,
    },
}
