//! Shutdown and start of the node's process.

use std::io::{BufReader, Write};

use serde_json::json;

use crate::harness::*;

#[test]
fn sigterm_lets_requests_finish_and_the_process_exit() {
    let mut harness = Harness::new(1);
    let mut idle = harness.connect();
    idle.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    harness.set_behavior(Behavior::Hold);
    let mut busy = harness.connect();
    busy.write_all(&request_bytes("pay", "9", 60_000)).unwrap();
    assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
    harness.send_signal("-TERM");
    // New connections are accepted until the process ends.
    wait_until("not ready", || {
        let response = harness.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        response.status() == 503 && response.header("connection") == "close"
    });
    // The idle connection is closed; the open request and new ones are still answered.
    assert!(Message::read(&mut idle).is_none());
    let mut new = harness.connect();
    new.write_all(&request_bytes("pay", "10", 60_000)).unwrap();
    assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
    assert!(harness.node.try_wait().unwrap().is_none());
    harness.set_behavior(Behavior::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let response = Message::read(&mut BufReader::new(stream)).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
        assert_eq!(response.body, id.as_bytes());
    }
    assert!(harness.node.wait().unwrap().success());
}

/// Opens a connection that is idle after one response.
fn open_idle_connection(harness: &Harness, id: &str) -> BufReader<std::net::TcpStream> {
    let mut stream = BufReader::new(harness.connect());
    stream.get_mut().write_all(&request_bytes("look", id, 60_000)).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    stream
}

// Clients send on any connection that is open, also while a draining node closes its idle connections. A
// connection on which a request has begun to arrive is not idle, but hyper counts it as idle until the head
// is complete, and would close it in the middle of the request.
#[test]
fn a_request_that_is_arriving_when_idle_connections_close_is_served() {
    let mut harness = Harness::new(1);
    let (mut idle, mut busy) = (open_idle_connection(&harness, "1"), open_idle_connection(&harness, "2"));
    let whole = request_bytes("pay", "3", 60_000);
    let (half, rest) = whole.split_at(40);
    harness.send_signal("-TERM");
    busy.get_mut().write_all(half).unwrap();
    assert!(Message::read(&mut idle).is_none(), "the idle connection is still open");
    busy.get_mut().write_all(rest).unwrap();
    let response = Message::read(&mut busy).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(harness.node.wait().unwrap().success());
}

// A request that has arrived must be answered, even if idle connections close at the same moment.
#[test]
fn requests_that_arrive_while_idle_connections_close_are_served() {
    let mut harness = Harness::new(1);
    let mut idle: Vec<_> = (0..8).map(|n| open_idle_connection(&harness, &format!("r{n}"))).collect();
    let mut unused: Vec<_> = (0..8).map(|_| BufReader::new(harness.connect())).collect();
    let wait_for_log =
        |text: &str| wait_until(text, || harness.log_lines.try_iter().any(|line| line.contains(text)));
    harness.send_signal("-TERM");
    wait_for_log("drains");
    let new: Vec<_> = harness.while_stopped(|| {
        let write = |(n, stream): (usize, &mut BufReader<std::net::TcpStream>)| {
            stream.get_mut().write_all(&request_bytes("pay", &format!("p{n}"), 60_000)).unwrap();
        };
        idle.iter_mut().chain(&mut unused).enumerate().for_each(write);
        let new = (0..8).map(|n| {
            let mut stream = harness.connect();
            stream.write_all(&request_bytes("pay", &format!("n{n}"), 60_000)).unwrap();
            BufReader::new(stream)
        });
        let new = new.collect();
        // Longer than a draining node waits before it closes idle connections.
        std::thread::sleep(std::time::Duration::from_millis(700));
        new
    });
    for mut stream in idle.into_iter().chain(unused).chain(new) {
        let response = Message::read(&mut stream).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
    }
    assert!(harness.node.wait().unwrap().success());
}

// Closing a socket with unread data sends a reset, which can discard a response that is still on its way.
#[test]
fn the_last_response_is_not_lost_to_bytes_behind_its_request() {
    use std::io::Read;
    let mut harness = Harness::new(1);
    let mut stream = open_idle_connection(&harness, "1").into_inner();
    harness.set_behavior(Behavior::Hold);
    stream.write_all(&request_bytes("pay", "2", 60_000)).unwrap();
    wait_until("the request is forwarded", || {
        harness.take_requests().iter().any(|(_, message)| message.header("x-txn") == "2")
    });
    harness.send_signal("-TERM");
    for n in 0..400 {
        stream.write_all(&request_bytes("pay", &format!("ahead{n}"), 60_000)).unwrap();
    }
    harness.set_behavior(Behavior::Serve);
    let mut received = String::new();
    stream.read_to_string(&mut received).expect("an orderly close");
    assert!(received.ends_with("\r\n\r\n2"), "{received}");
    assert!(stream.take_error().unwrap().is_none(), "the connection was reset");
    drop(stream);
    // The requests behind it are never forwarded.
    assert!(harness.take_requests().is_empty());
    assert!(harness.node.wait().unwrap().success());
}

// The platform kills a node at most 3.7 s after SIGTERM. A request that arrives after SIGTERM must be
// answered by then, even if its client would wait longer.
#[test]
fn requests_after_sigterm_are_answered_before_the_kill() {
    let mut harness = Harness::new(1);
    harness.set_behavior(Behavior::Hang);
    harness.send_signal("-TERM");
    wait_until("the node drains", || {
        harness.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    let response = harness.send_request("pay", "1");
    assert!(![200, 429, 503].contains(&response.status()), "{}", response.status());
    assert!(harness.node.wait().unwrap().success());
}

#[test]
fn repeated_and_simultaneous_signals_end_nothing_early() {
    let mut harness = Harness::new(1);
    harness.set_behavior(Behavior::Hold);
    let mut stream = BufReader::new(harness.connect());
    stream.get_mut().write_all(&request_bytes("pay", "1", 60_000)).unwrap();
    wait_until("the request is forwarded", || !harness.take_requests().is_empty());
    harness.while_stopped(|| ["-TERM", "-HUP", "-TERM"].map(|name| harness.send_signal(name)));
    wait_until("the node drains", || {
        harness.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503
    });
    harness.send_signal("-TERM");
    harness.send_signal("-HUP");
    harness.set_behavior(Behavior::Serve);
    assert_eq!(Message::read(&mut stream).expect("a response").status(), 200);
    assert!(harness.node.wait().unwrap().success());
}

// A new process serves with the list from its configuration, whether discovery sends no list, refuses
// connections or never accepts them.
#[test]
fn a_new_process_serves_while_discovery_is_unavailable() {
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let (unreachable, _held) = unresponsive_address();
    let unreachable = unreachable.to_string();
    for mode in ["push", "ask"] {
        for discovery in [None, Some(&closed_port), Some(&unreachable)] {
            let env: Vec<_> = discovery.iter().map(|addr| ("BALANCER_DISCOVERY", addr.as_str())).collect();
            let harness =
                Harness::with_env(1, json!({"sockets": 256}), |s| s["registry-mode"] = json!(mode), &env);
            assert_eq!(harness.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
            assert_eq!(harness.send_request("pay", "1").status(), 200, "{mode} {discovery:?}");
        }
    }
}
