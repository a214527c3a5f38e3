use super::super::record::DrainRecord;
use super::*;

const SECOND_US: u64 = 1_000_000;
const DRAIN_US: u64 = 1_500_000;

fn request(effect: Effect, end: RequestEnd) -> RequestRecord {
    RequestRecord {
        id: "r".into(),
        effect,
        node: 0,
        time_left_us: SECOND_US,
        written_us: 5 * SECOND_US,
        is_first: true,
        end,
        ended_us: 5 * SECOND_US + 100_000,
    }
}

fn attempt(began_us: u64, ran: bool) -> AttemptRecord {
    let (id, server) = ("r".into(), "s".into());
    AttemptRecord { id, server, began_us, complete_us: began_us, told_us: SECOND_US / 2, ran }
}

fn process(end: ProcessEnd) -> ProcessRecord {
    ProcessRecord {
        node: 0,
        started_us: 0,
        ready_after_us: SECOND_US,
        term_us: None,
        killed_us: 9 * SECOND_US,
        ended_us: 9 * SECOND_US,
        end,
        peak_kb: 20_000,
        memory_mb: 32,
        descriptors: 200,
        max_descriptors: 256,
    }
}

fn answered(status: u16) -> RequestEnd {
    RequestEnd::Answered { status, is_own_body: true }
}

fn rules(requests: Vec<RequestRecord>, attempts: Vec<AttemptRecord>, process: ProcessRecord) -> Vec<Rule> {
    let drains = vec![DrainRecord { node: 0, server: "drained".into(), told_us: SECOND_US }];
    let history = History { requests, attempts, processes: vec![process], drains, hold_ups: Vec::new() };
    find_violations(&history, DRAIN_US).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_sound_run_has_no_violation() {
    let sent = attempt(5 * SECOND_US + 10_000, true);
    for end in [answered(200), answered(502), RequestEnd::Left] {
        let requests = vec![request(Effect::Unsafe, end)];
        assert!(rules(requests, vec![sent.clone()], process(ProcessEnd::Terminated)).is_empty(), "{end:?}");
    }
    // Its node was killed, or the close crossed it.
    let closed = request(Effect::Unsafe, RequestEnd::Closed);
    let killed = || ProcessRecord {
        killed_us: 5 * SECOND_US - 60_000,
        ended_us: 5 * SECOND_US + 50_000,
        ..process(ProcessEnd::Killed)
    };
    assert!(rules(vec![closed.clone()], vec![sent], killed()).is_empty());
    let crossed = RequestRecord { is_first: false, ..closed };
    assert!(rules(vec![crossed.clone()], vec![], process(ProcessEnd::Terminated)).is_empty());
    let again = RequestRecord {
        written_us: 6 * SECOND_US,
        ended_us: 6 * SECOND_US + 100_000,
        ..request(Effect::Unsafe, answered(200))
    };
    let sent_again = attempt(6 * SECOND_US + 10_000, true);
    assert!(rules(vec![crossed, again], vec![sent_again], process(ProcessEnd::Terminated)).is_empty());
    // The node was restarted between two runs and has forgotten the first.
    let attempts = vec![attempt(5 * SECOND_US + 10_000, true), attempt(5 * SECOND_US + 60_000, true)];
    let left = request(Effect::Unsafe, RequestEnd::Left);
    assert!(rules(vec![left], attempts, killed()).is_empty());
}

// A kill excuses what was open between the signal and the end of the process, and nothing before or after.
#[test]
fn a_kill_excuses_only_what_was_open_then() {
    let closed = request(Effect::Unsafe, RequestEnd::Closed);
    for (killed_us, ended_us) in [(6 * SECOND_US, 6 * SECOND_US), (4 * SECOND_US, 4 * SECOND_US + 100_000)] {
        let killed = ProcessRecord { killed_us, ended_us, ..process(ProcessEnd::Killed) };
        assert_eq!(rules(vec![closed.clone()], vec![], killed), [Rule::Lost]);
    }
}

#[test]
fn each_broken_rule_of_a_request_is_found() {
    let sent = || attempt(5 * SECOND_US + 10_000, true);
    let later = || attempt(5 * SECOND_US + 300_000, true);
    let unsafe_request = |end| request(Effect::Unsafe, end);
    let late = RequestRecord { ended_us: 7 * SECOND_US, ..unsafe_request(answered(200)) };
    let foreign = RequestEnd::Answered { status: 200, is_own_body: false };
    let greedy = AttemptRecord { told_us: 2 * SECOND_US, ..sent() };
    let drained = AttemptRecord { server: "drained".into(), ..sent() };
    for (request, attempts, rule) in [
        (unsafe_request(RequestEnd::Unanswered), vec![], Rule::Lost),
        (unsafe_request(RequestEnd::Closed), vec![], Rule::Lost),
        (unsafe_request(RequestEnd::Left), vec![later()], Rule::Lost),
        (RequestRecord { is_first: false, ..unsafe_request(RequestEnd::Closed) }, vec![sent()], Rule::Lost),
        (late, vec![], Rule::Late),
        (unsafe_request(answered(200)), vec![sent(), later()], Rule::RanTwice),
        (unsafe_request(answered(503)), vec![sent()], Rule::RanTwice),
        (unsafe_request(foreign), vec![sent()], Rule::Foreign),
        (unsafe_request(answered(200)), vec![greedy], Rule::ToldTime),
        (unsafe_request(answered(200)), vec![drained], Rule::Drain),
    ] {
        let found = rules(vec![request.clone()], attempts, process(ProcessEnd::Terminated));
        assert_eq!(found, [rule], "{request:?}");
    }
    // A class that is safe to repeat may run twice.
    let safe = request(Effect::Safe, answered(200));
    assert!(rules(vec![safe], vec![sent(), later()], process(ProcessEnd::Terminated)).is_empty());
}

// What was noted while the stand-ins were held up is not judged by its time, only by what it is.
#[test]
fn a_hold_up_of_the_stand_ins_excuses_nothing_but_times() {
    let late = RequestRecord { ended_us: 7 * SECOND_US, ..request(Effect::Unsafe, answered(200)) };
    let twice = vec![attempt(5 * SECOND_US + 10_000, true), attempt(5 * SECOND_US + 20_000, true)];
    let hold_up = HoldUp { from_us: 6 * SECOND_US, to_us: 7 * SECOND_US };
    let mut history = History { requests: vec![late], attempts: twice, ..History::default() };
    let rules = |history: &History| -> Vec<Rule> {
        find_violations(history, DRAIN_US).into_iter().map(|violation| violation.rule).collect()
    };
    assert_eq!(rules(&history), [Rule::Late, Rule::RanTwice]);
    history.hold_ups.push(hold_up);
    assert_eq!(rules(&history), [Rule::RanTwice]);
}

#[test]
fn each_broken_rule_of_a_process_is_found() {
    let healthy = || process(ProcessEnd::Terminated);
    for (process, rule) in [
        (process(ProcessEnd::ByItself("signal 9".into())), Rule::Crash),
        (ProcessRecord { ready_after_us: 11 * SECOND_US, ..healthy() }, Rule::Crash),
        (ProcessRecord { peak_kb: 26_300, ..healthy() }, Rule::Limit),
        (ProcessRecord { descriptors: 257, ..healthy() }, Rule::Limit),
    ] {
        assert_eq!(rules(vec![], vec![], process), [rule]);
    }
}
