//! The Raft log in memory, in the form that Raft reads. The copy on disk belongs to [`store`].

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use store::StoredState;

use crate::wire;

/// The latest snapshot and the entries after it. Raft reads a clone that shares the content; both are used by the
/// event loop's thread only.
#[derive(Clone)]
pub struct LogStorage(Rc<RefCell<Content>>);

struct Content {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    /// The entries after the snapshot, without a gap.
    entries: VecDeque<Entry>,
}

impl Content {
    /// The index and the term of the last entry that the snapshot covers; 0 and 0 without a snapshot.
    fn snapshot_position(&self) -> (u64, u64) {
        let meta = self.snapshot.get_metadata();
        (meta.index, meta.term)
    }

    fn last_index(&self) -> u64 {
        self.snapshot_position().0 + self.entries.len() as u64
    }
}

impl LogStorage {
    /// Creates the log from what is on disk.
    pub fn new(stored: StoredState, voters: Vec<u64>) -> LogStorage {
        let mut hard_state = HardState::default();
        (hard_state.term, hard_state.vote, hard_state.commit) =
            (stored.hard_state.term, stored.hard_state.vote, stored.hard_state.commit);
        let snapshot = stored.snapshot.map(wire::to_raft_snapshot).unwrap_or_default();
        let conf_state = ConfState { voters, ..ConfState::default() };
        let entries = stored.entries.into_iter().map(wire::to_raft_entry).collect();
        // All that a snapshot covers is committed, even if the stored hard state has an older commit index.
        hard_state.commit = hard_state.commit.max(snapshot.get_metadata().index);
        LogStorage(Rc::new(RefCell::new(Content { hard_state, conf_state, snapshot, entries })))
    }

    /// Appends entries. They replace all entries from the first one's index on.
    pub fn append(&self, entries: &[Entry]) {
        let mut content = self.0.borrow_mut();
        let Some(first) = entries.first() else { return };
        let (snapshot_index, _) = content.snapshot_position();
        let kept = first.index.saturating_sub(snapshot_index + 1) as usize;
        content.entries.truncate(kept);
        content.entries.extend(entries.iter().cloned());
    }

    pub fn set_hard_state(&self, hard_state: &HardState) {
        self.0.borrow_mut().hard_state = hard_state.clone();
    }

    /// Replaces the snapshot, and removes the entries that the new one covers.
    pub fn install_snapshot(&self, snapshot: Snapshot) {
        let mut content = self.0.borrow_mut();
        let (old_index, _) = content.snapshot_position();
        let covered = snapshot.get_metadata().index.saturating_sub(old_index) as usize;
        let covered = covered.min(content.entries.len());
        content.entries.drain(..covered);
        content.snapshot = snapshot;
    }

    /// The index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.0.borrow().snapshot_position().0
    }

    pub fn voters(&self) -> Vec<u64> {
        self.0.borrow().conf_state.voters.clone()
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> Result<RaftState> {
        let content = self.0.borrow();
        Ok(RaftState { hard_state: content.hard_state.clone(), conf_state: content.conf_state.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let content = self.0.borrow();
        let (snapshot_index, _) = content.snapshot_position();
        if low <= snapshot_index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > content.last_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (from, to) = ((low - snapshot_index - 1) as usize, (high - snapshot_index - 1) as usize);
        let mut entries: Vec<Entry> = content.entries.range(from..to).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let content = self.0.borrow();
        let (snapshot_index, snapshot_term) = content.snapshot_position();
        if index == snapshot_index {
            return Ok(snapshot_term);
        }
        if index < snapshot_index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = content.entries.get((index - snapshot_index - 1) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.0.borrow().snapshot_position().0 + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.0.borrow().last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        let content = self.0.borrow();
        if content.snapshot_position().0 < request_index.max(1) {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(content.snapshot.clone())
    }
}
