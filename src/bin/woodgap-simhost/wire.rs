//! The simulator's line protocol: parses events and list entries, and writes actions.
//!
//! A line is a message name and fields, separated by single spaces. Field names occur in error messages only.

use std::collections::HashMap;
use std::io::{self, Write};
use std::rc::Rc;
use std::str::FromStr;

use base64::{engine::general_purpose::STANDARD, Engine};
use woodgap::settings::{parse_finite, parse_number, parse_server_state, InputError, RequestNames, ZoneIds};
use woodgap::{
    Action, AttemptEnd, CellId, ClassId, Event, Key, Member, Outcome, Request, RequestId, ServerId, SyncKind,
    TenantId, TimerId,
};

/// The fields of a line, read from left to right.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// The fields of this line, none of which has been read.
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next field; `None` if the field is empty or `-`, which marks an absent value.
    fn next_field(&mut self, name: &str) -> Result<Option<&'a str>, InputError> {
        let rest = self.rest.ok_or_else(|| InputError::new(format!("field '{name}' is missing")))?;
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        Ok((field != "-" && !field.is_empty()).then_some(field))
    }

    /// Reads the next field; fails if the field is absent.
    pub fn read_text(&mut self, name: &str) -> Result<&'a str, InputError> {
        self.next_field(name)?.ok_or_else(|| InputError::new(format!("field '{name}' is empty")))
    }

    /// Reads a number; `None` if the field is absent.
    pub fn read_optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, InputError> {
        self.next_field(name)?.map(|text| parse_number(text, name)).transpose()
    }

    /// Reads a number; fails if the field is absent.
    pub fn read_number<T: FromStr>(&mut self, name: &str) -> Result<T, InputError> {
        parse_number(self.read_text(name)?, name)
    }

    /// Reads a boolean; an absent field counts as false.
    fn read_bool(&mut self, name: &str) -> Result<bool, InputError> {
        match self.next_field(name)? {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(InputError::new(format!("field '{name}': '{other}' is not a boolean"))),
        }
    }

    fn read_request_id(&mut self) -> Result<RequestId, InputError> {
        let text = self.read_text("msg-id")?;
        let bytes = text
            .as_bytes()
            .try_into()
            .map_err(|_| InputError::new(format!("field 'msg-id': '{text}' does not have 36 characters")))?;
        Ok(RequestId(bytes))
    }

    /// Reads the values of a server's load report, separated by commas.
    fn read_load_report(&mut self) -> Result<Vec<f64>, InputError> {
        match self.next_field("load")? {
            None => Ok(Vec::new()),
            Some(text) => text.split(',').map(|value| parse_finite(value, "load")).collect(),
        }
    }

    /// Takes all remaining fields as one text.
    pub fn take_rest(&mut self) -> &'a str {
        self.rest.take().unwrap_or("")
    }

    /// Fails if any field is left.
    pub fn expect_end(&mut self) -> Result<(), InputError> {
        match self.rest.take() {
            None => Ok(()),
            Some(rest) => Err(InputError::new(format!("more fields than expected: '{rest}'"))),
        }
    }
}

/// Parses an `M` line, an entry of a server list.
pub fn parse_member(line: &str, zone_ids: &mut ZoneIds) -> Result<Member, InputError> {
    let mut fields = Fields::new(line);
    match fields.read_text("message")? {
        "M" => {}
        other => return Err(InputError::new(format!("'{other}' instead of a list entry"))),
    }
    let server = ServerId(fields.read_number("server")?);
    let zone = zone_ids.get_or_assign(fields.next_field("campus")?.unwrap_or(""));
    // The policy does not use the server's kind.
    fields.next_field("kind")?;
    let cell = CellId(fields.read_optional("cluster")?.unwrap_or(0));
    let state = fields.read_text("state")?;
    let state = parse_server_state(state)
        .ok_or_else(|| InputError::new(format!("field 'state': '{state}' is unknown")))?;
    let size = fields.next_field("size")?.map_or(Ok(1.0), |text| parse_finite(text, "size"))?;
    let started_at = fields.read_optional("since")?.unwrap_or(0);
    fields.expect_end()?;
    Ok(Member { server, zone, cell, state, size, started_at })
}

fn parse_outcome(text: &str) -> Result<Outcome, InputError> {
    Ok(match text {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::Moot,
        other => return Err(InputError::new(format!("field 'reason': '{other}' is unknown"))),
    })
}

/// Parses the fields of an event for a node; `message` is the first word of the line.
pub fn parse_event(
    message: &str,
    fields: &mut Fields<'_>,
    request_names: &RequestNames,
    server_lists: &HashMap<u64, Rc<Vec<Member>>>,
) -> Result<Event, InputError> {
    Ok(match message {
        "QUERY" => Event::Request(parse_request(fields, request_names)?),
        "CLOSED_ATTEMPT" => Event::AttemptEnded(AttemptEnd {
            id: fields.read_request_id()?,
            attempt: fields.read_number("n")?,
            server: ServerId(fields.read_number("server")?),
            outcome: parse_outcome(fields.read_text("reason")?)?,
            elapsed: fields.read_optional("spent")?.unwrap_or(0),
            is_request_done: fields.read_bool("done-flag")?,
            load_report: fields.read_load_report()?,
        }),
        "TIMEOUT_FIRED" => Event::TimerExpired(TimerId(fields.read_number("ctx")?)),
        "LAPSED" => Event::RequestEnded(fields.read_request_id()?),
        "SYNC" => parse_sync(fields, server_lists)?,
        "STATUS_BACK" => Event::ProbeEnded {
            server: ServerId(fields.read_number("server")?),
            outcome: parse_outcome(fields.read_text("reason")?)?,
            elapsed: fields.read_optional("spent")?.unwrap_or(0),
            load_report: fields.read_load_report()?,
        },
        "STARTED" => {
            let (id, attempt) = (fields.read_request_id()?, fields.read_number("n")?);
            // The fields are checked, but the policy does not use them.
            let _: u32 = fields.read_number("server")?;
            let _: Option<u64> = fields.read_optional("spent")?;
            Event::ResponseStarted { id, attempt }
        }
        "MAIL" => Event::PeerMessage { from: fields.read_number("origin-peer")?, data: parse_bytes(fields)? },
        other => return Err(InputError::new(format!("unknown message '{other}'"))),
    })
}

fn parse_request(fields: &mut Fields<'_>, request_names: &RequestNames) -> Result<Request, InputError> {
    let id = fields.read_request_id()?;
    // The flag is checked, but the policy does not use it.
    fields.read_bool("write")?;
    let time_left = fields.read_number::<i64>("patience-left")?.max(0) as u64;
    let class = fields.read_text("category")?;
    let class = request_names
        .class_index(class)
        .map(ClassId)
        .ok_or_else(|| InputError::new(format!("field 'category': '{class}' is not in the settings")))?;
    let cost = fields.read_optional("cost-guess")?;
    let is_client_retry = fields.read_bool("repeat")?;
    let tenant = match fields.next_field("party")? {
        None | Some("0") => None,
        Some(name) => Some(
            request_names
                .tenant_index(name)
                .map(TenantId)
                .ok_or_else(|| InputError::new(format!("field 'party': '{name}' is not in the settings")))?,
        ),
    };
    let key = fields.read_optional("resource")?.map(Key);
    Ok(Request { id, time_left, class, cost, is_client_retry, tenant, key })
}

fn parse_sync(
    fields: &mut Fields<'_>,
    server_lists: &HashMap<u64, Rc<Vec<Member>>>,
) -> Result<Event, InputError> {
    // The revision is checked, but the policy does not use it.
    let _: Option<u64> = fields.read_optional("rev")?;
    let kind = match fields.read_text("how")? {
        "D" => SyncKind::Delta,
        "F" => SyncKind::Full,
        "C" => SyncKind::Cached,
        "X" => SyncKind::Failed,
        other => return Err(InputError::new(format!("field 'how': '{other}' is unknown"))),
    };
    let list: Option<u64> = fields.read_optional("list")?;
    let members = match (kind, list) {
        (SyncKind::Failed, _) => Vec::new(),
        (_, Some(list)) => match server_lists.get(&list) {
            Some(members) => members.as_ref().clone(),
            None => return Err(InputError::new(format!("field 'list': no list {list}"))),
        },
        (_, None) => return Err(InputError::new("field 'list' is empty".into())),
    };
    Ok(Event::Sync { kind, members })
}

fn parse_bytes(fields: &mut Fields<'_>) -> Result<Vec<u8>, InputError> {
    match fields.next_field("contents")? {
        None => Ok(Vec::new()),
        Some(text) => {
            STANDARD.decode(text).map_err(|error| InputError::new(format!("field 'contents': {error}")))
        }
    }
}

/// Writes an action as a line.
pub fn write_action<W: Write>(out: &mut W, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { id, server, timeout, .. } => {
            writeln!(out, "DELIVER {} {} {timeout}", id_text(id), server.0)
        }
        Action::Cancel { id, attempt } => writeln!(out, "CALL_OFF {} {attempt}", id_text(id)),
        Action::Refuse { id, retry_after } => writeln!(out, "DECLINE {} {retry_after}", id_text(id)),
        Action::Fail { id } => writeln!(out, "GIVE_UP {}", id_text(id)),
        Action::Probe(server) => writeln!(out, "INSPECT {}", server.0),
        Action::CloseIdleConnections(server) => writeln!(out, "FREE_LINKS {}", server.0),
        Action::SetTimer { delay, timer } => writeln!(out, "SET_ALARM {delay} {}", timer.0),
        Action::Subscribe => writeln!(out, "STREAM_CHANGES 1"),
        Action::SendMessage { peer, data } => {
            let peer = peer.map_or(-1, i64::from);
            let data = if data.is_empty() { "-".into() } else { STANDARD.encode(data) };
            writeln!(out, "SAY {peer} {data}")
        }
        Action::Log(line) => writeln!(out, "REMARK {}", line.replace('\n', " ")),
    }
}

fn id_text(id: &RequestId) -> &str {
    std::str::from_utf8(&id.0).unwrap_or("-")
}
