//! Discovery's list of servers, in the form of the protocol's `/api/targets`.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde_json::Value;

use crate::api::ServerState;
use crate::findings::{describe, Findings};
use crate::settings::server_state;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The server's id, the same at every node.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: ServerState,
    /// Its weight against other servers.
    pub size: f64,
    /// When its process last started: Unix time in milliseconds; 0 is long ago.
    pub up_since_ms: u64,
}

/// A list, whole or only what changed.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// The list's version, where it says one.
    pub revision: Option<u64>,
    /// Whether a server that is absent has been removed.
    pub complete: bool,
    /// The entries that could be read.
    pub entries: Vec<Entry>,
}

impl List {
    /// Reads a list, `None` for what is no list. An entry that can't be read is left out, never the list:
    /// one odd entry must not blind a node to all others. `path` is the value's place in its file.
    pub fn read(value: &Value, path: &str, findings: &mut Findings) -> Option<List> {
        let Some(members) = value.get("members").and_then(Value::as_array) else {
            findings.leave_out(path, "an object with a list 'members'", describe(Some(value)));
            return None;
        };
        let (revision, complete) = (value.get("revision"), value.get("complete"));
        let mut whole = Fields { value, path, findings };
        whole.odd("revision", revision.is_none_or(Value::is_u64), "a whole number");
        whole.odd("complete", complete.is_none_or(Value::is_boolean), "true or false");
        let read = |(n, member)| entry(member, &format!("{path}.members[{n}]"), findings);
        let entries: Vec<Entry> = members.iter().enumerate().filter_map(read).collect();
        let mut ids = HashSet::new();
        for twice in entries.iter().filter(|entry| !ids.insert(&entry.id)) {
            findings.leave_out(format!("{path}.members"), "each id once", format!("'{}' again", twice.id));
        }
        Some(List {
            revision: revision.and_then(Value::as_u64),
            complete: complete.and_then(Value::as_bool).unwrap_or(false),
            entries,
        })
    }

    /// Reads a list and passes over what is wrong with it.
    pub fn from_value(value: &Value) -> Option<List> {
        List::read(value, "", &mut Findings::default())
    }
}

/// The fields of an object, and where to note what is wrong with them.
struct Fields<'a> {
    value: &'a Value,
    path: &'a str,
    findings: &'a mut Findings,
}

impl Fields<'_> {
    /// Notes a field that is not as expected; whether it is.
    fn odd(&mut self, name: &str, good: bool, expected: &str) -> bool {
        if !good {
            let found = describe(self.value.get(name));
            self.findings.leave_out(format!("{}.{name}", self.path), expected, found);
        }
        good
    }
}

fn entry(value: &Value, path: &str, findings: &mut Findings) -> Option<Entry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    if !value.is_object() {
        findings.leave_out(path, "an object", describe(Some(value)));
        return None;
    }
    let (id, addr) = (text("id"), text("host_port").and_then(|addr| addr.parse().ok()));
    let state = text("phase").and_then(server_state);
    let mut fields = Fields { value, path, findings };
    // All that is wrong is noted, not only the first.
    let mut good = fields.odd("id", id.is_some(), "a text");
    good &= fields.odd("host_port", addr.is_some(), "an address such as 10.1.0.18:5000");
    good &= fields.odd("phase", state.is_some(), "in_service, terminating or terminated");
    let mut optional = |name: &str, is: fn(&Value) -> bool, expected: &str| {
        fields.odd(name, value.get(name).is_none_or(is), expected);
    };
    optional("locality", Value::is_string, "a text");
    optional("cell", Value::is_u64, "a whole number");
    optional("size", |size| size.as_f64().is_some_and(|size| size > 0.0), "a number above 0");
    optional("up_since_ms", Value::is_u64, "Unix time in whole milliseconds");
    if !good {
        return None;
    }
    Some(Entry {
        id: id?.to_owned(),
        addr: addr?,
        zone: text("locality").unwrap_or("").to_owned(),
        cell: value.get("cell").and_then(Value::as_u64).unwrap_or(0),
        state: state?,
        size: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        up_since_ms: value.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0),
    })
}

/// The module's number for a server's id: made from the id alone, as nodes that number servers
/// differently build different tables, unless another server on the list has it.
pub fn server_number(id: &str, taken: &HashMap<u32, String>) -> u32 {
    let mut seed = 0;
    loop {
        let number = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed) as u32;
        match taken.get(&number) {
            Some(other) if other != id => seed += 1,
            _ => return number,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_entry_that_cannot_be_read_is_left_out_alone_and_all_that_is_wrong_is_said() {
        let value = serde_json::json!({"revision": 3, "complete": true, "members": [
            {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "in_service"},
            {"id": "s-2", "host_port": "nowhere", "phase": "asleep"},
            7,
            {"id": "s-4", "host_port": "127.0.0.1:4", "phase": "terminating", "up_since_ms": 9, "size": -1},
        ]});
        let mut findings = Findings::default();
        let list = List::read(&value, "known", &mut findings).unwrap();
        let ids: Vec<&str> = list.entries.iter().map(|e| e.id.as_str()).collect();
        assert_eq!(ids, ["s-1", "s-4"]);
        assert!(list.complete && list.revision == Some(3));
        let said: Vec<String> = findings.all().iter().map(ToString::to_string).collect();
        assert_eq!(
            said,
            [
                "known.members[1].host_port: expected an address such as 10.1.0.18:5000, found 'nowhere'",
                "known.members[1].phase: expected in_service, terminating or terminated, found 'asleep'",
                "known.members[2]: expected an object, found 7",
                "known.members[3].size: expected a number above 0, found -1",
            ]
        );
        assert!(!findings.refused());
    }

    #[test]
    fn server_numbers_do_not_collide() {
        let number = server_number("s-1", &HashMap::new());
        let taken = HashMap::from([(number, "s-2".to_owned())]);
        assert_ne!(server_number("s-1", &taken), number);
        assert_eq!(server_number("s-1", &HashMap::from([(number, "s-1".to_owned())])), number);
    }
}
