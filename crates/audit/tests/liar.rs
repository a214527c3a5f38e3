//! A node that claims each new revision and acts on an old one, while revisions change faster than attempts travel.

use audit::*;

#[test]
fn a_liar_is_named_however_fast_revisions_change_and_an_honest_node_is_not() {
    for (lies, named) in [(true, true), (false, false)] {
        let config = Config { flight: 2_000, ..Config::default() };
        let mut audit = Audit::new(config);
        let node = "n".to_owned();
        let (pool, zone, text) = ("p".to_owned(), "z".to_owned(), String::new());
        audit.apply(
            0,
            &Event::Joined {
                node: node.clone(),
                pool,
                zone,
                incarnation: 1,
                program: text.clone(),
                config: text,
            },
        );
        for n in 1..60 {
            let now = n * 300;
            audit.apply(now, &Event::Committed { revision: n, unix_ms: 0 });
            let at = Stamp { after: now, unix_ms: 0 };
            let report = Report {
                node: node.clone(),
                incarnation: 1,
                standing: n,
                oldest: n,
                decided: Vec::new(),
                refuses: None,
                at,
            };
            audit.apply(now, &Event::Reported(report));
            // What an honest node decided 1.8 s ago may only arrive now.
            let revision = if lies { 1 } else { n.saturating_sub(6).max(1) };
            let sight = Sight {
                node: node.clone(),
                incarnation: 1,
                revision,
                count: 1,
                refused: 0,
                drained: Vec::new(),
                first: at,
                last: at,
            };
            audit.apply(now, &Event::Seen { server: "s".to_owned(), sights: vec![sight] });
        }
        assert_eq!(audit.nodes()["n"].lies, named);
    }
}
