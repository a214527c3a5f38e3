use super::*;

const GOOD: &str = r#"{"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 77}, "later": [],
    "known": {"revision": 1, "complete": true, "members": []},
    "settings": {"group-size": 3, "classes": [{"name": "pay", "aim": 5e5, "deadline": 1000000,
        "semantics": "unsafe"}], "bounds": {"max-attempts": 5, "may-probe": true},
        "report": {"fields": ["queue", "util"]}}}"#;

fn said(text: &str) -> Vec<String> {
    Config::read(text, &HashMap::new()).1.all().iter().map(ToString::to_string).collect()
}

#[test]
fn settings_are_read_as_the_simulator_writes_them() {
    let env = HashMap::from([("BALANCER_LISTEN".to_owned(), "127.0.0.1:9".to_owned())]);
    let (config, findings) = Config::read(GOOD, &env);
    let config = config.unwrap();
    assert!(findings.all().is_empty(), "{findings}");
    assert_eq!((config.seed, config.sockets, config.listen.port()), (0xff, 77, 9));
    assert_eq!(config.memory, 192 << 20);
    assert_eq!((config.settings.group_size, config.settings.max_attempts), (3, 5));
    assert_eq!((config.settings.classes[0].aim, config.names.class("pay")), (500_000, Some(0)));
    assert!(config.settings.can_probe && config.known.entries.is_empty());
    assert_eq!(config.figures.report, ["queue", "util"]);
    assert_eq!(discovery_of(GOOD).unwrap().port(), 2);
    assert!(discovery_of("{}").is_err() && discovery_of(&GOOD[..99]).is_err());
}

#[test]
fn all_that_is_wrong_is_said_at_once_with_its_place() {
    let bad = r#"{"name": 7, "listen": "here", "peers": ["127.0.0.1:4", "x"], "limits": {"sockets": -1},
        "known": {"members": [{"id": "s-1", "host_port": "127.0.0.1:1", "phase": "up"}]},
        "settings": {"worth_by": "weight", "classes": [
            {"name": "pay", "aim": "soon", "semantics": "safe"}, {"name": "pay", "aim": 9, "deadline": 3}],
            "bounds": {"may-probe": "perhaps"}, "rules": {"fall-multiple": "x"}}}"#;
    assert_eq!(
        said(bad),
        [
            "listen: expected an address such as 10.0.0.4:5000, or $BALANCER_LISTEN set, found 'here'",
            "discovery: expected an address such as 10.0.0.4:5000, or $BALANCER_DISCOVERY set, found nothing",
            "name: expected a text, found 7",
            "limits.sockets: expected a whole number of descriptors, found -1",
            "peers[1]: expected an address such as 10.0.0.4:5000, found 'x'",
            "seed: expected hex text or a whole number, or all nodes draw alike, found nothing",
            "known.members[0].phase: expected in_service, terminating or terminated, found 'up'",
            "settings.classes[0].aim: expected a whole number, 0 or more, found 'soon'",
            "settings.worth_by: expected work or request, found 'weight'",
            "settings.bounds.may-probe: expected true or 1 or false or 0, found 'perhaps'",
            "settings.rules.fall-multiple: expected a finite number, found 'x'",
            "settings.classes[1].aim: expected at most the deadline, 3, found 9",
            "settings.classes[1].name: expected a name of its own, found 'pay' again",
        ]
    );
    let nested = GOOD.replace("5e5", "{}").replace("3,", "[{}],");
    assert_eq!(
        said(&nested),
        [
            "settings.classes[0].aim: expected a whole number, 0 or more, found an object",
            "settings.group-size: expected a whole number, 0 or more, found a list of objects",
        ]
    );
    let refused = Config::read(bad, &HashMap::new()).1;
    assert!(refused.refused() && refused.all().iter().any(|f| f.effect == crate::findings::Effect::LeftOut));
}

#[test]
fn what_a_node_can_go_on_without_does_not_keep_it_from_starting() {
    let odd = GOOD.replace(r#""members": []"#, r#""members": [7]"#).replace(r#""unsafe""#, r#""maybe""#);
    let (config, findings) = Config::read(&odd, &HashMap::new());
    assert_eq!(config.unwrap().settings.classes[0].semantics, crate::api::Semantics::Unsafe);
    assert_eq!(findings.all().len(), 2);
    for text in ["", "[]", "{\"listen\":"] {
        assert!(Config::read(text, &HashMap::new()).0.is_none());
        assert_eq!(said(text).len(), 1, "{text}");
    }
    assert_eq!(
        said("{").first().unwrap(),
        "the file: expected a JSON object, found EOF while parsing an object at line 1 column 1"
    );
}

// No default stands in quietly: each setting that the file does not tell is named with what stands for it. What a
// site need not tell (WIRE) is meant where it is absent.
#[test]
fn what_stands_for_a_setting_that_is_not_told_is_said() {
    let (config, findings) = Config::read(GOOD, &HashMap::new());
    assert!(config.is_some() && findings.all().is_empty());
    let assumed: HashMap<&str, &str> =
        findings.assumed().iter().map(|(path, stands)| (path.as_str(), stands.as_str())).collect();
    for (path, stands) in [
        ("rules.fall-multiple", "1"),
        ("rules.stop-sending-within", "500000"),
        ("bounds.keepalive", "15000000"),
        ("registry-mode", "none"),
        ("classes.0.points", "1"),
    ] {
        assert_eq!(assumed.get(path), Some(&stands), "{path}");
    }
    for told in ["group-size", "classes.0.aim", "bounds.max-attempts", "domain.warm-keys", "tenants.count"] {
        assert!(!assumed.contains_key(told), "{told}");
    }
}
