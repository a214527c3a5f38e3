//! The program as a process: its output and exit codes.

use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

/// The path of a file in `examples/`.
fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fircroft"));
    // Variables of the test's own environment must not change the result.
    let inherited = std::env::vars().filter(|(name, _)| name.starts_with("FIRCROFT_") || name == "RUST_LOG");
    inherited.for_each(|(name, _)| {
        command.env_remove(name);
    });
    command.args(args);
    command
}

fn run(args: &[&str]) -> Output {
    command(args).output().expect("starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("is text")
}

/// Exit code, standard output and standard error.
fn exit_and_output(output: &Output) -> (i32, String, String) {
    (output.status.code().expect("ends by itself"), text(&output.stdout), text(&output.stderr))
}

/// A file in a temporary folder, which is removed with the first value.
fn temp_file(name: &str, content: &str) -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(name);
    std::fs::write(&path, content).unwrap();
    (dir, path)
}

#[test]
fn a_valid_configuration_exits_with_0_and_reports_the_defaults() {
    let (code, out, err) = exit_and_output(&run(&["check", "config", &example_path("config.json")]));
    assert_eq!((code, err.as_str()), (0, ""), "{out}");
    assert!(out.contains(": valid, 2 classes, 1 known servers"), "{out}");
    // An absent setting is reported as a note, which does not change the exit code.
    assert!(out.contains("note: settings.rules."), "{out}");
}

#[test]
fn all_problems_of_a_configuration_are_reported_together() {
    let (_dir, path) = temp_file(
        "config.json",
        r#"{"listen": "127.0.0.1:1", "discovery": 9, "seed": "1", "settings": {"classes": [
            {"name": "a", "aim": -3, "semantics": "twice"}]}}"#,
    );
    let (code, out, _) = exit_and_output(&run(&["check", "config", path.to_str().unwrap()]));
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(code, 2);
    assert_eq!(
        lines[..3],
        [
            "error: discovery: expected an address such as 10.0.0.4:5000, or $BALANCER_DISCOVERY set, found 9",
            "warning: settings.classes[0].semantics: expected safe or keyed or unsafe, found 'twice'",
            "error: settings.classes[0].aim: expected a whole number, 0 or more, found '-3'",
        ]
    );
    assert!(lines[3].ends_with("a node does not start with this, 2 errors, 1 warnings"), "{out}");

    let check = ["check", "config", "--json", "--env", path.to_str().unwrap()];
    let output = command(&check).env("BALANCER_DISCOVERY", "127.0.0.1:8500").output().unwrap();
    let found: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let rows: Vec<_> = found.as_array().unwrap().iter().map(|row| (&row["path"], &row["severity"])).collect();
    assert_eq!(
        rows,
        [
            (&Value::from("settings.classes[0].semantics"), &Value::from("warning")),
            (&Value::from("settings.classes[0].aim"), &Value::from("error")),
        ]
    );
}

#[test]
fn a_missing_file_and_a_file_without_json_have_different_exit_codes() {
    let (code, _, err) = exit_and_output(&run(&["check", "config", "no-such-file.json"]));
    assert_eq!(code, 1);
    assert!(err.contains("no-such-file.json: No such file"), "{err}");
    let (_dir, path) = temp_file("config.json", "{\"listen\": ");
    let (code, out, _) = exit_and_output(&run(&["check", "config", path.to_str().unwrap()]));
    assert_eq!(code, 2);
    assert!(out.contains("the file: expected a JSON object, found EOF") && out.contains("line 1"), "{out}");
}

#[test]
fn the_table_shows_the_slots_of_each_server() {
    let (code, out, _) = exit_and_output(&run(&["table", &example_path("targets.json"), "--json"]));
    assert_eq!(code, 0);
    let report: Value = serde_json::from_str(&out).unwrap();
    let servers = report["servers"].as_array().unwrap();
    let slots: u64 = servers.iter().map(|row| row["slots"].as_u64().unwrap()).sum();
    // The terminating server has no slots and no row.
    assert_eq!((servers.len(), slots, report["table_slots"].as_u64()), (3, 16_381, Some(16_381)));
    for row in servers {
        let (slots, due) = (row["slots"].as_f64().unwrap(), row["due"].as_f64().unwrap());
        assert!((slots / due - 1.0).abs() < 0.01, "{row}");
    }
    let (_, out, _) = exit_and_output(&run(&["table", &example_path("targets.json")]));
    assert!(out.contains("3 servers share 16381 slots; each has "), "{out}");
    let (_, out, _) = exit_and_output(&run(&["table", &example_path("config.json")]));
    assert!(out.contains("1 servers share 16381 slots; each has 1.000 to 1.000"), "{out}");
}

#[test]
fn a_change_moves_few_more_slots_than_necessary() {
    let (code, out, _) =
        exit_and_output(&run(&["table", "--servers", "200", "--change", "-s-7,+s-new", "--json"]));
    assert_eq!(code, 0);
    let report: Value = serde_json::from_str(&out).unwrap();
    let (slots, min_slots) =
        (report["moved"]["slots"].as_u64().unwrap(), report["moved"]["least"].as_u64().unwrap());
    // At least the slots of one server have to move; of 200 servers, each has about 82 of the 16381 slots.
    assert!(
        (75..=90).contains(&min_slots) && (min_slots..16_381 / 10).contains(&slots),
        "{slots} of {min_slots}"
    );
    let (_, with_two_flags, _) =
        exit_and_output(&run(&["table", "--servers", "200", "--change=-s-7", "--change=+s-new", "--json"]));
    assert_eq!(out, with_two_flags);
    let (_, unchanged, _) = exit_and_output(&run(&["table", "--servers", "9", "--change", "-s-7,+s-7"]));
    let expected = "the change moves 0 slots (0.00%); lowest possible number 0, ratio none";
    assert!(unchanged.contains(expected), "{unchanged}");
}

#[test]
fn the_list_can_be_read_from_standard_input() {
    let mut child = command(&["table", "-", "--even"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let list = std::fs::read(example_path("targets.json")).unwrap();
    child.stdin.take().unwrap().write_all(&list).unwrap();
    let (code, out, _) = exit_and_output(&child.wait_with_output().unwrap());
    assert_eq!(code, 0);
    assert!(out.lines().nth(1).unwrap().split_whitespace().any(|word| word == "5460.3"), "{out}");
}

#[test]
fn incorrect_usage_exits_with_2_and_names_the_problem() {
    let targets = example_path("targets.json");
    let (_dir, no_list) = temp_file("list.json", "[1, 2]");
    for (args, expected) in [
        (vec!["table"], "<FILE|--servers <N>>"),
        (vec!["table", "--servers", "0"], "0 is not in 1..=16381"),
        (vec!["table", &targets, "--change", "s-1"], "--change 's-1': expected +ID, +ID=SIZE or -ID"),
        (vec!["table", &targets, "--change", "-s-1"], "--change '-s-1': no server in service has this id"),
        (vec!["table", &targets, "--change", "+s-5be2a07c"], "is in service already"),
        (vec!["table", &targets, "--change", "+x=-1"], "the size after = has to be a number above 0"),
        (vec!["table", no_list.to_str().unwrap()], "list: expected an object with a list 'members'"),
        (vec!["--log-filter", "a=b=c", "table", &targets], "log filter 'a=b=c'"),
        (vec!["nonsense"], "unrecognized subcommand"),
    ] {
        let (code, out, err) = exit_and_output(&run(&args));
        assert_eq!(code, 2, "{args:?}: {out}{err}");
        assert!(err.contains(expected), "{args:?}: {err}");
    }
    let (code, _, err) = exit_and_output(&run(&["table", "--servers", "1", "--change", "-s-0"]));
    assert_eq!((code, err.as_str()), (1, "fircroft: no server is in service\n"));
}

#[test]
fn flags_override_variables_and_variables_override_the_file() {
    let (_dir, path) = temp_file("fircroft.toml", "log_format = \"json\"\nlog_filter = \"debug\"\n");
    let check = ["--config", path.to_str().unwrap(), "check", "config", &example_path("config.json")];
    let log_of = |output: Output| text(&output.stderr);
    let from_file = log_of(command(&check).output().unwrap());
    let lines: Vec<Value> = from_file.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(lines.iter().any(|line| line["fields"]["findings"] == 0), "{from_file}");
    assert_eq!(log_of(command(&check).env("FIRCROFT_LOG_FILTER", "warn").output().unwrap()), "");
    assert_eq!(
        log_of(command(&check).env("RUST_LOG", "trace").output().unwrap()).lines().count(),
        lines.len()
    );
    let flag = [&["--log-filter", "debug", "--log-format", "text"], &check[..]].concat();
    let as_text = log_of(command(&flag).env("FIRCROFT_LOG_FILTER", "warn").output().unwrap());
    assert!(as_text.contains("DEBUG") && !as_text.starts_with('{'), "{as_text}");
}

#[test]
fn an_invalid_configuration_of_the_program_names_the_source() {
    let (_dir, path) = temp_file("fircroft.toml", "log_form = \"json\"\n");
    let path = path.to_str().unwrap();
    let (code, _, err) = exit_and_output(&run(&["--config", path, "table", "--servers", "2"]));
    assert_eq!(code, 2);
    assert!(err.contains("unknown field: found `log_form`") && err.contains("fircroft.toml"), "{err}");
    let output = command(&["table", "--servers", "2"]).env("FIRCROFT_LOG_FORMAT", "xml").output().unwrap();
    let (code, _, err) = exit_and_output(&output);
    assert_eq!(code, 2);
    assert!(err.contains("xml") && err.contains("\"LOG_FORMAT\" in `FIRCROFT_` environment"), "{err}");
    let (code, _, err) = exit_and_output(&run(&["--config", "no-such.toml", "table", "--servers", "2"]));
    assert_eq!(code, 1);
    assert!(err.contains("no-such.toml"), "{err}");
}

#[test]
fn the_version_the_completions_and_the_help_are_printed() {
    let (code, out, _) = exit_and_output(&run(&["--version"]));
    assert!(code == 0 && out.starts_with("fircroft 0.1.0 (commit "), "{out}");
    for shell in ["bash", "zsh", "fish"] {
        let (code, out, _) = exit_and_output(&run(&["completions", shell]));
        assert!(code == 0 && out.contains("fircroft") && out.contains("servers"), "{shell}");
    }
    let (_, out, _) = exit_and_output(&run(&["table", "--help"]));
    assert!(out.contains("Examples:"), "{out}");
}

#[test]
fn a_closed_output_pipe_is_not_a_failure() {
    for args in [&["table", "--servers", "16381"][..], &["table", "--servers", "16381", "--json"]] {
        let mut child = command(args).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let mut output = child.stdout.take().unwrap();
        output.read_exact(&mut [0; 16]).unwrap();
        drop(output);
        let (code, _, err) = exit_and_output(&child.wait_with_output().unwrap());
        assert_eq!((code, err.as_str()), (0, ""), "{args:?}");
    }
}

#[test]
fn counts_of_all_logs_are_added_up() {
    let dir = tempfile::tempdir().unwrap();
    let line = |counts: &str| format!("{{\"fields\":{{\"message\":\"counts\",\"counts\":\"{counts}\"}}}}\n");
    std::fs::write(dir.path().join("n0.log"), line("requests=1") + &line("requests=30 served=20 dialled=9"))
        .unwrap();
    std::fs::write(dir.path().join("n1.log"), line("requests=10 served=10 ok=10 reused=10")).unwrap();
    std::fs::write(dir.path().join("n2.log"), "killed at its start\n").unwrap();
    let logs = dir.path().to_str().unwrap();
    let (code, out, _) = exit_and_output(&run(&["fleet", logs]));
    assert_eq!(code, 0);
    assert!(out.contains("2 nodes, 2 processes, 1 logs without counts"), "{out}");
    assert!(out.contains("busiest node 1.50 times the mean"), "{out}");
    assert!(out.contains("requests 40\n  served                  30   75.0%\n"), "{out}");
    assert!(out.contains("per request: 0.250 attempts, 0.225 new connections, 0.000 probes"), "{out}");
    let (_, out, _) = exit_and_output(&run(&["fleet", "--json", logs]));
    assert_eq!(serde_json::from_str::<Value>(&out).unwrap()["counts"]["dialled"], 9);
    let (code, _, err) = exit_and_output(&run(&["fleet", dir.path().join("n2.log").to_str().unwrap()]));
    assert!(code == 2 && err.contains("RUST_LOG=woodgap::counts=debug"), "{err}");
    let (code, _, err) = exit_and_output(&run(&["fleet", "no-such-folder"]));
    assert!(code == 1 && err.contains("no-such-folder"), "{err}");
}
