//! What is known of each version of the list: when it was committed, who acted on it, how long that took.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Ms, Report, Revision, Sight, Stamp};

/// What one node did on a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Deed {
    pub(crate) incarnation: u64,
    /// Log time and stamp of the first and last word of it.
    pub(crate) first: (Ms, Stamp),
    pub(crate) last: (Ms, Stamp),
    /// Decisions by its own count, and attempts that servers saw.
    pub(crate) decided: u64,
    pub(crate) seen: u64,
    /// Attempts that were turned away for being below the floor.
    pub(crate) refused: u64,
}

/// What is known of a revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Detail {
    pub(crate) at: Ms,
    pub(crate) unix_ms: u64,
    /// The nodes there were, and those that have not acted on it or a later one.
    pub(crate) nodes: usize,
    pub(crate) waits: BTreeSet<String>,
    /// Log time from the commit until half, 99 in 100 and all of them had.
    pub(crate) half: Option<Ms>,
    pub(crate) most: Option<Ms>,
    pub(crate) all: Option<Ms>,
    pub(crate) by: BTreeMap<String, Deed>,
    /// Who crashed after it or refused it.
    pub(crate) against: BTreeSet<String>,
}

/// A request that reached a server after it was told to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AfterDrain {
    /// The server.
    pub server: String,
    /// The node that sent it.
    pub node: String,
    /// The revision that it was decided on.
    pub revision: Revision,
    /// The request's id.
    pub request: String,
    /// When it was seen.
    pub at: Stamp,
}

/// All revisions that are kept, bounded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Revisions {
    most: usize,
    most_refused: usize,
    pub(crate) details: BTreeMap<Revision, Detail>,
    /// The nodes that are here, which a new revision waits for.
    here: BTreeSet<String>,
    pub(crate) after_drain: Vec<AfterDrain>,
    /// Requests after a drain that there was no room for.
    pub(crate) more_after_drain: u64,
    newest: Revision,
    /// The newest revision whose detail is no longer kept.
    pub(crate) forgotten: Revision,
}

impl Revisions {
    pub(crate) fn new(most: usize, most_refused: usize) -> Self {
        Revisions {
            most: most.max(1),
            most_refused,
            details: BTreeMap::new(),
            here: BTreeSet::new(),
            after_drain: Vec::new(),
            more_after_drain: 0,
            newest: 0,
            forgotten: 0,
        }
    }

    pub(crate) fn newest(&self) -> Revision {
        self.newest
    }

    pub(crate) fn committed(&mut self, now: Ms, revision: Revision, unix_ms: u64, nodes: BTreeSet<String>) {
        if revision <= self.newest {
            return;
        }
        self.newest = revision;
        self.here = nodes;
        let (nodes, waits) = (self.here.len(), self.here.clone());
        self.details.insert(revision, Detail { at: now, unix_ms, nodes, waits, ..Detail::default() });
        while self.details.len() > self.most {
            if let Some((oldest, _)) = self.details.pop_first() {
                self.forgotten = oldest;
            }
        }
    }

    /// The newest revision that was committed by a time and lies below `halted`.
    pub(crate) fn at(&self, time: Ms, halted: Option<Revision>) -> Revision {
        let below = halted.unwrap_or(Revision::MAX);
        let due = self.details.range(..below).rev().find(|(_, detail)| detail.at <= time);
        due.map_or(self.forgotten.min(below.saturating_sub(1)), |(&revision, _)| revision)
    }

    pub(crate) fn decided(&mut self, now: Ms, report: &Report) {
        let deed = |details: &mut BTreeMap<Revision, Detail>, revision, count: u64| {
            let Some(detail) = details.get_mut(&revision) else { return };
            let new = || Deed { first: (now, report.at), ..Deed::default() };
            let deed = detail.by.entry(report.node.clone()).or_insert_with(new);
            (deed.incarnation, deed.last) = (report.incarnation, (now, report.at));
            deed.decided += count;
        };
        for &(revision, count) in &report.decided {
            deed(&mut self.details, revision, count);
        }
        // It stands on it, though nothing may have come to be decided.
        deed(&mut self.details, report.standing, 0);
        self.reached(now, &report.node, report.standing);
    }

    fn reached(&mut self, now: Ms, node: &str, standing: Revision) {
        for detail in self.details.range_mut(..=standing).rev().map(|(_, detail)| detail) {
            // What it reached before, it reached with everything older.
            if !detail.waits.remove(node) {
                break;
            }
            detail.count(now);
        }
    }

    pub(crate) fn left(&mut self, now: Ms, node: &str) {
        self.here.remove(node);
        for detail in self.details.values_mut() {
            if detail.waits.remove(node) {
                detail.nodes -= 1;
                detail.count(now);
            }
        }
    }

    pub(crate) fn seen(&mut self, now: Ms, server: &str, sight: &Sight) {
        if let Some(detail) = self.details.get_mut(&sight.revision) {
            let new =
                || Deed { incarnation: sight.incarnation, first: (now, sight.first), ..Deed::default() };
            let deed = detail.by.entry(sight.node.clone()).or_insert_with(new);
            deed.last = (now, sight.last);
            deed.seen += sight.count;
            deed.refused += sight.refused;
        }
        for request in &sight.drained {
            if self.after_drain.len() >= self.most_refused {
                self.more_after_drain += 1;
                continue;
            }
            let (server, node, request) = (server.to_owned(), sight.node.clone(), request.clone());
            let (revision, at) = (sight.revision, sight.last);
            self.after_drain.push(AfterDrain { server, node, revision, request, at });
        }
    }

    /// Whether a node first acted on a revision no longer than a window ago.
    pub(crate) fn acted_lately(&self, revision: Revision, node: &str, now: Ms, window: Ms) -> bool {
        let deed = self.details.get(&revision).and_then(|detail| detail.by.get(node));
        deed.is_some_and(|deed| now.saturating_sub(deed.first.0) <= window)
    }

    /// Counts a node against a revision; how many there are by now, `None` where it was counted before.
    pub(crate) fn speaks_against(&mut self, revision: Revision, node: &str) -> Option<usize> {
        let detail = self.details.get_mut(&revision)?;
        detail.against.insert(node.to_owned()).then_some(detail.against.len())
    }

    pub(crate) fn forgive(&mut self, revision: Revision) {
        if let Some(detail) = self.details.get_mut(&revision) {
            detail.against.clear();
        }
    }
}

impl Detail {
    fn count(&mut self, now: Ms) {
        let (took, acted) = (now.saturating_sub(self.at), self.nodes - self.waits.len());
        for (time, part) in [(&mut self.half, 50), (&mut self.most, 99), (&mut self.all, 100)] {
            if time.is_none() && acted * 100 >= self.nodes * part {
                *time = Some(took);
            }
        }
    }
}

impl crate::Audit {
    pub(crate) fn committed(&mut self, revision: Revision, unix_ms: u64) {
        let here = self.nodes.iter().filter(|(_, node)| !node.lost).map(|(name, _)| name.clone()).collect();
        if revision > self.revisions.newest() {
            self.revisions.committed(self.now, revision, unix_ms, here);
            self.note(crate::Happening::Committed { revision });
        }
    }
}
