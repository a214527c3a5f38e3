//! The program as a user meets it: what it prints, and its exit codes.

use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fircroft"));
    let own = std::env::vars().filter(|(name, _)| name.starts_with("FIRCROFT_") || name == "RUST_LOG");
    own.for_each(|(name, _)| {
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

/// The command's exit code with what it printed.
fn ended(output: &Output) -> (i32, String, String) {
    (output.status.code().expect("ends by itself"), text(&output.stdout), text(&output.stderr))
}

fn file(name: &str, content: &str) -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(name);
    std::fs::write(&path, content).unwrap();
    (dir, path)
}

#[test]
fn a_good_configuration_is_said_to_be_good() {
    let (code, out, err) = ended(&run(&["check", "config", &example("config.json")]));
    assert_eq!((code, err.as_str()), (0, ""), "{out}");
    assert!(out.contains("good, 2 classes, 1 known servers"), "{out}");
    // What the file does not tell is named, and is nothing wrong.
    assert!(out.contains("note: settings.rules."), "{out}");
}

#[test]
fn all_that_is_wrong_with_a_configuration_is_said_at_once() {
    let (_dir, path) = file(
        "config.json",
        r#"{"listen": "127.0.0.1:1", "discovery": 9, "seed": "1", "settings": {"classes": [
            {"name": "a", "aim": -3, "semantics": "twice"}]}}"#,
    );
    let (code, out, _) = ended(&run(&["check", "config", path.to_str().unwrap()]));
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
fn a_configuration_that_is_not_there_or_no_json_is_told_apart() {
    let (code, _, err) = ended(&run(&["check", "config", "no-such-file.json"]));
    assert_eq!(code, 1);
    assert!(err.contains("no-such-file.json: No such file"), "{err}");
    let (_dir, path) = file("config.json", "{\"listen\": ");
    let (code, out, _) = ended(&run(&["check", "config", path.to_str().unwrap()]));
    assert_eq!(code, 2);
    assert!(out.contains("the file: expected a JSON object, found EOF") && out.contains("line 1"), "{out}");
}

#[test]
fn the_table_shows_each_servers_slots() {
    let (code, out, _) = ended(&run(&["table", &example("targets.json"), "--json"]));
    assert_eq!(code, 0);
    let report: Value = serde_json::from_str(&out).unwrap();
    let servers = report["servers"].as_array().unwrap();
    let slots: u64 = servers.iter().map(|row| row["slots"].as_u64().unwrap()).sum();
    // The one that is terminating has none.
    assert_eq!((servers.len(), slots, report["table_slots"].as_u64()), (3, 16_381, Some(16_381)));
    for row in servers {
        let (slots, due) = (row["slots"].as_f64().unwrap(), row["due"].as_f64().unwrap());
        assert!((slots / due - 1.0).abs() < 0.01, "{row}");
    }
    let (_, out, _) = ended(&run(&["table", &example("targets.json")]));
    assert!(out.contains("3 servers share 16381 slots; each has "), "{out}");
    let (_, out, _) = ended(&run(&["table", &example("config.json")]));
    assert!(out.contains("1 servers share 16381 slots; each has 1.000 to 1.000"), "{out}");
}

#[test]
fn a_change_moves_little_more_than_it_must() {
    let (code, out, _) = ended(&run(&["table", "--servers", "200", "--change", "-s-7,+s-new", "--json"]));
    assert_eq!(code, 0);
    let report: Value = serde_json::from_str(&out).unwrap();
    let (slots, least) =
        (report["moved"]["slots"].as_u64().unwrap(), report["moved"]["least"].as_u64().unwrap());
    // One server's slots at the least; an even table over 200 gives each about 82.
    assert!((75..=90).contains(&least) && (least..16_381 / 10).contains(&slots), "{slots} of {least}");
    let (_, again, _) =
        ended(&run(&["table", "--servers", "200", "--change=-s-7", "--change=+s-new", "--json"]));
    assert_eq!(out, again);
    let (_, none, _) = ended(&run(&["table", "--servers", "9", "--change", "-s-7,+s-7"]));
    assert!(none.contains("the change moves 0 slots (0.00%), none the least possible, 0"), "{none}");
}

#[test]
fn a_list_comes_by_standard_input_too() {
    let mut child = command(&["table", "-", "--even"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let list = std::fs::read(example("targets.json")).unwrap();
    child.stdin.take().unwrap().write_all(&list).unwrap();
    let (code, out, _) = ended(&child.wait_with_output().unwrap());
    assert_eq!(code, 0);
    assert!(out.lines().nth(1).unwrap().split_whitespace().any(|word| word == "5460.3"), "{out}");
}

#[test]
fn wrong_use_gets_2_and_says_what_to_do() {
    let targets = example("targets.json");
    let (_dir, no_list) = file("list.json", "[1, 2]");
    for (args, said) in [
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
        let (code, out, err) = ended(&run(&args));
        assert_eq!(code, 2, "{args:?}: {out}{err}");
        assert!(err.contains(said), "{args:?}: {err}");
    }
    let (code, _, err) = ended(&run(&["table", "--servers", "1", "--change", "-s-0"]));
    assert_eq!((code, err.as_str()), (1, "fircroft: no server is in service\n"));
}

#[test]
fn flags_come_before_variables_and_these_before_the_file() {
    let (_dir, path) = file("fircroft.toml", "log_format = \"json\"\nlog_filter = \"debug\"\n");
    let check = ["--config", path.to_str().unwrap(), "check", "config", &example("config.json")];
    let logged = |output: Output| text(&output.stderr);
    let from_file = logged(command(&check).output().unwrap());
    let lines: Vec<Value> = from_file.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert!(lines.iter().any(|line| line["fields"]["findings"] == 0), "{from_file}");
    assert_eq!(logged(command(&check).env("FIRCROFT_LOG_FILTER", "warn").output().unwrap()), "");
    assert_eq!(
        logged(command(&check).env("RUST_LOG", "trace").output().unwrap()).lines().count(),
        lines.len()
    );
    let flag = [&["--log-filter", "debug", "--log-format", "text"], &check[..]].concat();
    let as_text = logged(command(&flag).env("FIRCROFT_LOG_FILTER", "warn").output().unwrap());
    assert!(as_text.contains("DEBUG") && !as_text.starts_with('{'), "{as_text}");
}

#[test]
fn a_wrong_configuration_of_the_program_names_its_place() {
    let (_dir, path) = file("fircroft.toml", "log_form = \"json\"\n");
    let path = path.to_str().unwrap();
    let (code, _, err) = ended(&run(&["--config", path, "table", "--servers", "2"]));
    assert_eq!(code, 2);
    assert!(err.contains("unknown field: found `log_form`") && err.contains("fircroft.toml"), "{err}");
    let output = command(&["table", "--servers", "2"]).env("FIRCROFT_LOG_FORMAT", "xml").output().unwrap();
    let (code, _, err) = ended(&output);
    assert_eq!(code, 2);
    assert!(err.contains("xml") && err.contains("\"LOG_FORMAT\" in `FIRCROFT_` environment"), "{err}");
    let (code, _, err) = ended(&run(&["--config", "no-such.toml", "table", "--servers", "2"]));
    assert_eq!(code, 1);
    assert!(err.contains("no-such.toml"), "{err}");
}

#[test]
fn it_says_its_version_and_completes() {
    let (code, out, _) = ended(&run(&["--version"]));
    assert!(code == 0 && out.starts_with("fircroft 0.1.0 (commit "), "{out}");
    for shell in ["bash", "zsh", "fish"] {
        let (code, out, _) = ended(&run(&["completions", shell]));
        assert!(code == 0 && out.contains("fircroft") && out.contains("servers"), "{shell}");
    }
    let (_, out, _) = ended(&run(&["table", "--help"]));
    assert!(out.contains("Examples:"), "{out}");
}

#[test]
fn a_reader_that_goes_away_is_no_failure() {
    for args in [&["table", "--servers", "16381"][..], &["table", "--servers", "16381", "--json"]] {
        let mut child = command(args).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let mut output = child.stdout.take().unwrap();
        output.read_exact(&mut [0; 16]).unwrap();
        drop(output);
        let (code, _, err) = ended(&child.wait_with_output().unwrap());
        assert_eq!((code, err.as_str()), (0, ""), "{args:?}");
    }
}

#[test]
fn the_counts_of_a_fleet_are_added_up() {
    let dir = tempfile::tempdir().unwrap();
    let line = |counts: &str| format!("{{\"fields\":{{\"message\":\"counts\",\"counts\":\"{counts}\"}}}}\n");
    std::fs::write(dir.path().join("n0.log"), line("requests=1") + &line("requests=30 served=20 dialled=9"))
        .unwrap();
    std::fs::write(dir.path().join("n1.log"), line("requests=10 served=10 ok=10 reused=10")).unwrap();
    std::fs::write(dir.path().join("n2.log"), "killed at its start\n").unwrap();
    let logs = dir.path().to_str().unwrap();
    let (code, out, _) = ended(&run(&["fleet", logs]));
    assert_eq!(code, 0);
    assert!(out.contains("2 nodes, 2 processes, 1 logs without counts"), "{out}");
    assert!(out.contains("busiest node 1.50 times the mean"), "{out}");
    assert!(out.contains("requests 40\n  served                  30   75.0%\n"), "{out}");
    assert!(out.contains("a request: 0.250 attempts, 0.225 new connections, 0.000 probes"), "{out}");
    let (_, out, _) = ended(&run(&["fleet", "--json", logs]));
    assert_eq!(serde_json::from_str::<Value>(&out).unwrap()["counts"]["dialled"], 9);
    let (code, _, err) = ended(&run(&["fleet", dir.path().join("n2.log").to_str().unwrap()]));
    assert!(code == 2 && err.contains("RUST_LOG=woodgap::counts=debug"), "{err}");
    let (code, _, err) = ended(&run(&["fleet", "no-such-folder"]));
    assert!(code == 1 && err.contains("no-such-folder"), "{err}");
}
