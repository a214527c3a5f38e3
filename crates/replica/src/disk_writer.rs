//! The thread that writes to the store and tells the event loop what is on disk.

use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread;

use anyhow::Context;
use store::{Batch, Store};
use tokio::sync::mpsc;

use crate::raftloop::LoopMessage;

/// How many jobs are written in one transaction at most.
const MAX_JOBS_PER_TRANSACTION: usize = 64;

/// A batch to write.
pub struct WriteJob {
    /// The number that [`LoopMessage::Persisted`] reports once the batch is on disk; `None` if nothing waits for the
    /// batch.
    pub number: Option<u64>,
    pub batch: Batch,
}

/// Starts the thread. It ends when the event loop does, or with the first write that fails.
pub fn start(
    mut store: Store,
    loop_tx: mpsc::Sender<LoopMessage>,
    queue_capacity: usize,
) -> anyhow::Result<SyncSender<WriteJob>> {
    let (jobs_tx, jobs_rx) = sync_channel::<WriteJob>(queue_capacity);
    thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || {
            while let Ok(first) = jobs_rx.recv() {
                // Jobs that wait are written in one transaction, with a single sync.
                let mut jobs = vec![first];
                while jobs.len() < MAX_JOBS_PER_TRANSACTION {
                    let Ok(next) = jobs_rx.try_recv() else { break };
                    jobs.push(next);
                }
                let last_number = jobs.iter().filter_map(|job| job.number).max();
                let written = store.write_all(jobs.iter().map(|job| &job.batch));
                let message = match (written, last_number) {
                    (Err(error), _) => LoopMessage::DiskFailed(error.to_string()),
                    (Ok(()), Some(number)) => LoopMessage::Persisted(number),
                    (Ok(()), None) => continue,
                };
                let has_failed = matches!(message, LoopMessage::DiskFailed(_));
                if loop_tx.blocking_send(message).is_err() || has_failed {
                    return;
                }
            }
        })
        .context("the writer thread")?;
    Ok(jobs_tx)
}
