//! The node's log and counts.

use std::process::Command;

use serde_json::{json, Value};

use crate::harness::*;

#[test]
fn the_json_log_names_node_request_server_and_revision() {
    let env = [("BALANCER_LOG_FORMAT", "json"), ("RUST_LOG", "debug")];
    let harness = Harness::with_env(1, json!({"sockets": 256}), |_| {}, &env);
    assert_eq!(harness.send_request("look", "abc").status(), 200);
    let (_, mut watch) = harness.next_watch();
    write_chunk(
        &mut watch,
        &format!("{}\n", json!({"revision": 43, "complete": true, "members": harness.members})),
    );
    let wait_for_line = |message: &str| loop {
        let line =
            harness.log_lines.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no line '{message}'"));
        let line: Value = serde_json::from_str(&line).unwrap();
        if line["fields"]["message"] == message {
            return line;
        }
    };
    let attempt = wait_for_line("attempt ended");
    assert_eq!(attempt["span"]["node"], "n0");
    assert_eq!((&attempt["fields"]["request"], &attempt["fields"]["server"]), (&json!("abc"), &json!("s-0")));
    assert_eq!((&attempt["fields"]["attempt"], &attempt["fields"]["outcome"]), (&json!(0), &json!("Ok")));
    assert_eq!(wait_for_line("list")["fields"]["revision"], 43);
}

#[test]
fn an_unknown_log_format_is_reported_at_the_start() {
    let harness = Harness::new(1);
    let output = Command::new(env!("CARGO_BIN_EXE_woodgap"))
        .env_clear()
        .env("BALANCER_CONFIG", harness.config_file.path())
        .env("BALANCER_LOG_FORMAT", "xml")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("BALANCER_LOG_FORMAT 'xml': expected text or json"), "{stderr}");
}

#[test]
fn the_counts_include_requests_and_connections() {
    let env = [("BALANCER_LOG_FORMAT", "json"), ("RUST_LOG", "woodgap::counts=debug,info")];
    let harness = Harness::with_env(1, json!({"sockets": 256}), |_| {}, &env);
    assert_eq!(harness.send_request("look", "a").status(), 200);
    harness.set_behavior(Behavior::RespondEmpty("503 Service Unavailable\r\nX-Turned-Away: 1"));
    assert_eq!(harness.send_request("pay", "b").status(), 503);
    let expected = "requests=2 served=1 refused_tried=1 ok=1 full=1";
    loop {
        let line = harness
            .log_lines
            .recv_timeout(TEST_TIMEOUT)
            .unwrap_or_else(|_| panic!("no line with {expected}"));
        let line: Value = serde_json::from_str(&line).unwrap();
        if let Some(counts) = line["fields"]["counts"].as_str().filter(|counts| counts.starts_with(expected))
        {
            // The second attempt reuses the first one's connection or opens another, so only the name is
            // checked.
            assert!(counts.contains(" dialled="), "{counts}");
            return;
        }
    }
}
