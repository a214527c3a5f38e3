//! Serial classes: the requests of a key run one at a time, in the order of their arrival.

use crate::common::*;
use crate::*;
use woodgap::*;

/// Settings whose class `UNSAFE` is serial.
fn serial_settings() -> Settings {
    let mut settings = Settings { serial_key_cooldown: 200_000, ..settings() };
    settings.classes[UNSAFE].is_serial_by_key = true;
    settings
}

/// A node with these settings, whose list has four servers.
fn serial_node() -> Node {
    Node::new(serial_settings(), (0..4).map(member).collect())
}

// Two requests of a serial key must not run at the same time: the second waits until the first has ended.
#[test]
fn requests_of_a_serial_key_run_one_at_a_time() {
    let mut node = serial_node();
    let first = node.route(1, UNSAFE, 5);
    assert!(node.submit(2, UNSAFE, 5).is_empty(), "queued");
    assert!(sent_server(&node.submit(3, UNSAFE, 6)).is_some(), "another key is not held up");
    assert!(sent_server(&node.submit(4, SAFE, 5)).is_some(), "another class is not held up");
    assert!(sent_server(&node.end_attempt(1, 0, first, Outcome::Ok)).is_some(), "the second is sent at once");
}

// An attempt that timed out or whose connection broke may still be running: the next request of its key waits
// for the cooldown.
#[test]
fn a_serial_key_cools_down_after_an_attempt_that_may_still_run() {
    let mut node = serial_node();
    let first = node.route(1, UNSAFE, 5);
    node.submit(2, UNSAFE, 5);
    let actions = node.end_attempt(1, 0, first, Outcome::Reset);
    assert!(is_failed(&actions) && sent_server(&actions).is_none());
    let timer = actions.iter().find_map(|action| match action {
        Action::SetTimer { delay: 200_000, timer } => Some(*timer),
        _ => None,
    });
    node.now += 200_000;
    assert!(sent_server(&node.handle_event(Event::TimerExpired(timer.expect("cooldown timer")))).is_some());
}

// When a request ends early, its cancelled attempt may still be running. The next request of its key must
// wait until that attempt has ended.
#[test]
fn an_ended_request_holds_its_key_until_its_attempt_ends() {
    let mut node = serial_node();
    let first = node.route(1, UNSAFE, 5);
    node.submit(2, UNSAFE, 5);
    assert!(sent_server(&node.handle_event(Event::RequestEnded(request_id(1)))).is_none());
    assert!(sent_server(&node.end_attempt(1, 0, first, Outcome::Ok)).is_some());
}

// Requests that wait behind a silent server must be refused in time to be served elsewhere, and the queue of
// a key must not grow without bound.
#[test]
fn queued_requests_that_cannot_be_served_in_time_are_refused() {
    let mut node = serial_node();
    node.route(1, UNSAFE, 5);
    let queued = (2..40).filter(|&n| !is_refused(&node.submit(n, UNSAFE, 5))).count();
    assert!((1..10).contains(&queued), "{queued} queued");
    let mut refusals = 0;
    while node.now < 101 * SECOND {
        node.now += SWEEP_PERIOD_US;
        refusals += node
            .handle_event(Event::TimerExpired(TIMER_SWEEP))
            .iter()
            .filter(|action| matches!(action, Action::Refuse { .. }))
            .count();
    }
    assert_eq!(refusals, queued);
}
