//! The decisions of fircroft, an HTTP load balancer that runs as a fleet of nodes which share nothing.
//!
//! A host, which is a node or the simulator adapter, passes the events of one node to [`policy::Balancer`]
//! and carries out the actions that the balancer returns. The balancer does no I/O and reads no clock, so the
//! same events always give the same actions. [`api`] defines the events, actions and settings, and [`policy`]
//! makes every decision. [`config`], [`settings`] and [`list`] parse the configuration of a node and its list
//! of servers; [`findings`] holds the problems that they report.
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
