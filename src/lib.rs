//! The decisions of fircroft, an HTTP load balancer that runs as a fleet of nodes which share nothing.
//!
//! A host feeds [`policy::Balancer`] the events of one node and carries out the actions it
//! answers with. The module does no I/O and reads no clock, so the same events always give the
//! same actions. The vocabulary is in [`api`], every decision in [`policy`].
//! What nodes are told is read in [`config`], [`settings`] and [`list`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod config;
pub mod findings;
pub mod list;
pub mod policy;
pub mod settings;

pub use api::*;
pub use policy::Balancer;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct ReadmeExample;
