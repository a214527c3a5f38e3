//! Ends and starts of a process.

use std::io::{BufReader, Write};

use serde_json::json;

use crate::site::*;

#[test]
fn sigterm_lets_requests_finish_and_ends_cleanly() {
    let mut site = Site::new(1);
    let mut idle = site.dial();
    idle.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    site.all_do(Does::Hold);
    let mut busy = site.dial();
    busy.write_all(&request("pay", "9", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    site.signal("-TERM");
    // New connections are taken for as long as the node lives.
    until("not ready", || {
        let answer = site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        answer.status() == 503 && answer.header("connection") == "close"
    });
    // An idle connection is closed, a held request is still answered, and new ones are too.
    assert!(Message::read(&mut idle).is_none());
    let mut new = site.dial();
    new.write_all(&request("pay", "10", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    assert!(site.node.try_wait().unwrap().is_none());
    site.all_do(Does::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let answer = Message::read(&mut BufReader::new(stream)).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
        assert_eq!(answer.body, id.as_bytes());
    }
    assert!(site.node.wait().unwrap().success());
}

/// A connection on which one request was answered.
fn rested(site: &Site, id: &str) -> BufReader<std::net::TcpStream> {
    let mut stream = BufReader::new(site.dial());
    stream.get_mut().write_all(&request("look", id, 60_000)).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    stream
}

// Clients send on every connection that stays open: one whose request has begun to come when the idle ones are
// closed is not idle. The library counts it as idle until the head is whole, and closed it over the half.
#[test]
fn a_request_that_has_begun_to_come_when_idle_connections_are_closed_is_served() {
    let mut site = Site::new(1);
    let (mut idle, mut busy) = (rested(&site, "1"), rested(&site, "2"));
    let whole = request("pay", "3", 60_000);
    let (half, rest) = whole.split_at(40);
    site.signal("-TERM");
    busy.get_mut().write_all(half).unwrap();
    assert!(Message::read(&mut idle).is_none(), "the idle one is closed");
    busy.get_mut().write_all(rest).unwrap();
    let answer = Message::read(&mut busy).expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(site.node.wait().unwrap().success());
}

// The request and the time for the close meet in one moment: it has come, so it is answered.
#[test]
fn requests_that_come_in_the_very_moment_of_the_close_are_served() {
    let mut site = Site::new(1);
    let mut resting: Vec<_> = (0..8).map(|n| rested(&site, &format!("r{n}"))).collect();
    let mut opened: Vec<_> = (0..8).map(|_| BufReader::new(site.dial())).collect();
    let log = |what: &str| until(what, || site.log.try_iter().any(|line| line.contains(what)));
    site.signal("-TERM");
    log("drains");
    let new: Vec<_> = site.stopped(|| {
        let write = |(n, stream): (usize, &mut BufReader<std::net::TcpStream>)| {
            stream.get_mut().write_all(&request("pay", &format!("p{n}"), 60_000)).unwrap();
        };
        resting.iter_mut().chain(&mut opened).enumerate().for_each(write);
        let new = (0..8).map(|n| {
            let mut stream = site.dial();
            stream.write_all(&request("pay", &format!("n{n}"), 60_000)).unwrap();
            BufReader::new(stream)
        });
        let new = new.collect();
        // Past the time at which idle ones are closed.
        std::thread::sleep(std::time::Duration::from_millis(700));
        new
    });
    for mut stream in resting.into_iter().chain(opened).chain(new) {
        let answer = Message::read(&mut stream).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    }
    assert!(site.node.wait().unwrap().success());
}

// A close over bytes that nobody read is a reset, and takes an answer with it that is still on its way.
#[test]
fn an_answer_at_the_end_is_not_reset_by_what_came_behind_its_request() {
    use std::io::Read;
    let mut site = Site::new(1);
    let mut stream = rested(&site, "1").into_inner();
    site.all_do(Does::Hold);
    stream.write_all(&request("pay", "2", 60_000)).unwrap();
    until("it is sent on", || site.requests().iter().any(|(_, message)| message.header("x-txn") == "2"));
    site.signal("-TERM");
    for n in 0..400 {
        stream.write_all(&request("pay", &format!("ahead{n}"), 60_000)).unwrap();
    }
    site.all_do(Does::Serve);
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("an orderly end");
    assert!(all.ends_with("\r\n\r\n2"), "{all}");
    assert!(stream.take_error().unwrap().is_none(), "it was reset");
    drop(stream);
    // What was read behind it is never sent on.
    assert!(site.requests().is_empty());
    assert!(site.node.wait().unwrap().success());
}

// The platform kills a node a while after SIGTERM, at most 3.7 s after it: a request that comes late has its
// answer by then, though its client would wait for longer.
#[test]
fn what_comes_after_sigterm_is_answered_before_the_kill() {
    let mut site = Site::new(1);
    site.all_do(Does::Hang);
    site.signal("-TERM");
    until("it drains", || site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503);
    let answer = site.ask("pay", "1");
    assert!(![200, 429, 503].contains(&answer.status()), "{}", answer.status());
    assert!(site.node.wait().unwrap().success());
}

#[test]
fn signals_that_come_twice_or_together_end_nothing_early() {
    let mut site = Site::new(1);
    site.all_do(Does::Hold);
    let mut stream = BufReader::new(site.dial());
    stream.get_mut().write_all(&request("pay", "1", 60_000)).unwrap();
    until("it is sent on", || !site.requests().is_empty());
    site.stopped(|| ["-TERM", "-HUP", "-TERM"].map(|name| site.signal(name)));
    until("it drains", || site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 503);
    site.signal("-TERM");
    site.signal("-HUP");
    site.all_do(Does::Serve);
    assert_eq!(Message::read(&mut stream).expect("an answer").status(), 200);
    assert!(site.node.wait().unwrap().success());
}

// Ready from what it knew, whatever discovery does: silent, refusing, or slow with half a list.
#[test]
fn a_new_process_serves_while_discovery_is_away() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let (silent, _held) = silent();
    let silent = silent.to_string();
    for mode in ["push", "ask"] {
        for at in [None, Some(&gone), Some(&silent)] {
            let env: Vec<_> = at.iter().map(|at| ("BALANCER_DISCOVERY", at.as_str())).collect();
            let site = Site::start(1, json!({"sockets": 256}), |s| s["registry-mode"] = json!(mode), &env);
            assert_eq!(site.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
            assert_eq!(site.ask("pay", "1").status(), 200, "{mode} {at:?}");
        }
    }
}
