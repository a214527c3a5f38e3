//! The audit: which node acts on which revision of the server list, and what is done about a straggler.
//!
//! [`Audit::apply`] keeps these guarantees for any events in any order:
//!
//! 1. Each verdict names the evidence that it is based on: a node's own report, or attempts that an app server's
//!    agent observed. The absence of reports or observations is not evidence.
//! 2. Evidence is dated by the time *after* which it certainly held ([`Timestamp`]), so neither a slow network nor
//!    a wrong clock can make an up-to-date node look behind.
//! 3. No node is shut out from full admission if more than the configured part of its pool or zone would then be
//!    unavailable: shut out, draining or with an expired lease; one node always may be. A node that falls behind on
//!    probation is shut out at once. Where more nodes are behind at once than the configuration allows, the cause is
//!    taken for a shared one: escalation stops there and the history records it.
//! 4. Unless an operator sets it, the floor never falls, never rises above a revision that an up-to-date node still
//!    uses, and never rises to a revision at which it is halted, because nodes crashed after it or rejected it. If
//!    the floor had passed that revision already, it stays where it is.
//! 5. The history is bounded and chained by hash, so that a changed or missing entry is detected.
//!
//! Time is the registry's log time in milliseconds: it comes with the log, stands still while there is no leader,
//! and is the same at every replica. `docs/audit.md` describes the escalation steps and their times.

mod config;
mod escalation;
mod event;
mod floor;
mod history;
mod node;
mod queries;
mod revisions;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use config::Config;
pub use event::{Event, Observation, OperatorCommand, Report, Timestamp};
pub use history::{verify_chain, AuditRecord, ChainError, History, HistoryEntry};
pub use node::{Admission, EscalationStep, Evidence, EvidenceSource, Node};
pub use queries::{NodeActivity, NodeRevision, Propagation};
pub use revisions::{RequestAfterDrain, Revisions};

/// Milliseconds of log time.
pub type Ms = u64;
/// A revision of the server list: the log index of the entry that last changed the list.
pub type Revision = u64;

/// The state of the audit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Audit {
    config: Config,
    now: Ms,
    nodes: BTreeMap<String, Node>,
    revisions: Revisions,
    /// Servers refuse attempts that were decided on a lower revision.
    floor: Revision,
    /// The floor stays below this revision, because nodes crashed after acting on it or rejected it.
    #[serde(rename = "halted")]
    halted_revision: Option<Revision>,
    /// The pools and zones where too many nodes are behind at once, and since when.
    #[serde(rename = "shared")]
    shared_causes: BTreeMap<String, Ms>,
    history: History,
}

impl Audit {
    /// Creates an audit without any nodes or revisions.
    pub fn new(config: Config) -> Audit {
        let history = History::new(config.max_history_entries);
        Audit {
            revisions: Revisions::new(config.max_revisions, config.max_requests_after_drain),
            config,
            now: 0,
            nodes: BTreeMap::new(),
            floor: 0,
            halted_revision: None,
            shared_causes: BTreeMap::new(),
            history,
        }
    }

    /// Applies one event of the log. If `now` is earlier than the last event's time, that time is used instead.
    pub fn apply(&mut self, now: Ms, event: &Event) {
        self.now = self.now.max(now);
        match event {
            Event::Committed { revision, unix_ms } => self.commit_revision(*revision, *unix_ms),
            Event::Joined { node, pool, zone, incarnation, program, config } => {
                self.register_process(node, pool, zone, *incarnation, program, config);
            }
            Event::Removed { node } => self.remove_node(node),
            Event::LeaseExpired { node } => self.mark_lease_expired(node),
            Event::DrainChanged { node, is_draining } => self.set_draining(node, *is_draining),
            Event::Reported(report) => self.apply_report(report),
            Event::Observed { server, observations } => {
                let accepted = observations.iter().take(self.config.max_observations);
                accepted.for_each(|observation| self.apply_observation(server, observation));
            }
            Event::ListForwarded { node, forwarded_revision, agent_revision } => {
                self.record_forwarding(node, *forwarded_revision, *agent_revision);
            }
            Event::Tick => self.tick(),
            Event::Operator { operator, reason, command } => {
                self.apply_operator_command(operator, reason, command);
            }
        }
    }

    /// The floor: servers refuse attempts that were decided on a lower revision.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// The revision that the floor has to stay below, if it is halted.
    pub fn halted_revision(&self) -> Option<Revision> {
        self.halted_revision
    }

    /// The pools and zones where too many nodes are behind at once, and since when.
    pub fn shared_causes(&self) -> &BTreeMap<String, Ms> {
        &self.shared_causes
    }

    /// The nodes by name.
    pub fn nodes(&self) -> &BTreeMap<String, Node> {
        &self.nodes
    }

    /// The history of verdicts and of what the audit was told.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The log time of the last event.
    pub fn now(&self) -> Ms {
        self.now
    }

    fn append_history(&mut self, record: AuditRecord) {
        self.history.push(self.now, record);
    }
}
