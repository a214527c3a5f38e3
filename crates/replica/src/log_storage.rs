//! The log in memory, as Raft reads it. What is on disk is [`store`]'s.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use store::StoredState;

use crate::wire;

/// The entries after the snapshot, and the snapshot. Shared with Raft, which reads it; one thread holds both.
#[derive(Clone)]
pub struct Log(Rc<RefCell<Inner>>);

struct Inner {
    hard: HardState,
    voters: ConfState,
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Inner {
    fn start(&self) -> (u64, u64) {
        let meta = self.snapshot.get_metadata();
        (meta.index, meta.term)
    }

    fn last(&self) -> u64 {
        self.start().0 + self.entries.len() as u64
    }
}

impl Log {
    pub fn new(found: StoredState, voters: Vec<u64>) -> Log {
        let mut hard = HardState::default();
        (hard.term, hard.vote, hard.commit) =
            (found.hard_state.term, found.hard_state.vote, found.hard_state.commit);
        let snapshot = found.snapshot.map(wire::raft_snapshot).unwrap_or_default();
        let conf = ConfState { voters, ..ConfState::default() };
        let entries = found.entries.into_iter().map(wire::raft_entry).collect();
        // A snapshot was committed, whatever the vote's record says.
        hard.commit = hard.commit.max(snapshot.get_metadata().index);
        Log(Rc::new(RefCell::new(Inner { hard, voters: conf, snapshot, entries })))
    }

    /// Takes over entries: they replace all from the first one's place on.
    pub fn append(&self, entries: &[Entry]) {
        let mut inner = self.0.borrow_mut();
        let Some(first) = entries.first() else { return };
        let start = inner.start().0;
        let keep = first.index.saturating_sub(start + 1) as usize;
        inner.entries.truncate(keep);
        inner.entries.extend(entries.iter().cloned());
    }

    pub fn set_hard(&self, hard: &HardState) {
        self.0.borrow_mut().hard = hard.clone();
    }

    /// Puts a snapshot in place of the entries up to it.
    pub fn install(&self, snapshot: Snapshot) {
        let mut inner = self.0.borrow_mut();
        let (index, start) = (snapshot.get_metadata().index, inner.start().0);
        let gone = (index.saturating_sub(start) as usize).min(inner.entries.len());
        inner.entries.drain(..gone);
        inner.snapshot = snapshot;
    }

    pub fn start(&self) -> u64 {
        self.0.borrow().start().0
    }

    pub fn voters(&self) -> Vec<u64> {
        self.0.borrow().voters.voters.clone()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        let inner = self.0.borrow();
        Ok(RaftState { hard_state: inner.hard.clone(), conf_state: inner.voters.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let inner = self.0.borrow();
        let start = inner.start().0;
        if low <= start {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > inner.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (from, to) = ((low - start - 1) as usize, (high - start - 1) as usize);
        let mut entries: Vec<Entry> = inner.entries.range(from..to).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let inner = self.0.borrow();
        let (start, term) = inner.start();
        if index == start {
            return Ok(term);
        }
        if index < start {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = inner.entries.get((index - start - 1) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.0.borrow().start().0 + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.0.borrow().last())
    }

    fn snapshot(&self, at_least: u64, _to: u64) -> Result<Snapshot> {
        let inner = self.0.borrow();
        if inner.start().0 < at_least.max(1) {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(inner.snapshot.clone())
    }
}
