//! Commands, which are written to the log, and their outcomes.

use serde::{Deserialize, Serialize};

use crate::{Member, Ms, Phase, Revision};

/// The condition of a compare-and-set: what the caller expects to find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// Anything: the command is unconditional.
    #[default]
    Any,
    /// There is no such member.
    Absent,
    /// The member was last changed at this revision.
    Revision(Revision),
}

/// A command to the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Changes nothing; only a leader may write it.
    #[serde(rename = "nothing")]
    Noop,
    /// Advances log time.
    Tick {
        /// The time that passed by the leader's monotonic clock since its last tick or since it became leader.
        elapsed_ms: Ms,
        /// The leader's wall clock in Unix milliseconds, for operators.
        unix_ms: u64,
    },
    /// Registers a member, or changes it.
    Put {
        /// The member.
        member: Member,
        /// The duration of the lease; without one the member stays until it is removed.
        #[serde(default)]
        lease_ms: Option<Ms>,
        /// The condition on the member under which the command is carried out.
        #[serde(default)]
        expect: Expect,
    },
    /// Changes only the phase of a member.
    SetPhase {
        /// The member's id.
        id: String,
        /// The new phase.
        phase: Phase,
        /// The condition on the member under which the command is carried out.
        #[serde(default)]
        expect: Expect,
    },
    /// Renews the leases of members. The outcome is a conflict if one of them does not exist; the others are renewed
    /// all the same.
    Renew {
        /// The members' ids.
        ids: Vec<String>,
    },
    /// Removes a member.
    Remove {
        /// The member's id.
        id: String,
        /// The condition on the member under which the command is carried out.
        #[serde(default)]
        expect: Expect,
    },
    /// Lets the overdue leases of a pool expire, also where the guard against mass expiry has stopped that.
    Expire {
        /// The pool.
        pool: String,
        /// The operator who gave the command.
        #[serde(rename = "who")]
        operator: String,
        /// Why it was given.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Events for the audit.
    Audit(Vec<audit::Event>),
}

/// A command with the id under which it may be sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The request id, the same for each retry of the command; empty for a command that may be applied twice.
    #[serde(default)]
    pub request: String,
    /// The command.
    pub command: Command,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The command was carried out.
    Done {
        /// The list's revision after the command.
        revision: Revision,
    },
    /// The member is not as the command expects.
    Conflict {
        /// The revision at which the member was last changed; `None` where there is no such member.
        found: Option<Revision>,
    },
    /// The command is invalid, or there is no room for it: nothing changed.
    Refused {
        /// What is wrong, where, and what was expected.
        #[serde(rename = "why")]
        reason: String,
    },
}
