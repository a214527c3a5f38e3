//! The registry's replicated state machine: members, leases and the audit, as the entries of one log determine them.
//!
//! [`State::apply`] keeps these guarantees at every replica:
//!
//! 1. The `revision` is the index of the log entry that last changed a member. It is the same at every replica and
//!    never decreases.
//! 2. A request id that was applied before changes nothing and gets the same outcome again, for a configured time.
//! 3. A compare-and-set changes a member only if the member is still as the caller expects.
//! 4. A lease runs in log time, which stands still while there is no leader. Where more leases of a pool would
//!    expire at once than the configuration allows, the cause is taken for a shared one and no member is removed.
//! 5. A watch is told everything that changed after its revision: as changes where these are still kept, as the
//!    whole list otherwise.
//!
//! The state machine is deterministic: it reads no clock, opens no sockets and uses no randomness.

mod changes;
mod command;
mod lease;
mod member;
mod state;

pub use changes::ListUpdate;
pub use command::{Command, Expect, Outcome, Proposal};
pub use member::{Member, Phase, Role};
pub use state::{Config, State};

/// Milliseconds of log time.
pub type Ms = u64;
/// The index of the log entry that last changed a member.
pub type Revision = u64;
