//! The latest changes to members, from which a watch resumes.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Member, Revision, Role, State};

/// A change of one member. For a removed member, `member` is its last state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) revision: Revision,
    pub(crate) member: Member,
    #[serde(rename = "gone")]
    pub(crate) is_removed: bool,
}

/// The latest changes, oldest first, bounded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Changes {
    latest: VecDeque<Change>,
    /// The newest revision whose change was dropped.
    #[serde(rename = "forgotten")]
    newest_dropped: Revision,
}

/// What a watch has to be sent so that its list is up to date.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// The members that changed, each in its present state; `true` for a removed one.
    Changes(Vec<(Member, bool)>),
    /// The whole list: some of the changes are no longer kept, or the watch has nothing yet.
    Full(Vec<Member>),
    /// The watch has a newer revision than this replica: ask another replica, or later.
    Ahead,
}

impl Changes {
    pub(crate) fn push(&mut self, change: Change, max_changes: usize) {
        self.latest.push_back(change);
        while self.latest.len() > max_changes {
            if let Some(oldest) = self.latest.pop_front() {
                self.newest_dropped = oldest.revision;
            }
        }
    }
}

impl State {
    /// Returns what changed after `revision` for the members of a role and pool; the whole list for revision 0.
    pub fn updates_since(&self, revision: Revision, role: Role, pool: &str) -> ListUpdate {
        if revision > self.revision() {
            return ListUpdate::Ahead;
        }
        let is_listed = |member: &Member| member.role == role && member.pool == pool;
        if revision == 0 || revision < self.changes.newest_dropped {
            let members = self.members.values().map(|registration| &registration.member);
            return ListUpdate::Full(members.filter(|member| is_listed(member)).cloned().collect());
        }
        let start = self.changes.latest.partition_point(|change| change.revision <= revision);
        let mut changed: Vec<(Member, bool)> = Vec::new();
        // Of several changes of a member, only the newest is sent.
        let newest_first = self.changes.latest.iter().skip(start).rev();
        for change in newest_first.filter(|change| is_listed(&change.member)) {
            if !changed.iter().any(|(member, _)| member.id == change.member.id) {
                changed.push((change.member.clone(), change.is_removed));
            }
        }
        changed.reverse();
        ListUpdate::Changes(changed)
    }
}
