//! Ejection, trials and cold servers.

use crate::common::*;
use crate::*;
use woodgap::*;

#[test]
fn a_cold_server_starts_with_few_keys_and_ends_with_its_share() {
    let mut members: Vec<Member> = (0..4).map(member).collect();
    members[0].started_at = 100 * SECOND;
    let mut node = Node::new(settings(), members);
    let part = |node: &mut Node, base: u64| {
        let mut cold = 0;
        for key in 0..1000 {
            let server = node.route(base + key, SAFE, key);
            cold += u32::from(server == ServerId(0));
            node.end_attempt(base + key, 0, server, Outcome::Ok);
        }
        cold
    };
    let at_start = part(&mut node, 0);
    node.now += 11 * SECOND;
    let warm = part(&mut node, 10_000);
    assert!(at_start < warm / 5, "{at_start} of a thousand at first, {warm} when warm");
    assert!(warm > 150);
}

#[test]
fn a_server_that_refuses_connections_is_left_alone_for_a_while() {
    let mut node = Node::with_servers(4);
    let dead = node.route(1, SAFE, 5);
    assert!(sent_server(&node.end_attempt(1, 0, dead, Outcome::ConnectFailed)).is_some());
    assert_ne!(node.route(2, SAFE, 5), dead);
}

#[test]
fn a_silent_server_is_ejected_and_comes_back_by_a_trial() {
    let mut node = Node::with_servers(4);
    let silent = node.route(1, UNSAFE, 5);
    node.advance_time(900_000);
    let other = node.route(2, UNSAFE, 5);
    assert_ne!(other, silent);
    node.end_attempt(2, 0, other, Outcome::Ok);
    node.advance_time(3 * SECOND);
    let trial = node.route(3, SAFE, 5);
    node.end_attempt(1, 0, silent, Outcome::Timeout);
    assert_eq!(trial, silent, "the trial is of work that may be repeated");
    assert_eq!(node.route(4, SAFE, 5), other, "one trial at a time");
    node.end_attempt(4, 0, other, Outcome::Ok);
    node.end_attempt(3, 0, silent, Outcome::Ok);
    node.advance_time(8 * SECOND);
    assert_eq!(node.route(5, UNSAFE, 5), silent);
}

// Guards against feeding a jam for its whole length: 300 nodes that each need several time-outs in a row send
// a jammed server its full part until it is over, as each of them asks it once in seconds.
#[test]
fn in_a_large_group_one_silence_ejects_until_a_request_tries_the_server() {
    // A node that sends 20 requests a second, and its server for a key that has just timed out.
    let after_silence = |group_size: u32| {
        let settings = Settings { group_size, can_probe: true, ..settings() };
        let mut node = Node::new(settings, (0..60).map(member).collect());
        for n in 0..200 {
            let server = node.route(n, SAFE, n);
            node.end_attempt(n, 0, server, Outcome::Ok);
            node.advance_time(if n % 2 == 0 { 100_000 } else { 0 });
        }
        let jammed = node.route(1_000, UNSAFE, 5_000);
        node.now += 300_000;
        node.end_attempt_after(1_000, 0, jammed, Outcome::Timeout, 300_000);
        // Keys of that server that no request has had: one met often would be spread.
        let mut other = Node::with_servers(60);
        let own = (6_000..).filter(|&key| other.route(key, SAFE, key) == jammed).take(4);
        let own: Vec<u64> = own.collect();
        (node, jammed, own)
    };
    let (mut node, jammed, own) = after_silence(2);
    assert_eq!(node.route(2_000, SAFE, own[0]), jammed, "with two nodes one time-out is no proof");

    let (mut node, jammed, own) = after_silence(300);
    let other = node.route(2_000, SAFE, own[0]);
    assert_ne!(other, jammed);
    node.end_attempt(2_000, 0, other, Outcome::Ok);
    let mut probes = 0;
    let mut look = |node: &mut Node, span: Micros| {
        for _ in 0..span / 100_000 {
            node.now += 100_000;
            let actions = node.handle_event(Event::TimerExpired(TimerId(1)));
            probes += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
        }
    };
    // Its next request for one of 60 servers is about three seconds away: for half of that at the least.
    look(&mut node, SECOND);
    assert_ne!(node.route(3_000, SAFE, own[1]), jammed);
    look(&mut node, 10 * SECOND);
    assert_ne!(node.route(3_001, UNSAFE, own[2]), jammed, "what must not run twice does not try it");
    assert_eq!(node.route(3_002, SAFE, own[3]), jammed);
    assert_eq!(probes, 0, "a jammed server answers probes");
}

// Guards against ejecting crowded servers: one that holds requests of ours and makes no further
// connection has no room for it. Ejecting all such servers moves the crowd to the next ones.
#[test]
fn no_connection_at_a_server_that_holds_requests_is_no_death() {
    let mut node = Node::with_servers(4);
    let server = node.route(1, SAFE, 5);
    assert_eq!(node.route(2, SAFE, 5), server);
    let other = sent_server(&node.end_attempt(2, 0, server, Outcome::ConnectFailed)).expect("resent");
    node.end_attempt(2, 1, other, Outcome::Ok);
    node.advance_time(SECOND / 2);
    let mut again = 0;
    for n in 10..200 {
        let target = node.route(n, SAFE, n);
        again += u32::from(target == server);
        node.end_attempt(n, 0, target, Outcome::Ok);
    }
    assert!(again > 0, "it keeps part of its slots");
}

// Guards against pushing over a cold server with what its slots happen to bring, such as the hottest
// key or what walks on from full owners: it has a budget, by what warm servers of its size do.
#[test]
fn a_cold_server_gets_no_more_than_its_budget() {
    let mut node = Node::with_servers(4);
    let owner = node.route(1, UNSAFE, 5);
    node.end_attempt(1, 0, owner, Outcome::Ok);
    node.sync(SyncKind::Delta, vec![Member { started_at: node.now, ..member(owner.0) }]);
    let mut counts = [0u32; 4];
    // Ten seconds: as long as it is cold.
    for n in 0..1_000 {
        node.advance_time(if n % 10 == 0 { 100_000 } else { 0 });
        node.now = node.now.min(110 * SECOND);
        let key = if n % 2 == 0 { 5 } else { n };
        let server = node.route(10 + n, UNSAFE, key);
        counts[server.0 as usize] += 1;
        node.end_attempt(10 + n, 0, server, Outcome::Ok);
    }
    let cold = counts[owner.0 as usize];
    assert!(cold > 20, "it warms with some work: {counts:?}");
    assert!(cold < 1_000 / 4, "{counts:?}");
}

// Guards against a recovery that feeds on itself: servers that come back cold while the rest is jammed were
// sent by what the jam lets through, so the jammed ones kept nearly all of it.
#[test]
fn a_cold_server_is_paced_by_what_the_fleet_served_at_its_best() {
    let to_the_cold_one = |slump: Micros| {
        let mut node = Node::with_servers(10);
        for second in 0..8 {
            answer(&mut node, second * 1_000, 100, Outcome::Ok, 20_000);
            node.advance_time(SECOND);
        }
        node.advance_time(slump);
        node.sync(SyncKind::Delta, vec![Member { started_at: node.now, ..member(10) }]);
        let mut cold = 0;
        for n in 100_000..100_300 {
            let server = node.route(n, SAFE, n);
            cold += u32::from(server == ServerId(10));
            node.end_attempt(n, 0, server, Outcome::Ok);
            if n % 10 == 9 {
                node.advance_time(100_000);
            }
        }
        cold
    };
    let (busy, slump) = (to_the_cold_one(0), to_the_cold_one(30 * SECOND));
    assert!(slump + 1 >= busy, "{slump} after a slump, {busy} without one");
    assert!(busy >= 4, "{busy}");
}

// Guards against a server that fails one class at once and serves the others: on the churn day four of
// eleven failed the worthiest class in 1 to 5 ms, so it drew the more of it, and ejection came and went.
#[test]
fn a_server_that_fails_one_class_keeps_the_others() {
    let mut node = Node::with_servers(10);
    let bad = ServerId(3);
    let (mut errors, mut served) = (0, 0);
    for n in 0..3_000 {
        node.now += 2_000;
        let class = if n % 2 == 0 { UNSAFE } else { SAFE };
        let Some(server) = sent_server(&node.submit(n, class, n / 2)) else { continue };
        let fails = server == bad && class == UNSAFE;
        errors += u32::from(fails);
        served += u32::from(server == bad && !fails);
        node.end_attempt(n, 0, server, if fails { Outcome::Error } else { Outcome::Ok });
    }
    assert!(errors <= 8, "{errors} errors");
    assert!(served > 100, "{served} of the other class");
}

// What was out when a server was ejected tells nothing new: counted, one event would keep it out for
// many times as long.
#[test]
fn one_event_ejects_once() {
    let mut settings = settings();
    settings.can_probe = true;
    let mut node = Node::new(settings, (0..12).map(member).collect());
    let mut out: Vec<(u64, ServerId)> = (0..200).map(|n| (n, node.route(n, UNSAFE, n))).collect();
    out.retain(|o| o.1 == ServerId(3));
    assert!(out.len() > 7, "{}", out.len());
    node.now += SECOND;
    for (n, server) in out {
        node.end_attempt_after(n, 0, server, Outcome::Timeout, SECOND);
    }
    // The longest first ejection, and a look-over more.
    let start = node.now;
    while !node.handle_event(Event::TimerExpired(TimerId(1))).contains(&Action::Probe(ServerId(3))) {
        assert!(node.now < start + 1_200_000, "still out");
        node.now += 100_000;
    }
}
