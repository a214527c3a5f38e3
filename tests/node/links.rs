//! Connections to clients and servers: reuse, limits, failures and slow peers.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::*;

#[test]
fn connections_are_reused_on_both_sides() {
    let harness = Harness::new(1);
    let mut stream = harness.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["1", "2", "3"] {
        stream.write_all(&request_bytes("pay", id, 60_000)).unwrap();
        assert_eq!(Message::read(&mut input).unwrap().body, id.as_bytes());
    }
    assert!(
        harness.server_events.try_iter().all(|event| matches!(event, ServerEvent::Request(..))),
        "a server connection was closed"
    );
}

#[test]
fn refused_connection_proves_that_the_request_did_not_run() {
    let mut harness = Harness::new(2);
    // The socket is bound, so that no other test gets its port, but does not listen.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refusing_addr = socket.local_addr().unwrap();
    let (_, mut stream) = harness.next_watch();
    harness.members[0]["host_port"] = json!(refusing_addr.to_string());
    let list = json!({"revision": 42, "complete": true, "members": harness.members});
    write_chunk(&mut stream, &format!("{list}\n"));
    wait_until("the new address is known", || {
        harness.send_request("look", "0");
        !harness.take_requests().iter().any(|(server, _)| *server == 0)
    });
    for n in 0..8 {
        assert_eq!(harness.send_request("pay", &n.to_string()).status(), 200);
    }
    assert!(harness.take_requests().iter().all(|(server, _)| *server == 1));
}

#[test]
fn idle_connection_that_its_server_closed_is_not_used() {
    let harness = Harness::new(1);
    harness.set_behavior(Behavior::ServeAndClose);
    for n in 0..10 {
        assert_eq!(harness.send_request("pay", &n.to_string()).status(), 200);
        wait_until("the server closed", || {
            harness.server_events.try_iter().any(|event| matches!(event, ServerEvent::ConnectionClosed))
        });
    }
}

#[test]
fn node_without_free_sockets_refuses_requests_and_recovers() {
    // Of 60 sockets 40 are reserved. The other 20 are enough for ten requests with one attempt each.
    let harness = Harness::with_limits(1, json!({"sockets": 60}));
    harness.set_behavior(Behavior::Hang);
    let held: Vec<TcpStream> = (0..10)
        .map(|n| {
            let mut stream = harness.connect();
            stream.write_all(&request_bytes("pay", &format!("held{n}"), 60_000)).unwrap();
            assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
            stream
        })
        .collect();
    let response = harness.send_request("pay", "1");
    assert_eq!((response.status(), response.header("connection")), (503, "close"));
    harness.set_behavior(Behavior::Serve);
    drop(held);
    wait_until("served again", || harness.send_request("pay", &fresh_id()).status() == 200);
}

// A server that rejects requests while its cores are idle, because of a rate limit or by chance, is not overloaded:
// if it lost its slots, the other servers would be. A server that reports busy cores does lose slots.
#[test]
fn server_that_rejects_requests_while_idle_keeps_its_keys() {
    for (util, is_kept) in [("0.1", true), ("0.99", false)] {
        let harness = Harness::new(4);
        let (owner, keys) = harness.keys_of_one_server();
        let report = format!(r#"X-Pressure: {{"queue":0,"util":{util}}}"#);
        let head: &'static str = format!("503 Busy\r\nX-Turned-Away: 1\r\n{report}").leak();
        *harness.behaviors[owner].lock().unwrap() = Behavior::RespondEmpty(head);
        for key in &keys[..5] {
            // Another server serves the request.
            assert_eq!(
                harness.send_raw(&request_bytes_with_key(key, "pay", &fresh_id(), 60_000)).status(),
                200
            );
        }
        *harness.behaviors[owner].lock().unwrap() = Behavior::Serve;
        harness.take_requests();
        for key in &keys {
            assert_eq!(
                harness.send_raw(&request_bytes_with_key(key, "pay", &fresh_id(), 60_000)).status(),
                200
            );
        }
        let kept = harness.take_requests().iter().filter(|(server, _)| *server == owner).count();
        assert_eq!(kept == keys.len(), is_kept, "util {util}: {kept} of {}", keys.len());
    }
}

// A server that never answers one class must lose the requests of that class only. If the node waited for time-outs,
// all requests of the class sent meanwhile would be lost; if it ejected the server, the other classes would be too.
#[test]
fn class_that_a_server_never_answers_goes_to_other_servers() {
    let harness = Harness::with_settings(4, json!({"sockets": 256}), |settings| {
        // A server counts as silent after 4 times its mean response time, which starts at a quarter of the aim.
        (0..3).for_each(|class| settings["classes"][class]["aim"] = json!(400_000));
    });
    let (owner, keys) = harness.keys_of_one_server();
    *harness.behaviors[owner].lock().unwrap() = Behavior::IgnoreClass("pay");
    let _unanswered: Vec<TcpStream> = keys[..2]
        .iter()
        .map(|key| {
            let mut stream = harness.connect();
            stream.write_all(&request_bytes_with_key(key, "pay", &format!("lost-{key}"), 60_000)).unwrap();
            let event = harness.server_events.recv_timeout(TEST_TIMEOUT);
            assert!(matches!(event, Ok(ServerEvent::Request(server, _)) if server == owner));
            stream
        })
        .collect();
    let send = |class, n: usize, left_ms| {
        let key = &keys[n % keys.len()];
        harness.send_raw(&request_bytes_with_key(key, class, &format!("{class}{n}"), left_ms)).status()
    };
    let mut requests = 0;
    wait_until("served elsewhere", || {
        // Responses to the other class keep the server from being ejected as a whole.
        for _ in 0..3 {
            requests += 1;
            assert_eq!(send("look", requests, 60_000), 200);
        }
        send("pay", requests, 300) == 200
    });
    harness.take_requests();
    assert_eq!(send("look", requests, 60_000), 200);
    assert_eq!(harness.take_requests()[0].0, owner);
}

// Clients that send one request and keep their connection open must not shut other clients out. Sixty sockets leave
// twelve for clients.
#[test]
fn clients_that_keep_connections_open_leave_room_for_others() {
    let harness = Harness::with_limits(1, json!({"sockets": 60}));
    let mut kept = Vec::new();
    for n in 0..30 {
        let mut stream = BufReader::new(harness.connect());
        stream.get_mut().write_all(&request_bytes("pay", &format!("once{n}"), 60_000)).unwrap();
        let response = Message::read(&mut stream).unwrap();
        assert_eq!(response.status(), 200);
        if response.header("connection") == "close" {
            assert_eq!(stream.read(&mut [0]).unwrap(), 0);
        } else {
            kept.push(stream);
        }
    }
    // Connections that were kept open are still served.
    assert!(kept.len() >= 5, "{}", kept.len());
    for (n, stream) in kept.iter_mut().enumerate() {
        stream.get_mut().write_all(&request_bytes("pay", &format!("again{n}"), 60_000)).unwrap();
        assert_eq!(Message::read(stream).unwrap().body, format!("again{n}").into_bytes());
    }
}

// Clients that send nothing, or a request byte by byte, hold connections that other clients need.
#[test]
fn connections_of_slow_clients_are_closed() {
    let harness = Harness::new(1);
    let mut silent = harness.connect();
    let mut half_head = harness.connect();
    half_head.write_all(b"POST /api HTTP/1.1\r\nHost: x\r\n").unwrap();
    let mut half_second_head = BufReader::new(harness.connect());
    half_second_head.get_mut().write_all(&request_bytes("pay", "1", 60_000)).unwrap();
    assert_eq!(Message::read(&mut half_second_head).unwrap().status(), 200);
    half_second_head.get_mut().write_all(b"POST /api").unwrap();
    let whole = request_bytes("pay", "2", 60_000);
    let mut half_body = harness.connect();
    half_body.write_all(&whole[..whole.len() - 1]).unwrap();
    let start = Instant::now();
    assert_eq!(Message::read(&mut BufReader::new(half_body)).unwrap().status(), 408);
    assert!(start.elapsed() < Duration::from_secs(9));
    assert_eq!(silent.read(&mut [0]).unwrap(), 0);
    assert_eq!(half_head.read(&mut [0]).unwrap(), 0);
    assert_eq!(half_second_head.read(&mut [0]).unwrap(), 0);
    assert_eq!(harness.take_requests().len(), 1);
}
