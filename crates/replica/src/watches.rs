//! Open watches: what each was told, and what it is told next.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use audit::{Admission, EscalationStep};
use bytes::Bytes;
use registry::{ListUpdate, Member, Revision, Role, State};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::sync::{mpsc, oneshot};

/// A node is owed an empty line every 2 s; it takes half a second more for silence.
const BEAT: Duration = Duration::from_millis(1_900);

/// What a watch is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A node's: the protocol's form of the list.
    Targets,
    /// An agent's: the list, the log's time, and what the audit asks for.
    Agent,
}

/// A watch.
pub struct Feed {
    pub kind: Kind,
    pub pool: String,
    /// The revision that it has.
    pub sent: Revision,
    /// The whole list is due, whatever it has.
    pub whole: bool,
    pub directives: u64,
    pub last: Instant,
    pub tx: mpsc::Sender<Bytes>,
    /// Whether it was opened: not where this replica is behind it, or has no room.
    pub opened: oneshot::Sender<Result<(), &'static str>>,
}

struct Open {
    kind: Kind,
    pool: String,
    sent: Revision,
    directives: u64,
    clock: u64,
    last: Instant,
    tx: mpsc::Sender<Bytes>,
}

pub struct Feeds {
    open: Vec<Open>,
    most: usize,
}

/// A line of an agent's watch.
#[derive(Serialize)]
struct Line {
    revision: Revision,
    /// Log time.
    clock: u64,
    complete: bool,
    members: Vec<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    directives: Option<Directives>,
}

/// What the audit asks for.
#[derive(Serialize)]
pub struct Directives {
    floor: Revision,
    nodes: BTreeMap<String, Directive>,
}

#[derive(Serialize)]
struct Directive {
    step: EscalationStep,
    step_at: u64,
    admission: Admission,
    /// The part of its share that it may get.
    part: f64,
}

impl Feeds {
    pub fn new(most: usize) -> Feeds {
        Feeds { open: Vec::new(), most }
    }

    /// Opens a watch and tells it what it lacks.
    pub fn add(&mut self, feed: Feed, state: &State) {
        self.open.retain(|open| !open.tx.is_closed());
        if self.open.len() >= self.most {
            let _ = feed.opened.send(Err("no room for another watch"));
            return;
        }
        if feed.sent > state.revision() {
            let _ = feed.opened.send(Err("this replica has not come that far"));
            return;
        }
        let _ = feed.opened.send(Ok(()));
        let sent = if feed.whole { 0 } else { feed.sent };
        let Feed { kind, pool, directives, last, tx, .. } = feed;
        let mut open = Open { kind, pool, sent, directives, clock: 0, last, tx };
        if open.tell(state, true) {
            self.open.push(open);
        }
    }

    /// Tells all watches what has changed.
    pub fn push(&mut self, state: &State) {
        self.open.retain_mut(|open| open.tell(state, false));
    }

    /// Keeps silent watches alive.
    pub fn beat(&mut self) {
        self.open.retain_mut(|open| {
            open.last.elapsed() < BEAT && !open.tx.is_closed() || open.send(Bytes::from_static(b"\n"))
        });
    }

    /// Ends the agents' watches: they go on at another replica.
    pub fn close_agents(&mut self) {
        self.open.retain(|open| open.kind != Kind::Agent);
    }
}

impl Open {
    /// Whether the watch goes on. One that does not take what it is told is closed: it asks again elsewhere.
    fn tell(&mut self, state: &State, first: bool) -> bool {
        let changed = state.revision() != self.sent;
        let directed = self.kind == Kind::Agent && (first || state.directives_version() != self.directives);
        let timed = self.kind == Kind::Agent && state.now() != self.clock;
        if !(first || changed || directed || timed) {
            return true;
        }
        let (complete, members) = match state.updates_since(self.sent, Role::Server, &self.pool) {
            ListUpdate::Full(members) => (true, members.iter().map(|member| target(member, false)).collect()),
            ListUpdate::Changes(changes) => {
                (false, changes.iter().map(|(member, gone)| target(member, *gone)).collect())
            }
            // A snapshot never takes a state back; a watch that is ahead was not opened.
            ListUpdate::Ahead => return false,
        };
        let line = Line {
            revision: state.revision(),
            clock: state.now(),
            complete,
            members,
            directives: directed.then(|| directives(state)),
        };
        (self.sent, self.directives, self.clock) = (line.revision, state.directives_version(), line.clock);
        let text = match self.kind {
            Kind::Agent => serde_json::to_vec(&line),
            Kind::Targets => {
                let (revision, complete, members) = (line.revision, line.complete, line.members);
                serde_json::to_vec(&json!({"revision": revision, "complete": complete, "members": members}))
            }
        };
        let Ok(mut text) = text else { return false };
        text.push(b'\n');
        self.send(text.into())
    }

    fn send(&mut self, text: Bytes) -> bool {
        self.last = Instant::now();
        self.tx.try_send(text).is_ok()
    }
}

/// A member in the protocol's form.
pub fn target(member: &Member, gone: bool) -> Value {
    let phase = if gone { json!("terminated") } else { json!(member.phase) };
    json!({
        "id": member.id, "host_port": member.host_port, "locality": member.zone, "flavor": member.flavor,
        "cell": member.cell, "phase": phase, "size": member.size, "up_since_ms": member.up_since_ms,
    })
}

/// What the audit asks for now: nodes of which nothing is asked are left out.
pub fn directives(state: &State) -> Directives {
    let config = &state.config().audit;
    let asked = state
        .audit()
        .nodes()
        .iter()
        .filter(|(_, node)| node.step != EscalationStep::Normal || node.admission != Admission::Full);
    let directive = |node: &audit::Node| Directive {
        step: node.step,
        step_at: node.step_since,
        admission: node.admission,
        part: match node.admission {
            Admission::Full => 1.0,
            Admission::Probation => config.probation_part,
            Admission::ShutOut => 0.0,
        },
    };
    Directives {
        floor: state.audit().floor(),
        nodes: asked.map(|(name, node)| (name.clone(), directive(node))).collect(),
    }
}
