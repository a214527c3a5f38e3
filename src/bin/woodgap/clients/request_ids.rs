//! The ids that clients give their requests: which of them are open, and which must not run again.
//!
//! By the protocol a client gives a fresh id to each request, also to a retry. So an id that comes again names the request
//! that had it before, and what the node owes depends on that request:
//!
//! - it is open: the second one fails, because servers tell requests apart by their ids;
//! - it was refused, or no server has seen it: the second one is served;
//! - a server may have run it, whether its client was answered or has gone: if its class is safe to repeat, the second one
//!   is served; if not, the second one fails and no server sees it.
//!
//! A node that was restarted has forgotten all ids. `docs/request-ids.md` has the sentences behind these rules.

use std::collections::{HashSet, VecDeque};

use xxhash_rust::xxh3::xxh3_128;

/// One id for this many bytes of the memory limit is remembered.
const MEMORY_BYTES_PER_ID: usize = 8 * 1024;

/// Why a request can't have its id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IdConflict {
    /// Another request has it and is open.
    Open,
    /// A request that must not run twice had it, and may have run.
    MayHaveRun,
}

/// The ids of open requests and of ended ones that must not run again. Ids are kept as hashes of 128 bits.
pub struct RequestIds {
    open: HashSet<u128>,
    ended: HashSet<u128>,
    /// The ids in `ended`, the oldest first.
    ended_in_order: VecDeque<u128>,
    max_ended: usize,
}

impl RequestIds {
    /// No ids; the memory limit of the process bounds how many ended ones are kept.
    pub fn new(max_memory_bytes: usize) -> Self {
        RequestIds {
            open: HashSet::new(),
            ended: HashSet::new(),
            ended_in_order: VecDeque::new(),
            max_ended: (max_memory_bytes / MEMORY_BYTES_PER_ID).max(1),
        }
    }

    /// Registers an id as open and returns its hash, or says why the request can't have it.
    pub fn open(&mut self, id: &str) -> Result<u128, IdConflict> {
        let hash = xxh3_128(id.as_bytes());
        if self.ended.contains(&hash) {
            return Err(IdConflict::MayHaveRun);
        }
        match self.open.insert(hash) {
            true => Ok(hash),
            false => Err(IdConflict::Open),
        }
    }

    /// Ends an open request. `may_not_repeat` tells that it may have run and must not run again.
    pub fn end(&mut self, hash: u128, may_not_repeat: bool) {
        self.open.remove(&hash);
        if !may_not_repeat || !self.ended.insert(hash) {
            return;
        }
        self.ended_in_order.push_back(hash);
        if self.ended_in_order.len() > self.max_ended {
            if let Some(oldest) = self.ended_in_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
