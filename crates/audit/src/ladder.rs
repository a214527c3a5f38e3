//! The ladder: how a straggler is brought up or shut out, and how it comes back.

use std::collections::BTreeMap;

use crate::{Admission, Audit, Happening, Ms, Node, Proof, Step, Word};

impl Audit {
    /// Looks at a node anew after evidence came: recoveries and relapses take effect at once, the ladder is climbed
    /// with time.
    pub(crate) fn judge(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.behind() {
            if node.admission == Admission::Part {
                return self.relapse(name);
            }
            if node.step == Step::Fine && node.admission == Admission::Full {
                let again = node.reached != Step::Fine && now < node.recovered + self.config.forget;
                let first = if again { self.config.after(node.reached) } else { Step::ToldAgain };
                // Shutting out is left to the look-over, which knows the caps.
                let first = first.min(self.config.last());
                (node.step, node.step_at) = (first, now);
                let why = node.low.clone();
                self.note(Happening::Climbed { node: name.to_owned(), to: first, why });
            }
            return;
        }
        match (node.step, node.admission) {
            (Step::Out, Admission::Out) => self.take_back(name),
            (Step::Fine | Step::Out, _) => {}
            (reached, _) => {
                (node.step, node.step_at, node.recovered) = (Step::Fine, now, now);
                node.reached = node.reached.max(reached);
                let why = node.good.clone();
                self.note(Happening::Recovered { node: name.to_owned(), from: reached, why });
            }
        }
    }

    /// Back in with a small part, by proof from after it was shut out. One that lied is not believed before its
    /// process is another.
    fn take_back(&mut self, name: &str) {
        let (now, floor, flight) = (self.now, self.floor, self.config.flight);
        let Some(node) = self.nodes.get_mut(name) else { return };
        let proof = node.good.as_ref().filter(|good| good.at.after > node.step_at + flight);
        let Some(proof) = proof.filter(|good| good.revision >= floor && !node.lies).cloned() else { return };
        (node.admission, node.admitted) = (Admission::Part, now);
        (node.step, node.step_at, node.recovered, node.reached) = (Step::Fine, now, now, Step::Out);
        self.note(Happening::Admitted { node: name.to_owned(), to: Admission::Part, why: Some(proof) });
    }

    fn relapse(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.relapses = node.relapses.saturating_add(1);
        (node.admission, node.step, node.step_at) = (Admission::Out, Step::Out, now);
        let why = node.low.clone();
        self.note(Happening::Climbed { node: name.to_owned(), to: Step::Out, why });
    }

    /// The regular look-over.
    pub(crate) fn tick(&mut self) {
        self.look_for_shared_causes();
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        // Who has been behind for longest goes first where the cap does not allow all.
        let mut waiting: Vec<(Ms, String)> = Vec::new();
        for name in names {
            let node = &self.nodes[&name];
            if node.admission == Admission::Part {
                self.end_probation(&name);
            } else if node.step != Step::Fine && node.step != Step::Out && self.time_is_up(node) {
                waiting.push((node.step_at, name));
            }
        }
        waiting.sort();
        for (_, name) in waiting {
            self.climb(&name);
        }
    }

    /// Whether a step had its time, and evidence from after half of it says that it did not help.
    fn time_is_up(&self, node: &Node) -> bool {
        let since = node.step_at + self.config.step / 2;
        let still = node.low.as_ref().is_some_and(|low| low.at.after >= since);
        node.behind() && still && self.now >= node.step_at + self.config.step
    }

    fn climb(&mut self, name: &str) {
        let node = &self.nodes[name];
        if self.shared.contains_key(&pool_key(node)) || self.shared.contains_key(&zone_key(node)) {
            return;
        }
        let next = self.config.after(node.step);
        if next == Step::Out {
            return self.shut_out(name);
        }
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        (node.step, node.step_at) = (next, now);
        let why = node.low.clone();
        self.note(Happening::Climbed { node: name.to_owned(), to: next, why });
    }

    fn shut_out(&mut self, name: &str) {
        let node = &self.nodes[name];
        let Some(low) = node.low.clone() else { return };
        if let Some(place) = self.full(name, node) {
            return self.held(name, low, format!("no more of {place} may be out at once"));
        }
        // Nothing keeps its attempts from running before the floor has passed them; and a floor that passed what
        // sound nodes rest on would refuse theirs.
        let floor = self.floor_within_reach(Some(name));
        if floor <= low.revision {
            return self.held(name, low, "sound nodes still rest on what it acts on".to_owned());
        }
        self.raise_floor(floor, name);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        (node.admission, node.step, node.step_at) = (Admission::Out, Step::Out, now);
        node.out_incarnation = node.incarnation;
        self.note(Happening::Climbed { node: name.to_owned(), to: Step::Out, why: Some(low) });
    }

    /// Says once, not at each look, why a node is not shut out.
    fn held(&mut self, name: &str, low: Proof, why: String) {
        let node = name.to_owned();
        if !self.history.last_of(name).is_some_and(|last| matches!(last, Happening::Held { .. })) {
            self.note(Happening::Held { node, why, proof: low });
        }
    }

    /// The pool or zone of a node that has as many others out, draining or dead as it may. Its own silence does not
    /// keep it in.
    fn full(&self, name: &str, node: &Node) -> Option<String> {
        for (key, of) in [(pool_key(node), pool_key as fn(&Node) -> String), (zone_key(node), zone_key)] {
            let there = || self.nodes.iter().filter(|(_, other)| of(other) == key);
            let away = there().filter(|(id, other)| *id != name && other.away()).count();
            if away >= self.config.cap(there().count()) {
                return Some(key);
            }
        }
        None
    }

    fn look_for_shared_causes(&mut self) {
        let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for node in self.nodes.values() {
            let behind = node.behind() && node.admission == Admission::Full;
            for key in [pool_key(node), zone_key(node)] {
                let (all, late) = counts.entry(key).or_default();
                (*all, *late) = (*all + 1, *late + usize::from(behind));
            }
        }
        for (place, (all, behind)) in counts {
            let many = behind > self.config.alone(all);
            if many && !self.shared.contains_key(&place) {
                self.shared.insert(place.clone(), self.now);
                self.note(Happening::Shared { place, behind, all });
            } else if !many && self.shared.remove(&place).is_some() {
                self.note(Happening::NotShared { place, behind, all });
            }
        }
    }

    /// From a part to all, once the time of its probation is over; longer after each relapse.
    fn end_probation(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else { return };
        let time = self.config.probation.saturating_mul(1 << node.relapses.min(10));
        let good = node.good.as_ref().filter(|good| good.at.after > node.admitted);
        let Some(proof) = good.filter(|_| now >= node.admitted + time).cloned() else { return };
        (node.admission, node.admitted) = (Admission::Full, now);
        self.note(Happening::Admitted { node: name.to_owned(), to: Admission::Full, why: Some(proof) });
    }

    pub(crate) fn word(&mut self, who: &str, why: &str, word: &Word) {
        let (who, why) = (who.to_owned(), why.to_owned());
        match word {
            Word::Floor(floor) => {
                let from = self.floor;
                self.floor = (*floor).min(self.revisions.newest());
                self.note(Happening::FloorSet { from, to: self.floor, who, why });
            }
            Word::Resume => {
                let revision = self.halted.take().unwrap_or(0);
                self.revisions.forgive(revision);
                self.note(Happening::Resumed { revision, who, why });
            }
            Word::Admit(name) => {
                let now = self.now;
                let Some(node) = self.nodes.get_mut(name) else { return };
                (node.admission, node.admitted) = (Admission::Full, now);
                (node.step, node.step_at, node.reached) = (Step::Fine, now, Step::Fine);
                (node.low, node.lies) = (None, false);
                self.note(Happening::AdmittedBy { node: name.clone(), who, why });
            }
        }
    }
}

impl crate::Config {
    /// The step that follows one.
    pub(crate) fn after(&self, step: Step) -> Step {
        match step {
            Step::Fine => Step::ToldAgain,
            Step::ToldAgain => Step::Rewatched,
            Step::Rewatched if self.restarts => Step::Restarted,
            _ => Step::Out,
        }
    }

    /// The last step before a node is shut out.
    pub(crate) fn last(&self) -> Step {
        if self.restarts {
            Step::Restarted
        } else {
            Step::Rewatched
        }
    }
}

fn pool_key(node: &Node) -> String {
    format!("pool {}", node.pool)
}

fn zone_key(node: &Node) -> String {
    format!("zone {} of pool {}", node.zone, node.pool)
}
