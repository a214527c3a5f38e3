//! The list of servers that discovery sends, in the JSON form of `GET /api/targets`.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde_json::Value;

use crate::api::ServerState;
use crate::findings::{describe_value, Findings};
use crate::settings::parse_server_state;

/// A server on the list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Id of the server, the same at every node.
    pub id: String,
    /// Address on which the server accepts connections.
    pub addr: SocketAddr,
    /// Zone of the server; empty where the list names none.
    pub zone: String,
    /// Cell of the server; 0 where the list names none.
    pub cell: u64,
    /// State of the server.
    pub state: ServerState,
    /// Weight of the server relative to other servers; 1 where the list names none.
    pub size: f64,
    /// Start of the server's process in Unix milliseconds; 0 means long ago.
    pub up_since_ms: u64,
}

/// A complete list of servers, or the entries that changed since an earlier list.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    /// Revision of the list, if the list has one.
    pub revision: Option<u64>,
    /// Whether the list has every server, so that an absent server has been removed.
    pub is_complete: bool,
    /// The valid entries.
    pub entries: Vec<ListEntry>,
}

impl ServerList {
    /// Parses a list; `None` if `value` is not a list at all. An invalid entry is skipped with a warning and
    /// the rest of the list is used: one bad entry must not hide all other servers from a node. `path` is the
    /// path of `value` in its file.
    pub fn parse(value: &Value, path: &str, findings: &mut Findings) -> Option<ServerList> {
        let Some(members) = value.get("members").and_then(Value::as_array) else {
            findings.add_warning(path, "an object with a list 'members'", describe_value(Some(value)));
            return None;
        };
        let (revision, complete) = (value.get("revision"), value.get("complete"));
        let mut list_checker = FieldChecker { value, path, findings };
        list_checker.check("revision", revision.is_none_or(Value::is_u64), "a whole number");
        list_checker.check("complete", complete.is_none_or(Value::is_boolean), "true or false");
        let parse_member = |(n, member)| parse_entry(member, &format!("{path}.members[{n}]"), findings);
        let entries: Vec<ListEntry> = members.iter().enumerate().filter_map(parse_member).collect();
        let mut ids = HashSet::new();
        for duplicate in entries.iter().filter(|entry| !ids.insert(&entry.id)) {
            findings.add_warning(
                format!("{path}.members"),
                "unique ids",
                format!("'{}' again", duplicate.id),
            );
        }
        Some(ServerList {
            revision: revision.and_then(Value::as_u64),
            is_complete: complete.and_then(Value::as_bool).unwrap_or(false),
            entries,
        })
    }

    /// Parses a list and discards the findings; `None` if `value` is not a list at all.
    pub fn parse_without_findings(value: &Value) -> Option<ServerList> {
        ServerList::parse(value, "", &mut Findings::default())
    }
}

/// Checks the fields of an object and adds a warning for each invalid one to the findings. `path` is the path
/// of the object in its file.
struct FieldChecker<'a> {
    value: &'a Value,
    path: &'a str,
    findings: &'a mut Findings,
}

impl FieldChecker<'_> {
    /// Adds a warning if the field is invalid; returns `is_valid`.
    fn check(&mut self, name: &str, is_valid: bool, expected: &str) -> bool {
        if !is_valid {
            let found = describe_value(self.value.get(name));
            self.findings.add_warning(format!("{}.{name}", self.path), expected, found);
        }
        is_valid
    }
}

/// Parses an entry; `None` if a required field is missing or invalid. An optional field that is invalid only
/// adds a warning, and gets its default if its type is wrong.
fn parse_entry(value: &Value, path: &str, findings: &mut Findings) -> Option<ListEntry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    if !value.is_object() {
        findings.add_warning(path, "an object", describe_value(Some(value)));
        return None;
    }
    let (id, addr) = (text("id"), text("host_port").and_then(|addr| addr.parse().ok()));
    let state = text("phase").and_then(parse_server_state);
    let mut field_checker = FieldChecker { value, path, findings };
    // `&=` does not short-circuit: every invalid field is reported, not only the first.
    let mut is_valid = field_checker.check("id", id.is_some(), "a string");
    is_valid &= field_checker.check("host_port", addr.is_some(), "an address such as 10.1.0.18:5000");
    is_valid &= field_checker.check("phase", state.is_some(), "in_service, terminating or terminated");
    let mut check_optional = |name: &str, is_valid: fn(&Value) -> bool, expected: &str| {
        field_checker.check(name, value.get(name).is_none_or(is_valid), expected);
    };
    check_optional("locality", Value::is_string, "a string");
    check_optional("cell", Value::is_u64, "a whole number");
    check_optional("size", |size| size.as_f64().is_some_and(|size| size > 0.0), "a number above 0");
    check_optional("up_since_ms", Value::is_u64, "Unix time in whole milliseconds");
    if !is_valid {
        return None;
    }
    Some(ListEntry {
        id: id?.to_owned(),
        addr: addr?,
        zone: text("locality").unwrap_or("").to_owned(),
        cell: value.get("cell").and_then(Value::as_u64).unwrap_or(0),
        state: state?,
        size: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        up_since_ms: value.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0),
    })
}

/// The number that stands for a server id in [`crate::ServerId`]. The number is a hash of the id alone,
/// because nodes that number servers differently build different Maglev tables. Only if `taken` has the
/// number for another id is the hash repeated with the next seed.
pub fn assign_server_number(id: &str, taken: &HashMap<u32, String>) -> u32 {
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
    fn an_invalid_entry_is_skipped_and_every_problem_is_reported() {
        let value = serde_json::json!({"revision": 3, "complete": true, "members": [
            {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "in_service"},
            {"id": "s-2", "host_port": "nowhere", "phase": "asleep"},
            7,
            {"id": "s-4", "host_port": "127.0.0.1:4", "phase": "terminating", "up_since_ms": 9, "size": -1},
        ]});
        let mut findings = Findings::default();
        let list = ServerList::parse(&value, "known", &mut findings).unwrap();
        let ids: Vec<&str> = list.entries.iter().map(|entry| entry.id.as_str()).collect();
        assert_eq!(ids, ["s-1", "s-4"]);
        assert!(list.is_complete && list.revision == Some(3));
        let messages: Vec<String> = findings.all().iter().map(ToString::to_string).collect();
        assert_eq!(
            messages,
            [
                "known.members[1].host_port: expected an address such as 10.1.0.18:5000, found 'nowhere'",
                "known.members[1].phase: expected in_service, terminating or terminated, found 'asleep'",
                "known.members[2]: expected an object, found 7",
                "known.members[3].size: expected a number above 0, found -1",
            ]
        );
        assert!(!findings.has_errors());
    }

    #[test]
    fn server_numbers_do_not_collide() {
        let number = assign_server_number("s-1", &HashMap::new());
        let taken = HashMap::from([(number, "s-2".to_owned())]);
        assert_ne!(assign_server_number("s-1", &taken), number);
        assert_eq!(assign_server_number("s-1", &HashMap::from([(number, "s-1".to_owned())])), number);
    }
}
