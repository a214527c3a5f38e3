//! Responses without a length, the time left that servers are told, and requests that reach no server.

use std::io::{BufReader, Write};
use std::time::Duration;

use serde_json::json;

use crate::site::*;

// A response without framing headers ends with the connection: an orderly close completes it, a reset does
// not.
#[test]
fn a_response_without_a_length_is_completed_only_by_an_orderly_close() {
    const RESPONSE: &str = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nmade without a length";
    let site = Site::new(1);
    site.all_do(Does::RawAndEnd(RESPONSE));
    for n in 0..4 {
        let response = site.ask("pay", &format!("end{n}"));
        assert_eq!((response.status(), response.body.as_slice()), (200, b"made without a length".as_slice()));
    }
    site.all_do(Does::RawAndEnd("HTTP/1.1 200 OK\r\n\r\n"));
    let empty = site.ask("pay", "empty");
    assert_eq!((empty.status(), empty.body.len()), (200, 0));
    site.all_do(Does::RawAndReset(RESPONSE));
    let status = site.ask("pay", "reset").status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    // Each request reached the server once: an unsafe request that may have run is not retried.
    assert_eq!(site.requests().len(), 6);
}

// A retry tells the server the time left at the retry, not the time left at the first attempt.
#[test]
fn a_retry_tells_the_time_that_is_left() {
    let site = Site::new(2);
    site.all_do(Does::Hold);
    let mut client = site.dial();
    client.write_all(&request("look", "1", 60_000)).unwrap();
    let Ok(Seen::Request(first, _)) = site.seen.recv_timeout(PATIENCE) else { panic!("no request") };
    // Longer than the clocks of the two processes can differ; a longer sleep only lowers the time left.
    std::thread::sleep(Duration::from_millis(400));
    *site.does[first].lock().unwrap() = Does::Answer("503 Full\r\nX-Turned-Away: 1");
    let Ok(Seen::Request(second, message)) = site.seen.recv_timeout(PATIENCE) else { panic!("no request") };
    assert_ne!(first, second);
    *site.does[second].lock().unwrap() = Does::Serve;
    assert_eq!(Message::read(&mut BufReader::new(client)).expect("a response").status(), 200);
    let remaining_ms = message.header("x-remaining-ms").parse::<u64>().unwrap();
    assert!(remaining_ms <= 60_000 - 400, "{remaining_ms}");
}

// A request that no server has seen gets a 503, which allows the client to retry, and not a failure.
#[test]
fn a_request_that_reached_no_server_is_refused() {
    let (unreachable, _held) = silent();
    let site = Site::new(1);
    let (_, mut stream) = site.watch();
    let mut member = site.members[0].clone();
    member["host_port"] = json!(unreachable.to_string());
    chunk(&mut stream, &format!("{}\n", json!({"revision": 42, "complete": true, "members": [member]})));
    until("the node uses the new address", || {
        site.raw(&request("look", "0", 300)).status() == 503 && site.requests().is_empty()
    });
    for class in ["look", "pay", "put"] {
        assert_eq!(site.raw(&request(class, "1", 300)).status(), 503, "{class}");
    }
    assert!(site.requests().is_empty());
}
