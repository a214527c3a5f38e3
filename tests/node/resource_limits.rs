//! Limits on sockets and memory while many clients connect.

use std::io::{BufReader, Write};

use serde_json::json;

use crate::harness::*;

// Idle clients take all sockets for clients while discovery is down. The file descriptors for discovery and
// for servers must stay free.
#[test]
fn idle_clients_leave_sockets_for_discovery_and_servers() {
    let harness = Harness::with_limits(2, json!({"sockets": 80}));
    harness.limit_descriptors("80");
    let mut watch = harness.next_watch_from(41);
    write_chunk(&mut watch, "\n");
    drop(watch);
    let idle_clients: Vec<_> = (0..100).map(|_| harness.connect()).collect();
    wait_until("served", || harness.send_request("pay", &fresh_id()).status() == 200);
    // Discovery is back and lists one server less.
    let list = json!({"revision": 50, "complete": true, "members": harness.members[1..]});
    write_chunk(&mut harness.next_watch().1, &format!("{list}\n"));
    wait_until("the node uses the new list", || {
        harness.take_requests();
        let served = (0..6).filter(|_| harness.send_request("pay", &fresh_id()).status() == 200).count();
        served > 0 && harness.take_requests().iter().all(|(server, _)| *server == 1)
    });
    drop(idle_clients);
}

// The kernel's limit on file descriptors is lower than the configured one: accepting and dialling fail until
// clients disconnect.
#[test]
fn a_node_without_descriptors_recovers() {
    let harness = Harness::with_limits(1, json!({"sockets": 4_000}));
    harness.limit_descriptors("24");
    let clients: Vec<_> = (0..60)
        .map(|n| {
            let mut stream = harness.connect();
            let _ = stream.write_all(&request_bytes("look", &format!("c{n}"), 60_000));
            stream
        })
        .collect();
    wait_until("the failure is logged", || {
        harness.log_lines.try_iter().any(|line| line.contains("accept failed"))
    });
    drop(clients);
    wait_until("served again", || harness.send_request("look", "after").status() == 200);
}

// A call that fails on the node's own machine says nothing about the server: the request is served once there is a
// descriptor, and no server is taken for broken.
#[test]
fn a_request_survives_a_moment_without_descriptors() {
    let harness = Harness::with_limits(2, json!({"sockets": 256}));
    // Each request needs a connection of its own.
    harness.set_behavior(Behavior::ServeAndClose);
    for round in 0..5 {
        let mut client = harness.connect();
        client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let mut client = BufReader::new(client);
        assert_eq!(Message::read(&mut client).unwrap().status(), 200);
        harness.limit_descriptors("4");
        client.get_mut().write_all(&request_bytes("pay", &format!("{round}"), 60_000)).unwrap();
        std::thread::sleep(std::time::Duration::from_millis(100));
        assert!(harness.take_requests().is_empty());
        harness.limit_descriptors("256");
        assert_eq!(Message::read(&mut client).expect("a response").status(), 200, "round {round}");
        assert_eq!(harness.take_requests().len(), 1);
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

// For new connections the node evicts silent ones, but never a connection whose request has arrived and is
// still unread.
#[test]
fn a_connection_with_an_unread_request_is_not_evicted() {
    // 60 sockets leave twelve for clients.
    let harness = Harness::with_limits(1, json!({"sockets": 60}));
    for round in 0..4 {
        let mut silent: Vec<_> = (0..12).map(|_| BufReader::new(harness.connect())).collect();
        // Connections without a request may be evicted after 500 ms.
        std::thread::sleep(std::time::Duration::from_millis(700));
        let new_connections: Vec<_> = harness.while_stopped(|| {
            let new_connections = (0..6).map(|_| harness.connect()).collect();
            for (n, stream) in silent.iter_mut().enumerate() {
                stream.get_mut().write_all(&request_bytes("pay", &format!("{round}-{n}"), 60_000)).unwrap();
            }
            new_connections
        });
        // Not every request gets a socket to a server, but no connection is closed without a response.
        for stream in &mut silent {
            assert!([200, 503].contains(&Message::read(stream).expect("a response").status()));
        }
        drop((silent, new_connections));
        wait_until("all sockets are free", || {
            harness.send_request("pay", &format!("free{round}")).status() == 200
        });
    }
}

// Three floods must leave the node's memory under half of its limit: clients that send and disconnect,
// clients that keep sending behind a request, and responses that never end.
#[test]
fn memory_stays_under_half_of_its_limit_in_floods() {
    let limit_mb = 48;
    let harness = Harness::with_limits(1, json!({"sockets": 512, "memory_mb": limit_mb}));
    assert_eq!(harness.send_request("look", "0").status(), 200);
    let flood = vec![b'x'; 1 << 20];
    let body = format!("Content-Length: 65536\r\n\r\n{}", "b".repeat(65_536));
    let largest_request = String::from_utf8(request_bytes("pay", "ID", 2_000))
        .unwrap()
        .replace("Content-Length: 5\r\n\r\nhello", &body);
    for round in 0..6 {
        // Either no response, or one without a length that never ends.
        let server_faults = [
            Behavior::Hang,
            Behavior::RespondRaw("HTTP/1.1 200 OK\r\n\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 50_000),
        ];
        harness.set_behavior(server_faults[round % 2]);
        let held: Vec<_> = (0..120)
            .map(|n| {
                let mut stream = harness.connect();
                stream.set_write_timeout(Some(std::time::Duration::from_millis(50))).unwrap();
                let _ = stream.write_all(
                    largest_request.replace("X-Txn: ID", &format!("X-Txn: {round}-{n}")).as_bytes(),
                );
                if n % 10 == 0 {
                    let _ = stream.write_all(&flood);
                }
                stream
            })
            .collect();
        drop(held);
    }
    harness.set_behavior(Behavior::Serve);
    wait_until("served again", || harness.send_request("look", "after").status() == 200);
    let peak = read_peak_memory_kb(&harness);
    assert!(peak < limit_mb * 1024 / 2, "{peak} kB of {limit_mb} MB");
}

// The node's counts include the connections that it closes without a response, so that operators see them.
#[test]
fn connections_closed_without_a_response_are_counted() {
    let env = [("RUST_LOG", "woodgap::counts=debug,info"), ("BALANCER_LOG_FORMAT", "json")];
    let harness = Harness::with_env(1, json!({"sockets": 256}), |_| {}, &env);
    let mut silent: Vec<_> = (0..3).map(|_| harness.connect()).collect();
    let mut answered = BufReader::new(harness.connect());
    answered.get_mut().write_all(&request_bytes("pay", "1", 60_000)).unwrap();
    assert_eq!(Message::read(&mut answered).unwrap().status(), 200);
    for stream in &mut silent {
        assert_eq!(std::io::Read::read(stream, &mut [0]).unwrap(), 0);
    }
    wait_until("counted", || {
        let counted = |line: String| line.contains("closed_unanswered=3") && line.contains("too_slow=3");
        harness.log_lines.try_iter().any(counted)
    });
}
