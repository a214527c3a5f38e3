//! The list as the agent has it, and what a watch is told of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The list: members in the protocol's form, by id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    pub revision: u64,
    pub members: BTreeMap<String, Value>,
}

/// What came of a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Took {
    /// The list is as it was.
    Nothing,
    /// It changed: what to tell a watch that had the list before.
    Changed(Value),
}

impl List {
    /// Takes over a line of the registry's watch. One that is older than the list is passed over.
    pub fn take(&mut self, line: &Value) -> Took {
        let Some(revision) = line["revision"].as_u64() else { return Took::Nothing };
        let complete = line["complete"].as_bool().unwrap_or(false);
        if revision < self.revision || (revision == self.revision && !complete) {
            return Took::Nothing;
        }
        let members = line["members"].as_array().cloned().unwrap_or_default();
        let before = complete.then(|| std::mem::take(&mut self.members));
        for member in members {
            let Some(id) = member["id"].as_str().map(str::to_owned) else { continue };
            if member["phase"] == "terminated" {
                self.members.remove(&id);
            } else {
                self.members.insert(id, member);
            }
        }
        let same = revision == self.revision && before.as_ref() == Some(&self.members);
        self.revision = revision;
        if same {
            return Took::Nothing;
        }
        Took::Changed(if complete { self.whole() } else { line_of(revision, false, &line["members"]) })
    }

    /// The whole list as a line.
    pub fn whole(&self) -> Value {
        line_of(self.revision, true, &Value::Array(self.members.values().cloned().collect()))
    }
}

fn line_of(revision: u64, complete: bool, members: &Value) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: &str, phase: &str) -> Value {
        json!({"id": id, "host_port": "127.0.0.1:1", "phase": phase})
    }

    #[test]
    fn lines_change_the_list_and_an_older_one_does_not() {
        let mut list = List::default();
        let whole = json!({"revision": 5, "complete": true,
            "members": [member("a", "in_service"), member("b", "in_service")]});
        assert_eq!(list.take(&whole), Took::Changed(list.whole()));
        assert_eq!(list.take(&whole), Took::Nothing);
        let change = json!({"revision": 7, "complete": false, "members": [member("a", "terminated")]});
        assert_eq!(list.take(&change), Took::Changed(change.clone()));
        assert_eq!((list.revision, list.members.len()), (7, 1));
        assert_eq!(list.take(&whole), Took::Nothing);
        assert_eq!(list.revision, 7);
        // A revision that changes nothing on the list is still one to act on.
        let empty = json!({"revision": 8, "complete": false, "members": []});
        assert_eq!(list.take(&empty), Took::Changed(empty.clone()));
    }
}
