//! The writer thread: batches in, words of their durability out.

use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread;

use anyhow::Context;
use store::{Batch, Store};
use tokio::sync::mpsc;

use crate::raftloop::Msg;

/// A batch, and the number that its word comes back with; none for one that nobody waits for.
pub struct Job {
    pub number: Option<u64>,
    pub batch: Batch,
}

/// Starts the thread. It ends with the loop, or with the first write that fails.
pub fn start(mut store: Store, tx: mpsc::Sender<Msg>, queue: usize) -> anyhow::Result<SyncSender<Job>> {
    let (jobs, rx) = sync_channel::<Job>(queue);
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            while let Ok(first) = rx.recv() {
                // What waits is written together: one sync for all of it.
                let mut jobs = vec![first];
                while jobs.len() < 64 {
                    let Ok(next) = rx.try_recv() else { break };
                    jobs.push(next);
                }
                let number = jobs.iter().filter_map(|job| job.number).max();
                let written = store.write_all(jobs.iter().map(|job| &job.batch));
                let word = match (written, number) {
                    (Err(error), _) => Msg::DiskFailed(error.to_string()),
                    (Ok(()), Some(number)) => Msg::Persisted(number),
                    (Ok(()), None) => continue,
                };
                let failed = matches!(word, Msg::DiskFailed(_));
                if tx.blocking_send(word).is_err() || failed {
                    return;
                }
            }
        })
        .context("the writer thread")?;
    Ok(jobs)
}
