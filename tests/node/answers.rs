//! Answers that end in odd ways, and attempts that never began.

use std::io::{BufReader, Write};
use std::time::Duration;

use serde_json::json;

use crate::site::*;

// An answer whose end only the connection tells: an orderly end ends it, a reset does not.
#[test]
fn an_answer_without_a_length_ends_with_an_orderly_end_alone() {
    const TEXT: &str = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nmade without a length";
    let site = Site::new(1);
    site.all_do(Does::RawAndEnd(TEXT));
    for n in 0..4 {
        let answer = site.ask("pay", &format!("end{n}"));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"made without a length".as_slice()));
    }
    site.all_do(Does::RawAndEnd("HTTP/1.1 200 OK\r\n\r\n"));
    let empty = site.ask("pay", "empty");
    assert_eq!((empty.status(), empty.body.len()), (200, 0));
    site.all_do(Does::RawAndReset(TEXT));
    let status = site.ask("pay", "reset").status();
    assert!(![200, 429, 503].contains(&status), "{status}");
    // It may have run: once each.
    assert_eq!(site.requests().len(), 6);
}

// The time that a further attempt tells is what is left then, not what there was at first.
#[test]
fn further_attempts_tell_what_is_left() {
    let site = Site::new(2);
    site.all_do(Does::Hold);
    let mut client = site.dial();
    client.write_all(&request("look", "1", 60_000)).unwrap();
    let Ok(Seen::Request(first, _)) = site.seen.recv_timeout(PATIENCE) else { panic!("a request") };
    // Longer than the clocks of either side can differ by; what is left only falls with more.
    std::thread::sleep(Duration::from_millis(400));
    *site.does[first].lock().unwrap() = Does::Answer("503 Full\r\nX-Turned-Away: 1");
    let Ok(Seen::Request(second, message)) = site.seen.recv_timeout(PATIENCE) else { panic!("a request") };
    assert_ne!(first, second);
    *site.does[second].lock().unwrap() = Does::Serve;
    assert_eq!(Message::read(&mut BufReader::new(client)).expect("an answer").status(), 200);
    let asked = message.header("x-remaining-ms").parse::<u64>().unwrap();
    assert!(asked <= 60_000 - 400, "{asked}");
}

// What no server has seen is refused, so that its client may ask again, and never called failed.
#[test]
fn a_request_that_was_never_sent_on_is_refused() {
    let (nowhere, _held) = silent();
    let site = Site::new(1);
    let (_, mut stream) = site.watch();
    let mut member = site.members[0].clone();
    member["host_port"] = json!(nowhere.to_string());
    chunk(&mut stream, &format!("{}\n", json!({"revision": 42, "complete": true, "members": [member]})));
    until("the new address is known", || {
        site.raw(&request("look", "0", 300)).status() == 503 && site.requests().is_empty()
    });
    for class in ["look", "pay", "put"] {
        assert_eq!(site.raw(&request(class, "1", 300)).status(), 503, "{class}");
    }
    assert!(site.requests().is_empty());
}
