//! Responses without a length, the time left that servers are told, and requests that reach no server.

use std::io::{BufReader, Write};
use std::time::Duration;

use serde_json::json;

use crate::harness::*;

// A response without framing headers ends with the connection: an orderly close completes it, a reset does
// not.
#[test]
fn a_response_without_a_length_is_completed_only_by_an_orderly_close() {
    const RESPONSE: &str = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nmade without a length";
    let harness = Harness::new(1);
    harness.set_behavior(Behavior::RespondRawAndClose(RESPONSE));
    for n in 0..4 {
        let response = harness.send_request("pay", &format!("end{n}"));
        assert_eq!((response.status(), response.body.as_slice()), (200, b"made without a length".as_slice()));
    }
    harness.set_behavior(Behavior::RespondRawAndClose("HTTP/1.1 200 OK\r\n\r\n"));
    let empty = harness.send_request("pay", "empty");
    assert_eq!((empty.status(), empty.body.len()), (200, 0));
    harness.set_behavior(Behavior::RespondRawAndReset(RESPONSE));
    let status = harness.send_request("pay", "reset").status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    // Each request reached the server once: an unsafe request that may have run is not retried.
    assert_eq!(harness.take_requests().len(), 6);
}

// A retry tells the server the time left at the retry, not the time left at the first attempt.
#[test]
fn a_retry_tells_the_time_that_is_left() {
    let harness = Harness::new(2);
    harness.set_behavior(Behavior::Hold);
    let mut client = harness.connect();
    client.write_all(&request_bytes("look", "1", 60_000)).unwrap();
    let Ok(ServerEvent::Request(first, _)) = harness.server_events.recv_timeout(TEST_TIMEOUT) else {
        panic!("no request")
    };
    // Longer than the clocks of the two processes can differ; a longer sleep only lowers the time left.
    std::thread::sleep(Duration::from_millis(400));
    *harness.behaviors[first].lock().unwrap() = Behavior::RespondEmpty("503 Full\r\nX-Turned-Away: 1");
    let Ok(ServerEvent::Request(second, message)) = harness.server_events.recv_timeout(TEST_TIMEOUT) else {
        panic!("no request")
    };
    assert_ne!(first, second);
    *harness.behaviors[second].lock().unwrap() = Behavior::Serve;
    assert_eq!(Message::read(&mut BufReader::new(client)).expect("a response").status(), 200);
    let remaining_ms = message.header("x-remaining-ms").parse::<u64>().unwrap();
    assert!(remaining_ms <= 60_000 - 400, "{remaining_ms}");
}

// A request that no server has seen gets a 503, which allows the client to retry, and not a failure.
#[test]
fn a_request_that_reached_no_server_is_refused() {
    let (unreachable, _held) = unresponsive_address();
    let harness = Harness::new(1);
    let (_, mut stream) = harness.next_watch();
    let mut member = harness.members[0].clone();
    member["host_port"] = json!(unreachable.to_string());
    write_chunk(
        &mut stream,
        &format!("{}\n", json!({"revision": 42, "complete": true, "members": [member]})),
    );
    wait_until("the node uses the new address", || {
        harness.send_raw(&request_bytes("look", "0", 300)).status() == 503
            && harness.take_requests().is_empty()
    });
    for class in ["look", "pay", "put"] {
        assert_eq!(harness.send_raw(&request_bytes(class, "1", 300)).status(), 503, "{class}");
    }
    assert!(harness.take_requests().is_empty());
}
