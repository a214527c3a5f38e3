//! The escalation steps for a straggler: what it is asked to do to catch up, when it is shut out, and how it is
//! readmitted on probation.

use std::collections::BTreeMap;

use crate::{Admission, Audit, AuditRecord, EscalationStep, Evidence, Ms, Node, OperatorCommand};

/// After this many relapses the probation time is not doubled any more.
const MAX_PROBATION_DOUBLINGS: u32 = 10;

impl Audit {
    /// Re-evaluates a node after new evidence. Recoveries, relapses and the first escalation step take effect at
    /// once; further steps are taken as time passes (see [`Audit::tick`]).
    pub(crate) fn evaluate_node(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.is_behind() {
            if node.admission == Admission::Probation {
                return self.shut_out_again(name);
            }
            if node.step == EscalationStep::Normal && node.admission == Admission::Full {
                let is_behind_again = node.highest_step != EscalationStep::Normal
                    && now < node.recovered_at + self.config.step_memory_ms;
                let first = if is_behind_again {
                    self.config.next_step(node.highest_step)
                } else {
                    EscalationStep::ListRefetched
                };
                // Only the periodic pass shuts a node out, because it checks the limits on unavailable nodes.
                let first = first.min(self.config.last_step());
                (node.step, node.step_since) = (first, now);
                let evidence = node.behind_evidence.clone();
                self.append_history(AuditRecord::Escalated { node: name.to_owned(), to: first, evidence });
            }
            return;
        }
        match (node.step, node.admission) {
            (EscalationStep::ShutOut, Admission::ShutOut) => self.readmit(name),
            (EscalationStep::Normal | EscalationStep::ShutOut, _) => {}
            (reached, _) => {
                (node.step, node.step_since, node.recovered_at) = (EscalationStep::Normal, now, now);
                node.highest_step = node.highest_step.max(reached);
                let evidence = node.up_to_date_evidence.clone();
                self.append_history(AuditRecord::Recovered {
                    node: name.to_owned(),
                    from: reached,
                    evidence,
                });
            }
        }
    }

    /// Readmits a node on probation if there is evidence that it is up to date, dated more than `max_flight_ms`
    /// after it was shut out: by then all attempts from before have arrived. A node whose reports were contradicted
    /// is readmitted only as a new process.
    fn readmit(&mut self, name: &str) {
        let (now, floor, max_flight_ms) = (self.now, self.floor, self.config.max_flight_ms);
        let Some(node) = self.nodes.get_mut(name) else { return };
        let evidence = node
            .up_to_date_evidence
            .as_ref()
            .filter(|evidence| evidence.at.not_before > node.step_since + max_flight_ms);
        let Some(evidence) =
            evidence.filter(|evidence| evidence.revision >= floor && !node.is_contradicted).cloned()
        else {
            return;
        };
        (node.admission, node.admitted_at) = (Admission::Probation, now);
        (node.step, node.step_since) = (EscalationStep::Normal, now);
        (node.recovered_at, node.highest_step) = (now, EscalationStep::ShutOut);
        let evidence = Some(evidence);
        self.append_history(AuditRecord::Admitted {
            node: name.to_owned(),
            to: Admission::Probation,
            evidence,
        });
    }

    /// Shuts out a node that fell behind on probation, without regard to the limits on unavailable nodes.
    fn shut_out_again(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.relapses = node.relapses.saturating_add(1);
        node.admission = Admission::ShutOut;
        (node.step, node.step_since) = (EscalationStep::ShutOut, now);
        let evidence = node.behind_evidence.clone();
        let to = EscalationStep::ShutOut;
        self.append_history(AuditRecord::Escalated { node: name.to_owned(), to, evidence });
    }

    /// The periodic pass over all nodes: ends probations and escalates nodes that are still behind.
    pub(crate) fn tick(&mut self) {
        self.detect_shared_causes();
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        // Where the limits do not allow shutting out all, the node that has been on its step longest goes first.
        let mut due: Vec<(Ms, String)> = Vec::new();
        for name in names {
            let node = &self.nodes[&name];
            if node.admission == Admission::Probation {
                self.end_probation(&name);
            } else if node.step != EscalationStep::Normal
                && node.step != EscalationStep::ShutOut
                && self.is_step_over(node)
            {
                due.push((node.step_since, name));
            }
        }
        due.sort();
        for (_, name) in due {
            self.escalate(&name);
        }
    }

    /// Whether the node's step has had its time, and evidence from the second half of that time or later shows that
    /// the step did not help.
    fn is_step_over(&self, node: &Node) -> bool {
        let second_half = node.step_since + self.config.step_ms / 2;
        let did_not_help =
            node.behind_evidence.as_ref().is_some_and(|evidence| evidence.at.not_before >= second_half);
        node.is_behind() && did_not_help && self.now >= node.step_since + self.config.step_ms
    }

    /// Moves a node to its next escalation step, unless the cause is shared within its pool or zone.
    fn escalate(&mut self, name: &str) {
        let node = &self.nodes[name];
        if self.shared_causes.contains_key(&pool_key(node))
            || self.shared_causes.contains_key(&zone_key(node))
        {
            return;
        }
        let next = self.config.next_step(node.step);
        if next == EscalationStep::ShutOut {
            return self.shut_out(name);
        }
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        (node.step, node.step_since) = (next, now);
        let evidence = node.behind_evidence.clone();
        self.append_history(AuditRecord::Escalated { node: name.to_owned(), to: next, evidence });
    }

    /// Shuts out a node and raises the floor past what it acts on, unless a limit forbids one of the two.
    fn shut_out(&mut self, name: &str) {
        let node = &self.nodes[name];
        let Some(evidence) = node.behind_evidence.clone() else { return };
        if let Some(scope) = self.find_exhausted_scope(name, node) {
            return self.defer_shut_out(name, evidence, format!("no more of {scope} may be out at once"));
        }
        // Servers go on executing the node's attempts until the floor is above the node's revision. A floor above a
        // revision that up-to-date nodes still use would make servers refuse their attempts too.
        let floor = self.highest_safe_floor(Some(name));
        if floor <= evidence.revision {
            let reason = "sound nodes still rest on what it acts on".to_owned();
            return self.defer_shut_out(name, evidence, reason);
        }
        self.raise_floor(floor, name);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.admission = Admission::ShutOut;
        (node.step, node.step_since) = (EscalationStep::ShutOut, now);
        node.shut_out_incarnation = node.incarnation;
        let (to, evidence) = (EscalationStep::ShutOut, Some(evidence));
        self.append_history(AuditRecord::Escalated { node: name.to_owned(), to, evidence });
    }

    /// Records why a node is not shut out: once, not again at each periodic pass.
    fn defer_shut_out(&mut self, name: &str, evidence: Evidence, reason: String) {
        let node = name.to_owned();
        let is_recorded = self
            .history
            .last_verdict(name)
            .is_some_and(|last| matches!(last, AuditRecord::ShutOutDeferred { .. }));
        if !is_recorded {
            self.append_history(AuditRecord::ShutOutDeferred { node, reason, evidence });
        }
    }

    /// Returns the node's pool or zone if so many other nodes there are unavailable that no more may be shut out.
    /// The node itself is not counted: its own expired lease or drain does not keep it from being shut out.
    fn find_exhausted_scope(&self, name: &str, node: &Node) -> Option<String> {
        for (key, key_of) in [(pool_key(node), pool_key as fn(&Node) -> String), (zone_key(node), zone_key)] {
            let in_scope = || self.nodes.iter().filter(|(_, other)| key_of(other) == key);
            let unavailable = in_scope().filter(|(id, other)| *id != name && other.is_unavailable()).count();
            if unavailable >= self.config.max_unavailable(in_scope().count()) {
                return Some(key);
            }
        }
        None
    }

    /// Updates the pools and zones for which a shared cause is assumed, because too many of their nodes are behind
    /// at once.
    fn detect_shared_causes(&mut self) {
        let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for node in self.nodes.values() {
            let is_behind = node.is_behind() && node.admission == Admission::Full;
            for key in [pool_key(node), zone_key(node)] {
                let (total, behind) = counts.entry(key).or_default();
                (*total, *behind) = (*total + 1, *behind + usize::from(is_behind));
            }
        }
        for (scope, (total, behind)) in counts {
            let is_shared = behind > self.config.max_behind(total);
            if is_shared && !self.shared_causes.contains_key(&scope) {
                self.shared_causes.insert(scope.clone(), self.now);
                self.append_history(AuditRecord::SharedCauseFound { scope, behind, total });
            } else if !is_shared && self.shared_causes.remove(&scope).is_some() {
                self.append_history(AuditRecord::SharedCauseCleared { scope, behind, total });
            }
        }
    }

    /// Readmits a node in full if its probation time, which doubles with each relapse, is over and there is
    /// evidence from within it that the node is up to date.
    fn end_probation(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        let doublings = node.relapses.min(MAX_PROBATION_DOUBLINGS);
        let probation_ms = self.config.probation_ms.saturating_mul(1 << doublings);
        let evidence =
            node.up_to_date_evidence.as_ref().filter(|evidence| evidence.at.not_before > node.admitted_at);
        let Some(evidence) = evidence.filter(|_| now >= node.admitted_at + probation_ms).cloned() else {
            return;
        };
        (node.admission, node.admitted_at) = (Admission::Full, now);
        let evidence = Some(evidence);
        self.append_history(AuditRecord::Admitted { node: name.to_owned(), to: Admission::Full, evidence });
    }

    /// Carries out an operator's command.
    pub(crate) fn apply_operator_command(&mut self, operator: &str, reason: &str, command: &OperatorCommand) {
        let (operator, reason) = (operator.to_owned(), reason.to_owned());
        match command {
            OperatorCommand::SetFloor(floor) => {
                let from = self.floor;
                self.floor = (*floor).min(self.revisions.newest());
                self.append_history(AuditRecord::FloorSet { from, to: self.floor, operator, reason });
            }
            OperatorCommand::ResumeFloor => {
                let revision = self.halted_revision.take().unwrap_or(0);
                self.revisions.clear_failed_nodes(revision);
                self.append_history(AuditRecord::FloorResumed { revision, operator, reason });
            }
            OperatorCommand::AdmitNode(name) => {
                let now = self.now;
                let Some(node) = self.nodes.get_mut(name) else { return };
                (node.admission, node.admitted_at) = (Admission::Full, now);
                (node.step, node.step_since) = (EscalationStep::Normal, now);
                node.highest_step = EscalationStep::Normal;
                (node.behind_evidence, node.is_contradicted) = (None, false);
                let node = name.clone();
                self.append_history(AuditRecord::AdmittedByOperator { node, operator, reason });
            }
        }
    }
}

impl crate::Config {
    /// The escalation step that follows `step`.
    pub(crate) fn next_step(&self, step: EscalationStep) -> EscalationStep {
        match step {
            EscalationStep::Normal => EscalationStep::ListRefetched,
            EscalationStep::ListRefetched => EscalationStep::WatchesReopened,
            EscalationStep::WatchesReopened if self.allows_restarts => EscalationStep::Restarted,
            _ => EscalationStep::ShutOut,
        }
    }

    /// The last step before a node is shut out.
    pub(crate) fn last_step(&self) -> EscalationStep {
        if self.allows_restarts {
            EscalationStep::Restarted
        } else {
            EscalationStep::WatchesReopened
        }
    }
}

fn pool_key(node: &Node) -> String {
    format!("pool {}", node.pool)
}

fn zone_key(node: &Node) -> String {
    format!("zone {} of pool {}", node.zone, node.pool)
}
