//! The floor, and what halts it.

use crate::{Admission, Audit, Happening, Revision};

impl Audit {
    /// The highest floor that refuses nothing of a sound node. `but` is the node that is being shut out.
    pub(crate) fn floor_within_reach(&self, but: Option<&str>) -> Revision {
        let due = self.needed(self.now);
        let sound = self.nodes.iter().filter(|(name, node)| {
            Some(name.as_str()) != but && node.admission != Admission::Out && !node.behind()
        });
        let rests_on = sound.filter_map(|(_, node)| match (node.reported, &node.good) {
            (Some(_), _) => Some(node.oldest),
            // No word of its own: what was last seen of it, if anything.
            (None, Some(good)) => Some(good.revision),
            (None, None) => None,
        });
        rests_on.fold(due, Revision::min)
    }

    pub(crate) fn raise_floor(&mut self, to: Revision, because_of: &str) {
        if to > self.floor {
            let from = self.floor;
            self.floor = to;
            self.note(Happening::FloorRose { from, to, because_of: because_of.to_owned() });
        }
    }

    /// A node's crash after a revision, or its refusal of it. Enough of them halt the floor below it, and nobody is
    /// behind for not acting on it.
    pub(crate) fn speaks_against(&mut self, revision: Revision, node: &str, how: &str) {
        let against = self.revisions.speaks_against(revision, node);
        let (node, how) = (node.to_owned(), how.to_owned());
        if against.is_some() {
            self.note(Happening::Against { revision, node, how });
        }
        let enough = against.is_some_and(|nodes| nodes >= self.config.crashes);
        if enough && self.halted.is_none_or(|halted| revision < halted) {
            self.halted = Some(revision);
            self.note(Happening::Halted { revision });
            // Whoever was behind only for want of it is no longer.
            for node in self.nodes.values_mut() {
                if node.low.as_ref().is_some_and(|low| low.needed >= revision) {
                    node.low = None;
                }
            }
            let names: Vec<String> = self.nodes.keys().cloned().collect();
            names.iter().for_each(|name| self.judge(name));
        }
    }
}
