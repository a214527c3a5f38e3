//! The agent's copy of the server list, and the lines that its watches are sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The server list. The members are in the format of the discovery protocol, by id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    pub revision: u64,
    pub members: BTreeMap<String, Value>,
}

/// What a line of the registry's watch did to the list.
#[derive(Clone, Debug, PartialEq)]
pub enum LineEffect {
    /// The list is as it was.
    Unchanged,
    /// The list changed. The value is the line for a watch that had the list as it was before.
    Changed(Value),
}

impl ServerList {
    /// Applies a line of the registry's watch. A line that is older than the list is ignored.
    pub fn apply_line(&mut self, line: &Value) -> LineEffect {
        let Some(revision) = line["revision"].as_u64() else { return LineEffect::Unchanged };
        let is_complete = line["complete"].as_bool().unwrap_or(false);
        if revision < self.revision || (revision == self.revision && !is_complete) {
            return LineEffect::Unchanged;
        }
        let members = line["members"].as_array().cloned().unwrap_or_default();
        let members_before = is_complete.then(|| std::mem::take(&mut self.members));
        for member in members {
            let Some(id) = member["id"].as_str().map(str::to_owned) else { continue };
            if member["phase"] == "terminated" {
                self.members.remove(&id);
            } else {
                self.members.insert(id, member);
            }
        }
        let is_same = revision == self.revision && members_before.as_ref() == Some(&self.members);
        self.revision = revision;
        if is_same {
            return LineEffect::Unchanged;
        }
        LineEffect::Changed(if is_complete {
            self.to_complete_line()
        } else {
            format_line(revision, false, &line["members"])
        })
    }

    /// The line with the complete list.
    pub fn to_complete_line(&self) -> Value {
        format_line(self.revision, true, &Value::Array(self.members.values().cloned().collect()))
    }
}

fn format_line(revision: u64, is_complete: bool, members: &Value) -> Value {
    json!({"revision": revision, "complete": is_complete, "members": members})
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: &str, phase: &str) -> Value {
        json!({"id": id, "host_port": "127.0.0.1:1", "phase": phase})
    }

    #[test]
    fn lines_change_the_list_and_an_older_line_does_not() {
        let mut list = ServerList::default();
        let complete = json!({"revision": 5, "complete": true,
            "members": [member("a", "in_service"), member("b", "in_service")]});
        assert_eq!(list.apply_line(&complete), LineEffect::Changed(list.to_complete_line()));
        assert_eq!(list.apply_line(&complete), LineEffect::Unchanged);
        let change = json!({"revision": 7, "complete": false, "members": [member("a", "terminated")]});
        assert_eq!(list.apply_line(&change), LineEffect::Changed(change.clone()));
        assert_eq!((list.revision, list.members.len()), (7, 1));
        assert_eq!(list.apply_line(&complete), LineEffect::Unchanged);
        assert_eq!(list.revision, 7);
        // A new revision without changed members is passed on: nodes have to act on the newest revision.
        let empty = json!({"revision": 8, "complete": false, "members": []});
        assert_eq!(list.apply_line(&empty), LineEffect::Changed(empty.clone()));
    }
}
