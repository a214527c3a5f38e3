//! The list's clock: watches, and what they bring.

use std::net::TcpListener;
use std::sync::mpsc::channel;

use serde_json::{json, Value};

use crate::site::*;

/// Waits until requests reach the servers in use and no other.
fn until_only(site: &Site, in_use: &[usize]) {
    let mut round = 0;
    until("only the listed servers are used", || {
        round += 1;
        site.requests();
        (0..8).for_each(|n| assert_eq!(site.ask("pay", &format!("{round}-{n}")).status(), 200));
        site.requests().iter().all(|(server, _)| in_use.contains(server))
    });
}

/// A list that leaves out the first server.
fn without_the_first(site: &Site, revision: u64) -> Value {
    json!({"revision": revision, "complete": true, "members": site.members[1..]})
}

#[test]
fn changes_reach_the_node_however_they_are_split_or_indented() {
    let mut site = Site::new(3);
    let mut stream = site.watch_from(41);
    site.members[0]["phase"] = json!("terminating");
    let list = json!({"revision": 43, "complete": false, "members": [site.members[0]]}).to_string() + "\n";
    for part in list.as_bytes().chunks(7) {
        chunk(&mut stream, std::str::from_utf8(part).unwrap());
    }
    until_only(&site, &[1, 2]);
    site.members[1]["phase"] = json!("terminating");
    let list = json!({"revision": 44, "complete": false, "members": [site.members[1]]});
    chunk(&mut stream, "\n");
    for line in serde_json::to_string_pretty(&list).unwrap().split_inclusive('\n') {
        chunk(&mut stream, line);
    }
    until_only(&site, &[2]);
    // A watch that ends is opened anew from the last version.
    drop(stream);
    site.watch_from(44);
}

#[test]
fn a_silent_watch_is_opened_anew_for_the_whole_list_though_tries_are_swallowed() {
    for mode in ["ask", "push"] {
        let site = Site::configured(2, json!({"sockets": 256}), |s| s["registry-mode"] = json!(mode));
        let mut silent = site.watch_from(41);
        chunk(&mut silent, "\n");
        let _swallowed = [site.watch_from(0), site.watch_from(0)];
        let mut stream = site.watch_from(0);
        chunk(&mut stream, &format!("{}\n", without_the_first(&site, 50)));
        until_only(&site, &[1]);
    }
}

// A watch that sends half a list for ever says nothing either.
#[test]
fn a_watch_that_never_ends_its_list_is_given_up() {
    let site = Site::new(2);
    let mut half = site.watch_from(41);
    chunk(&mut half, "\n{\"revision\": 42, ");
    let trickle = std::thread::spawn(move || {
        use std::io::Write;
        while half.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    });
    let mut stream = site.watch_from(0);
    chunk(&mut stream, &format!("{}\n", without_the_first(&site, 50)));
    until_only(&site, &[1]);
    // Its end was the node's.
    trickle.join().unwrap();
}

// Whatever the agent has counts as told from a new process's first moment: the older list of the
// configuration is only for as long as the agent says nothing.
#[test]
fn a_new_process_asks_at_once_for_what_it_does_not_know() {
    let site =
        Site::configured(2, json!({"sockets": 256}), |settings| settings["registry-mode"] = json!("push"));
    let mut stream = site.watch_from(41);
    chunk(&mut stream, &format!("{}\n", without_the_first(&site, 90)));
    until_only(&site, &[1]);
}

// A node that ended on SIGHUP would lose all that it holds; one that kept to the old discovery, or
// asked the new one only for what changed, would not know the servers.
#[test]
fn sighup_moves_the_watch_to_the_discovery_of_the_file() {
    let mut site = Site::new(2);
    let (_, _old) = site.watch();
    site.reload("{\"discovery\": ");
    for again in 0..2 {
        let (tx, watches) = channel();
        // Nobody listens there at first.
        let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        site.config["discovery"] = json!(gone.to_string());
        site.reload(&site.config.to_string());
        site.config["discovery"] = json!(discovery(tx).to_string());
        site.reload(&site.config.to_string());
        let (request, mut stream) = watches.recv_timeout(PATIENCE).expect("a watch at the new place");
        assert!(request.first.contains("index=0 "), "{}", request.first);
        // The old list holds until the new one comes.
        assert_eq!(site.ask("pay", "1").status(), 200);
        let list = json!({"revision": 7, "complete": true, "members": [site.members[again]]});
        chunk(&mut stream, &format!("{list}\n"));
        until_only(&site, &[again]);
    }
    site.signal("-TERM");
    site.signal("-HUP");
    assert!(site.node.wait().unwrap().success());
}
