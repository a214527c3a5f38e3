//! Runs several processes of fircroft on loopback, injects faults into them and into the links between them, and
//! checks what happened.
//!
//! Invariants:
//!
//! 1. The system chooses every port. Every link of a process under test, except those from nodes to servers, leads
//!    through a [`relay::Relay`], which can cut it, silence it in one or both directions, delay it, or close it after
//!    a number of bytes.
//! 2. All events of a run are written to one file of JSON lines with timestamps of one monotonic clock
//!    ([`events::Events`]). The checkers read that file and the registry's responses, and nothing else.
//! 3. No process is left behind: each ends with the thread that started it, also if that thread is killed.
//! 4. A run whose fault could not be injected fails as inconclusive, with a message that says so.

pub mod binaries;
pub mod capacity;
pub mod checker;
pub mod events;
pub mod fake_server;
pub mod load_generator;
pub mod process;
pub mod relay;
pub mod site;
pub mod soak;
