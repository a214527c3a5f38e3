use super::*;

#[test]
fn a_node_that_was_started_again_counts_anew() {
    let line = |fields: &str| format!("{{\"fields\":{{{fields}}}}}\n");
    let counts = |text: &str| line(&format!("\"message\":\"counts\",\"counts\":\"{text}\""));
    let log = [
        line("\"message\":\"ready\""),
        counts("requests=3 ok=2"),
        counts("requests=9 ok=8"),
        "{\"fields\":{\"mess".to_owned() + "\n",
        "not json\n".to_owned(),
        line("\"message\":\"ready\""),
        "0.917 ".to_owned() + &counts("requests=11 ok=x full=1"),
    ];
    let all = processes(log.concat().as_bytes(), &mut ColdStarts::default()).unwrap();
    let text: Vec<String> = all.iter().map(|counts| format!("{counts:?}")).collect();
    assert_eq!(text, [r#"{"ok": 8, "requests": 9}"#, r#"{"full": 1, "requests": 11}"#]);
}
