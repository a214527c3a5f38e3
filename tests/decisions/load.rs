//! What the fleet as a whole can do: the limit, refusals, quotas.

use crate::common::*;
use crate::*;
use woodgap::*;

// Guards against jams and late failures: a fleet that is sent more than it can do answers all of it
// late, so what is in flight is held down and the rest refused at once.
#[test]
fn late_answers_hold_down_what_is_in_flight() {
    let mut node = Node::with_servers(10);
    answer(&mut node, 0, 200, Outcome::Ok, 900_000);
    let sent_on = (1000..1100).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count();
    assert!(sent_on < 20, "{sent_on} in flight");
    let mut fresh = Node::with_servers(10);
    answer(&mut fresh, 0, 200, Outcome::Ok, 100_000);
    let sent_on = (1000..1100).filter(|&n| sent_server(&fresh.submit(n, UNSAFE, n)).is_some()).count();
    assert_eq!(sent_on, 100);
}

// Guards against refusing what the fleet could serve: the time-outs of a server that answers nobody,
// or swallows a class, are no sign of too much work, unless a good part of the fleet is out.
#[test]
fn a_hung_server_does_not_hold_the_others_down() {
    let sent_on = |answers_others: bool, lost: u32| {
        let mut node = Node::with_servers(10);
        let slow = node.route(0, UNSAFE, 5);
        node.end_attempt(0, 0, slow, Outcome::Ok);
        let mut out = vec![slow];
        for n in 10_000.. {
            if out.len() > lost as usize {
                break;
            }
            let server = node.route(n, UNSAFE, n);
            let fails = !out.contains(&server);
            let next =
                node.end_attempt(n, 0, server, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
            if let Some(other) = sent_server(&next) {
                node.end_attempt(n, 1, other, Outcome::Ok);
                out.push(server);
            }
        }
        node.advance_time(100_000);
        let asked: Vec<u64> =
            (1..200).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)) == Some(slow)).collect();
        let (last, early) = asked.split_last().expect("some go there");
        assert!(early.len() > 5);
        node.now += SECOND / 2;
        if answers_others {
            node.end_attempt(*last, 0, slow, Outcome::Ok);
        }
        node.now += SECOND / 2;
        for &n in early {
            node.end_attempt_after(n, 0, slow, Outcome::Timeout, SECOND);
        }
        (1000..1100).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count()
    };
    assert_eq!(sent_on(false, 0), 100);
    assert_eq!(sent_on(true, 0), 100);
    assert!(sent_on(false, 4) < 100);
}

// Guards against a jam that no node sees: in a large group a node sends a server so little that each of
// its time-outs looks like a server that hangs, while all servers together have more than they can do.
#[test]
fn silence_of_one_server_after_the_other_holds_down_what_is_in_flight() {
    let sent_on = |hung: u64| {
        let mut node = Node::new(Settings { group_size: 100, ..settings() }, (0..60).map(member).collect());
        for n in 0..120 {
            let asked = node.now;
            let Some(server) = sent_server(&node.submit(n, UNSAFE, n)) else { continue };
            node.now += 500_000;
            match u64::from(server.0) < hung {
                true => drop(node.end_attempt_after(n, 0, server, Outcome::Timeout, node.now - asked)),
                false => drop(node.end_attempt(n, 0, server, Outcome::Ok)),
            }
        }
        (1000..1100).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count()
    };
    assert_eq!(sent_on(2), 100);
    assert_eq!(sent_on(27), 100, "silence of fewer than half of them is no sign against the others");
    assert!(sent_on(50) < 30, "{}", sent_on(50));
}

// Guards against refusing long after the trouble: the limit comes back by itself.
#[test]
fn the_limit_recovers() {
    let mut node = Node::with_servers(10);
    answer(&mut node, 0, 200, Outcome::Ok, 900_000);
    for second in 1..30 {
        answer(&mut node, second * 1000, 50, Outcome::Ok, 50_000);
        node.advance_time(SECOND);
    }
    assert_eq!(answer(&mut node, 90_000, 50, Outcome::Ok, 50_000), 0);
    let sent_on = (100_000..100_030).filter(|&n| sent_server(&node.submit(n, UNSAFE, n)).is_some()).count();
    assert_eq!(sent_on, 30);
}

/// How many of the next requests, each of a key of its own and well answered, are refused. `each` requests to a sweep.
fn refusals(node: &mut Node, n: &mut u64, requests: u64, each: u64) -> u32 {
    let mut refusals = 0;
    for _ in 0..requests {
        *n += 1;
        match sent_server(&node.submit(*n, SAFE, *n)) {
            Some(server) => drop(node.end_attempt(*n, 0, server, Outcome::Ok)),
            None => refusals += 1,
        }
        node.advance_time(if n.is_multiple_of(each) { 100_000 } else { 0 });
    }
    refusals
}

// Guards against jams that outlast their cause: a large group refuses, by the same keys at every node, what
// the quotas exceed the servers that the list leaves it, as soon as the list says so.
#[test]
fn a_large_group_takes_on_what_the_listed_servers_can_do() {
    let refused_part = |group_size: u32, gone: u32, wait: Micros| {
        let tenants = vec![Tenant { quota_per_s: 20.0 * f64::from(group_size) }];
        let settings = Settings { group_size, tenants, ..settings() };
        let mut node = Node::new(settings, (0..60).map(member).collect());
        let mut n = 0;
        let mut second = |node: &mut Node| refusals(node, &mut n, 15, 1);
        (0..10).for_each(|_| assert_eq!(second(&mut node), 0));
        node.sync(SyncKind::Full, (gone..60).map(member).collect());
        node.advance_time(100_000);
        for _ in 0..wait / SECOND {
            second(&mut node);
        }
        (0..4).map(|_| second(&mut node)).sum::<u32>()
    };
    let lost = refused_part(100, 36, 0);
    assert!((15..55).contains(&lost), "{lost} of 60");
    assert_eq!(refused_part(3, 36, 0), 0);
    assert_eq!(refused_part(100, 2, 0), 0);
    // A fleet that stays smaller carries its part of the quotas once the keys have settled.
    assert_eq!(refused_part(100, 12, 30 * SECOND), 0);
}

// Guards against a node that refuses most of what a front brings it where a few servers go: one with five times
// its even part of the traffic loses by the same part as the others.
#[test]
fn a_node_with_more_than_its_even_part_refuses_only_what_the_lost_servers_did() {
    let tenants = vec![Tenant { quota_per_s: 2_000.0 }];
    let settings = Settings { group_size: 100, tenants, ..settings() };
    let mut node = Node::new(settings, (0..60).map(member).collect());
    let mut n = 0;
    let mut second = |node: &mut Node| refusals(node, &mut n, 100, 10);
    (0..10).for_each(|_| assert_eq!(second(&mut node), 0));
    node.sync(SyncKind::Full, (12..60).map(member).collect());
    node.advance_time(100_000);
    let lost: u32 = (0..3).map(|_| second(&mut node)).sum();
    assert!((30..100).contains(&lost), "{lost} of 300 with a fifth of the servers gone");
}

// Guards against forgetting every key in an overload: nodes refuse the same keys, so that servers
// remember the others.
#[test]
fn an_overload_refuses_the_same_keys_at_every_node() {
    // A fleet that does 300 a second is asked for 500; an answer takes as long as its queue is.
    let refused_part = |seed: u64| -> Vec<f64> {
        let mut node = Node::with_servers(10);
        node.balancer = Balancer::new(settings(), seed);
        node.sync(SyncKind::Cached, (0..10).map(member).collect());
        let (mut counts, mut out) = (vec![[0.0; 2]; 100], std::collections::VecDeque::new());
        for n in 0..20_000u64 {
            node.now += 2_000;
            node.advance_time(if n % 50 == 0 { 100_000 } else { 0 });
            let key = ((n + 20_000 * seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) % 100;
            counts[key as usize][0] += 1.0;
            match sent_server(&node.submit(n, UNSAFE, key)) {
                Some(server) => out.push_back((n, server)),
                None => counts[key as usize][1] += 1.0,
            }
            if n % 5 < 3 && !out.is_empty() {
                let spent = out.len() as u64 * 10_000 / 3;
                let (n, server) = out.pop_front().unwrap();
                node.end_attempt_after(n, 0, server, Outcome::Ok, spent);
            }
        }
        counts.iter().map(|[asked, refused]| refused / asked).collect()
    };
    let (a, b) = (refused_part(1), refused_part(2));
    let mean = a.iter().sum::<f64>() / 100.0;
    assert!((0.2..0.8).contains(&mean), "{mean} refused");
    let alike = a.iter().zip(&b).filter(|(a, b)| (**a > mean) == (**b > mean)).count();
    let settled = a.iter().filter(|part| **part < 0.1 || **part > 0.9).count();
    assert!(settled > 60, "{settled} of 100 keys know where they stand: {a:?}");
    assert!(alike > 90, "{alike} of 100 keys fare alike: {a:?} {b:?}");
}

// Guards against refusals for trouble that is known: one server that stays full cuts the limit at
// first, and not again while its slots walk on.
#[test]
fn a_server_known_to_be_full_causes_no_refusals() {
    let mut node = Node::with_servers(10);
    let (full, mut refusals, mut seen) = (ServerId(3), 0, 0);
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
        seen += 1;
        if let Some(next) = sent_server(&node.end_attempt(n, 0, full, Outcome::Full)) {
            node.end_attempt(n, 1, next, Outcome::Ok);
        }
    }
    assert!(seen > 5 && refusals == 0, "{seen} full, {refusals} refused");
}

// Guards against a standstill in which all answers are late (incident idb82f5): clients that try again
// and again raise what is asked, and the limit must still fall by what is answered late.
#[test]
fn late_answers_cut_the_limit_however_much_is_asked() {
    let in_flight = |asked_more: u64| {
        let mut node = Node::with_servers(10);
        let (mut n, mut out) = (0, std::collections::VecDeque::new());
        for _ in 0..400 {
            for _ in 0..=asked_more {
                n += 1;
                if let Some(server) = sent_server(&node.submit(n, UNSAFE, n)) {
                    out.push_back((n, server));
                }
            }
            if let Some((id_out, server)) = out.pop_front() {
                node.end_attempt_after(id_out, 0, server, Outcome::Ok, 900_000);
            }
            node.advance_time(100_000);
        }
        out.len()
    };
    assert!(in_flight(20) <= 12, "{} in flight", in_flight(20));
}

// A client's retries are not new traffic: counted against its tenant's quota, each refusal would put
// more of the tenant beyond its share, and get more of it refused.
#[test]
fn retries_do_not_put_a_tenant_beyond_its_share() {
    let refusals = |repeats: bool| {
        let tenants = vec![Tenant { quota_per_s: 100.0 }];
        let settings = Settings { tenants, over_quota_worth: 0.1, servers_cache_keys: false, ..settings() };
        let mut node = Node::new(settings, (0..10).map(member).collect());
        let held: Vec<_> = (0..200).map(|n| (n, node.route(n, UNSAFE, n))).collect();
        answer(&mut node, 1_000, 60, Outcome::Ok, 900_000);
        held.into_iter().for_each(|(n, server)| drop(node.end_attempt(n, 0, server, Outcome::Ok)));
        // What is in flight is nearly at the limit: there is room for what lies inside the shares.
        let open: Vec<_> = (2_000..)
            .map_while(|n| sent_server(&node.submit(n, UNSAFE, n)).map(|server| (n, server)))
            .collect();
        assert!(open.len() > 40, "{}", open.len());
        for &(n, server) in &open[..open.len() / 20 + 1] {
            node.end_attempt(n, 0, server, Outcome::Ok);
        }
        let mut refusals = 0;
        for n in 10_000..10_200 {
            let repeat = repeats && n % 4 != 0;
            let request =
                Request { tenant: Some(TenantId(0)), is_client_retry: repeat, ..request(n, UNSAFE, n) };
            match sent_server(&node.handle_event(Event::Request(request))) {
                Some(server) => drop(node.end_attempt(n, 0, server, Outcome::Ok)),
                None => refusals += 1,
            }
        }
        refusals
    };
    assert_eq!(refusals(true), 0);
    assert!(refusals(false) > 20, "{}", refusals(false));
}
