use super::*;
use crate::findings::Severity;

const VALID_CONFIG: &str = r#"{"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 77}, "later": [],
    "known": {"revision": 1, "complete": true, "members": []},
    "settings": {"group-size": 3, "classes": [{"name": "pay", "aim": 5e5, "deadline": 1000000,
        "semantics": "unsafe"}], "bounds": {"max-attempts": 5, "may-probe": true},
        "report": {"fields": ["queue", "util"]}}}"#;

fn finding_messages(text: &str) -> Vec<String> {
    Config::parse(text, &HashMap::new()).1.all().iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_file_is_parsed_and_the_environment_overrides_it() {
    let env = HashMap::from([("BALANCER_LISTEN".to_owned(), "127.0.0.1:9".to_owned())]);
    let (config, findings) = Config::parse(VALID_CONFIG, &env);
    let config = config.unwrap();
    assert!(findings.all().is_empty(), "{findings}");
    assert_eq!((config.seed, config.max_descriptors, config.listen.port()), (0xff, 77, 9));
    assert_eq!(config.max_memory_bytes, 192 << 20);
    assert_eq!((config.settings.group_size, config.settings.max_attempts), (3, 5));
    assert_eq!((config.settings.classes[0].aim, config.request_names.class_index("pay")), (500_000, Some(0)));
    assert!(config.settings.can_probe && config.cached_list.entries.is_empty());
    assert_eq!(config.node_settings.load_report_fields, ["queue", "util"]);
    assert_eq!(parse_discovery_address(VALID_CONFIG).unwrap().port(), 2);
    assert!(parse_discovery_address("{}").is_err() && parse_discovery_address(&VALID_CONFIG[..99]).is_err());
}

#[test]
fn all_problems_are_reported_together_with_their_paths() {
    let invalid = r#"{"name": 7, "listen": "here", "peers": ["127.0.0.1:4", "x"], "limits": {"sockets": -1},
        "known": {"members": [{"id": "s-1", "host_port": "127.0.0.1:1", "phase": "up"}]},
        "settings": {"worth_by": "weight", "classes": [
            {"name": "pay", "aim": "soon", "semantics": "safe"}, {"name": "pay", "aim": 9, "deadline": 3}],
            "bounds": {"may-probe": "perhaps"}, "rules": {"fall-multiple": "x"}}}"#;
    assert_eq!(
        finding_messages(invalid),
        [
            "listen: expected an address such as 10.0.0.4:5000, or $BALANCER_LISTEN set, found 'here'",
            "discovery: expected an address such as 10.0.0.4:5000, or $BALANCER_DISCOVERY set, found nothing",
            "name: expected a string, found 7",
            "limits.sockets: expected a whole number of descriptors, found -1",
            "peers[1]: expected an address such as 10.0.0.4:5000, found 'x'",
            "seed: expected a hexadecimal string or a whole number (without a seed, all nodes make the same \
                random choices), found nothing",
            "known.members[0].phase: expected in_service, terminating or terminated, found 'up'",
            "settings.classes[0].aim: expected a whole number, 0 or more, found 'soon'",
            "settings.worth_by: expected work or request, found 'weight'",
            "settings.bounds.may-probe: expected true or 1 or false or 0, found 'perhaps'",
            "settings.rules.fall-multiple: expected a finite number, found 'x'",
            "settings.classes[1].aim: expected at most the deadline, 3, found 9",
            "settings.classes[1].name: expected a unique name, found 'pay' again",
        ]
    );
    let nested = VALID_CONFIG.replace("5e5", "{}").replace("3,", "[{}],");
    assert_eq!(
        finding_messages(&nested),
        [
            "settings.classes[0].aim: expected a whole number, 0 or more, found an object",
            "settings.group-size: expected a whole number, 0 or more, found a list of objects",
        ]
    );
    let findings = Config::parse(invalid, &HashMap::new()).1;
    assert!(findings.has_errors() && findings.all().iter().any(|f| f.severity == Severity::Warning));
}

#[test]
fn warnings_do_not_keep_a_node_from_starting() {
    let with_warnings =
        VALID_CONFIG.replace(r#""members": []"#, r#""members": [7]"#).replace(r#""unsafe""#, r#""maybe""#);
    let (config, findings) = Config::parse(&with_warnings, &HashMap::new());
    assert_eq!(config.unwrap().settings.classes[0].semantics, crate::api::Semantics::Unsafe);
    assert_eq!(findings.all().len(), 2);
    for text in ["", "[]", "{\"listen\":"] {
        assert!(Config::parse(text, &HashMap::new()).0.is_none());
        assert_eq!(finding_messages(text).len(), 1, "{text}");
    }
    assert_eq!(
        finding_messages("{").first().unwrap(),
        "the file: expected a JSON object, found EOF while parsing an object at line 1 column 1"
    );
}

// Guards against defaults that apply unnoticed: each absent setting is reported with the default that is used
// for it, except for the settings that a deployment may omit.
#[test]
fn the_default_of_each_absent_setting_is_reported() {
    let (config, findings) = Config::parse(VALID_CONFIG, &HashMap::new());
    assert!(config.is_some() && findings.all().is_empty());
    let defaults: HashMap<&str, &str> =
        findings.defaults().iter().map(|(path, default)| (path.as_str(), default.as_str())).collect();
    for (path, default) in [
        ("rules.fall-multiple", "1"),
        ("rules.stop-sending-within", "500000"),
        ("bounds.keepalive", "15000000"),
        ("registry-mode", "none"),
        ("classes.0.points", "1"),
    ] {
        assert_eq!(defaults.get(path), Some(&default), "{path}");
    }
    let unreported =
        ["group-size", "classes.0.aim", "bounds.max-attempts", "domain.warm-keys", "tenants.count"];
    for path in unreported {
        assert!(!defaults.contains_key(path), "{path}");
    }
}
