//! Property tests: the balancer's invariants over random sequences of valid events, as far as a single node
//! can keep them.
//!
//! - Each request gets one final answer, by its deadline, and no attempt is sent after it.
//! - Attempts go only to servers that are in service.
//! - No request runs more often than its semantics allow, and a request is refused only if the client may
//!   safely send it again.
//! - The requests of a serial key run one at a time, in the order of their arrival.
//! - Cold servers are not sent so much that they break down.
//! - A node does not go without a subscription to the server list for too long.
//!
//! The simulated host keeps the state that a host has: attempts in flight, requests that have ended, timers.
//! It simulates no servers: the outcomes of attempts are drawn at random.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use woodgap::*;

// Indexes of classes in `settings()`.
const SAFE: usize = 0;
const UNSAFE: usize = 1;
const DEDUPLICATED: usize = 2;

/// How often the balancer sweeps over its servers.
const SWEEP_PERIOD_US: Micros = 100_000;
/// The timer after which the node subscribes again.
const TIMER_SUBSCRIBE: TimerId = TimerId(2);

/// One step of a random run. `pick` selects one of the attempts in flight or of the open requests; `outcome`
/// and the second number of each of the `servers` select an outcome and a state.
#[derive(Clone, Debug)]
enum Step {
    Submit { class: usize, key: u64, time_left: Micros },
    EndAttempt { pick: usize, outcome: u8 },
    EndRequest { pick: usize },
    SyncList { is_full: bool, servers: Vec<(u32, u8)> },
    SyncFailed,
    EndProbe { server: u32, succeeds: bool },
    AdvanceTime { span: Micros },
}

/// Draws a step, of the frequent kinds more often.
fn draw_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, prop_oneof![0..4u64, 0..40u64], 1..3 * SECOND)
            .prop_map(|(class, key, time_left)| Step::Submit { class, key, time_left }),
        6 => (any::<usize>(), 0..7u8).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::EndRequest { pick }),
        1 => (any::<bool>(), prop::collection::vec((0..12u32, 0..5u8), 0..12))
            .prop_map(|(is_full, servers)| Step::SyncList { is_full, servers }),
        1 => Just(Step::SyncFailed),
        1 => (0..12u32, any::<bool>()).prop_map(|(server, succeeds)| Step::EndProbe { server, succeeds }),
        4 => (1..400_000u64).prop_map(|span| Step::AdvanceTime { span }),
    ]
}

/// What the host knows of an attempt.
struct Attempt {
    member: Member,
    sent_at: Micros,
    times_out_at: Micros,
    /// Whether the attempt may have run; `None` while it is in flight.
    may_have_run: Option<bool>,
}

/// What the host knows of a request.
struct HostRequest {
    class: usize,
    /// The request's key, if its class is serial.
    serial_key: Option<u64>,
    deadline: Micros,
    attempts: Vec<Attempt>,
    is_ended: bool,
}

/// A host that checks each action of its balancer.
struct Host {
    node: Node,
    settings: Settings,
    /// All requests by their number, also those that have ended.
    requests: BTreeMap<u64, HostRequest>,
    /// The latest state of each server that was ever on the list.
    members: BTreeMap<u32, Member>,
    /// Timers by the time at which they expire and the order in which they were set.
    timers: BTreeMap<(Micros, u64), TimerId>,
    /// When the cooldown of each serial key ends.
    cooldown_ends: BTreeMap<u64, Micros>,
    /// The number that was last given to a request or a timer; both are numbered in one sequence.
    last_number: u64,
    /// Number of final answers so far.
    final_answers: u64,
}

impl Host {
    fn new(settings: Settings) -> Self {
        let mut host = Host {
            node: Node { balancer: Balancer::new(settings.clone(), 3), now: 50 * SECOND },
            settings,
            requests: BTreeMap::new(),
            members: BTreeMap::new(),
            timers: BTreeMap::new(),
            cooldown_ends: BTreeMap::new(),
            last_number: 0,
            final_answers: 0,
        };
        host.sync(SyncKind::Cached, (0..6).map(member).collect());
        host
    }

    fn parse_request_number(id: RequestId) -> u64 {
        std::str::from_utf8(&id.0[..20]).unwrap().parse().unwrap()
    }

    fn handle_event(&mut self, event: Event) {
        let actions = self.node.handle_event(event);
        for action in actions {
            self.check_action(action);
        }
    }

    /// Checks an action and carries it out.
    fn check_action(&mut self, action: Action) {
        let now = self.node.now;
        match action {
            Action::Send { id, server, timeout, .. } => {
                let member = self.members.get(&server.0).expect("the server was on the list").clone();
                assert_eq!(member.state, ServerState::InService, "the server is not in service");
                let request_number = Self::parse_request_number(id);
                if let Some(key) = self.requests[&request_number].serial_key {
                    let mut earlier =
                        self.requests.range(..request_number).filter(|(_, r)| r.serial_key == Some(key));
                    assert!(
                        earlier
                            .all(|(_, r)| r.is_ended && r.attempts.iter().all(|a| a.may_have_run.is_some())),
                        "an earlier request of the serial key is not over"
                    );
                    let is_cooling_down = self.cooldown_ends.get(&key).is_some_and(|end| now < *end);
                    let is_first_attempt = self.requests[&request_number].attempts.is_empty();
                    assert!(!is_cooling_down || !is_first_attempt, "the key cools down");
                }
                let request = self.requests.get_mut(&request_number).expect("the request is known");
                assert!(!request.is_ended, "an attempt for a request that has ended");
                assert!(
                    timeout > 0 && now + timeout <= request.deadline,
                    "the timeout is zero or past the deadline"
                );
                assert!(request.attempts.len() < self.settings.max_attempts as usize);
                let is_in_flight = request.attempts.iter().any(|a| a.may_have_run.is_none());
                assert!(!is_in_flight || self.settings.allows_concurrent_attempts, "two attempts at once");
                let first = request.attempts.iter().find(|a| a.may_have_run != Some(false));
                if let Some(first) = first {
                    match self.settings.classes[request.class].semantics {
                        Semantics::Safe => {}
                        Semantics::Unsafe => panic!("an unsafe request may run twice"),
                        Semantics::Deduplicated { scope, ttl } => {
                            assert!(now <= first.sent_at + ttl, "servers no longer drop the repeat");
                            match scope {
                                DedupScope::All => {}
                                DedupScope::Zone => assert_eq!(first.member.zone, member.zone),
                                DedupScope::Cell => assert_eq!(first.member.cell, member.cell),
                            }
                        }
                    }
                }
                request.attempts.push(Attempt {
                    member,
                    sent_at: now,
                    times_out_at: now + timeout,
                    may_have_run: None,
                });
            }
            Action::Refuse { id, .. } => {
                let request =
                    self.requests.get_mut(&Self::parse_request_number(id)).expect("the request is known");
                assert!(!request.is_ended, "a final answer for a request that has ended");
                let may_refuse = match self.settings.classes[request.class].semantics {
                    Semantics::Safe | Semantics::Deduplicated { scope: DedupScope::All, .. } => true,
                    _ => request.attempts.iter().all(|a| a.may_have_run == Some(false)),
                };
                assert!(may_refuse, "a refused request could run twice if the client sends it again");
                request.is_ended = true;
                self.final_answers += 1;
            }
            Action::Fail { id } => {
                let request =
                    self.requests.get_mut(&Self::parse_request_number(id)).expect("the request is known");
                assert!(!request.is_ended, "a final answer for a request that has ended");
                request.is_ended = true;
                self.final_answers += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.can_cancel);
                let request = &self.requests[&Self::parse_request_number(id)];
                assert!((attempt as usize) < request.attempts.len(), "the attempt was never sent");
            }
            Action::SetTimer { delay, timer } => {
                self.last_number += 1;
                self.timers.insert((now + delay, self.last_number), timer);
            }
            Action::Probe(server) => {
                assert!(self.settings.can_probe);
                assert!(self.members.contains_key(&server.0));
            }
            Action::SendMessage { data, .. } => {
                assert!(data.len() <= 256, "the message is too long");
            }
            Action::CloseIdleConnections(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn sync(&mut self, kind: SyncKind, members: Vec<Member>) {
        if kind != SyncKind::Delta {
            // A server that is not on a complete list has been removed.
            self.members.values_mut().for_each(|m| m.state = ServerState::Terminated);
        }
        for member in &members {
            self.members.insert(member.server.0, member.clone());
        }
        self.handle_event(Event::Sync { kind, members });
    }

    /// The attempts in flight: the number of the request and the number of the attempt.
    fn in_flight(&self) -> Vec<(u64, usize)> {
        let in_flight = self.requests.iter().flat_map(|(&request_number, request)| {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.may_have_run.is_none());
            in_flight.map(move |(attempt_number, _)| (request_number, attempt_number))
        });
        in_flight.collect()
    }

    fn end_attempt(&mut self, request_number: u64, attempt_number: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&request_number).unwrap();
        let is_request_done = request.is_ended || outcome == Outcome::Ok;
        request.is_ended = is_request_done;
        let attempt = &mut request.attempts[attempt_number];
        attempt.may_have_run = Some(match outcome {
            Outcome::Full => self.settings.full_may_have_run,
            Outcome::ConnectFailed | Outcome::Moot => false,
            _ => true,
        });
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset);
        if let Some(key) = request.serial_key.filter(|_| may_still_run) {
            self.cooldown_ends.insert(key, self.node.now + self.settings.serial_key_cooldown);
        }
        let (server, elapsed) = (attempt.member.server, self.node.now - attempt.sent_at);
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id: request_id(request_number),
            attempt: attempt_number as u32,
            server,
            outcome,
            elapsed,
            is_request_done,
            load_report: vec![],
        }));
    }

    /// Advances the clock, and runs the timers and timeouts that expire on the way in their order.
    fn advance_time(&mut self, span: Micros) {
        let end = self.node.now + span;
        loop {
            let timer = self.timers.keys().next().copied();
            let times_out_at =
                |request: u64, attempt: usize| self.requests[&request].attempts[attempt].times_out_at;
            let attempts = self.in_flight().into_iter();
            let attempt = attempts.min_by_key(|&(request, attempt)| times_out_at(request, attempt));
            let timeout_at = attempt.map(|(request, attempt)| times_out_at(request, attempt));
            let next_at = timer.map_or(u64::MAX, |(at, _)| at).min(timeout_at.unwrap_or(u64::MAX));
            if next_at > end {
                break;
            }
            self.node.now = self.node.now.max(next_at);
            if timeout_at == Some(next_at) {
                let (request, attempt) = attempt.unwrap();
                self.end_attempt(request, attempt, Outcome::Timeout);
            } else if let Some(timer) = timer.and_then(|key| self.timers.remove(&key)) {
                self.handle_event(Event::TimerExpired(timer));
            }
        }
        self.node.now = end;
        let now = self.node.now;
        assert!(self.requests.values().all(|r| r.is_ended || r.deadline > now), "a final answer is overdue");
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Submit { class, key, time_left } => {
                self.last_number += 1;
                let n = self.last_number;
                let deadline = self.node.now + time_left;
                let serial_key = self.settings.classes[class].is_serial_by_key.then_some(key);
                let new = HostRequest { class, serial_key, deadline, attempts: Vec::new(), is_ended: false };
                self.requests.insert(n, new);
                self.handle_event(Event::Request(Request { time_left, ..request(n, class, key) }));
                let request = &self.requests[&n];
                assert!(
                    request.is_ended || !request.attempts.is_empty() || serial_key.is_some(),
                    "only requests of serial keys are queued"
                );
            }
            Step::EndAttempt { pick, outcome } => {
                let in_flight = self.in_flight();
                if in_flight.is_empty() {
                    return;
                }
                let (request, attempt) = in_flight[pick % in_flight.len()];
                let outcome = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::Timeout,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Ok,
                ][usize::from(outcome)];
                self.end_attempt(request, attempt, outcome);
            }
            Step::EndRequest { pick } => {
                let open: Vec<u64> =
                    self.requests.iter().filter(|(_, r)| !r.is_ended).map(|(n, _)| *n).collect();
                if !open.is_empty() {
                    let n = open[pick % open.len()];
                    self.requests.get_mut(&n).unwrap().is_ended = true;
                    self.handle_event(Event::RequestEnded(request_id(n)));
                }
            }
            Step::SyncList { is_full, servers } => {
                let now = self.node.now;
                let mut members = BTreeMap::new();
                for (server, state) in servers {
                    let state = match state {
                        0 => ServerState::Terminating,
                        1 if !is_full => ServerState::Terminated,
                        _ => ServerState::InService,
                    };
                    let started_at = if server % 3 == 0 { now } else { 0 };
                    members.insert(server, Member { state, started_at, ..member(server) });
                }
                let kind = if is_full { SyncKind::Full } else { SyncKind::Delta };
                self.sync(kind, members.into_values().collect());
            }
            Step::SyncFailed => self.handle_event(Event::Sync { kind: SyncKind::Failed, members: vec![] }),
            Step::EndProbe { server, succeeds } => {
                let outcome = if succeeds { Outcome::Ok } else { Outcome::Timeout };
                let (server, load_report) = (ServerId(server), vec![]);
                self.handle_event(Event::ProbeEnded { server, outcome, elapsed: 1_000, load_report });
            }
            Step::AdvanceTime { span } => self.advance_time(span),
        }
    }
}

/// Runs random steps with these settings and checks each action.
fn check_random_runs(settings: Settings) {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    // The most final answers of a run: a check without final answers would check little.
    let most_final_answers = std::cell::Cell::new(0);
    runner
        .run(&prop::collection::vec(draw_step(), 1..300), |steps| {
            let mut host = Host::new(settings.clone());
            for step in steps {
                host.run_step(step);
            }
            host.advance_time(10 * SECOND);
            assert!(host.requests.values().all(|r| r.is_ended), "a request has not ended");
            most_final_answers.set(most_final_answers.get().max(host.final_answers));
            Ok(())
        })
        .unwrap();
    assert!(most_final_answers.get() > 0, "no run had a final answer");
}

#[test]
fn invariants_hold_with_concurrent_attempts_and_pushed_lists() {
    check_random_runs(settings());
}

#[test]
fn invariants_hold_with_serial_classes_and_full_that_may_have_run() {
    let mut settings = Settings { serial_key_cooldown: 200_000, full_may_have_run: true, ..settings() };
    settings.classes[UNSAFE].is_serial_by_key = true;
    settings.classes[DEDUPLICATED].is_serial_by_key = true;
    settings.classes[DEDUPLICATED].semantics =
        Semantics::Deduplicated { scope: DedupScope::Zone, ttl: SECOND };
    check_random_runs(settings.clone());
    check_random_runs(Settings {
        full_may_have_run: false,
        can_cancel: false,
        allows_concurrent_attempts: false,
        ..settings
    });
}

#[test]
fn invariants_hold_with_single_attempts_probes_and_subscription() {
    check_random_runs(Settings {
        allows_concurrent_attempts: false,
        can_cancel: false,
        can_probe: true,
        discovery_mode: DiscoveryMode::Subscribe,
        group_size: 60,
        ..settings()
    });
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut node = Node::with_servers(9);
        let mut all_actions = Vec::new();
        for n in 0..500 {
            let actions = node.submit(n, (n % 4) as usize, n % 17);
            if let Some(server) = sent_server(&actions) {
                all_actions.extend(node.end_attempt(
                    n,
                    0,
                    server,
                    [Outcome::Ok, Outcome::Full][n as usize % 2],
                ));
            }
            all_actions.extend(actions);
            node.advance_time(50_000);
        }
        all_actions
    };
    assert_eq!(run(), run());
}

// A cold server breaks down when it is sent more than `cold_overload_multiple` times its present capacity,
// which rises evenly during the ramp. The requests to each cold server must stay below that in each window of
// a second, also when most servers are cold at the same time and one key has a fifth of the traffic.
#[test]
fn cold_servers_are_not_overloaded() {
    for (cold_servers, multiple) in [(1, 1.5), (4, 1.5), (8, 1.5), (8, 3.0), (11, 1.5)] {
        let mut members: Vec<Member> = (0..12).map(member).collect();
        members[..cold_servers].iter_mut().for_each(|m| m.started_at = 100 * SECOND);
        let settings = Settings { cold_overload_multiple: multiple, ..settings() };
        let mut node = Node::new(settings.clone(), members);
        for window in 0..9 {
            let requests_per_window = 2_000u64;
            let mut counts = [0u32; 12];
            for n in 0..requests_per_window {
                node.advance_time(if n % 200 == 0 { SWEEP_PERIOD_US } else { 0 });
                let n = window * requests_per_window + n;
                let key = if n.is_multiple_of(5) { 7 } else { n };
                let Some(server) = sent_server(&node.submit(n, SAFE, key)) else { continue };
                counts[server.0 as usize] += 1;
                node.end_attempt(n, 0, server, Outcome::Ok);
            }
            // All servers together receive what they could serve if they were warm. `capacity` is the
            // fraction of its full capacity that a cold server has at the start of the window, the least
            // within the window.
            let capacity = settings.start_capacity + (1.0 - settings.start_capacity) * window as f64 / 10.0;
            let limit = multiple * capacity * requests_per_window as f64 / 12.0;
            for count in &counts[..cold_servers] {
                assert!(
                    f64::from(*count) < limit,
                    "{cold_servers} cold servers, window {window}: {count} requests, limit {limit}"
                );
            }
        }
    }
}

// A subscription that is refused or broken must be requested again after a delay, and well before the node
// has been without one for `max_unsubscribed_time`.
#[test]
fn a_node_requests_a_lost_subscription_again_in_time() {
    let settings = Settings { discovery_mode: DiscoveryMode::Subscribe, group_size: 60, ..settings() };
    let mut node = Node { balancer: Balancer::new(settings.clone(), 9), now: SECOND };
    let mut actions = node.sync(SyncKind::Cached, vec![member(1)]);
    for _ in 0..12 {
        let delay = actions.iter().find_map(|action| match action {
            Action::SetTimer { delay, timer: TIMER_SUBSCRIBE } => Some(*delay),
            _ => None,
        });
        let delay = delay.expect("the node sets a timer to subscribe");
        assert!(delay < settings.max_unsubscribed_time, "{delay}");
        node.now += delay;
        assert_eq!(node.handle_event(Event::TimerExpired(TIMER_SUBSCRIBE)), vec![Action::Subscribe]);
        actions = node.sync(SyncKind::Failed, vec![]);
    }
}
