use super::*;
use woodgap::{CellId, ZoneId};

const HOUR_US: Micros = 3_600_000_000;
const NOW: Micros = 1_000 * HOUR_US;

fn member(server: u32, started_at: Micros) -> Member {
    let (zone, cell) = (ZoneId(0), CellId(0));
    Member { server: ServerId(server), zone, cell, state: ServerState::InService, size: 1.0, started_at }
}

#[test]
fn without_a_step_a_start_is_what_discovery_says() {
    assert_eq!(correct_start(NOW - 5, NOW, NOW + MIN_STEP_US - 1), NOW - 5);
    assert_eq!(correct_start(NOW + 5, NOW, NOW), NOW + 5);
}

// Whichever clock was stepped, a server that has just started is cold.
#[test]
fn a_new_server_is_cold_after_a_step_of_any_clock() {
    let second = 1_000_000;
    for (listed, unix_now) in [
        // The node's machine alone, forward and back.
        (NOW - second, NOW + HOUR_US),
        (NOW - second, NOW - HOUR_US),
        // All machines.
        (NOW + HOUR_US - second, NOW + HOUR_US),
        (NOW - HOUR_US - second, NOW - HOUR_US),
    ] {
        let start = correct_start(listed, NOW, unix_now);
        assert!((NOW - second..=NOW).contains(&start), "listed {listed}, wall clock {unix_now}");
    }
}

#[test]
fn a_step_does_not_look_like_a_restart() {
    let mut starts = StartTimes::default();
    let listed = NOW - 10 * HOUR_US;
    for unix_now in [NOW, NOW + HOUR_US, NOW - HOUR_US] {
        let mut members = [member(1, listed), member(2, 0)];
        starts.correct(SyncKind::Full, &mut members, NOW, unix_now);
        assert_eq!([members[0].started_at, members[1].started_at], [listed, 0]);
    }
    starts.correct(SyncKind::Full, &mut [member(3, 7)], NOW, NOW);
    assert_eq!(starts.0.len(), 1);
    let gone = Member { state: ServerState::Terminated, ..member(3, 7) };
    starts.correct(SyncKind::Delta, &mut [gone], NOW, NOW);
    assert!(starts.0.is_empty());
}
