//! Clients that stop before or in the middle of a request and stay: other clients get their responses all the same.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::time::Duration;

use serde_json::json;

use crate::harness::*;

/// Pause between two bytes of a client that writes slowly.
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// Where a client stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StopsIn {
    Silence,
    Head,
    Body,
    /// Nowhere, but it sends its head a byte at a time, without end.
    Never,
}

/// Connects a client that stops there.
fn connect_stopped(harness: &Harness, stops_in: StopsIn, id: &str) -> BufReader<TcpStream> {
    let mut stream = harness.connect();
    let request = request_bytes("pay", id, 60_000);
    let sent = match stops_in {
        StopsIn::Silence => 0,
        StopsIn::Never => 1,
        StopsIn::Head => request.len() / 2,
        StopsIn::Body => request.len() - 1,
    };
    stream.write_all(&request[..sent]).unwrap();
    BufReader::new(stream)
}

/// Writes a further byte of a head to each of these connections every few milliseconds, until the returned sender is
/// dropped.
fn write_slowly(clients: &[BufReader<TcpStream>]) -> Sender<()> {
    let mut streams: Vec<_> = clients.iter().map(|client| client.get_ref().try_clone().unwrap()).collect();
    let (running, stopped) = channel::<()>();
    std::thread::spawn(move || {
        while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(SLOW_WRITE_INTERVAL) {
            streams.retain_mut(|stream| stream.write_all(b"X").is_ok());
        }
    });
    running
}

/// Whether nothing has arrived on an open connection.
fn is_silent(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

// Guards against a new connection's wait for a socket that keeps all later ones in the backlog: usual clients had
// neither a response nor a close for seconds while others stopped in a request.
#[test]
fn stopped_clients_do_not_keep_others_in_the_backlog() {
    let reference = Harness::new(1);
    for (first, later) in [
        (StopsIn::Silence, StopsIn::Silence),
        (StopsIn::Head, StopsIn::Head),
        (StopsIn::Body, StopsIn::Head),
        (StopsIn::Body, StopsIn::Silence),
        (StopsIn::Never, StopsIn::Never),
    ] {
        // 44 sockets leave 2 for clients and 16 for clients that are refused.
        let harness = Harness::with_limits(1, json!({"sockets": 44}));
        // The time after which a node by itself ends a request that doesn't arrive.
        let overdue = connect_stopped(&reference, StopsIn::Body, "overdue");
        let (mut stopped, mut usual) = harness.while_stopped(|| {
            let stopped: Vec<_> = (0..120)
                .map(|n| connect_stopped(&harness, if n < 2 { first } else { later }, &format!("stopped{n}")))
                .collect();
            let mut usual = harness.connect();
            usual.write_all(&request_bytes("look", "usual", 60_000)).unwrap();
            (stopped, BufReader::new(usual))
        });
        let writer = (later == StopsIn::Never).then(|| write_slowly(&stopped));
        let mut statuses = vec![Message::read(&mut usual).expect("a response").status()];
        statuses.extend((0..3).map(|n| harness.send_request("look", &format!("later{n}")).status()));
        assert!(is_silent(overdue.get_ref()), "usual clients waited as long as a stopped one, {first:?}");
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}, {first:?}");
        // A request whose head has been read gets a response, and none of a stopped client is sent on.
        for client in stopped.iter_mut().take(2).filter(|_| first == StopsIn::Body) {
            let status = Message::read(client).expect("a response").status();
            assert!([408, 503].contains(&status), "{status}");
        }
        drop(writer);
        let sent_on = harness.take_requests();
        assert!(sent_on.iter().all(|(_, message)| !message.header("x-txn").contains("stopped")), "{first:?}");
    }
}

// Guards against a server that is told more time than its client has left, because the request waited for a socket
// where the node didn't see it.
#[test]
fn the_wait_for_a_socket_is_taken_off_the_time_of_a_request() {
    // 42 sockets leave one for clients and 16 for clients that are refused.
    let env = [("RUST_LOG", "debug"), ("BALANCER_LOG_FORMAT", "json")];
    let harness = Harness::with_env(1, json!({"sockets": 42}), |_| {}, &env);
    let (_silent, mut usual) = harness.while_stopped(|| {
        let silent: Vec<_> = (0..17).map(|_| connect_stopped(&harness, StopsIn::Silence, "silent")).collect();
        let mut usual = harness.connect();
        usual.write_all(&request_bytes("look", "usual", 60_000)).unwrap();
        (silent, BufReader::new(usual))
    });
    assert_eq!(Message::read(&mut usual).expect("a response").status(), 200);
    let told_ms: u64 = harness.take_requests()[0].1.header("x-remaining-ms").parse().unwrap();
    let mut waited_ms = None;
    wait_until("the wait is logged", || {
        waited_ms = harness.log_lines.try_iter().find_map(|line| {
            let line: serde_json::Value = serde_json::from_str(&line).ok()?;
            line["fields"]["socket_wait_ms"].as_u64()
        });
        waited_ms.is_some()
    });
    let waited_ms = waited_ms.unwrap();
    assert!(waited_ms > 0 && told_ms + waited_ms <= 60_000, "waited {waited_ms} ms, told {told_ms} ms");
}

// Guards against the same wait where the system's limit on descriptors is lower than the configured one, so that
// `accept` fails.
#[test]
fn stopped_clients_do_not_use_up_the_descriptors() {
    let reference = Harness::new(1);
    let harness = Harness::with_limits(1, json!({"sockets": 4_000}));
    harness.limit_descriptors("24");
    let overdue = connect_stopped(&reference, StopsIn::Body, "overdue");
    let (_stopped, mut usual) = harness.while_stopped(|| {
        let stopped: Vec<_> =
            (0..60).map(|n| connect_stopped(&harness, StopsIn::Body, &format!("stopped{n}"))).collect();
        let mut usual = harness.connect();
        // It needs no descriptor for a server.
        usual.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        (stopped, BufReader::new(usual))
    });
    assert_eq!(Message::read(&mut usual).expect("a response").status(), 200);
    assert!(is_silent(overdue.get_ref()), "the usual client waited as long as a stopped one");
}
