use std::collections::VecDeque;

use serde_json::{json, Value};

use super::*;

/// A watch that brings these lists and then ends.
struct PlannedWatch(VecDeque<ServerList>);

impl WatchStream for PlannedWatch {
    async fn next(&mut self) -> Result<Option<ServerList>, WatchError> {
        self.0.pop_front().map(Some).ok_or_else(|| "ended".into())
    }
}

/// A list with servers in these phases.
fn list(revision: u64, is_complete: bool, phases: &[(&str, &str)]) -> ServerList {
    let member =
        |(id, phase): &(&str, &str)| json!({"id": id, "host_port": "127.0.0.1:5000", "phase": phase});
    let members: Vec<Value> = phases.iter().map(member).collect();
    let value = json!({"revision": revision, "complete": is_complete, "members": members});
    ServerList::parse_without_findings(&value).unwrap()
}

/// Revision, whether it is complete, and the servers with their states in order.
fn describe(list: &ServerList) -> (Option<u64>, bool, Vec<String>) {
    let entries = list.entries.iter().map(|entry| format!("{} {:?}", entry.id, entry.state));
    (list.revision, list.is_complete, entries.collect())
}

async fn merge(late: Vec<ServerList>, first: ServerList) -> ServerList {
    let mut silent = SilentWatch::new(PlannedWatch(late.clone().into()));
    for list in late {
        let passed_on = silent.next_list().await;
        assert_eq!(passed_on.revision, list.revision.filter(|_| list.is_complete));
    }
    silent.merge_into(first)
}

// A change that a silent watch brought late must not be undone by a list that was made before it.
#[tokio::test]
async fn late_changes_are_added_to_an_older_list() {
    let first = list(45, true, &[("a", "in_service"), ("b", "in_service")]);
    let late = vec![list(44, false, &[("b", "terminating")]), list(46, false, &[("a", "terminating")])];
    let merged = merge(late.clone(), first.clone()).await;
    let entries = ["a InService", "b InService", "a Terminating"].map(str::to_owned).to_vec();
    assert_eq!(describe(&merged), (Some(45), true, entries));
    let newer = list(46, true, &[("a", "terminating")]);
    assert_eq!(describe(&merge(late, newer.clone()).await), describe(&newer));
    let whole = list(47, true, &[("c", "in_service")]);
    assert_eq!(describe(&merge(vec![whole.clone()], first).await), describe(&whole));
}
