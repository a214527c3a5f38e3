//! The registry on drawn commands with fixed seeds, against a model that keeps only what is needed to check it.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use registry::*;

const SEEDS: u64 = 2_000;
const STEPS: u64 = 300;

fn config() -> Config {
    Config { changes: 20, requests: 400, members: 12, request_ms: 20_000, ..Config::default() }
}

fn member(rng: &mut ChaCha8Rng) -> Member {
    let n: u32 = rng.random_range(0..16);
    let text = plain(n, rng.random_range(0..3));
    Member { size: f64::from(rng.random_range(1..4u32)), ..text }
}

fn plain(n: u32, incarnation: u64) -> Member {
    let role = if n < 10 { Role::Server } else { Role::Node };
    Member {
        id: format!("m{n}"),
        role,
        pool: if role == Role::Server { "app".into() } else { "nodes".into() },
        zone: format!("z{}", n % 2),
        host_port: format!("127.0.0.1:{}", 1_000 + n),
        flavor: String::new(),
        cell: 0,
        phase: Phase::InService,
        size: 1.0,
        up_since_ms: 0,
        incarnation,
        program: String::new(),
        config: String::new(),
    }
}

fn command(rng: &mut ChaCha8Rng, state: &State) -> Command {
    let id = format!("m{}", rng.random_range(0..16));
    let expect = match rng.random_range(0..4) {
        0 => Expect::Absent,
        1 => Expect::Revision(state.member(&id).map_or(7, |(_, revision)| revision)),
        _ => Expect::Any,
    };
    match rng.random_range(0..10) {
        0..=3 => {
            let lease_ms = rng.random_bool(0.7).then_some(4_000);
            Command::Put { member: member(rng), lease_ms, expect }
        }
        4 => Command::SetPhase { id, phase: Phase::Terminating, expect },
        5 => Command::Remove { id, expect },
        6 => Command::Renew {
            ids: (0..16).filter(|_| rng.random_bool(0.5)).map(|n| format!("m{n}")).collect(),
        },
        _ => Command::Tick { elapsed_ms: rng.random_range(0..3_000), unix_ms: 0 },
    }
}

/// A watcher that is told changes from where it is.
#[derive(Default)]
struct Watcher {
    has: Revision,
    list: BTreeMap<String, Member>,
}

impl Watcher {
    fn look(&mut self, state: &State) {
        match state.since(self.has, Role::Server, "app") {
            Since::Whole(members) => {
                self.list = members.into_iter().map(|member| (member.id.clone(), member)).collect();
            }
            Since::Changes(changes) => {
                for (member, gone) in changes {
                    if gone {
                        self.list.remove(&member.id);
                    } else {
                        self.list.insert(member.id.clone(), member);
                    }
                }
            }
            Since::Ahead => panic!("ahead at {} of {}", self.has, state.revision()),
        }
        self.has = state.revision();
    }
}

fn servers(state: &State) -> BTreeMap<String, Member> {
    let all = state.members().map(|(member, _)| member);
    all.filter(|member| member.role == Role::Server)
        .map(|member| (member.id.clone(), member.clone()))
        .collect()
}

#[test]
fn revisions_rise_watches_resume_and_request_ids_are_remembered() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut state, mut other) = (State::new(config()), State::new(config()));
        let mut watchers: Vec<Watcher> = (0..4).map(|_| Watcher::default()).collect();
        let mut sent: Vec<(Proposal, Outcome)> = Vec::new();
        for index in 1..=STEPS {
            let again = rng.random_bool(0.1) && !sent.is_empty();
            let (revision, before) = (state.revision(), servers(&state));
            let proposal = match again {
                true => sent[sent.len() - 1].0.clone(),
                false => Proposal { request: format!("q{seed}-{index}"), command: command(&mut rng, &state) },
            };
            let outcome = state.apply(index, &proposal);
            assert_eq!(other.apply(index, &proposal), outcome, "replicas differ at {index} of {seed}");
            if again {
                assert_eq!(outcome, sent[sent.len() - 1].1, "{seed}: {proposal:?} was answered anew");
                assert_eq!((state.revision(), servers(&state)), (revision, before));
            } else {
                if let (Command::Put { expect: Expect::Absent, member, .. }, Outcome::Done { .. }) =
                    (&proposal.command, &outcome)
                {
                    assert!(!before.contains_key(&member.id), "{seed}: made what was there");
                }
                if !matches!(outcome, Outcome::Done { .. }) {
                    assert_eq!(
                        (state.revision(), servers(&state)),
                        (revision, before),
                        "{seed}: {outcome:?} changed"
                    );
                } else {
                    assert!(state.revision() == revision || state.revision() == index, "{seed}");
                }
                sent.push((proposal, outcome));
            }
            // An entry that was applied changes nothing when it comes again.
            let now = (state.revision(), state.now());
            state.apply(index, &sent[0].0);
            assert_eq!((state.revision(), state.now()), now);
            for watcher in &mut watchers {
                if rng.random_bool(0.1) {
                    watcher.look(&state);
                    assert_eq!(
                        watcher.list,
                        servers(&state),
                        "{seed}: a watch from {} lost or doubled",
                        watcher.has
                    );
                }
            }
            assert!(state.members().count() <= 12);
        }
        let ahead = state.since(state.revision() + 1, Role::Server, "app");
        assert_eq!(ahead, Since::Ahead);
    }
}

/// Registers so many servers with leases, then lets time pass in which only some of them are heard of.
fn silence(all: u32, heard: u32) -> (State, usize) {
    let mut state = State::new(Config { members: 100, ..config() });
    let mut index = 0;
    let mut apply = |state: &mut State, command| {
        index += 1;
        state.apply(index, &Proposal { request: String::new(), command })
    };
    for n in 0..all {
        let member = Member { id: format!("m{n}"), role: Role::Server, ..plain(0, 0) };
        apply(&mut state, Command::Put { member, lease_ms: Some(4_000), expect: Expect::Any });
    }
    for _ in 0..20 {
        let ids = (0..heard).map(|n| format!("m{n}")).collect();
        apply(&mut state, Command::Renew { ids });
        apply(&mut state, Command::Tick { elapsed_ms: 1_000, unix_ms: 0 });
    }
    let left = state.members().count();
    (state, left)
}

#[test]
fn a_few_leases_run_out_and_many_at_once_are_held() {
    assert_eq!(silence(10, 9).1, 9);
    assert_eq!(silence(10, 7).1, 7);
    let (mut state, left) = silence(10, 5);
    assert_eq!((left, state.guarded().len()), (10, 1));
    let index = state.applied() + 1;
    let command = Command::Expire { pool: "app".into(), who: "operator".into(), why: "they are gone".into() };
    state.apply(index, &Proposal { request: String::new(), command });
    assert_eq!((state.members().count(), state.guarded().len(), state.revision()), (5, 0, index));
}

#[test]
fn without_room_for_its_id_a_command_is_refused_and_not_carried_out() {
    let mut state = State::new(Config { requests: 3, ..config() });
    let put = |state: &mut State, index: u64| {
        let command = Command::Put { member: plain(index as u32, 0), lease_ms: None, expect: Expect::Any };
        state.apply(index, &Proposal { request: format!("q{index}"), command })
    };
    (1..=3).for_each(|index| assert!(matches!(put(&mut state, index), Outcome::Done { .. })));
    let refused = put(&mut state, 4);
    assert!(matches!(&refused, Outcome::Refused { why } if why.contains("3 ids")), "{refused:?}");
    assert_eq!(state.revision(), 3);
    // Ids are forgotten after their time.
    for index in 5..=15 {
        let command = Command::Tick { elapsed_ms: 2_000, unix_ms: 0 };
        state.apply(index, &Proposal { request: String::new(), command });
    }
    assert_eq!(put(&mut state, 16), Outcome::Done { revision: 16 });
}

#[test]
fn a_leader_that_slept_does_not_take_its_sleep_for_silence() {
    let (mut state, _) = silence(4, 4);
    let index = state.applied() + 1;
    let command = Command::Tick { elapsed_ms: 3_600_000, unix_ms: 0 };
    state.apply(index, &Proposal { request: String::new(), command });
    assert_eq!(state.members().count(), 4);
}

#[test]
fn a_member_that_makes_no_sense_is_refused_with_its_place() {
    let mut state = State::new(config());
    let bad = [
        (Member { host_port: "nowhere".into(), ..plain(1, 0) }, "host_port: expected an address"),
        (Member { id: String::new(), ..plain(1, 0) }, "id: expected a name"),
        (Member { size: -1.0, ..plain(1, 0) }, "size: expected a number above 0"),
        (Member { zone: "z".repeat(300), ..plain(1, 0) }, "zone: expected at most 256 bytes"),
    ];
    for (index, (member, said)) in (1..).zip(bad) {
        let command = Command::Put { member, lease_ms: None, expect: Expect::Any };
        let outcome = state.apply(index, &Proposal { request: String::new(), command });
        assert!(matches!(&outcome, Outcome::Refused { why } if why.contains(said)), "{outcome:?}");
        assert_eq!(state.revision(), 0);
    }
}
