//! Ejection and reinstatement of servers, servers that fail one class, and cold servers.

use crate::common::*;
use crate::*;
use woodgap::*;

#[test]
fn a_cold_server_starts_with_few_keys_and_ends_with_its_full_share() {
    let mut members: Vec<Member> = (0..4).map(member).collect();
    members[0].started_at = 100 * SECOND;
    let mut node = Node::new(settings(), members);
    // How many of 1000 keys go to the server that has just started; `first` is the number of the first
    // request.
    let count_cold = |node: &mut Node, first: u64| {
        let mut cold = 0;
        for key in 0..1000 {
            let server = node.route(first + key, SAFE, key);
            cold += u32::from(server == ServerId(0));
            node.end_attempt(first + key, 0, server, Outcome::Ok);
        }
        cold
    };
    let at_start = count_cold(&mut node, 0);
    node.now += 11 * SECOND;
    let warm = count_cold(&mut node, 10_000);
    assert!(at_start < warm / 5, "{at_start} of 1000 keys at first, {warm} when warm");
    assert!(warm > 150);
}

#[test]
fn a_server_that_refuses_connections_gets_no_requests_for_a_while() {
    let mut node = Node::with_servers(4);
    let unreachable = node.route(1, SAFE, 5);
    assert!(sent_server(&node.end_attempt(1, 0, unreachable, Outcome::ConnectFailed)).is_some());
    assert_ne!(node.route(2, SAFE, 5), unreachable);
}

#[test]
fn a_silent_server_is_ejected_and_reinstated_by_a_trial_request() {
    let mut node = Node::with_servers(4);
    let silent = node.route(1, UNSAFE, 5);
    node.advance_time(900_000);
    let other = node.route(2, UNSAFE, 5);
    assert_ne!(other, silent);
    node.end_attempt(2, 0, other, Outcome::Ok);
    node.advance_time(3 * SECOND);
    let trial = node.route(3, SAFE, 5);
    node.end_attempt(1, 0, silent, Outcome::Timeout);
    assert_eq!(trial, silent, "a request that may run twice is the trial");
    assert_eq!(node.route(4, SAFE, 5), other, "one trial request at a time");
    node.end_attempt(4, 0, other, Outcome::Ok);
    node.end_attempt(3, 0, silent, Outcome::Ok);
    node.advance_time(8 * SECOND);
    assert_eq!(node.route(5, UNSAFE, 5), silent);
}

// In a large group each node sends a server a request only every few seconds. If each of 300 nodes ejected an
// overloaded server only after several timeouts in a row, together they would send it its full share of the
// requests as long as the overload lasts.
#[test]
fn in_a_large_group_one_unanswered_timeout_ejects_a_server_until_a_trial_request() {
    // A node that sends 20 requests a second, a server at which one of its attempts has just timed out, and
    // four keys of that server.
    let node_after_timeout = |group_size: u32| {
        let settings = Settings { group_size, can_probe: true, ..settings() };
        let mut node = Node::new(settings, (0..60).map(member).collect());
        for n in 0..200 {
            let server = node.route(n, SAFE, n);
            node.end_attempt(n, 0, server, Outcome::Ok);
            node.advance_time(if n % 2 == 0 { SWEEP_PERIOD_US } else { 0 });
        }
        let overloaded = node.route(1_000, UNSAFE, 5_000);
        node.now += 300_000;
        node.end_attempt_after(1_000, 0, overloaded, Outcome::Timeout, 300_000);
        // Keys that the node has not seen yet: it would spread one that it has seen often.
        let mut other = Node::with_servers(60);
        let keys = (6_000..).filter(|&key| other.route(key, SAFE, key) == overloaded).take(4);
        let keys: Vec<u64> = keys.collect();
        (node, overloaded, keys)
    };
    let (mut node, overloaded, keys) = node_after_timeout(2);
    assert_eq!(node.route(2_000, SAFE, keys[0]), overloaded, "with two nodes one timeout does not eject");

    let (mut node, overloaded, keys) = node_after_timeout(300);
    let other = node.route(2_000, SAFE, keys[0]);
    assert_ne!(other, overloaded);
    node.end_attempt(2_000, 0, other, Outcome::Ok);
    let mut probes = 0;
    let mut advance_time_and_count_probes = |node: &mut Node, span: Micros| {
        for _ in 0..span / SWEEP_PERIOD_US {
            node.now += SWEEP_PERIOD_US;
            let actions = node.handle_event(Event::TimerExpired(TIMER_SWEEP));
            probes += actions.iter().filter(|action| matches!(action, Action::Probe(_))).count();
        }
    };
    // The node sends each of the 60 servers a request about every three seconds. The ejection lasts at least
    // half as long.
    advance_time_and_count_probes(&mut node, SECOND);
    assert_ne!(node.route(3_000, SAFE, keys[1]), overloaded);
    advance_time_and_count_probes(&mut node, 10 * SECOND);
    assert_ne!(node.route(3_001, UNSAFE, keys[2]), overloaded, "an unsafe request is no trial");
    assert_eq!(node.route(3_002, SAFE, keys[3]), overloaded);
    assert_eq!(probes, 0, "an overloaded server answers probes");
}

// A server that has requests of this node in flight and accepts no further connection has no room for it, but
// is alive. Ejecting such servers would move their load to the next ones.
#[test]
fn a_failed_connection_does_not_eject_a_server_with_requests_in_flight() {
    let mut node = Node::with_servers(4);
    let server = node.route(1, SAFE, 5);
    assert_eq!(node.route(2, SAFE, 5), server);
    let other = sent_server(&node.end_attempt(2, 0, server, Outcome::ConnectFailed)).expect("retried");
    node.end_attempt(2, 1, other, Outcome::Ok);
    node.advance_time(SECOND / 2);
    let mut sent_again = 0;
    for n in 10..200 {
        let target = node.route(n, SAFE, n);
        sent_again += u32::from(target == server);
        node.end_attempt(n, 0, target, Outcome::Ok);
    }
    assert!(sent_again > 0, "the server keeps part of its slots");
}

// A cold server has a budget, derived from what warm servers of its size serve. Without the budget its slots
// could overload it, for example with the hottest key or with requests that full owners have passed on.
#[test]
fn a_cold_server_gets_no_more_than_its_budget() {
    let mut node = Node::with_servers(4);
    let owner = node.route(1, UNSAFE, 5);
    node.end_attempt(1, 0, owner, Outcome::Ok);
    node.sync(SyncKind::Delta, vec![Member { started_at: node.now, ..member(owner.0) }]);
    let mut counts = [0u32; 4];
    // Ten seconds, the whole ramp of the cold server.
    for n in 0..1_000 {
        node.advance_time(if n % 10 == 0 { SWEEP_PERIOD_US } else { 0 });
        node.now = node.now.min(110 * SECOND);
        let key = if n % 2 == 0 { 5 } else { n };
        let server = node.route(10 + n, UNSAFE, key);
        counts[server.0 as usize] += 1;
        node.end_attempt(10 + n, 0, server, Outcome::Ok);
    }
    let cold = counts[owner.0 as usize];
    assert!(cold > 20, "a cold server gets some requests to warm up: {counts:?}");
    assert!(cold < 1_000 / 4, "{counts:?}");
}

// The budget of a cold server follows the highest throughput seen per server. If it followed the present
// throughput, servers that come back cold during an overload would get almost nothing, the overloaded servers
// would keep nearly all requests, and the overload would last.
#[test]
fn a_cold_server_is_paced_by_the_highest_throughput_seen() {
    // How many of 300 requests go to a cold server that joins after an idle time.
    let count_cold = |idle_time: Micros| {
        let mut node = Node::with_servers(10);
        for second in 0..8 {
            submit_for_one_second(&mut node, second * 1_000, 100, Outcome::Ok, 20_000);
            node.advance_time(SECOND);
        }
        node.advance_time(idle_time);
        node.sync(SyncKind::Delta, vec![Member { started_at: node.now, ..member(10) }]);
        let mut cold = 0;
        for n in 100_000..100_300 {
            let server = node.route(n, SAFE, n);
            cold += u32::from(server == ServerId(10));
            node.end_attempt(n, 0, server, Outcome::Ok);
            if n % 10 == 9 {
                node.advance_time(SWEEP_PERIOD_US);
            }
        }
        cold
    };
    let (after_load, after_idle) = (count_cold(0), count_cold(30 * SECOND));
    assert!(after_idle + 1 >= after_load, "{after_idle} after an idle time, {after_load} without one");
    assert!(after_load >= 4, "{after_load} without an idle time");
}

// A server may fail one class at once and serve the others. When four of eleven servers failed the most
// valuable class within 1 to 5 ms, the fast errors drew more of its requests to them, and the servers were
// ejected and reinstated again and again.
#[test]
fn a_server_that_fails_one_class_keeps_the_others() {
    let mut node = Node::with_servers(10);
    let faulty = ServerId(3);
    let (mut errors, mut served) = (0, 0);
    for n in 0..3_000 {
        node.now += 2_000;
        let class = if n % 2 == 0 { UNSAFE } else { SAFE };
        let Some(server) = sent_server(&node.submit(n, class, n / 2)) else { continue };
        let fails = server == faulty && class == UNSAFE;
        errors += u32::from(fails);
        served += u32::from(server == faulty && !fails);
        node.end_attempt(n, 0, server, if fails { Outcome::Error } else { Outcome::Ok });
    }
    assert!(errors <= 8, "{errors} errors");
    assert!(served > 100, "{served} of the other class served");
}

// Attempts that were in flight when their server was ejected tell nothing new. If each of them counted, one
// failure would keep the server ejected for many times as long.
#[test]
fn attempts_sent_before_an_ejection_do_not_prolong_it() {
    let mut settings = settings();
    settings.can_probe = true;
    let mut node = Node::new(settings, (0..12).map(member).collect());
    let mut in_flight: Vec<(u64, ServerId)> = (0..200).map(|n| (n, node.route(n, UNSAFE, n))).collect();
    in_flight.retain(|(_, server)| *server == ServerId(3));
    assert!(in_flight.len() > 7, "{}", in_flight.len());
    node.now += SECOND;
    for (n, server) in in_flight {
        node.end_attempt_after(n, 0, server, Outcome::Timeout, SECOND);
    }
    // The longest duration of a first ejection, and one sweep more.
    let start = node.now;
    while !node.handle_event(Event::TimerExpired(TIMER_SWEEP)).contains(&Action::Probe(ServerId(3))) {
        assert!(node.now < start + 1_200_000, "still ejected");
        node.now += SWEEP_PERIOD_US;
    }
}
