//! Several processes of fircroft between stand-ins, with faults on every link, and checkers of what happened.
//!
//! The guarantees:
//!
//! 1. Every port is the system's choice; every link between two parties leads through a [`relay::Relay`], which can
//!    cut it, silence it in one or both directions, delay it, or reset it.
//! 2. What happens is written to one file of JSON lines on one monotonic clock ([`events::Events`]); the checkers
//!    read that file and what the registry answers, and nothing else.
//! 3. Nothing is left behind: a process ends with the thread that started it, also where that is killed.
//! 4. A fault that could not be put in force ends the run as void, and says so.

pub mod binaries;
pub mod capacity;
pub mod checker;
pub mod events;
pub mod fake_server;
pub mod load_generator;
pub mod process;
pub mod relay;
pub mod site;
