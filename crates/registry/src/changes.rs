//! What changed, for watches that resume.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Member, Revision, Role, State};

/// A change of one member; one that is gone keeps what it last was.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) revision: Revision,
    pub(crate) member: Member,
    pub(crate) gone: bool,
}

/// The latest changes, oldest first, bounded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Changes {
    latest: VecDeque<Change>,
    /// Changes up to this revision are no longer kept.
    forgotten: Revision,
}

/// What a watch is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Since {
    /// The members that changed, each as it is now; `true` for one that is gone.
    Changes(Vec<(Member, bool)>),
    /// The whole list: too much has changed.
    Whole(Vec<Member>),
    /// This replica has not come that far: ask another one, or later.
    Ahead,
}

impl Changes {
    pub(crate) fn push(&mut self, change: Change, most: usize) {
        self.latest.push_back(change);
        while self.latest.len() > most {
            if let Some(oldest) = self.latest.pop_front() {
                self.forgotten = oldest.revision;
            }
        }
    }
}

impl State {
    /// What changed for members of a role and pool after a revision. From 0 on it is the whole list.
    pub fn since(&self, revision: Revision, role: Role, pool: &str) -> Since {
        if revision > self.revision() {
            return Since::Ahead;
        }
        let mine = |member: &Member| member.role == role && member.pool == pool;
        if revision == 0 || revision < self.changes.forgotten {
            let members = self.members.values().map(|held| &held.member);
            return Since::Whole(members.filter(|member| mine(member)).cloned().collect());
        }
        let start = self.changes.latest.partition_point(|change| change.revision <= revision);
        let mut changed: Vec<(Member, bool)> = Vec::new();
        // The newest word of each member counts.
        for change in self.changes.latest.iter().skip(start).rev().filter(|change| mine(&change.member)) {
            if !changed.iter().any(|(member, _)| member.id == change.member.id) {
                changed.push((change.member.clone(), change.gone));
            }
        }
        changed.reverse();
        Since::Changes(changed)
    }
}
