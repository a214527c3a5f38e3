//! A replica of the registry.
//!
//! Guarantees:
//!
//! 1. A command is answered with an outcome only after it is on disk at a majority of the replicas and applied here.
//!    A command that is answered with [`ProposalResult::Unknown`] may have been applied; it can be retried safely
//!    under the same request id.
//! 2. The state that a replica shows never goes back to an older one: not after a restart, and not on a watch.
//! 3. Queues, watches, frames and request bodies are bounded. When a bound is reached, the request is refused with a
//!    reason.
//!
//! One event loop on one thread owns Raft and the state ([`run`]). A writer thread owns the disk, and the tasks of the
//! sockets communicate with the loop only through messages.

mod api;
mod config;
mod disk_writer;
mod log_storage;
mod peers;
mod raftloop;
mod watches;
mod wire;

pub use config::{Config, Peer};
pub use raftloop::ProposalResult;

use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use raftloop::LoopMessage;

/// Runs a replica until it fails. `ready` is called with the text `api=ADDRESS raft=ADDRESS` once both listeners are
/// open.
///
/// # Errors
///
/// The configuration is invalid, the file of the replica can't be used, a listener can't be opened, or the disk fails.
pub async fn run(config: Config, ready: impl FnOnce(&str)) -> anyhow::Result<()> {
    let faults = config.validate();
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("\n"));
    std::fs::create_dir_all(&config.data_dir).with_context(|| config.data_dir.display().to_string())?;
    let file = config.data_dir.join("replica.redb");
    let owner = store::Owner { cluster: config.cluster, replica: config.id };
    let (store, stored) = store::Store::open(&file, owner)?;
    let (loop_tx, loop_rx) = mpsc::channel(config.queue_capacity);
    let listen =
        |addr| async move { TcpListener::bind(addr).await.with_context(|| format!("listen on {addr}")) };
    let api_listener = listen(config.listen).await?;
    let raft_listener = listen(config.raft_listen).await?;
    ready(&format!("api={} raft={}", api_listener.local_addr()?, raft_listener.local_addr()?));
    let links = peers::PeerLinks::start(&config, raft_listener, loop_tx.clone());
    let disk = disk_writer::start(store, loop_tx.clone(), config.queue_capacity)?;
    let api = tokio::spawn(api::serve(api_listener, loop_tx.clone(), config.clone()));
    let tick_tx = loop_tx.clone();
    let tick_interval = Duration::from_millis(config.raft_tick_ms);
    tokio::spawn(async move {
        let mut timer = tokio::time::interval(tick_interval);
        // After the process was suspended, there is one tick rather than one for each that was missed.
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            timer.tick().await;
            if tick_tx.send(LoopMessage::Tick).await.is_err() {
                return;
            }
        }
    });
    let replica = raftloop::Replica::new(config, stored, links, disk)?;
    tokio::select! {
        result = replica.run(loop_rx) => result,
        result = api => Ok(result.context("the API's task")??),
    }
}
