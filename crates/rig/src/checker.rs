//! Checks the event file and the audit's history of a run against the guarantees.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Longest time between a node's decision and the attempt's arrival: an attempt on an older revision may arrive this
/// much later than one on a newer revision.
const MAX_FLIGHT_US: u64 = 1_000_000;

/// The recording of a run.
pub struct RunRecord<'a> {
    /// The event file.
    pub events: &'a [Value],
    /// The entries of the audit's history.
    pub history: &'a [Value],
    /// All revisions that were committed, by the registry.
    pub committed: &'a BTreeSet<u64>,
    /// The nodes that an injected fault makes late. No attempt of any other node may be refused.
    pub faulty_nodes: &'a BTreeSet<String>,
    /// Number of nodes that may be shut out at once.
    pub max_shut_out: usize,
}

/// Returns the violations of the guarantees, each with the event or history entry that shows it.
pub fn find_violations(run: &RunRecord<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    check_attempts(run, &mut violations);
    check_history(run, &mut violations);
    violations
}

fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}

/// Checks the attempts that reached servers: on which revision they were decided and whether they were served.
fn check_attempts(run: &RunRecord<'_>, violations: &mut Vec<String>) {
    // By node and incarnation: each time at which a revision higher than all before was acted on.
    let mut highest_revisions: BTreeMap<(&str, u64), Vec<(u64, u64)>> = BTreeMap::new();
    let mut floors: BTreeMap<&str, u64> = BTreeMap::new();
    for event in run.events {
        match text(event, "kind") {
            "floor_told" => {
                floors.insert(text(event, "server"), event["floor"].as_u64().unwrap_or(0));
            }
            "attempt" => {
                let (node, revision) = (text(event, "node"), event["revision"].as_u64().unwrap_or(0));
                let (at_us, incarnation) =
                    (event["us"].as_u64().unwrap_or(0), event["incarnation"].as_u64().unwrap_or(0));
                let is_served = event["ran"] == true;
                if revision > 0 && !run.committed.contains(&revision) {
                    violations.push(format!("acted on a revision that was never committed: {event}"));
                }
                if is_served && floors.get(text(event, "server")).is_some_and(|&floor| revision < floor) {
                    violations
                        .push(format!("served an attempt below the floor that the server had: {event}"));
                }
                if !is_served && !run.faulty_nodes.contains(node) {
                    violations.push(format!("refused an attempt of a healthy node: {event}"));
                }
                let highest = highest_revisions.entry((node, incarnation)).or_default();
                if highest
                    .iter()
                    .any(|&(since_us, higher)| higher > revision && since_us + MAX_FLIGHT_US < at_us)
                {
                    violations
                        .push(format!("acted on an older revision than before in one process: {event}"));
                }
                if highest.last().is_none_or(|&(_, last)| last < revision) {
                    highest.push((at_us, revision));
                }
            }
            _ => {}
        }
    }
}

/// Checks the audit's verdicts and the floor.
fn check_history(run: &RunRecord<'_>, violations: &mut Vec<String>) {
    let mut shut_out: BTreeSet<String> = BTreeSet::new();
    let mut floor = 0;
    for entry in run.history {
        let record = &entry["what"];
        if let Some(escalated) = record.get("climbed") {
            let (node, evidence) = (text(escalated, "node"), &escalated["why"]);
            if evidence["revision"].as_u64() >= evidence["needed"].as_u64() || evidence["revision"].is_null()
            {
                violations.push(format!("escalated without evidence that the node was behind: {entry}"));
            }
            if !run.faulty_nodes.contains(node) {
                violations.push(format!("escalated a healthy node: {entry}"));
            }
            if escalated["to"] == "out" {
                shut_out.insert(node.to_owned());
            }
            if shut_out.len() > run.max_shut_out {
                violations.push(format!(
                    "{} nodes are shut out where {} may be: {entry}",
                    shut_out.len(),
                    run.max_shut_out
                ));
            }
        }
        let admitted = record.get("admitted").or(record.get("admitted_by"));
        if let Some(node) = admitted.or(record.get("left")).map(|fields| text(fields, "node")) {
            shut_out.remove(node);
        }
        if let Some(raised) = record.get("floor_rose") {
            let to = raised["to"].as_u64().unwrap_or(0);
            if to <= floor {
                violations.push(format!("the floor was raised to {to} from {floor}: {entry}"));
            }
            floor = to;
        }
        if let Some(contradicted) =
            record.get("lied").filter(|fields| !run.faulty_nodes.contains(text(fields, "node")))
        {
            violations.push(format!("contradicted the reports of a healthy node: {contradicted}"));
        }
        if record.get("impossible").is_some() {
            violations.push(format!("a node named a revision that was never committed: {entry}"));
        }
    }
}

/// Counts the attempts in the event file by revision and node.
pub fn count_attempts(events: &[Value]) -> BTreeMap<(u64, String), u64> {
    let mut counts = BTreeMap::new();
    for event in events.iter().filter(|event| event["kind"] == "attempt") {
        let key = (event["revision"].as_u64().unwrap_or(0), text(event, "node").to_owned());
        *counts.entry(key).or_default() += 1;
    }
    counts
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn check(events: &[Value], history: &[Value]) -> Vec<String> {
        let (committed, faulty_nodes) = (BTreeSet::from([1, 2, 3]), BTreeSet::from(["bad".to_owned()]));
        find_violations(&RunRecord {
            events,
            history,
            committed: &committed,
            faulty_nodes: &faulty_nodes,
            max_shut_out: 1,
        })
    }

    fn attempt(us: u64, node: &str, revision: u64, ran: bool) -> Value {
        json!({"us": us, "kind": "attempt", "server": "s", "node": node, "incarnation": 1, "revision": revision,
            "ran": ran})
    }

    #[test]
    fn each_violation_is_detected() {
        let valid = [attempt(0, "n", 2, true), attempt(10, "n", 3, true), attempt(20, "n", 2, true)];
        assert!(check(&valid, &[]).is_empty());
        let assert_violation = |events: &[Value], history: &[Value], text: &str| {
            let violations = check(events, history);
            assert!(violations.len() == 1 && violations[0].contains(text), "{text}: {violations:?}");
        };
        assert_violation(&[attempt(0, "n", 9, true)], &[], "never committed");
        let floor = json!({"us": 0, "kind": "floor_told", "server": "s", "floor": 3});
        assert_violation(
            &[floor.clone(), attempt(1, "n", 2, true)],
            &[],
            "served an attempt below the floor",
        );
        assert_violation(&[attempt(0, "n", 2, false)], &[], "refused an attempt of a healthy node");
        assert!(check(&[attempt(0, "bad", 2, false)], &[]).is_empty());
        assert_violation(
            &[attempt(0, "n", 3, true), attempt(3_000_000, "n", 2, true)],
            &[],
            "older revision than before",
        );
        let shut_out = |node: &str, revision: u64| json!({"what": {"climbed": {"node": node, "to": "out", "why": {"revision": revision, "needed": 2}}}});
        assert!(check(&[], &[shut_out("bad", 1)]).is_empty());
        assert_violation(&[], &[shut_out("bad", 2)], "without evidence");
        assert_violation(&[], &[shut_out("n", 1)], "escalated a healthy node");
        let two = [shut_out("bad", 1), shut_out("n", 1)];
        assert!(check(&[], &two).iter().any(|violation| violation.contains("2 nodes are shut out")));
        let floor_raised = |to: u64| json!({"what": {"floor_rose": {"to": to}}});
        assert_violation(&[], &[floor_raised(2), floor_raised(2)], "the floor was raised to 2 from 2");
        assert_violation(&[], &[json!({"what": {"lied": {"node": "n"}}})], "reports of a healthy node");
        assert_violation(
            &[],
            &[json!({"what": {"impossible": {"node": "n"}}})],
            "named a revision that was never committed",
        );
    }
}
