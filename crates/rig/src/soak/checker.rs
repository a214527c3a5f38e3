//! Checks the history of a run against the rules of the platform's protocol and the operators' terms.

use std::collections::HashMap;
use std::fmt;

use super::record::{
    AttemptRecord, Effect, History, HoldUp, ProcessEnd, ProcessRecord, RequestEnd, RequestRecord,
};

/// How much later than its time a final answer may come.
const ANSWER_GRACE_US: u64 = 500_000;
/// How long after a client's close an attempt may begin.
const LEAVE_GRACE_US: u64 = 100_000;
/// How much more time than the client has left a server may be told.
const TOLD_TIME_SLACK_US: u64 = 150_000;
/// How long after a drain was told an attempt may begin, besides the time of the settings.
const DRAIN_SLACK_US: u64 = 200_000;
/// How late the stand-ins, which share one thread, may note something.
const MEASUREMENT_SLACK_US: u64 = 50_000;
/// How long a process may take to be ready.
const MAX_READY_US: u64 = 10_000_000;
/// The part of the memory limit that a process may reach.
const MAX_RESIDENT_FRACTION: f64 = 0.8;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Every request gets its final answer, and none is sent on for a client that has gone.
    Lost,
    /// The answer comes in time.
    Late,
    /// What must not run twice doesn't, and what ran is not refused.
    RanTwice,
    /// An answer reaches only the client whose request made it.
    Foreign,
    /// Nothing is sent to a server after its drain.
    Drain,
    /// A server is not told more time than the client has left.
    ToldTime,
    /// A process stays under its limits.
    Limit,
    /// A process does not end by itself and is ready in time.
    Crash,
}

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What broke it.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// Returns all violations. `drain_us` is the time within which sends to a draining server have to stop.
pub fn find_violations(history: &History, drain_us: u64) -> Vec<Violation> {
    let mut attempts: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    let mut add = |rule, what: String| violations.push(Violation { rule, what });
    let mut requests: HashMap<&str, Vec<&RequestRecord>> = HashMap::new();
    for request in &history.requests {
        requests.entry(&request.id).or_default().push(request);
    }
    for request in &history.requests {
        // When the client sent the request once more under its id: later attempts are those of the second one.
        let again_us = requests[request.id.as_str()]
            .iter()
            .map(|other| other.written_us)
            .filter(|&written_us| written_us > request.written_us)
            .min();
        let attempts = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let own =
            attempts.iter().filter(|attempt| again_us.is_none_or(|again_us| attempt.began_us < again_us));
        let own: Vec<&AttemptRecord> = own.copied().collect();
        check_answer(request, &own, history, &mut add);
        check_attempts(request, &own, &history.hold_ups, &mut add);
    }
    check_runs(history, &attempts, &mut add);
    check_drains(history, drain_us, &mut add);
    history.processes.iter().for_each(|process| check_process(process, &mut add));
    violations
}

/// Whether a process of the request's node was killed without a warning while the request was open: its client has to repeat
/// the request.
fn was_killed_meanwhile(request: &RequestRecord, processes: &[ProcessRecord]) -> bool {
    processes.iter().any(|process| {
        process.node == request.node
            && process.end == ProcessEnd::Killed
            && process.started_us <= request.written_us
            && process.ended_us + MEASUREMENT_SLACK_US >= request.written_us
            && process.killed_us <= request.ended_us
    })
}

/// Whether a process of the node ended between two times: the next one has forgotten all requests.
fn was_restarted_between(node: usize, from_us: u64, to_us: u64, processes: &[ProcessRecord]) -> bool {
    processes.iter().any(|process| process.node == node && (from_us..to_us).contains(&process.ended_us))
}

fn check_answer(
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
    history: &History,
    add: &mut impl FnMut(Rule, String),
) {
    let answer_by_us = request.written_us + request.time_left_us + ANSWER_GRACE_US + MEASUREMENT_SLACK_US;
    match request.end {
        RequestEnd::Answered { .. }
            if request.ended_us > answer_by_us
                && !was_held_up(request.written_us, request.ended_us, &history.hold_ups) =>
        {
            add(Rule::Late, format!("answered too late: {request:?}"));
        }
        RequestEnd::Answered { status: 200, is_own_body: false } => {
            add(Rule::Foreign, format!("another body than the request's: {request:?}"));
        }
        RequestEnd::Answered { .. } | RequestEnd::Left => {}
        RequestEnd::Closed | RequestEnd::Unanswered if was_killed_meanwhile(request, &history.processes) => {}
        // The close crossed a request that the node had not read; its client sends it once more.
        RequestEnd::Closed if !request.is_first && attempts.is_empty() => {}
        RequestEnd::Closed => add(Rule::Lost, format!("closed without an answer: {request:?}, {attempts:?}")),
        RequestEnd::Unanswered => add(Rule::Lost, format!("never answered: {request:?}, {attempts:?}")),
    }
}

/// Whether the stand-ins were held up between two times, so that they noted the later one late.
fn was_held_up(from_us: u64, to_us: u64, hold_ups: &[HoldUp]) -> bool {
    hold_ups.iter().any(|hold_up| hold_up.from_us < to_us && hold_up.to_us > from_us)
}

fn check_attempts(
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
    hold_ups: &[HoldUp],
    add: &mut impl FnMut(Rule, String),
) {
    let noted_in_time =
        attempts.iter().filter(|attempt| !was_held_up(request.written_us, attempt.complete_us, hold_ups));
    for attempt in noted_in_time {
        if request.end == RequestEnd::Left
            && attempt.began_us > request.ended_us + LEAVE_GRACE_US + MEASUREMENT_SLACK_US
        {
            add(Rule::Lost, format!("sent on after its client had gone: {request:?}, {attempts:?}"));
        }
        let answered_us = request.written_us + request.time_left_us;
        let left_us = answered_us.saturating_sub(attempt.began_us);
        if attempt.told_us > left_us + TOLD_TIME_SLACK_US + MEASUREMENT_SLACK_US {
            add(Rule::ToldTime, format!("told more time than is left: {request:?}, {attempt:?}"));
        }
    }
}

/// Checks each id over all requests that had it.
fn check_runs(
    history: &History,
    attempts: &HashMap<&str, Vec<&AttemptRecord>>,
    add: &mut impl FnMut(Rule, String),
) {
    for request in history.requests.iter().filter(|request| request.effect != Effect::Safe) {
        let attempts = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let ran = attempts.iter().filter(|attempt| attempt.ran);
        let ran_us = ran.clone().map(|attempt| attempt.began_us);
        let (first_us, last_us) = (ran_us.clone().min().unwrap_or(0), ran_us.max().unwrap_or(0));
        let is_forgotten = was_restarted_between(request.node, first_us, last_us, &history.processes);
        if ran.clone().count() > 1 && !is_forgotten {
            add(Rule::RanTwice, format!("{request:?}, {attempts:?}"));
        }
        // A refusal of a keyed request is harmless in its group, whether or not it ran.
        let is_refused = request.effect == Effect::Unsafe
            && matches!(request.end, RequestEnd::Answered { status: 429 | 503, .. });
        let open_us = request.written_us..=request.ended_us;
        if is_refused && ran.clone().any(|attempt| open_us.contains(&attempt.complete_us)) {
            add(Rule::RanTwice, format!("refused though it ran: {request:?}, {attempts:?}"));
        }
    }
}

fn check_drains(history: &History, drain_us: u64, add: &mut impl FnMut(Rule, String)) {
    let nodes: HashMap<&str, usize> =
        history.requests.iter().map(|request| (request.id.as_str(), request.node)).collect();
    for drain in &history.drains {
        let late_us = drain.told_us + drain_us + DRAIN_SLACK_US + MEASUREMENT_SLACK_US;
        let late = history.attempts.iter().filter(|attempt| {
            attempt.server == drain.server
                && nodes.get(attempt.id.as_str()) == Some(&drain.node)
                && attempt.began_us > late_us
                && !was_held_up(late_us, attempt.complete_us, &history.hold_ups)
        });
        late.for_each(|attempt| add(Rule::Drain, format!("{attempt:?} after {drain:?}")));
    }
}

fn check_process(process: &ProcessRecord, add: &mut impl FnMut(Rule, String)) {
    if let ProcessEnd::ByItself(_) = process.end {
        add(Rule::Crash, format!("ended by itself: {process:?}"));
    }
    if process.ready_after_us > MAX_READY_US {
        add(Rule::Crash, format!("not ready in time: {process:?}"));
    }
    if process.peak_kb as f64 > process.memory_mb as f64 * 1024.0 * MAX_RESIDENT_FRACTION {
        add(Rule::Limit, format!("memory: {process:?}"));
    }
    if process.descriptors > process.max_descriptors {
        add(Rule::Limit, format!("descriptors: {process:?}"));
    }
}

#[cfg(test)]
mod tests;
