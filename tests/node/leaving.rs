//! Clients that leave: nothing of what they asked for goes out later, whatever lies in front of their close.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

use crate::site::*;

/// What is left of a client's connection once it has left.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
    /// It ends its sending and would read on.
    HalfCloses,
}

fn leave(stream: TcpStream, how: Leaves) -> Option<TcpStream> {
    match how {
        Leaves::Closes => drop(stream),
        Leaves::Resets => {
            reset(&stream);
            drop(stream);
        }
        Leaves::HalfCloses => {
            stream.shutdown(Shutdown::Write).unwrap();
            return Some(stream);
        }
    }
    None
}

/// Reads what servers report until as many of their connections have closed; the requests among it.
fn until_closed(site: &Site, connections: usize) -> Vec<String> {
    let (mut closed, mut requests) = (0, Vec::new());
    let start = Instant::now();
    while closed < connections {
        assert!(start.elapsed() < PATIENCE, "{closed} of {connections} attempts ended");
        match site.seen.recv_timeout(PATIENCE) {
            Ok(Seen::Closed) => closed += 1,
            Ok(Seen::Request(_, message)) => requests.push(message.header("x-txn").to_owned()),
            Err(error) => panic!("{closed} of {connections} attempts ended: {error}"),
        }
    }
    requests
}

// The library looks for a close only while its own buffer is empty: with a byte of a next request in it, an
// open one used to be kept, sent and sent again until its deadline.
#[test]
fn a_close_is_noticed_behind_what_a_client_sent_ahead() {
    for how in [Leaves::Closes, Leaves::Resets, Leaves::HalfCloses] {
        for ahead in [0, 1, 300] {
            let site = Site::new(1);
            site.all_do(Does::Hang);
            let mut stream = site.dial();
            stream.write_all(&request("look", "first", 60_000)).unwrap();
            assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
            for n in 0..ahead {
                stream.write_all(&request("look", &format!("ahead{n}"), 60_000)).unwrap();
            }
            let _rest = leave(stream, how);
            assert_eq!(until_closed(&site, 1), [""; 0], "{how:?} behind {ahead}");
        }
    }
}

// More than the node keeps ahead of an answer ends the connection with that answer, and not a byte of it is lost.
#[test]
fn who_sends_without_end_behind_a_request_gets_its_answer_and_no_more() {
    use std::io::Read;
    let site = Site::new(1);
    site.all_do(Does::Hold);
    let mut stream = site.dial();
    stream.write_all(&request("look", "first", 60_000)).unwrap();
    assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
    (0..3_000).for_each(|n| stream.write_all(&request("look", &format!("ahead{n}"), 60_000)).unwrap());
    site.all_do(Does::Serve);
    let mut all = String::new();
    stream.read_to_string(&mut all).expect("an orderly end");
    assert!(all.starts_with("HTTP/1.1 200 OK\r\n") && all.ends_with("\r\n\r\nfirst"), "{all}");
    assert!(all.to_lowercase().contains("connection: close"), "{all}");
    assert!(site.requests().is_empty());
}

#[test]
fn hundreds_that_leave_at_once_end_their_attempts() {
    let site = Site::with(1, serde_json::json!({"sockets": 900}));
    site.all_do(Does::Hang);
    let held: Vec<TcpStream> = (0..200)
        .map(|n| {
            let mut stream = site.dial();
            stream.write_all(&request("look", &format!("{n}"), 60_000)).unwrap();
            assert!(matches!(site.seen.recv_timeout(PATIENCE), Ok(Seen::Request(..))));
            stream
        })
        .collect();
    drop(held);
    assert!(until_closed(&site, 200).is_empty());
}

// A request whose client has left by the time that it is read never reaches a server.
#[test]
fn a_request_that_waits_for_the_node_goes_nowhere_once_its_client_has_left() {
    let site = Site::new(2);
    for how in [Leaves::Closes, Leaves::Resets, Leaves::HalfCloses] {
        for round in 0..4 {
            // Connections to the servers rest, so nothing but the node's own order holds an attempt back.
            for n in 0..4 {
                assert_eq!(site.ask("look", &format!("{how:?}{round}{n}")).status(), 200);
            }
            site.requests();
            let _rest = site.stopped(|| {
                let streams = (0..10).map(|n| {
                    let mut stream = site.dial();
                    stream.write_all(&request("look", &format!("left{n}"), 60_000)).unwrap();
                    leave(stream, how)
                });
                streams.collect::<Vec<_>>()
            });
            assert_eq!(site.ask("look", "after").status(), 200);
            let reached: Vec<String> =
                site.requests().iter().map(|(_, message)| message.header("x-txn").to_owned()).collect();
            assert_eq!(reached, ["after"], "{how:?}");
        }
    }
}

// Half a request and a close: nothing was asked for.
#[test]
fn a_close_within_a_request_is_no_request() {
    let site = Site::new(1);
    let whole = request("pay", "1", 60_000);
    for part in [1, whole.len() / 2, whole.len() - 1] {
        let mut stream = site.dial();
        stream.write_all(&whole[..part]).unwrap();
        drop(stream);
    }
    assert_eq!(site.ask("pay", "2").status(), 200);
    assert_eq!(site.requests().len(), 1);
}
