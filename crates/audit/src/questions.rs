//! What the record answers, long after the fact.

use serde::Serialize;

use crate::revisions::AfterDrain;
use crate::{Audit, Ms, Revision, Stamp};

/// What a node did on a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Acted {
    /// The node.
    pub node: String,
    /// The process that last did.
    pub incarnation: u64,
    /// The first and the last word of it: log time of its record, and the witness's stamp.
    pub first: (Ms, Stamp),
    /// The last word of it.
    pub last: (Ms, Stamp),
    /// Decisions by the node's count.
    pub decided: u64,
    /// Attempts that servers saw.
    pub seen: u64,
    /// Attempts that servers turned away for being below the floor.
    pub refused: u64,
}

/// What a node stood on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Standing {
    /// The node.
    pub node: String,
    /// The revision, `None` where none is known of that time.
    pub revision: Option<Revision>,
}

/// How a change spread.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// The revision.
    pub revision: Revision,
    /// When it was committed: log time, and the leader's wall clock.
    pub committed: (Ms, u64),
    /// The nodes that there were then and are still awaited or have acted.
    pub nodes: usize,
    /// Log time until half of them, 99 in 100, and all had acted on it or a later one.
    pub half_ms: Option<Ms>,
    /// 99 in 100.
    pub most_ms: Option<Ms>,
    /// All.
    pub all_ms: Option<Ms>,
    /// Those that have not.
    pub waits: Vec<String>,
}

impl Audit {
    /// Who acted on a revision, when first and when last. `None` where it is not known, or no longer.
    pub fn who_acted(&self, revision: Revision) -> Option<Vec<Acted>> {
        let detail = self.revisions.details.get(&revision)?;
        let acted = detail.by.iter().map(|(node, deed)| Acted {
            node: node.clone(),
            incarnation: deed.incarnation,
            first: deed.first,
            last: deed.last,
            decided: deed.decided,
            seen: deed.seen,
            refused: deed.refused,
        });
        Some(acted.collect())
    }

    /// What each node that is here stood on at a log time, by its own words and those of servers until then.
    pub fn in_use(&self, at: Ms) -> Vec<Standing> {
        let of = |node: &String| {
            let mut known = self.revisions.details.iter().rev();
            let on = known.find(|(_, detail)| detail.by.get(node).is_some_and(|deed| deed.first.0 <= at));
            Standing { node: node.clone(), revision: on.map(|(&revision, _)| revision) }
        };
        self.nodes().keys().map(of).collect()
    }

    /// How long a change took to reach the fleet.
    pub fn spread(&self, revision: Revision) -> Option<Spread> {
        let detail = self.revisions.details.get(&revision)?;
        Some(Spread {
            revision,
            committed: (detail.at, detail.unix_ms),
            nodes: detail.nodes,
            half_ms: detail.half,
            most_ms: detail.most,
            all_ms: detail.all,
            waits: detail.waits.iter().cloned().collect(),
        })
    }

    /// Requests that reached a server after its drain was told, and how many more there was no room for.
    pub fn after_drain(&self, server: &str) -> (Vec<AfterDrain>, u64) {
        let of = self.revisions.after_drain.iter().filter(|after| after.server == server);
        (of.cloned().collect(), self.revisions.more_after_drain)
    }

    /// The revisions whose details are kept, oldest first, and the newest whose are not.
    pub fn kept(&self) -> (Vec<Revision>, Revision) {
        (self.revisions.details.keys().copied().collect(), self.revisions.forgotten)
    }
}
