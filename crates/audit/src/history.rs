//! The audit's history: bounded, each entry with a hash that covers all entries before it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Admission, EscalationStep, Evidence, EvidenceSource, Ms, Revision, Timestamp};

/// What a history entry records: something the audit was told, or a decision of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
// The fields are named for what they hold.
#[allow(missing_docs)]
pub enum AuditRecord {
    /// A new revision of the server list was committed.
    Committed { revision: Revision },
    /// A node's process started.
    Started { node: String, incarnation: u64, program: String, config: String },
    /// A node was removed from the registry on purpose.
    #[serde(rename = "left")]
    Removed { node: String },
    /// A node's lease expired.
    #[serde(rename = "lost")]
    LeaseExpired { node: String },
    /// A node is not tracked, because `max_nodes` others are.
    #[serde(rename = "too_many")]
    NodeLimitReached { node: String },
    /// A process of a node sent its first report, or reported a later revision than before.
    Acted { node: String, incarnation: u64, revision: Revision, at: Timestamp },
    /// A report or an observation named a revision that was never committed.
    #[serde(rename = "impossible")]
    UnknownRevision {
        node: String,
        revision: Revision,
        #[serde(rename = "by")]
        source: EvidenceSource,
    },
    /// A node reported an older revision than it had reported before.
    #[serde(rename = "fell_back")]
    RevisionRegressed { node: String, from: Revision, to: Revision },
    /// A server observed attempts of a node that contradict the node's reports.
    #[serde(rename = "lied")]
    ReportContradicted {
        node: String,
        #[serde(rename = "says")]
        reported: Revision,
        #[serde(rename = "acts")]
        observed: Revision,
        #[serde(rename = "by")]
        source: EvidenceSource,
    },
    /// A node that is behind was moved to another escalation step.
    #[serde(rename = "climbed")]
    Escalated {
        node: String,
        to: EscalationStep,
        #[serde(rename = "why")]
        evidence: Option<Evidence>,
    },
    /// A node caught up before it was shut out.
    Recovered {
        node: String,
        from: EscalationStep,
        #[serde(rename = "why")]
        evidence: Option<Evidence>,
    },
    /// A node is due to be shut out, but a limit keeps the audit from it for now.
    #[serde(rename = "held")]
    ShutOutDeferred {
        node: String,
        #[serde(rename = "why")]
        reason: String,
        #[serde(rename = "proof")]
        evidence: Evidence,
    },
    /// A node was readmitted, on probation or in full.
    Admitted {
        node: String,
        to: Admission,
        #[serde(rename = "why")]
        evidence: Option<Evidence>,
    },
    /// An operator readmitted a node.
    #[serde(rename = "admitted_by")]
    AdmittedByOperator {
        node: String,
        #[serde(rename = "who")]
        operator: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// So many nodes of the pool or zone `scope` are behind at once that the cause is taken for a shared one: none
    /// of its nodes is escalated further.
    #[serde(rename = "shared")]
    SharedCauseFound {
        #[serde(rename = "place")]
        scope: String,
        behind: usize,
        #[serde(rename = "all")]
        total: usize,
    },
    /// The pool or zone `scope` no longer has too many nodes behind at once.
    #[serde(rename = "not_shared")]
    SharedCauseCleared {
        #[serde(rename = "place")]
        scope: String,
        behind: usize,
        #[serde(rename = "all")]
        total: usize,
    },
    /// The floor was raised to shut out a node.
    #[serde(rename = "floor_rose")]
    FloorRaised {
        from: Revision,
        to: Revision,
        #[serde(rename = "because_of")]
        shut_out_node: String,
    },
    /// An operator set the floor.
    FloorSet {
        from: Revision,
        to: Revision,
        #[serde(rename = "who")]
        operator: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// A node crashed soon after it acted on a revision, or rejected the revision.
    #[serde(rename = "against")]
    RevisionSuspected {
        revision: Revision,
        node: String,
        #[serde(rename = "how")]
        reason: String,
    },
    /// The floor stays below this revision, because enough nodes crashed after acting on it or rejected it.
    #[serde(rename = "halted")]
    FloorHalted { revision: Revision },
    /// An operator lifted the halt of the floor.
    #[serde(rename = "resumed")]
    FloorResumed {
        revision: Revision,
        #[serde(rename = "who")]
        operator: String,
        #[serde(rename = "why")]
        reason: String,
    },
}

impl AuditRecord {
    /// The node that the record is about, if it is about one.
    pub fn node(&self) -> Option<&str> {
        match self {
            AuditRecord::Started { node, .. }
            | AuditRecord::Removed { node }
            | AuditRecord::LeaseExpired { node }
            | AuditRecord::NodeLimitReached { node }
            | AuditRecord::Acted { node, .. }
            | AuditRecord::UnknownRevision { node, .. }
            | AuditRecord::RevisionRegressed { node, .. }
            | AuditRecord::ReportContradicted { node, .. }
            | AuditRecord::Escalated { node, .. }
            | AuditRecord::Recovered { node, .. }
            | AuditRecord::ShutOutDeferred { node, .. }
            | AuditRecord::Admitted { node, .. }
            | AuditRecord::AdmittedByOperator { node, .. }
            | AuditRecord::RevisionSuspected { node, .. } => Some(node),
            _ => None,
        }
    }

    /// Whether the record is a verdict, and not merely something the audit was told.
    fn is_verdict(&self) -> bool {
        !matches!(
            self,
            AuditRecord::Acted { .. }
                | AuditRecord::Started { .. }
                | AuditRecord::LeaseExpired { .. }
                | AuditRecord::Committed { .. }
        )
    }
}

/// A SHA-256 hash in hexadecimal.
pub type Hash = String;

/// An entry of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The entry's number, counted from 1.
    pub number: u64,
    /// The log time of the entry.
    pub at: Ms,
    /// What happened.
    #[serde(rename = "what")]
    pub record: AuditRecord,
    /// The hash over the previous entry's hash and this entry.
    pub hash: Hash,
}

/// The latest entries. The number and hash of the last dropped entry are kept, so that the chain of hashes can
/// still be verified.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    #[serde(rename = "most")]
    max_entries: usize,
    #[serde(rename = "lines")]
    entries: VecDeque<HistoryEntry>,
    /// The number and hash of the newest entry that was dropped.
    #[serde(rename = "dropped")]
    last_dropped: (u64, Hash),
}

impl History {
    pub(crate) fn new(max_entries: usize) -> Self {
        History { max_entries: max_entries.max(1), entries: VecDeque::new(), last_dropped: (0, Hash::new()) }
    }

    pub(crate) fn push(&mut self, at: Ms, record: AuditRecord) {
        let (number, previous_hash) = match self.entries.back() {
            Some(last) => (last.number, last.hash.as_str()),
            None => (self.last_dropped.0, self.last_dropped.1.as_str()),
        };
        let hash = compute_hash(previous_hash, number + 1, at, &record);
        self.entries.push_back(HistoryEntry { number: number + 1, at, record, hash });
        if self.entries.len() > self.max_entries {
            if let Some(oldest) = self.entries.pop_front() {
                self.last_dropped = (oldest.number, oldest.hash);
            }
        }
    }

    /// The entries that are still kept, from the given number on.
    pub fn entries_from(&self, number: u64) -> impl Iterator<Item = &HistoryEntry> {
        let first = self.last_dropped.0 + 1;
        self.entries.iter().skip(number.saturating_sub(first) as usize)
    }

    /// The number of the newest entry, 0 if there is none yet.
    pub fn newest_number(&self) -> u64 {
        self.entries.back().map_or(self.last_dropped.0, |entry| entry.number)
    }

    /// The number and hash of the newest entry that was dropped; 0 and an empty hash if none was.
    pub fn last_dropped(&self) -> (u64, &str) {
        (self.last_dropped.0, &self.last_dropped.1)
    }

    /// The latest verdict about a node that is still kept.
    pub(crate) fn last_verdict(&self, node: &str) -> Option<&AuditRecord> {
        let records = self.entries.iter().rev().map(|entry| &entry.record);
        records.filter(|record| record.is_verdict()).find(|record| record.node() == Some(node))
    }
}

fn compute_hash(previous_hash: &str, number: u64, at: Ms, record: &AuditRecord) -> Hash {
    let mut hasher = Sha256::new();
    hasher.update(previous_hash.as_bytes());
    // Encoding plain data into memory can't fail; an empty encoding would show as a broken chain.
    hasher.update(postcard::to_stdvec(&(number, at, record)).unwrap_or_default());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The first entry at which a chain of history entries fails its verification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainError {
    /// The number that the entry should have had.
    pub number: u64,
    /// What is wrong with the entry.
    pub reason: &'static str,
}

/// Verifies the numbers and hashes of `entries`, which have to start right after the entry `last_dropped`.
///
/// # Errors
///
/// [`ChainError`] for the first entry that was changed, or before which one is missing.
pub fn verify_chain(last_dropped: (u64, &str), entries: &[HistoryEntry]) -> Result<(), ChainError> {
    let (mut number, mut previous_hash) = (last_dropped.0, last_dropped.1);
    for entry in entries {
        number += 1;
        if entry.number != number {
            return Err(ChainError { number, reason: "a line is missing" });
        }
        if entry.hash != compute_hash(previous_hash, entry.number, entry.at, &entry.record) {
            return Err(ChainError { number, reason: "the line, or one before it, was changed" });
        }
        previous_hash = &entry.hash;
    }
    Ok(())
}
