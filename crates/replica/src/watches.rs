//! Open watches: which revision each has been sent, and the lines that it is sent next.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use audit::{Admission, EscalationStep};
use bytes::Bytes;
use registry::{ListUpdate, Member, Revision, Role, State};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot};

/// How long a watch may be silent before it is sent an empty line. A node expects a line every 2 s and takes the
/// watch for dead after another half second.
const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_900);

/// Who watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchKind {
    /// A node without an agent: the list in the format of the discovery protocol.
    Targets,
    /// An agent: the list, log time, and the audit's directives.
    Agent,
}

/// A request to open a watch.
pub struct WatchRequest {
    pub kind: WatchKind,
    pub pool: String,
    /// The revision that the watcher has.
    pub known_revision: Revision,
    /// Whether the first line has to be the complete list, whatever revision the watcher has.
    pub needs_complete_list: bool,
    pub directives_version: u64,
    pub requested_at: Instant,
    pub lines: mpsc::Sender<Bytes>,
    /// Receives whether the watch was opened, or why not.
    pub opened: oneshot::Sender<Result<(), &'static str>>,
}

struct OpenWatch {
    kind: WatchKind,
    pool: String,
    /// The revision, the version of the directives and the log time of the last line.
    sent_revision: Revision,
    sent_directives_version: u64,
    sent_clock: u64,
    last_line_at: Instant,
    lines: mpsc::Sender<Bytes>,
}

/// The open watches of a replica.
pub struct Watches {
    open: Vec<OpenWatch>,
    max_open: usize,
}

/// A line of an agent's watch.
#[derive(Serialize)]
struct AgentLine {
    revision: Revision,
    /// Log time.
    clock: u64,
    /// Whether `members` is the complete list rather than the changes since the last line.
    complete: bool,
    members: Vec<Value>,
    /// The audit's directives, if they have changed since the last line.
    #[serde(skip_serializing_if = "Option::is_none")]
    directives: Option<Directives>,
}

/// What the audit directs servers and agents to do.
#[derive(Serialize)]
pub struct Directives {
    floor: Revision,
    nodes: BTreeMap<String, Directive>,
}

#[derive(Serialize)]
struct Directive {
    step: EscalationStep,
    #[serde(rename = "step_at")]
    step_since: u64,
    admission: Admission,
    /// The part of its usual share of requests that the node may get.
    #[serde(rename = "part")]
    admitted_part: f64,
}

impl Watches {
    pub fn new(max_open: usize) -> Watches {
        Watches { open: Vec::new(), max_open }
    }

    /// Opens a watch and sends it what the watcher lacks.
    pub fn open(&mut self, request: WatchRequest, state: &State) {
        self.open.retain(|watch| !watch.lines.is_closed());
        if self.open.len() >= self.max_open {
            let _ = request.opened.send(Err("too many watches are open"));
            return;
        }
        if request.known_revision > state.revision() {
            let _ = request.opened.send(Err("this replica has not reached that revision yet"));
            return;
        }
        let _ = request.opened.send(Ok(()));
        let mut watch = OpenWatch {
            kind: request.kind,
            pool: request.pool,
            sent_revision: if request.needs_complete_list { 0 } else { request.known_revision },
            sent_directives_version: request.directives_version,
            sent_clock: 0,
            last_line_at: request.requested_at,
            lines: request.lines,
        };
        if watch.send_update(state, true) {
            self.open.push(watch);
        }
    }

    /// Sends all watches what has changed.
    pub fn send_updates(&mut self, state: &State) {
        self.open.retain_mut(|watch| watch.send_update(state, false));
    }

    /// Sends an empty line to each watch that has been silent, and removes those that are closed.
    pub fn send_heartbeats(&mut self) {
        self.open.retain_mut(|watch| {
            watch.last_line_at.elapsed() < WATCH_HEARTBEAT_INTERVAL && !watch.lines.is_closed()
                || watch.send_line(Bytes::from_static(b"\n"))
        });
    }

    /// Closes the watches of agents, which then continue at another replica.
    pub fn close_agent_watches(&mut self) {
        self.open.retain(|watch| watch.kind != WatchKind::Agent);
    }
}

impl OpenWatch {
    /// Sends a line if something has changed or if it is the first. Returns whether the watch stays open: one whose
    /// queue is full is closed, and the watcher opens another.
    fn send_update(&mut self, state: &State, is_first: bool) -> bool {
        let is_agent = self.kind == WatchKind::Agent;
        let has_list_changed = state.revision() != self.sent_revision;
        let sends_directives =
            is_agent && (is_first || state.directives_version() != self.sent_directives_version);
        let has_clock_advanced = is_agent && state.now() != self.sent_clock;
        if !(is_first || has_list_changed || sends_directives || has_clock_advanced) {
            return true;
        }
        let (complete, members) = match state.updates_since(self.sent_revision, Role::Server, &self.pool) {
            ListUpdate::Full(members) => {
                (true, members.iter().map(|member| format_target(member, false)).collect())
            }
            ListUpdate::Changes(changes) => {
                (false, changes.iter().map(|(member, is_gone)| format_target(member, *is_gone)).collect())
            }
            // Not expected: a snapshot never moves the state back, and a watch that is ahead of it is not opened.
            ListUpdate::Ahead => return false,
        };
        let line = AgentLine {
            revision: state.revision(),
            clock: state.now(),
            complete,
            members,
            directives: sends_directives.then(|| collect_directives(state)),
        };
        self.sent_revision = line.revision;
        self.sent_directives_version = state.directives_version();
        self.sent_clock = line.clock;
        let text = match self.kind {
            WatchKind::Agent => serde_json::to_vec(&line),
            WatchKind::Targets => {
                let (revision, complete, members) = (line.revision, line.complete, line.members);
                serde_json::to_vec(&json!({"revision": revision, "complete": complete, "members": members}))
            }
        };
        let Ok(mut text) = text else { return false };
        text.push(b'\n');
        self.send_line(text.into())
    }

    /// Queues a line. Returns false if the queue is full or the watch is closed.
    fn send_line(&mut self, line: Bytes) -> bool {
        self.last_line_at = Instant::now();
        self.lines.try_send(line).is_ok()
    }
}

/// Formats a member as the discovery protocol has it; a removed member has the phase `terminated`.
pub fn format_target(member: &Member, is_gone: bool) -> Value {
    let phase = if is_gone { json!("terminated") } else { json!(member.phase) };
    json!({
        "id": member.id, "host_port": member.host_port, "locality": member.zone, "flavor": member.flavor,
        "cell": member.cell, "phase": phase, "size": member.size, "up_since_ms": member.up_since_ms,
    })
}

/// Collects the audit's present directives. Nodes that are on the normal step and fully admitted are left out.
pub fn collect_directives(state: &State) -> Directives {
    let config = &state.config().audit;
    let directed = state
        .audit()
        .nodes()
        .iter()
        .filter(|(_, node)| node.step != EscalationStep::Normal || node.admission != Admission::Full);
    let directive = |node: &audit::Node| Directive {
        step: node.step,
        step_since: node.step_since,
        admission: node.admission,
        admitted_part: match node.admission {
            Admission::Full => 1.0,
            Admission::Probation => config.probation_part,
            Admission::ShutOut => 0.0,
        },
    };
    Directives {
        floor: state.audit().floor(),
        nodes: directed.map(|(name, node)| (name.clone(), directive(node))).collect(),
    }
}
