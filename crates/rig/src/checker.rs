//! Checkers: what the event file and the audit's history say, held against the guarantees.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// How long an attempt may be under way, in microseconds: one that was decided earlier may arrive this much later.
const FLIGHT_US: u64 = 1_000_000;

/// What a checker is given.
pub struct Case<'a> {
    /// The event file.
    pub events: &'a [Value],
    /// The audit's history.
    pub history: &'a [Value],
    /// Every revision that the registry says was committed.
    pub committed: &'a BTreeSet<u64>,
    /// Nodes that a fault of the run makes late: nothing of any other node may be refused.
    pub faulty: &'a BTreeSet<String>,
    /// Most nodes that may be out at once.
    pub cap: usize,
}

/// What does not hold, each with the line that shows it.
pub fn faults(case: &Case<'_>) -> Vec<String> {
    let mut faults = Vec::new();
    attempts(case, &mut faults);
    verdicts(case, &mut faults);
    faults
}

fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or_default()
}

fn attempts(case: &Case<'_>, faults: &mut Vec<String>) {
    let mut best: BTreeMap<(&str, u64), Vec<(u64, u64)>> = BTreeMap::new();
    let mut floors: BTreeMap<&str, u64> = BTreeMap::new();
    for event in case.events {
        match text(event, "kind") {
            "floor_told" => {
                floors.insert(text(event, "server"), event["floor"].as_u64().unwrap_or(0));
            }
            "attempt" => {
                let (node, revision) = (text(event, "node"), event["revision"].as_u64().unwrap_or(0));
                let (at, process) =
                    (event["us"].as_u64().unwrap_or(0), event["incarnation"].as_u64().unwrap_or(0));
                let ran = event["ran"] == true;
                if revision > 0 && !case.committed.contains(&revision) {
                    faults.push(format!("acted on a revision that was never committed: {event}"));
                }
                if ran && floors.get(text(event, "server")).is_some_and(|&floor| revision < floor) {
                    faults.push(format!("ran below the floor that its server was told: {event}"));
                }
                if !ran && !case.faulty.contains(node) {
                    faults.push(format!("an attempt of a sound node was refused: {event}"));
                }
                let seen = best.entry((node, process)).or_default();
                if seen.iter().any(|&(when, higher)| higher > revision && when + FLIGHT_US < at) {
                    faults.push(format!("fell back to an older revision within one process: {event}"));
                }
                if seen.last().is_none_or(|&(_, last)| last < revision) {
                    seen.push((at, revision));
                }
            }
            _ => {}
        }
    }
}

fn verdicts(case: &Case<'_>, faults: &mut Vec<String>) {
    let mut out: BTreeSet<String> = BTreeSet::new();
    let mut floor = 0;
    for line in case.history {
        let what = &line["what"];
        if let Some(climbed) = what.get("climbed") {
            let (node, why) = (text(climbed, "node"), &climbed["why"]);
            if why["revision"].as_u64() >= why["needed"].as_u64() || why["revision"].is_null() {
                faults.push(format!("a verdict without evidence that proves it: {line}"));
            }
            if !case.faulty.contains(node) {
                faults.push(format!("a verdict against a sound node: {line}"));
            }
            if climbed["to"] == "out" {
                out.insert(node.to_owned());
            }
            if out.len() > case.cap {
                faults.push(format!("{} nodes are out where {} may be: {line}", out.len(), case.cap));
            }
        }
        let admitted = what.get("admitted").or(what.get("admitted_by"));
        if let Some(node) = admitted.or(what.get("left")).map(|of| text(of, "node")) {
            out.remove(node);
        }
        if let Some(rose) = what.get("floor_rose") {
            let to = rose["to"].as_u64().unwrap_or(0);
            if to <= floor {
                faults.push(format!("the floor rose to {to} from {floor}: {line}"));
            }
            floor = to;
        }
        if let Some(lied) = what.get("lied").filter(|lied| !case.faulty.contains(text(lied, "node"))) {
            faults.push(format!("an honest node is called a liar: {lied}"));
        }
        if what.get("impossible").is_some() {
            faults.push(format!("what was never committed was acted on: {line}"));
        }
    }
}

/// Attempts by node and revision, as the event file has them.
pub fn attempts_by(events: &[Value]) -> BTreeMap<(u64, String), u64> {
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

    fn found(events: &[Value], history: &[Value]) -> Vec<String> {
        let (committed, faulty) = (BTreeSet::from([1, 2, 3]), BTreeSet::from(["bad".to_owned()]));
        faults(&Case { events, history, committed: &committed, faulty: &faulty, cap: 1 })
    }

    fn attempt(us: u64, node: &str, revision: u64, ran: bool) -> Value {
        json!({"us": us, "kind": "attempt", "server": "s", "node": node, "incarnation": 1, "revision": revision,
            "ran": ran})
    }

    #[test]
    fn each_check_can_fail() {
        let good = [attempt(0, "n", 2, true), attempt(10, "n", 3, true), attempt(20, "n", 2, true)];
        assert!(found(&good, &[]).is_empty());
        let one = |events: &[Value], history: &[Value], part: &str| {
            let found = found(events, history);
            assert!(found.len() == 1 && found[0].contains(part), "{part}: {found:?}");
        };
        one(&[attempt(0, "n", 9, true)], &[], "never committed");
        let told = json!({"us": 0, "kind": "floor_told", "server": "s", "floor": 3});
        one(&[told.clone(), attempt(1, "n", 2, true)], &[], "ran below the floor");
        one(&[attempt(0, "n", 2, false)], &[], "sound node was refused");
        assert!(found(&[attempt(0, "bad", 2, false)], &[]).is_empty());
        one(&[attempt(0, "n", 3, true), attempt(3_000_000, "n", 2, true)], &[], "fell back");
        let climbed = |node: &str, revision: u64| json!({"what": {"climbed": {"node": node, "to": "out", "why": {"revision": revision, "needed": 2}}}});
        assert!(found(&[], &[climbed("bad", 1)]).is_empty());
        one(&[], &[climbed("bad", 2)], "without evidence");
        one(&[], &[climbed("n", 1)], "against a sound node");
        let two = [climbed("bad", 1), climbed("n", 1)];
        assert!(found(&[], &two).iter().any(|fault| fault.contains("2 nodes are out")));
        let rose = |to: u64| json!({"what": {"floor_rose": {"to": to}}});
        one(&[], &[rose(2), rose(2)], "the floor rose to 2 from 2");
        one(&[], &[json!({"what": {"lied": {"node": "n"}}})], "honest");
        one(&[], &[json!({"what": {"impossible": {"node": "n"}}})], "never committed was acted on");
    }
}
