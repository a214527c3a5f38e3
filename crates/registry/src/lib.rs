//! The registry's replicated state machine: what one log makes of members, leases and the audit.
//!
//! The guarantees, kept by [`State::apply`] at every replica alike:
//!
//! 1. The `revision` is the index of the log entry that last changed a member: the same at every replica, and
//!    never going back.
//! 2. A request id that was applied is answered again with what came of it, for a stated time, and changes nothing.
//! 3. A compare-and-set changes a member only where it is still as the caller saw it.
//! 4. A lease runs in log time, which stands still while there is no leader. Where more of a pool would run out at
//!    once than the configuration allows, the cause is taken for shared and nobody is taken off.
//! 5. What changed after a revision is told whole: by the changes where they are still kept, by the full list
//!    where they are not.
//!
//! Pure: no clock, no socket, no randomness.

mod changes;
mod command;
mod lease;
mod member;
mod state;

pub use changes::Since;
pub use command::{Command, Expect, Outcome, Proposal};
pub use member::{Member, Phase, Role};
pub use state::{Config, State};

/// Milliseconds of log time.
pub type Ms = u64;
/// The index of the log entry that last changed a member.
pub type Revision = u64;
