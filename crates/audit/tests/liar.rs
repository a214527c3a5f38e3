//! Guards the detection of a node that reports each new revision but acts on an old one, while revisions change
//! faster than attempts travel. If an attempt were compared with the node's latest claim only, that claim would
//! always be too recent to contradict it.

use audit::*;

#[test]
fn contradicted_reports_are_detected_at_any_rate_of_revisions_and_honest_ones_are_not() {
    for (misreports, is_contradicted) in [(true, true), (false, false)] {
        let config = Config { max_flight_ms: 2_000, ..Config::default() };
        let mut audit = Audit::new(config);
        let node = "n".to_owned();
        let (pool, zone, version) = ("p".to_owned(), "z".to_owned(), String::new());
        audit.apply(
            0,
            &Event::Joined {
                node: node.clone(),
                pool,
                zone,
                incarnation: 1,
                program: version.clone(),
                config: version,
            },
        );
        for newest in 1..60 {
            let now = newest * 300;
            audit.apply(now, &Event::Committed { revision: newest, unix_ms: 0 });
            let at = Timestamp { not_before: now, unix_ms: 0 };
            let report = Report {
                node: node.clone(),
                incarnation: 1,
                current_revision: newest,
                oldest_in_flight: newest,
                decisions: Vec::new(),
                rejected_revision: None,
                at,
            };
            audit.apply(now, &Event::Reported(report));
            // An attempt that an honest node decided on 1.8 s ago may arrive only now.
            let revision = if misreports { 1 } else { newest.saturating_sub(6).max(1) };
            let observation = Observation {
                node: node.clone(),
                incarnation: 1,
                revision,
                count: 1,
                refused: 0,
                requests_after_drain: Vec::new(),
                first: at,
                last: at,
            };
            audit.apply(now, &Event::Observed { server: "s".to_owned(), observations: vec![observation] });
        }
        assert_eq!(audit.nodes()["n"].is_contradicted, is_contradicted);
    }
}
