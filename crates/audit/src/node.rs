//! The state of one node, and the evidence on whether the node acts on the revision that it should.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Audit, AuditRecord, Event, Ms, Observation, Report, Revision, Timestamp};

/// How many claims of a node are kept. A node reports a few times a second, so these reach back further than the
/// longest time that an attempt is in flight.
const MAX_CLAIMS: usize = 32;

/// Who provided a piece of evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EvidenceSource {
    /// The node's own report.
    Report,
    /// The agent of this app server.
    Server(String),
}

/// Evidence that a node acted on a revision, and which revision it had to have reached by then. The node is behind
/// where `revision` is less than `required`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The revision that the node acted on.
    pub revision: Revision,
    /// The oldest revision that the node was still allowed to act on when it decided.
    #[serde(rename = "needed")]
    pub required: Revision,
    /// When the node sent the report, or when the server observed the last of the attempts.
    pub at: Timestamp,
    /// Who provided the evidence.
    #[serde(rename = "by")]
    pub source: EvidenceSource,
}

/// An escalation step: what is done about a node that is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EscalationStep {
    /// Nothing is asked of the node or its agent.
    #[default]
    #[serde(rename = "fine")]
    Normal,
    /// The node's agent drops its watch and takes the whole list from another replica.
    #[serde(rename = "told_again")]
    ListRefetched,
    /// The agent does so again and also closes the node's watch: the node reopens it and gets the whole list.
    #[serde(rename = "rewatched")]
    WatchesReopened,
    /// The node's host drains and restarts the node.
    Restarted,
    /// The node is shut out.
    #[serde(rename = "out")]
    ShutOut,
}

/// How much of its share of requests a node may get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// All of its share.
    #[default]
    Full,
    /// A small part of its share, after the node was shut out and has caught up.
    #[serde(rename = "part")]
    Probation,
    /// No requests.
    #[serde(rename = "out")]
    ShutOut,
}

/// What the audit knows about a node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Node {
    /// The node's pool.
    pub pool: String,
    /// The node's zone.
    pub zone: String,
    /// The incarnation of the node's process.
    pub incarnation: u64,
    /// The version of the node's program.
    pub program: String,
    /// The version of the node's configuration.
    pub config: String,
    /// The newest revision that the agent wrote to the node's watch.
    #[serde(rename = "told")]
    pub forwarded_revision: Revision,
    /// The newest revision that the node's agent has.
    #[serde(rename = "held")]
    pub agent_revision: Revision,
    /// The revision that, by the node's report, its next decision will be based on.
    #[serde(rename = "standing")]
    pub current_revision: Revision,
    /// The oldest revision that, by the node's report, a request in flight is based on.
    #[serde(rename = "oldest")]
    pub oldest_in_flight: Revision,
    /// When the newest report of this process was applied; `None` before the first one.
    #[serde(rename = "reported")]
    pub last_report_at: Option<Ms>,
    /// The latest revisions that the node claimed to act on, each with the time at which the first report of it was
    /// applied; oldest first.
    pub claims: VecDeque<(Revision, Ms)>,
    /// The newest evidence that the node was behind.
    #[serde(rename = "low")]
    pub behind_evidence: Option<Evidence>,
    /// The newest evidence that the node was up to date.
    #[serde(rename = "good")]
    pub up_to_date_evidence: Option<Evidence>,
    /// Whether observed attempts contradicted the node's reports. Reports are believed again from a new process
    /// only.
    #[serde(rename = "lies")]
    pub is_contradicted: bool,
    /// Whether the node is draining for a reason other than the audit.
    #[serde(rename = "drains")]
    pub is_draining: bool,
    /// Whether the node's lease has expired.
    #[serde(rename = "lost")]
    pub is_lease_expired: bool,
    /// The escalation step that the node is on.
    pub step: EscalationStep,
    /// Since when the node is on that step.
    #[serde(rename = "step_at")]
    pub step_since: Ms,
    /// The highest step that the node was on before it recovered.
    #[serde(rename = "reached")]
    pub highest_step: EscalationStep,
    /// When the node last recovered.
    #[serde(rename = "recovered")]
    pub recovered_at: Ms,
    /// How often the node fell behind again while it was on probation.
    pub relapses: u32,
    /// How much of its share of requests the node may get.
    pub admission: Admission,
    /// When the node was last readmitted, on probation or in full.
    #[serde(rename = "admitted")]
    pub admitted_at: Ms,
    /// The incarnation of the process that was last shut out from full admission.
    #[serde(rename = "out_incarnation")]
    pub shut_out_incarnation: u64,
}

impl Node {
    /// Whether the newest evidence says that the node is behind.
    pub fn is_behind(&self) -> bool {
        match (&self.behind_evidence, &self.up_to_date_evidence) {
            (Some(behind), Some(up_to_date)) => behind.at.not_before > up_to_date.at.not_before,
            (behind, None) => behind.is_some(),
            (None, _) => false,
        }
    }

    /// Whether the node is shut out, is draining or has an expired lease.
    pub fn is_unavailable(&self) -> bool {
        self.is_draining || self.is_lease_expired || self.admission == Admission::ShutOut
    }
}

impl Audit {
    /// Registers a node, or a new process of a node. The evidence about an earlier process is dropped, and its end
    /// may count against the revision that it acted on last.
    pub(crate) fn register_process(
        &mut self,
        name: &str,
        pool: &str,
        zone: &str,
        incarnation: u64,
        program: &str,
        config: &str,
    ) {
        if !self.nodes.contains_key(name) && self.nodes.len() >= self.config.max_nodes {
            return self.append_history(AuditRecord::NodeLimitReached { node: name.to_owned() });
        }
        let now = self.now;
        let node = self.nodes.entry(name.to_owned()).or_default();
        let (previous_incarnation, is_first) = (node.incarnation, node.incarnation == 0);
        (node.pool, node.zone) = (pool.to_owned(), zone.to_owned());
        (node.program, node.config) = (program.to_owned(), config.to_owned());
        let is_end_expected = node.step == EscalationStep::Restarted || node.is_unavailable();
        node.is_lease_expired = false;
        if incarnation <= previous_incarnation && !is_first {
            return;
        }
        let previous_revision = node.current_revision;
        node.incarnation = incarnation;
        // Nothing that the previous process reported or that was observed of it says anything about the new one. The
        // escalation step stays until there is evidence about the new process.
        (node.behind_evidence, node.up_to_date_evidence) = (None, None);
        (node.current_revision, node.oldest_in_flight, node.last_report_at) = (0, 0, None);
        node.claims.clear();
        (node.is_contradicted, node.is_draining) = (false, false);
        let (node, program, config) = (name.to_owned(), program.to_owned(), config.to_owned());
        self.append_history(AuditRecord::Started { node: node.clone(), incarnation, program, config });
        let has_crashed = !is_first
            && !is_end_expected
            && self.revisions.acted_within(previous_revision, &node, now, self.config.crash_window_ms);
        if has_crashed {
            self.suspect_revision(previous_revision, &node, "its process ended soon after acting on it");
        }
    }

    /// Removes a node that was taken out of the registry on purpose.
    pub(crate) fn remove_node(&mut self, name: &str) {
        if self.nodes.remove(name).is_some() {
            self.revisions.remove_node(self.now, name);
            self.append_history(AuditRecord::Removed { node: name.to_owned() });
        }
    }

    /// Marks a node whose lease expired. The node stays in the audit, because it may still serve requests.
    pub(crate) fn mark_lease_expired(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name).filter(|node| !node.is_lease_expired) else { return };
        node.is_lease_expired = true;
        self.append_history(AuditRecord::LeaseExpired { node: name.to_owned() });
    }

    pub(crate) fn set_draining(&mut self, name: &str, is_draining: bool) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.is_draining = is_draining;
        }
    }

    pub(crate) fn record_forwarding(
        &mut self,
        name: &str,
        forwarded_revision: Revision,
        agent_revision: Revision,
    ) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.forwarded_revision = node.forwarded_revision.max(forwarded_revision);
            node.agent_revision = node.agent_revision.max(agent_revision);
        }
    }

    /// Applies a node's report about itself. Reports of another process than the registered one are ignored.
    pub(crate) fn apply_report(&mut self, report: &Report) {
        // No node can act on a revision that was never committed: the report is recorded and otherwise ignored.
        if report.current_revision > self.revisions.newest() {
            let (node, revision) = (report.node.clone(), report.current_revision);
            let source = EvidenceSource::Report;
            return self.append_history(AuditRecord::UnknownRevision { node, revision, source });
        }
        let required = self.required_revision(report.at.not_before);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&report.node) else { return };
        if report.incarnation != node.incarnation {
            return;
        }
        if report.current_revision < node.current_revision {
            let (name, from, to) = (report.node.clone(), node.current_revision, report.current_revision);
            return self.append_history(AuditRecord::RevisionRegressed { node: name, from, to });
        }
        if report.current_revision > node.current_revision {
            node.claims.push_back((report.current_revision, now));
            if node.claims.len() > MAX_CLAIMS {
                node.claims.pop_front();
            }
        }
        let has_advanced = report.current_revision > node.current_revision || node.last_report_at.is_none();
        node.current_revision = report.current_revision;
        node.oldest_in_flight = report.oldest_in_flight.min(report.current_revision);
        node.last_report_at = Some(now);
        let revision = report.current_revision;
        let evidence = Evidence { revision, required, at: report.at, source: EvidenceSource::Report };
        if report.current_revision < required {
            keep_newer(&mut node.behind_evidence, evidence);
        } else if !node.is_contradicted {
            keep_newer(&mut node.up_to_date_evidence, evidence);
        }
        self.revisions.record_report(now, report);
        if has_advanced {
            let (node, incarnation, at) = (report.node.clone(), report.incarnation, report.at);
            self.append_history(AuditRecord::Acted { node, incarnation, revision, at });
        }
        let newest = self.revisions.newest();
        if let Some(rejected) = report.rejected_revision.filter(|&rejected| rejected <= newest) {
            self.suspect_revision(rejected, &report.node, "it can't act on it");
        }
        self.evaluate_node(&report.node);
    }

    /// Applies a server's observation of a node's attempts.
    pub(crate) fn apply_observation(&mut self, server: &str, observation: &Observation) {
        let source = EvidenceSource::Server(server.to_owned());
        if observation.revision > self.revisions.newest() {
            let (node, revision) = (observation.node.clone(), observation.revision);
            return self.append_history(AuditRecord::UnknownRevision { node, revision, source });
        }
        // The attempt may have been decided on up to `max_flight_ms` before the server observed it.
        let max_flight_ms = self.config.max_flight_ms;
        let required = self.required_revision(observation.last.not_before.saturating_sub(max_flight_ms));
        let Some(node) = self.nodes.get_mut(&observation.node) else { return };
        self.revisions.record_observation(self.now, server, observation);
        // Attempts that an earlier process left in flight say nothing about the present one.
        if observation.incarnation < node.incarnation {
            return;
        }
        let (revision, at) = (observation.revision, observation.last);
        let evidence = Evidence { revision, required, at, source: source.clone() };
        // The first claim of a later revision counts, not the latest one: otherwise a node that claims a new
        // revision with every report would never be found to contradict its reports.
        let later_claim = node.claims.iter().find(|(claimed, _)| *claimed > observation.revision);
        let contradicts_report = observation.incarnation == node.incarnation
            && later_claim
                .is_some_and(|(_, claimed_at)| observation.last.not_before > claimed_at + max_flight_ms);
        if observation.revision < required {
            keep_newer(&mut node.behind_evidence, evidence);
        } else {
            keep_newer(&mut node.up_to_date_evidence, evidence);
        }
        if contradicts_report && !node.is_contradicted {
            node.is_contradicted = true;
            // The node's own reports no longer count as evidence that it is up to date.
            node.up_to_date_evidence =
                node.up_to_date_evidence.take().filter(|evidence| evidence.source != EvidenceSource::Report);
            let (node, reported) = (observation.node.clone(), node.current_revision);
            let observed = observation.revision;
            self.append_history(AuditRecord::ReportContradicted { node, reported, observed, source });
        }
        self.evaluate_node(&observation.node);
    }

    /// Returns the oldest revision that an up-to-date node may act on at log time `at`: the newest one whose grace
    /// time is over by then and that lies below the halted revision.
    pub(crate) fn required_revision(&self, at: Ms) -> Revision {
        let committed_by = at.saturating_sub(self.config.grace_ms);
        self.revisions.newest_committed_by(committed_by, self.halted_revision)
    }
}

/// Replaces `kept` unless it is newer than `new`.
fn keep_newer(kept: &mut Option<Evidence>, new: Evidence) {
    if kept.as_ref().is_none_or(|kept| new.at.not_before >= kept.at.not_before) {
        *kept = Some(new);
    }
}

impl Event {
    /// The node that the event is about, if it is about a single one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Event::Joined { node, .. }
            | Event::Removed { node }
            | Event::LeaseExpired { node }
            | Event::DrainChanged { node, .. }
            | Event::ListForwarded { node, .. } => Some(node),
            Event::Reported(report) => Some(&report.node),
            _ => None,
        }
    }
}
