//! What happened, line by line, each with the hash of all before it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Admission, Ms, Proof, Revision, Stamp, Step, Witness};

/// What happened. The fields are named for what they hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Happening {
    /// The list has a new version.
    Committed { revision: Revision },
    /// A node's process started.
    Started { node: String, incarnation: u64, program: String, config: String },
    /// A node was taken away.
    Left { node: String },
    /// A node's lease ran out.
    Lost { node: String },
    /// There was no room for another node.
    TooMany { node: String },
    /// A node acts on a revision, or a later one than before.
    Acted { node: String, incarnation: u64, revision: Revision, at: Stamp },
    /// A revision was named that was never committed.
    Impossible { node: String, revision: Revision, by: Witness },
    /// A node said that it acts on an older revision than it said before.
    FellBack { node: String, from: Revision, to: Revision },
    /// A node's attempts belied its report.
    Lied { node: String, says: Revision, acts: Revision, by: Witness },
    /// A node is on another step of the ladder.
    Climbed { node: String, to: Step, why: Option<Proof> },
    /// It caught up.
    Recovered { node: String, from: Step, why: Option<Proof> },
    /// It would be shut out, and is not.
    Held { node: String, why: String, proof: Proof },
    /// It is back in.
    Admitted { node: String, to: Admission, why: Option<Proof> },
    /// It is back in by an operator's word.
    AdmittedBy { node: String, who: String, why: String },
    /// Too many of a place are behind at once for the cause to be theirs: the ladder stops there.
    Shared { place: String, behind: usize, all: usize },
    /// No longer.
    NotShared { place: String, behind: usize, all: usize },
    /// The floor rose.
    FloorRose { from: Revision, to: Revision, because_of: String },
    /// An operator set the floor.
    FloorSet { from: Revision, to: Revision, who: String, why: String },
    /// A node speaks against a revision.
    Against { revision: Revision, node: String, how: String },
    /// The floor stays below a revision.
    Halted { revision: Revision },
    /// An operator lifted that.
    Resumed { revision: Revision, who: String, why: String },
}

impl Happening {
    /// The node that it is about.
    pub fn node(&self) -> Option<&str> {
        match self {
            Happening::Started { node, .. }
            | Happening::Left { node }
            | Happening::Lost { node }
            | Happening::TooMany { node }
            | Happening::Acted { node, .. }
            | Happening::Impossible { node, .. }
            | Happening::FellBack { node, .. }
            | Happening::Lied { node, .. }
            | Happening::Climbed { node, .. }
            | Happening::Recovered { node, .. }
            | Happening::Held { node, .. }
            | Happening::Admitted { node, .. }
            | Happening::AdmittedBy { node, .. }
            | Happening::Against { node, .. } => Some(node),
            _ => None,
        }
    }

    /// Whether it is a verdict, and not merely something that was seen.
    fn judges(&self) -> bool {
        !matches!(
            self,
            Happening::Acted { .. }
                | Happening::Started { .. }
                | Happening::Lost { .. }
                | Happening::Committed { .. }
        )
    }
}

/// A hash, in hexadecimal.
pub type Hash = String;

/// A line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Its number; the first has 1.
    pub number: u64,
    /// Log time.
    pub at: Ms,
    /// What happened.
    pub what: Happening,
    /// Of the line before and this one.
    pub hash: Hash,
}

/// The latest lines. What is dropped leaves its number and hash, so that the chain goes on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    most: usize,
    lines: VecDeque<Line>,
    /// The number and the hash of the newest line that was dropped.
    dropped: (u64, Hash),
}

impl History {
    pub(crate) fn new(most: usize) -> Self {
        History { most: most.max(1), lines: VecDeque::new(), dropped: (0, Hash::new()) }
    }

    pub(crate) fn push(&mut self, at: Ms, what: Happening) {
        let (number, before) = match self.lines.back() {
            Some(last) => (last.number, last.hash.as_str()),
            None => (self.dropped.0, self.dropped.1.as_str()),
        };
        let hash = hash(before, number + 1, at, &what);
        self.lines.push_back(Line { number: number + 1, at, what, hash });
        if self.lines.len() > self.most {
            if let Some(oldest) = self.lines.pop_front() {
                self.dropped = (oldest.number, oldest.hash);
            }
        }
    }

    /// The lines that are kept, from a number on.
    pub fn from(&self, number: u64) -> impl Iterator<Item = &Line> {
        let first = self.dropped.0 + 1;
        self.lines.iter().skip(number.saturating_sub(first) as usize)
    }

    /// The number of the newest line.
    pub fn newest(&self) -> u64 {
        self.lines.back().map_or(self.dropped.0, |line| line.number)
    }

    /// The number and hash of the newest line that was dropped; 0 and nothing before that.
    pub fn dropped(&self) -> (u64, &str) {
        (self.dropped.0, &self.dropped.1)
    }

    /// The latest verdict about a node.
    pub(crate) fn last_of(&self, node: &str) -> Option<&Happening> {
        let lines = self.lines.iter().rev().map(|line| &line.what);
        lines.filter(|what| what.judges()).find(|what| what.node() == Some(node))
    }
}

fn hash(before: &str, number: u64, at: Ms, what: &Happening) -> Hash {
    let mut hasher = Sha256::new();
    hasher.update(before.as_bytes());
    // Encoding plain data into memory can't fail; an empty encoding would show as a broken chain.
    hasher.update(postcard::to_stdvec(&(number, at, what)).unwrap_or_default());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Where a chain does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The number that the line ought to have had.
    pub number: u64,
    /// What is wrong with it.
    pub what: &'static str,
}

/// Checks lines as they were read, from the one after `dropped` on.
pub fn verify(dropped: (u64, &str), lines: &[Line]) -> Result<(), Broken> {
    let (mut number, mut before) = (dropped.0, dropped.1);
    for line in lines {
        number += 1;
        if line.number != number {
            return Err(Broken { number, what: "a line is missing" });
        }
        if line.hash != hash(before, line.number, line.at, &line.what) {
            return Err(Broken { number, what: "the line, or one before it, was changed" });
        }
        before = &line.hash;
    }
    Ok(())
}
