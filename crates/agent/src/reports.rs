//! What nodes and servers say, merged until the registry has it.

use std::collections::BTreeMap;

use audit::{Event, Observation, Report, Timestamp};
use serde::{Deserialize, Serialize};

/// What a node says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Acted {
    /// Its name.
    pub node: String,
    /// Its process: each start has a greater one.
    pub incarnation: u64,
    /// The version of its program.
    #[serde(default)]
    pub program: String,
    /// The version of its configuration.
    #[serde(default)]
    pub config: String,
    /// The revision that its next decision rests on.
    pub standing: u64,
    /// The oldest that a request in flight still rests on.
    pub oldest: u64,
    /// Decisions since the last word, by revision.
    #[serde(default)]
    pub decided: Vec<(u64, u64)>,
    /// A list that it could not act on.
    #[serde(default)]
    pub refuses: Option<u64>,
    /// The log time that the last answer told it.
    #[serde(default)]
    pub heard: u64,
}

/// What a server saw.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Seen {
    /// The server.
    pub server: String,
    /// The log time that the last answer told it.
    #[serde(default)]
    pub heard: u64,
    /// The attempts since the last word.
    pub attempts: Vec<SeenAttempts>,
}

/// Attempts of one node on one revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SeenAttempts {
    /// The node that they name.
    pub node: String,
    /// Its process.
    pub incarnation: u64,
    /// The revision.
    pub revision: u64,
    /// How many.
    pub count: u64,
    /// Those that were turned away for being below the floor.
    #[serde(default)]
    pub refused: u64,
    /// A few that came while the server drained.
    #[serde(default)]
    pub drained: Vec<String>,
}

/// Decisions of one report that are kept by revision, and requests of one sight that are kept by name.
const REVISIONS: usize = 64;
const REQUESTS: usize = 16;

/// What the registry is still to be told.
#[derive(Debug, Default)]
pub struct Words {
    reports: BTreeMap<String, Report>,
    told: BTreeMap<String, (u64, u64)>,
    sights: BTreeMap<(String, String, u64, u64), Observation>,
    /// Sights that there was no room for.
    dropped: u64,
}

impl Words {
    pub fn acted(&mut self, acted: &Acted, unix_ms: u64) {
        let at = Timestamp { not_before: acted.heard, unix_ms };
        let old = self.reports.get(&acted.node).filter(|old| old.incarnation == acted.incarnation);
        let mut decided: BTreeMap<u64, u64> =
            old.iter().flat_map(|old| old.decisions.iter().copied()).collect();
        for &(revision, count) in &acted.decided {
            *decided.entry(revision).or_default() += count;
        }
        while decided.len() > REVISIONS {
            decided.pop_first();
        }
        let refuses = acted.refuses.or(old.and_then(|old| old.rejected_revision));
        let report = Report {
            node: acted.node.clone(),
            incarnation: acted.incarnation,
            current_revision: acted.standing,
            oldest_in_flight: acted.oldest,
            decisions: decided.into_iter().collect(),
            rejected_revision: refuses,
            at,
        };
        self.reports.insert(acted.node.clone(), report);
    }

    pub fn told(&mut self, node: &str, told: u64, held: u64) {
        self.told.insert(node.to_owned(), (told, held));
    }

    pub fn seen(&mut self, seen: &Seen, unix_ms: u64, most: usize) {
        let at = Timestamp { not_before: seen.heard, unix_ms };
        for attempts in &seen.attempts {
            let key = (seen.server.clone(), attempts.node.clone(), attempts.incarnation, attempts.revision);
            if !self.sights.contains_key(&key) && self.sights.len() >= most {
                self.dropped += 1;
                continue;
            }
            let sight = self.sights.entry(key).or_insert_with(|| Observation {
                node: attempts.node.clone(),
                incarnation: attempts.incarnation,
                revision: attempts.revision,
                count: 0,
                refused: 0,
                requests_after_drain: Vec::new(),
                first: at,
                last: at,
            });
            sight.count += attempts.count;
            sight.refused += attempts.refused;
            sight.last = at;
            let room = REQUESTS.saturating_sub(sight.requests_after_drain.len());
            sight.requests_after_drain.extend(attempts.drained.iter().take(room).cloned());
        }
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.told.is_empty() && self.sights.is_empty()
    }

    /// All of it as the audit's events.
    pub fn take(&mut self) -> Vec<Event> {
        if self.dropped > 0 {
            tracing::warn!(target: "agent::words", sights = self.dropped, "there was no room for some of what servers saw");
            self.dropped = 0;
        }
        let told = std::mem::take(&mut self.told).into_iter();
        let mut events: Vec<Event> = told
            .map(|(node, (told, held))| Event::ListForwarded {
                node,
                forwarded_revision: told,
                agent_revision: held,
            })
            .collect();
        events.extend(std::mem::take(&mut self.reports).into_values().map(Event::Reported));
        let mut servers: BTreeMap<String, Vec<Observation>> = BTreeMap::new();
        for ((server, ..), sight) in std::mem::take(&mut self.sights) {
            servers.entry(server).or_default().push(sight);
        }
        events.extend(
            servers.into_iter().map(|(server, sights)| Event::Observed { server, observations: sights }),
        );
        events
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_merged_and_bounded() {
        let mut words = Words::default();
        let mut acted = Acted {
            node: "n".into(),
            incarnation: 1,
            program: String::new(),
            config: String::new(),
            standing: 41,
            oldest: 40,
            decided: vec![(40, 2), (41, 1)],
            refuses: Some(39),
            heard: 10,
        };
        words.acted(&acted, 1);
        (acted.standing, acted.decided, acted.refuses, acted.heard) = (42, vec![(41, 4)], None, 20);
        words.acted(&acted, 2);
        let attempts = |revision| SeenAttempts {
            node: "n".into(),
            incarnation: 1,
            revision,
            count: 2,
            refused: 1,
            drained: vec!["r".into(); 20],
        };
        for heard in [10, 20] {
            let attempts = (0..5).map(attempts).collect();
            words.seen(&Seen { server: "s".into(), heard, attempts }, heard, 3);
        }
        let events = words.take();
        assert!(words.is_empty());
        let Event::Reported(report) = &events[0] else { panic!("{events:?}") };
        assert_eq!(
            (report.current_revision, report.rejected_revision, report.at.not_before),
            (42, Some(39), 20)
        );
        assert_eq!(report.decisions, [(40, 2), (41, 5)]);
        let Event::Observed { observations: sights, .. } = &events[1] else { panic!("{events:?}") };
        assert_eq!(sights.len(), 3);
        assert_eq!((sights[0].count, sights[0].refused, sights[0].requests_after_drain.len()), (4, 2, 16));
        assert_eq!((sights[0].first.not_before, sights[0].last.not_before), (10, 20));
    }
}
