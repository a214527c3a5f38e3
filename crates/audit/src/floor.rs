//! The floor (the lowest revision that may still run) and the halt that keeps it below a suspected revision.

use crate::{Admission, Audit, AuditRecord, Revision};

impl Audit {
    /// Returns the highest floor that refuses no attempt of a node that is up to date. The node `except`, which is
    /// about to be shut out, is not taken into account.
    pub(crate) fn highest_safe_floor(&self, except: Option<&str>) -> Revision {
        let required = self.required_revision(self.now);
        let up_to_date = self.nodes.iter().filter(|(name, node)| {
            Some(name.as_str()) != except && node.admission != Admission::ShutOut && !node.is_behind()
        });
        let in_use =
            up_to_date.filter_map(|(_, node)| match (node.last_report_at, &node.up_to_date_evidence) {
                (Some(_), _) => Some(node.oldest_in_flight),
                // Without a report of the node's own, the last observation of its attempts is used, if there is any.
                (None, Some(evidence)) => Some(evidence.revision),
                (None, None) => None,
            });
        in_use.fold(required, Revision::min)
    }

    /// Raises the floor so that the attempts of `shut_out_node` no longer run. The floor is never lowered here.
    pub(crate) fn raise_floor(&mut self, to: Revision, shut_out_node: &str) {
        if to > self.floor {
            let from = self.floor;
            self.floor = to;
            self.append_history(AuditRecord::FloorRaised {
                from,
                to,
                shut_out_node: shut_out_node.to_owned(),
            });
        }
    }

    /// Counts a node's crash after it acted on a revision, or its rejection of the revision, against the revision.
    /// At `crashes_to_halt` nodes the floor is halted below the revision, and no node counts as behind for not
    /// acting on it.
    pub(crate) fn suspect_revision(&mut self, revision: Revision, node: &str, reason: &str) {
        let failed_node_count = self.revisions.add_failed_node(revision, node);
        let (node, reason) = (node.to_owned(), reason.to_owned());
        if failed_node_count.is_some() {
            self.append_history(AuditRecord::RevisionSuspected { revision, node, reason });
        }
        let must_halt = failed_node_count.is_some_and(|count| count >= self.config.crashes_to_halt);
        if must_halt && self.halted_revision.is_none_or(|halted| revision < halted) {
            self.halted_revision = Some(revision);
            self.append_history(AuditRecord::FloorHalted { revision });
            // A node that was behind only because it lacks this revision is not behind any more.
            for node in self.nodes.values_mut() {
                if node.behind_evidence.as_ref().is_some_and(|evidence| evidence.required >= revision) {
                    node.behind_evidence = None;
                }
            }
            let names: Vec<String> = self.nodes.keys().cloned().collect();
            names.iter().for_each(|name| self.evaluate_node(name));
        }
    }
}
