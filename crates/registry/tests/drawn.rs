//! The registry's guarantees, checked on random commands with fixed seeds against a second replica and a minimal
//! model: the outcomes that were returned and the lists of a few watchers.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use registry::*;

const SEED_COUNT: u64 = 2_000;
const STEP_COUNT: u64 = 300;

fn config() -> Config {
    Config {
        max_changes: 20,
        max_requests: 400,
        max_members: 12,
        request_memory_ms: 20_000,
        ..Config::default()
    }
}

fn random_member(rng: &mut ChaCha8Rng) -> Member {
    let n: u32 = rng.random_range(0..16);
    let member = plain_member(n, rng.random_range(0..3));
    Member { size: f64::from(rng.random_range(1..4u32)), ..member }
}

fn plain_member(n: u32, incarnation: u64) -> Member {
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

fn random_command(rng: &mut ChaCha8Rng, state: &State) -> Command {
    let id = format!("m{}", rng.random_range(0..16));
    let expect = match rng.random_range(0..4) {
        0 => Expect::Absent,
        1 => Expect::Revision(state.member(&id).map_or(7, |(_, revision)| revision)),
        _ => Expect::Any,
    };
    match rng.random_range(0..10) {
        0..=3 => {
            let lease_ms = rng.random_bool(0.7).then_some(4_000);
            Command::Put { member: random_member(rng), lease_ms, expect }
        }
        4 => Command::SetPhase { id, phase: Phase::Terminating, expect },
        5 => Command::Remove { id, expect },
        6 => Command::Renew {
            ids: (0..16).filter(|_| rng.random_bool(0.5)).map(|n| format!("m{n}")).collect(),
        },
        _ => Command::Tick { elapsed_ms: rng.random_range(0..3_000), unix_ms: 0 },
    }
}

/// A client that keeps its list up to date by the updates since its revision.
#[derive(Default)]
struct Watcher {
    revision: Revision,
    list: BTreeMap<String, Member>,
}

impl Watcher {
    fn update(&mut self, state: &State) {
        match state.updates_since(self.revision, Role::Server, "app") {
            ListUpdate::Full(members) => {
                self.list = members.into_iter().map(|member| (member.id.clone(), member)).collect();
            }
            ListUpdate::Changes(changes) => {
                for (member, is_removed) in changes {
                    if is_removed {
                        self.list.remove(&member.id);
                    } else {
                        self.list.insert(member.id.clone(), member);
                    }
                }
            }
            ListUpdate::Ahead => {
                panic!("the watcher at {} is ahead of {}", self.revision, state.revision())
            }
        }
        self.revision = state.revision();
    }
}

fn servers(state: &State) -> BTreeMap<String, Member> {
    let members = state.members().map(|(member, _)| member);
    members
        .filter(|member| member.role == Role::Server)
        .map(|member| (member.id.clone(), member.clone()))
        .collect()
}

#[test]
fn revisions_increase_watches_resume_and_request_ids_are_remembered() {
    for seed in 0..SEED_COUNT {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut state, mut other) = (State::new(config()), State::new(config()));
        let mut watchers: Vec<Watcher> = (0..4).map(|_| Watcher::default()).collect();
        let mut sent: Vec<(Proposal, Outcome)> = Vec::new();
        for index in 1..=STEP_COUNT {
            let is_retry = rng.random_bool(0.1) && !sent.is_empty();
            let (revision, before) = (state.revision(), servers(&state));
            let proposal = match is_retry {
                true => sent[sent.len() - 1].0.clone(),
                false => Proposal {
                    request: format!("q{seed}-{index}"),
                    command: random_command(&mut rng, &state),
                },
            };
            let outcome = state.apply(index, &proposal);
            assert_eq!(other.apply(index, &proposal), outcome, "seed {seed}: replicas differ at {index}");
            if is_retry {
                let first_outcome = &sent[sent.len() - 1].1;
                assert_eq!(&outcome, first_outcome, "seed {seed}: another outcome for {proposal:?}");
                assert_eq!((state.revision(), servers(&state)), (revision, before));
            } else {
                if let (Command::Put { expect: Expect::Absent, member, .. }, Outcome::Done { .. }) =
                    (&proposal.command, &outcome)
                {
                    assert!(!before.contains_key(&member.id), "seed {seed}: the member was not absent");
                }
                if !matches!(outcome, Outcome::Done { .. }) {
                    assert_eq!(
                        (state.revision(), servers(&state)),
                        (revision, before),
                        "seed {seed}: {outcome:?} changed the members"
                    );
                } else {
                    assert!(state.revision() == revision || state.revision() == index, "seed {seed}");
                }
                sent.push((proposal, outcome));
            }
            // An entry that was applied before changes nothing when it is applied again.
            let applied = (state.revision(), state.now());
            state.apply(index, &sent[0].0);
            assert_eq!((state.revision(), state.now()), applied);
            for watcher in &mut watchers {
                if rng.random_bool(0.1) {
                    watcher.update(&state);
                    assert_eq!(
                        watcher.list,
                        servers(&state),
                        "seed {seed}: wrong list after an update to {}",
                        watcher.revision
                    );
                }
            }
            assert!(state.members().count() <= 12);
        }
        let update = state.updates_since(state.revision() + 1, Role::Server, "app");
        assert_eq!(update, ListUpdate::Ahead);
    }
}

/// Registers `total` servers with leases, then advances time while only `renewing` of them renew their leases.
/// Returns the state and how many members are left.
fn run_with_silent_members(total: u32, renewing: u32) -> (State, usize) {
    let mut state = State::new(Config { max_members: 100, ..config() });
    let mut index = 0;
    let mut apply = |state: &mut State, command| {
        index += 1;
        state.apply(index, &Proposal { request: String::new(), command })
    };
    for n in 0..total {
        let member = Member { id: format!("m{n}"), role: Role::Server, ..plain_member(0, 0) };
        apply(&mut state, Command::Put { member, lease_ms: Some(4_000), expect: Expect::Any });
    }
    for _ in 0..20 {
        let ids = (0..renewing).map(|n| format!("m{n}")).collect();
        apply(&mut state, Command::Renew { ids });
        apply(&mut state, Command::Tick { elapsed_ms: 1_000, unix_ms: 0 });
    }
    let left = state.members().count();
    (state, left)
}

#[test]
fn a_few_leases_expire_but_many_at_once_are_guarded() {
    assert_eq!(run_with_silent_members(10, 9).1, 9);
    assert_eq!(run_with_silent_members(10, 7).1, 7);
    let (mut state, left) = run_with_silent_members(10, 5);
    assert_eq!((left, state.guarded_pools().len()), (10, 1));
    let index = state.applied_index() + 1;
    let (operator, reason) = ("operator".into(), "they are gone".into());
    let command = Command::Expire { pool: "app".into(), operator, reason };
    state.apply(index, &Proposal { request: String::new(), command });
    assert_eq!((state.members().count(), state.guarded_pools().len(), state.revision()), (5, 0, index));
}

#[test]
fn a_command_whose_request_id_cannot_be_remembered_is_refused() {
    let mut state = State::new(Config { max_requests: 3, ..config() });
    let put = |state: &mut State, index: u64| {
        let member = plain_member(index as u32, 0);
        let command = Command::Put { member, lease_ms: None, expect: Expect::Any };
        state.apply(index, &Proposal { request: format!("q{index}"), command })
    };
    (1..=3).for_each(|index| assert!(matches!(put(&mut state, index), Outcome::Done { .. })));
    let refused = put(&mut state, 4);
    assert!(matches!(&refused, Outcome::Refused { reason } if reason.contains("3 ids")), "{refused:?}");
    assert_eq!(state.revision(), 3);
    // Request ids are forgotten after `request_memory_ms`.
    for index in 5..=15 {
        let command = Command::Tick { elapsed_ms: 2_000, unix_ms: 0 };
        state.apply(index, &Proposal { request: String::new(), command });
    }
    assert_eq!(put(&mut state, 16), Outcome::Done { revision: 16 });
}

#[test]
fn a_tick_of_a_suspended_leader_expires_no_leases() {
    let (mut state, _) = run_with_silent_members(4, 4);
    let index = state.applied_index() + 1;
    let command = Command::Tick { elapsed_ms: 3_600_000, unix_ms: 0 };
    state.apply(index, &Proposal { request: String::new(), command });
    assert_eq!(state.members().count(), 4);
}

#[test]
fn an_invalid_member_is_refused_with_the_name_of_the_field() {
    let mut state = State::new(config());
    let invalid = [
        (Member { host_port: "nowhere".into(), ..plain_member(1, 0) }, "host_port: expected an address"),
        (Member { id: String::new(), ..plain_member(1, 0) }, "id: expected a name"),
        (Member { size: -1.0, ..plain_member(1, 0) }, "size: expected a number above 0"),
        (Member { zone: "z".repeat(300), ..plain_member(1, 0) }, "zone: expected at most 256 bytes"),
    ];
    for (index, (member, message)) in (1..).zip(invalid) {
        let command = Command::Put { member, lease_ms: None, expect: Expect::Any };
        let outcome = state.apply(index, &Proposal { request: String::new(), command });
        let is_refused = matches!(&outcome, Outcome::Refused { reason } if reason.contains(message));
        assert!(is_refused, "{outcome:?}");
        assert_eq!(state.revision(), 0);
    }
}
