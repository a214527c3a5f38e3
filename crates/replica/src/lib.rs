//! A replica of the registry.
//!
//! The guarantees:
//!
//! 1. A command is answered as done when it is on disk at a majority and applied here, and not before. An answer
//!    that can't tell ([`Answer::Unknown`]) may have happened: the same request id asks again without harm.
//! 2. What a replica shows never goes back: not over its own restart, not on a watch.
//! 3. Queues, watchers, frames and answers are bounded; a full one is refused with a reason.
//!
//! One loop on one thread owns Raft and the state ([`run`]); the disk has a writer thread, and sockets have tasks
//! that hold nothing but messages.

mod api;
mod config;
mod disk_writer;
mod log_storage;
mod peers;
mod raftloop;
mod watches;
mod wire;

pub use config::{Config, Peer};
pub use raftloop::Answer;

use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Runs a replica until it fails. `ready` is called with the addresses once both listeners are open.
///
/// # Errors
///
/// A configuration, a file or an address that can't be used; a disk that fails.
pub async fn run(config: Config, ready: impl FnOnce(&str)) -> anyhow::Result<()> {
    let faults = config.validate();
    anyhow::ensure!(faults.is_empty(), "{}", faults.join("\n"));
    std::fs::create_dir_all(&config.data).with_context(|| config.data.display().to_string())?;
    let file = config.data.join("replica.redb");
    let owner = store::Owner { cluster: config.cluster, replica: config.id };
    let (store, found) = store::Store::open(&file, owner)?;
    let (tx, rx) = mpsc::channel(config.queue);
    let listen =
        |addr| async move { TcpListener::bind(addr).await.with_context(|| format!("listen on {addr}")) };
    let api = listen(config.listen).await?;
    let raft = listen(config.raft_listen).await?;
    ready(&format!("api={} raft={}", api.local_addr()?, raft.local_addr()?));
    let links = peers::Links::start(&config, raft, tx.clone());
    let disk = disk_writer::start(store, tx.clone(), config.queue)?;
    let served = tokio::spawn(api::serve(api, tx.clone(), config.clone()));
    let ticks = tx.clone();
    let each = Duration::from_millis(config.tick_ms);
    tokio::spawn(async move {
        let mut timer = tokio::time::interval(each);
        // After a stop of the process time has passed once, not once for each tick that was missed.
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            timer.tick().await;
            if ticks.send(raftloop::Msg::Tick).await.is_err() {
                return;
            }
        }
    });
    let replica = raftloop::Replica::new(config, found, links, disk)?;
    tokio::select! {
        ended = replica.run(rx) => ended,
        ended = served => Ok(ended.context("the API's task")??),
    }
}
