//! The state of the registry, and how commands change it.

use std::collections::BTreeMap;

use audit::Audit;
use serde::{Deserialize, Serialize};

use crate::changes::{Change, Changes};
use crate::member::Registration;
use crate::{Command, Expect, Member, Ms, Outcome, Proposal, Revision, Role};

/// The configuration of the state machine, which is the same at every replica. Times are milliseconds of log time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The pool whose servers `/api/targets` lists.
    #[serde(rename = "targets")]
    pub targets_pool: String,
    /// How long the outcome of a request id is remembered.
    #[serde(rename = "request_ms")]
    pub request_memory_ms: Ms,
    /// How many request ids are remembered.
    #[serde(rename = "requests")]
    pub max_requests: usize,
    /// How many changes are kept for watches that resume.
    #[serde(rename = "changes")]
    pub max_changes: usize,
    /// How many members there can be.
    #[serde(rename = "members")]
    pub max_members: usize,
    /// The most that one tick may advance log time.
    #[serde(rename = "longest_tick_ms")]
    pub max_tick_ms: Ms,
    /// The largest part of a pool's leases that may expire within `expiry_window_ms`; one always may.
    #[serde(rename = "expire_part")]
    pub max_expired_part: f64,
    /// The window for `max_expired_part`.
    #[serde(rename = "expire_ms")]
    pub expiry_window_ms: Ms,
    /// The configuration of the audit.
    pub audit: audit::Config,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            targets_pool: "app".to_owned(),
            request_memory_ms: 60_000,
            max_requests: 100_000,
            max_changes: 10_000,
            max_members: 20_000,
            max_tick_ms: 2_000,
            max_expired_part: 0.3,
            expiry_window_ms: 10_000,
            audit: audit::Config::default(),
        }
    }
}

impl Config {
    /// Returns one message for each invalid setting, with its key and the expected value.
    pub fn validate(&self) -> Vec<String> {
        let mut errors = self.audit.validate();
        let mut require =
            |is_valid: bool, message: &str| errors.extend((!is_valid).then(|| message.to_owned()));
        require(!self.targets_pool.is_empty(), "targets: expected the name of a pool");
        require(self.max_requests > 0 && self.max_changes > 0, "requests, changes: expected 1 or more");
        require(self.max_members > 0, "members: expected 1 or more");
        require(self.max_tick_ms > 0, "longest_tick_ms: expected more than 0");
        require((0.0..=1.0).contains(&self.max_expired_part), "expire_part: expected a part from 0 to 1");
        errors
    }
}

/// The state of the registry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    pub(crate) config: Config,
    /// Log time.
    pub(crate) now: Ms,
    /// The index of the last log entry that was applied.
    #[serde(rename = "applied")]
    pub(crate) applied_index: u64,
    pub(crate) revision: Revision,
    pub(crate) members: BTreeMap<String, Registration>,
    pub(crate) changes: Changes,
    /// The outcomes of the latest request ids, and when they were applied.
    #[serde(rename = "requests")]
    pub(crate) request_outcomes: BTreeMap<String, (Outcome, Ms)>,
    /// The pools in which the guard against mass expiry holds back leases, and since when.
    #[serde(rename = "guarded")]
    pub(crate) guarded_pools: BTreeMap<String, Ms>,
    /// When leases expired lately, and in which pool.
    #[serde(rename = "expired")]
    pub(crate) recent_expiries: Vec<(Ms, String)>,
    pub(crate) audit: Audit,
    /// The log index at which the audit's directives to nodes and their agents (floor, admissions, escalation steps)
    /// may last have changed.
    #[serde(rename = "directives")]
    pub(crate) directives_version: u64,
}

impl State {
    /// Creates the state before the first log entry.
    pub fn new(config: Config) -> State {
        State {
            audit: Audit::new(config.audit.clone()),
            config,
            now: 0,
            applied_index: 0,
            revision: 0,
            members: BTreeMap::new(),
            changes: Changes::default(),
            request_outcomes: BTreeMap::new(),
            guarded_pools: BTreeMap::new(),
            recent_expiries: Vec::new(),
            directives_version: 0,
        }
    }

    /// Applies the log entry at `index`. An entry that was applied before changes nothing.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> Outcome {
        if index <= self.applied_index {
            return Outcome::Done { revision: self.revision };
        }
        self.applied_index = index;
        if let Some((outcome, _)) =
            self.request_outcomes.get(&proposal.request).filter(|_| !proposal.request.is_empty())
        {
            return outcome.clone();
        }
        let has_request_id = !proposal.request.is_empty();
        // If a command were carried out whose id can't be remembered, a retry would carry it out again.
        if has_request_id && self.request_outcomes.len() >= self.config.max_requests {
            let reason = format!(
                "requests: {} ids are remembered and there is room for no more",
                self.request_outcomes.len()
            );
            return Outcome::Refused { reason };
        }
        let history_before = self.audit.history().newest_number();
        let outcome = self.execute_command(index, &proposal.command);
        if self.audit.history().newest_number() != history_before {
            self.directives_version = index;
        }
        if has_request_id {
            self.request_outcomes.insert(proposal.request.clone(), (outcome.clone(), self.now));
        }
        outcome
    }

    fn execute_command(&mut self, index: u64, command: &Command) -> Outcome {
        match command {
            Command::Noop => {}
            Command::Tick { elapsed_ms, unix_ms } => {
                let revision_before = self.revision;
                self.tick(index, *elapsed_ms);
                if self.revision != revision_before {
                    self.commit_revision(*unix_ms);
                }
                self.audit.apply(self.now, &audit::Event::Tick);
            }
            Command::Put { member, lease_ms, expect } => {
                return self.put_member(index, member, *lease_ms, *expect);
            }
            Command::SetPhase { id, phase, expect } => {
                let Some(registration) = self.members.get(id) else {
                    return Outcome::Conflict { found: None };
                };
                let member = Member { phase: *phase, ..registration.member.clone() };
                let lease_ms = registration.lease_ms;
                return self.put_member(index, &member, lease_ms, *expect);
            }
            Command::Renew { ids } => {
                let (now, mut is_any_missing) = (self.now, false);
                for id in ids {
                    match self.members.get_mut(id) {
                        Some(registration) => registration.renewed_at = now,
                        None => is_any_missing = true,
                    }
                }
                if is_any_missing {
                    return Outcome::Conflict { found: None };
                }
            }
            Command::Remove { id, expect } => {
                if let Some(found) = self.find_conflict(id, *expect) {
                    return Outcome::Conflict { found };
                }
                let is_node =
                    self.members.get(id).is_some_and(|registration| registration.member.role == Role::Node);
                if is_node {
                    self.audit.apply(self.now, &audit::Event::Removed { node: id.clone() });
                }
                if self.remove_member(index, id) {
                    self.commit_revision(0);
                }
            }
            Command::Expire { pool, .. } => {
                let now = self.now;
                let is_overdue = |registration: &Registration| {
                    registration.lease_ms.is_some_and(|lease_ms| registration.renewed_at + lease_ms <= now)
                };
                let overdue: Vec<String> = self
                    .members
                    .iter()
                    .filter(|(_, registration)| registration.member.pool == *pool && is_overdue(registration))
                    .map(|(id, _)| id.clone())
                    .collect();
                overdue.iter().for_each(|id| self.expire_lease(index, id));
                self.guarded_pools.remove(pool);
                if !overdue.is_empty() {
                    self.commit_revision(0);
                }
            }
            Command::Audit(events) => {
                for event in events {
                    // Commits, registrations and ticks are reported to the audit by the state machine itself. A
                    // client can't forge them.
                    let is_allowed = matches!(
                        event,
                        audit::Event::Reported(_)
                            | audit::Event::Observed { .. }
                            | audit::Event::ListForwarded { .. }
                            | audit::Event::DrainChanged { .. }
                            | audit::Event::Operator { .. }
                    );
                    if is_allowed {
                        self.audit.apply(self.now, event);
                    }
                }
            }
        }
        Outcome::Done { revision: self.revision }
    }

    /// Registers a member, changes it, or renews its lease if nothing else has changed.
    fn put_member(&mut self, index: u64, member: &Member, lease_ms: Option<Ms>, expect: Expect) -> Outcome {
        if let Some(reason) = member.validate() {
            return Outcome::Refused { reason };
        }
        if let Some(found) = self.find_conflict(&member.id, expect) {
            return Outcome::Conflict { found };
        }
        let is_new = !self.members.contains_key(&member.id);
        if is_new && self.members.len() >= self.config.max_members {
            let reason =
                format!("members: there is room for {} and all of it is taken", self.config.max_members);
            return Outcome::Refused { reason };
        }
        let is_unchanged =
            self.members.get(&member.id).is_some_and(|registration| registration.member == *member);
        let renewed_at = self.now;
        if is_unchanged {
            if let Some(registration) = self.members.get_mut(&member.id) {
                (registration.lease_ms, registration.renewed_at) = (lease_ms, renewed_at);
            }
        } else {
            let registration = Registration { member: member.clone(), revision: index, lease_ms, renewed_at };
            let previous = self.members.insert(member.id.clone(), registration);
            // Watches of the list that the member leaves are sent its removal.
            let has_moved =
                |previous: &Member| (previous.role, &previous.pool) != (member.role, &member.pool);
            if let Some(previous) = previous.map(|registration| registration.member).filter(has_moved) {
                self.record_change(index, previous, true);
            }
            self.record_change(index, member.clone(), false);
        }
        if member.role == Role::Node {
            let node = member.id.clone();
            let is_draining = member.phase == crate::Phase::Terminating;
            let event = audit::Event::Joined {
                node: node.clone(),
                pool: member.pool.clone(),
                zone: member.zone.clone(),
                incarnation: member.incarnation,
                program: member.program.clone(),
                config: member.config.clone(),
            };
            self.audit.apply(self.now, &event);
            self.audit.apply(self.now, &audit::Event::DrainChanged { node, is_draining });
        }
        if !is_unchanged {
            self.commit_revision(0);
        }
        Outcome::Done { revision: self.revision }
    }

    /// Returns the revision of the member (`None` for no such member) if the member is not as expected.
    fn find_conflict(&self, id: &str, expect: Expect) -> Option<Option<Revision>> {
        let found = self.members.get(id).map(|registration| registration.revision);
        let is_as_expected = match expect {
            Expect::Any => true,
            Expect::Absent => found.is_none(),
            Expect::Revision(revision) => found == Some(revision),
        };
        (!is_as_expected).then_some(found)
    }

    /// Removes a member and returns whether it existed.
    pub(crate) fn remove_member(&mut self, index: u64, id: &str) -> bool {
        let Some(registration) = self.members.remove(id) else { return false };
        self.record_change(index, registration.member, true);
        true
    }

    fn record_change(&mut self, index: u64, member: Member, is_removed: bool) {
        self.revision = index;
        self.changes.push(Change { revision: index, member, is_removed }, self.config.max_changes);
    }

    /// Reports the new revision to the audit. `unix_ms` is 0 where the command carries no wall-clock time.
    fn commit_revision(&mut self, unix_ms: u64) {
        let event = audit::Event::Committed { revision: self.revision, unix_ms };
        self.audit.apply(self.now, &event);
    }

    /// The list's revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The index of the last log entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Log time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// A version that changes whenever the audit's directives to nodes and their agents may have changed: the floor,
    /// admissions and escalation steps.
    pub fn directives_version(&self) -> u64 {
        self.directives_version
    }

    /// The audit.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The members, each with the revision at which it was last changed.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Revision)> {
        self.members.values().map(|registration| (&registration.member, registration.revision))
    }

    /// A member, with the revision at which it was last changed.
    pub fn member(&self, id: &str) -> Option<(&Member, Revision)> {
        self.members.get(id).map(|registration| (&registration.member, registration.revision))
    }
}
