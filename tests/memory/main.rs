//! The whole process stays under its memory limit, whatever clients and servers send, and other clients are served. These
//! tests press on nodes with hundreds of clients each, so they run one after the other and apart from the other tests of a
//! node.

#[path = "../node/harness.rs"]
#[allow(dead_code)]
mod harness;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;

use harness::*;

/// The part of `memory_mb` that the process's resident set may reach.
const MAX_RESIDENT_FRACTION: f64 = 0.8;
/// The largest body of a request or response.
const LARGEST_BODY_BYTES: usize = 64 * 1024;
/// How long a crowd of clients presses on a node.
const PRESSURE_TIME: Duration = Duration::from_millis(3_500);
/// Pause between two writes of a client that writes slowly.
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crowd {
    /// Write a largest body a few bytes at a time.
    SlowBody,
    /// Write a head a few bytes at a time.
    SlowHead,
    /// Stop with half of a largest body sent.
    StoppedBody,
    /// Stop in a head that is nearly as long as allowed.
    StoppedHead,
    /// Send heads with as many short fields as allowed, and stop in the body.
    ManyFields,
    /// Send heads with far more short fields than allowed.
    TooManyFields,
    /// Send largest bodies, get largest responses and don't read them.
    UnreadResponses,
    /// Send small requests in a row without reading the responses.
    Pipelined,
}

impl Crowd {
    const ALL: [Crowd; 8] = [
        Crowd::SlowBody,
        Crowd::SlowHead,
        Crowd::StoppedBody,
        Crowd::StoppedHead,
        Crowd::ManyFields,
        Crowd::TooManyFields,
        Crowd::UnreadResponses,
        Crowd::Pipelined,
    ];
}

/// A client of a crowd: its connection, and what it has still to write.
struct CrowdClient {
    stream: TcpStream,
    unsent: Vec<u8>,
    written: usize,
}

/// What a client of a crowd sends: the bytes that it writes at once, and those that it writes slowly.
fn crowd_request(crowd: Crowd, id: &str) -> (Vec<u8>, Vec<u8>) {
    let head = |fields: usize, length: usize| {
        let fields: String = (0..fields).map(|n| format!("a{n}:\r\n")).collect();
        format!(
            "POST /api?key={id} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: pay\r\nX-Remaining-Ms: 60000\r\n\
            {fields}Content-Length: {length}\r\n\r\n"
        )
        .into_bytes()
    };
    let body = vec![b'b'; LARGEST_BODY_BYTES];
    match crowd {
        Crowd::SlowBody => (head(0, LARGEST_BODY_BYTES), body),
        Crowd::SlowHead => (Vec::new(), head(3_000, 0)),
        Crowd::StoppedBody => {
            ([head(0, LARGEST_BODY_BYTES), body[..LARGEST_BODY_BYTES / 2].to_vec()].concat(), Vec::new())
        }
        Crowd::StoppedHead => (format!("POST /{} ", "x".repeat(15_900)).into_bytes(), Vec::new()),
        Crowd::ManyFields => ([head(58, LARGEST_BODY_BYTES), b"b".to_vec()].concat(), Vec::new()),
        Crowd::TooManyFields => (head(2_000, 0), Vec::new()),
        Crowd::UnreadResponses => ([head(0, LARGEST_BODY_BYTES), body].concat(), Vec::new()),
        Crowd::Pipelined => {
            let requests = (0..40).map(|n| request_bytes("pay", &format!("{id}-{n}"), 60_000));
            (requests.collect::<Vec<_>>().concat(), Vec::new())
        }
    }
}

impl CrowdClient {
    fn connect(harness: &Harness, crowd: Crowd, id: &str) -> Option<CrowdClient> {
        let stream = TcpStream::connect_timeout(&harness.addr, Duration::from_millis(200)).ok()?;
        let (at_once, unsent) = crowd_request(crowd, id);
        stream.set_nonblocking(true).unwrap();
        let mut client = CrowdClient { stream, unsent: [at_once.as_slice(), &unsent].concat(), written: 0 };
        client.write_up_to(at_once.len());
        Some(client)
    }

    /// Writes until this many bytes are written or the connection takes no more.
    fn write_up_to(&mut self, end: usize) -> bool {
        while self.written < end.min(self.unsent.len()) {
            match self.stream.write(&self.unsent[self.written..end.min(self.unsent.len())]) {
                Ok(count) => self.written += count,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Whether the node has closed the connection.
    fn is_closed(&self, reads: bool) -> bool {
        let mut buffer = [0; 1024];
        let result = if reads { (&self.stream).read(&mut buffer) } else { self.stream.peek(&mut buffer) };
        match result {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Presses on a node with a crowd of clients, each of which comes again once its connection is closed. Meanwhile usual
/// clients send requests; returns how many of them were served, and how many there were.
fn press(harness: &Harness, crowd: Crowd, clients: usize, duration: Duration) -> (usize, usize) {
    let reads = crowd != Crowd::UnreadResponses && crowd != Crowd::Pipelined;
    let mut crowd_clients: Vec<Option<CrowdClient>> = (0..clients).map(|_| None).collect();
    let (start, mut next_id) = (Instant::now(), 0);
    let addr = harness.addr;
    let usual = std::thread::spawn(move || {
        let (mut served, mut sent) = (0, 0);
        while start.elapsed() < duration {
            std::thread::sleep(Duration::from_millis(20));
            sent += 1;
            served += usize::from(send_usual_request(addr, &format!("usual{sent}")) == Some(200));
        }
        (served, sent)
    });
    while start.elapsed() < duration {
        for client in &mut crowd_clients {
            if client.is_none() {
                next_id += 1;
                *client = CrowdClient::connect(harness, crowd, &format!("c{next_id}"));
            }
            if let Some(open) = client {
                let end = open.written + 3;
                if !open.write_up_to(end) || open.is_closed(reads) {
                    *client = None;
                }
            }
        }
        std::thread::sleep(SLOW_WRITE_INTERVAL);
    }
    usual.join().unwrap()
}

/// Sends a small request with two seconds left on a new connection and returns the response's status.
fn send_usual_request(addr: std::net::SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500))).unwrap();
    stream.write_all(&request_bytes("look", id, 2_000)).ok()?;
    Message::read(&mut BufReader::new(stream)).map(|response| response.status())
}

/// A response with a largest body.
fn long_response() -> &'static str {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGEST_BODY_BYTES}\r\n\r\n");
    (head + &"r".repeat(LARGEST_BODY_BYTES)).leak()
}

fn check_crowd(crowd: Crowd, memory_mb: u64, sockets: usize) {
    let harness = Harness::with_limits(4, json!({"sockets": sockets, "memory_mb": memory_mb}));
    if crowd == Crowd::UnreadResponses {
        harness.set_behavior(Behavior::RespondRaw(long_response(), 1));
    }
    let (served, sent) = press(&harness, crowd, sockets * 9 / 10, PRESSURE_TIME);
    check_peak(&harness, &format!("{crowd:?}"), memory_mb);
    assert!(served * 2 > sent, "{crowd:?}: {served} of {sent} usual requests were served");
}

/// Checks the peak of the whole resident set against the limit.
fn check_peak(harness: &Harness, crowd: &str, memory_mb: u64) {
    let peak_kb = read_peak_memory_kb(harness) as f64;
    let limit_kb = (memory_mb * 1024) as f64 * MAX_RESIDENT_FRACTION;
    eprintln!("{crowd}, {memory_mb} MB: peak {peak_kb} kB of {limit_kb} kB");
    assert!(peak_kb < limit_kb, "{crowd}: {peak_kb} kB of {limit_kb} kB");
}

/// Lets one test run at a time, whether or not the one before failed.
fn run_alone() -> impl Drop {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks each of these crowds with the least memory and the most descriptors that a deployment gives.
fn check_crowds(crowds: &[Crowd]) {
    let _running = run_alone();
    crowds.iter().for_each(|&crowd| check_crowd(crowd, 32, 1_024));
}

// Memory that one crowd has left in pieces must not add up with what the next one takes.
#[test]
fn memory_stays_under_its_limit_while_crowds_follow_one_another() {
    let _running = run_alone();
    let limits = [(32, 256), (32, 1_024), (64, 512), (128, 1_024), (192, 1_024)];
    let check = |(memory_mb, sockets): (u64, usize)| {
        std::thread::spawn(move || {
            let harness = Harness::with_limits(4, json!({"sockets": sockets, "memory_mb": memory_mb}));
            harness.set_behavior(Behavior::RespondRaw(long_response(), 1));
            for crowd in Crowd::ALL.into_iter().chain(Crowd::ALL.into_iter().rev()) {
                press(&harness, crowd, sockets * 9 / 10, Duration::from_millis(700));
                check_peak(&harness, &format!("{sockets} sockets, after {crowd:?}"), memory_mb);
            }
            wait_until("served again", || harness.send_request("look", "after").status() == 200);
        })
    };
    let checks: Vec<_> = limits.into_iter().map(check).collect();
    assert_eq!(checks.into_iter().filter_map(|check| check.join().err()).count(), 0);
}

// The same with responses that never end, or whose head is long.
#[test]
fn memory_stays_under_its_limit_with_servers_that_send_without_end() {
    let _running = run_alone();
    for response in [
        "HTTP/1.1 200 OK\r\n\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-Long: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(30_000)),
        format!("HTTP/1.1 200 OK\r\n{}", "a:\r\n".repeat(4_000)),
    ] {
        let harness = Harness::with_limits(4, json!({"sockets": 1_024, "memory_mb": 32}));
        let times = 200_000 / response.len();
        harness.set_behavior(Behavior::RespondRaw(response.leak(), times));
        press(&harness, Crowd::Pipelined, 500, PRESSURE_TIME);
        check_peak(&harness, "endless responses", 32);
    }
}

#[test]
fn memory_stays_under_its_limit_with_clients_that_write_slowly() {
    check_crowds(&[Crowd::SlowBody, Crowd::SlowHead]);
}

#[test]
fn memory_stays_under_its_limit_with_clients_that_stop() {
    check_crowds(&[Crowd::StoppedBody, Crowd::StoppedHead, Crowd::ManyFields, Crowd::TooManyFields]);
}

#[test]
fn memory_stays_under_its_limit_with_clients_that_do_not_read() {
    check_crowds(&[Crowd::UnreadResponses, Crowd::Pipelined]);
}

/// A request with a largest body.
fn long_request(id: &str, left_ms: u64) -> Vec<u8> {
    let request = String::from_utf8(request_bytes("pay", id, left_ms)).unwrap();
    let body = format!("Content-Length: {LARGEST_BODY_BYTES}\r\n\r\n{}", "b".repeat(LARGEST_BODY_BYTES));
    request.replace("Content-Length: 5\r\n\r\nhello", &body).into_bytes()
}

// A server must not be told more time than the client has left, though the request waited for memory, unread.
#[test]
fn the_wait_for_memory_is_taken_off_the_time_of_a_request() {
    let _running = run_alone();
    let (left_ms, waited_ms) = (10_000, 150);
    let harness = Harness::with_limits(1, json!({"sockets": 256, "memory_mb": 32}));
    harness.set_behavior(Behavior::Hold);
    // More long requests than there is memory for.
    let clients: Vec<_> = (0..80)
        .map(|n| {
            let mut stream = harness.connect();
            stream.write_all(&long_request(&n.to_string(), left_ms)).unwrap();
            BufReader::new(stream)
        })
        .collect();
    std::thread::sleep(Duration::from_millis(waited_ms));
    let sent_at_once = harness.take_requests().len();
    harness.set_behavior(Behavior::Serve);
    for mut client in clients {
        let status = Message::read(&mut client).expect("a response").status();
        assert!([200, 503].contains(&status), "{status}");
    }
    let sent_later = harness.take_requests();
    assert!(sent_at_once > 0 && !sent_later.is_empty(), "{sent_at_once} at once, {} later", sent_later.len());
    for (_, request) in sent_later {
        let told_ms: u64 = request.header("x-remaining-ms").parse().unwrap();
        assert!(told_ms <= left_ms - waited_ms, "told {told_ms} ms");
    }
}

// A whole list of a thousand servers comes again and again, while long requests and responses press on the node.
#[test]
fn memory_stays_under_its_limit_while_long_lists_are_replaced() {
    let _running = run_alone();
    let push = |settings: &mut serde_json::Value| settings["registry-mode"] = json!("push");
    let harness = Harness::with_settings(4, json!({"sockets": 1_024, "memory_mb": 32}), push);
    harness.set_behavior(Behavior::RespondRaw(long_response(), 1));
    let (_, mut watch) = harness.next_watch();
    let members = harness.members.clone();
    let start = Instant::now();
    let lists = std::thread::spawn(move || {
        for revision in 100.. {
            let others = (0..1_000).map(|n| {
                json!({"id": format!("s-{revision}-{n}"), "host_port": "127.0.0.1:9", "locality": "a", "flavor": "f",
                    "cell": n, "phase": "terminating", "size": 1.0, "up_since_ms": 0})
            });
            let members: Vec<_> = members.iter().cloned().chain(others).collect();
            let list = json!({"revision": revision, "complete": true, "members": members});
            write_chunk(&mut watch, &format!("{list}\n"));
            if start.elapsed() > PRESSURE_TIME {
                return revision - 100;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        0
    });
    press(&harness, Crowd::UnreadResponses, 900, PRESSURE_TIME);
    let lists = lists.join().unwrap();
    check_peak(&harness, &format!("{lists} lists"), 32);
    assert!(lists > 10);
}

// One client sends small and unsound requests under ever new names as fast as it can. Others have their responses soon, and
// what the node holds stops growing.
#[test]
fn a_flooding_client_neither_delays_others_nor_grows_memory() {
    let _running = run_alone();
    let harness = Harness::with_limits(2, json!({"sockets": 256, "memory_mb": 32}));
    let flooding = Arc::new(AtomicBool::new(true));
    let (is_on, addr) = (flooding.clone(), harness.addr);
    let flood = std::thread::spawn(move || {
        let mut sent = 0;
        while is_on.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(addr) else { continue };
            stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
            let mut responses = stream.try_clone().unwrap();
            let reader = std::thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
            while is_on.load(Ordering::Relaxed) {
                let requests: Vec<u8> = (0..50)
                    .flat_map(|n| {
                        let id = format!("flood{}", sent + n);
                        match n {
                            49 if sent % 5_000 == 0 => b"POST /none HTTP/9\r\n\r\n".to_vec(),
                            n if n % 2 == 0 => request_bytes_with_key(&id, "look", &id, 60_000),
                            _ => b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
                        }
                    })
                    .collect();
                sent += 50;
                if stream.write_all(&requests).is_err() {
                    break;
                }
            }
            drop(stream);
            let _ = reader.join();
        }
        sent
    });
    let mut slowest = Duration::ZERO;
    let mut peaks_kb = Vec::new();
    for n in 0..300 {
        let sent_at = Instant::now();
        assert_eq!(send_usual_request(addr, &format!("usual{n}")), Some(200));
        slowest = slowest.max(sent_at.elapsed());
        peaks_kb.push(read_peak_memory_kb(&harness));
        std::thread::sleep(Duration::from_millis(10));
    }
    flooding.store(false, Ordering::Relaxed);
    let sent = flood.join().unwrap();
    let (early_kb, late_kb) = (peaks_kb[100], peaks_kb[299]);
    eprintln!(
        "{sent} requests of a flood, slowest of the others {slowest:?}, peak {early_kb} and {late_kb} kB"
    );
    assert!(sent > 1_000 && slowest < Duration::from_millis(500), "{slowest:?}");
    // Two thirds of the time must not bring a further tenth.
    assert!(late_kb < early_kb + early_kb / 10, "{early_kb} kB, later {late_kb} kB");
}
