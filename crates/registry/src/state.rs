//! The state, and what a command does to it.

use std::collections::BTreeMap;

use audit::Audit;
use serde::{Deserialize, Serialize};

use crate::changes::{Change, Changes};
use crate::member::Held;
use crate::{Command, Expect, Member, Ms, Outcome, Proposal, Revision, Role};

/// What the state goes by, the same at every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The pool whose servers `/api/targets` lists.
    pub targets: String,
    /// For how long a request id is remembered.
    pub request_ms: Ms,
    /// Most request ids that are remembered.
    pub requests: usize,
    /// Changes that are kept for watches that resume.
    pub changes: usize,
    /// Most members.
    pub members: usize,
    /// The most that one tick may count for.
    pub longest_tick_ms: Ms,
    /// The most of a pool's leases that may run out within `expire_ms`; one always may.
    pub expire_part: f64,
    /// The window of that.
    pub expire_ms: Ms,
    /// The audit's own.
    pub audit: audit::Config,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            targets: "app".to_owned(),
            request_ms: 60_000,
            requests: 100_000,
            changes: 10_000,
            members: 20_000,
            longest_tick_ms: 2_000,
            expire_part: 0.3,
            expire_ms: 10_000,
            audit: audit::Config::default(),
        }
    }
}

impl Config {
    /// What is wrong with it, with the key and what was expected.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = self.audit.faults();
        let mut expect = |good: bool, what: &str| faults.extend((!good).then(|| what.to_owned()));
        expect(!self.targets.is_empty(), "targets: expected the name of a pool");
        expect(self.requests > 0 && self.changes > 0, "requests, changes: expected 1 or more");
        expect(self.members > 0, "members: expected 1 or more");
        expect(self.longest_tick_ms > 0, "longest_tick_ms: expected more than 0");
        expect((0.0..=1.0).contains(&self.expire_part), "expire_part: expected a part from 0 to 1");
        faults
    }
}

/// The whole state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    pub(crate) config: Config,
    /// Log time.
    pub(crate) now: Ms,
    /// The index of the last entry that was applied.
    pub(crate) applied: u64,
    pub(crate) revision: Revision,
    pub(crate) members: BTreeMap<String, Held>,
    pub(crate) changes: Changes,
    pub(crate) requests: BTreeMap<String, (Outcome, Ms)>,
    /// Pools in which the guard against mass expiry holds, and since when.
    pub(crate) guarded: BTreeMap<String, Ms>,
    /// Leases that ran out lately, and their pools.
    pub(crate) expired: Vec<(Ms, String)>,
    pub(crate) audit: Audit,
    /// Counts whatever an agent or front has to be told beside the list: the floor, admissions, the ladder.
    pub(crate) directives: u64,
}

impl State {
    /// The state before the first entry.
    pub fn new(config: Config) -> State {
        State {
            audit: Audit::new(config.audit.clone()),
            config,
            now: 0,
            applied: 0,
            revision: 0,
            members: BTreeMap::new(),
            changes: Changes::default(),
            requests: BTreeMap::new(),
            guarded: BTreeMap::new(),
            expired: Vec::new(),
            directives: 0,
        }
    }

    /// Applies the entry at an index of the log. An entry that was applied before changes nothing.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> Outcome {
        if index <= self.applied {
            return Outcome::Done { revision: self.revision };
        }
        self.applied = index;
        if let Some((outcome, _)) =
            self.requests.get(&proposal.request).filter(|_| !proposal.request.is_empty())
        {
            return outcome.clone();
        }
        let named = !proposal.request.is_empty();
        // One that is carried out and not remembered would be carried out again when it is asked again.
        if named && self.requests.len() >= self.config.requests {
            let why =
                format!("requests: {} ids are remembered and there is room for no more", self.requests.len());
            return Outcome::Refused { why };
        }
        let verdicts = self.audit.history().newest();
        let outcome = self.carry_out(index, &proposal.command);
        if self.audit.history().newest() != verdicts {
            self.directives = index;
        }
        if named {
            self.requests.insert(proposal.request.clone(), (outcome.clone(), self.now));
        }
        outcome
    }

    fn carry_out(&mut self, index: u64, command: &Command) -> Outcome {
        match command {
            Command::Nothing => {}
            Command::Tick { elapsed_ms, unix_ms } => {
                let before = self.revision;
                self.tick(index, *elapsed_ms);
                if self.revision != before {
                    self.commit(*unix_ms);
                }
                self.audit.apply(self.now, &audit::Event::Tick);
            }
            Command::Put { member, lease_ms, expect } => return self.put(index, member, *lease_ms, *expect),
            Command::SetPhase { id, phase, expect } => {
                let Some(held) = self.members.get(id) else { return Outcome::Conflict { found: None } };
                let (member, lease) = (Member { phase: *phase, ..held.member.clone() }, held.lease);
                return self.put(index, &member, lease, *expect);
            }
            Command::Renew { ids } => {
                let (now, mut missing) = (self.now, false);
                for id in ids {
                    match self.members.get_mut(id) {
                        Some(held) => held.renewed = now,
                        None => missing = true,
                    }
                }
                if missing {
                    return Outcome::Conflict { found: None };
                }
            }
            Command::Remove { id, expect } => {
                if let Some(found) = self.other_than(id, *expect) {
                    return Outcome::Conflict { found };
                }
                if self.members.get(id).is_some_and(|held| held.member.role == Role::Node) {
                    self.audit.apply(self.now, &audit::Event::Left { node: id.clone() });
                }
                if self.take_off(index, id) {
                    self.commit(0);
                }
            }
            Command::Expire { pool, .. } => {
                let now = self.now;
                let over = |held: &Held| held.lease.is_some_and(|lease| held.renewed + lease <= now);
                let late: Vec<String> = self
                    .members
                    .iter()
                    .filter(|(_, held)| held.member.pool == *pool && over(held))
                    .map(|(id, _)| id.clone())
                    .collect();
                late.iter().for_each(|id| self.expire(index, id));
                self.guarded.remove(pool);
                if !late.is_empty() {
                    self.commit(0);
                }
            }
            Command::Audit(events) => {
                for event in events {
                    // Only the state itself says what was committed and who is a member.
                    let outside = matches!(
                        event,
                        audit::Event::Reported(_)
                            | audit::Event::Seen { .. }
                            | audit::Event::Told { .. }
                            | audit::Event::Drains { .. }
                            | audit::Event::Word { .. }
                    );
                    if outside {
                        self.audit.apply(self.now, event);
                    }
                }
            }
        }
        Outcome::Done { revision: self.revision }
    }

    fn put(&mut self, index: u64, member: &Member, lease: Option<Ms>, expect: Expect) -> Outcome {
        if let Some(why) = member.fault() {
            return Outcome::Refused { why };
        }
        if let Some(found) = self.other_than(&member.id, expect) {
            return Outcome::Conflict { found };
        }
        let new = !self.members.contains_key(&member.id);
        if new && self.members.len() >= self.config.members {
            let why = format!("members: there is room for {} and all of it is taken", self.config.members);
            return Outcome::Refused { why };
        }
        let same = self.members.get(&member.id).is_some_and(|held| held.member == *member);
        let renewed = self.now;
        if same {
            // Nothing changed but that it is alive.
            if let Some(held) = self.members.get_mut(&member.id) {
                (held.lease, held.renewed) = (lease, renewed);
            }
        } else {
            let held = Held { member: member.clone(), revision: index, lease, renewed };
            self.members.insert(member.id.clone(), held);
            self.changed(index, member.clone(), false);
        }
        if member.role == Role::Node {
            let node = member.id.clone();
            let drains = member.phase == crate::Phase::Terminating;
            let event = audit::Event::Joined {
                node: node.clone(),
                pool: member.pool.clone(),
                zone: member.zone.clone(),
                incarnation: member.incarnation,
                program: member.program.clone(),
                config: member.config.clone(),
            };
            self.audit.apply(self.now, &event);
            self.audit.apply(self.now, &audit::Event::Drains { node, drains });
        }
        if !same {
            self.commit(0);
        }
        Outcome::Done { revision: self.revision }
    }

    /// What there is, where it is not as expected.
    fn other_than(&self, id: &str, expect: Expect) -> Option<Option<Revision>> {
        let found = self.members.get(id).map(|held| held.revision);
        let good = match expect {
            Expect::Any => true,
            Expect::Absent => found.is_none(),
            Expect::Revision(revision) => found == Some(revision),
        };
        (!good).then_some(found)
    }

    pub(crate) fn take_off(&mut self, index: u64, id: &str) -> bool {
        let Some(held) = self.members.remove(id) else { return false };
        self.changed(index, held.member, true);
        true
    }

    fn changed(&mut self, index: u64, member: Member, gone: bool) {
        self.revision = index;
        self.changes.push(Change { revision: index, member, gone }, self.config.changes);
    }

    /// Tells the audit of the new revision.
    fn commit(&mut self, unix_ms: u64) {
        let event = audit::Event::Committed { revision: self.revision, unix_ms };
        self.audit.apply(self.now, &event);
    }

    /// The list's revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The index of the last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Log time.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Changes whenever an agent or a front has something to be told beside the list.
    pub fn directives(&self) -> u64 {
        self.directives
    }

    /// The audit.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The members, with the revision of each one's last change.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Revision)> {
        self.members.values().map(|held| (&held.member, held.revision))
    }

    /// A member, with the revision of its last change.
    pub fn member(&self, id: &str) -> Option<(&Member, Revision)> {
        self.members.get(id).map(|held| (&held.member, held.revision))
    }
}
