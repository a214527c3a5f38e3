//! What is known of one node, and the evidence for and against it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Audit, Event, Happening, Ms, Report, Revision, Sight, Stamp};

/// Claims that are kept. A node reports a few times a second: more than lie within an attempt's time under way.
const CLAIMS: usize = 32;

/// Who vouches for a proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Witness {
    /// The node itself.
    Report,
    /// This app server's agent.
    Server(String),
}

/// Evidence that a node acted on a revision when it ought to have acted on another, or a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The revision it acted on.
    pub revision: Revision,
    /// The oldest that it might have acted on by then.
    pub needed: Revision,
    /// Since when it surely was so.
    pub at: Stamp,
    /// Who vouches for it.
    pub by: Witness,
}

/// A step of the ladder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Nothing is asked of it.
    #[default]
    Fine,
    /// Its agent drops its watch and takes the whole list from another replica.
    ToldAgain,
    /// Its agent starts its watch from nothing, and the node's too.
    Rewatched,
    /// Its host drains and restarts it.
    Restarted,
    /// It is shut out.
    Out,
}

/// What a node may get of its share of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// All of it.
    #[default]
    Full,
    /// A small part, after it has proved itself.
    Part,
    /// Nothing.
    Out,
}

/// A node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Node {
    /// Its pool.
    pub pool: String,
    /// Its zone.
    pub zone: String,
    /// Its process.
    pub incarnation: u64,
    /// The version of its program.
    pub program: String,
    /// The version of its configuration.
    pub config: String,
    /// The newest revision written to it, and the newest that its agent has.
    pub told: Revision,
    /// The newest that its agent has.
    pub held: Revision,
    /// The revision that it says its next decision rests on, and the oldest that a request still rests on.
    pub standing: Revision,
    /// The oldest that a request in flight still rests on.
    pub oldest: Revision,
    /// When the newest report of this process was applied; none yet is `None`.
    pub reported: Option<Ms>,
    /// What it claimed to stand on, and when the report that first said so was applied: the latest claims, oldest
    /// first.
    pub claims: VecDeque<(Revision, Ms)>,
    /// The newest evidence that it was behind, and that it was not.
    pub low: Option<Proof>,
    /// The newest evidence that it was not behind.
    pub good: Option<Proof>,
    /// Its attempts belied its report: only a new process is believed again.
    pub lies: bool,
    /// It drains for another reason.
    pub drains: bool,
    /// Its lease has run out.
    pub lost: bool,
    /// The step of the ladder that it is on, since when, and the highest it was on before it recovered.
    pub step: Step,
    /// Since when it is on that step.
    pub step_at: Ms,
    /// The highest step that it reached lately.
    pub reached: Step,
    /// When it last recovered, and how often it came back and fell behind again.
    pub recovered: Ms,
    /// How often it came back in and fell behind again.
    pub relapses: u32,
    /// What it may get.
    pub admission: Admission,
    /// Since when.
    pub admitted: Ms,
    /// The process that was shut out.
    pub out_incarnation: u64,
}

impl Node {
    /// Whether the newest evidence says that it is behind.
    pub fn behind(&self) -> bool {
        match (&self.low, &self.good) {
            (Some(low), Some(good)) => low.at.after > good.at.after,
            (low, None) => low.is_some(),
            (None, _) => false,
        }
    }

    /// Whether it is out, draining or dead.
    pub fn away(&self) -> bool {
        self.drains || self.lost || self.admission == Admission::Out
    }
}

impl Audit {
    pub(crate) fn joined(
        &mut self,
        name: &str,
        pool: &str,
        zone: &str,
        incarnation: u64,
        program: &str,
        config: &str,
    ) {
        if !self.nodes.contains_key(name) && self.nodes.len() >= self.config.nodes {
            return self.note(Happening::TooMany { node: name.to_owned() });
        }
        let now = self.now;
        let node = self.nodes.entry(name.to_owned()).or_default();
        let (was, first) = (node.incarnation, node.incarnation == 0);
        (node.pool, node.zone) = (pool.to_owned(), zone.to_owned());
        (node.program, node.config) = (program.to_owned(), config.to_owned());
        let asked = node.step == Step::Restarted || node.away();
        node.lost = false;
        if incarnation <= was && !first {
            return;
        }
        let acted = node.standing;
        node.incarnation = incarnation;
        // A new process owes nothing to what the old one said or did: neither its claims nor its lies, nor what was
        // seen of it. A step of the ladder stays until there is evidence of the new one.
        (node.low, node.good) = (None, None);
        (node.standing, node.oldest, node.reported) = (0, 0, None);
        node.claims.clear();
        (node.lies, node.drains) = (false, false);
        let (node, program, config) = (name.to_owned(), program.to_owned(), config.to_owned());
        self.note(Happening::Started { node: node.clone(), incarnation, program, config });
        if !first && !asked && self.revisions.acted_lately(acted, &node, now, self.config.crash_window) {
            self.speaks_against(acted, &node, "its process ended soon after acting on it");
        }
    }

    pub(crate) fn left(&mut self, name: &str) {
        if self.nodes.remove(name).is_some() {
            self.revisions.left(self.now, name);
            self.note(Happening::Left { node: name.to_owned() });
        }
    }

    pub(crate) fn lost(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name).filter(|node| !node.lost) else { return };
        node.lost = true;
        self.note(Happening::Lost { node: name.to_owned() });
    }

    pub(crate) fn drains(&mut self, name: &str, drains: bool) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.drains = drains;
        }
    }

    pub(crate) fn told(&mut self, name: &str, told: Revision, held: Revision) {
        if let Some(node) = self.nodes.get_mut(name) {
            (node.told, node.held) = (node.told.max(told), node.held.max(held));
        }
    }

    pub(crate) fn reported(&mut self, report: &Report) {
        // What nobody committed can't be acted on: noted, and nothing else is believed of it.
        if report.standing > self.revisions.newest() {
            let (node, revision) = (report.node.clone(), report.standing);
            return self.note(Happening::Impossible { node, revision, by: Witness::Report });
        }
        let needed = self.needed(report.at.after);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&report.node) else { return };
        if report.incarnation != node.incarnation {
            return;
        }
        if report.standing < node.standing {
            let (name, from, to) = (report.node.clone(), node.standing, report.standing);
            return self.note(Happening::FellBack { node: name, from, to });
        }
        if report.standing > node.standing {
            node.claims.push_back((report.standing, now));
            if node.claims.len() > CLAIMS {
                node.claims.pop_front();
            }
        }
        let moved = report.standing > node.standing || node.reported.is_none();
        (node.standing, node.oldest) = (report.standing, report.oldest.min(report.standing));
        node.reported = Some(now);
        let proof = Proof { revision: report.standing, needed, at: report.at, by: Witness::Report };
        if report.standing < needed {
            replace(&mut node.low, proof);
        } else if !node.lies {
            replace(&mut node.good, proof);
        }
        self.revisions.decided(now, report);
        if moved {
            let (node, revision) = (report.node.clone(), report.standing);
            self.note(Happening::Acted { node, incarnation: report.incarnation, revision, at: report.at });
        }
        if let Some(refused) = report.refuses.filter(|&refused| refused <= self.revisions.newest()) {
            self.speaks_against(refused, &report.node, "it can't act on it");
        }
        self.judge(&report.node);
    }

    pub(crate) fn seen(&mut self, server: &str, sight: &Sight) {
        let by = Witness::Server(server.to_owned());
        if sight.revision > self.revisions.newest() {
            let (node, revision) = (sight.node.clone(), sight.revision);
            return self.note(Happening::Impossible { node, revision, by });
        }
        let needed = self.needed(sight.last.after.saturating_sub(self.config.flight));
        let flight = self.config.flight;
        let Some(node) = self.nodes.get_mut(&sight.node) else { return };
        self.revisions.seen(self.now, server, sight);
        // What an earlier process left under way says nothing of this one.
        if sight.incarnation < node.incarnation {
            return;
        }
        let proof = Proof { revision: sight.revision, needed, at: sight.last, by: by.clone() };
        // By the first claim of a later revision: one that claims a new one each moment lies all the same.
        let later = node.claims.iter().find(|(claimed, _)| *claimed > sight.revision);
        let lie = sight.incarnation == node.incarnation
            && later.is_some_and(|(_, since)| sight.last.after > since + flight);
        if sight.revision < needed {
            replace(&mut node.low, proof);
        } else {
            replace(&mut node.good, proof);
        }
        if lie && !node.lies {
            node.lies = true;
            // What it said of itself no longer speaks for it.
            node.good = node.good.take().filter(|good| good.by != Witness::Report);
            let (node, says) = (sight.node.clone(), node.standing);
            self.note(Happening::Lied { node, says, acts: sight.revision, by });
        }
        self.judge(&sight.node);
    }

    /// The oldest revision that a sound node may act on at a time: the newest whose grace is over, and nothing that
    /// is halted.
    pub(crate) fn needed(&self, at: Ms) -> Revision {
        let due = at.saturating_sub(self.config.grace);
        self.revisions.at(due, self.halted)
    }
}

/// Keeps the newer proof.
fn replace(old: &mut Option<Proof>, new: Proof) {
    if old.as_ref().is_none_or(|old| new.at.after >= old.at.after) {
        *old = Some(new);
    }
}

impl Event {
    /// The node that it is about, where it is about one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Event::Joined { node, .. }
            | Event::Left { node }
            | Event::Lost { node }
            | Event::Drains { node, .. }
            | Event::Told { node, .. } => Some(node),
            Event::Reported(report) => Some(&report.node),
            _ => None,
        }
    }
}
