//! The details of each revision of the server list: when it was committed, which nodes acted on it, and how long it
//! took to reach them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Ms, Observation, Report, Revision, Timestamp};

/// What one node did on one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Activity {
    /// The process that last reported acting on the revision; without a report, that of the first observation.
    pub(crate) incarnation: u64,
    /// The first report or observation: the log time at which it was applied, and its own timestamp.
    pub(crate) first: (Ms, Timestamp),
    /// The last report or observation, in the same form.
    pub(crate) last: (Ms, Timestamp),
    /// Decisions that the node reported.
    #[serde(rename = "decided")]
    pub(crate) decisions: u64,
    /// Attempts that servers observed.
    #[serde(rename = "seen")]
    pub(crate) observed: u64,
    /// Observed attempts that servers refused because the revision is below the floor.
    pub(crate) refused: u64,
}

/// The details of one revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RevisionDetail {
    /// The log time of the commit.
    #[serde(rename = "at")]
    pub(crate) committed_at: Ms,
    /// The leader's wall clock at the commit in Unix milliseconds; 0 where it is not known.
    pub(crate) unix_ms: u64,
    /// The number of nodes that were present at the commit, less those that were removed before they had acted.
    #[serde(rename = "nodes")]
    pub(crate) node_count: usize,
    /// Those of them that have not acted on this revision or a later one yet.
    #[serde(rename = "waits")]
    pub(crate) pending_nodes: BTreeSet<String>,
    /// Log time from the commit until half of the nodes had acted.
    #[serde(rename = "half")]
    pub(crate) half_ms: Option<Ms>,
    /// Log time from the commit until 99 % of the nodes had acted.
    #[serde(rename = "most")]
    pub(crate) p99_ms: Option<Ms>,
    /// Log time from the commit until all nodes had acted.
    #[serde(rename = "all")]
    pub(crate) all_ms: Option<Ms>,
    /// What each node did on this revision.
    #[serde(rename = "by")]
    pub(crate) activities: BTreeMap<String, Activity>,
    /// The nodes that crashed after they had acted on this revision, or rejected it.
    #[serde(rename = "against")]
    pub(crate) failed_nodes: BTreeSet<String>,
}

/// A request that reached a server after the server had been told to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestAfterDrain {
    /// The server.
    pub server: String,
    /// The node that sent the request.
    pub node: String,
    /// The revision that the attempt was decided on.
    pub revision: Revision,
    /// The request's id.
    pub request: String,
    /// When the server's agent observed the last attempt of the observation that names the request.
    pub at: Timestamp,
}

/// The details of the latest revisions, bounded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Revisions {
    #[serde(rename = "most")]
    max_revisions: usize,
    #[serde(rename = "most_refused")]
    max_requests_after_drain: usize,
    pub(crate) details: BTreeMap<Revision, RevisionDetail>,
    /// The nodes that were present at the newest commit and were not removed since.
    #[serde(rename = "here")]
    present_nodes: BTreeSet<String>,
    #[serde(rename = "after_drain")]
    pub(crate) requests_after_drain: Vec<RequestAfterDrain>,
    /// How many requests after a drain were not kept, because there were too many.
    #[serde(rename = "more_after_drain")]
    pub(crate) omitted_after_drain: u64,
    newest: Revision,
    /// The newest revision whose details were dropped.
    #[serde(rename = "forgotten")]
    pub(crate) newest_dropped: Revision,
}

impl Revisions {
    pub(crate) fn new(max_revisions: usize, max_requests_after_drain: usize) -> Self {
        Revisions {
            max_revisions: max_revisions.max(1),
            max_requests_after_drain,
            details: BTreeMap::new(),
            present_nodes: BTreeSet::new(),
            requests_after_drain: Vec::new(),
            omitted_after_drain: 0,
            newest: 0,
            newest_dropped: 0,
        }
    }

    /// The newest committed revision.
    pub(crate) fn newest(&self) -> Revision {
        self.newest
    }

    /// Adds a new revision that `present_nodes` have to act on, and drops the details of the oldest ones.
    pub(crate) fn add_revision(
        &mut self,
        now: Ms,
        revision: Revision,
        unix_ms: u64,
        present_nodes: BTreeSet<String>,
    ) {
        if revision <= self.newest {
            return;
        }
        self.newest = revision;
        self.present_nodes = present_nodes;
        let detail = RevisionDetail {
            committed_at: now,
            unix_ms,
            node_count: self.present_nodes.len(),
            pending_nodes: self.present_nodes.clone(),
            ..RevisionDetail::default()
        };
        self.details.insert(revision, detail);
        while self.details.len() > self.max_revisions {
            if let Some((oldest, _)) = self.details.pop_first() {
                self.newest_dropped = oldest;
            }
        }
    }

    /// Returns the newest revision that was committed by log time `time` and, if there is a `limit`, is less than the
    /// limit. If no kept revision is, returns the newest dropped one, or `limit - 1` if that is less.
    pub(crate) fn newest_committed_by(&self, time: Ms, limit: Option<Revision>) -> Revision {
        let limit = limit.unwrap_or(Revision::MAX);
        let found = self.details.range(..limit).rev().find(|(_, detail)| detail.committed_at <= time);
        found.map_or(self.newest_dropped.min(limit.saturating_sub(1)), |(&revision, _)| revision)
    }

    /// Records the decisions and the present revision of a node's report.
    pub(crate) fn record_report(&mut self, now: Ms, report: &Report) {
        let add = |details: &mut BTreeMap<Revision, RevisionDetail>, revision, count: u64| {
            let Some(detail) = details.get_mut(&revision) else { return };
            let new = || Activity { first: (now, report.at), ..Activity::default() };
            let activity = detail.activities.entry(report.node.clone()).or_insert_with(new);
            (activity.incarnation, activity.last) = (report.incarnation, (now, report.at));
            activity.decisions += count;
        };
        for &(revision, count) in &report.decisions {
            add(&mut self.details, revision, count);
        }
        // The node acts on its current revision even if it had nothing to decide since the last report.
        add(&mut self.details, report.current_revision, 0);
        self.mark_reached(now, &report.node, report.current_revision);
    }

    /// Marks that a node has reached `current_revision`, and with it all older revisions.
    fn mark_reached(&mut self, now: Ms, node: &str, current_revision: Revision) {
        for detail in self.details.range_mut(..=current_revision).rev().map(|(_, detail)| detail) {
            // With a revision that the node had reached before, it had reached all older ones.
            if !detail.pending_nodes.remove(node) {
                break;
            }
            detail.update_propagation(now);
        }
    }

    /// Stops waiting for a node that was removed.
    pub(crate) fn remove_node(&mut self, now: Ms, node: &str) {
        self.present_nodes.remove(node);
        for detail in self.details.values_mut() {
            if detail.pending_nodes.remove(node) {
                detail.node_count -= 1;
                detail.update_propagation(now);
            }
        }
    }

    /// Records the attempts that a server's agent observed.
    pub(crate) fn record_observation(&mut self, now: Ms, server: &str, observation: &Observation) {
        if let Some(detail) = self.details.get_mut(&observation.revision) {
            let new = || Activity {
                incarnation: observation.incarnation,
                first: (now, observation.first),
                ..Activity::default()
            };
            let activity = detail.activities.entry(observation.node.clone()).or_insert_with(new);
            activity.last = (now, observation.last);
            activity.observed += observation.count;
            activity.refused += observation.refused;
        }
        for request in &observation.requests_after_drain {
            if self.requests_after_drain.len() >= self.max_requests_after_drain {
                self.omitted_after_drain += 1;
                continue;
            }
            let (server, node, request) = (server.to_owned(), observation.node.clone(), request.clone());
            let (revision, at) = (observation.revision, observation.last);
            self.requests_after_drain.push(RequestAfterDrain { server, node, revision, request, at });
        }
    }

    /// Whether a node first acted on a revision no longer than `window_ms` ago.
    pub(crate) fn acted_within(&self, revision: Revision, node: &str, now: Ms, window_ms: Ms) -> bool {
        let activity = self.details.get(&revision).and_then(|detail| detail.activities.get(node));
        activity.is_some_and(|activity| now.saturating_sub(activity.first.0) <= window_ms)
    }

    /// Counts a node that crashed after it acted on a revision, or rejected it, and returns how many nodes have done
    /// so. `None` if the node had been counted before or the revision is not kept.
    pub(crate) fn add_failed_node(&mut self, revision: Revision, node: &str) -> Option<usize> {
        let detail = self.details.get_mut(&revision)?;
        detail.failed_nodes.insert(node.to_owned()).then_some(detail.failed_nodes.len())
    }

    /// Forgets which nodes crashed after they had acted on a revision, or rejected it.
    pub(crate) fn clear_failed_nodes(&mut self, revision: Revision) {
        if let Some(detail) = self.details.get_mut(&revision) {
            detail.failed_nodes.clear();
        }
    }
}

impl RevisionDetail {
    /// Sets the propagation times that are reached with the nodes that have acted by now.
    fn update_propagation(&mut self, now: Ms) {
        let elapsed = now.saturating_sub(self.committed_at);
        let acted = self.node_count - self.pending_nodes.len();
        let times = [(&mut self.half_ms, 50), (&mut self.p99_ms, 99), (&mut self.all_ms, 100)];
        for (time, percent) in times {
            if time.is_none() && acted * 100 >= self.node_count * percent {
                *time = Some(elapsed);
            }
        }
    }
}

impl crate::Audit {
    /// Records a new revision of the list. Nodes whose lease has expired are not expected to act on it.
    pub(crate) fn commit_revision(&mut self, revision: Revision, unix_ms: u64) {
        let present_nodes = self
            .nodes
            .iter()
            .filter(|(_, node)| !node.is_lease_expired)
            .map(|(name, _)| name.clone())
            .collect();
        if revision > self.revisions.newest() {
            self.revisions.add_revision(self.now, revision, unix_ms, present_nodes);
            self.append_history(crate::AuditRecord::Committed { revision });
        }
    }
}
