//! Reports of nodes and servers, merged in a buffer until they are forwarded to the registry.
//!
//! Log lines of this module have the target `agent::words`, which operators filter by.

use std::collections::BTreeMap;

use audit::{Event, Observation, Report, Timestamp};
use serde::{Deserialize, Serialize};

/// A node's report about itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node's name.
    pub node: String,
    /// The incarnation of the node's process: each start has a greater one.
    pub incarnation: u64,
    /// The version of the node's program.
    #[serde(default)]
    pub program: String,
    /// The version of the node's configuration.
    #[serde(default)]
    pub config: String,
    /// The revision that the node's next decision will be based on.
    #[serde(rename = "standing")]
    pub current_revision: u64,
    /// The oldest revision that a request in flight is based on; `current_revision` where there is none.
    #[serde(rename = "oldest")]
    pub oldest_in_flight: u64,
    /// The number of decisions since the last report, by revision.
    #[serde(rename = "decided", default)]
    pub decisions: Vec<(u64, u64)>,
    /// A revision of the list that the node received and could not act on.
    #[serde(rename = "refuses", default)]
    pub rejected_revision: Option<u64>,
    /// The newest log time that the agent had sent to the node before the report.
    #[serde(rename = "heard", default)]
    pub agent_clock: u64,
}

/// A server's report on the attempts that it received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's id.
    pub server: String,
    /// The newest log time that the agent had sent to the server before the report.
    #[serde(rename = "heard", default)]
    pub agent_clock: u64,
    /// The attempts since the last report.
    pub attempts: Vec<ObservedAttempts>,
}

/// Attempts of one node on one revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObservedAttempts {
    /// The node that the attempts name.
    pub node: String,
    /// The incarnation of the node's process.
    pub incarnation: u64,
    /// The revision that the attempts were decided on.
    pub revision: u64,
    /// How many attempts were received.
    pub count: u64,
    /// How many of them the server refused because their revision is below the floor.
    #[serde(default)]
    pub refused: u64,
    /// The ids of a few of the requests, where the server was already draining.
    #[serde(rename = "drained", default)]
    pub requests_after_drain: Vec<String>,
}

/// How many revisions a merged report counts decisions of. Beyond it the counts of the lowest revisions are dropped.
const MAX_REPORTED_REVISIONS: usize = 64;
/// How many request ids a merged observation has.
const MAX_REQUESTS_PER_OBSERVATION: usize = 16;

/// What has been reported and is not yet forwarded to the registry.
#[derive(Debug, Default)]
pub struct ReportBuffer {
    /// The merged report of each node.
    node_reports: BTreeMap<String, Report>,
    /// For each node, the newest revision that was sent to it and the agent's own.
    forwarded_revisions: BTreeMap<String, (u64, u64)>,
    /// The merged observations, by server, node, incarnation and revision.
    observations: BTreeMap<(String, String, u64, u64), Observation>,
    /// How many observations there was no room for.
    dropped_observations: u64,
}

impl ReportBuffer {
    /// Merges a node's report with the earlier reports of the same incarnation.
    pub fn add_node_report(&mut self, new: &NodeReport, unix_ms: u64) {
        let at = Timestamp { not_before: new.agent_clock, unix_ms };
        let earlier =
            self.node_reports.get(&new.node).filter(|earlier| earlier.incarnation == new.incarnation);
        let mut decisions: BTreeMap<u64, u64> =
            earlier.iter().flat_map(|earlier| earlier.decisions.iter().copied()).collect();
        for &(revision, count) in &new.decisions {
            *decisions.entry(revision).or_default() += count;
        }
        while decisions.len() > MAX_REPORTED_REVISIONS {
            decisions.pop_first();
        }
        let rejected_revision =
            new.rejected_revision.or(earlier.and_then(|earlier| earlier.rejected_revision));
        let report = Report {
            node: new.node.clone(),
            incarnation: new.incarnation,
            current_revision: new.current_revision,
            oldest_in_flight: new.oldest_in_flight,
            decisions: decisions.into_iter().collect(),
            rejected_revision,
            at,
        };
        self.node_reports.insert(new.node.clone(), report);
    }

    /// Records how far the list has been forwarded to a node, and which revision the agent has.
    pub fn record_forwarding(&mut self, node: &str, forwarded_revision: u64, agent_revision: u64) {
        self.forwarded_revisions.insert(node.to_owned(), (forwarded_revision, agent_revision));
    }

    /// Merges a server's report with its earlier ones. Attempts that would need one more than `max_observations`
    /// observations are dropped and counted.
    pub fn add_server_report(&mut self, report: &ServerReport, unix_ms: u64, max_observations: usize) {
        let at = Timestamp { not_before: report.agent_clock, unix_ms };
        for attempts in &report.attempts {
            let key = (report.server.clone(), attempts.node.clone(), attempts.incarnation, attempts.revision);
            if !self.observations.contains_key(&key) && self.observations.len() >= max_observations {
                self.dropped_observations += 1;
                continue;
            }
            let observation = self.observations.entry(key).or_insert_with(|| Observation {
                node: attempts.node.clone(),
                incarnation: attempts.incarnation,
                revision: attempts.revision,
                count: 0,
                refused: 0,
                requests_after_drain: Vec::new(),
                first: at,
                last: at,
            });
            observation.count += attempts.count;
            observation.refused += attempts.refused;
            observation.last = at;
            let room = MAX_REQUESTS_PER_OBSERVATION.saturating_sub(observation.requests_after_drain.len());
            observation.requests_after_drain.extend(attempts.requests_after_drain.iter().take(room).cloned());
        }
    }

    /// Whether there is nothing to forward.
    pub fn is_empty(&self) -> bool {
        self.node_reports.is_empty() && self.forwarded_revisions.is_empty() && self.observations.is_empty()
    }

    /// Empties the buffer into events for the audit.
    pub fn take_events(&mut self) -> Vec<Event> {
        if self.dropped_observations > 0 {
            tracing::warn!(
                target: "agent::words",
                sights = self.dropped_observations,
                "the report buffer was full; dropped observations of servers"
            );
            self.dropped_observations = 0;
        }
        let forwarded = std::mem::take(&mut self.forwarded_revisions).into_iter();
        let mut events: Vec<Event> = forwarded
            .map(|(node, (forwarded_revision, agent_revision))| Event::ListForwarded {
                node,
                forwarded_revision,
                agent_revision,
            })
            .collect();
        events.extend(std::mem::take(&mut self.node_reports).into_values().map(Event::Reported));
        let mut servers: BTreeMap<String, Vec<Observation>> = BTreeMap::new();
        for ((server, ..), observation) in std::mem::take(&mut self.observations) {
            servers.entry(server).or_default().push(observation);
        }
        events.extend(
            servers.into_iter().map(|(server, observations)| Event::Observed { server, observations }),
        );
        events
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_are_merged_and_bounded() {
        let mut buffer = ReportBuffer::default();
        let mut node_report = NodeReport {
            node: "n".into(),
            incarnation: 1,
            program: String::new(),
            config: String::new(),
            current_revision: 41,
            oldest_in_flight: 40,
            decisions: vec![(40, 2), (41, 1)],
            rejected_revision: Some(39),
            agent_clock: 10,
        };
        buffer.add_node_report(&node_report, 1);
        node_report.current_revision = 42;
        node_report.decisions = vec![(41, 4)];
        node_report.rejected_revision = None;
        node_report.agent_clock = 20;
        buffer.add_node_report(&node_report, 2);
        let attempts = |revision| ObservedAttempts {
            node: "n".into(),
            incarnation: 1,
            revision,
            count: 2,
            refused: 1,
            requests_after_drain: vec!["r".into(); 20],
        };
        for agent_clock in [10, 20] {
            let attempts = (0..5).map(attempts).collect();
            let report = ServerReport { server: "s".into(), agent_clock, attempts };
            buffer.add_server_report(&report, agent_clock, 3);
        }
        let events = buffer.take_events();
        assert!(buffer.is_empty());
        let Event::Reported(report) = &events[0] else { panic!("{events:?}") };
        assert_eq!(
            (report.current_revision, report.rejected_revision, report.at.not_before),
            (42, Some(39), 20)
        );
        assert_eq!(report.decisions, [(40, 2), (41, 5)]);
        let Event::Observed { observations, .. } = &events[1] else { panic!("{events:?}") };
        assert_eq!(observations.len(), 3);
        let first = &observations[0];
        assert_eq!((first.count, first.refused, first.requests_after_drain.len()), (4, 2, 16));
        assert_eq!((first.first.not_before, first.last.not_before), (10, 20));
    }
}
