//! Watches on the list of servers: how lists arrive and when the node acts on them.

use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::Duration;

use serde_json::{json, Value};

use crate::harness::*;

/// Waits until requests reach only these servers.
fn wait_until_only_used(harness: &Harness, servers: &[usize]) {
    wait_until("only the listed servers are used", || {
        harness.take_requests();
        (0..8).for_each(|_| assert_eq!(harness.send_request("pay", &fresh_id()).status(), 200));
        harness.take_requests().iter().all(|(server, _)| servers.contains(server))
    });
}

/// The line with which discovery tells that the first server drains.
fn drain_of_first_server(harness: &Harness, revision: u64) -> String {
    let mut draining = harness.members[0].clone();
    draining["phase"] = json!("terminating");
    format!("{}\n", json!({"revision": revision, "complete": false, "members": [draining]}))
}

/// A complete list without the first server.
fn list_without_first_server(harness: &Harness, revision: u64) -> Value {
    json!({"revision": revision, "complete": true, "members": harness.members[1..]})
}

#[test]
fn changes_may_be_split_into_chunks_or_indented() {
    let mut harness = Harness::new(3);
    let mut stream = harness.next_watch_from(41);
    harness.members[0]["phase"] = json!("terminating");
    let list = json!({"revision": 43, "complete": false, "members": [harness.members[0]]}).to_string() + "\n";
    for part in list.as_bytes().chunks(7) {
        write_chunk(&mut stream, std::str::from_utf8(part).unwrap());
    }
    wait_until_only_used(&harness, &[1, 2]);
    harness.members[1]["phase"] = json!("terminating");
    let list = json!({"revision": 44, "complete": false, "members": [harness.members[1]]});
    write_chunk(&mut stream, "\n");
    for line in serde_json::to_string_pretty(&list).unwrap().split_inclusive('\n') {
        write_chunk(&mut stream, line);
    }
    wait_until_only_used(&harness, &[2]);
    // After the end of a watch the node opens a new one from the last revision.
    drop(stream);
    harness.next_watch_from(44);
}

// A silent watch may have lost changes. The new one has to ask for the complete list, even if the first tries to open
// it get no answer.
#[test]
fn silent_watch_is_reopened_for_the_complete_list() {
    for mode in ["ask", "push"] {
        let harness =
            Harness::with_settings(2, json!({"sockets": 256}), |s| s["registry-mode"] = json!(mode));
        let mut silent = harness.next_watch_from(41);
        write_chunk(&mut silent, "\n");
        let _unanswered = [harness.next_watch_from(0), harness.next_watch_from(0)];
        let mut stream = harness.next_watch_from(0);
        write_chunk(&mut stream, &format!("{}\n", list_without_first_server(&harness, 50)));
        wait_until_only_used(&harness, &[1]);
    }
}

// A watch that sends a list without end brings no list and no empty line: the node has to give it up like a silent one.
#[test]
fn watch_with_an_endless_list_is_given_up() {
    let harness = Harness::new(2);
    let mut endless = harness.next_watch_from(41);
    write_chunk(&mut endless, "\n{\"revision\": 42, ");
    let writer = std::thread::spawn(move || {
        use std::io::Write;
        while endless.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let mut stream = harness.next_watch_from(0);
    write_chunk(&mut stream, &format!("{}\n", list_without_first_server(&harness, 50)));
    wait_until_only_used(&harness, &[1]);
    // The node closed the endless watch.
    writer.join().unwrap();
}

// The agent's list counts as known to a new process from its start. The older list of the configuration is only for
// the time until the agent answers.
#[test]
fn new_process_opens_a_watch_at_once() {
    let harness = Harness::with_settings(2, json!({"sockets": 256}), |settings| {
        settings["registry-mode"] = json!("push")
    });
    let mut stream = harness.next_watch_from(41);
    write_chunk(&mut stream, &format!("{}\n", list_without_first_server(&harness, 90)));
    wait_until_only_used(&harness, &[1]);
}

// A process that ended on SIGHUP would lose its requests. A node that stayed with the old discovery, or asked the new
// one only for changes, would not know the servers.
#[test]
fn sighup_moves_the_watch_to_the_configured_discovery() {
    let mut harness = Harness::new(2);
    let (_, _old) = harness.next_watch();
    harness.reload_config("{\"discovery\": ");
    for server in 0..2 {
        let (tx, watches) = channel();
        // The first new address refuses connections.
        let refusing_addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        harness.config["discovery"] = json!(refusing_addr.to_string());
        harness.reload_config(&harness.config.to_string());
        harness.config["discovery"] = json!(spawn_discovery(tx).to_string());
        harness.reload_config(&harness.config.to_string());
        let (request, mut stream) = watches.recv_timeout(TEST_TIMEOUT).expect("a watch at the new address");
        assert!(request.start_line.contains("index=0 "), "{}", request.start_line);
        // The old list stays in use until the new one arrives.
        assert_eq!(harness.send_request("pay", &fresh_id()).status(), 200);
        let list = json!({"revision": 7, "complete": true, "members": [harness.members[server]]});
        write_chunk(&mut stream, &format!("{list}\n"));
        wait_until_only_used(&harness, &[server]);
    }
    harness.send_signal("-TERM");
    harness.send_signal("-HUP");
    assert!(harness.node.wait().unwrap().success());
}

// A process that was held up finds a silent watch and the list that ended the silence at the same moment. The list counts as
// told, and while discovery is down no new watch would tell it again.
#[test]
fn a_list_that_arrived_during_a_hold_up_is_not_dropped_with_its_watch() {
    let harness = Harness::with_settings(2, json!({"sockets": 256}), |settings| {
        settings["registry-mode"] = json!("push")
    });
    let mut stream = harness.next_watch_from(41);
    write_chunk(&mut stream, "\n");
    wait_until("the watch is open", || harness.send_request("pay", &fresh_id()).status() == 200);
    harness.while_stopped(|| {
        // Longer than a watch may be silent.
        std::thread::sleep(Duration::from_millis(2_700));
        write_chunk(&mut stream, &format!("{}\n", list_without_first_server(&harness, 90)));
    });
    wait_until_only_used(&harness, &[1]);
}

// A change that discovery has written whole counts as told. It must not wait for the end of the line behind it: on a watch that
// then falls silent the end never comes.
#[test]
fn a_whole_change_does_not_wait_for_the_end_of_the_next_one() {
    for mode in ["ask", "push"] {
        let harness =
            Harness::with_settings(3, json!({"sockets": 256}), |s| s["registry-mode"] = json!(mode));
        let mut stream = harness.next_watch_from(41);
        write_chunk(&mut stream, "\n");
        let next = drain_of_first_server(&harness, 43);
        write_chunk(&mut stream, &(drain_of_first_server(&harness, 42) + &next[..next.len() / 2]));
        wait_until_only_used(&harness, &[1, 2]);
        // It is acted on at once, not when the watch counts as silent.
        assert!(harness.watches.try_iter().next().is_none(), "{mode}: the watch was given up");
    }
}

// A discovery that takes long for each call is late, not gone: its answer must count, whatever was called meanwhile.
#[test]
fn a_slow_discovery_is_heard() {
    for (mode, delay) in [("ask", 4), ("push", 5)] {
        let harness =
            Harness::with_settings(2, json!({"sockets": 256}), |s| s["registry-mode"] = json!(mode));
        let mut slow = harness.next_watch_from(41);
        std::thread::sleep(Duration::from_secs(delay));
        write_chunk(&mut slow, &format!("{}\n", list_without_first_server(&harness, 50)));
        wait_until_only_used(&harness, &[1]);
    }
}
