//! Clients that disconnect: none of their requests is sent to a server afterwards, whatever they sent before
//! the close.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

use crate::harness::*;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    /// The client shuts down its sending side and could still read.
    HalfClose,
}

/// Disconnects; a half-closed socket is returned so that it stays open.
fn disconnect(stream: TcpStream, how: Disconnect) -> Option<TcpStream> {
    match how {
        Disconnect::Close => drop(stream),
        Disconnect::Reset => {
            reset_on_close(&stream);
            drop(stream);
        }
        Disconnect::HalfClose => {
            stream.shutdown(Shutdown::Write).unwrap();
            return Some(stream);
        }
    }
    None
}

/// Waits until this many server connections have closed; returns the ids of the requests that arrived
/// meanwhile.
fn wait_until_closed(harness: &Harness, connections: usize) -> Vec<String> {
    let (mut closed, mut requests) = (0, Vec::new());
    let start = Instant::now();
    while closed < connections {
        assert!(start.elapsed() < TEST_TIMEOUT, "{closed} of {connections} attempts ended");
        match harness.server_events.recv_timeout(TEST_TIMEOUT) {
            Ok(ServerEvent::ConnectionClosed) => closed += 1,
            Ok(ServerEvent::Request(_, message)) => requests.push(message.header("x-txn").to_owned()),
            Err(error) => panic!("{closed} of {connections} attempts ended: {error}"),
        }
    }
    requests
}

// hyper checks for a close only while its own buffer is empty. With a byte of a further request in the buffer, a
// node that relied on hyper would keep the open request of a disconnected client and retry it until its deadline.
#[test]
fn a_close_behind_further_requests_is_noticed() {
    for how in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
        for ahead in [0, 1, 300] {
            let harness = Harness::new(1);
            harness.set_behavior(Behavior::Hang);
            let mut stream = harness.connect();
            stream.write_all(&request_bytes("look", "first", 60_000)).unwrap();
            assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
            for n in 0..ahead {
                stream.write_all(&request_bytes("look", &format!("ahead{n}"), 60_000)).unwrap();
            }
            let _half_closed = disconnect(stream, how);
            assert_eq!(wait_until_closed(&harness, 1), [""; 0], "{how:?} behind {ahead}");
        }
    }
}

// A client that sends more behind an open request than the node reads ahead gets the complete response, and
// then the connection is closed.
#[test]
fn a_client_that_floods_behind_a_request_gets_its_response_and_no_more() {
    use std::io::Read;
    let harness = Harness::new(1);
    harness.set_behavior(Behavior::Hold);
    let mut stream = harness.connect();
    stream.write_all(&request_bytes("look", "first", 60_000)).unwrap();
    assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
    (0..3_000).for_each(|n| stream.write_all(&request_bytes("look", &format!("ahead{n}"), 60_000)).unwrap());
    harness.set_behavior(Behavior::Serve);
    let mut received = String::new();
    stream.read_to_string(&mut received).expect("an orderly close");
    assert!(received.starts_with("HTTP/1.1 200 OK\r\n") && received.ends_with("\r\n\r\nfirst"), "{received}");
    assert!(received.to_lowercase().contains("connection: close"), "{received}");
    assert!(harness.take_requests().is_empty());
}

// Each disconnect must end its attempt, also when 200 clients disconnect at the same time.
#[test]
fn attempts_of_many_clients_that_disconnect_at_once_end() {
    let harness = Harness::with_limits(1, serde_json::json!({"sockets": 900}));
    harness.set_behavior(Behavior::Hang);
    let clients: Vec<TcpStream> = (0..200)
        .map(|n| {
            let mut stream = harness.connect();
            stream.write_all(&request_bytes("look", &format!("{n}"), 60_000)).unwrap();
            assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
            stream
        })
        .collect();
    drop(clients);
    assert!(wait_until_closed(&harness, 200).is_empty());
}

// A request whose client has disconnected before the node reads the request reaches no server.
#[test]
fn an_unread_request_of_a_disconnected_client_is_not_sent() {
    let harness = Harness::new(2);
    for how in [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose] {
        for round in 0..4 {
            // Open idle connections to the servers, so that a wrong attempt would be written without delay.
            for n in 0..4 {
                assert_eq!(harness.send_request("look", &format!("{how:?}{round}{n}")).status(), 200);
            }
            harness.take_requests();
            let _half_closed = harness.while_stopped(|| {
                let streams = (0..10).map(|n| {
                    let mut stream = harness.connect();
                    stream.write_all(&request_bytes("look", &format!("left{n}"), 60_000)).unwrap();
                    disconnect(stream, how)
                });
                streams.collect::<Vec<_>>()
            });
            assert_eq!(harness.send_request("look", "after").status(), 200);
            let received_ids: Vec<String> = harness
                .take_requests()
                .iter()
                .map(|(_, message)| message.header("x-txn").to_owned())
                .collect();
            assert_eq!(received_ids, ["after"], "{how:?}");
        }
    }
}

// A request that a close cuts off is not sent to a server.
#[test]
fn a_request_cut_off_by_a_close_is_not_sent() {
    let harness = Harness::new(1);
    let whole = request_bytes("pay", "1", 60_000);
    for part in [1, whole.len() / 2, whole.len() - 1] {
        let mut stream = harness.connect();
        stream.write_all(&whole[..part]).unwrap();
        drop(stream);
    }
    assert_eq!(harness.send_request("pay", "2").status(), 200);
    assert_eq!(harness.take_requests().len(), 1);
}

// A client that closes its connection with many requests still unread has gone: none of them is sent on, neither from the
// node's buffers nor from the system's.
#[test]
fn requests_behind_a_close_are_not_sent() {
    for requests in [2, 20, 2_000] {
        let harness = Harness::new(1);
        harness.set_behavior(Behavior::Hold);
        let mut client = harness.connect();
        let pipelined: Vec<u8> =
            (0..requests).flat_map(|n| request_bytes("pay", &format!("{requests}-{n}"), 60_000)).collect();
        client.set_write_timeout(Some(std::time::Duration::from_millis(200))).unwrap();
        let _ = client.write_all(&pipelined);
        let mut seen = Vec::new();
        wait_until("the first one is sent", || {
            seen.extend(harness.take_requests());
            !seen.is_empty()
        });
        drop(client);
        wait_until("the close is noticed", || {
            harness.send_request("pay", &format!("{requests}-0")).status() == 409
        });
        std::thread::sleep(std::time::Duration::from_millis(100));
        harness.set_behavior(Behavior::Serve);
        // It is served behind whatever was left of the others.
        assert_eq!(harness.send_request("pay", &fresh_id()).status(), 200);
        seen.extend(harness.take_requests());
        let sent_on =
            seen.iter().filter(|(_, request)| request.header("x-txn").starts_with(&format!("{requests}-")));
        assert_eq!(sent_on.count(), 1, "of {requests}");
    }
}
