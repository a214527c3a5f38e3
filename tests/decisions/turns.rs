//! Classes whose requests run in order.

use crate::common::*;
use crate::*;
use woodgap::*;

fn in_order() -> Settings {
    let mut settings = Settings { serial_key_cooldown: 200_000, ..settings() };
    settings.classes[UNSAFE].is_serial_by_key = true;
    settings
}

fn ordered_fleet() -> Node {
    Node::new(in_order(), (0..4).map(member).collect())
}

// Guards against two requests of an in-order key running together: the second waits for the first.
#[test]
fn requests_of_an_in_order_key_take_turns() {
    let mut node = ordered_fleet();
    let first = node.route(1, UNSAFE, 5);
    assert!(node.submit(2, UNSAFE, 5).is_empty(), "held");
    assert!(sent_server(&node.submit(3, UNSAFE, 6)).is_some(), "another key is free");
    assert!(sent_server(&node.submit(4, SAFE, 5)).is_some(), "another class is free");
    assert!(sent_server(&node.end_attempt(1, 0, first, Outcome::Ok)).is_some(), "the second goes at once");
}

// Guards against sending while a timed-out attempt may still run: the key rests.
#[test]
fn a_key_rests_after_doubt() {
    let mut node = ordered_fleet();
    let first = node.route(1, UNSAFE, 5);
    node.submit(2, UNSAFE, 5);
    let actions = node.end_attempt(1, 0, first, Outcome::Reset);
    assert!(is_failed(&actions) && sent_server(&actions).is_none());
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { delay: 200_000, timer } => Some(*timer),
        _ => None,
    });
    node.now += 200_000;
    assert!(sent_server(&node.handle_event(Event::TimerExpired(timer.expect("set")))).is_some());
}

// Guards against an ended request's withdrawn attempt running beside the next one of its key.
#[test]
fn a_lapsed_request_keeps_the_turn_until_its_attempt_is_over() {
    let mut node = ordered_fleet();
    let first = node.route(1, UNSAFE, 5);
    node.submit(2, UNSAFE, 5);
    assert!(sent_server(&node.handle_event(Event::RequestEnded(request_id(1)))).is_none());
    assert!(sent_server(&node.end_attempt(1, 0, first, Outcome::Ok)).is_some());
}

// Guards against answering too late what waits behind a silent server, and against queues without end.
#[test]
fn what_cannot_get_its_turn_in_time_is_refused() {
    let mut node = ordered_fleet();
    node.route(1, UNSAFE, 5);
    let held = (2..40).filter(|&n| !is_refused(&node.submit(n, UNSAFE, 5))).count();
    assert!((1..10).contains(&held), "{held} held");
    let mut refusals = 0;
    while node.now < 101 * SECOND {
        node.now += 100_000;
        refusals += node
            .handle_event(Event::TimerExpired(TimerId(1)))
            .iter()
            .filter(|a| matches!(a, Action::Refuse { .. }))
            .count();
    }
    assert_eq!(refusals, held);
}
