//! Forwarding of requests and responses, and rejection of malformed ones.

use std::io::{BufReader, Write};

use crate::harness::*;

#[test]
fn a_request_is_forwarded_unchanged_and_its_response_returned() {
    let harness = Harness::new(2);
    assert_eq!(harness.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    let response = harness.send_request("put", "abc");
    assert_eq!((response.status(), response.body.as_slice()), (200, b"abc".as_slice()));
    let seen = harness.take_requests();
    let (_, request) = &seen[0];
    assert_eq!(seen.len(), 1);
    assert_eq!(request.start_line, "POST /api?key=7f3a&x=1 HTTP/1.1\r\n");
    assert_eq!((request.header("x-txn"), request.header("idempotency-key")), ("abc", "77"));
    assert_eq!(request.body, b"hello");
    assert!((1..60_000).contains(&request.header("x-remaining-ms").parse::<u64>().unwrap()));
}

// Servers tell requests apart by their ids. A second request with the id of an open one could run an effect
// twice, or get the first one's response.
#[test]
fn a_request_with_the_id_of_an_open_one_is_rejected() {
    let harness = Harness::new(1);
    harness.set_behavior(Behavior::Hold);
    let mut first = harness.connect();
    first.write_all(&request_bytes("pay", "same", 60_000)).unwrap();
    assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
    assert_eq!(harness.send_request("pay", "same").status(), 409);
    assert_eq!(harness.send_request("look", "same").status(), 409);
    assert!(harness.take_requests().is_empty());
    harness.set_behavior(Behavior::Serve);
    let response = Message::read(&mut BufReader::new(first)).unwrap();
    assert_eq!((response.status(), response.body.as_slice()), (200, b"same".as_slice()));
}

// An id is the client's name for one request, so a request that comes again under its id must not run a second time if its
// class forbids it.
#[test]
fn a_request_that_may_have_run_does_not_run_again_under_its_id() {
    let harness = Harness::new(1);
    let runs_of_two = |class: &str, id: &str, behavior: Behavior| {
        harness.set_behavior(behavior);
        let first = harness.send_request(class, id).status();
        harness.set_behavior(Behavior::Serve);
        let second = harness.send_request(class, id).status();
        (first, second, harness.take_requests().len())
    };
    let turned_away = Behavior::RespondEmpty("503 Full\r\nX-Turned-Away: 1");
    // Answered: only a class that is safe to repeat is served again.
    assert_eq!(runs_of_two("look", "1", Behavior::Serve), (200, 200, 2));
    assert_eq!(runs_of_two("pay", "2", Behavior::Serve), (200, 409, 1));
    assert_eq!(runs_of_two("put", "3", Behavior::Serve), (200, 409, 1));
    // Failed after it may have run.
    assert_eq!(runs_of_two("pay", "4", Behavior::CloseUnanswered), (502, 409, 1));
    // Refused: no server has run it.
    let (first, second, _) = runs_of_two("pay", "5", turned_away);
    assert_eq!((first, second), (503, 200));
}

#[test]
fn a_request_does_not_run_again_under_its_id_after_its_client_has_gone() {
    for (class, is_safe) in [("look", true), ("pay", false), ("put", false)] {
        let harness = Harness::new(1);
        harness.set_behavior(Behavior::Hold);
        let mut gone = harness.connect();
        gone.write_all(&request_bytes(class, "same", 60_000)).unwrap();
        wait_until("the server has the request", || !harness.take_requests().is_empty());
        drop(gone);
        harness.set_behavior(Behavior::Serve);
        // Until the node notices the close, the first request is open.
        let expected = if is_safe { 200 } else { 409 };
        wait_until("the close is noticed", || {
            let status = harness.send_request(class, "same").status();
            assert!([expected, 409].contains(&status), "{class}: {status}");
            status == expected
        });
        assert_eq!(harness.take_requests().len(), usize::from(is_safe), "{class}");
    }
}

// A request of which a server has seen nothing runs under its id when it comes again.
#[test]
fn a_request_that_was_not_sent_runs_when_it_comes_again() {
    let harness = Harness::new(1);
    let request = request_bytes("pay", "same", 60_000);
    let mut gone = harness.connect();
    gone.write_all(&request[..request.len() - 1]).unwrap();
    drop(gone);
    assert_eq!(harness.send_request("pay", "same").status(), 200);
    assert_eq!(harness.take_requests().len(), 1);
}

// A node keeps nothing over its end, so a restarted one knows no ids.
#[test]
fn a_restarted_node_has_forgotten_all_ids() {
    let harness = Harness::new(1);
    assert_eq!(harness.send_request("pay", "same").status(), 200);
    let restarted = Harness::new(1);
    assert_eq!(restarted.send_request("pay", "same").status(), 200);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused() {
    for behavior in [
        Behavior::CloseUnanswered,
        Behavior::TruncateBody,
        Behavior::RespondEmpty("500 Oops"),
        Behavior::RespondEmpty("503 Busy"),
        Behavior::RespondEmpty("504 Late"),
    ] {
        let harness = Harness::new(3);
        harness.set_behavior(behavior);
        let status = harness.send_request("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{status}");
        assert_eq!(harness.take_requests().len(), 1);
    }
}

#[test]
fn a_safe_request_is_retried_after_a_broken_response() {
    let harness = Harness::new(2);
    harness.set_behavior(Behavior::TruncateBody);
    let mut stream = harness.connect();
    *harness.behaviors[0].lock().unwrap() = Behavior::Serve;
    for n in 0..8 {
        let id = format!("{n}");
        stream.write_all(&request_bytes("look", &id, 60_000)).unwrap();
        let response = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        assert_eq!((response.status(), response.body), (200, id.into_bytes()));
    }
}

// A malformed response must not reach the client, nor keep its request open until the deadline.
#[test]
fn a_malformed_response_fails_only_its_attempt() {
    let malformed: [(&str, usize); 10] = [
        ("\u{1}\u{2} noise\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1),
        ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nX-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", 2_000),
        ("HTTP/1.1 100 Continue\r\n\r\n", 20_000),
    ];
    for (text, times) in malformed {
        let harness = Harness::new(2);
        harness.set_behavior(Behavior::RespondRaw(text, times));
        let status = harness.send_request("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{text}: {status}");
        assert_eq!(harness.take_requests().len(), 1, "{text}");
        harness.set_behavior(Behavior::Serve);
        wait_until("served again", || harness.send_request("look", "2").body == b"2");
    }
}

#[test]
fn interim_responses_and_a_malformed_load_report_do_no_harm() {
    let harness = Harness::new(1);
    let response = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 200 OK\r\nX-Pressure: {\"queue\":\r\nContent-Length: 2\r\n\r\nok";
    harness.set_behavior(Behavior::RespondRaw(response, 1));
    for n in 0..4 {
        assert_eq!(harness.send_request("pay", &n.to_string()).body, b"ok");
    }
}

// A duplicate of a response must never be taken for the response to the next request.
#[test]
fn a_duplicate_response_is_never_used() {
    for delay_ms in [0, 1, 2, 4] {
        let harness = Harness::new(1);
        harness.set_behavior(Behavior::ServeTwice(delay_ms));
        for n in 0..20 {
            let id = format!("{delay_ms}-{n}");
            assert_eq!(harness.send_request("pay", &id).body, id.as_bytes());
        }
    }
}

#[test]
fn an_unsafe_request_that_no_server_ran_is_refused() {
    let harness = Harness::new(2);
    harness.set_behavior(Behavior::RespondEmpty("503 Full\r\nX-Turned-Away: 1"));
    let response = harness.send_request("pay", "1");
    assert_eq!(response.status(), 503);
    harness.set_behavior(Behavior::Serve);
    wait_until("served again", || harness.send_request("pay", "2").status() == 200);
}

#[test]
fn a_request_is_answered_before_its_deadline() {
    let harness = Harness::new(2);
    harness.set_behavior(Behavior::Hang);
    for class in ["look", "pay", "put"] {
        let status = harness.send_raw(&request_bytes(class, "1", 400)).status();
        assert_ne!(status, 200);
        // The unsafe request may have run, so it must not get a status that allows a retry.
        assert!(class != "pay" || ![429, 503].contains(&status), "{status}");
    }
}

#[test]
fn a_disconnected_client_ends_its_attempt() {
    let harness = Harness::new(2);
    harness.set_behavior(Behavior::Hang);
    let mut stream = harness.connect();
    stream.write_all(&request_bytes("look", "1", 60_000)).unwrap();
    assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::Request(..))));
    drop(stream);
    assert!(matches!(harness.server_events.recv_timeout(TEST_TIMEOUT), Ok(ServerEvent::ConnectionClosed)));
}

#[test]
fn malformed_requests_are_rejected() {
    let harness = Harness::new(1);
    let status_with = |old: &str, new: &str| {
        let text = String::from_utf8(request_bytes("pay", "1", 60_000)).unwrap();
        assert!(text.contains(old));
        harness.send_raw(text.replace(old, new).as_bytes()).status()
    };
    assert_eq!(status_with("X-Lane: pay", "X-Lane: none"), 400);
    assert_eq!(status_with("X-Org: acme", "X-Org: other"), 400);
    assert_eq!(status_with("X-Txn: 1\r\n", ""), 400);
    assert_eq!(status_with("X-Remaining-Ms: 60000", "X-Remaining-Ms: soon"), 400);
    assert_eq!(status_with("X-Remaining-Ms: 60000", "X-Remaining-Ms: -1"), 400);
    assert_eq!(status_with("X-Lane: pay", "X-Lane: put"), 400);
    // Requests that servers would take for another class, and ambiguous ones.
    assert_eq!(status_with("X-Lane: pay", "X-Lane: look"), 400);
    assert_eq!(status_with("POST", "GET"), 400);
    assert_eq!(status_with("X-Lane: pay", "X-Lane: pay\r\nIdempotency-Key: 5"), 400);
    assert_eq!(status_with("Host: service.internal\r\n", ""), 400);
    for second in ["Host: other", "X-Txn: 2", "X-Lane: pay", "X-Remaining-Ms: 5", "X-Org: acme"] {
        assert_eq!(status_with("X-Org: acme", &format!("X-Org: acme\r\n{second}")), 400, "{second}");
    }
    let hidden_request = "0\r\n\r\nPOST /api HTTP/1.1\r\n";
    for framing in [
        "Transfer-Encoding: chunked\r\nContent-Length: 26",
        "Content-Length: 26\r\nTransfer-Encoding: chunked",
    ] {
        let text = String::from_utf8(request_bytes("pay", "1", 60_000)).unwrap();
        let text =
            text.replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n{hidden_request}"));
        let response = harness.send_raw(text.as_bytes());
        assert_eq!((response.status(), response.header("connection")), (411, "close"));
    }
    assert_eq!(status_with("Content-Length: 5", "Content-Length: -5"), 400);
    assert_eq!(status_with("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"), 400);
    assert_eq!(status_with("/api?", "/other?"), 404);
    assert_eq!(status_with("POST", "DELETE"), 405);
    assert_eq!(status_with("Content-Length: 5", "Content-Length: 70000"), 413);
    assert_eq!(status_with("X-Org: acme", &format!("X-Org: acme\r\nX-Long: {}", "a".repeat(40_000))), 431);
    assert_eq!(status_with(" HTTP/1.1", " NONSENSE"), 400);
    assert!(harness.take_requests().is_empty());
    assert_eq!(harness.send_request("pay", "2").status(), 200);
}

// A chunked body is forwarded with a Content-Length, however the client splits it.
#[test]
fn a_chunked_body_is_forwarded() {
    let harness = Harness::new(1);
    let plain = String::from_utf8(request_bytes("pay", "ID", 60_000)).unwrap();
    let chunked = |id: &str, body: &str| {
        let framed = format!("Transfer-Encoding: chunked\r\n\r\n{body}");
        plain.replace("ID", id).replace("Content-Length: 5\r\n\r\nhello", &framed)
    };
    for (id, body) in
        [("1", "5\r\nhello\r\n0\r\n\r\n"), ("2", "2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-T: z\r\n\r\n")]
    {
        let mut stream = harness.connect();
        // The chunked request follows a request with a length and is sent byte by byte.
        stream.write_all(&request_bytes("pay", &format!("before{id}"), 60_000)).unwrap();
        let mut input = BufReader::new(stream.try_clone().unwrap());
        assert_eq!(Message::read(&mut input).unwrap().status(), 200);
        stream.set_nodelay(true).unwrap();
        chunked(id, body).bytes().for_each(|byte| stream.write_all(&[byte]).unwrap());
        let response = Message::read(&mut input).unwrap();
        assert_eq!((response.status(), response.body.as_slice()), (200, id.as_bytes()));
        let seen = harness.take_requests();
        let (_, request) = seen.last().unwrap();
        assert_eq!((request.body.as_slice(), request.header("content-length")), (b"hello".as_slice(), "5"));
        assert_eq!(request.header("transfer-encoding"), "");
    }
    // A safe request may be chunked but must have no body.
    let look = String::from_utf8(request_bytes("look", "3", 60_000)).unwrap();
    let empty = look.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assert_eq!(harness.send_raw(empty.as_bytes()).status(), 200);
    let body = look.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
    assert_eq!(harness.send_raw(body.as_bytes()).status(), 400);
    harness.take_requests();
    // A body that is too long, and a malformed chunk size.
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    assert_eq!(harness.send_raw(chunked("4", &chunk.repeat(3)).as_bytes()).status(), 413);
    assert_eq!(harness.send_raw(chunked("5", "zz\r\n").as_bytes()).status(), 400);
    assert!(harness.take_requests().is_empty());
}
