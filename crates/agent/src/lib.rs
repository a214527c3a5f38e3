//! One machine's agent, beside a node or an app server.
//!
//! The guarantees:
//!
//! 1. A node is told nothing older than it has: where the agent's own list is older, it waits for the registry.
//! 2. What a node or a server says is passed on with a log time that surely lies before it, and is kept, merged and
//!    bounded, while the registry is out of reach.
//! 3. Without the registry the list that is on disk is served on.
//! 4. Each step of the audit's ladder is carried out once.

mod api;
mod config;
mod list;
mod list_cache;
mod reports;
mod service;

pub use config::Config;
pub use reports::{Acted, Seen, SeenAttempts};

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Runs an agent until it fails. `ready` is called with its address once it listens.
///
/// # Errors
///
/// A configuration or an address that can't be used.
pub async fn run(config: Config, ready: impl FnOnce(&str)) -> anyhow::Result<()> {
    let faults = config.validate();
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("\n"));
    let listener =
        TcpListener::bind(config.listen).await.with_context(|| format!("listen on {}", config.listen))?;
    ready(&format!("listen={}", listener.local_addr()?));
    let (tx, rx) = mpsc::channel(config.queue);
    let served = tokio::spawn(api::serve(listener, tx.clone()));
    let service = service::Service::new(config, tx)?;
    tokio::select! {
        () = service.run(rx) => Ok(()),
        ended = served => Ok(ended.context("the API's task")??),
    }
}
