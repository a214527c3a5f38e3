//! The limit on requests in flight, tenants' quotas, and which requests are refused.

use crate::common::*;
use crate::*;
use woodgap::*;

// Servers that are sent more than they can do answer all of it late. Late answers must lower the limit on
// requests in flight, and the requests beyond it must be refused at once instead of failing late.
#[test]
fn late_answers_lower_the_in_flight_limit() {
    let mut node = Node::with_servers(10);
    submit_for_one_second(&mut node, 0, 200, Outcome::Ok, 900_000);
    let sent_count = (1000..1100).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count();
    assert!(sent_count < 20, "{sent_count} in flight");
    let mut fast = Node::with_servers(10);
    submit_for_one_second(&mut fast, 0, 200, Outcome::Ok, 100_000);
    let sent_count = (1000..1100).filter(|&n| sent_server(&fast.submit(n, UNSAFE, n)).is_some()).count();
    assert_eq!(sent_count, 100);
}

// Timeouts of a server that answers nothing, or that leaves some requests unanswered, are not a sign of
// overload and must not make the node refuse what the other servers could serve. They lower the limit only
// while a large part of the servers is ejected.
#[test]
fn timeouts_of_one_hung_server_do_not_lower_the_in_flight_limit() {
    // How many of 100 requests are sent after the timeouts of one server. That server answers either its
    // latest request or none, and `ejected_count` other servers are ejected.
    let count_sent = |answers_latest: bool, ejected_count: u32| {
        let mut node = Node::with_servers(10);
        let hung = node.route(0, UNSAFE, 5);
        node.end_attempt(0, 0, hung, Outcome::Ok);
        let mut hung_or_ejected = vec![hung];
        for n in 10_000.. {
            if hung_or_ejected.len() > ejected_count as usize {
                break;
            }
            let server = node.route(n, UNSAFE, n);
            let fails = !hung_or_ejected.contains(&server);
            let actions =
                node.end_attempt(n, 0, server, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
            if let Some(other) = sent_server(&actions) {
                node.end_attempt(n, 1, other, Outcome::Ok);
                hung_or_ejected.push(server);
            }
        }
        node.advance_time(SWEEP_PERIOD_US);
        let sent_to_hung: Vec<u64> =
            (1..200).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)) == Some(hung)).collect();
        let (latest, earlier) = sent_to_hung.split_last().expect("some requests are sent to the hung server");
        assert!(earlier.len() > 5);
        node.now += SECOND / 2;
        if answers_latest {
            node.end_attempt(*latest, 0, hung, Outcome::Ok);
        }
        node.now += SECOND / 2;
        for &n in earlier {
            node.end_attempt_after(n, 0, hung, Outcome::Timeout, SECOND);
        }
        (1000..1100).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count()
    };
    assert_eq!(count_sent(false, 0), 100);
    assert_eq!(count_sent(true, 0), 100);
    assert!(count_sent(false, 4) < 100);
}

// In a large group a node sends each server so few requests that every timeout looks like that of a single
// hung server, even when all servers are overloaded. Timeouts of most servers must lower the limit.
#[test]
fn timeouts_of_most_servers_lower_the_in_flight_limit_in_a_large_group() {
    // How many of 100 requests are sent after `hung_servers` of 60 servers have answered nothing.
    let count_sent = |hung_servers: u64| {
        let mut node = Node::new(Settings { group_size: 100, ..settings() }, (0..60).map(member).collect());
        for n in 0..120 {
            let sent_at = node.now;
            let Some(server) = sent_server(&node.submit(n, UNSAFE, n)) else { continue };
            node.now += 500_000;
            match u64::from(server.0) < hung_servers {
                true => drop(node.end_attempt_after(n, 0, server, Outcome::Timeout, node.now - sent_at)),
                false => drop(node.end_attempt(n, 0, server, Outcome::Ok)),
            }
        }
        (1000..1100).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count()
    };
    assert_eq!(count_sent(2), 100);
    assert_eq!(count_sent(27), 100, "timeouts of fewer than half of the servers do not lower the limit");
    assert!(count_sent(50) < 30, "{} sent", count_sent(50));
}

// Requests must not be refused long after an overload has ended: the limit rises again while answers arrive
// in time.
#[test]
fn the_in_flight_limit_recovers_after_an_overload() {
    let mut node = Node::with_servers(10);
    submit_for_one_second(&mut node, 0, 200, Outcome::Ok, 900_000);
    for second in 1..30 {
        submit_for_one_second(&mut node, second * 1000, 50, Outcome::Ok, 50_000);
        node.advance_time(SECOND);
    }
    assert_eq!(submit_for_one_second(&mut node, 90_000, 50, Outcome::Ok, 50_000), 0);
    let sent_count =
        (100_000..100_030).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count();
    assert_eq!(sent_count, 30);
}

/// Submits `count` requests, numbered from `last_number + 1` and each with a key of its own, answers each at
/// once and runs a sweep after every `requests_per_sweep` of them. Returns how many were refused.
fn count_refusals(node: &mut Node, last_number: &mut u64, count: u64, requests_per_sweep: u64) -> u32 {
    let mut refusals = 0;
    for _ in 0..count {
        *last_number += 1;
        let n = *last_number;
        match sent_server(&node.submit(n, SAFE, n)) {
            Some(server) => drop(node.end_attempt(n, 0, server, Outcome::Ok)),
            None => refusals += 1,
        }
        node.advance_time(if n.is_multiple_of(requests_per_sweep) { SWEEP_PERIOD_US } else { 0 });
    }
    refusals
}

// An overload outlasts its cause. As soon as the list shows that servers are gone, a large group must refuse
// the requests that exceed the part of the quotas that the remaining servers can carry, for the same keys at
// every node.
#[test]
fn a_large_group_admits_what_the_listed_servers_can_carry() {
    // Refusals among 60 requests after `removed` of 60 servers have left the list, and after at least
    // `settling_time` since then.
    let count_refused = |group_size: u32, removed: u32, settling_time: Micros| {
        let tenants = vec![Tenant { quota_per_s: 20.0 * f64::from(group_size) }];
        let settings = Settings { group_size, tenants, ..settings() };
        let mut node = Node::new(settings, (0..60).map(member).collect());
        let mut last_number = 0;
        // A request at each sweep, 10 per second: half of the node's part of the quota.
        let mut submit_15 = |node: &mut Node| count_refusals(node, &mut last_number, 15, 1);
        (0..10).for_each(|_| assert_eq!(submit_15(&mut node), 0));
        node.sync(SyncKind::Full, (removed..60).map(member).collect());
        node.advance_time(SWEEP_PERIOD_US);
        for _ in 0..settling_time / SECOND {
            submit_15(&mut node);
        }
        (0..4).map(|_| submit_15(&mut node)).sum::<u32>()
    };
    let refused = count_refused(100, 36, 0);
    assert!((15..55).contains(&refused), "{refused} of 60 refused");
    assert_eq!(count_refused(3, 36, 0), 0);
    assert_eq!(count_refused(100, 2, 0), 0);
    // The remaining servers carry their part of the quotas once they have cached the keys that moved to them.
    assert_eq!(count_refused(100, 12, 30 * SECOND), 0);
}

// The front end before the nodes may send one of them far more than an even part of the traffic. When a few
// servers leave, such a node (here with five times its even part) must refuse the same fraction as the other
// nodes, not everything above its even part.
#[test]
fn a_node_with_an_uneven_part_of_the_traffic_refuses_only_what_the_removed_servers_carried() {
    let tenants = vec![Tenant { quota_per_s: 2_000.0 }];
    let settings = Settings { group_size: 100, tenants, ..settings() };
    let mut node = Node::new(settings, (0..60).map(member).collect());
    let mut last_number = 0;
    let mut submit_for_second = |node: &mut Node| count_refusals(node, &mut last_number, 100, 10);
    (0..10).for_each(|_| assert_eq!(submit_for_second(&mut node), 0));
    node.sync(SyncKind::Full, (12..60).map(member).collect());
    node.advance_time(SWEEP_PERIOD_US);
    let refused: u32 = (0..3).map(|_| submit_for_second(&mut node)).sum();
    assert!((30..100).contains(&refused), "{refused} of 300 refused with a fifth of the servers gone");
}

// In an overload all nodes must refuse the same keys. If each refused others, every key would be served too
// rarely for the servers to keep it in their caches.
#[test]
fn an_overload_refuses_the_same_keys_at_every_node() {
    // The refused fraction of each of 100 keys at a node with this seed. 500 requests arrive per second, the
    // servers answer 300 of them (three of every five), and an answer takes 3.3 ms for each request in
    // flight.
    let refused_fractions = |seed: u64| -> Vec<f64> {
        let mut node = Node::with_servers(10);
        node.balancer = Balancer::new(settings(), seed);
        node.sync(SyncKind::Cached, (0..10).map(member).collect());
        // Of each key: how many requests were submitted, and how many of them were refused.
        let mut counts = vec![[0.0; 2]; 100];
        let mut in_flight = std::collections::VecDeque::new();
        for n in 0..20_000u64 {
            node.now += 2_000;
            node.advance_time(if n % 50 == 0 { SWEEP_PERIOD_US } else { 0 });
            let key = ((n + 20_000 * seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) % 100;
            counts[key as usize][0] += 1.0;
            match sent_server(&node.submit(n, UNSAFE, key)) {
                Some(server) => in_flight.push_back((n, server)),
                None => counts[key as usize][1] += 1.0,
            }
            if n % 5 < 3 && !in_flight.is_empty() {
                let elapsed = in_flight.len() as u64 * 10_000 / 3;
                let (n, server) = in_flight.pop_front().unwrap();
                node.end_attempt_after(n, 0, server, Outcome::Ok, elapsed);
            }
        }
        counts.iter().map(|[submitted, refused]| refused / submitted).collect()
    };
    let (a, b) = (refused_fractions(1), refused_fractions(2));
    let mean = a.iter().sum::<f64>() / 100.0;
    assert!((0.2..0.8).contains(&mean), "{mean} refused");
    let same_side = a.iter().zip(&b).filter(|(a, b)| (**a > mean) == (**b > mean)).count();
    let decided = a.iter().filter(|fraction| **fraction < 0.1 || **fraction > 0.9).count();
    assert!(decided > 60, "{decided} of 100 keys are nearly always or nearly never refused: {a:?}");
    assert!(same_side > 90, "{same_side} of 100 keys are on the same side of the mean at both: {a:?} {b:?}");
}

// One server that stays full must not lead to refusals: the requests that it rejects go to the next owner,
// and the in-flight limit falls only when that one is full too.
#[test]
fn one_full_server_causes_no_refusals() {
    let mut node = Node::with_servers(10);
    let (full, mut refusals, mut rejections) = (ServerId(3), 0, 0);
    for n in 0..2000 {
        node.now += 2_000;
        let Some(server) = sent_server(&node.submit(n, UNSAFE, n)) else {
            refusals += 1;
            continue;
        };
        if server != full {
            node.end_attempt(n, 0, server, Outcome::Ok);
            continue;
        }
        rejections += 1;
        if let Some(next) = sent_server(&node.end_attempt(n, 0, full, Outcome::Full)) {
            node.end_attempt(n, 1, next, Outcome::Ok);
        }
    }
    assert!(rejections > 5 && refusals == 0, "{rejections} rejected by the server, {refusals} refused");
}

// Clients that retry raise the demand while answers come late. The limit must still fall with the late
// answers, or the servers stay in a state in which every answer is late (incident idb82f5).
#[test]
fn late_answers_lower_the_in_flight_limit_whatever_the_demand() {
    // Requests in flight after 40 s in which every 100 ms one answer comes late and `extra_requests + 1`
    // requests arrive.
    let count_in_flight = |extra_requests: u64| {
        let mut node = Node::with_servers(10);
        let mut n = 0;
        let mut in_flight = std::collections::VecDeque::new();
        for _ in 0..400 {
            for _ in 0..=extra_requests {
                n += 1;
                if let Some(server) = sent_server(&node.submit(n, UNSAFE, n)) {
                    in_flight.push_back((n, server));
                }
            }
            if let Some((oldest, server)) = in_flight.pop_front() {
                node.end_attempt_after(oldest, 0, server, Outcome::Ok, 900_000);
            }
            node.advance_time(SWEEP_PERIOD_US);
        }
        in_flight.len()
    };
    assert!(count_in_flight(20) <= 12, "{} in flight", count_in_flight(20));
}

// A client's retries are not new traffic. If they counted against the tenant's quota, each refusal would put
// more of the tenant's requests over the quota and get more of them refused.
#[test]
fn client_retries_do_not_put_a_tenant_over_its_quota() {
    // Refusals among 200 requests of a tenant. With `marks_retries` three of every four are marked as
    // retries.
    let count_refused = |marks_retries: bool| {
        let tenants = vec![Tenant { quota_per_s: 100.0 }];
        let settings = Settings { tenants, over_quota_worth: 0.1, servers_cache_keys: false, ..settings() };
        let mut node = Node::new(settings, (0..10).map(member).collect());
        let in_flight: Vec<_> = (0..200).map(|n| (n, node.route(n, UNSAFE, n))).collect();
        submit_for_one_second(&mut node, 1_000, 60, Outcome::Ok, 900_000);
        in_flight.into_iter().for_each(|(n, server)| drop(node.end_attempt(n, 0, server, Outcome::Ok)));
        // Nearly as many requests are in flight as the limit allows: there is room only for those within the
        // quota.
        let in_flight: Vec<_> = (2_000..)
            .map_while(|n| sent_server(&node.submit(n, UNSAFE, n)).map(|server| (n, server)))
            .collect();
        assert!(in_flight.len() > 40, "{}", in_flight.len());
        for &(n, server) in &in_flight[..in_flight.len() / 20 + 1] {
            node.end_attempt(n, 0, server, Outcome::Ok);
        }
        let mut refusals = 0;
        for n in 10_000..10_200 {
            let is_client_retry = marks_retries && n % 4 != 0;
            let request = Request { tenant: Some(TenantId(0)), is_client_retry, ..request(n, UNSAFE, n) };
            match sent_server(&node.handle_event(Event::Request(request))) {
                Some(server) => drop(node.end_attempt(n, 0, server, Outcome::Ok)),
                None => refusals += 1,
            }
        }
        refusals
    };
    assert_eq!(count_refused(true), 0);
    assert!(count_refused(false) > 20, "{} refused", count_refused(false));
}
