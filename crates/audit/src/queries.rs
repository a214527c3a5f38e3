//! Queries about the past: who acted on a revision and when, and how fast a revision propagated.

use serde::Serialize;

use crate::revisions::RequestAfterDrain;
use crate::{Audit, Ms, Revision, Timestamp};

/// What a node did on one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeActivity {
    /// The node's name.
    pub node: String,
    /// The incarnation of the process that last reported acting on the revision; without a report, that of the first
    /// observation.
    pub incarnation: u64,
    /// The first report or observation of the revision: the log time at which it was applied, and its own timestamp.
    pub first: (Ms, Timestamp),
    /// The last report or observation of the revision, in the same form.
    pub last: (Ms, Timestamp),
    /// The number of decisions that the node reported.
    #[serde(rename = "decided")]
    pub decisions: u64,
    /// The number of attempts that servers observed.
    #[serde(rename = "seen")]
    pub observed: u64,
    /// The number of observed attempts that servers refused because the revision is below the floor.
    pub refused: u64,
}

/// Which revision a node acted on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeRevision {
    /// The node's name.
    pub node: String,
    /// The revision; `None` where nothing is known about that time.
    pub revision: Option<Revision>,
}

/// How fast a revision propagated to the nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Propagation {
    /// The revision.
    pub revision: Revision,
    /// When the revision was committed: log time, and the leader's wall clock in Unix milliseconds (0 where that is
    /// not known).
    pub committed: (Ms, u64),
    /// The number of nodes that were present at the commit, less those that were removed before they had acted.
    #[serde(rename = "nodes")]
    pub node_count: usize,
    /// Log time until half of the nodes had acted on this revision or a later one.
    pub half_ms: Option<Ms>,
    /// Log time until 99 % of the nodes had.
    #[serde(rename = "most_ms")]
    pub p99_ms: Option<Ms>,
    /// Log time until all nodes had.
    pub all_ms: Option<Ms>,
    /// The nodes that have not acted on this revision or a later one yet.
    #[serde(rename = "waits")]
    pub pending_nodes: Vec<String>,
}

impl Audit {
    /// Lists which nodes acted on a revision. `None` if the details of the revision are not kept, or no longer.
    pub fn list_activity(&self, revision: Revision) -> Option<Vec<NodeActivity>> {
        let detail = self.revisions.details.get(&revision)?;
        let activities = detail.activities.iter().map(|(node, activity)| NodeActivity {
            node: node.clone(),
            incarnation: activity.incarnation,
            first: activity.first,
            last: activity.last,
            decisions: activity.decisions,
            observed: activity.observed,
            refused: activity.refused,
        });
        Some(activities.collect())
    }

    /// Lists, for each present node, the revision that it acted on at log time `at`, by the reports and observations
    /// that had been applied by then.
    pub fn list_revisions_in_use(&self, at: Ms) -> Vec<NodeRevision> {
        let find_revision = |node: &String| {
            let mut newest_first = self.revisions.details.iter().rev();
            let in_use = newest_first.find(|(_, detail)| {
                detail.activities.get(node).is_some_and(|activity| activity.first.0 <= at)
            });
            NodeRevision { node: node.clone(), revision: in_use.map(|(&revision, _)| revision) }
        };
        self.nodes().keys().map(find_revision).collect()
    }

    /// Returns how fast a revision propagated. `None` if the details of the revision are not kept, or no longer.
    pub fn propagation(&self, revision: Revision) -> Option<Propagation> {
        let detail = self.revisions.details.get(&revision)?;
        Some(Propagation {
            revision,
            committed: (detail.committed_at, detail.unix_ms),
            node_count: detail.node_count,
            half_ms: detail.half_ms,
            p99_ms: detail.p99_ms,
            all_ms: detail.all_ms,
            pending_nodes: detail.pending_nodes.iter().cloned().collect(),
        })
    }

    /// Lists the requests that reached a server after it had been told to drain, and returns how many more there
    /// were, for all servers, that could not be kept.
    pub fn list_requests_after_drain(&self, server: &str) -> (Vec<RequestAfterDrain>, u64) {
        let requests = self.revisions.requests_after_drain.iter().filter(|request| request.server == server);
        (requests.cloned().collect(), self.revisions.omitted_after_drain)
    }

    /// Lists the revisions whose details are kept, oldest first, and returns the newest whose details were dropped.
    pub fn list_kept_revisions(&self) -> (Vec<Revision>, Revision) {
        (self.revisions.details.keys().copied().collect(), self.revisions.newest_dropped)
    }
}
