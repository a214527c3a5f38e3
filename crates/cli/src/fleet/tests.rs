use super::*;

// A `ready` line begins a new process, whose counts start at zero; incomplete lines, lines of other programs
// and counts that are no numbers are skipped, and a timestamp before the JSON is ignored.
#[test]
fn each_process_of_a_log_has_its_own_counts() {
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
    let processes = read_processes(log.concat().as_bytes(), &mut ColdStarts::default()).unwrap();
    let text: Vec<String> = processes.iter().map(|counts| format!("{counts:?}")).collect();
    assert_eq!(text, [r#"{"ok": 8, "requests": 9}"#, r#"{"full": 1, "requests": 11}"#]);
}
