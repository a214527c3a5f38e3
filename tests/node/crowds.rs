//! Places and memory where many clients want them.

use std::io::{BufReader, Write};

use serde_json::json;

use crate::site::*;

/// Has the system hold the node to so many descriptors.
fn limit_descriptors(site: &Site, most: &str) {
    let (pid, most) = (site.node.id().to_string(), format!("--nofile={most}:"));
    let status = std::process::Command::new("prlimit").args(["--pid", &pid, &most]).status().unwrap();
    assert!(status.success());
}

// Idle clients take every place while discovery is down: descriptors for discovery and servers are not theirs.
#[test]
fn idle_clients_leave_the_way_to_discovery_and_servers_open() {
    let site = Site::with(2, json!({"sockets": 80}));
    limit_descriptors(&site, "80");
    let mut watch = site.watch_from(41);
    chunk(&mut watch, "\n");
    drop(watch);
    let crowd: Vec<_> = (0..100).map(|_| site.dial()).collect();
    until("served", || site.ask("pay", "1").status() == 200);
    // Discovery is back, with one server less.
    let list = json!({"revision": 50, "complete": true, "members": site.members[1..]});
    chunk(&mut site.watch().1, &format!("{list}\n"));
    until("the list is acted on", || {
        site.requests();
        let served = (0..6).filter(|n| site.ask("pay", &format!("2-{n}")).status() == 200).count();
        served > 0 && site.requests().iter().all(|(server, _)| *server == 1)
    });
    drop(crowd);
}

// The system's own limit, lower than the node was told: accepting and dialling fail, and it recovers.
#[test]
fn a_node_without_descriptors_recovers() {
    let site = Site::with(1, json!({"sockets": 4_000}));
    limit_descriptors(&site, "24");
    let crowd: Vec<_> = (0..60)
        .map(|n| {
            let mut stream = site.dial();
            let _ = stream.write_all(&request("look", &format!("c{n}"), 60_000));
            stream
        })
        .collect();
    until("it says so", || site.log.try_iter().any(|line| line.contains("accept failed")));
    drop(crowd);
    until("served again", || site.ask("look", "after").status() == 200);
}

// Places are taken from whoever says nothing, never from one whose request has come and lies unread.
#[test]
fn a_request_that_has_come_keeps_its_connection() {
    // Twelve places.
    let site = Site::with(1, json!({"sockets": 60}));
    for round in 0..4 {
        let mut silent: Vec<_> = (0..12).map(|_| BufReader::new(site.dial())).collect();
        // They are old enough to give way.
        std::thread::sleep(std::time::Duration::from_millis(700));
        let newcomers: Vec<_> = site.stopped(|| {
            let newcomers = (0..6).map(|_| site.dial()).collect();
            for (n, stream) in silent.iter_mut().enumerate() {
                stream.get_mut().write_all(&request("pay", &format!("{round}-{n}"), 60_000)).unwrap();
            }
            newcomers
        });
        // Not all find a socket to a server, but none is closed unanswered.
        for stream in &mut silent {
            assert!([200, 503].contains(&Message::read(stream).expect("an answer").status()));
        }
        drop((silent, newcomers));
        until("all places are free", || site.ask("pay", &format!("free{round}")).status() == 200);
    }
}

/// The most memory that a process has had so far, in kB.
fn peak_kb(site: &Site) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", site.node.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").trim().parse().unwrap()
}

// Floods are bounded: clients that send and go, that send without end behind a request, and answers that never
// end leave the node under half of its limit.
#[test]
fn floods_leave_memory_under_half_of_its_limit() {
    let limit_mb = 48;
    let site = Site::with(1, json!({"sockets": 512, "memory_mb": limit_mb}));
    assert_eq!(site.ask("look", "0").status(), 200);
    let flood = vec![b'x'; 1 << 20];
    let body = format!("Content-Length: 65536\r\n\r\n{}", "b".repeat(65_536));
    let big = String::from_utf8(request("pay", "ID", 2_000))
        .unwrap()
        .replace("Content-Length: 5\r\n\r\nhello", &body);
    for round in 0..6 {
        // An answer without a length that never ends.
        let endless =
            [Does::Hang, Does::Raw("HTTP/1.1 200 OK\r\n\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx", 50_000)];
        site.all_do(endless[round % 2]);
        let held: Vec<_> = (0..120)
            .map(|n| {
                let mut stream = site.dial();
                stream.set_write_timeout(Some(std::time::Duration::from_millis(50))).unwrap();
                let _ = stream.write_all(big.replace("X-Txn: ID", &format!("X-Txn: {round}-{n}")).as_bytes());
                if n % 10 == 0 {
                    let _ = stream.write_all(&flood);
                }
                stream
            })
            .collect();
        drop(held);
    }
    site.all_do(Does::Serve);
    until("served again", || site.ask("look", "after").status() == 200);
    let peak = peak_kb(&site);
    assert!(peak < limit_mb * 1024 / 2, "{peak} kB of {limit_mb} MB");
}

// What the node closes with nothing answered is in its own counts, as the operators count it.
#[test]
fn what_is_closed_unanswered_is_counted() {
    let env = [("RUST_LOG", "woodgap::counts=debug,info"), ("BALANCER_LOG_FORMAT", "json")];
    let site = Site::start(1, json!({"sockets": 256}), |_| {}, &env);
    let mut silent: Vec<_> = (0..3).map(|_| site.dial()).collect();
    let mut answered = BufReader::new(site.dial());
    answered.get_mut().write_all(&request("pay", "1", 60_000)).unwrap();
    assert_eq!(Message::read(&mut answered).unwrap().status(), 200);
    for stream in &mut silent {
        assert_eq!(std::io::Read::read(stream, &mut [0]).unwrap(), 0);
    }
    until("counted", || {
        let counted = |line: String| line.contains("closed_unanswered=3") && line.contains("too_slow=3");
        site.log.try_iter().any(counted)
    });
}
