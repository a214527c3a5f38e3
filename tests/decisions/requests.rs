//! The server that a request is sent to, its timeout, and whether it may be retried or refused.

use crate::common::*;
use crate::*;
use woodgap::*;

#[test]
fn every_node_sends_a_key_to_the_same_server() {
    let (mut a, mut b) = (Node::with_servers(12), Node::new(settings(), (0..12).rev().map(member).collect()));
    b.balancer = Balancer::new(settings(), 77);
    b.sync(SyncKind::Cached, (0..12).rev().map(member).collect());
    for key in 0..200 {
        let server = a.route(key, SAFE, key);
        a.end_attempt(key, 0, server, Outcome::Ok);
        assert_eq!(b.route(key, SAFE, key), server);
        b.end_attempt(key, 0, server, Outcome::Ok);
    }
}

#[test]
fn requests_are_refused_at_once_without_servers() {
    let mut node = Node::new(settings(), vec![]);
    for class in 0..4 {
        assert!(is_refused(&node.submit(class as u64, class, 1)));
    }
    node.sync(SyncKind::Full, vec![member(3)]);
    assert_eq!(node.route(9, SAFE, 1), ServerId(3));
}

#[test]
fn unsafe_requests_are_retried_only_if_they_never_ran() {
    for (outcome, is_retried) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Full, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
    ] {
        let mut node = Node::with_servers(8);
        let server = node.route(1, UNSAFE, 5);
        let actions = node.end_attempt(1, 0, server, outcome);
        assert_eq!(sent_server(&actions).is_some(), is_retried, "{outcome:?}");
        assert_eq!(is_failed(&actions), !is_retried, "{outcome:?}");
        assert!(!is_refused(&actions), "{outcome:?}");
        assert_ne!(sent_server(&actions), Some(server));
    }
}

#[test]
fn requests_deduplicated_per_cell_are_retried_within_the_cell_and_their_time_to_live() {
    let mut node = Node::with_servers(16);
    let first = node.route(1, DEDUP_CELL, 5);
    node.now += 100_000;
    let second = sent_server(&node.end_attempt(1, 0, first, Outcome::Reset)).expect("retried");
    assert_eq!(first.0 / 4, second.0 / 4);
    assert_ne!(first, second);
    node.now += SECOND;
    let actions = node.end_attempt(1, 1, second, Outcome::Reset);
    assert!(is_failed(&actions) && !is_refused(&actions), "{actions:?}");
}

#[test]
fn requests_deduplicated_everywhere_may_be_refused_after_they_may_have_run() {
    let mut node = Node::with_servers(1);
    let first = node.route(1, DEDUP_ALL, 5);
    assert!(is_refused(&node.end_attempt(1, 0, first, Outcome::Reset)));
}

#[test]
fn attempts_never_exceed_their_maximum() {
    let mut node = Node::with_servers(20);
    let mut server = node.route(1, SAFE, 5);
    for attempt in 0..2 {
        server = sent_server(&node.end_attempt(1, attempt, server, Outcome::ConnectFailed)).expect("retried");
    }
    let actions = node.end_attempt(1, 2, server, Outcome::ConnectFailed);
    assert!(is_refused(&actions) && sent_server(&actions).is_none());
}

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut node = Node::with_servers(4);
    let mut draining = member(1);
    draining.state = ServerState::Terminating;
    node.sync(SyncKind::Delta, vec![draining]);
    for key in 0..300 {
        let server = node.route(key, SAFE, key);
        assert_ne!(server, ServerId(1));
        node.end_attempt(key, 0, server, Outcome::Ok);
    }
    node.sync(SyncKind::Full, vec![member(2)]);
    for key in 300..400 {
        let server = node.route(key, SAFE, key);
        assert_eq!(server, ServerId(2));
        node.end_attempt(key, 0, server, Outcome::Ok);
    }
}

#[test]
fn a_hot_key_is_spread_over_several_owners() {
    let mut node = Node::with_servers(20);
    let mut owners = std::collections::BTreeSet::new();
    for n in 0..600 {
        let key = if n % 3 == 0 { 7 } else { n };
        let server = node.route(n, SAFE, key);
        if key == 7 && n > 300 {
            owners.insert(server);
        }
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    assert!(owners.len() >= 4, "{owners:?}");
}

// A large server owns more slots, so a hot key reaches it in proportion to its size. If the owner were also
// drawn by size among those found, the size would count twice and large servers would be overloaded.
#[test]
fn hot_keys_load_each_server_in_proportion_to_its_size() {
    let size_of = |n: u32| if n.is_multiple_of(3) { 4.5 } else { 1.5 };
    let members = (0..60).map(|n| Member { size: size_of(n), ..member(n) }).collect();
    let settings = Settings { weight_source: WeightSource::Nominal, ..settings() };
    let mut node = Node::new(settings, members);
    let mut to_large = 0u32;
    let mut counted = 0u32;
    // Each of the 20 hot keys is spread over about nine successive slots, which belong to a part of the
    // servers.
    for n in 0..12_000 {
        let server = node.route(n, SAFE, n % 20);
        node.end_attempt(n, 0, server, Outcome::Ok);
        if n >= 2_000 {
            to_large += u32::from(server.0.is_multiple_of(3));
            counted += 1;
        }
    }
    // 20 servers of size 4.5 and 40 of size 1.5: three fifths go to the large ones. If the size counted
    // twice, four fifths would.
    let fraction = f64::from(to_large) / f64::from(counted);
    assert!((0.52..0.68).contains(&fraction), "{fraction}");
}

// In a large group, most nodes see a key that doubles its owner's load only a few times in ten seconds. They
// must spread such a key after four requests, or a few keys overload their owners.
#[test]
fn a_node_of_a_large_group_spreads_a_key_after_four_requests() {
    let settings = Settings { group_size: 300, ..settings() };
    let owner_at_node = |seed: u64| {
        let mut node = Node::new(settings.clone(), vec![]);
        node.balancer = Balancer::new(settings.clone(), seed);
        node.sync(SyncKind::Full, (0..150).map(member).collect());
        for n in 0..400 {
            let key = if n % 100 == 50 { 7 } else { 1_000 + n };
            let server = node.route(n, SAFE, key);
            node.end_attempt(n, 0, server, Outcome::Ok);
        }
        node.route(400, SAFE, 7)
    };
    let owners: std::collections::BTreeSet<_> = (0..40).map(owner_at_node).collect();
    assert!(owners.len() >= 8, "{owners:?}");
}

// A node of a large group that has just started cannot tell which keys are hot. It must spread all keys at
// first, or a hundred such nodes send their first requests for a key to one owner. Later a rare key has a
// single owner again.
#[test]
fn started_nodes_of_a_large_group_spread_their_first_requests() {
    // The server to which a node sends its first request for a key, after `earlier_requests` for other keys.
    let owner_at_node = |seed: u64, group_size: u32, earlier_requests: u64| {
        let mut node = Node::new(Settings { group_size, ..settings() }, vec![]);
        node.balancer = Balancer::new(Settings { group_size, ..settings() }, seed);
        node.sync(SyncKind::Full, (0..60).map(member).collect());
        for n in 0..earlier_requests {
            let server = node.route(n, SAFE, 1_000 + n);
            node.end_attempt(n, 0, server, Outcome::Ok);
        }
        node.route(9_999, SAFE, 7)
    };
    let count_owners = |group_size: u32, earlier_requests: u64| {
        let owners: std::collections::BTreeSet<_> =
            (0..100).map(|seed| owner_at_node(seed, group_size, earlier_requests)).collect();
        owners.len()
    };
    assert!(count_owners(100, 0) >= 5, "{} owners", count_owners(100, 0));
    assert_eq!((count_owners(100, 200), count_owners(3, 0)), (1, 1));
}

#[test]
fn invalid_events_are_ignored_or_refused() {
    let mut node = Node::with_servers(2);
    assert!(node.end_attempt(1, 0, ServerId(0), Outcome::Ok).is_empty());
    assert!(node.handle_event(Event::RequestEnded(request_id(5))).is_empty());
    let server = node.route(1, SAFE, 5);
    assert!(node.end_attempt(1, 9, server, Outcome::Ok).is_empty());
    assert!(node.submit(1, SAFE, 5).is_empty(), "the id is still in use");
    node.end_attempt(1, 0, server, Outcome::Ok);
    assert!(node.end_attempt(1, 0, server, Outcome::Ok).is_empty());
    assert!(is_refused(&node.submit(2, 99, 5)), "the class is not in the settings");
    node.handle_event(Event::ProbeEnded {
        server: ServerId(99),
        outcome: Outcome::Ok,
        elapsed: 1,
        load_report: vec![],
    });
}

// Where servers may reject work that they have begun, a retry after such a rejection could run a second time.
#[test]
fn full_may_have_run_if_the_settings_say_so() {
    let settings = Settings { full_may_have_run: true, ..settings() };
    let mut node = Node::new(settings, (0..16).map(member).collect());
    let server = node.route(1, UNSAFE, 5);
    let actions = node.end_attempt(1, 0, server, Outcome::Full);
    assert!(is_failed(&actions) && !is_refused(&actions) && sent_server(&actions).is_none());
    let server = node.route(2, DEDUP_CELL, 5);
    let next = sent_server(&node.end_attempt(2, 0, server, Outcome::Full))
        .expect("retried: the servers of the cell drop repeats");
    assert_eq!(next.0 / 4, server.0 / 4);
}

// Retries that come too late to be worth anything prolong an overload. Refusals tell clients to wait for the
// whole deadline, so that they give up, but only if clients respect a wait of that length and a late answer
// is worth nothing.
#[test]
fn retry_after_spans_the_deadline_only_if_a_retry_is_worthless() {
    let retry_after = |late_share: f64, max_retry_after: Micros, sends_retry_after: bool| {
        let mut settings = Settings { sends_retry_after, max_retry_after, ..settings() };
        settings.classes[SAFE].late_share = late_share;
        let actions = Node::new(settings, vec![]).submit(1, SAFE, 5);
        match actions[..] {
            [Action::Refuse { retry_after, .. }] => retry_after,
            _ => panic!("{actions:?}"),
        }
    };
    assert_eq!(retry_after(0.0, 2 * SECOND, true), 2 * SECOND);
    assert_eq!(retry_after(0.0, SECOND, true), 20_000, "clients would retry before the deadline");
    assert_eq!(retry_after(0.2, 2 * SECOND, true), 20_000, "late answers are worth something");
    assert_eq!(retry_after(0.2, 10_000, true), 10_000, "no more than clients respect");
    assert_eq!(retry_after(0.0, 2 * SECOND, false), 0);
}

// An attempt that must be retried within its cell has all the time that is left. After a shorter timeout the
// cell's few other servers would do the slow server's work a second time, since a timeout need not stop the
// first attempt, and the overload would spread.
#[test]
fn attempts_that_must_be_retried_within_their_cell_have_no_shortened_timeout() {
    let timeout_of_class = |class| {
        let actions = Node::with_servers(8).submit(1, class, 5);
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    assert_eq!(timeout_of_class(DEDUP_CELL), Some(SECOND));
    assert_eq!(timeout_of_class(UNSAFE), Some(SECOND));
    let mut node = Node::with_servers(8);
    submit_for_one_second(&mut node, 0, 300, Outcome::Ok, 20_000);
    for n in 1000..1300 {
        let server = node.route(n, SAFE, n);
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    let actions = node.submit(2000, SAFE, 5);
    assert!(matches!(actions[..], [Action::Send { timeout, .. }] if timeout < SECOND / 2), "{actions:?}");
}

// A request that costs a few times the mean costs as much on the next server. Its attempt must time out only
// when an answer has become unlikely, or its work is done twice or never completes.
#[test]
fn a_heavy_request_does_not_time_out_early() {
    let mut node = Node::with_servers(10);
    for n in 0..300 {
        let server = node.route(n, SAFE, n);
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    // The mean answer time of the class is 20 ms by now.
    let actions = node.submit(1000, SAFE, 5);
    assert!(
        matches!(actions[..], [Action::Send { timeout, .. }] if (120_000..400_000).contains(&timeout)),
        "{actions:?}"
    );
}

// Servers drop a deduplicated repeat only for the time to live that counts from the first attempt that may
// have run; a later repeat would run a second time. So each retry states the time within which it must be
// sent: 900 ms here, the time to live of one second less a margin of a tenth.
#[test]
fn deduplicated_retries_must_be_sent_within_their_time_to_live() {
    let send_within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { send_within, .. } => Some(*send_within),
            _ => None,
        })
    };
    for (class, outcome, elapsed) in [
        (DEDUP_ALL, Outcome::Error, 300_000),
        (DEDUP_CELL, Outcome::Reset, 500_000),
        (DEDUP_ALL, Outcome::Timeout, 899_999),
    ] {
        let mut node = Node::with_servers(8);
        let actions = node.submit(1, class, 5);
        assert_eq!(send_within(&actions), Some(None), "nothing has run yet");
        let server = sent_server(&actions).unwrap();
        node.now += elapsed;
        let actions = node.end_attempt_after(1, 0, server, outcome, elapsed);
        assert_eq!(send_within(&actions), Some(Some(900_000 - elapsed)), "{outcome:?}");
    }
    // The time does not count from an attempt that never ran, but from the next one, which may have run.
    let mut node = Node::with_servers(8);
    let first = node.route(1, DEDUP_ALL, 5);
    node.now += 200_000;
    let actions = node.end_attempt_after(1, 0, first, Outcome::Full, 200_000);
    assert_eq!(send_within(&actions), Some(None));
    let second = sent_server(&actions).unwrap();
    node.now += 100_000;
    let actions = node.end_attempt_after(1, 1, second, Outcome::Error, 100_000);
    assert_eq!(send_within(&actions), Some(Some(800_000)));
    // After that time no retry is sent.
    let mut node = Node::with_servers(8);
    let server = node.route(1, DEDUP_ALL, 5);
    node.now += 900_000;
    let actions = node.end_attempt_after(1, 0, server, Outcome::Timeout, 900_000);
    assert!(sent_server(&actions).is_none() && is_refused(&actions), "{actions:?}");
    // Retries of safe requests may be sent at any time.
    let mut node = Node::with_servers(8);
    let server = node.route(1, SAFE, 5);
    assert_eq!(send_within(&node.end_attempt(1, 0, server, Outcome::Error)), Some(None));
}
