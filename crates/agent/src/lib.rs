//! The agent of a machine that runs a node or app servers.
//!
//! An agent keeps a copy of the server list and serves it to its node, reports to the registry's audit which
//! revisions its nodes and servers acted on, keeps its members registered, and executes the audit's directives.
//!
//! Guarantees:
//!
//! 1. A node is never sent an older revision than it has: if the agent's own list is older, the agent waits for the
//!    registry.
//! 2. The reports of nodes and servers are forwarded with a log time that is certain to be earlier than the report.
//!    While the registry is unreachable they are kept, merged and bounded in size.
//! 3. Without the registry, the agent continues to serve the list from its disk.
//! 4. Each escalation step that the audit directs is executed once.

mod api;
mod config;
mod list;
mod list_cache;
mod registration;
mod reports;
mod service;

pub use config::Config;
pub use reports::{NodeReport, ObservedAttempts, ServerReport};

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Runs an agent until it fails. `ready` is called with the text `listen=ADDRESS` once the agent listens.
///
/// # Errors
///
/// The configuration is invalid, the agent can't listen at its address, or its HTTP server fails.
pub async fn run(config: Config, ready: impl FnOnce(&str)) -> anyhow::Result<()> {
    let faults = config.validate();
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("\n"));
    let listener =
        TcpListener::bind(config.listen).await.with_context(|| format!("listen on {}", config.listen))?;
    ready(&format!("listen={}", listener.local_addr()?));
    let (loop_tx, loop_rx) = mpsc::channel(config.queue_capacity);
    let api = tokio::spawn(api::serve(listener, loop_tx.clone()));
    let service = service::Service::new(config, loop_tx)?;
    tokio::select! {
        () = service.run(loop_rx) => Ok(()),
        result = api => Ok(result.context("the API's task")??),
    }
}
