//! Where a request goes, and what is lawful.

use crate::common::*;
use crate::*;
use woodgap::*;

#[test]
fn a_key_goes_to_one_server_at_every_node() {
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
fn without_servers_requests_are_refused_at_once() {
    let mut node = Node::new(settings(), vec![]);
    for class in 0..4 {
        assert!(is_refused(&node.submit(class as u64, class, 1)));
    }
    node.sync(SyncKind::Full, vec![member(3)]);
    assert_eq!(node.route(9, SAFE, 1), ServerId(3));
}

#[test]
fn unsafe_is_resent_only_when_it_never_ran() {
    for (outcome, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Full, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
    ] {
        let mut node = Node::with_servers(8);
        let server = node.route(1, UNSAFE, 5);
        let actions = node.end_attempt(1, 0, server, outcome);
        assert_eq!(sent_server(&actions).is_some(), again, "{outcome:?}");
        assert_eq!(is_failed(&actions), !again, "{outcome:?}");
        assert!(!is_refused(&actions), "{outcome:?}");
        assert_ne!(sent_server(&actions), Some(server));
    }
}

#[test]
fn keyed_by_cell_stays_in_its_cell_and_time() {
    let mut node = Node::with_servers(16);
    let first = node.route(1, KEYED_CELL, 5);
    node.now += 100_000;
    let second = sent_server(&node.end_attempt(1, 0, first, Outcome::Reset)).expect("resent");
    assert_eq!(first.0 / 4, second.0 / 4);
    assert_ne!(first, second);
    node.now += SECOND;
    let actions = node.end_attempt(1, 1, second, Outcome::Reset);
    assert!(is_failed(&actions) && !is_refused(&actions), "{actions:?}");
}

#[test]
fn keyed_by_all_may_be_refused_after_it_may_have_run() {
    let mut node = Node::with_servers(1);
    let first = node.route(1, KEYED_ALL, 5);
    assert!(is_refused(&node.end_attempt(1, 0, first, Outcome::Reset)));
}

#[test]
fn attempts_never_pass_their_bound() {
    let mut node = Node::with_servers(20);
    let mut server = node.route(1, SAFE, 5);
    for n in 0..2 {
        server = sent_server(&node.end_attempt(1, n, server, Outcome::ConnectFailed)).expect("resent");
    }
    let actions = node.end_attempt(1, 2, server, Outcome::ConnectFailed);
    assert!(is_refused(&actions) && sent_server(&actions).is_none());
}

#[test]
fn draining_and_removed_servers_get_nothing_new() {
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
    let mut seen = std::collections::BTreeSet::new();
    for n in 0..600 {
        let key = if n % 3 == 0 { 7 } else { n };
        let server = node.route(n, SAFE, key);
        if key == 7 && n > 300 {
            seen.insert(server);
        }
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    assert!(seen.len() >= 4, "{seen:?}");
}

// Guards against sizes that count twice: large servers are met sooner on the walk, and where they are also drawn
// more often among those met, a hot key brings them more than they can do.
#[test]
fn a_hot_key_brings_each_server_what_its_size_is_to_all() {
    let size = |n: u32| if n.is_multiple_of(3) { 4.5 } else { 1.5 };
    let members = (0..60).map(|n| Member { size: size(n), ..member(n) }).collect();
    let settings = Settings { weight_source: WeightSource::Nominal, ..settings() };
    let mut node = Node::new(settings, members);
    let (mut large, mut seen) = (0u32, 0u32);
    // Of 20 hot keys each is to be found on some twenty slots, a fraction of the servers.
    for n in 0..12_000 {
        let server = node.route(n, SAFE, n % 20);
        node.end_attempt(n, 0, server, Outcome::Ok);
        if n >= 2_000 {
            (large, seen) = (large + u32::from(server.0.is_multiple_of(3)), seen + 1);
        }
    }
    // 20 of 4.5 against 40 of 1.5: three fifths. Drawn by size once more it would be four fifths.
    let part = f64::from(large) / f64::from(seen);
    assert!((0.52..0.68).contains(&part), "{part}");
}

// Guards against servers jammed by a few keys: in a large group a key that brings a server as much again as it
// has is met by most nodes a few times in ten seconds.
#[test]
fn a_node_of_a_large_group_spreads_a_key_that_it_met_four_times() {
    let settings = Settings { group_size: 300, ..settings() };
    let owner = |seed: u64| {
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
    let owners: std::collections::BTreeSet<_> = (0..40).map(owner).collect();
    assert!(owners.len() >= 8, "{owners:?}");
}

// Guards against a hundred first sends to one owner: before a node of a large group can tell which keys are
// hot, it spreads those it meets; later on a rare key has one owner again.
#[test]
fn first_sends_of_a_large_group_are_spread() {
    let first = |seed: u64, group_size: u32, met: u64| {
        let mut node = Node::new(Settings { group_size, ..settings() }, vec![]);
        node.balancer = Balancer::new(Settings { group_size, ..settings() }, seed);
        node.sync(SyncKind::Full, (0..60).map(member).collect());
        for n in 0..met {
            let server = node.route(n, SAFE, 1_000 + n);
            node.end_attempt(n, 0, server, Outcome::Ok);
        }
        node.route(9_999, SAFE, 7)
    };
    let owners = |group_size: u32, met: u64| {
        let owners: std::collections::BTreeSet<_> =
            (0..100).map(|seed| first(seed, group_size, met)).collect();
        owners.len()
    };
    assert!(owners(100, 0) >= 5, "{}", owners(100, 0));
    assert_eq!((owners(100, 200), owners(3, 0)), (1, 1));
}

#[test]
fn bad_uses_are_ignored() {
    let mut node = Node::with_servers(2);
    assert!(node.end_attempt(1, 0, ServerId(0), Outcome::Ok).is_empty());
    assert!(node.handle_event(Event::RequestEnded(request_id(5))).is_empty());
    let server = node.route(1, SAFE, 5);
    assert!(node.end_attempt(1, 9, server, Outcome::Ok).is_empty());
    assert!(node.submit(1, SAFE, 5).is_empty(), "an id still held");
    node.end_attempt(1, 0, server, Outcome::Ok);
    assert!(node.end_attempt(1, 0, server, Outcome::Ok).is_empty());
    assert!(is_refused(&node.submit(2, 99, 5)), "a class outside the settings");
    node.handle_event(Event::ProbeEnded {
        server: ServerId(99),
        outcome: Outcome::Ok,
        elapsed: 1,
        load_report: vec![],
    });
}

// Guards against a second effect where servers shed work that they had begun.
#[test]
fn full_is_no_proof_where_the_settings_say_so() {
    let settings = Settings { full_may_have_run: true, ..settings() };
    let mut node = Node::new(settings, (0..16).map(member).collect());
    let server = node.route(1, UNSAFE, 5);
    let actions = node.end_attempt(1, 0, server, Outcome::Full);
    assert!(is_failed(&actions) && !is_refused(&actions) && sent_server(&actions).is_none());
    let server = node.route(2, KEYED_CELL, 5);
    let next = sent_server(&node.end_attempt(2, 0, server, Outcome::Full)).expect("its cell drops repeats");
    assert_eq!(next.0 / 4, server.0 / 4);
}

// Guards against an overload fed by repeats that come too late: they are told to stay away, but only
// where the advice that clients heed ends the request and a late answer is worth nothing.
#[test]
fn clients_are_kept_away_only_where_a_return_is_worthless() {
    let advice = |late_share: f64, heeded: Micros, allowed: bool| {
        let mut settings = Settings { sends_retry_after: allowed, max_retry_after: heeded, ..settings() };
        settings.classes[SAFE].late_share = late_share;
        let actions = Node::new(settings, vec![]).submit(1, SAFE, 5);
        match actions[..] {
            [Action::Refuse { retry_after, .. }] => retry_after,
            _ => panic!("{actions:?}"),
        }
    };
    assert_eq!(advice(0.0, 2 * SECOND, true), 2 * SECOND);
    assert_eq!(advice(0.0, SECOND, true), 20_000, "they would come back");
    assert_eq!(advice(0.2, 2 * SECOND, true), 20_000, "late answers are worth something");
    assert_eq!(advice(0.2, 10_000, true), 10_000, "no more than they heed");
    assert_eq!(advice(0.0, 2 * SECOND, false), 0);
}

// Guards against spreading a jam: an early time-out is resent inside the cell, whose few servers
// then carry the slow one's work a second time, as a time-out need not stop it.
#[test]
fn no_early_time_out_where_a_resend_is_bound_to_a_cell() {
    let limit = |class| {
        let actions = Node::with_servers(8).submit(1, class, 5);
        actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    assert_eq!(limit(KEYED_CELL), Some(SECOND));
    assert_eq!(limit(UNSAFE), Some(SECOND));
    let mut node = Node::with_servers(8);
    answer(&mut node, 0, 300, Outcome::Ok, 20_000);
    for n in 1000..1300 {
        let server = node.route(n, SAFE, n);
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    let actions = node.submit(2000, SAFE, 5);
    assert!(matches!(actions[..], [Action::Send { timeout, .. }] if timeout < SECOND / 2), "{actions:?}");
}

// Guards against work done twice or never: a request a few times heavier than the mean is as heavy on
// the next server, so its attempt is given up only where an answer has become unlikely.
#[test]
fn a_heavy_request_is_not_given_up_early() {
    let mut node = Node::with_servers(10);
    for n in 0..300 {
        let server = node.route(n, SAFE, n);
        node.end_attempt(n, 0, server, Outcome::Ok);
    }
    // The mean is 20 ms by now.
    let actions = node.submit(1000, SAFE, 5);
    assert!(
        matches!(actions[..], [Action::Send { timeout, .. }] if (120_000..400_000).contains(&timeout)),
        "{actions:?}"
    );
}

// Guards against an effect that happens twice: servers drop a keyed repeat only within their window, so a repeat
// says by when it has to be on its way, counted from the first attempt that may have run.
#[test]
fn a_keyed_repeat_has_to_begin_within_its_window() {
    let begin = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { send_within, .. } => Some(*send_within),
            _ => None,
        })
    };
    for (class, outcome, spent) in [
        (KEYED_ALL, Outcome::Error, 300_000),
        (KEYED_CELL, Outcome::Reset, 500_000),
        (KEYED_ALL, Outcome::Timeout, 899_999),
    ] {
        let mut node = Node::with_servers(8);
        let actions = node.submit(1, class, 5);
        assert_eq!(begin(&actions), Some(None), "nothing has run yet");
        let server = sent_server(&actions).unwrap();
        node.now += spent;
        let actions = node.end_attempt_after(1, 0, server, outcome, spent);
        assert_eq!(begin(&actions), Some(Some(900_000 - spent)), "{outcome:?}");
    }
    // One that never ran opens no window; the one after it does.
    let mut node = Node::with_servers(8);
    let first = node.route(1, KEYED_ALL, 5);
    node.now += 200_000;
    let actions = node.end_attempt_after(1, 0, first, Outcome::Full, 200_000);
    assert_eq!(begin(&actions), Some(None));
    let second = sent_server(&actions).unwrap();
    node.now += 100_000;
    let actions = node.end_attempt_after(1, 1, second, Outcome::Error, 100_000);
    assert_eq!(begin(&actions), Some(Some(800_000)));
    // Past it nothing goes out.
    let mut node = Node::with_servers(8);
    let server = node.route(1, KEYED_ALL, 5);
    node.now += 900_000;
    let actions = node.end_attempt_after(1, 0, server, Outcome::Timeout, 900_000);
    assert!(sent_server(&actions).is_none() && is_refused(&actions), "{actions:?}");
    // Safe ones may begin at any time.
    let mut node = Node::with_servers(8);
    let server = node.route(1, SAFE, 5);
    assert_eq!(begin(&node.end_attempt(1, 0, server, Outcome::Error)), Some(None));
}
