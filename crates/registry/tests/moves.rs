//! Members that move from one list to another: each watch has to learn of it from changes alone.

use registry::*;

fn put(state: &mut State, index: u64, role: Role, pool: &str) {
    let member = Member {
        id: "s-0".to_owned(),
        role,
        pool: pool.to_owned(),
        zone: String::new(),
        host_port: "127.0.0.1:9".to_owned(),
        flavor: String::new(),
        cell: 0,
        phase: Phase::InService,
        size: 1.0,
        up_since_ms: 0,
        incarnation: 0,
        program: String::new(),
        config: String::new(),
    };
    let command = Command::Put { member, lease_ms: None, expect: Expect::Any };
    let outcome = state.apply(index, &Proposal { request: String::new(), command });
    assert_eq!(outcome, Outcome::Done { revision: index });
}

/// What a watch of a list is sent: the pool of each member, and whether it was removed.
fn changes(state: &State, revision: Revision, role: Role, pool: &str) -> Vec<(String, bool)> {
    match state.updates_since(revision, role, pool) {
        ListUpdate::Changes(changes) => {
            changes.into_iter().map(|(member, is_removed)| (member.pool, is_removed)).collect()
        }
        update => panic!("expected changes, found {update:?}"),
    }
}

// Otherwise the nodes of the old pool go on sending to a server that has left it.
#[test]
fn a_member_that_moves_leaves_its_old_list() {
    let mut state = State::new(Config::default());
    put(&mut state, 1, Role::Server, "app");
    put(&mut state, 2, Role::Server, "batch");
    assert_eq!(changes(&state, 1, Role::Server, "app"), [("app".to_owned(), true)]);
    assert_eq!(changes(&state, 1, Role::Server, "batch"), [("batch".to_owned(), false)]);
    put(&mut state, 3, Role::Server, "app");
    // It was away between: only where it is now counts.
    assert_eq!(changes(&state, 1, Role::Server, "app"), [("app".to_owned(), false)]);
    assert_eq!(changes(&state, 2, Role::Server, "batch"), [("batch".to_owned(), true)]);
    put(&mut state, 4, Role::Node, "app");
    assert_eq!(changes(&state, 3, Role::Server, "app"), [("app".to_owned(), true)]);
    assert_eq!(changes(&state, 3, Role::Node, "app"), [("app".to_owned(), false)]);
}
